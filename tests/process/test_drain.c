/* Tests draining a VM with pimentowingctl, on real processes. */
#include "suite.h"

#include <string.h>

#include "harness_service.h"

#define ANSWER_TIMEOUT_MS 2000
#define CHANGE_TIMEOUT_MS 5000

static bool has_readyz_status(const struct pw_harness_service *s, long status)
{
	return pw_harness_service_http_get(s, "http", "/readyz", NULL) == status;
}

static bool status_contains(const struct pw_harness_service *s, const char *text)
{
	char *body;
	bool found;

	pw_harness_service_http_get(s, "http", "/v1/status", &body);
	found = strstr(body, text) != NULL;
	g_free(body);
	return found;
}

static void expect_result(PGconn *conn, const char *sql, const char *expected)
{
	char *answer = pw_harness_query(conn, ANSWER_TIMEOUT_MS, sql, NULL);

	ck_assert_msg(strcmp(answer, expected) == 0, "%s: %s, expected %s", sql, answer, expected);
	g_free(answer);
}

/* libpq reports an error that the server sends between statements as a notice. */
static void append_notice(void *data, const char *message)
{
	g_string_append(data, message);
}

static PGconn *connect_as(const struct pw_harness_service *s, uint32_t account, GString *notices)
{
	struct pw_harness_login login = pw_harness_service_login(s, account);
	char *error;
	PGconn *conn = pw_harness_connect(&login, ANSWER_TIMEOUT_MS, &error);

	ck_assert_msg(conn != NULL, "%s", error);
	PQsetNoticeProcessor(conn, append_notice, notices);
	return conn;
}

static void run_ctl(const struct pw_harness_service *s, const char *command)
{
	const char *const args[] = { command, PW_HARNESS_VM, NULL };

	g_free(pw_harness_service_run_ctl(s, args));
}

/* Reads what the server has sent; returns whether it has closed the connection. */
static bool is_closed(PGconn *conn)
{
	bool is_open = PQconsumeInput(conn);

	/* Parses the received messages, for the notices. */
	PQisBusy(conn);
	return !is_open || PQstatus(conn) == CONNECTION_BAD;
}

/*
 * Guards against a draining VM that still accepts callers, against a drain that interrupts an open
 * transaction, and against a VM that stays out of service after `undrain`.
 */
START_TEST(test_drain_and_undrain)
{
	static const char *const args[] = { "--drain-grace=300ms", NULL };
	struct pw_harness_service s;
	struct pw_harness_login login;
	GString *idle_notices = g_string_new(NULL), *busy_notices = g_string_new(NULL);
	PGconn *idle_conn, *busy_conn;
	char *error;

	pw_harness_service_start(&s, "", args);
	ck_assert(has_readyz_status(&s, 200));
	ck_assert(status_contains(&s, "\"draining\":false"));
	idle_conn = connect_as(&s, 0, idle_notices);
	busy_conn = connect_as(&s, 1, busy_notices);
	expect_result(busy_conn, "BEGIN", "BEGIN");
	expect_result(busy_conn, "INSERT INTO t (k, v) VALUES ('1', 'a')", "INSERT 0 1");
	run_ctl(&s, "drain");
	ck_assert(PW_HARNESS_WAIT_UNTIL(has_readyz_status(&s, 503), CHANGE_TIMEOUT_MS));
	ck_assert(status_contains(&s, "\"draining\":true"));
	ck_assert_msg(PW_HARNESS_WAIT_UNTIL(is_closed(idle_conn), CHANGE_TIMEOUT_MS),
		      "an idle connection is not closed");
	ck_assert_msg(strstr(idle_notices->str, "57P01") != NULL, "%s", idle_notices->str);
	login = pw_harness_service_login(&s, 0);
	ck_assert_ptr_null(pw_harness_connect(&login, ANSWER_TIMEOUT_MS, &error));
	ck_assert_str_eq(error, "FATAL 57P03");
	g_free(error);
	/* The open transaction can be completed; its connection is closed afterwards. */
	expect_result(busy_conn, "SELECT v FROM t WHERE k = '1'", "a");
	expect_result(busy_conn, "COMMIT", "COMMIT");
	ck_assert(PW_HARNESS_WAIT_UNTIL(is_closed(busy_conn), CHANGE_TIMEOUT_MS));
	ck_assert_msg(strstr(busy_notices->str, "57P01") != NULL, "%s", busy_notices->str);
	run_ctl(&s, "undrain");
	ck_assert(PW_HARNESS_WAIT_UNTIL(has_readyz_status(&s, 200), CHANGE_TIMEOUT_MS));
	PQfinish(idle_conn);
	PQfinish(busy_conn);
	idle_conn = connect_as(&s, 0, idle_notices);
	expect_result(idle_conn, "SELECT v FROM t WHERE k = '1'", "a");
	PQfinish(idle_conn);
	g_string_free(idle_notices, TRUE);
	g_string_free(busy_notices, TRUE);
	pw_harness_service_stop(&s);
}
END_TEST

/* Guards against connections that are closed although `undrain` came within the grace period. */
START_TEST(test_undrain_in_grace_period)
{
	static const char *const args[] = { "--drain-grace=1s", NULL };
	struct pw_harness_service s;
	GString *notices = g_string_new(NULL);
	PGconn *conn;

	pw_harness_service_start(&s, "", args);
	conn = connect_as(&s, 0, notices);
	run_ctl(&s, "drain");
	ck_assert(PW_HARNESS_WAIT_UNTIL(has_readyz_status(&s, 503), CHANGE_TIMEOUT_MS));
	run_ctl(&s, "undrain");
	ck_assert(PW_HARNESS_WAIT_UNTIL(has_readyz_status(&s, 200), CHANGE_TIMEOUT_MS));
	g_usleep(1500 * 1000);
	expect_result(conn, "SELECT 1", "1");
	ck_assert_str_eq(notices->str, "");
	PQfinish(conn);
	g_string_free(notices, TRUE);
	pw_harness_service_stop(&s);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("drain");

	tcase_add_test(tc, test_drain_and_undrain);
	tcase_add_test(tc, test_undrain_in_grace_period);
	return pw_suite_run("drain", tc);
}
