/**
 * @file change.h
 * Change of the primary of a group: when it is due, what has to be known before the promotion, and
 * which server is promoted. This module is for servers that an outside service promotes on request;
 * failover.h is for servers that are fenced and promoted by statements.
 *
 * A VM sends work to a primary only while it holds a permit, a time-limited right to use primaries:
 * its last renewal at the store is less than PW_PERMIT_DURATION_US old, and the primary record of
 * the group says that no change is in progress. The VM that changes the primary marks the record as
 * changing, waits until every registered VM has confirmed the mark or its permit has expired, and
 * only then sends the promotion request. So no VM accepts an answer of a replaced primary.
 */
#ifndef PW_DECIDE_CHANGE_H
#define PW_DECIDE_CHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "pw/decide/position.h"

/**
 * Duration of a permit, counted from the time at which its renewal was sent. A longer one bridges
 * longer outages of the store; a shorter one lets a change finish sooner when a VM does not
 * confirm.
 */
#define PW_PERMIT_DURATION_US UINT64_C(1600000)

/** Renewal interval: a third of the permit's duration, so that one renewal may be lost. */
#define PW_PERMIT_RENEW_INTERVAL_US UINT64_C(500000)

/**
 * Duration of a promise not to start a change. While no VM reaches the store, none can start one. A
 * VM to which all others have made the promise may go on using the primaries that it knows; the
 * others keep the promise even if the store comes back.
 */
#define PW_PROMISE_DURATION_US UINT64_C(1200000)

/** @return whether a permit that expires at `until_us` is still valid */
static inline bool pw_permit_is_valid(uint64_t until_us, uint64_t now_us)
{
	return now_us < until_us;
}

enum pw_change_reason {
	PW_CHANGE_NONE,         /**< no change is due */
	PW_CHANGE_UNREACHABLE,  /**< most VMs that tried to reach the primary cannot */
	PW_CHANGE_UNREGISTERED, /**< the primary is no longer registered */
	PW_CHANGE_LEAVING,      /**< the primary is about to stop */
	PW_CHANGE_DEMOTED,      /**< the primary's entry says that it is a replica */
	PW_CHANGE_ABANDONED,    /**< another VM started a change and did not finish it */
};

/** @return name for the log */
const char *pw_change_reason_name(enum pw_change_reason r);

/** What this VM knows about a group and its primary. */
struct pw_change_view {
	bool registered;          /**< the primary is registered */
	bool leaving;             /**< its entry says that it is about to stop */
	bool demoted;             /**< its entry says that it is a replica */
	bool changing;            /**< the primary record says that a change is in progress */
	uint64_t record_since_us; /**< when this VM learned of the current record */
	/**
	 * While `changing`: an earlier process of this VM led the change and has ended; when this
	 * one started. 0: another VM leads it, or this process
	 */
	uint64_t leader_ended_us;
	uint64_t entry_fault_since_us; /**< since when pw_change_entry_fault() says so; 0: no fault
					*/
	/** Votes that the primary cannot be reached; each live VM has one at most. */
	uint32_t lost_vote_count;
	uint32_t reached_vote_count; /**< votes that it was reached recently, counted likewise */
	uint32_t live_count;         /**< number of live VMs, this one included */
	uint64_t lost_since_us;      /**< earliest loss that lost_vote_count reports; 0: none */
	uint64_t lost_votes_age_us;  /**< since the oldest report among lost_vote_count arrived */
	bool lost;                   /**< this VM cannot reach the primary */
	uint32_t rank;               /**< this VM's rank for the group among live VMs; 0: first */
	uint32_t candidate_count;    /**< number of replicas that are registered and not leaving */
};

/** Time without contact after which the primary counts as lost. */
#define PW_CHANGE_LOST_AFTER_US UINT64_C(500000)
/** Delay for each place in the rank, so that one VM acts at a time. */
#define PW_CHANGE_RANK_DELAY_US UINT64_C(600000)
/**
 * Time for which a new primary's entry may still say "replica": until the server has updated it and
 * this VM has read it.
 */
#define PW_CHANGE_DEMOTED_AFTER_US UINT64_C(4000000)
/** The VM that leads a change gives it up this long after its start. */
#define PW_CHANGE_TIMEOUT_US UINT64_C(5000000)
/**
 * Time since the start of a change after which its leader sends no promotion request. It is below
 * PW_CHANGE_TIMEOUT_US, which is below PW_CHANGE_TAKEOVER_AFTER_US, so that no request is sent when
 * another VM may have taken the change over.
 */
#define PW_CHANGE_PROMOTE_DEADLINE_US UINT64_C(3500000)
/**
 * Time since the start of a change after which a server without the commits of the current primary
 * may be promoted, if no other one has answered. It leaves time for the promotion request.
 */
#define PW_CHANGE_LAST_RESORT_AFTER_US UINT64_C(2800000)
/** Another VM takes over a change that has not finished after this time. */
#define PW_CHANGE_TAKEOVER_AFTER_US UINT64_C(6500000)
/**
 * A VM whose earlier process led a change resumes it this long after its own start. What the
 * earlier process may have sent to the promoter has arrived by then, or is dropped by the kernel
 * after PW_CHANGE_REQUEST_LIFETIME_US.
 */
#define PW_CHANGE_RESUME_AFTER_US UINT64_C(1500000)
/** Time after which a request for a promotion that is not acknowledged by TCP is dropped. */
#define PW_CHANGE_REQUEST_LIFETIME_US UINT64_C(1000000)

/**
 * Minimum of lost_vote_count when at least PW_CHANGE_VOTES_MIN_LIVE VMs are live: a network problem
 * of a single VM is no reason for a change. With fewer live VMs one vote is enough.
 */
#define PW_CHANGE_VOTES_MIN      2
#define PW_CHANGE_VOTES_MIN_LIVE 3

/**
 * Time for which a vote counts after it was heard. In a large fleet a VM hears of each other one
 * only every few seconds, but of many in this time; older votes tell of a state that may be over.
 */
#define PW_CHANGE_VOTE_MAX_AGE_US UINT64_C(2000000)

/** @return whether a vote that was heard at `heard_us` still counts */
static inline bool pw_change_vote_counts(uint64_t heard_us, uint64_t now_us)
{
	return now_us < heard_us + PW_CHANGE_VOTE_MAX_AGE_US;
}

/**
 * Decides whether this VM checks by itself whether it reaches the primary. Each check may open a
 * connection, for which a primary that many VMs use has no room, so in a large fleet only VMs that
 * have lost it check it, and those that would change it.
 *
 * @param checker_count number of VMs, by rank, that check what others have lost
 */
bool pw_change_should_check(const struct pw_change_view *v, uint32_t checker_count);

/** @return reason for a change that the primary's entry gives, or PW_CHANGE_NONE */
enum pw_change_reason pw_change_entry_fault(const struct pw_change_view *v);

/** @return reason for which this VM should change the primary now, or PW_CHANGE_NONE */
enum pw_change_reason pw_change_due_reason(const struct pw_change_view *v, uint64_t now_us);

/**
 * Weight of a VM in the order in which VMs act on a change; the lowest acts first. The leader of
 * the group's last change comes first, so that the right to decide stays with one VM while that is
 * live. The order of the others differs between groups, which spreads the load.
 *
 * @param led_last_change whether the VM led the last change of the group
 */
uint64_t pw_change_rank_weight(bool led_last_change, uint32_t vm_hash, uint32_t group_hash);

/** What the VM that leads a change knows of a member that may use the current primary. */
struct pw_change_member {
	bool confirmed; /**< it has confirmed the mark */
	bool silent;    /**< nothing was heard of it for so long that it is not waited for */
	bool answers; /**< it has answered since it was asked, in a fleet where members are asked */
	/** When this VM first knew that the member has settled the mark; 0: it has not. */
	uint64_t settled_us;
	uint64_t revoked_us; /**< when the revocation of its lease was done; 0: it was not */
};

/** How the members learn of a mark, and what they may finish. */
struct pw_change_quiesce {
	bool planned;   /**< statements in flight may finish */
	bool by_asking; /**< members are asked, since their regular messages come too seldom */
};

/**
 * Decides whether no VM uses the current primary any more by a permit of the member. A member that
 * has settled the mark does not use it, and delegates permits only to members that have settled it
 * as well; those that it delegated before expire within PW_PERMIT_DURATION_US. A member whose lease
 * was revoked has a permit for as long.
 */
bool pw_change_permit_is_over(const struct pw_change_member *m, uint64_t now_us);

/**
 * Decides whether to revoke the lease of a member, so that the change need not wait for it longer
 * than PW_PERMIT_DURATION_US. A revocation takes the member's permit for all groups, so one that
 * has settled the mark, or answers and may yet hear of it, gets time.
 *
 * @param waited_us time since the members were listed
 */
bool pw_change_should_revoke(const struct pw_change_member *m, const struct pw_change_quiesce *q,
			     uint64_t waited_us);

/** Server of the group: a candidate, or the current primary. */
struct pw_change_server {
	bool is_primary; /**< it is the primary according to the record */
	/**
	 * May be promoted: it is registered and not leaving. The current primary may be promoted
	 * only after another VM abandoned a change.
	 */
	bool eligible;
	/**
	 * It is registered and about to stop. It still receives commits, so with synchronous
	 * replication it may be the only replica that has them, and is then promoted.
	 */
	bool leaving;
	bool refused; /**< the promotion request was refused, since it does not run */
	/** It is in the replica set and not registered any more, see replica_set.h. */
	bool departed;
	bool reported;        /**< it has answered: the fields below are known */
	bool acts_as_primary; /**< it reports that it is primary */
	uint64_t term;
	struct pw_position log_end; /**< end of its log */
	uint32_t distance;          /**< breaks ties: the smaller is preferred */
};

enum pw_change_choice {
	PW_CHANGE_WAIT,    /**< more servers have to answer, or replicas have to catch up */
	PW_CHANGE_PROMOTE, /**< promote the server */
};

/** What a server has to fulfil to be promoted. */
struct pw_change_conditions {
	/** Number of replicas that have every acknowledged commit; 0: asynchronous replication. */
	uint32_t sync_replicas;
	/**
	 * The servers are all that may hold an acknowledged commit, as the store has the replica
	 * set of the group. Otherwise only a server that has the whole log of the acting primary is
	 * known to have every commit.
	 */
	bool replica_set_known;
	/**
	 * Term of the newest known commit: a server whose log ends in an earlier term lacks all
	 * commits of the current primary and is not chosen; 0: any.
	 */
	uint64_t min_term;
	bool planned; /**< the current primary is alive: wait until a replica has its whole log */
	bool urgent;  /**< time is short: choose the best replica even if it lags or others are
		       * silent
		       */
};

/**
 * Chooses the server to promote. A server that already acts as primary of the newest reported term
 * is preferred; it has to be promoted as well, since a server that has not reported may have been
 * promoted after it.
 *
 * With synchronous replication the chosen server has every acknowledged commit, whatever the other
 * conditions say: fewer replicas than have each commit are silent, so a commit is in some report.
 *
 * @param server index of the chosen server; valid unless PW_CHANGE_WAIT is returned
 */
enum pw_change_choice pw_change_choose(uint32_t *server, const struct pw_change_server *servers,
				       uint32_t count, const struct pw_change_conditions *k);

/**
 * Time after the response to a promotion request in which the promotion takes effect. The service
 * needs some hundred milliseconds.
 */
#define PW_CHANGE_PROMOTION_EFFECT_US UINT64_C(1500000)

/**
 * Decides whether a promotion has taken effect. A server that acted as primary before has to report
 * a newer term, since another server may have been promoted meanwhile; if it was still the newest
 * primary, the request changes nothing, and PW_CHANGE_PROMOTION_EFFECT_US without a newer term
 * shows that.
 *
 * @param before     report of the server before the request was sent
 * @param after      its last report since then; `reported` is false if there is none
 * @param elapsed_us time since the response to the request
 */
bool pw_change_is_promoted(const struct pw_change_server *before,
			   const struct pw_change_server *after, uint64_t elapsed_us);

#endif
