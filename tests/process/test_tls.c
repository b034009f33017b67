/* Tests TLS of caller connections and of the administration API with real processes. */
#include "suite.h"

#include <openssl/ssl.h>
#include <string.h>
#include <sys/wait.h>

#include "certificate.h"
#include "harness_service.h"

#define ANSWER_TIMEOUT_MS 2000
/* The proxy checks the files for changes once a second. */
#define RELOAD_TIMEOUT_MS 5000

static PGconn *connect_with(const struct pw_harness_service *s, const char *sslmode)
{
	struct pw_harness_login login = pw_harness_service_login(s, 0);
	char *info = g_strdup_printf("host=127.0.0.1 port=%u user=%s password=%s dbname=test "
				     "sslmode=%s gssencmode=disable connect_timeout=5",
				     login.port, login.user, login.password, sslmode);
	PGconn *conn = PQconnectdb(info);

	g_free(info);
	return conn;
}

static void expect_result(PGconn *conn, const char *sql, const char *expected)
{
	char *answer = pw_harness_query(conn, ANSWER_TIMEOUT_MS, sql, NULL);

	ck_assert_msg(strcmp(answer, expected) == 0, "%s: %s, expected %s", sql, answer, expected);
	g_free(answer);
}

/* Returns the serial number of the proxy's certificate, or 0 without TLS. */
static long peer_certificate_serial(PGconn *conn)
{
	SSL *ssl = PQsslStruct(conn, "OpenSSL");
	X509 *certificate = ssl ? SSL_get1_peer_certificate(ssl) : NULL;
	long serial = certificate ? ASN1_INTEGER_get(X509_get0_serialNumber(certificate)) : 0;

	X509_free(certificate);
	return serial;
}

static void start_service(struct pw_harness_service *service, const struct certificate_files *files,
			  bool required)
{
	char *certificate = g_strdup_printf("--tls-certificate=%s", files->certificate_path);
	char *key = g_strdup_printf("--tls-key=%s", files->key_path);
	const char *const args[] = { certificate, key, required ? "--tls-required" : NULL, NULL };

	pw_harness_service_start(service, "", args);
	g_free(certificate);
	g_free(key);
}

static const struct {
	const char *sslmode;
	bool required;
	const char *failure; /**< part of the error message; NULL: the login succeeds */
	bool encrypted;
} sslmode_cases[] = {
	{ "require", false, NULL, true },
	{ "prefer", false, NULL, true },
	{ "disable", false, NULL, false },
	{ "require", true, NULL, true },
	{ "disable", true, "encrypted connections only", false },
};

/*
 * Guards against callers that are accepted without TLS although it is required, and against logins
 * that fail with a TLS mode that the proxy supports.
 */
START_TEST(test_sslmodes)
{
	struct certificate_files f;
	struct pw_harness_service s;
	PGconn *conn;

	certificate_files_new(&f, 7);
	start_service(&s, &f, sslmode_cases[_i].required);
	conn = connect_with(&s, sslmode_cases[_i].sslmode);
	if (sslmode_cases[_i].failure) {
		ck_assert_int_eq(PQstatus(conn), CONNECTION_BAD);
		ck_assert_msg(strstr(PQerrorMessage(conn), sslmode_cases[_i].failure) != NULL, "%s",
			      PQerrorMessage(conn));
	} else {
		ck_assert_msg(PQstatus(conn) == CONNECTION_OK, "%s", PQerrorMessage(conn));
		ck_assert_int_eq(peer_certificate_serial(conn),
				 sslmode_cases[_i].encrypted ? 7 : 0);
		expect_result(conn, "INSERT INTO t (k, v) VALUES ('1', 'a')", "INSERT 0 1");
		expect_result(conn, "SELECT v FROM t WHERE k = '1'", "a");
	}
	PQfinish(conn);
	pw_harness_service_stop(&s);
	certificate_files_free(&f);
}
END_TEST

static bool new_connection_has_serial(const struct pw_harness_service *s, long serial)
{
	PGconn *conn = connect_with(s, "require");
	bool matches = peer_certificate_serial(conn) == serial;

	PQfinish(conn);
	return matches;
}

/*
 * Returns whether the API presents this certificate: pimentowingctl trusts no other one, so it
 * fails otherwise.
 */
static bool api_has_certificate(const struct pw_harness_service *s, const char *certificate)
{
	char *api = g_strdup_printf("--api=127.0.0.1:%u", s->api_port);
	char *ca = g_strdup_printf("--api-ca=%s", certificate);
	char *tool = g_build_filename(PW_BUILD_DIR, "ctl", "pimentowingctl", NULL);
	char *argv[] = { tool, (char *)"status", api, ca, NULL };
	char **envp = g_environ_setenv(g_get_environ(), "PW_API_TOKEN", PW_HARNESS_API_TOKEN, TRUE);
	int status;
	bool spawned = g_spawn_sync(NULL, argv, envp,
				    G_SPAWN_STDERR_TO_DEV_NULL | G_SPAWN_STDOUT_TO_DEV_NULL, NULL,
				    NULL, NULL, NULL, &status, NULL);

	g_strfreev(envp);
	g_free(tool);
	g_free(ca);
	g_free(api);
	return spawned && status == 0;
}

/*
 * Guards against a new certificate that takes effect only after a restart, against a reload that
 * closes open connections, and against unusable files that end the service.
 */
START_TEST(test_certificate_reload)
{
	struct certificate_files f;
	struct pw_harness_service s;
	PGconn *open_conn;
	char *log;

	certificate_files_new(&f, 7);
	start_service(&s, &f, false);
	ck_assert_int_eq(pw_harness_service_http_get(&s, "https", "/readyz", NULL), 200);
	ck_assert_int_eq(pw_harness_service_http_get(&s, "http", "/readyz", NULL), 0);
	ck_assert(api_has_certificate(&s, f.certificate_path));
	open_conn = connect_with(&s, "require");
	expect_result(open_conn, "BEGIN", "BEGIN");
	expect_result(open_conn, "INSERT INTO t (k, v) VALUES ('1', 'a')", "INSERT 0 1");
	/* Unusable files leave the certificate in use. */
	ck_assert(g_file_set_contents(f.certificate_path, "garbage", -1, NULL));
	ck_assert(PW_HARNESS_WAIT_UNTIL((log = pw_harness_read_output(s.proxy),
					 strstr(log, "tls_failed") != NULL || (g_free(log), false)),
					RELOAD_TIMEOUT_MS));
	g_free(log);
	ck_assert(new_connection_has_serial(&s, 7));
	certificate_write(f.certificate_path, f.key_path, 8);
	ck_assert(PW_HARNESS_WAIT_UNTIL(new_connection_has_serial(&s, 8), RELOAD_TIMEOUT_MS));
	ck_assert(PW_HARNESS_WAIT_UNTIL(api_has_certificate(&s, f.certificate_path),
					RELOAD_TIMEOUT_MS));
	ck_assert_int_eq(peer_certificate_serial(open_conn), 7);
	expect_result(open_conn, "COMMIT", "COMMIT");
	expect_result(open_conn, "SELECT v FROM t WHERE k = '1'", "a");
	PQfinish(open_conn);
	/* Once more: reloads alternate between the two HTTP daemons of the administration API. */
	certificate_write(f.certificate_path, f.key_path, 9);
	ck_assert(PW_HARNESS_WAIT_UNTIL(new_connection_has_serial(&s, 9), RELOAD_TIMEOUT_MS));
	ck_assert(PW_HARNESS_WAIT_UNTIL(api_has_certificate(&s, f.certificate_path),
					RELOAD_TIMEOUT_MS));
	pw_harness_stop(s.proxy);
	ck_assert_int_eq(s.proxy->status, 0);
	pw_harness_service_stop(&s);
	certificate_files_free(&f);
}
END_TEST

static const struct {
	const char *arg;
	const char *finding; /**< expected part of the proxy's output */
} settings_cases[] = {
	{ "--name=a\"b", "--name: must be a name" },
	{ "--availability-zone=a b", "--availability-zone: must be a name" },
	{ "--service=../x", "--service: must be a name" },
	{ "--tls-required", "--tls-certificate: missing" },
	{ "--tls-certificate=/x", "--tls-key: missing" },
	{ "--tls-key=/x", "--tls-certificate: missing" },
};

/* Guards against a proxy that starts with malformed names or without the requested TLS. */
START_TEST(test_settings)
{
	struct pw_harness *harness = pw_harness_new();
	const char *const args[] = { "--name=v",
				     "--availability-zone=z",
				     "--service=s",
				     "--store=127.0.0.1:1",
				     settings_cases[_i].arg,
				     NULL };
	static const char *const env[] = { "PW_UPSTREAM_PASSWORD=x", "PW_CONTROL_PASSWORD=x",
					   NULL };
	struct pw_harness_process *proxy =
		pw_harness_start(harness, "daemon/pimentowingd", 0, args, env);
	char *log;

	ck_assert(pw_harness_wait_end(proxy, ANSWER_TIMEOUT_MS));
	ck_assert(WIFEXITED(proxy->status) && WEXITSTATUS(proxy->status) == 2);
	log = pw_harness_read_output(proxy);
	ck_assert_msg(strstr(log, settings_cases[_i].finding) != NULL, "%s", log);
	g_free(log);
	pw_harness_free(harness);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("tls");

	tcase_add_loop_test(tc, test_sslmodes, 0, PW_ARRAY_LEN(sslmode_cases));
	tcase_add_test(tc, test_certificate_reload);
	tcase_add_loop_test(tc, test_settings, 0, PW_ARRAY_LEN(settings_cases));
	return pw_suite_run("tls", tc);
}
