/**
 * @file config.h
 * Config task: finds the newest valid revision of the service document, at the store or from peers,
 * and sends it as a snapshot to the tasks that use it.
 */
#ifndef PW_DAEMON_CONTROL_CONFIG_H
#define PW_DAEMON_CONTROL_CONFIG_H

#include "pw/core/task.h"

/** `args` is a struct pw_task_args. */
extern const struct pw_task_ops pw_config_ops;

#endif
