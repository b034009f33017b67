/**
 * @file dialect.h
 * Vtables for the protocols of callers and servers, and the decoded messages that they share.
 * Sessions, transactions, routing and retries use only these messages; the implementations of the
 * vtables encode and decode them.
 */
#ifndef PW_CODEC_DIALECT_H
#define PW_CODEC_DIALECT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "pw/decide/position.h"

/** Maximum size of a message of a caller or a server. */
#define PW_DIALECT_MESSAGE_MAX_BYTES (UINT32_C(1) << 20)

/** Maximum size of the name that the proxy gives a prepared statement: a letter and 10 digits. */
#define PW_DIALECT_PREPARED_NAME_MAX_BYTES 11

/** Why a statement failed or was not run. */
enum pw_reason {
	PW_REASON_NONE,
	PW_REASON_BUSY,              /**< not run: no capacity */
	PW_REASON_ABORTED,           /**< the transaction was rolled back */
	PW_REASON_SERVER_BEHIND,     /**< not run: the server's log has not reached the requested
					position */
	PW_REASON_NOT_PRIMARY,       /**< not run: only the primary may run it */
	PW_REASON_WRONG_SERVER,      /**< not run: the server's id is not the one in put_open() */
	PW_REASON_CONNECTION_LIMIT,  /**< not run: the server has too many connections */
	PW_REASON_UNKNOWN_STATEMENT, /**< not run: no prepared statement has that name */
	PW_REASON_FAILED,            /**< the server ran it, and it failed */
	PW_REASON_TIMEOUT,           /**< timed out; the outcome is unknown */
	PW_REASON_OUTCOME_UNKNOWN,   /**< a commit or write may have taken effect */
	PW_REASON_BAD_KEY,           /**< the key of the caller is missing or invalid */
	PW_REASON_NO_DATABASE,       /**< there is no database of that name */
	PW_REASON_TOO_LARGE,         /**< a message or the state of the session exceeds a limit */
	PW_REASON_MALFORMED, /**< the message cannot be parsed or is not allowed at this point */
	PW_REASON_OTHER,     /**< a server error whose code the proxy does not know */
	PW_REASON_COUNT
};

/** @return name of the reason for log lines */
const char *pw_reason_name(enum pw_reason r);

/** Transaction state of a session after an answer. */
enum pw_session_state {
	PW_SESSION_IDLE,
	PW_SESSION_IN_TRANSACTION,
	PW_SESSION_FAILED, /**< in a failed transaction, which can only be rolled back */
};

/** Kind of a statement. */
enum pw_verb {
	PW_VERB_BEGIN,
	PW_VERB_BEGIN_READ, /**< begins a read-only transaction */
	PW_VERB_COMMIT,
	PW_VERB_ROLLBACK,
	PW_VERB_READ,
	PW_VERB_WRITE,
	PW_VERB_SET, /**< sets a session variable */
	PW_VERB_PREPARE,
	PW_VERB_EXECUTE,
	PW_VERB_DEALLOCATE, /**< drops a prepared statement */
};

/**
 * A statement as the caller sent it. Owns its texts. Verb, name and argument determine the text
 * that the caller sent, byte for byte.
 */
struct pw_caller_statement {
	enum pw_verb verb;
	char *id;         /**< the caller's id of the statement, which is passed on to the server */
	char *name;       /**< of a session variable or prepared statement; NULL for other verbs */
	GBytes *argument; /**< rest of the message, any bytes; NULL for verbs that have none */
	bool prepares_write; /**< PW_VERB_PREPARE: the prepared statement writes */
};

void pw_caller_statement_free(struct pw_caller_statement *s);

enum pw_caller_message_kind {
	PW_CALLER_MESSAGE_STARTUP,   /**< start of a session */
	PW_CALLER_MESSAGE_STATEMENT, /**< `statement` is set; the receiver may take it */
	PW_CALLER_MESSAGE_TERMINATE, /**< end of the session */
	/**
	 * A statement that cannot be parsed; only `statement->id` is set, to an empty string if it
	 * is malformed itself. The session can continue.
	 */
	PW_CALLER_MESSAGE_MALFORMED,
	/**
	 * A statement that may exceed the size limit at a server, where it has a prefix and the
	 * name that the proxy gives it; `statement` is set. The session can continue.
	 */
	PW_CALLER_MESSAGE_TOO_LARGE,
};

/** A message of a caller. */
struct pw_caller_message {
	enum pw_caller_message_kind kind;
	char *database;                        /**< PW_CALLER_MESSAGE_STARTUP only */
	char *key;                             /**< PW_CALLER_MESSAGE_STARTUP only */
	struct pw_caller_statement *statement; /**< set to NULL by a receiver that takes it */
};

void pw_caller_message_dispose(struct pw_caller_message *c);

struct pw_caller_dialect;

struct pw_caller_dialect_ops {
	/**
	 * Decodes the first message of the input.
	 *
	 * @param used_bytes receives the size of the message in bytes
	 * @return 0; PW_EAGAIN if the message is incomplete; PW_EINVALID if the input is not a
	 *         message of the protocol; PW_EOVERFLOW if the message is too large
	 */
	int (*decode_next)(struct pw_caller_message *out, const uint8_t *data, uint32_t size_bytes,
			   uint32_t *used_bytes);
	/* The following functions append a message to `out`. */
	/** @param row as in struct pw_reply */
	void (*put_row)(GByteArray *out, const GBytes *row);
	/** @param signature from the server; NULL if the proxy itself answers the statement */
	void (*put_complete)(GByteArray *out, const char *signature);
	/** @param text human-readable message, truncated to what a message can hold; may be NULL */
	void (*put_error)(GByteArray *out, enum pw_reason reason, const char *text);
	/** @param position log position to report to the caller; NULL for none */
	void (*put_ready)(GByteArray *out, enum pw_session_state state,
			  const struct pw_position *position);
};

struct pw_caller_dialect {
	const struct pw_caller_dialect_ops *ops;
};

enum pw_reply_kind {
	PW_REPLY_ROW,
	PW_REPLY_COMPLETE,
	PW_REPLY_ERROR,
	PW_REPLY_READY,
};

/** A message of a server. Owns its texts. */
struct pw_reply {
	enum pw_reply_kind kind;
	GBytes *row;                 /**< PW_REPLY_ROW: any bytes; NULL: a row without a field */
	char *text;                  /**< signature or error message; NULL: a success without
					signature or an error without message */
	enum pw_reason reason;       /**< PW_REPLY_ERROR only */
	enum pw_session_state state; /**< PW_REPLY_READY only */
	struct pw_position position; /**< log position; valid if `has_position` */
	bool has_position;
};

void pw_reply_dispose(struct pw_reply *r);

/** Status that a server reports on request. */
struct pw_server_status_row {
	bool is_primary;            /**< the server acts as primary */
	uint64_t term;              /**< term in which it is the primary or follows one */
	struct pw_position log_end; /**< position at the end of its log */
};

struct pw_server_dialect;

/*
 * The texts that the functions take are checked before: ids and names are neither empty nor contain
 * anything that ends a field, and the last text of a message does not contain its end.
 */
struct pw_server_dialect_ops {
	/** Decodes the first message of the input, as in struct pw_caller_dialect_ops. */
	int (*decode_next)(struct pw_reply *out, const uint8_t *data, uint32_t size_bytes,
			   uint32_t *used_bytes);
	/**
	 * Opens a session for a client account. The server refuses it with PW_REASON_WRONG_SERVER
	 * if its id is not `server_id`.
	 */
	void (*put_open)(GByteArray *out, const char *group, const char *account,
			 const char *server_id);
	/** @param floor position that the server's log must have reached; NULL for none */
	void (*put_begin)(GByteArray *out, bool read_only, const struct pw_position *floor);
	/**
	 * Appends a read, write, commit or execution of a prepared statement.
	 *
	 * @param name name of the prepared statement at the server; NULL for other statements
	 */
	void (*put_statement)(GByteArray *out, const struct pw_caller_statement *s,
			      const char *name, const struct pw_position *floor);
	void (*put_rollback)(GByteArray *out);
	/** Resets the session: drops its variables and prepared statements. */
	void (*put_reset)(GByteArray *out);
	void (*put_set)(GByteArray *out, const char *name, const GBytes *value);
	void (*put_prepare)(GByteArray *out, const char *name, bool writes,
			    const GBytes *statement_template);
	/** Requests the status of the server. */
	void (*put_status_request)(GByteArray *out);
	/** Demotes the server to a replica if it is the primary of a lower term. */
	void (*put_step_down)(GByteArray *out, uint64_t term);
	/**
	 * Parses the row that answers put_status_request() and put_step_down().
	 *
	 * @return 0, or PW_EINVALID with `out` unchanged
	 */
	int (*parse_status_row)(struct pw_server_status_row *out, const GBytes *row);
};

struct pw_server_dialect {
	const struct pw_server_dialect_ops *ops;
};

#endif
