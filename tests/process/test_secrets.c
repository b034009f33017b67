/*
 * Searches the log, the metrics, the status and the document that a proxy publishes for keys and
 * passwords. Runs real processes.
 */
#include "suite.h"

#include <string.h>

#include "harness_service.h"

#define ANSWER_TIMEOUT_MS 3000
#define LOG_TIMEOUT_MS    5000

/* A login, with an optional statement, that contains the key of the account amber. */
struct attempt {
	const char *label;
	const char *user;     /**< NULL: the key */
	const char *password; /**< NULL: the key */
	const char *database; /**< NULL: the key */
	const char *sql;      /**< "%s" is replaced by the key; NULL: no statement */
};

static const struct attempt attempts[] = {
	{ "login", "amber", NULL, "test", "SELECT 1" },
	{ "key of another account", "birch", NULL, "test", NULL },
	{ "unknown account", "nobody", NULL, "test", NULL },
	{ "key as the user", NULL, "x", "test", NULL },
	{ "key as the database", "amber", NULL, NULL, NULL },
	{ "key in a statement that is not supported", "amber", NULL, "test", "LISTEN %s" },
	{ "key in a statement that fails", "amber", NULL, "test", "nonsense '%s'" },
	{ "key as a position token", "amber", NULL, "test", "SET pimentowing.position = '%s'" },
};

static void run_attempt(const struct pw_harness_service *s, const struct attempt *a)
{
	const char *key = s->keys[0].text;
	char *info =
		g_strdup_printf("host=127.0.0.1 port=%u user='%s' password='%s' dbname='%s' "
				"connect_timeout=5",
				s->caller_port, a->user ? a->user : key,
				a->password ? a->password : key, a->database ? a->database : key);
	PGconn *conn = PQconnectdb(info);
	char *sql;

	if (PQstatus(conn) == CONNECTION_OK && a->sql) {
		char **parts = g_strsplit(a->sql, "%s", -1);

		sql = g_strjoinv(key, parts);
		g_free(pw_harness_query(conn, ANSWER_TIMEOUT_MS, sql, NULL));
		g_free(sql);
		g_strfreev(parts);
	}
	PQfinish(conn);
	g_free(info);
}

static void check_no_secrets(const struct pw_harness_service *s, const char *source,
			     const char *text)
{
	const char *const secrets[] = { s->keys[0].text, s->keys[1].text, "upstream-secret",
					"control-secret", PW_HARNESS_API_TOKEN };

	ck_assert_msg(text[0] != '\0', "%s is empty", source);
	for (size_t i = 0; i < PW_ARRAY_LEN(secrets); i++)
		ck_assert_msg(strstr(text, secrets[i]) == NULL, "%s contains secret %zu", source,
			      i);
	/* All keys start with this prefix, so it also shows a key that is logged in part. */
	ck_assert_msg(strstr(text, PW_KEY_PREFIX) == NULL, "%s contains a key", source);
}

static void check_api_path(const struct pw_harness_service *s, const char *path)
{
	char *body;

	ck_assert_int_eq(pw_harness_service_http_get(s, "http", path, &body), 200);
	check_no_secrets(s, path, body);
	g_free(body);
}

static bool log_contains(const struct pw_harness_service *s, const char *text)
{
	char *log = pw_harness_read_output(s->proxy);
	bool contained = strstr(log, text) != NULL;

	g_free(log);
	return contained;
}

/* Guards against secrets in the log, the metrics, the status or the published document. */
START_TEST(test_secrets)
{
	const char *withdraw[] = { "key", "withdraw", "amber", NULL, NULL };
	struct pw_harness_service s;
	struct pw_harness_login login;
	PGconn *conn;
	char *error, *log;

	pw_harness_service_start(&s, "", NULL);
	for (size_t i = 0; i < PW_ARRAY_LEN(attempts); i++)
		run_attempt(&s, &attempts[i]);
	/* Withdrawing a key in use logs its id, and must not log the key. */
	login = pw_harness_service_login(&s, 0);
	conn = pw_harness_connect(&login, ANSWER_TIMEOUT_MS, &error);
	ck_assert_msg(conn != NULL, "%s", error);
	withdraw[3] = s.keys[0].stored.id;
	g_free(pw_harness_service_run_ctl(&s, withdraw));
	ck_assert(PW_HARNESS_WAIT_UNTIL(log_contains(&s, "key_withdrawn"), LOG_TIMEOUT_MS));
	check_api_path(&s, "/v1/status");
	check_api_path(&s, "/metrics");
	check_api_path(&s, "/v1/document");
	pw_harness_stop(s.proxy);
	log = pw_harness_read_output(s.proxy);
	check_no_secrets(&s, "the log", log);
	ck_assert_msg(strstr(log, "name=stopped") != NULL, "%s", log);
	g_free(log);
	PQfinish(conn);
	pw_harness_service_stop(&s);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("secrets");

	tcase_add_test(tc, test_secrets);
	return pw_suite_run("secrets", tc);
}
