/*
 * End-to-end tests of operations that wait for the rate of their account: what ends their wait.
 */
#include "suite.h"

#include "platform_fleet.h"

/* The catalogue as a printf() format: version, keys of the account. Its operations may wait for 4
 * s. */
#define ADMISSION_CATALOG                                                                  \
	"{\"Version\":%d,\"Routes\":["                                                     \
	"{\"Name\":\"r1\",\"Host\":\"desk\",\"Type\":\"primary\",\"TimeoutMs\":10000,"     \
	"\"TargetLatencyMs\":8000,\"Priority\":0,\"Service\":\"core\",\"Public\":false},"  \
	"{\"Name\":\"r2\",\"Host\":\"views\",\"Type\":\"primary\",\"TimeoutMs\":10000,"    \
	"\"TargetLatencyMs\":8000,\"Priority\":2,\"Service\":\"core\",\"Public\":false}]," \
	"\"Services\":[{\"Name\":\"core\",\"MaxConns\":22,\"SyncReplicas\":0}],"           \
	"\"Limits\":{\"TxIdleMs\":5000},\"Tenants\":["                                     \
	"{\"Name\":\"amber\",\"ApiKeys\":[%s],\"RatePerS\":1,\"Burst\":1},"                \
	"{\"Name\":\"birch\",\"ApiKeys\":[\"birch-key\"],\"RatePerS\":100,\"Burst\":100}]}"

/* Time in which the VM puts a version in force here. */
#define APPLY_US 1000000
/* An operation without an answer for this long waits. */
#define WAITING_MS 200
/* An operation that waits is answered within this time. */
#define ANSWERED_MS 6000

static void publish(const char *keys)
{
	char *text = g_strdup_printf(ADMISSION_CATALOG, ++catalog_version, keys);
	char *body = http_request(platform->port, "/fault?name=config&value=1", text);

	ck_assert_ptr_nonnull(body);
	g_free(body);
	g_free(text);
}

/* Sends operations of new sessions until one waits; returns its session. */
static struct client *start_waiting(const char *database, const char *statement)
{
	for (int i = 0; i < 20; i++) {
		struct client *c = open_session(0, database);
		char *actual;

		send_statement(c, statement);
		actual = read_answer(c, WAITING_MS);
		if (strcmp(actual, "TIMEOUT") == 0) {
			g_free(actual);
			return c;
		}
		g_free(actual);
		client_free(c);
	}
	ck_abort_msg("no operation waits");
}

enum wait_end {
	END_TOKEN,
	END_KEY_WITHDRAWN,
	END_STOP,
};

static const struct {
	const char *label;
	enum wait_end end;
	const char *statement;
	const char *expected[3]; /* allowed answers */
} wait_cases[] = {
	{ "a token comes, read", END_TOKEN, "READ a", { "none ok I" } },
	{ "a token comes, transaction", END_TOKEN, "BEGIN", { "done T" } },
	{ "the key is withdrawn, read", END_KEY_WITHDRAWN, "READ a", { "AUTHFAIL CLOSED" } },
	{ "the key is withdrawn, transaction", END_KEY_WITHDRAWN, "BEGIN", { "AUTHFAIL CLOSED" } },
	{ "the VM stops, read", END_STOP, "READ a", { "none ok I", "BUSY I" } },
	{ "the VM stops, transaction", END_STOP, "BEGIN", { "done T", "BUSY I" } },
};

/* Guards against an operation that waits and gets no answer, or one that is not true. */
START_TEST(test_wait_ends_with_an_answer)
{
	struct client *c;
	char *actual;
	bool allowed = false;

	start_fleet_of(1);
	publish("\"amber-key\"");
	g_usleep(APPLY_US);
	c = start_waiting("views", wait_cases[_i].statement);
	if (wait_cases[_i].end == END_KEY_WITHDRAWN)
		publish("");
	if (wait_cases[_i].end == END_STOP)
		pw_harness_signal(vms[0].process, SIGTERM);
	actual = read_answer(c, ANSWERED_MS);
	for (uint32_t i = 0; i < 3 && wait_cases[_i].expected[i]; i++)
		allowed = allowed || strcmp(actual, wait_cases[_i].expected[i]) == 0;
	ck_assert_msg(allowed, "%s: %s", wait_cases[_i].label, actual);
	g_free(actual);
	client_free(c);
	stop_fleet();
}
END_TEST

/* Guards against a process that uses a session which has ended while its operation waited. */
START_TEST(test_session_ends_while_its_operation_waits)
{
	struct client *other;

	start_fleet_of(1);
	publish("\"amber-key\"");
	g_usleep(APPLY_US);
	client_free(start_waiting("views", "READ a"));
	client_free(start_waiting("views", "BEGIN"));
	g_usleep(3 * APPLY_US);
	other = client_new(&vms[0]);
	g_free(start_session(other, "desk", "birch-key"));
	expect_answer(other, "READ a", "none ok I");
	ck_assert_uint_eq(count_log_lines(&vms[0], "name=started"), 1);
	client_free(other);
	stop_fleet();
}
END_TEST

/* Guards against an urgent operation that comes after others of its account that wait. */
START_TEST(test_urgent_operation_goes_first)
{
	struct client *lesser, *urgent;
	char *actual;

	start_fleet_of(1);
	publish("\"amber-key\"");
	g_usleep(APPLY_US);
	lesser = start_waiting("views", "READ a");
	urgent = open_session(0, "desk");
	send_statement(urgent, "READ a");
	actual = read_answer(urgent, ANSWERED_MS);
	ck_assert_str_eq(actual, "none ok I");
	g_free(actual);
	actual = read_answer(lesser, 0);
	ck_assert_str_eq(actual, "TIMEOUT");
	g_free(actual);
	client_free(lesser);
	client_free(urgent);
	stop_fleet();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("admission fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_loop_test(tc, test_wait_ends_with_an_answer, 0, PW_ARRAY_LEN(wait_cases));
	tcase_add_test(tc, test_session_ends_while_its_operation_waits);
	tcase_add_test(tc, test_urgent_operation_goes_first);
	return pw_suite_run("admission fleet", tc);
}
