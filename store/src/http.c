#include "pw/store/store.h"

#include <glib.h>
#include <string.h>

#include "json.h"
#include "pw/core/clock.h"
#include "pw/core/counter.h"
#include "pw/core/error.h"
#include "pw/http/http.h"

#define HTTP_OK 200

/* A watch that opens and breaks at once is opened at most a few times a second. */
#define BACKOFF_FIRST_US (100 * PW_US_PER_MS)
#define BACKOFF_MAX_US   (2 * PW_US_PER_S)

struct http_store {
	struct pw_store base;
	struct pw_loop *loop;
	struct pw_http *http;
	char **endpoints;
	uint32_t endpoint_count;
	uint32_t endpoint; /**< index of the one in use */
	uint64_t watch_silence_us;
	GHashTable *transfers; /**< set of struct transfer */
};

/* A call from its start to its last result. */
struct transfer {
	struct pw_http_call http;
	struct pw_timer timer; /**< watches only: limit on silence, or the next opening */
	struct http_store *owner;
	struct pw_store_call *call;
	enum pw_store_kind kind;
	const char *path;
	char *body;
	size_t compare_count; /**< transactions only */
	uint64_t timeout_us;
	uint64_t deadline_us;

	/* The present attempt. */
	uint32_t endpoint;
	uint32_t attempts;

	/* Watches only. */
	char *key;
	bool prefix;
	int64_t next_revision; /**< first revision not reported yet; 0: from the opening on */
	bool opened;
	uint64_t opened_us;
	uint64_t backoff_us;
};

static bool is_write(const struct transfer *t)
{
	return t->kind != PW_STORE_RANGE && t->kind != PW_STORE_WATCH;
}

static void close_attempt(struct transfer *t)
{
	pw_http_cancel(t->owner->http, &t->http);
	t->opened = false;
}

static void transfer_clear(gpointer data)
{
	struct transfer *t = data;

	free(t->body);
	g_free(t->key);
}

/* References are counted, since a result may cancel a call that is being worked on. */
static void release(struct transfer *t)
{
	g_rc_box_release_full(t, transfer_clear);
}

static void end_transfer(struct transfer *t)
{
	struct http_store *s = t->owner;

	close_attempt(t);
	pw_loop_timer_clear(s->loop, &t->timer);
	g_hash_table_remove(s->transfers, t);
	t->call->transfer = NULL;
	release(t);
}

static void deliver(struct pw_store_call *c, struct pw_store_result *r)
{
	c->ops->done(c, r);
}

/* Ends a call with its last result. */
static void finish(struct transfer *t, struct pw_store_result *r)
{
	struct pw_store_call *c = t->call;

	if (t->kind == PW_STORE_WATCH)
		((struct pw_store_watch_result *)r)->ended = true;
	end_transfer(t);
	deliver(c, r);
}

static enum pw_counter call_counter(const struct transfer *t)
{
	if (t->kind == PW_STORE_WATCH)
		return PW_COUNTER_STORE_WATCHES;
	return is_write(t) ? PW_COUNTER_STORE_WRITES : PW_COUNTER_STORE_READS;
}

static int start_attempt(struct transfer *t)
{
	struct http_store *s = t->owner;
	uint64_t now = pw_clock_now_us();
	uint64_t left = t->deadline_us > now ? t->deadline_us - now : 1;
	uint32_t untried = s->endpoint_count - MIN(t->attempts, s->endpoint_count - 1);
	char *url = g_strconcat(s->endpoints[s->endpoint], t->path, NULL);
	const struct pw_http_request req = {
		.method = "POST",
		.url = url,
		.body = t->body,
		.timeout_us = t->kind == PW_STORE_WATCH ? 0 : left,
		.connect_timeout_us = MAX(left / untried, 1),
		/*
		 * A write must not be repeated: it may have taken effect, and a repeated
		 * transaction would then report a conflict with itself.
		 */
		.repeatable = t->kind == PW_STORE_RANGE,
	};
	int rc;

	t->endpoint = s->endpoint;
	t->attempts++;
	pw_counter_inc(call_counter(t));
	rc = pw_http_start(s->http, &req, &t->http);
	g_free(url);
	return rc;
}

static void use_next_endpoint(struct http_store *s, const struct transfer *t)
{
	/* Another call may have moved on already. */
	if (t->endpoint == s->endpoint)
		s->endpoint = (s->endpoint + 1) % s->endpoint_count;
}

/* Opens a watch, from the first revision that was not reported yet. */
static void open_watch(struct transfer *t)
{
	const struct pw_store_watch req = {
		.key = t->key,
		.prefix = t->prefix,
		.start_revision = t->next_revision,
	};

	free(t->body);
	t->body = pw_store_json_watch(&req);
	t->attempts = 0;
	t->deadline_us = pw_clock_now_us() + t->timeout_us;
	pw_loop_timer_set(t->owner->loop, &t->timer, t->deadline_us);
	(void)start_attempt(t); /* After a failure the timer brings the next attempt. */
}

/* Reports that a watch was interrupted, and opens it again after `delay_us`. */
static void interrupt_watch(struct transfer *t, int32_t code, const char *message,
			    uint64_t delay_us)
{
	struct pw_store_result *r = pw_store_result_new(PW_STORE_WATCH, code, message);

	pw_counter_inc(PW_COUNTER_STORE_FAILURES);
	use_next_endpoint(t->owner, t);
	close_attempt(t);
	pw_loop_timer_set(t->owner->loop, &t->timer, pw_clock_now_us() + delay_us);
	deliver(t->call, r);
}

/* As interrupt_watch(), with a backoff that doubles; half of it is random. */
static void break_watch(struct transfer *t, int32_t code, const char *message)
{
	uint64_t half_us;

	if (t->opened && pw_clock_now_us() - t->opened_us >= BACKOFF_MAX_US)
		t->backoff_us = 0;
	t->backoff_us = t->backoff_us ? MIN(t->backoff_us * 2, BACKOFF_MAX_US) : BACKOFF_FIRST_US;
	half_us = t->backoff_us / 2;
	interrupt_watch(t, code, message, half_us + pw_clock_random_bits() % half_us);
}

static void watch_expire(struct pw_timer *timer, uint64_t now_us)
{
	struct transfer *t = (struct transfer *)((char *)timer - offsetof(struct transfer, timer));

	(void)now_us;
	if (!t->http.transfer)
		open_watch(t);
	else if (t->opened)
		interrupt_watch(t, PW_ETIMEOUT, "the watch was silent", 0);
	else
		break_watch(t, PW_ETIMEOUT, "the watch was not opened in time");
}

static const struct pw_timer_ops watch_timer_ops = { .expire = watch_expire };

/* Removes the events that were reported before the watch was opened again. */
static void drop_old_events(struct pw_store_watch_result *r, int64_t next_revision)
{
	size_t kept = 0;

	for (size_t i = 0; i < r->event_count; i++) {
		struct pw_store_event *e = &r->events[i];

		if (e->kv.mod_revision >= next_revision) {
			r->events[kept++] = *e;
		} else {
			g_free(e->kv.key);
			g_free(e->kv.value);
		}
	}
	r->event_count = kept;
}

static void take_watch_message(struct transfer *t, const char *line, size_t size_bytes)
{
	struct pw_store_result *base = pw_store_json_answer(PW_STORE_WATCH, line, size_bytes);
	struct pw_store_watch_result *r = (struct pw_store_watch_result *)base;
	size_t received = r->event_count;

	if (r->ended) {
		finish(t, base);
		return;
	}
	if (base->code) {
		break_watch(t, base->code, base->message);
		pw_store_result_free(base);
		return;
	}
	drop_old_events(r, t->next_revision);
	if (r->opened) {
		t->opened = true;
		t->opened_us = pw_clock_now_us();
		if (!t->next_revision)
			t->next_revision = base->revision + 1;
	} else if (!received) {
		t->next_revision = MAX(t->next_revision, base->revision + 1);
	}
	for (size_t i = 0; i < r->event_count; i++)
		t->next_revision = MAX(t->next_revision, r->events[i].kv.mod_revision + 1);
	if (received && !r->event_count)
		pw_store_result_free(base);
	else
		deliver(t->call, base);
}

/* Decodes the complete lines of a watch. */
static void watch_received(struct pw_http_call *c, uint32_t status, GByteArray *bytes)
{
	struct transfer *t = (struct transfer *)c;
	size_t start = 0;

	if (status != HTTP_OK) /* The text of an error, read when the answer has ended. */
		return;
	g_rc_box_acquire(t);
	g_byte_array_ref(bytes);
	/* A result may cancel the watch and a message may close the attempt. */
	while (t->http.transfer) {
		const char *line = (const char *)bytes->data + start;
		const char *end = memchr(line, '\n', bytes->len - start);

		if (!end)
			break;
		start += (size_t)(end - line) + 1;
		take_watch_message(t, line, (size_t)(end - line));
	}
	g_byte_array_remove_range(bytes, 0, (guint)start);
	g_byte_array_unref(bytes);
	if (t->http.transfer && t->opened)
		pw_loop_timer_set(t->owner->loop, &t->timer,
				  pw_clock_now_us() + t->owner->watch_silence_us);
	release(t);
}

/* gRPC status OUT_OF_RANGE, which the gateway sends with HTTP status 400: the revision of a range
 * was compacted or does not exist yet. */
#define GRPC_OUT_OF_RANGE 11

static int32_t code_of_status(const struct transfer *t, const struct pw_http_answer *a)
{
	if (a->status == 404)
		return PW_ENOTFOUND;
	if (t->kind == PW_STORE_RANGE && a->status == 400 &&
	    pw_store_json_error_code(a->data, a->size_bytes) == GRPC_OUT_OF_RANGE)
		return PW_ENOTFOUND;
	return a->status == 429 || a->status >= 500 ? PW_EUNAVAILABLE : PW_EINVALID;
}

/* Result of an attempt that ended. */
static struct pw_store_result *attempt_result(const struct transfer *t,
					      const struct pw_http_answer *a)
{
	bool sent = a->code != PW_EUNAVAILABLE;
	struct pw_store_result *r;

	if (a->code) {
		r = pw_store_result_new(t->kind, a->code, a->message);
	} else if (a->status != HTTP_OK) {
		char *text = pw_store_json_error_text(a->data, a->size_bytes);

		r = pw_store_result_new(t->kind, code_of_status(t, a),
					text ? text : "error status without a text");
		g_free(text);
		/* The service decided against the request: it had no effect. */
		if (r->code != PW_EUNAVAILABLE || a->status == 429)
			sent = false;
	} else if (t->kind == PW_STORE_WATCH) {
		/* The end of the answer is no success: a watch stays open. */
		r = pw_store_result_new(t->kind, PW_EUNAVAILABLE, "the service ended the watch");
	} else {
		r = pw_store_json_answer(t->kind, a->data, a->size_bytes);
		if (r->code == PW_ECONFLICT &&
		    ((struct pw_store_txn_result *)r)->kv_count != t->compare_count) {
			pw_store_result_free(r);
			r = pw_store_result_new(t->kind, PW_EINVALID,
						"malformed answer of the store");
		}
		if (r->code == PW_OK || r->code == PW_ECONFLICT || r->code == PW_ENOTFOUND)
			sent = false;
	}
	r->effect_possible = is_write(t) && sent;
	return r;
}

static void watch_ended(struct transfer *t, struct pw_store_result *r)
{
	if (r->code == PW_EOVERFLOW || r->code == PW_EINVALID) {
		pw_counter_inc(PW_COUNTER_STORE_FAILURES);
		finish(t, r);
	} else {
		break_watch(t, r->code, r->message);
		pw_store_result_free(r);
	}
}

static void attempt_done(struct pw_http_call *c, const struct pw_http_answer *a)
{
	struct transfer *t = (struct transfer *)c;
	struct http_store *s = t->owner;
	struct pw_store_result *r = attempt_result(t, a);

	if (t->kind == PW_STORE_WATCH) {
		watch_ended(t, r);
		return;
	}
	if (r->code == PW_ETIMEOUT || r->code == PW_EUNAVAILABLE)
		use_next_endpoint(s, t);
	if (a->code == PW_EUNAVAILABLE && t->attempts < s->endpoint_count &&
	    pw_clock_now_us() < t->deadline_us) {
		pw_counter_inc(PW_COUNTER_STORE_FAILURES);
		if (start_attempt(t) == PW_OK) {
			pw_store_result_free(r);
			return;
		}
	}
	if (r->code != PW_OK && r->code != PW_ECONFLICT && r->code != PW_ENOTFOUND)
		pw_counter_inc(PW_COUNTER_STORE_FAILURES);
	finish(t, r);
}

static const struct pw_http_call_ops call_ops = { .done = attempt_done };
static const struct pw_http_call_ops watch_ops = {
	.done = attempt_done,
	.received = watch_received,
};

/* Starts a call; takes ownership of the body. */
static struct transfer *start_call(struct pw_store *store, enum pw_store_kind kind,
				   const char *path, char *body, uint64_t timeout_us,
				   struct pw_store_call *c)
{
	struct http_store *s = (struct http_store *)store;
	struct transfer *t = g_rc_box_new0(struct transfer);

	t->http.ops = kind == PW_STORE_WATCH ? &watch_ops : &call_ops;
	t->timer.ops = &watch_timer_ops;
	t->owner = s;
	t->call = c;
	t->kind = kind;
	t->path = path;
	t->body = body;
	t->timeout_us = timeout_us;
	t->deadline_us = pw_clock_now_us() + timeout_us;
	c->transfer = t;
	g_hash_table_add(s->transfers, t);
	return t;
}

static int first_attempt(struct transfer *t)
{
	int rc = start_attempt(t);

	if (rc)
		end_transfer(t);
	return rc;
}

static int http_range(struct pw_store *store, const struct pw_store_range *req, uint64_t timeout_us,
		      struct pw_store_call *c)
{
	if (!req->key || (!*req->key && !req->prefix))
		return pw_error_set(PW_EINVALID, "a range needs a key");
	return first_attempt(start_call(store, PW_STORE_RANGE, "/v3/kv/range",
					pw_store_json_range(req), timeout_us, c));
}

static int http_txn(struct pw_store *store, const struct pw_store_txn *req, uint64_t timeout_us,
		    struct pw_store_call *c)
{
	struct transfer *t;

	for (size_t i = 0; i < req->change_count; i++) {
		if (req->changes[i].size_bytes > PW_STORE_VALUE_MAX_BYTES)
			return pw_error_set(PW_EINVALID, "the value of %s is larger than %zu bytes",
					    req->changes[i].key, PW_STORE_VALUE_MAX_BYTES);
	}
	t = start_call(store, PW_STORE_TXN, "/v3/kv/txn", pw_store_json_txn(req), timeout_us, c);
	t->compare_count = req->compare_count;
	return first_attempt(t);
}

static int http_lease_grant(struct pw_store *store, uint64_t ttl_us, uint64_t timeout_us,
			    struct pw_store_call *c)
{
	if (!ttl_us || ttl_us > INT64_MAX)
		return pw_error_set(PW_EINVALID, "a lease needs a time to live");
	return first_attempt(start_call(store, PW_STORE_LEASE_GRANT, "/v3/lease/grant",
					pw_store_json_lease_grant(ttl_us), timeout_us, c));
}

static int http_lease_keep_alive(struct pw_store *store, int64_t lease_id, uint64_t timeout_us,
				 struct pw_store_call *c)
{
	return first_attempt(start_call(store, PW_STORE_LEASE_KEEP_ALIVE, "/v3/lease/keepalive",
					pw_store_json_lease_id(lease_id), timeout_us, c));
}

static int http_lease_revoke(struct pw_store *store, int64_t lease_id, uint64_t timeout_us,
			     struct pw_store_call *c)
{
	return first_attempt(start_call(store, PW_STORE_LEASE_REVOKE, "/v3/lease/revoke",
					pw_store_json_lease_id(lease_id), timeout_us, c));
}

static int http_watch(struct pw_store *store, const struct pw_store_watch *req, uint64_t timeout_us,
		      struct pw_store_call *c)
{
	struct transfer *t;

	if (!req->key || (!*req->key && !req->prefix) || req->start_revision < 0)
		return pw_error_set(PW_EINVALID, "a watch needs a key and a revision of 0 or more");
	t = start_call(store, PW_STORE_WATCH, "/v3/watch", NULL, timeout_us, c);
	t->key = g_strdup(req->key);
	t->prefix = req->prefix;
	t->next_revision = req->start_revision;
	open_watch(t);
	return PW_OK;
}

static void http_cancel(struct pw_store *store, struct pw_store_call *c)
{
	(void)store;
	if (c->transfer)
		end_transfer(c->transfer);
}

static void http_free(struct pw_store *store)
{
	struct http_store *s = (struct http_store *)store;
	GHashTableIter it;
	gpointer item;

	/* A result may cancel other calls, so the iteration starts again. */
	while (g_hash_table_size(s->transfers)) {
		struct pw_store_result *r;
		struct transfer *t;

		g_hash_table_iter_init(&it, s->transfers);
		(void)g_hash_table_iter_next(&it, &item, NULL);
		t = item;
		r = pw_store_result_new(t->kind, PW_EUNAVAILABLE, "the store client was closed");
		r->effect_possible = is_write(t) && pw_http_is_sent(&t->http);
		finish(t, r);
	}
	g_hash_table_destroy(s->transfers);
	pw_http_free(s->http);
	g_strfreev(s->endpoints);
	g_free(s);
}

static const struct pw_store_ops http_ops = {
	.name = "http",
	.range = http_range,
	.txn = http_txn,
	.lease_grant = http_lease_grant,
	.lease_keep_alive = http_lease_keep_alive,
	.lease_revoke = http_lease_revoke,
	.watch = http_watch,
	.cancel = http_cancel,
	.free = http_free,
};

int pw_store_http_new(struct pw_store **out, struct pw_loop *loop,
		      const struct pw_store_http_options *opts)
{
	struct pw_http_options http = PW_HTTP_OPTIONS_INIT;
	struct http_store *s;
	int rc;

	if (opts->version != PW_STORE_HTTP_OPTIONS_VERSION || !opts->endpoints ||
	    !opts->endpoints[0])
		return pw_error_set(PW_EINVALID, "the store needs at least one endpoint");
	http.answer_max_bytes = PW_STORE_ANSWER_MAX_BYTES;
	s = g_new0(struct http_store, 1);
	rc = pw_http_new(&s->http, loop, &http);
	if (rc) {
		g_free(s);
		return rc;
	}
	s->base.ops = &http_ops;
	s->loop = loop;
	s->endpoints = g_strdupv((char **)(uintptr_t)opts->endpoints);
	s->endpoint_count = g_strv_length(s->endpoints);
	s->watch_silence_us = opts->watch_silence_us;
	s->transfers = g_hash_table_new(NULL, NULL);
	*out = &s->base;
	return PW_OK;
}
