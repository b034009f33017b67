/**
 * @file admin.h
 * Admin task: owns the HTTP listener of the administration API.
 *
 * Paths: `GET /healthz` (the process runs) and `GET /readyz` (200 while the load balancer may send
 * callers, else 503) need no credentials. All others need `Authorization: Bearer TOKEN`:
 * `GET /metrics` (Prometheus text format), `GET /v1/status` (JSON), `GET /v1/document` (the
 * document in force, with its revision in ETag), `PUT /v1/document` (replaces the document by a
 * compare-and-swap at the store; If-Match holds the revision that is replaced), and
 * `DELETE /v1/replica-set?database=GROUP[&server=ID]` (has a server of a replica set forgotten).
 */
#ifndef PW_DAEMON_CONTROL_ADMIN_H
#define PW_DAEMON_CONTROL_ADMIN_H

#include "pw/core/task.h"

/** `args` is a struct pw_task_args. */
extern const struct pw_task_ops pw_admin_ops;

/** Section of the answer to `GET /v1/status`. It replaces the last one with the same name. */
struct pw_admin_status {
	struct pw_msg base;
	char *section; /**< name in the status object */
	char *json;    /**< its JSON value */
};

/** @param json JSON value, allocated with g_malloc(); the message takes ownership */
struct pw_msg *pw_admin_status_msg(const char *section, char *json);

/** @return key of the service document in the store; the caller frees it with g_free() */
char *pw_document_key(const char *service);

#endif
