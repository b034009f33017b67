/*
 * Fuzzing of the platform's line protocol: the codec finds the same message as a reader written
 * from the protocol's page, a statement or row is passed on byte for byte, and every encoded
 * message is exactly one line. A line end inside a message would let a caller inject another one.
 */
#include "fuzz.h"

#include "pw/core/error.h"
#include "pw/platform/platform.h"

const uint32_t fuzz_round_count = 2000000;

/* Returns the size of the first line with its CR LF, or 0 if there is no complete one. */
static size_t strict_line_bytes(const uint8_t *data, size_t size_bytes)
{
	for (size_t i = 1; i < size_bytes; i++) {
		if (data[i - 1] == '\r' && data[i] == '\n')
			return i + 1;
	}
	return 0;
}

/* Inputs are smaller than the size limit, so that a message is incomplete or found. */
static void check_result(int rc, uint32_t used_bytes, const uint8_t *data, size_t size_bytes)
{
	size_t line_bytes = strict_line_bytes(data, size_bytes);

	FUZZ_CHECK(rc == PW_OK || rc == PW_EAGAIN || rc == PW_EINVALID);
	FUZZ_CHECK((rc == PW_EAGAIN) == (line_bytes == 0));
	FUZZ_CHECK(rc != PW_OK || used_bytes == line_bytes);
}

static void check_one_line(const GByteArray *b)
{
	FUZZ_CHECK(strict_line_bytes(b->data, b->len) == b->len);
}

static void check_same(const GByteArray *b, const uint8_t *data, uint32_t used_bytes)
{
	check_one_line(b);
	FUZZ_CHECK(b->len == used_bytes && !memcmp(b->data, data, used_bytes));
}

/* Returns the size of the line's first `count` fields, with the blank behind each. */
static uint32_t skip_fields(const uint8_t *data, uint32_t size_bytes, uint32_t count)
{
	uint32_t i = 0;

	while (i < size_bytes && count)
		count -= data[i++] == ' ';
	FUZZ_CHECK(!count);
	return i;
}

/* Checks that the message is `start` and what follows the `skipped` first fields of the input. */
static void check_tail(const GByteArray *b, const char *start, const uint8_t *data,
		       uint32_t used_bytes, uint32_t skipped)
{
	uint32_t i = skip_fields(data, used_bytes, skipped);

	check_one_line(b);
	FUZZ_CHECK(b->len == strlen(start) + used_bytes - i);
	FUZZ_CHECK(!memcmp(b->data, start, strlen(start)));
	FUZZ_CHECK(!memcmp(b->data + strlen(start), data + i, used_bytes - i));
}

static void check_statement(const struct pw_caller_statement *s, const uint8_t *data,
			    uint32_t used_bytes)
{
	const struct pw_server_dialect_ops *ops = pw_platform_server_dialect.ops;
	GByteArray *b = g_byte_array_new();
	char *start;

	switch (s->verb) {
	case PW_VERB_READ:
	case PW_VERB_WRITE:
	case PW_VERB_COMMIT:
		ops->put_statement(b, s, NULL, NULL);
		check_same(b, data, used_bytes);
		break;
	case PW_VERB_EXECUTE:
		ops->put_statement(b, s, s->name, NULL);
		check_same(b, data, used_bytes);
		g_byte_array_set_size(b, 0);
		ops->put_statement(b, s, "p1", NULL);
		start = g_strdup_printf("QUERY %s EXECUTE p1 ", s->id);
		check_tail(b, start, data, used_bytes, 4);
		g_free(start);
		break;
	case PW_VERB_SET:
		ops->put_set(b, s->name, s->argument);
		check_tail(b, "QUERY - SET ", data, used_bytes, 3);
		break;
	case PW_VERB_PREPARE:
		ops->put_prepare(b, "p1", s->prepares_write, s->argument);
		check_tail(b,
			   s->prepares_write ? "QUERY - PREPARE p1 WRITE "
					     : "QUERY - PREPARE p1 READ ",
			   data, used_bytes, 5);
		break;
	default:
		break;
	}
	g_byte_array_unref(b);
}

static void check_caller_message(const uint8_t *data, size_t size_bytes)
{
	struct pw_caller_message c;
	uint32_t used_bytes = 0;
	int rc = pw_platform_caller_dialect.ops->decode_next(&c, data, (uint32_t)size_bytes,
							     &used_bytes);

	check_result(rc, used_bytes, data, size_bytes);
	if (!rc && c.kind == PW_CALLER_MESSAGE_STATEMENT)
		check_statement(c.statement, data, used_bytes);
	pw_caller_message_dispose(&c);
}

/* Checks that a decoded row, or the signature of a COMPLETE, is passed on as it came. */
static void check_server_message(const uint8_t *data, size_t size_bytes)
{
	GByteArray *b = g_byte_array_new();
	struct pw_server_status_row row;
	struct pw_reply r;
	uint32_t used_bytes = 0;
	int rc = pw_platform_server_dialect.ops->decode_next(&r, data, (uint32_t)size_bytes,
							     &used_bytes);

	check_result(rc, used_bytes, data, size_bytes);
	if (!rc && r.kind == PW_REPLY_ROW) {
		(void)pw_platform_server_dialect.ops->parse_status_row(&row, r.row);
		pw_platform_caller_dialect.ops->put_row(b, r.row);
		check_same(b, data, used_bytes);
	} else if (!rc && r.kind == PW_REPLY_COMPLETE) {
		pw_platform_caller_dialect.ops->put_complete(b, r.text);
		check_one_line(b);
		if (r.text)
			check_same(b, data, used_bytes);
	} else if (!rc && r.kind == PW_REPLY_ERROR) {
		pw_platform_caller_dialect.ops->put_error(b, r.reason, r.text);
		check_one_line(b);
	}
	pw_reply_dispose(&r);
	g_byte_array_unref(b);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
	check_caller_message(data, size_bytes);
	check_server_message(data, size_bytes);
	return 0;
}

void fuzz_add_seeds(GPtrArray *seeds)
{
	static const char *const lines[] = {
		"STARTUP desk u3f1\r\n",
		"TERMINATE\r\n",
		"QUERY 5c BEGIN\r\n",
		"QUERY 5c BEGIN READ\r\n",
		"QUERY 5c READ 1a4\r\n",
		"QUERY 5c WRITE 1a4  two blanks \r\n",
		"QUERY 5c SET zone north west\r\n",
		"QUERY 5c PREPARE s1 WRITE q2c\r\n",
		"QUERY 5c EXECUTE s1 1a4 xkq\nfcta\r\n",
		"QUERY 5c WRITE k1 x\nQUERY zz WRITE k2 smuggled\r\n",
		"QUERY 5c WRITE k1 \r\r\n",
		"QUERY 5c SET zone \r\n",
		"DATAROW \n\r\n",
		"DATAROW\r\n",
		"QUERY 5c CLOSE s1\r\nQUERY 5d COMMIT\r\n",
		"DATAROW qhz kwm\r\n",
		"DATAROW replica 3 3.1209 0 12 2 17\r\n",
		"COMPLETE 7.1f3.c\r\n",
		"ERROR READONLY i-7f3a91c2\r\n",
		"READY I 3.1207\r\n",
		"READY T -\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		fuzz_add_seed(seeds, lines[i], strlen(lines[i]));
}
