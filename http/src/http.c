#include "pw/http/http.h"

#include <curl/curl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "pw/core/clock.h"
#include "pw/core/counter.h"
#include "pw/core/error.h"

/* The loss of the server during a call is detected after 1 + 2 * 1 seconds. */
#define KEEPALIVE_IDLE_S     1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     2
#define UNACKED_TIMEOUT_US   (3 * PW_US_PER_S)

struct pw_http {
	struct pw_loop *loop;
	CURLM *multi;
	struct pw_timer timer;
	GHashTable *sockets;   /**< set of struct http_socket */
	GHashTable *transfers; /**< set of struct transfer */
	GQueue undelivered;    /**< transfers with bytes that `received` has not been called for */
	GQueue released;       /**< finished or cancelled transfers, to be freed */
	size_t response_max_bytes;
	uint64_t unacked_timeout_us;
};

/* A socket of libcurl, watched by the loop. */
struct http_socket {
	struct pw_source source;
	struct pw_http *owner;
};

/* A call: its request, its response and its handle in libcurl. */
struct transfer {
	struct pw_http *owner;
	struct pw_http_call *call;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	char *header_name;  /**< response header to return; NULL: none */
	char *header_value; /**< copy that outlives the handle */
	GByteArray *response;
	uint64_t send_deadline_us; /**< 0: none */
	bool too_large;
	bool queued; /**< in `undelivered` */
	char error_text[CURL_ERROR_SIZE];
};

static size_t body_callback(char *data, size_t size, size_t count, void *arg)
{
	struct transfer *t = arg;
	size_t n = size * count;

	if (t->response->len + n > t->owner->response_max_bytes) {
		t->too_large = true;
		return 0;
	}
	g_byte_array_append(t->response, (const guint8 *)data, (guint)n);
	/* The bytes are delivered later, since libcurl rejects calls from inside its callbacks. */
	if (t->call->ops->received && !t->queued) {
		t->queued = true;
		g_queue_push_tail(&t->owner->undelivered, t);
	}
	return n;
}

/* Called when a connection is ready, just before the request is sent on it. */
static int prerequest_callback(void *arg, char *remote_ip, char *local_ip, int remote_port,
			       int local_port)
{
	const struct transfer *t = arg;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	return pw_clock_now_us() > t->send_deadline_us ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/* Counts the bytes of a request and its response, headers included. */
static void count_bytes(const struct transfer *t)
{
	curl_off_t sent_bytes = 0, received_bytes = 0;
	long request_bytes = 0, header_bytes = 0;

	curl_easy_getinfo(t->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
	curl_easy_getinfo(t->easy, CURLINFO_SIZE_UPLOAD_T, &sent_bytes);
	curl_easy_getinfo(t->easy, CURLINFO_HEADER_SIZE, &header_bytes);
	curl_easy_getinfo(t->easy, CURLINFO_SIZE_DOWNLOAD_T, &received_bytes);
	pw_counter_add(PW_COUNTER_HTTP_BYTES_SENT, (uint64_t)(request_bytes + sent_bytes));
	pw_counter_add(PW_COUNTER_HTTP_BYTES_RECEIVED, (uint64_t)(header_bytes + received_bytes));
}

/*
 * Detaches a transfer from its call and from libcurl. The memory is freed later, by
 * free_released_transfers(), since a handler may cancel the call that is being delivered.
 */
static void release_transfer(struct transfer *t)
{
	if (t->queued)
		g_queue_remove(&t->owner->undelivered, t);
	t->queued = false;
	count_bytes(t);
	curl_multi_remove_handle(t->owner->multi, t->easy);
	curl_easy_cleanup(t->easy);
	t->easy = NULL;
	t->call->transfer = NULL;
	g_hash_table_remove(t->owner->transfers, t);
	g_queue_push_tail(&t->owner->released, t);
}

static void free_transfer(struct transfer *t)
{
	curl_slist_free_all(t->headers);
	g_byte_array_unref(t->response);
	g_free(t->body);
	g_free(t->header_name);
	g_free(t->header_value);
	g_free(t);
}

static void free_released_transfers(struct pw_http *h)
{
	struct transfer *t;

	while ((t = g_queue_pop_head(&h->released)))
		free_transfer(t);
}

/* Returns a copy of the response header that the request asked for, or NULL. */
static char *copy_header(const struct transfer *t)
{
	struct curl_header *header;

	if (!t->header_name ||
	    curl_easy_header(t->easy, t->header_name, 0, CURLH_HEADER, -1, &header) != CURLHE_OK)
		return NULL;
	return g_strdup(header->value);
}

/* Releases a finished transfer and calls `done`. */
static void complete_transfer(struct transfer *t, CURLcode rc)
{
	struct pw_http_call *c = t->call;
	struct pw_http_response response = { .error_code = PW_OK };
	long status = 0, request_size_bytes = 0;
	curl_off_t first_byte_us = 0, total_us = 0;

	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(t->easy, CURLINFO_REQUEST_SIZE, &request_size_bytes);
	curl_easy_getinfo(t->easy, CURLINFO_STARTTRANSFER_TIME_T, &first_byte_us);
	curl_easy_getinfo(t->easy, CURLINFO_TOTAL_TIME_T, &total_us);
	response.transfer_us = (uint64_t)MAX(total_us - first_byte_us, 0);
	response.body = (const char *)t->response->data;
	response.size_bytes = t->response->len;
	if (t->too_large) {
		response.error_code = PW_EOVERFLOW;
		response.message = "the response is too large";
	} else if (rc != CURLE_OK) {
		response.error_code = request_size_bytes > 0 ? PW_ETIMEOUT : PW_EUNAVAILABLE;
		response.message = *t->error_text ? t->error_text : curl_easy_strerror(rc);
	} else {
		response.http_status = (uint32_t)status;
		t->header_value = copy_header(t);
		response.header = t->header_value;
	}
	release_transfer(t);
	c->ops->done(c, &response);
}

/* Calls `received` with all bytes that it has not removed yet. */
static void deliver_bytes(struct transfer *t)
{
	long status = 0;

	t->queued = false;
	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	t->call->ops->received(t->call, (uint32_t)status, t->response);
}

/*
 * Calls `received` and `done` for what libcurl has received and finished. Runs after libcurl has
 * returned, since the handlers may call it again.
 */
static void deliver_results(struct pw_http *h)
{
	struct transfer *undelivered;
	CURLMsg *msg;
	int remaining;

	while ((undelivered = g_queue_pop_head(&h->undelivered)))
		deliver_bytes(undelivered);
	while ((msg = curl_multi_info_read(h->multi, &remaining))) {
		struct transfer *t = NULL;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&t);
		complete_transfer(t, msg->data.result);
	}
	free_released_transfers(h);
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
	deliver_results(h);
}

static const struct pw_source_ops socket_ops = { .ready = socket_ready };

static void free_socket(struct pw_http *h, struct http_socket *sock)
{
	pw_loop_unwatch(h->loop, &sock->source);
	g_free(sock);
}

/* Watches a socket for the events that libcurl waits for. */
static int socket_callback(CURL *easy, curl_socket_t fd, int poll_flags, void *arg,
			   void *socket_arg)
{
	struct pw_http *h = arg;
	struct http_socket *sock = socket_arg;
	uint32_t events = 0;

	(void)easy;
	if (poll_flags == CURL_POLL_REMOVE) {
		if (sock && g_hash_table_remove(h->sockets, sock))
			free_socket(h, sock);
		curl_multi_assign(h->multi, fd, NULL);
		return 0;
	}
	if (!sock) {
		sock = g_new0(struct http_socket, 1);
		sock->source.ops = &socket_ops;
		sock->source.fd = fd;
		sock->owner = h;
		g_hash_table_add(h->sockets, sock);
		curl_multi_assign(h->multi, fd, sock);
	}
	if (poll_flags & CURL_POLL_IN)
		events |= EPOLLIN;
	if (poll_flags & CURL_POLL_OUT)
		events |= EPOLLOUT;
	return pw_loop_watch(h->loop, &sock->source, events) ? -1 : 0;
}

static void timer_expire(struct pw_timer *timer, uint64_t now_us)
{
	struct pw_http *h = (struct pw_http *)((char *)timer - offsetof(struct pw_http, timer));
	int running;

	(void)now_us;
	curl_multi_socket_action(h->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	deliver_results(h);
}

static const struct pw_timer_ops timer_ops = { .expire = timer_expire };

/* Sets the timer to the time at which libcurl wants to run; a timeout of -1 clears it. */
static int timer_callback(CURLM *multi, long timeout_ms, void *arg)
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

/*
 * Sets TCP options that libcurl has no setting for. Failures are ignored: the connection works
 * without them.
 */
static int sockopt_callback(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	const struct pw_http *h = arg;
	const struct {
		int level, name, value;
	} options[] = {
		{ SOL_SOCKET, SO_KEEPALIVE, 1 },
		{ IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
		{ IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S },
		{ IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES },
		{ IPPROTO_TCP, TCP_USER_TIMEOUT, (int)(h->unacked_timeout_us / PW_US_PER_MS) },
	};

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
	/* Without this, libcurl waits for status 100 (Continue) before it sends a large body. */
	t->headers = curl_slist_append(t->headers, "Expect:");
	for (const char *const *line = req->headers; line && *line; line++)
		t->headers = curl_slist_append(t->headers, *line);
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
}

static long timeout_to_ms(uint64_t us)
{
	return (long)MIN(MAX(us / PW_US_PER_MS, 1), INT32_MAX);
}

static void set_options(struct transfer *t, const struct pw_http_request *req)
{
	CURL *easy = t->easy;

	curl_easy_setopt(easy, CURLOPT_URL, req->url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, req->method);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	if (t->body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)strlen(t->body));
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, t->body);
	}
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, body_callback);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, t->error_text);
	if (req->timeout_us)
		curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_to_ms(req->timeout_us));
	if (req->connect_timeout_us)
		curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
				 timeout_to_ms(req->connect_timeout_us));
	/*
	 * Responses carry no id. On a connection of an earlier request, a second response to that
	 * one would pass for the response to this one.
	 */
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, sockopt_callback);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, t->owner);
	if (req->send_deadline_us) {
		t->send_deadline_us = req->send_deadline_us;
		curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, prerequest_callback);
		curl_easy_setopt(easy, CURLOPT_PREREQDATA, t);
	}
}

int pw_http_start(struct pw_http *h, const struct pw_http_request *req, struct pw_http_call *c)
{
	struct transfer *t = g_new0(struct transfer, 1);

	t->owner = h;
	t->call = c;
	/* Without a body, libcurl would omit the Content-Length of a POST. */
	t->body = g_strdup(req->body ? req->body : strcmp(req->method, "POST") == 0 ? "" : NULL);
	t->header_name = g_strdup(req->response_header);
	t->response = g_byte_array_new();
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

bool pw_http_is_request_sent(const struct pw_http_call *c)
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
		release_transfer(c->transfer);
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
		return pw_error_set(PW_EINVALID, "unknown version of the HTTP client options");
	if (!g_once(&once, init_curl, NULL))
		return pw_error_set(PW_ESYSTEM, "curl_global_init failed");
	h = g_new0(struct pw_http, 1);
	h->loop = loop;
	h->response_max_bytes = opts->response_max_bytes;
	h->unacked_timeout_us =
		opts->unacked_timeout_us ? opts->unacked_timeout_us : UNACKED_TIMEOUT_US;
	h->timer.ops = &timer_ops;
	h->sockets = g_hash_table_new(NULL, NULL);
	h->transfers = g_hash_table_new(NULL, NULL);
	g_queue_init(&h->undelivered);
	g_queue_init(&h->released);
	h->multi = curl_multi_init();
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETFUNCTION, socket_callback);
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERFUNCTION, timer_callback);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERDATA, h);
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
		release_transfer(item);
	}
	free_released_transfers(h);
	curl_multi_cleanup(h->multi);
	g_hash_table_iter_init(&it, h->sockets);
	while (g_hash_table_iter_next(&it, &item, NULL))
		free_socket(h, item);
	g_hash_table_destroy(h->sockets);
	g_hash_table_destroy(h->transfers);
	pw_loop_timer_clear(h->loop, &h->timer);
	g_free(h);
}
