#include "pw/decide/drain.h"

#include "pw/core/clock.h"

/* Time after the drain; for a limit below four times as much, a quarter of the limit. */
#define RESERVE_MAX_US (1000 * PW_US_PER_MS)
/* A balancer asks once a second and takes a VM out after two failed checks. */
#define GRACE_MAX_US (2200 * PW_US_PER_MS)
/* Length of the drain up to which it has precedence over the grace period. */
#define DRAIN_PREFERRED_US (1000 * PW_US_PER_MS)

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

struct pw_drain_plan pw_drain_plan_for_limit(uint64_t limit_us)
{
	uint64_t reserve_us = min_u64(limit_us / 4, RESERVE_MAX_US);
	uint64_t serving_us = limit_us - reserve_us;
	uint64_t preferred_us = min_u64(serving_us / 2, DRAIN_PREFERRED_US);
	uint64_t grace_us = min_u64(serving_us - preferred_us, GRACE_MAX_US);

	return (struct pw_drain_plan){
		.grace_us = grace_us,
		.drain_us = serving_us - grace_us,
		.close_us = min_u64(reserve_us / 2, PW_DRAIN_CLOSE_US),
		.end_us = limit_us - reserve_us / 10,
	};
}

bool pw_drain_has_started(const struct pw_drain_window *d)
{
	return d->started_us != 0;
}

bool pw_drain_is_over(const struct pw_drain_window *d, uint64_t now_us)
{
	return d->started_us && now_us >= d->ends_us;
}

bool pw_drain_allows_transaction(const struct pw_drain_window *d)
{
	return !d->started_us;
}

bool pw_drain_allows_statement(const struct pw_drain_window *d, uint64_t now_us,
			       uint64_t timeout_us)
{
	uint64_t half_us = (d->ends_us - d->started_us) / 2;
	uint64_t reserved_us = timeout_us < half_us ? timeout_us : half_us;

	return !d->started_us || now_us + reserved_us < d->ends_us;
}

bool pw_drain_allows_operation(const struct pw_drain_window *d, bool was_served, uint64_t now_us,
			       uint64_t timeout_us)
{
	return !d->started_us || (!was_served && pw_drain_allows_statement(d, now_us, timeout_us));
}

bool pw_drain_may_close(const struct pw_drain_window *d, const struct pw_drain_session *s,
			uint64_t now_us)
{
	if (!d->started_us || s->has_statement || s->has_input)
		return false;
	if (now_us >= d->ends_us)
		return true;
	if (s->has_transaction || s->has_output)
		return false;
	return s->was_refused ||
	       s->idle_us >= (s->was_served ? PW_DRAIN_SERVED_IDLE_US : PW_DRAIN_IDLE_US);
}
