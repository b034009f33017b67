/**
 * @file gateway.h
 * Gateway task: owns a listener, caller connections and server connections, sends each statement of
 * a caller to a server and returns the answer. It uses the protocols of both sides only through the
 * vtables of pw/codec/dialect.h.
 */
#ifndef PW_DAEMON_TRAFFIC_GATEWAY_H
#define PW_DAEMON_TRAFFIC_GATEWAY_H

#include "pw/core/task.h"

/** `args` is a struct pw_task_args. */
extern const struct pw_task_ops pw_gateway_ops;

#endif
