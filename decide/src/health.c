#include "pw/decide/health.h"

void pw_health_init(struct pw_health *h, const struct pw_health_options *o, uint64_t now_us)
{
	*h = (struct pw_health){ .options = *o, .last_tick_us = now_us };
}

static uint32_t set_state(struct pw_health *h, enum pw_health_state state, uint64_t now_us)
{
	if (h->state == state)
		return 0;
	if (state == PW_HEALTH_SUSPECT)
		h->suspect_since_us = now_us;
	h->state = state;
	return PW_HEALTH_CHANGED;
}

void pw_health_record_probe(struct pw_health *h, uint64_t now_us)
{
	if (!h->oldest_unanswered_us)
		h->oldest_unanswered_us = now_us;
}

uint32_t pw_health_record_answer(struct pw_health *h, uint64_t now_us)
{
	h->last_answer_us = now_us;
	h->oldest_unanswered_us = 0;
	h->fresh_connection_us = 0;
	h->first_failure_us = 0;
	return set_state(h, PW_HEALTH_ALIVE, now_us);
}

uint32_t pw_health_record_failure(struct pw_health *h, uint64_t now_us)
{
	if (!h->first_failure_us)
		h->first_failure_us = now_us;
	if (now_us - h->first_failure_us < h->options.failure_interval_us ||
	    pw_health_is_down(h->state))
		return 0;
	return set_state(h, PW_HEALTH_SUSPECT, now_us);
}

/*
 * Restarts the running timeouts after a pause of this process: answers may wait unread in the
 * sockets, so the length of the pause says nothing about the server.
 */
static void restart_timeouts(struct pw_health *h, uint64_t now_us)
{
	if (h->oldest_unanswered_us)
		h->oldest_unanswered_us = now_us;
	if (h->fresh_connection_us)
		h->fresh_connection_us = now_us;
	if (h->first_failure_us)
		h->first_failure_us = now_us;
}

uint32_t pw_health_tick(struct pw_health *h, uint64_t now_us)
{
	const struct pw_health_options *o = &h->options;
	uint32_t actions = 0;

	if (now_us - h->last_tick_us > o->pause_threshold_us)
		restart_timeouts(h, now_us);
	h->last_tick_us = now_us;
	if (h->state == PW_HEALTH_SUSPECT && now_us - h->suspect_since_us >= o->dead_after_us)
		return set_state(h, PW_HEALTH_DEAD, now_us);
	if (!h->oldest_unanswered_us)
		return 0;
	if (!h->fresh_connection_us &&
	    now_us >= h->oldest_unanswered_us + o->fresh_connection_after_us) {
		h->fresh_connection_us = now_us;
		actions |= PW_HEALTH_OPEN_FRESH;
	}
	if (!pw_health_is_down(h->state) && h->fresh_connection_us &&
	    now_us >= h->oldest_unanswered_us + o->suspect_after_us &&
	    now_us >= h->fresh_connection_us + o->fresh_connection_min_us)
		actions |= set_state(h, PW_HEALTH_SUSPECT, now_us);
	return actions;
}
