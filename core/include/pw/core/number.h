/**
 * @file number.h
 * Decimal numbers as text. Safe in several threads from the first call on.
 */
#ifndef PW_CORE_NUMBER_H
#define PW_CORE_NUMBER_H

#include <stdbool.h>
#include <stdint.h>

/** Reads a number without sign or blanks. @return false when it is none, or out of range */
bool pw_number_parse(uint64_t *out, const char *text, uint64_t min, uint64_t max);

/** Reads a number that may have a minus sign. @return false when it is none, or out of range */
bool pw_number_parse_signed(int64_t *out, const char *text, int64_t min, int64_t max);

#endif
