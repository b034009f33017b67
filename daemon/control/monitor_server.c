#include "monitor_private.h"

#include "pw/core/counter.h"
#include "pw/core/error.h"

#define PROBE_INTERVAL_US  (200 * PW_US_PER_MS)
#define RECONNECT_DELAY_US (200 * PW_US_PER_MS)
/*
 * Timeout of connect and login together, and of an answer. A connection that exceeds it is closed.
 */
#define ANSWER_TIMEOUT_US (2 * PW_US_PER_S)
/* Answers are single rows and short errors. */
#define MESSAGE_MAX_BYTES UINT32_C(65536)

static void statement_free(gpointer data)
{
	struct control_statement *stmt = data;

	g_free(stmt->primary);
	g_free(stmt);
}

static void close_connection(struct control_connection *c)
{
	if (!c || c->closed)
		return;
	pw_stream_dispose(&c->stream);
	g_clear_pointer(&c->in_flight, statement_free);
	c->closed = true;
	/* A handler of this connection may be on the stack, so the next tick frees it. */
	g_ptr_array_add(c->server->group->monitor->closed_connections, c);
}

static void close_main_connection(struct monitored_server *s)
{
	close_connection(s->main_connection);
	s->main_connection = NULL;
	/* The decision module repeats the statements that are still needed after a reconnect. */
	g_queue_clear_full(&s->queued_statements, statement_free);
}

static void close_fresh_connection(struct monitored_server *s)
{
	close_connection(s->fresh_connection);
	s->fresh_connection = NULL;
}

/* Sends a query and the echo statement, whose answer confirms the query's. */
static void send_query(struct control_connection *c, const char *text)
{
	const struct pw_upstream *u = c->server->group->upstream;
	GByteArray *b = g_byte_array_new();
	char *echo;

	pw_pg_new_token(c->token);
	pw_exchange_begin(&c->exchange, 1, true);
	echo = u->ops->echo_statement(u, c->token);
	c->wait_started_us = monitor_now_us(c->server->group);
	pw_pg_put_query(b, text);
	pw_pg_put_query(b, echo);
	pw_stream_send(&c->stream, b->data, b->len);
	g_byte_array_unref(b);
	g_free(echo);
}

static void send_status_query(struct control_connection *c)
{
	const struct monitored_group *g = c->server->group;

	/* The clock is read before the send, so that the answer's age is never underestimated. */
	c->in_flight->sent_us = pw_loop_update_now_us(g->monitor->task.loop);
	pw_health_record_probe(&c->server->health, c->in_flight->sent_us);
	send_query(c, g->upstream->ops->status_statement(g->upstream));
}

static void send_statement(struct control_connection *c)
{
	const struct monitored_group *g = c->server->group;
	const struct pw_upstream *u = g->upstream;
	const struct control_statement *stmt = c->in_flight;
	char *text = NULL;

	switch (stmt->kind) {
	case STATEMENT_STATUS:
		send_status_query(c);
		return;
	case STATEMENT_FENCE:
		text = u->ops->fence_statement(u, stmt->term, g->monitor->promoter_name);
		break;
	case STATEMENT_PROMOTE:
		text = u->ops->promote_statement(u, stmt->term, g->monitor->promoter_name);
		break;
	case STATEMENT_FOLLOW:
		text = u->ops->follow_statement(u, stmt->term, stmt->primary);
		break;
	}
	send_query(c, text);
	g_free(text);
}

/*
 * Sends the next statement if the connection is ready and idle: on the main connection, a queued
 * statement or else a requested probe; on the second connection, a probe.
 */
static void send_next_statement(struct control_connection *c)
{
	struct monitored_server *s = c->server;

	if (c->closed || c->state != CONTROL_READY || c->in_flight)
		return;
	if (c == s->main_connection) {
		c->in_flight = g_queue_pop_head(&s->queued_statements);
		if (!c->in_flight && !s->probe_requested)
			return;
		/* A request for a probe is kept until no other statement is queued. */
		if (!c->in_flight)
			s->probe_requested = false;
	}
	if (!c->in_flight)
		c->in_flight = g_new0(struct control_statement, 1);
	send_statement(c);
}

void server_request_probe(struct monitored_server *s)
{
	pw_health_record_probe(&s->health, monitor_now_us(s->group));
	s->probe_requested = true;
	if (s->main_connection)
		send_next_statement(s->main_connection);
}

void server_queue_statement(struct monitored_server *s, enum statement_kind kind, uint64_t term,
			    const char *primary)
{
	struct control_statement *stmt;

	if (!s->main_connection)
		return;
	for (const GList *l = s->queued_statements.head; l; l = l->next) {
		const struct control_statement *queued = l->data;

		if (queued->kind == kind && queued->term == term)
			return;
	}
	stmt = g_new0(struct control_statement, 1);
	stmt->kind = kind;
	stmt->term = term;
	stmt->primary = g_strdup(primary);
	g_queue_push_tail(&s->queued_statements, stmt);
	send_next_statement(s->main_connection);
}

static void close_failed_connection(struct control_connection *c)
{
	struct monitored_server *s = c->server;

	if (c == s->main_connection) {
		close_main_connection(s);
		s->connect_due_us = monitor_now_us(s->group) + RECONNECT_DELAY_US;
	} else {
		close_fresh_connection(s);
	}
}

/*
 * Closes a connection that was refused or reset or that violated the protocol, and records the
 * failure of the server.
 */
static void handle_connection_failure(struct control_connection *c)
{
	struct monitored_server *s = c->server;

	close_failed_connection(c);
	monitor_handle_health(s, pw_health_record_failure(&s->health, monitor_now_us(s->group)));
}

/* Closes a connection with a message that is not due. It shows that the server runs. */
static void handle_foreign_message(struct control_connection *c)
{
	struct monitored_server *s = c->server;

	pw_counter_inc(c->exchange.active ? PW_COUNTER_UPSTREAM_ANSWERS_FOREIGN
					  : PW_COUNTER_UPSTREAM_ANSWERS_EXTRA);
	close_failed_connection(c);
	monitor_handle_health(s, pw_health_record_answer(&s->health, monitor_now_us(s->group)));
}

/* Replaces the main connection, which has gone silent: the server answers on the second one. */
static void replace_main_connection(struct monitored_server *s)
{
	if (s->main_connection)
		pw_counter_inc(PW_COUNTER_UPSTREAM_SILENT);
	close_connection(s->main_connection);
	s->main_connection = s->fresh_connection;
	s->fresh_connection = NULL;
}

/*
 * Handles the end of an answer: passes it on, replaces a silent main connection if it came on the
 * second one, and sends the next statement. After fence and promote, the status is read first.
 */
static void finish_statement(struct control_connection *c)
{
	struct monitored_server *s = c->server;
	struct control_statement *stmt = c->in_flight;

	if ((stmt->kind == STATEMENT_FENCE || stmt->kind == STATEMENT_PROMOTE) &&
	    !stmt->reading_status) {
		stmt->reading_status = true;
		send_status_query(c);
		return;
	}
	c->in_flight = NULL;
	if (c == s->fresh_connection)
		replace_main_connection(s);
	else
		close_fresh_connection(s);
	monitor_handle_answer(s, stmt);
	statement_free(stmt);
	send_next_statement(c);
}

static int parse_status_row(struct control_connection *c, const struct pw_pg_frame *f)
{
	const struct pw_upstream *u = c->server->group->upstream;
	uint16_t columns = u->ops->status_column_count;
	char **values = g_new0(char *, columns);
	int rc = pw_pg_read_data_row(values, f, columns);

	if (!rc)
		rc = u->ops->parse_status(u, &c->in_flight->status, (const char *const *)values,
					  columns);
	c->in_flight->has_status = !rc;
	for (uint16_t i = 0; i < columns; i++)
		g_free(values[i]);
	g_free(values);
	return rc;
}

/* Parses status rows. Rows of control statements are ignored: only their success matters. */
static int handle_row(struct control_connection *c, const struct pw_pg_frame *f)
{
	if (c->in_flight->kind != STATEMENT_STATUS && !c->in_flight->reading_status)
		return PW_OK;
	return parse_status_row(c, f);
}

static int handle_authentication(struct control_connection *c, const struct pw_pg_frame *f)
{
	const struct pw_process_settings *settings = c->server->group->monitor->directory->settings;
	GByteArray *b;
	struct pw_pg_reader r;
	uint32_t kind;

	pw_pg_reader_init(&r, f);
	kind = pw_pg_get_u32(&r);
	if (r.failed || (kind != PW_PG_AUTH_OK && kind != PW_PG_AUTH_CLEARTEXT))
		return pw_error_set(PW_EINVALID, "authentication method %u is not supported", kind);
	if (kind == PW_PG_AUTH_OK)
		return PW_OK;
	b = g_byte_array_new();
	pw_pg_put_password(b, settings->control_password);
	pw_stream_send(&c->stream, b->data, b->len);
	g_byte_array_unref(b);
	return PW_OK;
}

static int handle_login_message(struct control_connection *c, const struct pw_pg_frame *f)
{
	switch (f->type) {
	case 'R':
		return handle_authentication(c, f);
	case 'Z':
		c->state = CONTROL_READY;
		send_next_statement(c);
		return PW_OK;
	case 'E':
		return pw_error_set(PW_EDENIED, "login refused");
	default:
		/* ParameterStatus, BackendKeyData and NoticeResponse are ignored. */
		return PW_OK;
	}
}

static int handle_message(struct control_connection *c, const struct pw_pg_frame *f)
{
	struct pw_exchange_message m;

	if (c->state != CONTROL_READY)
		return handle_login_message(c, f);
	if (pw_pg_is_asynchronous(f))
		return PW_OK;
	pw_pg_get_exchange_message(&m, f, c->token);
	switch (pw_exchange_check(&c->exchange, &m)) {
	case PW_EXCHANGE_ANSWER:
		if (f->type == 'D')
			return handle_row(c, f);
		if (f->type == 'E' && !c->in_flight->reading_status)
			c->in_flight->refused = true;
		break;
	case PW_EXCHANGE_ECHO:
		break;
	case PW_EXCHANGE_CONFIRMED:
		finish_statement(c);
		break;
	case PW_EXCHANGE_FOREIGN:
		handle_foreign_message(c);
		break;
	}
	return PW_OK;
}

static void connection_received(struct pw_stream *s)
{
	struct control_connection *c = (struct control_connection *)s;

	while (!c->closed && s->input) {
		GByteArray *in = s->input;
		struct pw_pg_frame f;
		int rc = pw_pg_frame_next(&f, in->data, in->len, MESSAGE_MAX_BYTES);

		if (rc == PW_EAGAIN)
			return;
		/* The frame points into the input, which a handler may free with the stream. */
		g_byte_array_ref(in);
		if (!rc)
			rc = handle_message(c, &f);
		if (rc && !c->closed)
			handle_connection_failure(c);
		g_byte_array_unref(in);
		if (!c->closed)
			pw_stream_consume(s, f.size_bytes);
	}
}

static void connection_connected(struct pw_stream *s)
{
	struct control_connection *c = (struct control_connection *)s;
	const struct pw_process_settings *settings = c->server->group->monitor->directory->settings;
	const char *const parameters[] = {
		"user",
		settings->control_user,
		"database",
		c->server->group->database,
		"application_name",
		settings->vm_name,
		NULL,
	};
	GByteArray *b = g_byte_array_new();

	c->state = CONTROL_LOGIN;
	pw_counter_inc(PW_COUNTER_UPSTREAM_CONNECTS);
	pw_pg_put_startup_message(b, parameters);
	pw_stream_send(s, b->data, b->len);
	g_byte_array_unref(b);
}

static void connection_closed(struct pw_stream *s)
{
	handle_connection_failure((struct control_connection *)s);
}

static const struct pw_stream_ops connection_ops = {
	.connected = connection_connected,
	.received = connection_received,
	.closed = connection_closed,
};

void server_open_connection(struct monitored_server *s, struct control_connection **slot)
{
	uint64_t now_us = monitor_now_us(s->group);
	struct control_connection *c = g_new0(struct control_connection, 1);

	c->server = s;
	c->wait_started_us = now_us;
	if (!pw_stream_connect(&c->stream, &connection_ops, s->group->monitor->task.loop,
			       s->address)) {
		*slot = c;
		return;
	}
	g_free(c);
	s->connect_due_us = now_us + RECONNECT_DELAY_US;
	if (slot == &s->main_connection)
		monitor_handle_health(s, pw_health_record_failure(&s->health, now_us));
}

static bool has_timed_out(const struct control_connection *c, uint64_t now_us)
{
	return c && (c->state != CONTROL_READY || c->in_flight) &&
	       now_us - c->wait_started_us >= ANSWER_TIMEOUT_US;
}

void server_tick(struct monitored_server *s, uint64_t now_us)
{
	if (has_timed_out(s->fresh_connection, now_us))
		close_fresh_connection(s);
	if (has_timed_out(s->main_connection, now_us)) {
		pw_counter_inc(PW_COUNTER_UPSTREAM_SILENT);
		close_main_connection(s);
	}
	if (!s->main_connection && now_us >= s->connect_due_us)
		server_open_connection(s, &s->main_connection);
	if (now_us >= s->probe_due_us) {
		s->probe_due_us = now_us + PROBE_INTERVAL_US;
		server_request_probe(s);
	}
	/* A probe sent above may have a time after `now_us`, so the newer clock reading is used. */
	monitor_handle_health(s, pw_health_tick(&s->health, monitor_now_us(s->group)));
}

void server_dispose(struct monitored_server *s)
{
	close_main_connection(s);
	close_fresh_connection(s);
	g_free(s->address);
}
