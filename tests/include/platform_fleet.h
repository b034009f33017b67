/**
 * @file platform_fleet.h
 * Fleet of proxy processes against the platform stand-in, for the suites that play faults of such a
 * fleet: its start, callers' sessions, and faults of the stand-in.
 */
#ifndef PW_TESTS_PLATFORM_FLEET_H
#define PW_TESTS_PLATFORM_FLEET_H

#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "harness.h"
#include "suite.h"

#define VM_COUNT          3  /* default size of the fleet */
#define VM_COUNT_MAX      20 /* above PULSE_FULL_MESH_MAX: a heartbeat goes to some VMs only */
#define ANSWER_TIMEOUT_MS 3000
#define READY_TIMEOUT_MS  8000

/*
 * The catalogue as a printf() format. Its arguments are the version, the number of synchronous
 * replicas, the idle timeout of transactions in ms and the keys of the account "amber".
 */
#define CATALOG                                                                                  \
	"{\"Version\":%d,\"Routes\":["                                                           \
	"{\"Name\":\"r1\",\"Host\":\"desk\",\"Type\":\"primary\",\"TimeoutMs\":1000,"            \
	"\"TargetLatencyMs\":4000,\"Priority\":1,\"Service\":\"core\",\"Public\":false},"        \
	"{\"Name\":\"r2\",\"Host\":\"views\",\"Type\":\"bounded_staleness\",\"TimeoutMs\":1000," \
	"\"TargetLatencyMs\":4000,\"Priority\":2,\"Service\":\"core\",\"MaxStalenessMs\":1500,"  \
	"\"Public\":false},"                                                                     \
	"{\"Name\":\"r3\",\"Host\":\"sync\",\"Type\":\"read_your_writes\",\"TimeoutMs\":1000,"   \
	"\"TargetLatencyMs\":4000,\"Priority\":2,\"Service\":\"core\",\"MaxStalenessMs\":2500,"  \
	"\"Public\":false}],\"Services\":[{\"Name\":\"core\",\"MaxConns\":22,"                   \
	"\"SyncReplicas\":%u}],\"Limits\":{\"TxIdleMs\":%d},\"Tenants\":["                       \
	"{\"Name\":\"amber\",\"ApiKeys\":[%s],\"RatePerS\":2000,\"Burst\":2000},"                \
	"{\"Name\":\"slow\",\"ApiKeys\":[\"slow-key\"],\"RatePerS\":5,\"Burst\":5}]}"

#define BOTH_KEYS "\"amber-key\",\"other-key\""

struct vm {
	struct pw_harness_process *process;
	uint16_t caller_port, api_port, peer_port, metrics_port;
};

static struct pw_harness *harness;
static struct pw_harness_process *platform;
static struct vm vms[VM_COUNT_MAX];
static uint16_t server_ports[3];
static int catalog_version; /* of the last published catalogue */
static uint32_t sync_replica_count;
/* Settings of the VMs. */
static const char *drain_grace = "300ms", *drain_timeout = "2s";
static const char *stop_timeout; /* instead of the two above; NULL: not set */

static inline size_t append_body(char *data, size_t size, size_t count, void *out)
{
	g_string_append_len(out, data, (gssize)(size * count));
	return size * count;
}

/*
 * Sends a GET, or a POST if `body` is not NULL, to the stand-in or a proxy. Returns the body of the
 * response if the status is 200, else NULL.
 */
static inline char *http_request(uint16_t port, const char *path, const char *body)
{
	CURL *e = curl_easy_init();
	GString *out = g_string_new(NULL);
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	long status = 0;

	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, 2000L);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, out);
	if (body)
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, body);
	if (curl_easy_perform(e) == CURLE_OK)
		curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(e);
	g_free(url);
	return g_string_free(out, status != 200);
}

static inline void inject_fault(const char *name, const char *value)
{
	char *path = g_strdup_printf("/fault?name=%s&value=%s", name, value);
	char *body = http_request(platform->port, path, "");

	ck_assert_msg(body != NULL, "the fault %s=%s was not injected", name, value);
	g_free(body);
	g_free(path);
}

/* Stores a new version of the catalogue with these keys of "amber". */
static inline void publish_catalog(const char *keys, int idle_timeout_ms)
{
	char *text = g_strdup_printf(CATALOG, ++catalog_version, sync_replica_count,
				     idle_timeout_ms, keys);
	char *body = http_request(platform->port, "/fault?name=config&value=1", text);

	ck_assert_ptr_nonnull(body);
	g_free(body);
	g_free(text);
}

static inline bool is_ready(const struct vm *v)
{
	char *body = http_request(v->api_port, "/readyz", NULL);
	bool ready = body != NULL;

	g_free(body);
	return ready;
}

/* Starts or restarts the proxy of a VM; `store_port` may be the port of a relay to the platform. */
static inline void start_vm_with_store(uint32_t i, uint16_t store_port)
{
	struct vm *v = &vms[i];
	char *name = g_strdup_printf("vm-%u", i + 1);
	char *caller = g_strdup_printf("127.0.0.1:%u", v->caller_port);
	char *api = g_strdup_printf("127.0.0.1:%u", v->api_port);
	char *peer = g_strdup_printf("127.0.0.1:%u", v->peer_port);
	char *metrics = g_strdup_printf("127.0.0.1:%u", v->metrics_port);
	char *store = g_strdup_printf("127.0.0.1:%u", store_port);
	const char *const args[] = {
		"--binding",
		"platform",
		"--service",
		"fleet",
		"--name",
		name,
		"--availability-zone",
		"zone-1",
		"--zone-regions",
		"zone-1=region-1",
		"--caller-address",
		caller,
		"--api-address",
		api,
		"--peer-address",
		peer,
		"--metrics-address",
		metrics,
		"--store",
		store,
		"--promoter",
		store,
		"--log-level",
		"info",
		stop_timeout ? "--stop-timeout" : "--drain-grace",
		stop_timeout ? stop_timeout : drain_grace,
		stop_timeout ? NULL : "--drain-timeout",
		drain_timeout,
		NULL,
	};

	v->process = pw_harness_start(harness, "daemon/pimentowingd", v->caller_port, args, NULL);
	g_free(name);
	g_free(caller);
	g_free(api);
	g_free(peer);
	g_free(metrics);
	g_free(store);
}

static inline void start_vm(uint32_t i)
{
	start_vm_with_store(i, platform->port);
}

/* Starts a platform with one group of three servers, and stores the catalogue. */
static inline void start_platform(void)
{
	uint16_t port;
	char *port_text, *group;

	harness = pw_harness_new();
	port = pw_harness_allocate_port();
	for (int i = 0; i < 3; i++)
		server_ports[i] = pw_harness_allocate_port();
	port_text = g_strdup_printf("%u", port);
	group = g_strdup_printf("core=%u,%u,%u", server_ports[0], server_ports[1], server_ports[2]);
	const char *const args[] = { port_text, group, NULL };

	platform = pw_harness_start(harness, "standins/standin-platform", port, args, NULL);
	g_free(port_text);
	g_free(group);
	catalog_version = 0;
	publish_catalog(BOTH_KEYS, 3000);
}

/* Starts a fleet of `count` VMs, and waits until all are ready. */
static inline void start_vms(uint32_t count, uint16_t store_port)
{
	for (uint32_t i = 0; i < count; i++) {
		vms[i] = (struct vm){ .caller_port = pw_harness_allocate_port(),
				      .api_port = pw_harness_allocate_port(),
				      .peer_port = pw_harness_allocate_port(),
				      .metrics_port = pw_harness_allocate_port() };
		start_vm_with_store(i, store_port);
	}
	for (uint32_t i = 0; i < count; i++)
		ck_assert_msg(PW_HARNESS_WAIT_UNTIL(is_ready(&vms[i]), READY_TIMEOUT_MS),
			      "vm-%u is not ready", i + 1);
}

/* Starts a platform and a fleet of `count` VMs, and waits until all VMs are ready. */
static inline void start_fleet_of(uint32_t count)
{
	start_platform();
	start_vms(count, platform->port);
}

static inline void start_fleet(void)
{
	start_fleet_of(VM_COUNT);
}

static inline void stop_fleet(void)
{
	pw_harness_free(harness);
}

/* Connection of a caller. */
struct client {
	int fd;            /* -1: closed */
	GString *received; /* bytes after the last line that was returned */
	bool connected;    /* the connection was not refused */
	/*
	 * When the kernel of the caller sent the last byte, and when it got the end of the
	 * connection, in us; 0 before the end is read. They do not depend on when the threads of
	 * the test run.
	 */
	gint64 last_sent_us, end_us;
};

static inline struct client *client_new(const struct vm *v)
{
	struct client *c = g_new0(struct client, 1);
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(v->caller_port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int one = 1;

	c->received = g_string_new(NULL);
	c->fd = socket(AF_INET, SOCK_STREAM, 0);
	(void)setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(c->fd, (struct sockaddr *)&address, sizeof(address))) {
		close(c->fd);
		c->fd = -1;
	}
	c->connected = c->fd >= 0;
	return c;
}

/*
 * Records the end of a connection. With a segment that ends the connection, the kernel notes the
 * time of the last acknowledgement; with a reset it does not, so the present time is taken.
 */
static inline void record_end(struct client *c, bool is_reset)
{
	gint64 now_us = g_get_monotonic_time();
	struct tcp_info info = { 0 };
	socklen_t size = sizeof(info);

	(void)getsockopt(c->fd, IPPROTO_TCP, TCP_INFO, &info, &size);
	c->last_sent_us = now_us - info.tcpi_last_data_sent * G_GINT64_CONSTANT(1000);
	c->end_us = now_us;
	if (!is_reset)
		c->end_us -= info.tcpi_last_ack_recv * G_GINT64_CONSTANT(1000);
}

/* LossSlackMs: a request that crosses the close of its connection may get no answer for so long. */
#define CROSSING_MS 200

/*
 * Whether the end of the connection came at most CROSSING_MS after the last byte was sent, or
 * before it. Allows for a thread of the test that is held up between its request and the end.
 */
static inline bool has_crossed_close(const struct client *c)
{
	return c->end_us && c->end_us - c->last_sent_us <= CROSSING_MS * G_GINT64_CONSTANT(1000);
}

static inline void client_free(struct client *c)
{
	if (c->fd >= 0)
		close(c->fd);
	g_string_free(c->received, TRUE);
	g_free(c);
}

/* Returns the next line, NULL at the end of the connection, or "TIMEOUT". */
static inline char *read_line(struct client *c, gint64 deadline_us)
{
	for (;;) {
		char *end = strstr(c->received->str, "\r\n");
		struct pollfd p = { .fd = c->fd, .events = POLLIN };
		gint64 remaining_ms = (deadline_us - g_get_monotonic_time()) / 1000;
		char data[4096];
		ssize_t n;

		if (end) {
			char *line = g_strndup(c->received->str, (gsize)(end - c->received->str));

			g_string_erase(c->received, 0, end + 2 - c->received->str);
			return line;
		}
		if (c->fd < 0)
			return NULL;
		if (remaining_ms <= 0 || poll(&p, 1, (int)remaining_ms) <= 0)
			return g_strdup("TIMEOUT");
		n = recv(c->fd, data, sizeof(data), 0);
		if (n <= 0) {
			record_end(c, n < 0);
			close(c->fd);
			c->fd = -1;
			return NULL;
		}
		g_string_append_len(c->received, data, n);
	}
}

/*
 * Reads an answer and returns a summary of it: the rows; then "ok" for a completion with a server's
 * signature, "done" for one without, or the error code; then the session state (I: idle, T: in a
 * transaction, E: in a failed transaction), or "CLOSED" or "TIMEOUT" if it is missing.
 */
static inline char *read_answer(struct client *c, uint32_t timeout_ms)
{
	gint64 deadline_us = g_get_monotonic_time() + timeout_ms * G_GINT64_CONSTANT(1000);
	GString *out = g_string_new(NULL);

	for (;;) {
		char *line = read_line(c, deadline_us);
		char **words;

		if (!line || strcmp(line, "TIMEOUT") == 0) {
			g_string_append(out, line ? "TIMEOUT" : "CLOSED");
			g_free(line);
			break;
		}
		words = g_strsplit(line, " ", 3);
		if (strcmp(words[0], "DATAROW") == 0)
			g_string_append_printf(out, "%s ", line + strlen("DATAROW "));
		else if (strcmp(words[0], "COMPLETE") == 0)
			g_string_append(out, strcmp(words[1], "-") == 0 ? "done " : "ok ");
		else if (strcmp(words[0], "ERROR") == 0)
			g_string_append_printf(out, "%s ", words[1]);
		else
			g_string_append(out, words[1]);
		if (strcmp(words[0], "READY") == 0) {
			g_strfreev(words);
			g_free(line);
			break;
		}
		g_strfreev(words);
		g_free(line);
	}
	return g_string_free(out, FALSE);
}

static inline void send_statement(struct client *c, const char *statement)
{
	static unsigned id;
	char *line = g_strdup_printf("QUERY t%x %s\r\n", ++id, statement);

	if (c->fd >= 0)
		(void)send(c->fd, line, strlen(line), MSG_NOSIGNAL);
	g_free(line);
}

static inline char *run_statement(struct client *c, const char *statement)
{
	send_statement(c, statement);
	return read_answer(c, ANSWER_TIMEOUT_MS);
}

/* Sends the start of a session. Returns the answer as read_answer() does. */
static inline char *start_session(struct client *c, const char *database, const char *key)
{
	char *line = g_strdup_printf("STARTUP %s %s\r\n", database, key);

	if (c->fd >= 0)
		(void)send(c->fd, line, strlen(line), MSG_NOSIGNAL);
	g_free(line);
	return read_answer(c, ANSWER_TIMEOUT_MS);
}

/* Opens a connection to a VM and starts a session with a key of "amber". */
static inline struct client *open_session(uint32_t vm, const char *database)
{
	struct client *c = client_new(&vms[vm]);
	char *actual = start_session(c, database, "amber-key");

	ck_assert_str_eq(actual, "I");
	g_free(actual);
	return c;
}

static inline void expect_answer(struct client *c, const char *statement, const char *expected)
{
	char *actual = run_statement(c, statement);

	ck_assert_msg(strcmp(actual, expected) == 0, "%s: %s, not %s", statement, actual, expected);
	g_free(actual);
}

/*
 * Repeats a write until it is acknowledged, on a new session if the old one is closed. Returns the
 * time that this took, in ms. Fails the test after `timeout_ms`.
 */
static inline uint32_t write_until_ok(struct client **c, uint32_t vm, const char *statement,
				      uint32_t timeout_ms)
{
	gint64 start_us = g_get_monotonic_time();

	for (;;) {
		char *actual = run_statement(*c, statement);
		bool ok = strcmp(actual, "ok I") == 0;
		uint32_t elapsed_ms = (uint32_t)((g_get_monotonic_time() - start_us) / 1000);

		if (!ok && strcmp(actual, "CLOSED") == 0) {
			client_free(*c);
			*c = open_session(vm, "desk");
		}
		ck_assert_msg(ok || elapsed_ms < timeout_ms, "answer %s after %u ms", actual,
			      elapsed_ms);
		g_free(actual);
		if (ok)
			return elapsed_ms;
		g_usleep(50000);
	}
}

/* Returns the id of the server that is up and primary in the newest term, or NULL. */
static inline char *find_primary(void)
{
	char *text = http_request(platform->port, "/state", NULL);
	json_t *root = json_loads(text, 0, NULL);
	const json_t *s;
	json_int_t term = 0;
	char *id = NULL;
	size_t i;

	json_array_foreach (json_object_get(root, "servers"), i, s) {
		json_int_t t = json_integer_value(json_object_get(s, "term"));

		if (!json_is_true(json_object_get(s, "primary")) ||
		    !json_is_true(json_object_get(s, "up")) || t < term)
			continue;
		term = t;
		g_free(id);
		id = g_strdup(json_string_value(json_object_get(s, "id")));
	}
	json_decref(root);
	g_free(text);
	return id;
}

/* Checks that the fencing tokens of the promotion requests never decrease. Returns their number. */
static inline size_t count_promotion_requests(void)
{
	char *text = http_request(platform->port, "/state", NULL);
	json_t *root = json_loads(text, 0, NULL);
	const json_t *requests = json_object_get(root, "orders"), *request;
	json_int_t last = 0;
	size_t i, count = json_array_size(requests);

	json_array_foreach (requests, i, request) {
		json_int_t fence = json_integer_value(json_object_get(request, "fence"));

		ck_assert_int_ge(fence, last);
		last = fence;
	}
	json_decref(root);
	g_free(text);
	return count;
}

/* Returns the value of a counter of a VM, or 0 if it cannot be read. */
static inline uint32_t counter_value(const struct vm *v, const char *name)
{
	char *text = http_request(v->metrics_port, "/metrics", NULL);
	char *line = g_strdup_printf("\npimentowing_%s ", name);
	const char *found = text ? strstr(text, line) : NULL;
	uint32_t value = found ? (uint32_t)g_ascii_strtoull(found + strlen(line), NULL, 10) : 0;

	g_free(line);
	g_free(text);
	return value;
}

/* Returns the number of lines in the log of a VM that contain the text. */
static inline uint32_t count_log_lines(const struct vm *v, const char *text)
{
	char *log = pw_harness_read_output(v->process);
	uint32_t count = 0;

	for (const char *found = log; found && (found = strstr(found, text)); found += strlen(text))
		count++;
	g_free(log);
	return count;
}

/* Prints what a stopping VM has logged of its stop. */
static inline void show_stop_log(const struct vm *v)
{
	char *log = pw_harness_read_output(v->process);
	char **lines = g_strsplit(log ? log : "", "\n", -1);

	for (char **line = lines; *line; line++) {
		if (strstr(*line, "name=stop_step") || strstr(*line, "name=drain_") ||
		    strstr(*line, "name=stopped") || strstr(*line, "name=request_unanswered") ||
		    strstr(*line, "name=request_crossed"))
			fprintf(stderr, "%s\n", *line);
	}
	g_strfreev(lines);
	g_free(log);
}

/* Returns whether a server has received the statement. */
static inline bool has_started(const char *id)
{
	char *path = g_strdup_printf("/started?id=%s", id);
	char *body = http_request(platform->port, path, NULL);
	bool started = body != NULL;

	g_free(body);
	g_free(path);
	return started;
}

/* DrainMs of the platform's settings: after this time a server that is gone gets no statement. */
#define GONE_TIMEOUT_MS 7000

/* Whether the log of each VM contains the text. */
static inline bool have_all_logged(const char *text)
{
	for (uint32_t i = 0; i < VM_COUNT; i++) {
		if (!count_log_lines(&vms[i], text))
			return false;
	}
	return true;
}

#define CTL_PATH PW_BUILD_DIR "/ctl/pimentowingctl"

/* Runs pimentowingctl. Returns its exit status; `out` receives both of its outputs. */
static inline int run_ctl(char **out, const char *addresses, const char *arguments)
{
	char *command = g_strdup_printf(CTL_PATH " --api %s %s", addresses, arguments);
	char *text = NULL, *errors = NULL;
	int status = 0;

	ck_assert(g_spawn_command_line_sync(command, &text, &errors, &status, NULL));
	*out = g_strconcat(text, errors, NULL);
	g_free(text);
	g_free(errors);
	g_free(command);
	return WEXITSTATUS(status);
}

#endif
