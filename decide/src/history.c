#include "pw/decide/history.h"

#include <stddef.h>

void pw_history_set_generation(struct pw_history *h, uint64_t generation)
{
	if (h->generation == generation)
		return;
	*h = (struct pw_history){ .generation = generation };
}

/* `age` 0 is the newest observation. */
static const struct pw_observation *at_age(const struct pw_history *h, uint32_t age)
{
	return &h->ring[(h->next + PW_HISTORY_SIZE - 1 - age) % PW_HISTORY_SIZE];
}

void pw_history_note(struct pw_history *h, uint64_t sent_us, const struct pw_position *at)
{
	/* Answers may come in another order than their statements were sent in. */
	if (h->count && sent_us < at_age(h, 0)->sent_us + PW_HISTORY_STEP_US)
		return;
	h->ring[h->next] = (struct pw_observation){ .sent_us = sent_us, .at = *at };
	h->next = (h->next + 1) % PW_HISTORY_SIZE;
	if (h->count < PW_HISTORY_SIZE)
		h->count++;
}

bool pw_history_newest(const struct pw_history *h, struct pw_position *at, uint64_t *sent_us)
{
	if (!h->count)
		return false;
	*at = at_age(h, 0)->at;
	*sent_us = at_age(h, 0)->sent_us;
	return true;
}

bool pw_history_floor(const struct pw_history *h, uint64_t before_us, struct pw_position *out,
		      uint64_t *seen_us)
{
	const struct pw_observation *best = NULL;

	for (uint32_t age = 0; age < h->count; age++) {
		const struct pw_observation *o = at_age(h, age);

		if (o->sent_us < before_us)
			break;
		best = o;
	}
	if (!best)
		return false;
	*out = best->at;
	if (seen_us)
		*seen_us = best->sent_us;
	return true;
}
