/**
 * @file quota.h
 * Quota over the fleet (docs/design.md 4.5 and 4.6): rates of client accounts, and units
 * (connections and slots) of servers. Events and the time go in, actions come out.
 *
 * Each member of the epoch in effect has a holding of each resource. Holdings move by escrow: the
 * donor takes the amount off its holding when it sends the grant, the receiver adds it once. The
 * sum of all holdings and of the grants on their way is never above the total.
 *
 * Rates: a holding is a share of the total and a token level. It fills at rate * share up to
 * burst * share, only for time during which the quorum lease was held, since another epoch may be
 * in effect elsewhere after that. Tokens move together with share, so the caps never sum to more
 * than the burst.
 *
 * Units: when an epoch takes effect, a member that stays keeps at most its base share of what it
 * held, plus units in use, which it gives up as they are released. The rest of the base share is
 * usable once all members that stay have reported in this epoch that they use no more than theirs.
 * Units above the base share that a member has not needed for a while return to members below
 * theirs, so that a VM that is lost while it is idle takes no more than its base share with it.
 */
#ifndef PW_DECIDE_QUOTA_H
#define PW_DECIDE_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "pw/decide/member.h"

#define PW_QUOTA_ID_SIZE 96

/** Share of a rate resource in fixed point. */
#define PW_QUOTA_WHOLE_SHARE (UINT32_C(1) << 30)

/** Micro-tokens of one request. */
#define PW_QUOTA_TOKEN     UINT64_C(1000000)

#define PW_QUOTA_RATE_MAX  UINT64_C(10000000)
#define PW_QUOTA_BURST_MAX UINT64_C(100000000)
#define PW_QUOTA_UNITS_MAX UINT32_C(1000000)

/** A request waits this long for tokens. */
#define PW_QUOTA_RATE_WAIT_US UINT64_C(100000)

enum pw_quota_kind {
	PW_QUOTA_RATE,
	PW_QUOTA_UNITS,
};

/** A resource as configured. */
struct pw_quota_spec {
	char id[PW_QUOTA_ID_SIZE];
	enum pw_quota_kind kind;
	uint64_t rate_per_s;   /**< rate; 0 refuses all */
	uint64_t burst_tokens; /**< rate; at least 1 to admit anything */
	uint32_t units;        /**< units */
};

/** What a member has to spare; travels with its heartbeats. */
struct pw_quota_hint {
	char id[PW_QUOTA_ID_SIZE];
	uint64_t epoch;       /**< in effect at the sender */
	uint64_t spare;       /**< share or units */
	uint64_t spare_level; /**< micro-tokens */
	uint64_t demand;      /**< micro-tokens a second, or thousandths of a unit */
	uint32_t excess;      /**< units in use beyond the holding */
	uint32_t below_base;  /**< units that the holding lacks to the base share */
};

struct pw_quota_ask {
	char sender[PW_MEMBER_NAME_SIZE];
	uint64_t incarnation;
	uint64_t epoch;
	char id[PW_QUOTA_ID_SIZE];
	uint32_t share;
	uint64_t level; /**< micro-tokens */
	uint32_t units; /**< requests that wait for a unit or a token */
};

struct pw_quota_grant {
	char donor[PW_MEMBER_NAME_SIZE];
	uint64_t donor_incarnation;
	uint64_t receiver_incarnation;
	uint64_t epoch;
	uint64_t number;      /**< counts up over all grants of this donor incarnation */
	uint64_t oldest_open; /**< lowest number to this receiver without acknowledgement */
	char id[PW_QUOTA_ID_SIZE];
	uint32_t share;
	uint64_t level; /**< micro-tokens */
	uint32_t units;
};

struct pw_quota_ack {
	char sender[PW_MEMBER_NAME_SIZE];
	uint64_t donor_incarnation;
	uint64_t number;
};

enum pw_quota_verdict {
	PW_QUOTA_ADMITTED,
	PW_QUOTA_QUEUED,
	PW_QUOTA_REFUSED,
};

enum pw_quota_action_kind {
	PW_QUOTA_ADMIT,      /**< queued `request` of resource `id` */
	PW_QUOTA_REFUSE,     /**< queued `request` of resource `id` */
	PW_QUOTA_SEND_ASK,   /**< `ask` to `peer` */
	PW_QUOTA_SEND_GRANT, /**< `grant` to `peer` */
	PW_QUOTA_SEND_ACK,   /**< `ack` to `peer` */
	PW_QUOTA_RECALL,     /**< release `units` of `id` as soon as they are idle */
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

/** Test-only switches that turn a mechanism off, to show that the suite notices. */
enum pw_quota_unsafe {
	PW_QUOTA_UNSAFE_COUNT_TWICE = 1u << 0, /**< repeated grants count again */
	PW_QUOTA_UNSAFE_NO_MOVES = 1u << 1,    /**< equal static shares: the naive version */
	PW_QUOTA_UNSAFE_CLAIM_EARLY = 1u << 2, /**< units: no wait for members above theirs */
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

int pw_quota_new(struct pw_quota **out, const struct pw_quota_options *options);
void pw_quota_free(struct pw_quota *q);

/* Events. `actions` is a GArray of struct pw_quota_action that the call appends to. */

/**
 * Sets the resources; those not listed are dropped and their queues refused.
 *
 * @return 0; PW_EINVALID, without any change, when a total is above its limit or an id is repeated
 */
int pw_quota_configure(struct pw_quota *q, const struct pw_quota_spec *specs, uint32_t count,
		       uint64_t now_us, GArray *actions);
/** The epoch of `table` has taken effect (PW_MEMBER_EPOCH). */
void pw_quota_epoch(struct pw_quota *q, const struct pw_member_table *table, uint64_t now_us,
		    GArray *actions);
/**
 * Time until which the lease is held, as pw_member_lease() gives it; 0 without one. To be called
 * after each event of pw_member_*, after the epoch that the event put in effect.
 */
void pw_quota_lease(struct pw_quota *q, uint64_t until_us);
/** To be called every 1 to 20 ms. */
void pw_quota_tick(struct pw_quota *q, uint64_t now_us, GArray *actions);

/**
 * Gives all that is free to the other members, before a planned stop. To be called until the stop,
 * as units come back.
 */
void pw_quota_leave(struct pw_quota *q, uint64_t now_us, GArray *actions);

/** Asks for one token. A queued request is admitted or refused by an action later. */
enum pw_quota_verdict pw_quota_admit(struct pw_quota *q, const char *id, uint64_t request,
				     uint64_t now_us, GArray *actions);
/** Asks for one unit; the request waits until deadline_us. */
enum pw_quota_verdict pw_quota_take(struct pw_quota *q, const char *id, uint64_t request,
				    uint64_t deadline_us, uint64_t now_us, GArray *actions);
/** Returns units. */
void pw_quota_release(struct pw_quota *q, const char *id, uint32_t units, uint64_t now_us,
		      GArray *actions);
/** Takes a request out of its queue; @return whether it was there */
bool pw_quota_cancel(struct pw_quota *q, const char *id, uint64_t request);

void pw_quota_hint_received(struct pw_quota *q, const char *peer, uint64_t incarnation,
			    const struct pw_quota_hint *hint, uint64_t now_us, GArray *actions);
void pw_quota_ask_received(struct pw_quota *q, const struct pw_quota_ask *ask, uint64_t now_us,
			   GArray *actions);
void pw_quota_grant_received(struct pw_quota *q, const struct pw_quota_grant *grant,
			     uint64_t now_us, GArray *actions);
void pw_quota_ack_received(struct pw_quota *q, const struct pw_quota_ack *ack);

/* Queries. */

/** Appends the hints (struct pw_quota_hint) to send with the next heartbeat. */
void pw_quota_hints(struct pw_quota *q, uint64_t now_us, GArray *out);

/** State of one resource. */
struct pw_quota_status {
	uint32_t share;
	uint64_t level; /**< micro-tokens */
	int64_t units;  /**< holding, free and in use; below 0 after a cut of the total */
	uint32_t in_use;
	uint32_t waiting;
};

/** @return 0, or PW_ENOTFOUND */
int pw_quota_status(struct pw_quota *q, const char *id, struct pw_quota_status *out);

#endif
