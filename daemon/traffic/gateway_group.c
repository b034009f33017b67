#include "gateway_private.h"

#include <inttypes.h>
#include <string.h>

#include "pw/core/error.h"
#include "pw/core/event.h"

/* Maximum number of servers that are considered for one read. */
#define READ_CANDIDATES_MAX 16
/* Usual time to replace a lost primary, counted from when its record is marked as changing. */
#define CHANGE_TYPICAL_US (1300 * PW_US_PER_MS)
/* Retry time given to callers while this VM cannot reach the store. */
#define STORE_OUTAGE_RETRY_US (1000 * PW_US_PER_MS)
/*
 * A primary whose entry says that it is about to stop gets statements that need the primary for at
 * most this time, even if no other server has replaced it by then.
 */
#define LEAVING_PRIMARY_GRACE_US (4 * PW_US_PER_S)

/* A TCP connect that checks whether a server can be reached. */
struct probe {
	struct pw_stream stream;
	struct pw_timer timer;
	struct server *server;
	uint64_t started_us;
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

/* Ends the probe; it is freed by the next tick. */
static void end_probe(struct probe *probe)
{
	struct gateway *g = probe->server->group->gateway;

	pw_loop_timer_clear(g->task.loop, &probe->timer);
	pw_stream_dispose(&probe->stream);
	probe->server->probe = NULL;
	gateway_free_later(g, probe);
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
	struct group *group = data;

	for (guint i = 0; i < group->servers->len; i++)
		gw_group_server_free(g_ptr_array_index(group->servers, i));
	g_ptr_array_unref(group->servers);
	g_free(group->primary_id);
	g_free(group->name);
	g_free(group);
}

static struct server *find_server(const struct group *group, const char *id)
{
	for (guint i = 0; i < group->servers->len; i++) {
		struct server *s = g_ptr_array_index(group->servers, i);

		if (strcmp(s->id, id) == 0)
			return s;
	}
	return NULL;
}

/*
 * Fails the connections of a server that meet a condition. Their statements are retried, refused,
 * or answered as having an unknown outcome.
 *
 * `fail` is gw_conn_fail() or gw_conn_abandon().
 */
static void fail_conns(struct server *s, bool (*should_fail)(const struct conn *c),
		       void (*fail)(struct conn *c, const char *text), const char *text)
{
	GPtrArray *conns = g_ptr_array_copy(s->conns, NULL, NULL);

	for (guint i = 0; i < conns->len; i++) {
		struct conn *c = g_ptr_array_index(conns, i);

		if (!c->closed && should_fail(c))
			fail(c, text);
	}
	g_ptr_array_unref(conns);
}

static bool matches_any_conn(const struct conn *c)
{
	(void)c;
	return true;
}

/* Whether the connection has work at the primary, an open transaction included. */
static bool runs_on_primary(const struct conn *c)
{
	return c->generation && c->state != CONN_IDLE;
}

/* Whether an answer, or the opening of the connection, has been outstanding for too long. */
static bool awaits_overdue_answer(const struct conn *c)
{
	uint64_t now_us = gateway_now_us(c->server->group->gateway);

	return c->state != CONN_IDLE && c->state != CONN_PINNED &&
	       now_us - c->sent_us > PROBE_SILENCE_US;
}

/*
 * Applies the address and start time of a server's entry. If they differ from those of an earlier
 * entry, the server is a new process without the connections of the old one: these are failed, and
 * the measured latency and load are reset.
 */
static void apply_address_and_start(struct server *s, const struct pw_server_entry *e)
{
	if (s->started_ms == e->started_ms && strcmp(s->address, e->address) == 0)
		return;
	if (s->started_ms) {
		fail_conns(s, matches_any_conn, gw_conn_fail, "the server was restarted");
		s->latency_us = 0;
		s->pause_until_us = 0;
		s->silence = (struct pw_silence){ 0 };
		s->congestion = (struct pw_congestion){ 0 };
		s->speed = (struct pw_speed){ 0 };
	}
	s->started_ms = e->started_ms;
	g_free(s->address);
	s->address = g_strdup(e->address);
}

bool gw_group_is_evacuated(const struct server *s)
{
	return gateway_now_us(s->group->gateway) >= s->evacuation_stop_us;
}

static void apply_entry(struct group *group, const struct pw_server_entry *e)
{
	struct server *s = find_server(group, e->id);

	if (!s) {
		s = g_new0(struct server, 1);
		s->group = group;
		s->id = g_strdup(e->id);
		s->conns = g_ptr_array_new();
		s->distance =
			pw_directory_zone_distance(group->gateway->directory, e->availability_zone);
		g_ptr_array_add(group->servers, s);
	}
	apply_address_and_start(s, e);
	s->registered = true;
	s->claims_primary = e->claims_primary;
	if (e->leaving && !s->leaving)
		s->leaving_since_us = gateway_now_us(group->gateway);
	s->leaving = e->leaving;
	s->evacuation_stop_us = e->evacuated ? e->evacuation_stop_us : UINT64_MAX;
	if (s->leaving)
		gw_conn_close_idle(s, true);
}

/* Sets `primary` to the server with the id `primary_id`, or to NULL if there is none. */
static void update_primary(struct group *group)
{
	group->primary = group->primary_id ? find_server(group, group->primary_id) : NULL;
}

void gw_group_apply_servers(struct gateway *g)
{
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, g->groups);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		const struct group *group = item;

		for (guint i = 0; i < group->servers->len; i++)
			((struct server *)g_ptr_array_index(group->servers, i))->registered = false;
	}
	for (guint i = 0; i < g->servers->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(g->servers->entries, i);

		apply_entry(gw_group_get(g, e->group), e);
	}
	g_hash_table_iter_init(&it, g->groups);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		struct group *group = item;

		for (guint i = group->servers->len; i-- > 0;) {
			struct server *s = g_ptr_array_index(group->servers, i);

			if (s->registered)
				continue;
			gw_conn_close_idle(s, true);
			if (!s->conns->len && !s->probe) {
				g_ptr_array_remove_index(group->servers, i);
				gateway_free_server_later(g, s);
			}
		}
		update_primary(group);
		gw_work_dispatch_waiting(group);
	}
}

/* Applies a new generation of the primary; fails the work at the former one. */
static void apply_generation(struct group *group, const struct pw_primary *p)
{
	struct server *old_primary = group->primary;

	if (group->generation == p->generation)
		return;
	group->generation = p->generation;
	pw_history_set_generation(&group->history, p->generation);
	group->primary_last_answer_us = 0;
	group->primary_unreachable_since_us = 0;
	if (old_primary)
		fail_conns(old_primary, runs_on_primary, gw_conn_fail, "the primary was replaced");
}

static void apply_primary(struct group *group, const struct pw_primary *p)
{
	bool change_starts =
		p->changing && (!group->changing || group->generation != p->generation);

	if (g_strcmp0(group->primary_id, p->server_id) != 0) {
		g_free(group->primary_id);
		group->primary_id = g_strdup(p->server_id);
	}
	apply_generation(group, p);
	update_primary(group);
	group->changing = p->changing;
	group->change_planned = p->planned;
	if (change_starts) {
		group->changing_since_us = gateway_now_us(group->gateway);
		group->drain_until_us = group->changing_since_us + PLANNED_DRAIN_TIMEOUT_US;
		group->settled = false;
	}
}

void gw_group_apply_primaries(struct gateway *g)
{
	for (guint i = 0; g->primaries && i < g->primaries->entries->len; i++) {
		const struct pw_primary *p = g_ptr_array_index(g->primaries->entries, i);
		struct group *group = gw_group_get(g, p->group);

		apply_primary(group, p);
		gw_group_try_settle(group);
		gw_work_dispatch_waiting(group);
	}
}

void gw_group_limit_drains(struct gateway *g, uint64_t until_us)
{
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, g->groups);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		struct group *group = item;

		if (!group->changing || group->settled)
			continue;
		group->drain_until_us = MIN(group->drain_until_us, until_us);
		gw_group_try_settle(group);
	}
}

void gw_group_apply_positions(struct gateway *g, const GPtrArray *positions)
{
	for (guint i = 0; i < positions->len; i++) {
		const struct pw_seen_position *seen_position = g_ptr_array_index(positions, i);
		struct group *group = gw_group_get(g, seen_position->group);

		if (seen_position->generation != group->generation)
			continue;
		pw_history_record(&group->history, seen_position->statement_sent_us,
				  &seen_position->position);
		if (group->wait_queue.length)
			gw_work_dispatch_waiting(group);
	}
}

bool gw_group_is_current_primary(struct conn *c)
{
	const struct group *group = c->server->group;

	if (c->generation != group->generation || !gateway_may_use_primaries(group->gateway))
		return false;
	return !group->changing ||
	       (!group->settled && gateway_now_us(group->gateway) < group->drain_until_us);
}

void gw_group_try_settle(struct group *group)
{
	uint64_t now_us = gateway_now_us(group->gateway);
	bool drain_over;

	if (!group->changing || group->settled)
		return;
	drain_over = !group->change_planned || now_us >= group->drain_until_us;
	for (guint i = 0; group->primary && !drain_over && i < group->primary->conns->len; i++) {
		if (runs_on_primary(g_ptr_array_index(group->primary->conns, i)))
			return;
	}
	group->settled = true;
	if (group->primary)
		fail_conns(group->primary, runs_on_primary, gw_conn_fail,
			   "the primary is being changed");
	gateway_send_report(group->gateway);
}

/*
 * Returns the number of connections in use, including those that are being opened, but not those of
 * transactions without a statement in flight.
 */
static uint32_t count_conns_in_use(const struct server *s)
{
	uint32_t count = 0;

	for (guint i = 0; i < s->conns->len; i++) {
		const struct conn *c = g_ptr_array_index(s->conns, i);

		count += c->state != CONN_IDLE && c->state != CONN_PINNED;
	}
	return count;
}

/* Whether the congestion window of the server allows another statement. */
static bool may_start(const struct server *s, uint64_t now_us)
{
	return !s->congestion.window ||
	       pw_congestion_may_start(&s->congestion, count_conns_in_use(s), now_us);
}

/* Whether the server takes another read well, as far as was learned. */
static bool takes_read_well(const struct server *s, uint64_t now_us)
{
	return pw_speed_may_start(&s->speed, count_conns_in_use(s), now_us);
}

static bool is_avoided(const struct server *s, const struct work *w)
{
	return w->avoid_server_id && strcmp(w->avoid_server_id, s->id) == 0;
}

static bool is_replica_usable(const struct server *s, const struct work *w, uint64_t now_us)
{
	return s->registered && !s->leaving && now_us >= s->pause_until_us && !is_avoided(s, w);
}

static bool is_primary_usable(const struct group *group, const struct work *w, uint64_t now_us)
{
	const struct server *primary = group->primary;

	return primary && primary->registered && !group->changing &&
	       now_us >= primary->pause_until_us && now_us < primary->evacuation_stop_us &&
	       (!primary->leaving ||
		now_us - primary->leaving_since_us < LEAVING_PRIMARY_GRACE_US) &&
	       (w->needs_primary || !primary->leaving) && gateway_may_use_primaries(group->gateway);
}

bool gw_group_has_evacuated_all(const struct work *w)
{
	const struct group *group = w->group;
	bool any_evacuated = false;

	for (guint i = 0; i < group->servers->len; i++) {
		const struct server *s = g_ptr_array_index(group->servers, i);

		if (!s->registered || (w->needs_primary && s != group->primary))
			continue;
		if (s->evacuation_stop_us == UINT64_MAX ||
		    (s == group->primary && !gw_group_is_evacuated(s)))
			return false;
		any_evacuated = true;
	}
	return any_evacuated && !group->changing;
}

uint64_t gw_group_primary_ready_us(const struct group *group)
{
	uint64_t now_us = gateway_now_us(group->gateway);

	/*
	 * A permit lasts PW_PERMIT_DURATION_US and is renewed at the store, so one that has expired
	 * means that the store has been unreachable for that long.
	 */
	if (group->gateway->permit_until_us && !gateway_may_use_primaries(group->gateway))
		return now_us + STORE_OUTAGE_RETRY_US;
	if (group->changing)
		return MAX(group->changing_since_us +
				   (group->change_planned ? 0 : CHANGE_TYPICAL_US),
			   now_us);
	if (group->primary_unreachable_since_us &&
	    now_us - group->primary_unreachable_since_us > PROBE_SILENCE_US)
		return MAX(group->primary_unreachable_since_us + PW_CHANGE_LOST_AFTER_US +
				   CHANGE_TYPICAL_US,
			   now_us);
	return now_us;
}

static uint64_t latency_us(const struct server *s)
{
	return s->latency_us ? s->latency_us : PW_LATENCY_INITIAL_US;
}

static struct pw_speed_work speed_work(const struct work *w)
{
	return (struct pw_speed_work){
		.kind = w->is_commit || w->is_autocommit_write ? PW_SPEED_COMMIT
			: w->writes                            ? PW_SPEED_WRITE
							       : PW_SPEED_READ,
		.route_class = pw_speed_route_class(w->operation.target_us),
	};
}

/* Whether the choice of a server goes by the learned speed, not by the average latency alone. */
static bool learns_speed(const struct group *group)
{
	return group->gateway->directory->settings->learn_server_speed;
}

static uint64_t expected_us(const struct server *s, const struct work *w, uint64_t now_us)
{
	uint64_t us = pw_speed_expected_us(&s->speed, &s->group->speed, speed_work(w), now_us);

	if (!learns_speed(s->group))
		return latency_us(s);
	return us ? us : PW_LATENCY_INITIAL_US;
}

static const struct pw_speed_work opening_work = { .kind = PW_SPEED_OPENING };

/* Position that a replica needs for a read. */
struct read_floor {
	bool known; /**< false: the read has to run at the primary */
	struct pw_position position;
	uint64_t age_us; /**< time since the position was observed */
};

/* Finds the position that a replica needs for the read, and its age. */
static void find_floor(struct read_floor *f, const struct work *w, uint64_t now_us)
{
	uint64_t observed_us = now_us;

	*f = (struct read_floor){ 0 };
	f->known = gw_work_find_floor(w, &f->position, &observed_us);
	f->age_us = now_us - observed_us;
}

/* Whether the server is expected to have the position that the read needs. */
static bool is_caught_up(const struct server *s, const struct read_floor *f, uint64_t now_us)
{
	return s == s->group->primary ||
	       (f->known && (pw_position_compare(&s->position, &f->position) >= 0 ||
			     pw_replica_lag_covers(&s->replica_lag, f->age_us, now_us)));
}

bool gw_group_has_capacity(const struct group *group)
{
	uint64_t now_us = gateway_now_us(group->gateway);

	for (guint i = 0; i < group->servers->len; i++) {
		const struct server *s = g_ptr_array_index(group->servers, i);

		if (s->registered && now_us >= s->pause_until_us && may_start(s, now_us))
			return true;
	}
	return false;
}

/* Returns the number of waiting statements that need the same servers as this one. */
static uint32_t count_waiting_for_same_servers(const struct work *w)
{
	uint32_t count = 0;

	for (const GList *l = w->group->wait_queue.head; l; l = l->next)
		count += ((const struct work *)l->data)->needs_primary == w->needs_primary;
	return count;
}

/* Estimates the time until the server has started so many statements like this one. */
static uint64_t backlog_us(const struct server *s, const struct work *w, uint32_t waiting_count,
			   uint64_t now_us)
{
	uint64_t window_us = pw_congestion_backlog_us(&s->congestion, waiting_count, latency_us(s));
	uint64_t limit_us = w->needs_primary ? 0
					     : pw_speed_backlog_us(&s->speed, waiting_count,
								   expected_us(s, w, now_us));

	return MAX(window_us, limit_us);
}

uint64_t gw_group_backlog_us(const struct work *w)
{
	const struct group *group = w->group;
	uint64_t now_us = gateway_now_us(group->gateway), min_backlog_us = UINT64_MAX;
	uint32_t waiting_count = count_waiting_for_same_servers(w);
	struct read_floor floor;

	find_floor(&floor, w, now_us);
	for (guint i = 0; i < group->servers->len; i++) {
		const struct server *s = g_ptr_array_index(group->servers, i);

		if (!s->registered ||
		    (w->needs_primary ? s != group->primary
				      : s->leaving || !is_caught_up(s, &floor, now_us)))
			continue;
		min_backlog_us = MIN(min_backlog_us, backlog_us(s, w, waiting_count, now_us));
	}
	return min_backlog_us == UINT64_MAX ? 0 : min_backlog_us;
}

/* Describes what the choice of a server for the read needs to know of this one. */
static struct pw_place_candidate read_candidate(const struct work *w, const struct server *s,
						const struct read_floor *floor, uint64_t now_us)
{
	struct group *group = s->group;
	bool is_primary = s == group->primary;
	struct pw_place_candidate c = {
		.is_usable = (is_primary ? is_primary_usable(group, w, now_us) && !is_avoided(s, w)
					 : is_replica_usable(s, w, now_us)) &&
			     may_start(s, now_us) && takes_read_well(s, now_us),
		.is_primary = is_primary,
		.caught_up = is_caught_up(s, floor, now_us),
		.in_flight = s->in_flight,
		.expected_us = expected_us(s, w, now_us),
		.opening_us = pw_speed_expected_us(&s->speed, &group->speed, opening_work, now_us),
		.failure_permille = pw_speed_failure_permille(&s->speed, now_us),
		.trial_is_due = learns_speed(group) && pw_speed_trial_is_due(&s->speed, now_us),
		.distance = s->distance,
	};

	c.can_open_connection = gw_conn_is_available(s, w, &c.has_idle_connection);
	return c;
}

static struct server *find_read_server(const struct work *w, bool *is_trial)
{
	struct group *group = w->group;
	uint64_t now_us = gateway_now_us(group->gateway);
	struct pw_place_candidate candidates[READ_CANDIDATES_MAX];
	uint32_t count = MIN(group->servers->len, READ_CANDIDATES_MAX);
	struct read_floor floor;
	int32_t best;

	find_floor(&floor, w, now_us);
	for (uint32_t i = 0; i < count; i++)
		candidates[i] =
			read_candidate(w, g_ptr_array_index(group->servers, i), &floor, now_us);
	best = learns_speed(group)
		       ? pw_place_choose_server(candidates, count, (uint32_t)pw_clock_random_u64())
		       : pw_place_choose_cheapest(candidates, count);
	if (best < 0)
		return NULL;
	*is_trial = candidates[best].trial_is_due;
	return g_ptr_array_index(group->servers, (guint)best);
}

bool gw_group_can_repeat_read(const struct work *w, const struct server *failed)
{
	const struct group *group = w->group;
	uint64_t now_us = gateway_now_us(group->gateway);
	struct read_floor floor;

	find_floor(&floor, w, now_us);
	for (guint i = 0; i < group->servers->len; i++) {
		const struct server *s = g_ptr_array_index(group->servers, i);
		const struct pw_place_candidate c = read_candidate(w, s, &floor, now_us);

		if (s != failed && pw_place_can_take_read(&c) &&
		    pw_speed_fails_more(&failed->speed, &s->speed, now_us))
			return true;
	}
	return false;
}

struct server *gw_group_find_server(const struct work *w, bool *is_trial)
{
	struct group *group = w->group;
	uint64_t now_us = gateway_now_us(group->gateway);
	bool has_idle_conn, ignored;

	if (!w->needs_primary)
		return find_read_server(w, is_trial ? is_trial : &ignored);
	if (!is_primary_usable(group, w, now_us) || !may_start(group->primary, now_us) ||
	    !gw_conn_is_available(group->primary, w, &has_idle_conn))
		return NULL;
	return group->primary;
}

struct server *gw_group_choose_server(const struct work *w)
{
	bool is_trial = false;
	struct server *s = gw_group_find_server(w, &is_trial);

	if (is_trial)
		pw_counter_inc(PW_COUNTER_UPSTREAM_TRIALS);
	return s;
}

/* Why a server does not take a statement, ordered by how near it comes to taking it. */
enum blocking_reason {
	BLOCKED_UNREGISTERED,
	BLOCKED_CHANGING,
	BLOCKED_PERMIT,
	BLOCKED_EVACUATED,
	BLOCKED_LEAVING,
	BLOCKED_PAUSED,
	BLOCKED_AVOIDED,
	BLOCKED_LAGGING,
	BLOCKED_WINDOW,
	BLOCKED_SLOW,
	BLOCKED_CONNECTIONS,
	BLOCKED_NONE,
};

static const char *const blocking_reason_names[] = {
	[BLOCKED_UNREGISTERED] = "unregistered",
	[BLOCKED_CHANGING] = "changing",
	[BLOCKED_PERMIT] = "permit",
	[BLOCKED_EVACUATED] = "evacuated",
	[BLOCKED_LEAVING] = "leaving",
	[BLOCKED_PAUSED] = "paused",
	[BLOCKED_AVOIDED] = "avoided",
	[BLOCKED_LAGGING] = "lagging",
	[BLOCKED_WINDOW] = "window",
	[BLOCKED_SLOW] = "slow",
	[BLOCKED_CONNECTIONS] = "connections",
	[BLOCKED_NONE] = "none",
};

static enum blocking_reason find_blocking_reason(const struct work *w, const struct server *s,
						 const struct read_floor *floor, uint64_t now_us)
{
	const struct group *group = s->group;
	bool has_idle_conn;

	if (!s->registered)
		return BLOCKED_UNREGISTERED;
	if (s == group->primary && group->changing)
		return BLOCKED_CHANGING;
	if (s == group->primary && !gateway_may_use_primaries(group->gateway))
		return BLOCKED_PERMIT;
	if (gw_group_is_evacuated(s))
		return BLOCKED_EVACUATED;
	if (s->leaving)
		return BLOCKED_LEAVING;
	if (now_us < s->pause_until_us)
		return BLOCKED_PAUSED;
	if (!w->needs_primary && is_avoided(s, w))
		return BLOCKED_AVOIDED;
	if (!w->needs_primary && !is_caught_up(s, floor, now_us))
		return BLOCKED_LAGGING;
	if (!may_start(s, now_us))
		return BLOCKED_WINDOW;
	if (!w->needs_primary && !takes_read_well(s, now_us))
		return BLOCKED_SLOW;
	return gw_conn_is_available(s, w, &has_idle_conn) ? BLOCKED_NONE : BLOCKED_CONNECTIONS;
}

void gw_group_view_server(struct server_view *v, const struct work *w, const struct server *s)
{
	uint64_t now_us = gateway_now_us(s->group->gateway);
	struct pw_place_candidate *c = &v->candidate;
	struct read_floor floor;

	find_floor(&floor, w, now_us);
	*c = read_candidate(w, s, &floor, now_us);
	if (w->needs_primary)
		c->is_usable = c->is_primary && is_primary_usable(s->group, w, now_us) &&
			       may_start(s, now_us);
	if (w->needs_primary && !c->is_primary)
		v->blocking_reason = "replica";
	else if (w->needs_primary && c->is_usable && c->can_open_connection)
		v->blocking_reason = blocking_reason_names[BLOCKED_NONE];
	else
		v->blocking_reason =
			blocking_reason_names[find_blocking_reason(w, s, &floor, now_us)];
}

const char *gw_group_blocking_reason(const struct work *w)
{
	const struct group *group = w->group;
	uint64_t now_us = gateway_now_us(group->gateway);
	enum blocking_reason nearest = BLOCKED_UNREGISTERED;
	struct read_floor floor;

	find_floor(&floor, w, now_us);
	for (guint i = 0; i < group->servers->len; i++) {
		const struct server *s = g_ptr_array_index(group->servers, i);

		if (!w->needs_primary || s == group->primary)
			nearest = MAX(nearest, find_blocking_reason(w, s, &floor, now_us));
	}
	return blocking_reason_names[nearest];
}

void gw_group_record_received(struct server *s)
{
	struct group *group = s->group;

	s->last_contact_us = gateway_now_us(group->gateway);
	pw_silence_record_received(&s->silence, s->last_contact_us);
	if (s == group->primary) {
		group->primary_last_answer_us = s->last_contact_us;
		group->primary_unreachable_since_us = 0;
	}
}

void gw_group_record_connected(struct server *s, uint64_t sent_us)
{
	/*
	 * The kernel accepts connections even if the server's process is stuck, so this does not
	 * end the wait for an answer.
	 */
	s->last_contact_us = gateway_now_us(s->group->gateway);
	if (learns_speed(s->group))
		pw_speed_record_round_trip(&s->speed, s->last_contact_us - sent_us);
}

/* Returns since when the server has left a message unanswered; 0: it has not. */
static uint64_t unanswered_since_us(const struct server *s)
{
	uint64_t since_us = s->silence.abandoned_since_us;

	for (guint i = 0; i < s->conns->len; i++) {
		const struct conn *c = g_ptr_array_index(s->conns, i);

		since_us = pw_silence_since_us(&s->silence, since_us, c->unanswered_since_us);
	}
	return since_us;
}

/* Whether an open connection to the server waits for an answer. */
static bool owes_answer(const struct server *s)
{
	for (guint i = 0; i < s->conns->len; i++) {
		const struct conn *c = g_ptr_array_index(s->conns, i);

		if (pw_silence_owes(&s->silence, c->unanswered_since_us))
			return true;
	}
	return false;
}

static const char *const failure_names[] = {
	[FAILURE_CONNECT] = "connect",
	[FAILURE_OPEN] = "open",
	[FAILURE_PROBE] = "probe",
	[FAILURE_SILENT] = "silent",
};

static void record_speed_failure(struct server *s)
{
	if (learns_speed(s->group))
		pw_speed_record_failure(&s->speed, gateway_now_us(s->group->gateway));
}

void gw_group_record_server_failure(struct server *s, enum server_failure failure)
{
	struct group *group = s->group;
	uint64_t now_us = gateway_now_us(group->gateway), since_us = unanswered_since_us(s);

	if (s == group->primary && !group->primary_unreachable_since_us) {
		group->primary_unreachable_since_us = now_us;
		pw_event_log(PW_EVENT_UPSTREAM_DOWN,
			     "database=%s server=%s cause=%s unanswered_ms=%" PRIu64, group->name,
			     s->id, failure_names[failure],
			     since_us ? (now_us - since_us) / PW_US_PER_MS : 0);
	}
	s->backoff_us = s->backoff_us ? MIN(s->backoff_us * 2, SERVER_BACKOFF_MAX_US)
				      : SERVER_BACKOFF_INITIAL_US;
	s->pause_until_us = now_us + s->backoff_us;
	record_speed_failure(s);
	pw_mailbox_send(group->gateway->directory->catalog, pw_servers_refresh_msg());
}

void gw_group_record_server_busy(struct server *s)
{
	uint64_t now_us = gateway_now_us(s->group->gateway);

	pw_congestion_record_refusal(&s->congestion, count_conns_in_use(s), latency_us(s), now_us);
	record_speed_failure(s);
}

void gw_group_record_lost(struct server *s)
{
	record_speed_failure(s);
}

void gw_group_record_start(struct server *s, const struct work *w)
{
	uint64_t now_us = gateway_now_us(s->group->gateway);

	pw_congestion_record_start(&s->congestion, latency_us(s), now_us);
	if (learns_speed(s->group))
		pw_speed_record_start(&s->speed, expected_us(s, w, now_us), now_us);
}

/* Records the time of an answer, and logs when the learned limit begins or ends. */
static void record_speed(struct server *s, struct pw_speed_work work, uint64_t answer_us)
{
	bool was_limited = s->speed.limit_milli;

	if (!learns_speed(s->group))
		return;
	pw_speed_record_answer(&s->speed, &s->group->speed, work, answer_us, count_conns_in_use(s),
			       gateway_now_us(s->group->gateway));
	if (was_limited == (s->speed.limit_milli != 0))
		return;
	if (!was_limited)
		pw_counter_inc(PW_COUNTER_UPSTREAM_LIMITED);
	pw_event_log(PW_EVENT_UPSTREAM_LIMITED,
		     "database=%s server=%s limit_milli=%u factor_log_milli=%d failure_permille=%u",
		     s->group->name, s->id, s->speed.limit_milli, s->speed.factor_log_milli,
		     s->speed.failure_permille);
}

void gw_group_record_opened(struct server *s, uint64_t sent_us)
{
	uint64_t opening_us = gateway_now_us(s->group->gateway) - sent_us;

	/* Two round trips: the connect and the handshake. */
	record_speed(s, opening_work, opening_us - MIN(opening_us, s->speed.round_trip_us));
}

static void record_answer_speed(struct server *s, const struct work *w, uint64_t answer_us)
{
	switch (w->reason) {
	case PW_REASON_NONE:
		record_speed(s, speed_work(w), answer_us);
		break;
	case PW_REASON_FAILED:
	case PW_REASON_TIMEOUT:
	case PW_REASON_OTHER:
		record_speed_failure(s);
		break;
	default:
		break;
	}
}

void gw_group_record_answer(struct server *s, struct conn *c, uint64_t sent_us,
			    const struct pw_position *position)
{
	struct group *group = s->group;
	uint64_t now_us = gateway_now_us(group->gateway);

	s->latency_us = pw_latency_average_add(s->latency_us, now_us - sent_us);
	if (c->work)
		record_answer_speed(s, c->work, now_us - sent_us);
	if (c->work && c->work->reason == PW_REASON_NONE)
		pw_congestion_record_success(&s->congestion);
	if (position)
		s->position = pw_position_max(&s->position, position);
	if (c->floor_observed_us && c->work && c->work->reason == PW_REASON_NONE)
		pw_replica_lag_record_served(&s->replica_lag, now_us - c->floor_observed_us,
					     now_us);
	/* The statement may belong to a transaction at a primary that has been replaced since. */
	if (position && s == group->primary && gw_group_is_current_primary(c))
		pw_history_record(&group->history, sent_us, position);
}

static void probe_failed(struct probe *probe)
{
	struct server *s = probe->server;

	end_probe(probe);
	gw_group_record_server_failure(s, FAILURE_PROBE);
	/* Answers that are overdue will not come from a server that cannot be reached. */
	fail_conns(s, awaits_overdue_answer, gw_conn_abandon, "the server cannot be reached");
}

static void probe_connected(struct pw_stream *stream)
{
	struct probe *probe = (struct probe *)stream;

	gw_group_record_connected(probe->server, probe->started_us);
	end_probe(probe);
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

static void probe_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	probe_failed((struct probe *)((char *)t - offsetof(struct probe, timer)));
}

static const struct pw_timer_ops probe_timer_ops = { .expire = probe_timer_expired };

static void start_probe(struct server *s)
{
	struct gateway *g = s->group->gateway;
	struct probe *probe;

	if (s->probe)
		return;
	probe = g_new0(struct probe, 1);
	probe->server = s;
	probe->started_us = gateway_now_us(g);
	probe->timer.ops = &probe_timer_ops;
	if (pw_stream_connect(&probe->stream, &probe_ops, g->task.loop, s->address)) {
		g_free(probe);
		gw_group_record_server_failure(s, FAILURE_CONNECT);
		return;
	}
	s->probe = probe;
	pw_loop_timer_set(g->task.loop, &probe->timer, gateway_now_us(g) + PROBE_TIMEOUT_US);
}

void gw_group_ping_primary(struct group *group)
{
	if (group->primary && group->primary->registered && !owes_answer(group->primary) &&
	    !gw_group_is_evacuated(group->primary) &&
	    gateway_now_us(group->gateway) - group->primary_last_answer_us > PROBE_SILENCE_US)
		(void)gw_conn_ping(group->primary, true);
}

/* Whether the connection holds a transaction in which no statement is in flight. */
static bool holds_idle_transaction(const struct conn *c)
{
	return c->state == CONN_PINNED;
}

/* Rolls back what is open at a server of an evacuated zone once its time is over. */
static void end_evacuated_transactions(struct server *s)
{
	uint32_t count = 0;

	if (!gw_group_is_evacuated(s))
		return;
	for (guint i = 0; i < s->conns->len; i++)
		count += holds_idle_transaction(g_ptr_array_index(s->conns, i));
	if (!count)
		return;
	pw_counter_add(PW_COUNTER_EVACUATED_TRANSACTIONS, count);
	fail_conns(s, holds_idle_transaction, gw_conn_fail, "the server's zone is evacuated");
}

static bool has_overdue_answer(const struct server *s)
{
	for (guint i = 0; i < s->conns->len; i++) {
		if (awaits_overdue_answer(g_ptr_array_index(s->conns, i)))
			return true;
	}
	return false;
}

void gw_group_tick(struct group *group)
{
	uint64_t now_us = gateway_now_us(group->gateway);

	gw_group_try_settle(group);
	for (guint i = 0; i < group->servers->len; i++) {
		struct server *s = g_ptr_array_index(group->servers, i);
		uint64_t silent_us = now_us - s->last_contact_us;
		uint64_t since_us = unanswered_since_us(s);

		end_evacuated_transactions(s);
		if (s->registered && since_us && now_us - since_us > SERVER_UNRESPONSIVE_US &&
		    now_us >= s->pause_until_us) {
			gw_group_record_server_failure(s, FAILURE_SILENT);
			fail_conns(s, awaits_overdue_answer, gw_conn_abandon,
				   "the server does not answer");
		}

		if (s->registered && silent_us > PROBE_SILENCE_US && has_overdue_answer(s))
			start_probe(s);
		else if (s->registered && silent_us > PRIMARY_PING_IDLE_US && s == group->primary &&
			 !gw_group_is_evacuated(s))
			(void)gw_conn_ping(s, false);
		gw_conn_close_idle(s, false);
	}
	if (group->wait_queue.length)
		gw_work_dispatch_waiting(group);
}
