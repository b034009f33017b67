/*
 * Tests of the platform's line protocol: decoding of valid and malformed messages of callers and
 * servers, and encoding of the messages to both.
 */
#include "suite.h"

#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "pw/core/error.h"
#include "pw/platform/platform.h"

static const struct {
	const char *line;
	int expected_rc;
	enum pw_caller_message_kind kind;
	enum pw_verb verb;
	const char *id, *name, *argument; /* STARTUP: `id` is the database, `name` the key */
	bool prepares_write;
} caller_messages[] = {
	{ "STARTUP lepu270 u3f1\r\n", PW_OK, PW_CALLER_MESSAGE_STARTUP, 0, "lepu270", "u3f1", NULL,
	  false },
	{ "STARTUP lepu270\r\n", PW_OK, PW_CALLER_MESSAGE_STARTUP, 0, "lepu270", "", NULL, false },
	{ "STARTUP\r\n", PW_EINVALID, 0, 0, NULL, NULL, NULL, false },
	{ "TERMINATE\r\n", PW_OK, PW_CALLER_MESSAGE_TERMINATE, 0, NULL, NULL, NULL, false },
	{ "TERMINATE\n", PW_EAGAIN, 0, 0, NULL, NULL, NULL, false },
	{ "QUERY 5c BEGIN\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_BEGIN, "5c", NULL, NULL,
	  false },
	{ "QUERY 5c BEGIN READ\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_BEGIN_READ, "5c",
	  NULL, NULL, false },
	{ "QUERY 5c BEGIN WRITE\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL,
	  false },
	{ "QUERY 5c COMMIT\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_COMMIT, "5c", NULL,
	  NULL, false },
	{ "QUERY 5c COMMIT now\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL,
	  false },
	{ "QUERY 5c ROLLBACK\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_ROLLBACK, "5c", NULL,
	  NULL, false },
	{ "QUERY 5c READ 1a4\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_READ, "5c", NULL,
	  "1a4", false },
	{ "QUERY 5c READ\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL, false },
	{ "QUERY 5c WRITE 1a4  two blanks \r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_WRITE,
	  "5c", NULL, "1a4  two blanks ", false },
	{ "QUERY 5c SET zone north west\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_SET, "5c",
	  "zone", "north west", false },
	{ "QUERY 5c SET\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL, false },
	{ "QUERY 5c PREPARE s1 WRITE q2c\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_PREPARE,
	  "5c", "s1", "q2c", true },
	{ "QUERY 5c PREPARE s1 READ q2c\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_PREPARE,
	  "5c", "s1", "q2c", false },
	{ "QUERY 5c PREPARE s1 DROP q2c\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL,
	  NULL, false },
	{ "QUERY 5c EXECUTE s1 1a4 xkq\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_EXECUTE,
	  "5c", "s1", "1a4 xkq", false },
	{ "QUERY 5c EXECUTE s1\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL,
	  false },
	{ "QUERY 5c EXECUTE s1 \r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL,
	  false },
	{ "QUERY 5c PREPARE s1 READ\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL,
	  false },
	{ "QUERY 5c SET zone \r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_SET, "5c", "zone",
	  "", false },
	{ "QUERY 5c CLOSE s1\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_DEALLOCATE, "5c",
	  "s1", NULL, false },
	{ "QUERY 5c WAITLSN 3.1 READ 1a4\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL,
	  NULL, false },
	/* A bare LF or CR is data. */
	{ "QUERY 5c WRITE k abc\nfcta\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_WRITE, "5c",
	  NULL, "k abc\nfcta", false },
	{ "QUERY 5c WRITE k1 x\nQUERY zz WRITE k2 smuggled\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT,
	  PW_VERB_WRITE, "5c", NULL, "k1 x\nQUERY zz WRITE k2 smuggled", false },
	{ "QUERY 5c EXECUTE s# # lzoz\nfcta\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT,
	  PW_VERB_EXECUTE, "5c", "s#", "# lzoz\nfcta", false },
	{ "QUERY 5c WRITE k \r\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_WRITE, "5c", NULL,
	  "k \r", false },
	{ "QUERY 5c SET zone \n\xff\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_SET, "5c",
	  "zone", "\n\xff", false },
	{ "QUERY 5c READ 1a4\n", PW_EAGAIN, 0, 0, NULL, NULL, NULL, false },
	{ "QUERY 5c READ 1a4\r", PW_EAGAIN, 0, 0, NULL, NULL, NULL, false },
	/* Texts that are almost one of the protocol's statements. */
	{ "QUERY 5c COMMIT \r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL, false },
	{ "QUERY 5c BEGIN \r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL, false },
	{ "QUERY 5c BEGIN READ \r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL,
	  false },
	{ "QUERY 5c ROLLBACK \r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL,
	  false },
	{ "QUERY 5c CLOSE s1 \r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL,
	  false },
	{ "QUERY 5c SET zone\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL, false },
	{ "QUERY 5c WRITE 1a4\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL,
	  false },
	{ "QUERY 5c WRITE  v\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL, false },
	{ "QUERY 5c commit\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL, false },
	{ "QUERY 5c COMMIT\n\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL, false },
	{ "QUERY 5c  COMMIT\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL, false },
	{ "QUERY 5c\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL, false },
	{ "QUERY\r\n", PW_EINVALID, 0, 0, NULL, NULL, NULL, false },
	{ "GET / HTTP/1.1\r\n", PW_EINVALID, 0, 0, NULL, NULL, NULL, false },
	{ "\r\n", PW_EINVALID, 0, 0, NULL, NULL, NULL, false },
	{ "QUERY 5c READ 1a4", PW_EAGAIN, 0, 0, NULL, NULL, NULL, false },
	{ "", PW_EAGAIN, 0, 0, NULL, NULL, NULL, false },
};

static void check_text(const char *line, const char *actual, const char *expected)
{
	ck_assert_msg(g_strcmp0(actual, expected) == 0, "%s: decoded text is %s", line, actual);
}

/* Compares bytes with a string; NULL: there are none. */
static void check_bytes(const char *line, const GBytes *actual, const char *expected)
{
	gsize size_bytes = 0;
	const void *data =
		actual ? g_bytes_get_data((GBytes *)(uintptr_t)actual, &size_bytes) : NULL;

	ck_assert_msg(!actual == !expected, "%s: decoded bytes are %smissing", line,
		      actual ? "not " : "");
	if (!actual)
		return;
	ck_assert_msg(size_bytes == strlen(expected) &&
			      (!size_bytes || memcmp(data, expected, size_bytes) == 0),
		      "%s: decoded bytes are not %s", line, expected);
}

static GBytes *bytes_of(const char *text)
{
	return g_bytes_new_static(text, strlen(text));
}

/*
 * Guards against a message of a caller that is decoded wrongly, and against one that is accepted
 * although it is malformed or incomplete.
 */
START_TEST(test_caller_message)
{
	const char *line = caller_messages[_i].line;
	struct pw_caller_message c;
	uint32_t used_bytes = 0;
	int rc = pw_platform_caller_dialect.ops->decode_next(&c, (const uint8_t *)line,
							     (uint32_t)strlen(line), &used_bytes);

	ck_assert_msg(rc == caller_messages[_i].expected_rc, "%s: returned %d", line, rc);
	if (!rc) {
		ck_assert_uint_eq(used_bytes, strlen(line));
		ck_assert_msg(c.kind == caller_messages[_i].kind, "%s: kind %d", line, c.kind);
	}
	if (!rc && c.kind == PW_CALLER_MESSAGE_STARTUP) {
		check_text(line, c.database, caller_messages[_i].id);
		check_text(line, c.key, caller_messages[_i].name);
	} else if (!rc && c.kind != PW_CALLER_MESSAGE_TERMINATE) {
		check_text(line, c.statement->id, caller_messages[_i].id);
	}
	if (!rc && c.kind == PW_CALLER_MESSAGE_STATEMENT) {
		ck_assert_msg(c.statement->verb == caller_messages[_i].verb, "%s: wrong verb",
			      line);
		check_text(line, c.statement->name, caller_messages[_i].name);
		check_bytes(line, c.statement->argument, caller_messages[_i].argument);
		ck_assert(c.statement->prepares_write == caller_messages[_i].prepares_write);
	}
	pw_caller_message_dispose(&c);
}
END_TEST

#define SIZED(s) (s), sizeof(s) - 1

static const struct {
	const char *line;
	uint32_t line_bytes;
	int expected_rc;
	enum pw_caller_message_kind kind;
	const char *argument;
	size_t argument_bytes;
} zero_byte_caller_messages[] = {
	{ SIZED("QUERY 5c WRITE 1a4\0 and more\r\n"), PW_OK, PW_CALLER_MESSAGE_STATEMENT,
	  SIZED("1a4\0 and more") },
	{ SIZED("QUERY 5c READ \0\r\n"), PW_OK, PW_CALLER_MESSAGE_STATEMENT, SIZED("\0") },
	{ SIZED("QUERY 5c SET zone \0\0\r\n"), PW_OK, PW_CALLER_MESSAGE_STATEMENT, SIZED("\0\0") },
	{ SIZED("QUERY 5c PREPARE s1 READ a\0b\r\n"), PW_OK, PW_CALLER_MESSAGE_STATEMENT,
	  SIZED("a\0b") },
	{ SIZED("QUERY 5c EXECUTE s1 a\0b\r\n"), PW_OK, PW_CALLER_MESSAGE_STATEMENT,
	  SIZED("a\0b") },
	{ SIZED("QUERY 5c EXECUTE s\0 1a4\r\n"), PW_OK, PW_CALLER_MESSAGE_MALFORMED, NULL, 0 },
	{ SIZED("QUERY 5c SET zo\0ne v\r\n"), PW_OK, PW_CALLER_MESSAGE_MALFORMED, NULL, 0 },
	{ SIZED("QUERY 5\0c READ 1a4\r\n"), PW_OK, PW_CALLER_MESSAGE_MALFORMED, NULL, 0 },
	{ SIZED("QUERY 5c COMMIT\0\r\n"), PW_OK, PW_CALLER_MESSAGE_MALFORMED, NULL, 0 },
	{ SIZED("STARTUP des\0k u3f1\r\n"), PW_EINVALID, 0, NULL, 0 },
	{ SIZED("STARTUP desk u3f1\0\r\n"), PW_EINVALID, 0, NULL, 0 },
	{ SIZED("TERMINATE\0\r\n"), PW_EINVALID, 0, NULL, 0 },
};

/* Guards against a text that is truncated at a zero byte, or refused because of one in data. */
START_TEST(test_zero_byte_of_caller)
{
	const char *line = zero_byte_caller_messages[_i].line;
	struct pw_caller_message c;
	uint32_t used_bytes;
	int rc = pw_platform_caller_dialect.ops->decode_next(
		&c, (const uint8_t *)line, zero_byte_caller_messages[_i].line_bytes, &used_bytes);

	ck_assert_msg(rc == zero_byte_caller_messages[_i].expected_rc, "%s: returned %d", line, rc);
	if (!rc) {
		ck_assert_uint_eq(used_bytes, zero_byte_caller_messages[_i].line_bytes);
		ck_assert_msg(c.kind == zero_byte_caller_messages[_i].kind, "%s: kind %d", line,
			      c.kind);
		ck_assert_ptr_nonnull(c.statement->id);
	}
	if (!rc && c.kind == PW_CALLER_MESSAGE_STATEMENT) {
		gsize size_bytes;
		const void *data = g_bytes_get_data(c.statement->argument, &size_bytes);

		ck_assert_uint_eq(size_bytes, zero_byte_caller_messages[_i].argument_bytes);
		ck_assert_mem_eq(data, zero_byte_caller_messages[_i].argument, size_bytes);
	}
	pw_caller_message_dispose(&c);
}
END_TEST

static const struct {
	const char *line;
	uint32_t line_bytes;
	int expected_rc;
	const char *row;
	size_t row_bytes;
} zero_byte_server_messages[] = {
	{ SIZED("DATAROW qhz\0kwm\r\n"), PW_OK, SIZED("qhz\0kwm") },
	{ SIZED("COMPLETE 7\0f\r\n"), PW_EINVALID, NULL, 0 },
	{ SIZED("ERROR FAILED wh\0y\r\n"), PW_EINVALID, NULL, 0 },
	{ SIZED("ERROR FAI\0LED why\r\n"), PW_EINVALID, NULL, 0 },
	{ SIZED("READY I\0 -\r\n"), PW_EINVALID, NULL, 0 },
	{ SIZED("READY I 3.1\0\r\n"), PW_EINVALID, NULL, 0 },
	{ SIZED("DATAROW\0 qhz\r\n"), PW_EINVALID, NULL, 0 },
};

/* Guards against a row or text that is truncated at a zero byte. */
START_TEST(test_zero_byte_of_server)
{
	const char *line = zero_byte_server_messages[_i].line;
	struct pw_reply r;
	uint32_t used_bytes;
	int rc = pw_platform_server_dialect.ops->decode_next(
		&r, (const uint8_t *)line, zero_byte_server_messages[_i].line_bytes, &used_bytes);

	ck_assert_msg(rc == zero_byte_server_messages[_i].expected_rc, "%s: returned %d", line, rc);
	if (!rc) {
		gsize size_bytes;
		const void *data = g_bytes_get_data(r.row, &size_bytes);

		ck_assert_uint_eq(size_bytes, zero_byte_server_messages[_i].row_bytes);
		ck_assert_mem_eq(data, zero_byte_server_messages[_i].row, size_bytes);
	}
	pw_reply_dispose(&r);
}
END_TEST

/*
 * Guards against a message above the size limit that is buffered until its line end arrives,
 * instead of being rejected.
 */
START_TEST(test_oversized)
{
	uint32_t size = PW_DIALECT_MESSAGE_MAX_BYTES + 2, used_bytes;
	uint8_t *data = g_malloc(size);
	struct pw_caller_message c;

	memset(data, 'x', size);
	ck_assert_int_eq(pw_platform_caller_dialect.ops->decode_next(&c, data, size, &used_bytes),
			 PW_EOVERFLOW);
	ck_assert_int_eq(pw_platform_caller_dialect.ops->decode_next(
				 &c, data, PW_DIALECT_MESSAGE_MAX_BYTES, &used_bytes),
			 PW_EAGAIN);
	/* The LF of a line end that is late by one byte. */
	data[size - 1] = '\r';
	ck_assert_int_eq(pw_platform_caller_dialect.ops->decode_next(&c, data, size, &used_bytes),
			 PW_EOVERFLOW);
	g_free(data);
}
END_TEST

static const struct {
	const char *start;    /* of a message that is filled up with data */
	uint32_t added_bytes; /* at most, by the proxy: a prefix, and a longer name */
} large_statements[] = {
	{ "QUERY 5c READ ", 50 },
	{ "QUERY 5c WRITE 1a4 ", 0 },
	{ "QUERY 5c SET zone ", 0 },
	{ "QUERY 5c PREPARE s READ ", 10 },
	{ "QUERY 5c PREPARE as-long-ok1 READ ", 0 },
	{ "QUERY 5c EXECUTE s 1a4 ", 60 },
};

static GByteArray *fill_line(const char *start, uint32_t size_bytes)
{
	GByteArray *b = g_byte_array_new();

	g_byte_array_set_size(b, size_bytes);
	memset(b->data, 'x', size_bytes);
	memcpy(b->data, start, strlen(start));
	memcpy(b->data + size_bytes - 2, "\r\n", 2);
	return b;
}

/*
 * Guards against a statement that the proxy makes larger than a message may be, and against one
 * within the limit that is refused or ends the session.
 */
START_TEST(test_large_statement)
{
	const struct pw_position floor = { .term = UINT64_MAX, .lsn = UINT64_MAX };
	uint32_t limit = PW_DIALECT_MESSAGE_MAX_BYTES - large_statements[_i].added_bytes;

	for (uint32_t excess = 0; excess <= large_statements[_i].added_bytes + 2; excess++) {
		GByteArray *line = fill_line(large_statements[_i].start, limit + excess);
		GByteArray *b = g_byte_array_new();
		struct pw_caller_message c;
		uint32_t used_bytes = 0;

		ck_assert_int_eq(pw_platform_caller_dialect.ops->decode_next(
					 &c, line->data, line->len, &used_bytes),
				 PW_OK);
		ck_assert_uint_eq(used_bytes, line->len);
		ck_assert_msg(c.kind == (excess ? PW_CALLER_MESSAGE_TOO_LARGE
						: PW_CALLER_MESSAGE_STATEMENT),
			      "%s, %u bytes: kind %d", large_statements[_i].start, line->len,
			      c.kind);
		ck_assert_str_eq(c.statement->id, "5c");
		if (c.statement->verb == PW_VERB_READ || c.statement->verb == PW_VERB_EXECUTE)
			pw_platform_server_dialect.ops->put_statement(
				b, c.statement,
				c.statement->verb == PW_VERB_EXECUTE ? "p4294967295" : NULL,
				&floor);
		ck_assert_msg(excess || b->len <= PW_DIALECT_MESSAGE_MAX_BYTES,
			      "%s: %u bytes at the server", large_statements[_i].start, b->len);
		pw_caller_message_dispose(&c);
		g_byte_array_unref(b);
		g_byte_array_unref(line);
	}
}
END_TEST

static const struct {
	const char *text;
	uint32_t size_bytes; /* of the text, repeated; 0: once */
	const char *expected_start;
} error_texts[] = {
	{ "why\r\nREADY I -\r\n", 0, "ERROR FAILED why\r\n" },
	{ "\r\n", 0, "ERROR FAILED \r\n" },
	{ "why\nnot\r", 0, "ERROR FAILED why\nnot\r\r\n" },
	{ "x", PW_DIALECT_MESSAGE_MAX_BYTES - 15, "ERROR FAILED xxx" },
	{ "x", PW_DIALECT_MESSAGE_MAX_BYTES - 14, "ERROR FAILED xxx" },
	{ "x", PW_DIALECT_MESSAGE_MAX_BYTES + 1, "ERROR FAILED xxx" },
};

/* Guards against an error text that ends its message early or makes it too large. */
START_TEST(test_error_text)
{
	const char *expected = error_texts[_i].expected_start;
	char *text = error_texts[_i].size_bytes
			     ? g_strnfill(error_texts[_i].size_bytes, *error_texts[_i].text)
			     : g_strdup(error_texts[_i].text);
	GByteArray *b = g_byte_array_new();

	pw_platform_caller_dialect.ops->put_error(b, PW_REASON_FAILED, text);
	ck_assert_uint_ge(b->len, strlen(expected));
	ck_assert_mem_eq(b->data, expected, strlen(expected));
	ck_assert_mem_eq(b->data + b->len - 2, "\r\n", 2);
	ck_assert_ptr_eq(memmem(b->data, b->len, "\r\n", 2), b->data + b->len - 2);
	if (error_texts[_i].size_bytes)
		ck_assert_uint_eq(
			b->len, MIN(error_texts[_i].size_bytes + 15, PW_DIALECT_MESSAGE_MAX_BYTES));
	else
		ck_assert_uint_eq(b->len, strlen(expected));
	g_byte_array_unref(b);
	g_free(text);
}
END_TEST

static const struct {
	const char *line;
	int expected_rc;
	enum pw_reply_kind kind;
	const char *text;
	enum pw_reason reason;
	enum pw_session_state state;
	uint64_t term, lsn; /* 0: no position */
} server_messages[] = {
	{ "DATAROW qhz kwm\r\n", PW_OK, PW_REPLY_ROW, "qhz kwm", 0, 0, 0, 0 },
	{ "DATAROW qhz\nkwm\r\r\n", PW_OK, PW_REPLY_ROW, "qhz\nkwm\r", 0, 0, 0, 0 },
	{ "DATAROW\r\n", PW_OK, PW_REPLY_ROW, NULL, 0, 0, 0, 0 },
	{ "DATAROW \r\n", PW_OK, PW_REPLY_ROW, "", 0, 0, 0, 0 },
	{ "DATAROW  \r\n", PW_OK, PW_REPLY_ROW, " ", 0, 0, 0, 0 },
	{ "DATAROW qhz\n", PW_EAGAIN, 0, NULL, 0, 0, 0, 0 },
	{ "COMPLETE 7.1f3.c\r\n", PW_OK, PW_REPLY_COMPLETE, "7.1f3.c", 0, 0, 0, 0 },
	{ "COMPLETE -\r\n", PW_OK, PW_REPLY_COMPLETE, NULL, 0, 0, 0, 0 },
	{ "COMPLETE \r\n", PW_OK, PW_REPLY_COMPLETE, NULL, 0, 0, 0, 0 },
	{ "ERROR READONLY i-7f3a91c2\r\n", PW_OK, PW_REPLY_ERROR, "i-7f3a91c2",
	  PW_REASON_NOT_PRIMARY, 0, 0, 0 },
	{ "ERROR BUSY\r\n", PW_OK, PW_REPLY_ERROR, NULL, PW_REASON_BUSY, 0, 0, 0 },
	{ "ERROR BUSY \r\n", PW_OK, PW_REPLY_ERROR, "", PW_REASON_BUSY, 0, 0, 0 },
	{ "ERROR NEWCODE why\r\n", PW_OK, PW_REPLY_ERROR, "NEWCODE why", PW_REASON_OTHER, 0, 0, 0 },
	{ "READY I 3.1207\r\n", PW_OK, PW_REPLY_READY, NULL, 0, PW_SESSION_IDLE, 3, 1207 },
	{ "READY T -\r\n", PW_OK, PW_REPLY_READY, NULL, 0, PW_SESSION_IN_TRANSACTION, 0, 0 },
	{ "READY E 3.1\r\n", PW_OK, PW_REPLY_READY, NULL, 0, PW_SESSION_FAILED, 3, 1 },
	{ "READY I 3.x\r\n", PW_EINVALID, 0, NULL, 0, 0, 0, 0 },
	{ "READY Z -\r\n", PW_EINVALID, 0, NULL, 0, 0, 0, 0 },
	{ "\x01\x02\r\n", PW_EINVALID, 0, NULL, 0, 0, 0, 0 },
	{ "COMPLETE", PW_EAGAIN, 0, NULL, 0, 0, 0, 0 },
};

/* Guards against a server's row, error, state or position that is decoded wrongly. */
START_TEST(test_server_message)
{
	const char *line = server_messages[_i].line;
	struct pw_reply r;
	uint32_t used_bytes;
	int rc = pw_platform_server_dialect.ops->decode_next(&r, (const uint8_t *)line,
							     (uint32_t)strlen(line), &used_bytes);

	ck_assert_msg(rc == server_messages[_i].expected_rc, "%s: returned %d", line, rc);
	if (!rc) {
		ck_assert_msg(r.kind == server_messages[_i].kind, "%s: wrong kind", line);
		check_text(line, r.text, r.kind == PW_REPLY_ROW ? NULL : server_messages[_i].text);
		check_bytes(line, r.row, r.kind == PW_REPLY_ROW ? server_messages[_i].text : NULL);
		ck_assert_msg(r.reason == server_messages[_i].reason, "%s: wrong reason", line);
		ck_assert_msg(r.state == server_messages[_i].state, "%s: wrong state", line);
		ck_assert(r.has_position == (server_messages[_i].term != 0));
		ck_assert_uint_eq(r.position.term, server_messages[_i].term);
		ck_assert_uint_eq(r.position.lsn, server_messages[_i].lsn);
	}
	pw_reply_dispose(&r);
}
END_TEST

static const struct {
	const char *row;
	int expected_rc;
	bool is_primary;
	uint64_t term, log_term, log_lsn;
} status_rows[] = {
	{ "replica 3 3.1209 0 12 2 17", PW_OK, false, 3, 3, 1209 },
	{ "primary 4 3.1209 4 0 2 17 more", PW_OK, true, 4, 3, 1209 },
	{ "leader 4 3.1209 4 0 2 17", PW_EINVALID, false, 0, 0, 0 },
	{ "primary x 3.1209 4 0 2 17", PW_EINVALID, false, 0, 0, 0 },
	{ "primary 4 3 4 0 2 17", PW_EINVALID, false, 0, 0, 0 },
	{ "primary", PW_EINVALID, false, 0, 0, 0 },
	{ "", PW_EINVALID, false, 0, 0, 0 },
	{ NULL, PW_EINVALID, false, 0, 0, 0 },
};

/*
 * Guards against a role, term or position being read from a malformed status row, and against
 * additional columns being rejected.
 */
START_TEST(test_status_row)
{
	struct pw_server_status_row r = { 0 };
	GBytes *row = status_rows[_i].row ? bytes_of(status_rows[_i].row) : NULL;

	ck_assert_msg(pw_platform_server_dialect.ops->parse_status_row(&r, row) ==
			      status_rows[_i].expected_rc,
		      "status row: %s", status_rows[_i].row ? status_rows[_i].row : "none");
	g_clear_pointer(&row, g_bytes_unref);
	ck_assert(r.is_primary == status_rows[_i].is_primary);
	ck_assert_uint_eq(r.term, status_rows[_i].term);
	ck_assert_uint_eq(r.log_end.term, status_rows[_i].log_term);
	ck_assert_uint_eq(r.log_end.lsn, status_rows[_i].log_lsn);
}
END_TEST

static void check_output(GByteArray *b, const char *expected)
{
	g_byte_array_append(b, (const guint8 *)"", 1);
	ck_assert_str_eq((const char *)b->data, expected);
	g_byte_array_set_size(b, 0);
}

/*
 * Guards against a change to a statement that is passed on to the server, other than a new name for
 * a prepared statement, and against malformed requests that the proxy itself makes.
 */
START_TEST(test_server_requests)
{
	const struct pw_server_dialect_ops *ops = pw_platform_server_dialect.ops;
	const struct pw_position floor = { .term = 3, .lsn = 1207 };
	GByteArray *b = g_byte_array_new();
	struct pw_caller_statement s = {
		.verb = PW_VERB_WRITE,
		.id = (char *)(uintptr_t) "5c0e",
		.argument = bytes_of("1a4  two blanks \n\r"),
	};
	GBytes *value = bytes_of("north west"), *shape = bytes_of("q2c"), *empty = bytes_of("");

	ops->put_statement(b, &s, NULL, NULL);
	check_output(b, "QUERY 5c0e WRITE 1a4  two blanks \n\r\r\n");
	s.verb = PW_VERB_READ;
	g_bytes_unref(s.argument);
	s.argument = bytes_of("1a4");
	ops->put_statement(b, &s, NULL, &floor);
	check_output(b, "QUERY 5c0e WAITLSN 3.1207 READ 1a4\r\n");
	s.verb = PW_VERB_EXECUTE;
	ops->put_statement(b, &s, "p1", NULL);
	check_output(b, "QUERY 5c0e EXECUTE p1 1a4\r\n");
	s.verb = PW_VERB_COMMIT;
	g_clear_pointer(&s.argument, g_bytes_unref);
	ops->put_statement(b, &s, NULL, NULL);
	check_output(b, "QUERY 5c0e COMMIT\r\n");
	ops->put_open(b, "huvo11a", "tenant", "i-7f3a91c2");
	check_output(b, "STARTUP huvo11a tenant i-7f3a91c2\r\n");
	ops->put_begin(b, true, &floor);
	check_output(b, "QUERY - WAITLSN 3.1207 BEGIN READ\r\n");
	ops->put_begin(b, false, NULL);
	check_output(b, "QUERY - BEGIN\r\n");
	ops->put_rollback(b);
	check_output(b, "QUERY - ROLLBACK\r\n");
	ops->put_reset(b);
	check_output(b, "QUERY - RESET\r\n");
	ops->put_set(b, "zone", value);
	check_output(b, "QUERY - SET zone north west\r\n");
	ops->put_set(b, "zone", empty);
	check_output(b, "QUERY - SET zone \r\n");
	ops->put_prepare(b, "p1", true, shape);
	check_output(b, "QUERY - PREPARE p1 WRITE q2c\r\n");
	ops->put_status_request(b);
	check_output(b, "QUERY - STATUS\r\n");
	ops->put_step_down(b, 4);
	check_output(b, "QUERY - STEPDOWN 4\r\n");
	g_byte_array_unref(b);
	g_bytes_unref(value);
	g_bytes_unref(shape);
	g_bytes_unref(empty);
}
END_TEST

/* Guards against wrong lines to callers, with and without a signature, position or text. */
START_TEST(test_caller_responses)
{
	const struct pw_caller_dialect_ops *ops = pw_platform_caller_dialect.ops;
	const struct pw_position position = { .term = 3, .lsn = 1209 };
	GByteArray *b = g_byte_array_new();
	GBytes *row = bytes_of("qhz kwm"), *empty = bytes_of("");

	ops->put_row(b, NULL);
	ops->put_row(b, empty);
	check_output(b, "DATAROW\r\nDATAROW \r\n");
	ops->put_row(b, row);
	ops->put_complete(b, "7.1f3");
	ops->put_ready(b, PW_SESSION_IDLE, &position);
	check_output(b, "DATAROW qhz kwm\r\nCOMPLETE 7.1f3\r\nREADY I 3.1209\r\n");
	ops->put_complete(b, NULL);
	ops->put_ready(b, PW_SESSION_IN_TRANSACTION, NULL);
	check_output(b, "COMPLETE -\r\nREADY T -\r\n");
	ops->put_error(b, PW_REASON_OUTCOME_UNKNOWN, "why");
	ops->put_ready(b, PW_SESSION_FAILED, NULL);
	check_output(b, "ERROR INDOUBT why\r\nREADY E -\r\n");
	ops->put_error(b, PW_REASON_BAD_KEY, NULL);
	check_output(b, "ERROR AUTHFAIL\r\n");
	g_byte_array_unref(b);
	g_bytes_unref(row);
	g_bytes_unref(empty);
}
END_TEST

static void put_name_with_space(GByteArray *b)
{
	pw_platform_server_dialect.ops->put_open(b, "huvo11a", "two words", "i-1");
}

static void put_name_with_line_end(GByteArray *b)
{
	pw_platform_server_dialect.ops->put_open(b, "huvo11a\r\nQUERY", "tenant", "i-1");
}

static void put_empty_name(GByteArray *b)
{
	pw_platform_server_dialect.ops->put_open(b, "huvo11a", "", "i-1");
}

static void put_server_id_with_line_end(GByteArray *b)
{
	pw_platform_server_dialect.ops->put_open(b, "huvo11a", "tenant", "i-1\r\n");
}

static void put_row_with_line_end(GByteArray *b)
{
	pw_platform_caller_dialect.ops->put_row(b, bytes_of("a\r\nREADY I -"));
}

static void put_signature_with_line_end(GByteArray *b)
{
	pw_platform_caller_dialect.ops->put_complete(b, "7.1f3\r\n");
}

static void put_value_with_line_end(GByteArray *b)
{
	pw_platform_server_dialect.ops->put_set(b, "zone", bytes_of("\r\n"));
}

static void put_variable_with_space(GByteArray *b)
{
	pw_platform_server_dialect.ops->put_set(b, "zo ne", bytes_of("v"));
}

static void put_template_with_line_end(GByteArray *b)
{
	pw_platform_server_dialect.ops->put_prepare(b, "p1", false, bytes_of("q\r\nq"));
}

static void put_id_with_space(GByteArray *b)
{
	const struct pw_caller_statement s = {
		.verb = PW_VERB_COMMIT,
		.id = (char *)(uintptr_t) "5c 0e",
	};

	pw_platform_server_dialect.ops->put_statement(b, &s, NULL, NULL);
}

static void (*const forged_messages[])(GByteArray *b) = {
	put_name_with_space,         put_name_with_line_end,  put_empty_name,
	put_server_id_with_line_end, put_row_with_line_end,   put_signature_with_line_end,
	put_value_with_line_end,     put_variable_with_space, put_template_with_line_end,
	put_id_with_space,
};

/* Guards against an encoder that ends a message or field early if its caller has not checked it. */
START_TEST(test_forged_message)
{
	const struct rlimit no_core = { 0 };
	pid_t child = fork();
	int status = 0;

	if (!child) {
		(void)setrlimit(RLIMIT_CORE, &no_core);
		(void)signal(SIGABRT, SIG_DFL);
		close(STDOUT_FILENO);
		close(STDERR_FILENO);
		forged_messages[_i](g_byte_array_new());
		_exit(EXIT_SUCCESS);
	}
	ck_assert_int_eq(waitpid(child, &status, 0), child);
	ck_assert_msg(WIFSIGNALED(status) && WTERMSIG(status) == SIGABRT,
		      "case %d was encoded: status %d", _i, status);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("line");

	tcase_add_loop_test(tc, test_caller_message, 0, PW_ARRAY_LEN(caller_messages));
	tcase_add_loop_test(tc, test_zero_byte_of_caller, 0,
			    PW_ARRAY_LEN(zero_byte_caller_messages));
	tcase_add_loop_test(tc, test_zero_byte_of_server, 0,
			    PW_ARRAY_LEN(zero_byte_server_messages));
	tcase_add_test(tc, test_oversized);
	tcase_add_loop_test(tc, test_large_statement, 0, PW_ARRAY_LEN(large_statements));
	tcase_add_loop_test(tc, test_error_text, 0, PW_ARRAY_LEN(error_texts));
	tcase_add_loop_test(tc, test_server_message, 0, PW_ARRAY_LEN(server_messages));
	tcase_add_loop_test(tc, test_status_row, 0, PW_ARRAY_LEN(status_rows));
	tcase_add_test(tc, test_server_requests);
	tcase_add_test(tc, test_caller_responses);
	tcase_add_loop_test(tc, test_forged_message, 0, PW_ARRAY_LEN(forged_messages));
	return pw_suite_run("line", tc);
}
