/*
 * End-to-end tests of the ends of sessions, most of them in a planned stop of a VM, on a fleet of
 * proxy processes against the platform stand-in.
 */
#include "suite.h"

#include "platform_fleet.h"

/* The platform kills a process this long after SIGTERM. */
#define KILL_AFTER_MS 6000
/* More sessions than the event loop of a task handles in one iteration. */
#define HELD_SESSION_COUNT   100
#define SIGNAL_SESSION_COUNT 12
#define LARGE_READ_COUNT     200
#define LARGE_VALUE_BYTES    50000

static void sleep_ms(uint32_t ms)
{
	g_usleep((gulong)ms * 1000);
}

static void prepare_fleet(const char *grace, const char *timeout, const char *work_ms)
{
	struct client *c;

	drain_grace = grace;
	drain_timeout = timeout;
	start_fleet();
	c = open_session(0, "desk");
	expect_answer(c, "WRITE a v", "ok I");
	client_free(c);
	inject_fault("work", work_ms);
}

static void expect_end(uint32_t timeout_ms)
{
	ck_assert_msg(pw_harness_wait_end(vms[0].process, timeout_ms), "the process has not ended");
	ck_assert_int_eq(vms[0].process->status, 0);
}

static const struct {
	const char *label, *database, *statement, *expected;
	bool stops;
} half_closed_cases[] = {
	{ "read", "views", "READ a", "v ok I", false },
	{ "write", "desk", "WRITE b v", "ok I", false },
	{ "read, stop", "views", "READ a", "v ok I", true },
	{ "write, stop", "desk", "WRITE b v", "ok I", true },
};

/* Guards against a lost answer to a caller that has shut down its sending side. */
START_TEST(test_half_closed_caller_is_answered)
{
	struct client *c;
	char *answer;

	prepare_fleet("300ms", "2s", "300");
	c = open_session(0, half_closed_cases[_i].database);
	if (half_closed_cases[_i].stops)
		pw_harness_signal(vms[0].process, SIGTERM);
	send_statement(c, half_closed_cases[_i].statement);
	shutdown(c->fd, SHUT_WR);
	answer = read_answer(c, ANSWER_TIMEOUT_MS);
	ck_assert_msg(strcmp(answer, half_closed_cases[_i].expected) == 0, "%s: %s, not %s",
		      half_closed_cases[_i].label, answer, half_closed_cases[_i].expected);
	g_free(answer);
	client_free(c);
	stop_fleet();
}
END_TEST

/* Opens a session and sends reads whose answers fill the buffers of the connection. */
static struct client *send_large_reads(void)
{
	struct client *c = open_session(0, "desk");
	char *value = g_strnfill(LARGE_VALUE_BYTES, 'x');
	char *statement = g_strdup_printf("WRITE large %s", value);
	int receive_buffer_bytes = 131072;

	(void)setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
			 sizeof(receive_buffer_bytes));
	expect_answer(c, statement, "ok I");
	for (uint32_t i = 0; i < LARGE_READ_COUNT; i++)
		send_statement(c, "READ large");
	sleep_ms(500);
	g_free(statement);
	g_free(value);
	return c;
}

/* Reads answers until one is missing or all are there. Returns the number of complete ones. */
static uint32_t count_answers(struct client *c, uint32_t max)
{
	for (uint32_t i = 0; i < max; i++) {
		char *answer = read_answer(c, ANSWER_TIMEOUT_MS);
		bool ok = g_str_has_suffix(answer, " ok I");

		g_free(answer);
		if (!ok)
			return i;
	}
	return max;
}

static const struct {
	const char *label;
	uint32_t resumes_ms; /* after SIGTERM: the caller begins to read */
	uint32_t unanswered_count;
} slow_reader_cases[] = {
	{ "reads during the drain", 3000, 0 },
	{ "reads before the end of the drain", 4700, 0 },
	{ "reads after the sessions are closed", 5600, 1 },
};

/*
 * Guards against an answer that is cut off, or is cut off without a line in the log, because its
 * caller reads it slowly during a stop.
 */
START_TEST(test_slow_reader_gets_whole_answers)
{
	struct client *c;
	uint32_t answered_count;

	prepare_fleet("2200ms", "2800ms", "0");
	c = send_large_reads();
	pw_harness_signal(vms[0].process, SIGTERM);
	sleep_ms(slow_reader_cases[_i].resumes_ms);
	answered_count = count_answers(c, LARGE_READ_COUNT);
	ck_assert_msg((answered_count < LARGE_READ_COUNT) == slow_reader_cases[_i].unanswered_count,
		      "%s: %u of %d answers", slow_reader_cases[_i].label, answered_count,
		      LARGE_READ_COUNT);
	ck_assert_uint_eq(count_log_lines(&vms[0], "name=request_unanswered"),
			  slow_reader_cases[_i].unanswered_count);
	ck_assert_uint_eq(count_log_lines(&vms[0], " state=answering "),
			  slow_reader_cases[_i].unanswered_count);
	client_free(c);
	stop_fleet();
}
END_TEST

/* Guards against an answer that is cut off because its caller's key is withdrawn meanwhile. */
START_TEST(test_withdrawn_key_gets_whole_answers)
{
	struct client *c;
	uint32_t answered_count;

	prepare_fleet("300ms", "2s", "0");
	c = send_large_reads();
	publish_catalog("\"other-key\"", 3000);
	sleep_ms(3500);
	answered_count = count_answers(c, LARGE_READ_COUNT);
	ck_assert_msg(answered_count == LARGE_READ_COUNT, "%u of %d answers", answered_count,
		      LARGE_READ_COUNT);
	expect_answer(c, "READ a", "AUTHFAIL CLOSED");
	client_free(c);
	stop_fleet();
}
END_TEST

/* Guards against an error for a statement whose answer is in the socket of a held VM. */
START_TEST(test_answer_in_socket_of_held_vm_is_used)
{
	struct client *c;
	char *answer;

	prepare_fleet("300ms", "2s", "300");
	c = open_session(0, "desk");
	send_statement(c, "WRITE b v");
	sleep_ms(100);
	pw_harness_signal(vms[0].process, SIGSTOP);
	sleep_ms(1100);
	pw_harness_signal(vms[0].process, SIGCONT);
	answer = read_answer(c, ANSWER_TIMEOUT_MS);
	ck_assert_str_eq(answer, "ok I");
	g_free(answer);
	client_free(c);
	stop_fleet();
}
END_TEST

static const struct {
	const char *label;
	uint32_t held_from_ms, held_until_ms; /* after SIGTERM */
	const char *expected;
} held_cases[] = {
	{ "across the begin of the drain", 150, 700, "v ok T" },
	{ "across the end of the drain", 2100, 2400, "ABORTED E" },
	{ "past the time for closing sessions", 2100, 2800, "ABORTED E" },
};

/*
 * Guards against sessions that a timer closes although their requests are in the sockets: the VM
 * was held up, and more sockets are ready than the event loop handles before its timers.
 */
START_TEST(test_requests_of_held_vm_are_answered)
{
	struct client *c[HELD_SESSION_COUNT];
	uint32_t other_count = 0;
	GString *other = g_string_new(NULL);

	prepare_fleet("300ms", "2s", "1");
	for (uint32_t i = 0; i < HELD_SESSION_COUNT; i++) {
		c[i] = open_session(0, "views");
		expect_answer(c[i], "BEGIN READ", "done T");
	}
	pw_harness_signal(vms[0].process, SIGTERM);
	sleep_ms(held_cases[_i].held_from_ms);
	pw_harness_signal(vms[0].process, SIGSTOP);
	for (uint32_t i = 0; i < HELD_SESSION_COUNT; i++)
		send_statement(c[i], "READ a");
	sleep_ms(held_cases[_i].held_until_ms - held_cases[_i].held_from_ms);
	pw_harness_signal(vms[0].process, SIGCONT);
	for (uint32_t i = 0; i < HELD_SESSION_COUNT; i++) {
		char *answer = read_answer(c[i], ANSWER_TIMEOUT_MS);

		if (strcmp(answer, held_cases[_i].expected) != 0 &&
		    strcmp(answer, "ABORTED E") != 0) {
			other_count++;
			g_string_assign(other, answer);
		}
		g_free(answer);
		client_free(c[i]);
	}
	ck_assert_msg(!other_count, "%s: %u answers are like %s", held_cases[_i].label, other_count,
		      other->str);
	g_string_free(other, TRUE);
	stop_fleet();
}
END_TEST

static const struct {
	const char *label;
	int signals[8]; /* sent 2 ms apart */
} signal_cases[] = {
	{ "one signal", { SIGTERM } },
	{ "reload before and after", { SIGHUP, SIGTERM, SIGHUP } },
	{ "further signals at once",
	  { SIGTERM, SIGTERM, SIGTERM, SIGTERM, SIGTERM, SIGTERM, SIGTERM, SIGTERM } },
};

/* Guards against pipelined statements and commits that lose their answers in a stop. */
START_TEST(test_pipelined_statements_are_answered)
{
	struct client *reader[SIGNAL_SESSION_COUNT], *writer[SIGNAL_SESSION_COUNT];
	uint32_t lost_count = 0;

	prepare_fleet("300ms", "2s", "150");
	for (uint32_t i = 0; i < SIGNAL_SESSION_COUNT; i++) {
		reader[i] = open_session(0, "views");
		writer[i] = open_session(0, "desk");
		expect_answer(writer[i], "BEGIN", "done T");
	}
	for (uint32_t i = 0; i < SIGNAL_SESSION_COUNT; i++) {
		for (uint32_t n = 0; n < 3; n++) {
			send_statement(reader[i], "READ a");
			send_statement(writer[i], n < 2 ? "WRITE a v" : "COMMIT");
		}
	}
	sleep_ms(100);
	for (uint32_t i = 0; i < PW_ARRAY_LEN(signal_cases[_i].signals); i++) {
		if (signal_cases[_i].signals[i])
			pw_harness_signal(vms[0].process, signal_cases[_i].signals[i]);
		sleep_ms(2);
	}
	for (uint32_t i = 0; i < SIGNAL_SESSION_COUNT * 3; i++) {
		char *a = read_answer(reader[i / 3], ANSWER_TIMEOUT_MS);
		char *b = read_answer(writer[i / 3], ANSWER_TIMEOUT_MS);

		lost_count += g_str_has_suffix(a, "CLOSED") || g_str_has_suffix(a, "TIMEOUT");
		lost_count += g_str_has_suffix(b, "CLOSED") || g_str_has_suffix(b, "TIMEOUT");
		g_free(a);
		g_free(b);
	}
	ck_assert_msg(!lost_count, "%s: %u answers are missing", signal_cases[_i].label,
		      lost_count);
	for (uint32_t i = 0; i < SIGNAL_SESSION_COUNT; i++) {
		client_free(reader[i]);
		client_free(writer[i]);
	}
	expect_end(KILL_AFTER_MS);
	stop_fleet();
}
END_TEST

/* Guards against a stop that hangs because a task had not started when the signal came. */
START_TEST(test_signal_during_start)
{
	drain_grace = "300ms";
	drain_timeout = "2s";
	start_platform();
	vms[0] = (struct vm){ .caller_port = pw_harness_allocate_port(),
			      .api_port = pw_harness_allocate_port(),
			      .peer_port = pw_harness_allocate_port(),
			      .metrics_port = pw_harness_allocate_port() };
	start_vm(0);
	pw_harness_signal(vms[0].process, SIGTERM);
	expect_end(KILL_AFTER_MS);
	stop_fleet();
}
END_TEST

/* Guards against an idle timeout that outlives a rollback and fails the next statement. */
START_TEST(test_rollback_ends_idle_timeout)
{
	struct client *c;

	start_fleet();
	c = open_session(0, "desk");
	publish_catalog(BOTH_KEYS, 300);
	g_usleep(300000);
	expect_answer(c, "BEGIN", "done T");
	expect_answer(c, "WRITE rolled v", "ok T");
	expect_answer(c, "ROLLBACK", "done I");
	g_usleep(600000);
	expect_answer(c, "READ rolled", "none ok I");
	client_free(c);
	stop_fleet();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("ends fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_loop_test(tc, test_half_closed_caller_is_answered, 0,
			    PW_ARRAY_LEN(half_closed_cases));
	tcase_add_loop_test(tc, test_slow_reader_gets_whole_answers, 0,
			    PW_ARRAY_LEN(slow_reader_cases));
	tcase_add_test(tc, test_withdrawn_key_gets_whole_answers);
	tcase_add_test(tc, test_answer_in_socket_of_held_vm_is_used);
	tcase_add_loop_test(tc, test_requests_of_held_vm_are_answered, 0, PW_ARRAY_LEN(held_cases));
	tcase_add_loop_test(tc, test_pipelined_statements_are_answered, 0,
			    PW_ARRAY_LEN(signal_cases));
	tcase_add_test(tc, test_signal_during_start);
	tcase_add_test(tc, test_rollback_ends_idle_timeout);
	return pw_suite_run("ends fleet", tc);
}
