#include "document_private.h"

/* State of a scan of JSON text that measures its depth and estimates its number of values. */
struct json_scan {
	uint32_t depth;
	uint32_t max_depth;
	/** Number of opening brackets and commas; at least the number of values below the root. */
	uint32_t value_count;
	bool in_string;
	bool escaped; /**< the next character of the string is escaped */
};

static void scan_structure(struct json_scan *s, char c)
{
	switch (c) {
	case '"':
		s->in_string = true;
		break;
	case '{':
	case '[':
		s->depth++;
		s->max_depth = MAX(s->max_depth, s->depth);
		s->value_count++;
		break;
	case '}':
	case ']':
		s->depth -= s->depth > 0;
		break;
	case ',':
		s->value_count++;
		break;
	default:
		break;
	}
}

static void scan_string(struct json_scan *s, char c)
{
	if (s->escaped)
		s->escaped = false;
	else if (c == '\\')
		s->escaped = true;
	else if (c == '"')
		s->in_string = false;
}

bool pw_document_check_limits(struct pw_document_parser *p, const char *text, size_t size_bytes)
{
	struct json_scan s = { 0 };

	for (size_t i = 0; i < size_bytes; i++) {
		if (s.in_string)
			scan_string(&s, text[i]);
		else
			scan_structure(&s, text[i]);
	}
	if (s.max_depth > PW_DOCUMENT_MAX_DEPTH)
		pw_document_add_finding(p, "document",
					"nested %u levels deep; at most %d are allowed",
					s.max_depth, PW_DOCUMENT_MAX_DEPTH);
	if (s.value_count > PW_DOCUMENT_MAX_VALUES)
		pw_document_add_finding(p, "document", "%u values; at most %d are allowed",
					s.value_count, PW_DOCUMENT_MAX_VALUES);
	return p->finding_count == 0;
}
