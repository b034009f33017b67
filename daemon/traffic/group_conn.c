#include "group_private.h"

#include <string.h>

#include "pw/core/error.h"

static struct conn *conn_of(struct pw_stream *stream)
{
	return (struct conn *)stream;
}

static struct group *group_of(const struct conn *c)
{
	return c->server->database->group;
}

static void set_timeout(struct conn *c, uint64_t after_us)
{
	struct group *g = group_of(c);

	pw_loop_timer_set(g->task.loop, &c->timer, group_now_us(g) + after_us);
}

static void clear_timeout(struct conn *c)
{
	pw_loop_timer_clear(group_of(c)->task.loop, &c->timer);
}

static void send_bytes(struct conn *c, GByteArray *b)
{
	pw_stream_send(&c->stream, b->data, b->len);
	g_byte_array_unref(b);
}

static void pin(struct conn *c, uint64_t session_id)
{
	if (c->is_pinned)
		return;
	c->is_pinned = true;
	/* The table refers to this field, which must not change until unpin(). */
	c->session_id = session_id;
	g_hash_table_replace(group_of(c)->pinned_conns, &c->session_id, c);
}

static void unpin(struct conn *c)
{
	GHashTable *conns = group_of(c)->pinned_conns;

	if (c->is_pinned && g_hash_table_lookup(conns, &c->session_id) == c)
		g_hash_table_remove(conns, &c->session_id);
	c->is_pinned = false;
}

/* Closes the socket and removes the connection, without telling the pool. */
static void conn_remove(struct conn *c)
{
	clear_timeout(c);
	unpin(c);
	pw_stream_dispose(&c->stream);
	g_ptr_array_remove_fast(c->server->conns, c);
	/* Freed by the next tick, since functions that use it may be on the stack. */
	c->closed = true;
	g_ptr_array_add(group_of(c)->closed_conns, c);
}

static uint64_t busy_time_us(const struct conn *c)
{
	return group_now_us(group_of(c)) - c->busy_since_us;
}

void conn_close(struct conn *c)
{
	conn_remove(c);
}

static void handle_connect_failure(struct conn *c)
{
	struct server *s = c->server;
	struct group *g = group_of(c);

	/*
	 * The pool counts the connection as opening until the backoff ends, so that it does not
	 * open another one in its place.
	 */
	s->failed_connects++;
	pw_loop_timer_set(g->task.loop, &s->connect_backoff_timer,
			  group_now_us(g) + CONNECT_BACKOFF_US);
	conn_remove(c);
}

/* Closes a busy connection. The attempt of its request, if it still has one, has failed. */
static void discard_conn(struct conn *c, enum pw_attempt_failure failure, const char *reason)
{
	struct server *s = c->server;
	struct work *w = c->work;

	pw_counter_inc(PW_COUNTER_UPSTREAM_DISCARDED);
	pw_pool_connection_discarded(s->pool, c->account_key, busy_time_us(c));
	c->work = NULL;
	conn_remove(c);
	if (w)
		work_handle_failed_attempt(w, failure, reason);
	server_run_pool_actions(s);
}

static void close_idle_conn(struct conn *c)
{
	struct server *s = c->server;

	g_queue_remove(&s->idle_conns, c);
	pw_pool_idle_connection_closed(s->pool);
	conn_remove(c);
	server_run_pool_actions(s);
}

/* Closes a connection that cannot be used any more; the attempt of its request, if any, fails. */
static void conn_fail(struct conn *c, const char *reason)
{
	bool sent = c->stream.sent_bytes != c->sent_bytes_before;

	switch (c->state) {
	case CONN_CONNECTING:
	case CONN_LOGGING_IN:
		handle_connect_failure(c);
		break;
	case CONN_IDLE:
		close_idle_conn(c);
		break;
	case CONN_CHECKING:
		discard_conn(c, PW_ATTEMPT_NOT_SENT, reason);
		break;
	case CONN_READING_ANSWER:
	case CONN_READING_STATUS:
		discard_conn(c, sent ? PW_ATTEMPT_UNANSWERED : PW_ATTEMPT_NOT_SENT, reason);
		break;
	case CONN_PINNED:
	case CONN_ROLLING_BACK:
		discard_conn(c, PW_ATTEMPT_UNANSWERED, reason);
		break;
	}
}

static void conn_stream_closed(struct pw_stream *stream)
{
	conn_fail(conn_of(stream), "the connection to the upstream was lost");
}

/*
 * Closes the connections that have been idle for at least as long as one whose check had no answer:
 * checking them one after the other would use up the deadline of a request.
 */
static void close_idle_since(struct server *s, uint64_t idle_since_us)
{
	struct conn *c;

	while ((c = g_queue_peek_tail(&s->idle_conns)) && c->idle_since_us <= idle_since_us) {
		pw_counter_inc(PW_COUNTER_UPSTREAM_SILENT);
		g_queue_pop_tail(&s->idle_conns);
		pw_pool_idle_connection_closed(s->pool);
		conn_remove(c);
	}
}

static void conn_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct conn *c = (struct conn *)((char *)t - offsetof(struct conn, timer));

	(void)now_us;
	pw_counter_inc(PW_COUNTER_UPSTREAM_SILENT);
	if (c->state == CONN_CHECKING)
		close_idle_since(c->server, c->idle_since_us);
	conn_fail(c, "the upstream did not answer in time");
}

static const struct pw_timer_ops conn_timer_ops = { .expire = conn_timer_expired };

/* Returns whether conn_fail_unresponsive() has to fail the connection. */
static bool must_fail(const struct conn *c, bool replaced)
{
	switch (c->state) {
	case CONN_CHECKING:
		return true;
	case CONN_READING_ANSWER:
	case CONN_READING_STATUS:
		if (!c->work)
			return false;
		return replaced || (c->work->request->may_use_replica && !c->work->answer_started);
	case CONN_PINNED:
		return replaced;
	default:
		return false;
	}
}

void conn_fail_unresponsive(struct server *s, bool replaced)
{
	/* A copy, since failing a connection changes the list, as does a retry of its request. */
	GPtrArray *conns = g_ptr_array_copy(s->conns, NULL, NULL);

	for (guint i = 0; i < conns->len; i++) {
		struct conn *c = g_ptr_array_index(conns, i);

		if (!c->closed && must_fail(c, replaced))
			conn_fail(c, replaced ? "the primary was replaced and does not answer"
					      : "the server does not answer");
	}
	g_ptr_array_unref(conns);
}

static void make_idle(struct conn *c)
{
	clear_timeout(c);
	c->state = CONN_IDLE;
	c->idle_since_us = group_now_us(group_of(c));
	g_queue_push_head(&c->server->idle_conns, c);
}

/*
 * Ends the use of a connection after an answer: returns it to the pool, keeps it for the session's
 * open transaction, or closes it. The transaction of an abandoned request is rolled back.
 */
static void end_conn_use(struct conn *c, uint64_t session_id, bool abandoned)
{
	struct server *s = c->server;

	clear_timeout(c);
	c->work = NULL;
	pw_stream_pause(&c->stream, false);
	if (c->discard_when_idle) {
		discard_conn(c, PW_ATTEMPT_UNANSWERED, "");
		return;
	}
	if (c->transaction_status == 'I') {
		unpin(c);
		pw_pool_connection_released(s->pool, c->account_key, busy_time_us(c));
		make_idle(c);
		server_run_pool_actions(s);
		return;
	}
	pin(c, session_id);
	c->state = CONN_PINNED;
	c->idle_since_us = group_now_us(group_of(c));
	if (abandoned)
		conn_roll_back(c);
}

static void put_status_query(struct conn *c, GByteArray *b)
{
	const struct pw_upstream *u = c->server->database->upstream;

	pw_pg_put_query(b, u->ops->status_statement(u));
}

/* Appends the echo statement, whose answer confirms the answers before it. */
static void put_echo(struct conn *c, GByteArray *b, uint32_t answer_count,
		     bool rows_need_description)
{
	const struct pw_upstream *u = c->server->database->upstream;
	char *text;

	pw_pg_new_token(c->token);
	pw_exchange_begin(&c->exchange, answer_count, rows_need_description);
	text = u->ops->echo_statement(u, c->token);
	pw_pg_put_query(b, text);
	g_free(text);
}

static void send_request(struct conn *c)
{
	const struct pw_request *r = c->work->request;
	bool is_query = r->bytes->len && r->bytes->data[0] == 'Q';
	GByteArray *b = g_byte_array_new();

	c->state = CONN_READING_ANSWER;
	c->hidden_answers_left = r->hidden_answer_count;
	c->has_status = false;
	c->sent_bytes_before = c->stream.sent_bytes;
	set_timeout(c, r->timeout_us);
	pw_stream_send(&c->stream, r->bytes->data, r->bytes->len);
	/* Reads the term and position after a write in the same round trip. */
	if (r->acknowledges_write)
		put_status_query(c, b);
	put_echo(c, b, r->acknowledges_write ? 2 : 1, is_query);
	send_bytes(c, b);
}

void conn_run_work(struct conn *c, struct work *w)
{
	uint64_t now_us = group_now_us(group_of(c));
	bool needs_check = c->state == CONN_IDLE && now_us - c->idle_since_us > CONN_IDLE_CHECK_US;

	w->state = WORK_RUNNING;
	w->conn = c;
	c->work = w;
	if (needs_check) {
		GByteArray *b = g_byte_array_new();

		c->state = CONN_CHECKING;
		set_timeout(c, CONN_CHECK_TIMEOUT_US);
		put_echo(c, b, 0, true);
		send_bytes(c, b);
	} else {
		send_request(c);
	}
}

void conn_roll_back(struct conn *c)
{
	GByteArray *b = g_byte_array_new();

	unpin(c);
	c->state = CONN_ROLLING_BACK;
	set_timeout(c, CONN_ROLLBACK_TIMEOUT_US);
	pw_pg_put_query(b, "ROLLBACK");
	put_echo(c, b, 1, true);
	send_bytes(c, b);
}

void conn_roll_back_if_idle(struct conn *c)
{
	uint64_t idle_us = group_now_us(group_of(c)) - c->idle_since_us;
	bool contended = pw_pool_waiting_count(c->server->pool) || units_are_recalled(c->server);
	uint64_t timeout_us =
		contended ? TRANSACTION_IDLE_TIMEOUT_CONTENDED_US : TRANSACTION_IDLE_TIMEOUT_US;

	if (c->state != CONN_PINNED || idle_us < timeout_us)
		return;
	pw_counter_inc(PW_COUNTER_TRANSACTIONS_IDLE);
	/* The session's next statement finds no connection; its refusal reports the rollback. */
	conn_roll_back(c);
}

/* The connection that a cancel request is sent on; the server closes it. */
struct cancel_conn {
	struct pw_stream stream;
	struct pw_timer timer;
	uint32_t process_id;
	uint32_t secret;
};

static void cancel_conn_connected(struct pw_stream *stream)
{
	struct cancel_conn *cancel = (struct cancel_conn *)stream;
	GByteArray *b = g_byte_array_new();

	pw_pg_put_cancel_request(b, cancel->process_id, cancel->secret);
	pw_stream_send(stream, b->data, b->len);
	g_byte_array_unref(b);
}

static void cancel_conn_received(struct pw_stream *stream)
{
	pw_stream_consume(stream, UINT32_MAX);
}

static void cancel_conn_closed(struct pw_stream *stream)
{
	struct cancel_conn *cancel = (struct cancel_conn *)stream;

	pw_loop_timer_clear(stream->loop, &cancel->timer);
	pw_stream_dispose(stream);
	g_free(cancel);
}

static const struct pw_stream_ops cancel_conn_ops = {
	.connected = cancel_conn_connected,
	.received = cancel_conn_received,
	.closed = cancel_conn_closed,
};

static void cancel_conn_expired(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	cancel_conn_closed((struct pw_stream *)((char *)t - offsetof(struct cancel_conn, timer)));
}

static const struct pw_timer_ops cancel_conn_timer_ops = { .expire = cancel_conn_expired };

void conn_send_cancel(struct conn *c)
{
	struct pw_loop *loop = group_of(c)->task.loop;
	struct cancel_conn *cancel;

	if (c->discard_when_idle || c->state == CONN_CHECKING)
		return;
	/* The server may act on the cancel request late, and would then cancel another request. */
	c->discard_when_idle = true;
	cancel = g_new0(struct cancel_conn, 1);
	if (pw_stream_connect(&cancel->stream, &cancel_conn_ops, loop, c->server->address)) {
		g_free(cancel);
		return;
	}
	cancel->process_id = c->process_id;
	cancel->secret = c->cancel_secret;
	cancel->timer.ops = &cancel_conn_timer_ops;
	pw_loop_timer_set(loop, &cancel->timer, pw_loop_now_us(loop) + CONN_LOGIN_TIMEOUT_US);
}

static void conn_connected(struct pw_stream *stream)
{
	struct conn *c = conn_of(stream);
	const struct pw_process_settings *settings = group_of(c)->directory->settings;
	const char *const params[] = {
		"user",
		settings->upstream_user,
		"database",
		c->server->database->name,
		"application_name",
		settings->vm_name,
		NULL,
	};
	GByteArray *b = g_byte_array_new();

	c->state = CONN_LOGGING_IN;
	pw_pg_put_startup_message(b, params);
	send_bytes(c, b);
}

static void complete_login(struct conn *c)
{
	pw_pool_connection_opened(c->server->pool);
	make_idle(c);
	server_run_pool_actions(c->server);
}

static void handle_login(struct conn *c, const struct pw_pg_frame *f)
{
	struct pw_pg_reader reader;
	GByteArray *b;

	pw_pg_reader_init(&reader, f);
	switch (f->type) {
	case 'R': /* an Authentication message */
		switch (pw_pg_get_u32(&reader)) {
		case PW_PG_AUTH_OK:
			return;
		case PW_PG_AUTH_CLEARTEXT:
			b = g_byte_array_new();
			pw_pg_put_password(b, group_of(c)->directory->settings->upstream_password);
			send_bytes(c, b);
			return;
		default:
			handle_connect_failure(c);
			return;
		}
	case 'K': /* BackendKeyData */
		c->process_id = pw_pg_get_u32(&reader);
		c->cancel_secret = pw_pg_get_u32(&reader);
		return;
	case 'E':
		handle_connect_failure(c);
		return;
	default:
		return;
	}
}

static void read_status_row(struct conn *c, const struct pw_pg_frame *f)
{
	const struct pw_upstream *u = c->server->database->upstream;
	uint16_t column_count = u->ops->status_column_count;
	char **values = g_new0(char *, column_count);

	if (pw_pg_read_data_row(values, f, column_count) == PW_OK)
		c->has_status = u->ops->parse_status(u, &c->status, (const char *const *)values,
						     column_count) == PW_OK;
	for (uint16_t i = 0; i < column_count; i++)
		g_free(values[i]);
	g_free(values);
}

static void hold_answer(struct work *w, const uint8_t *data, uint32_t size_bytes)
{
	if (!w->held_answer)
		w->held_answer = g_byte_array_new();
	g_byte_array_append(w->held_answer, data, size_bytes);
}

/* Handles the complete answer: retries the request, confirms its write or ends it. */
static void finish_answer(struct conn *c)
{
	struct work *w = c->work;
	const struct pw_request *r = w->request;
	uint64_t session_id = r->session_id;
	bool abandoned = w->abandoned;
	bool refused = w->sqlstate[0] && !w->answer_started && !r->in_transaction &&
		       pw_retry_is_refusal(w->sqlstate);
	/* Without the status row of a primary the write may have run at a replaced one. */
	bool replaced = r->acknowledges_write && !w->sqlstate[0] &&
			(!c->has_status || c->status.role != PW_SERVER_PRIMARY);

	w->conn = NULL;
	w->transaction_status = c->transaction_status;
	w->write_position = (struct pw_position){ .term = c->status.term, .lsn = c->status.lsn };
	end_conn_use(c, session_id, abandoned);
	if (abandoned)
		work_free(w);
	else if (refused)
		work_handle_failed_attempt(w, PW_ATTEMPT_REFUSED,
					   "the upstream refused to run the statement");
	else if (replaced)
		work_handle_unconfirmed(w, true);
	else
		work_handle_answer(w);
}

/* Adds a message of an answer to `forward_buffer`, holds it back, or drops it if it is hidden. */
static void handle_answer_message(struct conn *c, const uint8_t *data, const struct pw_pg_frame *f,
				  GByteArray *forward_buffer)
{
	struct work *w = c->work;

	/* Drops ParseComplete and CloseComplete for replayed messages. */
	if (c->hidden_answers_left && (f->type == '1' || f->type == '3')) {
		c->hidden_answers_left--;
		return;
	}
	if (f->type == '1')
		w->parsed_count++;
	if (f->type == 'E') {
		const char *sqlstate = pw_pg_get_error_field(f, 'C');

		/* The upstream skips the rest of the batch, so no hidden answer follows. */
		c->hidden_answers_left = 0;
		if (!w->sqlstate[0])
			g_strlcpy(w->sqlstate, sqlstate ? sqlstate : "XX000", sizeof(w->sqlstate));
	}
	hold_answer(w, data, f->size_bytes);
	w->statement_ended |= strchr("CEIs", f->type) != NULL;
	if (!w->statement_ended && w->held_answer->len > ANSWER_CONFIRMED_FIRST_BYTES) {
		g_byte_array_append(forward_buffer, w->held_answer->data, w->held_answer->len);
		g_byte_array_set_size(w->held_answer, 0);
	}
}

/* Handles the end of an answer, which is not confirmed yet. */
static void handle_ready_for_query(struct conn *c, const struct pw_pg_frame *f)
{
	struct pw_pg_reader reader;

	pw_pg_reader_init(&reader, f);
	c->transaction_status = (char)pw_pg_get_u8(&reader);
	if (c->state == CONN_READING_ANSWER && c->work->request->acknowledges_write)
		c->state = CONN_READING_STATUS;
}

/* Handles the end of the echo's answer: the answers before it are the ones that were due. */
static void handle_confirmed(struct conn *c)
{
	switch (c->state) {
	case CONN_CHECKING:
		send_request(c);
		break;
	case CONN_READING_ANSWER:
	case CONN_READING_STATUS:
		finish_answer(c);
		break;
	case CONN_ROLLING_BACK:
		if (c->transaction_status == 'I')
			end_conn_use(c, 0, false);
		else
			conn_fail(c, "the upstream did not roll back");
		break;
	default:
		break;
	}
}

/* Forwards what was read of an answer; pauses reading if the caller has not taken enough of it. */
static void forward_answer(struct conn *c, GByteArray *forward_buffer)
{
	if (c->work && forward_buffer->len) {
		work_forward_answer(c->work, forward_buffer);
		if (c->work->uncredited_bytes > ANSWER_WINDOW_BYTES)
			pw_stream_pause(&c->stream, true);
	}
	g_byte_array_set_size(forward_buffer, 0);
}

static void handle_foreign_message(struct conn *c)
{
	pw_counter_inc(c->exchange.active ? PW_COUNTER_UPSTREAM_ANSWERS_FOREIGN
					  : PW_COUNTER_UPSTREAM_ANSWERS_EXTRA);
	conn_fail(c, "the upstream sent an answer that was not due");
}

/* Handles a message of an answer that is not confirmed yet. */
static void handle_unconfirmed_message(struct conn *c, const uint8_t *data,
				       const struct pw_pg_frame *f, GByteArray *forward_buffer)
{
	if (f->type == 'Z')
		handle_ready_for_query(c, f);
	else if (c->state == CONN_READING_STATUS && f->type == 'D')
		read_status_row(c, f);
	else if (c->state == CONN_READING_ANSWER)
		handle_answer_message(c, data, f, forward_buffer);
	if (c->work && c->work->held_answer && c->work->held_answer->len > HELD_ANSWER_MAX_BYTES) {
		/* A repeat would be too large as well. */
		c->work->answer_started = true;
		discard_conn(c, PW_ATTEMPT_UNANSWERED, "the answer is too large to be held");
	}
}

static void handle_message(struct conn *c, const uint8_t *data, const struct pw_pg_frame *f,
			   GByteArray *forward_buffer)
{
	struct pw_exchange_message m;

	if (c->state == CONN_LOGGING_IN) {
		if (f->type == 'Z')
			complete_login(c);
		else
			handle_login(c, f);
		return;
	}
	if (pw_pg_is_asynchronous(f)) {
		if (f->type == 'N' && c->state == CONN_READING_ANSWER)
			handle_unconfirmed_message(c, data, f, forward_buffer);
		return;
	}
	pw_pg_get_exchange_message(&m, f, c->token);
	switch (pw_exchange_check(&c->exchange, &m)) {
	case PW_EXCHANGE_ANSWER:
		handle_unconfirmed_message(c, data, f, forward_buffer);
		break;
	case PW_EXCHANGE_ECHO:
		break;
	case PW_EXCHANGE_CONFIRMED:
		forward_answer(c, forward_buffer);
		handle_confirmed(c);
		break;
	case PW_EXCHANGE_FOREIGN:
		handle_foreign_message(c);
		break;
	}
}

/* Handles the first message of the input. Returns false if there is none or `c` was closed. */
static bool handle_next_message(struct conn *c, GByteArray *forward_buffer)
{
	GByteArray *in = c->stream.input;
	struct pw_pg_frame f;
	int rc = in ? pw_pg_frame_next(&f, in->data, in->len, INT32_MAX) : PW_EAGAIN;

	if (rc == PW_EAGAIN) {
		if (in)
			c->stream.read_limit_bytes = in->len + PW_STREAM_READ_LIMIT_DEFAULT_BYTES;
		return false;
	}
	if (rc) {
		conn_fail(c, "the upstream sent a malformed message");
		return false;
	}
	/* The frame points into the input, which a handler may free by closing the connection. */
	g_byte_array_ref(in);
	handle_message(c, in->data, &f, forward_buffer);
	g_byte_array_unref(in);
	if (!c->closed)
		pw_stream_consume(&c->stream, f.size_bytes);
	return !c->closed;
}

static void conn_received(struct pw_stream *stream)
{
	struct conn *c = conn_of(stream);
	GByteArray *forward_buffer = g_byte_array_new();

	while (handle_next_message(c, forward_buffer)) {
	}
	if (!c->closed)
		forward_answer(c, forward_buffer);
	g_byte_array_unref(forward_buffer);
}

static const struct pw_stream_ops conn_ops = {
	.connected = conn_connected,
	.received = conn_received,
	.closed = conn_stream_closed,
};

int conn_open(struct server *s)
{
	struct group *g = s->database->group;
	struct conn *c = g_new0(struct conn, 1);
	int rc = pw_stream_connect(&c->stream, &conn_ops, g->task.loop, s->address);

	if (rc) {
		g_free(c);
		return rc;
	}
	pw_counter_inc(PW_COUNTER_UPSTREAM_CONNECTS);
	c->server = s;
	c->state = CONN_CONNECTING;
	c->transaction_status = 'I';
	c->timer.ops = &conn_timer_ops;
	g_ptr_array_add(s->conns, c);
	set_timeout(c, CONN_LOGIN_TIMEOUT_US);
	return PW_OK;
}
