/**
 * @file log.h
 * Replication log of a server of the stand-in.
 */
#ifndef PW_STANDINS_PLATFORM_LOG_H
#define PW_STANDINS_PLATFORM_LOG_H

#include <glib.h>
#include <stdint.h>

/** Creates an empty log: an array of entries, which the logs of a group share. */
GPtrArray *log_new(void);

void log_append(GPtrArray *log, uint64_t term, GBytes *item, GBytes *data);

/** @return term of the last entry; 1 if there is none */
uint64_t log_last_term(const GPtrArray *log);

/** @return data of the last write to the item, or NULL */
GBytes *log_find(const GPtrArray *log, GBytes *item);

/**
 * Removes the entries of the replica's log from the first one that differs from the primary's, then
 * adds the primary's entries that were appended at `until_us` or before.
 */
void log_replicate(GPtrArray *replica, const GPtrArray *primary, uint64_t until_us);

#endif
