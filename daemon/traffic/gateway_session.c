#include "gateway_private.h"

#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#include "pw/core/error.h"
#include "pw/core/event.h"

/* Maximum number of a session's variables, and of its prepared statements. */
#define SESSION_NAMES_MAX 256

static struct session *session_of(struct pw_stream *stream)
{
	return (struct session *)stream;
}

static const struct pw_caller_dialect_ops *dialect(const struct session *s)
{
	return s->gateway->caller_dialect->ops;
}

static void set_timer(struct session *s, uint64_t after_us)
{
	pw_loop_timer_set(s->gateway->task.loop, &s->timer, gateway_now_us(s->gateway) + after_us);
}

static void clear_timer(struct session *s)
{
	pw_loop_timer_clear(s->gateway->task.loop, &s->timer);
}

/* Whether a message of the caller has arrived, in part at least, and was not handled yet. */
static bool has_input(const struct session *s)
{
	return s->stream.input || pw_stream_has_unread_input(&s->stream);
}

static void send_bytes(struct session *s, GByteArray *b)
{
	pw_stream_send(&s->stream, b->data, b->len);
	g_byte_array_unref(b);
}

/*
 * Releases the connection of the open transaction, if there is one, and rolls it back. Ends the
 * idle timeout of the transaction.
 */
static void release_conn(struct session *s)
{
	struct conn *c = s->conn;

	clear_timer(s);
	s->conn = NULL;
	if (c)
		gw_conn_roll_back(c);
}

/* Closes the session at once; `by_caller`: the caller has ended it. */
static void end_session(struct session *s, bool by_caller)
{
	struct gateway *g = s->gateway;

	if (s->closed)
		return;
	s->closed = true;
	gw_drain_record_close(s, by_caller, s->state == SESSION_READY && has_input(s));
	clear_timer(s);
	pw_stream_dispose(&s->stream);
	if (s->work)
		gw_work_abandon(s->work);
	s->work = NULL;
	gw_admission_cancel(s);
	release_conn(s);
	g_hash_table_remove(g->sessions, s);
	g_free(s->database);
	g_clear_pointer(&s->variables, g_hash_table_unref);
	g_clear_pointer(&s->prepared_statements, g_hash_table_unref);
	g->memory.used_bytes[PW_MEMORY_STATE] -= s->state_bytes;
	s->state_bytes = 0;
	gateway_free_later(g, s);
}

void gw_session_close(struct session *s)
{
	end_session(s, false);
}

/* Closes the session after its output is written. */
static void close_after_output(struct session *s)
{
	if (s->state == SESSION_CLOSING)
		return;
	s->state = SESSION_CLOSING;
	release_conn(s);
	set_timer(s, SESSION_CLOSE_TIMEOUT_US);
	pw_stream_consume(&s->stream, UINT32_MAX);
	pw_stream_shutdown(&s->stream);
}

/* Transaction state that the caller is told. */
static enum pw_session_state reported_state(const struct session *s)
{
	switch (s->transaction) {
	case TRANSACTION_NONE:
		return PW_SESSION_IDLE;
	case TRANSACTION_PENDING:
	case TRANSACTION_ACTIVE:
		return PW_SESSION_IN_TRANSACTION;
	default:
		return PW_SESSION_FAILED;
	}
}

/* Answers a statement that the proxy handles itself. */
static void send_complete(struct session *s)
{
	GByteArray *b = g_byte_array_new();

	dialect(s)->put_complete(b, NULL);
	dialect(s)->put_ready(b, reported_state(s), NULL);
	send_bytes(s, b);
}

static void send_error(struct session *s, enum pw_reason reason, const char *text)
{
	GByteArray *b;

	if (pw_event_is_logged(PW_EVENT_REQUEST_REFUSED))
		pw_event_log(PW_EVENT_REQUEST_REFUSED,
			     "id=%s account=%s database=%s reason=%s text=\"%s\" rate=%.1f "
			     "burst=%.1f contended=%d priority=%u",
			     s->statement_id, s->account ? s->account->name : "", s->database,
			     pw_reason_name(reason), text,
			     s->account ? s->account->share.rate_per_s : 0,
			     s->account ? s->account->share.burst : 0,
			     s->account && s->account->share.contended, s->operation.priority);

	b = g_byte_array_new();
	dialect(s)->put_error(b, reason, text);
	dialect(s)->put_ready(b, reported_state(s), NULL);
	send_bytes(s, b);
}

/* Sends an error and closes the session. */
static void send_error_and_close(struct session *s, enum pw_reason reason, enum pw_counter counter,
				 const char *text)
{
	GByteArray *b = g_byte_array_new();

	pw_counter_inc(counter);
	dialect(s)->put_error(b, reason, text);
	send_bytes(s, b);
	close_after_output(s);
}

/* Restarts the idle timeout if a transaction is open at a server; otherwise clears the timer. */
static void restart_idle_timer(struct session *s)
{
	const struct pw_catalog *catalog = s->gateway->catalog;

	s->last_activity_us = gateway_now_us(s->gateway);
	if (s->transaction == TRANSACTION_ACTIVE && catalog)
		set_timer(s, catalog->transaction_idle_timeout_ms * PW_US_PER_MS);
	else if (s->state == SESSION_READY)
		clear_timer(s);
}

/* Account of callers without a valid key, on routes that need none. */
#define KEYLESS_ACCOUNT "-"

static bool is_keyless(const struct session *s)
{
	return strcmp(s->account->name, KEYLESS_ACCOUNT) == 0;
}

/*
 * Returns the account for which the session's statements may run now: that of its key, or the
 * keyless one on a route that is open to all; NULL if there is none.
 */
static struct account *find_account(struct session *s, bool open_to_all)
{
	const struct pw_catalog_account *a =
		pw_catalog_find_account_by_key_hash(s->gateway->catalog, s->key_hash);

	if (a)
		return gw_account_get(s->gateway, a->name);
	return open_to_all ? gw_account_get(s->gateway, KEYLESS_ACCOUNT) : NULL;
}

/* Error text of statements that a draining VM does not start. */
static const char stopping_text[] = "the proxy is stopping";

/* Refuses an operation outside a transaction, since the gateway drains. */
static void refuse_draining(struct session *s)
{
	pw_counter_inc(PW_COUNTER_REFUSED_DRAINING);
	s->gateway->drain_counts.refused++;
	s->drain_refused = true;
	send_error(s, PW_REASON_BUSY, stopping_text);
}

/* Records the end of an operation while the gateway drains. */
static void record_drain_served(struct session *s)
{
	if (pw_drain_has_started(&s->gateway->drain) && s->transaction == TRANSACTION_NONE)
		s->drain_served = true;
}

static void open_session(struct session *s, struct pw_caller_message *message)
{
	const struct pw_catalog *catalog = s->gateway->catalog;
	const struct pw_catalog_route *r;
	GByteArray *b;

	if (pw_drain_has_started(&s->gateway->drain)) {
		send_error_and_close(s, PW_REASON_BUSY, PW_COUNTER_REFUSED_DRAINING, stopping_text);
		return;
	}
	if (!catalog) {
		send_error_and_close(s, PW_REASON_BUSY, PW_COUNTER_REFUSED_ISOLATED,
				     "the proxy has no configuration yet");
		return;
	}
	r = pw_catalog_find_route(catalog, message->database);
	if (!r) {
		send_error_and_close(s, PW_REASON_NO_DATABASE, PW_COUNTER_REFUSED_ROUTE,
				     "no such database");
		return;
	}
	pw_catalog_hash_key(s->key_hash, message->key);
	s->account = find_account(s, r->open_to_all);
	if (!s->account) {
		send_error_and_close(s, PW_REASON_BAD_KEY, PW_COUNTER_REFUSED_KEY,
				     "the key is not valid");
		return;
	}
	s->database = g_strdup(message->database);
	s->state = SESSION_READY;
	restart_idle_timer(s);
	b = g_byte_array_new();
	dialect(s)->put_ready(b, PW_SESSION_IDLE, NULL);
	send_bytes(s, b);
}

static void refuse_withdrawn_key(struct session *s)
{
	send_error_and_close(s, PW_REASON_BAD_KEY, PW_COUNTER_REFUSED_KEY_WITHDRAWN,
			     is_keyless(s) ? "the database is not open to all any more"
					   : "the key was withdrawn");
}

struct operation gw_session_operation(struct gateway *g, const struct pw_catalog_route *r)
{
	return (struct operation){
		.group = gw_group_get(g, r->group),
		.consistency = r->consistency,
		.stale_age_us = r->stale_age_ms * PW_US_PER_MS,
		.timeout_us = r->timeout_ms * PW_US_PER_MS,
		.target_us = r->target_latency_ms * PW_US_PER_MS,
		.priority = r->priority,
		.open_to_all = r->open_to_all,
	};
}

/*
 * Copies the current settings of the route and the session's account for a new operation, so that a
 * change of the route or of the keys takes effect with the next operation. Returns false after
 * sending an error.
 */
static bool load_route(struct session *s)
{
	struct gateway *g = s->gateway;
	const struct pw_catalog_route *r = pw_catalog_find_route(g->catalog, s->database);
	struct account *account;

	if (!r) {
		pw_counter_inc(PW_COUNTER_REFUSED_ROUTE);
		send_error(s, PW_REASON_NO_DATABASE, "the database was removed");
		return false;
	}
	account = find_account(s, r->open_to_all);
	if (!account) {
		refuse_withdrawn_key(s);
		return false;
	}
	s->account = account;
	s->operation = gw_session_operation(g, r);
	return true;
}

static void refuse_over_rate(struct session *s, uint64_t retry_us)
{
	char text[64];

	pw_counter_inc(PW_COUNTER_REFUSED_RATE);
	g_snprintf(text, sizeof(text), "retry_after_ms=%" PRIu64 " over the rate of the account",
		   retry_us / PW_US_PER_MS);
	send_error(s, PW_REASON_BUSY, text);
}

/*
 * Checks route, key and rate for a new operation. Returns false after sending an error, or if the
 * operation waits and holds the statement.
 */
static bool admit_operation(struct session *s, struct pw_caller_statement *statement)
{
	struct pw_admission_decision d;

	if (!load_route(s))
		return false;
	if (s->admitted) {
		s->admitted = false;
		return true;
	}
	if (is_keyless(s))
		return true;
	d = gw_admission_ask(s, statement);
	if (d.verdict == PW_ADMISSION_REFUSE)
		refuse_over_rate(s, d.retry_us);
	return d.verdict == PW_ADMISSION_ADMIT;
}

/* Frees a statement that was handled, unless it waits. */
static void release_statement(const struct session *s, struct pw_caller_statement *statement)
{
	if (!s->waiting)
		pw_caller_statement_free(statement);
}

static void free_prepared_statement(gpointer data)
{
	struct prepared_statement *p = data;

	g_bytes_unref(p->text);
	g_free(p);
}

/* Sends an error and returns true if the session already has the maximum number of these names. */
static bool refuse_if_too_many_names(struct session *s, const GHashTable *names)
{
	if (!names || g_hash_table_size((GHashTable *)(uintptr_t)names) < SESSION_NAMES_MAX)
		return false;
	pw_counter_inc(PW_COUNTER_REFUSED_LIMIT);
	send_error(s, PW_REASON_TOO_LARGE,
		   "the session has too many variables or prepared statements");
	return true;
}

/* Memory of a variable or a prepared statement, beside its value or text. */
#define STATE_ENTRY_BYTES 128

static uint64_t entry_bytes(const char *name, const GBytes *value)
{
	return STATE_ENTRY_BYTES + strlen(name) + g_bytes_get_size((GBytes *)(uintptr_t)value);
}

/* Counts what the session keeps in place of `removed_bytes`. */
static void count_state(struct session *s, uint64_t added_bytes, uint64_t removed_bytes)
{
	s->state_bytes += added_bytes - removed_bytes;
	s->gateway->memory.used_bytes[PW_MEMORY_STATE] += added_bytes - removed_bytes;
}

/* Whether the session may keep so much more, once connections not in use have made room for it. */
static bool may_keep(struct session *s, uint64_t size_bytes)
{
	struct gateway *g = s->gateway;

	if (pw_memory_may_keep(&g->memory, s->state_bytes, size_bytes))
		return true;
	gw_memory_free_unowned(g);
	return pw_memory_may_keep(&g->memory, s->state_bytes, size_bytes);
}

/* Sends an error and returns true if the session may not keep the value. */
static bool refuse_if_too_much_state(struct session *s, uint64_t added_bytes,
				     uint64_t removed_bytes)
{
	if (added_bytes <= removed_bytes || may_keep(s, added_bytes - removed_bytes))
		return false;
	pw_counter_inc(PW_COUNTER_REFUSED_STATE);
	send_error(s, PW_REASON_TOO_LARGE,
		   "the variables and prepared statements of the sessions are too large");
	return true;
}

static void set_variable(struct session *s, struct pw_caller_statement *statement)
{
	const GBytes *old =
		s->variables ? g_hash_table_lookup(s->variables, statement->name) : NULL;
	uint64_t added_bytes = entry_bytes(statement->name, statement->argument);
	uint64_t removed_bytes = old ? entry_bytes(statement->name, old) : 0;

	if (refuse_if_too_many_names(s, s->variables) ||
	    refuse_if_too_much_state(s, added_bytes, removed_bytes))
		return;
	count_state(s, added_bytes, removed_bytes);
	if (!s->variables)
		s->variables = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						     (GDestroyNotify)g_bytes_unref);
	g_hash_table_replace(s->variables, g_strdup(statement->name),
			     g_bytes_ref(statement->argument));
	send_complete(s);
}

static void prepare_statement(struct session *s, struct pw_caller_statement *statement)
{
	struct prepared_statement *p =
		s->prepared_statements
			? g_hash_table_lookup(s->prepared_statements, statement->name)
			: NULL;
	uint64_t added_bytes = entry_bytes(statement->name, statement->argument);
	uint64_t removed_bytes = p ? entry_bytes(statement->name, p->text) : 0;

	if (refuse_if_too_many_names(s, s->prepared_statements) ||
	    refuse_if_too_much_state(s, added_bytes, removed_bytes))
		return;
	count_state(s, added_bytes, removed_bytes);
	if (!s->prepared_statements)
		s->prepared_statements = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
							       free_prepared_statement);
	p = g_new0(struct prepared_statement, 1);
	p->text = g_bytes_ref(statement->argument);
	p->writes = statement->prepares_write;
	g_hash_table_replace(s->prepared_statements, g_strdup(statement->name), p);
	send_complete(s);
}

static void deallocate_statement(struct session *s, struct pw_caller_statement *statement)
{
	const struct prepared_statement *p =
		s->prepared_statements
			? g_hash_table_lookup(s->prepared_statements, statement->name)
			: NULL;

	if (!p) {
		send_error(s, PW_REASON_UNKNOWN_STATEMENT, "no prepared statement of that name");
		return;
	}
	count_state(s, 0, entry_bytes(statement->name, p->text));
	g_hash_table_remove(s->prepared_statements, statement->name);
	send_complete(s);
}

static void begin_transaction(struct session *s, struct pw_caller_statement *statement)
{
	if (s->transaction != TRANSACTION_NONE) {
		send_error(s, PW_REASON_MALFORMED, "a transaction is already open");
		return;
	}
	if (!pw_drain_allows_transaction(&s->gateway->drain)) {
		refuse_draining(s);
		return;
	}
	if (!admit_operation(s, statement))
		return;
	s->transaction = TRANSACTION_PENDING;
	s->read_only = statement->verb == PW_VERB_BEGIN_READ;
	send_complete(s);
}

static void roll_back_transaction(struct session *s)
{
	if (s->transaction == TRANSACTION_NONE) {
		send_error(s, PW_REASON_MALFORMED, "no transaction is open");
		return;
	}
	release_conn(s);
	s->transaction = TRANSACTION_NONE;
	record_drain_served(s);
	send_complete(s);
}

/*
 * Answers a statement of a transaction that was rolled back. The first statement after the rollback
 * and any commit are answered with PW_REASON_ABORTED. Every other statement is an error of the
 * caller.
 */
static void send_rolled_back(struct session *s, enum pw_verb verb)
{
	bool was_reported = s->transaction == TRANSACTION_ABORTED_REPORTED;
	bool is_commit = verb == PW_VERB_COMMIT;

	s->transaction = is_commit ? TRANSACTION_NONE : TRANSACTION_ABORTED_REPORTED;
	send_error(s, was_reported && !is_commit ? PW_REASON_MALFORMED : PW_REASON_ABORTED,
		   "the transaction was rolled back");
}

/*
 * Whether the drain leaves time for the statement. If not, refuses it, and rolls back its
 * transaction.
 */
static bool check_drain(struct session *s, enum pw_verb verb)
{
	struct gateway *g = s->gateway;
	uint64_t now_us = gateway_now_us(g);

	if (s->transaction == TRANSACTION_NONE) {
		if (pw_drain_allows_operation(&g->drain, s->drain_served, now_us,
					      s->operation.timeout_us))
			return true;
		gw_account_refund(s->account);
		refuse_draining(s);
		return false;
	}
	if (pw_drain_allows_statement(&g->drain, now_us, s->operation.timeout_us))
		return true;
	pw_counter_inc(PW_COUNTER_REFUSED_DRAINING);
	g->drain_counts.refused++;
	release_conn(s);
	s->transaction = TRANSACTION_ABORTED_UNREPORTED;
	send_rolled_back(s, verb);
	return false;
}

/* Checks whether the statement may be sent to a server. Returns false after sending an error. */
static bool check_statement(struct session *s, struct pw_caller_statement *statement)
{
	if (statement->verb == PW_VERB_COMMIT && s->transaction == TRANSACTION_NONE) {
		send_error(s, PW_REASON_MALFORMED, "no transaction is open");
		return false;
	}
	if (statement->verb == PW_VERB_EXECUTE &&
	    !(s->prepared_statements &&
	      g_hash_table_contains(s->prepared_statements, statement->name))) {
		send_error(s, PW_REASON_UNKNOWN_STATEMENT, "no prepared statement of that name");
		return false;
	}
	if (s->transaction == TRANSACTION_ABORTED_REPORTED ||
	    s->transaction == TRANSACTION_ABORTED_UNREPORTED) {
		send_rolled_back(s, statement->verb);
		return false;
	}
	if (s->transaction == TRANSACTION_NONE)
		return admit_operation(s, statement) && check_drain(s, statement->verb);
	/* A transaction keeps its route as it was at its begin, but not a withdrawn key. */
	if (find_account(s, s->operation.open_to_all) != s->account) {
		refuse_withdrawn_key(s);
		return false;
	}
	return check_drain(s, statement->verb);
}

/* Sends a statement on to a server. Takes ownership of it. */
static void forward_statement(struct session *s, struct pw_caller_statement *statement)
{
	struct work *w;

	if (!check_statement(s, statement)) {
		release_statement(s, statement);
		return;
	}
	pw_counter_inc(PW_COUNTER_REQUESTS);
	clear_timer(s);
	w = gw_work_new(s, statement);
	/* The operation may have waited for a token. */
	w->arrived_us = s->last_activity_us;
	s->work = w;
	gw_work_start(w);
}

static void refuse_too_large(struct session *s, enum pw_verb verb)
{
	pw_counter_inc(PW_COUNTER_REFUSED_LIMIT);
	if (s->transaction == TRANSACTION_ABORTED_REPORTED ||
	    s->transaction == TRANSACTION_ABORTED_UNREPORTED)
		send_rolled_back(s, verb);
	else
		send_error(s, PW_REASON_TOO_LARGE, "the statement is too large for a server");
}

static void handle_statement(struct session *s, struct pw_caller_statement *statement)
{
	switch (statement->verb) {
	case PW_VERB_READ:
	case PW_VERB_WRITE:
	case PW_VERB_EXECUTE:
	case PW_VERB_COMMIT:
		forward_statement(s, statement);
		return;
	default:
		break;
	}
	if ((s->transaction == TRANSACTION_ABORTED_REPORTED ||
	     s->transaction == TRANSACTION_ABORTED_UNREPORTED) &&
	    statement->verb != PW_VERB_ROLLBACK)
		send_rolled_back(s, statement->verb);
	else if (statement->verb == PW_VERB_SET)
		set_variable(s, statement);
	else if (statement->verb == PW_VERB_PREPARE)
		prepare_statement(s, statement);
	else if (statement->verb == PW_VERB_DEALLOCATE)
		deallocate_statement(s, statement);
	else if (statement->verb == PW_VERB_ROLLBACK)
		roll_back_transaction(s);
	else
		begin_transaction(s, statement);
	release_statement(s, statement);
}

static void handle_message(struct session *s, struct pw_caller_message *message)
{
	struct pw_caller_statement *statement = message->statement;

	if (message->kind == PW_CALLER_MESSAGE_TERMINATE) {
		end_session(s, true);
	} else if (s->state == SESSION_OPENING && message->kind == PW_CALLER_MESSAGE_STARTUP) {
		open_session(s, message);
	} else if (s->state == SESSION_OPENING || message->kind == PW_CALLER_MESSAGE_STARTUP) {
		send_error_and_close(s, PW_REASON_MALFORMED, PW_COUNTER_REFUSED_PROTOCOL,
				     "unexpected message");
	} else if (message->kind == PW_CALLER_MESSAGE_MALFORMED) {
		pw_counter_inc(PW_COUNTER_REFUSED_PROTOCOL);
		s->statement_id = statement->id;
		send_error(s, PW_REASON_MALFORMED, "the statement cannot be parsed");
	} else if (message->kind == PW_CALLER_MESSAGE_TOO_LARGE) {
		s->statement_id = statement->id;
		refuse_too_large(s, statement->verb);
	} else {
		message->statement = NULL;
		s->statement_id = statement->id;
		handle_statement(s, statement);
	}
}

/* Closes the session if the gateway drains and decide/drain allows it. */
static void close_if_drained(struct session *s)
{
	struct gateway *g = s->gateway;
	uint64_t now_us = gateway_now_us(g);
	const struct pw_drain_session view = {
		.has_statement = s->work || s->waiting,
		.has_input = pw_drain_has_started(&g->drain) && has_input(s),
		.has_output = pw_stream_output_bytes(&s->stream) > 0,
		.has_transaction = s->transaction != TRANSACTION_NONE,
		.was_served = s->drain_served,
		.was_refused = s->drain_refused,
		.idle_us = now_us - s->last_activity_us,
	};

	if (!s->closed && s->state != SESSION_CLOSING &&
	    pw_drain_may_close(&g->drain, &view, now_us))
		close_after_output(s);
}

/* Closes the session if its caller sends no more and no answer is outstanding. */
static void close_if_input_ended(struct session *s)
{
	if (s->stream.input_ended && !s->work && !s->waiting && !s->closed && !s->output_paused)
		close_after_output(s);
}

/* Whether the session may handle its next message. Stops reading while its answers wait. */
static bool may_handle(struct session *s)
{
	bool may = pw_memory_may_handle(&s->gateway->memory, pw_stream_output_bytes(&s->stream));

	if (s->output_paused == !may)
		return may;
	s->output_paused = !may;
	pw_stream_pause(&s->stream, !may);
	return may;
}

static void session_received(struct pw_stream *stream)
{
	struct session *s = session_of(stream);

	if (s->state == SESSION_CLOSING) {
		pw_stream_consume(stream, UINT32_MAX);
		return;
	}
	s->last_input_us = gateway_now_us(s->gateway);
	s->processing_input = true;
	stream->read_limit_bytes = SESSION_INPUT_AHEAD_BYTES;
	/* One statement runs at a time; further ones wait in the input buffer. */
	while (!s->closed && s->state != SESSION_CLOSING && !s->work && !s->waiting &&
	       stream->input && may_handle(s)) {
		struct pw_caller_message message;
		uint32_t used_bytes = 0;
		int rc = dialect(s)->decode_next(&message, stream->input->data, stream->input->len,
						 &used_bytes);

		if (rc == PW_EAGAIN) {
			stream->read_limit_bytes =
				stream->input->len + PW_STREAM_READ_LIMIT_DEFAULT_BYTES;
			break;
		}
		if (rc) {
			send_error_and_close(
				s, rc == PW_EOVERFLOW ? PW_REASON_TOO_LARGE : PW_REASON_MALFORMED,
				PW_COUNTER_REFUSED_PROTOCOL, pw_error_message());
			break;
		}
		pw_stream_consume(stream, used_bytes);
		s->last_activity_us = gateway_now_us(s->gateway);
		handle_message(s, &message);
		pw_caller_message_dispose(&message);
	}
	s->processing_input = false;
	/* Applies the limit on reading, which may have changed. */
	pw_stream_pause(stream, s->output_paused);
	close_if_input_ended(s);
	close_if_drained(s);
	gw_memory_check(s->gateway);
}

/* The caller has taken all answers: goes on with its next message. */
static void session_output_written(struct pw_stream *stream)
{
	struct session *s = session_of(stream);

	if (s->work && s->work->conn)
		gw_conn_resume(s->work->conn);
	if (!s->closed && s->output_paused && may_handle(s))
		session_received(stream);
}

static void session_stream_closed(struct pw_stream *stream)
{
	end_session(session_of(stream), true);
}

/* A statement in progress is answered first. */
static void session_input_ended(struct pw_stream *stream)
{
	struct session *s = session_of(stream);

	if (!s->work && !s->waiting && !s->output_paused)
		end_session(s, true);
}

static const struct pw_stream_ops stream_ops = {
	.received = session_received,
	.output_written = session_output_written,
	.closed = session_stream_closed,
	.input_ended = session_input_ended,
};

/* Handles a timeout of opening or closing, or of an idle transaction. */
static void session_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct session *s = (struct session *)((char *)t - offsetof(struct session, timer));

	(void)now_us;
	if (s->state != SESSION_READY) {
		gw_session_close(s);
		return;
	}
	pw_counter_inc(PW_COUNTER_TRANSACTIONS_IDLE);
	release_conn(s);
	s->transaction = TRANSACTION_ABORTED_UNREPORTED;
}

static const struct pw_timer_ops timer_ops = { .expire = session_timer_expired };

void gw_session_accept(struct gateway *g, int32_t fd)
{
	struct session *s = g_new0(struct session, 1);

	s->gateway = g;
	s->timer.ops = &timer_ops;
	if (pw_stream_init(&s->stream, &stream_ops, g->task.loop, fd)) {
		close(fd);
		g_free(s);
		return;
	}
	pw_stream_set_totals(&s->stream, &g->memory.used_bytes[PW_MEMORY_INPUT],
			     &g->memory.used_bytes[PW_MEMORY_OUTPUT]);
	pw_counter_inc(PW_COUNTER_CALLER_CONNECTIONS);
	s->last_activity_us = gateway_now_us(g);
	g_hash_table_add(g->sessions, s);
	set_timer(s, SESSION_OPEN_TIMEOUT_US);
}

/* Returns when the caller last took output, as far as the calls of this function have seen. */
static uint64_t update_last_output_us(struct session *s)
{
	if (s->checked_sent_bytes != s->stream.sent_bytes || !s->stream.output)
		s->last_output_us = gateway_now_us(s->gateway);
	s->checked_sent_bytes = s->stream.sent_bytes;
	return s->last_output_us;
}

bool gw_session_has_stalled_output(struct session *s)
{
	uint64_t last_us = update_last_output_us(s);

	return pw_memory_has_stalled_output(pw_stream_output_bytes(&s->stream),
					    gateway_now_us(s->gateway) - last_us);
}

struct pw_memory_holder gw_session_memory(struct session *s)
{
	const struct work *w = s->work;
	const struct conn *c = w && w->conn ? w->conn : s->conn;
	uint64_t last_output_us = s->stream.output ? update_last_output_us(s) : 0;

	return (struct pw_memory_holder){
		.owner = s,
		.bytes = {
			[PW_MEMORY_INPUT] = s->stream.input_size_bytes + (w ? w->input_bytes : 0) +
					    gw_admission_input_bytes(s) +
					    (c ? c->stream.output_size_bytes : 0),
			[PW_MEMORY_OUTPUT] = s->stream.output_size_bytes +
					     (w ? w->answer_bytes : 0) +
					     (c ? c->stream.input_size_bytes : 0),
			[PW_MEMORY_STATE] = s->state_bytes + (c ? c->prepared_bytes : 0),
		},
		.idle_us = gateway_now_us(s->gateway) - MAX(s->last_input_us, last_output_us),
		.is_in_flight = w && w->conn,
	};
}

void gw_session_check_key(struct session *s)
{
	const struct pw_catalog_route *r;

	if (s->state != SESSION_READY)
		return;
	/* Without its route, the next statement of a session without a key is refused anyway. */
	r = pw_catalog_find_route(s->gateway->catalog, s->database);
	if (find_account(s, r ? r->open_to_all : is_keyless(s)))
		return;
	pw_event_log(PW_EVENT_KEY_WITHDRAWN, "account=%s key=%.8s", s->account->name, s->key_hash);
	/* A statement in progress is answered; the next one, which may have arrived, is refused. */
	if (s->work || s->waiting || s->transaction != TRANSACTION_NONE || has_input(s) ||
	    pw_stream_output_bytes(&s->stream))
		return;
	close_after_output(s);
}

void gw_session_drain(struct session *s)
{
	struct gateway *g = s->gateway;

	if (pw_drain_is_over(&g->drain, gateway_now_us(g)) && s->work) {
		g->drain_counts.stopped++;
		gw_work_stop(s->work);
	}
	if (pw_drain_is_over(&g->drain, gateway_now_us(g)) && s->waiting) {
		gw_admission_cancel(s);
		refuse_draining(s);
	}
	close_if_drained(s);
}

void gw_session_send_partial_answer(struct session *s, GByteArray *bytes)
{
	pw_stream_send(&s->stream, bytes->data, bytes->len);
	g_byte_array_set_size(bytes, 0);
	gw_memory_check(s->gateway);
}

void gw_session_send_answer(struct session *s, struct work *w, const struct pw_position *position)
{
	GByteArray *b = w->answer ? g_byte_array_ref(w->answer) : g_byte_array_new();

	s->work = NULL;
	if (w->reason == PW_REASON_NONE) {
		dialect(s)->put_complete(b, w->signature);
	} else {
		if (!w->answer_started)
			g_byte_array_set_size(b, 0);
		dialect(s)->put_error(b, w->reason, w->error);
	}
	dialect(s)->put_ready(b, reported_state(s), position);
	restart_idle_timer(s);
	record_drain_served(s);
	send_bytes(s, b);
	gw_drain_log_answer(s, w);
	if (!s->processing_input)
		session_received(&s->stream);
}

void gw_session_handle_transaction_lost(struct session *s)
{
	s->conn = NULL;
	s->transaction = TRANSACTION_ABORTED_UNREPORTED;
	clear_timer(s);
}

void gw_session_resume(struct session *s, struct pw_caller_statement *statement,
		       const struct pw_admission_decision *d)
{
	struct account *account = s->account;

	s->processing_input = true;
	s->statement_id = statement->id;
	if (d->verdict == PW_ADMISSION_ADMIT) {
		s->admitted = true;
		handle_statement(s, statement);
	} else {
		refuse_over_rate(s, d->retry_us);
		pw_caller_statement_free(statement);
	}
	/* The key or the route was withdrawn meanwhile, or the VM drains. */
	if (s->admitted)
		gw_account_refund(account);
	s->admitted = false;
	session_received(&s->stream);
}
