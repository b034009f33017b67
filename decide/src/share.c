#include "pw/decide/share.h"

#include <math.h>

/* Total demand up to this fraction of the available rate is low: uneven arrivals do no harm. */
#define LOW_DEMAND_FRACTION 0.9

/*
 * Minimum burst of a VM at low demand: this fraction of the account's burst, divided by the square
 * root of the number of VMs. Relative to their mean, the arrivals at n VMs together vary less than
 * those at one VM by the square root of n, so half of the burst divided by the root covers the
 * usual variation.
 */
#define LOW_DEMAND_BURST_FRACTION 0.5

/*
 * In a large fleet these minimum bursts add up to several times that of the account, and a flood
 * uses them up before the VMs know of it. Where they add up to more than LOW_DEMAND_BURSTS_MAX
 * times the account's, a VM has no more than this number of standard deviations of its arrivals in
 * a second.
 */
#define LOW_DEMAND_BURSTS_MAX 1.5
#define LOW_DEMAND_DEVIATIONS 3.0

/* Factor on the burst of a VM under contention, at whose start the account spent its burst. */
#define CONTENDED_BURST_FACTOR 0.25

/* Demand below this is not reported, since it hardly changes the shares of the others. */
#define REPORT_MIN_PER_S 0.05
/* Smallest fraction of the rate that the demand of all VMs together would have. */
#define REPORT_FRACTION 0.2

/* Demand is announced only if it has grown by this factor and by one request per second. */
#define ANNOUNCE_GROWTH       1.25
#define ANNOUNCE_GROWTH_PER_S 1.0
/* Expected demand of the fleet above this fraction of the rate makes the shares matter. */
#define ANNOUNCE_FRACTION 0.8

/*
 * Demand is contended only if it is above the available rate by this number of standard deviations
 * of a random demand of that rate. Below that the shares add up to the rate just the same, but a VM
 * may use what it has saved.
 */
#define CONTENDED_DEVIATIONS 1.0

/*
 * Demand is a flood if it is above the available rate by this factor and by this number of standard
 * deviations of a random demand of that rate; small accounts often exceed the factor alone.
 */
#define FLOOD_FACTOR     1.75
#define FLOOD_DEVIATIONS 5.0

/* A smaller bucket overflows and loses tokens while no request happens to arrive at this VM. */
#define BURST_MIN_TOKENS 2.5

static double low_demand_burst(double account_burst, double rate_per_s, uint32_t members)
{
	double variation = BURST_MIN_TOKENS + LOW_DEMAND_DEVIATIONS * sqrt(rate_per_s);

	return fmin(account_burst * LOW_DEMAND_BURST_FRACTION / sqrt(members),
		    fmax(account_burst * LOW_DEMAND_BURSTS_MAX / members, variation));
}

/* Returns this VM's part: urgent demand is covered first, and the rest follows the lesser demand.
 */
static double contended_rate_per_s(const struct pw_share_input *in, double available)
{
	double own_urgent = fmin(in->own_urgent_demand_per_s, in->own_demand_per_s);
	double urgent = own_urgent + fmin(in->others_urgent_demand_per_s, in->others_demand_per_s);
	double lesser = in->own_demand_per_s + in->others_demand_per_s - urgent;

	if (urgent >= available)
		return urgent > 0 ? available * own_urgent / urgent : 0;
	return own_urgent + (available - urgent) * (in->own_demand_per_s - own_urgent) / lesser;
}

struct pw_share pw_share_compute(const struct pw_share_input *in)
{
	uint32_t members = 1 + in->reporting_vm_count + in->silent_vm_count;
	double reserved = in->rate_per_s * in->silent_vm_count / members;
	double available = in->rate_per_s - reserved;
	double demand = in->own_demand_per_s + in->others_demand_per_s;
	struct pw_share s = { .contended =
				      demand > available + CONTENDED_DEVIATIONS * sqrt(available),
			      .flooded = demand > available * FLOOD_FACTOR &&
					 demand > available + FLOOD_DEVIATIONS * sqrt(available) };

	if (s.contended)
		s.rate_per_s = contended_rate_per_s(in, available);
	else
		s.rate_per_s = fmax(in->own_demand_per_s +
					    (available - demand) / (1 + in->reporting_vm_count),
				    0);
	s.burst = in->rate_per_s > 0 ? in->burst * s.rate_per_s / in->rate_per_s : 0;
	s.burst_part = s.burst;
	s.account_burst = in->burst;
	if (demand <= available * LOW_DEMAND_FRACTION)
		s.burst = fmax(s.burst, low_demand_burst(in->burst, s.rate_per_s, members));
	else if (s.contended)
		s.burst *= CONTENDED_BURST_FACTOR;
	if (in->rate_per_s > 0)
		s.burst = fmax(s.burst, BURST_MIN_TOKENS);
	return s;
}

double pw_share_current_rate_per_s(double rate_per_s, double burst, uint64_t window_us,
				   uint64_t contended_us)
{
	if (!window_us || contended_us < window_us)
		return rate_per_s;
	return rate_per_s + burst * 1e6 / (double)window_us;
}

bool pw_demand_should_report(double own_per_s, double rate_per_s, uint32_t vm_count)
{
	return own_per_s >= REPORT_MIN_PER_S && own_per_s * vm_count > rate_per_s * REPORT_FRACTION;
}

bool pw_demand_should_announce(const struct pw_demand_view *v)
{
	/* The same growth is expected at the others; a single request is no growth by a factor. */
	double growth = v->own_per_s / (v->announced_per_s + ANNOUNCE_GROWTH_PER_S);

	return v->own_per_s > v->announced_per_s * ANNOUNCE_GROWTH + ANNOUNCE_GROWTH_PER_S &&
	       v->own_per_s + v->others_per_s * fmax(growth, 1.0) >
		       v->rate_per_s * ANNOUNCE_FRACTION;
}

void pw_demand_add_arrivals(struct pw_demand *d, uint32_t arrivals, uint64_t now_us)
{
	d->per_s =
		pw_demand_per_s_at(d, now_us) + arrivals * 1e6 / (double)PW_DEMAND_TIME_CONSTANT_US;
	d->updated_us = now_us;
}

double pw_demand_per_s_at(const struct pw_demand *d, uint64_t now_us)
{
	double age_us = now_us > d->updated_us ? (double)(now_us - d->updated_us) : 0;

	return d->per_s * exp(-age_us / (double)PW_DEMAND_TIME_CONSTANT_US);
}

/* A VM that starts may replace one that has already spent its share of the burst. */
#define INITIAL_BURST_FRACTION 0.5

void pw_share_bucket_init(struct pw_share_bucket *t, const struct pw_share *s, uint64_t now_us)
{
	t->level = fmax(s->burst * INITIAL_BURST_FRACTION, 1);
	t->last_refill_us = now_us;
}

void pw_share_bucket_refill(struct pw_share_bucket *t, const struct pw_share *s, uint64_t now_us)
{
	if (now_us > t->last_refill_us) {
		t->level += s->rate_per_s * (double)(now_us - t->last_refill_us) / 1e6;
		t->last_refill_us = now_us;
	}
	t->level = fmin(t->level, s->burst);
}

void pw_share_bucket_change(struct pw_share_bucket *t, const struct pw_share *from,
			    const struct pw_share *to, uint64_t now_us)
{
	pw_share_bucket_refill(t, from, now_us);
	if (!to->contended) {
		t->flood_charged = false;
	} else if (to->account_burst < from->account_burst) {
		t->flood_charged = true;
	} else if (!from->contended) {
		t->spent = from->burst - t->level;
	}
	if (to->flooded && !t->flood_charged) {
		t->flood_charged = true;
		/* No debt: in a large fleet it would take a VM with little demand minutes to pay.
		 */
		t->level = fmin(t->level, fmax(to->burst_part - t->spent, 0));
	}
}

/*
 * While the share is not contended, the bucket may be overdrawn by the tokens of OVERDRAFT_S, but
 * at least by OVERDRAFT_MIN_TOKENS: other VMs have tokens to spare.
 */
#define OVERDRAFT_S          0.3
#define OVERDRAFT_MIN_TOKENS 1.0

bool pw_share_bucket_has(const struct pw_share_bucket *t, const struct pw_share *s, double reserved)
{
	double overdraft =
		s->contended ? 0 : fmax(s->rate_per_s * OVERDRAFT_S, OVERDRAFT_MIN_TOKENS);

	return t->level + overdraft >= 1 + reserved;
}

bool pw_share_bucket_take(struct pw_share_bucket *t, const struct pw_share *s, uint64_t now_us)
{
	pw_share_bucket_refill(t, s, now_us);
	if (!pw_share_bucket_has(t, s, 0))
		return false;
	t->level -= 1;
	return true;
}

void pw_share_bucket_return(struct pw_share_bucket *t)
{
	/* The next refill caps the level at the burst. */
	t->level += 1;
}

uint64_t pw_share_bucket_wait_us(const struct pw_share_bucket *t, const struct pw_share *s)
{
	double missing = 1 - t->level;

	if (missing <= 0)
		return 0;
	if (s->rate_per_s <= 0)
		return UINT64_C(1000000);
	return (uint64_t)(missing / s->rate_per_s * 1e6);
}
