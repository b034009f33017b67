/*
 * Tests of the platform's line protocol: decoding of valid and malformed messages of callers and
 * servers, and encoding of the messages to both.
 */
#include "suite.h"

#include <string.h>

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
	{ "QUERY 5c BEGIN\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_BEGIN, "5c", NULL, "",
	  false },
	{ "QUERY 5c BEGIN READ\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_BEGIN_READ, "5c",
	  NULL, NULL, false },
	{ "QUERY 5c BEGIN WRITE\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL,
	  false },
	{ "QUERY 5c COMMIT\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_COMMIT, "5c", NULL, "",
	  false },
	{ "QUERY 5c COMMIT now\r\n", PW_OK, PW_CALLER_MESSAGE_MALFORMED, 0, "5c", NULL, NULL,
	  false },
	{ "QUERY 5c ROLLBACK\r\n", PW_OK, PW_CALLER_MESSAGE_STATEMENT, PW_VERB_ROLLBACK, "5c", NULL,
	  "", false },
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
	  "s1", "", false },
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
		check_text(line, c.statement->argument, caller_messages[_i].argument);
		ck_assert(c.statement->prepares_write == caller_messages[_i].prepares_write);
	}
	pw_caller_message_dispose(&c);
}
END_TEST

/*
 * Guards against messages that are truncated at a zero byte. fuzz_line found a statement of which
 * only the part before that byte was run.
 */
START_TEST(test_zero_byte)
{
	static const uint8_t data[] = "QUERY 5c WRITE 1a4\0 and more\r\n";
	static const uint8_t row[] = "DATAROW qhz\0kwm\r\n";
	struct pw_reply r;
	struct pw_caller_message c;
	uint32_t used_bytes;

	ck_assert_int_eq(pw_platform_caller_dialect.ops->decode_next(&c, data, sizeof(data) - 1,
								     &used_bytes),
			 PW_EINVALID);
	pw_caller_message_dispose(&c);
	ck_assert_int_eq(
		pw_platform_server_dialect.ops->decode_next(&r, row, sizeof(row) - 1, &used_bytes),
		PW_EINVALID);
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
	g_free(data);
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
	{ "DATAROW  \r\n", PW_OK, PW_REPLY_ROW, " ", 0, 0, 0, 0 },
	{ "DATAROW qhz\n", PW_EAGAIN, 0, NULL, 0, 0, 0, 0 },
	{ "COMPLETE 7.1f3.c\r\n", PW_OK, PW_REPLY_COMPLETE, "7.1f3.c", 0, 0, 0, 0 },
	{ "COMPLETE -\r\n", PW_OK, PW_REPLY_COMPLETE, NULL, 0, 0, 0, 0 },
	{ "COMPLETE \r\n", PW_OK, PW_REPLY_COMPLETE, NULL, 0, 0, 0, 0 },
	{ "ERROR READONLY i-7f3a91c2\r\n", PW_OK, PW_REPLY_ERROR, "i-7f3a91c2",
	  PW_REASON_NOT_PRIMARY, 0, 0, 0 },
	{ "ERROR BUSY\r\n", PW_OK, PW_REPLY_ERROR, "", PW_REASON_BUSY, 0, 0, 0 },
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
		check_text(line, r.text, server_messages[_i].text);
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
};

/*
 * Guards against a role, term or position being read from a malformed status row, and against
 * additional columns being rejected.
 */
START_TEST(test_status_row)
{
	struct pw_server_status_row r = { 0 };

	ck_assert_msg(pw_platform_server_dialect.ops->parse_status_row(&r, status_rows[_i].row) ==
			      status_rows[_i].expected_rc,
		      "status row: %s", status_rows[_i].row);
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
		.argument = (char *)(uintptr_t) "1a4  two blanks ",
	};

	ops->put_statement(b, &s, NULL, NULL);
	check_output(b, "QUERY 5c0e WRITE 1a4  two blanks \r\n");
	s.verb = PW_VERB_READ;
	s.argument = (char *)(uintptr_t) "1a4";
	ops->put_statement(b, &s, NULL, &floor);
	check_output(b, "QUERY 5c0e WAITLSN 3.1207 READ 1a4\r\n");
	s.verb = PW_VERB_EXECUTE;
	ops->put_statement(b, &s, "p1", NULL);
	check_output(b, "QUERY 5c0e EXECUTE p1 1a4\r\n");
	s.verb = PW_VERB_COMMIT;
	s.argument = NULL;
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
	ops->put_set(b, "zone", "north west");
	check_output(b, "QUERY - SET zone north west\r\n");
	ops->put_prepare(b, "p1", true, "q2c");
	check_output(b, "QUERY - PREPARE p1 WRITE q2c\r\n");
	ops->put_status_request(b);
	check_output(b, "QUERY - STATUS\r\n");
	ops->put_step_down(b, 4);
	check_output(b, "QUERY - STEPDOWN 4\r\n");
	g_byte_array_unref(b);
}
END_TEST

/* Guards against wrong lines to callers, with and without a signature, position or text. */
START_TEST(test_caller_responses)
{
	const struct pw_caller_dialect_ops *ops = pw_platform_caller_dialect.ops;
	const struct pw_position position = { .term = 3, .lsn = 1209 };
	GByteArray *b = g_byte_array_new();

	ops->put_row(b, "qhz kwm");
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
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("line");

	tcase_add_loop_test(tc, test_caller_message, 0, PW_ARRAY_LEN(caller_messages));
	tcase_add_test(tc, test_zero_byte);
	tcase_add_test(tc, test_oversized);
	tcase_add_loop_test(tc, test_server_message, 0, PW_ARRAY_LEN(server_messages));
	tcase_add_loop_test(tc, test_status_row, 0, PW_ARRAY_LEN(status_rows));
	tcase_add_test(tc, test_server_requests);
	tcase_add_test(tc, test_caller_responses);
	return pw_suite_run("line", tc);
}
