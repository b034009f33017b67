/*
 * State and functions that the parts of the monitor task share. monitor.c keeps the monitored
 * groups in line with the service document and runs the actions of the decision modules,
 * monitor_server.c handles the protocol of the control connections, monitor_store.c reads and
 * writes the leases and primary records at the store.
 */
#ifndef PW_DAEMON_CONTROL_MONITOR_PRIVATE_H
#define PW_DAEMON_CONTROL_MONITOR_PRIVATE_H

#include <glib.h>

#include "../directory.h"
#include "monitor.h"
#include "pw/codec/document.h"
#include "pw/codec/pg_exchange.h"
#include "pw/core/clock.h"
#include "pw/core/stream.h"
#include "pw/decide/failover.h"
#include "pw/decide/health.h"
#include "pw/upstream/upstream.h"
#include "store.h"

struct monitored_group;
struct monitored_server;

struct monitor {
	struct pw_task task;
	const struct pw_directory *directory;
	struct pw_timer tick_timer;
	GHashTable *groups;            /**< database -> struct monitored_group */
	GHashTable *store_requests;    /**< tag -> struct store_request */
	GPtrArray *closed_connections; /**< struct control_connection that the next tick frees */
	GArray *peer_ids;              /**< identities (uint64_t) of the other members */
	uint32_t rank;                 /**< of this VM; delays its failover attempts */
	uint64_t last_tag;
	uint64_t admin_status_due_us; /**< time of the next status for the admin task */
	bool has_fleet;               /**< `peer_ids` and `rank` are known */
	char *promoter_name; /**< sent with fence and promote; unique to this incarnation */
};

struct monitored_group {
	struct monitor *monitor;
	char *database;
	const struct pw_upstream *upstream;
	struct pw_failover *failover;
	GPtrArray *servers; /**< struct monitored_server, in the order of the document */
};

enum statement_kind {
	STATEMENT_STATUS,
	STATEMENT_FENCE,
	STATEMENT_PROMOTE,
	STATEMENT_FOLLOW,
};

/*
 * A statement on a control connection. After fence and promote, the status is read on the same
 * connection.
 */
struct control_statement {
	enum statement_kind kind;
	uint64_t term;
	char *primary;    /**< for follow: address of the primary */
	uint64_t sent_us; /**< when the status was requested */
	struct pw_server_status status;
	bool reading_status; /**< fence or promote is answered, the status is requested */
	bool refused;        /**< the server has answered with an error */
	bool has_status;     /**< `status` is set */
};

enum control_state {
	CONTROL_CONNECTING,
	CONTROL_LOGIN,
	CONTROL_READY,
};

struct control_connection {
	struct pw_stream stream;
	struct monitored_server *server;
	enum control_state state;
	struct control_statement *in_flight; /**< NULL: none */
	struct pw_exchange exchange;         /**< answers that are due */
	char token[PW_PG_TOKEN_SIZE];        /**< of the echo statement in flight */
	uint64_t wait_started_us; /**< start of the connect, or send time of the last query */
	bool closed;              /**< freed by the next tick */
};

struct monitored_server {
	struct monitored_group *group;
	uint32_t index; /**< in the group's `servers` */
	char *address;
	struct pw_health health;
	struct pw_server_status status;
	struct control_connection *main_connection; /**< NULL while closed */
	/** Second connection, opened to check whether a silent server answers on it; NULL: none. */
	struct control_connection *fresh_connection;
	GQueue queued_statements; /**< struct control_statement, for the main connection */
	uint64_t probe_due_us;    /**< time of the next probe */
	uint64_t connect_due_us;  /**< earliest time of the next connect */
	bool probe_requested;     /**< a probe has to be sent once the main connection is idle */
	bool has_status;          /**< `status` is set */
};

static inline uint64_t monitor_now_us(const struct monitored_group *g)
{
	return pw_loop_now_us(g->monitor->task.loop);
}

/* monitor.c */
/** Runs actions (struct pw_failover_action) and frees the array. */
void monitor_run_actions(struct monitored_group *g, GArray *actions);
GArray *monitor_actions_new(void);
/** Runs the actions after a health event (set of enum pw_health_action). */
void monitor_handle_health(struct monitored_server *s, uint32_t actions);
/** Handles the answer to a statement on a control connection. */
void monitor_handle_answer(struct monitored_server *s, const struct control_statement *stmt);

/* monitor_server.c */
/**
 * Starts to connect to a server. If that fails at once, the slot stays NULL and, for the main
 * connection, a failure of the server is recorded.
 *
 * @param slot the server's `main_connection` or `fresh_connection`, which receives the connection
 */
void server_open_connection(struct monitored_server *s, struct control_connection **slot);
/**
 * Records that a probe is due, and sends it on the main connection as soon as the connection is
 * idle and no other statement is queued.
 */
void server_request_probe(struct monitored_server *s);
/**
 * Queues a statement for the main connection, unless one of the same kind and term is queued.
 * Without a connection it is dropped; the decision module repeats it.
 */
void server_queue_statement(struct monitored_server *s, enum statement_kind kind, uint64_t term,
			    const char *primary);
/** Checks timeouts, opens the main connection if it is closed, and sends a probe that is due. */
void server_tick(struct monitored_server *s, uint64_t now_us);
/** Closes the connections and frees what `s` owns, but not `s` itself. */
void server_dispose(struct monitored_server *s);

/* monitor_store.c */
/** Sends the request of an action on the lease or the primary record to the store task. */
void store_request_send(struct monitored_group *g, const struct pw_failover_action *a);
void store_request_handle_result(struct monitor *m, const struct pw_store_result_msg *result);
void store_request_free(gpointer data);

#endif
