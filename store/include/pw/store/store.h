/**
 * @file store.h
 * Client of the platform's key-value service. All operations are asynchronous on one event loop;
 * a store and its calls belong to the thread of that loop.
 */
#ifndef PW_STORE_STORE_H
#define PW_STORE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pw/core/loop.h"

/** Largest value that the service takes. */
#define PW_STORE_VALUE_MAX_BYTES ((size_t)1 << 20)

/**
 * Largest answer, or message of a watch, that is read: one value of the largest size in base64
 * (4/3 of its size) and 100 KiB for the rest. Larger sets of keys are read in parts, see
 * struct pw_store_range.
 */
#define PW_STORE_ANSWER_MAX_BYTES (PW_STORE_VALUE_MAX_BYTES / 3 * 4 + (size_t)100 * 1024)

/** Usual time limit of a call. */
#define PW_STORE_TIMEOUT_US UINT64_C(1000000)

/** A watch without bytes for this long is opened again on a new connection. */
#define PW_STORE_WATCH_SILENCE_US UINT64_C(5000000)

enum pw_store_kind {
	PW_STORE_RANGE,
	PW_STORE_TXN,
	PW_STORE_LEASE_GRANT,
	PW_STORE_LEASE_KEEP_ALIVE,
	PW_STORE_LEASE_REVOKE,
	PW_STORE_WATCH,
};

/** Reads one key, or the keys with a prefix in the order of their bytes. */
struct pw_store_range {
	const char *key; /**< key or prefix */
	bool prefix;     /**< `key` is a prefix */
	const char
		*after;   /**< with a prefix: only keys above this one; NULL reads from the start */
	uint32_t limit;   /**< greatest number of keys; 0 for no limit */
	int64_t revision; /**< reads the keys as they were at this revision; 0 for the newest */
	bool stale;       /**< an answer that lacks the newest changes will do; it costs less */
};

enum pw_store_target {
	PW_STORE_MOD_REVISION,
	PW_STORE_CREATE_REVISION,
};

/** Condition that a key's revision equals a number; 0 stands for a key that does not exist. */
struct pw_store_compare {
	const char *key;
	enum pw_store_target target;
	int64_t revision;
};

enum pw_store_change_kind {
	PW_STORE_PUT,
	PW_STORE_DELETE,
};

struct pw_store_change {
	const char *key;
	enum pw_store_change_kind kind;
	const void *value; /**< PW_STORE_PUT only */
	size_t size_bytes;
	int64_t lease_id; /**< PW_STORE_PUT: lease that the key ends with; 0 for none */
};

/**
 * Makes all changes at one revision if all comparisons hold. Else nothing is changed and the
 * current values of the compared keys are read back.
 */
struct pw_store_txn {
	const struct pw_store_compare *compares;
	size_t compare_count;
	const struct pw_store_change *changes; /**< at most one for each key */
	size_t change_count;
};

/**
 * Follows the changes of one key, or of the keys with a prefix.
 *
 * `start_revision` is the first revision reported, usually the revision of a read plus 1; 0 starts
 * with the changes after the first update of the watch.
 */
struct pw_store_watch {
	const char *key;
	bool prefix;
	int64_t start_revision;
};

struct pw_store_kv {
	char *key;
	char *value; /**< `size_bytes` bytes and a terminating NUL */
	size_t size_bytes;
	int64_t create_revision;
	int64_t mod_revision; /**< 0: the key does not exist */
	int64_t version;      /**< changes since the key was created, its creation included */
	int64_t lease_id;
};

struct pw_store_event {
	enum pw_store_change_kind kind;
	struct pw_store_kv kv; /**< after PW_STORE_DELETE only key and mod_revision are set */
};

/**
 * First member of every result. Codes:
 *
 * - PW_OK
 * - PW_ECONFLICT: a comparison of a transaction failed; nothing was changed
 * - PW_ENOTFOUND: the lease does not exist; or the start of the watch was compacted, so that the
 *   caller has to read again; or the revision of a range was compacted or does not exist yet
 * - PW_EUNAVAILABLE: the connection was refused, or the service answered with status 429 or 5xx
 * - PW_ETIMEOUT: the request was sent, but no complete answer came before the deadline or before
 *   the connection ended. A write may have taken effect, now or later.
 * - PW_EINVALID: the service refused the request as malformed, or its answer is malformed
 * - PW_EOVERFLOW: the answer is larger than PW_STORE_ANSWER_MAX_BYTES
 *
 * Whether a failed write may have taken effect is in `effect_possible`. It is also true for a
 * malformed or oversized answer and for status 5xx, which a gateway may send in place of the
 * answer of a request that was carried out. After that, the caller reads the keys again.
 */
struct pw_store_result {
	enum pw_store_kind kind;
	int32_t code;
	bool effect_possible;
	int64_t revision; /**< revision of the store in the answer; 0 without one */
	char *message;    /**< description of a failure; NULL on success */
};

struct pw_store_range_result {
	struct pw_store_result base;
	struct pw_store_kv *kvs;
	size_t kv_count;
	bool more; /**< the limit cut keys off; go on with `after` set to the last key */
};

/** On success, `base.revision` is the mod_revision of all changed keys. */
struct pw_store_txn_result {
	struct pw_store_result base;
	/** PW_ECONFLICT: the compared keys in their order; `key` is NULL for a missing one. */
	struct pw_store_kv *kvs;
	size_t kv_count;
};

struct pw_store_lease_result {
	struct pw_store_result base;
	int64_t lease_id;
	uint64_t ttl_us; /**< granted or renewed time, counted from some moment before the answer */
};

/**
 * One update of a watch. Events come in the order of their revisions and none comes twice. An
 * update without events confirms that the watch is open and has reported every change up to
 * `base.revision`; the first update after opening carries no such promise, `opened` marks it.
 *
 * An update with a failure tells that the watch was interrupted; it is opened again with a backoff
 * from the revision after the last one reported, until `ended` is true.
 */
struct pw_store_watch_result {
	struct pw_store_result base;
	struct pw_store_event *events;
	size_t event_count;
	bool opened; /**< the watch has just been opened, for the first time or again */
	bool ended;  /**< last update: compacted, oversized, refused, or the store is freed */
};

/**
 * Creates an empty result of the kind, for implementations of stores and for those who answer in
 * place of one.
 *
 * @param message copied; may be NULL
 */
struct pw_store_result *pw_store_result_new(enum pw_store_kind kind, int32_t code,
					    const char *message);

/** Frees a result and all it owns. */
void pw_store_result_free(struct pw_store_result *r);

struct pw_store_call;

struct pw_store_call_ops {
	/**
	 * Takes ownership of the result, a struct named in struct pw_store_result's kind. Called
	 * once for each call, and for each update of a watch. It may start and cancel calls, but
	 * must not free the store.
	 */
	void (*done)(struct pw_store_call *c, struct pw_store_result *r);
};

/** First member of what waits for a result. It stays valid until the last result or a cancel. */
struct pw_store_call {
	const struct pw_store_call_ops *ops;
	void *transfer; /**< owned by the store; NULL while no result is awaited */
};

struct pw_store;

/**
 * Operations of a kind of store. Those that start a call copy the request and return PW_OK, and
 * then `done` is called later, never from inside the operation; or they return PW_EINVALID, and
 * `done` is not called. `timeout_us` limits the whole call.
 */
struct pw_store_ops {
	const char *name;
	int (*range)(struct pw_store *s, const struct pw_store_range *req, uint64_t timeout_us,
		     struct pw_store_call *c);
	int (*txn)(struct pw_store *s, const struct pw_store_txn *req, uint64_t timeout_us,
		   struct pw_store_call *c);
	/** @param ttl_us time to live, rounded up to whole seconds */
	int (*lease_grant)(struct pw_store *s, uint64_t ttl_us, uint64_t timeout_us,
			   struct pw_store_call *c);
	int (*lease_keep_alive)(struct pw_store *s, int64_t lease_id, uint64_t timeout_us,
				struct pw_store_call *c);
	int (*lease_revoke)(struct pw_store *s, int64_t lease_id, uint64_t timeout_us,
			    struct pw_store_call *c);
	/** @param timeout_us limit for each opening, until the service confirms the watch */
	int (*watch)(struct pw_store *s, const struct pw_store_watch *req, uint64_t timeout_us,
		     struct pw_store_call *c);
	/** Ends a call without a result; a write that was sent may still take effect. */
	void (*cancel)(struct pw_store *s, struct pw_store_call *c);
	/** Ends open calls with PW_EUNAVAILABLE and frees the store. `done` must start no call. */
	void (*free)(struct pw_store *s);
};

/** First member of every kind of store. */
struct pw_store {
	const struct pw_store_ops *ops;
};

#define PW_STORE_HTTP_OPTIONS_VERSION 1
#define PW_STORE_HTTP_OPTIONS_INIT                             \
	{                                                      \
		.version = PW_STORE_HTTP_OPTIONS_VERSION,      \
		.watch_silence_us = PW_STORE_WATCH_SILENCE_US, \
	}

struct pw_store_http_options {
	uint32_t version;
	const char *const *endpoints; /**< base URLs as `http://IP:PORT`, ended by NULL */
	uint64_t watch_silence_us;
};

/**
 * Creates a client for the published JSON form of the etcd v3 gateway. With several endpoints it
 * stays with one until a call to it fails. A request that could not be sent is tried at the next
 * endpoint, within its deadline; a request that was sent is not repeated.
 *
 * @param loop outlives the store
 */
int pw_store_http_new(struct pw_store **out, struct pw_loop *loop,
		      const struct pw_store_http_options *opts);

#endif
