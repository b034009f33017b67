#include "group_private.h"

#include <string.h>

#include "../control/monitor.h"
#include "pw/core/error.h"

struct server *group_find_primary(const struct database *db)
{
	const struct pw_floor_probes *probes = &db->probes;
	struct server *best = NULL;
	uint64_t term = 0;

	for (guint i = 0; i < db->servers->len; i++) {
		/* A replica at a higher term shows that the primary of a lower one was replaced. */
		if (probes->sent_us[i])
			term = MAX(term, probes->status[i].term);
	}
	for (guint i = 0; i < db->servers->len; i++) {
		if (probes->sent_us[i] && probes->status[i].role == PW_SERVER_PRIMARY &&
		    probes->status[i].term == term)
			best = g_ptr_array_index(db->servers, i);
	}
	return best;
}

void group_request_probe(struct database *db)
{
	pw_mailbox_send(db->group->directory->monitor, pw_monitor_probe_request_msg(db->name));
}

static void run_confirm_action(struct group *g, const struct pw_confirm_action *action)
{
	struct work *w = g_hash_table_lookup(g->works_by_request, &action->id);

	if (!w)
		return;
	if (action->kind == PW_CONFIRM_ACKNOWLEDGE)
		work_handle_confirmed(w);
	else if (action->kind == PW_CONFIRM_OUTCOME_UNKNOWN)
		work_handle_unconfirmed(w, action->term_replaced);
}

void group_run_confirm_actions(struct database *db)
{
	GArray *actions = db->group->confirm_actions;
	bool needs_probe = false;

	while (actions->len) {
		struct pw_confirm_action action =
			g_array_index(actions, struct pw_confirm_action, 0);

		g_array_remove_index(actions, 0);
		if (action.kind == PW_CONFIRM_PROBE)
			needs_probe = true;
		else
			run_confirm_action(db->group, &action);
	}
	if (needs_probe)
		group_request_probe(db);
}

static void backoff_expired(struct pw_timer *t, uint64_t now_us)
{
	struct server *s =
		(struct server *)((char *)t - offsetof(struct server, connect_backoff_timer));

	(void)now_us;
	while (s->failed_connects) {
		s->failed_connects--;
		pw_pool_connection_failed(s->pool);
	}
	server_run_pool_actions(s);
}

static const struct pw_timer_ops backoff_ops = { .expire = backoff_expired };

static struct server *server_new(struct database *db,
				 const struct pw_document_server *document_server)
{
	struct pw_pool_options o = PW_POOL_OPTIONS_INIT;
	struct server *s = g_new0(struct server, 1);

	o.queue_max = db->group->document->limits.queue_per_account;
	/* The limits are raised when the ledger lends units, see group_units.c. */
	o.connections_max = 0;
	o.slots_max = 0;
	s->database = db;
	s->address = g_strdup(document_server->address);
	s->availability_zone = g_strdup(document_server->availability_zone);
	s->connect_backoff_timer.ops = &backoff_ops;
	s->conns = g_ptr_array_new();
	g_queue_init(&s->idle_conns);
	pw_pool_new(&s->pool, &o);
	return s;
}

static void server_free(struct server *s)
{
	pw_loop_timer_clear(s->database->group->task.loop, &s->connect_backoff_timer);
	while (s->conns->len)
		conn_close(g_ptr_array_index(s->conns, 0));
	g_queue_clear(&s->idle_conns);
	g_ptr_array_unref(s->conns);
	pw_pool_free(s->pool);
	g_free(s->availability_zone);
	g_free(s->address);
	g_free(s);
}

static struct server *find_server(const GPtrArray *servers, const char *address)
{
	for (guint i = 0; i < servers->len; i++) {
		struct server *s = g_ptr_array_index(servers, i);

		if (strcmp(s->address, address) == 0)
			return s;
	}
	return NULL;
}

static bool has_same_servers(const struct database *db,
			     const struct pw_document_database *document_database)
{
	if (db->servers->len != document_database->server_count)
		return false;
	for (uint32_t i = 0; i < document_database->server_count; i++) {
		const struct server *s = g_ptr_array_index(db->servers, i);

		if (strcmp(s->address, document_database->servers[i].address) != 0)
			return false;
	}
	return true;
}

/* Refuses the writes that wait for confirmation: probes of the former servers no longer count. */
static void refuse_unconfirmed(struct database *db)
{
	GList *works = g_hash_table_get_values(db->group->works_by_request);

	for (GList *l = works; l; l = l->next) {
		struct work *w = l->data;

		if (w->database == db && w->state == WORK_CONFIRMING)
			work_handle_unconfirmed(w, false);
	}
	g_list_free(works);
}

/* Resets confirmations and probes for a changed list of servers. */
static void reset_confirmations(struct database *db)
{
	struct pw_confirm_options o = PW_CONFIRM_OPTIONS_INIT(db->servers->len);

	refuse_unconfirmed(db);
	pw_confirm_free(db->confirmations);
	db->confirmations = NULL;
	pw_confirm_new(&db->confirmations, &o);
	pw_floor_probes_init(&db->probes, db->servers->len);
}

/*
 * Applies the snapshot's list of servers. Servers that are no longer in it finish the requests that
 * they run.
 */
static void replace_servers(struct database *db,
			    const struct pw_document_database *document_database)
{
	GPtrArray *old_servers = db->servers;

	db->servers = g_ptr_array_new();
	for (uint32_t i = 0; i < document_database->server_count; i++) {
		struct server *s = find_server(old_servers, document_database->servers[i].address);

		if (s)
			g_ptr_array_remove_fast(old_servers, s);
		else
			s = server_new(db, &document_database->servers[i]);
		s->index = i;
		g_ptr_array_add(db->servers, s);
	}
	for (guint i = 0; i < old_servers->len; i++) {
		struct server *s = g_ptr_array_index(old_servers, i);

		s->leaving = true;
		g_ptr_array_add(db->retired_servers, s);
	}
	g_ptr_array_unref(old_servers);
	reset_confirmations(db);
	for (guint i = 0; i < db->retired_servers->len; i++)
		server_reroute_queued(g_ptr_array_index(db->retired_servers, i));
}

static void apply_server_settings(struct server *s,
				  const struct pw_document_server *document_server)
{
	bool starts_leaving = document_server->leaving && !s->leaving;

	s->leaving = document_server->leaving;
	s->connection_limit = document_server->connections;
	s->slot_limit = document_server->slots;
	if (starts_leaving)
		server_reroute_queued(s);
	units_update(s);
	server_run_pool_actions(s);
}

static void database_free(gpointer data)
{
	struct database *db = data;

	for (guint i = 0; i < db->servers->len; i++)
		server_free(g_ptr_array_index(db->servers, i));
	for (guint i = 0; i < db->retired_servers->len; i++)
		server_free(g_ptr_array_index(db->retired_servers, i));
	g_ptr_array_unref(db->servers);
	g_ptr_array_unref(db->retired_servers);
	pw_confirm_free(db->confirmations);
	g_free(db->name);
	g_free(db);
}

static struct database *database_new(struct group *g, const char *name)
{
	struct database *db = g_new0(struct database, 1);

	db->group = g;
	db->name = g_strdup(name);
	db->servers = g_ptr_array_new();
	db->retired_servers = g_ptr_array_new();
	g_queue_init(&db->wait_queue);
	g_hash_table_insert(g->databases, db->name, db);
	return db;
}

static void apply_database(struct group *g, const struct pw_document_database *document_database)
{
	struct database *db = g_hash_table_lookup(g->databases, document_database->name);

	if (!db)
		db = database_new(g, document_database->name);
	db->upstream = &pw_upstream_sql_functions;
	db->needs_replication = document_database->durability == PW_DURABILITY_REPLICATED;
	if (!has_same_servers(db, document_database))
		replace_servers(db, document_database);
	for (uint32_t i = 0; i < document_database->server_count; i++)
		apply_server_settings(g_ptr_array_index(db->servers, i),
				      &document_database->servers[i]);
}

static bool owns_database(const struct group *g, const char *database)
{
	return pw_directory_group_inbox(g->directory, database) == g->task.inbox;
}

/* Refuses the requests of a database that is no longer in the snapshot, and frees it. */
static void remove_database(struct group *g, struct database *db)
{
	GList *works = g_hash_table_get_values(g->works_by_request);

	for (GList *l = works; l; l = l->next) {
		struct work *w = l->data;

		if (w->database != db)
			continue;
		if (w->conn)
			w->conn->work = NULL;
		if (w->state == WORK_RUNNING || w->state == WORK_CONFIRMING)
			work_refuse(w, PW_SQLSTATE_OUTCOME_UNKNOWN, PW_COUNTER_REFUSED_ROUTE,
				    "the database was removed from the configuration");
		else
			work_refuse(w, PW_SQLSTATE_NO_DATABASE, PW_COUNTER_REFUSED_ROUTE,
				    "the database was removed from the configuration");
	}
	g_list_free(works);
	g_hash_table_remove(g->databases, db->name);
}

static void apply_snapshot(struct group *g, const struct pw_document *d)
{
	GList *databases;

	pw_document_unref(g->document);
	g->document = pw_document_ref(d);
	for (uint32_t i = 0; i < d->database_count; i++) {
		if (owns_database(g, d->databases[i].name))
			apply_database(g, &d->databases[i]);
	}
	databases = g_hash_table_get_values(g->databases);
	for (GList *l = databases; l; l = l->next) {
		struct database *db = l->data;

		if (!pw_document_find_database(d, db->name))
			remove_database(g, db);
	}
	g_list_free(databases);
}

/* Fails the connections of servers that do not answer, so that requests in flight need not wait. */
static void fail_unresponsive_servers(struct database *db)
{
	const struct server *primary = group_find_primary(db);

	for (guint i = 0; i < db->servers->len; i++) {
		struct server *s = g_ptr_array_index(db->servers, i);

		if (!s->alive)
			conn_fail_unresponsive(s, primary && primary->alive && primary != s);
	}
}

static void set_alive(struct server *s, bool alive)
{
	if (s->alive == alive)
		return;
	s->alive = alive;
	if (!alive)
		server_reroute_queued(s);
}

static void handle_monitor_status(struct group *g, const struct pw_monitor_status *m)
{
	struct database *db = g_hash_table_lookup(g->databases, m->database);
	struct server *s = db ? find_server(db->servers, m->server) : NULL;
	struct server *primary;

	if (!s)
		return;
	primary = group_find_primary(db);
	if (m->has_status) {
		s->rtt_us = m->rtt_us;
		pw_floor_probes_record(&db->probes, s->index, &m->status, m->probe_sent_us);
		pw_confirm_handle_status(db->confirmations, s->index, &m->status, m->probe_sent_us,
					 group_now_us(g), g->confirm_actions);
		group_run_confirm_actions(db);
	}
	set_alive(s, m->alive);
	/* Requests that are queued at a replaced primary go to the new one. */
	if (primary && primary != group_find_primary(db))
		server_reroute_queued(primary);
	fail_unresponsive_servers(db);
	work_route_waiting(db);
}

static void handle_credit(struct group *g, const struct pw_credit *m)
{
	struct work *w = g_hash_table_lookup(g->works_by_request, &m->request_id);

	if (!w)
		return;
	w->uncredited_bytes -= MIN(w->uncredited_bytes, m->size_bytes);
	if (w->conn && w->uncredited_bytes <= ANSWER_WINDOW_BYTES / 2)
		pw_stream_pause(&w->conn->stream, false);
}

static void handle_cancel(struct group *g, uint64_t session_id)
{
	struct work *w = g_hash_table_lookup(g->works_by_session, &session_id);

	if (w)
		work_cancel(w);
}

static void handle_request_stop(struct group *g, uint64_t request_id)
{
	struct work *w = g_hash_table_lookup(g->works_by_request, &request_id);

	if (w)
		work_stop(w);
}

static void handle_units_of_database(struct database *db, const struct pw_units_msg *m)
{
	GPtrArray *lists[] = { db->servers, db->retired_servers };

	for (size_t k = 0; k < G_N_ELEMENTS(lists); k++) {
		for (guint i = 0; i < lists[k]->len; i++) {
			struct server *s = g_ptr_array_index(lists[k], i);

			if (!m->server || strcmp(m->server, s->address) == 0)
				units_handle_message(s, m);
		}
	}
}

static void handle_units(struct group *g, const struct pw_units_msg *m)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->databases);
	while (g_hash_table_iter_next(&it, NULL, &value))
		handle_units_of_database(value, m);
}

static void group_receive(struct pw_task *t, struct pw_msg *m)
{
	struct group *g = (struct group *)t;

	if (m->ops == &pw_request_ops) {
		work_start(g, (struct pw_request *)m); /* takes ownership */
		return;
	}
	if (m->ops == &pw_credit_ops)
		handle_credit(g, (struct pw_credit *)m);
	else if (m->ops == &pw_session_end_ops)
		work_handle_session_end(g, ((struct pw_session_end *)m)->session_id);
	else if (m->ops == &pw_cancel_ops)
		handle_cancel(g, ((struct pw_cancel *)m)->session_id);
	else if (m->ops == &pw_request_stop_ops)
		handle_request_stop(g, ((struct pw_request_stop *)m)->request_id);
	else if (m->ops == &pw_snapshot_ops)
		apply_snapshot(g, ((struct pw_snapshot *)m)->document);
	else if (m->ops == &pw_units_msg_ops)
		handle_units(g, (struct pw_units_msg *)m);
	else if (m->ops == &pw_monitor_status_ops)
		handle_monitor_status(g, (struct pw_monitor_status *)m);
	pw_msg_free(m);
}

/* Closes the least recently used idle connection if it has been idle for too long. */
static void close_expired_idle_conn(struct server *s, uint64_t now_us)
{
	struct conn *c = g_queue_peek_tail(&s->idle_conns);

	if (!c || now_us - c->idle_since_us < CONN_IDLE_TIMEOUT_US)
		return;
	g_queue_pop_tail(&s->idle_conns);
	pw_pool_idle_connection_closed(s->pool);
	conn_close(c);
}

static void roll_back_idle_transactions(struct server *s)
{
	for (guint i = s->conns->len; i-- > 0;)
		conn_roll_back_if_idle(g_ptr_array_index(s->conns, i));
}

static void free_retired_servers(struct database *db)
{
	for (guint i = db->retired_servers->len; i-- > 0;) {
		struct server *s = g_ptr_array_index(db->retired_servers, i);

		server_run_pool_actions(s);
		units_tick(s, group_now_us(db->group));
		if (!s->conns->len && !s->failed_connects) {
			g_ptr_array_remove_index_fast(db->retired_servers, i);
			server_free(s);
		}
	}
}

static void tick_database(struct database *db, uint64_t now_us)
{
	pw_confirm_tick(db->confirmations, now_us, db->group->confirm_actions);
	group_run_confirm_actions(db);
	for (guint i = 0; i < db->servers->len; i++) {
		struct server *s = g_ptr_array_index(db->servers, i);

		close_expired_idle_conn(s, now_us);
		roll_back_idle_transactions(s);
		server_run_pool_actions(s);
		units_tick(s, now_us);
	}
	work_route_waiting(db);
	free_retired_servers(db);
}

static void group_tick(struct pw_timer *t, uint64_t now_us)
{
	struct group *g = (struct group *)((char *)t - offsetof(struct group, tick_timer));
	GHashTableIter it;
	gpointer value;

	g_ptr_array_set_size(g->closed_conns, 0);
	g_hash_table_iter_init(&it, g->databases);
	while (g_hash_table_iter_next(&it, NULL, &value))
		tick_database(value, now_us);
	pw_loop_timer_set(g->task.loop, &g->tick_timer, now_us + GROUP_TICK_INTERVAL_US);
}

static const struct pw_timer_ops tick_ops = { .expire = group_tick };

static int group_start(struct pw_task *t)
{
	struct group *g = (struct group *)t;
	const struct pw_task_args *args = t->args;

	g->directory = args->directory;
	g->index = args->index;
	g->databases = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, database_free);
	g->works_by_request = g_hash_table_new(g_int64_hash, g_int64_equal);
	g->works_by_session = g_hash_table_new(g_int64_hash, g_int64_equal);
	g->pinned_conns = g_hash_table_new(g_int64_hash, g_int64_equal);
	g->closed_conns = g_ptr_array_new_with_free_func(g_free);
	g->confirm_actions = g_array_new(FALSE, FALSE, sizeof(struct pw_confirm_action));
	pw_retry_budget_init(&g->retry_budget, group_now_us(g));
	pw_mailbox_send(g->directory->config, pw_snapshot_request_msg(t->inbox));
	g->tick_timer.ops = &tick_ops;
	pw_loop_timer_set(t->loop, &g->tick_timer, group_now_us(g) + GROUP_TICK_INTERVAL_US);
	return PW_OK;
}

/* Refuses all requests that are left; the outcome of those that were sent is unknown. */
static void refuse_all(struct group *g)
{
	GList *works = g_hash_table_get_values(g->works_by_request);

	for (GList *l = works; l; l = l->next) {
		struct work *w = l->data;
		bool sent = w->state == WORK_RUNNING || w->state == WORK_CONFIRMING;

		if (w->conn)
			w->conn->work = NULL;
		work_refuse(w, sent ? PW_SQLSTATE_OUTCOME_UNKNOWN : PW_SQLSTATE_UNAVAILABLE,
			    PW_COUNTER_REFUSED_DRAINING, "the proxy's group task has ended");
	}
	g_list_free(works);
}

static void group_stop(struct pw_task *t)
{
	struct group *g = (struct group *)t;

	pw_loop_timer_clear(t->loop, &g->tick_timer);
	refuse_all(g);
	g_hash_table_unref(g->databases);
	g_hash_table_unref(g->works_by_request);
	g_hash_table_unref(g->works_by_session);
	g_hash_table_unref(g->pinned_conns);
	g_array_unref(g->confirm_actions);
	g_ptr_array_unref(g->closed_conns);
	pw_document_unref(g->document);
}

const struct pw_task_ops pw_group_ops = {
	.name = "group",
	.size_bytes = sizeof(struct group),
	.start = group_start,
	.receive = group_receive,
	.stop = group_stop,
};
