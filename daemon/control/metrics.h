/**
 * @file metrics.h
 * Metrics in the text format of Prometheus, and the task that serves them without credentials on a
 * separate address.
 */
#ifndef PW_DAEMON_CONTROL_METRICS_H
#define PW_DAEMON_CONTROL_METRICS_H

#include "pw/core/task.h"

/** Content type of the Prometheus text format. */
#define PW_METRICS_TYPE "text/plain; version=0.0.4"

/** @return text with all counters and histograms; the caller frees it with g_free() */
char *pw_metrics_format(void);

/** `args` is a struct pw_task_args. The task runs only if `--metrics-address` is set. */
extern const struct pw_task_ops pw_metrics_ops;

#endif
