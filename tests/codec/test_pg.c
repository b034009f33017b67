/* Tests of the PostgreSQL protocol: framing, data rows and errors. */
#include "suite.h"

#include <string.h>

#include "pw/codec/pg.h"
#include "pw/core/error.h"

#define MESSAGE_MAX_BYTES 64

static const struct {
	const char *label;
	const char *bytes;
	size_t size_bytes;
	int result;
	uint32_t body_size_bytes;
} frame_cases[] = {
	{ "empty input", "", 0, PW_EAGAIN, 0 },
	{ "type only", "Q", 1, PW_EAGAIN, 0 },
	{ "header only", "Q\0\0\0\5", 5, PW_EAGAIN, 0 },
	{ "whole message", "Q\0\0\0\5a", 6, PW_OK, 1 },
	{ "message and a part of the next", "S\0\0\0\4Q", 6, PW_OK, 0 },
	{ "length below its own size", "Q\0\0\0\3", 5, PW_EINVALID, 0 },
	{ "negative length", "Q\xff\xff\xff\xff", 5, PW_EOVERFLOW, 0 },
	{ "length above the limit", "Q\0\0\0\x41", 5, PW_EOVERFLOW, 0 },
};

/*
 * Guards against reads past the buffer, and against waiting for the rest of a message that is
 * larger than the limit.
 */
START_TEST(test_frame_next)
{
	struct pw_pg_frame f = { 0 };
	int rc = pw_pg_frame_next(&f, (const uint8_t *)frame_cases[_i].bytes,
				  frame_cases[_i].size_bytes, MESSAGE_MAX_BYTES);

	ck_assert_msg(rc == frame_cases[_i].result, "case: %s", frame_cases[_i].label);
	ck_assert_uint_eq(f.body_size_bytes, frame_cases[_i].body_size_bytes);
}
END_TEST

static const struct {
	const char *label;
	const char *values[2];
	uint16_t expected_count;
	uint32_t cut_bytes; /**< bytes removed from the end of the message */
	int result;
} row_cases[] = {
	{ "two values", { "a", "bc" }, 2, 0, PW_OK },
	{ "null value", { "a", NULL }, 2, 0, PW_OK },
	{ "more columns expected", { "a", "b" }, 3, 0, PW_EINVALID },
	{ "truncated value", { "a", "bc" }, 2, 1, PW_EINVALID },
	{ "truncated length", { "a", "bc" }, 2, 4, PW_EINVALID },
};

/* Guards against a truncated row being accepted as a shorter one. */
START_TEST(test_data_row)
{
	GByteArray *b = g_byte_array_new();
	struct pw_pg_frame f;
	char *values[3] = { NULL };
	int rc;

	pw_pg_put_data_row(b, row_cases[_i].values, 2);
	ck_assert_int_eq(pw_pg_frame_next(&f, b->data, b->len, MESSAGE_MAX_BYTES), PW_OK);
	f.body_size_bytes -= row_cases[_i].cut_bytes;
	rc = pw_pg_read_data_row(values, &f, row_cases[_i].expected_count);
	ck_assert_msg(rc == row_cases[_i].result, "case: %s", row_cases[_i].label);
	for (uint16_t i = 0; i < 2; i++) {
		if (rc == PW_OK)
			ck_assert_pstr_eq(values[i], row_cases[_i].values[i]);
		g_free(values[i]);
	}
	g_byte_array_unref(b);
}
END_TEST

/* Guards against a wrong length field, with and without a type byte. */
START_TEST(test_messages_round_trip)
{
	static const char *const params[] = { "user", "a", "database", "b", NULL };
	GByteArray *b = g_byte_array_new();
	struct pw_pg_error e = { .severity = "ERROR", .sqlstate = "08007", .message = "m" };
	struct pw_pg_frame f;

	pw_pg_put_startup_message(b, params);
	ck_assert_int_eq(pw_pg_startup_next(&f, b->data, b->len), PW_OK);
	ck_assert_uint_eq(f.size_bytes, b->len);
	g_byte_array_set_size(b, 0);
	pw_pg_put_error(b, &e);
	ck_assert_int_eq(pw_pg_frame_next(&f, b->data, b->len, MESSAGE_MAX_BYTES), PW_OK);
	ck_assert_uint_eq(f.size_bytes, b->len);
	ck_assert_pstr_eq(pw_pg_get_error_field(&f, 'C'), "08007");
	ck_assert_pstr_eq(pw_pg_get_error_field(&f, 'D'), NULL);
	g_byte_array_unref(b);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("pg");

	tcase_add_loop_test(tc, test_frame_next, 0, PW_ARRAY_LEN(frame_cases));
	tcase_add_loop_test(tc, test_data_row, 0, PW_ARRAY_LEN(row_cases));
	tcase_add_test(tc, test_messages_round_trip);
	return pw_suite_run("pg", tc);
}
