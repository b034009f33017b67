/**
 * @file task.h
 * Tasks and supervisors. A task is one thread that owns its sockets and its state and waits in its
 * event loop. A supervisor is a task that starts, restarts and stops its children.
 */
#ifndef PW_CORE_TASK_H
#define PW_CORE_TASK_H

#include <stddef.h>
#include <stdbool.h>
#include <stdint.h>

#include "pw/core/loop.h"
#include "pw/core/msg.h"

struct pw_task;

struct pw_task_ops {
	const char *name;
	/** Size of the task's state; its first member is a struct pw_task. Zeroed before start. */
	size_t size_bytes;
	/** Opens sockets and sets timers. On failure it releases them, and `stop` is not called. */
	int (*start)(struct pw_task *t);
	/** Takes ownership of the message. Only supervisors receive stop messages. */
	void (*receive)(struct pw_task *t, struct pw_msg *m);
	/** Closes sockets and frees state. Called after the loop has ended. */
	void (*stop)(struct pw_task *t);
};

/** First member of the state of every task. */
struct pw_task {
	const struct pw_task_ops *ops;
	struct pw_loop *loop;
	struct pw_mailbox *inbox;
	const void *args; /**< as given in struct pw_child_spec */
	int32_t status;   /**< 0, or the error code that the task failed with */
};

/** Ends the task with an error; its supervisor restarts it. */
void pw_task_fail(struct pw_task *t, int code);

/** Ends the task normally; its supervisor does not restart it. */
void pw_task_finish(struct pw_task *t);

/** One child of a supervisor. */
struct pw_child_spec {
	const struct pw_task_ops *ops;
	struct pw_mailbox *inbox; /**< owned by the root of the tree, outlives the task */
	const void *args;         /**< outlives the task */
	uint32_t index;           /**< index among the children of the same kind, for the log */
};

/** Arguments of a supervisor: children in the order of their start; they stop in reverse order. */
struct pw_supervisor_spec {
	const char *name;
	const struct pw_child_spec *children;
	size_t child_count;
};

/** Operations of a supervisor task; `args` is a struct pw_supervisor_spec. */
extern const struct pw_task_ops pw_supervisor_ops;

/** @return new message that tells a task to end normally */
struct pw_msg *pw_task_stop_msg_new(void);

/**
 * Restarts of a child: backoff of 10 ms, doubled up to 1 s; at most 5 restarts in 10 s. At the next
 * failure within that time the supervisor itself fails, with the error code of the child.
 */
#define PW_RESTART_BACKOFF_INITIAL_US UINT64_C(10000)
#define PW_RESTART_BACKOFF_MAX_US     UINT64_C(1000000)
#define PW_RESTART_LIMIT              5
#define PW_RESTART_WINDOW_US          UINT64_C(10000000)

/**
 * Runs a task on the calling thread until it ends.
 *
 * @return 0 if the task ended normally, else its error code
 */
int pw_task_run(const struct pw_task_ops *ops, struct pw_mailbox *inbox, const void *args);

#endif
