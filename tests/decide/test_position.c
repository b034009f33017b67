/* Tests of log positions and position tokens. */
#include "suite.h"

#include "pw/core/error.h"
#include "pw/decide/position.h"

static const struct {
	const char *label;
	struct pw_position a, b;
	int order;
} compare_cases[] = {
	{ "equal", { 1, 5 }, { 1, 5 }, 0 },
	{ "same term, lower offset", { 1, 4 }, { 1, 5 }, -1 },
	{ "older term, greater offset", { 1, 900 }, { 2, 5 }, -1 },
	{ "newer term, lower offset", { 3, 0 }, { 2, UINT64_MAX }, 1 },
	{ "greatest values", { UINT64_MAX, UINT64_MAX }, { UINT64_MAX, 0 }, 1 },
};

/* Guards against a great offset of an older term that compares as ahead of a newer term. */
START_TEST(test_compare)
{
	struct pw_position a = compare_cases[_i].a, b = compare_cases[_i].b;
	struct pw_position max = pw_position_max(&a, &b);

	ck_assert_msg(pw_position_compare(&a, &b) == compare_cases[_i].order, "case: %s",
		      compare_cases[_i].label);
	ck_assert_int_eq(pw_position_compare(&b, &a), -compare_cases[_i].order);
	ck_assert_int_ge(pw_position_compare(&max, &a), 0);
	ck_assert_int_ge(pw_position_compare(&max, &b), 0);
}
END_TEST

static const struct {
	const char *text;
	int result;
	struct pw_position position;
} parse_cases[] = {
	{ "1/0", PW_OK, { 1, 0 } },
	{ "a/1F", PW_OK, { 10, 31 } },
	{ "0003/0000ff", PW_OK, { 3, 255 } },
	{ "ffffffffffffffff/ffffffffffffffff", PW_OK, { UINT64_MAX, UINT64_MAX } },
	{ "", PW_EINVALID, { 0 } },
	{ "/", PW_EINVALID, { 0 } },
	{ "1", PW_EINVALID, { 0 } },
	{ "1/", PW_EINVALID, { 0 } },
	{ "/1", PW_EINVALID, { 0 } },
	{ "1/2/3", PW_EINVALID, { 0 } },
	{ "1/2 ", PW_EINVALID, { 0 } },
	{ " 1/2", PW_EINVALID, { 0 } },
	{ "-1/2", PW_EINVALID, { 0 } },
	{ "+1/2", PW_EINVALID, { 0 } },
	{ "0x1/2", PW_EINVALID, { 0 } },
	{ "1/g", PW_EINVALID, { 0 } },
	{ "10000000000000000/1", PW_EINVALID, { 0 } },
	{ "1/00000000000000001", PW_EINVALID, { 0 } },
};

/* Guards against a malformed token that is parsed as a low floor. */
START_TEST(test_parse)
{
	struct pw_position p = { 77, 88 };
	char text[PW_POSITION_TEXT_SIZE];
	int rc = pw_position_parse(&p, parse_cases[_i].text);

	ck_assert_msg(rc == parse_cases[_i].result, "token: %s", parse_cases[_i].text);
	if (rc) {
		ck_assert_uint_eq(p.term, 77);
		ck_assert_uint_eq(p.lsn, 88);
		return;
	}
	ck_assert_int_eq(pw_position_compare(&p, &parse_cases[_i].position), 0);
	pw_position_format(text, &p);
	ck_assert_int_eq(pw_position_parse(&p, text), PW_OK);
	ck_assert_int_eq(pw_position_compare(&p, &parse_cases[_i].position), 0);
}
END_TEST

static const struct {
	const char *label;
	struct pw_position floor, start;
	bool lost;
} lost_cases[] = {
	{ "below the start", { 1, 90 }, { 2, 100 }, false },
	{ "at the start", { 1, 100 }, { 2, 100 }, false },
	{ "beyond the start", { 1, 101 }, { 2, 100 }, true },
	{ "same term", { 2, 500 }, { 2, 100 }, false },
	{ "newer floor", { 3, 500 }, { 2, 100 }, false },
	{ "no floor", { 0, 0 }, { 2, 100 }, false },
};

/* Guards against lost writes that go undetected, and against a loss reported without cause. */
START_TEST(test_lost)
{
	ck_assert_msg(pw_position_is_lost(&lost_cases[_i].floor, &lost_cases[_i].start) ==
			      lost_cases[_i].lost,
		      "case: %s", lost_cases[_i].label);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("position");

	tcase_add_loop_test(tc, test_compare, 0, PW_ARRAY_LEN(compare_cases));
	tcase_add_loop_test(tc, test_parse, 0, PW_ARRAY_LEN(parse_cases));
	tcase_add_loop_test(tc, test_lost, 0, PW_ARRAY_LEN(lost_cases));
	return pw_suite_run("position", tc);
}
