#include "pw/decide/evacuation.h"

/* Time for which a primary is still used: enough for a planned change, which takes about 2 s. */
#define GRACE_PERCENT 50
/* What is sent by this part of the timeout reaches its server before the end of the timeout. */
#define LAST_SEND_PERCENT 80

uint64_t pw_evacuation_stop_us(const struct pw_evacuation *e, uint64_t timeout_us)
{
	uint64_t stop_us = e->learned_us + timeout_us * GRACE_PERCENT / 100;
	uint64_t last_send_us = e->earliest_us + timeout_us * LAST_SEND_PERCENT / 100;

	if (!e->earliest_us)
		return e->learned_us;
	if (stop_us > last_send_us)
		stop_us = last_send_us;
	return stop_us > e->learned_us ? stop_us : e->learned_us;
}
