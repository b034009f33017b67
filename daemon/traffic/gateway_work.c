#include "gateway_private.h"

#include <inttypes.h>
#include <string.h>

#include "pw/core/event.h"
#include "pw/core/histogram.h"
#include "pw/decide/queue.h"

/* Retry time while all servers that could run a statement are in evacuated zones. */
#define EVACUATED_RETRY_AFTER_US (1 * PW_US_PER_S)
/* Shortest retry time that a caller is given while the servers are busy. */
#define BUSY_RETRY_AFTER_MIN_US (100 * PW_US_PER_MS)

static struct gateway *gateway_of(const struct work *w)
{
	return w->group->gateway;
}

static bool is_commit(const struct pw_caller_statement *statement)
{
	return statement->verb == PW_VERB_COMMIT;
}

/* Size of a statement that is held until it is answered. */
uint64_t gw_work_statement_bytes(const struct pw_caller_statement *statement)
{
	return statement->argument ? g_bytes_get_size(statement->argument) : 0;
}

void gw_work_count_answer(struct work *w)
{
	struct gateway *g = gateway_of(w);
	uint64_t bytes = w->answer ? w->answer->len : 0;

	g->memory.used_bytes[PW_MEMORY_OUTPUT] += bytes - w->answer_bytes;
	w->answer_bytes = bytes;
}

struct work *gw_work_new(struct session *s, struct pw_caller_statement *statement)
{
	struct work *w = g_new0(struct work, 1);
	bool is_autocommit = s->transaction == TRANSACTION_NONE;

	w->session = s;
	w->account = s->account;
	w->operation = s->operation;
	w->group = s->operation.group;
	w->statement = statement;
	w->link.data = w;
	if (statement->verb == PW_VERB_EXECUTE)
		w->prepared_statement =
			g_hash_table_lookup(s->prepared_statements, statement->name);
	w->begins_transaction = s->transaction == TRANSACTION_PENDING;
	w->in_transaction = !is_autocommit;
	w->is_commit = is_commit(statement);
	w->writes = statement->verb == PW_VERB_WRITE ||
		    (w->prepared_statement && w->prepared_statement->writes);
	w->is_autocommit_write = is_autocommit && w->writes;
	w->needs_primary = w->operation.consistency == PW_CONSISTENCY_PRIMARY ||
			   w->is_autocommit_write || (!is_autocommit && !s->read_only);
	w->arrived_us = pw_loop_update_now_us(s->gateway->task.loop);
	w->wait_deadline_us =
		w->arrived_us + MAX(MIN(w->operation.target_us * QUEUE_WAIT_TARGET_PERCENT / 100,
					w->operation.timeout_us * QUEUE_WAIT_TIMEOUT_PERCENT / 100),
				    QUEUE_WAIT_MIN_US);
	w->charged = is_autocommit || w->begins_transaction;
	w->state = WORK_RUNNING;
	w->input_bytes = gw_work_statement_bytes(statement);
	s->gateway->memory.used_bytes[PW_MEMORY_INPUT] += w->input_bytes;
	return w;
}

/* Removes the statement from the queue and stops its timer. */
static void end_work(struct work *w)
{
	pw_loop_timer_clear(gateway_of(w)->task.loop, &w->timer);
	if (w->state == WORK_WAITING)
		g_queue_unlink(&w->group->wait_queue, &w->link);
	w->state = WORK_ENDED;
}

/* Ends the statement. Its memory is freed by the next tick. */
static void free_work(struct work *w)
{
	struct gateway *g = gateway_of(w);

	end_work(w);
	g->memory.used_bytes[PW_MEMORY_INPUT] -= w->input_bytes;
	g_clear_pointer(&w->answer, g_byte_array_unref);
	gw_work_count_answer(w);
	pw_caller_statement_free(w->statement);
	g_free(w->signature);
	g_free(w->error);
	g_free(w->avoid_server_id);
	/* A loop over waiting statements in a calling function may still use it. */
	gateway_free_later(g, w);
}

/* Sends the answer to the caller if it is still connected, and frees the statement. */
static void send_answer(struct work *w, const struct pw_position *position)
{
	struct session *s = w->session;

	w->session = NULL;
	/* The session may go on with its next statement, which starts statements of the queue. */
	end_work(w);
	if (s)
		gw_session_send_answer(s, w, position);
	free_work(w);
}

static bool is_drain_over(const struct work *w)
{
	const struct gateway *g = gateway_of(w);

	return pw_drain_is_over(&g->drain, gateway_now_us(g));
}

static enum pw_counter refusal_counter(const struct work *w, enum pw_reason reason)
{
	switch (reason) {
	case PW_REASON_OUTCOME_UNKNOWN:
	case PW_REASON_TIMEOUT:
		return PW_COUNTER_OUTCOME_UNKNOWN;
	case PW_REASON_BUSY:
		return w->needs_primary ? PW_COUNTER_REFUSED_NO_PRIMARY
					: PW_COUNTER_REFUSED_DEADLINE;
	default:
		return PW_COUNTER_REFUSED_NO_PRIMARY;
	}
}

static const char *const consistency_names[] = {
	[PW_CONSISTENCY_PRIMARY] = "primary",
	[PW_CONSISTENCY_BOUNDED] = "bounded",
	[PW_CONSISTENCY_SESSION] = "session",
};

/* Logs a decision about a statement and the state that the decision is based on. */
static void log_decision(const struct work *w, enum pw_event event, enum pw_reason reason,
			 const char *text)
{
	const struct group *group = w->group;
	uint64_t now_us = gateway_now_us(group->gateway);

	if (!pw_event_is_logged(event))
		return;
	pw_event_log(
		event,
		"id=%s account=%s database=%s reason=%s text=\"%s\" waited_ms=%" PRIu64
		" attempts=%u consistency=%s needs_primary=%d blocked=%s waiting=%u changing=%d"
		" permit_left_ms=%" PRId64 " term=%" PRIu64 " server=%s",
		w->statement->id, w->account->name, group->name, pw_reason_name(reason), text,
		(now_us - w->arrived_us) / PW_US_PER_MS, w->failed_attempts,
		consistency_names[w->operation.consistency], w->needs_primary,
		gw_group_blocking_reason(w), group->wait_queue.length, group->changing,
		((int64_t)group->gateway->permit_until_us - (int64_t)now_us) /
			(int64_t)PW_US_PER_MS,
		group->generation, w->avoid_server_id ? w->avoid_server_id : "");
}

void gw_work_refuse(struct work *w, enum pw_reason reason, const char *text)
{
	log_decision(w, PW_EVENT_REQUEST_REFUSED, reason, text);
	pw_counter_inc(refusal_counter(w, reason));
	w->reason = reason;
	g_free(w->error);
	w->error = g_strdup(text);
	send_answer(w, NULL);
}

/*
 * Returns the time after which a server may be free, with random jitter so that callers that are
 * refused together do not retry together.
 */
static uint64_t busy_retry_after_us(const struct work *w)
{
	uint64_t retry_after_us = MAX(gw_group_backlog_us(w), BUSY_RETRY_AFTER_MIN_US);

	return retry_after_us + pw_clock_random_u64() % (retry_after_us / 2);
}

/*
 * Refuses a statement that no server could take in time, with a time after which the caller may
 * retry. Nothing has been written: the statement was not sent, or servers refused it without
 * running it, or it is a read that was not answered.
 */
static void refuse_no_server(struct work *w)
{
	uint64_t now_us = gateway_now_us(gateway_of(w));
	uint64_t retry_after_us = gw_group_primary_ready_us(w->group) - now_us;
	bool is_evacuated = gw_group_has_evacuated_all(w);
	char text[96];

	if (is_evacuated)
		g_snprintf(text, sizeof(text),
			   "retry_after_ms=%" PRIu64 " the servers' zones are evacuated",
			   EVACUATED_RETRY_AFTER_US / PW_US_PER_MS);
	else if (retry_after_us)
		g_snprintf(text, sizeof(text),
			   "retry_after_ms=%" PRIu64 " the primary is out of use",
			   retry_after_us / PW_US_PER_MS);
	else
		g_snprintf(text, sizeof(text),
			   "retry_after_ms=%" PRIu64 " no server could take the statement",
			   busy_retry_after_us(w) / PW_US_PER_MS);
	if (is_evacuated)
		pw_counter_inc(PW_COUNTER_REFUSED_EVACUATED);
	if (w->charged && !w->sent_before)
		gw_account_refund(w->account);
	/* The transaction is not open at any server, so it is aborted for the caller. */
	if (w->session && w->begins_transaction)
		w->session->transaction = TRANSACTION_ABORTED_REPORTED;
	gw_work_refuse(w, w->begins_transaction ? PW_REASON_ABORTED : PW_REASON_BUSY, text);
}

/* Refuses a statement that has waited in the queue until its deadline. */
static void queue_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct work *w = (struct work *)((char *)t - offsetof(struct work, timer));

	(void)now_us;
	if (w->state == WORK_WAITING)
		refuse_no_server(w);
}

static const struct pw_timer_ops queue_timer_ops = { .expire = queue_timer_expired };

bool gw_work_cannot_start_in_time(const struct work *w)
{
	struct pw_position floor;
	uint64_t observed_us, now_us = gateway_now_us(gateway_of(w));

	if (gw_group_has_evacuated_all(w))
		return true;
	if (gw_group_primary_ready_us(w->group) > w->wait_deadline_us &&
	    !gw_work_find_floor(w, &floor, &observed_us))
		return true;
	return now_us + gw_group_backlog_us(w) > w->wait_deadline_us;
}

/* Queues the statement until a server can take it. */
static void enqueue(struct work *w)
{
	struct gateway *g = gateway_of(w);

	/* A statement that cannot be served in time is refused at once, with a retry time. */
	if (is_drain_over(w) || gw_work_cannot_start_in_time(w)) {
		refuse_no_server(w);
		return;
	}
	w->state = WORK_WAITING;
	/*
	 * A server that refused or failed the last attempt was not considered for this one. By the
	 * next attempt it may have capacity again.
	 */
	g_clear_pointer(&w->avoid_server_id, g_free);
	w->timer.ops = &queue_timer_ops;
	g_queue_push_tail_link(&w->group->wait_queue, &w->link);
	pw_loop_timer_set(g->task.loop, &w->timer, w->wait_deadline_us);
}

/* Starts the statement if a server can take it now. Returns whether one could. */
static bool try_start(struct work *w)
{
	struct server *server = is_drain_over(w) ? NULL : gw_group_choose_server(w);

	if (!server)
		return false;
	if (w->state == WORK_WAITING)
		g_queue_unlink(&w->group->wait_queue, &w->link);
	w->state = WORK_RUNNING;
	pw_loop_timer_clear(gateway_of(w)->task.loop, &w->timer);
	gw_conn_start_work(server, w);
	return true;
}

void gw_work_start(struct work *w)
{
	if (w->session->conn) {
		gw_conn_continue_transaction(w->session->conn, w);
		return;
	}
	/* Statements that wait already take precedence, in the order of pw_queue_sort(). */
	if (!w->group->wait_queue.length && try_start(w))
		return;
	enqueue(w);
	if (w->state == WORK_WAITING)
		gw_work_dispatch_waiting(w->group);
}

/* Tries once to start each waiting statement, in the order of pw_queue_sort(). */
static void dispatch_once(struct group *group)
{
	GArray *entries = g_array_new(FALSE, TRUE, sizeof(struct pw_queue_entry));

	for (GList *l = group->wait_queue.head; l; l = l->next) {
		struct work *w = l->data;
		const struct pw_queue_entry entry = {
			.owner = w,
			.account = w->account,
			.priority = w->operation.priority,
			.in_flight = w->account->in_flight,
		};

		g_array_append_val(entries, entry);
	}
	pw_queue_sort(entries);
	for (guint i = 0; i < entries->len && gw_group_has_capacity(group); i++) {
		struct work *w = g_array_index(entries, struct pw_queue_entry, i).owner;

		/* Starting one may have ended others, which are freed by the next tick only. */
		if (w->state == WORK_WAITING)
			(void)try_start(w);
	}
	g_array_unref(entries);
}

void gw_work_dispatch_waiting(struct group *group)
{
	group->dispatch_again = true;
	if (group->dispatching)
		return;
	group->dispatching = true;
	while (group->dispatch_again && group->wait_queue.length) {
		group->dispatch_again = false;
		dispatch_once(group);
	}
	group->dispatching = false;
}

/*
 * Makes another attempt at a statement that has not run, or that may run again. Refuses it if it
 * has no attempt or no time left.
 */
static void retry(struct work *w, const struct server *avoid, enum pw_counter counter)
{
	uint64_t now_us = gateway_now_us(gateway_of(w));

	g_free(w->avoid_server_id);
	w->avoid_server_id = avoid ? g_strdup(avoid->id) : NULL;
	log_decision(w, PW_EVENT_REQUEST_RETRIED, w->reason, w->error ? w->error : "");
	w->conn = NULL;
	w->reason = PW_REASON_NONE;
	g_clear_pointer(&w->error, g_free);
	g_clear_pointer(&w->signature, g_free);
	if (w->answer)
		g_byte_array_set_size(w->answer, 0);
	gw_work_count_answer(w);
	if (!w->session) {
		free_work(w);
		return;
	}
	/* A statement that was sent to a server may wait until its whole timeout has passed. */
	w->sent_before = w->sent_before || w->sent;
	if (w->sent)
		w->wait_deadline_us =
			MAX(w->wait_deadline_us, w->arrived_us + w->operation.timeout_us);
	w->sent = false;
	if (++w->failed_attempts >= STATEMENT_ATTEMPTS_MAX || now_us >= w->wait_deadline_us) {
		refuse_no_server(w);
		return;
	}
	pw_counter_inc(counter);
	if (!try_start(w))
		enqueue(w);
}

void gw_work_stop(struct work *w)
{
	if (w->state == WORK_WAITING)
		refuse_no_server(w);
	else if (w->conn)
		gw_conn_fail(w->conn, "the proxy is stopping");
}

const char *gw_work_state_name(const struct work *w)
{
	if (w->state == WORK_WAITING)
		return "waiting";
	return w->sent ? "sent" : "opening";
}

void gw_work_abandon(struct work *w)
{
	w->session = NULL;
	if (w->state == WORK_WAITING)
		free_work(w);
	else if (w->conn && w->conn->reading_paused)
		gw_conn_fail(w->conn, "the caller has disconnected within its answer");
	/* A running one keeps its connection, which is rolled back after the answer if needed. */
}

bool gw_work_find_floor(const struct work *w, struct pw_position *floor, uint64_t *observed_us)
{
	const struct session *s = w->session;
	const struct group *group = w->group;
	uint64_t now_us = gateway_now_us(group->gateway);
	uint64_t age_us = w->operation.stale_age_us;

	if (w->needs_primary || age_us <= STALE_AGE_MARGIN_US || now_us < age_us ||
	    !pw_history_find_floor(&group->history, now_us - age_us + STALE_AGE_MARGIN_US, floor,
				   observed_us))
		return false;
	/* With session consistency, the read must also see the last commit of the session. */
	if (w->operation.consistency == PW_CONSISTENCY_SESSION && s && s->has_last_commit &&
	    s->last_commit_generation == group->generation &&
	    pw_position_compare(&s->last_commit, floor) > 0) {
		*floor = s->last_commit;
		*observed_us = s->last_commit_us;
	}
	return true;
}

/* Handles the answer to a caller that has disconnected: rolls back an open transaction. */
static void finish_abandoned(struct work *w, struct conn *c, enum pw_session_state state)
{
	free_work(w);
	if (state == PW_SESSION_IDLE)
		return;
	c->session = NULL;
	gw_conn_roll_back(c);
}

/*
 * Records the position of a successful write or commit in the session. If the answer may come from
 * a replaced primary, it is changed to an error: the outcome is unknown.
 */
static void record_commit(struct work *w, struct conn *c, const struct pw_position *position)
{
	struct session *s = w->session;
	bool commits = w->is_autocommit_write || (w->is_commit && c->generation);

	if (!commits)
		return;
	if (!gw_group_is_current_primary(c)) {
		/* Another server may have become the primary before this one committed. */
		w->reason = PW_REASON_OUTCOME_UNKNOWN;
		w->error = g_strdup("the primary may have been replaced");
		pw_counter_inc(PW_COUNTER_OUTCOME_UNKNOWN_TERM);
		return;
	}
	pw_counter_inc(PW_COUNTER_WRITES);
	if (!position)
		return;
	s->last_commit = *position;
	s->last_commit_generation = w->group->generation;
	s->last_commit_us = gateway_now_us(gateway_of(w));
	s->has_last_commit = true;
}

/* Whether the server refused the statement without running it, so that a retry is safe. */
static bool was_not_run(enum pw_reason reason)
{
	switch (reason) {
	case PW_REASON_BUSY:
	case PW_REASON_SERVER_BEHIND:
	case PW_REASON_NOT_PRIMARY:
	case PW_REASON_UNKNOWN_STATEMENT:
	case PW_REASON_WRONG_SERVER:
	case PW_REASON_CONNECTION_LIMIT:
		return true;
	default:
		return false;
	}
}

void gw_work_record_refusal(struct conn *c, enum pw_reason reason)
{
	struct server *server = c->server;
	uint64_t now_us = gateway_now_us(server->group->gateway);

	if (reason == PW_REASON_BUSY)
		gw_group_record_server_busy(server);
	else if (reason == PW_REASON_SERVER_BEHIND && c->floor_observed_us)
		pw_replica_lag_record_behind(&server->replica_lag, now_us - c->floor_observed_us,
					     now_us);
	else if (reason == PW_REASON_NOT_PRIMARY)
		server->pause_until_us = now_us + PROBE_SILENCE_US;
	else if (reason == PW_REASON_UNKNOWN_STATEMENT)
		c->discard_when_idle = true;
}

/* Logs a statement that a server has answered, with the inputs of the routing decision. */
static void log_served(const struct work *w, const struct conn *c,
		       const struct pw_position *position)
{
	uint64_t now_us = gateway_now_us(gateway_of(w));

	if (!pw_event_is_logged(PW_EVENT_REQUEST_SERVED))
		return;
	pw_event_log(PW_EVENT_REQUEST_SERVED,
		     "id=%s account=%s database=%s server=%s primary=%d term=%" PRIu64
		     " reason=%s position=%" PRIu64 ".%" PRIu64 " floor_age_ms=%" PRIu64
		     " total_ms=%" PRIu64 " server_ms=%" PRIu64 " attempts=%u",
		     w->statement->id, w->account->name, w->group->name, c->server->id,
		     c->generation != 0, w->group->generation, pw_reason_name(w->reason),
		     position ? position->term : 0, position ? position->lsn : 0,
		     c->floor_observed_us ? (now_us - c->floor_observed_us) / PW_US_PER_MS : 0,
		     (now_us - w->arrived_us) / PW_US_PER_MS, (now_us - c->sent_us) / PW_US_PER_MS,
		     w->failed_attempts);
}

static void count_read(const struct work *w, const struct conn *c)
{
	if (w->reason != PW_REASON_NONE || w->is_autocommit_write || w->is_commit)
		return;
	pw_counter_inc(c->generation ? PW_COUNTER_READS_PRIMARY : PW_COUNTER_READS_REPLICA);
}

/* Updates the transaction after the answer to one of its statements, and sends the answer. */
static void finish_in_transaction(struct work *w, struct conn *c, enum pw_session_state state,
				  const struct pw_position *position)
{
	struct session *s = w->session;

	if (state == PW_SESSION_IN_TRANSACTION) {
		s->transaction = TRANSACTION_ACTIVE;
		s->conn = c;
		c->session = s;
	} else if (state == PW_SESSION_FAILED) {
		/* The caller can only end it; it is rolled back at the server right away. */
		s->transaction = TRANSACTION_ABORTED_REPORTED;
		s->conn = NULL;
		c->session = NULL;
		gw_conn_roll_back(c);
	} else {
		s->transaction = w->is_commit ? TRANSACTION_NONE : TRANSACTION_ABORTED_REPORTED;
		s->conn = NULL;
		c->session = NULL;
	}
	send_answer(w, position);
}

/* Rolls back what an error has left open at the server. */
static void end_failed_state(struct conn *c, enum pw_session_state state)
{
	if (state == PW_SESSION_IDLE)
		return;
	c->session = NULL;
	gw_conn_roll_back(c);
}

/*
 * Whether a read that the server has answered with an error is tried at another server. A read has
 * no effect, so it may run again.
 */
static bool should_repeat_read(const struct work *w, const struct server *failed)
{
	uint64_t now_us = gateway_now_us(gateway_of(w));

	return (w->reason == PW_REASON_FAILED || w->reason == PW_REASON_OTHER) && !w->is_repeated &&
	       !w->writes && !w->needs_primary && !w->answer_started &&
	       now_us < w->arrived_us + w->operation.timeout_us &&
	       gw_group_can_repeat_read(w, failed);
}

void gw_work_handle_answer(struct work *w, struct conn *c, enum pw_session_state state,
			   const struct pw_position *position)
{
	struct session *s = w->session;
	struct server *server = c->server;
	bool in_transaction = s && (s->transaction != TRANSACTION_NONE);

	w->conn = NULL;
	if (!s) {
		finish_abandoned(w, c, state);
		return;
	}
	gw_work_record_refusal(c, w->reason);
	if (was_not_run(w->reason) && (!in_transaction || w->begins_transaction) && !w->is_commit &&
	    !w->answer_started) {
		end_failed_state(c, state);
		retry(w, server, PW_COUNTER_RETRY_REFUSED_BY_UPSTREAM);
		return;
	}
	if (!in_transaction && should_repeat_read(w, server)) {
		end_failed_state(c, state);
		w->is_repeated = true;
		retry(w, server, PW_COUNTER_RETRY_READ_FAILED);
		return;
	}
	count_read(w, c);
	if (w->reason == PW_REASON_NONE)
		record_commit(w, c, position);
	pw_histogram_add(PW_HISTOGRAM_REQUEST, gateway_now_us(gateway_of(w)) - w->arrived_us);
	pw_histogram_add(PW_HISTOGRAM_REQUEST_WAIT, c->sent_us - MIN(w->arrived_us, c->sent_us));
	pw_histogram_add(PW_HISTOGRAM_SERVER, gateway_now_us(gateway_of(w)) - c->sent_us);
	log_served(w, c, position);
	if (in_transaction)
		finish_in_transaction(w, c, state, position);
	else
		send_answer(w, position);
}

void gw_work_handle_begin_failed(struct work *w, enum pw_reason reason)
{
	struct conn *c = w->conn;

	gw_work_record_refusal(c, reason);
	retry(w, c->server, PW_COUNTER_RETRY_REFUSED_BY_UPSTREAM);
}

void gw_work_handle_conn_lost(struct work *w, const char *text)
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
	if (!w->sent && (!in_transaction || w->begins_transaction)) {
		retry(w, server, PW_COUNTER_RETRY_NOT_SENT);
	} else if (!in_transaction && !w->is_autocommit_write) {
		uint64_t age_us = gateway_now_us(gateway_of(w)) - w->arrived_us;

		if (w->answer_started || age_us >= w->operation.timeout_us)
			gw_work_refuse(w, PW_REASON_TIMEOUT, text);
		else
			retry(w, server, PW_COUNTER_RETRY_READ);
	} else if (!in_transaction || (w->is_commit && w->sent)) {
		s->transaction = TRANSACTION_NONE;
		gw_work_refuse(w, PW_REASON_OUTCOME_UNKNOWN, text);
	} else {
		/* The server rolls back the transaction, since its commit was not sent. */
		s->transaction = w->is_commit ? TRANSACTION_NONE : TRANSACTION_ABORTED_REPORTED;
		gw_work_refuse(w, PW_REASON_ABORTED, text);
	}
}
