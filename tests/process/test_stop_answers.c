/*
 * Tests that a planned stop answers every statement and login that a proxy has accepted: with its
 * result or with an error that tells whether it may have run. Runs real processes.
 */
#include "suite.h"

#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "harness_service.h"

#define ANSWER_TIMEOUT_MS 5000
#define EXIT_TIMEOUT_MS   10000
/* Slots of the harness's database server: so many statements run, further ones wait. */
#define SLOT_COUNT  4
#define CALLERS_MAX 200
#define SIGNALS_MAX 3
#define DOCUMENT    ",\"limits\":{\"request_deadline_ms\":20000}"

static struct pw_harness_service service;
static PGconn *conns[CALLERS_MAX];
static uint32_t conn_count;

static void start_service(const char *grace, const char *timeout)
{
	const char *const args[] = { grace, timeout, "--front-tasks=1", NULL };

	pw_harness_service_start(&service, DOCUMENT, args);
	conn_count = 0;
}

static void stop_service(void)
{
	for (uint32_t i = 0; i < conn_count; i++)
		PQfinish(conns[i]);
	conn_count = 0;
	pw_harness_service_stop(&service);
}

/* Keeps libpq from printing errors that it receives between statements. */
static void ignore_notice(void *data, const char *message)
{
	(void)data;
	(void)message;
}

static void open_callers(uint32_t count)
{
	const struct pw_harness_login login = pw_harness_service_login(&service, 0);

	for (uint32_t i = 0; i < count; i++) {
		char *error;

		conns[conn_count] = pw_harness_connect(&login, ANSWER_TIMEOUT_MS, &error);
		ck_assert_msg(conns[conn_count] != NULL, "%s", error);
		PQsetNoticeProcessor(conns[conn_count++], ignore_notice, NULL);
	}
}

static void set_fault(const char *name, const char *value)
{
	const struct pw_harness_login login = {
		.port = service.database_port,
		.user = "control",
		.password = "control-secret",
		.application_name = "tests",
	};
	char *sql = g_strdup_printf("SELECT * FROM pw_fault('%s','%s')", name, value);
	char *result = pw_harness_connect_and_query(&login, ANSWER_TIMEOUT_MS, sql);

	ck_assert_msg(g_str_has_prefix(result, name), "%s", result);
	g_free(result);
	g_free(sql);
}

/* Waits for the next result; returns NULL after the last one, or at the timeout. */
static PGresult *wait_result(PGconn *conn, gint64 end_us, bool *timed_out)
{
	while (PQisBusy(conn)) {
		struct pollfd p = { .fd = PQsocket(conn), .events = POLLIN };
		gint64 left_ms = (end_us - g_get_monotonic_time()) / 1000;

		if (left_ms <= 0 || poll(&p, 1, (int)left_ms) <= 0) {
			*timed_out = true;
			return NULL;
		}
		if (!PQconsumeInput(conn))
			break;
	}
	return PQgetResult(conn);
}

/*
 * Reads the first result of a statement: "ERROR <sqlstate> <detail>" for an error. The later ones
 * that libpq returns for the end of the connection are dropped.
 */
static char *read_answer(PGconn *conn)
{
	const gint64 end_us = g_get_monotonic_time() + ANSWER_TIMEOUT_MS * 1000;
	bool timed_out = false;
	char *answer = NULL;
	PGresult *r;

	while ((r = wait_result(conn, end_us, &timed_out))) {
		const char *detail = PQresultErrorField(r, PG_DIAG_MESSAGE_DETAIL);
		char *text = pw_harness_format_result(r);

		if (!answer)
			answer = detail ? g_strdup_printf("%s %s", text, detail) : g_strdup(text);
		g_free(text);
		PQclear(r);
	}
	if (!answer)
		answer = g_strdup(timed_out ? "TIMEOUT" : "CLOSED");
	return answer;
}

/* Counts the callers by their answers, as "ANSWER: COUNT" in the order of the text. */
static char *summarize_answers(void)
{
	GTree *counts =
		g_tree_new_full((GCompareDataFunc)(void (*)(void))strcmp, NULL, g_free, NULL);
	GString *s = g_string_new(NULL);

	for (uint32_t i = 0; i < conn_count; i++) {
		char *answer = read_answer(conns[i]);
		uint32_t n = GPOINTER_TO_UINT(g_tree_lookup(counts, answer));

		g_tree_insert(counts, answer, GUINT_TO_POINTER(n + 1));
	}
	for (GTreeNode *n = g_tree_node_first(counts); n; n = g_tree_node_next(n))
		g_string_append_printf(s, "%s%s: %u", s->len ? "\n" : "",
				       (char *)g_tree_node_key(n),
				       GPOINTER_TO_UINT(g_tree_node_value(n)));
	g_tree_unref(counts);
	return g_string_free(s, FALSE);
}

static char *read_log(void)
{
	return pw_harness_read_output(service.proxy);
}

/* Returns the first line of the log that contains the text, or NULL; the caller frees it. */
static char *find_log_line(const char *text)
{
	char *log = read_log();
	char **lines = g_strsplit(log, "\n", -1);
	char *found = NULL;

	for (char **line = lines; *line && !found; line++)
		found = strstr(*line, text) ? g_strdup(*line) : NULL;
	g_strfreev(lines);
	g_free(log);
	return found;
}

static bool log_contains(const char *text)
{
	char *line = find_log_line(text);
	bool found = line != NULL;

	g_free(line);
	return found;
}

static void expect_log(const char *text)
{
	char *end = find_log_line("name=drain_ended");

	ck_assert_msg(log_contains(text), "the log does not contain \"%s\": %s", text,
		      end ? end : "it has no drain_ended");
	g_free(end);
}

static void expect_clean_end(void)
{
	ck_assert_msg(pw_harness_wait_end(service.proxy, EXIT_TIMEOUT_MS), "the proxy still runs");
	ck_assert_int_eq(service.proxy->status, 0);
}

#define UNKNOWN "The statement may or may not have taken effect."
#define NOT_RUN "The statement was not run."

/* Statements in progress, and the signals that end the drain while they are. */
static const struct stop_case {
	const char *label;
	const char *begin; /**< run before the statement; NULL: nothing */
	const char *sql;
	const char *delay_ms;                /**< of the server's answers; NULL: none */
	uint32_t caller_count;               /**< callers with such a statement */
	uint32_t signals_at_ms[SIGNALS_MAX]; /**< 0 after the first: none */
	const char *grace;
	const char *timeout;
	const char *expected;
} stop_cases[] = {
	{ "reads, end of the drain",
	  NULL,
	  "SELECT pg_sleep(20)",
	  NULL,
	  3 * SLOT_COUNT,
	  { 0 },
	  "--drain-grace=200ms",
	  "--drain-timeout=700ms",
	  "ERROR 08007 " UNKNOWN ": 4\nERROR 57P01 " NOT_RUN ": 8" },
	{ "writes, end of the drain",
	  NULL,
	  "INSERT INTO t (k, v) VALUES ('1', 'a')",
	  "20000",
	  3 * SLOT_COUNT,
	  { 0 },
	  "--drain-grace=200ms",
	  "--drain-timeout=700ms",
	  "ERROR 08007 " UNKNOWN ": 4\nERROR 57P01 " NOT_RUN ": 8" },
	{ "transactions, end of the drain",
	  "BEGIN",
	  "SELECT pg_sleep(20)",
	  NULL,
	  SLOT_COUNT,
	  { 0 },
	  "--drain-grace=200ms",
	  "--drain-timeout=700ms",
	  "ERROR 08007 " UNKNOWN ": 4" },
	{ "reads, signal in the drain",
	  NULL,
	  "SELECT pg_sleep(20)",
	  NULL,
	  3 * SLOT_COUNT,
	  { 0, 500 },
	  "--drain-grace=200ms",
	  "--drain-timeout=20s",
	  "ERROR 08007 " UNKNOWN ": 4\nERROR 57P01 " NOT_RUN ": 8" },
	{ "writes, signal in the drain",
	  NULL,
	  "INSERT INTO t (k, v) VALUES ('1', 'a')",
	  "20000",
	  3 * SLOT_COUNT,
	  { 0, 500 },
	  "--drain-grace=200ms",
	  "--drain-timeout=20s",
	  "ERROR 08007 " UNKNOWN ": 4\nERROR 57P01 " NOT_RUN ": 8" },
	{ "reads, two signals before the drain",
	  NULL,
	  "SELECT pg_sleep(20)",
	  NULL,
	  3 * SLOT_COUNT,
	  { 0, 200, 400 },
	  "--drain-grace=20s",
	  "--drain-timeout=20s",
	  "ERROR 08007 " UNKNOWN ": 4\nERROR 57P01 " NOT_RUN ": 8" },
};

/* Guards against statements whose connection ends without an answer, or whose error is untrue. */
START_TEST(test_end_of_drain_answers_statements)
{
	const struct stop_case *k = &stop_cases[_i];
	uint32_t now_ms = 0;
	char *summary;

	start_service(k->grace, k->timeout);
	open_callers(k->caller_count);
	for (uint32_t i = 0; k->begin && i < conn_count; i++)
		g_free(pw_harness_query(conns[i], ANSWER_TIMEOUT_MS, k->begin, NULL));
	if (k->delay_ms)
		set_fault("delay_ms", k->delay_ms);
	for (uint32_t i = 0; i < conn_count; i++)
		ck_assert(PQsendQuery(conns[i], k->sql));
	g_usleep(300 * 1000);
	for (uint32_t i = 0; i < SIGNALS_MAX && (!i || k->signals_at_ms[i]); i++) {
		g_usleep((k->signals_at_ms[i] - now_ms) * 1000);
		now_ms = k->signals_at_ms[i];
		pw_harness_signal(service.proxy, SIGTERM);
	}
	summary = summarize_answers();
	ck_assert_msg(strcmp(summary, k->expected) == 0, "%s:\n%s\nexpected:\n%s", k->label,
		      summary, k->expected);
	g_free(summary);
	for (uint32_t i = 0; i < conn_count; i++)
		PQfinish(conns[i]);
	conn_count = 0;
	expect_clean_end();
	stop_service();
}
END_TEST

/* More connections than the proxy accepts until the message of the drain arrives. */
#define WAITING_COUNT 300

/* Logins around a time in which the VM is held up. */
static const struct login_case {
	const char *label;
	const char *sslmode;  /**< with "prefer", the login begins with a request for encryption */
	bool connects_before; /**< before the VM is held up; otherwise while it is */
	bool sends_before;    /**< the first message is sent while the VM is held up */
	bool drains_before;   /**< a second signal begins the drain before the VM is held up */
	uint32_t held_ms;
	const char *grace, *timeout;
} login_cases[] = {
	{ .label = "connections wait",
	  .sslmode = "disable",
	  .held_ms = 1100,
	  .grace = "--drain-grace=1s",
	  .timeout = "--drain-timeout=2s" },
	{ .label = "connections wait, encryption",
	  .sslmode = "prefer",
	  .held_ms = 1100,
	  .grace = "--drain-grace=1s",
	  .timeout = "--drain-timeout=2s" },
	{ .label = "requests for encryption wait at the begin of the drain",
	  .sslmode = "prefer",
	  .connects_before = true,
	  .sends_before = true,
	  .held_ms = 1100,
	  .grace = "--drain-grace=1s",
	  .timeout = "--drain-timeout=2s" },
	{ .label = "requests for encryption wait across the end of the drain",
	  .sslmode = "prefer",
	  .connects_before = true,
	  .sends_before = true,
	  .drains_before = true,
	  .held_ms = 2200,
	  .grace = "--drain-grace=20s",
	  .timeout = "--drain-timeout=2s" },
};

static void start_login(PGconn **conn, const char *sslmode)
{
	char *conninfo = g_strdup_printf(
		"host=127.0.0.1 port=%u user=amber password=%s dbname=test sslmode=%s",
		service.caller_port, service.keys[0].text, sslmode);

	*conn = PQconnectStart(conninfo);
	PQsetErrorVerbosity(*conn, PQERRORS_VERBOSE);
	g_free(conninfo);
}

static void finish_login(PGconn *conn)
{
	PostgresPollingStatusType state = PGRES_POLLING_WRITING;

	while (state == PGRES_POLLING_WRITING || state == PGRES_POLLING_READING) {
		struct pollfd p = { .fd = PQsocket(conn),
				    .events = state == PGRES_POLLING_READING ? POLLIN : POLLOUT };

		ck_assert_int_eq(poll(&p, 1, ANSWER_TIMEOUT_MS), 1);
		state = PQconnectPoll(conn);
	}
}

/*
 * Returns NULL if a login is refused with an error that makes drivers try their next address, or
 * if it succeeds before the drain begins and its statement is answered; otherwise what it got.
 */
static char *find_login_failure(PGconn *conn, bool may_succeed)
{
	char *answer;

	if (strstr(PQerrorMessage(conn), "57P03"))
		return NULL;
	if (!may_succeed || PQstatus(conn) != CONNECTION_OK)
		return g_strdup(PQerrorMessage(conn));
	PQsetNoticeProcessor(conn, ignore_notice, NULL);
	if (!PQsendQuery(conn, "SELECT 1"))
		return g_strdup(PQerrorMessage(conn));
	answer = read_answer(conn);
	if (strcmp(answer, "1") == 0 || strcmp(answer, "ERROR 57P01 " NOT_RUN) == 0)
		g_clear_pointer(&answer, g_free);
	return answer;
}

/* Stops the proxy, and waits until none of its threads runs. */
static void hold_up_proxy(void)
{
	siginfo_t info;

	pw_harness_signal(service.proxy, SIGSTOP);
	ck_assert_int_eq(waitid(P_PID, (id_t)service.proxy->pid, &info, WSTOPPED | WNOWAIT), 0);
}

/*
 * Guards against logins that are reset, or whose error comes in the place of the answer to a
 * request for encryption, where drivers do not show it.
 */
START_TEST(test_logins_beside_hold_up_are_answered)
{
	const struct login_case *k = &login_cases[_i];
	PGconn *waiting[WAITING_COUNT];
	uint32_t failure_count = 0;
	char *first_failure = NULL;

	start_service(k->grace, k->timeout);
	pw_harness_signal(service.proxy, SIGTERM);
	g_usleep(100 * 1000);
	for (uint32_t i = 0; k->connects_before && i < WAITING_COUNT; i++)
		start_login(&waiting[i], k->sslmode);
	if (k->drains_before) {
		pw_harness_signal(service.proxy, SIGTERM);
		ck_assert(PW_HARNESS_WAIT_UNTIL(log_contains("name=drain_started"),
						ANSWER_TIMEOUT_MS));
	}
	hold_up_proxy();
	for (uint32_t i = 0; !k->connects_before && i < WAITING_COUNT; i++)
		start_login(&waiting[i], k->sslmode);
	for (uint32_t i = 0; k->sends_before && i < WAITING_COUNT; i++) {
		while (PQconnectPoll(waiting[i]) == PGRES_POLLING_WRITING)
			;
	}
	g_usleep(k->held_ms * 1000);
	pw_harness_signal(service.proxy, SIGCONT);
	for (uint32_t i = 0; i < WAITING_COUNT; i++) {
		char *failure;

		finish_login(waiting[i]);
		failure = find_login_failure(waiting[i], !k->drains_before);
		failure_count += failure != NULL;
		if (!first_failure)
			first_failure = g_steal_pointer(&failure);
		g_free(failure);
		PQfinish(waiting[i]);
	}
	ck_assert_msg(!failure_count, "%s: %u of %u: %s", k->label, failure_count, WAITING_COUNT,
		      first_failure);
	g_free(first_failure);
	expect_clean_end();
	stop_service();
}
END_TEST

/* More callers than the loop reads in one iteration, so that timers run before some are read. */
#define SOCKET_CALLER_COUNT 150

/* Guards against a caller that is closed as idle without an answer to a request in its socket. */
START_TEST(test_request_in_socket_is_answered)
{
	char *summary;

	start_service("--drain-grace=10ms", "--drain-timeout=3s");
	open_callers(SOCKET_CALLER_COUNT);
	for (uint32_t i = 0; i < conn_count; i++)
		g_free(pw_harness_query(conns[i], ANSWER_TIMEOUT_MS, "SELECT 1", NULL));
	pw_harness_signal(service.proxy, SIGTERM);
	g_usleep(200 * 1000);
	pw_harness_signal(service.proxy, SIGSTOP);
	for (uint32_t i = 0; i < conn_count; i++)
		ck_assert(PQsendQuery(conns[i], "SELECT 1"));
	g_usleep(700 * 1000);
	pw_harness_signal(service.proxy, SIGCONT);
	summary = summarize_answers();
	ck_assert_str_eq(summary, "ERROR 57P01 " NOT_RUN ": 150");
	g_free(summary);
	expect_clean_end();
	stop_service();
}
END_TEST

/*
 * Guards against a withdrawn key that leaves a request without an answer: the second one of a
 * pipeline, which is in the socket while the first one runs.
 */
START_TEST(test_withdrawn_key_answers_pipelined_request)
{
	const char *withdraw[] = { "key", "withdraw", "amber", NULL, NULL };
	GString *answers = g_string_new(NULL);
	PGconn *conn;
	uint32_t null_count = 0;

	start_service("--drain-grace=10ms", "--drain-timeout=3s");
	withdraw[3] = service.keys[0].stored.id;
	open_callers(1);
	conn = conns[0];
	ck_assert(PQenterPipelineMode(conn));
	for (uint32_t i = 0; i < 2; i++) {
		ck_assert(PQsendQueryParams(conn, i ? "SELECT 1" : "SELECT pg_sleep(0.7)", 0, NULL,
					    NULL, NULL, NULL, 0));
		ck_assert(PQpipelineSync(conn));
	}
	ck_assert_int_eq(PQflush(conn), 0);
	g_free(pw_harness_service_run_ctl(&service, withdraw));
	while (PQstatus(conn) == CONNECTION_OK && null_count < 4) {
		const gint64 end_us = g_get_monotonic_time() + ANSWER_TIMEOUT_MS * 1000;
		bool timed_out = false;
		PGresult *r = wait_result(conn, end_us, &timed_out);
		const char *detail = r ? PQresultErrorField(r, PG_DIAG_MESSAGE_DETAIL) : NULL;

		ck_assert(!timed_out);
		null_count += !r;
		if (r && detail)
			g_string_append_printf(answers, "%s %s;",
					       PQresultErrorField(r, PG_DIAG_SQLSTATE), detail);
		else if (PQresultStatus(r) == PGRES_TUPLES_OK)
			g_string_append(answers, "row;");
		PQclear(r);
	}
	ck_assert_str_eq(answers->str, "row;28P01 " NOT_RUN ";");
	g_string_free(answers, TRUE);
	stop_service();
}
END_TEST

/* Guards against a stop whose log does not tell what became of callers and statements. */
START_TEST(test_drain_is_logged)
{
	start_service("--drain-grace=100ms", "--drain-timeout=1s");
	open_callers(5);
	g_free(pw_harness_query(conns[0], ANSWER_TIMEOUT_MS, "BEGIN", NULL));
	ck_assert(PQsendQuery(conns[1], "SELECT pg_sleep(0.7)"));
	ck_assert(PQsendQuery(conns[2], "SELECT pg_sleep(20)"));
	g_usleep(300 * 1000);
	g_free(pw_harness_query(conns[3], ANSWER_TIMEOUT_MS, "SELECT 1", NULL));
	pw_harness_signal(service.proxy, SIGTERM);
	g_usleep(250 * 1000);
	g_free(pw_harness_query(conns[3], ANSWER_TIMEOUT_MS, "SELECT 1", NULL));
	expect_clean_end();
	expect_log("drain_started task=front index=0 sessions=5 statements=2 transactions=1 "
		   "accepted=0 ends_in_ms=1000");
	expect_log("answered=1 refused=1 stopped=1 closed=5 left=0 cut=0 unanswered=0 crossed=0");
	stop_service();
}
END_TEST

#define LARGE_ROW_BYTES 900000
#define LARGE_ROW_COUNT 16

/* Guards against an answer that its caller never takes and that no log line tells of. */
START_TEST(test_answer_that_is_not_taken_is_logged)
{
	char *value = g_strnfill(LARGE_ROW_BYTES, 'x');

	start_service("--drain-grace=10ms", "--drain-timeout=500ms");
	open_callers(1);
	for (uint32_t i = 0; i < LARGE_ROW_COUNT; i++) {
		char *sql = g_strdup_printf("INSERT INTO t (k, v) VALUES ('%u', '%s')", i, value);
		char *answer = pw_harness_query(conns[0], ANSWER_TIMEOUT_MS, sql, NULL);

		ck_assert_str_eq(answer, "INSERT 0 1");
		g_free(answer);
		g_free(sql);
	}
	ck_assert(PQsendQuery(conns[0], "SELECT * FROM t"));
	g_usleep(200 * 1000);
	pw_harness_signal(service.proxy, SIGTERM);
	expect_clean_end();
	expect_log("request_unanswered");
	expect_log("state=answering");
	expect_log("cut=0 unanswered=1");
	stop_service();
	g_free(value);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("stop answers");

	tcase_add_loop_test(tc, test_end_of_drain_answers_statements, 0, PW_ARRAY_LEN(stop_cases));
	tcase_add_loop_test(tc, test_logins_beside_hold_up_are_answered, 0,
			    PW_ARRAY_LEN(login_cases));
	tcase_add_test(tc, test_request_in_socket_is_answered);
	tcase_add_test(tc, test_withdrawn_key_answers_pipelined_request);
	tcase_add_test(tc, test_drain_is_logged);
	tcase_add_test(tc, test_answer_that_is_not_taken_is_logged);
	return pw_suite_run("stop answers", tc);
}
