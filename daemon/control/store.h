/**
 * @file store.h
 * Store task: owns the connections to the store and carries out requests of other tasks.
 *
 * Each request gets one result message in the reply mailbox, with the tag of the request; a watch
 * gets one for each update. Requests in flight when the task ends get PW_EUNAVAILABLE, and each
 * open watch gets a last update with PW_EUNAVAILABLE and `ended`: its owner asks for it again,
 * from the last revision that it saw plus 1, and the message waits for the next incarnation.
 */
#ifndef PW_DAEMON_CONTROL_STORE_H
#define PW_DAEMON_CONTROL_STORE_H

#include <glib.h>

#include "pw/core/clock.h"
#include "pw/core/task.h"
#include "pw/store/store.h"

/** A change has reached all watches by then: a slow store, and the link between regions. */
#define PW_WATCH_USUAL_US (200 * PW_US_PER_MS)

/** Arguments of the task. */
struct pw_store_task_args {
	int (*store_new)(struct pw_store **out, struct pw_loop *loop, const char *const *endpoints);
	const char *const *endpoints; /**< base URLs as `http://IP:PORT`, ended by NULL */
};

extern const struct pw_task_ops pw_store_task_ops;

/** First member of every request. The request owns copies of all that it was created from. */
struct pw_store_msg {
	struct pw_msg base;
	struct pw_mailbox *reply;
	uint64_t tag;
	uint64_t timeout_us;
	GStringChunk *text; /**< copied keys and values */
};

struct pw_store_range_msg {
	struct pw_store_msg base;
	struct pw_store_range range;
};

struct pw_store_txn_msg {
	struct pw_store_msg base;
	struct pw_store_txn txn;
};

struct pw_store_lease_msg {
	struct pw_store_msg base;
	int64_t lease_id;
	uint64_t ttl_us;
};

struct pw_store_watch_msg {
	struct pw_store_msg base;
	struct pw_store_watch watch;
};

/** Answer to a request. The receiver may take `result` out and set it to NULL. */
struct pw_store_result_msg {
	struct pw_msg base;
	uint64_t tag;
	struct pw_store_result *result;
};

/** Vtable of struct pw_store_result_msg, by which a receiver knows the message. */
extern const struct pw_msg_ops pw_store_result_msg_ops;

/*
 * Each creates a request.
 *
 * reply: mailbox for the results; outlives the store task
 * tag: given back with each result; of no meaning to the store task, except that a mailbox has at
 *      most one watch with a tag
 */

struct pw_msg *pw_store_range_msg_new(struct pw_mailbox *reply, uint64_t tag, uint64_t timeout_us,
				      const struct pw_store_range *req);
struct pw_msg *pw_store_txn_msg_new(struct pw_mailbox *reply, uint64_t tag, uint64_t timeout_us,
				    const struct pw_store_txn *req);
struct pw_msg *pw_store_lease_grant_msg_new(struct pw_mailbox *reply, uint64_t tag,
					    uint64_t timeout_us, uint64_t ttl_us);
struct pw_msg *pw_store_lease_keep_alive_msg_new(struct pw_mailbox *reply, uint64_t tag,
						 uint64_t timeout_us, int64_t lease_id);
struct pw_msg *pw_store_lease_revoke_msg_new(struct pw_mailbox *reply, uint64_t tag,
					     uint64_t timeout_us, int64_t lease_id);

/** A watch replaces the one of the same mailbox and tag, if there is one. */
struct pw_msg *pw_store_watch_msg_new(struct pw_mailbox *reply, uint64_t tag, uint64_t timeout_us,
				      const struct pw_store_watch *req);

/** Ends the watch of the mailbox and tag; results sent before may still arrive. */
struct pw_msg *pw_store_unwatch_msg_new(struct pw_mailbox *reply, uint64_t tag);

#endif
