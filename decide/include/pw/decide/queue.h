/**
 * @file queue.h
 * Order in which statements that wait for a server are served: by priority, then round-robin among
 * the client accounts (statements in flight count too), then by arrival. This keeps an account with
 * many waiting statements from delaying accounts with a few. The gateway task uses this order; the
 * pools of the group tasks use another (pool.h).
 */
#ifndef PW_DECIDE_QUEUE_H
#define PW_DECIDE_QUEUE_H

#include <glib.h>
#include <stdint.h>

/** A waiting statement. */
struct pw_queue_entry {
	void *owner;         /**< the caller's data */
	const void *account; /**< equal for statements of one client account */
	uint32_t priority;   /**< lower is more urgent */
	uint32_t in_flight;  /**< statements of the account in flight at servers */
	/** Set by pw_queue_sort(): `in_flight` plus the account's earlier entries in the list. */
	uint32_t account_rank;
	uint32_t arrival_index; /**< set by pw_queue_sort(): index in the unsorted list */
};

/** Sorts a list of struct pw_queue_entry from the order of arrival into the order of service. */
void pw_queue_sort(GArray *list);

#endif
