/**
 * @file confirm.h
 * Acknowledgement of writes: a write is acknowledged once probes that were sent after its answer
 * arrived have found a majority of the group's servers at the write's term.
 *
 * The status that is read on the write's own connection gives the write's term and position, but
 * does not count as a confirmation by the primary, because it is taken before the answer arrives.
 * If it did, the probe of one replica would complete a majority of three servers. Between the read
 * and that probe, the primary and the other replica may be fenced and the other replica promoted,
 * which may lose the write. So the primary has to be probed like the replicas, which costs no time
 * as probes run in parallel.
 */
#ifndef PW_DECIDE_CONFIRM_H
#define PW_DECIDE_CONFIRM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "pw/decide/server.h"

#define PW_CONFIRM_OPTIONS_VERSION 1

struct pw_confirm_options {
	uint32_t version;
	uint32_t server_count;
	uint64_t timeout_us; /**< time after the answer at which the outcome counts as unknown */
	uint64_t probe_interval_us; /**< interval of probes while writes wait */
	/** For tests only: acknowledges writes without confirmation. */
	bool unsafe_no_confirmation;
	/** For tests only: the status read on the write's connection counts for the primary. */
	bool unsafe_count_own_read;
};

/* While a replica lags, an interval of 5 ms adds little to the delay of the replication itself. */
#define PW_CONFIRM_OPTIONS_INIT(count)                                          \
	{                                                                       \
		.version = PW_CONFIRM_OPTIONS_VERSION, .server_count = (count), \
		.timeout_us = 1000000, .probe_interval_us = 5000                \
	}

/** Write that was answered and waits for confirmation. */
struct pw_confirm_write {
	uint64_t id;
	struct pw_position position; /**< read on the connection of the write, after the write */
	uint64_t answered_us;        /**< time at which the answer arrived */
	uint32_t server;             /**< primary that executed it */
	bool needs_replication;      /**< a majority must also have reached its position */
};

enum pw_confirm_action_kind {
	PW_CONFIRM_PROBE,           /**< probe all servers of the group now */
	PW_CONFIRM_ACKNOWLEDGE,     /**< acknowledge the write to the caller */
	PW_CONFIRM_OUTCOME_UNKNOWN, /**< tell the caller that the outcome is unknown */
};

struct pw_confirm_action {
	enum pw_confirm_action_kind kind;
	uint64_t id;        /**< write; unused for a probe */
	bool term_replaced; /**< outcome is unknown due to a higher term; false: a timeout */
};

struct pw_confirm;

/**
 * @return 0, or PW_EINVALID for an unknown version of the options, or for a server count of 0 or
 * above PW_GROUP_SERVERS_MAX
 */
int pw_confirm_new(struct pw_confirm **out, const struct pw_confirm_options *o);
void pw_confirm_free(struct pw_confirm *c);

/**
 * Adds a write that waits for confirmation.
 *
 * @param out array of struct pw_confirm_action; this and the following functions append to it
 */
void pw_confirm_add_write(struct pw_confirm *c, const struct pw_confirm_write *w, uint64_t now_us,
			  GArray *out);

/** Handles a server's status, received as the answer to a probe sent at `sent_us`. */
void pw_confirm_handle_status(struct pw_confirm *c, uint32_t server,
			      const struct pw_server_status *s, uint64_t sent_us, uint64_t now_us,
			      GArray *out);

/** Handles a term that became known in another way, for example from a peer. */
void pw_confirm_handle_term(struct pw_confirm *c, uint64_t term, GArray *out);

/** Checks timeouts and requests probes; to be called at pw_confirm_next_tick_us(). */
void pw_confirm_tick(struct pw_confirm *c, uint64_t now_us, GArray *out);

/** @return time at which pw_confirm_tick() is due; UINT64_MAX if no write waits */
uint64_t pw_confirm_next_tick_us(const struct pw_confirm *c);

#endif
