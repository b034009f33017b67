/*
 * Tests the load generator (bench/load) against a stand-in server. Guards against a tool that
 * hangs, counts statements without an answer or prints anything but one JSON object.
 */
#include <jansson.h>
#include <stdlib.h>

#include "harness.h"
#include "suite.h"

#define RUN_TIMEOUT_MS 10000

static const struct {
	const char *label;
	const char *fields; /**< further fields of --group */
	const char *password;
	bool is_served; /**< whether the report must count statements */
	const char *
		latency_operation; /**< kind of operation whose latency must be reported, or NULL */
	const char *refusal_sqlstate; /**< SQLSTATE of refusals that must be reported, or NULL */
} load_cases[] = {
	{ "closed loop", "connections=3,read=1", "secret", true, "read", NULL },
	{ "open loop", "connections=3,rate=100,write=1", "secret", true, "write", NULL },
	{ "transactions", "connections=2,transaction=1", "secret", true, "transaction", NULL },
	{ "idle connections", "connections=5", "secret", false, NULL, NULL },
	{ "wrong key", "connections=1,read=1", "wrong", false, NULL, "28P01" },
};

/* Runs the tool for 300 ms, after 100 ms of warm-up. Returns its output; the caller frees it. */
static char *run_load(const char *group, int32_t *status)
{
	const char *argv[] = { PW_BUILD_DIR "/bench/load",
			       "--duration-ms",
			       "300",
			       "--warmup-ms",
			       "100",
			       "--group",
			       group,
			       "--seed",
			       "7",
			       NULL };
	char *output = NULL;
	GError *error = NULL;

	ck_assert_msg(g_spawn_sync(NULL, (char **)argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &output,
				   NULL, status, &error),
		      "%s", error ? error->message : "");
	return output;
}

/* Guards against a report without the statements, latencies, refusals or seed of the run. */
START_TEST(test_report)
{
	struct pw_harness *h = pw_harness_new();
	uint16_t port = pw_harness_allocate_port();
	char *address = g_strdup_printf("127.0.0.1:%u", port);
	const char *args[] = { "--listen",       address,      "--user",
			       "proxy",          "--password", "secret",
			       "--control-user", "control",    "--control-password",
			       "control",        NULL };
	char *group = g_strdup_printf("address=%s,account=proxy,key=%s,database=d,%s", address,
				      load_cases[_i].password, load_cases[_i].fields);
	int32_t status;
	char *output;
	json_t *report, *group_report;

	pw_harness_start(h, "standins/standin-database", port, args, NULL);
	output = run_load(group, &status);
	ck_assert_int_eq(status, 0);
	report = json_loads(output, 0, NULL);
	ck_assert_msg(report != NULL, "%s: not JSON: %s", load_cases[_i].label, output);
	group_report = json_object_get(json_object_get(report, "groups"), "proxy");
	ck_assert_int_eq(json_integer_value(json_object_get(report, "seed")), 7);
	ck_assert_msg((json_integer_value(json_object_get(group_report, "statements")) > 0) ==
			      load_cases[_i].is_served,
		      "%s: %s", load_cases[_i].label, output);
	ck_assert_int_eq(json_integer_value(json_object_get(group_report, "failed")), 0);
	if (load_cases[_i].latency_operation)
		ck_assert(json_integer_value(json_object_get(
				  json_object_get(json_object_get(group_report, "latencies"),
						  load_cases[_i].latency_operation),
				  "p50_us")) > 0);
	if (load_cases[_i].refusal_sqlstate)
		ck_assert(json_integer_value(
				  json_object_get(json_object_get(group_report, "refusals"),
						  load_cases[_i].refusal_sqlstate)) > 0);
	json_decref(report);
	g_free(output);
	g_free(group);
	g_free(address);
	pw_harness_free(h);
}
END_TEST

/* Guards against a malformed --group that does not fail or yields a report. */
START_TEST(test_malformed_group)
{
	int32_t status;
	char *output = run_load("account=proxy,speed=1", &status);

	ck_assert_int_ne(status, 0);
	ck_assert_str_eq(output, "");
	g_free(output);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("load");

	tcase_add_loop_test(tc, test_report, 0, PW_ARRAY_LEN(load_cases));
	tcase_add_test(tc, test_malformed_group);
	return pw_suite_run("load", tc);
}
