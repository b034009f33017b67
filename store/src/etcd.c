#include "pw/store/store.h"

#include <glib.h>
#include <string.h>

#include "json.h"
#include "pw/core/clock.h"
#include "pw/core/counter.h"
#include "pw/core/error.h"
#include "pw/http/http.h"

#define HTTP_OK 200

/*
 * Backoff before a failed watch is reopened. It doubles with each failure; half of it is random. It
 * is reset only if the watch was open for at least BACKOFF_MAX_US, so a watch that always fails
 * soon after its opening is reopened every 1 to 2 seconds.
 */
#define BACKOFF_MIN_US (100 * PW_US_PER_MS)
#define BACKOFF_MAX_US (2 * PW_US_PER_S)

struct etcd_store {
	struct pw_store base;
	struct pw_loop *loop;
	struct pw_http *http;
	char **endpoints;
	uint32_t endpoint_count;
	uint32_t current_endpoint; /**< index in `endpoints`, used by the next attempt */
	uint64_t watch_idle_timeout_us;
	GHashTable *pending_calls; /**< set of struct pending_call */
};

/* State of a call between its start and its last result. */
struct pending_call {
	struct pw_http_call http_call;
	struct pw_timer timer; /**< watches only: timeout, or time of the next opening */
	struct etcd_store *store;
	struct pw_store_call *call;
	enum pw_store_kind kind;
	const char *path; /**< of the URL */
	char *body;
	size_t compare_count; /**< transactions only */
	uint64_t timeout_us;  /**< of the call; watches: of each opening */
	uint64_t deadline_us; /**< of the call; watches: of the current opening */

	uint32_t endpoint;      /**< index of the endpoint of the current attempt */
	uint32_t attempt_count; /**< including the current one */

	/* Watches only. */
	char *key;             /**< key or prefix */
	bool prefix;           /**< `key` is a prefix */
	int64_t next_revision; /**< first revision to report; 0: the first after the opening */
	bool opened;           /**< the service confirmed the watch of this attempt */
	uint64_t opened_us;    /**< time of that confirmation */
	uint64_t backoff_us;   /**< 0 before the first failure */
};

static bool is_write(const struct pending_call *p)
{
	return p->kind != PW_STORE_RANGE && p->kind != PW_STORE_WATCH;
}

static void cancel_attempt(struct pending_call *p)
{
	pw_http_cancel(p->store->http, &p->http_call);
	p->opened = false;
}

static void pending_call_clear(gpointer data)
{
	struct pending_call *p = data;

	free(p->body);
	g_free(p->key);
}

/* Calls are reference-counted, since a result may cancel the call whose data is being processed. */
static void pending_call_unref(struct pending_call *p)
{
	g_rc_box_release_full(p, pending_call_clear);
}

static void end_call(struct pending_call *p)
{
	struct etcd_store *s = p->store;

	cancel_attempt(p);
	pw_loop_timer_clear(s->loop, &p->timer);
	g_hash_table_remove(s->pending_calls, p);
	p->call->pending = NULL;
	pending_call_unref(p);
}

static void deliver_result(struct pw_store_call *c, struct pw_store_result *r)
{
	c->ops->done(c, r);
}

/* Delivers the last result of a call and ends it. */
static void complete_call(struct pending_call *p, struct pw_store_result *r)
{
	struct pw_store_call *c = p->call;

	if (p->kind == PW_STORE_WATCH)
		((struct pw_store_watch_result *)r)->is_last = true;
	end_call(p);
	deliver_result(c, r);
}

static enum pw_counter call_counter(const struct pending_call *p)
{
	if (p->kind == PW_STORE_WATCH)
		return PW_COUNTER_STORE_WATCHES;
	return is_write(p) ? PW_COUNTER_STORE_WRITES : PW_COUNTER_STORE_READS;
}

static int start_attempt(struct pending_call *p)
{
	struct etcd_store *s = p->store;
	uint64_t now_us = pw_clock_now_us();
	uint64_t remaining_us = p->deadline_us > now_us ? p->deadline_us - now_us : 1;
	uint32_t untried_count = s->endpoint_count - MIN(p->attempt_count, s->endpoint_count - 1);
	char *url = g_strconcat(s->endpoints[s->current_endpoint], p->path, NULL);
	const struct pw_http_request req = {
		.method = "POST",
		.url = url,
		.body = p->body,
		.timeout_us = p->kind == PW_STORE_WATCH ? 0 : remaining_us,
		/* Leaves time for the endpoints not tried yet if this one does not respond. */
		.connect_timeout_us = MAX(remaining_us / untried_count, 1),
	};
	int rc;

	p->endpoint = s->current_endpoint;
	p->attempt_count++;
	pw_counter_inc(call_counter(p));
	rc = pw_http_start(s->http, &req, &p->http_call);
	g_free(url);
	return rc;
}

static void use_next_endpoint(struct etcd_store *s, const struct pending_call *p)
{
	/* Another call may have switched already. */
	if (p->endpoint == s->current_endpoint)
		s->current_endpoint = (s->current_endpoint + 1) % s->endpoint_count;
}

/* Opens a watch at the first revision that was not reported yet. */
static void open_watch(struct pending_call *p)
{
	const struct pw_store_watch req = {
		.key = p->key,
		.prefix = p->prefix,
		.start_revision = p->next_revision,
	};

	free(p->body);
	p->body = pw_store_json_encode_watch(&req);
	p->attempt_count = 0;
	p->deadline_us = pw_clock_now_us() + p->timeout_us;
	pw_loop_timer_set(p->store->loop, &p->timer, p->deadline_us);
	(void)start_attempt(p); /* After a failure the timer starts the next attempt. */
}

/* Reports that a watch was interrupted and schedules its next opening after `delay_us`. */
static void retry_watch_after(struct pending_call *p, int32_t code, const char *message,
			      uint64_t delay_us)
{
	struct pw_store_result *r = pw_store_result_new(PW_STORE_WATCH, code, message);

	pw_counter_inc(PW_COUNTER_STORE_FAILURES);
	use_next_endpoint(p->store, p);
	cancel_attempt(p);
	pw_loop_timer_set(p->store->loop, &p->timer, pw_clock_now_us() + delay_us);
	deliver_result(p->call, r);
}

/* Like retry_watch_after(), with an exponential backoff; half of it is random. */
static void retry_watch_with_backoff(struct pending_call *p, int32_t code, const char *message)
{
	uint64_t half_us;

	if (p->opened && pw_clock_now_us() - p->opened_us >= BACKOFF_MAX_US)
		p->backoff_us = 0;
	p->backoff_us = p->backoff_us ? MIN(p->backoff_us * 2, BACKOFF_MAX_US) : BACKOFF_MIN_US;
	half_us = p->backoff_us / 2;
	retry_watch_after(p, code, message, half_us + pw_clock_random_u64() % half_us);
}

static void watch_timer_expired(struct pw_timer *timer, uint64_t now_us)
{
	struct pending_call *p =
		(struct pending_call *)((char *)timer - offsetof(struct pending_call, timer));

	(void)now_us;
	if (!p->http_call.transfer)
		open_watch(p);
	else if (p->opened)
		retry_watch_after(p, PW_ETIMEOUT, "the watch received no data in time", 0);
	else
		retry_watch_with_backoff(p, PW_ETIMEOUT, "the watch was not opened in time");
}

static const struct pw_timer_ops watch_timer_ops = { .expire = watch_timer_expired };

/* Removes the events that were reported before the watch was reopened. */
static void drop_reported_events(struct pw_store_watch_result *r, int64_t next_revision)
{
	size_t kept_count = 0;

	for (size_t i = 0; i < r->event_count; i++) {
		struct pw_store_event *e = &r->events[i];

		if (e->kv.mod_revision >= next_revision) {
			r->events[kept_count++] = *e;
		} else {
			g_free(e->kv.key);
			g_free(e->kv.value);
		}
	}
	r->event_count = kept_count;
}

/*
 * Handles one message of a watch. Only a message without events can confirm that all changes up to
 * its revision were reported. A message whose events were all reported before would look like such
 * a confirmation, so it is not delivered.
 */
static void handle_watch_message(struct pending_call *p, const char *line, size_t size_bytes)
{
	struct pw_store_result *base =
		pw_store_json_decode_response(PW_STORE_WATCH, line, size_bytes);
	struct pw_store_watch_result *r = (struct pw_store_watch_result *)base;
	size_t received_count = r->event_count;

	if (r->is_last) {
		complete_call(p, base);
		return;
	}
	if (base->code) {
		retry_watch_with_backoff(p, base->code, base->message);
		pw_store_result_free(base);
		return;
	}
	drop_reported_events(r, p->next_revision);
	if (r->just_opened) {
		p->opened = true;
		p->opened_us = pw_clock_now_us();
		if (!p->next_revision)
			p->next_revision = base->revision + 1;
	} else if (!received_count) {
		p->next_revision = MAX(p->next_revision, base->revision + 1);
	}
	for (size_t i = 0; i < r->event_count; i++)
		p->next_revision = MAX(p->next_revision, r->events[i].kv.mod_revision + 1);
	if (received_count && !r->event_count)
		pw_store_result_free(base);
	else
		deliver_result(p->call, base);
}

/* Decodes the messages of a watch: the complete lines of the received bytes. */
static void watch_received(struct pw_http_call *c, uint32_t status, GByteArray *bytes)
{
	struct pending_call *p = (struct pending_call *)c;
	size_t start = 0;

	if (status != HTTP_OK) /* The body of an error is read when it is complete. */
		return;
	g_rc_box_acquire(p);
	g_byte_array_ref(bytes);
	/* Delivering a result may cancel the watch, and a message may end the attempt. */
	while (p->http_call.transfer) {
		const char *line = (const char *)bytes->data + start;
		const char *end = memchr(line, '\n', bytes->len - start);

		if (!end)
			break;
		start += (size_t)(end - line) + 1;
		handle_watch_message(p, line, (size_t)(end - line));
	}
	g_byte_array_remove_range(bytes, 0, (guint)start);
	g_byte_array_unref(bytes);
	if (p->http_call.transfer && p->opened)
		pw_loop_timer_set(p->store->loop, &p->timer,
				  pw_clock_now_us() + p->store->watch_idle_timeout_us);
	pending_call_unref(p);
}

/*
 * gRPC status OUT_OF_RANGE, which the gateway sends with HTTP status 400: the revision of a range
 * read was compacted or does not exist yet.
 */
#define GRPC_OUT_OF_RANGE 11

static int32_t status_to_code(const struct pending_call *p, const struct pw_http_response *response)
{
	if (response->http_status == 404)
		return PW_ENOTFOUND;
	if (p->kind == PW_STORE_RANGE && response->http_status == 400 &&
	    pw_store_json_error_code(response->body, response->size_bytes) == GRPC_OUT_OF_RANGE)
		return PW_ENOTFOUND;
	return response->http_status == 429 || response->http_status >= 500 ? PW_EUNAVAILABLE
									    : PW_EINVALID;
}

/* Returns the result of a completed attempt. */
static struct pw_store_result *new_attempt_result(const struct pending_call *p,
						  const struct pw_http_response *response)
{
	bool maybe_applied = response->error_code != PW_EUNAVAILABLE;
	struct pw_store_result *r;

	if (response->error_code) {
		r = pw_store_result_new(p->kind, response->error_code, response->message);
	} else if (response->http_status != HTTP_OK) {
		char *text = pw_store_json_error_text(response->body, response->size_bytes);

		r = pw_store_result_new(p->kind, status_to_code(p, response),
					text ? text
					     : "the store sent an error status without a message");
		g_free(text);
		/* The service rejected the request, so it had no effect. */
		if (r->code != PW_EUNAVAILABLE || response->http_status == 429)
			maybe_applied = false;
	} else if (p->kind == PW_STORE_WATCH) {
		/* A watch stays open, so the end of its response is a failure. */
		r = pw_store_result_new(p->kind, PW_EUNAVAILABLE, "the service ended the watch");
	} else {
		r = pw_store_json_decode_response(p->kind, response->body, response->size_bytes);
		if (r->code == PW_ECONFLICT &&
		    ((struct pw_store_txn_result *)r)->kv_count != p->compare_count) {
			pw_store_result_free(r);
			r = pw_store_result_new(p->kind, PW_EINVALID,
						"malformed response from the store");
		}
		if (r->code == PW_OK || r->code == PW_ECONFLICT || r->code == PW_ENOTFOUND)
			maybe_applied = false;
	}
	r->maybe_applied = is_write(p) && maybe_applied;
	return r;
}

/* Ends a watch that would fail again, and reopens any other; takes ownership of the result. */
static void handle_watch_end(struct pending_call *p, struct pw_store_result *r)
{
	if (r->code == PW_EOVERFLOW || r->code == PW_EINVALID) {
		pw_counter_inc(PW_COUNTER_STORE_FAILURES);
		complete_call(p, r);
	} else {
		retry_watch_with_backoff(p, r->code, r->message);
		pw_store_result_free(r);
	}
}

static void attempt_done(struct pw_http_call *c, const struct pw_http_response *response)
{
	struct pending_call *p = (struct pending_call *)c;
	struct etcd_store *s = p->store;
	struct pw_store_result *r = new_attempt_result(p, response);

	if (p->kind == PW_STORE_WATCH) {
		handle_watch_end(p, r);
		return;
	}
	if (r->code == PW_ETIMEOUT || r->code == PW_EUNAVAILABLE)
		use_next_endpoint(s, p);
	if (response->error_code == PW_EUNAVAILABLE && p->attempt_count < s->endpoint_count &&
	    pw_clock_now_us() < p->deadline_us) {
		pw_counter_inc(PW_COUNTER_STORE_FAILURES);
		if (start_attempt(p) == PW_OK) {
			pw_store_result_free(r);
			return;
		}
	}
	if (r->code != PW_OK && r->code != PW_ECONFLICT && r->code != PW_ENOTFOUND)
		pw_counter_inc(PW_COUNTER_STORE_FAILURES);
	complete_call(p, r);
}

static const struct pw_http_call_ops call_ops = { .done = attempt_done };
static const struct pw_http_call_ops watch_ops = {
	.done = attempt_done,
	.received = watch_received,
};

/* Creates the state of a call and registers it at the store; takes ownership of the body. */
static struct pending_call *pending_call_new(struct pw_store *store, enum pw_store_kind kind,
					     const char *path, char *body, uint64_t timeout_us,
					     struct pw_store_call *c)
{
	struct etcd_store *s = (struct etcd_store *)store;
	struct pending_call *p = g_rc_box_new0(struct pending_call);

	p->http_call.ops = kind == PW_STORE_WATCH ? &watch_ops : &call_ops;
	p->timer.ops = &watch_timer_ops;
	p->store = s;
	p->call = c;
	p->kind = kind;
	p->path = path;
	p->body = body;
	p->timeout_us = timeout_us;
	p->deadline_us = pw_clock_now_us() + timeout_us;
	c->pending = p;
	g_hash_table_add(s->pending_calls, p);
	return p;
}

static int start_first_attempt(struct pending_call *p)
{
	int rc = start_attempt(p);

	if (rc)
		end_call(p);
	return rc;
}

static int etcd_range(struct pw_store *store, const struct pw_store_range *req, uint64_t timeout_us,
		      struct pw_store_call *c)
{
	if (!req->key || (!*req->key && !req->prefix))
		return pw_error_set(PW_EINVALID, "a range needs a key");
	return start_first_attempt(pending_call_new(store, PW_STORE_RANGE, "/v3/kv/range",
						    pw_store_json_encode_range(req), timeout_us,
						    c));
}

static int etcd_txn(struct pw_store *store, const struct pw_store_txn *req, uint64_t timeout_us,
		    struct pw_store_call *c)
{
	struct pending_call *p;

	for (size_t i = 0; i < req->change_count; i++) {
		if (req->changes[i].size_bytes > PW_STORE_VALUE_MAX_BYTES)
			return pw_error_set(PW_EINVALID, "the value of %s is larger than %zu bytes",
					    req->changes[i].key, PW_STORE_VALUE_MAX_BYTES);
	}
	p = pending_call_new(store, PW_STORE_TXN, "/v3/kv/txn", pw_store_json_encode_txn(req),
			     timeout_us, c);
	p->compare_count = req->compare_count;
	return start_first_attempt(p);
}

static int etcd_lease_grant(struct pw_store *store, uint64_t ttl_us, uint64_t timeout_us,
			    struct pw_store_call *c)
{
	if (!ttl_us || ttl_us > INT64_MAX)
		return pw_error_set(PW_EINVALID, "a lease needs a time to live");
	return start_first_attempt(pending_call_new(store, PW_STORE_LEASE_GRANT, "/v3/lease/grant",
						    pw_store_json_encode_lease_grant(ttl_us),
						    timeout_us, c));
}

static int etcd_lease_keep_alive(struct pw_store *store, int64_t lease_id, uint64_t timeout_us,
				 struct pw_store_call *c)
{
	return start_first_attempt(
		pending_call_new(store, PW_STORE_LEASE_KEEP_ALIVE, "/v3/lease/keepalive",
				 pw_store_json_encode_lease_id(lease_id), timeout_us, c));
}

static int etcd_lease_revoke(struct pw_store *store, int64_t lease_id, uint64_t timeout_us,
			     struct pw_store_call *c)
{
	return start_first_attempt(
		pending_call_new(store, PW_STORE_LEASE_REVOKE, "/v3/lease/revoke",
				 pw_store_json_encode_lease_id(lease_id), timeout_us, c));
}

static int etcd_watch(struct pw_store *store, const struct pw_store_watch *req, uint64_t timeout_us,
		      struct pw_store_call *c)
{
	struct pending_call *p;

	if (!req->key || (!*req->key && !req->prefix) || req->start_revision < 0)
		return pw_error_set(PW_EINVALID, "a watch needs a key and a revision of 0 or more");
	p = pending_call_new(store, PW_STORE_WATCH, "/v3/watch", NULL, timeout_us, c);
	p->key = g_strdup(req->key);
	p->prefix = req->prefix;
	p->next_revision = req->start_revision;
	open_watch(p);
	return PW_OK;
}

static void etcd_cancel(struct pw_store *store, struct pw_store_call *c)
{
	(void)store;
	if (c->pending)
		end_call(c->pending);
}

static void etcd_free(struct pw_store *store)
{
	struct etcd_store *s = (struct etcd_store *)store;
	GHashTableIter it;
	gpointer item;

	/* Delivering a result may cancel other calls, so each round starts a new iteration. */
	while (g_hash_table_size(s->pending_calls)) {
		struct pw_store_result *r;
		struct pending_call *p;

		g_hash_table_iter_init(&it, s->pending_calls);
		(void)g_hash_table_iter_next(&it, &item, NULL);
		p = item;
		r = pw_store_result_new(p->kind, PW_EUNAVAILABLE, "the store client was closed");
		r->maybe_applied = is_write(p) && pw_http_is_request_sent(&p->http_call);
		complete_call(p, r);
	}
	g_hash_table_destroy(s->pending_calls);
	pw_http_free(s->http);
	g_strfreev(s->endpoints);
	g_free(s);
}

static const struct pw_store_ops etcd_ops = {
	.name = "http",
	.range = etcd_range,
	.txn = etcd_txn,
	.lease_grant = etcd_lease_grant,
	.lease_keep_alive = etcd_lease_keep_alive,
	.lease_revoke = etcd_lease_revoke,
	.watch = etcd_watch,
	.cancel = etcd_cancel,
	.free = etcd_free,
};

int pw_store_etcd_new(struct pw_store **out, struct pw_loop *loop,
		      const struct pw_store_etcd_options *opts)
{
	struct pw_http_options http_opts = PW_HTTP_OPTIONS_INIT;
	struct etcd_store *s;
	int rc;

	if (opts->version != PW_STORE_ETCD_OPTIONS_VERSION || !opts->endpoints ||
	    !opts->endpoints[0])
		return pw_error_set(PW_EINVALID, "the store needs at least one endpoint");
	http_opts.response_max_bytes = PW_STORE_RESPONSE_MAX_BYTES;
	s = g_new0(struct etcd_store, 1);
	rc = pw_http_new(&s->http, loop, &http_opts);
	if (rc) {
		g_free(s);
		return rc;
	}
	s->base.ops = &etcd_ops;
	s->loop = loop;
	s->endpoints = g_strdupv((char **)(uintptr_t)opts->endpoints);
	s->endpoint_count = g_strv_length(s->endpoints);
	s->watch_idle_timeout_us = opts->watch_idle_timeout_us;
	s->pending_calls = g_hash_table_new(NULL, NULL);
	*out = &s->base;
	return PW_OK;
}
