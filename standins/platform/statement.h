/**
 * @file statement.h
 * Syntax of the statements that the servers of the stand-in receive.
 */
#ifndef PW_STANDINS_PLATFORM_STATEMENT_H
#define PW_STANDINS_PLATFORM_STATEMENT_H

#include <jansson.h>

#include "wire.h"

enum verb {
	VERB_MALFORMED,
	VERB_READ,
	VERB_WRITE,
	VERB_EXECUTE,
	VERB_COMMIT,
	VERB_BEGIN,
	VERB_ROLLBACK,
	VERB_SET,
	VERB_PREPARE,
	VERB_CLOSE,
	VERB_RESET,
	VERB_STATUS,
	VERB_STEPDOWN,
	VERB_COUNT,
};

/** Reads, writes and commits have a run time and a signed result. */
enum statement_kind {
	STATEMENT_OTHER,
	STATEMENT_READ,
	STATEMENT_WRITE,
	STATEMENT_COMMIT,
};

/** One statement; its texts refer to `line`. */
struct statement {
	GBytes *line;          /**< the message after its first field */
	struct wire_text id;   /**< of the client, or "-" */
	struct wire_text text; /**< without a WAITLSN prefix */
	enum verb verb;
	enum statement_kind kind; /**< of EXECUTE, see statement_resolve() */
	struct wire_text name;    /**< of SET, PREPARE, EXECUTE and CLOSE */
	struct wire_text item;    /**< of reads and writes */
	struct wire_text data;    /**< of writes and SET */
	GBytes *shape;            /**< of PREPARE, and after statement_resolve() of EXECUTE */
	enum statement_kind prepared_kind; /**< of PREPARE */
	bool is_own;                       /**< the id is "-" */
	bool read_only;                    /**< of BEGIN */
	bool waits_for_position;           /**< has a WAITLSN prefix with `position` */
	uint64_t position;                 /**< number in the server's log */
	uint64_t term;                     /**< argument of STEPDOWN */
	json_t *record;                    /**< entry of the record, or NULL */
};

/**
 * Parses "ID TEXT". The verb is VERB_MALFORMED if the statement does not have the exact syntax.
 *
 * @return the statement, which the caller frees
 */
struct statement *statement_new(struct wire_text message);
void statement_free(struct statement *s);

/** Sets the kind and the shape of an EXECUTE to those of the prepared statement. */
void statement_resolve(struct statement *s, enum statement_kind kind, GBytes *shape);

#endif
