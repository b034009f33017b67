/**
 * @file database.h
 * Stand-in for the platform's database servers: groups of one primary and two replicas, which speak
 * the platform's line protocol. Each server has its own listener and replication log.
 */
#ifndef PW_STANDINS_PLATFORM_DATABASE_H
#define PW_STANDINS_PLATFORM_DATABASE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "kv.h"
#include "pw/core/loop.h"

struct fleet;

/**
 * Starts the servers of all groups. The first server of a group is its primary.
 *
 * @param kv     store in which the servers register
 * @param groups NULL-terminated list of NAME=PORT,PORT,PORT
 */
struct fleet *fleet_new(struct pw_loop *loop, struct kv_store *kv, const char *const *groups);
void fleet_free(struct fleet *f);

/**
 * Carries out due promotions, replicates, and renews the servers' registrations in the store; to be
 * called every few milliseconds.
 */
void fleet_tick(struct fleet *f, uint64_t now_us);

/**
 * Injects or ends a fault. With the id of a server: "crash" stops it, "start" starts it again,
 * "dark" makes it unresponsive, "light" ends that, "leave" sets it to draining, "gone" stops it and
 * removes its registration. With milliseconds: "lag" sets the replication lag, "work" the run time
 * of a statement.
 *
 * @return false if the name or the server is unknown, and for "crash" of a stopped or "start" of a
 *         running server
 */
bool fleet_inject_fault(struct fleet *f, const char *name, const char *argument);

/**
 * Handles a promotion request for a server, and records the request.
 *
 * @param holder        VM that sends the request
 * @param fencing_token of the holder's lease
 * @return HTTP status
 */
unsigned fleet_promote(struct fleet *f, const char *group, const char *id, const char *holder,
		       uint64_t fencing_token);

/** @return JSON with the state of all servers and the promotion requests received so far */
json_t *fleet_state_json(const struct fleet *f);

#endif
