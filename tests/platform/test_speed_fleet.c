/*
 * End-to-end tests of a fleet with a server that answers a part of its statements with errors while
 * the others are well.
 */
#include "suite.h"

#include "platform_fleet.h"

#define READ_COUNT 100
/* Reads that may fail before the VM knows the server. */
#define FAILED_MAX 2

static const struct {
	const char *label;
	const char *failures;
} cases[] = {
	{ "one replica fails all reads", "every:1,server:i-core-2" },
	{ "the other one fails all reads", "every:1,server:i-core-3" },
	{ "one replica fails every second read", "every:2,server:i-core-2" },
	{ "the other one fails every second read", "every:2,server:i-core-3" },
};

/* Guards against a server that fails at once, looks fast for that and is sent more and more reads.
 */
START_TEST(test_failing_server_is_avoided)
{
	uint32_t failed_count = 0;
	struct client *c;

	start_fleet_of(1);
	inject_fault("work", "20");
	c = open_session(0, "views");
	expect_answer(c, "READ a", "none ok I");
	inject_fault("failures", cases[_i].failures);
	for (uint32_t i = 0; i < READ_COUNT; i++) {
		char *actual = run_statement(c, "READ a");

		failed_count += strcmp(actual, "none ok I") != 0;
		g_free(actual);
	}
	client_free(c);
	stop_fleet();
	ck_assert_msg(failed_count <= FAILED_MAX, "%s: %u of %u reads failed", cases[_i].label,
		      failed_count, READ_COUNT);
}
END_TEST

/* Guards against errors of a statement that are hidden, or that run at all servers in turn. */
START_TEST(test_failing_statement_is_reported)
{
	struct client *c;
	uint32_t failed_count = 0;

	start_fleet_of(1);
	c = open_session(0, "views");
	expect_answer(c, "READ a", "none ok I");
	inject_fault("failures", "every:1");
	for (uint32_t i = 0; i < READ_COUNT; i++) {
		char *actual = run_statement(c, "READ a");

		failed_count += strcmp(actual, "FAILED I") == 0;
		g_free(actual);
	}
	client_free(c);
	stop_fleet();
	ck_assert_uint_eq(failed_count, READ_COUNT);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("speed fleet");

	g_setenv("PW_LEARN_SERVER_SPEED", "true", FALSE);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_loop_test(tc, test_failing_server_is_avoided, 0, PW_ARRAY_LEN(cases));
	tcase_add_test(tc, test_failing_statement_is_reported);
	return pw_suite_run("speed fleet", tc);
}
