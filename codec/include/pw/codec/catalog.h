/**
 * @file catalog.h
 * What the environment publishes for the proxy, as immutable, reference-counted snapshots: the
 * catalogue of databases, client accounts and limits that operators write, and the list of servers
 * that are registered. Where and in which format they are published is behind struct
 * pw_catalog_source.
 */
#ifndef PW_CODEC_CATALOG_H
#define PW_CODEC_CATALOG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pw/core/findings.h"

/** What a read on a route must see. */
enum pw_consistency {
	PW_CONSISTENCY_PRIMARY, /**< every acknowledged commit */
	PW_CONSISTENCY_BOUNDED, /**< commits older than the route's greatest age */
	PW_CONSISTENCY_SESSION, /**< those, and all commits of the session */
};

/** A replicated database: one primary and its replicas. */
struct pw_catalog_group {
	char *name;
	uint32_t connection_limit; /**< of each server, over the whole fleet */
	uint32_t sync_replicas;    /**< replicas that have a commit before it is acknowledged */
};

/** A database name that callers connect to. */
struct pw_catalog_route {
	char *database;
	char *group;
	enum pw_consistency consistency;
	uint32_t stale_age_ms; /**< greatest age of data; 0 on primary routes */
	uint32_t timeout_ms;   /**< of one statement */
	uint32_t target_ms;    /**< time in which a caller's operation should be answered */
	uint32_t priority;     /**< 0 is the highest */
	bool open;             /**< needs no key */
};

struct pw_catalog_account {
	char *name;
	uint32_t rate_per_s; /**< operations, over the whole fleet */
	uint32_t burst;
	uint32_t priority; /**< 0 is the highest */
};

struct pw_catalog {
	uint64_t version;             /**< as operators number it */
	GPtrArray *groups;            /**< struct pw_catalog_group */
	GPtrArray *routes;            /**< struct pw_catalog_route */
	GPtrArray *accounts;          /**< struct pw_catalog_account */
	uint32_t transaction_idle_ms; /**< an idle transaction may be ended after this time */
	GHashTable *by_database;      /**< database name -> route */
	GHashTable *by_group;         /**< name -> group */
	GHashTable *by_account;       /**< name -> account */
	GHashTable *by_key;           /**< SHA-256 of a key in hexadecimal -> account */
};

/** @return empty catalogue with one reference, to be filled before it is shared */
struct pw_catalog *pw_catalog_new(void);
struct pw_catalog *pw_catalog_ref(const struct pw_catalog *c);
void pw_catalog_unref(const struct pw_catalog *c);

/* Each takes ownership of the item. A second item of the same name replaces the first one in
 * look-ups. */
void pw_catalog_add_group(struct pw_catalog *c, struct pw_catalog_group *g);
void pw_catalog_add_route(struct pw_catalog *c, struct pw_catalog_route *r);
void pw_catalog_add_account(struct pw_catalog *c, struct pw_catalog_account *a);
/** Adds a key of an account; only its hash is kept. */
void pw_catalog_add_key(struct pw_catalog *c, const struct pw_catalog_account *a, const char *key);

/** @return route, or NULL */
const struct pw_catalog_route *pw_catalog_route(const struct pw_catalog *c, const char *database);
/** @return group, or NULL */
const struct pw_catalog_group *pw_catalog_group(const struct pw_catalog *c, const char *name);
/** @return account, or NULL */
const struct pw_catalog_account *pw_catalog_account(const struct pw_catalog *c, const char *name);

/** Size of the hash of a key as text. */
#define PW_CATALOG_KEY_SIZE 65

/** Hashes a key as the catalogue does. */
void pw_catalog_hash_key(char out[PW_CATALOG_KEY_SIZE], const char *key);

/** @return account that the key with this hash belongs to, or NULL */
const struct pw_catalog_account *pw_catalog_account_of_key(const struct pw_catalog *c,
							   const char *key_hash);

/** A server as it registered itself. */
struct pw_server_entry {
	char *id;
	char *group;
	char *address; /**< IP:PORT */
	char *availability_zone;
	uint64_t started_ms; /**< Unix time of its start; tells restarts under one id apart */
	uint32_t slots;
	uint32_t warmup_left_ms;
	bool leaving;
	bool primary; /**< how it sees itself */
};

void pw_server_entry_free(struct pw_server_entry *e);
struct pw_server_entry *pw_server_entry_copy(const struct pw_server_entry *e);

/** All servers that may be used, as one snapshot. */
struct pw_server_list {
	GPtrArray *entries; /**< struct pw_server_entry, by id */
};

struct pw_server_list *pw_server_list_new(void);
struct pw_server_list *pw_server_list_ref(const struct pw_server_list *l);
void pw_server_list_unref(const struct pw_server_list *l);
/** @return entry of that id, or NULL */
const struct pw_server_entry *pw_server_list_find(const struct pw_server_list *l, const char *id);

struct pw_catalog_source;

struct pw_catalog_source_ops {
	/** Decodes the published catalogue. @return 0, or PW_EINVALID with findings */
	int (*catalog)(struct pw_catalog **out, const char *text, size_t size_bytes,
		       struct pw_findings *f);
	/** Decodes the entry of a server. @return 0, or PW_EINVALID when it names no server */
	int (*server)(struct pw_server_entry **out, const char *key, const char *text,
		      size_t size_bytes);
};

/** Where the environment publishes: keys of the store, and the format of their values. */
struct pw_catalog_source {
	const struct pw_catalog_source_ops *ops;
	const char *catalog_key;
	const char *servers_prefix;
};

#endif
