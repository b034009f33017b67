/*
 * Internal declarations of the gateway task. Calls go down this list of source files, and results
 * are reported back up:
 *
 *   gateway.c           the task: messages, listener, timers
 *   gateway_drain.c     planned stops: the drain of the sessions, its log and counts
 *   gateway_memory.c    memory of the sessions: which ones are closed for it
 *   gateway_explain.c   which server would get a statement, for operators
 *   gateway_session.c   caller sessions: statements, transaction, session variables, prepared
 *                       statements
 *   gateway_admission.c operations that wait for the rate of their account
 *   gateway_account.c   rates of client accounts
 *   gateway_work.c      statements that are sent to a server: queueing, attempts, answer
 *   gateway_group.c     replicated databases: servers, primary, choice of the server
 *   gateway_conn.c      connections to servers
 */
#ifndef PW_DAEMON_TRAFFIC_GATEWAY_PRIVATE_H
#define PW_DAEMON_TRAFFIC_GATEWAY_PRIVATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../binding.h"
#include "../control/catalog.h"
#include "../control/cluster.h"
#include "../directory.h"
#include "drain_log.h"
#include "explain.h"
#include "gateway.h"
#include "pw/core/clock.h"
#include "pw/core/counter.h"
#include "pw/core/stream.h"
#include "pw/decide/admission.h"
#include "pw/decide/answer.h"
#include "pw/decide/change.h"
#include "pw/decide/congestion.h"
#include "pw/decide/drain.h"
#include "pw/decide/history.h"
#include "pw/decide/memory.h"
#include "pw/decide/place.h"
#include "pw/decide/share.h"
#include "pw/decide/silence.h"
#include "pw/decide/speed.h"

/*
 * Maximum number of sessions of a task. It leaves file descriptors for servers, the store and other
 * VMs.
 */
#define GATEWAY_SESSIONS_MAX 3500
/* Descriptors that sessions leave free, or a quarter of all if that is less. */
#define GATEWAY_DESCRIPTORS_RESERVED 700
/* Interval of the checks of queues, silent servers, idle connections and draining sessions. */
#define GATEWAY_TICK_INTERVAL_US (50 * PW_US_PER_MS)
/* Longest interval between reports to the cluster task, see gateway_send_report(). */
#define GATEWAY_REPORT_INTERVAL_US (200 * PW_US_PER_MS)
/* A caller must open its session within this time. */
#define SESSION_OPEN_TIMEOUT_US (5 * PW_US_PER_S)
/* A caller that has not closed the connection this long after the last message is disconnected. */
#define SESSION_CLOSE_TIMEOUT_US (2 * PW_US_PER_S)
/*
 * A statement waits in the queue for at most these percentages of its route's target time and of
 * its timeout, whichever is less, and is then refused. The server needs the rest to answer in time.
 */
#define QUEUE_WAIT_TARGET_PERCENT  50
#define QUEUE_WAIT_TIMEOUT_PERCENT 45
/* Lower bound of the time that a statement may wait in the queue. */
#define QUEUE_WAIT_MIN_US (80 * PW_US_PER_MS)
/* Timeout of the TCP connect: several round trips between regions. */
#define CONN_CONNECT_TIMEOUT_US (200 * PW_US_PER_MS)
/* Timeout of the handshake, which waits for a slot of the server as a statement does. */
#define CONN_OPEN_TIMEOUT_US (600 * PW_US_PER_MS)
/* Timeout of a rollback. */
#define CONN_ROLLBACK_TIMEOUT_US (1500 * PW_US_PER_MS)
/*
 * Idle timeout of connections to a server while this task has no more of them than
 * CONN_IDLE_KEEP_PERCENT of its share.
 */
#define CONN_IDLE_TIMEOUT_US (20 * PW_US_PER_S)
/*
 * Idle timeout while the task has more connections to the server than that. The excess ones are
 * kept only for the next statement of a busy account.
 */
#define CONN_EXCESS_IDLE_TIMEOUT_US (100 * PW_US_PER_MS)
/*
 * Replaces CONN_EXCESS_IDLE_TIMEOUT_US at a server that refuses work: statements wait longer there,
 * and opening a new connection would take a slot from them.
 */
#define CONN_CONGESTED_IDLE_TIMEOUT_US (1 * PW_US_PER_S)
/*
 * Percentage of this task's share of a server's connections up to which idle ones have the long
 * timeout. For several seconds after a VM has lost power, a server still counts its connections;
 * the VM that replaces it needs the rest of the share.
 */
#define CONN_IDLE_KEEP_PERCENT 40
/*
 * A task may open up to this many times its share of a server's connections. It is rare that all
 * tasks need theirs at once, and the server refuses connections above its limit.
 */
#define CONN_OVERCOMMIT_FACTOR 3
/* Backoff after a failure of a server; doubles with each further one, up to the maximum. */
#define SERVER_BACKOFF_INITIAL_US (50 * PW_US_PER_MS)
#define SERVER_BACKOFF_MAX_US     (1 * PW_US_PER_S)
/*
 * Time for which no connection is opened to a server that has too many, since others have to close
 * theirs first. Connections that are open stay in use.
 */
#define SERVER_FULL_PAUSE_US (20 * PW_US_PER_MS)
/*
 * A server is probed if it has sent nothing for this long while a statement or the opening of a
 * connection waits for it. A server that answers that it is not the primary gets no statements for
 * the same time.
 */
#define PROBE_SILENCE_US (300 * PW_US_PER_MS)
/*
 * A server that accepts connections but has left a message unanswered for this long has failed.
 * This is several times what a full queue of statements takes.
 */
#define SERVER_UNRESPONSIVE_US (1200 * PW_US_PER_MS)
/* A primary without contact for this long is sent a ping if a connection to it is idle. */
#define PRIMARY_PING_IDLE_US (500 * PW_US_PER_MS)
/* A probe that has not connected after this time has failed. */
#define PROBE_TIMEOUT_US (400 * PW_US_PER_MS)
/*
 * Subtracted from the accepted age of data, for the time that passes between the choice of the
 * position and the read at the server.
 */
#define STALE_AGE_MARGIN_US (150 * PW_US_PER_MS)
/* Time for statements and transactions at a primary to finish before a planned change. */
#define PLANNED_DRAIN_TIMEOUT_US (1200 * PW_US_PER_MS)
/* Up to this many connections of a server are reserved for other uses, such as status queries. */
#define CONN_RESERVED_MAX 2
/* Attempts to run one statement, the first one included. */
#define STATEMENT_ATTEMPTS_MAX 6
/*
 * An answer is buffered until it is complete. An answer that exceeds this size is sent in parts,
 * unless it answers a commit or a write outside a transaction.
 */
#define ANSWER_BUFFER_MAX_BYTES 65536

/*
 * Reading from a server never pauses with less than this of the answer waiting. It is more than
 * the largest message, so that an answer with one row never holds up its connection.
 */
#define ANSWER_PAUSE_BYTES (UINT64_C(2) * PW_DIALECT_MESSAGE_MAX_BYTES)
/* Maximum size of an answer that is kept until it is complete. */
#define ANSWER_WHOLE_MAX_BYTES (UINT64_C(4) * PW_DIALECT_MESSAGE_MAX_BYTES)
/* A connection with more variables and prepared statements than this is not used again. */
#define CONN_STATE_KEEP_MAX_BYTES 65536
/* What the buffer of a caller's messages may hold beside one that is incomplete. */
#define SESSION_INPUT_AHEAD_BYTES 65536

struct session;
struct waiting_operation;
struct work;
struct conn;
struct group;
struct server;
struct account;

struct gateway {
	struct pw_task task;
	const struct pw_directory *directory;
	const struct pw_caller_dialect *caller_dialect;
	const struct pw_server_dialect *server_dialect;
	uint32_t index; /**< of this task among the gateway tasks of the VM */
	struct pw_source listener;
	struct pw_catalog *catalog;     /**< NULL: not known yet */
	struct pw_server_list *servers; /**< registered servers; NULL: not known yet */
	struct pw_primaries *primaries; /**< NULL: not known yet */
	uint64_t permit_until_us;    /**< no work is sent to a primary from then on; 0: no permit */
	uint64_t drain_limit_us;     /**< last limit for drains; see struct pw_primaries_msg */
	uint32_t member_count;       /**< VMs that share the servers' connections, with this one */
	GHashTable *sessions;        /**< set of struct session */
	GHashTable *groups;          /**< name -> struct group; entries are never removed */
	GHashTable *accounts;        /**< name -> struct account; entries are never removed */
	GPtrArray *deferred_frees;   /**< memory to be freed by the next tick */
	GPtrArray *deferred_servers; /**< struct server to be freed by the next tick */
	int64_t settled_revision;    /**< last revision of `primaries` for which every group was
					settled */
	struct pw_memory_budget memory;                 /**< of the callers of this task */
	uint64_t reported_bytes[PW_MEMORY_CLASS_COUNT]; /**< this task's part of the gauges */
	uint32_t sessions_max;        /**< limit on sessions, by the descriptors of the process */
	uint32_t memory_closed_count; /**< sessions closed for memory since it was last logged */
	uint64_t next_memory_check_us;
	struct pw_timer memory_timer; /**< due at once when the budget is exceeded */
	struct pw_timer tick_timer;
	struct pw_timer drain_timer;
	uint64_t next_report_us;
	struct pw_drain_window drain;
	struct pw_drain_counts drain_counts;
	bool drain_closing;  /**< callers have the time of `drain_timer` to close */
	bool drain_reported; /**< the shutdown task was told that no session is left */
};

enum session_state {
	SESSION_OPENING, /**< the caller has not sent its database and key */
	SESSION_READY,
	SESSION_CLOSING, /**< output is being written, then the caller has to close */
};

enum transaction_state {
	TRANSACTION_NONE,
	TRANSACTION_PENDING,            /**< begun by the caller, not yet at a server */
	TRANSACTION_ACTIVE,             /**< open at the server of `conn` */
	TRANSACTION_ABORTED_REPORTED,   /**< rolled back; the caller knows and has to end it */
	TRANSACTION_ABORTED_UNREPORTED, /**< rolled back; the caller was not told yet */
};

/*
 * Settings of the route as they were when the operation (a transaction, or a statement outside one)
 * began.
 */
struct operation {
	struct group *group;
	enum pw_consistency consistency;
	uint64_t stale_age_us; /**< greatest age of data that a read accepts */
	uint64_t timeout_us;   /**< of one statement */
	uint64_t target_us;    /**< time in which the operation should be answered */
	uint32_t priority;     /**< 0 is the highest */
	bool open_to_all;      /**< it needs no valid key */
};

/* A statement that a caller has prepared under a name of its own. */
struct prepared_statement {
	GBytes *text;
	bool writes;
};

struct session {
	struct pw_stream stream;
	struct gateway *gateway;
	struct pw_timer timer; /**< timeout of opening, closing, or an idle transaction */
	enum session_state state;
	char *database; /**< as named by the caller; NULL: the session was not opened */
	char key_hash[PW_CATALOG_KEY_HASH_SIZE];
	struct account *account;         /**< of the current operation, or of the last one; NULL:
					    the session was not opened */
	GHashTable *variables;           /**< name -> value; NULL before the first */
	GHashTable *prepared_statements; /**< name -> struct prepared_statement; NULL before the
					    first */
	enum transaction_state transaction;
	bool read_only; /**< the transaction was begun as read-only */
	struct operation operation;
	struct conn *conn; /**< of the open transaction; NULL: none */
	struct work *work; /**< statement that is being run; NULL: none */
	/** Operation that waits for a token of its account, with its statement; NULL: none. */
	struct waiting_operation *waiting;
	const char *statement_id;        /**< of the last statement received, for the log; valid
					    only while that statement exists */
	struct pw_position last_commit;  /**< log position of the session's last commit */
	uint64_t last_commit_generation; /**< generation of the primary that committed */
	uint64_t last_commit_us;         /**< when the answer to that commit came */
	uint64_t last_activity_us;       /**< last message from the caller or last answer */
	uint64_t state_bytes;            /**< of variables and prepared statements */
	uint64_t last_input_us;          /**< when bytes of the caller were last received */
	uint64_t last_output_us;         /**< when the caller was last seen to take output */
	uint64_t checked_sent_bytes;     /**< output written by then */
	bool has_last_commit;
	bool processing_input; /**< session_received() is on the stack */
	bool admitted;         /**< the statement that is being handled has its token */
	bool output_paused;    /**< no message is handled until the output is written */
	bool drain_served;     /**< an operation has ended since the drain began */
	bool drain_refused;    /**< an operation was refused since the drain began */
	bool closed;           /**< freed by the next tick */
};

struct account {
	struct gateway *gateway;
	char *name;
	struct pw_share share; /**< of this task in the account's rate; set if `has_share` */
	struct pw_share_bucket tokens;
	bool has_share;                 /**< the cluster task has sent the VM's share */
	uint32_t arrival_count;         /**< operations that arrived since the last report */
	uint32_t urgent_arrival_count;  /**< those of them with the highest priority */
	struct pw_demand urgent_demand; /**< operations with the highest priority at this task */
	GQueue waiting; /**< struct waiting_operation, in the order in which they get tokens */
	struct pw_timer timer; /**< expected token of the first waiting operation */
	bool serving;          /**< gw_admission_serve() is on the stack */
	uint32_t in_flight;    /**< statements in flight at servers */
};

enum work_state {
	WORK_WAITING, /**< in the group's queue */
	WORK_RUNNING, /**< on `conn`, which may still be opening; also before the first attempt */
	WORK_ENDED,   /**< answered or abandoned; freed by the next tick */
};

/* A statement of a caller, from its arrival to its answer, over all attempts to run it. */
struct work {
	struct session *session; /**< NULL: the caller has disconnected */
	struct account *account;
	struct group *group;
	struct operation operation;
	struct pw_caller_statement *statement;
	const struct prepared_statement *prepared_statement; /**< NULL unless PW_VERB_EXECUTE */
	enum work_state state;
	struct conn *conn;     /**< of the current attempt; NULL: none */
	struct pw_timer timer; /**< end of the wait in the queue */
	GList link;            /**< node in the queue of `group` */
	uint64_t arrived_us;
	uint64_t wait_deadline_us; /**< refused if no server has taken it by then */
	uint64_t sent_us;
	uint32_t failed_attempts;
	char *avoid_server_id; /**< of the server that refused or failed the last attempt, which may
				  be gone by now; NULL: none */
	GByteArray *answer;    /**< rows not yet sent to the caller; NULL: none so far */
	uint64_t input_bytes;  /**< of the statement, counted in the memory budget */
	uint64_t answer_bytes; /**< of `answer`, as counted in the memory budget */
	char *signature;       /**< of the answer, as the server gave it */
	enum pw_reason reason; /**< why it failed; PW_REASON_NONE: it has not failed */
	char *error;           /**< text for `reason`; may be NULL */
	bool begins_transaction;  /**< first statement of a transaction: the server has to begin
				     the transaction before it */
	bool in_transaction;      /**< part of a transaction of the caller */
	bool is_commit;           /**< commits the transaction */
	bool writes;              /**< a write, within a transaction or outside one */
	bool is_autocommit_write; /**< write outside a transaction; must not run twice */
	bool needs_primary;       /**< must run at the primary */
	bool sent;                /**< the current attempt was sent */
	bool sent_before;         /**< an earlier attempt was sent */
	bool charged;             /**< it starts an operation, which was charged to its account */
	bool is_repeated;         /**< it failed at a server that fails many, and is tried at
				     another one */
	bool answer_started;      /**< parts of the answer were sent to the caller */
};

enum conn_state {
	CONN_CONNECTING, /**< the TCP connect is in progress */
	CONN_OPENING,    /**< the server has to accept the handshake */
	CONN_IDLE,       /**< open and not in use */
	CONN_PREPARING,  /**< the state of the session is being set for `work`, which is not sent */
	CONN_BEGINNING,  /**< the transaction of `work` is being begun */
	CONN_RUNNING,    /**< `work` was sent and is being answered */
	CONN_PINNED,     /**< held by the open transaction of `session`, no statement in flight */
	CONN_ROLLING_BACK, /**< a transaction is being rolled back */
};

struct conn {
	struct pw_stream stream;
	struct server *server;
	struct account *account; /**< account of all statements that the connection runs */
	struct pw_timer timer;   /**< timeout of the current state */
	enum conn_state state;
	struct work *work;       /**< statement that runs or waits for the connection; NULL: none */
	struct session *session; /**< whose transaction holds the connection; NULL: none */
	GHashTable *variables;   /**< name -> value set at the server; NULL: none */
	GHashTable *prepared_names; /**< GBytes: text with the prefix "r" (reads) or "w" (writes) ->
				    name of the prepared statement at the server; NULL: none */
	uint64_t state_bytes;       /**< of `variables` and `prepared_names` */
	uint64_t prepared_bytes;    /**< of `prepared_names`, counted in the memory budget */
	uint32_t last_prepared_number;     /**< in the newest name of a prepared statement */
	uint32_t control_answers_pending;  /**< outstanding answers to the proxy's own resets, SETs
					    and  PREPAREs */
	struct pw_answer_history *history; /**< what the connection has answered */
	struct pw_answer answer;           /**< messages of the answer that is being received */
	char *answer_signature;            /**< owns the text in `answer` */
	char *answer_error;                /**< owns the text in `answer` */
	enum pw_reason answer_reason;      /**< of an error in `answer` */
	bool answer_begun;                 /**< `answer` has a message */
	uint64_t generation; /**< of the primary that its statement or transaction was sent to; 0:
				to a replica, or nothing was sent */
	uint64_t idle_since_us;
	uint64_t sent_us;             /**< when the connect or the last statement was started */
	uint64_t unanswered_since_us; /**< see pw_silence_record_sent() */
	uint64_t floor_observed_us;   /**< when the position that the read needs was observed; 0:
					 none is needed */
	bool begin_sent; /**< CONN_PREPARING: the begin of the transaction was sent as well */
	uint8_t fence_answers_pending; /**< CONN_PREPARING: outstanding answers to the begin and the
					  rollback behind the control statements */
	bool begin_refusal_ambiguous;  /**< CONN_BEGINNING: an error may be that of a statement
					  before the begin, whose answer a copy has taken */
	bool reading_paused;           /**< the answer waits for its caller */
	bool discard_when_idle; /**< its state is uncertain, so it is closed instead of reused */
	bool closed;            /**< freed by the next tick */
};

struct server {
	struct group *group;
	char *id;
	char *address;
	uint64_t started_ms; /**< Unix time of its start; 0: not known yet */
	enum pw_distance distance;
	GPtrArray *conns;
	struct pw_replica_lag replica_lag;
	struct pw_position position; /**< greatest position that it returned */
	uint64_t latency_us;         /**< average time to an answer, for `congestion`; 0: no answer
					yet */
	uint64_t pause_until_us;     /**< gets no new statements until then */
	uint64_t full_until_us;      /**< too many connections: none is opened until then */
	uint64_t backoff_us;         /**< pause after the last failure; 0: no failure since a
					connection was last opened */
	uint64_t last_contact_us; /**< when bytes were last received or a TCP connect succeeded */
	struct pw_silence silence;
	uint32_t in_flight; /**< statements in flight */
	struct pw_congestion congestion;
	struct pw_speed speed;
	uint64_t leaving_since_us;   /**< when this task learned that `leaving` is set */
	uint64_t evacuation_stop_us; /**< its zone is evacuated, and nothing is sent to it from then
					on; UINT64_MAX: not evacuated */
	bool registered;             /**< it is in the latest list of servers */
	bool leaving;                /**< its entry says that it is about to stop */
	bool claims_primary;         /**< its entry says that it is the primary */
	struct probe *probe;         /**< in progress; NULL: none */
};

/* How a server has failed. */
enum server_failure {
	FAILURE_CONNECT, /**< the TCP connect was refused or timed out */
	FAILURE_OPEN,    /**< it did not accept the handshake in time */
	FAILURE_PROBE,   /**< likewise for a probe of a server that owes an answer */
	FAILURE_SILENT,  /**< it has left a message unanswered for SERVER_UNRESPONSIVE_US */
};

/*
 * A replicated database: a primary and its replicas, called a group in the catalogue. It has
 * nothing to do with the group task of group.h.
 */
struct group {
	struct gateway *gateway;
	char *name;
	uint32_t connection_limit; /**< of each server, over the whole fleet */
	GPtrArray *servers; /**< struct server; a deregistered one stays while it has connections */
	GQueue wait_queue;  /**< struct work, in the order of arrival */
	struct server *primary; /**< NULL: not known or not registered */
	char *primary_id;
	uint64_t generation; /**< grows with every change of the primary */
	bool changing;       /**< the record says that the primary is being replaced */
	bool change_planned; /**< while `changing`: what runs at the primary may finish first */
	uint64_t changing_since_us; /**< when this task learned of the change */
	uint64_t drain_until_us;    /**< while `changing`: work at the primary ends by then */
	bool settled; /**< while `changing`: nothing of this task runs at the primary any more */
	struct pw_history history;
	struct pw_speed_group speed;           /**< what the servers usually take */
	uint64_t primary_last_answer_us;       /**< when the primary last sent bytes; 0: never */
	uint64_t primary_unreachable_since_us; /**< first failure since its last answer; 0: none */
	bool dispatching;    /**< gw_work_dispatch_waiting() is on the stack, or the task
				stops */
	bool dispatch_again; /**< gw_work_dispatch_waiting() was called while `dispatching` */
};

static inline uint64_t gateway_now_us(const struct gateway *g)
{
	return pw_loop_now_us(g->task.loop);
}

/* gateway.c */
/** Sends arrivals, the primaries' reachability and the settled revision to the cluster task. */
void gateway_send_report(struct gateway *g);
/** @return whether this VM may send work to primaries at present; reads the clock again */
bool gateway_may_use_primaries(struct gateway *g);
/** Frees memory with the next tick, since functions that use it may be on the stack. */
void gateway_free_later(struct gateway *g, void *memory);
/** Frees a server with the next tick. */
void gateway_free_server_later(struct gateway *g, struct server *s);
/** Calls the action for each open session. The action may close sessions. */
void gateway_for_each_session(struct gateway *g, void (*action)(struct session *s));
/** Accepts up to `max` of the connections that wait. */
void gateway_accept_sessions(struct gateway *g, int32_t max);

/* gateway_drain.c */
/** Begins the drain: no connection is accepted any more. */
void gw_drain_start(struct gateway *g);
/** Ends the drain: answers statements in progress with an error, and closes the sessions. */
void gw_drain_end(struct gateway *g);
/** Does the same at once, without waiting for the callers to close; called when the task stops. */
void gw_drain_abort(struct gateway *g);
/** Closes the sessions that may be closed, and reports when none is left; called by the tick. */
void gw_drain_continue(struct gateway *g);
/** Logs the counts of the drain if one has begun. */
void gw_drain_log_end(const struct gateway *g);
/** Counts and logs the answer to a statement while the gateway drains. */
void gw_drain_log_answer(const struct session *s, const struct work *w);
/**
 * Counts the end of a session, and logs a statement that gets no complete answer. Called before the
 * session gives up its statement.
 *
 * @param by_caller the caller has ended the session
 * @param has_input bytes of a request have arrived and were not handled
 */
void gw_drain_record_close(const struct session *s, bool by_caller, bool has_input);

/* gateway_memory.c */
/** Sets the budget of the task and the limit on sessions. */
void gw_memory_init(struct gateway *g);
/** Has sessions closed before the next wait for events if the callers hold too much. */
void gw_memory_check(struct gateway *g);
/** Closes connections to servers that hold memory for no session. Starts waiting statements. */
void gw_memory_free_unowned(struct gateway *g);
/**
 * Called by the tick: closes sessions whose callers take no output, reports the memory in use, and
 * gives free memory back to the system.
 */
void gw_memory_tick(struct gateway *g, uint64_t now_us);
void gw_memory_dispose(struct gateway *g);

/* gateway_explain.c */
/** Answers a question which server would get a statement. */
void gw_explain(struct gateway *g, const struct pw_explain_msg *m);

/* gateway_session.c */
/** @return the present settings of the route for a new operation */
struct operation gw_session_operation(struct gateway *g, const struct pw_catalog_route *r);
/** Creates the session of an accepted connection; takes over its socket. */
void gw_session_accept(struct gateway *g, int32_t fd);
/** Closes the session at once and rolls its transaction back. */
void gw_session_close(struct session *s);
/**
 * Closes the session if it may not use its route any more and has no statement or transaction.
 */
void gw_session_check_key(struct session *s);
/**
 * Called while the gateway drains: closes the session if it may be closed. When the drain is over,
 * first answers an outstanding statement with an error.
 */
void gw_session_drain(struct session *s);
/** Sends the complete answer to a statement. `position` may be NULL. */
void gw_session_send_answer(struct session *s, struct work *w, const struct pw_position *position);
/** Sends a part of an answer and empties its buffer. */
void gw_session_send_partial_answer(struct session *s, GByteArray *bytes);
/** @return what the session holds, with its statement and the connection that it uses */
struct pw_memory_holder gw_session_memory(struct session *s);
/** @return whether its caller has taken none of the waiting output for too long */
bool gw_session_has_stalled_output(struct session *s);
/** Marks the transaction as aborted: its connection was lost with no statement in flight. */
void gw_session_handle_transaction_lost(struct session *s);
/**
 * Goes on with a statement that has waited for a token, which was taken if the operation is
 * admitted, or refuses it. Takes ownership of the statement.
 */
void gw_session_resume(struct session *s, struct pw_caller_statement *statement,
		       const struct pw_admission_decision *d);

/* gateway_admission.c */
/**
 * Counts the operation that the statement begins and decides whether it gets a token. If it has to
 * wait, takes ownership of the statement until the operation is resumed or cancelled.
 */
struct pw_admission_decision gw_admission_ask(struct session *s,
					      struct pw_caller_statement *statement);
/** Resumes the waiting operations of the account that get a token or cannot get one in time. */
void gw_admission_serve(struct account *a);
/** Does so for all accounts, since their shares may have changed. */
void gw_admission_serve_all(struct gateway *g);
/** Ends the wait of the session's operation, if it has one, and frees its statement. */
void gw_admission_cancel(struct session *s);
/** @return size of the statement that the session's waiting operation holds */
uint64_t gw_admission_input_bytes(const struct session *s);

/* gateway_account.c */
/** @return account of that name, created if needed */
struct account *gw_account_get(struct gateway *g, const char *name);
void gw_account_free(gpointer data);
/** Returns the token of an operation that was refused and was sent to no server. */
void gw_account_refund(struct account *a);
/** Counts an operation that arrives; `urgent`: no route has a higher priority. */
void gw_account_count_arrival(struct gateway *g, struct account *a, bool urgent);
/**
 * Decides about an operation, and takes the token if it is admitted.
 *
 * @param ahead number of waiting operations of the account that come before it
 */
struct pw_admission_decision gw_account_decide(struct gateway *g, struct account *a,
					       const struct pw_admission_request *r,
					       uint32_t ahead);
/** Applies this VM's shares of rates (struct pw_account_share). */
void gw_account_apply_shares(struct gateway *g, const GArray *shares);

/* gateway_work.c */
/** @return memory that the statement takes */
uint64_t gw_work_statement_bytes(const struct pw_caller_statement *statement);
/** Counts the buffered answer in the memory budget, after each change of it. */
void gw_work_count_answer(struct work *w);
/** Takes ownership of the caller's statement. */
struct work *gw_work_new(struct session *s, struct pw_caller_statement *statement);
/** Sends the statement to a server, or queues or refuses it. */
void gw_work_start(struct work *w);
/**
 * Answers the statement with an error because the VM stops. The connection that runs it is closed,
 * which rolls back an open transaction.
 */
void gw_work_stop(struct work *w);
/** @return name of what the statement waits for, for the log */
const char *gw_work_state_name(const struct work *w);
/** Handles the disconnect of the caller; frees the statement unless it is running. */
void gw_work_abandon(struct work *w);
/** Starts those waiting statements of a group that a server can take now. */
void gw_work_dispatch_waiting(struct group *group);
/** Answers the statement with an error and frees it. */
void gw_work_refuse(struct work *w, enum pw_reason reason, const char *text);
/** Handles the complete answer of the server. */
void gw_work_handle_answer(struct work *w, struct conn *c, enum pw_session_state state,
			   const struct pw_position *position);
/**
 * Handles that the connection was lost, or could not be opened or used: retries the statement if
 * that is safe, otherwise answers it with an error.
 *
 * @param text error text for the caller if the statement is refused
 */
void gw_work_handle_conn_lost(struct work *w, const char *text);
/** Records what a refusal shows of the server's load, lag or role, or of the connection. */
void gw_work_record_refusal(struct conn *c, enum pw_reason reason);
/** Retries a statement whose transaction the server did not begin. */
void gw_work_handle_begin_failed(struct work *w, enum pw_reason reason);
/**
 * Finds the position that a replica must have for the read.
 *
 * @param observed_us receives the time at which that position was observed
 * @return false if the statement has to run at the primary
 */
bool gw_work_find_floor(const struct work *w, struct pw_position *floor, uint64_t *observed_us);
/**
 * @return whether the statement is not expected to start before its deadline: either it has to run
 *         at the primary, which is expected to be unavailable until after that, or the servers
 *         refuse work and too many statements wait for them
 */
bool gw_work_cannot_start_in_time(const struct work *w);

/* gateway_group.c */
/** @return group of that name, created if needed */
struct group *gw_group_get(struct gateway *g, const char *name);
void gw_group_free(gpointer data);
/** @return whether the server's zone is evacuated and nothing is sent to it any more */
bool gw_group_is_evacuated(const struct server *s);
/**
 * @return whether all servers that could run the statement are in evacuated zones, so that it can
 *         be refused at once
 */
bool gw_group_has_evacuated_all(const struct work *w);
/** Applies the list of registered servers in `g->servers`. */
void gw_group_apply_servers(struct gateway *g);
/** Applies the record of primaries in `g->primaries`. */
void gw_group_apply_primaries(struct gateway *g);
/** Ends work at primaries that are being changed by this time; see struct pw_primaries_msg. */
void gw_group_limit_drains(struct gateway *g, uint64_t until_us);
/** Records positions (struct pw_seen_position) that primaries returned to other VMs. */
void gw_group_apply_positions(struct gateway *g, const GPtrArray *positions);
/** @return when the primary is expected to accept work; the current time if it does */
uint64_t gw_group_primary_ready_us(const struct group *group);
/**
 * Finds the server that can take the statement now.
 *
 * @param is_trial receives whether the server was not asked for long; may be NULL
 * @return server, or NULL
 */
struct server *gw_group_find_server(const struct work *w, bool *is_trial);
/** Like gw_group_find_server(), for a statement that is then started; counts trials. */
struct server *gw_group_choose_server(const struct work *w);
/** What the choice of a server for a statement knows of one of them. */
struct server_view {
	struct pw_place_candidate candidate;
	const char *blocking_reason; /**< why it cannot take the statement; "none": it can */
};
/** Describes a server as the choice for the statement sees it. */
void gw_group_view_server(struct server_view *v, const struct work *w, const struct server *s);
/**
 * @return whether another server, which fails fewer statements, can take a read that has failed at
 *         this one
 */
bool gw_group_can_repeat_read(const struct work *w, const struct server *failed);
/** @return why the server that comes nearest to taking the statement does not, for the log */
const char *gw_group_blocking_reason(const struct work *w);
/** @return whether any server may be sent another statement */
bool gw_group_has_capacity(const struct group *group);
/**
 * Estimates the time until the waiting statements that need the same servers as this one have
 * started.
 *
 * @return 0 if the load on one of these servers is not limited, or if there is no such server
 */
uint64_t gw_group_backlog_us(const struct work *w);
/** Pings the primary, which another VM cannot reach, if it has not answered recently. */
void gw_group_ping_primary(struct group *group);
/**
 * Checks for silent servers, closes idle connections, settles a change that is due, and starts
 * waiting statements.
 */
void gw_group_tick(struct group *group);
/** Records that the statement is started at the server. */
void gw_group_record_start(struct server *s, const struct work *w);
/** Records that the server has accepted a connection whose connect was started at `sent_us`. */
void gw_group_record_opened(struct server *s, uint64_t sent_us);
/** Records that a connection was lost with a statement on it. */
void gw_group_record_lost(struct server *s);
/** Records an answer of a server. `sent_us` is when its statement was sent. */
void gw_group_record_answer(struct server *s, struct conn *c, uint64_t sent_us,
			    const struct pw_position *position);
/** Records that the server could not be reached or did not answer, and backs off. */
void gw_group_record_server_failure(struct server *s, enum server_failure failure);
/** Records that the overloaded server refused a statement or a connection. */
void gw_group_record_server_busy(struct server *s);
/** Records that bytes were received from the server. */
void gw_group_record_received(struct server *s);
/**
 * Records a TCP connect to the server; whether its process answers is not known.
 *
 * @param sent_us when the connect was started
 */
void gw_group_record_connected(struct server *s, uint64_t sent_us);
/**
 * @return whether an answer on the connection is certain to come from the current primary: the
 * generation is current, no change is in progress whose drain has ended, and this VM may use
 * primaries
 */
bool gw_group_is_current_primary(struct conn *c);
/**
 * If the primary is being replaced, settles the change and reports it as soon as nothing of this
 * task runs at the primary. Work there is stopped: at once, or at the end of the drain if the
 * change is planned.
 */
void gw_group_try_settle(struct group *group);
void gw_group_server_free(struct server *s);

/* gateway_conn.c */
/**
 * @return whether the connection holds prepared texts, or a large statement or answer, for no
 * session: it is not in use, or the caller of its statement has left
 */
bool gw_conn_holds_unowned_memory(const struct conn *c);
/** Reads on from the server once the caller has taken the answer so far. */
void gw_conn_resume(struct conn *c);
/**
 * @param has_idle_conn receives whether an idle connection that it can use is open
 * @return whether the statement has, or its account may open, a connection to the server now
 */
bool gw_conn_is_available(const struct server *s, const struct work *w, bool *has_idle_conn);
/** Runs the statement on a connection of its account, which is opened if needed. */
void gw_conn_start_work(struct server *s, struct work *w);
/** Runs the next statement of a transaction on its connection. */
void gw_conn_continue_transaction(struct conn *c, struct work *w);
/**
 * Detaches the connection from its session and rolls the open transaction back. With a statement in
 * flight it only detaches; the rollback follows the answer.
 */
void gw_conn_roll_back(struct conn *c);
/**
 * Closes a connection, and reports the loss to its statement or to the session whose transaction
 * holds it.
 *
 * @param text error text for the caller if the statement is refused
 */
void gw_conn_fail(struct conn *c, const char *text);
/** Likewise, because an answer is overdue: the server goes on owing it, see struct pw_silence. */
void gw_conn_abandon(struct conn *c, const char *text);
/**
 * Makes the server answer, without using one of its slots, by resetting an idle connection.
 *
 * @param may_open whether a connection is opened instead if none is idle
 * @return false if there is no connection to use
 */
bool gw_conn_ping(struct server *s, bool may_open);
/** Closes the connections that have been idle for too long, or all idle ones. */
void gw_conn_close_idle(struct server *s, bool all);

#endif
