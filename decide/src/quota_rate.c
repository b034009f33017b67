/*
 * Rates: each member holds a share of the account's token bucket and a token level. Levels are in
 * micro-tokens.
 */
#include "quota_internal.h"

#include "pw/core/clock.h"

/** The reserve of tokens that a member keeps and asks for covers its demand for this time. */
#define RESERVE_TIME_US UINT64_C(150000)

/** A reserve below a tenth of a token comes only from demand that has ended, and counts as 0. */
#define RESERVE_LEVEL_MIN (PW_QUOTA_MICROTOKENS_PER_TOKEN / 10)

/** Share to hold, in percent of the average demand; above 100 because the average lags a rise. */
#define SHARE_PERCENT_OF_DEMAND 125

/* 64 bits are too few: burst * 10^6 * share and rate * share * time can exceed 10^23. */
typedef unsigned __int128 u128;

static uint64_t burst_level(const struct pw_quota_resource *r)
{
	return r->spec.burst_tokens * PW_QUOTA_MICROTOKENS_PER_TOKEN;
}

/* Greatest token level that a share allows. */
static uint64_t level_cap(const struct pw_quota_resource *r, uint64_t share)
{
	return (uint64_t)((u128)burst_level(r) * share / PW_QUOTA_WHOLE_SHARE);
}

/* Share that is needed for a cap of `level`, rounded up, at most the whole. */
static uint64_t share_for_level(const struct pw_quota_resource *r, uint64_t level)
{
	uint64_t burst = burst_level(r);

	if (!burst || level >= burst)
		return PW_QUOTA_WHOLE_SHARE;
	return (uint64_t)(((u128)level * PW_QUOTA_WHOLE_SHARE + burst - 1) / burst);
}

/* Share to hold for the average demand, at most the whole; 0 if the rate is 0. */
static uint64_t share_for_demand(const struct pw_quota_resource *r)
{
	u128 rate = (u128)r->spec.rate_per_s * PW_QUOTA_MICROTOKENS_PER_TOKEN;
	u128 share;

	if (!rate)
		return 0;
	share = (u128)r->demand * SHARE_PERCENT_OF_DEMAND / 100 * PW_QUOTA_WHOLE_SHARE / rate;
	return share > PW_QUOTA_WHOLE_SHARE ? PW_QUOTA_WHOLE_SHARE : (uint64_t)share;
}

/* Level to keep for the average demand. */
static uint64_t reserve_level(const struct pw_quota_resource *r)
{
	uint64_t level = (uint64_t)((u128)r->demand * RESERVE_TIME_US / PW_US_PER_S);

	return level < RESERVE_LEVEL_MIN ? 0 : level;
}

static void clamp_to_cap(struct pw_quota_resource *r)
{
	uint64_t cap = level_cap(r, r->share);

	if (r->level_microtokens >= cap) {
		r->level_microtokens = cap;
		r->level_fraction = 0;
	}
}

/*
 * Adds the tokens earned since the last refill, if the lease is held. Without it a later epoch may
 * be in effect elsewhere, in which other members earn the tokens of the same share. A lease that is
 * held again for the same epoch shows that no later one was in effect, so the tokens of the time
 * without the lease are then added as well.
 */
static void refill(const struct pw_quota *q, struct pw_quota_resource *r, uint64_t now_us)
{
	u128 gain;

	if (!pw_quota_holds_lease(q, now_us))
		return;
	if (r->refill_started && now_us > r->last_refill_us) {
		gain = (u128)r->spec.rate_per_s * r->share * (now_us - r->last_refill_us) +
		       r->level_fraction;
		if (gain / PW_QUOTA_WHOLE_SHARE >= burst_level(r)) {
			r->level_microtokens = burst_level(r);
			r->level_fraction = 0;
		} else {
			r->level_microtokens += (uint64_t)(gain / PW_QUOTA_WHOLE_SHARE);
			r->level_fraction = (uint32_t)(gain % PW_QUOTA_WHOLE_SHARE);
		}
		clamp_to_cap(r);
	}
	if (!r->refill_started || now_us > r->last_refill_us)
		r->last_refill_us = now_us;
	r->refill_started = true;
}

static void rate_begin_epoch(struct pw_quota *q, struct pw_quota_resource *r, bool stays,
			     uint64_t now_us, GArray *actions)
{
	(void)now_us;
	(void)actions;
	r->share = 0;
	if (pw_quota_find_member(q, q->options.name))
		r->share = PW_QUOTA_WHOLE_SHARE / q->table.members->len;
	if (!stays) {
		r->level_microtokens = 0;
		r->level_fraction = 0;
	}
	r->refill_started = false;
	clamp_to_cap(r);
}

static void rate_configure(struct pw_quota *q, struct pw_quota_resource *r,
			   const struct pw_quota_spec *spec, uint64_t now_us, GArray *actions)
{
	(void)actions;
	refill(q, r, now_us);
	r->spec = *spec;
	clamp_to_cap(r);
}

static bool rate_try_acquire(struct pw_quota *q, struct pw_quota_resource *r, uint64_t now_us)
{
	refill(q, r, now_us);
	if (r->level_microtokens < PW_QUOTA_MICROTOKENS_PER_TOKEN)
		return false;
	r->level_microtokens -= PW_QUOTA_MICROTOKENS_PER_TOKEN;
	return true;
}

static void rate_end_window(struct pw_quota_resource *r)
{
	uint64_t window_rate = r->window_demand * PW_QUOTA_MICROTOKENS_PER_TOKEN *
			       (1000000 / PW_QUOTA_DEMAND_WINDOW_US);

	r->demand = (r->demand * 3 + window_rate) / 4;
	r->window_demand = 0;
}

/*
 * Asks peers while requests wait, or when both the level is below the reserve and the share below
 * the demand.
 */
static void rate_rebalance(struct pw_quota *q, struct pw_quota_resource *r, uint64_t now_us,
			   GArray *actions)
{
	uint64_t waiting_count = g_queue_get_length(&r->queue);
	uint64_t target_level = waiting_count * PW_QUOTA_MICROTOKENS_PER_TOKEN + reserve_level(r);
	uint64_t target_share =
		MAX(share_for_demand(r),
		    share_for_level(r, (waiting_count + 1) * PW_QUOTA_MICROTOKENS_PER_TOKEN));

	refill(q, r, now_us);
	if (!waiting_count &&
	    (r->level_microtokens >= target_level || r->share >= share_for_demand(r)))
		return;
	pw_quota_ask_peers(q, r, target_share > r->share ? target_share - r->share : 0,
			   target_level > r->level_microtokens ? target_level - r->level_microtokens
							       : 0,
			   (uint32_t)MIN(waiting_count, UINT32_MAX), now_us, actions);
}

/*
 * Computes what this VM can spare beyond its own demand, by the moving average; nothing while
 * requests wait here.
 */
static void compute_spare(struct pw_quota_resource *r, uint64_t *share, uint64_t *level)
{
	uint64_t kept_level = reserve_level(r);
	uint64_t kept_share = share_for_demand(r);
	uint64_t cap = level_cap(r, r->share);

	*share = 0;
	*level = 0;
	if (!g_queue_is_empty(&r->queue))
		return;
	if (r->level_microtokens > kept_level)
		*level = r->level_microtokens - kept_level;
	/*
	 * The kept share covers the demand and, if there is a reserve, has room for it and one more
	 * token. Any share beyond that is spared: a full bucket wastes its refill, and its tokens
	 * last until the share is needed again and can be asked back.
	 */
	if (kept_level)
		kept_share = MAX(kept_share,
				 share_for_level(r, kept_level + PW_QUOTA_MICROTOKENS_PER_TOKEN));
	if (r->share > kept_share)
		*share = r->share - kept_share;
	/*
	 * While there are tokens beyond the reserve, a part of the share that the demand needs can
	 * be spared. Without this, a peer with a single request gets nothing from a member whose
	 * demand is close to the whole rate.
	 */
	else if (cap)
		*share = (uint64_t)((u128)r->share * *level / cap / 4);
}

static void rate_handle_ask(struct pw_quota *q, struct pw_quota_resource *r,
			    const struct pw_quota_ask *ask, uint64_t now_us, GArray *actions)
{
	uint64_t share, level, granted_cap, urgent_level = 0;

	refill(q, r, now_us);
	compute_spare(r, &share, &level);
	level = MIN(level, ask->level_microtokens);
	/* A request that waits at the peer has priority over a reserve for expected requests. */
	if (g_queue_is_empty(&r->queue) && r->level_microtokens > PW_QUOTA_MICROTOKENS_PER_TOKEN)
		urgent_level = MIN(
			MIN(ask->units * PW_QUOTA_MICROTOKENS_PER_TOKEN, ask->level_microtokens),
			(r->level_microtokens - PW_QUOTA_MICROTOKENS_PER_TOKEN) / 2);
	if (urgent_level > level) {
		level = urgent_level;
		share = MAX(share, share_for_level(r, level));
	}
	share = MIN(share, r->share);
	/* Tokens need room under the receiver's cap, so they are granted with enough share. */
	share = MIN(share, MAX(ask->share, share_for_level(r, level)));
	if (!share)
		return;
	granted_cap = level_cap(r, share);
	if (r->level_microtokens > level_cap(r, r->share - share))
		level = MAX(level, r->level_microtokens - level_cap(r, r->share - share));
	level = MIN(level, MIN(granted_cap, r->level_microtokens));
	r->share -= (uint32_t)share;
	r->level_microtokens -= level;
	clamp_to_cap(r);
	pw_quota_send_grant(q, r, ask->sender, (uint32_t)share, level, 0, now_us, actions);
}

static void rate_add_grant(struct pw_quota *q, struct pw_quota_resource *r,
			   const struct pw_quota_grant *grant, uint64_t now_us)
{
	refill(q, r, now_us);
	r->share += MIN(grant->share, PW_QUOTA_WHOLE_SHARE - r->share);
	r->level_microtokens += MIN(grant->level_microtokens, burst_level(r));
	clamp_to_cap(r);
}

static void rate_fill_hint(struct pw_quota *q, struct pw_quota_resource *r,
			   struct pw_quota_hint *out, uint64_t now_us)
{
	refill(q, r, now_us);
	compute_spare(r, &out->spare, &out->spare_level_microtokens);
	out->demand = r->demand;
}

const struct pw_quota_kind_ops pw_quota_rate_ops = {
	.begin_epoch = rate_begin_epoch,
	.configure = rate_configure,
	.try_acquire = rate_try_acquire,
	.end_window = rate_end_window,
	.rebalance = rate_rebalance,
	.handle_ask = rate_handle_ask,
	.add_grant = rate_add_grant,
	.fill_hint = rate_fill_hint,
};
