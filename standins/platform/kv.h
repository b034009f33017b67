/**
 * @file kv.h
 * Stand-in for the platform's key-value store, in memory: items with revisions, leases, a history
 * of changes for watches, and transactions with compare-and-swap. Callers pass in the time.
 */
#ifndef PW_STANDINS_PLATFORM_KV_H
#define PW_STANDINS_PLATFORM_KV_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct kv_store;

struct kv_store *kv_new(void);
void kv_free(struct kv_store *kv);

/** Removes expired leases and their keys. @return whether any lease expired */
bool kv_expire(struct kv_store *kv, uint64_t now_us);

/** @return current revision */
int64_t kv_revision(const struct kv_store *kv);

/**
 * Writes or deletes an item without a request, for changes by an operator or a server.
 *
 * @param value    plain text; the store keeps it in base64
 * @param lease_id 0 for none
 */
void kv_put(struct kv_store *kv, const char *key, const char *value, int64_t lease_id);
void kv_delete(struct kv_store *kv, const char *key);

/** @return number of times that the store was restored from a copy, plus 1 */
uint32_t kv_era(const struct kv_store *kv);

/** Takes a copy of the items, the leases and the counters, in place of an earlier one. */
void kv_take_copy(struct kv_store *kv);
/**
 * Restores the copy: later changes and leases are gone, their numbers are given out again, and the
 * era rises by 1. The leases of the copy start over.
 *
 * @return false if there is no copy
 */
bool kv_restore_copy(struct kv_store *kv, uint64_t now_us);

/** Discards the history; watches that start before the current revision get status 410. */
void kv_compact(struct kv_store *kv);

/*
 * Operations of the HTTP interface. Each returns the HTTP status and sets `body` to the response,
 * which the caller then owns.
 */
unsigned kv_get(struct kv_store *kv, json_t **body, const char *key);
/** Returns a page of the items with the prefix; it starts after `after_key` unless that is NULL. */
unsigned kv_range(struct kv_store *kv, json_t **body, const char *prefix, const char *after_key);
/**
 * @return 200 with events; 410 if events after `after_revision` were discarded, or the
 *         store has not reached that revision; 0 if there are no
 *         events yet, and then `body` is not set
 */
unsigned kv_watch(struct kv_store *kv, json_t **body, const char *prefix, int64_t after_revision);
unsigned kv_txn(struct kv_store *kv, json_t **body, const json_t *request);
unsigned kv_lease_grant(struct kv_store *kv, json_t **body, const json_t *request, uint64_t now_us);
unsigned kv_lease_keep_alive(struct kv_store *kv, json_t **body, int64_t lease_id, uint64_t now_us);
unsigned kv_lease_revoke(struct kv_store *kv, json_t **body, int64_t lease_id);

#endif
