/*
 * Internal declarations of the front task:
 *
 *   front.c          the task: messages, listener, TLS files
 *   front_drain.c    planned stops, and draining while the document marks the VM
 *   front_limits.c   limits on connections, logins and memory
 *   front_login.c    startup messages, keys, cancel requests
 *   front_batch.c    splits a caller's input into batches, keeps its prepared statements
 *   front_session.c  runs batches: routes, requests, answers
 */
#ifndef PW_DAEMON_TRAFFIC_FRONT_PRIVATE_H
#define PW_DAEMON_TRAFFIC_FRONT_PRIVATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../directory.h"
#include "drain_log.h"
#include "front.h"
#include "pw/codec/pg.h"
#include "pw/core/stream.h"
#include "pw/core/tls.h"
#include "pw/decide/memory.h"
#include "pw/decide/statement.h"
#include "request.h"

/* User name of callers without a key, which may use only routes that need none. */
#define OPEN_USER "open"

/* A caller that has not logged in after this time is disconnected. */
#define LOGIN_TIMEOUT_US UINT64_C(5000000)

/* The answer to a wrong key is delayed by this time, which slows guessing down. */
#define WRONG_KEY_DELAY_US UINT64_C(500000)

/*
 * The task's connection limit is divided by these to limit the connections that have not logged in,
 * and those of callers without a key.
 */
#define LOGIN_LIMIT_DIVISOR 4
#define OPEN_LIMIT_DIVISOR  2

/*
 * A caller that has not read the last message and closed the connection after this time is
 * disconnected.
 */
#define CLOSING_TIMEOUT_US UINT64_C(2000000)

/*
 * While the task drains, a caller that has been idle for this long is sent an error and
 * disconnected. Any other caller gets the error as the answer to its next statement outside a
 * transaction, since an error sent at another time could cross a statement on the network.
 */
#define DRAIN_IDLE_US UINT64_C(500000)
/* Interval of the search for idle callers while the task drains. */
#define DRAIN_CHECK_INTERVAL_US UINT64_C(100000)

/*
 * Time for the answers to the requests that are stopped at the end of the drain. A request whose
 * answer has not come by then was lost with a task that had it. A login has the same time to go on.
 */
#define DRAIN_ANSWER_TIMEOUT_US UINT64_C(300000)

/* Prepared statements that a connection may keep, and the total size of their Parse messages. */
#define PREPARED_STATEMENTS_MAX       256
#define PREPARED_STATEMENTS_MAX_BYTES 262144

struct front {
	struct pw_task task;
	const struct pw_directory *directory;
	uint32_t index; /**< of this task among the front tasks of the VM */
	struct pw_source listener;
	const struct pw_document *document; /**< NULL until the first snapshot */
	GHashTable *callers_by_session;     /**< session id -> struct caller */
	GHashTable *usage_by_account;       /**< user name -> struct account_usage */
	struct pw_memory_budget memory; /**< of the callers of this task; what they hold of any kind
					   counts as input */
	uint64_t reported_bytes;        /**< this task's part of the gauge */
	uint32_t memory_closed_count;   /**< callers closed for memory since it was last logged */
	struct pw_timer memory_timer;   /**< due at once when the budget is exceeded */
	struct pw_timer memory_report_timer; /**< next report of the memory in use */
	GQueue pending_logins;        /**< struct caller that has not logged in, oldest first */
	uint64_t next_session_number; /**< number in the next session id */
	uint64_t next_request_number; /**< number in the next request id */
	uint64_t fresh_until_us; /**< statements that need a key are refused from this time on */
	struct pw_tls_files tls_files;
	struct pw_timer tls_check_timer;     /**< next check of the TLS files for changes */
	struct pw_timer drain_timeout_timer; /**< end of a planned stop: closes all callers */
	struct pw_timer drain_check_timer;   /**< next search for idle callers while draining */
	struct pw_timer drain_grace_timer; /**< start of draining after the document marks the VM */
	struct pw_drain_counts drain_counts;
	uint64_t drain_started_us; /**< 0: no planned stop has begun to drain */
	bool stopping;             /**< a planned stop has begun */
	bool draining;             /**< callers are disconnected unless a transaction is open */
	bool drain_is_over;        /**< callers are disconnected after their outstanding request */
	bool drain_reported;       /**< the shutdown task was told that no caller is left */
};

enum caller_state {
	CALLER_STARTUP,         /**< waiting for a startup message */
	CALLER_PASSWORD,        /**< waiting for the password message */
	CALLER_REFUSAL_DELAYED, /**< the key was wrong; the timer sends the refusal */
	CALLER_READY,           /**< logged in */
	CALLER_CLOSING, /**< the last message is being written, then the caller has to close */
};

/* A statement that the caller has prepared with a Parse message. */
struct prepared_statement {
	struct pw_statement statement;
	GByteArray *parse_message; /**< with its header */
};

/* The messages of a caller up to one ReadyForQuery: a Query, or all messages up to a Sync. */
struct batch {
	GByteArray *bytes;        /**< the messages */
	GByteArray *replay_bytes; /**< Close and Parse messages that are sent before `bytes` */
	GPtrArray *statements; /**< struct pw_statement of prepared statements or `query_statement`;
				  not owned */
	struct pw_statement query_statement; /**< of a Query message */
	GPtrArray *prepared_names;           /**< names of the statements that the batch prepares */
	GPtrArray *closed_names;       /**< names of the statements that `replay_bytes` closes */
	GPtrArray *retired_statements; /**< struct prepared_statement that the batch replaced or
					  closed; `statements` may refer to them */
	GString *message_types;       /**< types of the messages, for answers by the proxy itself */
	uint32_t replay_answer_count; /**< upstream answers to the messages in `replay_bytes` */
	bool is_query;                /**< the batch is a Query message */
	bool executes;                /**< contains a Query or an Execute message */
	const char *unsupported_reason; /**< why the batch is refused; NULL: it is not */
};

/* One caller connection. */
struct caller {
	struct pw_stream stream;
	struct front *front;
	/** Timeout of the login, the outstanding request or the closing; delay of a refusal. */
	struct pw_timer timer;
	uint64_t session_id;    /**< unique in the process */
	uint32_t cancel_secret; /**< of the cancel key */
	enum caller_state state;
	char *user;
	char *database;
	char key_id[PW_KEY_ID_HEX_DIGITS + 1]; /**< empty for the open user */
	struct pw_floor floor;
	struct batch *batch;                 /**< being collected or run; NULL: none */
	GHashTable *prepared_statements;     /**< name -> struct prepared_statement; NULL before the
						first Parse */
	uint32_t prepared_bytes;             /**< size of their Parse messages */
	struct account_usage *account_usage; /**< of its account; NULL: not logged in */
	GList *login_link;      /**< node in `pending_logins` of the front task; NULL: not in it */
	uint64_t memory_bytes;  /**< memory that is included in `account_usage` and `memory` */
	uint64_t last_input_us; /**< when bytes of the caller were last received */
	uint64_t request_id;    /**< id of the outstanding request; 0: none */
	uint64_t idle_since_us; /**< end of the last request or of the login; before that, time of
				   the connect */
	uint64_t request_sent_us;      /**< time at which the last request was sent */
	uint64_t uncredited_bytes;     /**< bytes of chunks for which no credit was sent yet */
	struct pw_mailbox *credit_to;  /**< group task that gets the credit */
	char transaction_status;       /**< as last sent to the caller */
	bool uses_position_token;      /**< the caller has opted in to position tokens */
	bool has_upstream_transaction; /**< the group task holds a connection for the session's
				      transaction */
	bool key_withdrawn;            /**< the caller is disconnected after its request */
	bool skip_to_sync;             /**< not used */
};

static inline struct caller *caller_of(struct pw_stream *s)
{
	return (struct caller *)s;
}

/* front.c */
/** Closes the connection at once and frees the caller. */
void caller_close(struct caller *c);
/** Closes the connection after the output is written. */
void caller_close_after_output(struct caller *c);
/** Sends a FATAL error, then closes the connection. */
void caller_send_fatal_error(struct caller *c, const char *sqlstate, enum pw_counter counter,
			     const char *format, ...) __attribute__((format(printf, 4, 5)));
/** Sends messages to the caller. */
void caller_send(struct caller *c, const GByteArray *b);
/** @return caller with that session id, or NULL */
struct caller *front_find_caller(struct front *f, uint64_t session_id);

/** Starts the session of an accepted connection. */
void front_accept_caller(struct front *f, int32_t fd);
/** Calls a function, which may free the caller, for each caller. */
void front_for_each_caller(struct front *f, void (*action)(struct caller *c));

/* front_drain.c */
void drain_init(struct front *f);
/** Closes the listening socket and begins to disconnect callers. */
void drain_start(struct front *f);
/** Answers outstanding requests with an error and disconnects all callers. */
void drain_end(struct front *f);
/** Does what drain_end() does when the task ends and gets no more messages. */
void drain_abort(struct front *f);
/** Counts a caller that is being closed, and logs a statement of it that has no answer. */
void drain_record_close(const struct caller *c, bool by_caller);
/** Tells the shutdown task, once, that the task has drained and no caller is left. */
void drain_report_if_done(struct front *f);
/**
 * Starts the grace period when the document marks this VM as draining; stops draining when the mark
 * is gone.
 */
void drain_apply_mark(struct front *f);

/* front_limits.c */
void limits_init(struct front *f);
void limits_dispose(struct front *f);
/** @return whether the task has fewer connections than its limit */
bool limits_has_room(const struct front *f);
/**
 * Decides whether one more connection may be accepted. If too many connections have not logged in,
 * closes the oldest of them.
 *
 * @return false if the task has too many connections
 */
bool limits_admit_connection(struct front *f);
/** Counts a new connection among those that have not logged in. */
void limits_add_login(struct caller *c);
/**
 * Counts a caller that logs in among the connections of its account.
 *
 * @param a NULL for the open user
 * @return false if the account has too many connections
 */
bool limits_admit_login(struct caller *c, const struct pw_document_account *a);
/** Takes a caller out of all counts. */
void limits_remove_caller(struct caller *c);
/** Updates the count of the caller's memory. @return whether its account is within its limit */
bool limits_update_memory(struct caller *c);

/* front_login.c */
/** Handles input of a caller that has not logged in. */
void login_handle_input(struct caller *c);
/** Sends the delayed answer to a wrong key. */
void login_send_delayed_refusal(struct caller *c);
/** Cancels the request of the session with that cancel key; does nothing without such a session. */
void login_cancel_session(struct front *f, uint32_t process_id, uint32_t secret);
/** @return whether the caller's key is in the snapshot in force */
bool login_key_is_valid(const struct caller *c);

/* front_batch.c */
/**
 * Collects the next batch from the input.
 *
 * @return 0 with c->batch complete; PW_EAGAIN when more input is needed; PW_EINVALID if the
 *         connection is being closed: after a Terminate message, or an error that was sent
 */
int batch_collect(struct caller *c);
void batch_free(struct batch *b);
/** Forgets the statements that a failed batch prepares, except the first `parsed_count` of them. */
void batch_forget_prepared(struct caller *c, const struct batch *b, uint32_t parsed_count);
void batch_free_prepared_statement(gpointer data);
/**
 * Appends the proxy's own answer to a batch, without ReadyForQuery.
 *
 * @param tag command tag; empty for an empty statement, which gets an EmptyQueryResponse
 */
void batch_put_answer(const struct batch *b, GByteArray *out, const char *tag);

/* front_session.c */
/** Handles the batches in the input, up to the first that has to be sent to an upstream. */
void session_handle_input(struct caller *c);
/** Sends a part of the answer to the caller. */
void session_forward_chunk(struct caller *c, struct pw_chunk *m);
/** Completes the outstanding request, then handles further input. */
void session_handle_response_end(struct caller *c, struct pw_response_end *e);
/** Sends credit for the chunks sent so far, once the socket has taken all output. */
void session_send_credit(struct caller *c);
/**
 * Disconnects the caller, whose request was not answered in time, with the error that the outcome
 * is unknown.
 */
void session_handle_request_timeout(struct caller *c);

#endif
