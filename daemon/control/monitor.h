/**
 * @file monitor.h
 * Monitor task: owns the control connections to the servers, probes the servers, reports their
 * status to the group tasks, and runs failovers. It runs only with bindings that have a service
 * document. No other task sends the statements fence, promote and follow; the group tasks also send
 * the status statement, after writes.
 */
#ifndef PW_DAEMON_CONTROL_MONITOR_H
#define PW_DAEMON_CONTROL_MONITOR_H

#include <stdbool.h>
#include <stdint.h>

#include "pw/core/task.h"
#include "pw/decide/server.h"

/** `args` is a struct pw_task_args. */
extern const struct pw_task_ops pw_monitor_task_ops;

/**
 * Requests a probe of each server of a database. A probe that is in flight when the request arrives
 * does not count: another one is sent after it.
 */
struct pw_monitor_probe_request {
	struct pw_msg base;
	char *database;
};

/** To the group task of the database: a server's status row, or a change of its health. */
struct pw_monitor_status {
	struct pw_msg base;
	char *database;
	char *server; /**< address */
	struct pw_server_status status;
	uint64_t probe_sent_us; /**< at or before the time at which the probe was sent */
	uint64_t rtt_us;        /**< from `probe_sent_us` to the answer */
	bool has_status;        /**< `status`, `probe_sent_us` and `rtt_us` are set */
	bool alive;             /**< health of the server */
};

extern const struct pw_msg_ops pw_monitor_probe_request_ops;
extern const struct pw_msg_ops pw_monitor_status_ops;

struct pw_msg *pw_monitor_probe_request_msg(const char *database);

#endif
