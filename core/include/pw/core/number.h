/**
 * @file number.h
 * Parsing of decimal numbers. Thread-safe, including the first call.
 */
#ifndef PW_CORE_NUMBER_H
#define PW_CORE_NUMBER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Parses a number without sign or blanks.
 *
 * @return whether it is well-formed and from `min` to `max`; if not, `out` is unchanged
 */
bool pw_number_parse(uint64_t *out, const char *text, uint64_t min, uint64_t max);

/** Like pw_number_parse(), but accepts a leading sign. */
bool pw_number_parse_signed(int64_t *out, const char *text, int64_t min, int64_t max);

#endif
