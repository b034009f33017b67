/*
 * Stand-in for the platform's key-value service: the JSON API of the etcd v3 gateway, in memory,
 * with fault injection. libmicrohttpd's thread serves requests; the main thread waits for the next
 * time at which a lease expires, or a delayed request or a watch is due.
 */
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kv.h"
#include "pw/core/clock.h"

/* An idle watch sends the current revision at this interval. */
#define PROGRESS_INTERVAL_US PW_US_PER_S

enum store_mode {
	MODE_OK,
	/**
	 * Calls and watches are sent nothing; once the mode ends, waiting calls are closed without
	 * a response.
	 */
	MODE_DOWN,
	MODE_ERROR, /**< calls get status 503 */
	MODE_SLOW,  /**< calls are delayed by `delay_us` */
};

static const char *const mode_names[] = {
	[MODE_OK] = "ok",
	[MODE_DOWN] = "down",
	[MODE_ERROR] = "error",
	[MODE_SLOW] = "slow",
};

struct request {
	struct MHD_Connection *connection;
	GByteArray *body;
	bool suspended;
	bool was_delayed;        /**< the delay of mode "slow" has started or is over */
	bool arrived_while_down; /**< closed without a response once mode "down" ends */
	uint64_t due_us;         /**< end of the delay, or time of the next progress message */

	/* Watches only. */
	bool is_watch;
	bool created;
	bool canceled;
	bool silent; /**< a fault stops all further messages */
	struct key_range range;
	int64_t start_revision;
	guint next_change; /**< index of the first change in the log that was not examined yet */
	GString *out;      /**< messages to send */
	size_t out_pos;    /**< number of bytes of `out` that were sent */
};

struct route {
	const char *url;
	const char *kind; /**< key in the response of /stats */
	struct response (*run)(struct kv_store *s, const json_t *req, uint64_t now_us);
};

static const struct route routes[] = {
	{ "/v3/kv/range", "range", kv_range },
	{ "/v3/kv/txn", "txn", kv_txn },
	{ "/v3/kv/compaction", "compaction", kv_compact },
	{ "/v3/lease/grant", "lease_grant", kv_lease_grant },
	{ "/v3/lease/keepalive", "lease_keep_alive", kv_lease_keep_alive },
	{ "/v3/lease/revoke", "lease_revoke", kv_lease_revoke },
	{ "/v3/kv/lease/revoke", "lease_revoke", kv_lease_revoke },
};

#define ROUTE_COUNT (sizeof(routes) / sizeof(routes[0]))

static struct {
	pthread_mutex_t lock; /**< protects all fields below */
	pthread_cond_t wake;  /**< wakes the main thread, which checks what is due */
	struct kv_store kv;
	GHashTable *requests; /**< set of struct request */
	GHashTable *calls;    /**< route kind to number of calls */
	enum store_mode mode;
	uint64_t delay_us;
	int64_t txn_responses_to_drop; /**< number of further transactions that get no response */
} server = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void suspend_request(struct request *r)
{
	r->suspended = true;
	MHD_suspend_connection(r->connection);
	pthread_cond_signal(&server.wake);
}

static void resume_request(struct request *r)
{
	r->suspended = false;
	MHD_resume_connection(r->connection);
}

static enum MHD_Result send_response(struct request *r, struct response res)
{
	char *text = json_dumps(res.body, JSON_COMPACT);
	struct MHD_Response *response =
		MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result rc;

	json_decref(res.body);
	MHD_add_response_header(response, "Content-Type", "application/json");
	rc = MHD_queue_response(r->connection, res.status, response);
	MHD_destroy_response(response);
	return rc;
}

static void count_call(const char *kind)
{
	gpointer n = g_hash_table_lookup(server.calls, kind);

	g_hash_table_insert(server.calls, (gpointer)kind, GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
}

static struct response stats_response(void)
{
	struct response res = { .status = 200, .body = json_object() };
	GHashTableIter it;
	gpointer key, value;
	int open_count = 0;

	g_hash_table_iter_init(&it, server.calls);
	while (g_hash_table_iter_next(&it, &key, &value))
		json_object_set_new(res.body, key, json_integer(GPOINTER_TO_INT(value)));
	g_hash_table_iter_init(&it, server.requests);
	while (g_hash_table_iter_next(&it, &key, NULL))
		open_count += ((struct request *)key)->is_watch;
	json_object_set_new(res.body, "watches_open", json_integer(open_count));
	return res;
}

/*
 * Sets the faults that a request to /fault names; the others stay unchanged:
 * - "mode": one of `mode_names`;
 * - "delay_ms": delay of calls in mode "slow";
 * - "drop_after_effect": number of further transactions that take effect but get no response;
 * - "stale_reads": whether reads return the keys as they are now;
 * - "silent_watches": if true, the watches that are open now send nothing any more.
 */
static struct response inject_fault(const json_t *fault)
{
	const char *mode_name = json_string_value(json_object_get(fault, "mode"));
	json_t *drop_count = json_object_get(fault, "drop_after_effect");
	json_t *stale = json_object_get(fault, "stale_reads");
	GHashTableIter it;
	gpointer item;
	size_t i = MODE_OK;

	while (mode_name && i < G_N_ELEMENTS(mode_names) && strcmp(mode_name, mode_names[i]) != 0)
		i++;
	if (!json_is_object(fault) || i == G_N_ELEMENTS(mode_names))
		return response_error(400, 3, "the fault is malformed");
	if (mode_name)
		server.mode = (enum store_mode)i;
	if (json_object_get(fault, "delay_ms"))
		server.delay_us = (uint64_t)int64_field(fault, "delay_ms") * PW_US_PER_MS;
	if (drop_count)
		server.txn_responses_to_drop = json_integer_value(drop_count);
	if (stale)
		kv_set_stale_reads(&server.kv, json_is_true(stale));
	g_hash_table_iter_init(&it, server.requests);
	while (g_hash_table_iter_next(&it, &item, NULL)) {
		struct request *r = item;

		if (r->is_watch && json_is_true(json_object_get(fault, "silent_watches")))
			r->silent = true;
	}
	pthread_cond_signal(&server.wake);
	return (struct response){ .status = 200, .body = json_object() };
}

/* Adds a message to the output of a watch; takes ownership of `result`. */
static void append_message(struct request *r, json_t *result)
{
	json_t *j = json_object();
	char *text;

	json_object_set_new(j, "result", result);
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	g_string_append(r->out, text);
	g_string_append_c(r->out, '\n');
	free(text);
	r->due_us = pw_clock_now_us() + PROGRESS_INTERVAL_US;
}

static json_t *header_message_json(void)
{
	json_t *j = json_object();

	json_object_set_new(j, "header", header_json(&server.kv));
	return j;
}

static void append_events(struct request *r)
{
	json_t *events = json_array(), *j;

	for (; r->next_change < server.kv.log->len; r->next_change++) {
		const struct kv *kv = g_ptr_array_index(server.kv.log, r->next_change);

		if (kv->mod_revision < r->start_revision || !key_range_contains(&r->range, kv->key))
			continue;
		j = json_object();
		if (!kv->value)
			json_object_set_new(j, "type", json_string("DELETE"));
		json_object_set_new(j, "kv", kv_json(kv));
		json_array_append_new(events, j);
	}
	if (json_array_size(events)) {
		j = header_message_json();
		json_object_set(j, "events", events);
		append_message(r, j);
	}
	json_decref(events);
}

/*
 * Adds the first message of a watch; if its start revision is not above the compacted revision,
 * also adds a message that cancels the watch.
 */
static void open_watch(struct request *r)
{
	json_t *j = header_message_json();

	json_object_set_new(j, "created", json_true());
	append_message(r, j);
	r->created = true;
	if (!r->start_revision) {
		r->next_change = server.kv.log->len;
	} else if (r->start_revision <= server.kv.compact_revision) {
		j = header_message_json();
		json_object_set_new(j, "canceled", json_true());
		json_object_set_new(j, "compact_revision", int64_json(server.kv.compact_revision));
		append_message(r, j);
		r->canceled = true;
	}
}

/* Fills the output of a watch with the messages that are due. */
static void fill_watch(struct request *r)
{
	g_string_truncate(r->out, 0);
	r->out_pos = 0;
	if (r->silent || server.mode == MODE_DOWN || r->canceled)
		return;
	if (!r->created)
		open_watch(r);
	else
		append_events(r);
	if (!r->out->len && r->due_us <= pw_clock_now_us())
		append_message(r, header_message_json());
}

/* Content reader of libmicrohttpd for the response to a watch. */
static ssize_t read_watch(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct request *r = arg;
	ssize_t n;

	(void)pos;
	pthread_mutex_lock(&server.lock);
	if (r->out_pos == r->out->len)
		fill_watch(r);
	n = (ssize_t)MIN(max, r->out->len - r->out_pos);
	memcpy(buf, r->out->str + r->out_pos, (size_t)n);
	r->out_pos += (size_t)n;
	if (!n && r->canceled)
		n = MHD_CONTENT_READER_END_OF_STREAM;
	else if (!n)
		suspend_request(r);
	pthread_mutex_unlock(&server.lock);
	return n;
}

static enum MHD_Result start_watch(struct request *r, const json_t *req)
{
	json_t *create = json_object_get(req, "create_request");
	struct MHD_Response *response;
	enum MHD_Result rc;

	if (!key_range_parse(create, &r->range))
		return send_response(r, response_error(400, 3, "key is not provided"));
	r->is_watch = true;
	r->start_revision = int64_field(create, "start_revision");
	r->out = g_string_new(NULL);
	response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 65536, read_watch, r, NULL);
	rc = MHD_queue_response(r->connection, 200, response);
	MHD_destroy_response(response);
	return rc;
}

static enum MHD_Result run_route(struct request *r, const struct route *route, const json_t *req)
{
	struct response res = route->run(&server.kv, req, pw_clock_now_us());

	count_call(route->kind);
	pthread_cond_signal(&server.wake);
	if (route->run == kv_txn && server.txn_responses_to_drop > 0) {
		server.txn_responses_to_drop--;
		json_decref(res.body);
		return MHD_NO; /* closes the connection */
	}
	return send_response(r, res);
}

static enum MHD_Result run_request(struct request *r, const char *url, const json_t *req)
{
	if (strcmp(url, "/fault") == 0)
		return send_response(r, inject_fault(req));
	if (strcmp(url, "/stats") == 0)
		return send_response(r, stats_response());
	if (r->arrived_while_down)
		return MHD_NO;
	if (server.mode == MODE_DOWN) {
		r->arrived_while_down = true;
		suspend_request(r);
		return MHD_YES;
	}
	if (server.mode == MODE_SLOW && !r->was_delayed) {
		r->was_delayed = true;
		r->due_us = pw_clock_now_us() + server.delay_us;
		suspend_request(r);
		return MHD_YES;
	}
	if (server.mode == MODE_ERROR)
		return send_response(r,
				     response_error(503, 14, "the stand-in injects this failure"));
	if (!json_is_object(req))
		return send_response(r, response_error(400, 3, "malformed JSON"));
	if (strcmp(url, "/v3/watch") == 0) {
		count_call("watch");
		return start_watch(r, req);
	}
	for (size_t i = 0; i < ROUTE_COUNT; i++) {
		if (strcmp(url, routes[i].url) == 0)
			return run_route(r, &routes[i], req);
	}
	return send_response(r, response_error(404, 5, "no such path"));
}

/*
 * libmicrohttpd calls this with the headers, then with each part of the body, then once without
 * data, and again after a suspended request resumes.
 */
static enum MHD_Result handle_request(void *arg, struct MHD_Connection *connection, const char *url,
				      const char *method, const char *version, const char *data,
				      size_t *size, void **state)
{
	struct request *r = *state;
	enum MHD_Result rc;
	json_t *req;

	(void)arg;
	(void)method;
	(void)version;
	if (!r) {
		r = g_new0(struct request, 1);
		r->connection = connection;
		r->body = g_byte_array_new();
		*state = r;
		pthread_mutex_lock(&server.lock);
		g_hash_table_add(server.requests, r);
		pthread_mutex_unlock(&server.lock);
		return MHD_YES;
	}
	if (*size) {
		g_byte_array_append(r->body, (const guint8 *)data, (guint)*size);
		*size = 0;
		return MHD_YES;
	}
	req = json_loadb((const char *)r->body->data, r->body->len, 0, NULL);
	pthread_mutex_lock(&server.lock);
	rc = run_request(r, url, req);
	pthread_mutex_unlock(&server.lock);
	json_decref(req);
	return rc;
}

static void request_completed(void *arg, struct MHD_Connection *connection, void **state,
			      enum MHD_RequestTerminationCode code)
{
	struct request *r = *state;

	(void)arg;
	(void)connection;
	(void)code;
	if (!r)
		return;
	pthread_mutex_lock(&server.lock);
	g_hash_table_remove(server.requests, r);
	pthread_mutex_unlock(&server.lock);
	g_byte_array_free(r->body, TRUE);
	key_range_clear(&r->range);
	if (r->out)
		g_string_free(r->out, TRUE);
	g_free(r);
	*state = NULL;
}

/*
 * Returns whether a suspended request should resume now. If it has a later due time, lowers
 * `next_us` to this time. A silent watch, and a request or watch that waits for the end of
 * MODE_DOWN, have no due time.
 */
static bool is_due(const struct request *r, uint64_t now_us, uint64_t *next_us)
{
	if (r->silent || (server.mode == MODE_DOWN && (r->arrived_while_down || r->is_watch)))
		return false;
	if (r->arrived_while_down || (r->is_watch && r->next_change < server.kv.log->len) ||
	    r->due_us <= now_us)
		return true;
	*next_us = MIN(*next_us, r->due_us);
	return false;
}

/* Resumes requests and expires leases when they are due; never returns. */
static void run_timers(void)
{
	pthread_mutex_lock(&server.lock);
	for (;;) {
		uint64_t now_us = pw_clock_now_us();
		uint64_t next_us = MIN(kv_expire(&server.kv, now_us), now_us + 60 * PW_US_PER_S);
		struct timespec until;
		GHashTableIter it;
		gpointer item;

		g_hash_table_iter_init(&it, server.requests);
		while (g_hash_table_iter_next(&it, &item, NULL)) {
			struct request *r = item;

			if (r->suspended && is_due(r, now_us, &next_us))
				resume_request(r);
		}
		until.tv_sec = (time_t)(next_us / PW_US_PER_S);
		until.tv_nsec = (long)(next_us % PW_US_PER_S) * 1000;
		pthread_cond_timedwait(&server.wake, &server.lock, &until);
	}
}

static bool parse_address(const char *text, struct sockaddr_in *out)
{
	char **parts = g_strsplit(text ? text : "", ":", 2);
	guint64 port = 0;
	bool ok = parts[0] && parts[1] && inet_pton(AF_INET, parts[0], &out->sin_addr) == 1 &&
		  g_ascii_string_to_unsigned(parts[1], 10, 0, 65535, &port, NULL);

	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	g_strfreev(parts);
	return ok;
}

int main(int argc, char **argv)
{
	gchar *listen_text = NULL;
	const GOptionEntry entries[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &listen_text,
		  "Address to listen on; port 0 takes a free one", "IP:PORT" },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *options = g_option_context_new("- stand-in key-value store");
	struct sockaddr_in address = { 0 };
	struct MHD_Daemon *http;
	pthread_condattr_t attr;
	char ip[INET_ADDRSTRLEN];
	GError *error = NULL;

	g_option_context_add_main_entries(options, entries, NULL);
	if (!g_option_context_parse(options, &argc, &argv, &error) ||
	    !parse_address(listen_text, &address)) {
		fprintf(stderr, "standin-store: %s\n",
			error ? error->message : "--listen needs IP:PORT");
		return 2;
	}
	g_option_context_free(options);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC); /* the clock of pw_clock_now_us() */
	pthread_cond_init(&server.wake, &attr);
	kv_store_init(&server.kv);
	server.requests = g_hash_table_new(NULL, NULL);
	server.calls = g_hash_table_new(g_str_hash, g_str_equal);
	http = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
				NULL, handle_request, NULL, MHD_OPTION_SOCK_ADDR, &address,
				MHD_OPTION_NOTIFY_COMPLETED, request_completed, NULL,
				MHD_OPTION_END);
	if (!http) {
		fprintf(stderr, "standin-store: cannot listen on %s\n", listen_text);
		return 1;
	}
	inet_ntop(AF_INET, &address.sin_addr, ip, sizeof(ip));
	printf("listening on %s:%u\n", ip,
	       MHD_get_daemon_info(http, MHD_DAEMON_INFO_BIND_PORT)->port);
	fflush(stdout);
	run_timers();
}
