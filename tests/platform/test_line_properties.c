/*
 * Properties of the platform's line protocol on random input with fixed seeds: bytes pass
 * unchanged, a split of the input changes nothing, and the proxy passes on the messages that a
 * strict reader sees, no more and no fewer.
 */
#include "suite.h"

#include "line_reader.h"

#define ROUND_COUNT     400
#define ARGUMENT_MAX    300
#define STREAM_MAX_PART 40

static bool ends_in_line_end(const GByteArray *b)
{
	return b->len > 1 && b->data[b->len - 2] == '\r' && b->data[b->len - 1] == '\n';
}

/* Appends random bytes without CR LF. Half of them are those that matter to the protocol. */
static void append_random_data(GByteArray *b, GRand *r, uint32_t count)
{
	static const uint8_t special[] = { '\r', '\n', '\0', ' ', '-', 0xff };
	guint start = b->len;

	while (b->len - start < count) {
		uint8_t c = g_rand_boolean(r) ? special[g_rand_int_range(r, 0, sizeof(special))]
					      : (uint8_t)g_rand_int(r);

		g_byte_array_append(b, &c, 1);
		if (b->len - start > 1 && ends_in_line_end(b))
			g_byte_array_set_size(b, b->len - 1);
	}
}

typedef void read_fn(struct line_message *m, const uint8_t *data, size_t size_bytes);

/* Places of data that comes out as it went in; names and ids are those that the proxy gives. */
static const struct {
	const char *start;
	read_fn *read;
	bool may_be_empty;
	guint32 seed;
} data_places[] = {
	{ "QUERY 5c READ ", line_read_caller, false, 1 },
	{ "QUERY 5c WRITE 1a4 ", line_read_caller, true, 2 },
	{ "QUERY 5c EXECUTE " LINE_PREPARED_NAME " ", line_read_caller, false, 3 },
	{ "QUERY - SET zone ", line_read_caller, true, 4 },
	{ "QUERY - PREPARE " LINE_PREPARED_NAME " READ ", line_read_caller, false, 5 },
	{ "QUERY - PREPARE " LINE_PREPARED_NAME " WRITE ", line_read_caller, false, 6 },
	{ "DATAROW ", line_read_server, true, 7 },
};

/* Guards against bytes that are changed, cut or refused on their way. */
START_TEST(test_data_passes_unchanged)
{
	GRand *r = g_rand_new_with_seed(data_places[_i].seed);

	for (uint32_t round = 0; round < ROUND_COUNT; round++) {
		int32_t min_bytes = data_places[_i].may_be_empty ? 0 : 1;
		GByteArray *line = g_byte_array_new();
		struct line_message m;

		line_append_text(line, data_places[_i].start);
		append_random_data(line, r, (uint32_t)g_rand_int_range(r, min_bytes, ARGUMENT_MAX));
		line_append_text(line, "\r\n");
		data_places[_i].read(&m, line->data, line->len);
		ck_assert_msg(m.outcome == LINE_SENT && m.used_bytes == line->len,
			      "%s, round %u: outcome %d, %zu of %u bytes", data_places[_i].start,
			      round, m.outcome, m.used_bytes, line->len);
		ck_assert_msg(m.bytes->len == line->len &&
				      !memcmp(m.bytes->data, line->data, line->len),
			      "%s, round %u: the bytes were changed", data_places[_i].start, round);
		line_message_dispose(&m);
		g_byte_array_unref(line);
	}
	g_rand_free(r);
}
END_TEST

/* Parts of random streams. */
static const char *const caller_parts[] = {
	"QUERY 5c ",
	"QUERY - ",
	"QUERY ",
	"READ ",
	"WRITE ",
	"READ",
	"COMMIT",
	"BEGIN",
	"ROLLBACK",
	"SET ",
	"PREPARE s ",
	"CLOSE",
	"zone ",
	"1a4",
	"1a4 v",
	" ",
	"\n",
	"\r",
	"EXECUTE s ",
	"-",
	"\xff",
	"WAITLSN 3.1 ",
	"TERMINATE",
	"STARTUP desk ",
	"QUERY 5c COMMIT",
	"QUERY 5c BEGIN READ",
	"QUERY 5c CLOSE s",
	"QUERY 5c SET zone",
};

static const char *const server_parts[] = {
	"DATAROW ", "DATAROW", "COMPLETE ", "COMPLETE", "ERROR ", "ERROR BUSY",
	"FAILED",   "READY ",  "I ",        "T ",       "-",      "3.1207",
	" ",        "\n",      "\r",        "qhz",      "\xff",   "READY I -",
};

static const struct direction {
	const char *label;
	struct line_rule *rules;
	read_fn *read;
	const char *const *parts;
	uint32_t part_count;
	guint32 seed;
} directions[] = {
	{ "callers", caller_line_rules, line_read_caller, caller_parts, PW_ARRAY_LEN(caller_parts),
	  11 },
	{ "servers", server_line_rules, line_read_server, server_parts, PW_ARRAY_LEN(server_parts),
	  12 },
};

/* A random stream of parts, single bytes, zero bytes and line ends, which may end in any place. */
static GByteArray *random_stream(const struct direction *d, GRand *r)
{
	GByteArray *b = g_byte_array_new();

	for (int32_t n = g_rand_int_range(r, 1, STREAM_MAX_PART); n > 0; n--) {
		switch (g_rand_int_range(r, 0, 8)) {
		case 0:
		case 1:
			line_append_text(b, "\r\n");
			break;
		case 2:
			append_random_data(b, r, (uint32_t)g_rand_int_range(r, 0, 4));
			break;
		case 3:
			/* A whole message, so that streams do not end at their first one. */
			if (ends_in_line_end(b) || !b->len)
				line_append_text(b, d->read == line_read_caller
							    ? "QUERY 5c WRITE k \n\r\n"
							    : "DATAROW a\nb\r\n");
			break;
		default:
			line_append_text(b,
					 d->parts[g_rand_int_range(r, 0, (gint32)d->part_count)]);
			break;
		}
	}
	return b;
}

/* Appends what a message leads to, with its size, to a record of a stream. */
static void record_message(GByteArray *record, const struct line_message *m)
{
	char *text = g_strdup_printf("[%d %zu %u]", m->outcome, m->used_bytes, m->bytes->len);

	line_append_text(record, text);
	if (m->bytes->len)
		g_byte_array_append(record, m->bytes->data, m->bytes->len);
	g_free(text);
}

/* Reads messages with the codec up to `size_bytes`. Returns false after an invalid one. */
static bool read_available(const struct direction *d, const GByteArray *stream, size_t size_bytes,
			   size_t *offset, GByteArray *record)
{
	struct line_message m;
	bool goes_on;

	do {
		/* An exact copy, so that sanitizers detect reads past the bytes that are there. */
		size_t left_bytes = size_bytes - *offset;
		uint8_t *data = g_malloc(left_bytes + !left_bytes);

		if (left_bytes)
			memcpy(data, stream->data + *offset, left_bytes);
		d->read(&m, data, left_bytes);
		g_free(data);
		if (m.outcome != LINE_INCOMPLETE)
			record_message(record, &m);
		*offset += m.used_bytes;
		goes_on = m.outcome != LINE_INCOMPLETE && m.outcome != LINE_INVALID;
		line_message_dispose(&m);
	} while (goes_on);
	return m.outcome == LINE_INCOMPLETE;
}

/* Guards against messages that depend on how the input is cut into reads. */
START_TEST(test_split_changes_nothing)
{
	const struct direction *d = &directions[_i];
	GRand *r = g_rand_new_with_seed(d->seed);

	for (uint32_t round = 0; round < ROUND_COUNT; round++) {
		GByteArray *stream = random_stream(d, r), *whole = g_byte_array_new();
		size_t offset = 0;

		(void)read_available(d, stream, stream->len, &offset, whole);
		for (size_t split = 0; split <= stream->len; split++) {
			GByteArray *record = g_byte_array_new();

			offset = 0;
			if (read_available(d, stream, split, &offset, record))
				(void)read_available(d, stream, stream->len, &offset, record);
			ck_assert_msg(record->len == whole->len &&
					      (!whole->len ||
					       !memcmp(record->data, whole->data, whole->len)),
				      "%s, round %u: other messages with a split at byte %zu",
				      d->label, round, split);
			g_byte_array_unref(record);
		}
		g_byte_array_unref(whole);
		g_byte_array_unref(stream);
	}
	g_rand_free(r);
}
END_TEST

/*
 * Guards against a message that becomes two, is joined with the next one, or is passed on with
 * other bytes than a strict reader expects.
 */
START_TEST(test_strict_reader_agrees)
{
	const struct direction *d = &directions[_i];
	GRand *r = g_rand_new_with_seed(d->seed + 100);
	uint32_t counts[LINE_SENT + 1] = { 0 };

	for (uint32_t round = 0; round < 50 * ROUND_COUNT; round++) {
		GByteArray *stream = random_stream(d, r);
		size_t offset = 0;
		bool goes_on = true;

		while (goes_on) {
			struct line_message strict, codec;

			line_read_strictly(&strict, d->rules, stream->data + offset,
					   stream->len - offset);
			d->read(&codec, stream->data + offset, stream->len - offset);
			ck_assert_msg(line_messages_agree(&codec, &strict),
				      "%s, round %u, byte %zu: outcome %d, %zu bytes used, %u sent;"
				      " expected %d, %zu, %u",
				      d->label, round, offset, codec.outcome, codec.used_bytes,
				      codec.bytes->len, strict.outcome, strict.used_bytes,
				      strict.bytes->len);
			counts[strict.outcome]++;
			offset += codec.used_bytes;
			goes_on = codec.used_bytes > 0;
			line_message_dispose(&strict);
			line_message_dispose(&codec);
		}
		g_byte_array_unref(stream);
	}
	/* The streams have enough messages of each kind for the comparison to mean something. */
	ck_assert_uint_ge(counts[LINE_SENT], ROUND_COUNT);
	ck_assert_uint_ge(counts[LINE_INVALID], ROUND_COUNT);
	if (d->rules == caller_line_rules)
		ck_assert_uint_ge(counts[LINE_REFUSED], ROUND_COUNT);
	g_rand_free(r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("line_properties");

	tcase_add_loop_test(tc, test_data_passes_unchanged, 0, PW_ARRAY_LEN(data_places));
	tcase_add_loop_test(tc, test_split_changes_nothing, 0, PW_ARRAY_LEN(directions));
	tcase_add_loop_test(tc, test_strict_reader_agrees, 0, PW_ARRAY_LEN(directions));
	return pw_suite_run("line_properties", tc);
}
