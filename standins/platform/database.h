/**
 * @file database.h
 * Stand-in for the platform's database servers: groups of one primary and two replicas, each with a
 * listener and a log of its own, that speak the platform's lines.
 */
#ifndef PW_STANDINS_PLATFORM_DATABASE_H
#define PW_STANDINS_PLATFORM_DATABASE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "kv.h"
#include "pw/core/loop.h"

struct fleet;

/** Starts the groups, each given as NAME=PORT,PORT,PORT; the first server is the primary. */
struct fleet *fleet_new(struct pw_loop *loop, struct kv *kv, const char *const *groups);
void fleet_free(struct fleet *f);

/** Replicates and writes the servers' entries; to be called every few milliseconds. */
void fleet_tick(struct fleet *f, uint64_t now_us);

/**
 * Carries out a fault: "crash", "start", "dark", "light", "leave", "gone" with the id of a server,
 * "lag" and "work" with milliseconds.
 *
 * @return false if the name or the argument is unknown
 */
bool fleet_fault(struct fleet *f, const char *name, const char *argument);

/** Orders a server to become primary. @return HTTP status */
unsigned fleet_promote(struct fleet *f, const char *group, const char *id, const char *holder,
		       uint64_t fence);

/** @return state of all servers and the orders so far */
json_t *fleet_state(const struct fleet *f);

#endif
