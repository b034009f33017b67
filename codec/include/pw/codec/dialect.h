/**
 * @file dialect.h
 * The protocols of callers and of servers, each behind a small vtable. Sessions, transactions,
 * routing and retries know the decoded messages of this file only; the bytes are the business of
 * the implementation of a vtable.
 */
#ifndef PW_CODEC_DIALECT_H
#define PW_CODEC_DIALECT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "pw/decide/position.h"

/** Largest message of a caller or a server. */
#define PW_DIALECT_MESSAGE_MAX_BYTES (UINT32_C(1) << 20)

/** Why a statement failed, or was not run. */
enum pw_reason {
	PW_REASON_NONE,
	PW_REASON_BUSY,              /**< not run: no capacity */
	PW_REASON_ABORTED,           /**< the transaction was rolled back */
	PW_REASON_BEHIND,            /**< not run: the server's log lacks the wanted position */
	PW_REASON_NOT_PRIMARY,       /**< not run: the server may not write */
	PW_REASON_WRONG_SERVER,      /**< not run: the server is not the one that was addressed */
	PW_REASON_CONNECTION_LIMIT,  /**< not run: the server has too many connections */
	PW_REASON_UNKNOWN_STATEMENT, /**< not run: no prepared statement of that name */
	PW_REASON_FAILED,            /**< was run and failed */
	PW_REASON_TIMEOUT,           /**< took too long; the outcome is unknown */
	PW_REASON_OUTCOME_UNKNOWN,   /**< a commit or write may have taken effect */
	PW_REASON_BAD_KEY,
	PW_REASON_NO_DATABASE,
	PW_REASON_TOO_LARGE,
	PW_REASON_MALFORMED,
	PW_REASON_OTHER, /**< an error of the server that the proxy does not know */
	PW_REASON_COUNT
};

/** @return name for the log */
const char *pw_reason_name(enum pw_reason r);

/** State of a session after an answer. */
enum pw_session_state {
	PW_SESSION_IDLE,
	PW_SESSION_IN_TRANSACTION,
	PW_SESSION_FAILED, /**< in a transaction that can only be ended */
};

enum pw_verb {
	PW_VERB_BEGIN,
	PW_VERB_BEGIN_READ, /**< transaction without writes */
	PW_VERB_COMMIT,
	PW_VERB_ROLLBACK,
	PW_VERB_READ,
	PW_VERB_WRITE,
	PW_VERB_SET,
	PW_VERB_PREPARE,
	PW_VERB_EXECUTE,
	PW_VERB_FORGET, /**< drops a prepared statement */
};

/** A statement as its caller sent it. Owns its text. */
struct pw_statement_call {
	enum pw_verb verb;
	char *id;       /**< names the statement at the server, too */
	char *name;     /**< of a value or prepared statement; NULL for the others */
	char *argument; /**< what follows in the message, byte for byte; may be empty */
	bool writes;    /**< PW_VERB_PREPARE: the statement that is prepared writes */
};

void pw_statement_call_free(struct pw_statement_call *s);

enum pw_call_kind {
	PW_CALL_OPEN,      /**< start of a session */
	PW_CALL_STATEMENT, /**< `statement` is set; the receiver takes it out */
	PW_CALL_END,
	PW_CALL_MALFORMED, /**< a statement that cannot be read; the session can go on */
};

/** One message of a caller. */
struct pw_call {
	enum pw_call_kind kind;
	char *database;
	char *key;
	struct pw_statement_call *statement;
};

void pw_call_dispose(struct pw_call *c);

struct pw_caller_dialect;

struct pw_caller_dialect_ops {
	/**
	 * Takes the first message of the input.
	 *
	 * @param used receives its size
	 * @return 0; PW_EAGAIN when it is not complete; PW_EINVALID when the input cannot be read
	 *         as messages; PW_EOVERFLOW when the message is too large
	 */
	int (*next)(struct pw_call *out, const uint8_t *data, uint32_t size_bytes, uint32_t *used);
	void (*put_row)(GByteArray *out, const char *row);
	/** @param signature as the server gave it; NULL for statements that the proxy answers */
	void (*put_complete)(GByteArray *out, const char *signature);
	/** @param text for people; may be NULL */
	void (*put_error)(GByteArray *out, enum pw_reason reason, const char *text);
	/** @param at position of the log; NULL for none */
	void (*put_ready)(GByteArray *out, enum pw_session_state state,
			  const struct pw_position *at);
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

/** One message of a server. Owns its text. */
struct pw_reply {
	enum pw_reply_kind kind;
	char *text; /**< row, signature, or text of an error */
	enum pw_reason reason;
	enum pw_session_state state;
	struct pw_position at;
	bool has_position;
};

void pw_reply_dispose(struct pw_reply *r);

/** What a server says of itself on request. */
struct pw_server_report {
	bool primary;
	uint64_t term;          /**< term that it leads or follows */
	struct pw_position log; /**< end of its log */
};

struct pw_server_dialect;

struct pw_server_dialect_ops {
	int (*next)(struct pw_reply *out, const uint8_t *data, uint32_t size_bytes, uint32_t *used);
	/** Start of a connection for one client account; `server_id` must be the server's. */
	void (*put_open)(GByteArray *out, const char *group, const char *account,
			 const char *server_id);
	/** @param floor position that the server's log must have; NULL for none */
	void (*put_begin)(GByteArray *out, bool read_only, const struct pw_position *floor);
	/**
	 * A read, write, commit or execution.
	 *
	 * @param name name of the prepared statement at the server; NULL for other statements
	 */
	void (*put_statement)(GByteArray *out, const struct pw_statement_call *s, const char *name,
			      const struct pw_position *floor);
	void (*put_rollback)(GByteArray *out);
	/** Drops session values and prepared statements. */
	void (*put_reset)(GByteArray *out);
	void (*put_set)(GByteArray *out, const char *name, const char *value);
	void (*put_prepare)(GByteArray *out, const char *name, bool writes, const char *shape);
	void (*put_report)(GByteArray *out);
	/** Makes a primary of a lower term a replica. */
	void (*put_step_down)(GByteArray *out, uint64_t term);
	/** Reads the row that answers put_report() and put_step_down(). */
	int (*report)(struct pw_server_report *out, const char *row);
};

struct pw_server_dialect {
	const struct pw_server_dialect_ops *ops;
};

#endif
