/**
 * @file failover.h
 * Failover of the primary: one instance for each database group on each VM. This module is for
 * servers that are fenced and promoted by statements; change.h is for servers that an outside
 * service promotes on request.
 *
 * The caller passes in status rows, health changes, votes and results of calls, and carries out the
 * actions that are returned. Safety depends on the servers' terms alone, not on the lease or the
 * votes: a promoter, the VM that runs a failover attempt, fences a majority of the servers at a new
 * term before it promotes one of them, and never promotes two servers for one term.
 */
#ifndef PW_DECIDE_FAILOVER_H
#define PW_DECIDE_FAILOVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "pw/decide/health.h"
#include "pw/decide/server.h"

#define PW_FAILOVER_OPTIONS_VERSION 1

struct pw_failover_options {
	uint32_t version;
	uint32_t server_count;
	/** A replica that has not heard from its primary for longer counts as a vote. */
	uint64_t primary_silence_ms;
	uint64_t status_max_age_us;    /**< maximum age of a status row that is used */
	uint64_t vote_interval_us;     /**< interval at which this VM's vote is published again */
	uint64_t vote_max_age_us;      /**< maximum age of a peer's vote that counts */
	uint64_t lease_timeout_us;     /**< timeout of the lease request */
	uint64_t store_backoff_us;     /**< time without lease requests after one timed out */
	uint64_t lease_holder_wait_us; /**< time that another holder of the lease gets to finish */
	uint64_t promoter_wait_us; /**< time that the promoter of a higher term gets to finish */
	uint64_t rank_step_us;     /**< delay of a promoter for each place in the rank */
	uint64_t command_retry_us; /**< time after which fence or promote commands are sent again */
	uint64_t phase_timeout_us; /**< time after which fencing or promoting is abandoned */
	uint64_t fence_grace_us;   /**< wait for other live servers once a majority is fenced */
	uint64_t repair_interval_us; /**< interval of repair commands to one server */
	uint64_t record_retry_us;    /**< timeout and retry interval for the primary record */
	/** For tests only: promotes as soon as one server is fenced. */
	bool unsafe_no_majority;
	/** For tests only: promotes the first fenced server by index, whatever its log. */
	bool unsafe_any_log;
};

/*
 * promoter_wait_us covers the rest of a promotion after its first fence command with round trips of
 * 400 ms between regions, ten times the usual. command_retry_us is above such a round trip as well.
 */
#define PW_FAILOVER_OPTIONS_INIT(count)                                                          \
	{                                                                                        \
		.version = PW_FAILOVER_OPTIONS_VERSION, .server_count = (count),                 \
		.primary_silence_ms = 800, .status_max_age_us = 1000000,                         \
		.vote_interval_us = 200000, .vote_max_age_us = 1000000,                          \
		.lease_timeout_us = 300000, .store_backoff_us = 5000000,                         \
		.lease_holder_wait_us = 700000, .promoter_wait_us = 600000,                      \
		.rank_step_us = 100000, .command_retry_us = 500000, .phase_timeout_us = 1600000, \
		.fence_grace_us = 400000, .repair_interval_us = 1000000,                         \
		.record_retry_us = 1000000,                                                      \
	}

/** Vote that the primary of a term is lost. */
struct pw_failover_vote {
	uint64_t peer; /**< identity of the voter; unused in this VM's own vote */
	uint64_t term; /**< term of the primary that the voter knows; 0: none */
	bool suspects; /**< whether the voter considers the primary lost, or ready to hand over */
};

/** Primary record, as kept in the store and announced by peers. */
struct pw_failover_record {
	uint64_t term; /**< 0: no record */
	uint32_t server;
	int64_t revision; /**< revision in the store; 0: no record */
};

enum pw_failover_action_kind {
	PW_FAILOVER_PUBLISH_VOTE,  /**< publish this VM's vote: term, suspects */
	PW_FAILOVER_ACQUIRE_LEASE, /**< take the lease of the term in the store: term */
	PW_FAILOVER_FENCE,         /**< fence the server, then read its status: server, term */
	PW_FAILOVER_PROMOTE,       /**< promote the server, then read its status: server, term */
	PW_FAILOVER_FOLLOW,        /**< make the server follow the primary: server, term, primary */
	PW_FAILOVER_READ_RECORD,   /**< read the primary record from the store */
	PW_FAILOVER_WRITE_RECORD,  /**< compare-and-swap the record: term, primary, revision */
	PW_FAILOVER_ANNOUNCE_PRIMARY, /**< announce the new primary to the peers: term, primary */
	PW_FAILOVER_STARTED,          /**< log and count the start of an attempt: term */
	PW_FAILOVER_SUCCEEDED,        /**< log and count the success: term, primary */
	PW_FAILOVER_FAILED,           /**< log and count the failure: term, reason */
	PW_FAILOVER_TERM_CHANGED /**< log the change, and route to the new primary: term, primary */
};

/** Action for the caller. Each kind uses the fields that its comment lists. */
struct pw_failover_action {
	enum pw_failover_action_kind kind;
	uint32_t server;
	uint32_t primary;
	uint64_t term;
	int64_t revision; /**< expected revision of the record; 0: the record must not exist */
	bool suspects;
	const char *reason; /**< static text */
};

enum pw_failover_result {
	PW_FAILOVER_RESULT_OK,
	PW_FAILOVER_RESULT_REFUSED, /**< rejected by the server, or the store's compare failed */
	PW_FAILOVER_RESULT_NO_ANSWER,
};

struct pw_failover;

/**
 * Creates an instance.
 *
 * The caller chooses the name of the promoter in fence and promote commands. It must differ between
 * VMs and between incarnations of the task, as a restarted instance does not know what it promoted
 * before.
 *
 * @return 0, or PW_EINVALID for an unknown version of the options, or for a server count of 0 or
 * above PW_GROUP_SERVERS_MAX
 */
int pw_failover_new(struct pw_failover **out, const struct pw_failover_options *o);
void pw_failover_free(struct pw_failover *f);

/**
 * Sets the peers that vote and this VM's rank.
 *
 * @param peers identities of the other members. They should be those of the member table, which is
 *              changed by a majority only: a VM that drops the peers from which it is cut off would
 *              otherwise be a majority by itself
 * @param rank  rank of this VM, 0 for the first; it delays this VM's attempts
 */
void pw_failover_set_peers(struct pw_failover *f, const uint64_t *peers, uint32_t count,
			   uint32_t rank);

/* Events. A function with a parameter `out` appends elements of struct pw_failover_action to it. */

/** Handles a status row that answers a probe sent at `sent_us`. */
void pw_failover_handle_status(struct pw_failover *f, uint32_t server,
			       const struct pw_server_status *s, uint64_t sent_us, uint64_t now_us,
			       GArray *out);

/** Handles a change of a server's health. */
void pw_failover_handle_health(struct pw_failover *f, uint32_t server, enum pw_health_state state,
			       uint64_t now_us, GArray *out);

/**
 * Sets whether a server is leaving, that is, about to stop. A leaving primary is replaced once a
 * replica that stays has its whole log; a leaving server is promoted only if no other has as much
 * of the log.
 */
void pw_failover_set_leaving(struct pw_failover *f, uint32_t server, bool leaving);

/** Handles the vote of a peer; ignores voters that are not in the set of peers. */
void pw_failover_handle_vote(struct pw_failover *f, const struct pw_failover_vote *v,
			     uint64_t now_us, GArray *out);

/** Handles a primary announced by a peer or, with `from_store`, a changed record in the store. */
void pw_failover_handle_record(struct pw_failover *f, const struct pw_failover_record *r,
			       bool from_store, uint64_t now_us, GArray *out);

/** Handles the answer to PW_FAILOVER_ACQUIRE_LEASE. */
void pw_failover_handle_lease_result(struct pw_failover *f, uint64_t term,
				     enum pw_failover_result result, uint64_t now_us, GArray *out);

/**
 * Handles the answer to PW_FAILOVER_FENCE.
 *
 * @param s status read on the same connection after the command; NULL if there was no answer
 */
void pw_failover_handle_fence_result(struct pw_failover *f, uint32_t server, uint64_t term,
				     enum pw_failover_result result,
				     const struct pw_server_status *s, uint64_t now_us,
				     GArray *out);

/**
 * Handles the answer to PW_FAILOVER_PROMOTE.
 *
 * @param s as for pw_failover_handle_fence_result()
 */
void pw_failover_handle_promote_result(struct pw_failover *f, uint32_t server, uint64_t term,
				       enum pw_failover_result result,
				       const struct pw_server_status *s, uint64_t now_us,
				       GArray *out);

/**
 * Handles the answer to PW_FAILOVER_READ_RECORD or PW_FAILOVER_WRITE_RECORD.
 *
 * @param r record that the store holds now, or NULL if the answer does not tell
 */
void pw_failover_handle_record_result(struct pw_failover *f, enum pw_failover_result result,
				      const struct pw_failover_record *r, uint64_t now_us,
				      GArray *out);

/**
 * Checks timeouts and delays. To be called about every 50 ms.
 *
 * @param jitter_us random time below rank_step_us, added to the next backoff
 */
void pw_failover_tick(struct pw_failover *f, uint64_t now_us, uint64_t jitter_us, GArray *out);

/** @return primary of the highest term that is known to have one; term 0 if none is known */
struct pw_failover_record pw_failover_primary(const struct pw_failover *f);

/** @return whether this VM votes for a failover: the primary is lost, or ready to hand over */
bool pw_failover_suspects_primary(const struct pw_failover *f);

#endif
