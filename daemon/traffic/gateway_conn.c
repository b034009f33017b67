#include "gateway_private.h"

#include <string.h>

#include <inttypes.h>

#include "pw/core/counter.h"
#include "pw/core/error.h"
#include "pw/core/event.h"

/* TCP keepalive takes 2 + 2 * 1 seconds to detect that the other end of a connection is gone. */
#define KEEPALIVE_IDLE_S             2
#define KEEPALIVE_INTERVAL_S         1
#define KEEPALIVE_PROBES             2
#define KEEPALIVE_UNACKED_TIMEOUT_MS 4000

/* Answers to a fence: a begin and its rollback. */
#define FENCE_ANSWERS 2

/* Limit on the prepared statements of a connection at its server; not enforced. */
#define CONN_PREPARED_MAX 64

static struct conn *conn_of(struct pw_stream *stream)
{
	return (struct conn *)stream;
}

static struct gateway *gateway_of(const struct conn *c)
{
	return c->server->group->gateway;
}

static const struct pw_server_dialect_ops *dialect(const struct conn *c)
{
	return gateway_of(c)->server_dialect->ops;
}

static void set_timeout(struct conn *c, uint64_t after_us)
{
	struct gateway *g = gateway_of(c);

	pw_loop_timer_set(g->task.loop, &c->timer, gateway_now_us(g) + after_us);
}

static void clear_timeout(struct conn *c)
{
	pw_loop_timer_clear(gateway_of(c)->task.loop, &c->timer);
}

static void count_bytes(const struct conn *c, enum pw_counter direction, uint64_t size_bytes)
{
	pw_counter_add(direction, size_bytes);
	if (c->server->distance == PW_DISTANCE_OTHER_REGION)
		pw_counter_add(PW_COUNTER_UPSTREAM_BYTES_REMOTE, size_bytes);
}

static void send_bytes(struct conn *c, GByteArray *b)
{
	count_bytes(c, PW_COUNTER_UPSTREAM_BYTES_SENT, b->len);
	pw_silence_record_sent(&c->server->silence, &c->unanswered_since_us,
			       gateway_now_us(gateway_of(c)));
	pw_stream_send(&c->stream, b->data, b->len);
	g_byte_array_unref(b);
	gw_memory_check(gateway_of(c));
}

static bool has_statement_in_flight(const struct conn *c)
{
	return c->state == CONN_PREPARING || c->state == CONN_BEGINNING || c->state == CONN_RUNNING;
}

/* Adds to the number of statements in flight at the server and of the account. */
static void adjust_in_flight(struct conn *c, int32_t change)
{
	c->server->in_flight += (uint32_t)change;
	c->account->in_flight += (uint32_t)change;
}

static void set_state(struct conn *c, enum conn_state state)
{
	bool was_in_flight = has_statement_in_flight(c);

	c->state = state;
	if (was_in_flight != has_statement_in_flight(c))
		adjust_in_flight(c, was_in_flight ? -1 : 1);
}

/* Returns the kind of answer that the connection waits for. */
static enum pw_answer_due answer_due(const struct conn *c)
{
	switch (c->state) {
	case CONN_OPENING:
		return PW_ANSWER_DUE_OPENING;
	case CONN_IDLE:
		return c->control_answers_pending ? PW_ANSWER_DUE_CLEANUP : PW_ANSWER_DUE_NONE;
	case CONN_PREPARING:
		if (c->control_answers_pending)
			return PW_ANSWER_DUE_CONTROL;
		return c->fence_answers_pending == FENCE_ANSWERS ? PW_ANSWER_DUE_FENCE
								 : PW_ANSWER_DUE_FENCE_END;
	case CONN_BEGINNING:
		return PW_ANSWER_DUE_BEGIN;
	case CONN_RUNNING:
		return c->work->writes || c->work->is_commit ? PW_ANSWER_DUE_WRITE
							     : PW_ANSWER_DUE_READ;
	case CONN_ROLLING_BACK:
		return PW_ANSWER_DUE_CLEANUP;
	default:
		return PW_ANSWER_DUE_NONE;
	}
}

static const char *statement_id(const struct conn *c)
{
	return c->work ? c->work->statement->id : "";
}

static uint64_t since_sent_ms(const struct conn *c)
{
	return (gateway_now_us(gateway_of(c)) - c->sent_us) / PW_US_PER_MS;
}

static void log_suspect_answer(const struct conn *c, enum pw_answer_due due,
			       enum pw_answer_verdict verdict)
{
	static const char *const ends[] = { "none", "success", "error" };
	const struct pw_answer *a = &c->answer;

	pw_event_log(verdict == PW_ANSWER_FOREIGN ? PW_EVENT_ANSWER_FOREIGN
						  : PW_EVENT_ANSWER_UNCERTAIN,
		     "database=%s server=%s due=%s id=%s end=%s signature=%s rows=%u"
		     " state=%d position=%" PRIu64 ".%" PRIu64 " given=%u since_ms=%" PRIu64,
		     c->server->group->name, c->server->id, pw_answer_due_name(due),
		     statement_id(c), ends[a->end], a->signature ? a->signature : "", a->row_count,
		     a->state, a->position.term, a->position.lsn,
		     pw_answer_history_count(c->history), since_sent_ms(c));
}

/* Logs and counts an answer that was due when the connection ended. */
static void record_missing_answer(const struct conn *c)
{
	enum pw_answer_due due = answer_due(c);

	if (due == PW_ANSWER_DUE_NONE || due == PW_ANSWER_DUE_OPENING)
		return;
	pw_counter_inc(c->answer_begun ? PW_COUNTER_UPSTREAM_ANSWERS_CUT
				       : PW_COUNTER_UPSTREAM_ANSWERS_LOST);
	pw_event_log(PW_EVENT_ANSWER_CUT,
		     "database=%s server=%s due=%s id=%s begun=%d rows=%u since_ms=%" PRIu64,
		     c->server->group->name, c->server->id, pw_answer_due_name(due),
		     statement_id(c), c->answer_begun, c->answer.row_count, since_sent_ms(c));
}

static void reset_answer(struct conn *c)
{
	g_clear_pointer(&c->answer_signature, g_free);
	g_clear_pointer(&c->answer_error, g_free);
	c->answer = (struct pw_answer){ 0 };
	c->answer_reason = PW_REASON_NONE;
	c->answer_begun = false;
}

/* Whether the connection has to be closed instead of being used again. */
static bool must_discard(const struct conn *c)
{
	return c->discard_when_idle || c->state_bytes > CONN_STATE_KEEP_MAX_BYTES ||
	       c->server->leaving || !c->server->registered ||
	       pw_answer_history_is_full(c->history);
}

/* Forgets the variables and prepared statements of the connection. */
static void clear_session_state(struct conn *c)
{
	gateway_of(c)->memory.used_bytes[PW_MEMORY_STATE] -= c->prepared_bytes;
	c->prepared_bytes = 0;
	c->state_bytes = 0;
	g_clear_pointer(&c->variables, g_hash_table_unref);
	g_clear_pointer(&c->prepared_names, g_hash_table_unref);
}

/* Closes the socket and removes the connection from its server. */
static void close_conn(struct conn *c)
{
	struct gateway *g = gateway_of(c);

	if (c->closed)
		return;
	if (has_statement_in_flight(c))
		adjust_in_flight(c, -1);
	c->closed = true;
	clear_timeout(c);
	pw_stream_dispose(&c->stream);
	g_ptr_array_remove_fast(c->server->conns, c);
	clear_session_state(c);
	reset_answer(c);
	g_clear_pointer(&c->history, pw_answer_history_free);
	gateway_free_later(g, c);
}

void gw_conn_fail(struct conn *c, const char *text)
{
	struct work *w = c->work;
	struct session *session = c->session;
	struct group *group = c->server->group;

	if (c->closed)
		return;
	if (c->state != CONN_IDLE)
		pw_counter_inc(PW_COUNTER_UPSTREAM_DISCARDED);
	if (c->state == CONN_CONNECTING)
		gw_group_record_server_failure(c->server, FAILURE_CONNECT);
	record_missing_answer(c);
	c->work = NULL;
	c->session = NULL;
	close_conn(c);
	if (w)
		gw_work_handle_conn_lost(w, text);
	else if (session)
		gw_session_handle_transaction_lost(session);
	gw_work_dispatch_waiting(group);
}

void gw_conn_abandon(struct conn *c, const char *text)
{
	pw_silence_record_abandoned(&c->server->silence, c->unanswered_since_us);
	gw_conn_fail(c, text);
}

/* Makes the connection available to other statements, or closes it if it must not be reused. */
static void make_idle(struct conn *c)
{
	struct group *group = c->server->group;

	clear_timeout(c);
	c->work = NULL;
	c->session = NULL;
	set_state(c, CONN_IDLE);
	c->generation = 0;
	c->idle_since_us = gateway_now_us(gateway_of(c));
	if (must_discard(c))
		close_conn(c);
	gw_work_dispatch_waiting(group);
}

/* Whether the connection has a variable that the session has not set. */
static bool has_extra_variables(const struct conn *c, const struct session *session)
{
	GHashTableIter it;
	gpointer name;

	if (!c->variables)
		return false;
	g_hash_table_iter_init(&it, c->variables);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		if (!session->variables || !g_hash_table_contains(session->variables, name))
			return true;
	}
	return false;
}

static bool has_variable(const struct conn *c, const char *name, const GBytes *value)
{
	const GBytes *present = c->variables ? g_hash_table_lookup(c->variables, name) : NULL;

	return present && g_bytes_equal(present, value);
}

/* Whether the connection lacks a variable of the session, or has another value of it. */
static bool lacks_variables(const struct conn *c, const struct session *session)
{
	GHashTableIter it;
	gpointer name, value;

	if (!session->variables)
		return false;
	g_hash_table_iter_init(&it, session->variables);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		if (!has_variable(c, name, value))
			return true;
	}
	return false;
}

/* Appends a reset, which drops the variables and prepared statements of the connection. */
static void put_reset(struct conn *c, GByteArray *b)
{
	dialect(c)->put_reset(b);
	c->control_answers_pending++;
	clear_session_state(c);
}

/* Appends messages that give the connection exactly the variables of the session. */
static void put_variables(struct conn *c, const struct session *session, GByteArray *b)
{
	GHashTableIter it;
	gpointer name, value;

	if (has_extra_variables(c, session))
		put_reset(c, b);
	if (!session->variables)
		return;
	if (!c->variables)
		c->variables = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						     (GDestroyNotify)g_bytes_unref);
	g_hash_table_iter_init(&it, session->variables);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		if (has_variable(c, name, value))
			continue;
		dialect(c)->put_set(b, name, value);
		c->control_answers_pending++;
		g_hash_table_replace(c->variables, g_strdup(name), g_bytes_ref(value));
		c->state_bytes += g_bytes_get_size(value);
	}
}

/* Returns the key of a prepared statement in `prepared_names`. */
static GBytes *prepared_key(const struct prepared_statement *p)
{
	GByteArray *key = g_byte_array_new();
	gsize size_bytes;
	const void *text = g_bytes_get_data(p->text, &size_bytes);

	g_byte_array_append(key, (const guint8 *)(p->writes ? "w" : "r"), 1);
	g_byte_array_append(key, text, (guint)size_bytes);
	return g_byte_array_free_to_bytes(key);
}

/*
 * Returns the name of the prepared statement at the server; NULL if the connection does not have
 * it. The names that callers choose collide, so the proxy names each distinct text itself.
 */
static const char *find_prepared(const struct conn *c, const struct prepared_statement *p)
{
	GBytes *key = prepared_key(p);
	const char *name = c->prepared_names ? g_hash_table_lookup(c->prepared_names, key) : NULL;

	g_bytes_unref(key);
	return name;
}

/* Memory of a prepared statement at a server, beside its text. */
#define PREPARED_ENTRY_BYTES 128

static void put_prepare(struct conn *c, const struct prepared_statement *p, GByteArray *b)
{
	char *name = g_strdup_printf("p%u", ++c->last_prepared_number);
	uint64_t size_bytes = PREPARED_ENTRY_BYTES + g_bytes_get_size(p->text);

	if (!c->prepared_names)
		c->prepared_names = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
							  (GDestroyNotify)g_bytes_unref, g_free);
	dialect(c)->put_prepare(b, name, p->writes, p->text);
	c->control_answers_pending++;
	g_hash_table_insert(c->prepared_names, prepared_key(p), name);
	c->state_bytes += size_bytes;
	c->prepared_bytes += size_bytes;
	gateway_of(c)->memory.used_bytes[PW_MEMORY_STATE] += size_bytes;
}

/* Whether variables or a prepared statement have to be set before the statement can be sent. */
static bool needs_preparation(const struct conn *c, const struct work *w)
{
	return has_extra_variables(c, w->session) || lacks_variables(c, w->session) ||
	       (w->prepared_statement && !find_prepared(c, w->prepared_statement));
}

/*
 * Sends what gives the connection the variables and the prepared statement that `c->work` needs,
 * and `begin`, the begin of its transaction, unless that is NULL. The statement follows when the
 * server has done it: it would run without them otherwise. Outside a transaction a fence shows that
 * the answers are not copies of earlier ones: a begin, which ends in another state, and its
 * rollback.
 */
static void send_preparation(struct conn *c, GByteArray *begin)
{
	struct work *w = c->work;
	GByteArray *b = g_byte_array_new();

	put_variables(c, w->session, b);
	if (w->prepared_statement && !find_prepared(c, w->prepared_statement))
		put_prepare(c, w->prepared_statement, b);
	c->begin_sent = begin != NULL;
	c->begin_refusal_ambiguous = begin && c->control_answers_pending > 1;
	c->fence_answers_pending = 0;
	if (begin) {
		g_byte_array_append(b, begin->data, begin->len);
		g_byte_array_unref(begin);
	} else if (!w->in_transaction) {
		/* Within a transaction of the caller no other one can begin. */
		dialect(c)->put_begin(b, true, NULL);
		dialect(c)->put_rollback(b);
		c->fence_answers_pending = FENCE_ANSWERS;
	}
	pw_counter_inc(PW_COUNTER_UPSTREAM_PREPARATIONS);
	set_state(c, CONN_PREPARING);
	set_timeout(c, w->operation.timeout_us);
	send_bytes(c, b);
}

/* Sends the statement of `c->work`, for which the connection was prepared. */
static void send_statement(struct conn *c, const struct pw_position *floor)
{
	struct work *w = c->work;
	GByteArray *b = g_byte_array_new();

	dialect(c)->put_statement(
		b, w->statement,
		w->prepared_statement ? find_prepared(c, w->prepared_statement) : NULL, floor);
	w->sent = true;
	set_state(c, CONN_RUNNING);
	set_timeout(c, w->operation.timeout_us);
	send_bytes(c, b);
}

/*
 * Finds the position that the statement needs if the server is a replica. Returns false if the
 * statement has to run at the primary instead.
 */
static bool find_floor(struct conn *c, struct pw_position *floor, bool *has_floor)
{
	struct work *w = c->work;

	*has_floor = false;
	c->floor_observed_us = 0;
	if (c->generation)
		return true;
	if (!gw_work_find_floor(w, floor, &c->floor_observed_us))
		return false;
	*has_floor = true;
	return true;
}

/*
 * Sets the generation of the connection if its server is the primary. Returns whether the statement
 * may run at the server in its current role.
 */
static bool check_role(struct conn *c)
{
	struct group *group = c->server->group;

	c->generation = 0;
	if (c->server != group->primary)
		return !c->work->needs_primary;
	if (group->changing || !gateway_may_use_primaries(group->gateway))
		return false;
	c->generation = group->generation;
	return true;
}

/* Sends the begin of the transaction, behind the state of the session if that is needed. */
static void send_begin(struct conn *c, const struct pw_position *floor)
{
	const struct work *w = c->work;
	GByteArray *b = g_byte_array_new();

	dialect(c)->put_begin(b, w->session->read_only, floor);
	if (needs_preparation(c, w)) {
		send_preparation(c, b);
		return;
	}
	c->begin_refusal_ambiguous = false;
	set_state(c, CONN_BEGINNING);
	set_timeout(c, w->operation.timeout_us);
	send_bytes(c, b);
}

/*
 * Sends the statement on an open connection that is not in a transaction, or first what it needs:
 * the state of the session, or the begin of its transaction.
 */
static void start_work(struct conn *c)
{
	struct work *w = c->work;
	struct pw_position floor;
	bool has_floor;

	c->sent_us = pw_loop_update_now_us(gateway_of(c)->task.loop);
	/*
	 * The caller may have disconnected since the server was chosen, or the server's role or the
	 * known positions may have changed.
	 */
	if (!w->session || gw_group_is_evacuated(c->server) || !check_role(c) ||
	    !find_floor(c, &floor, &has_floor)) {
		make_idle(c);
		w->conn = NULL;
		gw_work_handle_conn_lost(w, "the server can no longer run the statement");
		return;
	}
	if (w->begins_transaction)
		send_begin(c, has_floor ? &floor : NULL);
	else if (needs_preparation(c, w))
		send_preparation(c, NULL);
	else
		send_statement(c, has_floor ? &floor : NULL);
}

void gw_conn_continue_transaction(struct conn *c, struct work *w)
{
	c->work = w;
	w->conn = c;
	c->sent_us = pw_loop_update_now_us(gateway_of(c)->task.loop);
	c->floor_observed_us = 0;
	/*
	 * A commit is not sent without the permit to use primaries, or to a server that is no
	 * longer the primary, since its success could not be reported as certain.
	 */
	if (w->is_commit && c->generation && !gw_group_is_current_primary(c)) {
		gw_conn_fail(c, "the primary is being changed");
		return;
	}
	if (gw_group_is_evacuated(c->server)) {
		pw_counter_inc(PW_COUNTER_EVACUATED_TRANSACTIONS);
		gw_conn_fail(c, "the server's zone is evacuated");
		return;
	}
	if (needs_preparation(c, w))
		send_preparation(c, NULL);
	else
		send_statement(c, NULL);
}

void gw_conn_roll_back(struct conn *c)
{
	GByteArray *b;

	c->session = NULL;
	if (c->closed || c->work)
		return;
	/* The server rolls back when the connection is closed. */
	if (gw_group_is_evacuated(c->server)) {
		gw_conn_fail(c, "the server's zone is evacuated");
		return;
	}
	b = g_byte_array_new();
	set_state(c, CONN_ROLLING_BACK);
	set_timeout(c, CONN_ROLLBACK_TIMEOUT_US);
	dialect(c)->put_rollback(b);
	send_bytes(c, b);
}

/* Handles the answer to the begin: sends the first statement, or rolls back. */
static void handle_begin_answer(struct conn *c, const struct pw_reply *r)
{
	struct work *w = c->work;

	if (w->reason != PW_REASON_NONE && c->begin_refusal_ambiguous) {
		gw_work_record_refusal(c, w->reason);
		gw_conn_fail(c, "the server refused the state of the session or the transaction");
		return;
	}
	if (w->reason != PW_REASON_NONE) {
		enum pw_reason reason = w->reason;

		w->reason = PW_REASON_NONE;
		c->work = NULL;
		set_state(c, CONN_ROLLING_BACK);
		gw_work_handle_begin_failed(w, reason);
		if (c->closed)
			return;
		if (r->state == PW_SESSION_IDLE)
			make_idle(c);
		else
			gw_conn_roll_back(c);
		return;
	}
	if (!w->session) {
		c->work = NULL;
		gw_work_handle_conn_lost(w, "");
		gw_conn_roll_back(c);
		return;
	}
	if (gw_group_is_evacuated(c->server)) {
		gw_conn_fail(c, "the server's zone is evacuated");
		return;
	}
	send_statement(c, NULL);
}

/* Handles the end of a preparation: goes on with the statement. */
static void handle_prepared(struct conn *c, const struct pw_reply *r)
{
	struct work *w = c->work;

	if (w->in_transaction && !w->begins_transaction && r->state != PW_SESSION_IN_TRANSACTION) {
		gw_conn_fail(c, "the transaction is not open at the server");
	} else if (!w->in_transaction && pw_answer_is_ambiguous(c->history)) {
		gw_conn_fail(c, "the state of the session may not be set at the server");
	} else if (c->begin_sent) {
		set_state(c, CONN_BEGINNING);
	} else if (!w->session) {
		c->work = NULL;
		gw_work_handle_conn_lost(w, "");
		if (r->state == PW_SESSION_IDLE)
			make_idle(c);
		else
			gw_conn_roll_back(c);
	} else if (w->session->conn == c) {
		gw_conn_continue_transaction(c, w);
	} else {
		start_work(c);
	}
}

static void handle_statement_answer(struct conn *c, const struct pw_reply *r)
{
	struct work *w = c->work;
	const struct pw_position *position = r->has_position ? &r->position : NULL;

	clear_timeout(c);
	gw_group_record_answer(c->server, c, c->sent_us, position);
	c->work = NULL;
	set_state(c, CONN_PINNED);
	gw_work_handle_answer(w, c, r->state, position);
	if (c->closed || c->state != CONN_PINNED)
		return;
	if (r->state == PW_SESSION_IDLE)
		make_idle(c);
	else if (!c->session) /* an error outside a transaction, in the failed state */
		gw_conn_roll_back(c);
	gw_group_try_settle(c->server->group);
}

static void handle_opened(struct conn *c)
{
	clear_timeout(c);
	c->server->backoff_us = 0;
	gw_group_record_opened(c->server, c->sent_us);
	set_state(c, CONN_IDLE);
	if (c->work)
		start_work(c);
	else
		make_idle(c);
}

/* Counts an answer to a control statement or to the fence behind them. */
static void handle_preparation_answer(struct conn *c, const struct pw_reply *r)
{
	if (c->control_answers_pending)
		c->control_answers_pending--;
	else
		c->fence_answers_pending--;
	if (!c->control_answers_pending && !c->fence_answers_pending)
		handle_prepared(c, r);
}

/* Decides whether the answer that has ended is the one that is due; logs it if not, remembers it.
 */
static enum pw_answer_verdict judge_answer(struct conn *c)
{
	enum pw_answer_due due = answer_due(c);
	enum pw_answer_verdict verdict;

	if (due == PW_ANSWER_DUE_READ)
		c->answer.subject_hash = g_bytes_hash(c->work->statement->argument);
	verdict = pw_answer_check(c->history, due, &c->answer);
	if (verdict != PW_ANSWER_OWN)
		log_suspect_answer(c, due, verdict);
	if (verdict == PW_ANSWER_FOREIGN && due != PW_ANSWER_DUE_NONE)
		pw_counter_inc(PW_COUNTER_UPSTREAM_ANSWERS_FOREIGN);
	else if (verdict == PW_ANSWER_UNCERTAIN)
		pw_counter_inc(PW_COUNTER_UPSTREAM_ANSWERS_UNCERTAIN);
	pw_answer_record(c->history, due, &c->answer, verdict);
	if (due == PW_ANSWER_DUE_CONTROL && c->control_answers_pending == 1)
		pw_answer_end_batch(c->history);
	return verdict;
}

/* Handles the end of the answer that was due; `reason` is that of its error, if it has one. */
static void handle_own_answer(struct conn *c, const struct pw_reply *r, enum pw_reason reason)
{
	switch (c->state) {
	case CONN_OPENING:
		handle_opened(c);
		break;
	case CONN_IDLE:
		if (reason != PW_REASON_NONE)
			gw_conn_fail(c, "the server refused a reset");
		else
			c->control_answers_pending--;
		break;
	case CONN_PREPARING:
		if (reason != PW_REASON_NONE)
			gw_conn_fail(c, "the server refused the state of the session");
		else
			handle_preparation_answer(c, r);
		break;
	case CONN_BEGINNING:
		handle_begin_answer(c, r);
		break;
	case CONN_RUNNING:
		/* A refusal outside a transaction may end in the failed state. */
		if (reason == PW_REASON_NONE && !c->work->in_transaction &&
		    r->state != PW_SESSION_IDLE)
			gw_conn_fail(c, "the statement ran in a transaction");
		else
			handle_statement_answer(c, r);
		break;
	case CONN_ROLLING_BACK:
		if (reason == PW_REASON_NONE && r->state == PW_SESSION_IDLE)
			make_idle(c);
		else
			gw_conn_fail(c, "the transaction cannot be rolled back");
		break;
	default:
		break;
	}
}

/*
 * Drops an answer that belongs to another statement, and goes on waiting for the one that is due.
 * If it has rows, which of them belong to the read in flight cannot be told; the read is repeated.
 * An idle connection is closed as well.
 */
static void drop_foreign_answer(struct conn *c, enum pw_answer_due due, uint32_t row_count)
{
	if (c->state == CONN_IDLE || (due == PW_ANSWER_DUE_READ && row_count)) {
		gw_conn_fail(c, "the server sent the answer to another statement");
		return;
	}
	c->discard_when_idle = true;
	if (c->work && c->work->answer)
		g_byte_array_set_size(c->work->answer, 0);
}

/* Gives the end of the answer that was due to its statement. */
static void move_answer_to_work(struct conn *c)
{
	struct work *w = c->work;

	if (!w)
		return;
	w->reason = c->answer_reason;
	g_free(w->signature);
	w->signature = g_steal_pointer(&c->answer_signature);
	g_free(w->error);
	w->error = g_steal_pointer(&c->answer_error);
}

/* Handles the end of an answer, according to whether it is the one that was due. */
static void handle_ready(struct conn *c, const struct pw_reply *r)
{
	enum pw_answer_due due = answer_due(c);
	enum pw_answer_verdict verdict = judge_answer(c);
	enum pw_reason reason = c->answer_reason;
	uint32_t row_count = c->answer.row_count;

	if (verdict == PW_ANSWER_OWN)
		move_answer_to_work(c);
	reset_answer(c);
	switch (verdict) {
	case PW_ANSWER_OWN:
		handle_own_answer(c, r, reason);
		break;
	case PW_ANSWER_FOREIGN:
		drop_foreign_answer(c, due, row_count);
		break;
	default:
		/* Most uncertain refusals are own ones that repeat, under load. */
		if (c->work && reason != PW_REASON_NONE)
			gw_work_record_refusal(c, reason);
		gw_conn_fail(c, "the answer may be a copy of an earlier one");
		break;
	}
}

/* Stops reading while the caller does not take what it was sent. No answer is owed meanwhile. */
static void pause_for_caller(struct conn *c)
{
	uint64_t output_bytes = pw_stream_output_bytes(&c->work->session->stream);

	if (output_bytes <= ANSWER_PAUSE_BYTES ||
	    pw_memory_may_handle(&gateway_of(c)->memory, output_bytes))
		return;
	c->reading_paused = true;
	c->unanswered_since_us = 0;
	pw_stream_pause(&c->stream, true);
}

static void handle_row(struct conn *c, const struct pw_reply *r)
{
	struct work *w = c->work;

	if (c->state != CONN_RUNNING || !w->session)
		return;
	if (!w->answer)
		w->answer = g_byte_array_new();
	gateway_of(c)->caller_dialect->ops->put_row(w->answer, r->row);
	/*
	 * The answer to a commit, or to a write outside a transaction, is not sent in parts, since
	 * record_commit() may still turn it into an error.
	 */
	if (w->answer->len > ANSWER_BUFFER_MAX_BYTES && !w->writes && !w->is_commit) {
		w->answer_started = true;
		gw_session_send_partial_answer(w->session, w->answer);
		pause_for_caller(c);
	}
	gw_work_count_answer(w);
	if (w->answer->len > ANSWER_WHOLE_MAX_BYTES)
		gw_conn_fail(c, "the answer is too large");
}

/* Records why the server did not accept the connection. */
static void record_open_refusal(struct conn *c, enum pw_reason reason)
{
	pw_counter_inc(PW_COUNTER_UPSTREAM_OPENS_REFUSED);
	/*
	 * A server with too many connections may still have free slots, so statements on open
	 * connections continue.
	 */
	if (reason == PW_REASON_CONNECTION_LIMIT)
		c->server->full_until_us = gateway_now_us(gateway_of(c)) + SERVER_FULL_PAUSE_US;
	else
		gw_group_record_server_busy(c->server);
}

/* Adds a message to the answer that is being received. */
static void add_to_answer(struct conn *c, const struct pw_reply *r)
{
	struct pw_answer *a = &c->answer;

	c->answer_begun = true;
	a->is_malformed |= a->end != PW_ANSWER_END_NONE && r->kind != PW_REPLY_READY;
	switch (r->kind) {
	case PW_REPLY_ROW:
		pw_answer_add_row(a, r->row ? g_bytes_hash(r->row) : 0);
		break;
	case PW_REPLY_COMPLETE:
		a->end = PW_ANSWER_END_SUCCESS;
		g_free(c->answer_signature);
		a->signature = c->answer_signature = g_strdup(r->text);
		break;
	case PW_REPLY_ERROR:
		a->end = PW_ANSWER_END_ERROR;
		a->error_code = c->answer_reason = r->reason;
		g_free(c->answer_error);
		a->error = c->answer_error = g_strdup(r->text);
		break;
	case PW_REPLY_READY:
		a->state = (enum pw_answer_state)r->state;
		a->has_position = r->has_position;
		a->position = r->position;
		break;
	}
}

static void handle_reply(struct conn *c, const struct pw_reply *r)
{
	if (answer_due(c) == PW_ANSWER_DUE_NONE && !c->answer_begun)
		pw_counter_inc(PW_COUNTER_UPSTREAM_ANSWERS_EXTRA);
	add_to_answer(c, r);
	if (c->state == CONN_IDLE && answer_due(c) == PW_ANSWER_DUE_NONE) {
		(void)judge_answer(c);
		gw_conn_fail(c, "the server sent an answer that was not due");
	} else if (c->state == CONN_OPENING && r->kind == PW_REPLY_ERROR) {
		record_open_refusal(c, r->reason);
		gw_conn_fail(c, "the server refused the connection");
	} else if (r->kind == PW_REPLY_ROW) {
		handle_row(c, r);
	} else if (r->kind == PW_REPLY_READY) {
		handle_ready(c, r);
	}
}

static void conn_received(struct pw_stream *stream)
{
	struct conn *c = conn_of(stream);
	struct gateway *g = gateway_of(c);

	gw_group_record_received(c->server);
	while (!c->closed && !c->reading_paused && stream->input) {
		struct pw_reply r;
		uint32_t used_bytes = 0;
		int rc = dialect(c)->decode_next(&r, stream->input->data, stream->input->len,
						 &used_bytes);

		if (rc == PW_EAGAIN && c->state == CONN_IDLE &&
		    answer_due(c) == PW_ANSWER_DUE_NONE) {
			pw_counter_inc(PW_COUNTER_UPSTREAM_ANSWERS_EXTRA);
			gw_conn_fail(c, "the server sent bytes while no answer was due");
			return;
		}
		if (rc == PW_EAGAIN) {
			stream->read_limit_bytes =
				stream->input->len + PW_STREAM_READ_LIMIT_DEFAULT_BYTES;
			return;
		}
		if (rc) {
			gw_conn_fail(c, "the server sent a malformed message");
			return;
		}
		pw_stream_consume(stream, used_bytes);
		count_bytes(c, PW_COUNTER_UPSTREAM_BYTES_RECEIVED, used_bytes);
		handle_reply(c, &r);
		pw_reply_dispose(&r);
	}
	gw_memory_check(g);
}

void gw_conn_resume(struct conn *c)
{
	if (!c->reading_paused || c->closed)
		return;
	c->reading_paused = false;
	pw_silence_record_sent(&c->server->silence, &c->unanswered_since_us,
			       gateway_now_us(gateway_of(c)));
	pw_stream_pause(&c->stream, false);
	conn_received(&c->stream);
}

static void conn_connected(struct pw_stream *stream)
{
	struct conn *c = conn_of(stream);
	GByteArray *b = g_byte_array_new();

	gw_group_record_connected(c->server, c->sent_us);
	set_state(c, CONN_OPENING);
	set_timeout(c, CONN_OPEN_TIMEOUT_US);
	dialect(c)->put_open(b, c->server->group->name, c->account->name, c->server->id);
	send_bytes(c, b);
}

static void conn_stream_closed(struct pw_stream *stream)
{
	struct conn *c = conn_of(stream);

	/* A server with too many connections may reset a new one without an error message. */
	if (c->state == CONN_OPENING)
		record_open_refusal(c, PW_REASON_CONNECTION_LIMIT);
	else if (has_statement_in_flight(c))
		gw_group_record_lost(c->server);
	gw_conn_fail(c, "the connection to the server was lost");
}

static const struct pw_stream_ops stream_ops = {
	.connected = conn_connected,
	.received = conn_received,
	.closed = conn_stream_closed,
};

static void conn_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct conn *c = (struct conn *)((char *)t - offsetof(struct conn, timer));

	(void)now_us;
	pw_counter_inc(PW_COUNTER_UPSTREAM_SILENT);
	if (c->state == CONN_OPENING) {
		pw_counter_inc(PW_COUNTER_UPSTREAM_OPEN_TIMEOUTS);
		gw_group_record_server_failure(c->server, FAILURE_OPEN);
	}
	gw_conn_abandon(c, "the server did not answer in time");
}

static const struct pw_timer_ops timer_ops = { .expire = conn_timer_expired };

/* This task's share of the connections that the server allows; may be 0. */
static uint32_t conn_share(const struct server *s)
{
	const struct group *group = s->group;
	uint32_t reserved_count = MIN(CONN_RESERVED_MAX, group->connection_limit / 4);

	return (group->connection_limit - reserved_count) / MAX(group->gateway->member_count, 1) /
	       group->gateway->directory->gateway_count;
}

/* Number of connections to the server that this task may have open. */
static uint32_t conn_limit(const struct server *s)
{
	return MAX(conn_share(s) * CONN_OVERCOMMIT_FACTOR, CONN_OVERCOMMIT_FACTOR);
}

/*
 * Whether a refusal of the statement, and the begin of its transaction or of its fence, could be
 * told from the earlier answers of the connection. The server answers at its newest position at
 * least.
 */
static bool has_distinct_answers(const struct conn *c, const struct work *w)
{
	const struct pw_position *newest = &c->server->position;
	bool has_fence = !w->in_transaction && needs_preparation(c, w);

	if ((w->begins_transaction || w->is_autocommit_write) &&
	    !pw_answer_is_distinct_at(c->history, PW_UNSIGNED_ANSWER_ERROR, newest))
		return false;
	return !(w->begins_transaction || has_fence) ||
	       pw_answer_is_distinct_at(c->history, PW_UNSIGNED_ANSWER_BEGIN, newest);
}

/* Whether the statement may be sent on the connection now. */
static bool is_usable(const struct conn *c, const struct work *w)
{
	return c->state == CONN_IDLE && c->account == w->account && !c->control_answers_pending &&
	       has_distinct_answers(c, w);
}

/*
 * Finds an idle connection for the statement, preferably one that needs no preparation; NULL if
 * there is none.
 */
static struct conn *find_idle_conn(const struct server *s, const struct work *w)
{
	struct conn *best = NULL;

	for (guint i = 0; i < s->conns->len; i++) {
		struct conn *c = g_ptr_array_index(s->conns, i);

		if (!is_usable(c, w))
			continue;
		if (!best || (needs_preparation(best, w) && !needs_preparation(c, w)))
			best = c;
	}
	return best;
}

/* Finds the connection that has been idle for the longest time; NULL if none is idle. */
static struct conn *find_oldest_idle_conn(const struct server *s)
{
	struct conn *oldest = NULL;

	for (guint i = 0; i < s->conns->len; i++) {
		struct conn *c = g_ptr_array_index(s->conns, i);

		if (c->state == CONN_IDLE && (!oldest || c->idle_since_us < oldest->idle_since_us))
			oldest = c;
	}
	return oldest;
}

bool gw_conn_is_available(const struct server *s, const struct work *w, bool *has_idle_conn)
{
	bool any_idle_conn = false;

	*has_idle_conn = false;
	for (guint i = 0; i < s->conns->len; i++) {
		const struct conn *c = g_ptr_array_index(s->conns, i);

		if (c->state != CONN_IDLE)
			continue;
		any_idle_conn = true;
		if (is_usable(c, w))
			*has_idle_conn = true;
	}
	if (*has_idle_conn)
		return true;
	return gateway_now_us(s->group->gateway) >= s->full_until_us &&
	       (any_idle_conn || s->conns->len < conn_limit(s));
}

/* Starts to open a connection for the account; NULL if the connect fails at once. */
static struct conn *open_conn(struct server *s, struct account *a)
{
	struct gateway *g = s->group->gateway;
	struct conn *c = g_new0(struct conn, 1);

	c->server = s;
	c->account = a;
	c->timer.ops = &timer_ops;
	c->history = pw_answer_history_new();
	if (pw_stream_connect(&c->stream, &stream_ops, g->task.loop, s->address)) {
		pw_answer_history_free(c->history);
		g_free(c);
		return NULL;
	}
	pw_stream_set_totals(&c->stream, &g->memory.used_bytes[PW_MEMORY_OUTPUT],
			     &g->memory.used_bytes[PW_MEMORY_INPUT]);
	pw_stream_set_keepalive(&c->stream, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S,
				KEEPALIVE_PROBES, KEEPALIVE_UNACKED_TIMEOUT_MS);
	c->state = CONN_CONNECTING;
	c->sent_us = gateway_now_us(g);
	g_ptr_array_add(s->conns, c);
	set_timeout(c, CONN_CONNECT_TIMEOUT_US);
	pw_counter_inc(PW_COUNTER_UPSTREAM_CONNECTS);
	return c;
}

void gw_conn_start_work(struct server *s, struct work *w)
{
	struct conn *c = find_idle_conn(s, w);

	gw_group_record_start(s, w);
	if (c) {
		c->work = w;
		w->conn = c;
		start_work(c);
		return;
	}
	if (s->conns->len >= conn_limit(s)) {
		c = find_oldest_idle_conn(s);
		if (c)
			close_conn(c);
	}
	c = open_conn(s, w->account);
	if (!c) {
		gw_group_record_server_failure(s, FAILURE_CONNECT);
		w->conn = NULL;
		gw_work_handle_conn_lost(w, pw_error_message());
		return;
	}
	c->work = w;
	w->conn = c;
}

bool gw_conn_ping(struct server *s, bool may_open)
{
	struct gateway *g = s->group->gateway;
	struct conn *c = find_oldest_idle_conn(s);
	GHashTableIter it;
	gpointer account;
	GByteArray *b;

	if (c && c->control_answers_pending)
		return true;
	if (!c) {
		g_hash_table_iter_init(&it, g->accounts);
		if (!may_open || s->conns->len >= conn_limit(s) ||
		    !g_hash_table_iter_next(&it, NULL, &account) || !open_conn(s, account))
			return false;
		pw_counter_inc(PW_COUNTER_UPSTREAM_CHECKS);
		return true;
	}
	b = g_byte_array_new();
	put_reset(c, b);
	send_bytes(c, b);
	return true;
}

bool gw_conn_holds_unowned_memory(const struct conn *c)
{
	const struct work *w = c->work;

	if (c->closed || c->session || (w && w->session))
		return false;
	return c->prepared_bytes || c->stream.input_size_bytes + c->stream.output_size_bytes +
						    (w ? w->input_bytes + w->answer_bytes : 0) >
					    PW_MEMORY_SMALL_BYTES;
}

void gw_conn_close_idle(struct server *s, bool all)
{
	uint64_t now_us = gateway_now_us(s->group->gateway);
	uint32_t keep_count = conn_share(s) * CONN_IDLE_KEEP_PERCENT / 100;
	uint64_t excess_timeout_us =
		s->congestion.window ? CONN_CONGESTED_IDLE_TIMEOUT_US : CONN_EXCESS_IDLE_TIMEOUT_US;

	for (guint i = s->conns->len; i-- > 0;) {
		struct conn *c = g_ptr_array_index(s->conns, i);

		uint64_t idle_timeout_us =
			s->conns->len > keep_count ? excess_timeout_us : CONN_IDLE_TIMEOUT_US;

		if (c->state == CONN_IDLE && (all || now_us - c->idle_since_us > idle_timeout_us))
			close_conn(c);
	}
}
