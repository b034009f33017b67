/**
 * @file quota_internal.h
 * State of the quota module, shared by its files: quota.c (epochs, queues, escrow), quota_rate.c
 * and quota_unit.c (what differs between the two kinds, behind a vtable).
 */
#ifndef PW_DECIDE_QUOTA_INTERNAL_H
#define PW_DECIDE_QUOTA_INTERNAL_H

#include "pw/decide/quota.h"

/** Least time between two rounds of asks for a resource; about one round trip in a region. */
#define PW_QUOTA_ASK_INTERVAL_US UINT64_C(20000)

/** While requests wait, a round of asks goes to this many members at least. */
#define PW_QUOTA_ASK_WAITING 4

/** Demand is averaged over windows of this length, each with the weight 1/4 of what is left. */
#define PW_QUOTA_WINDOW_US UINT64_C(50000)

/** A hint is used for this long; heartbeats come every 100 ms. */
#define PW_QUOTA_HINT_US UINT64_C(1000000)

struct pw_quota_resource;

struct pw_quota_kind_ops {
	/** Base share of the epoch in effect; `stays` if this VM was a member before it. */
	void (*begin_epoch)(struct pw_quota *q, struct pw_quota_resource *r, bool stays,
			    uint64_t now_us, GArray *actions);
	/** Applies a changed total. */
	void (*configure)(struct pw_quota *q, struct pw_quota_resource *r,
			  const struct pw_quota_spec *spec, uint64_t now_us, GArray *actions);
	/** Takes one for a request if it can. The caller has checked the lease. */
	bool (*spend)(struct pw_quota *q, struct pw_quota_resource *r, uint64_t now_us);
	/** Ends a window of the demand average. */
	void (*roll)(struct pw_quota_resource *r);
	/** Updates the holding and what follows from it, and asks peers if it is short. */
	void (*update)(struct pw_quota *q, struct pw_quota_resource *r, uint64_t now_us,
		       GArray *actions);
	void (*ask)(struct pw_quota *q, struct pw_quota_resource *r, const struct pw_quota_ask *ask,
		    uint64_t now_us, GArray *actions);
	void (*receive)(struct pw_quota *q, struct pw_quota_resource *r,
			const struct pw_quota_grant *grant, uint64_t now_us);
	void (*hint)(struct pw_quota *q, struct pw_quota_resource *r, struct pw_quota_hint *out,
		     uint64_t now_us);
};

struct pw_quota_waiter {
	uint64_t request;
	uint64_t deadline_us;
	uint64_t since_us;
};

/** A peer's newest hint, or for units its ask that waits. */
struct pw_quota_peer_hint {
	uint64_t incarnation;
	uint64_t heard_us;
	struct pw_quota_hint hint;
};

struct pw_quota_pending_ask {
	char peer[PW_MEMBER_NAME_SIZE];
	uint32_t units;
	uint64_t since_us;
	uint64_t renewed_us;
};

struct pw_quota_resource {
	const struct pw_quota_kind_ops *ops;
	struct pw_quota_spec spec;
	bool dropped;      /**< not configured; the holding lasts until the epoch ends */
	GQueue queue;      /**< struct pw_quota_waiter, by arrival */
	GHashTable *hints; /**< peer name -> struct pw_quota_peer_hint */
	uint64_t window_end_us;
	uint64_t demand;  /**< decaying average: micro-tokens a second, thousandths of a unit */
	uint64_t arrived; /**< in this window: requests, or peak of units in use and waiting */
	uint64_t asked_us;
	uint32_t ask_turn;

	/* Rates. */
	uint32_t share;
	uint64_t level;
	uint32_t level_rest; /**< below one micro-token, in 2^-30 */
	uint64_t filled_us;
	bool filling; /**< filled_us was under the lease of this epoch */

	/* Units. */
	int64_t base;
	int64_t held;
	int64_t claim; /**< part of base not usable yet */
	uint32_t in_use;
	uint32_t recalled;
	GArray *pending; /**< struct pw_quota_pending_ask, by arrival */
};

struct pw_quota {
	struct pw_quota_options options;
	GHashTable *resources; /**< id -> struct pw_quota_resource */
	struct pw_member_table table;
	uint64_t lease_until_us;
	uint64_t next_number;
	GQueue open;         /**< struct open_grant, by number */
	GHashTable *counted; /**< donor name -> struct donor, for this epoch */
};

extern const struct pw_quota_kind_ops pw_quota_rate_ops;
extern const struct pw_quota_kind_ops pw_quota_unit_ops;

static inline bool pw_quota_spendable(const struct pw_quota *q, uint64_t now_us)
{
	return now_us < q->lease_until_us;
}

/** @return entry of the member in the epoch in effect, or NULL */
const struct pw_member_entry *pw_quota_member(const struct pw_quota *q, const char *name);

/** @return hint of a member's incarnation in the epoch in effect, or NULL */
struct pw_quota_hint *pw_quota_peer_hint(const struct pw_quota *q,
					 const struct pw_quota_resource *r,
					 const struct pw_member_entry *e, uint64_t now_us);

/** Gives an amount away; the caller has taken it off the holding. */
void pw_quota_give(struct pw_quota *q, struct pw_quota_resource *r, const char *peer,
		   uint32_t share, uint64_t level, uint32_t units, uint64_t now_us,
		   GArray *actions);

/**
 * Asks the members with most to spare until the expected answers cover the amounts. While requests
 * wait, at least four are asked, since hints are up to 100 ms old.
 */
void pw_quota_ask_peers(struct pw_quota *q, struct pw_quota_resource *r, uint64_t share,
			uint64_t level, uint32_t units, uint64_t now_us, GArray *actions);

struct pw_quota_action *pw_quota_add_action(GArray *actions, enum pw_quota_action_kind kind,
					    const struct pw_quota_resource *r);

#endif
