/* Tests of the decisions about failed attempts. */
#include "suite.h"

#include "pw/core/clock.h"
#include "pw/decide/retry.h"

#define NOW_US      UINT64_C(5000000)
#define DEADLINE_US UINT64_C(6000000)

static const struct {
	const char *label;
	struct pw_attempt attempt;
	enum pw_retry_decision expected;
} cases[] = {
	{ "not sent",
	  { .failure = PW_ATTEMPT_NOT_SENT, .deadline_us = DEADLINE_US },
	  PW_RETRY_AGAIN },
	{ "not sent, past its deadline",
	  { .failure = PW_ATTEMPT_NOT_SENT, .deadline_us = NOW_US },
	  PW_RETRY_NOT_RUN },
	{ "refused by a replaced primary",
	  { .failure = PW_ATTEMPT_REFUSED, .deadline_us = DEADLINE_US },
	  PW_RETRY_AGAIN },
	{ "refused within a transaction",
	  { .failure = PW_ATTEMPT_REFUSED, .in_transaction = true, .deadline_us = DEADLINE_US },
	  PW_RETRY_NOT_RUN },
	{ "write without an answer",
	  { .failure = PW_ATTEMPT_UNANSWERED, .deadline_us = DEADLINE_US },
	  PW_RETRY_OUTCOME_UNKNOWN },
	{ "read without an answer",
	  { .failure = PW_ATTEMPT_UNANSWERED, .repeatable = true, .deadline_us = DEADLINE_US },
	  PW_RETRY_AGAIN },
	{ "read whose answer broke off",
	  { .failure = PW_ATTEMPT_UNANSWERED,
	    .repeatable = true,
	    .answer_started = true,
	    .deadline_us = DEADLINE_US },
	  PW_RETRY_OUTCOME_UNKNOWN },
	{ "read without an answer within a transaction",
	  { .failure = PW_ATTEMPT_UNANSWERED,
	    .repeatable = true,
	    .in_transaction = true,
	    .deadline_us = DEADLINE_US },
	  PW_RETRY_OUTCOME_UNKNOWN },
	{ "read without an answer, past its deadline",
	  { .failure = PW_ATTEMPT_UNANSWERED, .repeatable = true, .deadline_us = NOW_US },
	  PW_RETRY_OUTCOME_UNKNOWN },
};

/*
 * Guards against a write that is sent twice, and against a refusal that says the statement was not
 * run although it may have been.
 */
START_TEST(test_decision)
{
	struct pw_retry_budget b;

	pw_retry_budget_init(&b, NOW_US);
	ck_assert_msg(pw_retry_decide(&b, &cases[_i].attempt, NOW_US) == cases[_i].expected,
		      "case: %s", cases[_i].label);
}
END_TEST

static const struct {
	const char *label;
	uint32_t requests;
	uint64_t wait_us;
	uint32_t retries;
} budget_cases[] = {
	{ "at the start", 0, 0, PW_RETRY_BUDGET_PER_S },
	{ "after 100 requests", 100, 0, PW_RETRY_BUDGET_PER_S + 10 },
	{ "after a second", 0, PW_US_PER_S, 2 * PW_RETRY_BUDGET_PER_S },
	{ "after an hour", 0, 3600 * PW_US_PER_S, PW_RETRY_BUDGET_MAX },
	{ "after many requests", 1000000, 0, PW_RETRY_BUDGET_MAX },
};

/* Guards against retries that multiply the load of a failing upstream. */
START_TEST(test_budget)
{
	struct pw_attempt a = { .failure = PW_ATTEMPT_NOT_SENT, .deadline_us = UINT64_MAX };
	uint64_t now_us = NOW_US + budget_cases[_i].wait_us;
	struct pw_retry_budget b;
	uint32_t retries = 0;

	pw_retry_budget_init(&b, NOW_US);
	for (uint32_t i = 0; i < budget_cases[_i].requests; i++)
		pw_retry_budget_add_request(&b);
	while (pw_retry_decide(&b, &a, now_us) == PW_RETRY_AGAIN)
		retries++;
	ck_assert_msg(retries == budget_cases[_i].retries, "case: %s: %u retries",
		      budget_cases[_i].label, retries);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("retry");

	tcase_add_loop_test(tc, test_decision, 0, PW_ARRAY_LEN(cases));
	tcase_add_loop_test(tc, test_budget, 0, PW_ARRAY_LEN(budget_cases));
	return pw_suite_run("retry", tc);
}
