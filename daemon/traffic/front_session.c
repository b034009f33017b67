#include "front_private.h"

#include <string.h>

#include "pw/core/error.h"

/* Appends the end of an answer: the position token if it changed, then ReadyForQuery. */
static void put_answer_end(struct caller *c, GByteArray *b, bool position_changed)
{
	char token[PW_POSITION_TEXT_SIZE];

	if (position_changed && c->uses_position_token) {
		pw_position_format(token, &c->floor.position);
		pw_pg_put_parameter_status(b, "pimentowing.position", token);
	}
	pw_pg_put_ready_for_query(b, c->transaction_status);
}

static void clear_batch(struct caller *c)
{
	batch_free(c->batch);
	c->batch = NULL;
}

/* Answers the batch with an error of the proxy, after which an open transaction has failed. */
static void refuse_batch(struct caller *c, const char *sqlstate, enum pw_counter counter,
			 const char *message)
{
	GByteArray *b = g_byte_array_new();
	bool outcome_unknown = strcmp(sqlstate, PW_SQLSTATE_OUTCOME_UNKNOWN) == 0;
	struct pw_pg_error error = {
		.severity = "ERROR",
		.sqlstate = sqlstate,
		.message = message,
		.detail = outcome_unknown ? "The statement may or may not have taken effect."
					  : "The statement was not run.",
	};

	pw_counter_inc(counter);
	if (outcome_unknown)
		pw_counter_inc(PW_COUNTER_OUTCOME_UNKNOWN);
	if (c->transaction_status == 'T')
		c->transaction_status = 'E';
	/* Rolls the failed transaction back at the upstream; the caller still has to end it. */
	if (c->transaction_status == 'E' && c->has_upstream_transaction) {
		const struct pw_directory *directory = c->front->directory;

		pw_mailbox_send(directory->ledger,
				pw_session_end_msg(c->session_id, pw_directory_group_inbox(
									  directory, c->database)));
		c->has_upstream_transaction = false;
	}
	pw_pg_put_error(b, &error);
	put_answer_end(c, b, false);
	caller_send(c, b);
	g_byte_array_unref(b);
	if (c->batch) {
		batch_forget_prepared(c, c->batch, 0);
		clear_batch(c);
	}
}

/* How a batch may run, combined from the routes and kinds of all of its statements. */
struct batch_plan {
	const struct pw_document_route *route; /**< last of the routes; NULL: none */
	uint32_t stale_age_ms;                 /**< strictest limit of the routes; 0: none */
	uint32_t timeout_ms;                   /**< greatest value of the routes */
	uint32_t statement_count;  /**< number of statements charged to the account's rate */
	bool needs_key;            /**< needs the key of an account */
	bool writes;               /**< a route is for writes */
	bool repeatable;           /**< all routes are repeatable */
	bool strict;               /**< a route has strict session consistency */
	bool controls_transaction; /**< contains transaction control, such as BEGIN or SAVEPOINT */
	bool commits;              /**< contains a COMMIT */
};

/* Returns the stricter of two limits on the age of data, of which 0 stands for no limit. */
static uint32_t stricter_age_ms(uint32_t a_ms, uint32_t b_ms)
{
	return a_ms && b_ms ? MIN(a_ms, b_ms) : MAX(a_ms, b_ms);
}

/* Adds a statement's route to the plan. Returns false if it has none, after sending an error. */
static bool plan_add_statement(struct caller *c, struct batch_plan *p, const struct pw_statement *s)
{
	const struct pw_document *doc = c->front->document;
	const struct pw_document_database *db = pw_document_find_database(doc, c->database);
	const struct pw_document_route *route =
		db ? pw_document_find_route(doc, db, s->text) : NULL;

	if (!route) {
		refuse_batch(c, PW_SQLSTATE_NO_ROUTE, PW_COUNTER_REFUSED_ROUTE,
			     "no route of the database matches the statement");
		return false;
	}
	p->stale_age_ms = stricter_age_ms(p->stale_age_ms, route->stale_age_ms);
	p->timeout_ms = MAX(p->timeout_ms, route->timeout_ms);
	p->needs_key |= route->access == PW_ACCESS_KEYED;
	p->writes |= route->kind == PW_ROUTE_WRITE;
	p->repeatable &= route->repeatable;
	p->strict |= route->session == PW_ROUTE_SESSION_STRICT;
	p->route = route;
	p->statement_count++;
	return true;
}

/* Timeout of a batch that contains no statement with a route. */
#define TRANSACTION_CONTROL_TIMEOUT_MS 30000

/*
 * Combines the statements of the batch into a plan. Returns false after an error, which was sent to
 * the caller.
 */
static bool plan_batch(struct caller *c, struct batch_plan *p)
{
	const struct batch *b = c->batch;

	*p = (struct batch_plan){ .repeatable = true };
	for (guint i = 0; i < b->statements->len; i++) {
		const struct pw_statement *s = g_ptr_array_index(b->statements, i);

		switch (s->kind) {
		case PW_STATEMENT_ORDINARY:
			if (!plan_add_statement(c, p, s))
				return false;
			break;
		case PW_STATEMENT_BEGIN:
			p->controls_transaction = true;
			p->statement_count++;
			break;
		case PW_STATEMENT_COMMIT:
			p->commits = true;
			p->controls_transaction = true;
			break;
		case PW_STATEMENT_ROLLBACK:
		case PW_STATEMENT_IN_TRANSACTION:
			p->controls_transaction = true;
			break;
		default:
			break;
		}
	}
	p->needs_key |= p->controls_transaction;
	if (!p->timeout_ms)
		p->timeout_ms = TRANSACTION_CONTROL_TIMEOUT_MS;
	return true;
}

/*
 * Checks that the caller has a key if the batch needs one, and that the snapshot is recent enough
 * for the key to be trusted. Returns false after an error, which was sent to the caller.
 */
static bool check_access(struct caller *c, const struct batch_plan *p)
{
	const struct front *f = c->front;

	if (p->needs_key && !c->key_id[0]) {
		refuse_batch(c, PW_SQLSTATE_INVALID_AUTHORIZATION, PW_COUNTER_REFUSED_KEY,
			     "the statement needs the key of a client account");
		return false;
	}
	if (p->needs_key && pw_loop_now_us(f->task.loop) >= f->fresh_until_us) {
		refuse_batch(c, PW_SQLSTATE_UNAVAILABLE, PW_COUNTER_REFUSED_ISOLATED,
			     "the proxy reaches neither the store nor its peers");
		return false;
	}
	return true;
}

/* Answers a batch that needs no upstream. Returns false if it needs one. */
static bool answer_locally(struct caller *c)
{
	const struct batch *b = c->batch;
	const struct pw_statement *s =
		b->statements->len == 1 ? g_ptr_array_index(b->statements, 0) : NULL;
	const char *tag = NULL;
	GByteArray *out;
	bool position_changed = false;

	/* The batch is only a Sync, or its only statement is empty. */
	if ((!b->statements->len && !b->executes && !strpbrk(b->message_types->str, "BDC")) ||
	    (s && s->kind == PW_STATEMENT_EMPTY))
		tag = "";
	if (s && s->kind == PW_STATEMENT_SET_POSITION) {
		struct pw_position token_position;

		if (*s->detail && pw_position_parse(&token_position, s->detail)) {
			refuse_batch(c, PW_SQLSTATE_PROTOCOL_VIOLATION, PW_COUNTER_REFUSED_PROTOCOL,
				     "the position token is malformed");
			return true;
		}
		c->uses_position_token = true;
		pw_floor_apply_token(&c->floor, *s->detail ? &token_position : NULL);
		tag = "SET";
		position_changed = c->floor.position.term != 0;
	}
	/* The upstream has rolled the failed transaction back, so its end is answered here. */
	if (c->transaction_status == 'E' && !c->has_upstream_transaction && s &&
	    (s->kind == PW_STATEMENT_ROLLBACK || s->kind == PW_STATEMENT_COMMIT)) {
		c->transaction_status = 'I';
		tag = "ROLLBACK";
	}
	if (!tag)
		return false;
	out = g_byte_array_new();
	batch_put_answer(b, out, tag);
	put_answer_end(c, out, position_changed);
	caller_send(c, out);
	g_byte_array_unref(out);
	clear_batch(c);
	return true;
}

static struct pw_request *new_request(struct caller *c, const struct batch_plan *p)
{
	struct front *f = c->front;
	struct batch *b = c->batch;
	struct pw_request *r = pw_request_new();
	/*
	 * Reads the clock again. With the time at which the loop woke up, a probe that was sent
	 * after that but before the request was received could count for the request.
	 */
	uint64_t now_us = pw_loop_update_now_us(f->task.loop);
	bool in_transaction = c->transaction_status != 'I';

	r->reply_to = f->task.inbox;
	/* The index of the front task makes the id unique in the process. */
	r->id = (uint64_t)f->index << 48 | f->next_request_number++;
	r->session_id = c->session_id;
	r->document = pw_document_ref(f->document);
	r->database = pw_document_find_database(f->document, c->database);
	r->account = c->key_id[0] ? pw_document_find_account(f->document, c->user) : NULL;
	r->bytes = g_byte_array_ref(b->replay_bytes);
	g_byte_array_append(r->bytes, b->bytes->data, b->bytes->len);
	r->hidden_answer_count = b->replay_answer_count;
	r->floor = c->floor;
	if (!c->uses_position_token)
		r->floor.mode = p->strict ? PW_FLOOR_STRICT : PW_FLOOR_PER_CONNECTION;
	r->arrived_us = now_us;
	r->deadline_us = now_us + f->document->limits.request_deadline_ms * UINT64_C(1000);
	r->timeout_us = p->timeout_ms * 1000;
	r->stale_age_ms = p->stale_age_ms;
	r->statement_count = b->executes ? p->statement_count : 0;
	r->in_transaction = in_transaction;
	r->may_use_replica = !in_transaction && !p->writes && !p->controls_transaction;
	r->acknowledges_write = b->executes && (in_transaction ? p->commits : p->writes);
	r->repeatable =
		!in_transaction && !p->controls_transaction && (p->repeatable || !b->executes);
	return r;
}

/*
 * Time after a request's deadline and timeout at which it counts as lost, for example because a
 * task that had it was restarted. Longer than the waits for tokens and for confirmation.
 */
#define REQUEST_TIMEOUT_MARGIN_US UINT64_C(5000000)

static void send_request(struct caller *c, const struct batch_plan *p)
{
	struct pw_request *r = new_request(c, p);

	pw_counter_inc(PW_COUNTER_REQUESTS);
	c->request_id = r->id;
	c->request_sent_us = r->arrived_us;
	pw_loop_timer_set(c->front->task.loop, &c->timer,
			  r->deadline_us + r->timeout_us + REQUEST_TIMEOUT_MARGIN_US);
	pw_stream_pause(&c->stream, true);
	pw_mailbox_send(c->front->directory->ledger, &r->base);
}

static void handle_batch(struct caller *c)
{
	struct batch_plan p;
	char message[128];

	/* Sent as the answer to the statement, since an earlier error could have crossed it. */
	if (c->front->draining && c->transaction_status == 'I') {
		c->front->drain_counts.refused++;
		caller_send_fatal_error(c, PW_SQLSTATE_SHUTDOWN, PW_COUNTER_REFUSED_DRAINING,
					"the proxy is stopping");
		return;
	}
	if (c->batch->unsupported_reason) {
		g_snprintf(message, sizeof(message), "not supported through the proxy: %s",
			   c->batch->unsupported_reason);
		refuse_batch(c, PW_SQLSTATE_UNSUPPORTED, PW_COUNTER_REFUSED_UNSUPPORTED, message);
		return;
	}
	if (answer_locally(c))
		return;
	if (c->transaction_status == 'E' && !c->has_upstream_transaction) {
		refuse_batch(c, PW_SQLSTATE_FAILED_TRANSACTION, PW_COUNTER_REFUSED_NO_PRIMARY,
			     "the transaction has failed; end it with ROLLBACK");
		return;
	}
	if (plan_batch(c, &p) && check_access(c, &p))
		send_request(c, &p);
}

void session_handle_input(struct caller *c)
{
	/* One request at a time: further batches stay in the input buffer. */
	while (c->state == CALLER_READY && !c->request_id && c->stream.input) {
		if (batch_collect(c))
			return;
		handle_batch(c);
	}
}

void session_forward_chunk(struct caller *c, struct pw_chunk *m)
{
	c->uncredited_bytes += m->bytes->len;
	c->credit_to = m->credit_to;
	caller_send(c, m->bytes);
	session_send_credit(c);
}

void session_send_credit(struct caller *c)
{
	if (!c->uncredited_bytes || pw_stream_output_bytes(&c->stream))
		return;
	pw_mailbox_send(c->credit_to, pw_credit_msg(c->request_id, (uint32_t)c->uncredited_bytes));
	c->uncredited_bytes = 0;
}

/* Updates the session after a request that an upstream answered. */
static void finish_answered(struct caller *c, const struct pw_response_end *e)
{
	enum pw_floor_mode mode = c->floor.mode;
	GByteArray *b = g_byte_array_new();

	c->floor = e->floor;
	c->floor.mode = mode;
	c->has_upstream_transaction = e->transaction_status != 'I';
	if (e->has_error)
		batch_forget_prepared(c, c->batch, e->parsed_count);
	put_answer_end(c, b, e->floor_changed);
	caller_send(c, b);
	g_byte_array_unref(b);
	clear_batch(c);
}

/* Updates the session after a request that was refused, and sends the error. */
static void finish_refused(struct caller *c, const struct pw_response_end *e)
{
	/* Keeps the floor that was moved because of lost writes, so that they are reported once. */
	if (e->floor_changed)
		c->floor = e->floor;
	if (e->transaction_lost)
		c->has_upstream_transaction = false;
	refuse_batch(c, e->refusal->sqlstate, e->refusal->counter, e->refusal->message);
}

void session_handle_request_timeout(struct caller *c)
{
	GByteArray *b = g_byte_array_new();
	struct pw_pg_error error = {
		.severity = "FATAL",
		.sqlstate = PW_SQLSTATE_OUTCOME_UNKNOWN,
		.message = "the statement was not answered in time",
		.detail = "The statement may or may not have taken effect.",
	};

	pw_counter_inc(PW_COUNTER_OUTCOME_UNKNOWN);
	pw_pg_put_error(b, &error);
	caller_send(c, b);
	g_byte_array_unref(b);
	caller_close_after_output(c);
}

void session_handle_response_end(struct caller *c, struct pw_response_end *e)
{
	c->request_id = 0;
	c->idle_since_us = pw_loop_now_us(c->front->task.loop);
	if (!c->key_withdrawn)
		pw_loop_timer_clear(c->front->task.loop, &c->timer);
	/* The group task has freed the request and needs no more credit for it. */
	c->uncredited_bytes = 0;
	pw_stream_pause(&c->stream, false);
	c->transaction_status = e->transaction_status;
	if (e->refusal)
		finish_refused(c, e);
	else
		finish_answered(c, e);
	c->front->drain_counts.answered += !e->refusal;
	if (c->key_withdrawn) {
		caller_send_fatal_error(c, PW_SQLSTATE_INVALID_KEY,
					PW_COUNTER_REFUSED_KEY_WITHDRAWN,
					"the key of the client account was withdrawn");
		return;
	}
	if (c->front->drain_is_over) {
		caller_send_fatal_error(c, PW_SQLSTATE_SHUTDOWN, PW_COUNTER_REFUSED_DRAINING,
					"the proxy is stopping");
		return;
	}
	session_handle_input(c);
}
