/**
 * @file data.h
 * Tables and replication log of the stand-in database. Tables have the columns k and v. k is not
 * unique, so that an INSERT that was executed twice shows in the row count.
 */
#ifndef PW_STANDIN_DATA_H
#define PW_STANDIN_DATA_H

#include <glib.h>
#include <stdint.h>

/** A row operation: 'I' inserts a row, 'U' sets v of all rows with this k, 'D' deletes the rows. */
struct pw_db_change {
	char op;
	char *table;
	char *k;
	char *v; /**< NULL for SQL NULL and for 'D' */
};

/** A committed write transaction. Its LSN is its position in the log, counted from 1. */
struct pw_db_log_entry {
	uint64_t term;
	uint64_t committed_us;
	GPtrArray *changes; /**< of struct pw_db_change */
};

struct pw_db_data {
	GHashTable *tables; /**< name to table; a table is a GTree of k to GPtrArray of v */
	GPtrArray *log;     /**< of struct pw_db_log_entry, in LSN order */
};

void pw_db_data_init(struct pw_db_data *d);
void pw_db_data_dispose(struct pw_db_data *d);

/** @return empty array that owns its struct pw_db_change members */
GPtrArray *pw_db_changes_new(void);
void pw_db_changes_add(GPtrArray *changes, char op, const char *table, const char *k,
		       const char *v);

/** Applies a transaction and appends it to the log; takes ownership of `changes`. */
void pw_db_data_commit(struct pw_db_data *d, uint64_t term, uint64_t committed_us,
		       GPtrArray *changes);
/** Removes the log entries after `lsn` and undoes their changes. */
void pw_db_data_truncate(struct pw_db_data *d, uint64_t lsn);
/** @return LSN of the last log entry, or 0 if the log is empty */
uint64_t pw_db_data_lsn(const struct pw_db_data *d);
/** @return term of the log entry at `lsn`, or 0 if there is none */
uint64_t pw_db_data_term_at(const struct pw_db_data *d, uint64_t lsn);

/**
 * Returns the rows of a table as a transaction sees them; an unknown table has no rows.
 *
 * @param changes the transaction's uncommitted changes
 * @param k       selects the rows with this k; NULL selects all
 * @return tree of k to GPtrArray of v; the caller releases it with g_tree_unref()
 */
GTree *pw_db_data_view(const struct pw_db_data *d, const GPtrArray *changes, const char *table,
		       const char *k);

#endif
