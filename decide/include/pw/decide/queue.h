/**
 * @file queue.h
 * Order in which statements that wait for a server get their turn. It answers a load in which one
 * client account has many statements waiting and others a few: the more urgent first, then in turn
 * among the accounts, as if each statement placed before counted as running.
 */
#ifndef PW_DECIDE_QUEUE_H
#define PW_DECIDE_QUEUE_H

#include <glib.h>
#include <stdint.h>

struct pw_waiting {
	void *owner;         /**< of the caller */
	const void *account; /**< equal for statements of one client account */
	uint32_t priority;   /**< lower is more urgent */
	uint32_t running;    /**< statements of the account at servers */
	uint32_t place;      /**< set by pw_queue_sort(): running, and waiting before this one */
	uint32_t arrival;    /**< set by pw_queue_sort(): index in the list as it was given */
};

/** Sorts a list of struct pw_waiting, which is in the order of arrival, by turn. */
void pw_queue_sort(GArray *list);

#endif
