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

struct databases;

/**
 * Starts the servers of all groups. The first server of a group is its primary. Aborts the process
 * if a group is malformed or a port is taken.
 *
 * @param kv     store in which the servers register
 * @param groups NULL-terminated list of NAME=PORT,PORT,PORT
 */
struct databases *databases_new(struct pw_loop *loop, struct kv_store *kv,
				const char *const *groups);
void databases_free(struct databases *d);

/**
 * Carries out due promotions, replicates log entries, renews the servers' registrations in the
 * store and frees closed connections. Must be called every few milliseconds.
 */
void databases_tick(struct databases *d, uint64_t now_us);

/**
 * Injects or ends a fault. The argument of these faults is the id of a server:
 *
 * - "crash" stops the server, and "start" starts it again;
 * - "deaf" keeps the server from receiving commits, and "hearing" ends that;
 * - "dark" makes the server unresponsive, and "light" ends that;
 * - "leave" sets the server to draining;
 * - "gone" stops the server and removes its registration.
 *
 * The argument of "lose" is a number: of so many results of reads, writes and commits one is lost.
 * The argument of "slots" is the number of statements that a server runs at a time.
 * The argument of "queue" is the number of statements that wait for a slot instead of failing with
 * BUSY.
 * The argument of "conn-limit" is the number of connections that a server accepts.
 * The argument of "reset-opens" is 1 if servers reset new connections instead of answering, else 0.
 * The argument of "omit-empty-rows" is 1 if a read of an item that was never written has no row,
 * and 0 if it has the row "none".
 * The argument of "fail-state" is 1 if an error outside a transaction ends in the failed state,
 * which lasts until a ROLLBACK or COMMIT, and 0 if it ends in the idle state. The argument of
 * "refuse-set" is a number: so many of the next SET statements fail.
 *
 * The argument of these faults is a time in milliseconds:
 *
 * - "lag" sets the replication lag;
 * - "work" sets the run time of a statement;
 * - "promotion-delay" sets the time from a promotion request until it takes effect.
 *
 * The arguments of these faults are lists of NAME:VALUE, separated by commas. N counts the answers
 * or statements of all servers; 0 ends the fault.
 *
 * - "stutter", with every:N, and optionally delay_ms:D, of:KIND and part:PART, sends every N-th
 *   answer a second time, D ms after the first copy and unless the connection has closed. KIND
 *   limits this to some answers: all (the default), signed (to reads, writes and commits that
 *   succeeded), error, own (to statements with the id "-", other than STATUS and BEGIN), begin,
 *   status or startup. PART limits it to a part of the answer: whole (the default), rows, head (all
 *   but READY) or ready;
 * - "cut", with every:N, ends every N-th answer to a read, write or commit after a pseudo-random
 *   number of its bytes, and closes the connection; the statement has run;
 * - "split", with bytes:B, sends answers in packets of 1 to B bytes;
 * - "busy", with every:N, refuses every N-th read, write, commit and BEGIN with BUSY;
 * - "failures", with every:N, and optionally server:ID, lets every N-th read or write fail with
 *   FAILED; if ID is given, only at that server, and at once;
 * - "set-failures", with every:N, lets every N-th SET fail.
 *
 * The argument of "record" is "clear", which empties the record.
 *
 * @return false if the name or the server is unknown, if the argument is malformed, if "crash"
 * names a stopped server or if "start" names a running one
 */
bool databases_inject_fault(struct databases *d, const char *name, const char *argument);

/**
 * Handles a promotion request for a server, and records the request.
 *
 * @param holder        VM that sends the request
 * @param fencing_token fencing token of the holder's lease; recorded, but not compared with earlier
 *                      tokens
 * @return HTTP status: 200, or 409 if the group has no running server with this id
 */
unsigned databases_promote(struct databases *d, const char *group, const char *id,
			   const char *holder, uint64_t fencing_token);

/** @return whether a server has received a statement with this id */
bool databases_has_started(const struct databases *d, const char *id);

/** @return JSON array with an object for each statement received from a client, see main.c */
json_t *databases_record_json(const struct databases *d);

/** @return JSON with the state of all servers and the promotion requests received so far */
json_t *databases_state_json(const struct databases *d);

#endif
