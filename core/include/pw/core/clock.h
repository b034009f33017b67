/**
 * @file clock.h
 * Time sources. Only tasks read a clock; decision modules get the time as an argument.
 */
#ifndef PW_CORE_CLOCK_H
#define PW_CORE_CLOCK_H

#include <stdint.h>

#define PW_US_PER_MS UINT64_C(1000)
#define PW_US_PER_S  UINT64_C(1000000)

/**
 * @return monotonic time in microseconds, unaffected by changes of the wall clock. It advances
 * while the VM is suspended, so that a lease that ran out during the suspension counts as expired.
 */
uint64_t pw_clock_now_us(void);

/** @return 64 random bits from the kernel, for identifiers and jitter; aborts if that fails */
uint64_t pw_clock_random_u64(void);

#endif
