/**
 * @file document.h
 * The service document: JSON text parsed into an immutable, reference-counted snapshot. The same
 * validation runs in pimentowingctl and in pimentowingd. docs/document.md describes the format.
 */
#ifndef PW_CODEC_DOCUMENT_H
#define PW_CODEC_DOCUMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pw/codec/key.h"
#include "pw/core/findings.h"

#define PW_DOCUMENT_VERSION 1

/* Limits on the text, which bound the memory that parsing a hostile document takes. */
#define PW_DOCUMENT_MAX_BYTES    1048576 /**< maximum size of a value in the store */
#define PW_DOCUMENT_MAX_DEPTH    16
#define PW_DOCUMENT_MAX_VALUES   131072
#define PW_DOCUMENT_MAX_FINDINGS 200 /**< further findings are counted, but not listed */

/* Limits on the contents. */
#define PW_DOCUMENT_MAX_DATABASES   1024
#define PW_DOCUMENT_MAX_SERVERS     16 /**< per database */
#define PW_DOCUMENT_MAX_ROUTES      4096
#define PW_DOCUMENT_MAX_MATCHES     64 /**< per route */
#define PW_DOCUMENT_MAX_ACCOUNTS    4096
#define PW_DOCUMENT_MAX_KEYS        16 /**< per account */
#define PW_DOCUMENT_MAX_DRAINING    8192
#define PW_DOCUMENT_MAX_NAME_BYTES  64
#define PW_DOCUMENT_MAX_MATCH_BYTES 256

/**
 * Buffer size for pw_document_normalise_statement() that suffices to match every prefix: one
 * character beyond the longest prefix, to find the end of its last word, and a NUL.
 */
#define PW_DOCUMENT_STATEMENT_BYTES (PW_DOCUMENT_MAX_MATCH_BYTES + 2)

/** What must be confirmed before a write is acknowledged. */
enum pw_durability {
	PW_DURABILITY_TERM,       /**< a majority of the servers is at the write's term */
	PW_DURABILITY_REPLICATED, /**< a majority is at that term and has the write */
};

enum pw_route_access {
	PW_ACCESS_OPEN,  /**< callers need no key */
	PW_ACCESS_KEYED, /**< callers need the key of an account */
};

enum pw_route_kind {
	PW_ROUTE_READ,
	PW_ROUTE_WRITE,
};

/** Which connections form a session. The reads of a session see its own writes. */
enum pw_route_session {
	/**
	 * The session may use any number of connections. Each read probes the servers, unless the
	 * caller sent a position token.
	 */
	PW_ROUTE_SESSION_STRICT,
	/** The session is one connection. The servers are probed once. */
	PW_ROUTE_SESSION_CONNECTION,
};

struct pw_document_server {
	const char *name;    /**< unique within its database */
	const char *address; /**< "IP:PORT", unique within the document; see pw_address_parse() */
	const char *availability_zone;
	bool leaving;         /**< gets no new work */
	uint32_t connections; /**< maximum of open connections, over the whole fleet */
	uint32_t slots;       /**< maximum of busy connections, over the whole fleet */
};

struct pw_document_database {
	const char *name;
	const char *kind; /**< kind of group; not used, since there is only one upstream vtable */
	enum pw_durability durability;
	struct pw_document_server *servers;
	uint32_t server_count;
	uint32_t index; /**< position in pw_document.databases */
};

struct pw_document_route {
	const char *name;
	const char *database_name;
	const struct pw_document_database *database;
	char **prefixes; /**< statement prefixes, normalised */
	uint32_t prefix_count;
	enum pw_route_access access;
	enum pw_route_kind kind;
	enum pw_route_session session;
	uint32_t stale_age_ms; /**< maximum age of the data that a read sees; 0: no limit */
	uint32_t timeout_ms;   /**< timeout of one statement */
	bool repeatable;       /**< statements are idempotent and may be retried */
};

struct pw_document_account {
	const char *name;
	struct pw_key_hash *keys;
	uint32_t key_count;
	uint32_t rate_per_s;      /**< statements per second, over the whole fleet */
	uint32_t burst;           /**< size of the token bucket, in statements */
	uint32_t max_connections; /**< caller connections at one VM; 0: only the limit of the VM */
	bool all_databases;
	char **database_names; /**< databases that it may use unless `all_databases` */
	uint32_t database_count;
	uint32_t index; /**< position in pw_document.accounts */
};

struct pw_document_limits {
	/** Maximum number of requests of one account that wait for one server. */
	uint32_t queue_per_account;
	uint32_t request_deadline_ms; /**< maximum wait before a request is sent to a server */
	/** Maximum size of one caller message; a batch of messages may be twice as large. */
	uint32_t max_message_bytes;
	uint32_t max_connections;      /**< maximum of caller connections at one VM */
	uint64_t account_memory_bytes; /**< maximum of buffers of one account at one VM */
	uint32_t open_rate_per_s;      /**< statements per second without an account, at one VM */
	uint32_t open_burst;           /**< size of the token bucket for these statements */
};

/** A snapshot of the document, immutable after pw_document_parse(). */
struct pw_document {
	uint64_t revision; /**< store revision of the text; 0 if it is not stored */
	const char *service;
	uint32_t version; /**< PW_DOCUMENT_VERSION */
	struct pw_document_database *databases;
	uint32_t database_count;
	struct pw_document_route *routes;
	uint32_t route_count;
	struct pw_document_account *accounts;
	uint32_t account_count;
	struct pw_document_limits limits;
	char **draining; /**< names of the VMs that are being drained */
	uint32_t draining_count;
	const char *text; /**< the JSON text, for peers with an older revision */
	size_t text_size_bytes;
};

/**
 * Parses and validates a document.
 *
 * @param out      receives a snapshot with one reference, or NULL on failure
 * @param revision store revision of the text; 0 if it is not stored
 * @param f        receives the findings, each with its location in the document
 * @return 0, or PW_EINVALID if there are findings
 */
int pw_document_parse(const struct pw_document **out, const char *text, size_t size_bytes,
		      uint64_t revision, struct pw_findings *f);

/** Takes a reference. May be called by any thread that holds one. */
const struct pw_document *pw_document_ref(const struct pw_document *d);

/** Releases a reference; the last one frees the snapshot. NULL is allowed. */
void pw_document_unref(const struct pw_document *d);

/** @return whether the text is valid as a name of a database, an account, a VM and so on */
bool pw_document_name_is_valid(const char *text);

/** @return the database of that name, or NULL */
const struct pw_document_database *pw_document_find_database(const struct pw_document *d,
							     const char *name);

/** @return the account of that name, or NULL */
const struct pw_document_account *pw_document_find_account(const struct pw_document *d,
							   const char *name);

/** @return whether the VM is being drained, that is, gets no new work */
bool pw_document_is_draining(const struct pw_document *d, const char *vm);

/** @return whether the account may use the database */
bool pw_document_account_allows(const struct pw_document_account *a,
				const struct pw_document_database *db);

/**
 * Normalises a statement for the comparison with prefixes of routes: ASCII letters in lower case,
 * each run of white space as one space, none at the start and the end. Stops when the buffer is
 * full.
 *
 * @return length without the terminating NUL
 */
size_t pw_document_normalise_statement(char *out, size_t out_size_bytes, const char *text,
				       size_t size_bytes);

/**
 * Finds the first route of a database that has a matching prefix. A prefix that ends in a character
 * of an SQL identifier matches whole words only: "select * from schedule" does not match
 * "select * from schedule_private".
 *
 * @param statement result of pw_document_normalise_statement() with a buffer of
 *                  PW_DOCUMENT_STATEMENT_BYTES
 * @return the route, or NULL
 */
const struct pw_document_route *pw_document_find_route(const struct pw_document *d,
						       const struct pw_document_database *db,
						       const char *statement);

/** A JSON member that the parser knows. A test checks that docs/document.md describes each one. */
struct pw_document_member {
	const char *section; /**< for example "databases[].servers[]"; "" for the root object */
	const char *name;
};

/** Gets the i-th known member, from 0. @return false if there are no more than `i` members */
bool pw_document_get_member(struct pw_document_member *out, size_t i);

#endif
