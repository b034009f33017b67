/* Tests of the time for which servers of an evacuated availability zone are used. */
#include <inttypes.h>

#include "suite.h"

#include "pw/decide/evacuation.h"

#define TIMEOUT_MS 5000

static const struct {
	const char *label;
	uint64_t learned_ms;
	uint64_t earliest_ms;
	uint64_t stop_ms;
} cases[] = {
	{ "learned by the watch at once", 10000, 10000, 12500 },
	{ "learned by a read after 1 s", 10000, 9000, 12500 },
	{ "learned by a read after 3 s, too late for the whole grace", 10000, 7000, 11000 },
	{ "learned after its time is over", 10000, 4000, 10000 },
	{ "learned by a VM that has just started", 10000, 0, 10000 },
};

START_TEST(test_stop_time)
{
	const struct pw_evacuation e = {
		.learned_us = cases[_i].learned_ms * 1000,
		.earliest_us = cases[_i].earliest_ms * 1000,
	};
	uint64_t stop_us = pw_evacuation_stop_us(&e, TIMEOUT_MS * 1000);

	ck_assert_msg(stop_us == cases[_i].stop_ms * 1000, "%s: %" PRIu64 " us", cases[_i].label,
		      stop_us);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("evacuation");

	tcase_add_loop_test(tc, test_stop_time, 0, PW_ARRAY_LEN(cases));
	return pw_suite_run("evacuation", tc);
}
