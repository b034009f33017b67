/**
 * @file server.h
 * Status that a server of a database group reports about itself.
 */
#ifndef PW_DECIDE_SERVER_H
#define PW_DECIDE_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "pw/decide/position.h"

/** Maximum number of servers in one database group. */
#define PW_GROUP_SERVERS_MAX 16

enum pw_server_role {
	PW_SERVER_REPLICA,
	PW_SERVER_PRIMARY,
	PW_SERVER_FENCED, /**< refuses writes and replication until a promote or follow command */
};

/** Status of a server: the row that its function pw_status() returns. */
struct pw_server_status {
	enum pw_server_role role;
	uint64_t term;               /**< greatest term that the server accepted */
	uint64_t log_term;           /**< term of the last entry of its log */
	uint64_t lsn;                /**< end of its log in bytes */
	uint64_t term_start_lsn;     /**< offset in the log at which the present term starts */
	uint64_t primary_silence_ms; /**< time since a replica last heard from its primary */
	uint64_t data_age_ms;        /**< age of a replica's data */
};

/**
 * Returns the position up to which a server holds the log. Its term is the server's present term
 * for a primary, and the term of the last entry for any other server: a replica that follows a new
 * primary but has none of its entries may still lack entries of the older term.
 */
static inline struct pw_position pw_server_position(const struct pw_server_status *s)
{
	return (struct pw_position){
		.term = s->role == PW_SERVER_PRIMARY ? s->term : s->log_term,
		.lsn = s->lsn,
	};
}

/** @return whether `count` is more than half of `total` */
static inline bool pw_is_majority(uint32_t count, uint32_t total)
{
	return count > total / 2;
}

#endif
