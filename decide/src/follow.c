#include "pw/decide/follow.h"

#include <glib.h>

/* The time between two reads is at least this multiple of the time that a read takes. */
#define INTERVAL_PER_DURATION 2
/* The timeout of a read is at least this multiple of the time that the last one took. */
#define TIMEOUT_PER_DURATION 3

bool pw_follow_handle_watched(struct pw_follow *f, uint32_t version_count, uint64_t transfer_us,
			      uint64_t now_us)
{
	if (!version_count)
		return false;
	f->duration_us = transfer_us;
	f->timeout_us = transfer_us * TIMEOUT_PER_DURATION;
	f->by_reads = version_count > 1 || transfer_us > PW_FOLLOW_WATCH_TRANSFER_MAX_US ||
		      (f->changed_us && now_us - f->changed_us < PW_FOLLOW_INTERVAL_MIN_US);
	f->changed_us = now_us;
	return f->by_reads;
}

bool pw_follow_handle_read(struct pw_follow *f, bool is_new, uint64_t duration_us, uint64_t now_us)
{
	f->duration_us = duration_us;
	f->timeout_us = duration_us * TIMEOUT_PER_DURATION;
	if (is_new)
		f->changed_us = now_us;
	else
		f->by_reads = false;
	return !f->by_reads;
}

void pw_follow_handle_timeout(struct pw_follow *f)
{
	f->timeout_us = pw_follow_timeout_us(f) * 2;
}

uint64_t pw_follow_interval_us(const struct pw_follow *f)
{
	return CLAMP(f->duration_us * INTERVAL_PER_DURATION, PW_FOLLOW_INTERVAL_MIN_US,
		     PW_FOLLOW_INTERVAL_MAX_US);
}

uint64_t pw_follow_timeout_us(const struct pw_follow *f)
{
	return CLAMP(f->timeout_us, PW_FOLLOW_TIMEOUT_MIN_US, PW_FOLLOW_TIMEOUT_MAX_US);
}

uint64_t pw_follow_spread_us(uint64_t size_bytes, uint32_t vm_count)
{
	return MIN(size_bytes * vm_count * 1000000 / PW_FOLLOW_FLEET_BYTES_PER_S,
		   PW_FOLLOW_SPREAD_MAX_US);
}

uint64_t pw_follow_next_periodic_us(uint64_t interval_us, uint64_t random)
{
	return interval_us / 2 + random % interval_us;
}
