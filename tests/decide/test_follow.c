/* Tests of the choice between a watch and reads to follow a value in the store. */
#include "suite.h"

#include "pw/decide/follow.h"

#define STEPS_MAX 8

enum step_kind {
	STEP_END,
	STEP_WATCHED,  /* the watch delivers `count` versions */
	STEP_SLOW,     /* the watch delivers a version, which takes `duration_ms` */
	STEP_SAME,     /* a read of `duration_ms` returns the known version */
	STEP_NEW,      /* a read of `duration_ms` returns a new version */
	STEP_TIMEOUT,  /* a read is not answered in time */
	STEP_INTERVAL, /* checks the interval of reads */
	STEP_DEADLINE, /* checks the timeout of the next read */
};

static const struct {
	const char *label;
	struct {
		enum step_kind kind;
		uint32_t at_ms;
		uint32_t argument; /* count, duration, or expected time in ms */
		bool by_reads;     /* expected afterwards */
	} steps[STEPS_MAX];
} cases[] = {
	{ "changes far apart are watched",
	  { { STEP_WATCHED, 1000, 1, false },
	    { STEP_WATCHED, 2000, 1, false },
	    { STEP_WATCHED, 9000, 1, false } } },
	{ "a read without a change leaves the watch",
	  { { STEP_WATCHED, 1000, 1, false }, { STEP_SAME, 1100, 10, false } } },
	{ "an empty update of the watch",
	  { { STEP_WATCHED, 1000, 1, false }, { STEP_WATCHED, 1100, 0, false } } },
	{ "changes in quick succession are read until one read returns no new version",
	  { { STEP_WATCHED, 1000, 1, false },
	    { STEP_WATCHED, 1300, 1, true },
	    { STEP_NEW, 2400, 10, true },
	    { STEP_NEW, 3500, 10, true },
	    { STEP_SAME, 4600, 10, false },
	    { STEP_WATCHED, 9000, 1, false } } },
	{ "several versions at once", { { STEP_WATCHED, 1000, 3, true } } },
	{ "a version that takes a short time", { { STEP_SLOW, 1000, 400, false } } },
	{ "a version that takes a long time",
	  { { STEP_SLOW, 1000, 900, true },
	    { STEP_INTERVAL, 1000, 1800, true },
	    { STEP_DEADLINE, 1000, 2700, true } } },
	{ "a read and then the watch bring new versions",
	  { { STEP_NEW, 1000, 10, false }, { STEP_WATCHED, 1500, 1, true } } },
	{ "slow reads are rarer and get more time",
	  { { STEP_INTERVAL, 1, 1000, false },
	    { STEP_DEADLINE, 1, 1000, false },
	    { STEP_NEW, 1000, 600, false },
	    { STEP_INTERVAL, 1000, 1200, false },
	    { STEP_DEADLINE, 1000, 1800, false },
	    { STEP_NEW, 3000, 1900, false },
	    { STEP_INTERVAL, 3000, 2000, false },
	    { STEP_DEADLINE, 3000, 3000, false } } },
	{ "a read that was not answered in time gets more time",
	  { { STEP_TIMEOUT, 1000, 0, false },
	    { STEP_DEADLINE, 1000, 2000, false },
	    { STEP_TIMEOUT, 3000, 0, false },
	    { STEP_DEADLINE, 3000, 3000, false },
	    { STEP_SAME, 4000, 10, false },
	    { STEP_DEADLINE, 4000, 1000, false } } },
};

static void run_step(struct pw_follow *f, enum step_kind kind, uint64_t at_us, uint32_t argument,
		     const char *label, size_t i)
{
	uint64_t argument_us = argument * UINT64_C(1000);
	bool stays;

	switch (kind) {
	case STEP_WATCHED:
	case STEP_SLOW:
		stays = !pw_follow_handle_watched(f, kind == STEP_SLOW ? 1 : argument,
						  kind == STEP_SLOW ? argument_us : 0, at_us);
		ck_assert_msg(stays == !f->by_reads, "%s, step %zu", label, i);
		break;
	case STEP_SAME:
	case STEP_NEW:
		stays = pw_follow_handle_read(f, kind == STEP_NEW, argument_us, at_us);
		ck_assert_msg(stays == !f->by_reads, "%s, step %zu", label, i);
		break;
	case STEP_TIMEOUT:
		pw_follow_handle_timeout(f);
		break;
	case STEP_INTERVAL:
		ck_assert_msg(pw_follow_interval_us(f) == argument_us, "%s, step %zu", label, i);
		break;
	default:
		ck_assert_msg(pw_follow_timeout_us(f) == argument_us, "%s, step %zu", label, i);
	}
}

static const struct {
	const char *label;
	uint64_t size_bytes;
	uint32_t vm_count;
	uint64_t min_us, max_us; /* expected spread */
} spread_cases[] = {
	{ "a small fleet watches", 5000, 9, 0, PW_FOLLOW_WATCH_SPREAD_MAX_US },
	{ "84 VMs watch a catalogue of 30 KB", 30000, 84, 0, PW_FOLLOW_WATCH_SPREAD_MAX_US },
	{ "295 VMs read a catalogue of 53 KB in turn", 53000, 295, 1000000, 2000000 },
	{ "a large value is read in time", 400000, 295, PW_FOLLOW_SPREAD_MAX_US,
	  PW_FOLLOW_SPREAD_MAX_US },
};

static const struct {
	const char *label;
	uint64_t random;
	uint64_t expected_us; /* with an interval of 10 s */
} periodic_cases[] = {
	{ "earliest", 0, 5000000 },
	{ "mean", 5000000, 10000000 },
	{ "latest", 9999999, 14999999 },
	{ "a large random number", UINT64_C(10000000) * 7 + 3, 5000003 },
};

/* Guards against periodic reads of a fleet that stay in step. */
START_TEST(test_periodic)
{
	ck_assert_msg(pw_follow_next_periodic_us(10000000, periodic_cases[_i].random) ==
			      periodic_cases[_i].expected_us,
		      "%s", periodic_cases[_i].label);
}
END_TEST

/* Guards against all VMs of a large fleet transferring the same value at once. */
START_TEST(test_spread)
{
	uint64_t spread_us =
		pw_follow_spread_us(spread_cases[_i].size_bytes, spread_cases[_i].vm_count);

	ck_assert_msg(spread_us >= spread_cases[_i].min_us && spread_us <= spread_cases[_i].max_us,
		      "%s: %lu us", spread_cases[_i].label, (unsigned long)spread_us);
}
END_TEST

/*
 * Guards against a VM that transfers every version of a value which changes in quick succession,
 * and against reads that go on although nothing changes.
 */
START_TEST(test_follow)
{
	struct pw_follow f = { 0 };

	for (size_t i = 0; i < STEPS_MAX && cases[_i].steps[i].kind; i++) {
		run_step(&f, cases[_i].steps[i].kind, cases[_i].steps[i].at_ms * UINT64_C(1000),
			 cases[_i].steps[i].argument, cases[_i].label, i);
		ck_assert_msg(f.by_reads == cases[_i].steps[i].by_reads, "%s, step %zu",
			      cases[_i].label, i);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("follow");

	tcase_add_loop_test(tc, test_spread, 0, PW_ARRAY_LEN(spread_cases));
	tcase_add_loop_test(tc, test_periodic, 0, PW_ARRAY_LEN(periodic_cases));
	tcase_add_loop_test(tc, test_follow, 0, PW_ARRAY_LEN(cases));
	return pw_suite_run("follow", tc);
}
