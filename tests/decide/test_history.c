/* Tests of the history of a primary's positions: floors that cover every commit before a time. */
#include "suite.h"

#include "pw/decide/history.h"

#define ANSWERS_MAX 6

static const struct {
	const char *label;
	struct {
		uint32_t sent_ms;
		uint32_t lsn;
	} answers[ANSWERS_MAX]; /* ends with `sent_ms` 0 */
	uint32_t before_ms;
	uint32_t floor_lsn; /* 0: no floor */
} cases[] = {
	{ "no answer yet", { { 0 } }, 100, 0 },
	{ "an answer to an older statement does not cover the time", { { 90, 5 } }, 100, 0 },
	{ "an answer to a statement sent at that time covers it", { { 100, 5 } }, 100, 5 },
	{ "the oldest position that covers the time, which replicas reach first",
	  { { 90, 5 }, { 120, 6 }, { 150, 7 } },
	  100,
	  6 },
	{ "time 0 accepts any position of the primary", { { 90, 5 }, { 120, 6 } }, 0, 5 },
	{ "answers in another order than their statements", { { 120, 6 }, { 60, 9 } }, 50, 6 },
	{ "an answer too soon after another is dropped", { { 100, 5 }, { 110, 6 } }, 105, 0 },
};

/*
 * Guards against a floor that does not cover a commit before the given time, which lets a read see
 * data that is too old, and against one so high that replicas are passed over needlessly.
 */
START_TEST(test_floor)
{
	struct pw_history h = { 0 };
	struct pw_position position = { 0 };
	bool found;

	for (size_t i = 0; i < ANSWERS_MAX && cases[_i].answers[i].sent_ms; i++) {
		const struct pw_position p = { .term = 1, .lsn = cases[_i].answers[i].lsn };

		pw_history_record(&h, cases[_i].answers[i].sent_ms * UINT64_C(1000), &p);
	}
	found = pw_history_find_floor(&h, cases[_i].before_ms * UINT64_C(1000), &position, NULL);
	ck_assert_msg(found == (cases[_i].floor_lsn != 0), "%s", cases[_i].label);
	ck_assert_msg(position.lsn == cases[_i].floor_lsn, "%s", cases[_i].label);
}
END_TEST

/* Guards against a position of a replaced primary used for commits of its successor. */
START_TEST(test_generation)
{
	struct pw_history h = { 0 };
	const struct pw_position p = { .term = 1, .lsn = 5 };
	struct pw_position position;

	pw_history_set_generation(&h, 1);
	pw_history_record(&h, 100000, &p);
	pw_history_set_generation(&h, 1);
	ck_assert(pw_history_find_floor(&h, 0, &position, NULL));
	pw_history_set_generation(&h, 2);
	ck_assert(!pw_history_find_floor(&h, 0, &position, NULL));
}
END_TEST

/* Guards against a full ring that drops new entries instead of the oldest. */
START_TEST(test_ring)
{
	struct pw_history h = { 0 };
	struct pw_position position;
	uint64_t sent_us;

	for (uint64_t i = 1; i <= 3 * PW_HISTORY_ENTRIES_MAX; i++) {
		const struct pw_position p = { .term = 1, .lsn = i };

		pw_history_record(&h, i * PW_HISTORY_INTERVAL_MIN_US, &p);
	}
	ck_assert(pw_history_find_floor(&h, 0, &position, &sent_us));
	ck_assert_uint_eq(position.lsn, 2 * PW_HISTORY_ENTRIES_MAX + 1);
	ck_assert_uint_eq(sent_us, position.lsn * PW_HISTORY_INTERVAL_MIN_US);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("history");

	tcase_add_loop_test(tc, test_floor, 0, PW_ARRAY_LEN(cases));
	tcase_add_test(tc, test_generation);
	tcase_add_test(tc, test_ring);
	return pw_suite_run("history", tc);
}
