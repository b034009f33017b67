/* Tests of the token bucket. */
#include "suite.h"

#include "pw/decide/bucket.h"

#define SECOND_US UINT64_C(1000000)

static const struct {
	const char *label;
	uint64_t rate_per_s;
	uint64_t burst;
	uint64_t take_first;
	uint64_t wait_us;
	uint64_t take;
	bool expected;
} cases[] = {
	{ "starts full", 10, 5, 0, 0, 5, true },
	{ "not above the burst", 10, 5, 0, 100 * SECOND_US, 6, false },
	{ "fills with time", 10, 5, 5, SECOND_US / 5, 2, true },
	{ "not faster than the rate", 10, 5, 5, SECOND_US / 5 - 1, 2, false },
	{ "rate 0", 0, 5, 5, 1000 * SECOND_US, 1, false },
	{ "a year without requests", 100000000, 1000000, 0, 31536000 * SECOND_US, 1000000, true },
};

/*
 * Guards against a bucket that admits more than its rate and burst, and against an overflow of the
 * refill after a long pause.
 */
START_TEST(test_take)
{
	struct pw_bucket b;
	bool taken;

	pw_bucket_init(&b, cases[_i].rate_per_s, cases[_i].burst, SECOND_US);
	ck_assert(pw_bucket_take(&b, cases[_i].take_first, SECOND_US));
	taken = pw_bucket_take(&b, cases[_i].take, SECOND_US + cases[_i].wait_us);
	ck_assert_msg(taken == cases[_i].expected, "case: %s", cases[_i].label);
}
END_TEST

/* Guards against a lowered burst that takes effect only after the old burst has been spent. */
START_TEST(test_configure)
{
	struct pw_bucket b;

	pw_bucket_init(&b, 10, 100, SECOND_US);
	pw_bucket_configure(&b, 10, 5, SECOND_US);
	ck_assert(!pw_bucket_take(&b, 6, SECOND_US));
	ck_assert(pw_bucket_take(&b, 5, SECOND_US));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("bucket");

	tcase_add_loop_test(tc, test_take, 0, PW_ARRAY_LEN(cases));
	tcase_add_test(tc, test_configure);
	return pw_suite_run("bucket", tc);
}
