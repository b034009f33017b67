#include "pw/decide/bucket.h"

#include "pw/core/clock.h"

#define MICROTOKENS_PER_TOKEN UINT64_C(1000000)

/*
 * Longest elapsed time for which a refill adds tokens; a longer pause adds no more. The bound keeps
 * the product of rate and time from overflowing.
 */
#define REFILL_MAX_US (3600 * PW_US_PER_S)

static void refill(struct pw_bucket *b, uint64_t now_us)
{
	uint64_t elapsed_us = now_us > b->last_refill_us ? now_us - b->last_refill_us : 0;

	if (elapsed_us > REFILL_MAX_US)
		elapsed_us = REFILL_MAX_US;
	b->level_microtokens += b->rate_per_s * elapsed_us;
	if (b->level_microtokens > b->burst * MICROTOKENS_PER_TOKEN)
		b->level_microtokens = b->burst * MICROTOKENS_PER_TOKEN;
	if (now_us > b->last_refill_us)
		b->last_refill_us = now_us;
}

void pw_bucket_init(struct pw_bucket *b, uint64_t rate_per_s, uint64_t burst, uint64_t now_us)
{
	*b = (struct pw_bucket){
		.rate_per_s = rate_per_s,
		.burst = burst,
		.level_microtokens = burst * MICROTOKENS_PER_TOKEN,
		.last_refill_us = now_us,
	};
}

void pw_bucket_configure(struct pw_bucket *b, uint64_t rate_per_s, uint64_t burst, uint64_t now_us)
{
	refill(b, now_us);
	b->rate_per_s = rate_per_s;
	b->burst = burst;
	if (b->level_microtokens > burst * MICROTOKENS_PER_TOKEN)
		b->level_microtokens = burst * MICROTOKENS_PER_TOKEN;
}

bool pw_bucket_take(struct pw_bucket *b, uint64_t tokens, uint64_t now_us)
{
	refill(b, now_us);
	if (b->level_microtokens < tokens * MICROTOKENS_PER_TOKEN)
		return false;
	b->level_microtokens -= tokens * MICROTOKENS_PER_TOKEN;
	return true;
}
