/*
 * End-to-end tests of what open sessions may do after a new version of the catalogue, on a fleet of
 * proxy processes against the platform stand-in.
 */
#include "suite.h"

#include "platform_fleet.h"

/* The catalogue as a printf() format: version, routes, keys of "amber" and of "birch". */
#define ACCESS_CATALOG                                                                      \
	"{\"Version\":%d,\"Routes\":[%s],\"Services\":[{\"Name\":\"core\",\"MaxConns\":22," \
	"\"SyncReplicas\":0}],\"Limits\":{\"TxIdleMs\":5000},\"Tenants\":["                 \
	"{\"Name\":\"amber\",\"ApiKeys\":[%s],\"RatePerS\":2000,\"Burst\":2000},"           \
	"{\"Name\":\"birch\",\"ApiKeys\":[\"birch-key\"%s],\"RatePerS\":2000,\"Burst\":2000}]}"

/* A route as a printf() format: whether it is open to all. */
#define ACCESS_ROUTE                                                                  \
	"{\"Name\":\"r1\",\"Host\":\"desk\",\"Type\":\"primary\",\"TimeoutMs\":1000," \
	"\"TargetLatencyMs\":4000,\"Priority\":1,\"Service\":\"core\",\"Public\":%s}"

/* Time in which the VMs put a version in force here. */
#define APPLY_US 1000000

struct access_version {
	const char *is_public; /* "true" or "false"; NULL: there is no route */
	const char *amber_keys, *birch_keys;
};

static void publish(const struct access_version *v)
{
	char *route = v->is_public ? g_strdup_printf(ACCESS_ROUTE, v->is_public) : g_strdup("");
	char *text = g_strdup_printf(ACCESS_CATALOG, ++catalog_version, route, v->amber_keys,
				     v->birch_keys);
	char *body = http_request(platform->port, "/fault?name=config&value=1", text);

	ck_assert_ptr_nonnull(body);
	g_free(body);
	g_free(text);
	g_free(route);
	g_usleep(APPLY_US);
}

#define AMBER_KEY "\"amber-key\""
#define NO_KEYS   ""

static const struct {
	const char *label;
	const char *key; /* of the session */
	bool in_transaction;
	struct access_version versions[3]; /* the session is opened under the first one */
	const char *expected;              /* answer to a read of its account; "CLOSED": also
					      AUTHFAIL */
} access_cases[] = {
	{ "without a key, the route becomes private",
	  "no-key",
	  false,
	  { { "true", AMBER_KEY, NO_KEYS }, { "false", AMBER_KEY, NO_KEYS } },
	  "CLOSED" },
	{ "without a key, the route is removed and comes back as a private one",
	  "no-key",
	  false,
	  { { "true", AMBER_KEY, NO_KEYS },
	    { NULL, AMBER_KEY, NO_KEYS },
	    { "false", AMBER_KEY, NO_KEYS } },
	  "CLOSED" },
	{ "without a key, the route becomes private during a transaction",
	  "no-key",
	  true,
	  { { "true", AMBER_KEY, NO_KEYS }, { "false", AMBER_KEY, NO_KEYS } },
	  "- ok T" },
	{ "with a key, the route becomes private",
	  "amber-key",
	  false,
	  { { "true", AMBER_KEY, NO_KEYS }, { "false", AMBER_KEY, NO_KEYS } },
	  "amber ok I" },
	{ "the key is withdrawn, the route needs none",
	  "amber-key",
	  false,
	  { { "true", AMBER_KEY, NO_KEYS }, { "true", NO_KEYS, NO_KEYS } },
	  "- ok I" },
	{ "the key is withdrawn during a transaction",
	  "amber-key",
	  true,
	  { { "true", AMBER_KEY, NO_KEYS }, { "true", NO_KEYS, NO_KEYS } },
	  "AUTHFAIL CLOSED" },
	{ "the key is given to another account",
	  "amber-key",
	  false,
	  { { "false", AMBER_KEY, NO_KEYS }, { "false", NO_KEYS, ",\"amber-key\"" } },
	  "birch ok I" },
	{ "the key is given to another account during a transaction",
	  "amber-key",
	  true,
	  { { "false", AMBER_KEY, NO_KEYS }, { "false", NO_KEYS, ",\"amber-key\"" } },
	  "AUTHFAIL CLOSED" },
	{ "the key becomes known",
	  "amber-key",
	  false,
	  { { "true", NO_KEYS, NO_KEYS }, { "true", AMBER_KEY, NO_KEYS } },
	  "amber ok I" },
};

/*
 * Guards against a session that goes on under an older version: it may run what a new session with
 * its key may run, for the same account, and an open transaction keeps its route but no withdrawn
 * key.
 */
START_TEST(test_session_follows_catalogue)
{
	struct client *c;
	char *actual;

	start_fleet();
	publish(&access_cases[_i].versions[0]);
	c = client_new(&vms[0]);
	actual = start_session(c, "desk", access_cases[_i].key);
	ck_assert_str_eq(actual, "I");
	g_free(actual);
	g_free(run_statement(c, "WRITE a v"));
	if (access_cases[_i].in_transaction) {
		expect_answer(c, "BEGIN", "done T");
		g_free(run_statement(c, "READ a"));
	}
	for (size_t i = 1; i < PW_ARRAY_LEN(access_cases[_i].versions); i++) {
		if (access_cases[_i].versions[i].amber_keys)
			publish(&access_cases[_i].versions[i]);
	}
	actual = run_statement(c, "READ @account");
	ck_assert_msg(strcmp(actual, access_cases[_i].expected) == 0 ||
			      (strcmp(access_cases[_i].expected, "CLOSED") == 0 &&
			       strcmp(actual, "AUTHFAIL CLOSED") == 0),
		      "%s: %s, not %s", access_cases[_i].label, actual, access_cases[_i].expected);
	g_free(actual);
	if (g_str_has_suffix(access_cases[_i].expected, "T")) {
		expect_answer(c, "COMMIT", "ok I");
		expect_answer(c, "READ a", "AUTHFAIL CLOSED");
	}
	client_free(c);
	stop_fleet();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("access fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_loop_test(tc, test_session_follows_catalogue, 0, PW_ARRAY_LEN(access_cases));
	return pw_suite_run("access fleet", tc);
}
