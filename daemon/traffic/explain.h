/**
 * @file explain.h
 * Messages between the administration API and a gateway task: which server would get a statement
 * now, and why. The gateway decides as for a statement of a caller, but sends nothing.
 */
#ifndef PW_DAEMON_TRAFFIC_EXPLAIN_H
#define PW_DAEMON_TRAFFIC_EXPLAIN_H

#include <stdbool.h>
#include <stdint.h>

#include "pw/core/msg.h"
#include "pw/decide/position.h"

/** A statement to explain. */
struct pw_explain_query {
	const char *account;
	const char *database; /**< as callers name it */
	const char *kind;     /**< "read", "write", "begin" or "begin-read" */
	/** Position of the session's last commit; set if `has_position`. */
	struct pw_position position;
	bool has_position;
};

struct pw_explain_msg {
	struct pw_msg base;
	struct pw_mailbox *reply_to;
	uint64_t tag;
	struct pw_explain_query query;
};

extern const struct pw_msg_ops pw_explain_msg_ops;

/** The answer to a struct pw_explain_msg. */
struct pw_explained_msg {
	struct pw_msg base;
	uint64_t tag;
	/**
	 * 0; PW_ENOTFOUND if the account or the database is unknown; PW_EINVALID if the kind is;
	 * PW_EUNAVAILABLE before the first catalogue
	 */
	int32_t code;
	char *text; /**< JSON, or an error message */
};

extern const struct pw_msg_ops pw_explained_msg_ops;

/** Creates a request; copies the query. */
struct pw_msg *pw_explain_msg_new(struct pw_mailbox *reply_to, uint64_t tag,
				  const struct pw_explain_query *query);

#endif
