/**
 * @file sql.h
 * Parser of the SQL subset that the stand-in database accepts, based on a table of patterns.
 */
#ifndef PW_STANDIN_SQL_H
#define PW_STANDIN_SQL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum pw_sql_kind {
	PW_SQL_EMPTY,
	PW_SQL_BEGIN,
	PW_SQL_COMMIT,
	PW_SQL_ROLLBACK,
	PW_SQL_INSERT,
	PW_SQL_UPDATE,
	PW_SQL_DELETE,
	PW_SQL_SELECT_V,
	PW_SQL_SELECT_ALL,
	PW_SQL_SELECT_COUNT,
	PW_SQL_SELECT_VALUE,
	PW_SQL_SLEEP,
	PW_SQL_SHOW,
	PW_SQL_SET,
	PW_SQL_ECHO, /**< this and all kinds below are control functions, which need no slot */
	PW_SQL_STATUS,
	PW_SQL_FENCE,
	PW_SQL_PROMOTE,
	PW_SQL_FOLLOW,
	PW_SQL_FAULT,
	PW_SQL_STREAM,
};

#define PW_SQL_ARGS_MAX 3

struct pw_sql_arg {
	char *text;     /**< text of a literal; NULL for SQL NULL */
	uint16_t param; /**< number n of a parameter $n; 0 for a literal */
};

/** A parsed statement, reference-counted with g_rc_box_*. */
struct pw_sql {
	enum pw_sql_kind kind;
	uint16_t param_count;                    /**< highest number n of a parameter $n */
	char *name;                              /**< name of the table or setting; NULL: none */
	struct pw_sql_arg args[PW_SQL_ARGS_MAX]; /**< for row operations, 0 is k and 1 is v */
};

/** @return 0, or PW_EINVALID for an unsupported statement */
int pw_sql_parse(struct pw_sql **out, const char *text);
struct pw_sql *pw_sql_ref(struct pw_sql *q);
void pw_sql_unref(struct pw_sql *q);

#endif
