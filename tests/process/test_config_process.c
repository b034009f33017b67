/* Tests document changes on a fleet of three proxies, with faults of the store (invariant I13). */
#include "suite.h"

#include <signal.h>
#include <string.h>

#include "harness_ops.h"

#define PROXY_COUNT          3
#define STATEMENT_TIMEOUT_MS 3000
#define APPLY_TIMEOUT_MS     2000

/* Exit statuses of pimentowingctl. */
enum { CTL_DONE = 0, CTL_CONFLICT = 3, CTL_UNAVAILABLE = 4 };

static struct pw_fleet *fleet;
static struct pw_harness_relay *relay;      /**< between proxy 0 and the store */
static uint64_t max_revisions[PROXY_COUNT]; /**< greatest revision seen so far, by proxy */

static void set_up(void)
{
	static const struct pw_fleet_options options = { .proxy_count = PROXY_COUNT };

	fleet = pw_fleet_new(&options);
	relay = pw_harness_relay_new(fleet->store_port);
	pw_ops_restart_proxy(fleet, 0, pw_harness_relay_port(relay));
}

static void tear_down(void)
{
	pw_fleet_free(fleet);
	pw_harness_relay_free(relay);
}

/* Reads the document revision of a proxy and checks that it has not decreased. */
static uint64_t read_revision(uint32_t proxy)
{
	uint64_t revision = pw_ops_get_revision(fleet, proxy);

	ck_assert_msg(!revision || revision >= max_revisions[proxy],
		      "proxy %u went from revision %u back to %u", proxy,
		      (unsigned)max_revisions[proxy], (unsigned)revision);
	max_revisions[proxy] = MAX(max_revisions[proxy], revision);
	return revision;
}

/* Reads the revisions of all proxies for a time, each with the check of read_revision(). */
static void poll_revisions(uint32_t duration_ms)
{
	const gint64 end_us = g_get_monotonic_time() + (gint64)duration_ms * 1000;

	while (g_get_monotonic_time() < end_us) {
		for (uint32_t i = 0; i < PROXY_COUNT; i++)
			read_revision(i);
		g_usleep(10000);
	}
}

static uint64_t read_newest_revision(void)
{
	uint64_t newest = 0;

	for (uint32_t i = 0; i < PROXY_COUNT; i++)
		newest = MAX(newest, read_revision(i));
	return newest;
}

static bool all_have_revision(uint64_t revision)
{
	for (uint32_t i = 0; i < PROXY_COUNT; i++) {
		if (read_revision(i) < revision)
			return false;
	}
	return true;
}

/* Applies a document with a limit that no earlier call has set. */
static int change_limit(uint16_t store_port)
{
	/* Last limit that was set; 5000: none yet, so the limit is the 10000 of the example. */
	static uint32_t last_limit = 5000;
	char *from =
		g_strdup_printf("\"max_connections\": %u", last_limit == 5000 ? 10000 : last_limit);
	char *to = g_strdup_printf("\"max_connections\": %u", last_limit + 1);
	const char *const edits[] = { from, to, NULL };
	int status = pw_ops_edit_document(fleet, store_port, edits);

	if (status == CTL_DONE)
		last_limit++;
	g_free(from);
	g_free(to);
	return status;
}

static bool is_serving(uint32_t proxy)
{
	const struct pw_harness_login login = pw_fleet_login(fleet, proxy, "amber", "orders");
	char *result = pw_harness_connect_and_query(&login, STATEMENT_TIMEOUT_MS, "SELECT 1");
	bool ok = strcmp(result, "1") == 0;

	g_free(result);
	return ok;
}

static const struct {
	const char *label;
	const char *fault;                /**< fault of the store as JSON, or NULL */
	enum pw_harness_relay_mode relay; /**< mode of the relay of proxy 0 */
} apply_cases[] = {
	{ "healthy fleet", NULL, PW_RELAY_FORWARD },
	{ "silent watches", "{\"silent_watches\":true}", PW_RELAY_FORWARD },
	{ "slow store", "{\"mode\":\"slow\",\"delay_ms\":300}", PW_RELAY_FORWARD },
	{ "proxy 0 without the store", NULL, PW_RELAY_DISCONNECT },
	{ "store silent to proxy 0", NULL, PW_RELAY_STALL },
	{ "answer lost after the effect", "{\"drop_after_effect\":1}", PW_RELAY_FORWARD },
	{ "stale reads", "{\"stale_reads\":true}", PW_RELAY_FORWARD },
};

/*
 * Guards against an accepted document that is not in force at all proxies in time, or that a proxy
 * replaces by an older one, while the store or one proxy's connection to it has a fault.
 */
START_TEST(test_apply)
{
	uint64_t revision_before = read_newest_revision();
	bool applied;
	int status;

	if (apply_cases[_i].fault)
		pw_ops_set_store_fault(fleet, apply_cases[_i].fault);
	pw_harness_relay_set_mode(relay, apply_cases[_i].relay);
	status = change_limit(0);
	applied = PW_HARNESS_WAIT_UNTIL(all_have_revision(revision_before + 1), APPLY_TIMEOUT_MS);
	poll_revisions(1000);
	pw_ops_set_store_fault(fleet, NULL);
	pw_harness_relay_set_mode(relay, PW_RELAY_FORWARD);
	poll_revisions(300);
	ck_assert_msg(status == CTL_DONE, "%s: exit status %d", apply_cases[_i].label, status);
	ck_assert_msg(applied, "%s: the change was not in force in time", apply_cases[_i].label);
}
END_TEST

/*
 * Guards against lost updates: two operators start from the same revision, and the second change
 * silently undoes the first.
 */
START_TEST(test_race)
{
	static const char *const limits[] = { "\"open_burst\": 301", "\"open_burst\": 302" };
	char *path = g_build_filename(pw_harness_temp_folder(fleet->harness), "race.json", NULL);
	uint64_t revision_before = read_newest_revision();
	char *revision_arg = g_strdup_printf("--revision=%" G_GUINT64_FORMAT, revision_before);
	const char *const args[] = { "apply", path, revision_arg, NULL };
	char *text = pw_fleet_http_get(fleet, 0, "/v1/document");
	char **parts = g_strsplit(text, "\"open_burst\": 200", -1);
	char *out[2];
	int status[2];

	ck_assert(parts[0] && parts[1]);
	for (int i = 0; i < 2; i++) {
		char *changed = g_strjoinv(limits[i], parts);

		ck_assert(g_file_set_contents(path, changed, -1, NULL));
		status[i] = pw_ops_run_ctl(fleet, 0, args, &out[i]);
		g_free(changed);
	}
	g_strfreev(parts);
	ck_assert_int_eq(status[0], CTL_DONE);
	ck_assert_int_eq(status[1], CTL_CONFLICT);
	ck_assert(PW_HARNESS_WAIT_UNTIL(all_have_revision(revision_before + 1), APPLY_TIMEOUT_MS));
	g_free(text);
	text = pw_fleet_http_get(fleet, 0, "/v1/document");
	ck_assert_ptr_nonnull(strstr(text, limits[0]));
	for (int i = 0; i < 2; i++)
		g_free(out[i]);
	g_free(text);
	g_free(revision_arg);
	g_free(path);
}
END_TEST

/*
 * Guards against an invalid document that a proxy puts in force or that makes it stop serving. The
 * document is written to the store directly, without the checks of pimentowingctl.
 */
START_TEST(test_invalid)
{
	static const char key[] = "pimentowing/example/document";
	static const char value[] = "{\"service\":\"example\"}";
	char *key_base64 = g_base64_encode((const guchar *)key, sizeof(key) - 1);
	char *value_base64 = g_base64_encode((const guchar *)value, sizeof(value) - 1);
	char *json = g_strdup_printf(
		"{\"success\":[{\"request_put\":{\"key\":\"%s\",\"value\":\"%s\"}}]}", key_base64,
		value_base64);
	uint64_t revision_before = read_newest_revision();

	g_free(pw_ops_post_to_store(fleet, "/v3/kv/txn", json));
	for (uint32_t i = 0; i < PROXY_COUNT; i++) {
		char *log = NULL;

		ck_assert_msg(PW_HARNESS_WAIT_UNTIL(
				      (g_free(log),
				       log = pw_harness_read_output(fleet->proxies[i].process),
				       strstr(log, "config_rejected") != NULL),
				      APPLY_TIMEOUT_MS),
			      "proxy %u does not log the invalid document", i);
		g_free(log);
	}
	/* Longer than a confirmation of the revision is valid: the document must stay in force. */
	poll_revisions(2500);
	for (uint32_t i = 0; i < PROXY_COUNT; i++) {
		ck_assert_uint_eq(read_revision(i), revision_before);
		ck_assert_msg(is_serving(i), "proxy %u does not serve", i);
	}
	ck_assert_int_eq(change_limit(0), CTL_DONE);
	ck_assert(PW_HARNESS_WAIT_UNTIL(all_have_revision(revision_before + 2), APPLY_TIMEOUT_MS));
	g_free(key_base64);
	g_free(value_base64);
	g_free(json);
}
END_TEST

/*
 * Guards against a change that is reported as done although the store is down, and against proxies
 * that stop serving during the outage.
 */
START_TEST(test_outage)
{
	uint64_t revision_before = read_newest_revision();
	const gint64 outage_end_us = g_get_monotonic_time() + 6 * G_USEC_PER_SEC;
	char *failure = NULL;
	int status;

	pw_ops_set_store_fault(fleet, "{\"mode\":\"down\"}");
	status = change_limit(0);
	while (!failure && g_get_monotonic_time() < outage_end_us) {
		for (uint32_t i = 0; i < PROXY_COUNT; i++) {
			if (!is_serving(i))
				failure = g_strdup_printf("proxy %u", i);
			read_revision(i);
		}
		g_usleep(20000);
	}
	/* A VM that starts during the outage gets the document from its seed peers. */
	pw_harness_kill(fleet->proxies[2].process);
	pw_fleet_start_proxy(fleet, 2);
	bool has_document = PW_HARNESS_WAIT_UNTIL(read_revision(2) == revision_before, 5000);
	pw_ops_set_store_fault(fleet, NULL);
	ck_assert_msg(status == CTL_UNAVAILABLE, "change in an outage: exit status %d", status);
	ck_assert_msg(!failure, "not served in an outage: %s", failure);
	ck_assert_msg(has_document, "a new proxy has no document in an outage");
	ck_assert(pw_fleet_wait_ready(fleet, 15000));
	ck_assert_int_eq(change_limit(0), CTL_DONE);
	ck_assert(PW_HARNESS_WAIT_UNTIL(all_have_revision(revision_before + 1), APPLY_TIMEOUT_MS));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("config_process");

	tcase_add_unchecked_fixture(tc, set_up, tear_down);
	tcase_add_loop_test(tc, test_apply, 0, PW_ARRAY_LEN(apply_cases));
	tcase_add_test(tc, test_race);
	tcase_add_test(tc, test_invalid);
	tcase_add_test(tc, test_outage);
	return pw_suite_run("config_process", tc);
}
