/**
 * @file share.h
 * Share of one VM in the rate of a client account that counts over the whole fleet.
 *
 * Each VM knows the demand that the others have reported. While all demand together is below the
 * rate, the rest is divided evenly on top of everyone's demand; above it, each VM gets the part
 * that its demand is of all. A VM that was not heard of keeps an even share reserved: it may still
 * serve. The shares of VMs with the same reports add up to the rate.
 *
 * The load it answers: an account that is spread unevenly over the VMs and inside its rate is not
 * refused, and one that sends several times its rate gets its rate.
 */
#ifndef PW_DECIDE_SHARE_H
#define PW_DECIDE_SHARE_H

#include <stdbool.h>
#include <stdint.h>

struct pw_share_input {
	double rate_per_s;
	double burst;
	double own_demand_per_s;
	double others_demand_per_s; /**< sum of the VMs that were heard of recently */
	uint32_t heard;             /**< number of those VMs, without this one */
	uint32_t silent;            /**< members that were not heard of recently */
};

struct pw_share {
	double rate_per_s;
	double burst;
	bool contended; /**< the demand of all VMs is above the rate */
};

struct pw_share pw_share_compute(const struct pw_share_input *in);

/**
 * Rate that an account may have at a time: in any window it may use its rate for the length of the
 * window and its burst. While the burst of the window may be spent, that leaves the plain rate; an
 * account whose demand has been above its rate for a whole window gets the burst spread over each.
 *
 * @param contended_us for how long the demand has been above the rate without a break
 */
double pw_share_rate_per_s(double rate_per_s, double burst, uint64_t window_us,
			   uint64_t contended_us);

/** Demand of an account at this VM: arrivals weighted by their age. */
struct pw_demand {
	double per_s;
	uint64_t noted_us;
};

/** Time constant of the average: short enough to see a flood within a report or two. */
#define PW_DEMAND_TIME_US UINT64_C(1000000)

void pw_demand_add(struct pw_demand *d, uint32_t arrivals, uint64_t now_us);
double pw_demand_at(const struct pw_demand *d, uint64_t now_us);

/** Tokens of one account at this VM. */
struct pw_tokens {
	double level;
	uint64_t filled_us;
};

/** Starts with a part of the burst, since other VMs may have spent theirs. */
void pw_tokens_init(struct pw_tokens *t, const struct pw_share *s, uint64_t now_us);
/** Adds what the share has brought so far; to be called before the share changes. */
void pw_tokens_fill(struct pw_tokens *t, const struct pw_share *s, uint64_t now_us);
/** Takes a token. @return false if there is none */
bool pw_tokens_take(struct pw_tokens *t, const struct pw_share *s, uint64_t now_us);
/** Gives a token back. */
void pw_tokens_give(struct pw_tokens *t);
/** @return time until there is a token */
uint64_t pw_tokens_wait_us(const struct pw_tokens *t, const struct pw_share *s);

#endif
