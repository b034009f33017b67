#include "group_private.h"

#include <string.h>

#include "pw/core/error.h"

/* Returns the pool's identifier of the request's account; 0 without an account. */
static uint32_t account_key(const struct pw_request *r)
{
	return r->account ? r->account->index + 1 : 0;
}

void work_free(struct work *w)
{
	struct group *g = w->database->group;
	struct pw_request *r = w->request;

	if (w->state == WORK_WAITING)
		g_queue_remove(&w->database->wait_queue, w);
	if (g_hash_table_lookup(g->works_by_session, &r->session_id) == w)
		g_hash_table_remove(g->works_by_session, &r->session_id);
	g_hash_table_remove(g->works_by_request, &r->id);
	g_clear_pointer(&w->held_answer, g_byte_array_unref);
	pw_msg_free(&r->base);
	g_free(w);
}

static void send_response_end(struct work *w, struct pw_response_end *e)
{
	if (w->abandoned)
		pw_msg_free(&e->base);
	else
		pw_mailbox_send(w->request->reply_to, &e->base);
	work_free(w);
}

/* Sets what a refusal reports about the session's transaction. */
static void set_transaction_outcome(const struct work *w, struct pw_response_end *e)
{
	const struct pw_request *r = w->request;

	if (!r->in_transaction ||
	    g_hash_table_contains(w->database->group->pinned_conns, &r->session_id))
		return;
	e->transaction_lost = true;
	/* No transaction is open after a COMMIT of unknown outcome; any other was rolled back. */
	e->transaction_status = r->acknowledges_write ? 'I' : 'E';
}

void work_refuse(struct work *w, const char *sqlstate, enum pw_counter counter, const char *text)
{
	struct pw_response_end *e;

	/* An earlier attempt may have run, whatever the reason for which it is not repeated. */
	if (w->may_have_written) {
		sqlstate = PW_SQLSTATE_OUTCOME_UNKNOWN;
		text = "the answer to the statement was lost, and no repeat of it was answered";
	}
	e = pw_response_end_new_refused(w->request, sqlstate, counter, "%s", text);
	set_transaction_outcome(w, e);
	send_response_end(w, e);
}

void work_forward_answer(struct work *w, GByteArray *bytes)
{
	struct pw_chunk *chunk;

	if (!bytes->len || w->abandoned)
		return;
	chunk = pw_chunk_new(w->request);
	chunk->credit_to = w->database->group->task.inbox;
	g_byte_array_append(chunk->bytes, bytes->data, bytes->len);
	w->uncredited_bytes += bytes->len;
	w->answer_started = true;
	pw_mailbox_send(w->request->reply_to, &chunk->base);
}

static void wait_for_server(struct work *w)
{
	if (w->state == WORK_WAITING)
		return;
	w->state = WORK_WAITING;
	w->server = NULL;
	g_queue_push_tail(&w->database->wait_queue, w);
}

static void enqueue(struct work *w, struct server *s)
{
	const struct pw_request *r = w->request;

	if (w->state == WORK_WAITING)
		g_queue_remove(&w->database->wait_queue, w);
	w->state = WORK_QUEUED;
	w->server = s;
	if (pw_pool_enqueue(s->pool, r->id, account_key(r), r->deadline_us)) {
		work_refuse(w, PW_SQLSTATE_TOO_MANY_CONNECTIONS, PW_COUNTER_REFUSED_QUEUE,
			    "too many requests of the client account wait for the database");
		return;
	}
	server_run_pool_actions(s);
	units_update(s);
}

/*
 * Refuses the request if a promotion has lost acknowledged writes of its session, which is reported
 * once. Returns whether it was refused.
 */
static bool refuse_if_writes_lost(struct work *w)
{
	const struct server *primary = group_find_primary(w->database);
	const struct pw_server_status *status;
	struct pw_position start;
	struct pw_response_end *e;

	if (!primary || w->request->in_transaction)
		return false;
	status = &w->database->probes.status[primary->index];
	start = (struct pw_position){ .term = status->term, .lsn = status->term_start_lsn };
	if (!pw_floor_check_lost_writes(&w->request->floor, &start))
		return false;
	e = pw_response_end_new_refused(
		w->request, PW_SQLSTATE_LOST_WRITES, PW_COUNTER_REFUSED_LOST_FLOOR,
		"a change of primary lost acknowledged writes of this session");
	e->floor = w->request->floor;
	e->floor_changed = true;
	send_response_end(w, e);
	return true;
}

/* Returns whether the server's data is at most as old as the route accepts. */
static bool is_fresh_enough(const struct work *w, const struct server *s)
{
	const struct pw_floor_probes *probes = &w->database->probes;
	uint64_t age_us = group_now_us(w->database->group) - probes->sent_us[s->index];

	if (!w->request->stale_age_ms)
		return true;
	return probes->status[s->index].data_age_ms + age_us / 1000 <= w->request->stale_age_ms;
}

/* Returns the position that a server has reached at least, for the check of a floor. */
static struct pw_position reached_position(const struct database *db, const struct server *s)
{
	const struct pw_server_status *status = &db->probes.status[s->index];
	struct pw_position p = pw_server_position(status);

	/* A primary has all writes of its own term, also those after its last status row. */
	if (status->role == PW_SERVER_PRIMARY)
		p.lsn = UINT64_MAX;
	return p;
}

/* Returns whether reads should avoid the server for lack of slots. */
static bool is_starved(const struct server *s)
{
	return group_now_us(s->database->group) < s->starved_until_us;
}

/* Round trip times are compared in steps of one millisecond; smaller differences are ignored. */
#define RTT_STEP_US 1000

/*
 * Returns whether server `a` is better than `b` for a read. The load by the request's own account
 * goes before the total load: each server is shared among the accounts that wait for it, so an
 * account gets its share of all servers only if its requests are spread over them.
 */
static bool is_better_for_read(const struct work *w, const struct server *a, const struct server *b)
{
	uint32_t own_load_a = pw_pool_account_load(a->pool, account_key(w->request));
	uint32_t own_load_b = pw_pool_account_load(b->pool, account_key(w->request));
	bool starved_a = is_starved(a), starved_b = is_starved(b);
	uint64_t distance_a = a->rtt_us / RTT_STEP_US, distance_b = b->rtt_us / RTT_STEP_US;
	uint32_t load_a = pw_pool_waiting_count(a->pool) + pw_pool_busy_count(a->pool);
	uint32_t load_b = pw_pool_waiting_count(b->pool) + pw_pool_busy_count(b->pool);

	if (starved_a != starved_b)
		return starved_b;
	if (distance_a != distance_b)
		return distance_a < distance_b;
	if (own_load_a != own_load_b)
		return own_load_a < own_load_b;
	return load_a < load_b;
}

/*
 * Returns the best replica that may answer the read, or NULL. Sets `must_wait` if a replica has not
 * caught up yet, `needs_probe` if the floor needs newer probes.
 */
static struct server *find_replica(struct work *w, bool *must_wait, bool *needs_probe)
{
	struct database *db = w->database;
	struct server *best = NULL;

	for (guint i = 0; i < db->servers->len; i++) {
		struct server *s = g_ptr_array_index(db->servers, i);
		struct pw_position position = reached_position(db, s);
		enum pw_floor_decision decision;

		if (!s->alive || s->leaving || !db->probes.sent_us[i] ||
		    db->probes.status[i].role != PW_SERVER_REPLICA)
			continue;
		decision = pw_floor_check(&w->request->floor, &db->probes, w->request->arrived_us,
					  &position);
		if (decision == PW_FLOOR_NEEDS_PROBE)
			*needs_probe = true;
		else if (decision == PW_FLOOR_SERVER_BEHIND)
			*must_wait = true;
		else if (is_fresh_enough(w, s) && (!best || is_better_for_read(w, s, best)))
			best = s;
	}
	return best;
}

static bool accepts_work(const struct server *s)
{
	return s && s->alive && !s->leaving;
}

static bool may_read(struct work *w, const struct server *s)
{
	struct database *db = w->database;
	struct pw_position position = reached_position(db, s);

	return pw_floor_check(&w->request->floor, &db->probes, w->request->arrived_us, &position) ==
	       PW_FLOOR_MAY_READ;
}

/*
 * Queues a read at the best replica, or at the primary if no replica may answer it in time or all
 * replicas lack slots. Leaves it waiting if it may run on none of them yet.
 */
static void route_read(struct work *w)
{
	struct database *db = w->database;
	struct server *primary = group_find_primary(db);
	bool must_wait = false, needs_probe = false;
	struct server *s = find_replica(w, &must_wait, &needs_probe);
	uint64_t wait_until_us = w->request->arrived_us + REPLICA_WAIT_MAX_US;

	if (s && is_starved(s) && accepts_work(primary) && !is_starved(primary) &&
	    may_read(w, primary))
		s = primary;
	if (s) {
		enqueue(w, s);
		return;
	}
	w->replica_wait_over = !must_wait || group_now_us(db->group) >= wait_until_us;
	if (!needs_probe && w->replica_wait_over && accepts_work(primary)) {
		struct pw_position position = reached_position(db, primary);

		switch (pw_floor_check(&w->request->floor, &db->probes, w->request->arrived_us,
				       &position)) {
		case PW_FLOOR_MAY_READ:
			enqueue(w, primary);
			return;
		case PW_FLOOR_NEEDS_PROBE:
			needs_probe = true;
			break;
		case PW_FLOOR_SERVER_BEHIND:
			break;
		}
	}
	wait_for_server(w);
	if (needs_probe || must_wait)
		group_request_probe(db);
}

void work_route(struct work *w)
{
	struct server *primary;

	/*
	 * A strict floor is probed again each time the request is routed. Positions by which
	 * earlier probes raised it are dropped: they are not needed, and must not count as a lost
	 * write of this session.
	 */
	if (w->request->floor.mode == PW_FLOOR_STRICT)
		w->request->floor.position = w->initial_floor;
	if (refuse_if_writes_lost(w))
		return;
	if (w->request->may_use_replica) {
		route_read(w);
		return;
	}
	primary = group_find_primary(w->database);
	if (accepts_work(primary))
		enqueue(w, primary);
	else
		wait_for_server(w);
}

static void refuse_expired(struct work *w)
{
	if (w->request->may_use_replica)
		work_refuse(w, PW_SQLSTATE_UNAVAILABLE, PW_COUNTER_REFUSED_DEADLINE,
			    "no server could answer the read in time");
	else
		work_refuse(w, PW_SQLSTATE_UNAVAILABLE, PW_COUNTER_REFUSED_NO_PRIMARY,
			    "the database has no primary that can be reached");
}

void work_route_waiting(struct database *db)
{
	GQueue request_ids = G_QUEUE_INIT;
	struct work *w;

	if (db->routing_waiting)
		return;
	db->routing_waiting = true;
	/* Takes the ids first, since routing changes the queue. */
	for (GList *l = db->wait_queue.head; l; l = l->next)
		g_queue_push_tail(&request_ids, &((struct work *)l->data)->request->id);
	while (!g_queue_is_empty(&request_ids)) {
		uint64_t id = *(uint64_t *)g_queue_peek_head(&request_ids);

		g_queue_pop_head(&request_ids);
		w = g_hash_table_lookup(db->group->works_by_request, &id);
		if (!w || w->state != WORK_WAITING)
			continue;
		if (group_now_us(db->group) >= w->request->deadline_us)
			refuse_expired(w);
		else if (group_now_us(db->group) >= w->retry_not_before_us)
			work_route(w);
	}
	db->routing_waiting = false;
}

static void run_in_transaction(struct group *g, struct work *w)
{
	struct conn *c = g_hash_table_lookup(g->pinned_conns, &w->request->session_id);

	if (!c) {
		work_refuse(w, PW_SQLSTATE_TRANSACTION_LOST, PW_COUNTER_REFUSED_NO_PRIMARY,
			    "the transaction was rolled back: its upstream connection was lost");
		return;
	}
	w->server = c->server;
	conn_run_work(c, w);
}

void work_start(struct group *g, struct pw_request *r)
{
	struct database *db = g_hash_table_lookup(g->databases, r->database->name);
	struct work *w;

	if (!db) {
		struct pw_response_end *e = pw_response_end_new_refused(
			r, PW_SQLSTATE_NO_DATABASE, PW_COUNTER_REFUSED_ROUTE,
			"the database was removed from the configuration");

		pw_mailbox_send(r->reply_to, &e->base);
		pw_msg_free(&r->base);
		return;
	}
	w = g_new0(struct work, 1);
	w->request = r;
	w->database = db;
	/* Not WORK_WAITING, as the request is not in `wait_queue` yet. */
	w->state = WORK_RUNNING;
	w->initial_floor = r->floor.position;
	g_hash_table_insert(g->works_by_request, &r->id, w);
	g_hash_table_replace(g->works_by_session, &r->session_id, w);
	pw_retry_budget_add_request(&g->retry_budget);
	if (r->in_transaction)
		run_in_transaction(g, w);
	else
		work_route(w);
}

/* Counts a read that was answered, by the role of its server. */
static void count_read(const struct work *w)
{
	const struct pw_request *r = w->request;
	const struct pw_server_status *status;

	if (!r->may_use_replica || w->sqlstate[0])
		return;
	status = &w->database->probes.status[w->server->index];
	pw_counter_inc(status->role == PW_SERVER_REPLICA ? PW_COUNTER_READS_REPLICA
							 : PW_COUNTER_READS_PRIMARY);
}

static void send_answer_end(struct work *w, bool acknowledge_write)
{
	const struct pw_request *r = w->request;
	struct pw_response_end *e = pw_response_end_new(r);

	if (w->held_answer)
		work_forward_answer(w, w->held_answer);
	e->transaction_status = w->transaction_status;
	e->has_error = w->sqlstate[0] != 0;
	e->parsed_count = w->parsed_count;
	if (acknowledge_write) {
		pw_floor_record_write(&e->floor, &w->write_position);
		e->floor_changed = true;
		pw_counter_inc(PW_COUNTER_WRITES);
	}
	/*
	 * The floor of a strict session keeps only the session's own writes. Positions from probes
	 * must not count as lost writes of the session later.
	 */
	if (r->may_use_replica && r->floor.mode == PW_FLOOR_STRICT) {
		e->floor.known = false;
		e->floor.position = w->initial_floor;
	}
	send_response_end(w, e);
}

void work_handle_answer(struct work *w)
{
	struct database *db = w->database;
	struct pw_confirm_write write;

	count_read(w);
	if (!w->request->acknowledges_write || w->sqlstate[0]) {
		send_answer_end(w, false);
		return;
	}
	w->state = WORK_CONFIRMING;
	write = (struct pw_confirm_write){
		.id = w->request->id,
		.position = w->write_position,
		/* Reads the clock again: probes sent before the answer was read must not count. */
		.answered_us = pw_loop_update_now_us(db->group->task.loop),
		.server = w->server->index,
		.needs_replication = db->needs_replication,
	};
	pw_confirm_add_write(db->confirmations, &write, write.answered_us,
			     db->group->confirm_actions);
	group_run_confirm_actions(db);
}

void work_handle_confirmed(struct work *w)
{
	send_answer_end(w, true);
}

void work_handle_unconfirmed(struct work *w, bool replaced)
{
	work_refuse(w, PW_SQLSTATE_OUTCOME_UNKNOWN,
		    replaced ? PW_COUNTER_OUTCOME_UNKNOWN_TERM : PW_COUNTER_OUTCOME_UNCONFIRMED,
		    replaced ? "the answer came from a primary that was replaced"
			     : "the primary could not be confirmed after the write");
}

/* Failed attempts are counted up to this number; more would not change the backoff. */
#define RETRY_ATTEMPTS_COUNTED_MAX 8

static enum pw_counter retry_counter(enum pw_attempt_failure failure)
{
	switch (failure) {
	case PW_ATTEMPT_NOT_SENT:
		return PW_COUNTER_RETRY_NOT_SENT;
	case PW_ATTEMPT_REFUSED:
		return PW_COUNTER_RETRY_REFUSED_BY_UPSTREAM;
	default:
		return PW_COUNTER_RETRY_READ;
	}
}

void work_handle_failed_attempt(struct work *w, enum pw_attempt_failure failure, const char *reason)
{
	struct group *g = w->database->group;
	const struct pw_request *r = w->request;
	struct pw_attempt attempt = {
		.failure = failure,
		.repeatable = r->repeatable,
		.answer_started = w->answer_started,
		.in_transaction = r->in_transaction,
		.deadline_us = r->deadline_us,
	};

	w->conn = NULL;
	g_clear_pointer(&w->held_answer, g_byte_array_unref);
	w->sqlstate[0] = 0;
	w->statement_ended = false;
	w->parsed_count = 0;
	if (w->abandoned) {
		work_free(w);
		return;
	}
	/* A transaction that was not being committed was rolled back with its connection. */
	if (r->in_transaction && !r->acknowledges_write) {
		work_refuse(w, PW_SQLSTATE_TRANSACTION_LOST, PW_COUNTER_REFUSED_NO_PRIMARY,
			    "the transaction was rolled back: its upstream connection was lost");
		return;
	}
	switch (pw_retry_decide(&g->retry_budget, &attempt, group_now_us(g))) {
	case PW_RETRY_AGAIN:
		pw_counter_inc(retry_counter(failure));
		w->may_have_written |= failure == PW_ATTEMPT_UNANSWERED && r->acknowledges_write;
		w->retry_not_before_us =
			group_now_us(g) +
			MIN(RETRY_BACKOFF_INITIAL_US << w->failed_attempts, RETRY_BACKOFF_MAX_US);
		w->failed_attempts = MIN(w->failed_attempts + 1, RETRY_ATTEMPTS_COUNTED_MAX);
		wait_for_server(w);
		/* The known status of the servers may be out of date. */
		group_request_probe(w->database);
		break;
	case PW_RETRY_NOT_RUN:
		work_refuse(w, PW_SQLSTATE_UNAVAILABLE, PW_COUNTER_REFUSED_NO_PRIMARY, reason);
		break;
	case PW_RETRY_OUTCOME_UNKNOWN:
		work_refuse(w, PW_SQLSTATE_OUTCOME_UNKNOWN, PW_COUNTER_REFUSED_NO_PRIMARY, reason);
		break;
	}
}

void work_cancel(struct work *w)
{
	switch (w->state) {
	case WORK_QUEUED:
		pw_pool_cancel(w->server->pool, w->request->id);
		work_refuse(w, PW_SQLSTATE_CANCELED, PW_COUNTER_REFUSED_DEADLINE,
			    "canceling statement due to user request");
		break;
	case WORK_WAITING:
		work_refuse(w, PW_SQLSTATE_CANCELED, PW_COUNTER_REFUSED_DEADLINE,
			    "canceling statement due to user request");
		break;
	case WORK_RUNNING:
		if (w->conn)
			conn_send_cancel(w->conn);
		break;
	case WORK_CONFIRMING:
		break;
	}
}

/* Drops the answer that a server still sends; no credit is needed for it. */
static void abandon(struct work *w)
{
	w->abandoned = true;
	if (!w->conn)
		return;
	w->uncredited_bytes = 0;
	pw_stream_pause(&w->conn->stream, false);
}

void work_stop(struct work *w)
{
	struct pw_response_end *e;

	if (w->abandoned)
		return;
	if (w->state == WORK_QUEUED)
		pw_pool_cancel(w->server->pool, w->request->id);
	if (w->state == WORK_QUEUED || w->state == WORK_WAITING) {
		work_refuse(w, PW_SQLSTATE_SHUTDOWN, PW_COUNTER_REFUSED_DRAINING,
			    "the proxy is stopping");
		return;
	}
	e = pw_response_end_new_refused(w->request, PW_SQLSTATE_OUTCOME_UNKNOWN,
					PW_COUNTER_REFUSED_DRAINING,
					"the proxy stopped before the statement was answered");
	pw_mailbox_send(w->request->reply_to, &e->base);
	abandon(w);
}

void work_handle_session_end(struct group *g, uint64_t session_id)
{
	struct work *w = g_hash_table_lookup(g->works_by_session, &session_id);
	struct conn *c = g_hash_table_lookup(g->pinned_conns, &session_id);

	if (w) {
		abandon(w);
		if (w->state == WORK_QUEUED)
			pw_pool_cancel(w->server->pool, w->request->id);
		if (w->state == WORK_QUEUED || w->state == WORK_WAITING)
			work_free(w);
	}
	if (c && c->state == CONN_PINNED)
		conn_roll_back(c);
}

static void run_pool_action(struct server *s, const struct pw_pool_action *action)
{
	struct group *g = s->database->group;
	struct work *w = g_hash_table_lookup(g->works_by_request, &action->request);
	struct conn *c;

	switch (action->kind) {
	case PW_POOL_RUN:
		c = g_queue_pop_head(&s->idle_conns);
		c->account_key = account_key(w->request);
		c->busy_since_us = group_now_us(g);
		conn_run_work(c, w);
		break;
	case PW_POOL_OPEN:
		if (conn_open(s)) {
			s->failed_connects++;
			pw_loop_timer_set(g->task.loop, &s->connect_backoff_timer,
					  group_now_us(g) + CONNECT_BACKOFF_US);
		}
		break;
	case PW_POOL_EXPIRE:
		work_refuse(w, PW_SQLSTATE_TOO_MANY_CONNECTIONS, PW_COUNTER_REFUSED_DEADLINE,
			    "no connection to the database became free in time");
		break;
	case PW_POOL_CLOSE:
		c = g_queue_pop_tail(&s->idle_conns);
		/* No longer idle: the pool has stopped counting it. */
		c->state = CONN_ROLLING_BACK;
		conn_close(c);
		break;
	}
}

void server_run_pool_actions(struct server *s)
{
	struct pw_pool_action action;

	if (s->running_pool_actions)
		return;
	s->running_pool_actions = true;
	while (pw_pool_next_action(s->pool, &action, group_now_us(s->database->group)))
		run_pool_action(s, &action);
	s->running_pool_actions = false;
}

static void reroute_queued(struct server *s, bool reads_only)
{
	struct group *g = s->database->group;
	GList *works = g_hash_table_get_values(g->works_by_request);

	for (GList *l = works; l; l = l->next) {
		struct work *w = l->data;

		if (w->server != s || w->state != WORK_QUEUED ||
		    (reads_only && !w->request->may_use_replica))
			continue;
		pw_pool_cancel(s->pool, w->request->id);
		wait_for_server(w);
	}
	g_list_free(works);
	work_route_waiting(s->database);
}

void server_reroute_queued(struct server *s)
{
	reroute_queued(s, false);
}

void server_reroute_queued_reads(struct server *s)
{
	reroute_queued(s, true);
}
