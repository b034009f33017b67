/*
 * End-to-end tests of a fleet of proxy processes against the platform stand-in: data of any bytes
 * passes unchanged through sessions in both directions, and servers receive the statements of the
 * callers and no others. The stand-in reads messages strictly and records what its servers receive.
 */
#include "suite.h"

#include "platform_fleet.h"

#define ROUND_COUNT 40
#define DATA_MAX    200

static void append_text(GByteArray *b, const char *text)
{
	g_byte_array_append(b, (const guint8 *)text, (guint)strlen(text));
}

/* Appends random bytes without CR LF. Half of them are those that matter to the protocol. */
static void append_random_data(GByteArray *b, GRand *r)
{
	static const guint8 special[] = { '\r', '\n', '\0', ' ', '-', 0xff };
	uint32_t count = (uint32_t)g_rand_int_range(r, 1, DATA_MAX);

	for (guint8 last = 0; count > 0; count--) {
		guint8 c = g_rand_boolean(r) ? special[g_rand_int_range(r, 0, sizeof(special))]
					     : (guint8)g_rand_int(r);

		if (last == '\r' && c == '\n')
			c = 'x';
		g_byte_array_append(b, &c, 1);
		last = c;
	}
}

/* A statement that servers receive, as the caller has sent it. */
struct statement {
	char *id;
	GBytes *text;
	GBytes *shape; /* of the prepared statement; NULL: the statement is not an EXECUTE */
	GBytes *value; /* of the session's variable */
	uint32_t runs; /* entries of the record that have run */
};

struct player {
	struct client *client;
	GRand *r;
	GPtrArray *statements; /* struct statement that servers receive */
	GBytes *shape, *value; /* of the session */
	uint32_t next_id;
};

static GBytes *random_bytes(GRand *r)
{
	GByteArray *b = g_byte_array_new();

	append_random_data(b, r);
	return g_byte_array_free_to_bytes(b);
}

static GBytes *join(const char *start, GBytes *data)
{
	GByteArray *b = g_byte_array_new();
	gsize size_bytes;
	const void *bytes = g_bytes_get_data(data, &size_bytes);

	append_text(b, start);
	g_byte_array_append(b, bytes, (guint)size_bytes);
	return g_byte_array_free_to_bytes(b);
}

static void send_text(struct player *p, GBytes *text, bool reaches_server)
{
	GByteArray *line = g_byte_array_new();
	char *id = g_strdup_printf("b%u", ++p->next_id);
	char *start = g_strdup_printf("QUERY %s ", id);
	gsize size_bytes;
	const void *bytes = g_bytes_get_data(text, &size_bytes);

	append_text(line, start);
	g_byte_array_append(line, bytes, (guint)size_bytes);
	append_text(line, "\r\n");
	(void)send(p->client->fd, line->data, line->len, MSG_NOSIGNAL);
	if (reaches_server) {
		struct statement *s = g_new0(struct statement, 1);
		bool executes = size_bytes > 8 && memcmp(bytes, "EXECUTE ", 8) == 0;

		s->id = g_strdup(id);
		s->text = g_bytes_ref(text);
		s->shape = executes ? g_bytes_ref(p->shape) : NULL;
		s->value = g_bytes_ref(p->value);
		g_ptr_array_add(p->statements, s);
	}
	g_byte_array_unref(line);
	g_free(start);
	g_free(id);
}

/* Reads one line without its CR LF. Fails the test if none comes. */
static GBytes *read_bytes_line(struct client *c)
{
	gint64 deadline_us = g_get_monotonic_time() + ANSWER_TIMEOUT_MS * G_GINT64_CONSTANT(1000);

	for (;;) {
		GString *b = c->received;
		const char *end = b->len ? memmem(b->str, b->len, "\r\n", 2) : NULL;
		struct pollfd p = { .fd = c->fd, .events = POLLIN };
		gint64 left_ms = (deadline_us - g_get_monotonic_time()) / 1000;
		char data[4096];
		ssize_t n;

		if (end) {
			GBytes *line = g_bytes_new(b->str, (gsize)(end - b->str));

			g_string_erase(b, 0, end + 2 - b->str);
			return line;
		}
		ck_assert_msg(left_ms > 0 && poll(&p, 1, (int)left_ms) > 0, "no answer");
		n = recv(c->fd, data, sizeof(data), 0);
		ck_assert_msg(n > 0, "the connection was closed");
		g_string_append_len(b, data, n);
	}
}

static bool starts_with(GBytes *line, const char *start)
{
	gsize size_bytes;
	const char *data = g_bytes_get_data(line, &size_bytes);

	return size_bytes >= strlen(start) && memcmp(data, start, strlen(start)) == 0;
}

/* Reads an answer of the row, if it is not NULL, and a success in state I. */
static void expect_success(struct player *p, const char *label, GBytes *row)
{
	GBytes *line = read_bytes_line(p->client);

	if (row) {
		GBytes *expected = join("DATAROW ", row);

		ck_assert_msg(g_bytes_equal(line, expected), "b%u, %s: another row", p->next_id,
			      label);
		g_bytes_unref(expected);
		g_bytes_unref(line);
		line = read_bytes_line(p->client);
	}
	ck_assert_msg(starts_with(line, "COMPLETE "), "b%u, %s: no success", p->next_id, label);
	g_bytes_unref(line);
	line = read_bytes_line(p->client);
	ck_assert_msg(starts_with(line, "READY I "), "b%u, %s: no READY", p->next_id, label);
	g_bytes_unref(line);
}

static void run_text(struct player *p, const char *start, GBytes *data, bool reaches_server,
		     GBytes *row)
{
	GBytes *text = join(start, data);

	send_text(p, text, reaches_server);
	expect_success(p, start, row);
	g_bytes_unref(text);
}

/* Plays a session with one random text in each place where data can be. */
static void play_session(struct player *p, const char *item, GBytes *data)
{
	char *write = g_strdup_printf("WRITE %s ", item), *read = g_strdup_printf("READ %s", item);
	char *execute = g_strdup_printf("EXECUTE s %s2 ", item);
	char *read_again = g_strdup_printf("READ %s2", item);
	GBytes *none = g_bytes_new_static("none", 4), *empty = g_bytes_new_static("", 0);
	GBytes *other = random_bytes(p->r);

	p->value = random_bytes(p->r);
	p->shape = random_bytes(p->r);
	run_text(p, "SET zone ", p->value, false, NULL);
	run_text(p, write, data, true, NULL);
	run_text(p, read, empty, true, data);
	run_text(p, "PREPARE s WRITE ", p->shape, false, NULL);
	run_text(p, execute, other, true, NULL);
	run_text(p, read_again, empty, true, other);
	run_text(p, "READ -", other, true, none);
	g_bytes_unref(p->value);
	g_bytes_unref(p->shape);
	g_bytes_unref(other);
	g_bytes_unref(none);
	g_bytes_unref(empty);
	g_free(write);
	g_free(read);
	g_free(execute);
	g_free(read_again);
}

static GBytes *decode(const json_t *text)
{
	gsize size_bytes;
	guchar *data = g_base64_decode(json_string_value(text), &size_bytes);

	return g_bytes_new_take(data, size_bytes);
}

static bool field_equals(const json_t *text, GBytes *expected)
{
	GBytes *actual = text ? decode(text) : NULL;
	bool equal = actual && g_bytes_equal(actual, expected);

	g_clear_pointer(&actual, g_bytes_unref);
	return equal;
}

/* The text with the name "s" of the prepared statement in place of the one that the proxy gave. */
static GBytes *restore_name(GBytes *text)
{
	gsize size_bytes;
	const char *data = g_bytes_get_data(text, &size_bytes);
	const char *end = memchr(data + strlen("EXECUTE "), ' ', size_bytes - strlen("EXECUTE "));
	GBytes *rest = g_bytes_new(end, size_bytes - (gsize)(end - data));
	GBytes *restored = join("EXECUTE s", rest);

	g_bytes_unref(rest);
	g_bytes_unref(text);
	return restored;
}

static struct statement *find_statement(const GPtrArray *statements, const char *id)
{
	for (guint i = 0; i < statements->len; i++) {
		struct statement *s = g_ptr_array_index(statements, i);

		if (strcmp(s->id, id) == 0)
			return s;
	}
	return NULL;
}

static void check_entry(const json_t *entry, const GPtrArray *statements)
{
	const char *id = json_string_value(json_object_get(entry, "id"));
	struct statement *s = find_statement(statements, id);
	GBytes *text = decode(json_object_get(entry, "text"));

	ck_assert_msg(s != NULL, "a server received statement %s, which no caller sent", id);
	if (s->shape) {
		text = restore_name(text);
		ck_assert_msg(field_equals(json_object_get(entry, "shape"), s->shape),
			      "%s: another shape", id);
	}
	ck_assert_msg(g_bytes_equal(text, s->text), "%s: another text", id);
	ck_assert_msg(
		field_equals(json_object_get(json_object_get(entry, "values"), "zone"), s->value),
		"%s: another value of the session", id);
	s->runs += json_is_true(json_object_get(entry, "runs"));
	g_bytes_unref(text);
}

static void free_statement(gpointer data)
{
	struct statement *s = data;

	g_free(s->id);
	g_bytes_unref(s->text);
	g_clear_pointer(&s->shape, g_bytes_unref);
	g_bytes_unref(s->value);
	g_free(s);
}

/* Data of the first rounds, as in the reports of the incident; later rounds have random data. */
static const char *const reported_data[] = {
	"lzozjaeqggb\nfcta", "x\nQUERY zz WRITE k2 smuggled", "x\nREADY I -\n", "\r", " ",
};

/*
 * Guards against statements, values, templates and rows that are cut or changed, and against data
 * that servers receive as a statement of its own.
 */
START_TEST(test_bytes)
{
	struct player p = { .r = g_rand_new_with_seed(42),
			    .statements = g_ptr_array_new_with_free_func(free_statement) };
	char *text;
	json_t *record, *entry;
	size_t i;

	start_fleet();
	for (uint32_t round = 0; round < ROUND_COUNT; round++) {
		char *item = g_strdup_printf("k%u", round);
		GBytes *data = round < PW_ARRAY_LEN(reported_data)
				       ? g_bytes_new_static(reported_data[round],
							    strlen(reported_data[round]))
				       : random_bytes(p.r);

		p.client = open_session(round % VM_COUNT, "desk");
		play_session(&p, item, data);
		client_free(p.client);
		g_bytes_unref(data);
		g_free(item);
	}
	text = http_request(platform->port, "/record", NULL);
	ck_assert_ptr_nonnull(text);
	record = json_loads(text, 0, NULL);
	json_array_foreach (record, i, entry)
		check_entry(entry, p.statements);
	for (guint k = 0; k < p.statements->len; k++) {
		const struct statement *s = g_ptr_array_index(p.statements, k);

		ck_assert_msg(s->runs >= 1, "%s has not run at a server", s->id);
	}
	json_decref(record);
	g_free(text);
	g_ptr_array_unref(p.statements);
	g_rand_free(p.r);
	stop_fleet();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("bytes fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, test_bytes);
	return pw_suite_run("bytes fleet", tc);
}
