/* Suite of the log: it is bounded, and no thread waits for its reader. */
#include "suite.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "pw/core/clock.h"
#include "pw/core/event.h"

#define PIPE_MAX_BYTES 262144

/* Puts a pipe in place of standard output, calls `fill`, and returns what came through the pipe. */
static char *capture(void (*fill)(void))
{
	char *text = g_malloc0(PIPE_MAX_BYTES);
	int saved = dup(STDOUT_FILENO), ends[2];
	ssize_t n;

	ck_assert_int_eq(pipe(ends), 0);
	fflush(stdout);
	ck_assert_int_ge(dup2(ends[1], STDOUT_FILENO), 0);
	fill();
	ck_assert_int_ge(dup2(saved, STDOUT_FILENO), 0);
	close(ends[1]);
	close(saved);
	n = read(ends[0], text, PIPE_MAX_BYTES - 1);
	ck_assert_int_ge(n, 0);
	close(ends[0]);
	return text;
}

static void log_many(void)
{
	for (int i = 0; i < 10 * PW_EVENT_LINES_PER_SECOND; i++)
		pw_event_log(PW_EVENT_REQUEST_REFUSED, "id=%d", i);
}

static uint32_t count(const char *text, const char *part)
{
	uint32_t n = 0;

	for (const char *p = text; (p = strstr(p, part)); p += strlen(part))
		n++;
	return n;
}

/* A flood of one event leaves the log bounded; the lines may fall into two seconds. */
START_TEST(test_budget)
{
	char *text = capture(log_many);

	ck_assert_uint_ge(count(text, "event=4030"), PW_EVENT_LINES_PER_SECOND);
	ck_assert_uint_le(count(text, "event=4030"), 2 * PW_EVENT_LINES_PER_SECOND);
	g_free(text);
}
END_TEST

/* What was left out is said by the next line. */
START_TEST(test_left_out)
{
	char *text;

	g_free(capture(log_many));
	g_usleep(1100000);
	text = capture(log_many);
	ck_assert_ptr_nonnull(strstr(text, "left_out="));
	g_free(text);
}
END_TEST

/* Each event in turn, so that the budgets leave more than a pipe takes. */
static void log_all(void)
{
	char filler[1024];

	memset(filler, 'x', sizeof(filler) - 1);
	filler[sizeof(filler) - 1] = '\0';
	for (int i = 0; i < 5; i++) {
		for (int e = 0; e < PW_EVENT_COUNT; e++)
			pw_event_log(e, "filler=%s", filler);
	}
}

/* Nobody reads the log: lines are dropped and counted, and the caller goes on at once. */
START_TEST(test_reader_stands_still)
{
	uint64_t before = pw_event_unwritten();
	uint64_t start = pw_clock_now_us();

	g_free(capture(log_all));
	ck_assert_uint_lt(pw_clock_now_us() - start, 2 * PW_US_PER_S);
	ck_assert_uint_gt(pw_event_unwritten(), before);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("event");

	pw_event_log_init(G_LOG_LEVEL_INFO);
	tcase_add_test(tc, test_budget);
	tcase_add_test(tc, test_left_out);
	tcase_add_test(tc, test_reader_stands_still);
	return pw_suite_run("event", tc);
}
