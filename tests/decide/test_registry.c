/* Tests of the registered servers that stay in use while their entries are missing. */
#include "suite.h"

#include "pw/decide/registry.h"

#define READS_MAX 6

static const struct {
	const char *label;
	struct {
		uint32_t at_ms;
		bool listed;
		bool expected;
	} reads[READS_MAX]; /* ends before the first read with at_ms 0 */
} cases[] = {
	{ "listed all the time", { { 1, true, true }, { 2500, true, true } } },
	{ "an entry that is back within 2 s",
	  { { 1, true, true },
	    { 2500, false, true },
	    { 4500, true, true },
	    { 7000, false, true } } },
	{ "an entry that does not come back",
	  { { 1, true, true },
	    { 2500, false, true },
	    { 4600, false, true },
	    { 4800, false, false } } },
};

/*
 * Guards against a live server that is dropped when its entry is missing for a while, as after an
 * outage of the store, and against a removed server that stays in use.
 */
START_TEST(test_keep)
{
	struct pw_registry_state state = { 0 };

	for (size_t i = 0; i < READS_MAX && cases[_i].reads[i].at_ms; i++)
		ck_assert_msg(pw_registry_update(&state, cases[_i].reads[i].listed,
						 cases[_i].reads[i].at_ms * UINT64_C(1000)) ==
				      cases[_i].reads[i].expected,
			      "%s, read %zu", cases[_i].label, i);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("registry");

	tcase_add_loop_test(tc, test_keep, 0, PW_ARRAY_LEN(cases));
	return pw_suite_run("registry", tc);
}
