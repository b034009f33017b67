/**
 * @file number.h
 * Parsing of decimal numbers. Thread-safe, including the first call.
 */
#ifndef PW_CORE_NUMBER_H
#define PW_CORE_NUMBER_H

#include <stdbool.h>
#include <stdint.h>

/** Parses a number without sign or blanks. @return false if it is malformed or out of range */
bool pw_number_parse(uint64_t *out, const char *text, uint64_t min, uint64_t max);

/** Parses a number with an optional minus sign. @return false if malformed or out of range */
bool pw_number_parse_signed(int64_t *out, const char *text, int64_t min, int64_t max);

#endif
