#include "pw/decide/history.h"

#include <stddef.h>

void pw_history_set_generation(struct pw_history *h, uint64_t generation)
{
	if (h->generation == generation)
		return;
	*h = (struct pw_history){ .generation = generation };
}

/* Returns the newest entry for `n` 0, the one before it for 1, and so on. */
static const struct pw_history_entry *nth_newest(const struct pw_history *h, uint32_t n)
{
	return &h->ring[(h->next + PW_HISTORY_ENTRIES_MAX - 1 - n) % PW_HISTORY_ENTRIES_MAX];
}

void pw_history_record(struct pw_history *h, uint64_t sent_us, const struct pw_position *position)
{
	/* This also drops an answer that arrives after the answer to a later statement. */
	if (h->count && sent_us < nth_newest(h, 0)->sent_us + PW_HISTORY_INTERVAL_MIN_US)
		return;
	h->ring[h->next] = (struct pw_history_entry){ .sent_us = sent_us, .position = *position };
	h->next = (h->next + 1) % PW_HISTORY_ENTRIES_MAX;
	if (h->count < PW_HISTORY_ENTRIES_MAX)
		h->count++;
}

bool pw_history_newest(const struct pw_history *h, struct pw_position *position, uint64_t *sent_us)
{
	if (!h->count)
		return false;
	*position = nth_newest(h, 0)->position;
	*sent_us = nth_newest(h, 0)->sent_us;
	return true;
}

bool pw_history_find_floor(const struct pw_history *h, uint64_t before_us, struct pw_position *out,
			   uint64_t *sent_us)
{
	const struct pw_history_entry *best = NULL;

	for (uint32_t n = 0; n < h->count; n++) {
		const struct pw_history_entry *e = nth_newest(h, n);

		if (e->sent_us < before_us)
			break;
		best = e;
	}
	if (!best)
		return false;
	*out = best->position;
	if (sent_us)
		*sent_us = best->sent_us;
	return true;
}
