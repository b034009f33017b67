#include <string.h>

#include "cluster_private.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"

/* Timeout of a query: connect, open and one status row. It exceeds a round trip between regions. */
#define STATUS_QUERY_TIMEOUT_US (500 * PW_US_PER_MS)

struct status_query {
	struct pw_stream stream;
	struct pw_timer timer;
	struct cluster *cluster;
	const struct status_query_ops *ops;
	void *owner; /**< NULL: `done` is not called */
	char *server_id;
	char *group;
	uint64_t step_down_term; /**< see status_query_start(); 0: query only */
	struct pw_server_status_row row;
	bool accepted; /**< the server has accepted the connection */
	bool has_row;
	bool completed; /**< the row was followed by a success */
	bool ended;
};

static const struct pw_server_dialect *server_dialect(const struct status_query *q)
{
	return q->cluster->directory->binding->server;
}

static void end_query(struct status_query *q)
{
	if (q->ended)
		return;
	q->ended = true;
	g_hash_table_remove(q->cluster->queries, q);
	pw_loop_timer_clear(q->cluster->task.loop, &q->timer);
	pw_stream_dispose(&q->stream);
	if (q->owner)
		q->ops->done(q->owner, q, q->completed ? &q->row : NULL);
	/* Callers further up the stack may still use the query, so the next tick frees it. */
	g_ptr_array_add(q->cluster->ended_queries, q);
	g_free(q->server_id);
	g_free(q->group);
}

static void send_message(struct status_query *q, GByteArray *b)
{
	pw_stream_send(&q->stream, b->data, b->len);
	g_byte_array_unref(b);
}

static void query_connected(struct pw_stream *s)
{
	struct status_query *q = (struct status_query *)s;
	const GPtrArray *accounts = q->cluster->catalog->accounts;
	/* Opening a connection requires an account; the status is the same for any. */
	const char *account =
		accounts->len ? ((struct pw_catalog_account *)accounts->pdata[0])->name : "-";
	GByteArray *b = g_byte_array_new();

	server_dialect(q)->ops->put_open(b, q->group, account, q->server_id);
	send_message(q, b);
}

static void send_request(struct status_query *q)
{
	GByteArray *b = g_byte_array_new();

	q->accepted = true;
	if (q->step_down_term)
		server_dialect(q)->ops->put_step_down(b, q->step_down_term);
	else
		server_dialect(q)->ops->put_status_request(b);
	send_message(q, b);
}

/* Ends a query whose answer is an error, or has a message that is not due: it has no status. */
static void fail_query(struct status_query *q)
{
	q->completed = false;
	end_query(q);
}

/* The answer is one row, a success and the state of the session. */
static void handle_reply(struct status_query *q, const struct pw_reply *reply)
{
	switch (reply->kind) {
	case PW_REPLY_ROW:
		if (!q->accepted || q->has_row ||
		    server_dialect(q)->ops->parse_status_row(&q->row, reply->row))
			fail_query(q);
		q->has_row = true;
		break;
	case PW_REPLY_COMPLETE:
		if (q->has_row && !q->completed)
			q->completed = true;
		else
			fail_query(q);
		break;
	case PW_REPLY_ERROR:
		fail_query(q);
		break;
	case PW_REPLY_READY:
		if (!q->accepted)
			send_request(q);
		else if (q->has_row)
			end_query(q);
		/* Otherwise the acceptance has come twice. */
		break;
	}
}

static void query_received(struct pw_stream *s)
{
	struct status_query *q = (struct status_query *)s;

	while (!q->ended && s->input) {
		struct pw_reply reply;
		uint32_t used_bytes = 0;
		int rc = server_dialect(q)->ops->decode_next(&reply, s->input->data, s->input->len,
							     &used_bytes);

		if (rc == PW_EAGAIN)
			return;
		if (rc) {
			end_query(q);
			return;
		}
		pw_stream_consume(s, used_bytes);
		handle_reply(q, &reply);
		pw_reply_dispose(&reply);
	}
}

static void query_closed(struct pw_stream *s)
{
	end_query((struct status_query *)s);
}

static const struct pw_stream_ops stream_ops = {
	.connected = query_connected,
	.received = query_received,
	.closed = query_closed,
};

static void query_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	end_query((struct status_query *)((char *)t - offsetof(struct status_query, timer)));
}

static const struct pw_timer_ops timer_ops = { .expire = query_timer_expired };

struct status_query *status_query_start(struct cluster *c, const struct pw_server_entry *e,
					uint64_t step_down_term, const struct status_query_ops *ops,
					void *owner)
{
	struct status_query *q = g_new0(struct status_query, 1);

	q->cluster = c;
	q->ops = ops;
	q->owner = owner;
	q->server_id = g_strdup(e->id);
	q->group = g_strdup(e->group);
	q->step_down_term = step_down_term;
	q->timer.ops = &timer_ops;
	if (pw_stream_connect(&q->stream, &stream_ops, c->task.loop, e->address)) {
		g_free(q->server_id);
		g_free(q->group);
		g_free(q);
		return NULL;
	}
	g_hash_table_add(c->queries, q);
	pw_loop_timer_set(c->task.loop, &q->timer, cluster_now_us(c) + STATUS_QUERY_TIMEOUT_US);
	return q;
}

void status_query_cancel(struct status_query *q)
{
	q->owner = NULL;
	end_query(q);
}

void status_query_cancel_list(GPtrArray *queries)
{
	for (guint i = 0; i < queries->len; i++) {
		struct status_query *q = g_ptr_array_index(queries, i);

		queries->pdata[i] = NULL;
		if (q)
			status_query_cancel(q);
	}
}

void status_query_cancel_all(struct cluster *c)
{
	GList *queries = g_hash_table_get_keys(c->queries);

	for (GList *l = queries; l; l = l->next)
		status_query_cancel(l->data);
	g_list_free(queries);
}
