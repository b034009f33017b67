/**
 * @file kv.h
 * Stand-in for the platform's key-value store, in memory: items with revisions, leases, a history,
 * and conditional changes. Time comes from the caller.
 */
#ifndef PW_STANDINS_PLATFORM_KV_H
#define PW_STANDINS_PLATFORM_KV_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct kv;

struct kv *kv_new(void);
void kv_free(struct kv *kv);

/** Removes the keys of leases that have ended. @return whether any was removed */
bool kv_expire(struct kv *kv, uint64_t now_us);

/** @return newest revision */
int64_t kv_revision(const struct kv *kv);

/** Writes an item as an operator or a server does. */
void kv_put(struct kv *kv, const char *key, const char *value, int64_t lease);
void kv_delete(struct kv *kv, const char *key);

/** Drops the history: watches from before now get 410. */
void kv_compact(struct kv *kv);

/* Each returns the HTTP status and sets the body of the answer. */
unsigned kv_get(struct kv *kv, json_t **body, const char *key);
unsigned kv_range(struct kv *kv, json_t **body, const char *prefix, const char *after);
/** @return 200 with events, 410, or 0 when there is nothing to report yet */
unsigned kv_watch(struct kv *kv, json_t **body, const char *prefix, int64_t after);
unsigned kv_txn(struct kv *kv, json_t **body, const json_t *request);
unsigned kv_lease(struct kv *kv, json_t **body, const json_t *request, uint64_t now_us);
unsigned kv_keep(struct kv *kv, json_t **body, int64_t lease, uint64_t now_us);
unsigned kv_lease_end(struct kv *kv, json_t **body, int64_t lease);

#endif
