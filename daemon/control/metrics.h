/**
 * @file metrics.h
 * Metrics in the text format of Prometheus, and the task that serves them without credentials on an
 * address of their own.
 */
#ifndef PW_DAEMON_CONTROL_METRICS_H
#define PW_DAEMON_CONTROL_METRICS_H

#include "pw/core/task.h"

/** Type of the text. */
#define PW_METRICS_TYPE "text/plain; version=0.0.4"

/** @return all counters and histograms; the caller frees it with g_free() */
char *pw_metrics_text(void);

/** `args` is a struct pw_task_args. Runs with the setting `--metrics-address` only. */
extern const struct pw_task_ops pw_metrics_ops;

#endif
