/**
 * @file store.h
 * Store task: owns the connections to the store and carries out requests of other tasks.
 *
 * Each request gets one result message in the mailbox `reply_to`, with the tag of the request; a
 * watch gets one for each update. When the task ends, requests in flight get PW_EUNAVAILABLE and
 * each open watch gets a last update with PW_EUNAVAILABLE and `is_last`. The owner of a watch then
 * requests it again, either from the revision after the last one that it saw, or from now on with a
 * read once the watch is open; the request stays in the mailbox until the task has been restarted.
 */
#ifndef PW_DAEMON_CONTROL_STORE_H
#define PW_DAEMON_CONTROL_STORE_H

#include <glib.h>

#include "pw/core/clock.h"
#include "pw/core/task.h"
#include "pw/store/store.h"

/** Time in which a change usually reaches all watches, even from a slow store in another region. */
#define PW_WATCH_DELAY_US (200 * PW_US_PER_MS)

/** Arguments of the task. */
struct pw_store_task_args {
	int (*store_new)(struct pw_store **out, struct pw_loop *loop, const char *const *endpoints);
	const char *const *endpoints; /**< base URLs as `http://IP:PORT`, ended by NULL */
};

extern const struct pw_task_ops pw_store_task_ops;

/** First member of every request. The request owns copies of all keys and values. */
struct pw_store_request_msg {
	struct pw_msg base;
	struct pw_mailbox *reply_to;
	uint64_t tag;
	uint64_t timeout_us;
	GStringChunk *strings; /**< copied keys and values */
};

struct pw_store_range_msg {
	struct pw_store_request_msg base;
	struct pw_store_range range;
};

struct pw_store_txn_msg {
	struct pw_store_request_msg base;
	struct pw_store_txn txn;
};

struct pw_store_lease_msg {
	struct pw_store_request_msg base;
	int64_t lease_id; /**< of the lease to keep alive or revoke */
	uint64_t ttl_us;  /**< of the lease to grant */
};

struct pw_store_watch_msg {
	struct pw_store_request_msg base;
	struct pw_store_watch watch;
};

/** Result of a request. The receiver may take ownership of `result` and set it to NULL. */
struct pw_store_result_msg {
	struct pw_msg base;
	uint64_t tag;
	struct pw_store_result *result;
};

/** Vtable of struct pw_store_result_msg, by which a receiver recognises the message. */
extern const struct pw_msg_ops pw_store_result_msg_ops;

/*
 * Functions that create requests, which the caller sends to the mailbox of the store task.
 * Parameters:
 *
 * reply_to: mailbox for the results; outlives the store task
 * tag: returned with each result. It has no meaning to the store task, except that a mailbox has at
 *      most one watch with a tag
 * timeout_us: limit for the whole call, or for each opening of a watch
 */

struct pw_msg *pw_store_range_msg_new(struct pw_mailbox *reply_to, uint64_t tag,
				      uint64_t timeout_us, const struct pw_store_range *req);
struct pw_msg *pw_store_txn_msg_new(struct pw_mailbox *reply_to, uint64_t tag, uint64_t timeout_us,
				    const struct pw_store_txn *req);
struct pw_msg *pw_store_lease_grant_msg_new(struct pw_mailbox *reply_to, uint64_t tag,
					    uint64_t timeout_us, uint64_t ttl_us);
struct pw_msg *pw_store_lease_keep_alive_msg_new(struct pw_mailbox *reply_to, uint64_t tag,
						 uint64_t timeout_us, int64_t lease_id);
struct pw_msg *pw_store_lease_revoke_msg_new(struct pw_mailbox *reply_to, uint64_t tag,
					     uint64_t timeout_us, int64_t lease_id);

/** The watch replaces an open one of the same mailbox and tag. */
struct pw_msg *pw_store_watch_msg_new(struct pw_mailbox *reply_to, uint64_t tag,
				      uint64_t timeout_us, const struct pw_store_watch *req);

/** Ends the watch of the mailbox and tag; results sent before may still arrive. */
struct pw_msg *pw_store_unwatch_msg_new(struct pw_mailbox *reply_to, uint64_t tag);

#endif
