/**
 * @file revision.h
 * Decides which revision of the service document a VM adopts, whether it watches the store, what
 * it announces to its neighbours, what it fetches, and until when its snapshot, the document in
 * force, is fresh (docs/design.md 4.4 and 4.7). A confirmation says that a revision was the newest
 * one in the store at some time. All times are monotonic microseconds of this VM.
 */
#ifndef PW_DECIDE_REVISION_H
#define PW_DECIDE_REVISION_H

#include <stdbool.h>
#include <stdint.h>

/** Time for which a snapshot stays fresh after the time for which it was confirmed. */
#define PW_REVISION_FRESH_US UINT64_C(2000000)
/**
 * Time for which a VM counts as reaching the store after it sent a request that was answered. It
 * is shorter than PW_REVISION_FRESH_US by more than the uncertainty of ages in heartbeats, so that
 * the quorum lease takes over before the last confirmation expires.
 */
#define PW_REVISION_STORE_REACHED_US UINT64_C(1500000)
/** Interval of a watcher's reads. With a store that takes 1 s to answer, two are in flight. */
#define PW_REVISION_READ_INTERVAL_US UINT64_C(500000)
/** Age of the last confirmation at which a VM that does not watch reads the store. */
#define PW_REVISION_FALLBACK_AGE_US UINT64_C(1000000)
/** Interval of fallback reads per member, which limits all members together to 1000 reads/s. */
#define PW_REVISION_FALLBACK_PER_MEMBER_US UINT64_C(1000)
/** Timeout of a fetch, after which another source is tried. */
#define PW_REVISION_FETCH_TIMEOUT_US UINT64_C(500000)
/** Number of VMs that watch the store: the ones with the lowest ranks. */
#define PW_REVISION_WATCHER_COUNT 3
/**
 * Size of the peer table. Every member sends heartbeats to every other; in a fleet with more
 * members than this, a new peer replaces the one that has been silent longest.
 */
#define PW_REVISION_MAX_PEERS 64
/** Maximum number of actions that one call returns. */
#define PW_REVISION_MAX_ACTIONS 8

/** Stands for the store where a peer's number is expected. */
#define PW_REVISION_SOURCE_STORE UINT64_C(0)
/** Age that is not known. */
#define PW_REVISION_AGE_UNKNOWN UINT64_MAX

struct pw_revision;
struct pw_revision_rule;

struct pw_revision_rule_ops {
	/** @return whether a VM with revision `current` adopts revision `offered` */
	bool (*accepts)(const struct pw_revision_rule *rule, uint64_t current, uint64_t offered);
};

/** Rule that decides which revisions are adopted. */
struct pw_revision_rule {
	const struct pw_revision_rule_ops *ops;
};

/** Adopts only revisions above the current one. */
extern const struct pw_revision_rule pw_revision_rule_greater;

struct pw_revision_options {
	uint32_t version;
	const struct pw_revision_rule *rule; /**< NULL: pw_revision_rule_greater */
	uint64_t self;                       /**< number of this VM; not PW_REVISION_SOURCE_STORE */
};

#define PW_REVISION_OPTIONS_VERSION 1
/* clang-format off */
#define PW_REVISION_OPTIONS_INIT { .version = PW_REVISION_OPTIONS_VERSION }
/* clang-format on */

enum pw_revision_action_kind {
	PW_REVISION_ADOPT,    /**< put the offered document in force */
	PW_REVISION_REJECT,   /**< log that the offered document is invalid */
	PW_REVISION_ANNOUNCE, /**< announce `revision` to the neighbours except `peer` */
	PW_REVISION_FETCH, /**< fetch the document from `peer`, or from PW_REVISION_SOURCE_STORE */
	PW_REVISION_READ,  /**< read the document's revision, not its value, from the store */
	PW_REVISION_WATCH_START, /**< watch the document in the store */
	PW_REVISION_WATCH_STOP,
};

struct pw_revision_action {
	enum pw_revision_action_kind kind;
	uint64_t revision;
	uint64_t peer;
};

/** Actions of one call; the caller clears `count` before it. */
struct pw_revision_actions {
	struct pw_revision_action items[PW_REVISION_MAX_ACTIONS];
	uint32_t count;
};

/** Part of a heartbeat or an announcement that is about revisions. */
struct pw_revision_report {
	uint64_t revision; /**< revision in force at the sender, which can send its document */
	/** Revision that was the newest in the store `confirmed_age_us` before the report. */
	uint64_t confirmed_revision;
	uint64_t confirmed_age_us; /**< age of the confirmation, or PW_REVISION_AGE_UNKNOWN */
	/** Age of the sender's last store request that was answered, or PW_REVISION_AGE_UNKNOWN. */
	uint64_t store_age_us;
};

/** Document that has arrived, with the result of its validation. */
struct pw_revision_offer {
	uint64_t source; /**< number of a peer, or PW_REVISION_SOURCE_STORE */
	uint64_t revision;
	bool valid;
};

/** @return 0, or PW_EINVALID for a wrong version or number */
int pw_revision_new(struct pw_revision **out, const struct pw_revision_options *options);
void pw_revision_free(struct pw_revision *r);

/**
 * Sets the rank of this VM among the members.
 *
 * @param rank rendezvous rank; ranks below PW_REVISION_WATCHER_COUNT watch the store
 */
void pw_revision_set_rank(struct pw_revision *r, uint64_t now_us, uint32_t rank,
			  uint32_t member_count, struct pw_revision_actions *out);

/**
 * Sets the time at which the quorum lease (docs/design.md 4.5) expires; 0 if it is lost. The
 * heartbeats that renewed the lease have to be passed to pw_revision_handle_report() first, as
 * their reports tell whether this VM missed a revision.
 */
void pw_revision_set_lease(struct pw_revision *r, uint64_t until_us);

/** Handles a document from the store or from a peer, whether requested or not. */
void pw_revision_handle_offer(struct pw_revision *r, uint64_t now_us,
			      const struct pw_revision_offer *offer,
			      struct pw_revision_actions *out);

/**
 * Handles the store's answer to a read or a fetch.
 *
 * @param sent_us  when the request was sent; the answer confirms the revision for that time only
 * @param revision revision of the document, or 0 if there is none
 */
void pw_revision_handle_store_response(struct pw_revision *r, uint64_t now_us, uint64_t sent_us,
				       uint64_t revision, struct pw_revision_actions *out);

/**
 * Handles a heartbeat or an announcement of a peer.
 *
 * @param made_after_us earliest time at which the report can have been made, from the echo of one
 *                      of this VM's own heartbeats; 0 if not known. It bounds the age of a
 *                      message that was delayed in the network.
 */
void pw_revision_handle_report(struct pw_revision *r, uint64_t now_us, uint64_t peer,
			       const struct pw_revision_report *report, uint64_t made_after_us,
			       struct pw_revision_actions *out);

/** Handles a peer that left or was removed. */
void pw_revision_remove_peer(struct pw_revision *r, uint64_t now_us, uint64_t peer,
			     struct pw_revision_actions *out);

/**
 * Handles a failed fetch from a peer or the store (PW_REVISION_SOURCE_STORE). Another source is
 * tried at once; if there is none, the fetch is repeated after its timeout.
 */
void pw_revision_handle_fetch_failure(struct pw_revision *r, uint64_t now_us, uint64_t peer,
				      struct pw_revision_actions *out);

/** Handles timeouts and starts reads that are due; to be called at pw_revision_next_tick_us(). */
void pw_revision_tick(struct pw_revision *r, uint64_t now_us, struct pw_revision_actions *out);

/** @return time at which pw_revision_tick() is due */
uint64_t pw_revision_next_tick_us(const struct pw_revision *r, uint64_t now_us);

/** Fills the report that this VM's heartbeats and announcements carry. */
void pw_revision_fill_report(const struct pw_revision *r, uint64_t now_us,
			     struct pw_revision_report *out);

/** @return revision in force, or 0 */
uint64_t pw_revision_current(const struct pw_revision *r);

/**
 * Returns the time until which keyed requests may be served. The users of the snapshot compare it
 * with their own reading of the clock, so that a task that was paused stops serving by itself.
 *
 * @return time; not after `now_us` if the snapshot is not fresh
 */
uint64_t pw_revision_fresh_until_us(const struct pw_revision *r, uint64_t now_us);

#endif
