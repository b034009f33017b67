/**
 * @file change.h
 * Change of the primary of a group: when it is due, what has to be known before the order, and
 * which server is promoted.
 *
 * A VM sends work to a primary only while it has the permission for it: its last renewal at the
 * store is less than PW_PERMIT_US old, and the record of the group says "stable". The VM that
 * changes the primary marks the record, waits until every registered VM has confirmed the mark or
 * its permission has ended, and only then gives the order. So no VM accepts an answer of a replaced
 * primary.
 */
#ifndef PW_DECIDE_CHANGE_H
#define PW_DECIDE_CHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "pw/decide/position.h"

/**
 * A permission ends this long after its renewal was sent. Longer bridges longer outages of the
 * store; shorter ends a change sooner when a VM does not confirm.
 */
#define PW_PERMIT_US UINT64_C(1600000)

/** Renewals: a third of the permission, so that one may be lost. */
#define PW_PERMIT_RENEW_US UINT64_C(500000)

/**
 * While nobody reaches the store, nobody can claim a change. A VM that all others have promised to
 * claim none for this time may go on with the primaries that it knows; each of them keeps its
 * promise when the store is back.
 */
#define PW_PROMISE_US UINT64_C(1200000)

/** @return whether a permission holds */
static inline bool pw_permit_holds(uint64_t until_us, uint64_t now_us)
{
	return now_us < until_us;
}

enum pw_change_reason {
	PW_CHANGE_NONE,
	PW_CHANGE_UNREACHABLE, /**< most VMs that tried cannot reach the primary */
	PW_CHANGE_GONE,        /**< its entry is gone */
	PW_CHANGE_LEAVING,     /**< it is about to stop */
	PW_CHANGE_DEMOTED,     /**< it says that it is a replica */
	PW_CHANGE_ABANDONED,   /**< a change by another VM did not come to its end */
};

/** @return name for the log */
const char *pw_change_reason_name(enum pw_change_reason r);

/** What a VM knows of a group. */
struct pw_change_view {
	bool listed;               /**< the primary is registered */
	bool leaving;              /**< it says so in its entry */
	bool demoted;              /**< its entry says that it is a replica */
	bool changing;             /**< the record says that a change is under way */
	uint64_t record_since_us;  /**< since when this VM knows the record */
	uint64_t demoted_since_us; /**< since when the entry says so; 0: not */
	uint32_t votes_lost;       /**< VMs that cannot reach the primary */
	uint32_t votes_reached;    /**< VMs that reached it recently */
	uint32_t live;             /**< VMs that are heard of, this one included */
	uint64_t lost_since_us;    /**< longest time of those that cannot; 0: none */
	uint32_t rank;             /**< place of this VM among the live ones for this group */
	uint32_t candidates;       /**< registered servers that stay, without the primary */
};

/** Time without contact after which a primary counts as lost. */
#define PW_CHANGE_LOST_US UINT64_C(500000)
/** Pause for each place in the rank, so that one VM acts at a time. */
#define PW_CHANGE_RANK_US UINT64_C(600000)
/** The entry of a new primary may say "replica" until it is written and read again. */
#define PW_CHANGE_DEMOTED_US UINT64_C(4000000)
/** A change is given up after this time; the order is given within PW_CHANGE_ORDER_US. */
#define PW_CHANGE_LIMIT_US UINT64_C(5000000)
/** The order is not given later: another VM may have taken over after PW_CHANGE_LIMIT_US. */
#define PW_CHANGE_ORDER_US UINT64_C(3500000)
/** Another VM takes a change over after this time. */
#define PW_CHANGE_TAKEOVER_US UINT64_C(6500000)

/**
 * Votes that are needed to give a primary up. The trouble of a single VM is no reason, unless there
 * are hardly any others to ask.
 */
#define PW_CHANGE_VOTES_MIN 2
#define PW_CHANGE_VOTES_OF  3

/** @return why this VM should change the primary now, or PW_CHANGE_NONE */
enum pw_change_reason pw_change_due(const struct pw_change_view *v, uint64_t now_us);

/** A server that may be promoted, or the present primary. */
struct pw_change_server {
	bool primary;  /**< as the record says */
	bool eligible; /**< registered and not leaving; the present primary after a change that
			    did not come to its end */
	bool reported; /**< `log` and the rest are known */
	bool leads;    /**< says that it is primary */
	uint64_t term;
	struct pw_position log;
	uint32_t distance; /**< tie-break: smaller is better */
};

enum pw_change_choice {
	PW_CHANGE_WAIT,    /**< more reports are needed, or replicas have to catch up */
	PW_CHANGE_PROMOTE, /**< give the order for the server */
	PW_CHANGE_ADOPT,   /**< the server leads already: record it */
};

/**
 * Chooses the server to promote.
 *
 * @param planned the present primary lives: wait until a replica has its whole log
 * @param hurry   time is short: take the best replica although it is behind
 */
enum pw_change_choice pw_change_choose(uint32_t *server, const struct pw_change_server *servers,
				       uint32_t count, uint32_t sync_replicas, bool planned,
				       bool hurry);

#endif
