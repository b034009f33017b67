#include "front_private.h"

#include <string.h>

#include "pw/core/error.h"

void batch_free_prepared_statement(gpointer data)
{
	struct prepared_statement *p = data;

	pw_statement_dispose(&p->statement);
	g_byte_array_unref(p->parse_message);
	g_free(p);
}

void batch_free(struct batch *b)
{
	if (!b)
		return;
	g_byte_array_unref(b->bytes);
	g_byte_array_unref(b->replay_bytes);
	g_ptr_array_unref(b->statements);
	g_ptr_array_unref(b->prepared_names);
	g_ptr_array_unref(b->closed_names);
	g_ptr_array_unref(b->retired_statements);
	g_string_free(b->message_types, TRUE);
	pw_statement_dispose(&b->query_statement);
	g_free(b);
}

static struct batch *batch_new(void)
{
	struct batch *b = g_new0(struct batch, 1);

	b->bytes = g_byte_array_new();
	b->replay_bytes = g_byte_array_new();
	b->statements = g_ptr_array_new();
	b->prepared_names = g_ptr_array_new_with_free_func(g_free);
	b->closed_names = g_ptr_array_new_with_free_func(g_free);
	b->retired_statements = g_ptr_array_new_with_free_func(batch_free_prepared_statement);
	b->message_types = g_string_new(NULL);
	return b;
}

static void add_statement(struct batch *b, struct pw_statement *s)
{
	if (s->kind == PW_STATEMENT_UNSUPPORTED && !b->unsupported_reason)
		b->unsupported_reason = s->detail;
	g_ptr_array_add(b->statements, s);
}

static bool contains_name(const GPtrArray *names, const char *name)
{
	for (guint i = 0; i < names->len; i++) {
		if (strcmp(g_ptr_array_index(names, i), name) == 0)
			return true;
	}
	return false;
}

static bool is_prepared_in(const struct batch *b, const char *name)
{
	return contains_name(b->prepared_names, name);
}

/*
 * Forgets a prepared statement. If `b` is given, the statement is freed with that batch, which may
 * still refer to it.
 */
static void forget_statement(struct caller *c, struct batch *b, const char *name)
{
	gpointer key, value;

	if (!c->prepared_statements ||
	    !g_hash_table_steal_extended(c->prepared_statements, name, &key, &value))
		return;
	g_free(key);
	c->prepared_bytes -= ((struct prepared_statement *)value)->parse_message->len;
	if (b)
		g_ptr_array_add(b->retired_statements, value);
	else
		batch_free_prepared_statement(value);
}

void batch_forget_prepared(struct caller *c, const struct batch *b, uint32_t parsed_count)
{
	for (guint i = parsed_count; i < b->prepared_names->len; i++)
		forget_statement(c, NULL, g_ptr_array_index(b->prepared_names, i));
}

/*
 * Puts a Close message before the batch, since another session may have prepared a statement of
 * this name on the shared upstream connection.
 */
static void replay_close(struct batch *b, const char *name)
{
	size_t start;

	if (contains_name(b->closed_names, name))
		return;
	start = pw_pg_begin_message(b->replay_bytes, 'C');
	pw_pg_put_u8(b->replay_bytes, 'S');
	pw_pg_put_string(b->replay_bytes, name);
	pw_pg_end_message(b->replay_bytes, start);
	b->replay_answer_count++;
	g_ptr_array_add(b->closed_names, g_strdup(name));
}

static int fail_with_protocol_error(struct caller *c, const char *text)
{
	caller_send_fatal_error(c, PW_SQLSTATE_PROTOCOL_VIOLATION, PW_COUNTER_REFUSED_PROTOCOL,
				"%s", text);
	return PW_EINVALID;
}

/* Handles a Parse message. Keeps it, to prepare the statement on other upstream connections. */
static int handle_parse(struct caller *c, struct batch *b, const uint8_t *data,
			const struct pw_pg_frame *f)
{
	struct pw_pg_reader r;
	struct prepared_statement *p;
	const char *name, *sql;

	pw_pg_reader_init(&r, f);
	name = pw_pg_get_string(&r);
	sql = pw_pg_get_string(&r);
	if (r.failed)
		return fail_with_protocol_error(c, "the Parse message is malformed");
	if (!c->prepared_statements)
		c->prepared_statements = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
							       batch_free_prepared_statement);
	if (*name && is_prepared_in(b, name))
		return fail_with_protocol_error(c,
						"the batch prepares two statements under one name");
	forget_statement(c, b, name);
	if (*name)
		replay_close(b, name);
	if (g_hash_table_size(c->prepared_statements) >= PREPARED_STATEMENTS_MAX ||
	    c->prepared_bytes + f->size_bytes > PREPARED_STATEMENTS_MAX_BYTES) {
		b->unsupported_reason = "too many or too large prepared statements";
		return PW_OK;
	}
	if (b->unsupported_reason)
		return PW_OK;
	p = g_new0(struct prepared_statement, 1);
	pw_statement_init(&p->statement, sql);
	p->parse_message = g_byte_array_new();
	g_byte_array_append(p->parse_message, data, f->size_bytes);
	c->prepared_bytes += p->parse_message->len;
	g_hash_table_insert(c->prepared_statements, g_strdup(name), p);
	g_ptr_array_add(b->prepared_names, g_strdup(name));
	add_statement(b, &p->statement);
	return PW_OK;
}

/* Puts the Parse message before the batch, since the upstream connection may not have got it. */
static void replay_parse(struct batch *b, const char *name, const struct prepared_statement *p)
{
	if (*name)
		replay_close(b, name);
	g_byte_array_append(b->replay_bytes, p->parse_message->data, p->parse_message->len);
	b->replay_answer_count++;
}

/* Makes a statement that the batch uses available on its upstream connection. */
static void ensure_prepared(struct caller *c, struct batch *b, const char *name)
{
	struct prepared_statement *p =
		c->prepared_statements ? g_hash_table_lookup(c->prepared_statements, name) : NULL;

	if (is_prepared_in(b, name))
		return;
	if (!p) {
		/* With the statement closed, the upstream reports that the name is not known. */
		replay_close(b, name);
		return;
	}
	/* A statement that the batch has used before was replayed already. */
	for (guint i = 0; i < b->statements->len; i++) {
		if (g_ptr_array_index(b->statements, i) == &p->statement)
			return;
	}
	replay_parse(b, name, p);
	add_statement(b, &p->statement);
}

static int handle_bind(struct caller *c, struct batch *b, const struct pw_pg_frame *f)
{
	struct pw_pg_reader r;
	const char *name;

	pw_pg_reader_init(&r, f);
	pw_pg_get_string(&r); /* portal */
	name = pw_pg_get_string(&r);
	if (r.failed)
		return fail_with_protocol_error(c, "the Bind message is malformed");
	ensure_prepared(c, b, name);
	return PW_OK;
}

/* Handles a Describe or Close message, for a statement ('S') or a portal ('P'). */
static int handle_describe_or_close(struct caller *c, struct batch *b, const struct pw_pg_frame *f)
{
	struct pw_pg_reader r;
	uint8_t kind;
	const char *name;

	pw_pg_reader_init(&r, f);
	kind = pw_pg_get_u8(&r);
	name = pw_pg_get_string(&r);
	if (r.failed || (kind != 'S' && kind != 'P'))
		return fail_with_protocol_error(c, "a Describe or Close message is malformed");
	if (kind == 'S' && f->type == 'D')
		ensure_prepared(c, b, name);
	else if (kind == 'S' && !is_prepared_in(b, name))
		forget_statement(c, b, name);
	return PW_OK;
}

static int handle_query(struct caller *c, struct batch *b, const struct pw_pg_frame *f)
{
	struct pw_pg_reader r;
	const char *sql;

	pw_pg_reader_init(&r, f);
	sql = pw_pg_get_string(&r);
	if (r.failed)
		return fail_with_protocol_error(c, "the Query message is malformed");
	if (b->bytes->len)
		return fail_with_protocol_error(c, "a Query message was received within a batch");
	pw_statement_init(&b->query_statement, sql);
	b->is_query = true;
	b->executes = true;
	add_statement(b, &b->query_statement);
	return PW_OK;
}

/* Handles a message and adds it to the batch; sets `done` if it is the last one. */
static int handle_message(struct caller *c, struct batch *b, const uint8_t *data,
			  const struct pw_pg_frame *f, bool *done)
{
	int rc = PW_OK;

	switch (f->type) {
	case 'Q':
		rc = handle_query(c, b, f);
		*done = true;
		break;
	case 'S': /* Sync */
		*done = true;
		break;
	case 'P':
		rc = handle_parse(c, b, data, f);
		break;
	case 'B':
		rc = handle_bind(c, b, f);
		break;
	case 'D':
	case 'C':
		rc = handle_describe_or_close(c, b, f);
		break;
	case 'E': /* Execute */
		b->executes = true;
		break;
	case 'H':
		b->unsupported_reason = "Flush";
		break;
	case 'F':
		b->unsupported_reason = "function call messages";
		*done = true;
		break;
	default:
		return fail_with_protocol_error(c, "an unexpected message type was received");
	}
	if (!rc) {
		g_byte_array_append(b->bytes, data, f->size_bytes);
		g_string_append_c(b->message_types, f->type);
	}
	return rc;
}

static uint32_t max_message_bytes(const struct caller *c)
{
	return c->front->document->limits.max_message_bytes;
}

/* Adds a message to the batch; closes the connection after a Terminate message ('X'). */
static int add_message(struct caller *c, const struct pw_pg_frame *f, bool *done)
{
	int rc;

	if (f->type == 'X') {
		caller_close_after_output(c);
		return PW_EINVALID;
	}
	if (!c->batch)
		c->batch = batch_new();
	if (c->batch->bytes->len + f->size_bytes > 2 * max_message_bytes(c)) {
		caller_send_fatal_error(c, PW_SQLSTATE_LIMIT_EXCEEDED, PW_COUNTER_REFUSED_PROTOCOL,
					"a batch is larger than %u bytes",
					2 * max_message_bytes(c));
		return PW_EINVALID;
	}
	rc = handle_message(c, c->batch, c->stream.input->data, f, done);
	return rc;
}

int batch_collect(struct caller *c)
{
	bool done = false;

	while (!done && c->stream.input) {
		struct pw_pg_frame frame;
		int rc = pw_pg_frame_next(&frame, c->stream.input->data, c->stream.input->len,
					  max_message_bytes(c));

		if (rc == PW_EAGAIN) {
			/* A message above the usual read limit needs a larger input buffer. */
			c->stream.read_limit_bytes = max_message_bytes(c) + 1;
			return rc;
		}
		if (rc) {
			caller_send_fatal_error(c,
						rc == PW_EOVERFLOW ? PW_SQLSTATE_LIMIT_EXCEEDED
								   : PW_SQLSTATE_PROTOCOL_VIOLATION,
						PW_COUNTER_REFUSED_PROTOCOL, "%s",
						pw_error_message());
			return PW_EINVALID;
		}
		rc = add_message(c, &frame, &done);
		if (rc)
			return rc;
		pw_stream_consume(&c->stream, frame.size_bytes);
	}
	return done ? PW_OK : PW_EAGAIN;
}

void batch_put_answer(const struct batch *b, GByteArray *out, const char *tag)
{
	for (const char *type = b->message_types->str; *type; type++) {
		switch (*type) {
		case 'P':
			pw_pg_put_empty_message(out, '1'); /* ParseComplete */
			break;
		case 'B':
			pw_pg_put_empty_message(out, '2'); /* BindComplete */
			break;
		case 'C':
			pw_pg_put_empty_message(out, '3'); /* CloseComplete */
			break;
		case 'D':
			pw_pg_put_empty_message(out, 'n'); /* NoData */
			break;
		case 'E':
		case 'Q':
			if (*tag)
				pw_pg_put_command_complete(out, tag);
			else
				pw_pg_put_empty_message(out, 'I'); /* EmptyQueryResponse */
			break;
		default:
			break;
		}
	}
}
