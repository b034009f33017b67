/**
 * @file share.h
 * Share of one VM in the rate of a client account, where the rate holds for the whole fleet. Each
 * VM computes its share alone, so the shares may add up to more than the rate while the VMs'
 * reports differ; in quota.h the VMs hand amounts to each other and never exceed the total.
 *
 * Each VM knows the demand that the others have reported. While the total demand is below the rate,
 * each VM gets its demand and an equal part of the remainder; above the rate, urgent demand is
 * covered first, and the rest of the rate is divided in proportion to the lesser demand. A VM that
 * has not reported recently keeps an equal share reserved, since it may still serve. The shares of
 * VMs that have the same reports add up to the rate.
 *
 * An account within its rate is therefore not refused even if its requests are spread unevenly over
 * the VMs, and an account that sends several times its rate gets its rate.
 */
#ifndef PW_DECIDE_SHARE_H
#define PW_DECIDE_SHARE_H

#include <stdbool.h>
#include <stdint.h>

struct pw_share_input {
	double rate_per_s;
	double burst;
	double own_demand_per_s;
	double others_demand_per_s; /**< total of the other VMs that reported recently */
	/* Parts of these with the highest priority. */
	double own_urgent_demand_per_s;
	double others_urgent_demand_per_s;
	uint32_t reporting_vm_count; /**< number of those VMs */
	uint32_t silent_vm_count;    /**< number of members that have not reported recently */
};

struct pw_share {
	double rate_per_s;
	double burst;
	bool contended; /**< known demand above the rate minus the part reserved for silent VMs */
	bool flooded;   /**< known demand far above that, which random variation does not explain */
	/**
	 * This VM's part of the account's burst. `burst` is above it in a large fleet, where the
	 * smallest bursts of all VMs add up to more than the account's.
	 */
	double burst_part;
	double account_burst; /**< of the whole account */
};

/** Computes the share of this VM. */
struct pw_share pw_share_compute(const struct pw_share_input *in);

/**
 * Returns the rate that an account gets at present. In any window it may use its rate times the
 * length of the window, plus its burst. During the first window of excess demand the burst may be
 * used at any moment, so the account gets the plain rate. After a whole window of excess demand the
 * burst is spread evenly over each window and raises the rate.
 *
 * @param window_us    length of the window; 0: the account always gets the plain rate
 * @param contended_us time for which the demand has been above the rate without a break
 */
double pw_share_current_rate_per_s(double rate_per_s, double burst, uint64_t window_us,
				   uint64_t contended_us);

/** Demand of an account at this VM: exponentially decaying average of the arrival rate. */
struct pw_demand {
	double per_s; /**< as of `updated_us` */
	uint64_t updated_us;
};

/** Time constant of the average; short enough that one or two reports show an overload. */
#define PW_DEMAND_TIME_CONSTANT_US UINT64_C(1000000)

/** Records arrivals at `now_us`. */
void pw_demand_add_arrivals(struct pw_demand *d, uint32_t arrivals, uint64_t now_us);
/** @return arrivals per second, decayed to `now_us` */
double pw_demand_per_s_at(const struct pw_demand *d, uint64_t now_us);

/**
 * Decides whether regular reports to the other VMs contain the demand for an account. In a large
 * fleet a report has no room for accounts whose demand hardly matters: those that would stay far
 * below their rate with the same demand at every VM.
 */
bool pw_demand_should_report(double own_per_s, double rate_per_s, uint32_t vm_count);

/** Demand for an account at this VM, and what the other VMs know and have said of it. */
struct pw_demand_view {
	double own_per_s;
	double announced_per_s; /**< own demand as the others know it */
	double others_per_s;    /**< total of the other VMs, as last reported */
	double rate_per_s;      /**< of the account */
};

/**
 * Decides whether the demand at this VM is announced to all others at once, before its next regular
 * reports. This is for an account that suddenly sends several times its rate: until the VMs know of
 * each other's demand, their shares add up to more than the rate. While the fleet's demand stays
 * within the rate, shares need not be exact, so that in a large fleet the usual variation of small
 * accounts, most of whose VMs see a request now and then, is not announced.
 */
bool pw_demand_should_announce(const struct pw_demand_view *v);

/** Token bucket of one account at this VM; its rate and burst are the VM's share. */
struct pw_share_bucket {
	double level; /**< available tokens; may be negative, see pw_share_bucket_take() */
	uint64_t last_refill_us;
	/* Since the demand was last within the rate: */
	double spent;       /**< tokens by which the bucket was not full when that ended */
	bool flood_charged; /**< these were taken off this VM's part of the burst */
};

/** Initialises the bucket with half of the burst, since the rest may have been spent elsewhere. */
void pw_share_bucket_init(struct pw_share_bucket *t, const struct pw_share *s, uint64_t now_us);
/**
 * Adds the tokens that the share has accrued, and changes to the next share. When a flood begins,
 * what this VM has spent of the burst is taken off its part, unless the demand is a flood only
 * because the limit was lowered: what was saved under the former limit may be used.
 */
void pw_share_bucket_change(struct pw_share_bucket *t, const struct pw_share *from,
			    const struct pw_share *to, uint64_t now_us);
/** Adds the tokens that the share has accrued by `now_us`. */
void pw_share_bucket_refill(struct pw_share_bucket *t, const struct pw_share *s, uint64_t now_us);
/**
 * @param reserved tokens that have to remain
 * @return whether a token can be taken from the bucket, which was refilled
 */
bool pw_share_bucket_has(const struct pw_share_bucket *t, const struct pw_share *s,
			 double reserved);
/**
 * Takes a token. While the share is not contended, the level may become negative.
 *
 * @return false if there is none
 */
bool pw_share_bucket_take(struct pw_share_bucket *t, const struct pw_share *s, uint64_t now_us);
/** Returns a token that was not used. */
void pw_share_bucket_return(struct pw_share_bucket *t);
/** @return time until a token is available, 0 if there is one; 1 s if the rate is 0 */
uint64_t pw_share_bucket_wait_us(const struct pw_share_bucket *t, const struct pw_share *s);

#endif
