/**
 * @file root.h
 * Root supervisor: starts the control and traffic supervisors and the shutdown task.
 */
#ifndef PW_DAEMON_ROOT_H
#define PW_DAEMON_ROOT_H

#include "directory.h"

/**
 * Runs the process until a planned stop or a failure that the supervisors cannot recover from.
 *
 * @return 0 after a planned stop, else the error code that the root supervisor failed with
 */
int pw_root_run(const struct pw_process_settings *settings);

#endif
