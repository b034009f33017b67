#include "pw/decide/share.h"

#include <math.h>

/* While all demand is below this part of the rate, arrivals may come unevenly without harm. */
#define CALM_PART 0.9

/*
 * Burst of a VM in calm times, as a part of the whole: arrivals of n VMs vary less together than
 * apart by the root of n, so half of the burst divided by the root covers the usual variation.
 */
#define CALM_BURST_PART 0.5

/* Burst of a VM in a flood: the burst of the account was spent at its start. */
#define FLOOD_BURST_PART 0.25

/* With fewer tokens, some are lost while no operation happens to come to this VM. */
#define BURST_MIN 2.5

struct pw_share pw_share_compute(const struct pw_share_input *in)
{
	uint32_t members = 1 + in->heard + in->silent;
	double reserved = in->rate_per_s * in->silent / members;
	double available = in->rate_per_s - reserved;
	double demand = in->own_demand_per_s + in->others_demand_per_s;
	struct pw_share s = { .contended = demand > available };

	if (s.contended)
		s.rate_per_s = available * in->own_demand_per_s / demand;
	else
		s.rate_per_s = in->own_demand_per_s + (available - demand) / (1 + in->heard);
	s.burst = in->rate_per_s > 0 ? in->burst * s.rate_per_s / in->rate_per_s : 0;
	if (demand <= available * CALM_PART)
		s.burst = fmax(s.burst, in->burst * CALM_BURST_PART / sqrt(members));
	else if (s.contended)
		s.burst *= FLOOD_BURST_PART;
	if (in->rate_per_s > 0)
		s.burst = fmax(s.burst, BURST_MIN);
	return s;
}

double pw_share_rate_per_s(double rate_per_s, double burst, uint64_t window_us,
			   uint64_t contended_us)
{
	if (!window_us || contended_us < window_us)
		return rate_per_s;
	return rate_per_s + burst * 1e6 / (double)window_us;
}

void pw_demand_add(struct pw_demand *d, uint32_t arrivals, uint64_t now_us)
{
	d->per_s = pw_demand_at(d, now_us) + arrivals * 1e6 / (double)PW_DEMAND_TIME_US;
	d->noted_us = now_us;
}

double pw_demand_at(const struct pw_demand *d, uint64_t now_us)
{
	double age_us = now_us > d->noted_us ? (double)(now_us - d->noted_us) : 0;

	return d->per_s * exp(-age_us / (double)PW_DEMAND_TIME_US);
}

/* A VM that starts may follow one that has spent its share of the burst. */
#define START_PART 0.5

void pw_tokens_init(struct pw_tokens *t, const struct pw_share *s, uint64_t now_us)
{
	t->level = fmax(s->burst * START_PART, 1);
	t->filled_us = now_us;
}

void pw_tokens_fill(struct pw_tokens *t, const struct pw_share *s, uint64_t now_us)
{
	if (now_us > t->filled_us) {
		t->level += s->rate_per_s * (double)(now_us - t->filled_us) / 1e6;
		t->filled_us = now_us;
	}
	t->level = fmin(t->level, s->burst);
}

/*
 * While the account is inside its rate, arrivals may run ahead of the tokens by this time: other
 * VMs have some to spare.
 */
#define AHEAD_S   0.3
#define AHEAD_MIN 1.0

bool pw_tokens_take(struct pw_tokens *t, const struct pw_share *s, uint64_t now_us)
{
	double ahead = s->contended ? 0 : fmax(s->rate_per_s * AHEAD_S, AHEAD_MIN);

	pw_tokens_fill(t, s, now_us);
	if (t->level + ahead < 1)
		return false;
	t->level -= 1;
	return true;
}

void pw_tokens_give(struct pw_tokens *t)
{
	/* The next take cuts the level to the burst. */
	t->level += 1;
}

uint64_t pw_tokens_wait_us(const struct pw_tokens *t, const struct pw_share *s)
{
	double missing = 1 - t->level;

	if (missing <= 0)
		return 0;
	if (s->rate_per_s <= 0)
		return UINT64_C(1000000);
	return (uint64_t)(missing / s->rate_per_s * 1e6);
}
