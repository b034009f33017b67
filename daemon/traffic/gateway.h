/**
 * @file gateway.h
 * Gateway task: owns a listener, caller connections and server connections, and leads each
 * statement from its caller to a server and back. It knows the protocols of both sides by the
 * vtables of pw/codec/dialect.h only.
 */
#ifndef PW_DAEMON_TRAFFIC_GATEWAY_H
#define PW_DAEMON_TRAFFIC_GATEWAY_H

#include "pw/core/task.h"

/** `args` is a struct pw_task_args. */
extern const struct pw_task_ops pw_gateway_ops;

#endif
