/*
 * End-to-end tests of a fleet of proxy processes against the platform stand-in: commits of groups
 * with synchronous replication survive changes of the primary.
 */
#include "suite.h"

#include "platform_fleet.h"

/* Repeats a read while it is refused with BUSY. Fails the test after `timeout_ms`. */
static void expect_row(struct client *c, const char *statement, const char *expected,
		       uint32_t timeout_ms)
{
	gint64 end_us = g_get_monotonic_time() + timeout_ms * G_GINT64_CONSTANT(1000);
	char *actual = run_statement(c, statement);

	while (strcmp(actual, "BUSY I") == 0 && g_get_monotonic_time() < end_us) {
		g_free(actual);
		g_usleep(50000);
		actual = run_statement(c, statement);
	}
	ck_assert_msg(strcmp(actual, expected) == 0, "%s: %s, not %s", statement, actual, expected);
	g_free(actual);
}

static bool has_primary(void)
{
	char *id = find_primary();
	bool found = id != NULL;

	g_free(id);
	return found;
}

/*
 * Guards against acknowledged commits that are lost because the only replica that has them is about
 * to stop: the other replica receives nothing when the primary crashes.
 */
START_TEST(test_leaving_replica_has_commits)
{
	struct client *c;

	sync_replica_count = 1;
	start_fleet();
	sync_replica_count = 0;
	c = open_session(0, "desk");
	expect_answer(c, "WRITE before v", "ok I");
	inject_fault("leave", "i-core-2");
	inject_fault("deaf", "i-core-3");
	g_usleep(300000);
	expect_answer(c, "WRITE kept v", "ok I");
	/* One replica has received the commit, as the acknowledgement of a synchronous one says. */
	g_usleep(100000);
	inject_fault("crash", "i-core-1");
	for (int i = 0; i < 10; i++) {
		g_free(run_statement(c, "WRITE meanwhile v"));
		g_usleep(100000);
	}
	/* The crashed server is not up, so this is the new primary. */
	ck_assert(PW_HARNESS_WAIT_UNTIL(has_primary(), 6000));
	inject_fault("hearing", "i-core-3");
	inject_fault("start", "i-core-1");
	(void)write_until_ok(&c, 0, "WRITE later v", 15000);
	/* Another change follows, since the new primary is about to stop. */
	expect_row(c, "READ kept", "v ok I", 10000);
	client_free(c);
	stop_fleet();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("commits fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, test_leaving_replica_has_commits);
	return pw_suite_run("commits fleet", tc);
}
