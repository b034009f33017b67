#include "control/store.h"

#include <inttypes.h>

#include "pw/core/error.h"
#include "pw/core/event.h"

/* Failures in a row after which the store counts as down. One may be just a lost connection. */
#define FAILURES_UNTIL_DOWN 3

struct store_task {
	struct pw_task task;
	struct pw_store *store;
	GHashTable *pending_calls; /**< set of struct pending_call */
	uint32_t consecutive_failures;
	uint32_t era; /**< newest era of the store; 0: not known, or it has none */
	bool is_down;
	bool is_stopping; /**< calls that end now do not show whether the store is up */
};

/* A request in flight, or an open watch. */
struct pending_call {
	struct pw_store_call base;
	struct store_task *task;
	struct pw_mailbox *reply_to;
	uint64_t tag;
	bool is_watch;
};

/* Vtable of the messages to the store task. */
struct store_msg_ops {
	struct pw_msg_ops base;
	enum pw_store_kind kind; /**< of the call that the message starts or ends */
	/** Starts the call; NULL for a message that only ends a watch. */
	int (*start)(struct pw_store *store, const struct pw_store_request_msg *m,
		     struct pw_store_call *call);
};

static void msg_destroy(struct pw_msg *m)
{
	struct pw_store_request_msg *req = (struct pw_store_request_msg *)m;

	if (req->strings)
		g_string_chunk_free(req->strings);
	g_free(req);
}

static void txn_msg_destroy(struct pw_msg *m)
{
	struct pw_store_txn *txn = &((struct pw_store_txn_msg *)m)->txn;

	g_free((gpointer)(uintptr_t)txn->compares);
	g_free((gpointer)(uintptr_t)txn->changes);
	msg_destroy(m);
}

static int start_range(struct pw_store *store, const struct pw_store_request_msg *m,
		       struct pw_store_call *call)
{
	return store->ops->range(store, &((const struct pw_store_range_msg *)m)->range,
				 m->timeout_us, call);
}

static int start_txn(struct pw_store *store, const struct pw_store_request_msg *m,
		     struct pw_store_call *call)
{
	return store->ops->txn(store, &((const struct pw_store_txn_msg *)m)->txn, m->timeout_us,
			       call);
}

static int start_lease_grant(struct pw_store *store, const struct pw_store_request_msg *m,
			     struct pw_store_call *call)
{
	return store->ops->lease_grant(store, ((const struct pw_store_lease_msg *)m)->ttl_us,
				       m->timeout_us, call);
}

static int start_lease_keep_alive(struct pw_store *store, const struct pw_store_request_msg *m,
				  struct pw_store_call *call)
{
	return store->ops->lease_keep_alive(store, ((const struct pw_store_lease_msg *)m)->lease_id,
					    m->timeout_us, call);
}

static int start_lease_revoke(struct pw_store *store, const struct pw_store_request_msg *m,
			      struct pw_store_call *call)
{
	return store->ops->lease_revoke(store, ((const struct pw_store_lease_msg *)m)->lease_id,
					m->timeout_us, call);
}

static int start_watch(struct pw_store *store, const struct pw_store_request_msg *m,
		       struct pw_store_call *call)
{
	return store->ops->watch(store, &((const struct pw_store_watch_msg *)m)->watch,
				 m->timeout_us, call);
}

enum msg_kind {
	MSG_RANGE,
	MSG_TXN,
	MSG_LEASE_GRANT,
	MSG_LEASE_KEEP_ALIVE,
	MSG_LEASE_REVOKE,
	MSG_WATCH,
	MSG_UNWATCH,
	MSG_COUNT
};

static const struct store_msg_ops msg_ops[MSG_COUNT] = {
	[MSG_RANGE] = { { "store_range", msg_destroy }, PW_STORE_RANGE, start_range },
	[MSG_TXN] = { { "store_txn", txn_msg_destroy }, PW_STORE_TXN, start_txn },
	[MSG_LEASE_GRANT] = { { "store_lease_grant", msg_destroy },
			      PW_STORE_LEASE_GRANT,
			      start_lease_grant },
	[MSG_LEASE_KEEP_ALIVE] = { { "store_lease_keep_alive", msg_destroy },
				   PW_STORE_LEASE_KEEP_ALIVE,
				   start_lease_keep_alive },
	[MSG_LEASE_REVOKE] = { { "store_lease_revoke", msg_destroy },
			       PW_STORE_LEASE_REVOKE,
			       start_lease_revoke },
	[MSG_WATCH] = { { "store_watch", msg_destroy }, PW_STORE_WATCH, start_watch },
	[MSG_UNWATCH] = { { "store_unwatch", msg_destroy }, PW_STORE_WATCH, NULL },
};

static void *msg_new(enum msg_kind kind, size_t size_bytes, struct pw_mailbox *reply_to,
		     uint64_t tag, uint64_t timeout_us)
{
	struct pw_store_request_msg *m = g_malloc0(size_bytes);

	m->base.ops = &msg_ops[kind].base;
	m->reply_to = reply_to;
	m->tag = tag;
	m->timeout_us = timeout_us;
	return m;
}

static const char *copy_bytes(struct pw_store_request_msg *m, const void *data, size_t size_bytes)
{
	if (!data)
		return NULL;
	if (!m->strings)
		m->strings = g_string_chunk_new(256);
	return g_string_chunk_insert_len(m->strings, data, (gssize)size_bytes);
}

static const char *copy_text(struct pw_store_request_msg *m, const char *text)
{
	return text ? copy_bytes(m, text, strlen(text)) : NULL;
}

struct pw_msg *pw_store_range_msg_new(struct pw_mailbox *reply_to, uint64_t tag,
				      uint64_t timeout_us, const struct pw_store_range *req)
{
	struct pw_store_range_msg *m = msg_new(MSG_RANGE, sizeof(*m), reply_to, tag, timeout_us);

	m->range = *req;
	m->range.key = copy_text(&m->base, req->key);
	m->range.after_key = copy_text(&m->base, req->after_key);
	return &m->base.base;
}

struct pw_msg *pw_store_txn_msg_new(struct pw_mailbox *reply_to, uint64_t tag, uint64_t timeout_us,
				    const struct pw_store_txn *req)
{
	struct pw_store_txn_msg *m = msg_new(MSG_TXN, sizeof(*m), reply_to, tag, timeout_us);
	struct pw_store_compare *compares = g_new0(struct pw_store_compare, req->compare_count);
	struct pw_store_change *changes = g_new0(struct pw_store_change, req->change_count);

	for (size_t i = 0; i < req->compare_count; i++) {
		compares[i] = req->compares[i];
		compares[i].key = copy_text(&m->base, req->compares[i].key);
	}
	for (size_t i = 0; i < req->change_count; i++) {
		const struct pw_store_change *change = &req->changes[i];

		changes[i] = *change;
		changes[i].key = copy_text(&m->base, change->key);
		changes[i].value = copy_bytes(&m->base, change->value, change->size_bytes);
	}
	m->txn = *req;
	m->txn.compares = compares;
	m->txn.changes = changes;
	return &m->base.base;
}

static struct pw_msg *lease_msg_new(enum msg_kind kind, struct pw_mailbox *reply_to, uint64_t tag,
				    uint64_t timeout_us, int64_t lease_id, uint64_t ttl_us)
{
	struct pw_store_lease_msg *m = msg_new(kind, sizeof(*m), reply_to, tag, timeout_us);

	m->lease_id = lease_id;
	m->ttl_us = ttl_us;
	return &m->base.base;
}

struct pw_msg *pw_store_lease_grant_msg_new(struct pw_mailbox *reply_to, uint64_t tag,
					    uint64_t timeout_us, uint64_t ttl_us)
{
	return lease_msg_new(MSG_LEASE_GRANT, reply_to, tag, timeout_us, 0, ttl_us);
}

struct pw_msg *pw_store_lease_keep_alive_msg_new(struct pw_mailbox *reply_to, uint64_t tag,
						 uint64_t timeout_us, int64_t lease_id)
{
	return lease_msg_new(MSG_LEASE_KEEP_ALIVE, reply_to, tag, timeout_us, lease_id, 0);
}

struct pw_msg *pw_store_lease_revoke_msg_new(struct pw_mailbox *reply_to, uint64_t tag,
					     uint64_t timeout_us, int64_t lease_id)
{
	return lease_msg_new(MSG_LEASE_REVOKE, reply_to, tag, timeout_us, lease_id, 0);
}

struct pw_msg *pw_store_watch_msg_new(struct pw_mailbox *reply_to, uint64_t tag,
				      uint64_t timeout_us, const struct pw_store_watch *req)
{
	struct pw_store_watch_msg *m = msg_new(MSG_WATCH, sizeof(*m), reply_to, tag, timeout_us);

	m->watch = *req;
	m->watch.key = copy_text(&m->base, req->key);
	return &m->base.base;
}

struct pw_msg *pw_store_unwatch_msg_new(struct pw_mailbox *reply_to, uint64_t tag)
{
	struct pw_store_request_msg *m = msg_new(MSG_UNWATCH, sizeof(*m), reply_to, tag, 0);

	return &m->base;
}

static void result_msg_destroy(struct pw_msg *m)
{
	pw_store_result_free(((struct pw_store_result_msg *)m)->result);
	g_free(m);
}

const struct pw_msg_ops pw_store_result_msg_ops = {
	.name = "store_result",
	.destroy = result_msg_destroy,
};

/* Counts failures in a row and logs when the store goes down or comes up again. */
static void update_availability(struct store_task *s, const struct pw_store_result *r)
{
	bool failed = r->code == PW_EUNAVAILABLE || r->code == PW_ETIMEOUT;

	if (failed) {
		if (++s->consecutive_failures < FAILURES_UNTIL_DOWN || s->is_down)
			return;
		s->is_down = true;
		pw_event_log(PW_EVENT_STORE_DOWN, "failures=%u error=\"%s\"",
			     s->consecutive_failures, r->message);
		return;
	}
	/* A malformed response or a refused request does not show whether the store is up. */
	if (r->code != PW_OK && r->code != PW_ECONFLICT && r->code != PW_ENOTFOUND)
		return;
	/* An update of an open watch does not show that requests succeed; only its opening does. */
	if (r->kind == PW_STORE_WATCH && !((const struct pw_store_watch_result *)r)->just_opened)
		return;
	s->consecutive_failures = 0;
	if (!s->is_down)
		return;
	s->is_down = false;
	pw_event_log(PW_EVENT_STORE_UP, "revision=%" G_GINT64_FORMAT, r->revision);
}

/* Logs when the store was restored from a copy. The first era that is seen is not logged. */
static void update_era(struct store_task *s, const struct pw_store_result *r)
{
	if (r->era <= s->era)
		return;
	if (s->era)
		pw_event_log(PW_EVENT_STORE_RESTORED, "era=%u former=%u revision=%" G_GINT64_FORMAT,
			     r->era, s->era, r->revision);
	s->era = r->era;
}

static void remove_call(struct pending_call *c)
{
	g_hash_table_remove(c->task->pending_calls, c);
	g_free(c);
}

static void call_done(struct pw_store_call *call, struct pw_store_result *r)
{
	struct pending_call *c = (struct pending_call *)call;
	struct pw_store_result_msg *m = g_new0(struct pw_store_result_msg, 1);
	bool is_last = !c->is_watch || ((struct pw_store_watch_result *)r)->is_last;

	if (!c->task->is_stopping)
		update_availability(c->task, r);
	update_era(c->task, r);
	m->base.ops = &pw_store_result_msg_ops;
	m->tag = c->tag;
	m->result = r;
	pw_mailbox_send(c->reply_to, &m->base);
	if (is_last)
		remove_call(c);
}

static const struct pw_store_call_ops call_ops = { .done = call_done };

static void cancel_watch(struct store_task *s, const struct pw_mailbox *reply_to, uint64_t tag)
{
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, s->pending_calls);
	while (g_hash_table_iter_next(&it, &item, NULL)) {
		struct pending_call *c = item;

		if (!c->is_watch || c->reply_to != reply_to || c->tag != tag)
			continue;
		s->store->ops->cancel(s->store, &c->base);
		remove_call(c);
		return;
	}
}

static const struct store_msg_ops *find_msg_ops(const struct pw_msg *m)
{
	for (size_t i = 0; i < MSG_COUNT; i++) {
		if (m->ops == &msg_ops[i].base)
			return &msg_ops[i];
	}
	return NULL;
}

static void start_call(struct store_task *s, const struct store_msg_ops *ops,
		       const struct pw_store_request_msg *req)
{
	struct pending_call *c = g_new0(struct pending_call, 1);
	int rc;

	c->base.ops = &call_ops;
	c->task = s;
	c->reply_to = req->reply_to;
	c->tag = req->tag;
	c->is_watch = ops->kind == PW_STORE_WATCH;
	g_hash_table_add(s->pending_calls, c);
	pw_event_log(PW_EVENT_STORE_CALL, "call=%s tag=%" PRIu64, ops->base.name, req->tag);
	rc = ops->start(s->store, req, &c->base);
	if (rc) {
		struct pw_store_result *r = pw_store_result_new(ops->kind, rc, pw_error_message());

		if (c->is_watch)
			((struct pw_store_watch_result *)r)->is_last = true;
		call_done(&c->base, r);
	}
}

static void store_receive(struct pw_task *t, struct pw_msg *m)
{
	struct store_task *s = (struct store_task *)t;
	const struct store_msg_ops *ops = find_msg_ops(m);
	const struct pw_store_request_msg *req = (const struct pw_store_request_msg *)m;

	if (ops && ops->kind == PW_STORE_WATCH)
		cancel_watch(s, req->reply_to, req->tag);
	if (ops && ops->start)
		start_call(s, ops, req);
	pw_msg_free(m);
}

static int store_start(struct pw_task *t)
{
	struct store_task *s = (struct store_task *)t;
	const struct pw_store_task_args *args = t->args;
	int rc = args->store_new(&s->store, t->loop, args->endpoints);

	if (!rc)
		s->pending_calls = g_hash_table_new(NULL, NULL);
	return rc;
}

static void store_stop(struct pw_task *t)
{
	struct store_task *s = (struct store_task *)t;

	s->is_stopping = true;
	s->store->ops->free(s->store);
	g_hash_table_destroy(s->pending_calls);
}

const struct pw_task_ops pw_store_task_ops = {
	.name = "store",
	.size_bytes = sizeof(struct store_task),
	.start = store_start,
	.receive = store_receive,
	.stop = store_stop,
};
