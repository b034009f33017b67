#include "monitor_private.h"

#include <inttypes.h>
#include <string.h>

#include "../traffic/request.h"
#include "admin.h"
#include "peers.h"
#include "pw/core/counter.h"
#include "pw/core/error.h"
#include "pw/core/event.h"

#define TICK_INTERVAL_US (50 * PW_US_PER_MS)
/* Upper bound of the random delay that is added to the backoff of a failover. */
#define JITTER_MAX_US (100 * PW_US_PER_MS)
/* Interval of the status for the administration API. */
#define ADMIN_STATUS_INTERVAL_US (500 * PW_US_PER_MS)

static void probe_destroy(struct pw_msg *m)
{
	g_free(((struct pw_monitor_probe_request *)m)->database);
	g_free(m);
}

static void status_destroy(struct pw_msg *m)
{
	struct pw_monitor_status *s = (struct pw_monitor_status *)m;

	g_free(s->database);
	g_free(s->server);
	g_free(s);
}

const struct pw_msg_ops pw_monitor_probe_request_ops = { .name = "probe",
							 .destroy = probe_destroy };
const struct pw_msg_ops pw_monitor_status_ops = { .name = "status", .destroy = status_destroy };

struct pw_msg *pw_monitor_probe_request_msg(const char *database)
{
	struct pw_monitor_probe_request *msg = g_new0(struct pw_monitor_probe_request, 1);

	msg->base.ops = &pw_monitor_probe_request_ops;
	msg->database = g_strdup(database);
	return &msg->base;
}

GArray *monitor_actions_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct pw_failover_action));
}

static struct monitored_server *server_at(const struct monitored_group *g, uint32_t index)
{
	return g_ptr_array_index(g->servers, index);
}

/*
 * Reports a server to the group task. `stmt` has a status row; it is NULL if only the health has
 * changed.
 */
static void send_server_status(const struct monitored_server *s,
			       const struct control_statement *stmt)
{
	const struct monitored_group *g = s->group;
	struct pw_monitor_status *msg = g_new0(struct pw_monitor_status, 1);

	msg->base.ops = &pw_monitor_status_ops;
	msg->database = g_strdup(g->database);
	msg->server = g_strdup(s->address);
	msg->alive = s->health.state == PW_HEALTH_ALIVE;
	if (stmt) {
		msg->has_status = true;
		msg->status = stmt->status;
		msg->probe_sent_us = stmt->sent_us;
		msg->rtt_us = monitor_now_us(g) - stmt->sent_us;
	}
	pw_mailbox_send(pw_directory_group_inbox(g->monitor->directory, g->database), &msg->base);
}

void monitor_handle_health(struct monitored_server *s, uint32_t actions)
{
	struct monitored_group *g = s->group;
	GArray *out;

	if ((actions & PW_HEALTH_OPEN_FRESH) && !s->fresh_connection)
		server_open_connection(s, &s->fresh_connection);
	if (!(actions & PW_HEALTH_CHANGED))
		return;
	out = monitor_actions_new();
	/* A dead server has already been logged as down, when it became suspect. */
	if (s->health.state != PW_HEALTH_DEAD)
		pw_event_log(s->health.state == PW_HEALTH_ALIVE ? PW_EVENT_UPSTREAM_UP
								: PW_EVENT_UPSTREAM_DOWN,
			     "database=%s server=%s", g->database, s->address);
	send_server_status(s, NULL);
	pw_failover_handle_health(g->failover, s->index, s->health.state, monitor_now_us(g), out);
	monitor_run_actions(g, out);
}

void monitor_handle_answer(struct monitored_server *s, const struct control_statement *stmt)
{
	struct pw_failover *failover = s->group->failover;
	enum pw_failover_result result =
		stmt->refused ? PW_FAILOVER_RESULT_REFUSED : PW_FAILOVER_RESULT_OK;
	const struct pw_server_status *status = stmt->has_status ? &stmt->status : NULL;
	uint64_t now_us = pw_loop_update_now_us(s->group->monitor->task.loop);
	GArray *out = monitor_actions_new();

	monitor_handle_health(s, pw_health_record_answer(&s->health, now_us));
	if (status) {
		s->status = *status;
		s->has_status = true;
		send_server_status(s, stmt);
	}
	switch (stmt->kind) {
	case STATEMENT_STATUS:
		if (status)
			pw_failover_handle_status(failover, s->index, status, stmt->sent_us, now_us,
						  out);
		break;
	case STATEMENT_FENCE:
		pw_failover_handle_fence_result(failover, s->index, stmt->term, result, status,
						now_us, out);
		break;
	case STATEMENT_PROMOTE:
		pw_failover_handle_promote_result(failover, s->index, stmt->term, result, status,
						  now_us, out);
		break;
	case STATEMENT_FOLLOW:
		/* Nothing to do: the next status row shows whether the server follows. */
		break;
	}
	monitor_run_actions(s->group, out);
}

/*
 * Sends this VM's vote, or the news that it has promoted a server, to the monitors of the other
 * VMs through the peers task.
 */
static void send_vote(const struct monitored_group *g, const struct pw_failover_action *a)
{
	struct pw_vote_msg *msg = pw_vote_msg_new();

	g_strlcpy(msg->database, g->database, sizeof(msg->database));
	msg->term = a->term;
	msg->suspects_primary = a->suspects;
	msg->promoted = a->kind == PW_FAILOVER_ANNOUNCE_PRIMARY;
	if (msg->promoted)
		g_strlcpy(msg->server, server_at(g, a->primary)->address, sizeof(msg->server));
	pw_mailbox_send(g->monitor->directory->peers, &msg->base);
}

static void log_action(const struct monitored_group *g, enum pw_event event,
		       enum pw_counter counter, const struct pw_failover_action *a)
{
	pw_counter_inc(counter);
	pw_event_log(event, "database=%s term=%" PRIu64 " primary=%s reason=\"%s\"", g->database,
		     a->term, server_at(g, a->primary)->address, a->reason ? a->reason : "");
}

static void run_action(struct monitored_group *g, const struct pw_failover_action *a)
{
	struct monitored_server *s = server_at(g, a->server);

	switch (a->kind) {
	case PW_FAILOVER_PUBLISH_VOTE:
	case PW_FAILOVER_ANNOUNCE_PRIMARY:
		send_vote(g, a);
		break;
	case PW_FAILOVER_ACQUIRE_LEASE:
	case PW_FAILOVER_READ_RECORD:
	case PW_FAILOVER_WRITE_RECORD:
		store_request_send(g, a);
		break;
	case PW_FAILOVER_FENCE:
		server_queue_statement(s, STATEMENT_FENCE, a->term, NULL);
		break;
	case PW_FAILOVER_PROMOTE:
		server_queue_statement(s, STATEMENT_PROMOTE, a->term, NULL);
		break;
	case PW_FAILOVER_FOLLOW:
		server_queue_statement(s, STATEMENT_FOLLOW, a->term,
				       server_at(g, a->primary)->address);
		break;
	case PW_FAILOVER_STARTED:
		log_action(g, PW_EVENT_FAILOVER_STARTED, PW_COUNTER_FAILOVERS_STARTED, a);
		break;
	case PW_FAILOVER_SUCCEEDED:
		log_action(g, PW_EVENT_FAILOVER_DONE, PW_COUNTER_FAILOVERS_WON, a);
		break;
	case PW_FAILOVER_FAILED:
		log_action(g, PW_EVENT_FAILOVER_GIVEN_UP, PW_COUNTER_FAILOVERS_LOST, a);
		break;
	case PW_FAILOVER_TERM_CHANGED:
		pw_event_log(PW_EVENT_TERM_CHANGED, "database=%s term=%" PRIu64 " primary=%s",
			     g->database, a->term, server_at(g, a->primary)->address);
		/* The group task routes by status rows, so it needs new ones at once. */
		for (guint i = 0; i < g->servers->len; i++)
			server_request_probe(server_at(g, i));
		break;
	}
}

void monitor_run_actions(struct monitored_group *g, GArray *actions)
{
	for (guint i = 0; i < actions->len; i++)
		run_action(g, &g_array_index(actions, struct pw_failover_action, i));
	g_array_free(actions, TRUE);
}

/* Handles a vote, or the news of a promotion, from the monitor of another VM. */
static void handle_vote(struct monitor *m, const struct pw_vote_msg *v)
{
	struct monitored_group *g = g_hash_table_lookup(m->groups, v->database);
	GArray *out;

	if (!g)
		return;
	out = monitor_actions_new();
	if (v->promoted) {
		struct pw_failover_record r = { .term = v->term };

		for (guint i = 0; i < g->servers->len; i++) {
			if (strcmp(server_at(g, i)->address, v->server) != 0)
				continue;
			r.server = i;
			pw_failover_handle_record(g->failover, &r, false, monitor_now_us(g), out);
		}
	} else {
		struct pw_failover_vote vote = {
			.peer = pw_directory_name_hash(v->peer),
			.term = v->term,
			.suspects = v->suspects_primary,
		};

		pw_failover_handle_vote(g->failover, &vote, monitor_now_us(g), out);
	}
	monitor_run_actions(g, out);
}

static void update_failover_peers(struct monitored_group *g)
{
	const struct monitor *m = g->monitor;

	pw_failover_set_peers(g->failover, (const uint64_t *)(void *)m->peer_ids->data,
			      m->peer_ids->len, m->rank);
}

static void handle_fleet(struct monitor *m, const struct pw_fleet_msg *fleet)
{
	GHashTableIter it;
	gpointer value;

	g_array_set_size(m->peer_ids, 0);
	for (guint i = 0; i < fleet->peers->len; i++) {
		uint64_t peer_id = pw_directory_name_hash(g_ptr_array_index(fleet->peers, i));

		g_array_append_val(m->peer_ids, peer_id);
	}
	m->rank = fleet->rank;
	m->has_fleet = true;
	g_hash_table_iter_init(&it, m->groups);
	while (g_hash_table_iter_next(&it, NULL, &value))
		update_failover_peers(value);
}

static void handle_probe_request(struct monitor *m, const struct pw_monitor_probe_request *p)
{
	struct monitored_group *g = g_hash_table_lookup(m->groups, p->database);

	for (guint i = 0; g && i < g->servers->len; i++)
		server_request_probe(server_at(g, i));
}

static void group_free(gpointer data)
{
	struct monitored_group *g = data;

	for (guint i = 0; i < g->servers->len; i++) {
		server_dispose(server_at(g, i));
		g_free(server_at(g, i));
	}
	g_ptr_array_unref(g->servers);
	pw_failover_free(g->failover);
	g_free(g->database);
	g_free(g);
}

static void add_server(struct monitored_group *g, const struct pw_document_server *document_server)
{
	struct pw_health_options o = PW_HEALTH_OPTIONS_INIT;
	struct monitored_server *s = g_new0(struct monitored_server, 1);

	s->group = g;
	s->index = g->servers->len;
	s->address = g_strdup(document_server->address);
	g_queue_init(&s->queued_statements);
	pw_health_init(&s->health, &o, monitor_now_us(g));
	g_ptr_array_add(g->servers, s);
}

static void add_group(struct monitor *m, const struct pw_document_database *database)
{
	struct pw_failover_options o = PW_FAILOVER_OPTIONS_INIT(database->server_count);
	struct monitored_group *g = g_new0(struct monitored_group, 1);

	g->monitor = m;
	g->database = g_strdup(database->name);
	g->upstream = &pw_upstream_sql_functions;
	g->servers = g_ptr_array_new();
	if (pw_failover_new(&g->failover, &o)) {
		group_free(g);
		return;
	}
	for (uint32_t i = 0; i < database->server_count; i++)
		add_server(g, &database->servers[i]);
	g_hash_table_insert(m->groups, g->database, g);
	if (m->has_fleet)
		update_failover_peers(g);
}

static bool has_same_servers(const struct monitored_group *g,
			     const struct pw_document_database *database)
{
	if (!database || g->servers->len != database->server_count)
		return false;
	for (uint32_t i = 0; i < database->server_count; i++) {
		if (strcmp(server_at(g, i)->address, database->servers[i].address) != 0)
			return false;
	}
	return true;
}

static void update_leaving_servers(struct monitor *m, const struct pw_document_database *database)
{
	const struct monitored_group *g = g_hash_table_lookup(m->groups, database->name);

	for (uint32_t i = 0; g && i < database->server_count; i++)
		pw_failover_set_leaving(g->failover, i, database->servers[i].leaving);
}

/*
 * Adds, replaces and removes groups. A group whose servers have changed starts with no state: votes
 * and fences of the former set of servers do not count.
 */
static void handle_snapshot(struct monitor *m, const struct pw_document *document)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, m->groups);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct monitored_group *g = value;

		if (!has_same_servers(g, pw_document_find_database(document, g->database)))
			g_hash_table_iter_remove(&it);
	}
	for (uint32_t i = 0; i < document->database_count; i++) {
		if (!g_hash_table_contains(m->groups, document->databases[i].name))
			add_group(m, &document->databases[i]);
		update_leaving_servers(m, &document->databases[i]);
	}
}

static void monitor_receive(struct pw_task *t, struct pw_msg *msg)
{
	struct monitor *m = (struct monitor *)t;

	if (msg->ops == &pw_monitor_probe_request_ops)
		handle_probe_request(m, (struct pw_monitor_probe_request *)msg);
	else if (msg->ops == &pw_vote_msg_ops)
		handle_vote(m, (struct pw_vote_msg *)msg);
	else if (msg->ops == &pw_fleet_msg_ops)
		handle_fleet(m, (struct pw_fleet_msg *)msg);
	else if (msg->ops == &pw_store_result_msg_ops)
		store_request_handle_result(m, (struct pw_store_result_msg *)msg);
	else if (msg->ops == &pw_snapshot_ops)
		handle_snapshot(m, ((struct pw_snapshot *)msg)->document);
	pw_msg_free(msg);
}

static void append_server(GString *json, const struct monitored_server *server)
{
	static const char *const roles[] = {
		[PW_SERVER_REPLICA] = "replica",
		[PW_SERVER_PRIMARY] = "primary",
		[PW_SERVER_FENCED] = "fenced",
	};
	const struct pw_server_status *st = &server->status;

	g_string_append_printf(json, "{\"address\":\"%s\",\"alive\":%s", server->address,
			       server->health.state == PW_HEALTH_ALIVE ? "true" : "false");
	if (server->has_status)
		g_string_append_printf(json,
				       ",\"role\":\"%s\",\"term\":%" PRIu64 ",\"lsn\":%" PRIu64
				       ",\"data_age_ms\":%" PRIu64,
				       roles[st->role], st->term, st->lsn, st->data_age_ms);
	g_string_append_c(json, '}');
}

static void send_admin_status(const struct monitor *m)
{
	GString *json = g_string_new("{");
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, m->groups);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct monitored_group *g = value;

		g_string_append_printf(json, "%s\"%s\":[", json->len > 1 ? "," : "", g->database);
		for (guint i = 0; i < g->servers->len; i++) {
			if (i)
				g_string_append_c(json, ',');
			append_server(json, server_at(g, i));
		}
		g_string_append_c(json, ']');
	}
	g_string_append_c(json, '}');
	pw_mailbox_send(m->directory->admin,
			pw_admin_status_msg("databases", g_string_free(json, FALSE)));
}

static void tick_group(struct monitored_group *g, uint64_t now_us)
{
	GArray *out = monitor_actions_new();

	for (guint i = 0; i < g->servers->len; i++)
		server_tick(server_at(g, i), now_us);
	pw_failover_tick(g->failover, now_us, pw_clock_random_u64() % JITTER_MAX_US, out);
	monitor_run_actions(g, out);
}

static void monitor_tick(struct pw_timer *t, uint64_t now_us)
{
	struct monitor *m = (struct monitor *)((char *)t - offsetof(struct monitor, tick_timer));
	GHashTableIter it;
	gpointer value;

	g_ptr_array_set_size(m->closed_connections, 0);
	g_hash_table_iter_init(&it, m->groups);
	while (g_hash_table_iter_next(&it, NULL, &value))
		tick_group(value, now_us);
	if (now_us >= m->admin_status_due_us) {
		m->admin_status_due_us = now_us + ADMIN_STATUS_INTERVAL_US;
		send_admin_status(m);
	}
	pw_loop_timer_set(m->task.loop, t, now_us + TICK_INTERVAL_US);
}

static const struct pw_timer_ops tick_ops = { .expire = monitor_tick };

static int monitor_start(struct pw_task *t)
{
	struct monitor *m = (struct monitor *)t;

	m->directory = ((const struct pw_task_args *)t->args)->directory;
	/* A new incarnation does not know what the last one fenced, so it uses another name. */
	m->promoter_name = g_strdup_printf("%s/%016" PRIx64, m->directory->settings->vm_name,
					   pw_clock_random_u64());
	m->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_free);
	m->store_requests =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, store_request_free);
	m->closed_connections = g_ptr_array_new_with_free_func(g_free);
	m->peer_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	m->tick_timer.ops = &tick_ops;
	pw_loop_timer_set(t->loop, &m->tick_timer, pw_loop_now_us(t->loop));
	pw_mailbox_send(m->directory->config, pw_snapshot_request_msg(t->inbox));
	pw_mailbox_send(m->directory->peers, pw_fleet_request_msg());
	return PW_OK;
}

static void monitor_stop(struct pw_task *t)
{
	struct monitor *m = (struct monitor *)t;

	pw_loop_timer_clear(t->loop, &m->tick_timer);
	g_hash_table_unref(m->groups);
	g_hash_table_unref(m->store_requests);
	g_ptr_array_unref(m->closed_connections);
	g_array_unref(m->peer_ids);
	g_free(m->promoter_name);
}

const struct pw_task_ops pw_monitor_task_ops = {
	.name = "monitor",
	.size_bytes = sizeof(struct monitor),
	.start = monitor_start,
	.receive = monitor_receive,
	.stop = monitor_stop,
};
