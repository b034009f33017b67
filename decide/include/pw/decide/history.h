/**
 * @file history.h
 * What one VM has seen of the log of a group's primary, by time. A read that accepts data of some
 * age needs a position that covers every commit older than that; any position that the primary gave
 * in answer to a statement sent since then does.
 */
#ifndef PW_DECIDE_HISTORY_H
#define PW_DECIDE_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "pw/decide/position.h"

/** Observations that are kept: over 2.5 s at the smallest distance. */
#define PW_HISTORY_SIZE 128

/** Observations that follow sooner replace none and are dropped, to keep the ring long in time. */
#define PW_HISTORY_STEP_US UINT64_C(20000)

struct pw_observation {
	uint64_t sent_us; /**< when the statement was sent: every earlier commit is covered */
	struct pw_position at;
};

struct pw_history {
	struct pw_observation ring[PW_HISTORY_SIZE];
	uint32_t next;
	uint32_t count;
	uint64_t generation; /**< of the group's primary; observations are of this one only */
};

/** Forgets everything when the group has another primary. */
void pw_history_set_generation(struct pw_history *h, uint64_t generation);

/**
 * Notes an answer of the primary.
 *
 * @param sent_us when its statement was sent; the primary was not replaced then
 */
void pw_history_note(struct pw_history *h, uint64_t sent_us, const struct pw_position *at);

/** @return whether there is an observation; `at` and `sent_us` receive the newest */
bool pw_history_newest(const struct pw_history *h, struct pw_position *at, uint64_t *sent_us);

/**
 * Finds the smallest known position that covers every commit acknowledged before a time.
 *
 * @param before_us 0 for any position of the present primary
 * @param seen_us   receives the time of the observation; may be NULL
 * @return false if there is none
 */
bool pw_history_floor(const struct pw_history *h, uint64_t before_us, struct pw_position *out,
		      uint64_t *seen_us);

#endif
