/**
 * @file registry.h
 * Which registered servers are to be used. Entries are kept by leases of the servers, so they are
 * missing for a while after an outage of the store although the servers live.
 */
#ifndef PW_DECIDE_REGISTRY_H
#define PW_DECIDE_REGISTRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A server whose entry was removed is used for this long: live servers write it again. */
#define PW_REGISTRY_MISSING_US UINT64_C(2200000)

/** Marks of one server that the caller keeps beside its entry. */
struct pw_registry_mark {
	uint64_t missing_since_us; /**< 0 while its entry is there */
};

/**
 * Decides about a server after a read of all entries.
 *
 * @param listed  its entry is there
 * @param now_us  when the read was answered
 * @return whether the server is still to be used
 */
bool pw_registry_keep(struct pw_registry_mark *m, bool listed, uint64_t now_us);

#endif
