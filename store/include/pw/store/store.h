/**
 * @file store.h
 * Asynchronous client of a key-value service with revisions, leases and watches. A store and its
 * calls belong to one event loop and the thread that runs it.
 */
#ifndef PW_STORE_STORE_H
#define PW_STORE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pw/core/loop.h"

/** Maximum size of a value that the service accepts. */
#define PW_STORE_VALUE_MAX_BYTES ((size_t)1 << 20)

/**
 * Maximum size of a response, or of a message of a watch: one value of the maximum size in base64
 * (4/3 of its size) and 100 KiB for the rest. Larger sets of keys are read in pages, see
 * struct pw_store_range. The client of the platform's store has a higher limit.
 */
#define PW_STORE_RESPONSE_MAX_BYTES (PW_STORE_VALUE_MAX_BYTES / 3 * 4 + (size_t)100 * 1024)

/** Default timeout of a call. */
#define PW_STORE_CALL_TIMEOUT_US UINT64_C(1000000)

/** A watch that receives no bytes for this long is reopened on a new connection. */
#define PW_STORE_WATCH_IDLE_TIMEOUT_US UINT64_C(5000000)

/*
 * A service that goes back to an earlier copy of its data starts a new era. Changes and leases of
 * the time after the copy are then gone, and the service gives out their revisions and lease ids
 * again. A client of such a service makes both unique over all eras, and revisions of a later era
 * greater than those of an earlier one. What refers to an earlier era is not sent to the service:
 * a lease and a watch end with PW_ENOTFOUND, and a transaction that compares a revision other than
 * 0 or names a lease of an earlier era fails with PW_ECONFLICT without items, so that its caller
 * reads again.
 */

/** Kind of a call and of its results. */
enum pw_store_kind {
	PW_STORE_RANGE,
	PW_STORE_TXN,
	PW_STORE_LEASE_GRANT,
	PW_STORE_LEASE_KEEP_ALIVE,
	PW_STORE_LEASE_REVOKE,
	PW_STORE_WATCH,
};

/** Reads one key, or all keys with a prefix, in byte order. */
struct pw_store_range {
	const char *key;       /**< key or prefix */
	bool prefix;           /**< `key` is a prefix */
	const char *after_key; /**< prefix reads: skips keys up to this one; NULL for none */
	uint32_t limit;        /**< maximum number of keys; 0 for no limit */
	int64_t revision;      /**< reads at this revision; 0 for the newest */
	bool allow_stale; /**< accepts a response without the newest changes, which costs less */
	/**
	 * Prefix reads of keys that others write: items that cannot be read are returned without a
	 * value, or left out if their key cannot be read. Otherwise such an item fails the read.
	 * The product's own store does not return such items.
	 */
	bool allow_malformed;
};

/** Revision of a key that is compared. */
enum pw_store_compare_target {
	PW_STORE_MOD_REVISION,
	PW_STORE_CREATE_REVISION,
};

/** Condition that a revision of a key equals `revision`; 0 requires that the key does not exist. */
struct pw_store_compare {
	const char *key;
	enum pw_store_compare_target target;
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
	int64_t lease_id; /**< PW_STORE_PUT: the key is deleted when this lease ends; 0 for none */
};

/**
 * Transaction: applies all changes at one revision if all comparisons hold. Otherwise it changes
 * nothing and returns the current values of the compared keys.
 */
struct pw_store_txn {
	const struct pw_store_compare *compares;
	size_t compare_count;
	const struct pw_store_change *changes; /**< at most one per key */
	size_t change_count;
};

/**
 * Watches the changes of one key, or of all keys with a prefix.
 *
 * `start_revision` is the first revision to report, usually the revision of a read plus 1. 0 starts
 * with the changes after the first update of the watch.
 */
struct pw_store_watch {
	const char *key;
	bool prefix;
	int64_t start_revision;
	/**
	 * Prefix watches of keys that others write: see struct pw_store_range. Otherwise an event
	 * that cannot be read interrupts the watch.
	 */
	bool allow_malformed;
};

struct pw_store_kv {
	char *key;
	char *value; /**< `size_bytes` bytes, followed by a NUL; NULL: none, or malformed */
	size_t size_bytes;
	int64_t create_revision;
	int64_t mod_revision; /**< 0: the key does not exist */
	int64_t version;      /**< number of changes of the key, 1 after its creation; 0: unknown */
	int64_t lease_id;     /**< 0: none */
};

struct pw_store_event {
	enum pw_store_change_kind kind;
	struct pw_store_kv kv; /**< PW_STORE_DELETE: only key and mod_revision are set */
};

/**
 * First member of every result. Codes:
 *
 * - PW_OK
 * - PW_ECONFLICT: a comparison of a transaction failed, or it was made in an earlier era; nothing
 *   was changed
 * - PW_ENOTFOUND: the lease does not exist; or the start revision of the watch was compacted, so
 *   that the caller has to read again; or the revision of a range read was compacted or does not
 *   exist yet
 * - PW_EUNAVAILABLE: the request was not sent, the service responded with status 429 or 5xx or
 *   ended a watch, or the store client was freed
 * - PW_ETIMEOUT: the request was sent, but no complete response arrived before the deadline or
 *   before the connection ended. A write may have taken effect, or may still do so.
 * - PW_EINVALID: the service rejected the request as malformed, or its response is malformed
 * - PW_EOVERFLOW: the response is larger than the store client accepts
 *
 * `maybe_applied` tells whether a failed write may have taken effect. It is also true for a
 * malformed or oversized response and for status 5xx, which a gateway may send in place of the
 * response to a request that was carried out; only a 503 of the platform's store rules that out.
 * The caller then reads the keys again.
 */
struct pw_store_result {
	enum pw_store_kind kind;
	int32_t code;
	bool maybe_applied;
	uint32_t era;     /**< era of the service; 0: not known, or the service has no eras */
	int64_t revision; /**< revision of the store in the response; 0 if it has none */
	char *message;    /**< description of a failure; NULL on success */
};

struct pw_store_range_result {
	struct pw_store_result base;
	struct pw_store_kv *kvs;
	size_t kv_count;
	bool has_more; /**< further keys exist; read them with `after_key` set to the last key */
};

/** On success, `base.revision` is the mod_revision of all changed keys. */
struct pw_store_txn_result {
	struct pw_store_result base;
	/**
	 * PW_ECONFLICT: compared keys in request order; `key` is NULL if it does not exist. Empty
	 * if the transaction was not sent because it refers to an earlier era.
	 */
	struct pw_store_kv *kvs;
	size_t kv_count;
};

struct pw_store_lease_result {
	struct pw_store_result base;
	int64_t lease_id;
	uint64_t ttl_us; /**< remaining time to live, counted from a moment before the response */
};

/**
 * Update of a watch. Events arrive in the order of their revisions, each exactly once. An update
 * without events confirms that the watch is open and has reported every change up to
 * `base.revision`. The first update after each opening, which has `just_opened` set, does not
 * guarantee that.
 *
 * An update with an error code reports that the watch was interrupted. Unless `is_last` is true,
 * the watch is reopened at the revision after the last one reported: at once if it received no
 * bytes for too long, otherwise after a backoff.
 */
struct pw_store_watch_result {
	struct pw_store_result base;
	struct pw_store_event *events;
	size_t event_count;
	uint64_t transfer_us; /**< time that the transfer of the events took; 0: unknown */
	bool just_opened;     /**< first update after the watch was opened or reopened */
	bool is_last; /**< the watch ended: compacted, oversized, rejected, or store freed */
};

/**
 * Creates an empty result of the given kind, for implementations of stores and for code that
 * delivers results in place of a store.
 *
 * @param message copied; may be NULL
 */
struct pw_store_result *pw_store_result_new(enum pw_store_kind kind, int32_t code,
					    const char *message);

/** Frees a result and everything it owns. May be NULL. */
void pw_store_result_free(struct pw_store_result *r);

struct pw_store_call;

struct pw_store_call_ops {
	/**
	 * Takes ownership of the result, whose type depends on its `kind`. Called once per call, or
	 * once per update of a watch. It may start and cancel calls, but must not free the store.
	 */
	void (*done)(struct pw_store_call *c, struct pw_store_result *r);
};

/** First member of a struct that waits for results. It must stay valid until the call has ended. */
struct pw_store_call {
	const struct pw_store_call_ops *ops;
	void *pending; /**< state owned by the store; NULL if no call is pending */
};

struct pw_store;

/**
 * Operations that every kind of store implements. Those that start a call copy the request. They
 * return PW_OK, and `done` is called later, never from inside the operation; or they return an
 * error, PW_EINVALID for an invalid request, and `done` is not called. `timeout_us` limits the
 * whole call.
 */
struct pw_store_ops {
	const char *name;
	int (*range)(struct pw_store *s, const struct pw_store_range *req, uint64_t timeout_us,
		     struct pw_store_call *c);
	int (*txn)(struct pw_store *s, const struct pw_store_txn *req, uint64_t timeout_us,
		   struct pw_store_call *c);
	/** @param ttl_us time to live, rounded to the resolution of the service */
	int (*lease_grant)(struct pw_store *s, uint64_t ttl_us, uint64_t timeout_us,
			   struct pw_store_call *c);
	int (*lease_keep_alive)(struct pw_store *s, int64_t lease_id, uint64_t timeout_us,
				struct pw_store_call *c);
	int (*lease_revoke)(struct pw_store *s, int64_t lease_id, uint64_t timeout_us,
			    struct pw_store_call *c);
	/** @param timeout_us limits each opening, until the service confirms the watch */
	int (*watch)(struct pw_store *s, const struct pw_store_watch *req, uint64_t timeout_us,
		     struct pw_store_call *c);
	/** Ends a call without a result. A write that was sent may still take effect. */
	void (*cancel)(struct pw_store *s, struct pw_store_call *c);
	/** Ends all calls with PW_EUNAVAILABLE and frees the store. `done` must start no call. */
	void (*free)(struct pw_store *s);
};

/** First member of every kind of store. */
struct pw_store {
	const struct pw_store_ops *ops;
};

#define PW_STORE_ETCD_OPTIONS_VERSION 1
#define PW_STORE_ETCD_OPTIONS_INIT                                       \
	{                                                                \
		.version = PW_STORE_ETCD_OPTIONS_VERSION,                \
		.watch_idle_timeout_us = PW_STORE_WATCH_IDLE_TIMEOUT_US, \
	}

struct pw_store_etcd_options {
	uint32_t version;               /**< PW_STORE_ETCD_OPTIONS_VERSION */
	const char *const *endpoints;   /**< base URLs as `http://IP:PORT`, NULL-terminated */
	uint64_t watch_idle_timeout_us; /**< see PW_STORE_WATCH_IDLE_TIMEOUT_US */
};

/**
 * Creates a client for the JSON gateway of the etcd v3 API. With several endpoints the client stays
 * with one until a call to it fails. A request that could not be sent is retried at the next
 * endpoint, within its deadline. Once a request was sent, it is not retried at another endpoint.
 *
 * @param loop outlives the store
 * @return 0; PW_EINVALID if there is no endpoint or the version of the options is unknown;
 *         PW_ESYSTEM
 */
int pw_store_etcd_new(struct pw_store **out, struct pw_loop *loop,
		      const struct pw_store_etcd_options *opts);

#endif
