#include "pw/decide/position.h"

#include <inttypes.h>
#include <stdio.h>

#include "pw/core/error.h"

/* Hexadecimal digits of a uint64_t. */
#define DIGITS_MAX 16

int pw_position_compare(const struct pw_position *a, const struct pw_position *b)
{
	if (a->term != b->term)
		return a->term < b->term ? -1 : 1;
	return (a->lsn > b->lsn) - (a->lsn < b->lsn);
}

struct pw_position pw_position_max(const struct pw_position *a, const struct pw_position *b)
{
	return pw_position_compare(a, b) >= 0 ? *a : *b;
}

void pw_position_format(char out[PW_POSITION_TEXT_SIZE], const struct pw_position *p)
{
	snprintf(out, PW_POSITION_TEXT_SIZE, "%" PRIx64 "/%" PRIx64, p->term, p->lsn);
}

/* Parses 1 to 16 digits. Returns the text after them, or NULL. */
static const char *parse_hex(uint64_t *out, const char *text)
{
	uint64_t value = 0;
	uint32_t digits = 0;

	for (;; text++, digits++) {
		uint64_t digit;

		if (*text >= '0' && *text <= '9')
			digit = (uint64_t)(*text - '0');
		else if (*text >= 'a' && *text <= 'f')
			digit = (uint64_t)(*text - 'a') + 10;
		else if (*text >= 'A' && *text <= 'F')
			digit = (uint64_t)(*text - 'A') + 10;
		else
			break;
		if (digits == DIGITS_MAX)
			return NULL;
		value = value << 4 | digit;
	}
	*out = value;
	return digits ? text : NULL;
}

int pw_position_parse(struct pw_position *out, const char *text)
{
	struct pw_position p;
	const char *rest = parse_hex(&p.term, text);

	if (rest && *rest == '/')
		rest = parse_hex(&p.lsn, rest + 1);
	else
		rest = NULL;
	if (!rest || *rest)
		return pw_error_set(PW_EINVALID, "position token is not TERM/LSN in hexadecimal");
	*out = p;
	return PW_OK;
}

bool pw_position_is_lost(const struct pw_position *floor, const struct pw_position *start)
{
	return floor->term < start->term && floor->lsn > start->lsn;
}
