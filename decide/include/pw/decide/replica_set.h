/**
 * @file replica_set.h
 * Replica set of a group with synchronous replication: the servers that may hold an acknowledged
 * commit, the primary included. It is kept beside the primary in the store, so that a VM which
 * starts knows it. A promotion needs reports of so many of these servers that no acknowledged
 * commit can be missing, see change.h.
 *
 * A server joins the set as soon as it is registered. One that is not registered any more and does
 * not answer stays in the set until as many of the others as the group has synchronous replicas
 * have reported the log that the primary had after that server was gone; only then is each of its
 * acknowledged commits known to be elsewhere.
 *
 * This module decides when the set changes; it does no input or output.
 */
#ifndef PW_DECIDE_REPLICA_SET_H
#define PW_DECIDE_REPLICA_SET_H

#include <stdbool.h>
#include <stdint.h>

#include "pw/decide/position.h"

/** A server that is registered for the group, or in its recorded replica set. */
struct pw_replica_view {
	bool is_primary;
	bool recorded;          /**< it is in the recorded set */
	bool recorded_stopping; /**< the recorded set says that a stop of it is planned */
	bool registered;
	bool stopping; /**< its entry says that a stop of it is planned */
	/**
	 * Another VM has left it out of the set since this one read its entry, so that the entry
	 * may be outdated.
	 */
	bool left_out;
	/**
	 * Another server is registered at its address and not stopping: after a planned stop that
	 * one has its log.
	 */
	bool has_successor;
	/** Set by pw_replica_set_prove(): it was gone when the proof took the primary's log. */
	bool was_gone;
	/** Answer to the last query of its status; the fields below are valid if `reported`. */
	bool reported;
	bool acts_as_primary;
	struct pw_position log_end; /**< end of its log */
};

/** What has to be done about a group's replica set. */
enum pw_replica_set_step {
	PW_REPLICA_SET_KEEP,   /**< nothing */
	PW_REPLICA_SET_CLEAR,  /**< write that the set is not known: replication is asynchronous */
	PW_REPLICA_SET_UPDATE, /**< write servers that joined or were replaced: needs no proof */
	/**
	 * Query the servers, pw_replica_set_prove() decides when a set may be written that leaves
	 * servers out, or the first one.
	 */
	PW_REPLICA_SET_PROVE,
};

/**
 * Decides the next step for a group.
 *
 * @param sync_replicas number of replicas that have every acknowledged commit; 0: asynchronous
 * @param known         the store has a replica set of the group
 */
enum pw_replica_set_step pw_replica_set_next(const struct pw_replica_view *servers, uint32_t count,
					     uint32_t sync_replicas, bool known);

/** Proof that a new replica set has every acknowledged commit; starts as zeroes. */
struct pw_replica_set_proof {
	bool has_floor;
	struct pw_position floor; /**< end of the primary's log after the servers were gone */
};

/**
 * Evaluates the reports of one round of status queries. The servers registered and recorded have to
 * be the same in all rounds of a proof.
 *
 * @return whether the set without the servers of pw_replica_set_has() may be written
 */
bool pw_replica_set_prove(struct pw_replica_set_proof *proof, struct pw_replica_view *servers,
			  uint32_t count, uint32_t sync_replicas);

/**
 * Returns whether a server belongs to the set that is to be written: for PW_REPLICA_SET_UPDATE, or
 * after pw_replica_set_prove() has returned true.
 */
bool pw_replica_set_has(const struct pw_replica_view *server, bool proved);

/** Returns whether a promotion has to take into account what the server may hold. */
bool pw_replica_set_counts(const struct pw_replica_view *server);

/** @return delay of the next round after so many rounds, in us */
uint64_t pw_replica_set_round_delay_us(uint32_t round_count);

#endif
