#include "front_private.h"

#include <string.h>

#include "pw/core/error.h"

/* Parameters that drivers expect to be reported after the login. */
static const char *const server_parameters[][2] = {
	{ "server_version", "15.0" },
	{ "server_encoding", "UTF8" },
	{ "client_encoding", "UTF8" },
	{ "DateStyle", "ISO, MDY" },
	{ "TimeZone", "UTC" },
	{ "integer_datetimes", "on" },
	{ "standard_conforming_strings", "on" },
};

/*
 * The process id of a cancel key is the session id, by which the front task of the session finds
 * the caller.
 */
static uint32_t process_id_of(const struct caller *c)
{
	return (uint32_t)c->session_id;
}

void login_cancel_session(struct front *f, uint32_t process_id, uint32_t secret)
{
	struct caller *c = front_find_caller(f, process_id);

	if (c && c->cancel_secret == secret && c->request_id && c->database)
		pw_mailbox_send(pw_directory_group_inbox(f->directory, c->database),
				pw_cancel_msg(c->session_id));
}

/* Sends a cancel request to all front tasks, one of which may have the session. */
static void broadcast_cancel(struct caller *c, struct pw_pg_reader *r)
{
	struct front *f = c->front;
	uint32_t process_id = pw_pg_get_u32(r);
	uint32_t secret = pw_pg_get_u32(r);

	if (r->failed)
		return;
	for (uint32_t i = 0; i < f->directory->front_count; i++)
		pw_mailbox_send(f->directory->fronts[i], pw_front_cancel_msg(process_id, secret));
	/* The load balancer may have sent the request to a VM that does not have the session. */
	pw_mailbox_send(f->directory->peers, pw_front_cancel_msg(process_id, secret));
}

/* Parses `-c pimentowing.position=TOKEN` in the startup parameter `options`. */
static int parse_options(struct caller *c, const char *options)
{
	static const char name[] = "pimentowing.position=";
	const char *option = strstr(options, name);
	struct pw_position position;
	char *token;
	int rc = PW_OK;

	if (!option)
		return PW_OK;
	option += strlen(name);
	token = g_strndup(option, strcspn(option, " "));
	if (*token)
		rc = pw_position_parse(&position, token);
	if (!rc) {
		c->uses_position_token = true;
		pw_floor_apply_token(&c->floor, *token ? &position : NULL);
	}
	g_free(token);
	return rc;
}

/*
 * Reads the user, the database and the options of a StartupMessage. Returns false after an error,
 * which was sent to the caller.
 */
static bool read_startup_parameters(struct caller *c, struct pw_pg_reader *r)
{
	while (!r->failed) {
		const char *name = pw_pg_get_string(r);
		const char *value;

		if (!*name)
			break;
		value = pw_pg_get_string(r);
		if (strcmp(name, "user") == 0 && !c->user)
			c->user = g_strdup(value);
		else if (strcmp(name, "database") == 0 && !c->database)
			c->database = g_strdup(value);
		else if (strcmp(name, "options") == 0 && parse_options(c, value)) {
			caller_send_fatal_error(c, PW_SQLSTATE_PROTOCOL_VIOLATION,
						PW_COUNTER_REFUSED_PROTOCOL,
						"the position token is malformed");
			return false;
		}
	}
	if (r->failed || !c->user || !*c->user) {
		caller_send_fatal_error(c, PW_SQLSTATE_PROTOCOL_VIOLATION,
					PW_COUNTER_REFUSED_PROTOCOL,
					"the start-up message is malformed");
		return false;
	}
	if (!c->database)
		c->database = g_strdup(c->user);
	return true;
}

/* Completes the login; `a` is NULL for the open user. */
static void complete_login(struct caller *c, const struct pw_document_account *a)
{
	GByteArray *b;
	char token[PW_POSITION_TEXT_SIZE] = "";

	/* An error before the login succeeds makes the driver try its next address. */
	if (c->front->draining) {
		caller_send_fatal_error(c, PW_SQLSTATE_UNAVAILABLE, PW_COUNTER_REFUSED_DRAINING,
					"the proxy is stopping");
		return;
	}
	if (!limits_admit_login(c, a)) {
		caller_send_fatal_error(c, PW_SQLSTATE_TOO_MANY_CONNECTIONS,
					PW_COUNTER_REFUSED_LIMIT,
					"client account \"%s\" has too many connections", c->user);
		return;
	}
	b = g_byte_array_new();
	pw_pg_put_authentication(b, PW_PG_AUTH_OK);
	for (size_t i = 0; i < G_N_ELEMENTS(server_parameters); i++)
		pw_pg_put_parameter_status(b, server_parameters[i][0], server_parameters[i][1]);
	if (c->uses_position_token) {
		if (c->floor.position.term)
			pw_position_format(token, &c->floor.position);
		pw_pg_put_parameter_status(b, "pimentowing.position", token);
	}
	pw_pg_put_backend_key_data(b, process_id_of(c), c->cancel_secret);
	pw_pg_put_ready_for_query(b, 'I');
	caller_send(c, b);
	g_byte_array_unref(b);
	pw_loop_timer_clear(c->front->task.loop, &c->timer);
	c->state = CALLER_READY;
	c->idle_since_us = pw_loop_now_us(c->front->task.loop);
}

static void request_password(struct caller *c)
{
	GByteArray *b = g_byte_array_new();

	pw_pg_put_authentication(b, PW_PG_AUTH_CLEARTEXT);
	caller_send(c, b);
	g_byte_array_unref(b);
	c->state = CALLER_PASSWORD;
}

/* Handles a StartupMessage of protocol 3.0. */
static void start_login(struct caller *c, struct pw_pg_reader *r)
{
	struct front *f = c->front;

	pw_floor_init(&c->floor, PW_FLOOR_STRICT, pw_loop_now_us(f->task.loop));
	if (!read_startup_parameters(c, r))
		return;
	if (f->directory->settings->tls_required && c->stream.transport == &pw_transport_plain) {
		caller_send_fatal_error(c, PW_SQLSTATE_INVALID_AUTHORIZATION,
					PW_COUNTER_REFUSED_TLS,
					"the proxy takes encrypted connections only");
		return;
	}
	if (!f->document) {
		caller_send_fatal_error(c, PW_SQLSTATE_UNAVAILABLE, PW_COUNTER_REFUSED_ISOLATED,
					"the proxy has no configuration yet");
		return;
	}
	if (!pw_document_find_database(f->document, c->database)) {
		caller_send_fatal_error(c, PW_SQLSTATE_NO_DATABASE, PW_COUNTER_REFUSED_ROUTE,
					"database \"%s\" does not exist", c->database);
		return;
	}
	if (strcmp(c->user, OPEN_USER) == 0 && !pw_document_find_account(f->document, OPEN_USER))
		complete_login(c, NULL);
	else
		request_password(c);
}

/*
 * Answers a request for encryption. A driver that reads an error together with this answer does not
 * show it, so a caller that is idle in a drain is given its time to go on again.
 */
static void send_encryption_answer(struct caller *c, const char *answer)
{
	pw_stream_send(&c->stream, answer, 1);
	c->idle_since_us = pw_loop_now_us(c->front->task.loop);
}

/* Answers an SSLRequest; starts the TLS handshake if a certificate is configured. */
static void answer_ssl_request(struct caller *c, const struct pw_pg_frame *frame)
{
	struct pw_transport *tls;

	if (!c->front->tls_files.ssl_context && c->stream.transport == &pw_transport_plain) {
		send_encryption_answer(c, "N");
		return;
	}
	/* Bytes after the request came unencrypted; an attacker may have injected them. */
	if (c->stream.transport != &pw_transport_plain ||
	    pw_stream_input_bytes(&c->stream) > frame->size_bytes) {
		caller_send_fatal_error(c, PW_SQLSTATE_PROTOCOL_VIOLATION,
					PW_COUNTER_REFUSED_PROTOCOL,
					"unexpected message before or in the TLS handshake");
		return;
	}
	send_encryption_answer(c, "S");
	if (pw_stream_output_bytes(&c->stream) ||
	    pw_tls_accept(&tls, &c->front->tls_files, c->stream.source.fd)) {
		caller_send_fatal_error(c, PW_SQLSTATE_UNAVAILABLE, PW_COUNTER_REFUSED_TLS,
					"TLS is not available");
		return;
	}
	pw_stream_set_transport(&c->stream, tls);
}

static void handle_startup(struct caller *c, const struct pw_pg_frame *frame)
{
	struct pw_pg_reader r;
	uint32_t code;

	pw_pg_reader_init(&r, frame);
	code = pw_pg_get_u32(&r);
	switch (code) {
	case PW_PG_SSL_REQUEST:
		answer_ssl_request(c, frame);
		break;
	case PW_PG_GSSENC_REQUEST:
		send_encryption_answer(c, "N");
		break;
	case PW_PG_CANCEL_REQUEST:
		broadcast_cancel(c, &r);
		caller_close_after_output(c);
		break;
	case PW_PG_PROTOCOL_3_0:
		start_login(c, &r);
		break;
	default:
		caller_send_fatal_error(c, PW_SQLSTATE_UNSUPPORTED, PW_COUNTER_REFUSED_PROTOCOL,
					"protocol version %u.%u is not supported", code >> 16,
					code & 0xffff);
	}
}

void login_send_delayed_refusal(struct caller *c)
{
	caller_send_fatal_error(c, PW_SQLSTATE_INVALID_KEY, PW_COUNTER_REFUSED_KEY,
				"the key is not valid for client account \"%s\"", c->user);
}

/* Delays the refusal of a wrong key with a timer, so that no thread waits. */
static void delay_refusal(struct caller *c)
{
	struct pw_loop *loop = c->front->task.loop;

	c->state = CALLER_REFUSAL_DELAYED;
	pw_stream_pause(&c->stream, true);
	pw_loop_timer_set(loop, &c->timer, pw_loop_now_us(loop) + WRONG_KEY_DELAY_US);
}

static void check_password(struct caller *c, const char *password)
{
	static const struct pw_key_hash no_key;
	struct front *f = c->front;
	const struct pw_document_account *a = pw_document_find_account(f->document, c->user);
	const struct pw_document_database *db = pw_document_find_database(f->document, c->database);
	const char *id = NULL;
	/*
	 * The key is also compared if the account does not exist, so that the response time does
	 * not reveal which accounts exist.
	 */
	int rc = pw_key_verify(&id, a ? a->keys : &no_key, a ? a->key_count : 1, password,
			       strlen(password));

	if (!a || rc) {
		delay_refusal(c);
		return;
	}
	if (!db || !pw_document_account_allows(a, db)) {
		caller_send_fatal_error(c, PW_SQLSTATE_NOT_ALLOWED, PW_COUNTER_REFUSED_ROUTE,
					"client account \"%s\" may not use database \"%s\"",
					c->user, c->database);
		return;
	}
	g_strlcpy(c->key_id, id, sizeof(c->key_id));
	complete_login(c, a);
}

static void handle_password(struct caller *c, const struct pw_pg_frame *frame)
{
	struct pw_pg_reader r;
	const char *password;

	pw_pg_reader_init(&r, frame);
	password = pw_pg_get_string(&r);
	if (frame->type != 'p' || r.failed) {
		caller_send_fatal_error(c, PW_SQLSTATE_PROTOCOL_VIOLATION,
					PW_COUNTER_REFUSED_PROTOCOL,
					"a password message was expected");
		return;
	}
	check_password(c, password);
}

bool login_key_is_valid(const struct caller *c)
{
	const struct pw_document_account *a = pw_document_find_account(c->front->document, c->user);

	for (uint32_t i = 0; a && i < a->key_count; i++) {
		if (strcmp(a->keys[i].id, c->key_id) == 0)
			return true;
	}
	return false;
}

void login_handle_input(struct caller *c)
{
	while (c->state < CALLER_REFUSAL_DELAYED && c->stream.input) {
		struct pw_pg_frame frame;
		const GByteArray *in = c->stream.input;
		int rc = c->state == CALLER_STARTUP ? pw_pg_startup_next(&frame, in->data, in->len)
						    : pw_pg_frame_next(&frame, in->data, in->len,
								       PW_PG_STARTUP_MAX_BYTES);

		if (rc == PW_EAGAIN)
			return;
		if (rc) {
			caller_send_fatal_error(c, PW_SQLSTATE_PROTOCOL_VIOLATION,
						PW_COUNTER_REFUSED_PROTOCOL, "%s",
						pw_error_message());
			return;
		}
		if (c->state == CALLER_STARTUP)
			handle_startup(c, &frame);
		else
			handle_password(c, &frame);
		pw_stream_consume(&c->stream, frame.size_bytes);
	}
	if (c->state == CALLER_READY && c->stream.input)
		session_handle_input(c);
}
