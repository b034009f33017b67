/* Tests of the parsing of numbers. */
#include "suite.h"

#include <pthread.h>
#include <sys/wait.h>
#include <unistd.h>

#include "pw/core/number.h"

static const struct {
	const char *text;
	bool ok;
	uint64_t value;
} parse_cases[] = {
	{ "0", true, 0 },
	{ "45391", true, 45391 },
	{ "65535", true, 65535 },
	{ "65536", false, 0 },
	{ "-1", false, 0 },
	{ "+1", false, 0 },
	{ " 1", false, 0 },
	{ "1 ", false, 0 },
	{ "1x", false, 0 },
	{ "0x10", false, 0 },
	{ "99999999999999999999", false, 0 },
	{ "", false, 0 },
};

/* Guards against malformed or out-of-range numbers that are accepted. */
START_TEST(test_parse)
{
	uint64_t n = 0;

	ck_assert_msg(pw_number_parse(&n, parse_cases[_i].text, 0, 65535) == parse_cases[_i].ok,
		      "case: \"%s\"", parse_cases[_i].text);
	ck_assert_uint_eq(n, parse_cases[_i].value);
}
END_TEST

/* Guards against a wrong range of negative numbers and against trailing blanks. */
START_TEST(test_parse_signed)
{
	int64_t n = 0;

	ck_assert(pw_number_parse_signed(&n, "-17", -20, 20));
	ck_assert_int_eq(n, -17);
	ck_assert(!pw_number_parse_signed(&n, "-21", -20, 20));
	ck_assert(!pw_number_parse_signed(&n, "17 ", -20, 20));
}
END_TEST

#define THREAD_COUNT  4
#define PROCESS_COUNT 500

static pthread_barrier_t barrier;

static void *parse_in_thread(void *arg)
{
	uint64_t n;

	(void)arg;
	pthread_barrier_wait(&barrier);
	return pw_number_parse(&n, "45391", 1, 65535) ? NULL : &barrier;
}

/*
 * Parses a valid number in several threads at once, as the first conversions of this process.
 * Returns the number of threads that failed.
 */
static int parse_concurrently(void)
{
	pthread_t threads[THREAD_COUNT];
	void *result;
	int failed_count = 0;

	pthread_barrier_init(&barrier, NULL, THREAD_COUNT);
	for (int i = 0; i < THREAD_COUNT; i++)
		pthread_create(&threads[i], NULL, parse_in_thread, NULL);
	for (int i = 0; i < THREAD_COUNT; i++) {
		pthread_join(threads[i], &result);
		failed_count += result != NULL;
	}
	return failed_count;
}

static uint32_t count_failed_processes(void)
{
	uint32_t failed_count = 0;

	for (int i = 0; i < PROCESS_COUNT; i++) {
		int status = 0;
		pid_t pid = fork();

		if (!pid)
			_exit(parse_concurrently());
		if (pid < 0 || waitpid(pid, &status, 0) != pid || status)
			failed_count++;
	}
	return failed_count;
}

/*
 * Guards against a valid number that is rejected when two threads make the first conversion of the
 * process at once. test_monitor found this fault with a port number.
 */
START_TEST(test_concurrent_first_use)
{
	ck_assert_uint_eq(count_failed_processes(), 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("number");

	/* Must be first: the other tests convert numbers in this process. */
	tcase_add_test(tc, test_concurrent_first_use);
	tcase_add_loop_test(tc, test_parse, 0, PW_ARRAY_LEN(parse_cases));
	tcase_add_test(tc, test_parse_signed);
	return pw_suite_run("number", tc);
}
