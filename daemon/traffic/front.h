/**
 * @file front.h
 * Front task: owns a listening socket and the caller connections accepted on it. It checks keys,
 * splits the input into batches, finds their routes and sends requests to the ledger; see
 * request.h.
 */
#ifndef PW_DAEMON_TRAFFIC_FRONT_H
#define PW_DAEMON_TRAFFIC_FRONT_H

#include "pw/core/task.h"

/** `args` is a struct pw_task_args. */
extern const struct pw_task_ops pw_front_ops;

/** Sets the time until which statements that need a key may be served with this VM's snapshot. */
struct pw_freshness {
	struct pw_msg base;
	uint64_t fresh_until_us; /**< UINT64_MAX: no limit */
};

struct pw_msg *pw_freshness_msg(uint64_t fresh_until_us);

/** A caller's cancel request: sent to all front tasks, and to the peers task for other VMs. */
struct pw_front_cancel {
	struct pw_msg base;
	uint32_t process_id;
	uint32_t secret;
};

struct pw_msg *pw_front_cancel_msg(uint32_t process_id, uint32_t secret);

/** Tells the shutdown task that, after a struct pw_drain, the sender has no callers left. */
extern const struct pw_msg_ops pw_drained_ops;

extern const struct pw_msg_ops pw_freshness_ops;
extern const struct pw_msg_ops pw_front_cancel_ops;

#endif
