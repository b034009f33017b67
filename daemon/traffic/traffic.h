/**
 * @file traffic.h
 * Children of the traffic supervisor: the tasks that handle requests of callers. The binding
 * decides which tasks run: gateway tasks (gateway.h) if it has a caller protocol of its own,
 * otherwise the front, ledger and group tasks, whose callers use the PostgreSQL protocol
 * (request.h).
 */
#ifndef PW_DAEMON_TRAFFIC_TRAFFIC_H
#define PW_DAEMON_TRAFFIC_TRAFFIC_H

#include <glib.h>

#include "../directory.h"

/**
 * Appends the supervisor's children (struct pw_child_spec) in starting order: a task starts before
 * those that send requests to it.
 *
 * @param args array with the arguments for each index, as long as the largest number of tasks of
 *             one kind
 */
void pw_traffic_append_children(GArray *children, const struct pw_directory *d,
				const struct pw_task_args *args);

#endif
