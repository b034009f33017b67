/**
 * @file kv.h
 * Data of the stand-in key-value store: keys with revisions, leases and the log of changes. Not
 * thread-safe.
 */
#ifndef PW_STANDINS_STORE_KV_H
#define PW_STANDINS_STORE_KV_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** A key with its value at one revision; immutable and reference-counted. */
struct kv {
	GBytes *key;
	GBytes *value; /**< NULL if the key was deleted at this revision */
	int64_t create_revision;
	int64_t mod_revision;
	int64_t version;  /**< number of writes since the key was created; 1 for a new key */
	int64_t lease_id; /**< 0 for none */
};

/**
 * The keys from `start` to before `end`. If `end` is NULL, the range contains only the key `start`;
 * if `end` is a single zero byte, it contains `start` and all keys after it.
 */
struct key_range {
	GBytes *start;
	GBytes *end;
};

struct lease {
	int64_t id;
	int64_t ttl_s;
	uint64_t expires_us;
};

struct kv_store {
	GTree *keys;       /**< GBytes to struct kv */
	GTree *stale_keys; /**< snapshot for stale reads; NULL while reads return current keys */
	int64_t stale_revision;   /**< revision of `stale_keys` */
	GPtrArray *log;           /**< of struct kv: all changes in order */
	GHashTable *leases;       /**< id to struct lease */
	int64_t revision;         /**< of the last change */
	int64_t compact_revision; /**< revisions below this one cannot be read; 0: all can */
	int64_t last_lease_id;
};

/** HTTP response to an operation. */
struct response {
	uint32_t status;
	json_t *body;
};

void kv_store_init(struct kv_store *s);

/** Reads `key` and `range_end` of a request. @return false if the key is missing or empty */
bool key_range_parse(const json_t *j, struct key_range *out);
void key_range_clear(struct key_range *r);
bool key_range_contains(const struct key_range *r, GBytes *key);

/*
 * Calls of the JSON API. `req` is the parsed body of the request. The caller owns the body of the
 * response.
 */
struct response kv_range(struct kv_store *s, const json_t *req, uint64_t now_us);
struct response kv_txn(struct kv_store *s, const json_t *req, uint64_t now_us);
struct response kv_compact(struct kv_store *s, const json_t *req, uint64_t now_us);
struct response kv_lease_grant(struct kv_store *s, const json_t *req, uint64_t now_us);
struct response kv_lease_keep_alive(struct kv_store *s, const json_t *req, uint64_t now_us);
struct response kv_lease_revoke(struct kv_store *s, const json_t *req, uint64_t now_us);

/**
 * If `stale` is true, kv_range() returns the keys as they are now to requests without a revision,
 * in spite of later changes; if it is false, kv_range() returns the current keys again.
 */
void kv_set_stale_reads(struct kv_store *s, bool stale);

/** Removes expired leases and their keys. @return time of the next expiry; UINT64_MAX if none */
uint64_t kv_expire(struct kv_store *s, uint64_t now_us);

/** @return error response in the form of the etcd gateway, with a gRPC status code in its body */
struct response response_error(uint32_t status, int32_t grpc_code, const char *message);
/** @return response header with the current revision */
json_t *header_json(const struct kv_store *s);
json_t *kv_json(const struct kv *kv);
/** @return integer field of `j`, given as a number or a string; 0 if absent */
int64_t int64_field(const json_t *j, const char *name);
/** @return `n` as a string, the form of 64-bit integers in the JSON of the etcd gateway */
json_t *int64_json(int64_t n);

#endif
