/**
 * @file server.h
 * State of the servers of the stand-in, which their sessions share.
 */
#ifndef PW_STANDINS_PLATFORM_SERVER_H
#define PW_STANDINS_PLATFORM_SERVER_H

#include <glib.h>
#include <jansson.h>

#include "faults.h"
#include "kv.h"
#include "pw/core/loop.h"

#define SERVERS_PER_GROUP 3

struct databases;
struct group;

struct server {
	struct databases *databases;
	struct group *group;
	struct pw_source listener;
	char *id;
	uint16_t port;
	GPtrArray *log;    /**< see log.h */
	GHashTable *conns; /**< set of struct conn */
	uint64_t term;
	uint64_t promotion_due_us; /**< time at which it becomes primary; 0: no promotion is due */
	uint64_t next_registration_us;
	uint64_t started_ms;            /**< Unix time of the last start */
	uint64_t registration_sequence; /**< number of registrations written since the last start */
	bool primary;
	bool running;
	bool unresponsive; /**< accepts connections but ignores input, and doesn't register */
	bool draining;
	bool deaf;              /**< receives no commits */
	uint32_t running_count; /**< statements whose run time has not passed yet */
	uint32_t own_count;     /**< statements received that are not of a client */
	GQueue waiting;         /**< struct conn whose statement waits for a slot */
};

struct group {
	char *name;
	struct server servers[SERVERS_PER_GROUP];
	uint64_t last_term;             /**< newest term of a primary of this group */
	const struct server *appointed; /**< server of the last promotion request; NULL: none */
};

struct databases {
	struct pw_loop *loop;
	struct kv_store *kv;
	GPtrArray *groups;
	json_t *promotion_requests;
	/** Freed by the next tick because functions on the call stack may still use them. */
	GPtrArray *closed_conns;
	struct faults faults;
	uint64_t last_signature;   /**< number in the signature of the last result */
	uint64_t last_transaction; /**< number of the last transaction */
	GHashTable *started_ids;   /**< set of the ids of all statements that were received */
	json_t *record;            /**< see record.h */
};

#endif
