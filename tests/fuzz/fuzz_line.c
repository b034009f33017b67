/*
 * Fuzzing of the platform's line protocol: from any input the codec takes the same message as a
 * strict reader, and passes on the same bytes as exactly one line. A line end inside a message
 * would let a caller inject another one.
 */
#include "fuzz.h"

#include "line_reader.h"

const uint32_t fuzz_round_count = 600000;

static void check_message(const struct line_message *codec, struct line_rule *rules,
			  const uint8_t *data, size_t size_bytes)
{
	struct line_message strict, sent;

	line_read_strictly(&strict, rules, data, size_bytes);
	FUZZ_CHECK(line_messages_agree(codec, &strict));
	line_message_dispose(&strict);
	if (codec->outcome != LINE_SENT)
		return;
	line_read_strictly(&sent, rules, codec->bytes->data, codec->bytes->len);
	FUZZ_CHECK(sent.used_bytes == codec->bytes->len);
	line_message_dispose(&sent);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
	struct pw_server_status_row row;
	GBytes *bytes = g_bytes_new(data, size_bytes);
	struct line_message m;

	(void)pw_platform_server_dialect.ops->parse_status_row(&row, bytes);
	g_bytes_unref(bytes);
	line_read_caller(&m, data, size_bytes);
	check_message(&m, caller_line_rules, data, size_bytes);
	line_message_dispose(&m);
	line_read_server(&m, data, size_bytes);
	check_message(&m, server_line_rules, data, size_bytes);
	line_message_dispose(&m);
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
		"replica 3 3.1209 0 12 2 17",
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
