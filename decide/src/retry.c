#include "pw/decide/retry.h"

#include <string.h>

#include "pw/core/clock.h"

#define HUNDREDTHS_PER_RETRY UINT64_C(100)

void pw_retry_budget_init(struct pw_retry_budget *b, uint64_t now_us)
{
	*b = (struct pw_retry_budget){
		.level_hundredths = PW_RETRY_BUDGET_PER_S * HUNDREDTHS_PER_RETRY,
		.last_refill_us = now_us,
	};
}

static void add_retries(struct pw_retry_budget *b, uint64_t hundredths)
{
	b->level_hundredths += hundredths;
	if (b->level_hundredths > PW_RETRY_BUDGET_MAX * HUNDREDTHS_PER_RETRY)
		b->level_hundredths = PW_RETRY_BUDGET_MAX * HUNDREDTHS_PER_RETRY;
}

void pw_retry_budget_add_request(struct pw_retry_budget *b)
{
	add_retries(b, PW_RETRY_BUDGET_REQUEST_PERCENT);
}

static bool take_retry(struct pw_retry_budget *b, uint64_t now_us)
{
	const uint64_t us_per_hundredth =
		PW_US_PER_S / (PW_RETRY_BUDGET_PER_S * HUNDREDTHS_PER_RETRY);

	if (now_us > b->last_refill_us) {
		uint64_t hundredths = (now_us - b->last_refill_us) / us_per_hundredth;

		add_retries(b, hundredths);
		b->last_refill_us += hundredths * us_per_hundredth;
	}
	if (b->level_hundredths < HUNDREDTHS_PER_RETRY)
		return false;
	b->level_hundredths -= HUNDREDTHS_PER_RETRY;
	return true;
}

enum pw_retry_decision pw_retry_decide(struct pw_retry_budget *b, const struct pw_attempt *a,
				       uint64_t now_us)
{
	bool not_run = a->failure != PW_ATTEMPT_UNANSWERED;
	bool may_repeat = not_run || (a->repeatable && !a->answer_started);

	if (may_repeat && !a->in_transaction && now_us < a->deadline_us && take_retry(b, now_us))
		return PW_RETRY_AGAIN;
	return not_run ? PW_RETRY_NOT_RUN : PW_RETRY_OUTCOME_UNKNOWN;
}

bool pw_retry_is_refusal(const char *sqlstate)
{
	/* read_only_sql_transaction, cannot_connect_now, too_many_connections */
	static const char *const refusals[] = { "25006", "57P03", "53300" };

	for (size_t i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
		if (strcmp(sqlstate, refusals[i]) == 0)
			return true;
	}
	return false;
}
