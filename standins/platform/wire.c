#include "wire.h"

#include <string.h>

enum wire_result wire_next_line(struct wire_text *line, const GByteArray *input)
{
	const char *start = input ? (const char *)input->data : NULL;
	const char *end = start ? memmem(start, input->len, "\r\n", 2) : NULL;

	/* The last byte of an incomplete line may be the CR of its end. */
	if (!end)
		return input && input->len > WIRE_LINE_MAX_BYTES + 1 ? WIRE_TOO_LONG
								     : WIRE_INCOMPLETE;
	if ((gsize)(end - start) > WIRE_LINE_MAX_BYTES)
		return WIRE_TOO_LONG;
	*line = (struct wire_text){ .data = start, .size_bytes = (gsize)(end - start) };
	return WIRE_LINE;
}

struct wire_text wire_cut_field(struct wire_text *rest)
{
	struct wire_text field = *rest;
	const char *blank = rest->data ? memchr(rest->data, ' ', rest->size_bytes) : NULL;

	if (!blank) {
		*rest = (struct wire_text){ 0 };
		return field;
	}
	field.size_bytes = (gsize)(blank - rest->data);
	rest->data = blank + 1;
	rest->size_bytes -= field.size_bytes + 1;
	return field;
}

bool wire_equals(struct wire_text t, const char *value)
{
	return t.data && t.size_bytes == strlen(value) && memcmp(t.data, value, t.size_bytes) == 0;
}

bool wire_parse_number(uint64_t *out, struct wire_text t)
{
	uint64_t number = 0;

	for (gsize i = 0; i < t.size_bytes; i++) {
		if (!g_ascii_isdigit(t.data[i]) || __builtin_mul_overflow(number, 10, &number) ||
		    __builtin_add_overflow(number, (uint64_t)(t.data[i] - '0'), &number))
			return false;
	}
	*out = number;
	return t.size_bytes > 0;
}

GBytes *wire_copy(struct wire_text t)
{
	return g_bytes_new(t.data, t.size_bytes);
}

struct wire_text wire_text_of(GBytes *bytes)
{
	struct wire_text t = { 0 };

	t.data = g_bytes_get_data(bytes, &t.size_bytes);
	/* GLib returns NULL for no bytes, but the text is not missing. */
	if (!t.data)
		t.data = "";
	return t;
}

struct wire_text wire_text_of_string(const char *text)
{
	return (struct wire_text){ .data = text, .size_bytes = strlen(text) };
}

void wire_append(GByteArray *out, struct wire_text t)
{
	if (t.size_bytes)
		g_byte_array_append(out, (const guint8 *)t.data, (guint)t.size_bytes);
}
