/* Tests of the log: its rate is limited, and no thread waits for its reader. */
#include "suite.h"

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

int main(void)
{
	TCase *tc = tcase_create("event");

	pw_event_log_init(G_LOG_LEVEL_INFO);
	tcase_add_test(tc, test_rate_limit);
	tcase_add_test(tc, test_suppressed_count);
	tcase_add_test(tc, test_blocked_reader);
	return pw_suite_run("event", tc);
}
