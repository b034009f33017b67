#include "harness_fleet.h"

#include <check.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define READY_TIMEOUT_MS     20000
#define STATEMENT_TIMEOUT_MS 2000
#define SERVICE              "example"
#define API_TOKEN            "fleet-test-token"
#define CONTROL_USER         "control"
#define CONTROL_PASSWORD     "control-secret"
#define UPSTREAM_PASSWORD    "proxy-secret"

static const char *const database_names[PW_FLEET_DATABASE_COUNT] = { "orders", "catalog",
								     "billing" };

/* First port of each database in docs/example.json. */
static const uint16_t document_ports[PW_FLEET_DATABASE_COUNT] = { 5501, 5511, 5521 };

/* Replaces all occurrences of `from`, at least one; takes ownership of `text`. */
static char *replace_text(char *text, const char *from, const char *to)
{
	char **parts = g_strsplit(text, from, -1);
	char *out = g_strjoinv(to, parts);

	ck_assert_msg(parts[0] && parts[1], "the document does not contain %s", from);
	g_strfreev(parts);
	g_free(text);
	return out;
}

/* Applies pairs of a text and its replacement; takes ownership of `text`. */
static char *apply_edits(char *text, const char *const *edits)
{
	for (; edits && edits[0]; edits += 2)
		text = replace_text(text, edits[0], edits[1]);
	return text;
}

static char *make_document(const struct pw_fleet *f, const char *const *edits)
{
	char *text = NULL;

	ck_assert(g_file_get_contents(PW_SOURCE_DIR "/docs/example.json", &text, NULL, NULL));
	/* Edits refer to the ports of the example, so they come before the ports are replaced. */
	text = apply_edits(text, f->options.document_edits);
	text = apply_edits(text, edits);
	for (uint32_t d = 0; d < PW_FLEET_DATABASE_COUNT; d++) {
		for (uint32_t i = 0; i < PW_FLEET_SERVERS_PER_DATABASE; i++) {
			char *from = g_strdup_printf("127.0.0.1:%u\"", document_ports[d] + i);
			char *to = g_strdup_printf("127.0.0.1:%u\"", f->server_ports[d][i]);

			text = replace_text(text, from, to);
			g_free(from);
			g_free(to);
		}
	}
	return text;
}

static char *format_address(uint16_t port)
{
	return g_strdup_printf("127.0.0.1:%u", port);
}

/* Appends copies of further texts, and the terminating NULL. Returns the contents of the list. */
static const char *const *finish_list(GPtrArray *list, const char *const *extra_items)
{
	for (; extra_items && *extra_items; extra_items++)
		g_ptr_array_add(list, g_strdup(*extra_items));
	g_ptr_array_add(list, NULL);
	return (const char *const *)list->pdata;
}

static void add_copy(GPtrArray *list, const char *text)
{
	g_ptr_array_add(list, g_strdup(text));
}

/* Takes ownership of `value`. */
static void add_option(GPtrArray *list, const char *name, char *value)
{
	add_copy(list, name);
	g_ptr_array_add(list, value);
}

void pw_fleet_start_store(struct pw_fleet *f)
{
	GPtrArray *args = g_ptr_array_new_with_free_func(g_free);

	add_option(args, "--listen", format_address(f->store_port));
	f->store = pw_harness_start(f->harness, "standins/standin-store", f->store_port,
				    finish_list(args, NULL), NULL);
	g_ptr_array_unref(args);
}

void pw_fleet_start_server(struct pw_fleet *f, uint32_t database, uint32_t server, uint32_t primary)
{
	GPtrArray *args = g_ptr_array_new_with_free_func(g_free);

	add_option(args, "--listen", format_address(f->server_ports[database][server]));
	add_option(args, "--name", g_strdup_printf("%s-%u", database_names[database], server + 1));
	add_option(args, "--user", g_strdup("proxy"));
	add_option(args, "--password", g_strdup(UPSTREAM_PASSWORD));
	add_option(args, "--control-user", g_strdup(CONTROL_USER));
	add_option(args, "--control-password", g_strdup(CONTROL_PASSWORD));
	add_option(args, "--lag-ms", g_strdup_printf("%u", f->options.lag_ms));
	if (primary != server)
		add_option(args, "--primary", format_address(f->server_ports[database][primary]));
	f->servers[database][server] = pw_harness_start(
		f->harness, "standins/standin-database", f->server_ports[database][server],
		finish_list(args, f->options.server_args), NULL);
	g_ptr_array_unref(args);
}

/* Takes ownership of `value`. */
static void add_env(GPtrArray *env, const char *name, char *value)
{
	g_ptr_array_add(env, g_strdup_printf("%s=%s", name, value));
	g_free(value);
}

static char *format_seed_peers(const struct pw_fleet *f)
{
	GString *s = g_string_new(NULL);

	for (uint32_t i = 0; i < f->options.proxy_count; i++)
		g_string_append_printf(s, "%s127.0.0.1:%u", i ? "," : "", f->proxies[i].peer_port);
	return g_string_free(s, FALSE);
}

void pw_fleet_start_proxy(struct pw_fleet *f, uint32_t proxy)
{
	struct pw_fleet_proxy *p = &f->proxies[proxy];
	GPtrArray *env = g_ptr_array_new_with_free_func(g_free);
	const char *const no_args[] = { NULL };

	add_env(env, "PW_NAME", g_strdup_printf("vm-%u", proxy + 1));
	add_env(env, "PW_AVAILABILITY_ZONE", g_strdup_printf("zone-%u", proxy % 3 + 1));
	add_env(env, "PW_SERVICE", g_strdup(SERVICE));
	add_env(env, "PW_STORE", format_address(f->store_port));
	add_env(env, "PW_CALLER_ADDRESS", format_address(p->caller_port));
	add_env(env, "PW_PEER_ADDRESS", format_address(p->peer_port));
	add_env(env, "PW_API_ADDRESS", format_address(p->api_port));
	add_env(env, "PW_SEED_PEERS", format_seed_peers(f));
	add_env(env, "PW_API_TOKEN", g_strdup(API_TOKEN));
	add_env(env, "PW_UPSTREAM_PASSWORD", g_strdup(UPSTREAM_PASSWORD));
	add_env(env, "PW_CONTROL_PASSWORD", g_strdup(CONTROL_PASSWORD));
	p->process = pw_harness_start(f->harness, "daemon/pimentowingd",
				      f->options.without_callers ? p->api_port : p->caller_port,
				      no_args, finish_list(env, f->options.proxy_env));
	g_ptr_array_unref(env);
}

int pw_fleet_run_ctl(struct pw_fleet *f, const char *const *args)
{
	GPtrArray *env = g_ptr_array_new_with_free_func(g_free);
	GString *apis = g_string_new(NULL);
	struct pw_harness_process *p;

	for (uint32_t i = 0; i < f->options.proxy_count; i++)
		g_string_append_printf(apis, "%s127.0.0.1:%u", i ? "," : "",
				       f->proxies[i].api_port);
	add_env(env, "PW_API", g_string_free(apis, FALSE));
	add_env(env, "PW_STORE", format_address(f->store_port));
	add_env(env, "PW_SERVICE", g_strdup(SERVICE));
	add_env(env, "PW_API_TOKEN", g_strdup(API_TOKEN));
	p = pw_harness_start(f->harness, "ctl/pimentowingctl", 0, args, finish_list(env, NULL));
	g_ptr_array_unref(env);
	if (!pw_harness_wait_end(p, READY_TIMEOUT_MS))
		ck_abort_msg("pimentowingctl did not end in time");
	if (p->status != 0) {
		char *text = pw_harness_read_output(p);

		fprintf(stderr, "pimentowingctl %s: %s", args[0], text);
		g_free(text);
	}
	return WIFEXITED(p->status) ? WEXITSTATUS(p->status) : -1;
}

void pw_fleet_apply_document(struct pw_fleet *f, const char *const *edits)
{
	char *path = g_build_filename(pw_harness_temp_folder(f->harness), "document.json", NULL);
	char *text = make_document(f, edits);
	const char *const args[] = { "apply", path, NULL };

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	ck_assert_int_eq(pw_fleet_run_ctl(f, args), 0);
	g_free(text);
	g_free(path);
}

static size_t append_body(char *data, size_t size, size_t count, void *body)
{
	g_string_append_len(body, data, (gssize)(size * count));
	return size * count;
}

char *pw_fleet_http_get(const struct pw_fleet *f, uint32_t proxy, const char *path)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", f->proxies[proxy].api_port, path);
	GString *body = g_string_new(NULL);
	struct curl_slist *headers = curl_slist_append(NULL, "Authorization: Bearer " API_TOKEN);
	CURL *curl = curl_easy_init();
	CURLcode rc;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)STATEMENT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	rc = curl_easy_perform(curl);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	g_free(url);
	return g_string_free(body, rc != CURLE_OK);
}

uint64_t pw_fleet_read_counter(const struct pw_fleet *f, uint32_t proxy, const char *name)
{
	char *text = pw_fleet_http_get(f, proxy, "/metrics");
	char *prefix = g_strdup_printf("\npimentowing_%s ", name);
	const char *match = text ? strstr(text, prefix) : NULL;
	uint64_t value;

	ck_assert_msg(!text || match, "GET /metrics has no counter %s", name);
	value = match ? strtoull(match + strlen(prefix), NULL, 10) : 0;
	g_free(prefix);
	g_free(text);
	return value;
}

const char *pw_fleet_account_key(const char *account)
{
	static char key[128];
	char *text = NULL, *prefix, *match;

	ck_assert(g_file_get_contents(PW_SOURCE_DIR "/docs/example-keys.txt", &text, NULL, NULL));
	prefix = g_strdup_printf("\n%s ", account);
	match = strstr(text, prefix);
	ck_assert_msg(match != NULL, "docs/example-keys.txt has no key of account %s", account);
	match += strlen(prefix);
	g_strlcpy(key, match, MIN(sizeof(key), strcspn(match, "\n") + 1));
	g_free(prefix);
	g_free(text);
	return g_intern_string(key);
}

struct pw_harness_login pw_fleet_login(const struct pw_fleet *f, uint32_t proxy,
				       const char *account, const char *database)
{
	return (struct pw_harness_login){
		.port = f->proxies[proxy].caller_port,
		.user = account,
		.password = pw_fleet_account_key(account),
		.database = database,
		.application_name = "tests",
	};
}

char *pw_fleet_control_query(const struct pw_fleet *f, uint32_t database, uint32_t server,
			     const char *sql)
{
	const struct pw_harness_login login = {
		.port = f->server_ports[database][server],
		.user = CONTROL_USER,
		.password = CONTROL_PASSWORD,
		.application_name = "tests",
	};

	return pw_harness_connect_and_query(&login, STATEMENT_TIMEOUT_MS, sql);
}

void pw_fleet_set_fault(const struct pw_fleet *f, uint32_t database, uint32_t server,
			const char *name, const char *value)
{
	char *sql = g_strdup_printf("SELECT * FROM pw_fault('%s','%s')", name, value);
	char *expected = g_strdup_printf("%s|%s", name, value);
	char *result = pw_fleet_control_query(f, database, server, sql);

	ck_assert_str_eq(result, expected);
	g_free(result);
	g_free(expected);
	g_free(sql);
}

int32_t pw_fleet_find_primary(const struct pw_fleet *f, uint32_t database)
{
	uint64_t best_term = 0;
	int32_t primary = -1;

	for (uint32_t i = 0; i < PW_FLEET_SERVERS_PER_DATABASE; i++) {
		char *row;

		if (!f->servers[database][i]->pid)
			continue;
		row = pw_fleet_control_query(f, database, i, "SELECT * FROM pw_status()");
		if (g_str_has_prefix(row, "primary|")) {
			uint64_t term = strtoull(row + strlen("primary|"), NULL, 10);

			if (term > best_term) {
				best_term = term;
				primary = (int32_t)i;
			}
		}
		g_free(row);
	}
	return primary;
}

void pw_fleet_promote(const struct pw_fleet *f, uint32_t database, uint32_t server)
{
	char *row = pw_fleet_control_query(f, database, server, "SELECT * FROM pw_status()");
	const char *term_text = strchr(row, '|');
	uint64_t term = term_text ? strtoull(term_text + 1, NULL, 10) + 1 : 0;

	ck_assert_msg(term != 0, "no term in the status: %s", row);
	g_free(row);
	for (uint32_t i = 0; i < PW_FLEET_SERVERS_PER_DATABASE; i++) {
		char *sql = g_strdup_printf("SELECT * FROM pw_fence(%" G_GUINT64_FORMAT ",'tests')",
					    term);

		row = pw_fleet_control_query(f, database, i, sql);
		ck_assert_msg(g_str_has_prefix(row, "fenced|"), "%s", row);
		g_free(row);
		g_free(sql);
	}
	for (uint32_t i = 0; i < PW_FLEET_SERVERS_PER_DATABASE; i++) {
		/* The new primary first, then the others, which follow it. */
		uint32_t target = (server + i) % PW_FLEET_SERVERS_PER_DATABASE;
		char *sql = i == 0 ? g_strdup_printf("SELECT * FROM pw_promote(%" G_GUINT64_FORMAT
						     ",'tests')",
						     term)
				   : g_strdup_printf("SELECT * FROM pw_follow(%" G_GUINT64_FORMAT
						     ",'127.0.0.1:%u')",
						     term, f->server_ports[database][server]);

		row = pw_fleet_control_query(f, database, target, sql);
		ck_assert_msg(!g_str_has_prefix(row, "ERROR"), "%s: %s", sql, row);
		g_free(row);
		g_free(sql);
	}
}

/* Returns term, log term and LSN of a server as "term|log_term|lsn", or NULL without its status. */
static char *read_log_end(const struct pw_fleet *f, uint32_t database, uint32_t server)
{
	char *row = pw_fleet_control_query(f, database, server, "SELECT * FROM pw_status()");
	char **columns = g_strsplit(row, "|", -1);
	char *text = g_strv_length(columns) < 4
			     ? NULL
			     : g_strjoin("|", columns[1], columns[2], columns[3], NULL);

	g_strfreev(columns);
	g_free(row);
	return text;
}

/* Returns whether all servers are at the term and log position of the primary. */
static bool is_replicated(const struct pw_fleet *f, uint32_t database)
{
	int32_t primary = pw_fleet_find_primary(f, database);
	char *end = primary < 0 ? NULL : read_log_end(f, database, (uint32_t)primary);
	bool same = end != NULL;

	for (uint32_t i = 0; same && i < PW_FLEET_SERVERS_PER_DATABASE; i++) {
		char *other = read_log_end(f, database, i);

		same = g_strcmp0(end, other) == 0;
		g_free(other);
	}
	g_free(end);
	return same;
}

/* Returns whether the proxy reports the current primary of the database as alive and primary. */
static bool knows_primary(const struct pw_fleet *f, uint32_t proxy, uint32_t database)
{
	int32_t primary = pw_fleet_find_primary(f, database);
	char *status = pw_fleet_http_get(f, proxy, "/v1/status");
	char *entry = g_strdup_printf("{\"address\":\"127.0.0.1:%u\",\"alive\":true,"
				      "\"role\":\"primary\"",
				      primary < 0 ? 0 : f->server_ports[database][primary]);
	bool known = status && strstr(status, entry);

	g_free(entry);
	g_free(status);
	return known;
}

bool pw_fleet_wait_replicated(const struct pw_fleet *f, uint32_t database, uint32_t timeout_ms)
{
	if (!PW_HARNESS_WAIT_UNTIL(is_replicated(f, database), timeout_ms))
		return false;
	for (uint32_t i = 0; i < f->options.proxy_count; i++) {
		if (f->proxies[i].process->pid &&
		    !PW_HARNESS_WAIT_UNTIL(knows_primary(f, i, database), timeout_ms))
			return false;
	}
	return true;
}

/* Returns whether the proxy holds the quorum lease and its member table lists all proxies. */
static bool is_full_member(const struct pw_fleet *f, uint32_t proxy)
{
	char *status = pw_fleet_http_get(f, proxy, "/v1/status");
	const char *members = status ? strstr(status, "\"members\":[") : NULL;
	uint32_t count = 0;
	bool has_lease = status && strstr(status, "\"lease\":true");

	/* Counts the members: each is an object in the list and contains no other object. */
	for (const char *p = members; p && *p && *p != ']'; p++)
		count += *p == '{';
	g_free(status);
	return has_lease && count == f->options.proxy_count;
}

static bool serves_all_databases(const struct pw_fleet *f, uint32_t proxy)
{
	bool ok = true;

	for (uint32_t d = 0; d < PW_FLEET_DATABASE_COUNT && ok; d++) {
		const struct pw_harness_login login =
			pw_fleet_login(f, proxy, "amber", database_names[d]);
		char *result =
			pw_harness_connect_and_query(&login, STATEMENT_TIMEOUT_MS, "SELECT 1");

		ok = strcmp(result, "1") == 0;
		g_free(result);
	}
	return ok;
}

bool pw_fleet_wait_ready(struct pw_fleet *f, uint32_t timeout_ms)
{
	const gint64 end_us = g_get_monotonic_time() + (gint64)timeout_ms * 1000;

	for (uint32_t i = 0; i < f->options.proxy_count; i++) {
		while (!is_full_member(f, i) ||
		       (!f->options.without_callers && !serves_all_databases(f, i))) {
			if (g_get_monotonic_time() >= end_us)
				return false;
			g_usleep(20000);
		}
	}
	return true;
}

struct pw_fleet *pw_fleet_new(const struct pw_fleet_options *o)
{
	struct pw_fleet *f = g_new0(struct pw_fleet, 1);

	f->harness = pw_harness_new();
	f->options = *o;
	f->store_port = pw_harness_allocate_port();
	for (uint32_t i = 0; i < o->proxy_count; i++) {
		f->proxies[i].caller_port = pw_harness_allocate_port();
		f->proxies[i].peer_port = pw_harness_allocate_port();
		f->proxies[i].api_port = pw_harness_allocate_port();
	}
	pw_fleet_start_store(f);
	for (uint32_t d = 0; d < PW_FLEET_DATABASE_COUNT; d++) {
		for (uint32_t i = 0; i < PW_FLEET_SERVERS_PER_DATABASE; i++) {
			f->server_ports[d][i] = pw_harness_allocate_port();
			pw_fleet_start_server(f, d, i, 0);
		}
	}
	pw_fleet_apply_document(f, NULL);
	for (uint32_t i = 0; i < o->proxy_count; i++)
		pw_fleet_start_proxy(f, i);
	if (!pw_fleet_wait_ready(f, READY_TIMEOUT_MS)) {
		for (uint32_t i = 0; i < o->proxy_count; i++) {
			char *status = pw_fleet_http_get(f, i, "/v1/status");
			char *text = pw_harness_read_output(f->proxies[i].process);

			fprintf(stderr, "proxy %u: %s\n%s", i, status ? status : "no answer", text);
			g_free(status);
			g_free(text);
		}
		ck_abort_msg("the fleet did not become ready in time");
	}
	return f;
}

void pw_fleet_free(struct pw_fleet *f)
{
	if (!f)
		return;
	pw_harness_free(f->harness);
	g_free(f);
}
