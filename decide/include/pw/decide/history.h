/**
 * @file history.h
 * Log positions of a group's primary that one VM has seen, by time. A read that accepts data of a
 * given age needs a position that covers every commit older than that age. A position that the
 * primary returned covers every commit acknowledged before the statement was sent.
 */
#ifndef PW_DECIDE_HISTORY_H
#define PW_DECIDE_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "pw/decide/position.h"

/** Number of entries; at the minimum interval they cover over 2.5 s. */
#define PW_HISTORY_ENTRIES_MAX 128

/**
 * Minimum time between entries, so that the ring covers enough time. A position that comes sooner
 * is dropped.
 */
#define PW_HISTORY_INTERVAL_MIN_US UINT64_C(20000)

struct pw_history_entry {
	uint64_t sent_us; /**< when the statement was sent; every earlier commit is covered */
	struct pw_position position; /**< returned by the primary for that statement */
};

struct pw_history {
	struct pw_history_entry ring[PW_HISTORY_ENTRIES_MAX];
	uint32_t next;       /**< index in the ring of the next entry to write */
	uint32_t count;      /**< number of valid entries */
	uint64_t generation; /**< generation of the group's primary that all entries come from */
};

/** Sets the generation of the group's primary; a new one discards all entries. */
void pw_history_set_generation(struct pw_history *h, uint64_t generation);

/**
 * Records a position that the primary returned.
 *
 * @param sent_us when the statement was sent; the primary must not have been replaced by then
 */
void pw_history_record(struct pw_history *h, uint64_t sent_us, const struct pw_position *position);

/** @return whether there is an entry; `position` and `sent_us` receive the newest one */
bool pw_history_newest(const struct pw_history *h, struct pw_position *position, uint64_t *sent_us);

/**
 * Finds the lowest known position that covers every commit acknowledged before a time.
 *
 * @param before_us the time; 0 accepts any position of the present primary
 * @param sent_us   receives when the statement of that entry was sent; may be NULL
 * @return false if there is none
 */
bool pw_history_find_floor(const struct pw_history *h, uint64_t before_us, struct pw_position *out,
			   uint64_t *sent_us);

#endif
