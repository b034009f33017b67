#include "gateway_private.h"

#include <inttypes.h>
#include <string.h>

#include "pw/core/event.h"
#include "pw/core/histogram.h"
#include "pw/decide/queue.h"

/* Shortest time after which a caller is asked to come back when servers are full. */
#define RETRY_BUSY_US (100 * PW_US_PER_MS)

static struct gateway *gateway_of(const struct work *w)
{
	return w->group->gateway;
}

static bool is_commit(const struct pw_statement_call *call)
{
	return call->verb == PW_VERB_COMMIT;
}

struct work *gw_work_new(struct session *s, struct pw_statement_call *call)
{
	struct work *w = g_new0(struct work, 1);
	bool single = s->transaction == TRANSACTION_NONE;

	w->session = s;
	w->account = s->account;
	w->operation = s->operation;
	w->group = s->operation.group;
	w->call = call;
	w->link.data = w;
	if (call->verb == PW_VERB_EXECUTE)
		w->prepared = g_hash_table_lookup(s->prepared, call->name);
	w->begins = s->transaction == TRANSACTION_BEGUN;
	w->ends = is_commit(call);
	w->writes = single && (call->verb == PW_VERB_WRITE || (w->prepared && w->prepared->writes));
	w->primary = w->operation.consistency == PW_CONSISTENCY_PRIMARY || w->writes ||
		     (!single && !s->read_only);
	w->arrived_us = pw_loop_refresh_us(s->gateway->task.loop);
	w->wait_until_us =
		w->arrived_us + MAX(MIN(w->operation.target_us * WAIT_TARGET_PERCENT / 100,
					w->operation.timeout_us * WAIT_TIMEOUT_PERCENT / 100),
				    WAIT_MIN_US);
	w->admitted = single || w->begins;
	w->state = WORK_RUNNING;
	return w;
}

static void free_work(struct work *w)
{
	struct gateway *g = gateway_of(w);

	pw_loop_timer_clear(g->task.loop, &w->timer);
	if (w->state == WORK_WAITING)
		g_queue_unlink(&w->group->waiting, &w->link);
	w->state = WORK_ENDED;
	if (w->answer)
		g_byte_array_unref(w->answer);
	pw_statement_call_free(w->call);
	g_free(w->signature);
	g_free(w->error);
	/* It may be the one that a loop over the queue is at. */
	gateway_discard(g, w);
}

/* Sends the answer to the caller, if it is still there, and forgets the statement. */
static void answer(struct work *w, const struct pw_position *at)
{
	struct session *s = w->session;

	w->session = NULL;
	if (s)
		gw_session_answered(s, w, at);
	free_work(w);
}

static enum pw_counter refusal_counter(const struct work *w, enum pw_reason reason)
{
	switch (reason) {
	case PW_REASON_OUTCOME_UNKNOWN:
	case PW_REASON_TIMEOUT:
		return PW_COUNTER_OUTCOME_UNKNOWN;
	case PW_REASON_BUSY:
		return w->primary ? PW_COUNTER_REFUSED_NO_PRIMARY : PW_COUNTER_REFUSED_DEADLINE;
	default:
		return PW_COUNTER_REFUSED_NO_PRIMARY;
	}
}

/* The inputs of a decision about a statement, for the log. */
static void log_decision(const struct work *w, enum pw_event event, enum pw_reason reason,
			 const char *text)
{
	const struct group *g = w->group;
	uint64_t now = gateway_now_us(g->gateway);

	if (!pw_event_is_logged(event))
		return;
	pw_event_log(event,
		     "id=%s account=%s database=%s reason=%s text=\"%s\" waited_ms=%" PRIu64
		     " attempts=%u needs_primary=%d waiting=%u changing=%d permit_left_ms=%" PRId64
		     " term=%" PRIu64 " server=%s",
		     w->call->id, w->account->name, g->name, pw_reason_name(reason), text,
		     (now - w->arrived_us) / PW_US_PER_MS, w->attempts, w->primary,
		     g->waiting.length, g->changing,
		     ((int64_t)g->gateway->permit_until_us - (int64_t)now) / (int64_t)PW_US_PER_MS,
		     g->generation, w->avoid ? w->avoid->id : "");
}

void gw_work_refuse(struct work *w, enum pw_reason reason, const char *text)
{
	log_decision(w, PW_EVENT_REQUEST_REFUSED, reason, text);
	pw_counter_inc(refusal_counter(w, reason));
	w->reason = reason;
	g_free(w->error);
	w->error = g_strdup(text);
	answer(w, NULL);
}

/* When a server may have time; random, so that those refused together do not return together. */
static uint64_t busy_back_us(const struct work *w)
{
	uint64_t back_us = MAX(gw_group_backlog_us(w), RETRY_BUSY_US);

	return back_us + pw_clock_random_bits() % (back_us / 2);
}

/* No server could take the statement in time: nothing of it has run. */
static void refuse_waiting(struct work *w)
{
	uint64_t now = gateway_now_us(gateway_of(w));
	uint64_t back_us = gw_group_back_us(w->group) - now;
	char text[96];

	if (back_us)
		g_snprintf(text, sizeof(text),
			   "retry_after_ms=%" PRIu64 " the primary is out of use",
			   back_us / PW_US_PER_MS);
	else
		g_snprintf(text, sizeof(text),
			   "retry_after_ms=%" PRIu64 " no server could take the statement",
			   busy_back_us(w) / PW_US_PER_MS);
	if (w->admitted && !w->offered)
		gw_account_refund(w->account);
	/* The transaction has not begun at any server, so the caller's is over. */
	if (w->session && w->begins)
		w->session->transaction = TRANSACTION_LOST;
	gw_work_refuse(w, w->begins ? PW_REASON_ABORTED : PW_REASON_BUSY, text);
}

static void wait_expire(struct pw_timer *t, uint64_t now_us)
{
	struct work *w = (struct work *)((char *)t - offsetof(struct work, timer));

	(void)now_us;
	if (w->state == WORK_WAITING)
		refuse_waiting(w);
}

static const struct pw_timer_ops wait_timer_ops = { .expire = wait_expire };

/*
 * Whether the statement will not be started in time: only the primary will do, and it is out of use
 * for longer, or the servers refuse work and too much waits for them.
 */
static bool is_hopeless(const struct work *w)
{
	struct pw_position floor;
	uint64_t seen_us, now = gateway_now_us(gateway_of(w));

	if (gw_group_back_us(w->group) > w->wait_until_us && !gw_work_floor(w, &floor, &seen_us))
		return true;
	return now + gw_group_backlog_us(w) > w->wait_until_us;
}

static void wait(struct work *w)
{
	struct gateway *g = gateway_of(w);

	/* What cannot be served in time is refused at once, with a time to come back. */
	if (is_hopeless(w)) {
		refuse_waiting(w);
		return;
	}
	w->state = WORK_WAITING;
	/* Another server has had its turn; by now the one that refused may have room. */
	w->avoid = NULL;
	w->timer.ops = &wait_timer_ops;
	g_queue_push_tail_link(&w->group->waiting, &w->link);
	pw_loop_timer_set(g->task.loop, &w->timer, w->wait_until_us);
}

/* Hands the statement to a server if one can take it. */
static bool try_place(struct work *w)
{
	struct server *s = gw_group_place(w);

	if (!s)
		return false;
	if (w->state == WORK_WAITING)
		g_queue_unlink(&w->group->waiting, &w->link);
	w->state = WORK_RUNNING;
	pw_loop_timer_clear(gateway_of(w)->task.loop, &w->timer);
	gw_conn_take(s, w);
	return true;
}

void gw_work_start(struct work *w)
{
	if (w->session->conn) {
		gw_conn_continue(w->session->conn, w);
		return;
	}
	/* Those that wait already go first, by their order. */
	if (!w->group->waiting.length && try_place(w))
		return;
	wait(w);
	if (w->state == WORK_WAITING)
		gw_work_pump(w->group);
}

static void pump_once(struct group *g)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct pw_waiting));

	for (GList *l = g->waiting.head; l; l = l->next) {
		struct work *w = l->data;
		const struct pw_waiting x = {
			.owner = w,
			.account = w->account,
			.priority = w->operation.priority,
			.running = w->account->running,
		};

		g_array_append_val(list, x);
	}
	pw_queue_sort(list);
	for (guint i = 0; i < list->len && gw_group_has_room(g); i++) {
		struct work *w = g_array_index(list, struct pw_waiting, i).owner;

		/* Placing one may have ended others; their memory lasts until the next tick. */
		if (w->state == WORK_WAITING)
			(void)try_place(w);
	}
	g_array_unref(list);
}

void gw_work_pump(struct group *g)
{
	g->pump_again = true;
	if (g->pumping)
		return;
	g->pumping = true;
	while (g->pump_again && g->waiting.length) {
		g->pump_again = false;
		pump_once(g);
	}
	g->pumping = false;
}

/* Another attempt, as nothing of the statement has run or it may run again. */
static void retry(struct work *w, struct server *avoid, enum pw_counter counter)
{
	uint64_t now = gateway_now_us(gateway_of(w));

	w->avoid = avoid;
	log_decision(w, PW_EVENT_REQUEST_RETRIED, w->reason, w->error ? w->error : "");
	w->conn = NULL;
	w->reason = PW_REASON_NONE;
	g_clear_pointer(&w->error, g_free);
	g_clear_pointer(&w->signature, g_free);
	if (w->answer)
		g_byte_array_set_size(w->answer, 0);
	if (!w->session) {
		free_work(w);
		return;
	}
	/* A statement that was offered to a server has the rest of its time. */
	w->offered = w->offered || w->sent;
	if (w->sent)
		w->wait_until_us = MAX(w->wait_until_us, w->arrived_us + w->operation.timeout_us);
	w->sent = false;
	if (++w->attempts >= ATTEMPTS_MAX || now >= w->wait_until_us) {
		refuse_waiting(w);
		return;
	}
	pw_counter_inc(counter);
	if (!try_place(w))
		wait(w);
}

void gw_work_abandon(struct work *w)
{
	w->session = NULL;
	if (w->state == WORK_WAITING)
		free_work(w);
	/* Else the connection goes on until the answer is there, and is cleaned then. */
}

bool gw_work_floor(const struct work *w, struct pw_position *floor, uint64_t *seen_us)
{
	const struct session *s = w->session;
	const struct group *g = w->group;
	uint64_t now = gateway_now_us(g->gateway);
	uint64_t age = w->operation.stale_age_us;

	if (w->primary || age <= STALE_MARGIN_US || now < age ||
	    !pw_history_floor(&g->history, now - age + STALE_MARGIN_US, floor, seen_us))
		return false;
	if (w->operation.consistency == PW_CONSISTENCY_SESSION && s && s->has_own &&
	    s->own_generation == g->generation && pw_position_compare(&s->own, floor) > 0) {
		*floor = s->own;
		*seen_us = s->own_us;
	}
	return true;
}

/* The caller has gone: the connection is cleaned. */
static void finish_orphan(struct work *w, struct conn *c, enum pw_session_state state)
{
	free_work(w);
	if (state == PW_SESSION_IDLE)
		return;
	c->session = NULL;
	gw_conn_roll_back(c);
}

/* What a successful answer did to the session. Changes the answer if it cannot be vouched for. */
static void note_success(struct work *w, struct conn *c, const struct pw_position *at)
{
	struct session *s = w->session;
	bool commits = w->writes || (w->ends && c->generation);

	if (!commits)
		return;
	if (!gw_group_is_present(c)) {
		/* The primary may have been replaced before it committed. */
		w->reason = PW_REASON_OUTCOME_UNKNOWN;
		w->error = g_strdup("the primary may have been replaced");
		pw_counter_inc(PW_COUNTER_OUTCOME_UNKNOWN_TERM);
		return;
	}
	pw_counter_inc(PW_COUNTER_WRITES);
	if (!at)
		return;
	s->own = *at;
	s->own_generation = w->group->generation;
	s->own_us = gateway_now_us(gateway_of(w));
	s->has_own = true;
}

/* Whether the server refused without running anything, so that another attempt is safe. */
static bool was_not_run(enum pw_reason r)
{
	switch (r) {
	case PW_REASON_BUSY:
	case PW_REASON_BEHIND:
	case PW_REASON_NOT_PRIMARY:
	case PW_REASON_UNKNOWN_STATEMENT:
	case PW_REASON_WRONG_SERVER:
	case PW_REASON_CONNECTION_LIMIT:
		return true;
	default:
		return false;
	}
}

static void note_refusal(struct server *s, struct conn *c, enum pw_reason reason)
{
	uint64_t now = gateway_now_us(s->group->gateway);

	if (reason == PW_REASON_BUSY)
		gw_group_server_busy(s);
	else if (reason == PW_REASON_BEHIND && c->floor_seen_us)
		pw_replica_lag_behind(&s->lag, now - c->floor_seen_us, now);
	else if (reason == PW_REASON_NOT_PRIMARY)
		s->pause_until_us = now + PROBE_SILENCE_US;
	else if (reason == PW_REASON_UNKNOWN_STATEMENT)
		c->tainted = true;
}

/* What decided about a statement that was answered by a server. */
static void log_served(const struct work *w, const struct conn *c, const struct pw_position *at)
{
	uint64_t now = gateway_now_us(gateway_of(w));

	if (!pw_event_is_logged(PW_EVENT_REQUEST_SERVED))
		return;
	pw_event_log(PW_EVENT_REQUEST_SERVED,
		     "id=%s account=%s database=%s server=%s primary=%d term=%" PRIu64
		     " reason=%s position=%" PRIu64 ".%" PRIu64 " floor_age_ms=%" PRIu64
		     " total_ms=%" PRIu64 " server_ms=%" PRIu64 " attempts=%u",
		     w->call->id, w->account->name, w->group->name, c->server->id,
		     c->generation != 0, w->group->generation, pw_reason_name(w->reason),
		     at ? at->term : 0, at ? at->lsn : 0,
		     c->floor_seen_us ? (now - c->floor_seen_us) / PW_US_PER_MS : 0,
		     (now - w->arrived_us) / PW_US_PER_MS, (now - c->sent_us) / PW_US_PER_MS,
		     w->attempts);
}

static void count_read(const struct work *w, const struct conn *c)
{
	if (w->reason != PW_REASON_NONE || w->writes || w->ends)
		return;
	pw_counter_inc(c->generation ? PW_COUNTER_READS_PRIMARY : PW_COUNTER_READS_REPLICA);
}

/* Ends a statement of a transaction. */
static void finish_in_transaction(struct work *w, struct conn *c, enum pw_session_state state,
				  const struct pw_position *at)
{
	struct session *s = w->session;

	if (state == PW_SESSION_IN_TRANSACTION) {
		s->transaction = TRANSACTION_ACTIVE;
		s->conn = c;
		c->session = s;
	} else if (state == PW_SESSION_FAILED) {
		/* The caller can only end it; the server need not wait for that. */
		s->transaction = TRANSACTION_LOST;
		s->conn = NULL;
		c->session = NULL;
		gw_conn_roll_back(c);
	} else {
		s->transaction = w->ends ? TRANSACTION_NONE : TRANSACTION_LOST;
		s->conn = NULL;
		c->session = NULL;
	}
	answer(w, at);
}

void gw_work_finished(struct work *w, struct conn *c, enum pw_session_state state,
		      const struct pw_position *at)
{
	struct session *s = w->session;
	struct server *server = c->server;
	bool in_transaction = s && (s->transaction != TRANSACTION_NONE);

	w->conn = NULL;
	if (!s) {
		finish_orphan(w, c, state);
		return;
	}
	note_refusal(server, c, w->reason);
	if (was_not_run(w->reason) && (!in_transaction || w->begins) && !w->ends) {
		if (state != PW_SESSION_IDLE) {
			c->session = NULL;
			gw_conn_roll_back(c);
		}
		retry(w, server, PW_COUNTER_RETRY_REFUSED_BY_UPSTREAM);
		return;
	}
	count_read(w, c);
	if (w->reason == PW_REASON_NONE)
		note_success(w, c, at);
	pw_histogram_add(PW_HISTOGRAM_REQUEST, gateway_now_us(gateway_of(w)) - w->arrived_us);
	pw_histogram_add(PW_HISTOGRAM_WAIT, c->sent_us - MIN(w->arrived_us, c->sent_us));
	pw_histogram_add(PW_HISTOGRAM_SERVER, gateway_now_us(gateway_of(w)) - c->sent_us);
	log_served(w, c, at);
	if (in_transaction)
		finish_in_transaction(w, c, state, at);
	else
		answer(w, at);
}

void gw_work_not_begun(struct work *w, enum pw_reason reason)
{
	struct conn *c = w->conn;

	note_refusal(c->server, c, reason);
	retry(w, c->server, PW_COUNTER_RETRY_REFUSED_BY_UPSTREAM);
}

void gw_work_conn_lost(struct work *w, const char *why)
{
	struct session *s = w->session;
	struct server *server = w->conn ? w->conn->server : NULL;
	bool in_transaction = s && s->transaction != TRANSACTION_NONE;

	w->conn = NULL;
	if (!s) {
		free_work(w);
		return;
	}
	s->conn = NULL;
	if (!w->sent && (!in_transaction || w->begins)) {
		retry(w, server, PW_COUNTER_RETRY_NOT_SENT);
	} else if (!in_transaction && !w->writes) {
		uint64_t age = gateway_now_us(gateway_of(w)) - w->arrived_us;

		if (w->passed_on || age >= w->operation.timeout_us)
			gw_work_refuse(w, PW_REASON_TIMEOUT, why);
		else
			retry(w, server, PW_COUNTER_RETRY_READ);
	} else if (!in_transaction || (w->ends && w->sent)) {
		s->transaction = TRANSACTION_NONE;
		gw_work_refuse(w, PW_REASON_OUTCOME_UNKNOWN, why);
	} else {
		/* The server rolls back what was not committed. */
		s->transaction = w->ends ? TRANSACTION_NONE : TRANSACTION_LOST;
		gw_work_refuse(w, PW_REASON_ABORTED, why);
	}
}
