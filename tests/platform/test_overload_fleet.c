/*
 * End-to-end tests of a fleet whose servers run, but have no connection to spare for some VMs.
 */
#include "suite.h"

#include "platform_fleet.h"

/* Longer than a server may leave a message unanswered, plus the time until a change is due. */
#define SUSPICION_MS 4000
/* Time for which a connection that is not needed stays open, and some more. */
#define IDLE_MS 400

static const struct {
	const char *label;
	uint32_t vm_count; /**< with VM_COUNT_MAX, no VM keeps a connection for later */
} reset_cases[] = {
	{ "VMs that keep connections", VM_COUNT },
	{ "VMs that keep none", VM_COUNT_MAX },
};

/* Sends a write to each VM. */
static void write_at_all(uint32_t count, const char *expected)
{
	for (uint32_t i = 0; i < count; i++) {
		struct client *c = open_session(i, "desk");
		char *actual = run_statement(c, "WRITE a v");

		ck_assert_msg(!expected || strcmp(actual, expected) == 0, "vm-%u: %s", i + 1,
			      actual);
		g_free(actual);
		client_free(c);
	}
}

/*
 * Guards against a server that counts as silent because a connection on which it owed an answer was
 * reset, so that a primary that runs is replaced.
 */
START_TEST(test_reset_connections_owe_no_answer)
{
	uint32_t count = reset_cases[_i].vm_count, silent_count = 0;
	size_t promotion_count;

	start_fleet_of(count);
	write_at_all(count, "ok I");
	g_usleep(IDLE_MS * 1000);
	inject_fault("reset-opens", "1");
	write_at_all(count, NULL);
	inject_fault("reset-opens", "0");
	g_usleep(SUSPICION_MS * 1000);
	for (uint32_t i = 0; i < count; i++)
		silent_count += count_log_lines(&vms[i], "cause=silent");
	promotion_count = count_promotion_requests();
	write_at_all(count, "ok I");
	stop_fleet();
	ck_assert_msg(!silent_count && !promotion_count,
		      "%s: %u servers counted as silent, %zu promotions", reset_cases[_i].label,
		      silent_count, promotion_count);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("overload fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_loop_test(tc, test_reset_connections_owe_no_answer, 0, PW_ARRAY_LEN(reset_cases));
	return pw_suite_run("overload fleet", tc);
}
