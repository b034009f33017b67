/*
 * End-to-end tests of planned stops of a VM under load, on a fleet of proxy processes against the
 * platform stand-in: callers keep using their sessions until these are closed.
 */
#include "suite.h"

#include <pthread.h>
#include <stdio.h>

#include "harness_relay.h"
#include "platform_fleet.h"

#define CALLERS_MAX 64
/* Time from the start of the callers to SIGTERM. */
#define RUN_BEFORE_MS 1500
/* A caller that the VM neither answers nor disconnects is given up after this time. */
#define CALLER_TIMEOUT_MS 9000
/* The platform kills a process this long after SIGTERM, unless a case has another limit. */
#define KILL_AFTER_MS 6000

struct stop_case {
	const char *label;
	const char *database;
	const char *begin; /* NULL: single statements only */
	const char *statement;
	uint32_t caller_count;
	uint32_t statement_count; /* of a transaction */
	uint32_t work_ms;         /* run time of a statement at the server */
	uint32_t pause_min_ms, pause_max_ms;
	uint32_t first_begin_ms;        /* after SIGTERM: no transaction begins before */
	uint32_t further_signals_ms[2]; /* after the first SIGTERM; 0: none */
};

/* What became of one caller's last request. */
struct caller {
	pthread_t thread;
	const struct stop_case *stop;
	GRand *rand;
	uint32_t index;
	uint32_t answered_count;
	char *unanswered_id; /* of a request without an answer; NULL: none */
	uint32_t waited_ms;  /* of that request, until the end of the connection */
	uint32_t sent_ms;    /* after SIGTERM */
	bool crossed_close;  /* by the times of the kernel */
};

static gint64 signal_us; /* 0: not yet sent; atomic */

static gint64 since_signal_ms(void)
{
	gint64 us = __atomic_load_n(&signal_us, __ATOMIC_ACQUIRE);

	return us ? (g_get_monotonic_time() - us) / 1000 : -1;
}

/* Runs a statement. Returns false at the end of the connection, or if the answer is missing. */
static bool run(struct caller *caller, struct client *c, const char *statement, char *state)
{
	static uint32_t last_number;
	char *id = g_strdup_printf("c%u-%u", caller->index,
				   __atomic_add_fetch(&last_number, 1, __ATOMIC_RELAXED));
	char *line = g_strdup_printf("QUERY %s %s\r\n", id, statement);
	gint64 sent_us = g_get_monotonic_time();
	bool sent = c->fd >= 0 &&
		    send(c->fd, line, strlen(line), MSG_NOSIGNAL) == (ssize_t)strlen(line);
	char *answer;
	bool answered;

	g_free(line);
	if (!sent) {
		g_free(id);
		return false;
	}
	answer = read_answer(c, CALLER_TIMEOUT_MS);
	answered = !g_str_has_suffix(answer, "CLOSED") && !g_str_has_suffix(answer, "TIMEOUT");
	*state = answer[strlen(answer) - 1];
	caller->answered_count += answered;
	if (answered) {
		g_free(id);
	} else {
		caller->unanswered_id = id;
		caller->waited_ms = (uint32_t)((g_get_monotonic_time() - sent_us) / 1000);
		caller->sent_ms = (uint32_t)MAX(since_signal_ms() - caller->waited_ms, 0);
		caller->crossed_close = has_crossed_close(c);
	}
	g_free(answer);
	return answered;
}

static void pause_caller(struct caller *caller)
{
	g_usleep(1000 * (gulong)g_rand_int_range(caller->rand, (gint32)caller->stop->pause_min_ms,
						 (gint32)caller->stop->pause_max_ms + 1));
}

/* Runs a transaction. Returns false at the end of the connection. */
static bool run_transaction(struct caller *caller, struct client *c)
{
	char state = 'T';

	if (!run(caller, c, caller->stop->begin, &state))
		return false;
	for (uint32_t i = 0; i < caller->stop->statement_count && state == 'T'; i++) {
		pause_caller(caller);
		if (!run(caller, c, caller->stop->statement, &state))
			return false;
	}
	if (state == 'I')
		return true;
	return run(caller, c, state == 'T' ? "COMMIT" : "ROLLBACK", &state);
}

static void *run_caller(void *arg)
{
	struct caller *caller = arg;
	const struct stop_case *stop = caller->stop;
	struct client *c = open_session(0, stop->database);
	bool open = true;
	char state;

	while (open) {
		if (stop->begin && since_signal_ms() >= (gint64)stop->first_begin_ms &&
		    g_rand_boolean(caller->rand))
			open = run_transaction(caller, c);
		else
			open = run(caller, c, stop->statement, &state);
		if (open)
			pause_caller(caller);
	}
	client_free(c);
	return NULL;
}

/* Sends the further signals of the case, each at its time. */
static void send_further_signals(const struct stop_case *stop)
{
	for (uint32_t i = 0; i < PW_ARRAY_LEN(stop->further_signals_ms); i++) {
		gint64 at_ms = stop->further_signals_ms[i];

		if (!at_ms)
			return;
		g_usleep((gulong)MAX(at_ms - since_signal_ms(), 0) * 1000);
		pw_harness_signal(vms[0].process, SIGTERM);
	}
}

static const struct stop_case stop_cases[] = {
	{ "single reads, busy callers", "views", NULL, "READ a", 48, 0, 20, 0, 100, 0 },
	{ "single writes, callers idle at times", "desk", NULL, "WRITE a v", 48, 0, 10, 100, 500,
	  0 },
	{ "transactions that begin before and after the signal", "desk", "BEGIN", "WRITE a v", 32,
	  8, 30, 50, 250, 0 },
	{ "long transactions at the primary that begin late", "desk", "BEGIN", "WRITE a v", 24, 12,
	  150, 50, 250, 600 },
	{ "long transactions that begin late", "views", "BEGIN READ", "READ a", 24, 12, 150, 50,
	  250, 1200 },
	{ "a second signal in the drain",
	  "desk",
	  "BEGIN",
	  "WRITE a v",
	  24,
	  12,
	  150,
	  50,
	  250,
	  600,
	  { 2900 } },
	{ "reads, a second signal in the drain",
	  "views",
	  NULL,
	  "READ a",
	  48,
	  0,
	  100,
	  0,
	  100,
	  0,
	  { 2300 } },
	{ "two further signals before the drain",
	  "desk",
	  NULL,
	  "WRITE a v",
	  32,
	  0,
	  150,
	  0,
	  50,
	  0,
	  { 500, 600 } },
};

/*
 * Stops a VM under the load of the case and kills it at the limit, as a platform does. Fails if a
 * request that the VM has read or a server works on has no answer, or if the process has to be
 * killed. A request that crosses the close on its way is excused.
 */
static void play_stop(const struct stop_case *stop, uint32_t limit_ms)
{
	struct caller callers[CALLERS_MAX];
	GString *failures = g_string_new(NULL);
	char *work = g_strdup_printf("%u", stop->work_ms);
	uint32_t answered_count = 0;
	bool ended;

	start_fleet();
	inject_fault("work", work);
	__atomic_store_n(&signal_us, 0, __ATOMIC_RELEASE);
	for (uint32_t i = 0; i < stop->caller_count; i++) {
		callers[i] = (struct caller){ .stop = stop,
					      .rand = g_rand_new_with_seed(29 + i),
					      .index = i };
		pthread_create(&callers[i].thread, NULL, run_caller, &callers[i]);
	}
	g_usleep(RUN_BEFORE_MS * 1000);
	__atomic_store_n(&signal_us, g_get_monotonic_time(), __ATOMIC_RELEASE);
	pw_harness_signal(vms[0].process, SIGTERM);
	send_further_signals(stop);
	ended = pw_harness_wait_end(vms[0].process, (uint32_t)MAX(limit_ms - since_signal_ms(), 1));
	if (!ended)
		pw_harness_kill(vms[0].process);
	for (uint32_t i = 0; i < stop->caller_count; i++) {
		struct caller *c = &callers[i];

		pthread_join(c->thread, NULL);
		answered_count += c->answered_count;
		if (c->unanswered_id && (!c->crossed_close || has_started(c->unanswered_id)))
			g_string_append_printf(failures, "; %s sent at %u ms waited %u ms",
					       c->unanswered_id, c->sent_ms, c->waited_ms);
		g_free(c->unanswered_id);
		g_rand_free(c->rand);
	}
	if (failures->len)
		show_stop_log(&vms[0]);
	ck_assert_msg(!failures->len, "%s, limit %u ms: no answer%s", stop->label, limit_ms,
		      failures->str);
	ck_assert_uint_gt(answered_count, stop->caller_count);
	ck_assert_msg(ended, "%s, limit %u ms: the process has not ended", stop->label, limit_ms);
	ck_assert_int_eq(vms[0].process->status, 0);
	ck_assert_uint_eq(count_log_lines(&vms[0], " unanswered=0 "), 1);
	ck_assert_uint_eq(count_log_lines(&vms[0], "name=request_unanswered"), 0);
	g_string_free(failures, TRUE);
	g_free(work);
	stop_fleet();
}

/* Guards against a request without an answer around a planned stop. */
START_TEST(test_stop_answers_every_request)
{
	drain_grace = "2200ms";
	drain_timeout = "2800ms";
	play_stop(&stop_cases[_i], KILL_AFTER_MS);
}
END_TEST

static const uint32_t limits_ms[] = { 2000, 3000, 6000 };

static const struct stop_case limit_cases[] = {
	{ .label = "statements near their timeout",
	  .database = "desk",
	  .statement = "WRITE a v",
	  .caller_count = 12,
	  .work_ms = 700 },
	{ .label = "reads without a pause",
	  .database = "views",
	  .statement = "READ a",
	  .caller_count = 32,
	  .work_ms = 100 },
	{ .label = "long transactions",
	  .database = "desk",
	  .begin = "BEGIN",
	  .statement = "WRITE a v",
	  .caller_count = 16,
	  .statement_count = 12,
	  .work_ms = 150,
	  .pause_min_ms = 50,
	  .pause_max_ms = 250 },
};

/* Guards against times of a planned stop that fit one limit only. */
START_TEST(test_stop_fits_limit)
{
	uint32_t limit_ms = limits_ms[(size_t)_i / PW_ARRAY_LEN(limit_cases)];
	char *text = g_strdup_printf("%ums", limit_ms);

	stop_timeout = text;
	play_stop(&limit_cases[(size_t)_i % PW_ARRAY_LEN(limit_cases)], limit_ms);
	stop_timeout = NULL;
	g_free(text);
}
END_TEST

/*
 * Guards against a VM that is killed while it waits to leave the fleet: VMs that cannot reach the
 * store hold permits that it has delegated to them.
 */
START_TEST(test_stop_with_delegated_permits_fits_limit)
{
	struct pw_harness_relay *relay;
	char *text = g_strdup_printf("%ums", limits_ms[_i]);

	stop_timeout = text;
	start_fleet();
	stop_timeout = NULL;
	relay = pw_harness_relay_new(platform->port);
	for (uint32_t i = 1; i < VM_COUNT; i++) {
		pw_harness_stop(vms[i].process);
		start_vm_with_store(i, pw_harness_relay_port(relay));
		ck_assert(PW_HARNESS_WAIT_UNTIL(is_ready(&vms[i]), READY_TIMEOUT_MS));
	}
	pw_harness_relay_set_mode(relay, PW_RELAY_DISCONNECT);
	g_usleep(RUN_BEFORE_MS * 2000);
	pw_harness_signal(vms[0].process, SIGTERM);
	ck_assert_msg(pw_harness_wait_end(vms[0].process, limits_ms[_i]),
		      "limit %u ms: the process has not ended", limits_ms[_i]);
	ck_assert_int_eq(vms[0].process->status, 0);
	pw_harness_relay_free(relay);
	g_free(text);
	stop_fleet();
}
END_TEST

/* Runs statements without a pause. Returns the last answer after which the caller leaves. */
static char *run_until_refused(struct client *c, const char *statement)
{
	for (;;) {
		char *answer = run_statement(c, statement);

		if (strcmp(answer, "ok I") != 0 && strcmp(answer, "v ok I") != 0)
			return answer;
		g_free(answer);
	}
}

static const struct {
	const char *database, *statement;
} busy_caller_cases[] = {
	{ "views", "READ a" },
	{ "desk", "WRITE a v" },
};

/*
 * Guards against a session that is closed between an answer and the next request of a caller that
 * does not pause: such a request is lost, and the outcome of a write is unknown to the caller.
 */
START_TEST(test_busy_caller_is_refused_before_the_close)
{
	struct client *c;
	char *answer;

	drain_grace = "300ms";
	drain_timeout = "2s";
	start_fleet();
	inject_fault("work", "5");
	c = open_session(0, "desk");
	expect_answer(c, "WRITE a v", "ok I");
	client_free(c);
	c = open_session(0, busy_caller_cases[_i].database);
	pw_harness_signal(vms[0].process, SIGTERM);
	answer = run_until_refused(c, busy_caller_cases[_i].statement);
	ck_assert_str_eq(answer, "BUSY I");
	g_free(answer);
	client_free(c);
	stop_fleet();
}
END_TEST

/*
 * Guards against a session that is closed as idle although a request is in its socket: the VM was
 * held up, and the drain begins before the request is read.
 */
START_TEST(test_request_in_socket_is_answered)
{
	struct client *c;
	char *answer;

	drain_grace = "300ms";
	drain_timeout = "2s";
	start_fleet();
	c = open_session(0, "desk");
	expect_answer(c, "WRITE a v", "ok I");
	pw_harness_signal(vms[0].process, SIGTERM);
	g_usleep(150000);
	pw_harness_signal(vms[0].process, SIGSTOP);
	send_statement(c, "READ a");
	g_usleep(400000);
	pw_harness_signal(vms[0].process, SIGCONT);
	answer = read_answer(c, ANSWER_TIMEOUT_MS);
	ck_assert_str_eq(answer, "v ok I");
	g_free(answer);
	client_free(c);
	stop_fleet();
}
END_TEST

/* Idle timeout of transactions, and a bound for the catalogue to be in force. */
#define TRANSACTION_IDLE_MS 300
#define CATALOG_APPLY_MS    1000

/*
 * Guards against a session that counts as being in a transaction after its rollback: it is not
 * closed as idle, and delays the stop until the end of the drain.
 */
START_TEST(test_idle_session_after_rollback_is_closed)
{
	struct client *c;
	char *answer;

	drain_grace = "500ms";
	drain_timeout = "4s";
	start_fleet();
	publish_catalog(BOTH_KEYS, TRANSACTION_IDLE_MS);
	g_usleep(CATALOG_APPLY_MS * 1000);
	c = open_session(0, "desk");
	expect_answer(c, "BEGIN", "done T");
	expect_answer(c, "WRITE a v", "ok T");
	expect_answer(c, "ROLLBACK", "done I");
	pw_harness_signal(vms[0].process, SIGTERM);
	answer = read_answer(c, 2500);
	ck_assert_str_eq(answer, "CLOSED");
	g_free(answer);
	client_free(c);
	stop_fleet();
}
END_TEST

/* A server that ends a connection after a request, and a caller that is held up before it reads. */
static const struct end_case {
	const char *label;
	int32_t close_ms; /* after the request; below 0: before it */
	uint32_t read_ms; /* after the request */
	bool resets;
	bool crossed_close;
} end_cases[] = {
	{ "the end comes before the request", -50, 0, false, true },
	{ "the end comes before the request, which is held up", -50, 400, false, true },
	{ "the end comes at once, the caller is held up", 20, 400, false, true },
	{ "the end comes late", 300, 0, false, false },
	{ "the end comes late, the caller is held up", 300, 400, false, false },
	{ "a reset comes late", 300, 0, true, false },
};

struct ending_server {
	const struct end_case *kind;
	int fd;
};

static void *end_connection(void *arg)
{
	const struct ending_server *s = arg;
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	if (s->kind->close_ms > 0)
		g_usleep((gulong)s->kind->close_ms * 1000);
	if (s->kind->resets)
		(void)setsockopt(s->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	if (s->kind->resets)
		close(s->fd);
	else
		shutdown(s->fd, SHUT_WR);
	return NULL;
}

/*
 * Guards against a check that takes a request which is cut late for one that crosses the close, or
 * a caller that is held up for a late cut.
 */
START_TEST(test_late_end_is_told_from_crossing)
{
	const struct end_case *k = &end_cases[_i];
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t size = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	struct ending_server server = { .kind = k };
	pthread_t thread;
	struct client *c;
	struct vm v = { 0 };
	char *line;

	ck_assert_int_eq(bind(listener, (struct sockaddr *)&address, size), 0);
	ck_assert_int_eq(listen(listener, 1), 0);
	ck_assert_int_eq(getsockname(listener, (struct sockaddr *)&address, &size), 0);
	v.caller_port = ntohs(address.sin_port);
	c = client_new(&v);
	server.fd = accept(listener, NULL, NULL);
	ck_assert_int_eq(pthread_create(&thread, NULL, end_connection, &server), 0);
	if (k->close_ms < 0)
		g_usleep((gulong)-k->close_ms * 1000);
	send_statement(c, "READ a");
	g_usleep(k->read_ms * 1000);
	line = read_line(c, g_get_monotonic_time() + ANSWER_TIMEOUT_MS * 1000);
	ck_assert_ptr_null(line);
	ck_assert_msg(has_crossed_close(c) == k->crossed_close, "%s: %" G_GINT64_FORMAT " us",
		      k->label, c->end_us - c->last_sent_us);
	pthread_join(thread, NULL);
	client_free(c);
	if (!k->resets)
		close(server.fd);
	close(listener);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("stops fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_loop_test(tc, test_late_end_is_told_from_crossing, 0, PW_ARRAY_LEN(end_cases));
	tcase_add_loop_test(tc, test_stop_answers_every_request, 0, PW_ARRAY_LEN(stop_cases));
	tcase_add_loop_test(tc, test_stop_fits_limit, 0,
			    PW_ARRAY_LEN(limits_ms) * PW_ARRAY_LEN(limit_cases));
	tcase_add_loop_test(tc, test_stop_with_delegated_permits_fits_limit, 0,
			    PW_ARRAY_LEN(limits_ms));
	tcase_add_loop_test(tc, test_busy_caller_is_refused_before_the_close, 0,
			    PW_ARRAY_LEN(busy_caller_cases));
	tcase_add_test(tc, test_request_in_socket_is_answered);
	tcase_add_test(tc, test_idle_session_after_rollback_is_closed);
	return pw_suite_run("stops fleet", tc);
}
