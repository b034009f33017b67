/**
 * @file harness_delay.h
 * TCP relay in a thread of the test process that delays bytes and the ends of connections, as a
 * long link does.
 */
#ifndef PW_TESTS_HARNESS_DELAY_H
#define PW_TESTS_HARNESS_DELAY_H

#include <stdint.h>

struct pw_harness_delay;

/**
 * Starts a thread that relays from a free loopback port to the loopback port `target_port`.
 *
 * @param delay_ms in each direction
 */
struct pw_harness_delay *pw_harness_delay_new(uint16_t target_port, uint32_t delay_ms);
/** Closes all connections. */
void pw_harness_delay_free(struct pw_harness_delay *d);
/** @return loopback port that clients connect to */
uint16_t pw_harness_delay_port(const struct pw_harness_delay *d);

#endif
