/*
 * Suite of a fleet of proxies on the platform's stand-in, as real processes: sessions,
 * transactions, consistency, and the faults that the bench of the users has shown to matter.
 */
#include "suite.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness.h"
#include "harness_relay.h"

#define VMS       3  /* of the usual fleet */
#define VMS_MAX   20 /* more than get a datagram each time */
#define ANSWER_MS 3000
#define READY_MS  8000

/* The catalogue of the tests. VERSION, KEYS and MORE are replaced. */
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
	"\"SyncReplicas\":0}],\"Limits\":{\"TxIdleMs\":%d},\"Tenants\":["                        \
	"{\"Name\":\"amber\",\"ApiKeys\":[%s],\"RatePerS\":2000,\"Burst\":2000},"                \
	"{\"Name\":\"slow\",\"ApiKeys\":[\"slow-key\"],\"RatePerS\":5,\"Burst\":5}]}"

#define KEYS_BOTH "\"amber-key\",\"other-key\""

struct vm {
	struct pw_harness_process *process;
	uint16_t port, api, peer, metrics;
};

static struct pw_harness *harness;
static struct pw_harness_process *platform;
static struct vm vms[VMS_MAX];
static int version;

static size_t collect(char *data, size_t size, size_t count, void *out)
{
	g_string_append_len(out, data, (gssize)(size * count));
	return size * count;
}

/* A request to the stand-in or to a proxy; @return the body, or NULL unless the status is 200 */
static char *http(uint16_t port, const char *path, const char *body)
{
	CURL *e = curl_easy_init();
	GString *out = g_string_new(NULL);
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	long status = 0;

	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, 2000L);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, out);
	if (body)
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, body);
	if (curl_easy_perform(e) == CURLE_OK)
		curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(e);
	g_free(url);
	return g_string_free(out, status != 200);
}

static void fault(const char *name, const char *value)
{
	char *path = g_strdup_printf("/fault?name=%s&value=%s", name, value);
	char *answer = http(platform->port, path, "");

	ck_assert_msg(answer != NULL, "%s %s", name, value);
	g_free(answer);
	g_free(path);
}

static void put_catalog(const char *keys, int idle_ms)
{
	char *text = g_strdup_printf(CATALOG, ++version, idle_ms, keys);
	char *answer = http(platform->port, "/fault?name=config&value=1", text);

	ck_assert_ptr_nonnull(answer);
	g_free(answer);
	g_free(text);
}

static bool is_ready(const struct vm *v)
{
	char *answer = http(v->api, "/readyz", NULL);
	bool ready = answer != NULL;

	g_free(answer);
	return ready;
}

static void start_vm_at(uint32_t i, uint16_t store_port)
{
	struct vm *v = &vms[i];
	char *name = g_strdup_printf("vm-%u", i + 1);
	char *caller = g_strdup_printf("127.0.0.1:%u", v->port);
	char *api = g_strdup_printf("127.0.0.1:%u", v->api);
	char *peer = g_strdup_printf("127.0.0.1:%u", v->peer);
	char *metrics = g_strdup_printf("127.0.0.1:%u", v->metrics);
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
		"--drain-grace",
		"300ms",
		"--drain-timeout",
		"2s",
		"--log-level",
		"info",
		NULL,
	};

	v->process = pw_harness_start(harness, "daemon/pimentowingd", v->port, args, NULL);
	g_free(name);
	g_free(caller);
	g_free(api);
	g_free(peer);
	g_free(metrics);
	g_free(store);
}

static void start_vm(uint32_t i)
{
	start_vm_at(i, platform->port);
}

/* A platform with one group, and a fleet of `count` VMs that is ready. */
static void start_fleet_of(uint32_t count)
{
	uint16_t port, servers[3];
	char *port_text, *group;

	harness = pw_harness_new();
	port = pw_harness_port();
	for (int i = 0; i < 3; i++)
		servers[i] = pw_harness_port();
	port_text = g_strdup_printf("%u", port);
	group = g_strdup_printf("core=%u,%u,%u", servers[0], servers[1], servers[2]);
	const char *const args[] = { port_text, group, NULL };

	platform = pw_harness_start(harness, "standins/standin-platform", port, args, NULL);
	g_free(port_text);
	g_free(group);
	version = 0;
	put_catalog(KEYS_BOTH, 3000);
	for (uint32_t i = 0; i < count; i++) {
		vms[i] = (struct vm){ .port = pw_harness_port(),
				      .api = pw_harness_port(),
				      .peer = pw_harness_port(),
				      .metrics = pw_harness_port() };
		start_vm(i);
	}
	for (uint32_t i = 0; i < count; i++)
		ck_assert_msg(PW_HARNESS_UNTIL(is_ready(&vms[i]), READY_MS), "vm-%u", i + 1);
}

static void start_fleet(void)
{
	start_fleet_of(VMS);
}

static void stop_fleet(void)
{
	pw_harness_free(harness);
}

struct client {
	int fd;
	GString *in;
};

static struct client *client_new(const struct vm *v)
{
	struct client *c = g_new0(struct client, 1);
	struct sockaddr_in at = {
		.sin_family = AF_INET,
		.sin_port = htons(v->port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int one = 1;

	c->in = g_string_new(NULL);
	c->fd = socket(AF_INET, SOCK_STREAM, 0);
	(void)setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(c->fd, (struct sockaddr *)&at, sizeof(at))) {
		close(c->fd);
		c->fd = -1;
	}
	return c;
}

static void client_free(struct client *c)
{
	if (c->fd >= 0)
		close(c->fd);
	g_string_free(c->in, TRUE);
	g_free(c);
}

/* Takes the next line; NULL at the end of the connection, or "TIMEOUT". */
static char *next_line(struct client *c, gint64 until_us)
{
	for (;;) {
		char *end = strstr(c->in->str, "\r\n");
		struct pollfd p = { .fd = c->fd, .events = POLLIN };
		gint64 left_ms = (until_us - g_get_monotonic_time()) / 1000;
		char data[4096];
		ssize_t n;

		if (end) {
			char *line = g_strndup(c->in->str, (gsize)(end - c->in->str));

			g_string_erase(c->in, 0, end + 2 - c->in->str);
			return line;
		}
		if (c->fd < 0)
			return NULL;
		if (left_ms <= 0 || poll(&p, 1, (int)left_ms) <= 0)
			return g_strdup("TIMEOUT");
		n = recv(c->fd, data, sizeof(data), 0);
		if (n <= 0) {
			close(c->fd);
			c->fd = -1;
			return NULL;
		}
		g_string_append_len(c->in, data, n);
	}
}

/*
 * Reads an answer: its rows, then "ok" or the code of the error, then the state; "CLOSED" after the
 * end of the connection.
 */
static char *answer(struct client *c, uint32_t timeout_ms)
{
	gint64 until = g_get_monotonic_time() + timeout_ms * G_GINT64_CONSTANT(1000);
	GString *out = g_string_new(NULL);

	for (;;) {
		char *line = next_line(c, until);
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

static char *ask(struct client *c, const char *text)
{
	static unsigned id;
	char *line = g_strdup_printf("QUERY t%x %s\r\n", ++id, text);

	if (c->fd >= 0)
		(void)send(c->fd, line, strlen(line), MSG_NOSIGNAL);
	g_free(line);
	return answer(c, ANSWER_MS);
}

static char *open_session(struct client *c, const char *database, const char *key)
{
	char *line = g_strdup_printf("STARTUP %s %s\r\n", database, key);

	if (c->fd >= 0)
		(void)send(c->fd, line, strlen(line), MSG_NOSIGNAL);
	g_free(line);
	return answer(c, ANSWER_MS);
}

static struct client *session(uint32_t vm, const char *database)
{
	struct client *c = client_new(&vms[vm]);
	char *got = open_session(c, database, "amber-key");

	ck_assert_str_eq(got, "I");
	g_free(got);
	return c;
}

static void expect(struct client *c, const char *text, const char *wanted)
{
	char *got = ask(c, text);

	ck_assert_msg(strcmp(got, wanted) == 0, "%s: %s, not %s", text, got, wanted);
	g_free(got);
}

#define STEPS_MAX 10

static const struct {
	const char *label;
	const char *database;
	struct {
		const char *text, *wanted;
	} steps[STEPS_MAX];
} sessions[] = {
	{ "a write and reads of it",
	  "desk",
	  { { "WRITE a1 first value", "ok I" },
	    { "READ a1", "first value ok I" },
	    { "READ none-such", "none ok I" } } },
	{ "own writes on a route that reads replicas",
	  "sync",
	  { { "WRITE a2 v", "ok I" }, { "READ a2", "v ok I" }, { "READ a2", "v ok I" } } },
	{ "a transaction that commits",
	  "desk",
	  { { "BEGIN", "done T" },
	    { "WRITE a3 v", "ok T" },
	    { "READ none-such", "none ok T" },
	    { "COMMIT", "ok I" },
	    { "READ a3", "v ok I" } } },
	{ "a transaction that rolls back",
	  "desk",
	  { { "BEGIN", "done T" },
	    { "WRITE a4 v", "ok T" },
	    { "ROLLBACK", "done I" },
	    { "READ a4", "none ok I" } } },
	{ "a transaction without statements",
	  "desk",
	  { { "BEGIN", "done T" }, { "COMMIT", "ok I" } } },
	{ "a transaction of reads at a replica",
	  "views",
	  { { "BEGIN READ", "done T" },
	    { "READ none-such", "none ok T" },
	    { "WRITE a5 v", "READONLY E" },
	    { "READ none-such", "MALFORMED E" },
	    { "ROLLBACK", "done I" } } },
	{ "the end of no transaction",
	  "desk",
	  { { "COMMIT", "MALFORMED I" }, { "ROLLBACK", "MALFORMED I" } } },
	{ "values of the session",
	  "desk",
	  { { "SET zone north west", "done I" },
	    { "SET unit t", "done I" },
	    { "READ @values", "unit=t;zone=north west; ok I" },
	    { "SET unit kg", "done I" },
	    { "READ @values", "unit=kg;zone=north west; ok I" } } },
	{ "no values of others", "desk", { { "READ @values", " ok I" } } },
	{ "prepared statements",
	  "desk",
	  { { "PREPARE s1 WRITE q1", "done I" },
	    { "PREPARE s2 READ q2", "done I" },
	    { "EXECUTE s1 a6 v", "ok I" },
	    { "EXECUTE s2 a6", "v ok I" },
	    { "CLOSE s1", "done I" },
	    { "EXECUTE s1 a6 w", "NOSTMT I" },
	    { "CLOSE s1", "NOSTMT I" } } },
	{ "the same name, prepared by another session",
	  "desk",
	  { { "EXECUTE s2 a6", "NOSTMT I" },
	    { "PREPARE s2 WRITE q9", "done I" },
	    { "EXECUTE s2 a7 v", "ok I" },
	    { "READ a7", "v ok I" } } },
	{ "the account reaches the server, not the key",
	  "desk",
	  { { "READ @account", "amber ok I" } } },
	{ "statements that cannot be read",
	  "desk",
	  { { "DROP everything", "MALFORMED I" },
	    { "WAITLSN 1.1 READ a1", "MALFORMED I" },
	    { "READ none-such", "none ok I" } } },
};

/* Each session goes on at the connections that the one before has used. */
START_TEST(test_sessions)
{
	start_fleet();
	for (size_t i = 0; i < PW_ARRAY_LEN(sessions); i++) {
		struct client *c = session((uint32_t)i % VMS, sessions[i].database);

		for (size_t k = 0; k < STEPS_MAX && sessions[i].steps[k].text; k++) {
			char *got = ask(c, sessions[i].steps[k].text);

			ck_assert_msg(strcmp(got, sessions[i].steps[k].wanted) == 0,
				      "%s: %s: %s, not %s", sessions[i].label,
				      sessions[i].steps[k].text, got, sessions[i].steps[k].wanted);
			g_free(got);
		}
		client_free(c);
	}
	stop_fleet();
}
END_TEST

static const struct {
	const char *label, *line, *wanted;
} starts[] = {
	{ "unknown database", "STARTUP nowhere amber-key\r\n", "NODB CLOSED" },
	{ "unknown key", "STARTUP desk wrong-key\r\n", "AUTHFAIL CLOSED" },
	{ "no key", "STARTUP desk\r\n", "AUTHFAIL CLOSED" },
	{ "a statement before the start", "QUERY 1 READ a\r\n", "MALFORMED CLOSED" },
	{ "another protocol", "GET / HTTP/1.1\r\n\r\n", "MALFORMED CLOSED" },
	{ "an empty line", "\r\n", "MALFORMED CLOSED" },
};

/* Bad input is refused with the protocol's error, and others are served on. */
START_TEST(test_bad_starts)
{
	struct client *other;
	char *big;

	start_fleet();
	other = session(0, "desk");
	for (size_t i = 0; i < PW_ARRAY_LEN(starts); i++) {
		struct client *c = client_new(&vms[0]);
		char *got;

		(void)send(c->fd, starts[i].line, strlen(starts[i].line), MSG_NOSIGNAL);
		got = answer(c, ANSWER_MS);
		ck_assert_msg(strcmp(got, starts[i].wanted) == 0, "%s: %s", starts[i].label, got);
		g_free(got);
		client_free(c);
	}
	big = g_strnfill(1100000, 'x');
	struct client *c = session(0, "desk");
	(void)send(c->fd, big, strlen(big), MSG_NOSIGNAL);
	g_free(big);
	big = answer(c, ANSWER_MS);
	ck_assert_str_eq(big, "TOOLARGE CLOSED");
	g_free(big);
	client_free(c);
	expect(other, "READ none-such", "none ok I");
	client_free(other);
	stop_fleet();
}
END_TEST

/* Repeats a write until it is acknowledged; @return how long that took in ms */
static uint32_t write_until_ok(struct client **c, uint32_t vm, const char *text, uint32_t limit_ms)
{
	gint64 start = g_get_monotonic_time();

	for (;;) {
		char *got = ask(*c, text);
		bool ok = strcmp(got, "ok I") == 0;
		uint32_t took = (uint32_t)((g_get_monotonic_time() - start) / 1000);

		if (!ok && strcmp(got, "CLOSED") == 0) {
			client_free(*c);
			*c = session(vm, "desk");
		}
		ck_assert_msg(ok || took < limit_ms, "%s after %u ms", got, took);
		g_free(got);
		if (ok)
			return took;
		g_usleep(50000);
	}
}

/* The state of the stand-in: the server that leads the newest term. */
static char *leader(void)
{
	char *text = http(platform->port, "/state", NULL);
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

/* Writes at every VM while another server does not lead. */
static bool leads_another(const char *old, struct client **c)
{
	char *id = leader();
	bool another = id && strcmp(id, old) != 0;

	for (uint32_t i = 0; !another && i < VMS; i++)
		g_free(ask(c[i], "WRITE meanwhile v"));
	g_free(id);
	return another;
}

/* Orders so far; their fences must grow. */
static size_t check_orders(void)
{
	char *text = http(platform->port, "/state", NULL);
	json_t *root = json_loads(text, 0, NULL);
	const json_t *orders = json_object_get(root, "orders"), *o;
	json_int_t last = 0;
	size_t i, count = json_array_size(orders);

	json_array_foreach (orders, i, o) {
		json_int_t fence = json_integer_value(json_object_get(o, "fence"));

		ck_assert_int_ge(fence, last);
		last = fence;
	}
	json_decref(root);
	g_free(text);
	return count;
}

static const struct {
	const char *label;
	const char *fault;
	uint32_t served_ms; /**< time for another server to lead, and again for writes */
} primaries[] = {
	{ "the primary crashes", "crash", 6000 },
	{ "the primary goes dark", "dark", 6000 },
	{ "the primary is about to stop", "leave", 6000 },
	{ "the primary is gone for good", "gone", 6000 },
};

/*
 * A change of primary. Every acknowledged write is there afterwards, but for a log that was lost
 * within the lag of the replicas; every VM writes to the new primary; the fences grow.
 */
START_TEST(test_primary)
{
	struct client *c[VMS];
	char *old;

	start_fleet();
	for (uint32_t i = 0; i < VMS; i++) {
		c[i] = session(i, "desk");
		expect(c[i], "WRITE before v", "ok I");
	}
	/* The replicas have it before the fault, so that a crash loses nothing of it. */
	g_usleep(100000);
	old = leader();
	fault(primaries[_i].fault, old);
	ck_assert_msg(PW_HARNESS_UNTIL(leads_another(old, c), primaries[_i].served_ms), "%s",
		      primaries[_i].label);
	for (uint32_t i = 0; i < VMS; i++) {
		char *text = g_strdup_printf("WRITE after-%u v", i);

		(void)write_until_ok(&c[i], i, text, primaries[_i].served_ms);
		g_free(text);
	}
	for (uint32_t i = 0; i < VMS; i++) {
		expect(c[i], "READ before", "v ok I");
		for (uint32_t k = 0; k < VMS; k++) {
			char *text = g_strdup_printf("READ after-%u", k);

			expect(c[i], text, "v ok I");
			g_free(text);
		}
		client_free(c[i]);
	}
	ck_assert_uint_ge(check_orders(), 1);
	g_free(old);
	stop_fleet();
}
END_TEST

/* An open transaction on the primary that is lost ends with a promise, and can be repeated. */
START_TEST(test_transaction_lost)
{
	struct client *c;
	char *old;

	start_fleet();
	c = session(0, "desk");
	expect(c, "BEGIN", "done T");
	expect(c, "WRITE lost v", "ok T");
	old = leader();
	fault("crash", old);
	g_free(old);
	g_usleep(300000);
	expect(c, "READ lost", "ABORTED E");
	expect(c, "READ lost", "MALFORMED E");
	expect(c, "ROLLBACK", "done I");
	(void)write_until_ok(&c, 0, "WRITE later v", 6000);
	expect(c, "READ lost", "none ok I");
	client_free(c);
	stop_fleet();
}
END_TEST

/* An idle transaction is ended after the time of the catalogue. */
START_TEST(test_idle_transaction)
{
	struct client *c;

	start_fleet();
	put_catalog(KEYS_BOTH, 400);
	g_usleep(300000);
	c = session(0, "desk");
	expect(c, "BEGIN", "done T");
	expect(c, "WRITE idle v", "ok T");
	g_usleep(900000);
	expect(c, "COMMIT", "ABORTED I");
	expect(c, "READ idle", "none ok I");
	client_free(c);
	stop_fleet();
}
END_TEST

/* A withdrawn key stops on open sessions, in a transaction too; other keys go on. */
START_TEST(test_withdrawn_key)
{
	struct client *idle, *busy, *other;
	char *got;

	start_fleet();
	idle = session(0, "desk");
	busy = session(1, "desk");
	other = client_new(&vms[0]);
	got = open_session(other, "desk", "other-key");
	ck_assert_str_eq(got, "I");
	g_free(got);
	expect(busy, "BEGIN", "done T");
	expect(busy, "WRITE kept v", "ok T");
	put_catalog("\"other-key\"", 3000);
	g_usleep(1000000);
	expect(idle, "READ kept", "CLOSED");
	expect(busy, "COMMIT", "AUTHFAIL CLOSED");
	expect(other, "READ kept", "none ok I");
	client_free(idle);
	client_free(busy);
	client_free(other);
	stop_fleet();
}
END_TEST

/*
 * A watch that hears nothing while the history is dropped must not hide a change: the VMs read the
 * catalogue again by turns. Seen as a key that was served for 7 s after its withdrawal.
 */
START_TEST(test_lost_history)
{
	struct client *c;

	start_fleet();
	c = session(0, "desk");
	put_catalog("\"other-key\"", 3000);
	fault("compact", "1");
	g_usleep(3800000);
	expect(c, "READ a", "CLOSED");
	client_free(c);
	stop_fleet();
}
END_TEST

static const uint32_t fleet_sizes[] = { VMS, VMS_MAX };

/*
 * The store is down for longer than a permission: the VMs promise each other to change no primary,
 * and serve on. A primary that crashes meanwhile is replaced when the store is back.
 */
START_TEST(test_store_down)
{
	const uint32_t count = fleet_sizes[_i];
	struct client *c[VMS_MAX];
	char *old;

	start_fleet_of(count);
	for (uint32_t i = 0; i < count; i++)
		c[i] = session(i, "desk");
	fault("store", "down");
	for (int k = 0; k < 25; k++) {
		for (uint32_t i = 0; i < count; i++)
			expect(c[i], "WRITE a v", "ok I");
		g_usleep(200000);
	}
	old = leader();
	fault("crash", old);
	g_usleep(500000);
	g_free(ask(c[0], "WRITE b v"));
	ck_assert_uint_eq(check_orders(), 0);
	fault("store", "up");
	(void)write_until_ok(&c[0], 0, "WRITE d v", 8000);
	expect(c[0], "READ a", "v ok I");
	g_free(old);
	for (uint32_t i = 0; i < count; i++)
		client_free(c[i]);
	stop_fleet();
}
END_TEST

/* A VM that reaches neither the store nor the others must not go on: a primary may be replaced. */
START_TEST(test_alone)
{
	struct client *c;
	char *got;

	start_fleet();
	c = session(0, "desk");
	expect(c, "WRITE a v", "ok I");
	fault("store", "down");
	pw_harness_signal(vms[1].process, SIGSTOP);
	pw_harness_signal(vms[2].process, SIGSTOP);
	/* The permission, and a promise that was given at its end. */
	g_usleep(3500000);
	got = ask(c, "WRITE b v");
	ck_assert_msg(strcmp(got, "BUSY I") == 0, "%s", got);
	g_free(got);
	pw_harness_signal(vms[1].process, SIGCONT);
	pw_harness_signal(vms[2].process, SIGCONT);
	ck_assert_uint_lt(write_until_ok(&c, 0, "WRITE d v", 4000), 2500);
	expect(c, "READ b", "none ok I");
	client_free(c);
	stop_fleet();
}
END_TEST

/* A commit that was not sent has not run, so its transaction can be repeated. */
START_TEST(test_commit_without_permission)
{
	struct client *c;

	start_fleet();
	c = session(0, "desk");
	expect(c, "BEGIN", "done T");
	expect(c, "WRITE a v", "ok T");
	fault("store", "down");
	pw_harness_signal(vms[1].process, SIGSTOP);
	pw_harness_signal(vms[2].process, SIGSTOP);
	g_usleep(2800000);
	expect(c, "COMMIT", "ABORTED I");
	client_free(c);
	stop_fleet();
}
END_TEST

/* An account above its rate is refused with a time to come back, and others are not. */
START_TEST(test_rate)
{
	struct client *slow, *other;
	uint32_t served = 0, refused = 0;
	char *got;

	start_fleet();
	slow = client_new(&vms[0]);
	got = open_session(slow, "desk", "slow-key");
	ck_assert_str_eq(got, "I");
	g_free(got);
	other = session(0, "desk");
	for (int i = 0; i < 200; i++) {
		got = ask(slow, "READ a");
		served += strcmp(got, "none ok I") == 0;
		refused += strcmp(got, "BUSY I") == 0;
		g_free(got);
		expect(other, "READ a", "none ok I");
	}
	ck_assert_uint_eq(served + refused, 200);
	ck_assert_uint_ge(served, 3);
	ck_assert_uint_le(served, 30);
	client_free(slow);
	client_free(other);
	stop_fleet();
}
END_TEST

/* A VM that joins a fleet under load is not ready before it serves, and refuses nothing then. */
START_TEST(test_join)
{
	struct client *c;

	start_fleet();
	pw_harness_kill(vms[2].process);
	start_vm(2);
	ck_assert(PW_HARNESS_UNTIL(is_ready(&vms[2]), READY_MS));
	c = session(2, "desk");
	for (int i = 0; i < 50; i++)
		expect(c, "WRITE a v", "ok I");
	client_free(c);
	stop_fleet();
}
END_TEST

/* Whether the metrics of a VM have a line that starts with the text. */
static bool has_metric(const struct vm *v, const char *start)
{
	char *text = http(v->metrics, "/metrics", NULL);
	char *line = g_strdup_printf("\n%s", start);
	bool found = text && strstr(text, line);

	g_free(line);
	g_free(text);
	return found;
}

/* Counters and histograms are served without credentials, and hold no key. */
START_TEST(test_metrics)
{
	struct client *c;
	char *text;

	start_fleet();
	c = session(0, "desk");
	expect(c, "WRITE a v", "ok I");
	expect(c, "READ a", "v ok I");
	ck_assert(has_metric(&vms[0], "pimentowing_writes_total 1"));
	ck_assert(has_metric(&vms[0], "pimentowing_request_seconds_count 2"));
	ck_assert(has_metric(&vms[0], "pimentowing_server_seconds_bucket{le=\"+Inf\"} 2"));
	ck_assert(has_metric(&vms[1], "pimentowing_request_seconds_count 0"));
	text = http(vms[0].metrics, "/metrics", NULL);
	ck_assert_ptr_null(strstr(text, "amber-key"));
	g_free(text);
	text = pw_harness_stderr(vms[0].process);
	ck_assert_ptr_nonnull(strstr(text, "name=request_served"));
	ck_assert_ptr_null(strstr(text, "amber-key"));
	g_free(text);
	client_free(c);
	stop_fleet();
}
END_TEST

/* Value of a counter of a VM. */
static uint32_t counter(const struct vm *v, const char *name)
{
	char *text = http(v->metrics, "/metrics", NULL);
	char *line = g_strdup_printf("\npimentowing_%s ", name);
	const char *at = text ? strstr(text, line) : NULL;
	uint32_t value = at ? (uint32_t)g_ascii_strtoull(at + strlen(line), NULL, 10) : 0;

	g_free(line);
	g_free(text);
	return value;
}

/*
 * Guards against reads that go to the primary because their VM has heard nothing from it, although
 * another VM has.
 */
START_TEST(test_positions_of_others)
{
	struct client *reader, *writer;

	start_fleet();
	writer = session(1, "desk");
	for (int i = 0; i < 20; i++) {
		expect(writer, "WRITE a v", "ok I");
		g_usleep(50000);
	}
	for (uint32_t i = 0; i < VMS; i += 2) {
		reader = session(i, "views");
		expect(reader, "READ a", "v ok I");
		ck_assert_uint_eq(counter(&vms[i], "reads_replica_total"), 1);
		client_free(reader);
	}
	client_free(writer);
	stop_fleet();
}
END_TEST

#define STORM_VERSIONS 20

static const struct {
	const char *label;
	uint32_t vms;
	bool turned_away;   /* the store closes the connections of the first VM */
	uint32_t reads_max; /* of the first VM, in 2 s */
} storm_cases[] = {
	/* Without changes it reads the catalogue and the servers in turn with the others. */
	{ "the watch brings the changes", VMS, false, 6 },
	/* Pauses after failures begin with 150 ms and double: 5 of each of two reads. */
	{ "a VM that the store turns away", VMS, true, 10 },
	{ "the same in a large fleet", VMS_MAX, true, 10 },
};

/*
 * Guards against a read of the store by every VM for every change, which the watch brings anyway,
 * and against reads without a pause by a VM that the store turns away.
 */
START_TEST(test_storm_of_changes)
{
	struct pw_harness_relay *relay;
	uint32_t before, reads;

	start_fleet_of(storm_cases[_i].vms);
	relay = pw_harness_relay_new(platform->port);
	pw_harness_kill(vms[0].process);
	start_vm_at(0, pw_harness_relay_port(relay));
	ck_assert(PW_HARNESS_UNTIL(is_ready(&vms[0]), READY_MS));
	if (storm_cases[_i].turned_away)
		pw_harness_relay_set(relay, PW_RELAY_CUT);
	before = counter(&vms[0], "store_reads_total");
	for (int i = 0; i < STORM_VERSIONS; i++) {
		put_catalog(KEYS_BOTH, 3000);
		g_usleep(100000);
	}
	reads = counter(&vms[0], "store_reads_total") - before;
	ck_assert_msg(reads <= storm_cases[_i].reads_max, "%s: %u reads", storm_cases[_i].label,
		      reads);
	pw_harness_relay_free(relay);
	stop_fleet();
}
END_TEST

/* A planned stop: an open transaction ends, its session is closed between operations. */
START_TEST(test_stop)
{
	struct client *c, *idle;

	start_fleet();
	c = session(0, "desk");
	idle = session(0, "desk");
	expect(c, "BEGIN", "done T");
	expect(c, "WRITE a v", "ok T");
	pw_harness_signal(vms[0].process, SIGTERM);
	ck_assert(PW_HARNESS_UNTIL(!is_ready(&vms[0]), 500));
	g_usleep(500000);
	expect(c, "COMMIT", "ok I");
	expect(c, "READ a", "CLOSED");
	expect(idle, "READ a", "CLOSED");
	ck_assert(pw_harness_wait_end(vms[0].process, 4000));
	ck_assert_int_eq(vms[0].process->status, 0);
	client_free(c);
	client_free(idle);
	c = session(1, "desk");
	expect(c, "READ a", "v ok I");
	client_free(c);
	stop_fleet();
}
END_TEST

/*
 * A suspended VM must not use what it knew before: another primary may lead when it wakes up. Its
 * clients' sessions see every acknowledged write.
 */
START_TEST(test_suspended)
{
	struct client *c, *other;
	char *old;

	start_fleet();
	c = session(0, "desk");
	other = session(1, "desk");
	expect(c, "WRITE a old", "ok I");
	expect(other, "READ a", "old ok I");
	pw_harness_signal(vms[0].process, SIGSTOP);
	old = leader();
	fault("dark", old);
	(void)write_until_ok(&other, 1, "WRITE a new", 8000);
	fault("light", old);
	g_free(old);
	pw_harness_signal(vms[0].process, SIGCONT);
	for (int i = 0; i < 20; i++) {
		char *got = ask(c, "READ a");

		ck_assert_msg(strcmp(got, "old ok I") != 0, "read %d", i);
		g_free(got);
	}
	(void)write_until_ok(&c, 0, "WRITE b v", 6000);
	expect(c, "READ a", "new ok I");
	client_free(c);
	client_free(other);
	stop_fleet();
}
END_TEST

/*
 * A VM without a way to the store lives on the permission that others lend it. When it dies, the
 * others must not go on lending, or they never confirm the mark of a change. Seen as changes that
 * were given up for 10 s.
 */
START_TEST(test_lender)
{
	struct pw_harness_relay *relay;
	struct client *c, *lent;
	char *old;

	start_fleet();
	relay = pw_harness_relay_new(platform->port);
	pw_harness_kill(vms[0].process);
	start_vm_at(0, pw_harness_relay_port(relay));
	ck_assert(PW_HARNESS_UNTIL(is_ready(&vms[0]), READY_MS));
	lent = session(0, "desk");
	expect(lent, "WRITE a v", "ok I");
	pw_harness_relay_set(relay, PW_RELAY_CUT);
	g_usleep(3000000);
	/* Its own permission is long over. */
	expect(lent, "WRITE b v", "ok I");
	pw_harness_signal(vms[0].process, SIGSTOP);
	c = session(1, "desk");
	old = leader();
	fault("crash", old);
	g_free(old);
	(void)write_until_ok(&c, 1, "WRITE c v", 6000);
	client_free(c);
	client_free(lent);
	pw_harness_relay_free(relay);
	stop_fleet();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("platform fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, test_sessions);
	tcase_add_test(tc, test_bad_starts);
	tcase_add_loop_test(tc, test_primary, 0, PW_ARRAY_LEN(primaries));
	tcase_add_test(tc, test_transaction_lost);
	tcase_add_test(tc, test_idle_transaction);
	tcase_add_test(tc, test_withdrawn_key);
	tcase_add_test(tc, test_lost_history);
	tcase_add_loop_test(tc, test_store_down, 0, PW_ARRAY_LEN(fleet_sizes));
	tcase_add_test(tc, test_alone);
	tcase_add_test(tc, test_commit_without_permission);
	tcase_add_test(tc, test_rate);
	tcase_add_test(tc, test_join);
	tcase_add_test(tc, test_metrics);
	tcase_add_test(tc, test_positions_of_others);
	tcase_add_loop_test(tc, test_storm_of_changes, 0, PW_ARRAY_LEN(storm_cases));
	tcase_add_test(tc, test_stop);
	tcase_add_test(tc, test_suspended);
	tcase_add_test(tc, test_lender);
	return pw_suite_run("platform fleet", tc);
}
