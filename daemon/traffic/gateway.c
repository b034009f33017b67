#include "gateway_private.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "front.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "request.h"

/* Maximum number of accepts per event, so that a burst of connects does not delay statements. */
#define ACCEPTS_PER_EVENT_MAX 32
void gateway_free_later(struct gateway *g, void *memory)
{
	g_ptr_array_add(g->deferred_frees, memory);
}

void gateway_free_server_later(struct gateway *g, struct server *s)
{
	g_ptr_array_add(g->deferred_servers, s);
}

bool gateway_may_use_primaries(struct gateway *g)
{
	return pw_permit_is_valid(g->permit_until_us, pw_loop_update_now_us(g->task.loop));
}

/*
 * Updates and returns the revision of the newest record of primaries that this task has settled:
 * nothing of the task runs at a primary that the record marks as changing.
 */
static int64_t update_settled_revision(struct gateway *g)
{
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, g->groups);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		const struct group *group = item;

		if (group->changing && !group->settled)
			return g->settled_revision;
	}
	if (g->primaries)
		g->settled_revision = g->primaries->revision;
	return g->settled_revision;
}

void gateway_send_report(struct gateway *g)
{
	struct pw_traffic_report *r = pw_traffic_report_new(g->index);
	GHashTableIter it;
	gpointer item;

	r->settled_revision = update_settled_revision(g);
	g_hash_table_iter_init(&it, g->accounts);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		struct account *a = item;
		struct pw_account_arrivals entry = {
			.arrival_count = a->arrival_count,
			.urgent_arrival_count = a->urgent_arrival_count,
		};

		if (!a->arrival_count)
			continue;
		entry.account = g_strdup(a->name);
		a->arrival_count = 0;
		a->urgent_arrival_count = 0;
		g_array_append_val(r->arrivals, entry);
	}
	g_hash_table_iter_init(&it, g->groups);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		const struct group *group = item;
		struct pw_primary_reachability reachability = {
			.generation = group->generation,
			.last_answer_us = group->primary_last_answer_us,
			.unreachable_since_us = group->primary_unreachable_since_us,
		};

		reachability.group = g_strdup(group->name);
		(void)pw_history_newest(&group->history, &reachability.position,
					&reachability.statement_sent_us);
		g_array_append_val(r->reachability, reachability);
	}
	g->next_report_us = gateway_now_us(g) + GATEWAY_REPORT_INTERVAL_US;
	pw_mailbox_send(g->directory->cluster, &r->base);
}

void gateway_for_each_session(struct gateway *g, void (*action)(struct session *s))
{
	GList *sessions = g_hash_table_get_keys(g->sessions);

	for (GList *l = sessions; l; l = l->next) {
		struct session *s = l->data;

		if (!s->closed)
			action(s);
	}
	g_list_free(sessions);
}

void gateway_accept_sessions(struct gateway *g, int32_t max)
{
	for (int32_t i = 0; i < max; i++) {
		int32_t fd = accept4(g->listener.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		if (g_hash_table_size(g->sessions) < g->sessions_max) {
			gw_session_accept(g, fd);
		} else {
			pw_counter_inc(PW_COUNTER_REFUSED_LIMIT);
			close(fd);
		}
	}
}

static void free_deferred(struct gateway *g)
{
	g_ptr_array_set_size(g->deferred_frees, 0);
	for (guint i = 0; i < g->deferred_servers->len; i++)
		gw_group_server_free(g_ptr_array_index(g->deferred_servers, i));
	g_ptr_array_set_size(g->deferred_servers, 0);
}

static void tick_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct gateway *g = (struct gateway *)((char *)t - offsetof(struct gateway, tick_timer));
	GHashTableIter it;
	gpointer item;

	pw_loop_timer_set(g->task.loop, t, now_us + GATEWAY_TICK_INTERVAL_US);
	free_deferred(g);
	g_hash_table_iter_init(&it, g->groups);
	while (g_hash_table_iter_next(&it, NULL, &item))
		gw_group_tick(item);
	if (now_us >= g->next_report_us)
		gateway_send_report(g);
	gw_memory_tick(g, now_us);
	gw_drain_continue(g);
}

static const struct pw_timer_ops tick_ops = { .expire = tick_timer_expired };

static void listener_ready(struct pw_source *source, uint32_t events)
{
	(void)events;
	gateway_accept_sessions(
		(struct gateway *)((char *)source - offsetof(struct gateway, listener)),
		ACCEPTS_PER_EVENT_MAX);
}

static const struct pw_source_ops listener_ops = { .ready = listener_ready };

static void apply_catalog(struct gateway *g, const struct pw_catalog_msg *m)
{
	pw_catalog_unref(g->catalog);
	g->catalog = pw_catalog_ref(m->catalog);
	for (guint i = 0; i < g->catalog->groups->len; i++) {
		const struct pw_catalog_group *group = g_ptr_array_index(g->catalog->groups, i);

		gw_group_get(g, group->name)->connection_limit = group->connection_limit;
	}
	gateway_for_each_session(g, gw_session_check_key);
}

static void apply_primaries(struct gateway *g, const struct pw_primaries_msg *m)
{
	bool changed = m->primaries && m->primaries != g->primaries;
	bool was_expired = !pw_permit_is_valid(g->permit_until_us, gateway_now_us(g));
	GHashTableIter it;
	gpointer item;

	g->permit_until_us = m->permit_until_us;
	g->member_count = m->member_count;
	if (m->drain_limit_us != g->drain_limit_us) {
		g->drain_limit_us = m->drain_limit_us;
		gw_group_limit_drains(g, m->drain_limit_us);
	}
	if (changed) {
		pw_primaries_unref(g->primaries);
		g->primaries = pw_primaries_ref(m->primaries);
		gw_group_apply_primaries(g);
		gateway_send_report(g);
	} else if (was_expired) {
		/* If the permit was renewed, statements that wait for a primary can start. */
		g_hash_table_iter_init(&it, g->groups);
		while (g_hash_table_iter_next(&it, NULL, &item))
			gw_work_dispatch_waiting(item);
	}
}

static void gateway_receive(struct pw_task *t, struct pw_msg *m)
{
	struct gateway *g = (struct gateway *)t;

	if (m->ops == &pw_catalog_msg_ops) {
		apply_catalog(g, (struct pw_catalog_msg *)m);
	} else if (m->ops == &pw_servers_msg_ops) {
		pw_server_list_unref(g->servers);
		g->servers = pw_server_list_ref(((struct pw_servers_msg *)m)->servers);
		gw_group_apply_servers(g);
	} else if (m->ops == &pw_primaries_msg_ops) {
		apply_primaries(g, (struct pw_primaries_msg *)m);
	} else if (m->ops == &pw_positions_msg_ops) {
		gw_group_apply_positions(g, ((struct pw_positions_msg *)m)->positions);
	} else if (m->ops == &pw_primary_check_msg_ops) {
		gw_group_ping_primary(gw_group_get(g, ((struct pw_primary_check_msg *)m)->group));
	} else if (m->ops == &pw_shares_msg_ops) {
		gw_account_apply_shares(g, ((struct pw_shares_msg *)m)->shares);
		gw_admission_serve_all(g);
	} else if (m->ops == &pw_explain_msg_ops) {
		gw_explain(g, (struct pw_explain_msg *)m);
	} else if (m->ops == &pw_drain_ops) {
		gw_drain_start(g);
	} else if (m->ops == &pw_drain_end_ops) {
		gw_drain_end(g);
	}
	pw_msg_free(m);
}

static int gateway_start(struct pw_task *t)
{
	struct gateway *g = (struct gateway *)t;
	const struct pw_task_args *args = t->args;
	int rc;

	g->directory = args->directory;
	g->index = args->index;
	g->caller_dialect = g->directory->binding->caller;
	g->server_dialect = g->directory->binding->server;
	g->member_count = 1;
	gw_memory_init(g);
	g->listener.ops = &listener_ops;
	g->listener.fd = -1;
	g->tick_timer.ops = &tick_ops;
	rc = pw_stream_listen(&g->listener.fd, g->directory->settings->caller_address);
	if (!rc)
		rc = pw_loop_watch(t->loop, &g->listener, EPOLLIN);
	if (rc) {
		if (g->listener.fd >= 0)
			close(g->listener.fd);
		return rc;
	}
	g->sessions = g_hash_table_new(NULL, NULL);
	g->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, gw_group_free);
	g->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, gw_account_free);
	g->deferred_frees = g_ptr_array_new_with_free_func(g_free);
	g->deferred_servers = g_ptr_array_new();
	pw_loop_timer_set(t->loop, &g->tick_timer, gateway_now_us(g) + GATEWAY_TICK_INTERVAL_US);
	pw_mailbox_send(g->directory->catalog, pw_catalog_request_msg(t->inbox));
	pw_event_log(PW_EVENT_LISTENING, "task=gateway index=%u address=%s", g->index,
		     g->directory->settings->caller_address);
	return PW_OK;
}

static bool is_open(const struct conn *c)
{
	return !c->closed;
}

/* Fails all server connections. `dispatching` keeps waiting statements from being started. */
static void close_conns(struct gateway *g)
{
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, g->groups);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		struct group *group = item;

		group->dispatching = true;
		for (guint i = 0; i < group->servers->len; i++) {
			struct server *server = g_ptr_array_index(group->servers, i);

			while (server->conns->len && is_open(g_ptr_array_index(server->conns, 0)))
				gw_conn_fail(g_ptr_array_index(server->conns, 0),
					     "the process stops");
		}
	}
}

static void gateway_stop(struct pw_task *t)
{
	struct gateway *g = (struct gateway *)t;

	gw_drain_abort(g);
	close_conns(g);
	pw_loop_timer_clear(t->loop, &g->tick_timer);
	gw_memory_dispose(g);
	if (g->listener.fd >= 0) {
		pw_loop_unwatch(t->loop, &g->listener);
		close(g->listener.fd);
	}
	g_hash_table_unref(g->sessions);
	g_hash_table_unref(g->groups);
	g_hash_table_unref(g->accounts);
	free_deferred(g);
	g_ptr_array_unref(g->deferred_frees);
	g_ptr_array_unref(g->deferred_servers);
	pw_catalog_unref(g->catalog);
	pw_server_list_unref(g->servers);
	pw_primaries_unref(g->primaries);
}

const struct pw_task_ops pw_gateway_ops = {
	.name = "gateway",
	.size_bytes = sizeof(struct gateway),
	.start = gateway_start,
	.receive = gateway_receive,
	.stop = gateway_stop,
};
