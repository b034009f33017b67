#include "pw/decide/admission.h"

#include <math.h>

/* Percentages of the target time and of the timeout for which an operation may wait. */
#define WAIT_AIM_PERCENT     50
#define WAIT_TIMEOUT_PERCENT 45

/* Tokens are kept for the urgent operations of this time, at least one where any is expected. */
#define RESERVE_S                0.5
#define RESERVE_MIN_TOKENS       1.0
#define RESERVE_DEMAND_MIN_PER_S 0.01

/* Shortest retry time. */
#define RETRY_MIN_US UINT64_C(100000)
/* With this divisor, both of two retries are within the target time. */
#define RETRY_AIM_DIVISOR 2

bool pw_admission_precedes(const struct pw_admission_request *a,
			   const struct pw_admission_request *b)
{
	uint64_t a_limit_us = pw_admission_wait_limit_us(a);
	uint64_t b_limit_us = pw_admission_wait_limit_us(b);

	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a_limit_us != b_limit_us)
		return a_limit_us < b_limit_us;
	return a->arrived_us < b->arrived_us;
}

uint64_t pw_admission_wait_limit_us(const struct pw_admission_request *r)
{
	uint64_t aim_us = r->aim_us * WAIT_AIM_PERCENT / 100;
	uint64_t timeout_us = r->timeout_us * WAIT_TIMEOUT_PERCENT / 100;

	return r->arrived_us + (aim_us < timeout_us ? aim_us : timeout_us);
}

/* Returns the tokens that an operation leaves for urgent ones. */
static double reserved_tokens(const struct pw_admission_view *v,
			      const struct pw_admission_request *r)
{
	if (r->urgent || !v->share->contended || v->urgent_demand_per_s < RESERVE_DEMAND_MIN_PER_S)
		return 0;
	/* A bucket that is full has a token for everybody. */
	return fmin(fmax(v->urgent_demand_per_s * RESERVE_S, RESERVE_MIN_TOKENS),
		    fmax(v->share->burst - 1, 0));
}

/* Returns the rate at which tokens accrue for the operation. */
static double accrual_per_s(const struct pw_admission_view *v, const struct pw_admission_request *r)
{
	if (r->urgent || !v->share->contended)
		return v->share->rate_per_s;
	return v->share->rate_per_s - v->urgent_demand_per_s;
}

/* Returns the time until the operation's token is expected; UINT64_MAX: none is. */
static uint64_t token_in_us(const struct pw_admission_view *v, const struct pw_admission_request *r)
{
	double missing = 1 + v->ahead + reserved_tokens(v, r) - v->tokens.level;
	double per_s = accrual_per_s(v, r);
	double wait_s;

	if (missing <= 0)
		return 0;
	wait_s = per_s > 0 ? missing / per_s : INFINITY;
	return wait_s < 3600 ? (uint64_t)ceil(wait_s * 1e6) : UINT64_MAX;
}

/* Returns a retry time between that of the token and the last one that leaves time to be served. */
static uint64_t retry_us(const struct pw_admission_view *v, const struct pw_admission_request *r,
			 uint64_t wait_us)
{
	uint64_t most_us = r->aim_us / RETRY_AIM_DIVISOR;
	uint64_t least_us = wait_us > RETRY_MIN_US ? wait_us : RETRY_MIN_US;

	if (most_us < 2 * RETRY_MIN_US)
		most_us = 2 * RETRY_MIN_US;
	if (least_us > most_us / 2)
		least_us = most_us / 2;
	return least_us + (most_us - least_us) * v->random / UINT32_MAX;
}

struct pw_admission_decision pw_admission_decide(const struct pw_admission_view *v,
						 const struct pw_admission_request *r,
						 uint64_t now_us)
{
	struct pw_admission_view current = *v;
	struct pw_admission_decision d = { .verdict = PW_ADMISSION_REFUSE };
	uint64_t limit_us = pw_admission_wait_limit_us(r), wait_us;

	pw_share_bucket_refill(&current.tokens, v->share, now_us);
	if (!v->ahead &&
	    pw_share_bucket_has(&current.tokens, v->share, reserved_tokens(&current, r))) {
		d.verdict = PW_ADMISSION_ADMIT;
		return d;
	}
	wait_us = token_in_us(&current, r);
	if (limit_us > now_us && wait_us <= limit_us - now_us) {
		d.verdict = PW_ADMISSION_WAIT;
		d.token_in_us = wait_us;
	} else {
		d.retry_us = retry_us(v, r, wait_us);
	}
	return d;
}
