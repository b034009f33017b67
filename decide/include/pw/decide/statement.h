/**
 * @file statement.h
 * Analysis of a statement: its normalised text, for the choice of a route, and its effect on
 * transactions and session state.
 */
#ifndef PW_DECIDE_STATEMENT_H
#define PW_DECIDE_STATEMENT_H

#include <stddef.h>

enum pw_statement_kind {
	PW_STATEMENT_EMPTY,          /**< only white space, comments and semicolons */
	PW_STATEMENT_ORDINARY,       /**< needs a route */
	PW_STATEMENT_BEGIN,          /**< opens a transaction */
	PW_STATEMENT_COMMIT,         /**< commits a transaction */
	PW_STATEMENT_ROLLBACK,       /**< rolls a transaction back */
	PW_STATEMENT_IN_TRANSACTION, /**< valid only in a transaction: savepoints, SET LOCAL etc. */
	PW_STATEMENT_SET_POSITION,   /**< SET pimentowing.position, answered by the proxy */
	PW_STATEMENT_UNSUPPORTED,    /**< refused; most would leave state on a shared connection */
};

struct pw_statement {
	enum pw_statement_kind kind;
	/** Normalised: lower case, no comments, white space collapsed, quoted text unchanged. */
	char *text;
	/** Why it is not supported, or the value of SET pimentowing.position; NULL otherwise. */
	char *detail;
};

/**
 * Analyses one query string.
 *
 * @param sql query string of a Query or Parse message
 * @return always PW_OK
 */
int pw_statement_init(struct pw_statement *out, const char *sql);
void pw_statement_dispose(struct pw_statement *s);

/** @return 1 if the normalised text starts with the words of `prefix`, 0 otherwise */
int pw_statement_has_prefix(const struct pw_statement *s, const char *prefix);

#endif
