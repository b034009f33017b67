#include "pw/decide/congestion.h"

/*
 * A served statement widens a window below one by a quarter: from the minimum to one in 14 steps.
 */
#define GROWTH_DIVISOR 4

/* From one on, the window grows by one statement for every ten that are served. */
#define GROWTH_STEP (PW_CONGESTION_WINDOW_ONE / 10)

bool pw_congestion_may_start(const struct pw_congestion *c, uint32_t in_flight, uint64_t now_us)
{
	if (!c->window)
		return true;
	if (c->window >= PW_CONGESTION_WINDOW_ONE)
		return in_flight < c->window / PW_CONGESTION_WINDOW_ONE;
	return !in_flight && now_us >= c->next_start_us;
}

void pw_congestion_record_start(struct pw_congestion *c, uint64_t latency_us, uint64_t now_us)
{
	if (c->window && c->window < PW_CONGESTION_WINDOW_ONE)
		c->next_start_us = now_us + latency_us * PW_CONGESTION_WINDOW_ONE / c->window;
}

void pw_congestion_record_success(struct pw_congestion *c)
{
	if (!c->window)
		return;
	if (c->window < PW_CONGESTION_WINDOW_ONE)
		c->window += c->window / GROWTH_DIVISOR;
	else
		c->window += GROWTH_STEP;
	if (c->window >= PW_CONGESTION_WINDOW_MAX)
		*c = (struct pw_congestion){ 0 };
}

void pw_congestion_record_refusal(struct pw_congestion *c, uint32_t in_flight, uint64_t latency_us,
				  uint64_t now_us)
{
	uint32_t window =
		c->window ? c->window : (in_flight ? in_flight : 1) * PW_CONGESTION_WINDOW_ONE;

	/* Refusals within one latency of the last cut have the same cause: only one counts. */
	if (c->last_halved_us && now_us < c->last_halved_us + latency_us)
		return;
	c->last_halved_us = now_us;
	c->window = window / 2 > PW_CONGESTION_WINDOW_MIN ? window / 2 : PW_CONGESTION_WINDOW_MIN;
	if (c->window < PW_CONGESTION_WINDOW_ONE)
		c->next_start_us = now_us + latency_us * PW_CONGESTION_WINDOW_ONE / c->window;
}

uint64_t pw_congestion_backlog_us(const struct pw_congestion *c, uint32_t waiting,
				  uint64_t latency_us)
{
	return c->window ? (uint64_t)waiting * latency_us * PW_CONGESTION_WINDOW_ONE / c->window
			 : 0;
}
