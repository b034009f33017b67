#include "harness_service.h"

#include <check.h>
#include <curl/curl.h>
#include <string.h>
#include <sys/wait.h>

#include "pw/core/error.h"

#define READY_TIMEOUT_MS 10000

static char *format_hex(const uint8_t *bytes, size_t size_bytes)
{
	GString *s = g_string_new(NULL);

	for (size_t i = 0; i < size_bytes; i++)
		g_string_append_printf(s, "%02x", bytes[i]);
	return g_string_free(s, FALSE);
}

static void append_account(GString *s, const char *name, const struct pw_key *key)
{
	char *salt = format_hex(key->stored.salt, sizeof(key->stored.salt));
	char *hash = format_hex(key->stored.hash, sizeof(key->stored.hash));

	g_string_append_printf(s,
			       "{\"name\":\"%s\",\"rate_per_s\":100000,\"burst\":100000,\"keys\":["
			       "{\"id\":\"%s\",\"salt\":\"%s\",\"hash\":\"%s\"}]}",
			       name, key->stored.id, salt, hash);
	g_free(salt);
	g_free(hash);
}

static char *make_document(const struct pw_harness_service *s, uint16_t database_port,
			   const char *document_members)
{
	GString *d = g_string_new("{\"service\":\"test\",\"version\":1");

	g_string_append_printf(d,
			       ",\"databases\":[{\"name\":\"test\",\"kind\":\"pw\",\"servers\":[{"
			       "\"name\":\"a\",\"address\":\"127.0.0.1:%u\","
			       "\"availability_zone\":\"z\",\"connections\":20,\"slots\":4}]}]",
			       database_port);
	g_string_append(d, ",\"routes\":["
			   "{\"name\":\"reads\",\"database\":\"test\",\"match\":[\"select\"],"
			   "\"access\":\"keyed\",\"kind\":\"read\"},"
			   "{\"name\":\"writes\",\"database\":\"test\",\"match\":[\"\"],"
			   "\"access\":\"keyed\",\"kind\":\"write\"}],\"accounts\":[");
	append_account(d, "amber", &s->keys[0]);
	g_string_append_c(d, ',');
	append_account(d, "birch", &s->keys[1]);
	g_string_append_printf(d, "]%s}", document_members);
	return g_string_free(d, FALSE);
}

static uint16_t start_store(struct pw_harness *h)
{
	uint16_t port = pw_harness_allocate_port();
	char *listen = g_strdup_printf("127.0.0.1:%u", port);
	const char *const args[] = { "--listen", listen, NULL };

	pw_harness_start(h, "standins/standin-store", port, args, NULL);
	g_free(listen);
	return port;
}

static uint16_t start_database(struct pw_harness *h)
{
	uint16_t port = pw_harness_allocate_port();
	char *listen = g_strdup_printf("127.0.0.1:%u", port);
	const char *const args[] = { "--listen",
				     listen,
				     "--name",
				     "a",
				     "--user",
				     "proxy",
				     "--password",
				     "upstream-secret",
				     "--control-user",
				     "control",
				     "--control-password",
				     "control-secret",
				     NULL };

	pw_harness_start(h, "standins/standin-database", port, args, NULL);
	g_free(listen);
	return port;
}

static void start_proxy(struct pw_harness_service *s, const char *const *extra_args)
{
	static const char *const env[] = { "PW_UPSTREAM_PASSWORD=upstream-secret",
					   "PW_CONTROL_PASSWORD=control-secret",
					   "PW_API_TOKEN=" PW_HARNESS_API_TOKEN, NULL };
	GPtrArray *args = g_ptr_array_new_with_free_func(g_free);

	g_ptr_array_add(args, g_strdup("--name=" PW_HARNESS_VM));
	g_ptr_array_add(args, g_strdup("--availability-zone=z"));
	g_ptr_array_add(args, g_strdup("--service=test"));
	g_ptr_array_add(args, g_strdup("--log-level=debug"));
	g_ptr_array_add(args, g_strdup_printf("--store=127.0.0.1:%u", s->store_port));
	g_ptr_array_add(args, g_strdup_printf("--caller-address=127.0.0.1:%u", s->caller_port));
	g_ptr_array_add(args,
			g_strdup_printf("--peer-address=127.0.0.1:%u", pw_harness_allocate_port()));
	g_ptr_array_add(args, g_strdup_printf("--api-address=127.0.0.1:%u", s->api_port));
	for (; extra_args && *extra_args; extra_args++)
		g_ptr_array_add(args, g_strdup(*extra_args));
	g_ptr_array_add(args, NULL);
	s->proxy = pw_harness_start(s->harness, "daemon/pimentowingd", s->caller_port,
				    (const char *const *)args->pdata, env);
	g_ptr_array_unref(args);
}

static bool is_serving(const struct pw_harness_service *s)
{
	const struct pw_harness_login login = pw_harness_service_login(s, 0);
	char *result = pw_harness_connect_and_query(&login, 1000, "SELECT 1");
	bool serves = strcmp(result, "1") == 0;

	g_free(result);
	return serves;
}

void pw_harness_service_start(struct pw_harness_service *s, const char *document_members,
			      const char *const *args)
{
	char *path, *text;
	const char *apply_args[] = { "apply", NULL, NULL };

	*s = (struct pw_harness_service){ .harness = pw_harness_new() };
	for (size_t i = 0; i < G_N_ELEMENTS(s->keys); i++)
		ck_assert_int_eq(pw_key_generate(&s->keys[i]), PW_OK);
	s->store_port = start_store(s->harness);
	s->caller_port = pw_harness_allocate_port();
	s->api_port = pw_harness_allocate_port();
	s->database_port = start_database(s->harness);
	text = make_document(s, s->database_port, document_members);
	path = g_build_filename(pw_harness_temp_folder(s->harness), "document.json", NULL);
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	apply_args[1] = path;
	g_free(pw_harness_service_run_ctl(s, apply_args));
	g_free(text);
	g_free(path);
	start_proxy(s, args);
	ck_assert_msg(PW_HARNESS_WAIT_UNTIL(is_serving(s), READY_TIMEOUT_MS),
		      "the proxy does not serve: %s", pw_harness_read_output(s->proxy));
}

void pw_harness_service_stop(struct pw_harness_service *s)
{
	pw_harness_free(s->harness);
	for (size_t i = 0; i < G_N_ELEMENTS(s->keys); i++)
		pw_key_wipe(&s->keys[i]);
}

struct pw_harness_login pw_harness_service_login(const struct pw_harness_service *s,
						 uint32_t account)
{
	return (struct pw_harness_login){
		.port = s->caller_port,
		.user = account ? "birch" : "amber",
		.password = s->keys[account].text,
	};
}

char *pw_harness_service_run_ctl(const struct pw_harness_service *s, const char *const *args)
{
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	char *out = NULL, *err = NULL;
	int status;

	g_ptr_array_add(argv, g_build_filename(PW_BUILD_DIR, "ctl", "pimentowingctl", NULL));
	for (; *args; args++)
		g_ptr_array_add(argv, g_strdup(*args));
	g_ptr_array_add(argv, g_strdup_printf("--store=127.0.0.1:%u", s->store_port));
	g_ptr_array_add(argv, g_strdup("--service=test"));
	g_ptr_array_add(argv, NULL);
	ck_assert(g_spawn_sync(NULL, (char **)argv->pdata, NULL, G_SPAWN_DEFAULT, NULL, NULL, &out,
			       &err, &status, NULL));
	ck_assert_msg(WIFEXITED(status) && WEXITSTATUS(status) == 0, "pimentowingctl: %s%s", out,
		      err);
	g_ptr_array_unref(argv);
	g_free(err);
	return out;
}

static size_t append_body(char *data, size_t size, size_t count, void *user)
{
	g_string_append_len(user, data, (gssize)(size * count));
	return size * count;
}

long pw_harness_service_http_get(const struct pw_harness_service *s, const char *scheme,
				 const char *path, char **body)
{
	char *url = g_strdup_printf("%s://127.0.0.1:%u%s", scheme, s->api_port, path);
	struct curl_slist *headers =
		curl_slist_append(NULL, "Authorization: Bearer " PW_HARNESS_API_TOKEN);
	GString *response = g_string_new(NULL);
	CURL *curl = curl_easy_init();
	long status = 0;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 3000L);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_SSL_VERIFYPEER, 0L);
	curl_easy_setopt(curl, CURLOPT_SSL_VERIFYHOST, 0L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	g_free(url);
	if (body)
		*body = g_string_free(response, FALSE);
	else
		g_string_free(response, TRUE);
	return status;
}
