#include "harness_ops.h"

#include <check.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define SERVICE             "example"
#define API_TOKEN           "fleet-test-token"
#define HTTP_TIMEOUT_MS     2000
#define READY_TIMEOUT_MS    15000
#define REVISION_TIMEOUT_MS 2000
#define CTL_PATH            PW_BUILD_DIR "/ctl/pimentowingctl"
#define NO_FAULTS           "{\"mode\":\"ok\",\"delay_ms\":0,\"drop_after_effect\":0,\"stale_reads\":false}"
#define ARGS_MAX            16

static char **make_environment(const struct pw_fleet *f, uint16_t store_port)
{
	char **env = g_get_environ();
	GString *apis = g_string_new(NULL);
	char *store = g_strdup_printf("127.0.0.1:%u", store_port ? store_port : f->store_port);

	for (uint32_t i = 0; i < f->options.proxy_count; i++)
		g_string_append_printf(apis, "%s127.0.0.1:%u", i ? "," : "",
				       f->proxies[i].api_port);
	env = g_environ_setenv(env, "PW_API", apis->str, TRUE);
	env = g_environ_setenv(env, "PW_STORE", store, TRUE);
	env = g_environ_setenv(env, "PW_SERVICE", SERVICE, TRUE);
	env = g_environ_setenv(env, "PW_API_TOKEN", API_TOKEN, TRUE);
	g_string_free(apis, TRUE);
	g_free(store);
	return env;
}

int pw_ops_run_ctl(const struct pw_fleet *f, uint16_t store_port, const char *const *args,
		   char **out)
{
	char *argv[ARGS_MAX] = { (char *)CTL_PATH };
	char **env = make_environment(f, store_port);
	char *err = NULL;
	GError *error = NULL;
	int status;

	for (size_t i = 0; args[i]; i++)
		argv[i + 1] = (char *)(uintptr_t)args[i];
	ck_assert_msg(g_spawn_sync(NULL, argv, env, G_SPAWN_DEFAULT, NULL, NULL, out, &err, &status,
				   &error),
		      "%s", error ? error->message : "");
	g_strfreev(env);
	g_free(err);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* Returns the rest of the first line that starts with `prefix`; the caller frees it. */
static char *read_field(const char *out, const char *prefix)
{
	char **lines = g_strsplit(out, "\n", -1);
	char *value = NULL;

	for (char **line = lines; *line && !value; line++) {
		if (g_str_has_prefix(*line, prefix))
			value = g_strdup(*line + strlen(prefix));
	}
	g_strfreev(lines);
	ck_assert_msg(value != NULL, "no line starts with %sin the output: %s", prefix, out);
	return value;
}

void pw_ops_key_create(const struct pw_fleet *f, const char *account, struct pw_ops_key *out)
{
	const char *const args[] = { "key", "new", account, NULL };
	char *text, *revision_text;
	uint64_t revision;

	ck_assert_int_eq(pw_ops_run_ctl(f, 0, args, &text), 0);
	out->text = read_field(text, "key ");
	out->id = read_field(text, "id ");
	revision_text = read_field(text, "revision ");
	revision = strtoull(revision_text, NULL, 10);
	for (uint32_t i = 0; i < f->options.proxy_count; i++)
		ck_assert_msg(PW_HARNESS_WAIT_UNTIL(pw_ops_get_revision(f, i) >= revision,
						    REVISION_TIMEOUT_MS),
			      "proxy %u has not received the key", i);
	g_free(revision_text);
	g_free(text);
}

void pw_ops_key_dispose(struct pw_ops_key *k)
{
	g_free(k->text);
	g_free(k->id);
	*k = (struct pw_ops_key){ 0 };
}

int pw_ops_edit_document(const struct pw_fleet *f, uint16_t store_port, const char *const *edits)
{
	char *path = g_build_filename(pw_harness_temp_folder(f->harness), "edited.json", NULL);
	const char *const args[] = { "apply", path, NULL };
	char *text = pw_fleet_http_get(f, 0, "/v1/document");
	char *out = NULL;
	int status;

	ck_assert_ptr_nonnull(text);
	for (; edits[0]; edits += 2) {
		char **parts = g_strsplit(text, edits[0], -1);

		ck_assert_msg(parts[0] && parts[1], "the document does not contain %s", edits[0]);
		g_free(text);
		text = g_strjoinv(edits[1], parts);
		g_strfreev(parts);
	}
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	status = pw_ops_run_ctl(f, store_port, args, &out);
	g_free(out);
	g_free(text);
	g_free(path);
	return status;
}

static size_t append_body(char *data, size_t size, size_t count, void *body)
{
	g_string_append_len(body, data, (gssize)(size * count));
	return size * count;
}

/*
 * Sends a POST request with `json`, or a GET request if it is NULL. Returns the HTTP status, or 0
 * without a response.
 */
static uint32_t http_request(const char *url, const char *json, GString *body)
{
	CURL *curl = curl_easy_init();
	long status = 0;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	if (json)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, json);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)HTTP_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	return (uint32_t)status;
}

char *pw_ops_post_to_store(const struct pw_fleet *f, const char *path, const char *json)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", f->store_port, path);
	GString *body = g_string_new(NULL);

	ck_assert_uint_eq(http_request(url, json, body), 200);
	g_free(url);
	return g_string_free(body, FALSE);
}

void pw_ops_set_store_fault(const struct pw_fleet *f, const char *fault)
{
	g_free(pw_ops_post_to_store(f, "/fault", fault ? fault : NO_FAULTS));
}

uint64_t pw_ops_get_revision(const struct pw_fleet *f, uint32_t proxy)
{
	static const char name[] = "\"revision\":";
	char *status = pw_fleet_http_get(f, proxy, "/v1/status");
	const char *match = status ? strstr(status, name) : NULL;
	uint64_t revision = match ? strtoull(match + strlen(name), NULL, 10) : 0;

	g_free(status);
	return revision;
}

uint32_t pw_ops_get_readiness(const struct pw_fleet *f, uint32_t proxy)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u/readyz", f->proxies[proxy].api_port);
	GString *body = g_string_new(NULL);
	uint32_t status = http_request(url, NULL, body);

	g_free(url);
	g_string_free(body, TRUE);
	return status;
}

void pw_ops_restart_proxy(struct pw_fleet *f, uint32_t proxy, uint16_t store_port)
{
	char *store = g_strdup_printf("PW_STORE=127.0.0.1:%u", store_port);
	const char *const *saved_env = f->options.proxy_env;
	GPtrArray *env = g_ptr_array_new();

	for (const char *const *e = saved_env; e && *e; e++)
		g_ptr_array_add(env, (gpointer)(uintptr_t)*e);
	g_ptr_array_add(env, store);
	g_ptr_array_add(env, NULL);
	pw_harness_kill(f->proxies[proxy].process);
	f->options.proxy_env = (const char *const *)env->pdata;
	pw_fleet_start_proxy(f, proxy);
	f->options.proxy_env = saved_env;
	g_ptr_array_unref(env);
	g_free(store);
	ck_assert(pw_fleet_wait_ready(f, READY_TIMEOUT_MS));
}
