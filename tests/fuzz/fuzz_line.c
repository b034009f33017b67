/*
 * Fuzzing of the platform's line protocol: a decoded statement is sent to a server unchanged, and
 * every encoded message is exactly one line. A line end inside a message would let a caller inject
 * another one.
 */
#include "fuzz.h"

#include "pw/core/error.h"
#include "pw/platform/platform.h"

const uint32_t fuzz_round_count = 300000;

static void check_result(int rc, uint32_t used_bytes, size_t size_bytes)
{
	FUZZ_CHECK(rc == PW_OK || rc == PW_EAGAIN || rc == PW_EINVALID || rc == PW_EOVERFLOW);
	FUZZ_CHECK(rc != PW_OK || (used_bytes > 0 && used_bytes <= size_bytes));
}

static void check_one_line(const GByteArray *b)
{
	FUZZ_CHECK(b->len > 2 && b->data[b->len - 2] == '\r');
	FUZZ_CHECK((size_t)((const uint8_t *)memchr(b->data, '\n', b->len) - b->data) + 1 ==
		   b->len);
	FUZZ_CHECK(!memchr(b->data, '\0', b->len));
}

/* Returns the line with its end replaced by the CR LF that the proxy writes. */
static GByteArray *with_crlf(const uint8_t *data, uint32_t used_bytes)
{
	GByteArray *line = g_byte_array_new();

	used_bytes -= used_bytes > 1 && data[used_bytes - 2] == '\r' ? 2 : 1;
	g_byte_array_append(line, data, used_bytes);
	g_byte_array_append(line, (const guint8 *)"\r\n", 2);
	return line;
}

static void check_statement(const struct pw_caller_statement *s, const uint8_t *data,
			    uint32_t used_bytes)
{
	const struct pw_server_dialect_ops *ops = pw_platform_server_dialect.ops;
	GByteArray *b = g_byte_array_new(), *expected = with_crlf(data, used_bytes);

	switch (s->verb) {
	case PW_VERB_READ:
	case PW_VERB_WRITE:
		ops->put_statement(b, s, NULL, NULL);
		FUZZ_CHECK(b->len == expected->len && !memcmp(b->data, expected->data, b->len));
		break;
	case PW_VERB_EXECUTE:
		ops->put_statement(b, s, s->name, NULL);
		FUZZ_CHECK(b->len == expected->len && !memcmp(b->data, expected->data, b->len));
		break;
	case PW_VERB_SET:
		ops->put_set(b, s->name, s->argument);
		check_one_line(b);
		break;
	case PW_VERB_PREPARE:
		ops->put_prepare(b, "p1", s->prepares_write, s->argument);
		check_one_line(b);
		break;
	default:
		break;
	}
	g_byte_array_unref(b);
	g_byte_array_unref(expected);
}

static void check_caller_message(const uint8_t *data, size_t size_bytes)
{
	struct pw_caller_message c;
	uint32_t used_bytes = 0;
	int rc = pw_platform_caller_dialect.ops->decode_next(&c, data, (uint32_t)size_bytes,
							     &used_bytes);

	check_result(rc, used_bytes, size_bytes);
	if (!rc && c.kind == PW_CALLER_MESSAGE_STATEMENT)
		check_statement(c.statement, data, used_bytes);
	pw_caller_message_dispose(&c);
}

/* Checks that a decoded row, or the signature of a COMPLETE, is passed on as one line. */
static void check_server_message(const uint8_t *data, size_t size_bytes)
{
	GByteArray *b = g_byte_array_new();
	struct pw_server_status_row row;
	struct pw_reply r;
	uint32_t used_bytes = 0;
	int rc = pw_platform_server_dialect.ops->decode_next(&r, data, (uint32_t)size_bytes,
							     &used_bytes);

	check_result(rc, used_bytes, size_bytes);
	if (!rc && r.kind == PW_REPLY_ROW) {
		(void)pw_platform_server_dialect.ops->parse_status_row(&row, r.text);
		pw_platform_caller_dialect.ops->put_row(b, r.text);
		check_one_line(b);
	} else if (!rc && r.kind == PW_REPLY_COMPLETE) {
		pw_platform_caller_dialect.ops->put_complete(b, r.text);
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
		"QUERY 5c EXECUTE s1 1a4 xkq\n",
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
