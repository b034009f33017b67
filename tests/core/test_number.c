/* Suite of the numbers as text. */
#include "suite.h"

#include <pthread.h>
#include <sys/wait.h>
#include <unistd.h>

#include "pw/core/number.h"

static const struct {
	const char *text;
	bool ok;
	uint64_t value;
} numbers[] = {
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

START_TEST(test_parse)
{
	uint64_t n = 0;

	ck_assert_msg(pw_number_parse(&n, numbers[_i].text, 0, 65535) == numbers[_i].ok, "%s",
		      numbers[_i].text);
	ck_assert_uint_eq(n, numbers[_i].value);
}
END_TEST

START_TEST(test_parse_signed)
{
	int64_t n = 0;

	ck_assert(pw_number_parse_signed(&n, "-17", -20, 20));
	ck_assert_int_eq(n, -17);
	ck_assert(!pw_number_parse_signed(&n, "-21", -20, 20));
	ck_assert(!pw_number_parse_signed(&n, "17 ", -20, 20));
}
END_TEST

#define THREADS   4
#define PROCESSES 500

static pthread_barrier_t barrier;

static void *parse_first(void *arg)
{
	uint64_t n;

	(void)arg;
	pthread_barrier_wait(&barrier);
	return pw_number_parse(&n, "45391", 1, 65535) ? NULL : &barrier;
}

/* Converts in several threads at once, as the first thing that this program does. */
static int convert_at_once(void)
{
	pthread_t threads[THREADS];
	void *failed;
	int count = 0;

	pthread_barrier_init(&barrier, NULL, THREADS);
	for (int i = 0; i < THREADS; i++)
		pthread_create(&threads[i], NULL, parse_first, NULL);
	for (int i = 0; i < THREADS; i++) {
		pthread_join(threads[i], &failed);
		count += failed != NULL;
	}
	return count;
}

/* Found by test_monitor: a good port was refused when two threads converted for the first time. */
static uint32_t failed_processes(void)
{
	uint32_t failed = 0;

	for (int i = 0; i < PROCESSES; i++) {
		int status = 0;
		pid_t pid = fork();

		if (!pid)
			_exit(convert_at_once());
		if (pid < 0 || waitpid(pid, &status, 0) != pid || status)
			failed++;
	}
	return failed;
}

START_TEST(test_first_use)
{
	ck_assert_uint_eq(failed_processes(), 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("number");

	/* First, as the other cases convert in this process. */
	tcase_add_test(tc, test_first_use);
	tcase_add_loop_test(tc, test_parse, 0, PW_ARRAY_LEN(numbers));
	tcase_add_test(tc, test_parse_signed);
	return pw_suite_run("number", tc);
}
