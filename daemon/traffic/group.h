/**
 * @file group.h
 * Group task: owns the upstream connections of the databases that hash to it. It pools them, routes
 * reads, confirms writes and retries failed requests.
 */
#ifndef PW_DAEMON_TRAFFIC_GROUP_H
#define PW_DAEMON_TRAFFIC_GROUP_H

#include "pw/core/task.h"

/** `args` is a struct pw_task_args. */
extern const struct pw_task_ops pw_group_ops;

#endif
