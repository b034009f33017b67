#include "gateway_private.h"

#include <string.h>

#include "pw/core/error.h"

/* A connection whose far end is gone is found after 2 + 2 * 1 seconds. */
#define KEEPALIVE_IDLE_S     2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     2
#define UNACKED_TIMEOUT_MS   4000

/* Names of prepared statements that a connection may have at its server. */
#define CONN_NAMES_MAX 64

static struct conn *conn_of(struct pw_stream *s)
{
	return (struct conn *)s;
}

static struct gateway *gateway_of(const struct conn *c)
{
	return c->server->group->gateway;
}

static const struct pw_server_dialect_ops *dialect(const struct conn *c)
{
	return gateway_of(c)->dialect->ops;
}

static void set_deadline(struct conn *c, uint64_t after_us)
{
	struct gateway *g = gateway_of(c);

	pw_loop_timer_set(g->task.loop, &c->timer, gateway_now_us(g) + after_us);
}

static void clear_deadline(struct conn *c)
{
	pw_loop_timer_clear(gateway_of(c)->task.loop, &c->timer);
}

static void send_bytes(struct conn *c, GByteArray *b)
{
	gw_group_server_asked(c->server);
	pw_stream_send(&c->stream, b->data, b->len);
	g_byte_array_unref(b);
}

static bool is_running(const struct conn *c)
{
	return c->state == CONN_BEGINNING || c->state == CONN_RUNNING;
}

/* Counts a statement at the server, or its end. */
static void count_running(struct conn *c, int32_t change)
{
	c->server->running += (uint32_t)change;
	c->account->running += (uint32_t)change;
}

static void enter(struct conn *c, enum conn_state state)
{
	bool before = is_running(c);

	c->state = state;
	if (before != is_running(c))
		count_running(c, before ? -1 : 1);
}

/* Closes the socket and forgets the connection. */
static void drop(struct conn *c)
{
	struct gateway *g = gateway_of(c);

	if (c->closed)
		return;
	if (is_running(c))
		count_running(c, -1);
	c->closed = true;
	clear_deadline(c);
	pw_stream_dispose(&c->stream);
	g_ptr_array_remove_fast(c->server->conns, c);
	g_clear_pointer(&c->values, g_hash_table_unref);
	g_clear_pointer(&c->prepared, g_hash_table_unref);
	gateway_discard(g, c);
}

void gw_conn_fail(struct conn *c, const char *why)
{
	struct work *w = c->work;
	struct session *s = c->session;
	struct group *g = c->server->group;

	if (c->closed)
		return;
	if (c->state != CONN_IDLE)
		pw_counter_inc(PW_COUNTER_UPSTREAM_DISCARDED);
	if (c->state == CONN_CONNECTING)
		gw_group_server_failed(c->server);
	c->work = NULL;
	c->session = NULL;
	drop(c);
	if (w)
		gw_work_conn_lost(w, why);
	else if (s)
		gw_session_transaction_lost(s);
	gw_work_pump(g);
}

static void become_idle(struct conn *c)
{
	struct group *g = c->server->group;

	clear_deadline(c);
	c->work = NULL;
	c->session = NULL;
	enter(c, CONN_IDLE);
	c->generation = 0;
	c->idle_since_us = gateway_now_us(gateway_of(c));
	if (c->tainted || c->server->leaving || !c->server->listed)
		drop(c);
	gw_work_pump(g);
}

static bool is_same_text(const char *a, const char *b)
{
	return a && b && strcmp(a, b) == 0;
}

/* Whether the connection has a value that the session does not have. */
static bool has_extra_values(const struct conn *c, const struct session *s)
{
	GHashTableIter it;
	gpointer name;

	if (!c->values)
		return false;
	g_hash_table_iter_init(&it, c->values);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		if (!s->values || !g_hash_table_contains(s->values, name))
			return true;
	}
	return false;
}

static void put_reset(struct conn *c, GByteArray *b)
{
	dialect(c)->put_reset(b);
	c->own_pending++;
	g_clear_pointer(&c->values, g_hash_table_unref);
	g_clear_pointer(&c->prepared, g_hash_table_unref);
}

/* Puts the values of the session in force, ahead of its statement in the same write. */
static void put_values(struct conn *c, const struct session *s, GByteArray *b)
{
	GHashTableIter it;
	gpointer name, value;

	if (has_extra_values(c, s))
		put_reset(c, b);
	if (!s->values)
		return;
	if (!c->values)
		c->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_iter_init(&it, s->values);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		if (is_same_text(g_hash_table_lookup(c->values, name), value))
			continue;
		dialect(c)->put_set(b, name, value);
		c->own_pending++;
		g_hash_table_replace(c->values, g_strdup(name), g_strdup(value));
	}
}

/*
 * Names of callers collide, so each shape has one name of the proxy on a connection. @return that
 * name; the statement is prepared first if the connection does not have it.
 */
static const char *put_prepared(struct conn *c, const struct prepared *p, GByteArray *b)
{
	char *key = g_strconcat(p->writes ? "w" : "r", p->shape, NULL);
	char *name;

	if (!c->prepared)
		c->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	name = g_hash_table_lookup(c->prepared, key);
	if (name) {
		g_free(key);
		return name;
	}
	name = g_strdup_printf("p%u", ++c->next_name);
	dialect(c)->put_prepare(b, name, p->writes, p->shape);
	c->own_pending++;
	g_hash_table_insert(c->prepared, key, name);
	return name;
}

/* Writes the statement; for a transaction's first one, the transaction has been begun. */
static void put_statement(struct conn *c, const struct pw_position *floor, GByteArray *b)
{
	struct work *w = c->work;
	const char *name = w->prepared ? put_prepared(c, w->prepared, b) : NULL;

	dialect(c)->put_statement(b, w->call, name, floor);
	w->sent = true;
	enter(c, CONN_RUNNING);
	set_deadline(c, w->operation.timeout_us);
}

/*
 * Position that the statement needs at a replica. Returns false when it has to go to the primary.
 */
static bool find_floor(struct conn *c, struct pw_position *floor, bool *has_floor)
{
	struct work *w = c->work;

	*has_floor = false;
	c->floor_seen_us = 0;
	if (c->generation)
		return true;
	if (!gw_work_floor(w, floor, &c->floor_seen_us))
		return false;
	*has_floor = true;
	return true;
}

/* Marks the connection as one to the primary if it is, and checks the permission for that. */
static bool check_primary(struct conn *c)
{
	struct group *g = c->server->group;

	c->generation = 0;
	if (c->server != g->primary)
		return !c->work->primary;
	if (g->changing || !gateway_is_permitted(g->gateway))
		return false;
	c->generation = g->generation;
	return true;
}

/* Starts the statement on a connection that is ready and not in a transaction. */
static void run(struct conn *c)
{
	struct work *w = c->work;
	struct pw_position floor;
	bool has_floor;
	GByteArray *b;

	c->sent_us = pw_loop_refresh_us(gateway_of(c)->task.loop);
	/* The caller has gone, or what was known when the server was chosen no longer holds. */
	if (!w->session || !check_primary(c) || !find_floor(c, &floor, &has_floor)) {
		become_idle(c);
		w->conn = NULL;
		gw_work_conn_lost(w, "the server may no longer take the statement");
		return;
	}
	b = g_byte_array_new();
	put_values(c, w->session, b);
	if (w->begins) {
		dialect(c)->put_begin(b, w->session->read_only, has_floor ? &floor : NULL);
		enter(c, CONN_BEGINNING);
		set_deadline(c, w->operation.timeout_us);
	} else {
		put_statement(c, has_floor ? &floor : NULL, b);
	}
	send_bytes(c, b);
}

void gw_conn_continue(struct conn *c, struct work *w)
{
	GByteArray *b = g_byte_array_new();

	c->work = w;
	w->conn = c;
	c->sent_us = pw_loop_refresh_us(gateway_of(c)->task.loop);
	c->floor_seen_us = 0;
	/* Without the permission a commit could not be vouched for, so it is not made. */
	if (w->ends && c->generation && !gw_group_is_present(c)) {
		g_byte_array_unref(b);
		gw_conn_fail(c, "the primary is being changed");
		return;
	}
	put_values(c, w->session, b);
	put_statement(c, NULL, b);
	send_bytes(c, b);
}

void gw_conn_roll_back(struct conn *c)
{
	GByteArray *b;

	c->session = NULL;
	if (c->closed || c->work)
		return;
	b = g_byte_array_new();
	enter(c, CONN_CLEANUP);
	set_deadline(c, CONN_CLEANUP_LIMIT_US);
	dialect(c)->put_rollback(b);
	send_bytes(c, b);
}

/* The transaction was begun, or not. */
static void begun(struct conn *c, const struct pw_reply *r)
{
	struct work *w = c->work;
	GByteArray *b;

	if (w->reason != PW_REASON_NONE || r->state != PW_SESSION_IN_TRANSACTION) {
		enum pw_reason reason = w->reason;

		w->reason = PW_REASON_NONE;
		c->work = NULL;
		enter(c, CONN_CLEANUP);
		gw_work_not_begun(w, reason);
		if (c->closed)
			return;
		if (r->state == PW_SESSION_IDLE)
			become_idle(c);
		else
			gw_conn_roll_back(c);
		return;
	}
	if (!w->session) {
		c->work = NULL;
		gw_work_conn_lost(w, "");
		gw_conn_roll_back(c);
		return;
	}
	b = g_byte_array_new();
	put_statement(c, NULL, b);
	send_bytes(c, b);
}

static void finished(struct conn *c, const struct pw_reply *r)
{
	struct work *w = c->work;
	const struct pw_position *at = r->has_position ? &r->at : NULL;

	clear_deadline(c);
	gw_group_note_answer(c->server, c, c->sent_us, at);
	c->work = NULL;
	enter(c, CONN_PINNED);
	gw_work_finished(w, c, r->state, at);
	if (c->closed || c->state != CONN_PINNED)
		return;
	if (r->state == PW_SESSION_IDLE)
		become_idle(c);
	gw_group_check_settled(c->server->group);
}

static void opened(struct conn *c)
{
	clear_deadline(c);
	c->server->backoff_us = 0;
	enter(c, CONN_IDLE);
	if (c->work)
		run(c);
	else
		become_idle(c);
}

static void take_ready(struct conn *c, const struct pw_reply *r)
{
	if (c->state == CONN_OPENING) {
		opened(c);
	} else if (c->own_pending) {
		c->own_pending--;
	} else if (c->state == CONN_BEGINNING) {
		begun(c, r);
	} else if (c->state == CONN_RUNNING) {
		finished(c, r);
	} else if (c->state == CONN_CLEANUP) {
		if (r->state == PW_SESSION_IDLE)
			become_idle(c);
		else
			gw_conn_fail(c, "the transaction cannot be rolled back");
	} else {
		gw_conn_fail(c, "unexpected answer of the server");
	}
}

static void take_row(struct conn *c, const struct pw_reply *r)
{
	struct work *w = c->work;

	if (c->own_pending || !w || c->state != CONN_RUNNING || !w->session)
		return;
	if (!w->answer)
		w->answer = g_byte_array_new();
	gateway_of(c)->caller->ops->put_row(w->answer, r->text);
	/* A write is not answered in parts, since its answer may yet change. */
	if (w->answer->len > ANSWER_HELD_MAX_BYTES && !w->writes && !w->ends) {
		w->passed_on = true;
		gw_session_pass_on(w->session, w->answer);
	}
}

/* The server did not accept the connection. */
static void refused(struct conn *c, enum pw_reason reason)
{
	/* Too many connections say nothing about the slots: statements on open ones go on. */
	if (reason == PW_REASON_CONNECTION_LIMIT)
		c->server->full_until_us = gateway_now_us(gateway_of(c)) + SERVER_FULL_US;
	else
		gw_group_server_busy(c->server);
}

static void take_error(struct conn *c, struct pw_reply *r)
{
	struct work *w = c->work;

	if (c->state == CONN_OPENING) {
		refused(c, r->reason);
		gw_conn_fail(c, "the server refused the connection");
		return;
	}
	if (c->own_pending) {
		c->tainted = true;
		return;
	}
	if (!w)
		return;
	w->reason = r->reason;
	g_free(w->error);
	w->error = g_steal_pointer(&r->text);
}

static void take_reply(struct conn *c, struct pw_reply *r)
{
	switch (r->kind) {
	case PW_REPLY_ROW:
		take_row(c, r);
		break;
	case PW_REPLY_COMPLETE:
		if (!c->own_pending && c->work && c->state == CONN_RUNNING) {
			g_free(c->work->signature);
			c->work->signature = g_steal_pointer(&r->text);
		}
		break;
	case PW_REPLY_ERROR:
		take_error(c, r);
		break;
	case PW_REPLY_READY:
		take_ready(c, r);
		break;
	}
}

static void conn_received(struct pw_stream *stream)
{
	struct conn *c = conn_of(stream);

	gw_group_server_heard(c->server);
	while (!c->closed && stream->in) {
		struct pw_reply r;
		uint32_t used = 0;
		int rc = dialect(c)->next(&r, stream->in->data, stream->in->len, &used);

		if (rc == PW_EAGAIN) {
			stream->read_limit_bytes = stream->in->len + PW_STREAM_READ_LIMIT_BYTES;
			return;
		}
		if (rc) {
			gw_conn_fail(c, "the server sent a malformed message");
			return;
		}
		pw_stream_consume(stream, used);
		take_reply(c, &r);
		pw_reply_dispose(&r);
	}
}

static void conn_connected(struct pw_stream *stream)
{
	struct conn *c = conn_of(stream);
	GByteArray *b = g_byte_array_new();

	gw_group_server_connected(c->server);
	enter(c, CONN_OPENING);
	set_deadline(c, CONN_OPEN_LIMIT_US);
	dialect(c)->put_open(b, c->server->group->name, c->account->name, c->server->id);
	send_bytes(c, b);
}

static void conn_stream_closed(struct pw_stream *stream)
{
	struct conn *c = conn_of(stream);

	/* A server with too many connections may reset a new one without a word. */
	if (c->state == CONN_OPENING)
		refused(c, PW_REASON_CONNECTION_LIMIT);
	gw_conn_fail(c, "the connection to the server was lost");
}

static const struct pw_stream_ops stream_ops = {
	.connected = conn_connected,
	.received = conn_received,
	.closed = conn_stream_closed,
};

static void conn_expire(struct pw_timer *t, uint64_t now_us)
{
	struct conn *c = (struct conn *)((char *)t - offsetof(struct conn, timer));

	(void)now_us;
	pw_counter_inc(PW_COUNTER_UPSTREAM_SILENT);
	if (c->state == CONN_OPENING)
		gw_group_server_failed(c->server);
	gw_conn_fail(c, "the server did not answer in time");
}

static const struct pw_timer_ops timer_ops = { .expire = conn_expire };

/* Connections of the server that are this VM's part; may be 0. */
static uint32_t share(const struct server *s)
{
	const struct group *g = s->group;
	uint32_t spare = MIN(CONNECTIONS_SPARE, g->connection_limit / 4);

	return (g->connection_limit - spare) / MAX(g->gateway->member_count, 1) /
	       g->gateway->directory->gateway_count;
}

/* Connections of the server that this VM may have. */
static uint32_t limit(const struct server *s)
{
	return MAX(share(s) * CONN_OVERCOMMIT, CONN_OVERCOMMIT);
}

/* The connection of the account that needs the least to be prepared; NULL if none is idle. */
static struct conn *find_idle(const struct server *s, const struct account *a,
			      const struct session *session)
{
	struct conn *best = NULL;

	for (guint i = 0; i < s->conns->len; i++) {
		struct conn *c = g_ptr_array_index(s->conns, i);

		if (c->state != CONN_IDLE || c->account != a)
			continue;
		if (!best || (has_extra_values(best, session) && !has_extra_values(c, session)))
			best = c;
	}
	return best;
}

/* The connection that has been idle for the longest time; NULL if none is idle. */
static struct conn *find_oldest_idle(const struct server *s)
{
	struct conn *oldest = NULL;

	for (guint i = 0; i < s->conns->len; i++) {
		struct conn *c = g_ptr_array_index(s->conns, i);

		if (c->state == CONN_IDLE && (!oldest || c->idle_since_us < oldest->idle_since_us))
			oldest = c;
	}
	return oldest;
}

bool gw_conn_available(const struct server *s, const struct account *a, bool *has_idle)
{
	bool any_idle = false;

	*has_idle = false;
	for (guint i = 0; i < s->conns->len; i++) {
		const struct conn *c = g_ptr_array_index(s->conns, i);

		if (c->state != CONN_IDLE)
			continue;
		any_idle = true;
		if (c->account == a)
			*has_idle = true;
	}
	if (*has_idle)
		return true;
	return gateway_now_us(s->group->gateway) >= s->full_until_us &&
	       (any_idle || s->conns->len < limit(s));
}

static struct conn *open_conn(struct server *s, struct account *a)
{
	struct gateway *g = s->group->gateway;
	struct conn *c = g_new0(struct conn, 1);

	c->server = s;
	c->account = a;
	c->timer.ops = &timer_ops;
	if (pw_stream_connect(&c->stream, &stream_ops, g->task.loop, s->address)) {
		g_free(c);
		return NULL;
	}
	pw_stream_set_keepalive(&c->stream, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S,
				KEEPALIVE_PROBES, UNACKED_TIMEOUT_MS);
	c->state = CONN_CONNECTING;
	c->sent_us = gateway_now_us(g);
	g_ptr_array_add(s->conns, c);
	set_deadline(c, CONN_CONNECT_LIMIT_US);
	pw_counter_inc(PW_COUNTER_UPSTREAM_CONNECTS);
	return c;
}

void gw_conn_take(struct server *s, struct work *w)
{
	struct conn *c = find_idle(s, w->account, w->session);

	pw_congestion_started(&s->congestion, s->latency_us ? s->latency_us : PW_LATENCY_FIRST_US,
			      gateway_now_us(s->group->gateway));
	if (c) {
		c->work = w;
		w->conn = c;
		run(c);
		return;
	}
	if (s->conns->len >= limit(s)) {
		c = find_oldest_idle(s);
		if (c)
			drop(c);
	}
	c = open_conn(s, w->account);
	if (!c) {
		gw_group_server_failed(s);
		w->conn = NULL;
		gw_work_conn_lost(w, pw_error_message());
		return;
	}
	c->work = w;
	w->conn = c;
}

bool gw_conn_ping(struct server *s, bool open)
{
	struct gateway *g = s->group->gateway;
	struct conn *c = find_oldest_idle(s);
	GHashTableIter it;
	gpointer account;
	GByteArray *b;

	if (c && c->own_pending)
		return true;
	if (!c) {
		g_hash_table_iter_init(&it, g->accounts);
		return open && s->conns->len < limit(s) &&
		       g_hash_table_iter_next(&it, NULL, &account) && open_conn(s, account) != NULL;
	}
	b = g_byte_array_new();
	put_reset(c, b);
	send_bytes(c, b);
	return true;
}

void gw_conn_close_idle(struct server *s, bool all)
{
	uint64_t now = gateway_now_us(s->group->gateway);
	uint32_t keep = share(s) * CONN_KEEP_PERCENT / 100;
	uint64_t extra_us = s->congestion.window ? CONN_IDLE_CONGESTED_US : CONN_IDLE_EXTRA_US;

	for (guint i = s->conns->len; i-- > 0;) {
		struct conn *c = g_ptr_array_index(s->conns, i);

		uint64_t limit_us = s->conns->len > keep ? extra_us : CONN_IDLE_US;

		if (c->state == CONN_IDLE && (all || now - c->idle_since_us > limit_us))
			drop(c);
	}
}
