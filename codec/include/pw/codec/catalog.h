/**
 * @file catalog.h
 * Immutable, reference-counted snapshots of the configuration that the environment publishes: the
 * catalogue of databases, client accounts and limits that operators write, and the list of
 * registered servers. A struct pw_catalog_source holds the store keys under which both are
 * published, and decodes their values.
 */
#ifndef PW_CODEC_CATALOG_H
#define PW_CODEC_CATALOG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pw/core/findings.h"

/** Commits that a read on a route must see. */
enum pw_consistency {
	PW_CONSISTENCY_PRIMARY, /**< all acknowledged commits */
	PW_CONSISTENCY_BOUNDED, /**< all commits older than the route's `stale_age_ms` */
	PW_CONSISTENCY_SESSION, /**< like BOUNDED, and all commits of the session itself */
};

/** A replicated database: one primary and its replicas. */
struct pw_catalog_group {
	char *name;
	/** Maximum of connections to each server, over the whole fleet. */
	uint32_t connection_limit;
	/** Number of replicas that must have a commit before it is acknowledged. */
	uint32_t sync_replica_count;
};

/** A database name that callers connect to, and how its statements are served. */
struct pw_catalog_route {
	char *database;
	char *group;
	enum pw_consistency consistency;
	/** Maximum age of the data that a read sees; 0: reads run on the primary. */
	uint32_t stale_age_ms;
	uint32_t timeout_ms;        /**< timeout of one statement */
	uint32_t target_latency_ms; /**< latency that a caller's operation should stay below */
	uint32_t priority;          /**< 0 is the highest */
	bool open_to_all;           /**< callers need no key */
};

/** A client account and its rate limit. */
struct pw_catalog_account {
	char *name;
	uint32_t rate_per_s; /**< operations per second, over the whole fleet */
	uint32_t burst;      /**< operations; size of the token bucket */
	uint32_t priority;   /**< 0 is the highest */
};

/** A snapshot of the catalogue. */
struct pw_catalog {
	uint64_t version;                     /**< version number that the operators assign */
	GPtrArray *groups;                    /**< struct pw_catalog_group */
	GPtrArray *routes;                    /**< struct pw_catalog_route */
	GPtrArray *accounts;                  /**< struct pw_catalog_account */
	uint32_t transaction_idle_timeout_ms; /**< maximum idle time of a transaction */
	GHashTable *routes_by_database;       /**< database name -> route */
	GHashTable *groups_by_name;           /**< group name -> group */
	GHashTable *accounts_by_name;         /**< account name -> account */
	GHashTable *accounts_by_key_hash;     /**< SHA-256 of the key in hexadecimal -> account */
};

/** @return an empty catalogue with one reference; the caller fills it before sharing it */
struct pw_catalog *pw_catalog_new(void);
struct pw_catalog *pw_catalog_ref(const struct pw_catalog *c);
/** Releases a reference; the last one frees the catalogue. NULL is allowed. */
void pw_catalog_unref(const struct pw_catalog *c);

/* These functions take ownership of the item. Look-ups find the last item added under a name. */
void pw_catalog_add_group(struct pw_catalog *c, struct pw_catalog_group *g);
void pw_catalog_add_route(struct pw_catalog *c, struct pw_catalog_route *r);
void pw_catalog_add_account(struct pw_catalog *c, struct pw_catalog_account *a);
/** Adds a key of an account. Stores only the hash of the key. */
void pw_catalog_add_key(struct pw_catalog *c, const struct pw_catalog_account *a, const char *key);

/** @return the route of the database, or NULL */
const struct pw_catalog_route *pw_catalog_find_route(const struct pw_catalog *c,
						     const char *database);
/** @return the group of that name, or NULL */
const struct pw_catalog_group *pw_catalog_find_group(const struct pw_catalog *c, const char *name);
/** @return the account of that name, or NULL */
const struct pw_catalog_account *pw_catalog_find_account(const struct pw_catalog *c,
							 const char *name);

/** Size of the hash of a key in hexadecimal, with the terminating NUL. */
#define PW_CATALOG_KEY_HASH_SIZE 65

/** Computes the hash under which the catalogue stores a key: SHA-256 in hexadecimal. */
void pw_catalog_hash_key(char out[PW_CATALOG_KEY_HASH_SIZE], const char *key);

/** @return the account that owns the key with this hash, or NULL */
const struct pw_catalog_account *pw_catalog_find_account_by_key_hash(const struct pw_catalog *c,
								     const char *key_hash);

/** The registration of a server, written by the server itself. */
struct pw_server_entry {
	char *id;
	char *group;
	char *address; /**< IP:PORT */
	char *availability_zone;
	/** Unix time of its start, which changes when it restarts under the same id; 0: unknown. */
	uint64_t started_ms;
	uint32_t slots;          /**< number of statements that it runs at once */
	uint32_t warmup_left_ms; /**< remaining time of its warm-up */
	bool leaving;   /**< a stop is planned, or its zone is evacuated: it gets no new work */
	bool evacuated; /**< its zone is evacuated; set by the reader, not by the server */
	/** While `evacuated`: nothing is sent to it from then on, by the reader's clock. */
	uint64_t evacuation_stop_us;
	bool claims_primary; /**< the server considers itself the primary */
};

void pw_server_entry_free(struct pw_server_entry *e);
struct pw_server_entry *pw_server_entry_copy(const struct pw_server_entry *e);

/** A snapshot of all servers that may be used. */
struct pw_server_list {
	GPtrArray *entries; /**< struct pw_server_entry, sorted by id */
};

struct pw_server_list *pw_server_list_new(void);
struct pw_server_list *pw_server_list_ref(const struct pw_server_list *l);
void pw_server_list_unref(const struct pw_server_list *l);
/** @return the entry with that id, or NULL */
const struct pw_server_entry *pw_server_list_find(const struct pw_server_list *l, const char *id);

struct pw_catalog_source;

struct pw_catalog_source_ops {
	/** Decodes the catalogue. @return 0, or PW_EINVALID with findings in `f` */
	int (*decode_catalog)(struct pw_catalog **out, const char *text, size_t size_bytes,
			      struct pw_findings *f);
	/** Decodes a server entry. @return 0, or PW_EINVALID if it does not describe one */
	int (*decode_server_entry)(struct pw_server_entry **out, const char *key, const char *text,
				   size_t size_bytes);
	/**
	 * Finds the availability zone that an item under `operator_prefix` evacuates. NULL if the
	 * environment has no evacuations.
	 *
	 * @param zone receives a part of `key`; NULL if the item is not an evacuation
	 * @return 0, or PW_EINVALID if it is one, but does not name a zone
	 */
	int (*find_evacuated_zone)(const char **zone, const char *key);
};

/** Store keys under which the environment publishes, and the decoders of their values. */
struct pw_catalog_source {
	const struct pw_catalog_source_ops *ops;
	const char *catalog_key;
	const char *servers_prefix; /**< prefix of the keys of server entries */
	/** Prefix of `catalog_key` and `evacuations_prefix`; NULL: no evacuations. */
	const char *operator_prefix;
	const char *evacuations_prefix; /**< prefix of the keys of evacuations; NULL: none */
};

#endif
