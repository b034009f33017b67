/*
 * Tests of the platform stand-in itself, over raw sockets: how its servers read messages, the
 * faults of their answers, and the record of the statements. A stand-in that is more lenient than
 * the platform hides faults of the proxy from all other suites of the platform.
 */
#include "suite.h"

#include "platform_fleet.h"

#define READ_TIMEOUT_MS 3000
/* Time after which an expected silence counts as such. */
#define SILENCE_MS     60
#define LINE_MAX_BYTES 1048576

/* Bytes of a literal, which may contain NUL. */
#define BYTES(s)                 \
	{                        \
		s, sizeof(s) - 1 \
	}

struct bytes {
	const char *data;
	size_t size;
};

#define START                      "STARTUP core amber\r\n"
#define READY(state, number)       "READY " state " 1." number "\r\n"
#define STARTED                    READY("I", "0")
#define SIGNED(n, state, number)   "COMPLETE sig.i-core-1." n "\r\n" READY(state, number)
#define DONE(state, number)        "COMPLETE -\r\n" READY(state, number)
#define ERROR(code, state, number) "ERROR " code " i-core-1\r\n" READY(state, number)
#define ROW(data)                  "DATAROW " data "\r\n"
#define STATUS_ROW                 ROW("primary 1 1.0 1 0 0 1")

static json_t *fetch_record(void)
{
	char *text = http_request(platform->port, "/record", NULL);
	json_t *root;

	ck_assert_msg(text != NULL, "the stand-in does not answer");
	root = json_loads(text, 0, NULL);
	g_free(text);
	return root;
}

/* Stops the stand-in, which must not have failed meanwhile. */
static void stop_standin(void)
{
	json_decref(fetch_record());
	stop_fleet();
}

/* Connection to a server of the stand-in. */
struct raw {
	int fd;
	GByteArray *received;
	unsigned reads; /* calls of recv() that returned data */
	bool ended;     /* the server has closed the connection */
};

static void raw_open(struct raw *r, unsigned server)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(server_ports[server]),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int one = 1;

	*r = (struct raw){ .fd = socket(AF_INET, SOCK_STREAM, 0), .received = g_byte_array_new() };
	(void)setsockopt(r->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	ck_assert_int_eq(connect(r->fd, (struct sockaddr *)&address, sizeof(address)), 0);
}

static void raw_close(struct raw *r)
{
	close(r->fd);
	g_byte_array_unref(r->received);
}

static void raw_send(const struct raw *r, const void *data, size_t size)
{
	const char *next = data;

	while (size) {
		ssize_t n = send(r->fd, next, size, MSG_NOSIGNAL);

		if (n < 0)
			return;
		next += n;
		size -= (size_t)n;
	}
}

/* Reads until `size` bytes have arrived, the connection ends or the time is over. */
static void raw_read(struct raw *r, size_t size, uint32_t timeout_ms)
{
	gint64 deadline_us = g_get_monotonic_time() + timeout_ms * G_GINT64_CONSTANT(1000);

	while (!r->ended && r->received->len < size) {
		struct pollfd p = { .fd = r->fd, .events = POLLIN };
		gint64 remaining_ms = (deadline_us - g_get_monotonic_time() + 999) / 1000;
		char data[65536];
		ssize_t n;

		if (remaining_ms <= 0 || poll(&p, 1, (int)remaining_ms) <= 0)
			return;
		n = recv(r->fd, data, sizeof(data), 0);
		r->ended = n <= 0;
		r->reads += n > 0;
		if (n > 0)
			g_byte_array_append(r->received, (const guint8 *)data, (guint)n);
	}
}

/* Returns the bytes with all but printable ASCII escaped. The caller frees the text. */
static char *escape(const void *data, size_t size)
{
	const guint8 *bytes = data;
	GString *out = g_string_new(NULL);

	for (size_t i = 0; i < size; i++) {
		if (g_ascii_isprint(bytes[i]))
			g_string_append_c(out, (char)bytes[i]);
		else
			g_string_append_printf(out, "\\x%02x", bytes[i]);
	}
	return g_string_free(out, FALSE);
}

static void check_received(struct raw *r, const char *label, struct bytes expected)
{
	char *actual_text, *expected_text;

	raw_read(r, expected.size, READ_TIMEOUT_MS);
	actual_text = escape(r->received->data, r->received->len);
	expected_text = escape(expected.data, expected.size);
	ck_assert_msg(r->received->len == expected.size &&
			      (!expected.size ||
			       memcmp(r->received->data, expected.data, expected.size) == 0),
		      "%s: \"%s\", not \"%s\"", label, actual_text, expected_text);
	g_free(actual_text);
	g_free(expected_text);
}

/* Checks that nothing follows but, if `closes`, the end of the connection. */
static void check_end(struct raw *r, const char *label, bool closes)
{
	guint len = r->received->len;

	raw_read(r, SIZE_MAX, closes ? READ_TIMEOUT_MS : SILENCE_MS);
	ck_assert_msg(r->received->len == len, "%s: %u more bytes", label, r->received->len - len);
	ck_assert_msg(r->ended == closes, "%s: %s", label, closes ? "stays open" : "is closed");
}

/* One exchange on a new connection to a new stand-in. */
struct exchange {
	const char *label;
	struct bytes input, expected;
	bool closes;
	unsigned server; /* index of the server */
};

static void check_exchange(const struct exchange *x)
{
	struct raw r;

	raw_open(&r, x->server);
	raw_send(&r, x->input.data, x->input.size);
	check_received(&r, x->label, x->expected);
	check_end(&r, x->label, x->closes);
	raw_close(&r);
}

#define WRITE_AND_READ(data)                                           \
	BYTES(START "QUERY a WRITE k " data "\r\nQUERY b READ k\r\n"), \
		BYTES(STARTED SIGNED("1", "I", "1") ROW(data) SIGNED("2", "I", "1"))
#define ONE_STATEMENT(text, answer) BYTES(START "QUERY a " text "\r\n"), BYTES(STARTED answer)
#define MALFORMED(text)             ONE_STATEMENT(text, ERROR("MALFORMED", "I", "0"))

static const struct exchange message_cases[] = {
	{ "LF in data", WRITE_AND_READ("x\ny"), false, 0 },
	{ "LF at both ends of data", WRITE_AND_READ("\nx\n"), false, 0 },
	{ "CR in data", WRITE_AND_READ("x\ry"), false, 0 },
	{ "CR before the end", WRITE_AND_READ("x\r"), false, 0 },
	{ "LF CR in data", WRITE_AND_READ("x\n\ry"), false, 0 },
	{ "NUL in data", WRITE_AND_READ("x\0y"), false, 0 },
	{ "NUL only", WRITE_AND_READ("\0"), false, 0 },
	{ "blanks at both ends", WRITE_AND_READ("  x y  "), false, 0 },
	{ "tabs at both ends", WRITE_AND_READ("\tx\t"), false, 0 },
	{ "a blank only", WRITE_AND_READ(" "), false, 0 },
	{ "no data", WRITE_AND_READ(""), false, 0 },
	{ "high bytes", WRITE_AND_READ("\x80\xff\xc3\xa9\xfe"), false, 0 },
	{ "data like a message", WRITE_AND_READ("v\nQUERY c READ k"), false, 0 },
	{ "LF does not end a message", BYTES(START "QUERY a READ k\nQUERY b READ k\r\n"),
	  BYTES(STARTED ROW("none") SIGNED("1", "I", "0")), false, 0 },
	{ "LF at the end of a message", BYTES(START "QUERY a READ k\n"), BYTES(STARTED), false, 0 },
	{ "CR at the end of a message", BYTES(START "QUERY a READ k\r"), BYTES(STARTED), false, 0 },
	{ "LF after STARTUP", BYTES("STARTUP core amber\n"), BYTES(""), false, 0 },
	{ "a blank belongs to the item",
	  BYTES(START "QUERY a WRITE k v\r\nQUERY b READ k \r\nQUERY c READ  k\r\n"),
	  BYTES(STARTED SIGNED("1", "I", "1") ROW("none") SIGNED("2", "I", "1") ROW("none")
			SIGNED("3", "I", "1")),
	  false, 0 },
	{ "WRITE without data", MALFORMED("WRITE k"), false, 0 },
	{ "WRITE with an empty item", MALFORMED("WRITE  v"), false, 0 },
	{ "READ without an item", MALFORMED("READ"), false, 0 },
	{ "READ with an empty item", MALFORMED("READ "), false, 0 },
	{ "COMMIT with a blank", MALFORMED("COMMIT "), false, 0 },
	{ "COMMIT with CR", MALFORMED("COMMIT\r"), false, 0 },
	{ "COMMIT with LF", MALFORMED("COMMIT\n"), false, 0 },
	{ "COMMIT with NUL", MALFORMED("COMMIT\0"), false, 0 },
	{ "ROLLBACK with a blank", MALFORMED("ROLLBACK "), false, 0 },
	{ "BEGIN with a blank", MALFORMED("BEGIN "), false, 0 },
	{ "BEGIN READ with a blank", MALFORMED("BEGIN READ "), false, 0 },
	{ "BEGIN WRITE", MALFORMED("BEGIN WRITE"), false, 0 },
	{ "a blank before the text", MALFORMED(" READ k"), false, 0 },
	{ "lower case", MALFORMED("read k"), false, 0 },
	{ "unknown statement", MALFORMED("DROP k"), false, 0 },
	{ "no text", MALFORMED(""), false, 0 },
	{ "no text and no blank", BYTES(START "QUERY a\r\n"),
	  BYTES(STARTED ERROR("MALFORMED", "I", "0")), false, 0 },
	{ "an empty id", BYTES(START "QUERY  READ k\r\n"),
	  BYTES(STARTED ERROR("MALFORMED", "I", "0")), false, 0 },
	{ "SET without a value", MALFORMED("SET n"), false, 0 },
	{ "PREPARE without a shape", MALFORMED("PREPARE p READ"), false, 0 },
	{ "PREPARE of another statement", MALFORMED("PREPARE p DROP s"), false, 0 },
	{ "EXECUTE without an item", MALFORMED("EXECUTE p"), false, 0 },
	{ "EXECUTE of an unknown name", ONE_STATEMENT("EXECUTE p k", ERROR("NOSTMT", "I", "0")),
	  false, 0 },
	{ "CLOSE of an unknown name", ONE_STATEMENT("CLOSE p", ERROR("NOSTMT", "I", "0")), false,
	  0 },
	{ "STATUS with a blank", MALFORMED("STATUS "), false, 0 },
	{ "RESET with a blank", MALFORMED("RESET "), false, 0 },
	{ "values byte for byte",
	  BYTES(START "QUERY a SET n  x\n\0\r \r\nQUERY b SET m \r\nQUERY c READ @values\r\n"),
	  BYTES(STARTED DONE("I", "0") DONE("I", "0") ROW("m=;n= x\n\0\r ;") SIGNED("1", "I", "0")),
	  false, 0 },
	{ "EXECUTE uses the item and the data",
	  BYTES(START "QUERY a PREPARE w WRITE s\r\nQUERY b PREPARE r READ s t \r\n"
		      "QUERY c EXECUTE w k  x\n\0\r \r\nQUERY d EXECUTE r k\r\n"
		      "QUERY e EXECUTE r k unused\r\nQUERY f CLOSE r\r\nQUERY g EXECUTE r k\r\n"),
	  BYTES(STARTED DONE("I", "0") DONE("I", "0") SIGNED("1", "I", "1") ROW(" x\n\0\r ")
			SIGNED("2", "I", "1") ROW(" x\n\0\r ") SIGNED("3", "I", "1") DONE("I", "1")
				ERROR("NOSTMT", "I", "1")),
	  false, 0 },
	{ "RESET drops values and names",
	  BYTES(START "QUERY a SET n x\r\nQUERY b PREPARE r READ s\r\nQUERY - RESET\r\n"
		      "QUERY c READ @values\r\nQUERY d EXECUTE r k\r\n"),
	  BYTES(STARTED DONE("I", "0") DONE("I", "0") DONE("I", "0") ROW("") SIGNED("1", "I", "0")
			ERROR("NOSTMT", "I", "0")),
	  false, 0 },
	{ "WAITLSN before a read and a BEGIN",
	  BYTES(START "QUERY a WAITLSN 1.0 READ k\r\nQUERY - WAITLSN 1.0 BEGIN READ\r\n"),
	  BYTES(STARTED ROW("none") SIGNED("1", "I", "0") DONE("T", "0")), false, 0 },
	{ "WAITLSN ahead of the log",
	  ONE_STATEMENT("WAITLSN 1.1 READ k", ERROR("LAGGING", "I", "0")), false, 0 },
	{ "WAITLSN before a write", MALFORMED("WAITLSN 1.0 WRITE k v"), false, 0 },
	{ "WAITLSN without a number", MALFORMED("WAITLSN 1. READ k"), false, 0 },
	{ "WAITLSN without a dot", MALFORMED("WAITLSN 1 READ k"), false, 0 },
	{ "WAITLSN with a blank too many", MALFORMED("WAITLSN 1.0  READ k"), false, 0 },
	{ "WAITLSN without a statement", MALFORMED("WAITLSN 1.0"), false, 0 },
	{ "a failed transaction",
	  BYTES(START "QUERY - BEGIN\r\nQUERY a WRITE k v\r\nQUERY b COMMIT \r\nQUERY c READ k\r\n"
		      "QUERY d STATUS\r\nQUERY e COMMIT\r\nQUERY f READ k\r\n"),
	  BYTES(STARTED DONE("T", "0") SIGNED("1", "T", "0") ERROR("MALFORMED", "E", "0")
			ERROR("MALFORMED", "E", "0") ERROR("MALFORMED", "E", "0")
				ERROR("ABORTED", "I", "0") ROW("none") SIGNED("2", "I", "0")),
	  false, 0 },
	{ "a rolled back transaction",
	  BYTES(START "QUERY - BEGIN\r\nQUERY a WRITE k v\r\nQUERY b ROLLBACK\r\n"
		      "QUERY c READ k\r\n"),
	  BYTES(STARTED DONE("T", "0") SIGNED("1", "T", "0") DONE("I", "0") ROW("none")
			SIGNED("2", "I", "0")),
	  false, 0 },
	{ "a plain transaction after the lead is lost",
	  BYTES(START "QUERY - BEGIN\r\nQUERY - STEPDOWN 2\r\nQUERY a READ k\r\n"),
	  BYTES(STARTED DONE("T", "0") ROW("replica 1 1.0 1 0 0 1") DONE("T", "0")
			ERROR("READONLY", "E", "0")),
	  false, 0 },
	{ "COMMIT without writes after the lead is lost",
	  BYTES(START "QUERY - BEGIN\r\nQUERY - STEPDOWN 2\r\nQUERY a COMMIT\r\n"),
	  BYTES(STARTED DONE("T", "0") ROW("replica 1 1.0 1 0 0 1") DONE("T", "0")
			SIGNED("1", "I", "0")),
	  false, 0 },
	{ "a write after the lead is lost",
	  BYTES(START "QUERY - STEPDOWN 2\r\nQUERY a WRITE k v\r\nQUERY b READ k\r\n"),
	  BYTES(STARTED ROW("replica 1 1.0 1 0 0 1") DONE("I", "0") ERROR("READONLY", "I", "0")
			ROW("none") SIGNED("1", "I", "0")),
	  false, 0 },
	{ "a write and a BEGIN at a replica",
	  BYTES(START "QUERY a WRITE k v\r\nQUERY b BEGIN\r\nQUERY c BEGIN READ\r\n"),
	  BYTES(STARTED "ERROR READONLY i-core-2\r\nREADY I 1.0\r\n"
			"ERROR READONLY i-core-2\r\nREADY I 1.0\r\n" DONE("T", "0")),
	  false, 1 },
	{ "messages in one packet",
	  BYTES(START "QUERY a READ k\r\nQUERY b READ k\r\nTERMINATE\r\nQUERY c READ k\r\n"),
	  BYTES(STARTED ROW("none") SIGNED("1", "I", "0") ROW("none") SIGNED("2", "I", "0")), true,
	  0 },
	{ "an unknown word", BYTES(START "query a READ k\r\n"), BYTES(STARTED), true, 0 },
	{ "a blank before the word", BYTES(START " QUERY a READ k\r\n"), BYTES(STARTED), true, 0 },
	{ "an empty line", BYTES(START "\r\n"), BYTES(STARTED), true, 0 },
	{ "a second STARTUP", BYTES(START START), BYTES(STARTED), true, 0 },
	{ "QUERY before STARTUP", BYTES("QUERY a READ k\r\n"), BYTES(""), true, 0 },
	{ "STARTUP with the server's id", BYTES("STARTUP core amber i-core-1\r\n"), BYTES(STARTED),
	  false, 0 },
	{ "STARTUP with another id", BYTES("STARTUP core amber i-core-1 \r\n"),
	  BYTES("ERROR MISROUTED i-core-1\r\n"), true, 0 },
	{ "STARTUP with another group", BYTES("STARTUP Core amber\r\n"),
	  BYTES("ERROR MISROUTED i-core-1\r\n"), true, 0 },
	{ "STARTUP without an account", BYTES("STARTUP core\r\n"),
	  BYTES("ERROR MISROUTED i-core-1\r\n"), true, 0 },
};

/*
 * Guards against a stand-in that accepts other line ends or statements than the platform, or
 * changes the last field of a line.
 */
START_TEST(test_messages)
{
	start_platform();
	check_exchange(&message_cases[_i]);
	stop_standin();
}
END_TEST

/* Guards against a reader that depends on how the network splits a message. */
START_TEST(test_message_split_at_each_byte)
{
	static const struct bytes input =
		BYTES(START "QUERY a READ \xff\0 \n\r x\r\r\nQUERY b COMMIT \r\n");

	start_platform();
	for (size_t cut = 1; cut < input.size; cut++) {
		char *expected = g_strdup_printf(STARTED ROW("none") SIGNED("%zu", "I", "0")
							 ERROR("MALFORMED", "I", "0"),
						 cut);
		char *label = g_strdup_printf("split after %zu bytes", cut);
		struct raw r;

		raw_open(&r, 0);
		raw_send(&r, input.data, cut);
		g_usleep(2000);
		raw_send(&r, input.data + cut, input.size - cut);
		check_received(&r, label, (struct bytes){ expected, strlen(expected) });
		raw_close(&r);
		g_free(label);
		g_free(expected);
	}
	stop_standin();
}
END_TEST

static const struct {
	const char *label;
	size_t line_bytes;
	const char *end;
	bool is_accepted;
} size_cases[] = {
	{ "the largest line", LINE_MAX_BYTES, "\r\n", true },
	{ "a line that is one byte too long", LINE_MAX_BYTES + 1, "\r\n", false },
	{ "a line that does not end", LINE_MAX_BYTES + 2, "", false },
};

/* Guards against a limit of the size that lets larger messages pass. */
START_TEST(test_line_size)
{
	static const char prefix[] = "QUERY a WRITE k ";
	size_t data_size = size_cases[_i].line_bytes - strlen(prefix);
	char *data = g_malloc(data_size);
	struct raw r;

	start_platform();
	raw_open(&r, 0);
	memset(data, '\n', data_size);
	raw_send(&r, START, strlen(START));
	raw_send(&r, prefix, strlen(prefix));
	raw_send(&r, data, data_size);
	raw_send(&r, size_cases[_i].end, strlen(size_cases[_i].end));
	if (size_cases[_i].is_accepted) {
		check_received(&r, size_cases[_i].label,
			       (struct bytes)BYTES(STARTED SIGNED("1", "I", "1")));
		raw_send(&r, "QUERY b READ k\r\n", strlen("QUERY b READ k\r\n"));
		raw_read(&r, strlen(STARTED) + data_size, READ_TIMEOUT_MS);
		ck_assert_ptr_nonnull(
			memmem(r.received->data, r.received->len, data, data_size - 1));
	} else {
		check_received(&r, size_cases[_i].label, (struct bytes)BYTES(STARTED));
		check_end(&r, size_cases[_i].label, true);
	}
	raw_close(&r);
	g_free(data);
	stop_standin();
}
END_TEST

#define FAULTS_MAX   2

#define READ_K(n)    ROW("none") SIGNED(n, "I", "0")
#define TWICE(bytes) bytes bytes

static const struct {
	struct {
		const char *name, *value;
	} faults[FAULTS_MAX];
	struct exchange exchange;
	uint32_t min_ms;    /* least duration of the exchange */
	unsigned min_reads; /* least number of packets */
} fault_cases[] = {
	{ { { "stutter", "every:1" } },
	  { "all answers twice", BYTES(START "QUERY a READ k\r\nQUERY b DROP\r\n"),
	    BYTES(TWICE(STARTED) TWICE(READ_K("1")) TWICE(ERROR("MALFORMED", "I", "0"))), false,
	    0 },
	  0,
	  0 },
	{ { { "stutter", "every:2" } },
	  { "every second answer",
	    BYTES(START "QUERY a READ k\r\nQUERY b READ k\r\nQUERY c READ k\r\n"),
	    BYTES(STARTED TWICE(READ_K("1")) READ_K("2") TWICE(READ_K("3"))), false, 0 },
	  0,
	  0 },
	{ { { "stutter", "every:1" }, { "stutter", "every:0" } },
	  { "the fault is ended", BYTES(START "QUERY a READ k\r\n"), BYTES(STARTED READ_K("1")),
	    false, 0 },
	  0,
	  0 },
	{ { { "stutter", "of:signed,every:1" } },
	  { "signed answers",
	    BYTES(START "QUERY - STATUS\r\nQUERY - BEGIN\r\nQUERY a READ k\r\nQUERY b COMMIT\r\n"
			"QUERY c DROP\r\n"),
	    BYTES(STARTED STATUS_ROW DONE("I", "0") DONE("T", "0") TWICE(ROW("none") SIGNED(
		    "1", "T", "0")) TWICE(SIGNED("2", "I", "0")) ERROR("MALFORMED", "I", "0")),
	    false, 0 },
	  0,
	  0 },
	{ { { "stutter", "every:2,of:signed" } },
	  { "the count covers signed answers only",
	    BYTES(START "QUERY a READ k\r\nQUERY b DROP\r\nQUERY c READ k\r\n"),
	    BYTES(STARTED READ_K("1") ERROR("MALFORMED", "I", "0") TWICE(READ_K("2"))), false, 0 },
	  0,
	  0 },
	{ { { "stutter", "every:1,of:error" } },
	  { "errors", BYTES(START "QUERY a READ k\r\nQUERY b DROP\r\n"),
	    BYTES(STARTED READ_K("1") TWICE(ERROR("MALFORMED", "I", "0"))), false, 0 },
	  0,
	  0 },
	{ { { "stutter", "every:1,of:own" } },
	  { "answers to own statements",
	    BYTES(START "QUERY - SET n v\r\nQUERY a SET n v\r\nQUERY - STATUS\r\nQUERY - BEGIN\r\n"
			"QUERY - ROLLBACK\r\n"),
	    BYTES(STARTED TWICE(DONE("I", "0")) DONE("I", "0") STATUS_ROW DONE("I", "0")
			  DONE("T", "0") TWICE(DONE("I", "0"))),
	    false, 0 },
	  0,
	  0 },
	{ { { "stutter", "every:1,of:begin" } },
	  { "answers to BEGIN", BYTES(START "QUERY - BEGIN\r\nQUERY - ROLLBACK\r\n"),
	    BYTES(STARTED TWICE(DONE("T", "0")) DONE("I", "0")), false, 0 },
	  0,
	  0 },
	{ { { "stutter", "every:1,of:status" } },
	  { "answers to STATUS", BYTES(START "QUERY - STATUS\r\nQUERY a READ k\r\n"),
	    BYTES(STARTED TWICE(STATUS_ROW DONE("I", "0")) READ_K("1")), false, 0 },
	  0,
	  0 },
	{ { { "stutter", "every:1,of:startup" } },
	  { "answers to STARTUP", BYTES(START "QUERY a READ k\r\n"),
	    BYTES(TWICE(STARTED) READ_K("1")), false, 0 },
	  0,
	  0 },
	{ { { "stutter", "every:1,of:signed,part:rows" } },
	  { "rows only, and nothing if there are none",
	    BYTES(START "QUERY a READ k\r\nQUERY b COMMIT\r\n"),
	    BYTES(STARTED READ_K("1") ROW("none") SIGNED("2", "I", "0")), false, 0 },
	  0,
	  0 },
	{ { { "stutter", "every:1,of:signed,part:head" } },
	  { "all but READY", BYTES(START "QUERY a READ k\r\n"),
	    BYTES(STARTED READ_K("1") ROW("none") "COMPLETE sig.i-core-1.1\r\n"), false, 0 },
	  0,
	  0 },
	{ { { "stutter", "part:ready,of:signed,every:1" } },
	  { "READY only", BYTES(START "QUERY a READ k\r\n"),
	    BYTES(STARTED READ_K("1") READY("I", "0")), false, 0 },
	  0,
	  0 },
	{ { { "stutter", "every:1,delay_ms:150,of:signed" } },
	  { "a delayed copy after a later answer",
	    BYTES(START "QUERY a READ k\r\nQUERY b READ k\r\n"),
	    BYTES(STARTED READ_K("1") READ_K("2") READ_K("1") READ_K("2")), false, 0 },
	  150,
	  0 },
	{ { { "split", "bytes:1" } },
	  { "split answers", BYTES(START "QUERY a READ k\r\nQUERY b READ k\r\n"),
	    BYTES(STARTED READ_K("1") READ_K("2")), false, 0 },
	  0,
	  10 },
	{ { { "split", "bytes:1" }, { "stutter", "every:1,of:signed" } },
	  { "split answers and copies", BYTES(START "QUERY a READ k\r\nQUERY b READ k\r\n"),
	    BYTES(STARTED TWICE(READ_K("1")) TWICE(READ_K("2"))), false, 0 },
	  0,
	  10 },
	{ { { "split", "bytes:7" }, { "split", "bytes:0" } },
	  { "answers are not split any more", BYTES(START "QUERY a READ k\r\n"),
	    BYTES(STARTED READ_K("1")), false, 0 },
	  0,
	  0 },
	{ { { "busy", "every:2" } },
	  { "BUSY without a run",
	    BYTES(START
		  "QUERY a READ k\r\nQUERY b WRITE k v\r\nQUERY - SET n v\r\nQUERY c READ k\r\n"
		  "QUERY - BEGIN\r\n"),
	    BYTES(STARTED READ_K("1") ERROR("BUSY", "I", "0") DONE("I", "0") READ_K("2")
			  ERROR("BUSY", "I", "0")),
	    false, 0 },
	  0,
	  0 },
	{ { { "busy", "every:3" } },
	  { "BUSY to a COMMIT",
	    BYTES(START "QUERY - BEGIN\r\nQUERY a WRITE k v\r\nQUERY b COMMIT\r\n"
			"QUERY - ROLLBACK\r\nQUERY c READ k\r\n"),
	    BYTES(STARTED DONE("T", "0") SIGNED("1", "T", "0") ERROR("BUSY", "E", "0")
			  DONE("I", "0") READ_K("2")),
	    false, 0 },
	  0,
	  0 },
	{ { { "lose", "2" } },
	  { "a result is lost after its row", BYTES(START "QUERY a READ k\r\nQUERY b READ k\r\n"),
	    BYTES(STARTED READ_K("1") ROW("none")), false, 0 },
	  0,
	  0 },
	{ { { "refuse-set", "1" } },
	  { "a SET fails", BYTES(START "QUERY - SET n v\r\nQUERY - SET n v\r\n"),
	    BYTES(STARTED ERROR("FAILED", "I", "0") DONE("I", "0")), false, 0 },
	  0,
	  0 },
	{ { { "conn-limit", "1" } },
	  { "the connection limit is not reached", BYTES(START), BYTES(STARTED), false, 0 },
	  0,
	  0 },
};

/* Guards against faults that change other bytes than they should, or are not played at all. */
START_TEST(test_fault)
{
	gint64 start_us;
	const struct exchange *x = &fault_cases[_i].exchange;
	struct raw r;

	start_platform();
	for (int i = 0; i < FAULTS_MAX && fault_cases[_i].faults[i].name; i++)
		inject_fault(fault_cases[_i].faults[i].name, fault_cases[_i].faults[i].value);
	raw_open(&r, 0);
	start_us = g_get_monotonic_time();
	raw_send(&r, x->input.data, x->input.size);
	check_received(&r, x->label, x->expected);
	ck_assert_msg(g_get_monotonic_time() - start_us >= fault_cases[_i].min_ms * 1000, "%s",
		      x->label);
	ck_assert_msg(r.reads >= fault_cases[_i].min_reads, "%s: %u packets", x->label, r.reads);
	check_end(&r, x->label, x->closes);
	raw_close(&r);
	stop_standin();
}
END_TEST

static const struct {
	const char *name, *value;
} malformed_faults[] = {
	{ "stutter", "" },
	{ "stutter", "1" },
	{ "stutter", "every:" },
	{ "stutter", "every:x" },
	{ "stutter", "every:-1" },
	{ "stutter", "delay_ms:5" },
	{ "stutter", "every:1,of:none" },
	{ "stutter", "every:1,part:tail" },
	{ "stutter", "every:1,when:now" },
	{ "stutter", "every:1," },
	{ "cut", "1" },
	{ "cut", "every:1,of:all" },
	{ "split", "3" },
	{ "split", "bytes:all" },
	{ "busy", "every" },
	{ "record", "keep" },
	{ "lose", "some" },
	{ "no-such", "1" },
	{ "crash", "no-such" },
};

/* Guards against a fault that is mistyped in a test and then silently not played. */
START_TEST(test_malformed_fault_is_refused)
{
	start_platform();
	for (size_t i = 0; i < PW_ARRAY_LEN(malformed_faults); i++) {
		char *path = g_strdup_printf("/fault?name=%s&value=%s", malformed_faults[i].name,
					     malformed_faults[i].value);
		char *body = http_request(platform->port, path, "");

		ck_assert_msg(!body, "%s is accepted", path);
		g_free(path);
	}
	stop_standin();
}
END_TEST

#define CUT_COUNT 40

/* Returns the signature that the record has of the statement with this id. The caller frees it. */
static char *recorded_signature(const char *id, bool *runs)
{
	json_t *root = fetch_record();
	const json_t *entry;
	char *signature = NULL;
	size_t i;

	json_array_foreach (root, i, entry) {
		if (g_strcmp0(json_string_value(json_object_get(entry, "id")), id) != 0)
			continue;
		g_free(signature);
		signature = g_strdup(json_string_value(json_object_get(entry, "signature")));
		*runs = json_is_true(json_object_get(entry, "runs"));
	}
	json_decref(root);
	return signature;
}

/* Guards against cuts that fall between lines only, and against a cut statement that has not run.
 */
START_TEST(test_cut)
{
	static const char query[] = START "QUERY a DROP\r\nQUERY q READ k\r\nQUERY n READ k\r\n";
	static const char before[] = STARTED ERROR("MALFORMED", "I", "0");
	unsigned inside_line = 0, with_signature = 0;

	start_platform();
	inject_fault("cut", "every:1");
	for (int i = 1; i <= CUT_COUNT; i++) {
		char *answer = g_strdup_printf(ROW("none") SIGNED("%d", "I", "0"), i);
		char *signature;
		bool runs = false, complete;
		struct raw r;
		const char *data;
		size_t size;

		raw_open(&r, 0);
		raw_send(&r, query, strlen(query));
		raw_read(&r, SIZE_MAX, READ_TIMEOUT_MS);
		ck_assert(r.ended);
		ck_assert_uint_ge(r.received->len, strlen(before));
		ck_assert_int_eq(memcmp(r.received->data, before, strlen(before)), 0);
		data = (const char *)r.received->data + strlen(before);
		size = r.received->len - strlen(before);
		ck_assert_uint_lt(size, strlen(answer));
		ck_assert_int_eq(memcmp(data, answer, size), 0);
		inside_line += size && data[size - 1] != '\n';
		signature = recorded_signature("q", &runs);
		complete = size >= (size_t)(strstr(answer, "READY") - answer);
		with_signature += complete;
		ck_assert(runs);
		ck_assert_int_eq(*signature != '\0', complete);
		g_free(signature);
		g_free(answer);
		raw_close(&r);
	}
	ck_assert_uint_gt(inside_line, CUT_COUNT / 2);
	ck_assert_uint_gt(with_signature, 0);
	ck_assert_uint_lt(with_signature, CUT_COUNT);
	stop_standin();
}
END_TEST

/* Guards against a count of cuts over all connections that skips or adds answers. */
START_TEST(test_cut_of_a_write_has_run)
{
	struct exchange after = { "after the cut", BYTES(START "QUERY c READ k\r\n"),
				  BYTES(READY("I", "2") ROW("w") SIGNED("3", "I", "2")), false, 0 };
	struct raw r;

	start_platform();
	inject_fault("cut", "every:2");
	raw_open(&r, 0);
	raw_send(&r, START "QUERY a WRITE k v\r\n", strlen(START "QUERY a WRITE k v\r\n"));
	check_received(&r, "not cut", (struct bytes)BYTES(STARTED SIGNED("1", "I", "1")));
	raw_send(&r, "QUERY b WRITE k w\r\n", strlen("QUERY b WRITE k w\r\n"));
	raw_read(&r, SIZE_MAX, READ_TIMEOUT_MS);
	ck_assert(r.ended);
	ck_assert_uint_lt(r.received->len,
			  strlen(STARTED SIGNED("1", "I", "1")) + strlen(SIGNED("2", "I", "2")));
	raw_close(&r);
	check_exchange(&after);
	stop_standin();
}
END_TEST

/* Guards against a delayed copy that reaches a later connection, or ends the stand-in. */
START_TEST(test_copy_is_dropped_with_its_connection)
{
	struct exchange later = { "a later connection", BYTES(START "QUERY b SET n v\r\n"),
				  BYTES(STARTED DONE("I", "0")), false, 0 };
	struct raw r;

	start_platform();
	inject_fault("stutter", "every:1,delay_ms:40,of:signed");
	for (int i = 1; i <= 3; i++) {
		char *expected = g_strdup_printf(STARTED ROW("none") SIGNED("%d", "I", "0"), i);

		raw_open(&r, 0);
		raw_send(&r, START "QUERY a READ k\r\n", strlen(START "QUERY a READ k\r\n"));
		check_received(&r, "before the copy", (struct bytes){ expected, strlen(expected) });
		raw_close(&r);
		g_free(expected);
	}
	check_exchange(&later);
	stop_standin();
}
END_TEST

static const struct {
	const char *label;
	const char *fault, *value; /* NULL: none */
	struct bytes input;
	unsigned answers;     /* number of READY lines */
	const char *expected; /* entries, with some of their fields and with base64 decoded */
} record_cases[] = {
	{ "own statements are not recorded", NULL, NULL,
	  BYTES(START "QUERY - SET n v\r\nQUERY - STATUS\r\n"), 3, "[]" },
	{ "a read", NULL, NULL, BYTES(START "QUERY a WAITLSN 1.0 READ k \r\n"), 2,
	  "[{'id':'a','server':'i-core-1','account':'amber','text':'READ k ','runs':true,'code':'',"
	  "'signature':'sig.i-core-1.1','rows':['none'],'item':'k ','data':'','shape':'',"
	  "'kind':'read','in_transaction':false,'transaction':0,'committed':false,'values':{}}]" },
	{ "a write", NULL, NULL, BYTES(START "QUERY a WRITE k  x\n\0\r\xc3\xa9 \r\n"), 2,
	  "[{'text':'WRITE k  x\\n\\u0000\\r\xc3\xa9 ','runs':true,'rows':[],'item':'k',"
	  "'data':' x\\n\\u0000\\r\xc3\xa9 ','kind':'write','committed':true}]" },
	{ "EXECUTE", NULL, NULL,
	  BYTES(START "QUERY - PREPARE p WRITE s t \r\nQUERY a EXECUTE p k  v \r\n"
		      "QUERY b EXECUTE q k\r\n"),
	  4,
	  "[{'text':'EXECUTE p k  v ','item':'k','data':' v ','shape':'s t ','kind':'write',"
	  "'runs':true,'committed':true},"
	  "{'text':'EXECUTE q k','item':'','shape':'','kind':'other','runs':false,"
	  "'code':'NOSTMT','signature':''}]" },
	{ "a committed transaction", NULL, NULL,
	  BYTES(START "QUERY - BEGIN\r\nQUERY a WRITE k v\r\nQUERY b READ k\r\nQUERY c COMMIT\r\n"
		      "QUERY d BEGIN\r\nQUERY e READ k\r\nQUERY f ROLLBACK\r\n"),
	  8,
	  "[{'id':'a','in_transaction':true,'transaction':1,'committed':true},"
	  "{'id':'b','in_transaction':true,'transaction':1,'committed':false},"
	  "{'id':'c','in_transaction':true,'transaction':1,'kind':'commit'},"
	  "{'id':'d','in_transaction':false,'kind':'other','runs':true,'signature':''},"
	  "{'id':'e','in_transaction':true,'transaction':2},"
	  "{'id':'f','in_transaction':true,'transaction':2,'kind':'other'}]" },
	{ "a rolled back transaction", NULL, NULL,
	  BYTES(START "QUERY - BEGIN\r\nQUERY a WRITE k v\r\nQUERY - ROLLBACK\r\n"), 4,
	  "[{'id':'a','runs':true,'transaction':1,'committed':false}]" },
	{ "values of the connection", NULL, NULL,
	  BYTES(START
		"QUERY - SET n  v \r\nQUERY a READ k\r\nQUERY b SET m \r\nQUERY c READ k\r\n"),
	  5,
	  "[{'id':'a','values':{'n':' v '}},{'id':'b','kind':'other','item':'','data':''},"
	  "{'id':'c','values':{'n':' v ','m':''}}]" },
	{ "refused statements", NULL, NULL,
	  BYTES(START "QUERY a COMMIT \r\nQUERY b WAITLSN 1.4 READ k\r\nQUERY c BEGIN READ\r\n"
		      "QUERY d WRITE k v\r\n"),
	  5,
	  "[{'id':'a','text':'COMMIT ','runs':false,'code':'MALFORMED','kind':'other'},"
	  "{'id':'b','text':'READ k','runs':false,'code':'LAGGING','kind':'read','rows':[]},"
	  "{'id':'c','runs':true,'code':''},"
	  "{'id':'d','runs':false,'code':'READONLY','kind':'write','committed':false}]" },
	{ "BUSY", "busy", "every:1", BYTES(START "QUERY a WRITE k v\r\n"), 2,
	  "[{'runs':false,'code':'BUSY','signature':'','committed':false,'kind':'write'}]" },
	{ "a copy is no second statement", "stutter", "every:1,of:signed",
	  BYTES(START "QUERY a READ k\r\n"), 3,
	  "[{'id':'a','signature':'sig.i-core-1.1','rows':['none']}]" },
	{ "a lost result", "lose", "1", BYTES(START "QUERY a WRITE k v\r\nQUERY b DROP\r\n"), 2,
	  "[{'id':'a','runs':true,'code':'','signature':'','committed':true},"
	  "{'id':'b','runs':false}]" },
	{ "a failed SET has run", "refuse-set", "1", BYTES(START "QUERY a SET n v\r\n"), 2,
	  "[{'id':'a','runs':true,'code':'FAILED'}]" },
	{ "a statement that has a run time", "work", "20", BYTES(START "QUERY a READ k\r\n"), 2,
	  "[{'id':'a','runs':true,'signature':'sig.i-core-1.1','rows':['none']}]" },
};

/* Returns a base64 string decoded; decodes the members of arrays and objects as well. */
static json_t *decode_base64(const json_t *value)
{
	json_t *out, *member;
	const char *name;
	size_t i, size;
	guchar *data;

	if (json_is_array(value)) {
		out = json_array();
		json_array_foreach (value, i, member)
			json_array_append_new(out, decode_base64(member));
		return out;
	}
	if (json_is_object(value)) {
		out = json_object();
		json_object_foreach ((json_t *)(uintptr_t)value, name, member)
			json_object_set_new(out, name, decode_base64(member));
		return out;
	}
	data = g_base64_decode(json_string_value(value), &size);
	out = json_stringn((const char *)data, size);
	g_free(data);
	return out;
}

/* Checks the fields of an entry that are in `expected`. */
static void check_entry(const char *label, const json_t *actual, json_t *expected)
{
	static const char *const encoded[] = { "text", "rows", "item", "data", "shape", "values" };
	const char *name;
	json_t *value;

	json_object_foreach (expected, name, value) {
		json_t *field = json_object_get(actual, name);
		bool is_encoded = false;
		char *text;

		ck_assert_msg(field != NULL, "%s: no field %s", label, name);
		for (size_t i = 0; i < PW_ARRAY_LEN(encoded); i++)
			is_encoded |= strcmp(encoded[i], name) == 0;
		field = is_encoded ? decode_base64(field) : json_incref(field);
		text = json_dumps(field, JSON_ENCODE_ANY);
		ck_assert_msg(json_equal(field, value), "%s: %s is %s", label, name, text);
		free(text);
		json_decref(field);
	}
}

/* Reads until the server has sent `count` READY lines. */
static void read_answers(struct raw *r, unsigned count, const char *label)
{
	unsigned ready = 0;

	for (size_t i = 0; ready < count; i++) {
		raw_read(r, i + strlen("READY "), READ_TIMEOUT_MS);
		ck_assert_msg(r->received->len >= i + strlen("READY "), "%s: %u answers", label,
			      ready);
		ready += memcmp(r->received->data + i, "READY ", strlen("READY ")) == 0;
	}
}

/* Guards against a record that tells something else than what the servers did. */
START_TEST(test_record)
{
	char *text = g_strdelimit(g_strdup(record_cases[_i].expected), "'", '"');
	json_t *expected = json_loads(text, JSON_ALLOW_NUL, NULL), *actual, *entry;
	const char *label = record_cases[_i].label;
	struct raw r;
	size_t i;

	ck_assert_ptr_nonnull(expected);
	start_platform();
	if (record_cases[_i].fault)
		inject_fault(record_cases[_i].fault, record_cases[_i].value);
	raw_open(&r, 0);
	raw_send(&r, record_cases[_i].input.data, record_cases[_i].input.size);
	read_answers(&r, record_cases[_i].answers, label);
	actual = fetch_record();
	ck_assert_msg(json_array_size(actual) == json_array_size(expected), "%s: %zu entries",
		      label, json_array_size(actual));
	json_array_foreach (expected, i, entry)
		check_entry(label, json_array_get(actual, i), entry);
	json_decref(actual);
	inject_fault("record", "clear");
	actual = fetch_record();
	ck_assert_uint_eq(json_array_size(actual), 0);
	json_decref(actual);
	json_decref(expected);
	raw_close(&r);
	g_free(text);
	stop_standin();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("platform stand-in");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_loop_test(tc, test_messages, 0, PW_ARRAY_LEN(message_cases));
	tcase_add_test(tc, test_message_split_at_each_byte);
	tcase_add_loop_test(tc, test_line_size, 0, PW_ARRAY_LEN(size_cases));
	tcase_add_loop_test(tc, test_fault, 0, PW_ARRAY_LEN(fault_cases));
	tcase_add_test(tc, test_malformed_fault_is_refused);
	tcase_add_test(tc, test_cut);
	tcase_add_test(tc, test_cut_of_a_write_has_run);
	tcase_add_test(tc, test_copy_is_dropped_with_its_connection);
	tcase_add_loop_test(tc, test_record, 0, PW_ARRAY_LEN(record_cases));
	return pw_suite_run("platform stand-in", tc);
}
