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

static const struct {
	const char *label;
	const char *fault; /* of the only replica that has a commit */
	const char *log;   /* what the VMs log of it; NULL: nothing */
	bool is_promoted;  /* that replica, while the primary is down */
} commit_cases[] = {
	{ "the replica is about to stop", "leave", NULL, true },
	{ "the replica is not registered any more", "gone",
	  "name=server_gone group=core server=i-core-2", false },
};

/*
 * Guards against acknowledged commits that are lost because the only replica that has them is left
 * out of a change: the other replica receives nothing when the primary crashes.
 */
START_TEST(test_acknowledged_commit_survives)
{
	struct client *c;

	sync_replica_count = 1;
	start_fleet();
	sync_replica_count = 0;
	c = open_session(0, "desk");
	expect_answer(c, "WRITE before v", "ok I");
	g_usleep(100000);
	inject_fault("deaf", "i-core-3");
	expect_answer(c, "WRITE kept v", "ok I");
	/* One replica has received the commit, as the acknowledgement of a synchronous one says. */
	g_usleep(300000);
	inject_fault(commit_cases[_i].fault, "i-core-2");
	ck_assert(!commit_cases[_i].log ||
		  PW_HARNESS_WAIT_UNTIL(have_all_logged(commit_cases[_i].log), GONE_TIMEOUT_MS));
	g_usleep(300000);
	inject_fault("crash", "i-core-1");
	for (int i = 0; i < 30; i++) {
		g_free(run_statement(c, "WRITE meanwhile v"));
		g_usleep(100000);
	}
	/* The crashed server is not up, so this is the new primary. */
	ck_assert_msg(PW_HARNESS_WAIT_UNTIL(has_primary(), 3000) == commit_cases[_i].is_promoted,
		      "%s: %zu promotion requests", commit_cases[_i].label,
		      count_promotion_requests());
	inject_fault("start", commit_cases[_i].is_promoted ? "i-core-1" : "i-core-2");
	inject_fault("hearing", "i-core-3");
	(void)write_until_ok(&c, 0, "WRITE later v", 15000);
	/* Another change may follow, since the new primary is about to stop. */
	expect_row(c, "READ kept", "v ok I", 10000);
	client_free(c);
	stop_fleet();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("commits fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_loop_test(tc, test_acknowledged_commit_survives, 0, PW_ARRAY_LEN(commit_cases));
	return pw_suite_run("commits fleet", tc);
}
