#include "gateway_private.h"

#include <string.h>

#include "pw/core/error.h"
#include "pw/core/event.h"

/* Servers that are weighed for one read. */
#define CANDIDATES_MAX 16
/* A change of a lost primary usually takes this long from its mark on. */
#define CHANGE_USUAL_US (1300 * PW_US_PER_MS)
/* Callers of a VM without a way to the store are asked to come back after this time. */
#define OUTAGE_USUAL_US (1000 * PW_US_PER_MS)
/* A primary that is about to stop gets no new work after this time, change or not. */
#define LEAVING_PRIMARY_US (4 * PW_US_PER_S)

/* A connection attempt that only tells whether a server can be reached. */
struct probe {
	struct pw_stream stream;
	struct pw_timer timer;
	struct server *server;
};

struct group *gw_group_get(struct gateway *g, const char *name)
{
	struct group *group = g_hash_table_lookup(g->groups, name);

	if (!group) {
		group = g_new0(struct group, 1);
		group->gateway = g;
		group->name = g_strdup(name);
		group->servers = g_ptr_array_new();
		g_hash_table_insert(g->groups, group->name, group);
	}
	return group;
}

static void end_probe(struct probe *p)
{
	struct gateway *g = p->server->group->gateway;

	pw_loop_timer_clear(g->task.loop, &p->timer);
	pw_stream_dispose(&p->stream);
	p->server->probe = NULL;
	gateway_discard(g, p);
}

void gw_group_server_free(struct server *s)
{
	if (s->probe)
		end_probe(s->probe);
	g_ptr_array_unref(s->conns);
	g_free(s->id);
	g_free(s->address);
	g_free(s);
}

void gw_group_free(gpointer data)
{
	struct group *g = data;

	for (guint i = 0; i < g->servers->len; i++)
		gw_group_server_free(g_ptr_array_index(g->servers, i));
	g_ptr_array_unref(g->servers);
	g_free(g->primary_id);
	g_free(g->name);
	g_free(g);
}

static struct server *find_server(const struct group *g, const char *id)
{
	for (guint i = 0; i < g->servers->len; i++) {
		struct server *s = g_ptr_array_index(g->servers, i);

		if (strcmp(s->id, id) == 0)
			return s;
	}
	return NULL;
}

/* Closes what runs at a server; statements are repeated elsewhere, refused, or in doubt. */
static void fail_conns(struct server *s, bool (*is_to_fail)(const struct conn *c), const char *why)
{
	GPtrArray *conns = g_ptr_array_copy(s->conns, NULL, NULL);

	for (guint i = 0; i < conns->len; i++) {
		struct conn *c = g_ptr_array_index(conns, i);

		if (!c->closed && is_to_fail(c))
			gw_conn_fail(c, why);
	}
	g_ptr_array_unref(conns);
}

static bool is_any(const struct conn *c)
{
	(void)c;
	return true;
}

static bool is_primary_work(const struct conn *c)
{
	return c->generation && c->state != CONN_IDLE;
}

static bool is_silent(const struct conn *c)
{
	uint64_t now = gateway_now_us(c->server->group->gateway);

	return c->state != CONN_IDLE && c->state != CONN_PINNED &&
	       now - c->sent_us > PROBE_SILENCE_US;
}

/* The same id at another address or with another start is a new process that knows nothing. */
static void take_restart(struct server *s, const struct pw_server_entry *e)
{
	if (s->started_ms == e->started_ms && strcmp(s->address, e->address) == 0)
		return;
	if (s->started_ms) {
		fail_conns(s, is_any, "the server was restarted");
		s->latency_us = 0;
		s->pause_until_us = 0;
		s->asked_us = 0;
		s->congestion = (struct pw_congestion){ 0 };
	}
	s->started_ms = e->started_ms;
	g_free(s->address);
	s->address = g_strdup(e->address);
}

static void take_entry(struct group *g, const struct pw_server_entry *e)
{
	struct server *s = find_server(g, e->id);

	if (!s) {
		s = g_new0(struct server, 1);
		s->group = g;
		s->id = g_strdup(e->id);
		s->conns = g_ptr_array_new();
		s->distance = pw_directory_distance(g->gateway->directory, e->availability_zone);
		g_ptr_array_add(g->servers, s);
	}
	take_restart(s, e);
	s->listed = true;
	s->primary = e->primary;
	if (e->leaving && !s->leaving)
		s->leaving_since_us = gateway_now_us(g->gateway);
	s->leaving = e->leaving;
	if (s->leaving)
		gw_conn_close_idle(s, true);
}

static void find_primary(struct group *g)
{
	g->primary = g->primary_id ? find_server(g, g->primary_id) : NULL;
}

void gw_group_take_servers(struct gateway *g)
{
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, g->groups);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		const struct group *group = item;

		for (guint i = 0; i < group->servers->len; i++)
			((struct server *)g_ptr_array_index(group->servers, i))->listed = false;
	}
	for (guint i = 0; i < g->servers->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(g->servers->entries, i);

		take_entry(gw_group_get(g, e->group), e);
	}
	g_hash_table_iter_init(&it, g->groups);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		struct group *group = item;

		for (guint i = group->servers->len; i-- > 0;) {
			struct server *s = g_ptr_array_index(group->servers, i);

			if (s->listed)
				continue;
			gw_conn_close_idle(s, true);
			if (!s->conns->len && !s->probe) {
				g_ptr_array_remove_index(group->servers, i);
				gateway_discard_server(g, s);
			}
		}
		find_primary(group);
		gw_work_pump(group);
	}
}

/* Another server leads: what was open at the former one is gone. */
static void take_generation(struct group *g, const struct pw_primary *p)
{
	struct server *old = g->primary;

	if (g->generation == p->generation)
		return;
	g->generation = p->generation;
	pw_history_set_generation(&g->history, p->generation);
	g->reached_us = 0;
	g->lost_since_us = 0;
	if (old)
		fail_conns(old, is_primary_work, "the primary was replaced");
}

static void take_primary(struct group *g, const struct pw_primary *p)
{
	bool starts = p->changing && (!g->changing || g->generation != p->generation);

	if (g_strcmp0(g->primary_id, p->server_id) != 0) {
		g_free(g->primary_id);
		g->primary_id = g_strdup(p->server_id);
	}
	take_generation(g, p);
	find_primary(g);
	g->changing = p->changing;
	g->planned = p->planned;
	if (starts) {
		g->changing_since_us = gateway_now_us(g->gateway);
		g->settled = false;
	}
}

void gw_group_take_primaries(struct gateway *g)
{
	for (guint i = 0; g->primaries && i < g->primaries->list->len; i++) {
		const struct pw_primary *p = g_ptr_array_index(g->primaries->list, i);
		struct group *group = gw_group_get(g, p->group);

		take_primary(group, p);
		gw_group_check_settled(group);
		gw_work_pump(group);
	}
}

void gw_group_take_positions(struct gateway *g, const GPtrArray *positions)
{
	for (guint i = 0; i < positions->len; i++) {
		const struct pw_seen_position *p = g_ptr_array_index(positions, i);
		struct group *group = gw_group_get(g, p->group);

		if (p->generation != group->generation)
			continue;
		pw_history_note(&group->history, p->sent_us, &p->at);
		if (group->waiting.length)
			gw_work_pump(group);
	}
}

bool gw_group_is_present(struct conn *c)
{
	const struct group *g = c->server->group;

	return c->generation == g->generation && !(g->changing && g->settled) &&
	       gateway_is_permitted(g->gateway);
}

void gw_group_check_settled(struct group *g)
{
	uint64_t now = gateway_now_us(g->gateway);
	bool over;

	if (!g->changing || g->settled)
		return;
	over = !g->planned || now - g->changing_since_us >= PLANNED_DRAIN_US;
	for (guint i = 0; g->primary && !over && i < g->primary->conns->len; i++) {
		if (is_primary_work(g_ptr_array_index(g->primary->conns, i)))
			return;
	}
	g->settled = true;
	if (g->primary)
		fail_conns(g->primary, is_primary_work, "the primary is being changed");
	gateway_report(g->gateway);
}

/* Statements under way, those that wait for their connection included. */
static uint32_t under_way(const struct server *s)
{
	uint32_t count = 0;

	for (guint i = 0; i < s->conns->len; i++) {
		const struct conn *c = g_ptr_array_index(s->conns, i);

		count += c->state != CONN_IDLE && c->state != CONN_PINNED;
	}
	return count;
}

static bool may_start(const struct server *s, uint64_t now)
{
	return !s->congestion.window || pw_congestion_may_start(&s->congestion, under_way(s), now);
}

static bool is_usable(const struct server *s, const struct work *w, uint64_t now)
{
	return s->listed && !s->leaving && now >= s->pause_until_us && s != w->avoid;
}

static bool primary_is_usable(const struct group *g, const struct work *w, uint64_t now)
{
	const struct server *p = g->primary;

	return p && p->listed && !g->changing && now >= p->pause_until_us &&
	       (!p->leaving || now - p->leaving_since_us < LEAVING_PRIMARY_US) &&
	       (w->primary || !p->leaving) && gateway_is_permitted(g->gateway);
}

uint64_t gw_group_back_us(const struct group *g)
{
	uint64_t now = gateway_now_us(g->gateway);

	/* Without the permission for that long, the way to the store is lost; see PW_PERMIT_US. */
	if (g->gateway->permit_until_us && !gateway_is_permitted(g->gateway))
		return now + OUTAGE_USUAL_US;
	if (g->changing)
		return MAX(g->changing_since_us + (g->planned ? 0 : CHANGE_USUAL_US), now);
	if (g->lost_since_us && now - g->lost_since_us > PROBE_SILENCE_US)
		return MAX(g->lost_since_us + PW_CHANGE_LOST_US + CHANGE_USUAL_US, now);
	return now;
}

static uint64_t latency_us(const struct server *s)
{
	return s->latency_us ? s->latency_us : PW_LATENCY_FIRST_US;
}

/* What a read needs of a replica. */
struct read_floor {
	bool known;
	struct pw_position at;
	uint64_t age_us;
};

static void find_floor(struct read_floor *f, const struct work *w, uint64_t now)
{
	uint64_t seen_us = now;

	*f = (struct read_floor){ 0 };
	f->known = gw_work_floor(w, &f->at, &seen_us);
	f->age_us = now - seen_us;
}

static bool is_caught_up(const struct server *s, const struct read_floor *f, uint64_t now)
{
	return s == s->group->primary ||
	       (f->known && (pw_position_compare(&s->at, &f->at) >= 0 ||
			     pw_replica_lag_covers(&s->lag, f->age_us, now)));
}

bool gw_group_has_room(const struct group *g)
{
	uint64_t now = gateway_now_us(g->gateway);

	for (guint i = 0; i < g->servers->len; i++) {
		const struct server *s = g_ptr_array_index(g->servers, i);

		if (s->listed && now >= s->pause_until_us && may_start(s, now))
			return true;
	}
	return false;
}

/* Statements that wait for the same servers. */
static uint32_t waiting_like(const struct work *w)
{
	uint32_t count = 0;

	for (const GList *l = w->group->waiting.head; l; l = l->next)
		count += ((const struct work *)l->data)->primary == w->primary;
	return count;
}

uint64_t gw_group_backlog_us(const struct work *w)
{
	const struct group *g = w->group;
	uint64_t now = gateway_now_us(g->gateway), least_us = UINT64_MAX;
	uint32_t waiting = waiting_like(w);
	struct read_floor floor;

	find_floor(&floor, w, now);
	for (guint i = 0; i < g->servers->len; i++) {
		const struct server *s = g_ptr_array_index(g->servers, i);

		if (!s->listed ||
		    (w->primary ? s != g->primary : s->leaving || !is_caught_up(s, &floor, now)))
			continue;
		least_us = MIN(least_us,
			       pw_congestion_backlog_us(&s->congestion, waiting, latency_us(s)));
	}
	return least_us == UINT64_MAX ? 0 : least_us;
}

static struct server *place_read(const struct work *w)
{
	struct group *g = w->group;
	uint64_t now = gateway_now_us(g->gateway);
	struct pw_place_server list[CANDIDATES_MAX];
	uint32_t count = MIN(g->servers->len, CANDIDATES_MAX);
	struct read_floor floor;
	int32_t best;

	find_floor(&floor, w, now);

	for (uint32_t i = 0; i < count; i++) {
		const struct server *s = g_ptr_array_index(g->servers, i);
		bool primary = s == g->primary;

		list[i] = (struct pw_place_server){
			.usable = primary ? primary_is_usable(g, w, now) && s != w->avoid
					  : is_usable(s, w, now),
			.primary = primary,
			.caught_up = is_caught_up(s, &floor, now),
			.running = s->running,
			.latency_us = latency_us(s),
			.distance = s->distance,
		};
		list[i].usable = list[i].usable && may_start(s, now);
		list[i].can_open = gw_conn_available(s, w->account, &list[i].has_idle);
	}
	best = pw_place_read(list, count);
	return best < 0 ? NULL : g_ptr_array_index(g->servers, (guint)best);
}

struct server *gw_group_place(const struct work *w)
{
	struct group *g = w->group;
	uint64_t now = gateway_now_us(g->gateway);
	bool has_idle;

	if (!w->primary)
		return place_read(w);
	if (!primary_is_usable(g, w, now) || !may_start(g->primary, now) ||
	    !gw_conn_available(g->primary, w->account, &has_idle))
		return NULL;
	return g->primary;
}

void gw_group_server_heard(struct server *s)
{
	struct group *g = s->group;

	s->contact_us = gateway_now_us(g->gateway);
	s->asked_us = 0;
	if (s == g->primary) {
		g->reached_us = s->contact_us;
		g->lost_since_us = 0;
	}
}

void gw_group_server_asked(struct server *s)
{
	if (!s->asked_us)
		s->asked_us = gateway_now_us(s->group->gateway);
}

void gw_group_server_connected(struct server *s)
{
	/* Its process may be stuck, so this is no sign of life; it only tells of the network. */
	s->contact_us = gateway_now_us(s->group->gateway);
}

void gw_group_server_failed(struct server *s)
{
	struct group *g = s->group;
	uint64_t now = gateway_now_us(g->gateway);

	if (s == g->primary && !g->lost_since_us) {
		g->lost_since_us = now;
		pw_event_log(PW_EVENT_UPSTREAM_DOWN, "database=%s server=%s", g->name, s->id);
	}
	s->backoff_us = s->backoff_us ? MIN(s->backoff_us * 2, SERVER_BACKOFF_MAX_US)
				      : SERVER_BACKOFF_FIRST_US;
	s->pause_until_us = now + s->backoff_us;
	pw_mailbox_send(g->gateway->directory->catalog, pw_servers_refresh_msg());
}

void gw_group_server_busy(struct server *s)
{
	pw_congestion_refused(&s->congestion, under_way(s), latency_us(s),
			      gateway_now_us(s->group->gateway));
}

void gw_group_note_answer(struct server *s, struct conn *c, uint64_t sent_us,
			  const struct pw_position *at)
{
	struct group *g = s->group;
	uint64_t now = gateway_now_us(g->gateway);

	s->latency_us = pw_latency_add(s->latency_us, now - sent_us);
	if (c->work && c->work->reason == PW_REASON_NONE)
		pw_congestion_served(&s->congestion);
	if (at)
		s->at = pw_position_max(&s->at, at);
	if (c->floor_seen_us && c->work && c->work->reason == PW_REASON_NONE)
		pw_replica_lag_served(&s->lag, now - c->floor_seen_us, now);
	/* A statement of an open transaction may have gone to a primary that is replaced by now. */
	if (at && s == g->primary && gw_group_is_present(c))
		pw_history_note(&g->history, sent_us, at);
}

static void probe_failed(struct probe *p)
{
	struct server *s = p->server;

	end_probe(p);
	gw_group_server_failed(s);
	/* What has waited for long waits for nothing. */
	fail_conns(s, is_silent, "the server cannot be reached");
}

static void probe_connected(struct pw_stream *stream)
{
	struct probe *p = (struct probe *)stream;

	gw_group_server_connected(p->server);
	end_probe(p);
}

static void probe_received(struct pw_stream *stream)
{
	pw_stream_consume(stream, UINT32_MAX);
}

static void probe_closed(struct pw_stream *stream)
{
	probe_failed((struct probe *)stream);
}

static const struct pw_stream_ops probe_ops = {
	.connected = probe_connected,
	.received = probe_received,
	.closed = probe_closed,
};

static void probe_expire(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	probe_failed((struct probe *)((char *)t - offsetof(struct probe, timer)));
}

static const struct pw_timer_ops probe_timer_ops = { .expire = probe_expire };

static void start_probe(struct server *s)
{
	struct gateway *g = s->group->gateway;
	struct probe *p;

	if (s->probe)
		return;
	p = g_new0(struct probe, 1);
	p->server = s;
	p->timer.ops = &probe_timer_ops;
	if (pw_stream_connect(&p->stream, &probe_ops, g->task.loop, s->address)) {
		g_free(p);
		gw_group_server_failed(s);
		return;
	}
	s->probe = p;
	pw_loop_timer_set(g->task.loop, &p->timer, gateway_now_us(g) + PROBE_TIMEOUT_US);
}

void gw_group_check_primary(struct group *g)
{
	if (g->primary && g->primary->listed && !g->primary->asked_us &&
	    gateway_now_us(g->gateway) - g->reached_us > PROBE_SILENCE_US)
		(void)gw_conn_ping(g->primary, true);
}

static bool has_silent(const struct server *s)
{
	for (guint i = 0; i < s->conns->len; i++) {
		if (is_silent(g_ptr_array_index(s->conns, i)))
			return true;
	}
	return false;
}

void gw_group_tick(struct group *g)
{
	uint64_t now = gateway_now_us(g->gateway);

	gw_group_check_settled(g);
	for (guint i = 0; i < g->servers->len; i++) {
		struct server *s = g_ptr_array_index(g->servers, i);
		uint64_t silent_us = now - s->contact_us;

		if (s->listed && s->asked_us && now - s->asked_us > SILENT_LOST_US &&
		    now >= s->pause_until_us) {
			gw_group_server_failed(s);
			fail_conns(s, is_silent, "the server does not answer");
		}

		if (s->listed && silent_us > PROBE_SILENCE_US && has_silent(s))
			start_probe(s);
		else if (s->listed && silent_us > PROBE_IDLE_US && s == g->primary)
			(void)gw_conn_ping(s, false);
		gw_conn_close_idle(s, false);
	}
	if (g->waiting.length)
		gw_work_pump(g);
}
