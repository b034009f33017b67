/**
 * @file bucket.h
 * Token bucket for limits that each VM enforces on its own.
 */
#ifndef PW_DECIDE_BUCKET_H
#define PW_DECIDE_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

struct pw_bucket {
	uint64_t rate_per_s;
	uint64_t burst;             /**< capacity in tokens */
	uint64_t level_microtokens; /**< available tokens, times 1,000,000 */
	uint64_t last_refill_us;    /**< time up to which tokens were added */
};

/** Initialises a full bucket. */
void pw_bucket_init(struct pw_bucket *b, uint64_t rate_per_s, uint64_t burst, uint64_t now_us);

/** Changes the rate and the burst; the level is capped at the new burst. */
void pw_bucket_configure(struct pw_bucket *b, uint64_t rate_per_s, uint64_t burst, uint64_t now_us);

/** Takes `tokens`. @return false, with nothing taken, if fewer are available */
bool pw_bucket_take(struct pw_bucket *b, uint64_t tokens, uint64_t now_us);

#endif
