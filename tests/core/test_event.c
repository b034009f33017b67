/* Tests of the log: its rate is limited, and no thread waits for its reader. */
#include "suite.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "pw/core/clock.h"
#include "pw/core/event.h"

#define CAPTURE_MAX_BYTES 262144

/* Replaces standard output by a pipe, calls `write_log`, and returns what was written. */
static char *capture_stdout(void (*write_log)(void))
{
	char *text = g_malloc0(CAPTURE_MAX_BYTES);
	int saved_stdout = dup(STDOUT_FILENO), pipe_fds[2];
	ssize_t n;

	ck_assert_int_eq(pipe(pipe_fds), 0);
	fflush(stdout);
	ck_assert_int_ge(dup2(pipe_fds[1], STDOUT_FILENO), 0);
	write_log();
	ck_assert_int_ge(dup2(saved_stdout, STDOUT_FILENO), 0);
	close(pipe_fds[1]);
	close(saved_stdout);
	n = read(pipe_fds[0], text, CAPTURE_MAX_BYTES - 1);
	ck_assert_int_ge(n, 0);
	close(pipe_fds[0]);
	return text;
}

/* Logs one event more often than its limit allows. */
static void log_event_flood(void)
{
	for (int i = 0; i < 10 * PW_EVENT_MAX_LINES_PER_S; i++)
		pw_event_log(PW_EVENT_REQUEST_REFUSED, "id=%d", i);
}

static uint32_t count_occurrences(const char *text, const char *needle)
{
	uint32_t n = 0;

	for (const char *p = text; (p = strstr(p, needle)); p += strlen(needle))
		n++;
	return n;
}

/*
 * Guards against a flood of one event that fills the log. The lines may fall into two seconds, so
 * twice the limit is allowed.
 */
START_TEST(test_rate_limit)
{
	char *text = capture_stdout(log_event_flood);

	ck_assert_uint_ge(count_occurrences(text, "event=4030"), PW_EVENT_MAX_LINES_PER_S);
	ck_assert_uint_le(count_occurrences(text, "event=4030"), 2 * PW_EVENT_MAX_LINES_PER_S);
	g_free(text);
}
END_TEST

/* Guards against lines that are suppressed without a trace: the next line gives their number. */
START_TEST(test_suppressed_count)
{
	char *text;

	g_free(capture_stdout(log_event_flood));
	g_usleep(1100000);
	text = capture_stdout(log_event_flood);
	ck_assert_ptr_nonnull(strstr(text, "left_out="));
	g_free(text);
}
END_TEST

/* Logs all events in turn, so that the rate limits admit more than a pipe holds. */
static void log_all_events(void)
{
	char filler[1024];

	memset(filler, 'x', sizeof(filler) - 1);
	filler[sizeof(filler) - 1] = '\0';
	for (int i = 0; i < 5; i++) {
		for (int e = 0; e < PW_EVENT_COUNT; e++)
			pw_event_log(e, "filler=%s", filler);
	}
}

/*
 * Guards against threads that block on a log that nobody reads: lines have to be dropped and
 * counted, and the caller continues at once.
 */
START_TEST(test_blocked_reader)
{
	uint64_t dropped_before = pw_event_lines_dropped();
	uint64_t start_us = pw_clock_now_us();

	g_free(capture_stdout(log_all_events));
	ck_assert_uint_lt(pw_clock_now_us() - start_us, 2 * PW_US_PER_S);
	ck_assert_uint_gt(pw_event_lines_dropped(), dropped_before);
}
END_TEST

/* Texts of callers, servers or the store, and how a line shows them. */
static const struct {
	const char *text;
	bool quoted;
	const char *expected;
} text_cases[] = {
	{ "plain", false, "field=plain next=7\n" },
	{ "a event=1003 name=stopped", false, "field=a?event=1003?name=stopped next=7\n" },
	{ "a\r\ntime=x event=1003", false, "field=a??time=x?event=1003 next=7\n" },
	{ "\"open", false, "field=?open next=7\n" },
	{ "two words", true, "field=\"two words\" next=7\n" },
	{ "a\" event=1003 name=\"stopped", true, "field=\"a' event=1003 name='stopped\" next=7\n" },
	{ "a\ntime=x event=1003", true, "field=\"a?time=x event=1003\" next=7\n" },
	{ "ends in \\", true, "field=\"ends in ?\" next=7\n" },
	{ "a\xc2\x85"
	  "b\xe2\x80\xa8"
	  "c",
	  true, "field=\"a??b???c\" next=7\n" },
	{ "\xc3\xa4", true, "field=\"\xc3\xa4\" next=7\n" },
};

static int text_case;

static void log_text(void)
{
	const char *text = text_cases[text_case].text;

	if (text_cases[text_case].quoted)
		pw_event_log(PW_EVENT_REQUEST_REFUSED, "field=\"%s\" next=%d", text, 7);
	else
		pw_event_log(PW_EVENT_REQUEST_REFUSED, "field=%s next=%d", text, 7);
}

/* Guards against a logged text that adds a line or a field, or closes its own quotes. */
START_TEST(test_logged_text)
{
	char *output, *fields;

	text_case = _i;
	/* The limit per second may be used up by the other cases. */
	g_usleep(1100000);
	output = capture_stdout(log_text);
	fields = strstr(output, "field=");
	ck_assert_ptr_nonnull(fields);
	if (strstr(fields, " left_out="))
		strcpy(strstr(fields, " left_out="), "\n");
	ck_assert_str_eq(fields, text_cases[_i].expected);
	g_free(output);
}
END_TEST

static void log_conversions(void)
{
	pw_event_log(PW_EVENT_REQUEST_REFUSED,
		     "a=%u b=%d c=%" PRIu64 " d=%" PRId64
		     " e=%zu f=%.1f g=%.3s h=%x i=100%% j=%" G_GINT64_FORMAT " k=%i",
		     UINT32_MAX, -1, UINT64_MAX, INT64_MIN, (size_t)3, 2.25, "abcdef", 255,
		     G_MININT64, -2);
}

/* Guards against a conversion that is printed wrongly, or that shifts the arguments behind it. */
START_TEST(test_conversions)
{
	char *output;

	g_usleep(1100000);
	output = capture_stdout(log_conversions);
	ck_assert_msg(strstr(output,
			     "a=4294967295 b=-1 c=18446744073709551615 d=-9223372036854775808 "
			     "e=3 f=2.2 g=abc h=ff i=100% j=-9223372036854775808 k=-2") != NULL,
		      "%s", output);
	g_free(output);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("event");

	pw_event_log_init(G_LOG_LEVEL_INFO);
	tcase_add_test(tc, test_rate_limit);
	tcase_add_test(tc, test_suppressed_count);
	tcase_add_test(tc, test_blocked_reader);
	tcase_add_loop_test(tc, test_logged_text, 0, PW_ARRAY_LEN(text_cases));
	tcase_add_test(tc, test_conversions);
	return pw_suite_run("event", tc);
}
