#include "session.h"

#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>

#include "log.h"
#include "outbox.h"
#include "pw/core/clock.h"
#include "pw/core/stream.h"
#include "record.h"
#include "statement.h"
#include "wire.h"

struct prepared {
	enum statement_kind kind;
	GBytes *shape;
};

/* A write of a transaction that is not committed yet. */
struct pending_write {
	GBytes *item;
	GBytes *data;
	json_t *record; /**< entry of the record, or NULL */
};

struct conn {
	struct pw_stream stream;
	struct pw_timer timer; /**< run time of the pending statement */
	struct server *server;
	struct outbox outbox;
	struct answer answer;      /**< to the statement that is being handled */
	GBytes *account;           /**< NULL before STARTUP */
	struct statement *pending; /**< statement whose run time has not passed yet, or NULL */
	GPtrArray *writes;         /**< of struct pending_write */
	GHashTable *values;        /**< name -> value, both GBytes */
	GHashTable *prepared;      /**< name, a GBytes -> struct prepared */
	uint64_t transaction;      /**< number of the transaction; 0: none */
	bool read_only;
	bool transaction_failed;
	bool waits; /**< the pending statement waits for a slot */
	bool closed;
};

static void pending_write_free(gpointer data)
{
	struct pending_write *w = data;

	g_bytes_unref(w->item);
	g_bytes_unref(w->data);
	json_decref(w->record);
	g_free(w);
}

static void prepared_free(gpointer data)
{
	struct prepared *p = data;

	g_bytes_unref(p->shape);
	g_free(p);
}

static struct faults *faults_of(const struct conn *c)
{
	return &c->server->databases->faults;
}

/* Starts the run time of the pending statement. */
static void start_run(struct conn *c)
{
	c->waits = false;
	c->server->running_count++;
	pw_loop_timer_set(c->server->databases->loop, &c->timer,
			  pw_clock_now_us() + faults_of(c)->run_time_us);
}

/* Frees the slot of a statement, and gives it to one that waits. */
static void free_slot(struct server *s)
{
	struct conn *next = g_queue_pop_head(&s->waiting);

	s->running_count--;
	if (next)
		start_run(next);
}

void session_close(struct conn *c)
{
	if (c->closed)
		return;
	c->closed = true;
	pw_loop_timer_clear(c->server->databases->loop, &c->timer);
	outbox_dispose(&c->outbox);
	pw_stream_dispose(&c->stream);
	g_hash_table_remove(c->server->conns, c);
	g_clear_pointer(&c->account, g_bytes_unref);
	if (c->waits)
		g_queue_remove(&c->server->waiting, c);
	else if (c->pending)
		free_slot(c->server);
	g_clear_pointer(&c->pending, statement_free);
	g_ptr_array_unref(c->writes);
	g_hash_table_unref(c->values);
	g_hash_table_unref(c->prepared);
	g_ptr_array_add(c->server->databases->closed_conns, c);
}

static void start_answer(struct conn *c)
{
	c->answer = (struct answer){ .bytes = g_byte_array_new() };
}

static void put_format(struct conn *c, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void put_format(struct conn *c, const char *format, ...)
{
	char *text;
	va_list ap;

	va_start(ap, format);
	text = g_strdup_vprintf(format, ap);
	va_end(ap);
	wire_append(c->answer.bytes, wire_text_of_string(text));
	g_free(text);
}

static void put_row(struct conn *c, const struct statement *s, struct wire_text row)
{
	put_format(c, "DATAROW ");
	wire_append(c->answer.bytes, row);
	put_format(c, "\r\n");
	c->answer.rows_end = c->answer.bytes->len;
	record_row(s->record, row);
}

static void put_ready(struct conn *c)
{
	const struct server *s = c->server;

	c->answer.ready_start = c->answer.bytes->len;
	put_format(c, "READY %s %" PRIu64 ".%u\r\n",
		   c->transaction_failed ? "E"
		   : c->transaction      ? "T"
					 : "I",
		   log_last_term(s->log), s->log->len);
}

/* Returns the kinds of the answer to a statement, apart from its outcome. */
static uint32_t answer_kinds(const struct statement *s)
{
	if (s->verb == VERB_BEGIN)
		return ANSWER_ALL | ANSWER_BEGIN;
	if (s->verb == VERB_STATUS)
		return ANSWER_ALL | ANSWER_STATUS;
	return ANSWER_ALL | (s->is_own ? ANSWER_OWN : 0);
}

/* Sends the answer. Returns how many bytes of it are sent. */
static gsize send_answer(struct conn *c, uint32_t kinds)
{
	struct delivery d;
	gsize size;

	c->answer.kinds = kinds;
	d = faults_plan_delivery(faults_of(c), &c->answer);
	size = g_bytes_get_size(d.bytes);
	outbox_add(&c->outbox, d);
	g_byte_array_unref(c->answer.bytes);
	c->answer.bytes = NULL;
	return size;
}

static void send_error(struct conn *c, const struct statement *s, const char *code)
{
	if (c->transaction || faults_of(c)->fails_state)
		c->transaction_failed = true;
	record_error(s->record, code);
	put_format(c, "ERROR %s %s\r\n", code, c->server->id);
	put_ready(c);
	(void)send_answer(c, answer_kinds(s) | ANSWER_ERROR);
}

static void send_unsigned(struct conn *c, const struct statement *s)
{
	record_success(s->record, "");
	put_format(c, "COMPLETE -\r\n");
	put_ready(c);
	(void)send_answer(c, answer_kinds(s));
}

/* Sends the rows only; the rest of the answer is lost. */
static void send_rows(struct conn *c)
{
	struct delivery d = { .bytes = g_byte_array_free_to_bytes(c->answer.bytes) };

	c->answer.bytes = NULL;
	outbox_add(&c->outbox, d);
}

/* Completes a read, a write or a commit; the result carries a signature, and may be lost. */
static void send_signed(struct conn *c, const struct statement *s)
{
	struct databases *d = c->server->databases;
	uint64_t number = ++d->last_signature;
	char *signature = g_strdup_printf("sig.%s.%" PRIu64, c->server->id, number);

	if (d->faults.lost_every && number % d->faults.lost_every == 0) {
		send_rows(c);
		record_success(s->record, "");
	} else {
		gsize sent_bytes;

		put_format(c, "COMPLETE %s\r\n", signature);
		put_ready(c);
		sent_bytes = send_answer(c, answer_kinds(s) | ANSWER_SIGNED);
		record_success(s->record, sent_bytes >= c->answer.ready_start ? signature : "");
	}
	g_free(signature);
}

static GBytes *format_values(GHashTable *values)
{
	GList *names = g_list_sort(g_hash_table_get_keys(values), g_bytes_compare);
	GByteArray *text = g_byte_array_new();

	for (GList *l = names; l; l = l->next) {
		wire_append(text, wire_text_of(l->data));
		wire_append(text, wire_text_of_string("="));
		wire_append(text, wire_text_of(g_hash_table_lookup(values, l->data)));
		wire_append(text, wire_text_of_string(";"));
	}
	g_list_free(names);
	return g_byte_array_free_to_bytes(text);
}

/*
 * Returns the row of an item; NULL if it has none. For tests, the items @values, @account and
 * @server return state of the connection or server.
 */
static GBytes *read_item(const struct conn *c, struct wire_text item)
{
	const struct server *s = c->server;
	GBytes *key, *data;
	char *text;

	if (wire_equals(item, "@values"))
		return format_values(c->values);
	if (wire_equals(item, "@account"))
		return g_bytes_ref(c->account);
	if (wire_equals(item, "@server")) {
		text = g_strdup_printf("%s %s", s->id, s->primary ? "primary" : "replica");
		return g_bytes_new_take(text, strlen(text));
	}
	key = wire_copy(item);
	data = log_find(s->log, key);
	g_bytes_unref(key);
	if (data)
		return g_bytes_ref(data);
	return faults_of(c)->omits_empty_rows ? NULL : g_bytes_new_static("none", strlen("none"));
}

static void run_read(struct conn *c, struct statement *s)
{
	GBytes *row = read_item(c, s->item);

	if (row)
		put_row(c, s, wire_text_of(row));
	g_clear_pointer(&row, g_bytes_unref);
	send_signed(c, s);
}

static void run_write(struct conn *c, struct statement *s)
{
	GBytes *item = wire_copy(s->item), *data = wire_copy(s->data);
	struct pending_write *w;

	if (c->transaction) {
		w = g_new0(struct pending_write, 1);
		w->item = g_bytes_ref(item);
		w->data = g_bytes_ref(data);
		w->record = json_incref(s->record);
		g_ptr_array_add(c->writes, w);
	} else {
		log_append(c->server->log, c->server->term, item, data);
		record_committed(s->record);
	}
	g_bytes_unref(item);
	g_bytes_unref(data);
	send_signed(c, s);
}

static void run_execute(struct conn *c, struct statement *s)
{
	if (s->kind == STATEMENT_WRITE)
		run_write(c, s);
	else
		run_read(c, s);
}

static void reset_transaction(struct conn *c)
{
	c->transaction = 0;
	c->transaction_failed = false;
	c->read_only = false;
	g_ptr_array_set_size(c->writes, 0);
}

static void run_commit(struct conn *c, struct statement *s)
{
	bool failed = c->transaction_failed;
	bool demoted = c->writes->len && !c->server->primary;

	for (guint i = 0; !failed && !demoted && i < c->writes->len; i++) {
		const struct pending_write *w = g_ptr_array_index(c->writes, i);

		log_append(c->server->log, c->server->term, w->item, w->data);
		record_committed(w->record);
	}
	reset_transaction(c);
	if (failed)
		send_error(c, s, "ABORTED");
	else if (demoted)
		send_error(c, s, "READONLY");
	else
		send_signed(c, s);
}

static void run_begin(struct conn *c, struct statement *s)
{
	c->transaction = ++c->server->databases->last_transaction;
	c->read_only = s->read_only;
	send_unsigned(c, s);
}

static void run_rollback(struct conn *c, struct statement *s)
{
	reset_transaction(c);
	send_unsigned(c, s);
}

static void run_set(struct conn *c, struct statement *s)
{
	if (faults_select(&faults_of(c)->set_failures)) {
		send_error(c, s, "FAILED");
		return;
	}
	if (faults_of(c)->refused_sets) {
		faults_of(c)->refused_sets--;
		send_error(c, s, "FAILED");
		return;
	}
	g_hash_table_replace(c->values, wire_copy(s->name), wire_copy(s->data));
	send_unsigned(c, s);
}

static void run_prepare(struct conn *c, struct statement *s)
{
	struct prepared *p = g_new0(struct prepared, 1);

	p->kind = s->prepared_kind;
	p->shape = g_bytes_ref(s->shape);
	g_hash_table_replace(c->prepared, wire_copy(s->name), p);
	send_unsigned(c, s);
}

static void run_close(struct conn *c, struct statement *s)
{
	GBytes *name = wire_copy(s->name);
	bool found = g_hash_table_remove(c->prepared, name);

	g_bytes_unref(name);
	if (found)
		send_unsigned(c, s);
	else
		send_error(c, s, "NOSTMT");
}

static void run_reset(struct conn *c, struct statement *s)
{
	g_hash_table_remove_all(c->values);
	g_hash_table_remove_all(c->prepared);
	send_unsigned(c, s);
}

static void run_status(struct conn *c, struct statement *s)
{
	const struct server *v = c->server;
	char *row =
		g_strdup_printf("%s %" PRIu64 " %" PRIu64 ".%u %" PRIu64 " 0 0 %u",
				v->primary ? "primary" : "replica", v->term, log_last_term(v->log),
				v->log->len, v->term, g_hash_table_size(v->conns));

	put_row(c, s, wire_text_of_string(row));
	g_free(row);
	send_unsigned(c, s);
}

static void run_stepdown(struct conn *c, struct statement *s)
{
	if (c->server->term < s->term)
		c->server->primary = false;
	run_status(c, s);
}

static const struct action {
	void (*run)(struct conn *c, struct statement *s);
	bool ends_transaction;  /**< runs in a failed transaction */
	bool ignores_lost_lead; /**< runs in a plain transaction after the server has lost the lead
				 */
} actions[VERB_COUNT] = {
	[VERB_READ] = { .run = run_read },
	[VERB_WRITE] = { .run = run_write },
	[VERB_EXECUTE] = { .run = run_execute },
	[VERB_COMMIT] = { .run = run_commit, .ends_transaction = true, .ignores_lost_lead = true },
	[VERB_BEGIN] = { .run = run_begin },
	[VERB_ROLLBACK] = { .run = run_rollback,
			    .ends_transaction = true,
			    .ignores_lost_lead = true },
	[VERB_SET] = { .run = run_set },
	[VERB_PREPARE] = { .run = run_prepare },
	[VERB_CLOSE] = { .run = run_close },
	[VERB_RESET] = { .run = run_reset, .ignores_lost_lead = true },
	[VERB_STATUS] = { .run = run_status, .ignores_lost_lead = true },
	[VERB_STEPDOWN] = { .run = run_stepdown, .ignores_lost_lead = true },
};

/* Returns whether the statement needs a primary, or a plain transaction that has lost it. */
static bool is_refused_by_role(const struct conn *c, const struct statement *s)
{
	bool is_plain = c->transaction && !c->read_only;

	if (s->kind == STATEMENT_WRITE && c->read_only)
		return true;
	if (c->server->primary)
		return false;
	return s->kind == STATEMENT_WRITE || (s->verb == VERB_BEGIN && !s->read_only) ||
	       (is_plain && !actions[s->verb].ignores_lost_lead);
}

/* Returns the code of the error with which the server refuses the statement, or NULL. */
static const char *find_refusal(const struct conn *c, const struct statement *s)
{
	if (s->verb == VERB_MALFORMED ||
	    (c->transaction_failed && !actions[s->verb].ends_transaction) ||
	    (s->waits_for_position && s->kind == STATEMENT_WRITE))
		return "MALFORMED";
	if (s->verb == VERB_EXECUTE && s->kind == STATEMENT_OTHER)
		return "NOSTMT";
	if (s->waits_for_position && c->server->log->len < s->position)
		return "LAGGING";
	if (is_refused_by_role(c, s))
		return "READONLY";
	return s->kind != STATEMENT_OTHER && faults_fail_statement(faults_of(c), "") ? "FAILED"
										     : NULL;
}

/* Runs a statement, or answers it with an error if `code` is not NULL. */
static void answer_statement(struct conn *c, struct statement *s, const char *code)
{
	start_answer(c);
	record_state(s->record, c->transaction, c->values);
	if (code)
		send_error(c, s, code);
	else
		actions[s->verb].run(c, s);
}

static void run_timer_expired(struct pw_timer *t, uint64_t now_us);
static const struct pw_timer_ops run_timer_ops = { .expire = run_timer_expired };

static void resolve_execute(const struct conn *c, struct statement *s)
{
	GBytes *name;
	const struct prepared *p;

	if (s->verb != VERB_EXECUTE)
		return;
	name = wire_copy(s->name);
	p = g_hash_table_lookup(c->prepared, name);
	if (p)
		statement_resolve(s, p->kind, p->shape);
	g_bytes_unref(name);
}

static bool is_busy(struct conn *c, const struct statement *s, bool is_full)
{
	if (c->transaction_failed)
		return false;
	if ((s->kind != STATEMENT_OTHER || s->verb == VERB_BEGIN) &&
	    faults_select(&faults_of(c)->busy))
		return true;
	return is_full && c->server->waiting.length >= faults_of(c)->queue_length;
}

/* Handles "ID STATEMENT". */
static void handle_query(struct conn *c, struct wire_text message)
{
	const struct faults *f = faults_of(c);
	struct databases *d = c->server->databases;
	struct statement *s = statement_new(message);
	bool has_run_time = false, is_full;

	resolve_execute(c, s);
	has_run_time = s->kind != STATEMENT_OTHER || (f->slow_begins && s->verb == VERB_BEGIN);
	is_full = f->slots && has_run_time && c->server->running_count >= f->slots;
	g_hash_table_add(d->started_ids, wire_copy(s->id));
	c->server->own_count += s->is_own;
	record_add(d->record, s, c->server->id, c->account);
	if (is_busy(c, s, is_full)) {
		answer_statement(c, s, "BUSY");
	} else if (has_run_time && faults_fail_statement(faults_of(c), c->server->id)) {
		answer_statement(c, s, "FAILED");
	} else if (f->run_time_us && has_run_time) {
		c->pending = s;
		pw_stream_pause(&c->stream, true);
		c->waits = is_full;
		if (is_full)
			g_queue_push_tail(&c->server->waiting, c);
		else
			start_run(c);
		return;
	} else {
		answer_statement(c, s, find_refusal(c, s));
	}
	statement_free(s);
}

static void refuse_startup(struct conn *c, const char *code)
{
	struct delivery d;

	start_answer(c);
	put_format(c, "ERROR %s %s\r\n", code, c->server->id);
	d = (struct delivery){ .bytes = g_byte_array_free_to_bytes(c->answer.bytes),
			       .closes = true };
	c->answer.bytes = NULL;
	outbox_add(&c->outbox, d);
}

/* Handles "GROUP ACCOUNT [SERVER_ID]". */
static void handle_startup(struct conn *c, struct wire_text rest)
{
	const struct faults *f = faults_of(c);
	struct wire_text group = wire_cut_field(&rest), account = wire_cut_field(&rest);
	bool is_valid = wire_equals(group, c->server->group->name) && account.data &&
			(!rest.data || wire_equals(rest, c->server->id));

	if (f->resets_opens) {
		const struct linger no_linger = { .l_onoff = 1 };

		/* Closing the socket then sends a reset. */
		(void)setsockopt(c->stream.source.fd, SOL_SOCKET, SO_LINGER, &no_linger,
				 sizeof(no_linger));
		session_close(c);
	} else if (!is_valid) {
		refuse_startup(c, "MISROUTED");
	} else if (f->conn_limit && g_hash_table_size(c->server->conns) > f->conn_limit) {
		refuse_startup(c, "CONNLIMIT");
	} else {
		c->account = wire_copy(account);
		start_answer(c);
		put_ready(c);
		(void)send_answer(c, ANSWER_ALL | ANSWER_STARTUP);
	}
}

/* Handles a message. Any but STARTUP as the first one and then QUERY ends the connection. */
static void handle_line(struct conn *c, struct wire_text line)
{
	struct wire_text rest = line, word = wire_cut_field(&rest);

	if (wire_equals(word, "STARTUP") && rest.data && !c->account)
		handle_startup(c, rest);
	else if (wire_equals(word, "QUERY") && rest.data && c->account)
		handle_query(c, rest);
	else
		session_close(c);
}

static void stream_received(struct pw_stream *s)
{
	struct conn *c = (struct conn *)s;

	if (c->server->unresponsive) {
		pw_stream_consume(s, UINT32_MAX);
		return;
	}
	while (!c->closed && !c->outbox.closing && !c->pending) {
		struct wire_text line;
		enum wire_result rc = wire_next_line(&line, s->input);
		GBytes *copy;

		if (rc == WIRE_TOO_LONG)
			session_close(c);
		if (rc != WIRE_LINE)
			return;
		copy = wire_copy(line);
		pw_stream_consume(s, (uint32_t)line.size_bytes + 2);
		handle_line(c, wire_text_of(copy));
		g_bytes_unref(copy);
	}
}

static void run_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct conn *c = (struct conn *)((char *)t - offsetof(struct conn, timer));
	struct statement *s = g_steal_pointer(&c->pending);

	(void)now_us;
	free_slot(c->server);
	if (!c->server->unresponsive)
		answer_statement(c, s, find_refusal(c, s));
	statement_free(s);
	if (c->closed)
		return;
	pw_stream_pause(&c->stream, false);
	stream_received(&c->stream);
}

static void stream_closed(struct pw_stream *s)
{
	session_close((struct conn *)s);
}

static const struct pw_stream_ops stream_ops = { .received = stream_received,
						 .closed = stream_closed };

static GHashTable *name_table_new(GDestroyNotify free_value)
{
	return g_hash_table_new_full(g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref,
				     free_value);
}

void session_accept(struct server *s, int32_t fd)
{
	struct conn *c = g_new0(struct conn, 1);

	c->server = s;
	c->timer.ops = &run_timer_ops;
	c->writes = g_ptr_array_new_with_free_func(pending_write_free);
	c->values = name_table_new((GDestroyNotify)g_bytes_unref);
	c->prepared = name_table_new(prepared_free);
	g_hash_table_add(s->conns, c);
	if (pw_stream_init(&c->stream, &stream_ops, s->databases->loop, fd))
		g_error("the stand-in cannot accept a connection");
	/* Reading pauses at the limit, which has to leave room for the largest line. */
	c->stream.read_limit_bytes = 2 * WIRE_LINE_MAX_BYTES;
	outbox_init(&c->outbox, s->databases->loop, &c->stream, &s->databases->faults);
}
