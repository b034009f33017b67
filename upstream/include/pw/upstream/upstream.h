/**
 * @file upstream.h
 * Vtable for what differs between kinds of database group: the SQL of the control statements and
 * the format of a status row.
 */
#ifndef PW_UPSTREAM_UPSTREAM_H
#define PW_UPSTREAM_UPSTREAM_H

#include <stddef.h>
#include <stdint.h>

#include "pw/decide/server.h"

struct pw_upstream;

struct pw_upstream_ops {
	const char *name;             /**< name of the kind of group */
	uint16_t status_column_count; /**< number of columns of a status row */
	/** @return SQL of the status statement, a static string */
	const char *(*status_statement)(const struct pw_upstream *u);
	/**
	 * @return SQL of a statement that any user may run and that returns the token as its only
	 *         row and column; the caller frees it with g_free()
	 */
	char *(*echo_statement)(const struct pw_upstream *u, const char *token);
	/*
	 * These functions return the SQL of a control statement; the caller frees it with g_free().
	 * `promoter` identifies the VM that runs the failover, and its incarnation.
	 */
	/** Raises the server's term, and stops writes until a promote or follow statement. */
	char *(*fence_statement)(const struct pw_upstream *u, uint64_t term, const char *promoter);
	/** Makes the server the primary, if the same promoter has fenced it at the same term. */
	char *(*promote_statement)(const struct pw_upstream *u, uint64_t term,
				   const char *promoter);
	/** Makes the server a replica of the term's primary, which has this address (IP:PORT). */
	char *(*follow_statement)(const struct pw_upstream *u, uint64_t term, const char *address);
	/**
	 * Parses a status row.
	 *
	 * @param values text of each column; NULL stands for SQL NULL
	 * @return 0, or PW_EINVALID with `out` unchanged
	 */
	int (*parse_status)(const struct pw_upstream *u, struct pw_server_status *out,
			    const char *const *values, uint16_t count);
};

/** First member of every kind of database group. */
struct pw_upstream {
	const struct pw_upstream_ops *ops;
};

/** Groups controlled by the SQL functions pw_status(), pw_echo(), pw_fence(),
 * pw_promote() and pw_follow(). */
extern const struct pw_upstream pw_upstream_sql_functions;

#endif
