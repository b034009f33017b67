/*
 * Stand-in for the users' platform: its key-value store, its orders, and the database servers, in
 * one process on loopback.
 *
 * Usage: standin-platform PORT NAME=PORT,PORT,PORT...
 *
 * HTTP is at the first port; each group has three servers. `POST /fault?name=NAME&value=VALUE`
 * steers it: the faults of database.h; "store" with "up", "down" (503) or "silent"; "compact";
 * "config" with the catalogue in the body. `GET /state` shows the servers and orders.
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

#define TICK_US UINT64_C(5000)

enum store_mode {
	STORE_UP,
	STORE_DOWN,
	STORE_SILENT,
};

struct platform {
	struct pw_loop *loop;
	struct MHD_Daemon *daemon;
	struct pw_source source;
	struct pw_timer tick;
	struct kv *kv;
	struct fleet *fleet;
	GHashTable *waiting; /**< set of struct exchange that wait for changes or for nothing */
	enum store_mode mode;
};

struct exchange {
	struct platform *platform;
	struct MHD_Connection *connection;
	GByteArray *body;
	char *prefix; /**< of a watch */
	int64_t after;
	uint64_t ends_us;
	unsigned status; /**< of the answer that was waited for; 0: none yet */
	char *answer;
	bool suspended;
};

static enum MHD_Result respond(struct MHD_Connection *c, unsigned status, const char *text)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
		strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;

	MHD_add_response_header(r, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
	rc = MHD_queue_response(c, status, r);
	MHD_destroy_response(r);
	return rc;
}

/* Takes ownership of the body. */
static enum MHD_Result respond_json(struct MHD_Connection *c, unsigned status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	enum MHD_Result rc = respond(c, status, text);

	free(text);
	json_decref(body);
	return rc;
}

static const char *argument(const struct exchange *x, const char *name)
{
	return MHD_lookup_connection_value(x->connection, MHD_GET_ARGUMENT_KIND, name);
}

static int64_t number_argument(const struct exchange *x, const char *name)
{
	const char *text = argument(x, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

static void suspend(struct exchange *x)
{
	x->suspended = true;
	g_hash_table_add(x->platform->waiting, x);
	MHD_suspend_connection(x->connection);
}

static enum MHD_Result watch(struct exchange *x)
{
	json_t *body = NULL;
	unsigned status;

	x->prefix = g_strdup(argument(x, "Prefix"));
	x->after = number_argument(x, "after");
	x->ends_us = pw_clock_now_us() + (uint64_t)number_argument(x, "WaitMs") * 1000;
	status = kv_watch(x->platform->kv, &body, x->prefix, x->after);
	if (status)
		return respond_json(x->connection, status, body);
	suspend(x);
	return MHD_YES;
}

static enum MHD_Result fault(struct exchange *x)
{
	struct platform *p = x->platform;
	const char *name = argument(x, "name"), *value = argument(x, "value");
	bool ok = true;

	if (!name || !value)
		return respond(x->connection, MHD_HTTP_BAD_REQUEST, "{}");
	if (strcmp(name, "store") == 0) {
		p->mode = strcmp(value, "down") == 0     ? STORE_DOWN
			  : strcmp(value, "silent") == 0 ? STORE_SILENT
							 : STORE_UP;
	} else if (strcmp(name, "compact") == 0) {
		kv_compact(p->kv);
	} else if (strcmp(name, "config") == 0) {
		char *text = g_strndup((const char *)x->body->data, x->body->len);

		kv_put(p->kv, "op/config", text, 0);
		g_free(text);
	} else {
		ok = fleet_fault(p->fleet, name, value);
	}
	return respond(x->connection, ok ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST, "{}");
}

static enum MHD_Result promote(struct exchange *x, const json_t *request)
{
	const char *fence =
		MHD_lookup_connection_value(x->connection, MHD_HEADER_KIND, "Fencing-Token");
	unsigned status = fleet_promote(
		x->platform->fleet, json_string_value(json_object_get(request, "Service")),
		json_string_value(json_object_get(request, "Id")),
		MHD_lookup_connection_value(x->connection, MHD_HEADER_KIND, "Lease-Holder"),
		fence ? g_ascii_strtoull(fence, NULL, 10) : 0);

	return respond(x->connection, status, "{}");
}

/* Calls to the store. */
static enum MHD_Result call_store(struct exchange *x, const char *path, const json_t *request)
{
	struct kv *kv = x->platform->kv;
	uint64_t now = pw_clock_now_us();
	json_t *body = NULL;
	unsigned status;

	if (x->platform->mode == STORE_DOWN)
		return respond(x->connection, MHD_HTTP_SERVICE_UNAVAILABLE, "{}");
	if (x->platform->mode == STORE_SILENT) {
		suspend(x);
		return MHD_YES;
	}
	if (strcmp(path, "/kv-key") == 0)
		status = kv_get(kv, &body, argument(x, "Key"));
	else if (strcmp(path, "/kv-range") == 0)
		status = kv_range(kv, &body, argument(x, "Prefix"), argument(x, "after"));
	else if (strcmp(path, "/kv-watch") == 0)
		return watch(x);
	else if (strcmp(path, "/kv-txn") == 0)
		status = kv_txn(kv, &body, request);
	else if (strcmp(path, "/kv-lease") == 0)
		status = kv_lease(kv, &body, request, now);
	else if (g_str_has_prefix(path, "/kv-keep/"))
		status = kv_keep(kv, &body, g_ascii_strtoll(path + strlen("/kv-keep/"), NULL, 10),
				 now);
	else if (g_str_has_prefix(path, "/kv-lease-end/"))
		status = kv_lease_end(kv, &body,
				      g_ascii_strtoll(path + strlen("/kv-lease-end/"), NULL, 10));
	else
		return respond(x->connection, MHD_HTTP_NOT_FOUND, "{}");
	return respond_json(x->connection, status, body);
}

static enum MHD_Result dispatch(struct exchange *x, const char *path)
{
	json_t *request = json_loadb((const char *)x->body->data, x->body->len, 0, NULL);
	enum MHD_Result rc;

	if (x->status)
		rc = respond(x->connection, x->status, x->answer);
	else if (strcmp(path, "/fault") == 0)
		rc = fault(x);
	else if (strcmp(path, "/state") == 0)
		rc = respond_json(x->connection, MHD_HTTP_OK, fleet_state(x->platform->fleet));
	else if (strcmp(path, "/failover") == 0)
		rc = promote(x, request);
	else
		rc = call_store(x, path, request);
	json_decref(request);
	return rc;
}

/* Called with the headers, then with each part of the body, then once without data. */
static enum MHD_Result handle(void *data, struct MHD_Connection *connection, const char *url,
			      const char *method, const char *version, const char *upload,
			      size_t *upload_size, void **state)
{
	struct exchange *x = *state;

	(void)method;
	(void)version;
	if (!x) {
		x = g_new0(struct exchange, 1);
		x->platform = data;
		x->connection = connection;
		x->body = g_byte_array_new();
		*state = x;
		return MHD_YES;
	}
	if (*upload_size) {
		g_byte_array_append(x->body, (const guint8 *)upload, (guint)*upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	return dispatch(x, url);
}

static void completed(void *data, struct MHD_Connection *connection, void **state,
		      enum MHD_RequestTerminationCode code)
{
	struct exchange *x = *state;

	(void)data;
	(void)connection;
	(void)code;
	if (!x)
		return;
	g_hash_table_remove(x->platform->waiting, x);
	g_byte_array_unref(x->body);
	g_free(x->prefix);
	g_free(x->answer);
	g_free(x);
	*state = NULL;
}

static void resume(struct exchange *x, unsigned status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	x->status = status;
	x->answer = g_strdup(text);
	free(text);
	json_decref(body);
	MHD_resume_connection(x->connection);
}

/* Answers the watches that have something to report or have waited for long enough. */
static void answer_watches(struct platform *p, uint64_t now)
{
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, p->waiting);
	while (g_hash_table_iter_next(&it, &item, NULL)) {
		struct exchange *x = item;
		json_t *body = NULL;
		unsigned status;

		if (!x->prefix || p->mode == STORE_SILENT)
			continue;
		if (p->mode == STORE_DOWN) {
			g_hash_table_iter_remove(&it);
			resume(x, MHD_HTTP_SERVICE_UNAVAILABLE, json_object());
			continue;
		}
		status = kv_watch(p->kv, &body, x->prefix, x->after);
		if (!status && now >= x->ends_us) {
			status = MHD_HTTP_OK;
			body = json_pack("{s:[],s:I}", "events", "StoreRevision",
					 (json_int_t)kv_revision(p->kv));
		}
		if (!status)
			continue;
		g_hash_table_iter_remove(&it);
		resume(x, status, body);
	}
}

static void run_daemon(struct platform *p)
{
	MHD_run(p->daemon);
}

static void daemon_ready(struct pw_source *s, uint32_t events)
{
	(void)events;
	run_daemon((struct platform *)((char *)s - offsetof(struct platform, source)));
}

static const struct pw_source_ops source_ops = { .ready = daemon_ready };

static void tick(struct pw_timer *t, uint64_t now_us)
{
	struct platform *p = (struct platform *)((char *)t - offsetof(struct platform, tick));

	pw_loop_timer_set(p->loop, t, now_us + TICK_US);
	fleet_tick(p->fleet, now_us);
	(void)kv_expire(p->kv, now_us);
	answer_watches(p, now_us);
	run_daemon(p);
}

static const struct pw_timer_ops tick_ops = { .expire = tick };

static int start_http(struct platform *p, uint16_t port)
{
	char address[32];
	struct pw_address at;
	const union MHD_DaemonInfo *info;

	g_snprintf(address, sizeof(address), "127.0.0.1:%u", port);
	if (pw_address_parse(&at, address))
		return -1;
	p->daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
				     handle, p, MHD_OPTION_NOTIFY_COMPLETED, completed, NULL,
				     MHD_OPTION_SOCK_ADDR, &at.socket,
				     MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
	if (!p->daemon)
		return -1;
	info = MHD_get_daemon_info(p->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	p->source = (struct pw_source){ .ops = &source_ops, .fd = info->epoll_fd };
	return pw_loop_watch(p->loop, &p->source, EPOLLIN);
}

int main(int argc, char **argv)
{
	struct platform p = { .mode = STORE_UP };
	uint16_t port = argc > 1 ? (uint16_t)atoi(argv[1]) : 0;

	if (argc < 3 || !port) {
		g_printerr("usage: standin-platform PORT NAME=PORT,PORT,PORT...\n");
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	if (pw_loop_new(&p.loop))
		return EXIT_FAILURE;
	p.kv = kv_new();
	p.waiting = g_hash_table_new(NULL, NULL);
	p.fleet = fleet_new(p.loop, p.kv, (const char *const *)&argv[2]);
	p.tick.ops = &tick_ops;
	pw_loop_timer_set(p.loop, &p.tick, pw_clock_now_us());
	if (start_http(&p, port))
		return EXIT_FAILURE;
	pw_loop_run(p.loop);
	return EXIT_SUCCESS;
}
