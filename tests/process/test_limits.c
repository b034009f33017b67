/*
 * Tests the limits that protect the proxy and its other callers from a caller that takes too many
 * resources: half-open logins, guesses of keys, large messages and unread answers. Runs real
 * processes.
 */
#include "suite.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness_service.h"
#include "pw/codec/pg.h"

#define ANSWER_TIMEOUT_MS 3000

/* With one front task, its share of each limit is the whole limit. */
static const char *const one_front_task[] = { "--front-tasks=1", NULL };

static PGconn *connect_as(const struct pw_harness_service *s, uint32_t account)
{
	struct pw_harness_login login = pw_harness_service_login(s, account);
	char *error;
	PGconn *conn = pw_harness_connect(&login, ANSWER_TIMEOUT_MS, &error);

	ck_assert_msg(conn != NULL, "%s", error);
	return conn;
}

static void expect_result(PGconn *conn, const char *sql, const char *expected)
{
	char *answer = pw_harness_query(conn, ANSWER_TIMEOUT_MS, sql, NULL);

	ck_assert_msg(strcmp(answer, expected) == 0, "%s: %s, expected %s", sql, answer, expected);
	g_free(answer);
}

static uint64_t read_counter(const struct pw_harness_service *s, const char *name)
{
	char *prefix = g_strdup_printf("\npimentowing_%s ", name);
	char *body;
	const char *match;
	uint64_t value;

	ck_assert_int_eq(pw_harness_service_http_get(s, "http", "/metrics", &body), 200);
	match = strstr(body, prefix);
	ck_assert_msg(match != NULL, "GET /metrics has no counter %s", name);
	value = g_ascii_strtoull(match + strlen(prefix), NULL, 10);
	g_free(body);
	g_free(prefix);
	return value;
}

static int open_socket(uint16_t port)
{
	struct sockaddr_in a = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	ck_assert_int_eq(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	return fd;
}

/* Returns whether the proxy has kept the connection open. */
static bool is_open(int fd)
{
	char answer[256];
	ssize_t n;

	/* The proxy may have sent a request for the password before it closed the connection. */
	while ((n = recv(fd, answer, sizeof(answer), MSG_DONTWAIT)) > 0)
		;
	return n < 0 && errno == EAGAIN;
}

/* What each half-open login sends before it stops. */
static const struct {
	const char *label;
	const char *bytes;
	size_t size_bytes;
} half_open_cases[] = {
	{ "nothing", "", 0 },
	{ "part of a start-up message", "\0\0\0\x40\0\x03\0\0us", 10 },
	{ "start-up without a password", "\0\0\0\x23\0\x03\0\0user\0amber\0database\0test\0\0",
	  35 },
};

#define HALF_OPEN_COUNT 120
#define LOGINS_MAX      10 /* a quarter of max_connections */

/*
 * Guards against half-open logins that keep other callers from logging in or running statements.
 * Many sockets connect and stop before the login is complete.
 */
START_TEST(test_half_open_logins)
{
	struct pw_harness_service s;
	int fds[HALF_OPEN_COUNT], open_count = 0;
	PGconn *earlier_conn, *later_conn;

	pw_harness_service_start(&s, ",\"limits\":{\"max_connections\":40}", one_front_task);
	earlier_conn = connect_as(&s, 0);
	for (size_t i = 0; i < HALF_OPEN_COUNT; i++) {
		fds[i] = open_socket(s.caller_port);
		ck_assert_int_eq(send(fds[i], half_open_cases[_i].bytes,
				      half_open_cases[_i].size_bytes, MSG_NOSIGNAL),
				 (int)half_open_cases[_i].size_bytes);
	}
	expect_result(earlier_conn, "SELECT 1", "1");
	later_conn = connect_as(&s, 1);
	expect_result(later_conn, "SELECT 1", "1");
	ck_assert_uint_ge(read_counter(&s, "logins_dropped_total"), HALF_OPEN_COUNT - LOGINS_MAX);
	for (size_t i = 0; i < HALF_OPEN_COUNT; i++)
		open_count += is_open(fds[i]);
	ck_assert_int_le(open_count, LOGINS_MAX);
	for (size_t i = 0; i < HALF_OPEN_COUNT; i++)
		close(fds[i]);
	PQfinish(earlier_conn);
	PQfinish(later_conn);
	pw_harness_service_stop(&s);
}
END_TEST

/* Guards against callers without a key that use up all connections: they get half of them. */
START_TEST(test_callers_without_key)
{
	struct pw_harness_service s;
	struct pw_harness_login keyless_login = { .user = "open" };
	PGconn *conns[5], *keyed_conn;
	char *error;

	pw_harness_service_start(&s, ",\"limits\":{\"max_connections\":10}", one_front_task);
	keyless_login.port = s.caller_port;
	for (size_t i = 0; i < PW_ARRAY_LEN(conns); i++) {
		conns[i] = pw_harness_connect(&keyless_login, ANSWER_TIMEOUT_MS, &error);
		ck_assert_msg(conns[i] != NULL, "%s", error);
	}
	ck_assert_ptr_null(pw_harness_connect(&keyless_login, ANSWER_TIMEOUT_MS, &error));
	ck_assert_str_eq(error, "FATAL 53300");
	g_free(error);
	keyed_conn = connect_as(&s, 0);
	expect_result(keyed_conn, "SELECT 1", "1");
	PQfinish(keyed_conn);
	for (size_t i = 0; i < PW_ARRAY_LEN(conns); i++)
		PQfinish(conns[i]);
	pw_harness_service_stop(&s);
}
END_TEST

static const struct {
	const char *label;
	const char *user;
	const char *key;
} wrong_key_cases[] = {
	{ "wrong key", "amber", "pwk_wrong" },
	{ "well-formed key of no account", "birch",
	  "pwk_SJx8Gr5htxnWSW_lgbyAuWdGbirtwzHa2sQzTK27hcw" },
	{ "unknown account", "nobody", "pwk_wrong" },
};

#define GUESS_COUNT 20

/* Returns the time in ms until the login was refused with 28P01, or -1 if it was not. */
static gpointer try_login(gpointer data)
{
	const struct pw_harness_login *login = data;
	gint64 start_us = g_get_monotonic_time();
	char *error = NULL;
	PGconn *conn = pw_harness_connect(login, ANSWER_TIMEOUT_MS, &error);
	bool refused = !conn && strcmp(error, "FATAL 28P01") == 0;
	gint64 elapsed_ms = (g_get_monotonic_time() - start_us) / 1000;

	g_free(error);
	PQfinish(conn);
	return GINT_TO_POINTER(refused ? (int)elapsed_ms : -1);
}

/*
 * Guards against a refusal of a wrong key without delay, which allows fast guessing, and against a
 * delay that blocks other callers.
 */
START_TEST(test_wrong_key_is_delayed)
{
	struct pw_harness_service s;
	struct pw_harness_login login = {
		.user = wrong_key_cases[_i].user,
		.password = wrong_key_cases[_i].key,
	};
	GThread *threads[GUESS_COUNT];
	gint64 start_us, slowest_us = 0;
	PGconn *conn;

	pw_harness_service_start(&s, "", one_front_task);
	login.port = s.caller_port;
	conn = connect_as(&s, 0);
	for (size_t i = 0; i < GUESS_COUNT; i++)
		threads[i] = g_thread_new("guess", try_login, &login);
	for (uint32_t i = 0; i < 20; i++) {
		start_us = g_get_monotonic_time();
		expect_result(conn, "SELECT 1", "1");
		slowest_us = MAX(slowest_us, g_get_monotonic_time() - start_us);
	}
	for (size_t i = 0; i < GUESS_COUNT; i++) {
		int elapsed_ms = GPOINTER_TO_INT(g_thread_join(threads[i]));

		ck_assert_msg(elapsed_ms >= 500, "%s: answer after %d ms",
			      wrong_key_cases[_i].label, elapsed_ms);
	}
	ck_assert_msg(slowest_us < 400000, "a statement took %ld us", (long)slowest_us);
	ck_assert_uint_ge(read_counter(&s, "refused_key_total"), GUESS_COUNT);
	PQfinish(conn);
	pw_harness_service_stop(&s);
}
END_TEST

/* Sends the first `sent_bytes` of a Query message of the length `message_bytes`. */
static void send_partial_query(PGconn *conn, uint32_t message_bytes, uint32_t sent_bytes)
{
	uint32_t length = htonl(message_bytes);
	GByteArray *b = g_byte_array_new();
	guint sent = 0;

	g_byte_array_append(b, (const guint8 *)"Q", 1);
	g_byte_array_append(b, (const guint8 *)&length, sizeof(length));
	g_byte_array_set_size(b, sent_bytes);
	memset(b->data + 5, ' ', sent_bytes - 5);
	while (sent < b->len) {
		ssize_t n = send(PQsocket(conn), b->data + sent, b->len - sent, MSG_NOSIGNAL);

		if (n < 0 && errno == EAGAIN)
			g_usleep(1000);
		else if (n < 0)
			break;
		else
			sent += (guint)n;
	}
	g_byte_array_unref(b);
}

static void append_notice(void *data, const char *message)
{
	g_string_append(data, message);
}

static bool is_closed(PGconn *conn)
{
	bool is_connected = PQconsumeInput(conn);

	/* Parses the received messages, for the notices. */
	PQisBusy(conn);
	return !is_connected || PQstatus(conn) == CONNECTION_BAD;
}

#define PARTIAL_BYTES 700000 /* two messages of this size exceed account_memory_bytes */

/*
 * Guards against an account that exceeds its memory limit at the expense of other accounts, and
 * against a count of used memory that does not decrease when connections end, so that a later round
 * fails.
 */
START_TEST(test_account_memory)
{
	struct pw_harness_service s;
	GString *notices = g_string_new(NULL);
	PGconn *first_conn, *second_conn, *other_conn;

	pw_harness_service_start(&s, ",\"limits\":{\"account_memory_bytes\":1048576}",
				 one_front_task);
	for (uint32_t round = 0; round < 3; round++) {
		first_conn = connect_as(&s, 0);
		second_conn = connect_as(&s, 0);
		other_conn = connect_as(&s, 1);
		PQsetNoticeProcessor(second_conn, append_notice, notices);
		g_string_truncate(notices, 0);
		send_partial_query(first_conn, 1000000, PARTIAL_BYTES);
		g_usleep(100000);
		ck_assert(!is_closed(first_conn));
		send_partial_query(second_conn, 1000000, PARTIAL_BYTES);
		ck_assert_msg(PW_HARNESS_WAIT_UNTIL(is_closed(second_conn), ANSWER_TIMEOUT_MS),
			      "round %u: the account exceeds its memory limit", round);
		send_partial_query(other_conn, 1000000, PARTIAL_BYTES);
		g_usleep(100000);
		ck_assert(!is_closed(other_conn));
		PQfinish(first_conn);
		PQfinish(second_conn);
		PQfinish(other_conn);
	}
	ck_assert_uint_ge(read_counter(&s, "refused_limit_total"), 3);
	g_string_free(notices, TRUE);
	pw_harness_service_stop(&s);
}
END_TEST

#define ROW_BYTES          400000
#define SLOW_CALLER_COUNT  6
#define QUERIES_PER_CALLER 30

/* Logs in and sends queries with large results, none of which is read. */
static int open_slow_caller(const struct pw_harness_service *s)
{
	const char *const parameters[] = { "user", "amber", "database", "test", NULL };
	struct sockaddr_in a = {
		.sin_family = AF_INET,
		.sin_port = htons(s->caller_port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), size_bytes = 4096;
	GByteArray *b = g_byte_array_new();

	/* A small receive buffer makes the answers wait in the proxy. */
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size_bytes, sizeof(size_bytes));
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	pw_pg_put_startup_message(b, parameters);
	pw_pg_put_password(b, s->keys[0].text);
	for (uint32_t i = 0; i < QUERIES_PER_CALLER; i++)
		pw_pg_put_query(b, "SELECT v FROM t WHERE k = 'big'");
	ck_assert_int_eq(send(fd, b->data, b->len, MSG_NOSIGNAL), (int)b->len);
	g_byte_array_unref(b);
	return fd;
}

static bool query_returns(const struct pw_harness_service *s, const char *expected)
{
	struct pw_harness_login login = pw_harness_service_login(s, 0);
	char *answer = pw_harness_connect_and_query(&login, ANSWER_TIMEOUT_MS, "SELECT 1");
	bool matches = strcmp(answer, expected) == 0;

	g_free(answer);
	return matches;
}

/*
 * Guards against callers that fill the memory of the proxy by not reading their answers, and
 * against memory that stays counted after these callers have gone.
 */
START_TEST(test_unread_answers)
{
	struct pw_harness_service s;
	int fds[SLOW_CALLER_COUNT];
	char *row = g_strnfill(ROW_BYTES, 'x');
	char *insert = g_strdup_printf("INSERT INTO t (k, v) VALUES ('big', '%s')", row);
	PGconn *other_conn;

	pw_harness_service_start(&s, ",\"limits\":{\"account_memory_bytes\":1048576}",
				 one_front_task);
	other_conn = connect_as(&s, 1);
	expect_result(other_conn, insert, "INSERT 0 1");
	for (size_t i = 0; i < SLOW_CALLER_COUNT; i++)
		fds[i] = open_slow_caller(&s);
	/* A fatal error shows as a closed connection; the counter tells which error it was. */
	ck_assert_msg(PW_HARNESS_WAIT_UNTIL(query_returns(&s, "CLOSED"), 10000),
		      "the account exceeds its memory limit");
	ck_assert_uint_ge(read_counter(&s, "refused_limit_total"), 1);
	expect_result(other_conn, "SELECT 1", "1");
	for (size_t i = 0; i < SLOW_CALLER_COUNT; i++)
		close(fds[i]);
	ck_assert_msg(PW_HARNESS_WAIT_UNTIL(query_returns(&s, "1"), 10000),
		      "the memory is still counted after the callers have gone");
	PQfinish(other_conn);
	pw_harness_service_stop(&s);
	g_free(insert);
	g_free(row);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("limits");

	tcase_add_loop_test(tc, test_half_open_logins, 0, PW_ARRAY_LEN(half_open_cases));
	tcase_add_test(tc, test_callers_without_key);
	tcase_add_loop_test(tc, test_wrong_key_is_delayed, 0, PW_ARRAY_LEN(wrong_key_cases));
	tcase_add_test(tc, test_account_memory);
	tcase_add_test(tc, test_unread_answers);
	return pw_suite_run("limits", tc);
}
