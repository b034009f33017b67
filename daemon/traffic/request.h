/**
 * @file request.h
 * Messages between the front, ledger and group tasks.
 *
 * A front task sends a request to the ledger, which admits it and passes the same message on to the
 * group task of its database. The group task answers the front task with any number of chunks and
 * one end. A session has one request outstanding at a time.
 *
 * Other tasks also receive the messages about the service document and about a planned stop.
 */
#ifndef PW_DAEMON_TRAFFIC_REQUEST_H
#define PW_DAEMON_TRAFFIC_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "pw/codec/document.h"
#include "pw/core/counter.h"
#include "pw/core/msg.h"
#include "pw/decide/floor.h"

/** A batch of caller messages that ends in one ReadyForQuery. */
struct pw_request {
	struct pw_msg base;
	struct pw_mailbox *reply_to; /**< front task */
	uint64_t id;                 /**< unique in the process */
	uint64_t session_id;         /**< id of the caller connection, unique in the process */
	const struct pw_document *document; /**< the request holds a reference */
	const struct pw_document_database *database;
	const struct pw_document_account *account; /**< NULL on a route that needs no key */
	GByteArray *bytes;     /**< messages for the upstream: a Query, or all up to a Sync */
	struct pw_floor floor; /**< oldest state that a read outside a transaction may see */
	uint64_t arrived_us;
	uint64_t deadline_us;  /**< latest start of the statement */
	uint32_t timeout_us;   /**< for the answer to the statement */
	uint32_t stale_age_ms; /**< greatest age of data that the route accepts; 0: no limit */
	uint32_t hidden_answer_count; /**< leading ParseComplete and CloseComplete to drop */
	uint32_t statement_count;     /**< number of statements charged to the account's rate */
	bool may_use_replica;         /**< outside a transaction, may run on a replica */
	bool acknowledges_write;      /**< the answer acknowledges a write and needs confirmation */
	bool repeatable;              /**< safe to run more than once */
	bool in_transaction;          /**< runs on the connection that the session holds */
};

/** Why a request was not answered by an upstream. */
struct pw_refusal {
	const char *sqlstate; /**< one of PW_SQLSTATE_*, a static string */
	enum pw_counter counter;
	char *message;
};

/** Part of an answer, without its ReadyForQuery. */
struct pw_chunk {
	struct pw_msg base;
	uint64_t request_id;
	uint64_t session_id;
	struct pw_mailbox *credit_to; /**< group task that gets the struct pw_credit */
	GByteArray *bytes;
};

/** End of an answer. */
struct pw_response_end {
	struct pw_msg base;
	uint64_t request_id;
	uint64_t session_id;
	struct pw_refusal *refusal; /**< NULL after an answer of an upstream */
	struct pw_floor floor;      /**< for the next reads of the session */
	uint32_t parsed_count;      /**< Parse messages of the batch that were answered */
	char transaction_status;    /**< 'I', 'T' or 'E' as in ReadyForQuery */
	bool has_error;             /**< the answer contains an ErrorResponse */
	bool floor_changed;         /**< the session's position token changed */
	bool transaction_lost;      /**< the connection of the session's transaction was lost */
};

/** Flow control: `size_bytes` of the answer went to the caller; as many more may be sent. */
struct pw_credit {
	struct pw_msg base;
	uint64_t request_id;
	uint32_t size_bytes;
};

/**
 * A session ended or gave up its transaction, which is rolled back to release its connection. Takes
 * the way of the requests, through the ledger task, so that it does not overtake one of them.
 */
struct pw_session_end {
	struct pw_msg base;
	uint64_t session_id;
	struct pw_mailbox *group; /**< group task of the session's database */
};

/** Cancels the outstanding request of a session. */
struct pw_cancel {
	struct pw_msg base;
	uint64_t session_id;
};

/**
 * Ends an outstanding request at the end of the drain: it is refused if no server has got it, else
 * answered with the error that the outcome is unknown. Takes the way of the request, through the
 * ledger task to the group task, so that it cannot overtake it.
 */
struct pw_request_stop {
	struct pw_msg base;
	uint64_t request_id;
	struct pw_mailbox *group; /**< group task of the request's database */
};

/** A new snapshot of the service document, for every task that uses it. */
struct pw_snapshot {
	struct pw_msg base;
	const struct pw_document *document;
};

/** Requests the current snapshot from the config task; sent by a task when it starts. */
struct pw_snapshot_request {
	struct pw_msg base;
	struct pw_mailbox *reply_to;
};

/** Starts the receiver's part of a planned stop of the process. */
struct pw_drain {
	struct pw_msg base;
};

extern const struct pw_msg_ops pw_request_ops;
extern const struct pw_msg_ops pw_chunk_ops;
extern const struct pw_msg_ops pw_response_end_ops;
extern const struct pw_msg_ops pw_credit_ops;
extern const struct pw_msg_ops pw_session_end_ops;
extern const struct pw_msg_ops pw_cancel_ops;
extern const struct pw_msg_ops pw_request_stop_ops;
extern const struct pw_msg_ops pw_snapshot_ops;
extern const struct pw_msg_ops pw_snapshot_request_ops;
extern const struct pw_msg_ops pw_drain_ops;
/** Ends the drain of a task that serves callers: statements in progress are answered with an error.
 */
extern const struct pw_msg_ops pw_drain_end_ops;

struct pw_request *pw_request_new(void);
/** Creates an empty part of the answer to a request. */
struct pw_chunk *pw_chunk_new(const struct pw_request *r);
/**
 * Creates the end of an answer. Floor and transaction status are those that the session had before
 * the request.
 */
struct pw_response_end *pw_response_end_new(const struct pw_request *r);

/**
 * Creates the end of a request that was not answered by an upstream.
 *
 * @param sqlstate static string
 */
struct pw_response_end *pw_response_end_new_refused(const struct pw_request *r,
						    const char *sqlstate, enum pw_counter counter,
						    const char *format, ...)
	__attribute__((format(printf, 4, 5)));

struct pw_msg *pw_credit_msg(uint64_t request_id, uint32_t size_bytes);
struct pw_msg *pw_session_end_msg(uint64_t session_id, struct pw_mailbox *group);
struct pw_msg *pw_cancel_msg(uint64_t session_id);
struct pw_msg *pw_request_stop_msg(uint64_t request_id, struct pw_mailbox *group);
/** The message takes a reference of its own to the document. */
struct pw_msg *pw_snapshot_msg(const struct pw_document *d);
struct pw_msg *pw_snapshot_request_msg(struct pw_mailbox *reply_to);
struct pw_msg *pw_drain_msg(void);
struct pw_msg *pw_drain_end_msg(void);

/*
 * SQLSTATEs of the proxy's own errors. All but the first mean that the statement was not run, or
 * that it was rolled back with its transaction.
 */
#define PW_SQLSTATE_OUTCOME_UNKNOWN       "08007" /* transaction_resolution_unknown */
#define PW_SQLSTATE_PROTOCOL_VIOLATION    "08P01" /* protocol_violation */
#define PW_SQLSTATE_UNSUPPORTED           "0A000" /* feature_not_supported */
#define PW_SQLSTATE_INVALID_AUTHORIZATION "28000" /* invalid_authorization_specification */
#define PW_SQLSTATE_INVALID_KEY           "28P01" /* invalid_password */
#define PW_SQLSTATE_NO_DATABASE           "3D000" /* invalid_catalog_name */
#define PW_SQLSTATE_FAILED_TRANSACTION    "25P02" /* in_failed_sql_transaction */
#define PW_SQLSTATE_TRANSACTION_LOST      "40001" /* serialization_failure: safe to begin again */
#define PW_SQLSTATE_NO_ROUTE              "42704" /* undefined_object */
#define PW_SQLSTATE_NOT_ALLOWED           "42501" /* insufficient_privilege */
#define PW_SQLSTATE_TOO_MANY_CONNECTIONS  "53300" /* too_many_connections */
#define PW_SQLSTATE_RATE_EXCEEDED         "53400" /* configuration_limit_exceeded */
#define PW_SQLSTATE_LIMIT_EXCEEDED        "54000" /* program_limit_exceeded */
#define PW_SQLSTATE_CANCELED              "57014" /* query_canceled */
#define PW_SQLSTATE_SHUTDOWN              "57P01" /* admin_shutdown */
#define PW_SQLSTATE_UNAVAILABLE           "57P03" /* cannot_connect_now */
#define PW_SQLSTATE_LOST_WRITES           "58030" /* io_error */

#endif
