/* Tests of what a stopping VM still does for its callers' sessions. */
#include "suite.h"

#include <glib.h>

#include "pw/decide/drain.h"

#define MS UINT64_C(1000)

/* A drain from 1000 to 3800 ms. */
static const struct pw_drain_window drain = { .started_us = 1000 * MS, .ends_us = 3800 * MS };
static const struct pw_drain_window no_drain;

/* Guards against a statement that the end of the process cuts off, or that is refused too early. */
static const struct {
	const char *label;
	const struct pw_drain_window *drain;
	uint64_t now_us, timeout_us;
	bool allowed;
} statement_cases[] = {
	{ "no drain", &no_drain, 9000 * MS, 2000 * MS, true },
	{ "time for its timeout", &drain, 2799 * MS, 1000 * MS, true },
	{ "no time for its timeout", &drain, 2800 * MS, 1000 * MS, false },
	{ "long timeout, first half", &drain, 2399 * MS, 2000 * MS, true },
	{ "long timeout, second half", &drain, 2400 * MS, 2000 * MS, false },
	{ "timeout of any length, first half", &drain, 2399 * MS, UINT64_MAX / 2, true },
	{ "after the end", &drain, 3900 * MS, 0, false },
};

START_TEST(test_statements)
{
	ck_assert_msg(pw_drain_allows_statement(
			      statement_cases[_i].drain, statement_cases[_i].now_us,
			      statement_cases[_i].timeout_us) == statement_cases[_i].allowed,
		      "%s", statement_cases[_i].label);
}
END_TEST

/* Guards against a caller without a pause that is served until its session is closed. */
static const struct {
	const char *label;
	const struct pw_drain_window *drain;
	bool was_served;
	uint64_t now_us;
	bool allowed;
} operation_cases[] = {
	{ "no drain", &no_drain, true, 9000 * MS, true },
	{ "first one", &drain, false, 2000 * MS, true },
	{ "second one", &drain, true, 2000 * MS, false },
	{ "first one, no time for it", &drain, false, 3000 * MS, false },
};

START_TEST(test_operations)
{
	ck_assert_msg(pw_drain_allows_operation(
			      operation_cases[_i].drain, operation_cases[_i].was_served,
			      operation_cases[_i].now_us, 1000 * MS) == operation_cases[_i].allowed,
		      "%s", operation_cases[_i].label);
}
END_TEST

/* Guards against the close of a session whose request has been read and is not answered. */
static const struct {
	const char *label;
	const struct pw_drain_window *drain;
	struct pw_drain_session session;
	uint64_t now_us;
	bool may_close;
} close_cases[] = {
	{ "no drain", &no_drain, { .idle_us = 9000 * MS }, 2000 * MS, false },
	{ "idle", &drain, { .idle_us = 300 * MS }, 2000 * MS, true },
	{ "in use", &drain, { .idle_us = 299 * MS }, 2000 * MS, false },
	{ "served, idle", &drain, { .was_served = true, .idle_us = 100 * MS }, 2000 * MS, true },
	{ "served, its next request may be on the way",
	  &drain,
	  { .was_served = true, .idle_us = 99 * MS },
	  2000 * MS,
	  false },
	{ "refused", &drain, { .was_refused = true }, 2000 * MS, true },
	{ "refused, but a request is in the socket",
	  &drain,
	  { .was_refused = true, .has_input = true },
	  2000 * MS,
	  false },
	{ "in a transaction",
	  &drain,
	  { .has_transaction = true, .idle_us = 300 * MS },
	  2000 * MS,
	  false },
	{ "idle, but a request is in the socket",
	  &drain,
	  { .has_input = true, .idle_us = 300 * MS },
	  2000 * MS,
	  false },
	{ "idle, but its caller has not read the answer",
	  &drain,
	  { .has_output = true, .idle_us = 300 * MS },
	  2000 * MS,
	  false },
	{ "refused, but its caller has not read the answer",
	  &drain,
	  { .was_refused = true, .has_output = true },
	  2000 * MS,
	  false },
	{ "at the end, its caller has not read the answer",
	  &drain,
	  { .has_output = true },
	  3800 * MS,
	  true },
	{ "at the end, in use", &drain, { .idle_us = 0 }, 3800 * MS, true },
	{ "at the end, in a transaction", &drain, { .has_transaction = true }, 3800 * MS, true },
	{ "at the end, a request is in the socket",
	  &drain,
	  { .has_input = true },
	  3800 * MS,
	  false },
	{ "at the end, a statement is outstanding",
	  &drain,
	  { .has_statement = true },
	  3800 * MS,
	  false },
};

START_TEST(test_close)
{
	ck_assert_msg(pw_drain_may_close(close_cases[_i].drain, &close_cases[_i].session,
					 close_cases[_i].now_us) == close_cases[_i].may_close,
		      "%s", close_cases[_i].label);
}
END_TEST

START_TEST(test_phases)
{
	ck_assert(!pw_drain_has_started(&no_drain) && pw_drain_has_started(&drain));
	ck_assert(pw_drain_allows_transaction(&no_drain));
	ck_assert(!pw_drain_allows_transaction(&drain));
	ck_assert(!pw_drain_is_over(&no_drain, 9000 * MS));
	ck_assert(!pw_drain_is_over(&drain, 3799 * MS));
	ck_assert(pw_drain_is_over(&drain, 3800 * MS));
}
END_TEST

/* Guards against times of a stop that do not fit the time after which the process is killed. */
static const struct {
	/* Fractions of a millisecond are left out. */
	uint64_t limit_ms, grace_ms, drain_ms, close_ms, end_ms;
} plan_cases[] = {
	{ 0, 0, 0, 0, 0 },
	{ 100, 37, 37, 12, 97 },
	{ 1000, 375, 375, 125, 975 },
	{ 2000, 750, 750, 250, 1950 },
	{ 3000, 1250, 1000, 300, 2925 },
	{ 4000, 2000, 1000, 300, 3900 },
	{ 6000, 2200, 2800, 300, 5900 },
	{ 10000, 2200, 6800, 300, 9900 },
	{ 30000, 2200, 26800, 300, 29900 },
};

START_TEST(test_plan)
{
	uint64_t limit_ms = plan_cases[_i].limit_ms;
	struct pw_drain_plan p = pw_drain_plan_for_limit(limit_ms * MS);

	ck_assert_uint_eq(p.grace_us / MS, plan_cases[_i].grace_ms);
	ck_assert_uint_eq(p.drain_us / MS, plan_cases[_i].drain_ms);
	ck_assert_uint_eq(p.close_us / MS, plan_cases[_i].close_ms);
	ck_assert_uint_eq(p.end_us / MS, plan_cases[_i].end_ms);
}
END_TEST

/* Guards against a limit for which the steps overlap or an open transaction has too little time. */
START_TEST(test_plan_invariants)
{
	struct pw_drain_plan last = { 0 };

	for (uint64_t limit_us = 0; limit_us <= 60000 * MS; limit_us += 50 * MS) {
		struct pw_drain_plan p = pw_drain_plan_for_limit(limit_us);
		uint64_t closed_us = p.grace_us + p.drain_us + p.close_us;
		const struct pw_drain_window window = {
			.started_us = 1 + p.grace_us,
			.ends_us = 1 + p.grace_us + p.drain_us,
		};

		/* Some time is left to leave the fleet, and some before the kill. */
		ck_assert_msg(!limit_us || (closed_us < p.end_us && p.end_us < limit_us),
			      "limit %" G_GUINT64_FORMAT " us", limit_us);
		ck_assert_msg(closed_us <= limit_us, "limit %" G_GUINT64_FORMAT " us", limit_us);
		/* A statement of any timeout is passed on in the first half of the limit. */
		ck_assert_msg(!limit_us || pw_drain_allows_statement(&window, limit_us / 2,
								     UINT64_MAX / 2),
			      "limit %" G_GUINT64_FORMAT " us", limit_us);
		ck_assert_msg(limit_us < 4200 * MS || p.grace_us >= 2000 * MS,
			      "limit %" G_GUINT64_FORMAT " us", limit_us);
		/* More time shortens no step. */
		ck_assert_msg(p.grace_us >= last.grace_us && p.drain_us >= last.drain_us &&
				      p.close_us >= last.close_us && p.end_us >= last.end_us,
			      "limit %" G_GUINT64_FORMAT " us", limit_us);
		last = p;
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("drain rules");

	tcase_add_loop_test(tc, test_statements, 0, PW_ARRAY_LEN(statement_cases));
	tcase_add_loop_test(tc, test_operations, 0, PW_ARRAY_LEN(operation_cases));
	tcase_add_loop_test(tc, test_close, 0, PW_ARRAY_LEN(close_cases));
	tcase_add_test(tc, test_phases);
	tcase_add_loop_test(tc, test_plan, 0, PW_ARRAY_LEN(plan_cases));
	tcase_add_test(tc, test_plan_invariants);
	return pw_suite_run("drain rules", tc);
}
