/*
 * Stand-in for the users' platform: its key-value store, its promotion API and its database
 * servers, in one process on loopback.
 *
 * Usage: standin-platform PORT NAME=PORT,PORT,PORT...
 *
 * The first port serves HTTP; each group has three servers. `GET /state` returns the servers' state
 * and the promotion requests. `GET /started?id=ID` returns 200 if a server has received a statement
 * with that id, else 404. `GET /record` returns an array with an object for each statement that a
 * server has received from a client, in the order of receipt. `POST /fault?name=NAME&value=VALUE`
 * injects or ends a fault. NAME is
 * - a name that databases_inject_fault() accepts, among them "stutter", "cut", "split" and "busy",
 *   which change answers of the servers, and "record", with the value "clear", which empties the
 *   record;
 * - "store", with the value "up", "down" (calls get 503) or "silent" (calls get no response);
 * - "compact", which discards the store's history; the value is ignored;
 * - "copy", which takes a copy of the store, and "restore", which goes back to it; the value is
 *   ignored;
 * - "era", with the value "hidden" (responses lack the header Store-Era) or "shown";
 * - "evacuate" and "return", which add and remove the evacuation of the zone that the value names;
 * - "config", which stores the request's body as the catalogue; the value is ignored;
 * - "entry", which stores the request's body under the key in the value, as another writer could;
 * - "reply", which answers calls of the store with the path in the value by the request's body;
 *   an empty body ends this. The path may be followed by "?Prefix=" and a prefix.
 */
#include <glib.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "database.h"
#include "kv.h"
#include "pw/core/address.h"
#include "pw/core/clock.h"

#define TICK_INTERVAL_US UINT64_C(5000)

enum store_mode {
	STORE_UP,
	STORE_DOWN,
	STORE_SILENT,
};

struct platform {
	struct pw_loop *loop;
	struct MHD_Daemon *http;
	struct pw_source http_source;
	struct pw_timer tick_timer;
	struct kv_store *kv;
	struct databases *databases;
	/** Set of struct request: watches that wait for events, and calls to a silent store. */
	GHashTable *suspended_requests;
	GHashTable *fixed_replies; /**< path of a call of the store -> body of its response */
	enum store_mode store_mode;
	bool hides_era;
};

struct request {
	struct platform *platform;
	struct MHD_Connection *connection;
	GByteArray *body;
	char *watch_prefix; /**< NULL if the request is not a watch */
	int64_t watch_after_revision;
	uint64_t wait_deadline_us; /**< time at which a watch without events gets its response */
	unsigned response_status;  /**< set when a suspended request resumes; 0 before */
	char *response_text;
	bool suspended;
};

static enum MHD_Result respond(const struct request *req, unsigned status, const char *text)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
		strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;
	char era[16];

	g_snprintf(era, sizeof(era), "%u", kv_era(req->platform->kv));
	if (!req->platform->hides_era)
		MHD_add_response_header(r, "Store-Era", era);
	MHD_add_response_header(r, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
	rc = MHD_queue_response(req->connection, status, r);
	MHD_destroy_response(r);
	return rc;
}

/* Sends a JSON response; takes ownership of `body`. */
static enum MHD_Result respond_json(const struct request *req, unsigned status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	enum MHD_Result rc = respond(req, status, text);

	free(text);
	json_decref(body);
	return rc;
}

static const char *query_argument(const struct request *r, const char *name)
{
	return MHD_lookup_connection_value(r->connection, MHD_GET_ARGUMENT_KIND, name);
}

static int64_t query_integer(const struct request *r, const char *name)
{
	const char *text = query_argument(r, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

static void suspend_request(struct request *r)
{
	r->suspended = true;
	g_hash_table_add(r->platform->suspended_requests, r);
	MHD_suspend_connection(r->connection);
}

static enum MHD_Result handle_watch(struct request *r)
{
	json_t *body = NULL;
	unsigned status;

	r->watch_prefix = g_strdup(query_argument(r, "Prefix"));
	r->watch_after_revision = query_integer(r, "after");
	r->wait_deadline_us = pw_clock_now_us() + (uint64_t)query_integer(r, "WaitMs") * 1000;
	status = kv_watch(r->platform->kv, &body, r->watch_prefix, r->watch_after_revision);
	if (status)
		return respond_json(r, status, body);
	suspend_request(r);
	return MHD_YES;
}

static bool set_store_mode(struct platform *p, const char *value, const char *body)
{
	(void)body;
	p->store_mode = strcmp(value, "down") == 0     ? STORE_DOWN
			: strcmp(value, "silent") == 0 ? STORE_SILENT
						       : STORE_UP;
	return true;
}

static bool compact_store(struct platform *p, const char *value, const char *body)
{
	(void)value;
	(void)body;
	kv_compact(p->kv);
	return true;
}

static bool copy_store(struct platform *p, const char *value, const char *body)
{
	(void)value;
	(void)body;
	kv_take_copy(p->kv);
	return true;
}

static bool restore_store(struct platform *p, const char *value, const char *body)
{
	(void)value;
	(void)body;
	return kv_restore_copy(p->kv, pw_clock_now_us());
}

static bool hide_era(struct platform *p, const char *value, const char *body)
{
	(void)body;
	p->hides_era = strcmp(value, "hidden") == 0;
	return true;
}

static bool publish_catalog(struct platform *p, const char *value, const char *body)
{
	(void)value;
	kv_put(p->kv, "op/config", body, 0);
	return true;
}

static bool evacuate_zone(struct platform *p, const char *value, const char *body)
{
	char *key = g_strconcat("op/evacuate/", value, NULL);

	(void)body;
	kv_put(p->kv, key, "{}", 0);
	g_free(key);
	return true;
}

static bool return_zone(struct platform *p, const char *value, const char *body)
{
	char *key = g_strconcat("op/evacuate/", value, NULL);

	(void)body;
	kv_delete(p->kv, key);
	g_free(key);
	return true;
}

static bool put_entry(struct platform *p, const char *value, const char *body)
{
	kv_put(p->kv, value, body, 0);
	return true;
}

/* Answers calls with this path by a fixed body, or normally again if the body is empty. */
static bool set_fixed_reply(struct platform *p, const char *path, const char *body)
{
	if (*body)
		g_hash_table_replace(p->fixed_replies, g_strdup(path), g_strdup(body));
	else
		g_hash_table_remove(p->fixed_replies, path);
	return true;
}

/* Faults of the store; the others are faults of the servers. */
static const struct {
	const char *name;
	bool (*inject)(struct platform *p, const char *value, const char *body);
} store_faults[] = {
	{ "store", set_store_mode },  { "compact", compact_store }, { "copy", copy_store },
	{ "restore", restore_store }, { "era", hide_era },          { "config", publish_catalog },
	{ "entry", put_entry },       { "reply", set_fixed_reply }, { "evacuate", evacuate_zone },
	{ "return", return_zone },
};

static bool inject_fault(struct platform *p, const char *name, const char *value, const char *body)
{
	for (size_t i = 0; i < G_N_ELEMENTS(store_faults); i++) {
		if (strcmp(store_faults[i].name, name) == 0)
			return store_faults[i].inject(p, value, body);
	}
	return databases_inject_fault(p->databases, name, value);
}

static enum MHD_Result handle_fault(struct request *r)
{
	const char *name = query_argument(r, "name"), *value = query_argument(r, "value");
	char *body;
	bool ok;

	if (!name || !value)
		return respond(r, MHD_HTTP_BAD_REQUEST, "{}");
	body = g_strndup((const char *)r->body->data, r->body->len);
	ok = inject_fault(r->platform, name, value, body);
	g_free(body);
	return respond(r, ok ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST, "{}");
}

static enum MHD_Result handle_promote(struct request *r, const json_t *payload)
{
	const char *fencing_token =
		MHD_lookup_connection_value(r->connection, MHD_HEADER_KIND, "Fencing-Token");
	unsigned status = databases_promote(
		r->platform->databases, json_string_value(json_object_get(payload, "Service")),
		json_string_value(json_object_get(payload, "Id")),
		MHD_lookup_connection_value(r->connection, MHD_HEADER_KIND, "Lease-Holder"),
		fencing_token ? g_ascii_strtoull(fencing_token, NULL, 10) : 0);

	return respond(r, status, "{}");
}

/* Handles a call to the key-value store, according to the store mode. */
/* Returns the fixed reply to a call with this path, or with this path and prefix; NULL: none. */
static const char *find_fixed_reply(const struct request *r, const char *path)
{
	const char *prefix = query_argument(r, "Prefix");
	char *key = g_strconcat(path, "?Prefix=", prefix ? prefix : "", NULL);
	const char *reply = g_hash_table_lookup(r->platform->fixed_replies, key);

	g_free(key);
	return reply ? reply : g_hash_table_lookup(r->platform->fixed_replies, path);
}

static enum MHD_Result handle_store_call(struct request *r, const char *path, const json_t *payload)
{
	struct kv_store *kv = r->platform->kv;
	const char *fixed_reply = find_fixed_reply(r, path);
	uint64_t now_us = pw_clock_now_us();
	json_t *body = NULL;
	unsigned status;

	if (fixed_reply)
		return respond(r, MHD_HTTP_OK, fixed_reply);
	if (r->platform->store_mode == STORE_DOWN)
		return respond(r, MHD_HTTP_SERVICE_UNAVAILABLE, "{}");
	if (r->platform->store_mode == STORE_SILENT) {
		suspend_request(r);
		return MHD_YES;
	}
	if (strcmp(path, "/kv-key") == 0)
		status = kv_get(kv, &body, query_argument(r, "Key"));
	else if (strcmp(path, "/kv-range") == 0)
		status = kv_range(kv, &body, query_argument(r, "Prefix"),
				  query_argument(r, "after"));
	else if (strcmp(path, "/kv-watch") == 0)
		return handle_watch(r);
	else if (strcmp(path, "/kv-txn") == 0)
		status = kv_txn(kv, &body, payload);
	else if (strcmp(path, "/kv-lease") == 0)
		status = kv_lease_grant(kv, &body, payload, now_us);
	else if (g_str_has_prefix(path, "/kv-keep/"))
		status = kv_lease_keep_alive(
			kv, &body, g_ascii_strtoll(path + strlen("/kv-keep/"), NULL, 10), now_us);
	else if (g_str_has_prefix(path, "/kv-lease-end/"))
		status = kv_lease_revoke(
			kv, &body, g_ascii_strtoll(path + strlen("/kv-lease-end/"), NULL, 10));
	else
		return respond(r, MHD_HTTP_NOT_FOUND, "{}");
	return respond_json(r, status, body);
}

static enum MHD_Result dispatch_request(struct request *r, const char *path)
{
	json_t *payload = json_loadb((const char *)r->body->data, r->body->len, 0, NULL);
	enum MHD_Result rc;

	if (r->response_status)
		rc = respond(r, r->response_status, r->response_text);
	else if (strcmp(path, "/fault") == 0)
		rc = handle_fault(r);
	else if (strcmp(path, "/state") == 0)
		rc = respond_json(r, MHD_HTTP_OK, databases_state_json(r->platform->databases));
	else if (strcmp(path, "/record") == 0)
		rc = respond_json(r, MHD_HTTP_OK, databases_record_json(r->platform->databases));
	else if (strcmp(path, "/started") == 0 && query_argument(r, "id"))
		rc = respond(r,
			     databases_has_started(r->platform->databases, query_argument(r, "id"))
				     ? MHD_HTTP_OK
				     : MHD_HTTP_NOT_FOUND,
			     "{}");
	else if (strcmp(path, "/failover") == 0)
		rc = handle_promote(r, payload);
	else
		rc = handle_store_call(r, path, payload);
	json_decref(payload);
	return rc;
}

/*
 * libmicrohttpd calls this with the headers, then with each part of the body, then once without
 * data, and again after a suspended request resumes.
 */
static enum MHD_Result handle_request(void *data, struct MHD_Connection *connection,
				      const char *url, const char *method, const char *version,
				      const char *upload, size_t *upload_size, void **state)
{
	struct request *r = *state;

	(void)method;
	(void)version;
	if (!r) {
		r = g_new0(struct request, 1);
		r->platform = data;
		r->connection = connection;
		r->body = g_byte_array_new();
		*state = r;
		return MHD_YES;
	}
	if (*upload_size) {
		g_byte_array_append(r->body, (const guint8 *)upload, (guint)*upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	return dispatch_request(r, url);
}

static void request_completed(void *data, struct MHD_Connection *connection, void **state,
			      enum MHD_RequestTerminationCode code)
{
	struct request *r = *state;

	(void)data;
	(void)connection;
	(void)code;
	if (!r)
		return;
	g_hash_table_remove(r->platform->suspended_requests, r);
	g_byte_array_unref(r->body);
	g_free(r->watch_prefix);
	g_free(r->response_text);
	g_free(r);
	*state = NULL;
}

static void resume_request(struct request *r, unsigned status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	r->response_status = status;
	r->response_text = g_strdup(text);
	free(text);
	json_decref(body);
	MHD_resume_connection(r->connection);
}

/* Responds to the watches that have events or whose wait is over. */
static void respond_to_watches(struct platform *p, uint64_t now_us)
{
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, p->suspended_requests);
	while (g_hash_table_iter_next(&it, &item, NULL)) {
		struct request *r = item;
		json_t *body = NULL;
		unsigned status;

		if (!r->watch_prefix || p->store_mode == STORE_SILENT)
			continue;
		if (p->store_mode == STORE_DOWN) {
			g_hash_table_iter_remove(&it);
			resume_request(r, MHD_HTTP_SERVICE_UNAVAILABLE, json_object());
			continue;
		}
		status = kv_watch(p->kv, &body, r->watch_prefix, r->watch_after_revision);
		if (!status && now_us >= r->wait_deadline_us) {
			status = MHD_HTTP_OK;
			body = json_pack("{s:[],s:I}", "events", "StoreRevision",
					 (json_int_t)kv_revision(p->kv));
		}
		if (!status)
			continue;
		g_hash_table_iter_remove(&it);
		resume_request(r, status, body);
	}
}

static void run_http(struct platform *p)
{
	MHD_run(p->http);
}

static void http_ready(struct pw_source *s, uint32_t events)
{
	(void)events;
	run_http((struct platform *)((char *)s - offsetof(struct platform, http_source)));
}

static const struct pw_source_ops http_source_ops = { .ready = http_ready };

static void tick_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct platform *p = (struct platform *)((char *)t - offsetof(struct platform, tick_timer));

	pw_loop_timer_set(p->loop, t, now_us + TICK_INTERVAL_US);
	databases_tick(p->databases, now_us);
	(void)kv_expire(p->kv, now_us);
	respond_to_watches(p, now_us);
	/* Without this call, resumed connections would wait for the next network activity. */
	run_http(p);
}

static const struct pw_timer_ops tick_timer_ops = { .expire = tick_timer_expired };

static int start_http(struct platform *p, uint16_t port)
{
	char address[32];
	struct pw_address parsed;
	const union MHD_DaemonInfo *info;

	g_snprintf(address, sizeof(address), "127.0.0.1:%u", port);
	if (pw_address_parse(&parsed, address))
		return -1;
	p->http = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
				   handle_request, p, MHD_OPTION_NOTIFY_COMPLETED,
				   request_completed, NULL, MHD_OPTION_SOCK_ADDR, &parsed.socket,
				   MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
	if (!p->http)
		return -1;
	info = MHD_get_daemon_info(p->http, MHD_DAEMON_INFO_EPOLL_FD);
	p->http_source = (struct pw_source){ .ops = &http_source_ops, .fd = info->epoll_fd };
	return pw_loop_watch(p->loop, &p->http_source, EPOLLIN);
}

int main(int argc, char **argv)
{
	struct platform p = { .store_mode = STORE_UP };
	uint16_t port = argc > 1 ? (uint16_t)atoi(argv[1]) : 0;

	if (argc < 3 || !port) {
		g_printerr("usage: standin-platform PORT NAME=PORT,PORT,PORT...\n");
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	if (pw_loop_new(&p.loop))
		return EXIT_FAILURE;
	p.kv = kv_new();
	p.suspended_requests = g_hash_table_new(NULL, NULL);
	p.fixed_replies = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p.databases = databases_new(p.loop, p.kv, (const char *const *)&argv[2]);
	p.tick_timer.ops = &tick_timer_ops;
	pw_loop_timer_set(p.loop, &p.tick_timer, pw_clock_now_us());
	if (start_http(&p, port))
		return EXIT_FAILURE;
	pw_loop_run(p.loop);
	return EXIT_SUCCESS;
}
