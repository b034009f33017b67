/**
 * @file harness_fleet.h
 * Starts a fleet of processes: the stand-in store, three databases of three stand-in servers each,
 * and proxies, with the service document docs/example.json adapted to free ports.
 */
#ifndef PW_TESTS_HARNESS_FLEET_H
#define PW_TESTS_HARNESS_FLEET_H

#include "harness.h"

#define PW_FLEET_DATABASE_COUNT       3
#define PW_FLEET_SERVERS_PER_DATABASE 3
#define PW_FLEET_PROXIES_MAX          9

enum pw_fleet_database { PW_FLEET_ORDERS, PW_FLEET_CATALOG, PW_FLEET_BILLING };

struct pw_fleet_options {
	uint32_t proxy_count;
	uint32_t lag_ms; /**< initial replication lag of the replicas */
	/** Pairs of a text in the document and its replacement, NULL-terminated, or NULL. */
	const char *const *document_edits;
	/** Additional arguments of the servers, NULL-terminated, or NULL. */
	const char *const *server_args;
	/** Additional environment of the proxies as NAME=VALUE, NULL-terminated, or NULL. */
	const char *const *proxy_env;
	/** Connects to no proxy as a caller; pw_fleet_wait_ready() then asks for the members only.
	 */
	bool without_callers;
};

struct pw_fleet_proxy {
	struct pw_harness_process *process; /**< its `port` is the caller port or,
					       without_callers, the API port */
	uint16_t caller_port;
	uint16_t peer_port;
	uint16_t api_port;
};

struct pw_fleet {
	struct pw_harness *harness;
	struct pw_fleet_options options;
	struct pw_harness_process *store;
	uint16_t store_port;
	struct pw_harness_process *servers[PW_FLEET_DATABASE_COUNT][PW_FLEET_SERVERS_PER_DATABASE];
	uint16_t server_ports[PW_FLEET_DATABASE_COUNT][PW_FLEET_SERVERS_PER_DATABASE];
	struct pw_fleet_proxy proxies[PW_FLEET_PROXIES_MAX];
};

/**
 * Starts all processes and waits as pw_fleet_wait_ready() does; fails the test if that times out.
 * Server 0 of each database is its primary.
 */
struct pw_fleet *pw_fleet_new(const struct pw_fleet_options *o);
/** Kills the processes that still run and frees the fleet. */
void pw_fleet_free(struct pw_fleet *f);

/** Starts a proxy, or restarts one that has ended, with the same ports and the same name. */
void pw_fleet_start_proxy(struct pw_fleet *f, uint32_t proxy);
/** Starts the store, or restarts it after it has ended, on the same port and without data. */
void pw_fleet_start_store(struct pw_fleet *f);
/**
 * Starts a server, or restarts one that has ended, without data: as a replica of server `primary`,
 * or as the primary if both numbers are equal.
 */
void pw_fleet_start_server(struct pw_fleet *f, uint32_t database, uint32_t server,
			   uint32_t primary);

/**
 * Waits until every proxy holds the quorum lease, lists all proxies as members and serves all
 * databases.
 *
 * @return whether this was so before the timeout
 */
bool pw_fleet_wait_ready(struct pw_fleet *f, uint32_t timeout_ms);

/**
 * Runs pimentowingctl with the store and the APIs of the fleet.
 *
 * @param args arguments, NULL-terminated
 * @return exit status, or -1 if a signal ended it
 */
int pw_fleet_run_ctl(struct pw_fleet *f, const char *const *args);
/**
 * Applies the document with the edits of the options and then `edits`, in the same format. Fails
 * the test if pimentowingctl does not succeed.
 */
void pw_fleet_apply_document(struct pw_fleet *f, const char *const *edits);

/**
 * @return body of the response to GET `path` at a proxy's API, whatever its status, or NULL without
 *         a response; the caller frees it
 */
char *pw_fleet_http_get(const struct pw_fleet *f, uint32_t proxy, const char *path);
/**
 * Reads a counter from GET /metrics. Fails the test if there is no counter of this name.
 *
 * @param name name without the prefix "pimentowing_"
 * @return value, or 0 without a response
 */
uint64_t pw_fleet_read_counter(const struct pw_fleet *f, uint32_t proxy, const char *name);

/** @return key of an account of docs/example-keys.txt */
const char *pw_fleet_account_key(const char *account);
/** @return login of an account at a proxy, with its key of docs/example-keys.txt */
struct pw_harness_login pw_fleet_login(const struct pw_fleet *f, uint32_t proxy,
				       const char *account, const char *database);
/**
 * Runs a control statement directly on a server, on a connection that no fault of the server except
 * crash affects.
 *
 * @return as pw_harness_connect_and_query()
 */
char *pw_fleet_control_query(const struct pw_fleet *f, uint32_t database, uint32_t server,
			     const char *sql);
/** Sets the fault `name` of a server to `value`; pw_db_server_inject_fault() lists the faults. */
void pw_fleet_set_fault(const struct pw_fleet *f, uint32_t database, uint32_t server,
			const char *name, const char *value);
/** @return server with the highest term among those that report the role primary, or -1 */
int32_t pw_fleet_find_primary(const struct pw_fleet *f, uint32_t database);
/**
 * Makes a server the primary, in the term after its current one, with the control statements that a
 * promoting proxy sends: fences all servers, promotes this one and lets the others follow it.
 */
void pw_fleet_promote(const struct pw_fleet *f, uint32_t database, uint32_t server);
/**
 * Waits until all servers of a database are at the term and log position of the primary, and then
 * until each running proxy knows the primary. Each of the waits has the whole timeout.
 *
 * @return whether this was so before the timeouts
 */
bool pw_fleet_wait_replicated(const struct pw_fleet *f, uint32_t database, uint32_t timeout_ms);

#endif
