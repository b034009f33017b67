/**
 * @file quota_internal.h
 * State of the quota module, shared by its files: quota.c (epochs, queues, escrow) and the two
 * implementations of struct pw_quota_kind_ops in quota_rate.c and quota_unit.c.
 */
#ifndef PW_DECIDE_QUOTA_INTERNAL_H
#define PW_DECIDE_QUOTA_INTERNAL_H

#include "pw/decide/quota.h"

/** Minimum time between two rounds of asks for a resource: about one round trip within a region. */
#define PW_QUOTA_ASK_INTERVAL_US UINT64_C(20000)

/** While requests wait, a round of asks goes to at least this many members. */
#define PW_QUOTA_ASK_MIN_PEERS 4

/**
 * Length of a demand window. Each ended window enters the moving average with weight 1/4; the
 * demand for units rises at once.
 */
#define PW_QUOTA_DEMAND_WINDOW_US UINT64_C(50000)

/** A hint that is older than this is ignored; heartbeats, which carry hints, come every 100 ms. */
#define PW_QUOTA_HINT_MAX_AGE_US UINT64_C(1000000)

struct pw_quota_resource;

/** Operations that differ between rates and units. */
struct pw_quota_kind_ops {
	/**
	 * Resets the holding to what this VM has at the start of the epoch. `stays`: the VM was
	 * already a member in the epoch that was in effect before.
	 */
	void (*begin_epoch)(struct pw_quota *q, struct pw_quota_resource *r, bool stays,
			    uint64_t now_us, GArray *actions);
	/** Applies a changed total. */
	void (*configure)(struct pw_quota *q, struct pw_quota_resource *r,
			  const struct pw_quota_spec *spec, uint64_t now_us, GArray *actions);
	/** Takes one token or unit if one is free. The caller has checked the lease. */
	bool (*try_acquire)(struct pw_quota *q, struct pw_quota_resource *r, uint64_t now_us);
	/** Adds the window that has ended to the demand average and starts the next one. */
	void (*end_window)(struct pw_quota_resource *r);
	/**
	 * Asks peers if the holding is too small. For units, first makes the rest of the base
	 * share usable if allowed, grants to pending asks and returns idle units.
	 */
	void (*rebalance)(struct pw_quota *q, struct pw_quota_resource *r, uint64_t now_us,
			  GArray *actions);
	/** Answers a peer's ask with a grant of what can be spared, at once or later (units). */
	void (*handle_ask)(struct pw_quota *q, struct pw_quota_resource *r,
			   const struct pw_quota_ask *ask, uint64_t now_us, GArray *actions);
	/** Adds a grant from a peer to the holding. */
	void (*add_grant)(struct pw_quota *q, struct pw_quota_resource *r,
			  const struct pw_quota_grant *grant, uint64_t now_us);
	/** Fills in what this VM can spare and what it needs. */
	void (*fill_hint)(struct pw_quota *q, struct pw_quota_resource *r,
			  struct pw_quota_hint *out, uint64_t now_us);
};

/** A request in the queue. */
struct pw_quota_waiter {
	uint64_t request;
	uint64_t deadline_us;
	uint64_t queued_us;
};

/** A peer's newest hint. */
struct pw_quota_peer_hint {
	uint64_t incarnation;
	uint64_t received_us;
	struct pw_quota_hint hint;
};

/** A peer's ask for units that is not yet granted in full. */
struct pw_quota_pending_ask {
	char peer[PW_MEMBER_NAME_SIZE];
	uint32_t units;          /**< still to grant */
	uint64_t first_asked_us; /**< arrival of the first ask */
	uint64_t last_asked_us;  /**< arrival of the newest ask */
};

struct pw_quota_resource {
	const struct pw_quota_kind_ops *ops;
	struct pw_quota_spec spec;
	bool dropped; /**< no longer configured; removed when an epoch begins with no unit in use */
	GQueue queue; /**< struct pw_quota_waiter, by arrival */
	GHashTable *peer_hints; /**< peer name -> struct pw_quota_peer_hint */
	uint64_t window_end_us;
	uint64_t demand; /**< moving average: micro-tokens per second, or thousandths of a unit */
	/** In this window so far: requests, or the peak of units in use and requests waiting. */
	uint64_t window_demand;
	uint64_t last_ask_us;   /**< time of the last round of asks; 0: never */
	uint32_t next_ask_peer; /**< round-robin counter over peers not chosen by their hints */

	/* Rates. */
	uint32_t share; /**< part of the total; PW_QUOTA_WHOLE_SHARE is all of it */
	uint64_t level_microtokens;
	uint32_t level_fraction; /**< part of a micro-token, in 2^-30 */
	uint64_t last_refill_us; /**< time up to which the level is filled */
	bool refill_started;     /**< last_refill_us is from this epoch, under its lease */

	/* Units. */
	int64_t base_units;          /**< this VM's equal part of the total in this epoch */
	int64_t held_units;          /**< free and in use; below 0 after a cut of the total */
	int64_t unusable_base_units; /**< part of base_units that others may still use */
	uint32_t in_use;             /**< units */
	uint32_t recalled_units;     /**< recalled by actions and not released yet */
	GArray *pending_asks;        /**< struct pw_quota_pending_ask, by arrival */
};

struct pw_quota {
	struct pw_quota_options options;
	GHashTable *resources;        /**< id -> struct pw_quota_resource */
	struct pw_member_table table; /**< of the epoch in effect */
	uint64_t lease_until_us;      /**< 0: not held */
	uint64_t next_grant_number;
	GQueue unacked_grants; /**< struct unacked_grant, by number */
	GHashTable *donors;    /**< donor name -> struct donor_grants, for this epoch */
};

extern const struct pw_quota_kind_ops pw_quota_rate_ops;
extern const struct pw_quota_kind_ops pw_quota_unit_ops;

static inline bool pw_quota_holds_lease(const struct pw_quota *q, uint64_t now_us)
{
	return now_us < q->lease_until_us;
}

/** @return entry of the member in the epoch in effect, or NULL */
const struct pw_member_entry *pw_quota_find_member(const struct pw_quota *q, const char *name);

/** @return the hint of the member `e` in this epoch, or NULL if there is no recent one */
struct pw_quota_hint *pw_quota_find_peer_hint(const struct pw_quota *q,
					      const struct pw_quota_resource *r,
					      const struct pw_member_entry *e, uint64_t now_us);

/**
 * Sends a grant and repeats it until it is acknowledged. The caller has taken the amounts (`level`
 * in micro-tokens) off the holding.
 */
void pw_quota_send_grant(struct pw_quota *q, struct pw_quota_resource *r, const char *peer,
			 uint32_t share, uint64_t level, uint32_t units, uint64_t now_us,
			 GArray *actions);

/**
 * Asks the members with the most to spare, until what they can spare by their hints covers the
 * amounts (`level` in micro-tokens). While requests wait, at least PW_QUOTA_ASK_MIN_PEERS members
 * are asked, since hints are up to 100 ms old. Nothing is sent without the lease or within
 * PW_QUOTA_ASK_INTERVAL_US of the last round.
 */
void pw_quota_ask_peers(struct pw_quota *q, struct pw_quota_resource *r, uint64_t share,
			uint64_t level, uint32_t units, uint64_t now_us, GArray *actions);

/** Appends an action for a resource (NULL: none), otherwise zeroed. */
struct pw_quota_action *pw_quota_append_action(GArray *actions, enum pw_quota_action_kind kind,
					       const struct pw_quota_resource *r);

#endif
