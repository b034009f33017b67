#include "pw/decide/silence.h"

/* Whether a message of that time was sent since the last bytes, which may have come just before. */
static bool is_after_bytes(const struct pw_silence *s, uint64_t sent_us)
{
	return sent_us && sent_us >= s->received_us;
}

void pw_silence_record_sent(const struct pw_silence *s, uint64_t *sent_us, uint64_t now_us)
{
	if (!is_after_bytes(s, *sent_us))
		*sent_us = now_us;
}

void pw_silence_record_received(struct pw_silence *s, uint64_t now_us)
{
	s->received_us = now_us;
	s->abandoned_since_us = 0;
}

void pw_silence_record_abandoned(struct pw_silence *s, uint64_t sent_us)
{
	if (is_after_bytes(s, sent_us) &&
	    (!s->abandoned_since_us || sent_us < s->abandoned_since_us))
		s->abandoned_since_us = sent_us;
}

bool pw_silence_owes(const struct pw_silence *s, uint64_t sent_us)
{
	return is_after_bytes(s, sent_us);
}

uint64_t pw_silence_since_us(const struct pw_silence *s, uint64_t since_us, uint64_t sent_us)
{
	if (!is_after_bytes(s, sent_us))
		return since_us;
	return !since_us || sent_us < since_us ? sent_us : since_us;
}
