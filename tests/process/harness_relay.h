/**
 * @file harness_relay.h
 * TCP relay in a thread of the test process. A proxy that connects to the store through it can be
 * cut off from the store while the other proxies keep their connections.
 */
#ifndef PW_TESTS_HARNESS_RELAY_H
#define PW_TESTS_HARNESS_RELAY_H

#include <stdbool.h>
#include <stdint.h>

enum pw_harness_relay_mode {
	PW_RELAY_FORWARD,    /**< forwards in both directions */
	PW_RELAY_DISCONNECT, /**< closes all connections, and new ones at once */
	PW_RELAY_STALL,      /**< keeps and accepts connections but forwards nothing */
};

struct pw_harness_relay;

/** Starts a thread that relays from a free loopback port to the loopback port `target_port`. */
struct pw_harness_relay *pw_harness_relay_new(uint16_t target_port);
void pw_harness_relay_free(struct pw_harness_relay *r);
/** @return loopback port that clients connect to */
uint16_t pw_harness_relay_port(const struct pw_harness_relay *r);
/** Takes effect within a few milliseconds, also on open connections. */
void pw_harness_relay_set_mode(struct pw_harness_relay *r, enum pw_harness_relay_mode mode);
/**
 * Limits what the target sends on all connections together, as a link that they share does; 0 for
 * no limit.
 */
void pw_harness_relay_set_rate(struct pw_harness_relay *r, uint32_t bytes_per_s);
/** @return whether the bytes sent to the target so far, on any connection, contain a text */
bool pw_harness_relay_has_forwarded(struct pw_harness_relay *r, const char *text);

#endif
