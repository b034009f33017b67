/*
 * Internal declarations of the group task:
 *
 *   group.c        the task: messages, timer, databases and servers of the snapshot
 *   group_work.c   requests: routing, retries, confirmation, end of the answer
 *   group_units.c  connections and slots lent by the ledger
 *   group_conn.c   protocol of an upstream connection
 */
#ifndef PW_DAEMON_TRAFFIC_GROUP_PRIVATE_H
#define PW_DAEMON_TRAFFIC_GROUP_PRIVATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../directory.h"
#include "group.h"
#include "ledger.h"
#include "pw/codec/pg_exchange.h"
#include "pw/core/stream.h"
#include "pw/decide/confirm.h"
#include "pw/decide/floor.h"
#include "pw/decide/pool.h"
#include "pw/decide/retry.h"
#include "pw/upstream/upstream.h"
#include "request.h"

/* Time that a read waits for a replica to catch up before it goes to the primary. */
#define REPLICA_WAIT_MAX_US UINT64_C(50000)
/* A connection that has been idle for longer is checked before it is used. */
#define CONN_IDLE_CHECK_US UINT64_C(5000000)
/* An idle connection is closed after this time, which frees its unit for other VMs. */
#define CONN_IDLE_TIMEOUT_US UINT64_C(10000000)
/* Timeouts of the check, the login and a rollback on a connection. */
#define CONN_CHECK_TIMEOUT_US    UINT64_C(500000)
#define CONN_LOGIN_TIMEOUT_US    UINT64_C(5000000)
#define CONN_ROLLBACK_TIMEOUT_US UINT64_C(2000000)
/*
 * Idle timeouts of a transaction, after which it is rolled back. The shorter one applies while
 * other requests wait for a slot of its server, here or on another VM: slots are few, and an
 * account must not keep others waiting.
 */
#define TRANSACTION_IDLE_TIMEOUT_US           UINT64_C(30000000)
#define TRANSACTION_IDLE_TIMEOUT_CONTENDED_US UINT64_C(5000000)
/* Backoff after a failed connect to a server. */
#define CONNECT_BACKOFF_US UINT64_C(50000)
/*
 * An answer is no longer read from the upstream while more bytes of it than this wait to be sent to
 * the caller. Reading resumes at half of it.
 */
#define ANSWER_WINDOW_BYTES 262144
/*
 * Largest part of an answer that is held back, for example until its write is confirmed. The
 * connection is discarded if the part gets larger.
 */
#define HELD_ANSWER_MAX_BYTES 1048576
/*
 * An answer up to this size is held back until it is confirmed. Of a larger one, the part before
 * the end of its first statement is passed on earlier.
 */
#define ANSWER_CONFIRMED_FIRST_BYTES 65536
/* Interval of the checks of waiting requests, units and idle connections. */
#define GROUP_TICK_INTERVAL_US UINT64_C(10000)
/* Backoff before the first retry of a request; doubles with each further one, up to the maximum. */
#define RETRY_BACKOFF_INITIAL_US UINT64_C(10000)
#define RETRY_BACKOFF_MAX_US     UINT64_C(200000)

struct group {
	struct pw_task task;
	const struct pw_directory *directory;
	uint32_t index;                     /**< of this task among the group tasks of the VM */
	const struct pw_document *document; /**< NULL until the first snapshot */
	GHashTable *databases;              /**< name -> struct database */
	GHashTable *works_by_request;       /**< request id -> struct work */
	GHashTable *works_by_session;       /**< session id -> struct work */
	GHashTable *pinned_conns; /**< session id -> struct conn that holds its transaction */
	struct pw_retry_budget retry_budget;
	struct pw_timer tick_timer;
	GArray *confirm_actions; /**< struct pw_confirm_action to be carried out */
	GPtrArray *closed_conns; /**< struct conn, freed by the next tick */
};

struct database {
	struct group *group;
	char *name;
	const struct pw_upstream *upstream;
	struct pw_floor_probes probes; /**< latest probe of each server */
	struct pw_confirm *confirmations;
	GPtrArray *servers;         /**< struct server, in the order of the document */
	GPtrArray *retired_servers; /**< struct server that is no longer in the document; freed
				       once it has no connections */
	GQueue wait_queue;          /**< struct work in state WORK_WAITING */
	bool needs_replication;     /**< writes are acknowledged only once a majority has them */
	bool routing_waiting;       /**< work_route_waiting() is on the stack */
};

/* Units of one kind (connections or slots) that the ledger has lent to a server's pool. */
struct units {
	uint32_t held_count;
	uint32_t requested_count;  /**< requested from the ledger and not lent yet */
	uint64_t surplus_since_us; /**< since when more are held than needed; 0: no surplus */
	uint32_t recalled_count;   /**< recalled for other VMs, returned when free */
	uint64_t recalled_due_us;  /**< from then on the pool may not use recalled units */
	uint64_t starved_since_us; /**< since when requests wait without any slot; 0: not starved */
};

struct server {
	struct database *database;
	uint32_t index; /**< among the servers of the database */
	char *address;
	char *availability_zone;
	struct pw_pool *pool;
	GQueue idle_conns;                     /**< struct conn, most recently used first */
	GPtrArray *conns;                      /**< struct conn, all that are open or opening */
	struct pw_timer connect_backoff_timer; /**< end of the backoff after failed connects */
	uint32_t failed_connects; /**< failed connects, which the pool counts as opening until the
				     backoff ends */
	uint64_t rtt_us;          /**< round trip time of the last answered probe */
	struct units units[PW_UNITS_KIND_COUNT];
	uint32_t connection_limit; /**< of the whole fleet */
	uint32_t slot_limit;       /**< of the whole fleet */
	bool alive;                /**< as last reported by the monitor */
	bool leaving; /**< gets no new requests: marked so in the document, or retired */
	bool running_pool_actions; /**< server_run_pool_actions() is on the stack */
	uint64_t starved_until_us; /**< reads prefer other servers until then, for lack of slots */
};

enum work_state {
	WORK_WAITING,    /**< for a primary, a replica that has caught up, a probe, or the end of a
			     backoff */
	WORK_QUEUED,     /**< in the queue of the pool of `server` */
	WORK_RUNNING,    /**< on `conn` */
	WORK_CONFIRMING, /**< answered; the acknowledgement is held until it is confirmed */
};

/* A request, from its arrival at the group task to its end, over all attempts to run it. */
struct work {
	struct pw_request *request;
	struct database *database;
	struct server *server; /**< NULL while WORK_WAITING */
	struct conn *conn;     /**< NULL unless WORK_RUNNING */
	enum work_state state;
	/** Answer, or its part from the end of its first statement onward; NULL: nothing held. */
	GByteArray *held_answer;
	struct pw_position initial_floor;  /**< floor that the request arrived with */
	struct pw_position write_position; /**< read after the answer, on the same connection */
	uint64_t retry_not_before_us;      /**< end of the backoff before the next attempt */
	uint32_t failed_attempts;  /**< failed attempts, counted up to RETRY_ATTEMPTS_COUNTED_MAX */
	uint64_t uncredited_bytes; /**< bytes sent to the front task, less the credit for them */
	uint32_t parsed_count;     /**< ParseComplete messages, without hidden ones */
	char sqlstate[6];          /**< of the first ErrorResponse; empty: none */
	char transaction_status;   /**< as in ReadyForQuery, after the answer */
	bool statement_ended;      /**< the answer of the first statement has ended */
	bool answer_started;       /**< bytes of the answer were sent to the front task */
	bool abandoned;            /**< the session has ended; the answer is dropped */
	bool replica_wait_over;    /**< the read may go to the primary */
	bool may_have_written;     /**< a write of which an attempt was sent and not answered */
};

enum conn_state {
	CONN_CONNECTING, /**< the TCP connect is in progress */
	CONN_LOGGING_IN, /**< the upstream has to accept the login */
	CONN_IDLE,
	CONN_CHECKING,       /**< `work` waits while the connection is checked */
	CONN_READING_ANSWER, /**< the answer of `work` is being read */
	CONN_READING_STATUS, /**< the status row after a write is being read */
	CONN_PINNED,       /**< held by the open transaction of a session, no statement in flight */
	CONN_ROLLING_BACK, /**< a transaction is being rolled back */
};

struct conn {
	struct pw_stream stream;
	struct server *server;
	struct pw_timer timer;        /**< timeout of the current state */
	struct work *work;            /**< request that runs or waits for the check; NULL: none */
	uint64_t session_id;          /**< id of the session with the open transaction, if
					 `is_pinned` */
	uint64_t busy_since_us;       /**< when it was taken from the pool */
	uint64_t idle_since_us;       /**< end of the last use */
	uint64_t sent_bytes_before;   /**< stream.sent_bytes before the request was sent */
	uint32_t account_key;         /**< charged by the pool for the time that it is busy */
	uint32_t process_id;          /**< for cancel requests */
	uint32_t cancel_secret;       /**< for cancel requests */
	uint32_t hidden_answers_left; /**< answers to replayed messages, to be dropped */
	enum conn_state state;
	struct pw_exchange exchange;    /**< answers that are due */
	char token[PW_PG_TOKEN_SIZE];   /**< of the echo statement in flight */
	struct pw_server_status status; /**< read after a write */
	char transaction_status;        /**< of the last ReadyForQuery */
	bool has_status;                /**< `status` was read after the current write */
	bool is_pinned;                 /**< in `pinned_conns`, from the answer that leaves the
					   transaction open to its end */
	bool closed;                    /**< freed by the next tick */
	bool discard_when_idle;         /**< closed instead of reused, since a late cancel request
					   could hit another statement */
};

static inline uint64_t group_now_us(const struct group *g)
{
	return pw_loop_now_us(g->task.loop);
}

/* group.c */
/** Requests a probe of all servers of a database from the monitor. */
void group_request_probe(struct database *db);
/** @return the primary of the highest term by the latest status rows, or NULL */
struct server *group_find_primary(const struct database *db);
/** Carries out the actions that confirmations have appended to `confirm_actions`. */
void group_run_confirm_actions(struct database *db);

/* group_work.c */
/** Takes ownership of a request that has arrived, and starts to run it. */
void work_start(struct group *g, struct pw_request *r);
/** Chooses a server for a request and queues it there, or leaves it waiting. */
void work_route(struct work *w);
/** Routes the waiting requests of a database again; refuses those whose deadline has passed. */
void work_route_waiting(struct database *db);
/** Handles the complete answer: ends the request, or lets its write be confirmed first. */
void work_handle_answer(struct work *w);
/** Acknowledges a write that was confirmed. */
void work_handle_confirmed(struct work *w);
/**
 * Refuses a write whose outcome is unknown.
 *
 * @param replaced whether the primary that answered the write was replaced
 */
void work_handle_unconfirmed(struct work *w, bool replaced);
/** Retries a request after a failed attempt, or refuses it. */
void work_handle_failed_attempt(struct work *w, enum pw_attempt_failure failure,
				const char *reason);
/** Ends a request with an error. */
void work_refuse(struct work *w, const char *sqlstate, enum pw_counter counter, const char *text);
/** Handles a cancel request: refuses a request that waits, cancels one that runs. */
void work_cancel(struct work *w);
/**
 * Ends a request because the VM stops: refuses one that waits, answers one that a server has got
 * with the error that the outcome is unknown.
 */
void work_stop(struct work *w);
/** Drops the session's request and rolls its transaction back. */
void work_handle_session_end(struct group *g, uint64_t session_id);
/** Sends a part of the answer to the front task. */
void work_forward_answer(struct work *w, GByteArray *bytes);
/** Frees the request without an answer. */
void work_free(struct work *w);
/** Carries out the actions of a server's pool. */
void server_run_pool_actions(struct server *s);
/** Takes the queued requests from a server that must not be used, and routes them again. */
void server_reroute_queued(struct server *s);
/** Takes the queued reads from a server, and routes them again. */
void server_reroute_queued_reads(struct server *s);

/* group_units.c */
/** Requests from the ledger the units that the pool lacks; returns recalled slots that are due. */
void units_update(struct server *s);
/** @return whether slots that this VM still holds are recalled for other VMs */
bool units_are_recalled(const struct server *s);
/** Handles a message of the ledger. */
void units_handle_message(struct server *s, const struct pw_units_msg *m);
/** Requests units that are needed, and returns those that have not been needed for a while. */
void units_tick(struct server *s, uint64_t now_us);

/* group_conn.c */
/** Starts to connect to a server. @return 0, or an error code if that failed at once */
int conn_open(struct server *s);
/** Runs a request; first checks the connection if it has been idle for long. */
void conn_run_work(struct conn *c, struct work *w);
/** Closes the connection without telling the pool; the next tick frees it. */
void conn_close(struct conn *c);
/** Takes the transaction from its session and rolls it back. */
void conn_roll_back(struct conn *c);
/** Sends a cancel request for the statement that the connection runs. */
void conn_send_cancel(struct conn *c);
/** Rolls back the connection's transaction if it has been idle for too long. */
void conn_roll_back_if_idle(struct conn *c);
/**
 * Fails the connections of a server that does not answer, where that is safe: those being checked,
 * and those with a read that has got no answer yet. Writes wait for their answer.
 *
 * @param replaced another server is the live primary; then all that run a request or hold a
 *                 transaction fail
 */
void conn_fail_unresponsive(struct server *s, bool replaced);

#endif
