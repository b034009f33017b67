#include <string.h>

#include "cluster_private.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"

/* Time for a connection, the start and one status row: more than a round trip between regions. */
#define REPORT_TIMEOUT_US (500 * PW_US_PER_MS)

struct report {
	struct pw_stream stream;
	struct pw_timer timer;
	struct cluster *cluster;
	const struct report_ops *ops;
	void *owner; /**< NULL: nobody waits any more */
	char *server_id;
	char *group;
	uint64_t step_down_term;
	struct pw_server_report row;
	bool started; /**< the server has accepted the connection */
	bool has_row;
	bool ended;
};

static const struct pw_server_dialect *dialect(const struct report *r)
{
	return r->cluster->directory->binding->server;
}

static void end_report(struct report *r)
{
	if (r->ended)
		return;
	r->ended = true;
	pw_loop_timer_clear(r->cluster->task.loop, &r->timer);
	pw_stream_dispose(&r->stream);
	if (r->owner)
		r->ops->done(r->owner, r, r->has_row ? &r->row : NULL);
	/* Its caller may be on the stack. */
	g_ptr_array_add(r->cluster->ended_reports, r);
	g_free(r->server_id);
	g_free(r->group);
}

static void send_bytes(struct report *r, GByteArray *b)
{
	pw_stream_send(&r->stream, b->data, b->len);
	g_byte_array_unref(b);
}

static void report_connected(struct pw_stream *s)
{
	struct report *r = (struct report *)s;
	const GPtrArray *accounts = r->cluster->catalog->accounts;
	/* A connection belongs to some account; a status concerns none. */
	const char *account =
		accounts->len ? ((struct pw_catalog_account *)accounts->pdata[0])->name : "-";
	GByteArray *b = g_byte_array_new();

	dialect(r)->ops->put_open(b, r->group, account, r->server_id);
	send_bytes(r, b);
}

static void take_ready(struct report *r)
{
	GByteArray *b;

	if (r->started) {
		end_report(r);
		return;
	}
	r->started = true;
	b = g_byte_array_new();
	if (r->step_down_term)
		dialect(r)->ops->put_step_down(b, r->step_down_term);
	else
		dialect(r)->ops->put_report(b);
	send_bytes(r, b);
}

static void report_received(struct pw_stream *s)
{
	struct report *r = (struct report *)s;

	while (!r->ended && s->in) {
		struct pw_reply reply;
		uint32_t used = 0;
		int rc = dialect(r)->ops->next(&reply, s->in->data, s->in->len, &used);

		if (rc == PW_EAGAIN)
			return;
		if (rc) {
			end_report(r);
			return;
		}
		pw_stream_consume(s, used);
		if (reply.kind == PW_REPLY_ROW)
			r->has_row = dialect(r)->ops->report(&r->row, reply.text) == PW_OK;
		else if (reply.kind == PW_REPLY_READY)
			take_ready(r);
		pw_reply_dispose(&reply);
	}
}

static void report_closed(struct pw_stream *s)
{
	end_report((struct report *)s);
}

static const struct pw_stream_ops stream_ops = {
	.connected = report_connected,
	.received = report_received,
	.closed = report_closed,
};

static void report_expire(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	end_report((struct report *)((char *)t - offsetof(struct report, timer)));
}

static const struct pw_timer_ops timer_ops = { .expire = report_expire };

struct report *report_start(struct cluster *c, const struct pw_server_entry *e,
			    uint64_t step_down_term, const struct report_ops *ops, void *owner)
{
	struct report *r = g_new0(struct report, 1);

	r->cluster = c;
	r->ops = ops;
	r->owner = owner;
	r->server_id = g_strdup(e->id);
	r->group = g_strdup(e->group);
	r->step_down_term = step_down_term;
	r->timer.ops = &timer_ops;
	if (pw_stream_connect(&r->stream, &stream_ops, c->task.loop, e->address)) {
		g_free(r->server_id);
		g_free(r->group);
		g_free(r);
		return NULL;
	}
	pw_loop_timer_set(c->task.loop, &r->timer, cluster_now_us(c) + REPORT_TIMEOUT_US);
	return r;
}

void report_forget(struct report *r)
{
	r->owner = NULL;
	end_report(r);
}
