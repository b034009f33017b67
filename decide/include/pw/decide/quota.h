/**
 * @file quota.h
 * Distributed quota (docs/design.md 4.5 and 4.6): rates of client accounts, and units (connections
 * and slots) of servers. The caller passes in events and the time, and carries out the actions that
 * are returned.
 *
 * Each member of the epoch in effect has a holding of each resource. Amounts move by escrow: the
 * donor takes the amount off its holding when it sends the grant, and the receiver adds it exactly
 * once. The sum of all holdings and of the grants in flight never exceeds the total.
 *
 * Rates: a holding is a share of the account's token bucket and a token level. The level refills at
 * rate * share up to its cap, burst * share. Time without the quorum lease counts for the refill
 * only if the lease is held again in the same epoch, since a later epoch may be in effect
 * elsewhere. Tokens move together with a share, so the caps of all members never sum to more than
 * the burst.
 *
 * Units: when an epoch takes effect, a member that stays keeps at most its base share of what it
 * held, plus units in use beyond that, which it gives up as they are released. The rest of its base
 * share becomes usable once all members that stay have reported in this epoch that they use no more
 * than they hold. Units above the base share that a member has not needed for a while go back to
 * members below theirs, so that an idle VM that is lost takes no more than its base share with it.
 */
#ifndef PW_DECIDE_QUOTA_H
#define PW_DECIDE_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "pw/decide/member.h"

#define PW_QUOTA_ID_SIZE 96

/** Share that is the whole of a rate resource; shares are fixed-point fractions of it. */
#define PW_QUOTA_WHOLE_SHARE (UINT32_C(1) << 30)

/** One token in micro-tokens; a request costs one token. */
#define PW_QUOTA_MICROTOKENS_PER_TOKEN UINT64_C(1000000)

/* Highest values in a struct pw_quota_spec. */
#define PW_QUOTA_RATE_MAX  UINT64_C(10000000)
#define PW_QUOTA_BURST_MAX UINT64_C(100000000)
#define PW_QUOTA_UNITS_MAX UINT32_C(1000000)

/** A request waits at most this long for a token. */
#define PW_QUOTA_RATE_WAIT_MAX_US UINT64_C(100000)

enum pw_quota_kind {
	PW_QUOTA_RATE,
	PW_QUOTA_UNITS,
};

/** A resource as configured. */
struct pw_quota_spec {
	char id[PW_QUOTA_ID_SIZE];
	enum pw_quota_kind kind;
	uint64_t rate_per_s;   /**< PW_QUOTA_RATE: tokens per second; 0 adds none */
	uint64_t burst_tokens; /**< PW_QUOTA_RATE: at least 1 to admit anything */
	uint32_t units;        /**< PW_QUOTA_UNITS: total */
};

/** What a member can spare and what it needs of one resource; sent with its heartbeats. */
struct pw_quota_hint {
	char id[PW_QUOTA_ID_SIZE];
	uint64_t epoch;                   /**< in effect at the sender */
	uint64_t spare;                   /**< share or units to spare */
	uint64_t spare_level_microtokens; /**< token level to spare */
	uint64_t demand;                  /**< micro-tokens per second, or thousandths of a unit */
	uint32_t excess_units;            /**< units in use beyond the holding */
	uint32_t units_below_base;        /**< units by which the holding is below the base share */
};

/** Asks a peer for a part of its holding. */
struct pw_quota_ask {
	char sender[PW_MEMBER_NAME_SIZE];
	uint64_t incarnation;
	uint64_t epoch;
	char id[PW_QUOTA_ID_SIZE];
	uint32_t share;
	uint64_t level_microtokens;
	uint32_t units; /**< units; for a rate, requests that wait for a token */
};

/** Moves a part of the donor's holding to the receiver. */
struct pw_quota_grant {
	char donor[PW_MEMBER_NAME_SIZE];
	uint64_t donor_incarnation;
	uint64_t receiver_incarnation;
	uint64_t epoch;
	uint64_t number;         /**< sequence number among all grants of this donor incarnation */
	uint64_t oldest_unacked; /**< lowest number that this receiver has not acknowledged */
	char id[PW_QUOTA_ID_SIZE];
	uint32_t share;
	uint64_t level_microtokens;
	uint32_t units;
};

/** Acknowledges a grant. */
struct pw_quota_ack {
	char sender[PW_MEMBER_NAME_SIZE];
	uint64_t donor_incarnation;
	uint64_t number;
};

enum pw_quota_verdict {
	PW_QUOTA_ADMITTED,
	PW_QUOTA_QUEUED, /**< an action admits or refuses the request later */
	PW_QUOTA_REFUSED,
};

enum pw_quota_action_kind {
	PW_QUOTA_ADMIT,      /**< admit the queued `request` for resource `id` */
	PW_QUOTA_REFUSE,     /**< refuse the queued `request` for resource `id` */
	PW_QUOTA_SEND_ASK,   /**< send `ask` to `peer` */
	PW_QUOTA_SEND_GRANT, /**< send `grant` to `peer` */
	PW_QUOTA_SEND_ACK,   /**< send `ack` to `peer` */
	PW_QUOTA_RECALL,     /**< release `units` units of `id` as soon as they are idle */
};

struct pw_quota_action {
	enum pw_quota_action_kind kind;
	char peer[PW_MEMBER_NAME_SIZE];
	char id[PW_QUOTA_ID_SIZE];
	uint64_t request;
	uint32_t units;
	union {
		struct pw_quota_ask ask;
		struct pw_quota_grant grant;
		struct pw_quota_ack ack;
	};
};

/** Switches that turn a mechanism off, so that tests can show that its loss is detected. */
enum pw_quota_unsafe {
	PW_QUOTA_UNSAFE_COUNT_TWICE = 1u << 0, /**< adds repeated grants again */
	/** Members do not ask each other and keep equal static shares: the tests' naive version. */
	PW_QUOTA_UNSAFE_NO_MOVES = 1u << 1,
	/** Units: claims the whole base share while members may still use more than they hold. */
	PW_QUOTA_UNSAFE_CLAIM_EARLY = 1u << 2,
};

#define PW_QUOTA_OPTIONS_VERSION 1
#define PW_QUOTA_OPTIONS_INIT                       \
	{                                           \
		.version = PW_QUOTA_OPTIONS_VERSION \
	}

struct pw_quota_options {
	uint32_t version;
	char name[PW_MEMBER_NAME_SIZE];
	uint64_t incarnation;
	uint32_t unsafe; /**< enum pw_quota_unsafe; 0 outside tests */
};

struct pw_quota;

/** @return 0, or PW_EINVALID for an unknown version of the options */
int pw_quota_new(struct pw_quota **out, const struct pw_quota_options *options);
void pw_quota_free(struct pw_quota *q);

/* Events. `actions` is a GArray of struct pw_quota_action that the call appends to. */

/**
 * Sets the resources. Those not listed are dropped, and the requests waiting for them refused.
 *
 * @return 0; PW_EINVALID, without any change, if a total is above its limit, an id is empty or
 * repeated, or a resource has another kind than before
 */
int pw_quota_configure(struct pw_quota *q, const struct pw_quota_spec *specs, uint32_t count,
		       uint64_t now_us, GArray *actions);
/** Begins the epoch of `table`, which has taken effect (PW_MEMBER_EPOCH_EFFECTIVE). */
void pw_quota_begin_epoch(struct pw_quota *q, const struct pw_member_table *table, uint64_t now_us,
			  GArray *actions);
/**
 * Sets the time until which the lease is held, as returned by pw_member_holds_lease(); 0 if it is
 * not held. To be called after each event of pw_member_*, and after pw_quota_begin_epoch() if the
 * event put an epoch in effect.
 */
void pw_quota_set_lease_end(struct pw_quota *q, uint64_t until_us);
/** To be called every 1 to 20 ms. */
void pw_quota_tick(struct pw_quota *q, uint64_t now_us, GArray *actions);

/**
 * Grants the whole free holding to the other members before a planned stop. To be called
 * repeatedly until the stop, as units in use are released.
 */
void pw_quota_grant_all_free(struct pw_quota *q, uint64_t now_us, GArray *actions);

/**
 * Requests one token. The request waits at most PW_QUOTA_RATE_WAIT_MAX_US; it is refused at once if
 * there is no such resource or its queue is full.
 */
enum pw_quota_verdict pw_quota_acquire_token(struct pw_quota *q, const char *id, uint64_t request,
					     uint64_t now_us, GArray *actions);
/**
 * Requests one unit. The request waits until `deadline_us`; it is refused at once if there is no
 * such resource, its queue is full or the deadline has passed.
 */
enum pw_quota_verdict pw_quota_acquire_unit(struct pw_quota *q, const char *id, uint64_t request,
					    uint64_t deadline_us, uint64_t now_us, GArray *actions);
/** Releases units in use; waiting requests and peers that asked for units get them. */
void pw_quota_release_units(struct pw_quota *q, const char *id, uint32_t units, uint64_t now_us,
			    GArray *actions);
/** Removes a request from its queue; @return whether it was there */
bool pw_quota_cancel_request(struct pw_quota *q, const char *id, uint64_t request);

void pw_quota_hint_received(struct pw_quota *q, const char *peer, uint64_t incarnation,
			    const struct pw_quota_hint *hint, uint64_t now_us, GArray *actions);
void pw_quota_ask_received(struct pw_quota *q, const struct pw_quota_ask *ask, uint64_t now_us,
			   GArray *actions);
void pw_quota_grant_received(struct pw_quota *q, const struct pw_quota_grant *grant,
			     uint64_t now_us, GArray *actions);
void pw_quota_ack_received(struct pw_quota *q, const struct pw_quota_ack *ack);

/* Queries. */

/** Appends the hints (struct pw_quota_hint) to send with the next heartbeat. */
void pw_quota_append_hints(struct pw_quota *q, uint64_t now_us, GArray *out);

/** State of one resource. */
struct pw_quota_status {
	uint32_t share;
	uint64_t level_microtokens;
	int64_t held_units; /**< holding: free and in use; below 0 after a cut of the total */
	uint32_t in_use;    /**< units */
	uint32_t waiting;   /**< requests in the queue */
};

/** @return 0, or PW_ENOTFOUND if there is no such resource */
int pw_quota_get_status(struct pw_quota *q, const char *id, struct pw_quota_status *out);

#endif
