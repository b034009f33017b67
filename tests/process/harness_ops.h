/**
 * @file harness_ops.h
 * Operator actions on a fleet of processes: pimentowingctl, document changes, faults of the store
 * and restarts.
 */
#ifndef PW_TESTS_HARNESS_OPS_H
#define PW_TESTS_HARNESS_OPS_H

#include "harness_fleet.h"
#include "harness_relay.h"

/** A key of a client account. */
struct pw_ops_key {
	char *text; /**< secret that callers log in with */
	char *id;   /**< names the key in the command that withdraws it */
};

/**
 * Runs pimentowingctl like pw_fleet_run_ctl(), and also returns its output.
 *
 * @param store_port port of the store, or of a relay to it; 0: the fleet's store
 * @param out        receives standard output; the caller frees it
 * @return exit status, or -1 if a signal ended it
 */
int pw_ops_run_ctl(const struct pw_fleet *f, uint16_t store_port, const char *const *args,
		   char **out);
/** Adds a key to an account and waits until it is in force at every proxy. */
void pw_ops_key_create(const struct pw_fleet *f, const char *account, struct pw_ops_key *out);
void pw_ops_key_dispose(struct pw_ops_key *k);
/**
 * Reads the document from proxy 0 and applies it with edits.
 *
 * @param store_port as for pw_ops_run_ctl()
 * @param edits      pairs of a text and its replacement, as in pw_fleet_options
 * @return exit status of pimentowingctl
 */
int pw_ops_edit_document(const struct pw_fleet *f, uint16_t store_port, const char *const *edits);

/**
 * Posts a fault as JSON to /fault of the stand-in store; NULL ends all faults. A watch that the
 * fault silent_watches has silenced stays silent until its client opens it again.
 */
void pw_ops_set_store_fault(const struct pw_fleet *f, const char *fault);
/**
 * Posts JSON to a path of the stand-in store. Fails the test unless the status is 200.
 *
 * @return body of the response; the caller frees it
 */
char *pw_ops_post_to_store(const struct pw_fleet *f, const char *path, const char *json);
/** @return document revision of GET /v1/status, or 0 without a response */
uint64_t pw_ops_get_revision(const struct pw_fleet *f, uint32_t proxy);
/** @return HTTP status of GET /readyz, or 0 without a response */
uint32_t pw_ops_get_readiness(const struct pw_fleet *f, uint32_t proxy);

/**
 * Kills a proxy unless it has ended, starts it with the given store port, for example the port of a
 * relay, and waits until the fleet is ready.
 */
void pw_ops_restart_proxy(struct pw_fleet *f, uint32_t proxy, uint16_t store_port);

#endif
