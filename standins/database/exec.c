/* Execution of statements: slots, run time, transactions and results. */
#include "server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pw/core/error.h"

#define COLUMNS_MAX       7
#define NUMBER_SIZE_BYTES 24

static const struct {
	uint16_t count;
	const char *names[COLUMNS_MAX];
} result_columns[] = {
	[PW_SQL_SELECT_V] = { 1, { "v" } },
	[PW_SQL_SELECT_ALL] = { 2, { "k", "v" } },
	[PW_SQL_SELECT_COUNT] = { 1, { "count" } },
	[PW_SQL_SELECT_VALUE] = { 1, { "?column?" } },
	[PW_SQL_SLEEP] = { 1, { "pg_sleep" } },
	[PW_SQL_SHOW] = { 1, { "setting" } },
	[PW_SQL_STATUS] = { 7,
			    { "role", "term", "log_term", "lsn", "term_start_lsn",
			      "primary_silence_ms", "data_age_ms" } },
	[PW_SQL_ECHO] = { 1, { "pw_echo" } },
	[PW_SQL_FAULT] = { 2, { "name", "value" } },
	[PW_SQL_STREAM] = { 0, { NULL } },
};

/*
 * Returns the index in `result_columns` for a statement. Fence, promote and follow answer with the
 * status row, so they have the columns of PW_SQL_STATUS.
 */
static enum pw_sql_kind result_kind(const struct pw_sql *q)
{
	bool returns_status =
		q->kind == PW_SQL_FENCE || q->kind == PW_SQL_PROMOTE || q->kind == PW_SQL_FOLLOW;

	return returns_status ? PW_SQL_STATUS : q->kind;
}

void pw_db_exec_describe(struct pw_db_conn *c, const struct pw_sql *q)
{
	enum pw_sql_kind kind = result_kind(q);

	if (result_columns[kind].count)
		pw_pg_put_row_description(c->out,
					  kind == PW_SQL_SHOW ? (const char *const *)&q->name
							      : result_columns[kind].names,
					  result_columns[kind].count);
	else
		pw_pg_put_empty_message(c->out, 'n');
}

static void discard_changes(struct pw_db_conn *c)
{
	g_ptr_array_set_size(c->changes, 0);
}

int pw_db_exec_fail(struct pw_db_conn *c, const char *sqlstate, const char *message)
{
	const struct pw_pg_error e = { .severity = "ERROR",
				       .sqlstate = sqlstate,
				       .message = message };

	pw_pg_put_error(c->out, &e);
	discard_changes(c);
	c->in_batch = false;
	if (c->transaction_status == 'T')
		c->transaction_status = 'E';
	return PW_EINVALID;
}

static bool can_write(const struct pw_db_server *s, uint64_t term)
{
	return s->role == PW_DB_ROLE_PRIMARY && s->term == term;
}

/*
 * Commits the transaction's changes. If the server has not been primary without interruption since
 * the first write, rolls the transaction back and returns PW_EINVALID: after a change of primary,
 * the term at the first write differs from the current one, even if the server is primary again.
 * Returns PW_EUNAVAILABLE if a fault closed the connection after the commit.
 */
static int commit_changes(struct pw_db_conn *c)
{
	struct pw_db_server *s = c->server;

	if (c->changes->len == 0)
		return PW_OK;
	if (!can_write(s, c->changes_term)) {
		c->transaction_status = 'I';
		return pw_db_exec_fail(c, "25006",
				       "the server is no longer the primary; the "
				       "transaction was rolled back");
	}
	pw_db_data_commit(&s->data, s->term, pw_loop_now_us(s->task.loop), c->changes);
	c->changes = pw_db_changes_new();
	for (guint i = s->conns->len; i > 0; i--) {
		struct pw_db_conn *stream = s->conns->pdata[i - 1];

		if (stream->state != PW_DB_CONN_STREAMING)
			continue;
		pw_db_stream_fill(stream);
		pw_db_conn_resume(stream);
	}
	if (s->answers_to_drop > 0 && !pw_db_conn_is_test(c)) {
		s->answers_to_drop--;
		pw_db_conn_close(c);
		return PW_EUNAVAILABLE;
	}
	return PW_OK;
}

int pw_db_exec_sync(struct pw_db_conn *c)
{
	return c->transaction_status == 'I' ? commit_changes(c) : PW_OK;
}

static const char *arg_text(const struct pw_db_conn *c, size_t i)
{
	const struct pw_sql_arg *a = &c->statement.sql->args[i];

	return a->param ? c->statement.params[a->param - 1] : a->text;
}

static uint64_t arg_u64(const struct pw_db_conn *c, size_t i)
{
	const char *text = arg_text(c, i);

	return text ? strtoull(text, NULL, 10) : 0;
}

static void put_row(struct pw_db_conn *c, const char *const *values)
{
	pw_pg_put_data_row(c->out, values, result_columns[result_kind(c->statement.sql)].count);
}

static void put_value(struct pw_db_conn *c, const char *value)
{
	put_row(c, &value);
}

static void put_status(struct pw_db_conn *c)
{
	const struct pw_db_server *s = c->server;
	uint64_t now_us = pw_loop_now_us(s->task.loop), lsn = pw_db_data_lsn(&s->data);
	uint64_t silence_us = now_us - s->replica.last_received_us;
	/* The age of the data is unknown until a message from a primary has been applied. */
	uint64_t age_us = s->replica.applied_generated_us
				  ? now_us - MIN(now_us, s->replica.applied_generated_us)
				  : INT32_MAX * PW_US_PER_MS;
	bool primary = s->role == PW_DB_ROLE_PRIMARY;
	const uint64_t numbers[] = { s->term,
				     pw_db_data_term_at(&s->data, lsn),
				     lsn,
				     s->term_start_lsn,
				     primary ? 0 : silence_us / PW_US_PER_MS,
				     primary ? 0 : age_us / PW_US_PER_MS };
	char text[G_N_ELEMENTS(numbers)][NUMBER_SIZE_BYTES];
	const char *row[COLUMNS_MAX] = { pw_db_server_role_name(s) };

	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
		snprintf(text[i], NUMBER_SIZE_BYTES, "%" PRIu64, numbers[i]);
		row[i + 1] = text[i];
	}
	put_row(c, row);
}

struct row_visitor {
	struct pw_db_conn *c; /**< receives the rows; NULL: the rows are only counted */
	uint32_t count;
};

static gboolean visit_row(gpointer key, gpointer value, gpointer data)
{
	const GPtrArray *values = value;
	struct row_visitor *visitor = data;

	for (guint i = 0; i < values->len; i++, visitor->count++) {
		const char *row[] = { key, values->pdata[i] };

		if (!visitor->c)
			continue;
		if (visitor->c->statement.sql->kind == PW_SQL_SELECT_V)
			put_value(visitor->c, row[1]);
		else
			put_row(visitor->c, row);
	}
	return FALSE;
}

/*
 * Returns the number of rows that the transaction sees in the statement's table; unless `k` is
 * NULL, only rows with this key count. If `add_to_output` is set, also adds the rows to the output.
 */
static uint32_t visit_rows(struct pw_db_conn *c, const char *k, bool add_to_output)
{
	struct row_visitor visitor = { .c = add_to_output ? c : NULL };
	GTree *view = pw_db_data_view(&c->server->data, c->changes, c->statement.sql->name, k);

	g_tree_foreach(view, visit_row, &visitor);
	g_tree_unref(view);
	return visitor.count;
}

static int run_write(struct pw_db_conn *c, char *tag)
{
	const struct pw_sql *q = c->statement.sql;
	const char *k = arg_text(c, 0);
	uint32_t row_count = 1;

	if (!can_write(c->server, c->statement_term))
		return pw_db_exec_fail(c, "25006", "the server is not the primary");
	if (!k)
		return pw_db_exec_fail(c, "23502", "k is null");
	if (q->kind != PW_SQL_INSERT)
		row_count = visit_rows(c, k, false);
	if (c->changes->len == 0)
		c->changes_term = c->statement_term;
	pw_db_changes_add(c->changes, "IUD"[q->kind - PW_SQL_INSERT], q -> name, k,
			  q -> kind == PW_SQL_DELETE ? NULL : arg_text(c, 1));
	snprintf(tag, NUMBER_SIZE_BYTES, "%s %u",
		 q->kind == PW_SQL_INSERT   ? "INSERT 0"
		 : q->kind == PW_SQL_UPDATE ? "UPDATE"
					    : "DELETE",
		 row_count);
	/* In the extended protocol an implicit transaction ends at Sync. */
	return c->transaction_status == 'I' && !c->uses_extended_protocol ? commit_changes(c)
									  : PW_OK;
}

static int run_transaction_end(struct pw_db_conn *c, bool rollback, char *tag)
{
	int rc = PW_OK;

	if (c->transaction_status == 'E' || rollback) {
		discard_changes(c);
		rollback = true;
	} else {
		rc = commit_changes(c);
	}
	c->transaction_status = 'I';
	strcpy(tag, rollback ? "ROLLBACK" : "COMMIT");
	return rc;
}

/*
 * Returns whether a proxy's connection, control connections excluded, is in a statement or
 * transaction.
 */
static bool is_busy(const struct pw_db_conn *c)
{
	return c->counts_towards_limit && !c->is_control &&
	       (c->phase != PW_DB_PHASE_IDLE || c->transaction_status != 'I');
}

/* Updates the peak. `starting_conn` counts as busy, although its phase does not show that yet. */
static void update_busy_peak(struct pw_db_server *s, const struct pw_db_conn *starting_conn)
{
	int32_t n = starting_conn->counts_towards_limit && !starting_conn->is_control;

	for (guint i = 0; i < s->conns->len; i++)
		n += s->conns->pdata[i] != starting_conn && is_busy(s->conns->pdata[i]);
	s->busy_peak = MAX(s->busy_peak, n);
}

/* Answers with "CONNECTIONS/BUSY", the peaks since the previous call, and resets both peaks. */
static void put_peaks(struct pw_db_conn *c)
{
	struct pw_db_server *s = c->server;
	char text[2 * NUMBER_SIZE_BYTES];

	snprintf(text, sizeof(text), "%d/%d", s->connections_peak, s->busy_peak);
	s->connections_peak = pw_db_conn_count_from_proxies(s);
	s->busy_peak = 0;
	put_value(c, text);
}

static int run_show(struct pw_db_conn *c)
{
	const char *name = c->statement.sql->name, *value = g_hash_table_lookup(c->settings, name);

	if (strcmp(name, "pw_load") == 0) {
		put_peaks(c);
		return PW_OK;
	}
	if (strcmp(name, "name") == 0)
		value = c->server->options->name ? c->server->options->name : "";
	else if (strcmp(name, "transaction_read_only") == 0)
		value = c->server->role == PW_DB_ROLE_PRIMARY ? "off" : "on";
	else if (!value && strcmp(name, "server_version") == 0)
		value = "15.0";
	if (!value)
		return pw_db_exec_fail(c, "42704", "the setting does not exist");
	put_value(c, value);
	return PW_OK;
}

static int run_control(struct pw_db_conn *c)
{
	struct pw_db_server *s = c->server;
	const char *text = arg_text(c, 1);
	int rc = PW_OK;

	if (c->statement.sql->kind != PW_SQL_STATUS && !c->is_control)
		return pw_db_exec_fail(c, "42501", "only the control user may run this");
	if (c->statement.sql->kind != PW_SQL_STATUS && !text)
		return pw_db_exec_fail(c, "22004", "an argument is null");
	switch (c->statement.sql->kind) {
	case PW_SQL_FENCE:
		rc = pw_db_server_fence(s, arg_u64(c, 0), text);
		break;
	case PW_SQL_PROMOTE:
		rc = pw_db_server_promote(s, arg_u64(c, 0), text);
		break;
	case PW_SQL_FOLLOW:
		rc = pw_db_server_follow(s, arg_u64(c, 0), text);
		break;
	case PW_SQL_FAULT: {
		const char *row[] = { arg_text(c, 0) ? arg_text(c, 0) : "", text };

		rc = pw_db_server_inject_fault(s, row[0], text);
		if (rc)
			return pw_db_exec_fail(c, "22023", pw_error_message());
		put_row(c, row);
		return PW_OK;
	}
	case PW_SQL_STREAM:
		if (arg_u64(c, 0) > s->term && s->role == PW_DB_ROLE_PRIMARY)
			pw_db_server_step_down(s, arg_u64(c, 0), NULL);
		if (s->role != PW_DB_ROLE_PRIMARY)
			return pw_db_exec_fail(c, "55000", "the server is not a primary");
		pw_db_stream_start(c, arg_u64(c, 1), arg_u64(c, 2));
		return PW_OK;
	default:
		break;
	}
	if (rc)
		return pw_db_exec_fail(c, "55000", pw_error_message());
	put_status(c);
	return PW_OK;
}

/*
 * Runs the statement, adds its rows to the output and sets the command tag. On failure, adds an
 * ErrorResponse, unless a fault closed the connection.
 */
static int run_statement(struct pw_db_conn *c, char *tag)
{
	const struct pw_sql *q = c->statement.sql;
	uint32_t row_count = 1;
	char text[NUMBER_SIZE_BYTES];

	if (c->transaction_status == 'E' && q->kind != PW_SQL_COMMIT && q->kind != PW_SQL_ROLLBACK)
		return pw_db_exec_fail(c, "25P02", "the transaction is aborted");
	switch (q->kind) {
	case PW_SQL_EMPTY:
		return PW_OK;
	case PW_SQL_BEGIN:
		c->transaction_status = 'T';
		strcpy(tag, "BEGIN");
		return PW_OK;
	case PW_SQL_COMMIT:
	case PW_SQL_ROLLBACK:
		return run_transaction_end(c, q->kind == PW_SQL_ROLLBACK, tag);
	case PW_SQL_INSERT:
	case PW_SQL_UPDATE:
	case PW_SQL_DELETE:
		return run_write(c, tag);
	case PW_SQL_SET:
		if (q->name)
			g_hash_table_replace(c->settings, g_strdup(q->name),
					     g_strdup(arg_text(c, 0)));
		strcpy(tag, "SET");
		return PW_OK;
	default:
		break;
	}
	if (!c->uses_extended_protocol && q->kind != PW_SQL_STREAM)
		pw_db_exec_describe(c, q);
	strcpy(tag, "SHOW");
	switch (q->kind) {
	case PW_SQL_SHOW:
		return run_show(c);
	case PW_SQL_SELECT_V:
	case PW_SQL_SELECT_ALL:
		row_count = visit_rows(c, q->kind == PW_SQL_SELECT_V ? arg_text(c, 0) : NULL, true);
		break;
	case PW_SQL_SELECT_COUNT:
		snprintf(text, sizeof(text), "%u", visit_rows(c, NULL, false));
		put_value(c, text);
		break;
	case PW_SQL_SELECT_VALUE:
		put_value(c, arg_text(c, 0));
		break;
	case PW_SQL_SLEEP:
		put_value(c, "");
		break;
	case PW_SQL_ECHO:
		put_value(c, arg_text(c, 0));
		break;
	default:
		if (run_control(c))
			return PW_EINVALID;
		break;
	}
	snprintf(tag, NUMBER_SIZE_BYTES, "SELECT %u", row_count);
	return PW_OK;
}

/*
 * Completes the answer to the statement, whose result is `rc`, and holds it back if the fault
 * "delay_ms" is active.
 */
static void finish_statement(struct pw_db_conn *c, int rc, const char *tag)
{
	struct pw_db_server *s = c->server;
	bool is_empty = c->statement.sql->kind == PW_SQL_EMPTY;
	/* The echo comes with the answer before it, which was delayed. */
	bool is_echo = c->statement.sql->kind == PW_SQL_ECHO;

	pw_db_portal_clear(&c->statement);
	c->phase = PW_DB_PHASE_IDLE;
	if (c->closed || c->state == PW_DB_CONN_STREAMING)
		return;
	if (rc == PW_OK && is_empty)
		pw_pg_put_empty_message(c->out, 'I');
	else if (rc == PW_OK)
		pw_pg_put_command_complete(c->out, tag);
	if (c->uses_extended_protocol)
		c->skip_until_sync = rc != PW_OK;
	else
		pw_db_conn_put_ready(c);
	if (s->answer_delay_ms > 0 && !is_echo && !pw_db_conn_is_test(c)) {
		c->phase = PW_DB_PHASE_ANSWER_DELAYED;
		pw_loop_timer_set(s->task.loop, &c->timer,
				  pw_loop_now_us(s->task.loop) +
					  (uint64_t)s->answer_delay_ms * PW_US_PER_MS);
	}
}

static void run_and_finish(struct pw_db_conn *c)
{
	char tag[NUMBER_SIZE_BYTES] = "";
	int rc = run_statement(c, tag);

	finish_statement(c, rc, tag);
}

static uint64_t run_time_us(const struct pw_db_conn *c)
{
	uint64_t time_us = (uint64_t)c->server->options->statement_us;
	const char *seconds = arg_text(c, 0);

	if (c->statement.sql->kind == PW_SQL_SLEEP && seconds)
		time_us += (uint64_t)(g_ascii_strtod(seconds, NULL) * (double)PW_US_PER_S);
	return time_us;
}

/* Gives free slots to queued statements in the order of their arrival. */
static void assign_slots(struct pw_db_server *s)
{
	while (s->slots_in_use < s->options->slots && !g_queue_is_empty(&s->slot_queue)) {
		struct pw_db_conn *c = g_queue_pop_head(&s->slot_queue);

		s->slots_in_use++;
		c->phase = PW_DB_PHASE_RUNNING;
		pw_loop_timer_set(s->task.loop, &c->timer,
				  pw_loop_now_us(s->task.loop) + run_time_us(c));
	}
}

void pw_db_exec_start(struct pw_db_conn *c, struct pw_db_portal *p, bool extended)
{
	struct pw_db_server *s = c->server;

	c->statement = *p;
	c->statement_term = s->term;
	c->uses_extended_protocol = extended;
	update_busy_peak(s, c);
	if (c->statement.sql->kind >= PW_SQL_ECHO ||
	    (s->slots_in_use < s->options->slots && run_time_us(c) == 0)) {
		run_and_finish(c);
		return;
	}
	c->phase = PW_DB_PHASE_QUEUED;
	g_queue_push_tail(&s->slot_queue, c);
	assign_slots(s);
}

void pw_db_exec_release_slot(struct pw_db_conn *c)
{
	if (c->phase == PW_DB_PHASE_QUEUED)
		g_queue_remove(&c->server->slot_queue, c);
	else if (c->phase == PW_DB_PHASE_RUNNING)
		c->server->slots_in_use--;
	c->phase = PW_DB_PHASE_IDLE;
	assign_slots(c->server);
}

void pw_db_exec_timer_expired(struct pw_db_conn *c)
{
	if (c->phase == PW_DB_PHASE_RUNNING) {
		pw_db_exec_release_slot(c);
		run_and_finish(c);
	} else {
		c->phase = PW_DB_PHASE_IDLE;
	}
	pw_db_conn_resume(c);
}

void pw_db_exec_cancel(struct pw_db_conn *c)
{
	if (c->phase != PW_DB_PHASE_QUEUED && c->phase != PW_DB_PHASE_RUNNING)
		return;
	pw_loop_timer_clear(c->server->task.loop, &c->timer);
	pw_db_exec_release_slot(c);
	finish_statement(c, pw_db_exec_fail(c, "57014", "the statement was cancelled"), NULL);
	pw_db_conn_resume(c);
}
