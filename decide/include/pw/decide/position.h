/**
 * @file position.h
 * Positions in the replication log of a database group, and their text form, the position token.
 */
#ifndef PW_DECIDE_POSITION_H
#define PW_DECIDE_POSITION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct pw_position {
	uint64_t term; /**< term of the primary that wrote the entry */
	uint64_t lsn;  /**< offset in the log in bytes */
};

/** Size of the longest token: two numbers of 16 digits, a slash and the terminating zero. */
#define PW_POSITION_TEXT_SIZE 34

/**
 * Compares by term, then by offset in the log.
 *
 * @return below 0, 0 or above 0
 */
int pw_position_compare(const struct pw_position *a, const struct pw_position *b);

/** @return the greater of the two */
struct pw_position pw_position_max(const struct pw_position *a, const struct pw_position *b);

/** Writes the token `TERM/LSN` in lower-case hexadecimal digits without leading zeros. */
void pw_position_format(char out[PW_POSITION_TEXT_SIZE], const struct pw_position *p);

/**
 * Parses a token. Hexadecimal digits of both cases are accepted; signs, spaces, prefixes and
 * trailing text are rejected.
 *
 * @return 0, or PW_EINVALID with `out` unchanged
 */
int pw_position_parse(struct pw_position *out, const char *text);

/**
 * Checks whether a promotion lost writes up to the floor: the floor is of an older term and lies
 * beyond the start of the new one.
 *
 * The check considers the start of one term only. If the floor is two or more terms older, the
 * start of the newest term may hide a loss at a promotion in between; a caller that sees every term
 * checks the start of each.
 *
 * @param floor position up to which a session may have seen the log
 * @param start first position of the newer term
 * @return whether writes were lost
 */
bool pw_position_is_lost(const struct pw_position *floor, const struct pw_position *start);

#endif
