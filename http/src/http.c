#include "pw/http/http.h"

#include <curl/curl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "pw/core/clock.h"
#include "pw/core/error.h"

/*
 * A kept connection may have gone silent, and only a request without an answer shows it. Older
 * ones are not used again.
 */
#define IDLE_MAX_S           5L
#define IDLE_CONNECTIONS_MAX 4L

/* A connection whose far end is gone while an answer is awaited is found after 1 + 2 * 1 seconds.
 */
#define KEEPALIVE_IDLE_S     1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     2
#define UNACKED_TIMEOUT_MS   3000

struct pw_http {
	struct pw_loop *loop;
	CURLM *multi;
	struct pw_timer timer;
	GHashTable *sockets;   /**< set of struct http_socket */
	GHashTable *transfers; /**< set of struct transfer */
	GQueue readable;       /**< transfers with bytes that their owner wants to see */
	GQueue ended;          /**< transfers whose memory is still in use */
	size_t answer_max_bytes;
	uint64_t fresh_until_us; /**< kept connections are not used until then */
};

struct http_socket {
	struct pw_source source;
	struct pw_http *owner;
};

struct transfer {
	struct pw_http *owner;
	struct pw_http_call *call;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	GByteArray *answer;
	bool overflow;
	bool queued; /**< in `readable` */
	char error_text[CURL_ERROR_SIZE];
};

static size_t receive_body(char *data, size_t size, size_t count, void *arg)
{
	struct transfer *t = arg;
	size_t n = size * count;

	if (t->answer->len + n > t->owner->answer_max_bytes) {
		t->overflow = true;
		return 0;
	}
	g_byte_array_append(t->answer, (const guint8 *)data, (guint)n);
	/* Not delivered here: libcurl refuses calls from inside its callbacks. */
	if (t->call->ops->received && !t->queued) {
		t->queued = true;
		g_queue_push_tail(&t->owner->readable, t);
	}
	return n;
}

/* The memory is freed by free_ended(), since an answer may cancel the call that is worked on. */
static void end_transfer(struct transfer *t)
{
	if (t->queued)
		g_queue_remove(&t->owner->readable, t);
	t->queued = false;
	curl_multi_remove_handle(t->owner->multi, t->easy);
	curl_easy_cleanup(t->easy);
	t->easy = NULL;
	t->call->transfer = NULL;
	g_hash_table_remove(t->owner->transfers, t);
	g_queue_push_tail(&t->owner->ended, t);
}

static void free_transfer(struct transfer *t)
{
	curl_slist_free_all(t->headers);
	g_byte_array_unref(t->answer);
	g_free(t->body);
	g_free(t);
}

static void free_ended(struct pw_http *h)
{
	struct transfer *t;

	while ((t = g_queue_pop_head(&h->ended)))
		free_transfer(t);
}

static void finish(struct transfer *t, CURLcode rc)
{
	struct pw_http_call *c = t->call;
	struct pw_http_answer a = { .code = PW_OK };
	long status = 0, request_size_bytes = 0;

	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(t->easy, CURLINFO_REQUEST_SIZE, &request_size_bytes);
	a.data = (const char *)t->answer->data;
	a.size_bytes = t->answer->len;
	if (t->overflow) {
		a.code = PW_EOVERFLOW;
		a.message = "the answer is too large";
	} else if (rc != CURLE_OK) {
		a.code = request_size_bytes > 0 ? PW_ETIMEOUT : PW_EUNAVAILABLE;
		a.message = *t->error_text ? t->error_text : curl_easy_strerror(rc);
		t->owner->fresh_until_us = pw_clock_now_us() + IDLE_MAX_S * PW_US_PER_S;
	} else {
		a.status = (uint32_t)status;
	}
	end_transfer(t);
	c->ops->done(c, &a);
}

static void show_bytes(struct transfer *t)
{
	long status = 0;

	t->queued = false;
	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	t->call->ops->received(t->call, (uint32_t)status, t->answer);
}

/* Delivers what libcurl has received and finished, after it has returned. */
static void deliver_all(struct pw_http *h)
{
	struct transfer *readable;
	CURLMsg *msg;
	int left;

	while ((readable = g_queue_pop_head(&h->readable)))
		show_bytes(readable);
	while ((msg = curl_multi_info_read(h->multi, &left))) {
		struct transfer *t = NULL;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&t);
		finish(t, msg->data.result);
	}
	free_ended(h);
}

static void socket_ready(struct pw_source *src, uint32_t events)
{
	struct pw_http *h = ((struct http_socket *)src)->owner;
	int mask = 0, running;

	if (events & EPOLLIN)
		mask |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (events & (EPOLLERR | EPOLLHUP))
		mask |= CURL_CSELECT_ERR;
	curl_multi_socket_action(h->multi, src->fd, mask, &running);
	deliver_all(h);
}

static const struct pw_source_ops socket_ops = { .ready = socket_ready };

static void remove_socket(struct pw_http *h, struct http_socket *k)
{
	pw_loop_unwatch(h->loop, &k->source);
	g_free(k);
}

/* Called by libcurl with the events that it waits for on a socket. */
static int set_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *socket_arg)
{
	struct pw_http *h = arg;
	struct http_socket *k = socket_arg;
	uint32_t events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (k && g_hash_table_remove(h->sockets, k))
			remove_socket(h, k);
		curl_multi_assign(h->multi, fd, NULL);
		return 0;
	}
	if (!k) {
		k = g_new0(struct http_socket, 1);
		k->source.ops = &socket_ops;
		k->source.fd = fd;
		k->owner = h;
		g_hash_table_add(h->sockets, k);
		curl_multi_assign(h->multi, fd, k);
	}
	if (what & CURL_POLL_IN)
		events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		events |= EPOLLOUT;
	return pw_loop_watch(h->loop, &k->source, events) ? -1 : 0;
}

static void timer_expire(struct pw_timer *timer, uint64_t now_us)
{
	struct pw_http *h = (struct pw_http *)((char *)timer - offsetof(struct pw_http, timer));
	int running;

	(void)now_us;
	curl_multi_socket_action(h->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	deliver_all(h);
}

static const struct pw_timer_ops timer_ops = { .expire = timer_expire };

/* Called by libcurl with the time at which it wants to run; -1 for none. */
static int set_timer(CURLM *multi, long timeout_ms, void *arg)
{
	struct pw_http *h = arg;

	(void)multi;
	if (timeout_ms < 0)
		pw_loop_timer_clear(h->loop, &h->timer);
	else
		pw_loop_timer_set(h->loop, &h->timer,
				  pw_clock_now_us() + (uint64_t)timeout_ms * PW_US_PER_MS);
	return 0;
}

/* Options that libcurl has no setting for. They only tune the connection. */
static int tune_socket(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	static const struct {
		int level, name, value;
	} options[] = {
		{ SOL_SOCKET, SO_KEEPALIVE, 1 },
		{ IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
		{ IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S },
		{ IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES },
		{ IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS },
	};

	(void)arg;
	(void)purpose;
	for (size_t i = 0; i < G_N_ELEMENTS(options); i++)
		(void)setsockopt(fd, options[i].level, options[i].name, &options[i].value,
				 sizeof(options[i].value));
	return CURL_SOCKOPT_OK;
}

static void set_headers(struct transfer *t, const struct pw_http_request *req)
{
	if (req->body)
		t->headers = curl_slist_append(t->headers, "Content-Type: application/json");
	/* Without this, libcurl waits for a status 100 before it sends a large body. */
	t->headers = curl_slist_append(t->headers, "Expect:");
	for (const char *const *line = req->headers; line && *line; line++)
		t->headers = curl_slist_append(t->headers, *line);
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
}

static long to_ms(uint64_t us)
{
	return (long)MIN(MAX(us / PW_US_PER_MS, 1), INT32_MAX);
}

static void set_options(struct transfer *t, const struct pw_http_request *req)
{
	CURL *e = t->easy;
	bool fresh = !req->repeatable || pw_clock_now_us() < t->owner->fresh_until_us;

	curl_easy_setopt(e, CURLOPT_URL, req->url);
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, req->method);
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	if (t->body) {
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, (long)strlen(t->body));
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, t->body);
	}
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, receive_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(e, CURLOPT_PRIVATE, t);
	curl_easy_setopt(e, CURLOPT_ERRORBUFFER, t->error_text);
	if (req->timeout_us)
		curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, to_ms(req->timeout_us));
	if (req->connect_timeout_us)
		curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, to_ms(req->connect_timeout_us));
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, IDLE_MAX_S);
	curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, fresh ? 1L : 0L);
	curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, tune_socket);
}

int pw_http_start(struct pw_http *h, const struct pw_http_request *req, struct pw_http_call *c)
{
	struct transfer *t = g_new0(struct transfer, 1);

	t->owner = h;
	t->call = c;
	/* Without a body, libcurl would leave the length out of a POST. */
	t->body = g_strdup(req->body ? req->body : strcmp(req->method, "POST") == 0 ? "" : NULL);
	t->answer = g_byte_array_new();
	t->easy = curl_easy_init();
	set_headers(t, req);
	set_options(t, req);
	if (curl_multi_add_handle(h->multi, t->easy) != CURLM_OK) {
		curl_easy_cleanup(t->easy);
		free_transfer(t);
		return pw_error_set(PW_ESYSTEM, "curl_multi_add_handle failed");
	}
	c->transfer = t;
	g_hash_table_add(h->transfers, t);
	return PW_OK;
}

bool pw_http_is_sent(const struct pw_http_call *c)
{
	const struct transfer *t = c->transfer;
	long request_size_bytes = 0;

	if (t)
		curl_easy_getinfo(t->easy, CURLINFO_REQUEST_SIZE, &request_size_bytes);
	return request_size_bytes > 0;
}

void pw_http_cancel(struct pw_http *h, struct pw_http_call *c)
{
	(void)h;
	if (c->transfer)
		end_transfer(c->transfer);
}

static gpointer init_curl(gpointer arg)
{
	(void)arg;
	return GINT_TO_POINTER(curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK);
}

int pw_http_new(struct pw_http **out, struct pw_loop *loop, const struct pw_http_options *opts)
{
	static GOnce once = G_ONCE_INIT;
	struct pw_http *h;

	if (opts->version != PW_HTTP_OPTIONS_VERSION)
		return pw_error_set(PW_EINVALID, "unknown version of the options");
	if (!g_once(&once, init_curl, NULL))
		return pw_error_set(PW_ESYSTEM, "curl_global_init failed");
	h = g_new0(struct pw_http, 1);
	h->loop = loop;
	h->answer_max_bytes = opts->answer_max_bytes;
	h->timer.ops = &timer_ops;
	h->sockets = g_hash_table_new(NULL, NULL);
	h->transfers = g_hash_table_new(NULL, NULL);
	g_queue_init(&h->readable);
	g_queue_init(&h->ended);
	h->multi = curl_multi_init();
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_MAXCONNECTS, IDLE_CONNECTIONS_MAX);
	*out = h;
	return PW_OK;
}

void pw_http_free(struct pw_http *h)
{
	GHashTableIter it;
	gpointer item;

	if (!h)
		return;
	while (g_hash_table_size(h->transfers)) {
		g_hash_table_iter_init(&it, h->transfers);
		(void)g_hash_table_iter_next(&it, &item, NULL);
		end_transfer(item);
	}
	free_ended(h);
	curl_multi_cleanup(h->multi);
	g_hash_table_iter_init(&it, h->sockets);
	while (g_hash_table_iter_next(&it, &item, NULL))
		remove_socket(h, item);
	g_hash_table_destroy(h->sockets);
	g_hash_table_destroy(h->transfers);
	pw_loop_timer_clear(h->loop, &h->timer);
	g_free(h);
}
