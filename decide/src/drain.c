#include "pw/decide/drain.h"

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
