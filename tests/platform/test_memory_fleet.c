/*
 * End-to-end tests of the memory budget: one proxy process with a low limit, against the platform
 * stand-in. An ordinary session is kept while memory is held by connections to servers.
 */
#include "suite.h"

#include "platform_fleet.h"

/* `--memory-limit` of the proxy in MB: 200,000 bytes for input, 140,000 for state. */
#define MEMORY_LIMIT_MB "1"
/* Less than a connection to a server may keep, so that it is used again. */
#define LARGE_BYTES      60000
#define CROWD_COUNT      16
#define TEXT_CROWD_COUNT 5
#define ROUNDS           20
#define ROUND_US         50000
#define TINY_COUNT       200
#define STATE_MIN        (TINY_COUNT * 64)
#define WAIT_MAX_MS      3000

static void start_one_vm(void)
{
	g_setenv("PW_MEMORY_LIMIT", MEMORY_LIMIT_MB, TRUE);
	start_fleet_of(1);
}

static struct client *open_ordinary(void)
{
	struct client *c = client_new(&vms[0]);

	(void)write_until_ok(&c, 0, "WRITE a b", WAIT_MAX_MS);
	return c;
}

static char *new_large_statement(const char *start, uint32_t number)
{
	GString *s = g_string_new(NULL);

	g_string_printf(s, "%s%u", start, number);
	for (uint32_t i = 0; i < LARGE_BYTES; i++)
		g_string_append_c(s, 'x');
	return g_string_free(s, FALSE);
}

/* Runs a statement whose result does not matter: the session may have been closed. */
static void run_any(struct client *c, const char *statement)
{
	g_free(run_statement(c, statement));
}

static void expect_served(struct client *c, const char *statement)
{
	char *actual = run_statement(c, statement);

	ck_assert_msg(g_str_has_suffix(actual, "ok I"), "%s: %s", statement, actual);
	g_free(actual);
}

/* Guards against sessions that are closed or refused for texts of connections not in use. */
START_TEST(test_texts_of_idle_connections)
{
	struct client *ordinary, *crowd[TEXT_CROWD_COUNT];
	char *text, *actual;

	start_one_vm();
	ordinary = open_ordinary();
	expect_answer(ordinary, "SET v x", "done I");
	for (uint32_t i = 0; i < TEXT_CROWD_COUNT; i++) {
		char *prepare = new_large_statement("PREPARE p READ ", i);

		crowd[i] = open_session(0, "desk");
		run_any(crowd[i], "BEGIN");
		run_any(crowd[i], "READ a");
		run_any(crowd[i], prepare);
		run_any(crowd[i], "EXECUTE p a");
		run_any(crowd[i], "CLOSE p");
		g_free(prepare);
	}
	for (uint32_t i = 0; i < TEXT_CROWD_COUNT; i++)
		client_free(crowd[i]);
	for (uint32_t i = 0; i < ROUNDS; i++) {
		expect_served(ordinary, "READ a");
		g_usleep(ROUND_US);
	}
	text = new_large_statement("PREPARE q READ ", 0);
	actual = run_statement(ordinary, text);
	ck_assert_msg(strcmp(actual, "done I") == 0, "a prepared text: %s", actual);
	g_free(actual);
	g_free(text);
	client_free(ordinary);
	stop_fleet();
}
END_TEST

/* Guards against sessions that are closed for statements whose callers have left. */
START_TEST(test_statements_of_callers_that_left)
{
	struct client *ordinary, *crowd[CROWD_COUNT];
	static const char rest[] = "READ a\r\n";
	char *actual;

	start_one_vm();
	ordinary = open_ordinary();
	inject_fault("work", "900");
	for (uint32_t i = 0; i < CROWD_COUNT; i++)
		crowd[i] = open_session(0, "desk");
	ck_assert_int_gt(send(ordinary->fd, "QUERY h ", 8, MSG_NOSIGNAL), 0);
	for (uint32_t i = 0; i < CROWD_COUNT; i++) {
		char *statement = new_large_statement("WRITE a ", i);

		send_statement(crowd[i], statement);
		g_free(statement);
		g_usleep(ROUND_US / 10);
		client_free(crowd[i]);
	}
	g_usleep(ROUND_US);
	inject_fault("work", "5");
	ck_assert_int_gt(send(ordinary->fd, rest, strlen(rest), MSG_NOSIGNAL), 0);
	actual = read_answer(ordinary, WAIT_MAX_MS);
	ck_assert_msg(g_str_has_suffix(actual, " I"), "%s", actual);
	g_free(actual);
	client_free(ordinary);
	stop_fleet();
}
END_TEST

/* Guards against many tiny prepared texts at a connection, which take more than their bytes. */
START_TEST(test_tiny_texts_count)
{
	struct client *c;
	char text[64];

	start_one_vm();
	c = open_ordinary();
	run_any(c, "BEGIN");
	run_any(c, "READ a");
	for (uint32_t i = 0; i < TINY_COUNT; i++) {
		g_snprintf(text, sizeof(text), "PREPARE p READ %x", i);
		run_any(c, text);
		run_any(c, "EXECUTE p a");
		run_any(c, "CLOSE p");
	}
	(void)PW_HARNESS_WAIT_UNTIL(counter_value(&vms[0], "memory_state_bytes") >= STATE_MIN,
				    WAIT_MAX_MS);
	ck_assert_uint_ge(counter_value(&vms[0], "memory_state_bytes"), STATE_MIN);
	client_free(c);
	stop_fleet();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("memory fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, test_texts_of_idle_connections);
	tcase_add_test(tc, test_statements_of_callers_that_left);
	tcase_add_test(tc, test_tiny_texts_count);
	return pw_suite_run("memory fleet", tc);
}
