/**
 * @file control.h
 * Control supervisor: the tasks for the store, the configuration, the members of the fleet, changes
 * of primary and the administration API.
 */
#ifndef PW_DAEMON_CONTROL_CONTROL_H
#define PW_DAEMON_CONTROL_CONTROL_H

#include <glib.h>

#include "../directory.h"
#include "store.h"

/**
 * Appends the supervisor's children (struct pw_child_spec) in the order in which they start. Which
 * tasks run depends on the binding, see struct pw_binding.
 */
void pw_control_append_children(GArray *children, const struct pw_directory *d,
				const struct pw_task_args *args,
				const struct pw_store_task_args *store);

#endif
