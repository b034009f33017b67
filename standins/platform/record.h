/**
 * @file record.h
 * Record of the statements that the servers of the stand-in received from clients: a JSON array
 * with one object each. The functions ignore an entry that is NULL, that of an unrecorded
 * statement.
 */
#ifndef PW_STANDINS_PLATFORM_RECORD_H
#define PW_STANDINS_PLATFORM_RECORD_H

#include <glib.h>
#include <jansson.h>

#include "statement.h"

/** Adds an entry for a statement unless its id is "-", and refers to it in the statement. */
void record_add(json_t *record, struct statement *s, const char *server_id, GBytes *account);

/**
 * Notes the state of the connection in which a statement runs.
 *
 * @param transaction number of the transaction, or 0
 * @param values      GBytes -> GBytes
 */
void record_state(json_t *entry, uint64_t transaction, GHashTable *values);

void record_row(json_t *entry, struct wire_text row);

/** Notes a result. The signature of a result that was not sent is "". */
void record_success(json_t *entry, const char *signature);
void record_error(json_t *entry, const char *code);

/** Notes that a write is committed. */
void record_committed(json_t *entry);

#endif
