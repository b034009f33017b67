/*
 * Tests that a prepared statement belongs to the session that prepared it, although sessions share
 * upstream connections. Runs real processes.
 */
#include "suite.h"

#include <stdbool.h>
#include <string.h>

#include "harness_service.h"

#define ANSWER_TIMEOUT_MS 3000

static PGconn *connect_as(const struct pw_harness_service *s, const char *user, const char *key)
{
	struct pw_harness_login login = { .port = s->caller_port, .user = user, .password = key };
	char *error;
	PGconn *conn = pw_harness_connect(&login, ANSWER_TIMEOUT_MS, &error);

	ck_assert_msg(conn != NULL, "%s", error);
	return conn;
}

/* Waits for the answer of a PQsend...() call, which returned `send_result`. */
static void expect_answer(PGconn *conn, int send_result, const char *expected)
{
	char *answer;

	ck_assert_int_eq(send_result, 1);
	answer = pw_harness_wait_result(conn, ANSWER_TIMEOUT_MS);
	ck_assert_msg(strcmp(answer, expected) == 0, "%s, expected %s", answer, expected);
	g_free(answer);
}

static const struct {
	const char *label;
	const char *statement; /**< name of the statement; the first caller prepares and runs it */
	bool is_anonymous;     /**< the second caller logs in without a key */
	bool describes;        /**< the second caller describes the statement, else runs it */
} cases[] = {
	{ "named, another account", "s", false, false },
	{ "named, no key", "s", true, false },
	{ "unnamed, another account", "", false, false },
	{ "unnamed, no key", "", true, false },
	{ "description of a named statement, no key", "s", true, true },
};

/*
 * Guards against a session that can run or describe a statement which another session prepared on
 * the same upstream connection.
 */
START_TEST(test_statement_of_another_session)
{
	static const char sql[] = "INSERT INTO t (k, v) VALUES ('1', 'a')";
	struct pw_harness_service s;
	PGconn *first_conn, *second_conn;

	pw_harness_service_start(&s, "", NULL);
	first_conn = connect_as(&s, "amber", s.keys[0].text);
	expect_answer(first_conn, PQsendPrepare(first_conn, cases[_i].statement, sql, 0, NULL), "");
	expect_answer(first_conn,
		      PQsendQueryPrepared(first_conn, cases[_i].statement, 0, NULL, NULL, NULL, 0),
		      "INSERT 0 1");
	second_conn = cases[_i].is_anonymous ? connect_as(&s, "open", NULL)
					     : connect_as(&s, "birch", s.keys[1].text);
	/* Repeated, as the statement may be prepared on any of several upstream connections. */
	for (uint32_t i = 0; i < 8; i++)
		expect_answer(second_conn,
			      cases[_i].describes
				      ? PQsendDescribePrepared(second_conn, cases[_i].statement)
				      : PQsendQueryPrepared(second_conn, cases[_i].statement, 0,
							    NULL, NULL, NULL, 0),
			      "ERROR 26000");
	/* The first session can still run its statement. */
	expect_answer(first_conn,
		      PQsendQueryPrepared(first_conn, cases[_i].statement, 0, NULL, NULL, NULL, 0),
		      "INSERT 0 1");
	PQfinish(first_conn);
	PQfinish(second_conn);
	pw_harness_service_stop(&s);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("prepared");

	tcase_add_loop_test(tc, test_statement_of_another_session, 0, PW_ARRAY_LEN(cases));
	return pw_suite_run("prepared", tc);
}
