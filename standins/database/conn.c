/* Client connections: socket, start-up, and messages of the simple and extended query protocols. */
#include "server.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pw/core/error.h"

#define MESSAGE_MAX_BYTES (16 << 20)
#define READ_SIZE_BYTES   (64 << 10)
/* Like PostgreSQL, holds the answers of a batch back until Sync, Flush, an error or this size. */
#define BATCH_FLUSH_BYTES 8192

bool pw_db_conn_is_test(const struct pw_db_conn *c)
{
	return g_strcmp0(c->application, "tests") == 0;
}

bool pw_db_server_is_partitioned(const struct pw_db_server *s, const char *application)
{
	if (g_hash_table_size(s->partitioned_applications) == 0)
		return false;
	return g_hash_table_contains(s->partitioned_applications, "*") ||
	       g_hash_table_contains(s->partitioned_applications, application);
}

static bool is_partitioned(const struct pw_db_conn *c)
{
	return c->application && !pw_db_conn_is_test(c) &&
	       pw_db_server_is_partitioned(c->server, c->application);
}

void pw_db_portal_clear(struct pw_db_portal *p)
{
	for (uint16_t i = 0; i < p->param_count; i++)
		g_free(p->params[i]);
	g_free(p->params);
	pw_sql_unref(p->sql);
	*p = (struct pw_db_portal){ 0 };
}

static void portal_free(gpointer p)
{
	pw_db_portal_clear(p);
	g_free(p);
}

void pw_db_conn_close(struct pw_db_conn *c)
{
	struct pw_db_server *s = c->server;

	if (c->closed)
		return;
	c->closed = true;
	pw_db_exec_release_slot(c);
	pw_loop_timer_clear(s->task.loop, &c->timer);
	pw_loop_timer_clear(s->task.loop, &c->repeat_timer);
	pw_loop_unwatch(s->task.loop, &c->source);
	close(c->source.fd);
	g_ptr_array_remove(s->conns, c);
	g_ptr_array_add(s->closed_conns, c);
	pw_loop_timer_set(s->task.loop, &s->reap_timer, pw_loop_now_us(s->task.loop));
}

void pw_db_conn_free(struct pw_db_conn *c)
{
	pw_db_portal_clear(&c->statement);
	g_byte_array_unref(c->in);
	g_byte_array_unref(c->out);
	g_byte_array_unref(c->repeated);
	g_ptr_array_unref(c->changes);
	g_hash_table_unref(c->prepared_statements);
	g_hash_table_unref(c->portals);
	g_hash_table_unref(c->settings);
	g_free(c->user);
	g_free(c->application);
	g_free(c);
}

/* Returns whether output must wait: for a delayed answer, a cut or the end of a batch. */
static bool is_output_held(const struct pw_db_conn *c)
{
	return c->phase == PW_DB_PHASE_ANSWER_DELAYED || is_partitioned(c) ||
	       (c->in_batch && c->out->len < BATCH_FLUSH_BYTES);
}

static void conn_flush(struct pw_db_conn *c)
{
	ssize_t n;

	if (c->discard_output) {
		g_byte_array_set_size(c->out, 0);
		c->answer_offset = 0;
	}
	if (c->closed || is_output_held(c))
		return;
	while (c->out->len) {
		n = send(c->source.fd, c->out->data, c->out->len, MSG_NOSIGNAL);
		if (n < 0 && errno == EAGAIN)
			return;
		if (n < 0) {
			/* The peer has closed the connection; a running statement still ends. */
			c->discard_output = c->eof = true;
			g_byte_array_set_size(c->out, 0);
			c->answer_offset = 0;
			return;
		}
		g_byte_array_remove_range(c->out, 0, (guint)n);
		c->answer_offset -= MIN(c->answer_offset, (guint)n);
		pw_db_stream_fill(c);
	}
	if (c->close_when_sent)
		pw_db_conn_close(c);
}

/* Returns whether a second answer contains a message of the first one. */
static bool is_repeated(enum pw_db_repeat_part part, char type)
{
	switch (part) {
	case PW_DB_REPEAT_READY:
		return type == 'Z';
	case PW_DB_REPEAT_END:
		return strchr("CEIZ", type) != NULL;
	case PW_DB_REPEAT_ROWS:
		return type == 'D';
	default:
		return true;
	}
}

static void send_repeated(struct pw_db_conn *c)
{
	g_byte_array_append(c->out, c->repeated->data, c->repeated->len);
	g_byte_array_set_size(c->repeated, 0);
	c->answer_offset = c->out->len;
}

/* Answers once more, at once or later, if the fault "repeat_answers" chooses this answer. */
static void repeat_answer(struct pw_db_conn *c)
{
	struct pw_db_server *s = c->server;
	struct pw_pg_frame f;
	guint offset = c->answer_offset;

	if (!s->repeat_every || pw_db_conn_is_test(c) || ++s->repeat_counter % s->repeat_every)
		return;
	for (; pw_pg_frame_next(&f, c->out->data + offset, c->out->len - offset,
				MESSAGE_MAX_BYTES) == PW_OK;
	     offset += f.size_bytes) {
		if (is_repeated(s->repeat_part, f.type))
			g_byte_array_append(c->repeated, c->out->data + offset, f.size_bytes);
	}
	if (s->repeat_delay_ms)
		pw_loop_timer_set(s->task.loop, &c->repeat_timer,
				  pw_loop_now_us(s->task.loop) +
					  (uint64_t)s->repeat_delay_ms * PW_US_PER_MS);
	else
		send_repeated(c);
}

void pw_db_conn_put_ready(struct pw_db_conn *c)
{
	pw_pg_put_ready_for_query(c->out, c->transaction_status);
	repeat_answer(c);
	c->answer_offset = c->out->len;
}

static void repeat_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct pw_db_conn *c = PW_DB_CONTAINER_OF(t, struct pw_db_conn, repeat_timer);

	if (c->in_batch || c->phase == PW_DB_PHASE_ANSWER_DELAYED) {
		/* An answer that has begun is not interrupted. */
		pw_loop_timer_set(c->server->task.loop, t, now_us + PW_US_PER_MS);
		return;
	}
	send_repeated(c);
	pw_db_conn_resume(c);
}

static const struct pw_timer_ops repeat_timer_ops = { .expire = repeat_timer_expired };

/* Adds a FATAL error to the output and closes the connection once it is sent. */
static void send_fatal(struct pw_db_conn *c, const char *sqlstate, const char *message)
{
	const struct pw_pg_error e = { .severity = "FATAL",
				       .sqlstate = sqlstate,
				       .message = message };

	pw_pg_put_error(c->out, &e);
	c->in_batch = false;
	c->close_when_sent = true;
}

static void cancel_statement(struct pw_db_server *s, uint32_t pid, uint32_t secret)
{
	for (guint i = 0; i < s->conns->len; i++) {
		struct pw_db_conn *c = s->conns->pdata[i];

		if (c->pid != pid || c->secret != secret)
			continue;
		pw_db_exec_cancel(c);
		return;
	}
}

int32_t pw_db_conn_count_from_proxies(const struct pw_db_server *s)
{
	int32_t n = 0;

	for (guint i = 0; i < s->conns->len; i++)
		n += ((struct pw_db_conn *)s->conns->pdata[i])->counts_towards_limit;
	return n;
}

static void handle_startup(struct pw_db_conn *c, const struct pw_pg_frame *f)
{
	struct pw_db_server *s = c->server;
	struct pw_pg_reader r;
	uint32_t code, pid;

	pw_pg_reader_init(&r, f);
	code = pw_pg_get_u32(&r);
	if (code == PW_PG_SSL_REQUEST || code == PW_PG_GSSENC_REQUEST) {
		pw_pg_put_u8(c->out, 'N');
		return;
	}
	if (code == PW_PG_CANCEL_REQUEST) {
		pid = pw_pg_get_u32(&r);
		if (!s->refuse_connections && !pw_db_server_is_partitioned(s, "*"))
			cancel_statement(s, pid, pw_pg_get_u32(&r));
		pw_db_conn_close(c);
		return;
	}
	for (;;) {
		const char *name = pw_pg_get_string(&r), *value = *name ? pw_pg_get_string(&r) : "";

		if (!*name)
			break;
		g_hash_table_replace(c->settings, g_strdup(name), g_strdup(value));
	}
	c->user = g_strdup(g_hash_table_lookup(c->settings, "user"));
	c->application = g_strdup(g_hash_table_lookup(c->settings, "application_name"));
	if (!c->application)
		c->application = g_strdup("");
	if (s->refuse_connections && !pw_db_conn_is_test(c)) {
		pw_db_conn_close(c);
	} else if (code != PW_PG_PROTOCOL_3_0 || r.failed || !c->user) {
		send_fatal(c, "08P01", "the start-up message is malformed");
	} else {
		pw_pg_put_authentication(c->out, PW_PG_AUTH_CLEARTEXT);
		c->state = PW_DB_CONN_PASSWORD;
	}
}

static void handle_password(struct pw_db_conn *c, const struct pw_pg_frame *f)
{
	static const char *const parameters[][2] = {
		{ "server_version", "15.0" },  { "server_encoding", "UTF8" },
		{ "client_encoding", "UTF8" }, { "DateStyle", "ISO, MDY" },
		{ "integer_datetimes", "on" }, { "standard_conforming_strings", "on" },
	};
	struct pw_db_server *s = c->server;
	const struct pw_db_options *o = s->options;
	struct pw_pg_reader r;
	const char *password;

	pw_pg_reader_init(&r, f);
	password = pw_pg_get_string(&r);
	c->is_control = strcmp(c->user, o->control_user) == 0;
	if (f->type != 'p' || r.failed || (!c->is_control && strcmp(c->user, o->user) != 0) ||
	    strcmp(password, c->is_control ? o->control_password : o->password) != 0) {
		send_fatal(c, "28P01", "password authentication failed");
		return;
	}
	/* Replication streams and the tests' own connections don't count towards the limit. */
	c->counts_towards_limit =
		!pw_db_conn_is_test(c) && strcmp(c->application, "replication") != 0;
	if (c->counts_towards_limit && pw_db_conn_count_from_proxies(s) > o->connections_max) {
		c->counts_towards_limit = false;
		send_fatal(c, "53300", "too many connections");
		return;
	}
	s->connections_peak = MAX(s->connections_peak, pw_db_conn_count_from_proxies(s));
	c->pid = ++s->last_pid;
	c->secret = (uint32_t)pw_clock_random_u64();
	pw_pg_put_authentication(c->out, PW_PG_AUTH_OK);
	for (size_t i = 0; i < G_N_ELEMENTS(parameters); i++)
		pw_pg_put_parameter_status(c->out, parameters[i][0], parameters[i][1]);
	pw_pg_put_parameter_status(c->out, "application_name", c->application);
	pw_pg_put_backend_key_data(c->out, c->pid, c->secret);
	pw_pg_put_ready_for_query(c->out, c->transaction_status);
	c->state = PW_DB_CONN_READY;
}

/* Fails a message of the extended protocol; further messages are skipped until Sync. */
static void fail_extended(struct pw_db_conn *c, const char *sqlstate, const char *message)
{
	pw_db_exec_fail(c, sqlstate, message);
	c->skip_until_sync = true;
}

static void handle_query(struct pw_db_conn *c, const struct pw_pg_frame *f)
{
	struct pw_db_portal p = { 0 };
	struct pw_pg_reader r;
	const char *text;

	pw_pg_reader_init(&r, f);
	text = pw_pg_get_string(&r);
	if (pw_sql_parse(&p.sql, text)) {
		pw_db_exec_fail(c, "42601", pw_error_message());
	} else if (p.sql->param_count) {
		pw_sql_unref(p.sql);
		pw_db_exec_fail(c, "42P02", "the simple protocol has no parameters");
	} else {
		pw_db_exec_start(c, &p, false);
		return;
	}
	pw_db_conn_put_ready(c);
}

static void handle_parse(struct pw_db_conn *c, const struct pw_pg_frame *f)
{
	struct pw_pg_reader r;
	const char *name, *text;
	struct pw_sql *q;

	pw_pg_reader_init(&r, f);
	name = pw_pg_get_string(&r);
	text = pw_pg_get_string(&r);
	if (r.failed) {
		fail_extended(c, "08P01", "the message is malformed");
	} else if (*name && g_hash_table_contains(c->prepared_statements, name)) {
		fail_extended(c, "42P05", "the prepared statement exists already");
	} else if (pw_sql_parse(&q, text)) {
		fail_extended(c, "42601", pw_error_message());
	} else {
		g_hash_table_replace(c->prepared_statements, g_strdup(name), q);
		pw_pg_put_empty_message(c->out, '1');
	}
}

static void read_params(struct pw_db_portal *p, struct pw_pg_reader *r)
{
	p->param_count = pw_pg_get_u16(r);
	p->params = g_new0(char *, p->param_count);
	for (uint16_t i = 0; i < p->param_count && !r->failed; i++) {
		uint32_t length = pw_pg_get_u32(r);
		const uint8_t *data = length == UINT32_MAX ? NULL : pw_pg_get_bytes(r, length);

		p->params[i] = data ? g_strndup((const char *)data, length) : NULL;
	}
}

static void handle_bind(struct pw_db_conn *c, const struct pw_pg_frame *f)
{
	struct pw_pg_reader r;
	const char *portal, *statement;
	struct pw_db_portal *p;
	struct pw_sql *q;

	pw_pg_reader_init(&r, f);
	portal = pw_pg_get_string(&r);
	statement = pw_pg_get_string(&r);
	q = g_hash_table_lookup(c->prepared_statements, statement);
	if (!q) {
		fail_extended(c, "26000", "the prepared statement does not exist");
		return;
	}
	/* Skips the format codes: all values are text, which is the same in both formats. */
	for (uint16_t n = pw_pg_get_u16(&r); n > 0 && !r.failed; n--)
		pw_pg_get_u16(&r);
	p = g_new0(struct pw_db_portal, 1);
	read_params(p, &r);
	p->sql = pw_sql_ref(q);
	if (r.failed || p->param_count != q->param_count) {
		portal_free(p);
		fail_extended(c, "08P01", "the parameters do not fit the statement");
		return;
	}
	g_hash_table_replace(c->portals, g_strdup(portal), p);
	pw_pg_put_empty_message(c->out, '2');
}

static void put_parameter_description(struct pw_db_conn *c, const struct pw_sql *q)
{
	const uint32_t text_oid = 25;
	size_t start = pw_pg_begin_message(c->out, 't');

	pw_pg_put_u16(c->out, q->param_count);
	for (uint16_t i = 0; i < q->param_count; i++)
		pw_pg_put_u32(c->out, text_oid);
	pw_pg_end_message(c->out, start);
}

static void handle_describe(struct pw_db_conn *c, const struct pw_pg_frame *f)
{
	struct pw_pg_reader r;
	char kind;
	const char *name;
	struct pw_db_portal *p;
	struct pw_sql *q;

	pw_pg_reader_init(&r, f);
	kind = (char)pw_pg_get_u8(&r);
	name = pw_pg_get_string(&r);
	p = kind == 'P' ? g_hash_table_lookup(c->portals, name) : NULL;
	q = kind == 'S' ? g_hash_table_lookup(c->prepared_statements, name) : p ? p->sql : NULL;
	if (!q) {
		fail_extended(c, kind == 'S' ? "26000" : "34000",
			      "the prepared statement or portal does not exist");
		return;
	}
	if (kind == 'S')
		put_parameter_description(c, q);
	pw_db_exec_describe(c, q);
}

static void handle_execute(struct pw_db_conn *c, const struct pw_pg_frame *f)
{
	struct pw_pg_reader r;
	struct pw_db_portal *p, execution;

	pw_pg_reader_init(&r, f);
	p = g_hash_table_lookup(c->portals, pw_pg_get_string(&r));
	if (!p) {
		fail_extended(c, "34000", "the portal does not exist");
		return;
	}
	execution =
		(struct pw_db_portal){ .sql = pw_sql_ref(p->sql), .param_count = p->param_count };
	execution.params = g_new0(char *, p->param_count);
	for (uint16_t i = 0; i < p->param_count; i++)
		execution.params[i] = g_strdup(p->params[i]);
	pw_db_exec_start(c, &execution, true);
}

static void handle_close(struct pw_db_conn *c, const struct pw_pg_frame *f)
{
	struct pw_pg_reader r;
	char kind;

	pw_pg_reader_init(&r, f);
	kind = (char)pw_pg_get_u8(&r);
	g_hash_table_remove(kind == 'S' ? c->prepared_statements : c->portals,
			    pw_pg_get_string(&r));
	pw_pg_put_empty_message(c->out, '3');
}

static void handle_sync(struct pw_db_conn *c)
{
	c->skip_until_sync = false;
	if (pw_db_exec_sync(c) == PW_OK || !c->closed)
		pw_db_conn_put_ready(c);
	g_hash_table_remove_all(c->portals);
}

static void handle_message(struct pw_db_conn *c, const struct pw_pg_frame *f)
{
	if (c->skip_until_sync && f->type != 'S' && f->type != 'X')
		return;
	c->in_batch = strchr("PBDEC", f->type) != NULL;
	switch (f->type) {
	case 'Q':
		handle_query(c, f);
		break;
	case 'P':
		handle_parse(c, f);
		break;
	case 'B':
		handle_bind(c, f);
		break;
	case 'D':
		handle_describe(c, f);
		break;
	case 'E':
		handle_execute(c, f);
		break;
	case 'C':
		handle_close(c, f);
		break;
	case 'S':
		handle_sync(c);
		break;
	case 'H':
		break;
	case 'X':
		pw_db_conn_close(c);
		break;
	default:
		send_fatal(c, "08P01", "the message type is unknown");
	}
}

/* Handles buffered messages until a statement has to wait or the input ends. */
static void process_input(struct pw_db_conn *c)
{
	struct pw_pg_frame f;
	guint consumed = 0;
	int rc = PW_EAGAIN;

	c->processing = true;
	while (!c->closed && !c->close_when_sent && c->phase == PW_DB_PHASE_IDLE &&
	       c->state != PW_DB_CONN_STREAMING && !is_partitioned(c)) {
		const uint8_t *data = c->in->data + consumed;

		rc = c->state == PW_DB_CONN_STARTUP
			     ? pw_pg_startup_next(&f, data, c->in->len - consumed)
			     : pw_pg_frame_next(&f, data, c->in->len - consumed, MESSAGE_MAX_BYTES);
		if (rc)
			break;
		consumed += f.size_bytes;
		if (c->state == PW_DB_CONN_STARTUP)
			handle_startup(c, &f);
		else if (c->state == PW_DB_CONN_PASSWORD)
			handle_password(c, &f);
		else
			handle_message(c, &f);
	}
	c->processing = false;
	g_byte_array_remove_range(c->in, 0, consumed);
	if (!c->closed && rc && rc != PW_EAGAIN)
		send_fatal(c, "08P01", pw_error_message());
}

void pw_db_conn_resume(struct pw_db_conn *c)
{
	uint32_t events = 0;

	if (c->closed || c->processing)
		return;
	process_input(c);
	conn_flush(c);
	if (c->closed)
		return;
	/*
	 * The connection stays open until the messages that arrived before the peer closed it have
	 * run.
	 */
	if (c->eof && c->phase == PW_DB_PHASE_IDLE && !is_partitioned(c)) {
		pw_db_conn_close(c);
		return;
	}
	if (!is_partitioned(c)) {
		events |= c->eof || c->in->len > MESSAGE_MAX_BYTES ? 0 : EPOLLIN;
		events |= c->out->len && !is_output_held(c) ? EPOLLOUT : 0;
	}
	if (!(c->eof && c->discard_output))
		pw_loop_watch(c->server->task.loop, &c->source, events);
	else
		pw_loop_unwatch(c->server->task.loop, &c->source);
}

static void conn_ready(struct pw_source *src, uint32_t events)
{
	struct pw_db_conn *c = (struct pw_db_conn *)src;
	guint len = c->in->len;
	ssize_t n;

	if ((events & EPOLLIN) && !is_partitioned(c)) {
		g_byte_array_set_size(c->in, len + READ_SIZE_BYTES);
		n = recv(src->fd, c->in->data + len, READ_SIZE_BYTES, 0);
		g_byte_array_set_size(c->in, len + (guint)MAX(n, 0));
		if (n == 0)
			c->eof = true;
	}
	if (events & (EPOLLERR | EPOLLHUP))
		c->eof = c->discard_output = true;
	pw_db_conn_resume(c);
}

static const struct pw_source_ops conn_ops = { .ready = conn_ready };

static void conn_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	pw_db_exec_timer_expired(PW_DB_CONTAINER_OF(t, struct pw_db_conn, timer));
}

static const struct pw_timer_ops timer_ops = { .expire = conn_timer_expired };

void pw_db_conn_new(struct pw_db_server *s, int32_t fd)
{
	struct pw_db_conn *c = g_new0(struct pw_db_conn, 1);

	c->source = (struct pw_source){ .ops = &conn_ops, .fd = fd };
	c->timer.ops = &timer_ops;
	c->repeat_timer.ops = &repeat_timer_ops;
	c->server = s;
	c->transaction_status = 'I';
	c->in = g_byte_array_new();
	c->out = g_byte_array_new();
	c->repeated = g_byte_array_new();
	c->changes = pw_db_changes_new();
	c->prepared_statements = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						       (GDestroyNotify)pw_sql_unref);
	c->portals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, portal_free);
	c->settings = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_ptr_array_add(s->conns, c);
	pw_db_conn_resume(c);
}
