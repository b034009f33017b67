/**
 * @file wire.h
 * Reader of the platform's line protocol for the servers of the stand-in. It shares no code with
 * the proxy, so that a fault of one reader does not hide the same fault in the other. Texts have
 * sizes because the last field of a line holds any bytes but CR LF.
 */
#ifndef PW_STANDINS_PLATFORM_WIRE_H
#define PW_STANDINS_PLATFORM_WIRE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Largest size of a line without its CR LF. */
#define WIRE_LINE_MAX_BYTES UINT32_C(1048576)

/** Bytes in a buffer that is owned elsewhere. `data` is NULL if a field is missing. */
struct wire_text {
	const char *data;
	gsize size_bytes;
};

enum wire_result {
	WIRE_LINE,
	WIRE_INCOMPLETE,
	WIRE_TOO_LONG,
};

/**
 * Finds the first line of the input. Only CR LF ends a line.
 *
 * @param line receives the line without its CR LF, if the result is WIRE_LINE
 */
enum wire_result wire_next_line(struct wire_text *line, const GByteArray *input);

/** Cuts the first field off `rest`. What remains is missing if no blank follows the field. */
struct wire_text wire_cut_field(struct wire_text *rest);

/** @return whether the text has this value; a missing text has none */
bool wire_equals(struct wire_text t, const char *value);

/** @return false if the text is missing, is empty or contains anything but digits */
bool wire_parse_number(uint64_t *out, struct wire_text t);

GBytes *wire_copy(struct wire_text t);
struct wire_text wire_text_of(GBytes *bytes);
struct wire_text wire_text_of_string(const char *text);

void wire_append(GByteArray *out, struct wire_text t);

#endif
