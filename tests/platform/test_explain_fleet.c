/*
 * End-to-end tests of the question which server a statement would get: pimentowingctl asks proxy
 * processes, which run against the platform stand-in.
 */
#include "suite.h"

#include "evacuation_fleet.h"

#define TOKEN "operator"

/* Runs `explain` at a VM. Returns its exit status; `out` receives both of its outputs. */
static int explain(char **out, uint32_t vm, const char *arguments)
{
	char *address = g_strdup_printf("127.0.0.1:%u", vms[vm].api_port);
	char *command = g_strconcat("explain ", arguments, NULL);
	int status = run_ctl(out, address, command);

	g_free(address);
	g_free(command);
	return status;
}

static uint32_t count_all(void)
{
	uint32_t count = 0;

	for (uint32_t i = 1; i <= SERVER_COUNT; i++) {
		char *id = g_strdup_printf("i-core-%u", i);

		count += count_received(id);
		g_free(id);
	}
	return count;
}

static const struct {
	const char *label;
	const char *arguments;
	int status;
	const char *text; /* %s: the id of the primary */
} cases[] = {
	{ "a read at the primary's route", "amber desk read", 0, "server=%s connection=" },
	{ "a write", "amber views write", 0, "server=%s connection=" },
	{ "a transaction", "amber sync begin", 0, "server=%s connection=" },
	{ "a read that a replica may run", "amber views read", 0, "the cheapest server" },
	{ "a read-only transaction", "amber views begin-read", 0, "the cheapest server" },
	{ "a session with a position", "amber sync read --position 1.1", 0, "the cheapest server" },
	{ "why a replica does not take a write", "amber desk write", 0, "replica" },
	{ "JSON", "amber desk write --json", 0, "\"server\":\"%s\"" },
	{ "an unknown account", "nobody desk read", 1, "no such account" },
	{ "an unknown database", "amber nowhere read", 1, "no such database" },
	{ "an unknown kind", "amber desk delete", 1, "the kind has to be" },
	{ "a malformed position", "amber desk read --position 7", 1, "TERM.NUMBER" },
	{ "a missing argument", "amber desk", 2, "takes 3 arguments" },
};

/* The answer names the server that statements get, and asking sends nothing to any server. */
START_TEST(test_explain)
{
	char *primary;

	g_setenv("PW_API_TOKEN", TOKEN, TRUE);
	start_fleet_in_zones();
	(void)send_sample("desk", "WRITE b v", "ok I");
	g_usleep(300000);
	(void)send_sample("views", "READ a", "none ok I");
	primary = find_primary();
	inject_fault("record", "clear");
	for (size_t i = 0; i < PW_ARRAY_LEN(cases); i++) {
		char *expected = g_strdup_printf(cases[i].text, primary), *out;
		int status = explain(&out, 0, cases[i].arguments);

		ck_assert_msg(status == cases[i].status && strstr(out, expected),
			      "%s: status %d, no \"%s\" in\n%s", cases[i].label, status, expected,
			      out);
		g_free(out);
		g_free(expected);
	}
	ck_assert_uint_eq(count_all(), 0);
	g_free(primary);
	stop_fleet();
}
END_TEST

/* The decision is that of the gateway: a server that it must not use is not named. */
START_TEST(test_explain_evacuated)
{
	char *primary, *zone, *out;

	g_setenv("PW_API_TOKEN", TOKEN, TRUE);
	start_fleet_in_zones();
	for (size_t i = 0; i < SERVER_COUNT; i++)
		inject_fault("evacuate", zones[i]);
	g_usleep(EVACUATION_MS * 1000);
	primary = find_primary();
	zone = find_zone(primary);
	ck_assert_int_eq(explain(&out, 1, "amber desk write"), 0);
	ck_assert_msg(strstr(out, "server=- connection=-") && strstr(out, "zones are evacuated") &&
			      strstr(out, " evacuated\n"),
		      "%s", out);
	g_free(out);
	inject_fault("return", zone);
	g_usleep(1000000);
	ck_assert_int_eq(explain(&out, 1, "amber desk write"), 0);
	ck_assert_msg(strstr(out, "sent to the primary"), "%s", out);
	g_free(out);
	g_free(zone);
	g_free(primary);
	stop_fleet();
}
END_TEST

/* Without the operator's token nothing is told. */
START_TEST(test_explain_without_token)
{
	char *out;

	start_fleet();
	g_unsetenv("PW_API_TOKEN");
	ck_assert_int_eq(explain(&out, 0, "amber desk read"), 1);
	ck_assert_msg(strstr(out, "token is missing or wrong"), "%s", out);
	g_free(out);
	stop_fleet();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("explain fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, test_explain);
	tcase_add_test(tc, test_explain_evacuated);
	tcase_add_test(tc, test_explain_without_token);
	return pw_suite_run("explain fleet", tc);
}
