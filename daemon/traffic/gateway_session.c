#include "gateway_private.h"

#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#include "pw/core/error.h"
#include "pw/core/event.h"

/* Names that a session may keep of each kind. */
#define SESSION_NAMES_MAX 256

static struct session *session_of(struct pw_stream *s)
{
	return (struct session *)s;
}

static const struct pw_caller_dialect_ops *dialect(const struct session *s)
{
	return s->gateway->caller->ops;
}

static void set_timer(struct session *s, uint64_t after_us)
{
	pw_loop_timer_set(s->gateway->task.loop, &s->timer, gateway_now_us(s->gateway) + after_us);
}

static void clear_timer(struct session *s)
{
	pw_loop_timer_clear(s->gateway->task.loop, &s->timer);
}

static void send_bytes(struct session *s, GByteArray *b)
{
	pw_stream_send(&s->stream, b->data, b->len);
	g_byte_array_unref(b);
}

/* Gives the transaction's connection back. */
static void release_conn(struct session *s)
{
	struct conn *c = s->conn;

	s->conn = NULL;
	if (c)
		gw_conn_roll_back(c);
}

void gw_session_close(struct session *s)
{
	struct gateway *g = s->gateway;

	if (s->closed)
		return;
	s->closed = true;
	clear_timer(s);
	pw_stream_dispose(&s->stream);
	if (s->work)
		gw_work_abandon(s->work);
	s->work = NULL;
	release_conn(s);
	g_hash_table_remove(g->sessions, s);
	g_free(s->database);
	g_clear_pointer(&s->values, g_hash_table_unref);
	g_clear_pointer(&s->prepared, g_hash_table_unref);
	gateway_discard(g, s);
}

/* Ends the session after its output is written. */
static void finish(struct session *s)
{
	if (s->state == SESSION_CLOSING)
		return;
	s->state = SESSION_CLOSING;
	release_conn(s);
	set_timer(s, SESSION_CLOSE_LIMIT_US);
	pw_stream_finish(&s->stream);
}

static enum pw_session_state told_state(const struct session *s)
{
	switch (s->transaction) {
	case TRANSACTION_NONE:
		return PW_SESSION_IDLE;
	case TRANSACTION_BEGUN:
	case TRANSACTION_ACTIVE:
		return PW_SESSION_IN_TRANSACTION;
	default:
		return PW_SESSION_FAILED;
	}
}

static void answer_done(struct session *s)
{
	GByteArray *b = g_byte_array_new();

	dialect(s)->put_complete(b, NULL);
	dialect(s)->put_ready(b, told_state(s), NULL);
	send_bytes(s, b);
}

static void answer_error(struct session *s, enum pw_reason reason, const char *text)
{
	GByteArray *b;

	if (pw_event_is_logged(PW_EVENT_REQUEST_REFUSED))
		pw_event_log(PW_EVENT_REQUEST_REFUSED,
			     "id=%s account=%s database=%s reason=%s text=\"%s\" rate=%.1f "
			     "burst=%.1f contended=%d",
			     s->statement_id, s->account ? s->account->name : "", s->database,
			     pw_reason_name(reason), text,
			     s->account ? s->account->share.rate_per_s : 0,
			     s->account ? s->account->share.burst : 0,
			     s->account && s->account->share.contended);

	b = g_byte_array_new();
	dialect(s)->put_error(b, reason, text);
	dialect(s)->put_ready(b, told_state(s), NULL);
	send_bytes(s, b);
}

/* Ends the session with an error. */
static void answer_fatal(struct session *s, enum pw_reason reason, enum pw_counter counter,
			 const char *text)
{
	GByteArray *b = g_byte_array_new();

	pw_counter_inc(counter);
	dialect(s)->put_error(b, reason, text);
	send_bytes(s, b);
	finish(s);
}

/* Restarts the time for which an open transaction may be idle. */
static void watch_idle(struct session *s)
{
	const struct pw_catalog *c = s->gateway->catalog;

	s->idle_since_us = gateway_now_us(s->gateway);
	if (s->transaction == TRANSACTION_ACTIVE && c)
		set_timer(s, c->transaction_idle_ms * PW_US_PER_MS);
	else if (s->state == SESSION_READY)
		clear_timer(s);
}

/* @return account of the session's key, or NULL if there is none any more */
static struct account *present_account(struct session *s)
{
	const struct pw_catalog_account *a =
		pw_catalog_account_of_key(s->gateway->catalog, s->key_hash);

	return a ? gw_account_get(s->gateway, a->name) : NULL;
}

/* Account of callers without a key, on routes that are open to all. */
#define OPEN_ACCOUNT "-"

static void open_session(struct session *s, struct pw_call *call)
{
	const struct pw_catalog *catalog = s->gateway->catalog;
	const struct pw_catalog_route *r;
	GByteArray *b;

	if (!catalog) {
		answer_fatal(s, PW_REASON_BUSY, PW_COUNTER_REFUSED_ISOLATED,
			     "the proxy has no configuration yet");
		return;
	}
	r = pw_catalog_route(catalog, call->database);
	if (!r) {
		answer_fatal(s, PW_REASON_NO_DATABASE, PW_COUNTER_REFUSED_ROUTE,
			     "no such database");
		return;
	}
	pw_catalog_hash_key(s->key_hash, call->key);
	s->account = present_account(s);
	if (!s->account && r->open)
		s->account = gw_account_get(s->gateway, OPEN_ACCOUNT);
	if (!s->account) {
		answer_fatal(s, PW_REASON_BAD_KEY, PW_COUNTER_REFUSED_KEY, "the key is not valid");
		return;
	}
	s->database = g_strdup(call->database);
	s->state = SESSION_READY;
	watch_idle(s);
	b = g_byte_array_new();
	dialect(s)->put_ready(b, PW_SESSION_IDLE, NULL);
	send_bytes(s, b);
}

/* Whether the session's key still belongs to its account. */
static bool key_is_valid(struct session *s)
{
	return strcmp(s->account->name, OPEN_ACCOUNT) == 0 || present_account(s) == s->account;
}

/* Looks up what the route says now; a change of it holds from the next operation on. */
static bool find_route(struct session *s)
{
	struct gateway *g = s->gateway;
	const struct pw_catalog_route *r = pw_catalog_route(g->catalog, s->database);

	if (!r) {
		pw_counter_inc(PW_COUNTER_REFUSED_ROUTE);
		answer_error(s, PW_REASON_NO_DATABASE, "the database was removed");
		return false;
	}
	if (!key_is_valid(s)) {
		answer_fatal(s, PW_REASON_BAD_KEY, PW_COUNTER_REFUSED_KEY_WITHDRAWN,
			     "the key was withdrawn");
		return false;
	}
	s->operation = (struct operation){
		.group = gw_group_get(g, r->group),
		.consistency = r->consistency,
		.stale_age_us = r->stale_age_ms * PW_US_PER_MS,
		.timeout_us = r->timeout_ms * PW_US_PER_MS,
		.target_us = r->target_ms * PW_US_PER_MS,
		.priority = r->priority,
	};
	return true;
}

/* Checks that start an operation. Returns false after an error, which has been sent. */
static bool begin_operation(struct session *s)
{
	char text[64];
	uint64_t wait_us = 0;

	if (!find_route(s))
		return false;
	if (strcmp(s->account->name, OPEN_ACCOUNT) == 0 ||
	    gw_account_admit(s->gateway, s->account, &wait_us))
		return true;
	pw_counter_inc(PW_COUNTER_REFUSED_RATE);
	g_snprintf(text, sizeof(text), "retry_after_ms=%" PRIu64 " over the rate of the account",
		   wait_us / PW_US_PER_MS);
	answer_error(s, PW_REASON_BUSY, text);
	return false;
}

static void prepared_free(gpointer data)
{
	struct prepared *p = data;

	g_free(p->shape);
	g_free(p);
}

static bool names_full(struct session *s, const GHashTable *names)
{
	if (!names || g_hash_table_size((GHashTable *)(uintptr_t)names) < SESSION_NAMES_MAX)
		return false;
	pw_counter_inc(PW_COUNTER_REFUSED_LIMIT);
	answer_error(s, PW_REASON_TOO_LARGE, "the session has too many names");
	return true;
}

static void set_value(struct session *s, struct pw_statement_call *call)
{
	if (names_full(s, s->values))
		return;
	if (!s->values)
		s->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_replace(s->values, g_strdup(call->name), g_strdup(call->argument));
	answer_done(s);
}

static void prepare(struct session *s, struct pw_statement_call *call)
{
	struct prepared *p;

	if (names_full(s, s->prepared))
		return;
	if (!s->prepared)
		s->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, prepared_free);
	p = g_new0(struct prepared, 1);
	p->shape = g_strdup(call->argument);
	p->writes = call->writes;
	g_hash_table_replace(s->prepared, g_strdup(call->name), p);
	answer_done(s);
}

static void forget(struct session *s, struct pw_statement_call *call)
{
	if (s->prepared && g_hash_table_remove(s->prepared, call->name))
		answer_done(s);
	else
		answer_error(s, PW_REASON_UNKNOWN_STATEMENT, "no prepared statement of that name");
}

static void begin(struct session *s, bool read_only)
{
	if (s->transaction != TRANSACTION_NONE) {
		answer_error(s, PW_REASON_MALFORMED, "a transaction is open");
		return;
	}
	if (!begin_operation(s))
		return;
	s->transaction = TRANSACTION_BEGUN;
	s->read_only = read_only;
	answer_done(s);
}

static void roll_back(struct session *s)
{
	if (s->transaction == TRANSACTION_NONE) {
		answer_error(s, PW_REASON_MALFORMED, "no transaction is open");
		return;
	}
	release_conn(s);
	s->transaction = TRANSACTION_NONE;
	answer_done(s);
}

/* Answers a statement of a transaction that was rolled back. */
static void answer_rolled_back(struct session *s, enum pw_verb verb)
{
	bool told = s->transaction == TRANSACTION_LOST;
	bool commit = verb == PW_VERB_COMMIT;

	s->transaction = commit ? TRANSACTION_NONE : TRANSACTION_LOST;
	answer_error(s, told && !commit ? PW_REASON_MALFORMED : PW_REASON_ABORTED,
		     "the transaction was rolled back");
}

/* Returns false after an error, which has been sent. */
static bool check_forward(struct session *s, const struct pw_statement_call *call)
{
	if (call->verb == PW_VERB_COMMIT && s->transaction == TRANSACTION_NONE) {
		answer_error(s, PW_REASON_MALFORMED, "no transaction is open");
		return false;
	}
	if (call->verb == PW_VERB_EXECUTE &&
	    !(s->prepared && g_hash_table_contains(s->prepared, call->name))) {
		answer_error(s, PW_REASON_UNKNOWN_STATEMENT, "no prepared statement of that name");
		return false;
	}
	if (s->transaction == TRANSACTION_LOST || s->transaction == TRANSACTION_ENDED) {
		answer_rolled_back(s, call->verb);
		return false;
	}
	if (s->transaction == TRANSACTION_NONE)
		return begin_operation(s);
	if (!key_is_valid(s)) {
		answer_fatal(s, PW_REASON_BAD_KEY, PW_COUNTER_REFUSED_KEY_WITHDRAWN,
			     "the key was withdrawn");
		return false;
	}
	return true;
}

/* Takes ownership of the call. */
static void forward(struct session *s, struct pw_statement_call *call)
{
	struct work *w;

	if (!check_forward(s, call)) {
		pw_statement_call_free(call);
		return;
	}
	pw_counter_inc(PW_COUNTER_REQUESTS);
	clear_timer(s);
	w = gw_work_new(s, call);
	s->work = w;
	gw_work_start(w);
}

static void handle_statement(struct session *s, struct pw_statement_call *call)
{
	switch (call->verb) {
	case PW_VERB_READ:
	case PW_VERB_WRITE:
	case PW_VERB_EXECUTE:
	case PW_VERB_COMMIT:
		forward(s, call);
		return;
	default:
		break;
	}
	if ((s->transaction == TRANSACTION_LOST || s->transaction == TRANSACTION_ENDED) &&
	    call->verb != PW_VERB_ROLLBACK)
		answer_rolled_back(s, call->verb);
	else if (call->verb == PW_VERB_SET)
		set_value(s, call);
	else if (call->verb == PW_VERB_PREPARE)
		prepare(s, call);
	else if (call->verb == PW_VERB_FORGET)
		forget(s, call);
	else if (call->verb == PW_VERB_ROLLBACK)
		roll_back(s);
	else
		begin(s, call->verb == PW_VERB_BEGIN_READ);
	pw_statement_call_free(call);
}

static void handle_call(struct session *s, struct pw_call *call)
{
	struct pw_statement_call *statement = call->statement;

	if (call->kind == PW_CALL_END) {
		gw_session_close(s);
	} else if (s->state == SESSION_OPENING && call->kind == PW_CALL_OPEN) {
		open_session(s, call);
	} else if (s->state == SESSION_OPENING || call->kind == PW_CALL_OPEN) {
		answer_fatal(s, PW_REASON_MALFORMED, PW_COUNTER_REFUSED_PROTOCOL,
			     "unexpected message");
	} else if (call->kind == PW_CALL_MALFORMED) {
		pw_counter_inc(PW_COUNTER_REFUSED_PROTOCOL);
		s->statement_id = statement->id;
		answer_error(s, PW_REASON_MALFORMED, "the statement cannot be read");
	} else {
		call->statement = NULL;
		s->statement_id = statement->id;
		handle_statement(s, statement);
	}
}

/* The last answer of a session that is to go was sent. */
static void close_when_idle(struct session *s)
{
	if (s->gateway->stopping && s->state == SESSION_READY && !s->work &&
	    s->transaction == TRANSACTION_NONE)
		finish(s);
}

static void session_received(struct pw_stream *stream)
{
	struct session *s = session_of(stream);

	if (s->state == SESSION_CLOSING) {
		pw_stream_consume(stream, UINT32_MAX);
		return;
	}
	s->reading = true;
	/* One statement at a time: further ones wait in the input. */
	while (!s->closed && s->state != SESSION_CLOSING && !s->work && stream->in) {
		struct pw_call call;
		uint32_t used = 0;
		int rc = dialect(s)->next(&call, stream->in->data, stream->in->len, &used);

		if (rc == PW_EAGAIN) {
			stream->read_limit_bytes = stream->in->len + PW_STREAM_READ_LIMIT_BYTES;
			break;
		}
		if (rc) {
			answer_fatal(s,
				     rc == PW_EOVERFLOW ? PW_REASON_TOO_LARGE : PW_REASON_MALFORMED,
				     PW_COUNTER_REFUSED_PROTOCOL, pw_error_message());
			break;
		}
		pw_stream_consume(stream, used);
		s->idle_since_us = gateway_now_us(s->gateway);
		handle_call(s, &call);
		pw_call_dispose(&call);
	}
	s->reading = false;
	if (!s->closed)
		close_when_idle(s);
}

static void session_stream_closed(struct pw_stream *stream)
{
	gw_session_close(session_of(stream));
}

static const struct pw_stream_ops stream_ops = {
	.received = session_received,
	.closed = session_stream_closed,
};

/* The start or the end took too long, or a transaction was idle. */
static void session_expire(struct pw_timer *t, uint64_t now_us)
{
	struct session *s = (struct session *)((char *)t - offsetof(struct session, timer));

	(void)now_us;
	if (s->state != SESSION_READY) {
		gw_session_close(s);
		return;
	}
	pw_counter_inc(PW_COUNTER_TRANSACTIONS_IDLE);
	release_conn(s);
	s->transaction = TRANSACTION_ENDED;
}

static const struct pw_timer_ops timer_ops = { .expire = session_expire };

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
	pw_counter_inc(PW_COUNTER_CALLER_CONNECTIONS);
	g_hash_table_add(g->sessions, s);
	set_timer(s, SESSION_OPEN_LIMIT_US);
}

void gw_session_check_key(struct session *s)
{
	if (s->state != SESSION_READY || key_is_valid(s))
		return;
	pw_event_log(PW_EVENT_KEY_WITHDRAWN, "account=%s key=%.8s", s->account->name, s->key_hash);
	/* A statement under way is answered; the next one is refused. */
	if (s->work || s->transaction != TRANSACTION_NONE)
		return;
	finish(s);
}

void gw_session_drain(struct session *s)
{
	uint64_t now = gateway_now_us(s->gateway);

	if (s->state == SESSION_OPENING ||
	    (s->state == SESSION_READY && !s->work && s->transaction == TRANSACTION_NONE &&
	     !s->stream.in && now - s->idle_since_us >= SESSION_DRAIN_IDLE_US))
		finish(s);
}

void gw_session_pass_on(struct session *s, GByteArray *bytes)
{
	pw_stream_send(&s->stream, bytes->data, bytes->len);
	g_byte_array_set_size(bytes, 0);
}

void gw_session_answered(struct session *s, struct work *w, const struct pw_position *at)
{
	GByteArray *b = w->answer ? g_byte_array_ref(w->answer) : g_byte_array_new();

	s->work = NULL;
	if (w->reason == PW_REASON_NONE) {
		dialect(s)->put_complete(b, w->signature);
	} else {
		if (!w->passed_on)
			g_byte_array_set_size(b, 0);
		dialect(s)->put_error(b, w->reason, w->error);
	}
	dialect(s)->put_ready(b, told_state(s), at);
	watch_idle(s);
	send_bytes(s, b);
	if (!s->reading)
		session_received(&s->stream);
}

void gw_session_transaction_lost(struct session *s)
{
	s->conn = NULL;
	s->transaction = TRANSACTION_ENDED;
	clear_timer(s);
}
