/**
 * @file document_store.h
 * Interfaces to the stored document of a service and to the administration API of its proxies.
 * The tests of the commands replace both with implementations in memory.
 */
#ifndef PW_CTL_DOCUMENT_STORE_H
#define PW_CTL_DOCUMENT_STORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ctl_document_store;

struct ctl_document_store_ops {
	/**
	 * Reads the document.
	 *
	 * @param text               receives a copy, freed with g_free()
	 * @param revision           receives the revision of the text
	 * @param requested_revision revision to read, or 0 for the newest
	 * @return 0; PW_ENOTFOUND if there is no document, or if the requested revision was
	 * compacted, does not exist yet or is not a revision of the document; PW_EUNAVAILABLE if
	 * the call failed or got no response
	 */
	int (*get)(struct ctl_document_store *s, char **text, uint64_t *revision,
		   uint64_t requested_revision);
	/**
	 * Replaces the document if its revision is still `expected_revision`.
	 *
	 * @param revision          receives the new revision
	 * @param expected_revision revision to replace; 0 when there must be no document
	 * @return 0; PW_ECONFLICT if the document has another revision; PW_EUNAVAILABLE if the call
	 * failed or got no response: the document may have been replaced nevertheless
	 */
	int (*put)(struct ctl_document_store *s, uint64_t *revision, const char *text,
		   uint64_t expected_revision);
	void (*free)(struct ctl_document_store *s);
};

/** First member of a store of the service document. */
struct ctl_document_store {
	const struct ctl_document_store_ops *ops;
};

struct ctl_proxy_status {
	char *vm;          /**< name of the VM */
	uint64_t revision; /**< revision of the document that is in force at the proxy */
	bool fresh;    /**< the store or a peer confirmed the document recently; false: isolated */
	bool draining; /**< the document drains the VM, or the proxy is being stopped */
	/**
	 * Object with an entry for each database with synchronous replication, see /v1/status; NULL
	 * if the binding has none.
	 */
	json_t *replica_sets;
};

/** A statement whose server is asked for. */
struct ctl_explain_query {
	const char *account;
	const char *database;
	const char *kind;
	const char *position; /**< of the session's last commit; NULL: it has none */
};

struct ctl_api_client;

struct ctl_api_client_ops {
	/**
	 * Asks a proxy for its status. On success the caller disposes of `out` with
	 * ctl_proxy_status_dispose().
	 *
	 * @param address IP:PORT of the proxy's administration API
	 * @return 0; PW_EUNAVAILABLE if no response arrived; PW_EDENIED if the proxy rejected the
	 * token; PW_EINVALID for any other HTTP status than 200 and for a malformed response
	 */
	int (*get_status)(struct ctl_api_client *a, struct ctl_proxy_status *out,
			  const char *address);
	/**
	 * Asks a proxy which server a statement would get now.
	 *
	 * @param out receives the answer, an object that the caller releases
	 * @return as `get_status`; the message has the reason that the proxy gives
	 */
	int (*explain)(struct ctl_api_client *a, json_t **out, const char *address,
		       const struct ctl_explain_query *q);
	/**
	 * Has a proxy forget a server of a replica set.
	 *
	 * @param server NULL: the registered servers become the set, which has to be unknown
	 * @return as `get_status`; PW_ECONFLICT if somebody else changed the set meanwhile, and
	 *         PW_ETIMEOUT if the outcome is not known
	 */
	int (*forget_replica)(struct ctl_api_client *a, const char *address, const char *database,
			      const char *server);
	/** Waits between two rounds of status requests; returns at once in tests. */
	void (*sleep)(struct ctl_api_client *a, uint64_t duration_us);
	void (*free)(struct ctl_api_client *a);
};

void ctl_proxy_status_dispose(struct ctl_proxy_status *s);

/** First member of a client of the administration API. */
struct ctl_api_client {
	const struct ctl_api_client_ops *ops;
};

/**
 * Creates a document store that keeps the document in the key-value store. Each call of `get` and
 * `put` opens its own connection.
 *
 * @param addresses addresses of the key-value store as IP:PORT, ends with NULL
 * @param service   name of the service
 * @return 0
 */
int ctl_document_store_open(struct ctl_document_store **out, char **addresses, const char *service);

/**
 * Creates a client of the administration API over HTTP (GET /v1/status, /v1/explain).
 *
 * @param token   bearer token of the operator, or NULL
 * @param ca_path file of trusted certificates for HTTPS, a string that outlives the client; NULL
 *                for HTTP
 * @return 0, or PW_ESYSTEM if libcurl cannot be initialised
 */
int ctl_api_client_open(struct ctl_api_client **out, const char *token, const char *ca_path);

/** Creates an empty store in memory, for tests. @return 0 */
int ctl_document_store_memory_open(struct ctl_document_store **out);

#endif
