/*
 * Tests sessions that end while a statement of theirs waits for the rate of its account. Runs real
 * processes.
 */
#include "suite.h"

#include <string.h>
#include <sys/socket.h>

#include "harness_fleet.h"

#define SESSION_COUNT        8
#define STATEMENT_TIMEOUT_MS 3000
/* Time in which the proxy reads a statement that was sent. */
#define READ_WAIT_US 3000
/* Longer than a statement waits for the rate of its account. */
#define ADMISSION_WAIT_US 300000

static struct pw_fleet *fleet;

static PGconn *connect_session(const char *account)
{
	const struct pw_harness_login login = pw_fleet_login(fleet, 0, account, "orders");
	char *error = NULL;
	PGconn *conn = pw_harness_connect(&login, STATEMENT_TIMEOUT_MS, &error);

	ck_assert_msg(conn != NULL, "%s", error);
	return conn;
}

/* Ends the connection with a reset, which the proxy also sees while it reads no statements. */
static void reset_session(PGconn *conn)
{
	const struct linger no_linger = { .l_onoff = 1 };

	ck_assert_int_eq(
		setsockopt(PQsocket(conn), SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger)),
		0);
	PQfinish(conn);
}

/* Guards against a transaction that begins after its session has ended, and keeps its connection.
 */
START_TEST(test_end_of_a_session_that_waits)
{
	PGconn *sessions[SESSION_COUNT], *other = connect_session("amber");
	char *result;

	for (uint32_t i = 0; i < SESSION_COUNT; i++)
		sessions[i] = connect_session("ember");
	for (uint32_t i = 0; i < SESSION_COUNT; i++)
		ck_assert(PQsendQuery(sessions[i], "BEGIN"));
	g_usleep(READ_WAIT_US);
	for (uint32_t i = 0; i < SESSION_COUNT; i++)
		reset_session(sessions[i]);
	g_usleep(ADMISSION_WAIT_US);
	result = pw_harness_query(other, STATEMENT_TIMEOUT_MS,
				  "INSERT INTO t (k, v) VALUES ('1', 'x')", NULL);
	ck_assert_str_eq(result, "INSERT 0 1");
	g_free(result);
	PQfinish(other);
}
END_TEST

static void set_up(void)
{
	static const char *const edits[] = { "\"burst\": 200,", "\"burst\": 1,", NULL };
	const struct pw_fleet_options o = { .proxy_count = 1, .document_edits = edits };

	fleet = pw_fleet_new(&o);
}

static void tear_down(void)
{
	pw_fleet_free(fleet);
}

int main(void)
{
	TCase *tc = tcase_create("session_end");

	g_setenv("CK_FORK", "no", TRUE);
	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, test_end_of_a_session_that_waits);
	return pw_suite_run("session_end", tc);
}
