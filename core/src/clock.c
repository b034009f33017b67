#include "pw/core/clock.h"

#include <stdlib.h>
#include <sys/random.h>
#include <time.h>

uint64_t pw_clock_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * PW_US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}

uint64_t pw_clock_random_u64(void)
{
	uint64_t bits;

	if (getrandom(&bits, sizeof(bits), 0) != (ssize_t)sizeof(bits))
		abort();
	return bits;
}
