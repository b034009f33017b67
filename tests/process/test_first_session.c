/*
 * Tests the first session of a front task, whose number is the lowest, when its upstream connection
 * is lost. Runs real processes.
 */
#include "suite.h"

#include <string.h>

#include "harness_fleet.h"

#define STATEMENT_TIMEOUT_MS 8000
#define READY_TIMEOUT_MS     10000
/* Time in which the proxy receives the end of the connection. */
#define LOSS_WAIT_US 200000
#define DATABASE     PW_FLEET_ORDERS

static struct pw_fleet *fleet;

static PGconn *connect_session(void)
{
	const struct pw_harness_login login = pw_fleet_login(fleet, 0, "amber", "orders");
	char *error = NULL;
	PGconn *conn = pw_harness_connect(&login, STATEMENT_TIMEOUT_MS, &error);

	ck_assert_msg(conn != NULL, "%s", error);
	return conn;
}

static bool is_answered(PGconn *conn, const char *sql, const char *expected)
{
	char *result = pw_harness_query(conn, STATEMENT_TIMEOUT_MS, sql, NULL);
	bool matches = strcmp(result, expected) == 0;

	g_free(result);
	return matches;
}

struct step {
	const char *sql; /* NULL: ends the list */
	const char *expected;
};

static const struct {
	const char *label;
	struct step before[4]; /* the loss of the connection */
	struct step after[3];
} cases[] = {
	{ "in a transaction",
	  { { "BEGIN", "BEGIN" }, { "INSERT INTO kept (k, v) VALUES ('a', '1')", "INSERT 0 1" } },
	  { { "SELECT v FROM kept WHERE k = 'a'", "ERROR 40001" }, { "ROLLBACK", "ROLLBACK" } } },
	{ "before a commit",
	  { { "BEGIN", "BEGIN" }, { "INSERT INTO kept (k, v) VALUES ('a', '1')", "INSERT 0 1" } },
	  { { "COMMIT", "ERROR 40001" } } },
	{ "after a commit",
	  { { "BEGIN", "BEGIN" },
	    { "INSERT INTO kept (k, v) VALUES ('a', '1')", "INSERT 0 1" },
	    { "COMMIT", "COMMIT" } },
	  { { NULL } } },
};

static void run_steps(PGconn *conn, const char *label, const struct step *steps)
{
	for (; steps->sql; steps++) {
		char *result = pw_harness_query(conn, STATEMENT_TIMEOUT_MS, steps->sql, NULL);

		ck_assert_msg(strcmp(result, steps->expected) == 0, "%s: %s: %s, expected %s",
			      label, steps->sql, result, steps->expected);
		g_free(result);
	}
}

/* Guards against a lost connection that the first session is still taken to hold. */
START_TEST(test_lost_connection_of_the_first_session)
{
	PGconn *first = connect_session(), *second;

	ck_assert(PW_HARNESS_WAIT_UNTIL(is_answered(first, "SELECT '1'", "1"), READY_TIMEOUT_MS));
	run_steps(first, cases[_i].label, cases[_i].before);
	pw_harness_kill(fleet->servers[DATABASE][0]);
	g_usleep(LOSS_WAIT_US);
	run_steps(first, cases[_i].label, cases[_i].after);
	PQfinish(first);
	second = connect_session();
	ck_assert_msg(
		PW_HARNESS_WAIT_UNTIL(is_answered(second, "SELECT '2'", "2"), READY_TIMEOUT_MS),
		"%s: the proxy does not serve", cases[_i].label);
	PQfinish(second);
}
END_TEST

static void set_up(void)
{
	static const char *const env[] = { "PW_FRONT_TASKS=1", NULL };
	const struct pw_fleet_options o = {
		.proxy_count = 1,
		.proxy_env = env,
		.without_callers = true,
	};

	fleet = pw_fleet_new(&o);
}

static void tear_down(void)
{
	pw_fleet_free(fleet);
}

int main(void)
{
	TCase *tc = tcase_create("first_session");

	/* Each case has a fleet of its own, in which nothing has connected to the proxy before. */
	g_setenv("CK_FORK", "no", TRUE);
	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_loop_test(tc, test_lost_connection_of_the_first_session, 0, PW_ARRAY_LEN(cases));
	return pw_suite_run("first_session", tc);
}
