/**
 * @file registry.h
 * Decides which registered servers stay in use. The servers hold their entries in the store by
 * leases, so after an outage of the store the entries of live servers are missing for a while.
 */
#ifndef PW_DECIDE_REGISTRY_H
#define PW_DECIDE_REGISTRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Time that a server without an entry stays in use, so that live servers can register again. */
#define PW_REGISTRY_GRACE_PERIOD_US UINT64_C(2200000)

/** State of one server that the caller keeps beside its entry. */
struct pw_registry_state {
	uint64_t missing_since_us; /**< 0 while its entry exists */
};

/**
 * Updates the state of a server after all entries were read from the store.
 *
 * @param listed  whether the server's entry exists
 * @param now_us  when the read was answered
 * @return whether the server stays in use
 */
bool pw_registry_update(struct pw_registry_state *state, bool listed, uint64_t now_us);

#endif
