/**
 * @file server.h
 * State of the stand-in database server, shared by the files of this folder. The process has a
 * single task, which owns all of it.
 */
#ifndef PW_STANDIN_SERVER_H
#define PW_STANDIN_SERVER_H

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stddef.h>

#include "data.h"
#include "pw/codec/pg.h"
#include "pw/core/clock.h"
#include "pw/core/task.h"
#include "sql.h"

/** @return the struct of `type` whose `member` is at `p` */
#define PW_DB_CONTAINER_OF(p, type, member) ((type *)(void *)((char *)(p)-offsetof(type, member)))

/** Columns of a row of the replication stream: the message kind and five fields. */
#define PW_DB_STREAM_COLUMNS 6

/** Command-line options. */
struct pw_db_options {
	char *listen;  /**< IP:PORT */
	char *name;    /**< name in logs and the answer to SHOW name; NULL: none */
	char *primary; /**< IP:PORT of the primary to follow; NULL: starts as primary */
	char *user, *password;
	char *control_user, *control_password;
	int32_t lag_ms;       /**< replication lag */
	int32_t statement_us; /**< run time of each statement */
	int32_t slots;        /**< maximum number of statements that run at once */
	/** Maximum number of proxy connections, control connections included. */
	int32_t connections_max;
};

/** A fenced server refuses writes and has no replication stream. */
enum pw_db_role { PW_DB_ROLE_PRIMARY, PW_DB_ROLE_REPLICA, PW_DB_ROLE_FENCED };

/** Receiving end of replication. */
struct pw_db_replica {
	struct pw_source source;     /**< fd is -1 while disconnected */
	struct pw_timer retry_timer; /**< next connection attempt, or timeout of a silent stream */
	struct pw_timer apply_timer; /**< time at which the oldest pending message is due */
	char *primary_address;       /**< primary to replicate from, or NULL */
	GByteArray *in;              /**< received bytes that are not parsed yet */
	GPtrArray *partial_changes; /**< received changes of a log entry that is still incomplete */
	GQueue pending;             /**< of struct pending_message, held until the lag has passed */
	bool start_accepted;        /**< the stream has started and fits the local log */
	/**
	 * Time at which the last stream message arrived, or at which the server stepped down as
	 * primary or began to follow a primary, whichever is later.
	 */
	uint64_t last_received_us;
	/**
	 * Time at which the primary generated the last applied message; 0: no message was applied.
	 * A primary that steps down sets the time at which it does so.
	 */
	uint64_t applied_generated_us;
};

/** Part of an answer that the fault "repeat_answers" sends twice. */
enum pw_db_repeat_part {
	PW_DB_REPEAT_WHOLE,
	PW_DB_REPEAT_END, /**< its completion or error, and ReadyForQuery */
	PW_DB_REPEAT_READY,
	PW_DB_REPEAT_ROWS,
};

struct pw_db_server {
	struct pw_task task;
	const struct pw_db_options *options;
	struct pw_source listener;
	struct pw_source signals;
	struct pw_timer heartbeat_timer;
	struct pw_timer reap_timer; /**< frees `closed_conns` */
	GPtrArray *conns;           /**< of open struct pw_db_conn */
	/** Freed by a timer because functions on the call stack may still use them. */
	GPtrArray *closed_conns;
	GQueue slot_queue;    /**< connections whose statement waits for a slot */
	int32_t slots_in_use; /**< number of statements that run now */
	/** Peak of open proxy connections, control connections included. */
	int32_t connections_peak;
	/** Peak of proxy connections in a statement or transaction, without control connections. */
	int32_t busy_peak;
	uint32_t last_pid;
	struct pw_db_data data;
	struct pw_db_replica replica;
	enum pw_db_role role;
	uint64_t term;
	/** LSN of the last log entry when the role began; a replica has its primary's value. */
	uint64_t term_start_lsn;
	uint64_t fence_term;  /**< term of the last pw_fence() that took effect; 0: none */
	char *fence_promoter; /**< promoter that sent that pw_fence(); NULL: none */
	/* Injected faults. */
	int32_t lag_ms; /**< replication lag; at first that of the options */
	int32_t answer_delay_ms;
	/** Number of further commits after which the connection is closed instead of an answer. */
	int32_t answers_to_drop;
	uint32_t repeat_every; /**< answers of which one is sent twice; 0: none */
	uint32_t repeat_delay_ms;
	uint32_t repeat_counter;
	enum pw_db_repeat_part repeat_part;
	bool refuse_connections;
	GHashTable *partitioned_applications; /**< set of application names; "*": all */
};

enum pw_db_conn_state {
	PW_DB_CONN_STARTUP,
	PW_DB_CONN_PASSWORD,
	PW_DB_CONN_READY,
	PW_DB_CONN_STREAMING,
};

/** Progress of a connection's current statement. */
enum pw_db_statement_phase {
	PW_DB_PHASE_IDLE,
	PW_DB_PHASE_QUEUED, /**< waits for a slot */
	PW_DB_PHASE_RUNNING,
	PW_DB_PHASE_ANSWER_DELAYED, /**< the statement is finished; a fault delays its answer */
};

struct pw_db_portal {
	struct pw_sql *sql;
	char **params;
	uint16_t param_count;
};

struct pw_db_conn {
	struct pw_source source;
	struct pw_timer timer; /**< end of the statement's run time or of the answer's delay */
	struct pw_db_server *server;
	GByteArray *in;
	GByteArray *out;
	GByteArray *repeated; /**< second answer, due when `repeat_timer` expires */
	struct pw_timer repeat_timer;
	guint answer_offset; /**< where the current answer starts in `out` */
	enum pw_db_conn_state state;
	enum pw_db_statement_phase phase;
	char *user;
	char *application;
	uint32_t pid, secret;
	bool is_control;           /**< logged in as the control user */
	bool counts_towards_limit; /**< counts towards the connection limit */
	bool closed;               /**< the socket is closed; a timer frees the connection */
	bool processing;           /**< in the message loop; prevents handling a message twice */
	bool close_when_sent;      /**< the connection is closed once the output buffer is empty */
	bool eof;             /**< the peer has ended its input, or the connection has failed */
	bool discard_output;  /**< answers are discarded and not sent */
	bool in_batch;        /**< between a message of the extended protocol and Sync or Flush */
	bool skip_until_sync; /**< after an error in the extended protocol */
	char transaction_status;         /**< as in ReadyForQuery: 'I', 'T' or 'E' */
	GPtrArray *changes;              /**< uncommitted changes of the transaction */
	uint64_t changes_term;           /**< term in which the first of `changes` was made */
	struct pw_db_portal statement;   /**< statement in progress */
	uint64_t statement_term;         /**< term of the server when `statement` arrived */
	bool uses_extended_protocol;     /**< `statement` came as an Execute message */
	uint64_t stream_next_lsn;        /**< next log entry to send while streaming */
	GHashTable *prepared_statements; /**< name to struct pw_sql */
	GHashTable *portals;             /**< name to struct pw_db_portal */
	GHashTable *settings;            /**< name to value, from the start-up message and SET */
};

/* server.c */
extern const struct pw_task_ops pw_db_server_ops;
const char *pw_db_server_role_name(const struct pw_db_server *s);
/**
 * Runs pw_fence(): stops writes and replication, and adopts the new term.
 *
 * @return 0, even if the same promoter has already fenced the server for this term; PW_ECONFLICT if
 * the term is not above the server's term
 */
int pw_db_server_fence(struct pw_db_server *s, uint64_t term, const char *promoter);
/**
 * Runs pw_promote(): makes the server the primary of its term.
 *
 * @return 0, even if it is the primary already; PW_ECONFLICT if this promoter has not fenced the
 * server for this term, or if the server has received a pw_follow() since
 */
int pw_db_server_promote(struct pw_db_server *s, uint64_t term, const char *promoter);
/**
 * Runs pw_follow(): makes the server a replica of the primary at `address` (IP:PORT). Its role is
 * "fenced" until the replication stream has started.
 *
 * @return 0; PW_EINVALID if the address is malformed; PW_ECONFLICT if the term is below the
 * server's term, or if the server is the primary of this term
 */
int pw_db_server_follow(struct pw_db_server *s, uint64_t term, const char *address);
/**
 * Stops acting as primary or replica and adopts `term`.
 *
 * @param promoter recorded as the one that fenced the server; NULL leaves the record unchanged
 */
void pw_db_server_step_down(struct pw_db_server *s, uint64_t term, const char *promoter);
/**
 * Injects or ends a fault. Connections of the tests are exempt, except from "lag_ms" and "crash".
 *
 * - "delay_ms" delays answers by `value` milliseconds;
 * - "drop_answers" closes the connection after each of the next `value` commits, instead of
 *   answering;
 * - "refuse" closes new connections; the value "0" ends this;
 * - "lag_ms" sets the replication lag;
 * - "silent" discards all further answers on the connections that are open now; no effect if the
 *   value is "0";
 * - "cut" stops input and output of the connections of the application that `value` names; "*"
 *   names all applications, and "none" ends all cuts;
 * - "repeat_answers" sends every Nth answer twice: `value` is "N,DELAY_MS,PART", where PART is
 *   "whole", "end" (completion and ReadyForQuery), "ready" or "rows"; "0" ends this;
 * - "crash" exits; the value is ignored.
 *
 * @return 0, or PW_EINVALID if there is no fault of this name
 */
int pw_db_server_inject_fault(struct pw_db_server *s, const char *name, const char *value);
/**
 * Opens a non-blocking socket that listens on `address` (IP:PORT) or connects to it.
 *
 * @param out file descriptor of the socket; a connection may still be in progress
 * @return 0; PW_EINVALID if the address is malformed; PW_ESYSTEM if a system call fails
 */
int pw_db_socket_open(int32_t *out, const char *address, bool listening);

/* conn.c */
/** Starts to serve an accepted connection; takes ownership of `fd`. */
void pw_db_conn_new(struct pw_db_server *s, int32_t fd);
/** Closes the socket and removes the connection from the server's list; it is freed later. */
void pw_db_conn_close(struct pw_db_conn *c);
void pw_db_conn_free(struct pw_db_conn *c);
/**
 * Handles buffered input, sends output and sets the events to wait for. Also called when a fault
 * is injected or ends.
 */
void pw_db_conn_resume(struct pw_db_conn *c);
/** Ends an answer with ReadyForQuery. */
void pw_db_conn_put_ready(struct pw_db_conn *c);
/** @return whether a test opened the connection, so that faults don't apply to it */
bool pw_db_conn_is_test(const struct pw_db_conn *c);
/** @return number of open connections of proxies, control connections included */
int32_t pw_db_conn_count_from_proxies(const struct pw_db_server *s);
/** @return whether a fault cuts the server off from connections of `application` */
bool pw_db_server_is_partitioned(const struct pw_db_server *s, const char *application);

/* exec.c */
/**
 * Runs or queues a statement; takes ownership of the contents of `p`.
 *
 * @param extended whether the statement came as an Execute message of the extended protocol
 */
void pw_db_exec_start(struct pw_db_conn *c, struct pw_db_portal *p, bool extended);
/** Runs the statement whose run time is over, or releases the answer whose delay is over. */
void pw_db_exec_timer_expired(struct pw_db_conn *c);
/** Answers a queued or running statement with an error; does nothing if there is none. */
void pw_db_exec_cancel(struct pw_db_conn *c);
/** Releases the slot or removes the statement from the queue for one. */
void pw_db_exec_release_slot(struct pw_db_conn *c);
/**
 * Adds an ErrorResponse to the output, discards the transaction's changes and marks the transaction
 * as failed.
 *
 * @return PW_EINVALID
 */
int pw_db_exec_fail(struct pw_db_conn *c, const char *sqlstate, const char *message);
/**
 * Commits the implicit transaction that a Sync message ends.
 *
 * @return 0; PW_EINVALID if it was rolled back, which adds an ErrorResponse; PW_EUNAVAILABLE if a
 * fault closed the connection
 */
int pw_db_exec_sync(struct pw_db_conn *c);
/** Adds the description of the statement's result to the output: RowDescription or NoData. */
void pw_db_exec_describe(struct pw_db_conn *c, const struct pw_sql *q);
void pw_db_portal_clear(struct pw_db_portal *p);

/* replica.c */
void pw_db_replica_init(struct pw_db_server *s);
/** Starts to replicate from the primary at `address` (IP:PORT). */
void pw_db_replica_follow(struct pw_db_server *s, const char *address);
/** Closes the stream, discards the pending messages and forgets the primary. */
void pw_db_replica_stop(struct pw_db_server *s);
/** Resumes the stream and applies due messages, after a fault was injected or has ended. */
void pw_db_replica_resume(struct pw_db_server *s);
/**
 * Starts to stream log entries to a replica over this connection.
 *
 * @param log_term term of the last entry in the replica's log; 0 if the log is empty
 * @param lsn      LSN of that entry
 */
void pw_db_stream_start(struct pw_db_conn *c, uint64_t log_term, uint64_t lsn);
/** Adds log entries to the output buffer up to its limit. */
void pw_db_stream_fill(struct pw_db_conn *c);
/** Sends a heartbeat if the connection streams and all log entries are in its output. */
void pw_db_stream_heartbeat(struct pw_db_conn *c);

#endif
