#include "pw/decide/congestion.h"

/* A served statement widens a window below one by a quarter: from the least to one in 14 steps. */
#define WIDEN_PART 4

/* Above one, ten served statements make room for one more. */
#define WIDEN_STEP (PW_CONGESTION_ONE / 10)

bool pw_congestion_may_start(const struct pw_congestion *c, uint32_t running, uint64_t now_us)
{
	if (!c->window)
		return true;
	if (c->window >= PW_CONGESTION_ONE)
		return running < c->window / PW_CONGESTION_ONE;
	return !running && now_us >= c->next_start_us;
}

void pw_congestion_started(struct pw_congestion *c, uint64_t latency_us, uint64_t now_us)
{
	if (c->window && c->window < PW_CONGESTION_ONE)
		c->next_start_us = now_us + latency_us * PW_CONGESTION_ONE / c->window;
}

void pw_congestion_served(struct pw_congestion *c)
{
	if (!c->window)
		return;
	if (c->window < PW_CONGESTION_ONE)
		c->window += c->window / WIDEN_PART;
	else
		c->window += WIDEN_STEP;
	if (c->window >= PW_CONGESTION_MAX)
		*c = (struct pw_congestion){ 0 };
}

void pw_congestion_refused(struct pw_congestion *c, uint32_t running, uint64_t latency_us,
			   uint64_t now_us)
{
	uint32_t window = c->window ? c->window : (running ? running : 1) * PW_CONGESTION_ONE;

	/* Refusals of what was started together tell of one state of the server. */
	if (c->cut_us && now_us < c->cut_us + latency_us)
		return;
	c->cut_us = now_us;
	c->window = window / 2 > PW_CONGESTION_MIN ? window / 2 : PW_CONGESTION_MIN;
	if (c->window < PW_CONGESTION_ONE)
		c->next_start_us = now_us + latency_us * PW_CONGESTION_ONE / c->window;
}

uint64_t pw_congestion_backlog_us(const struct pw_congestion *c, uint32_t waiting,
				  uint64_t latency_us)
{
	return c->window ? (uint64_t)waiting * latency_us * PW_CONGESTION_ONE / c->window : 0;
}
