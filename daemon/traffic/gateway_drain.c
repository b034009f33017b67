#include "gateway_private.h"

#include <inttypes.h>
#include <unistd.h>

#include "front.h"
#include "pw/core/event.h"

static uint64_t drain_age_ms(const struct gateway *g)
{
	return (gateway_now_us(g) - g->drain.started_us) / PW_US_PER_MS;
}

/* Tells the shutdown task, once, that the gateway has drained and no session is left. */
static void report_if_drained(struct gateway *g)
{
	struct pw_msg *m;

	if (!pw_drain_has_started(&g->drain) || g->drain_reported || g_hash_table_size(g->sessions))
		return;
	g->drain_reported = true;
	gw_drain_log_end(g);
	m = g_new0(struct pw_msg, 1);
	m->ops = &pw_drained_ops;
	pw_mailbox_send(g->directory->shutdown, m);
}

/* Closes the sessions whose callers have not closed them after the drain. */
static void drain_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct gateway *g = (struct gateway *)((char *)t - offsetof(struct gateway, drain_timer));

	(void)now_us;
	gateway_for_each_session(g, gw_session_close);
	report_if_drained(g);
}

static const struct pw_timer_ops drain_timer_ops = { .expire = drain_timer_expired };

static void log_start(const struct gateway *g, uint32_t accepted_count)
{
	uint32_t statement_count = 0, transaction_count = 0;
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, g->sessions);
	while (g_hash_table_iter_next(&it, &item, NULL)) {
		const struct session *s = item;

		statement_count += s->work != NULL;
		transaction_count += s->transaction != TRANSACTION_NONE;
	}
	pw_drain_log_start(&(struct pw_drain_start){
		.task = "gateway",
		.index = g->index,
		.session_count = g_hash_table_size(g->sessions),
		.statement_count = statement_count,
		.transaction_count = transaction_count,
		.accepted_count = accepted_count,
		.ends_in_us = g->drain.ends_us - g->drain.started_us,
	});
}

void gw_drain_start(struct gateway *g)
{
	uint64_t now_us = gateway_now_us(g);
	uint32_t session_count = g_hash_table_size(g->sessions);

	if (pw_drain_has_started(&g->drain))
		return;
	/* The kernel resets connections that wait to be accepted when the socket is closed. */
	gateway_accept_sessions(g, GATEWAY_SESSIONS_MAX);
	g->drain = (struct pw_drain_window){
		.started_us = now_us,
		.ends_us = now_us + g->directory->drain_plan.drain_us,
	};
	pw_loop_unwatch(g->task.loop, &g->listener);
	close(g->listener.fd);
	g->listener.fd = -1;
	log_start(g, g_hash_table_size(g->sessions) - session_count);
	gw_drain_continue(g);
}

void gw_drain_end(struct gateway *g)
{
	uint64_t now_us = gateway_now_us(g);

	gw_drain_start(g);
	if (!pw_drain_is_over(&g->drain, now_us))
		g->drain.ends_us = now_us;
	gw_drain_continue(g);
}

void gw_drain_abort(struct gateway *g)
{
	uint64_t now_us = gateway_now_us(g);

	if (!pw_drain_has_started(&g->drain))
		g->drain.started_us = now_us;
	g->drain.ends_us = now_us;
	gateway_for_each_session(g, gw_session_drain);
	gateway_for_each_session(g, gw_session_close);
	if (!g->drain_reported)
		gw_drain_log_end(g);
	pw_loop_timer_clear(g->task.loop, &g->drain_timer);
}

void gw_drain_continue(struct gateway *g)
{
	if (!pw_drain_has_started(&g->drain))
		return;
	/*
	 * The time to close counts from here: if the process was held up across the end of the
	 * drain, requests that wait in the sockets are read and refused first.
	 */
	if (!g->drain_closing && pw_drain_is_over(&g->drain, gateway_now_us(g))) {
		g->drain_closing = true;
		g->drain_timer.ops = &drain_timer_ops;
		pw_loop_timer_set(g->task.loop, &g->drain_timer,
				  gateway_now_us(g) + g->directory->drain_plan.close_us);
	}
	gateway_for_each_session(g, gw_session_drain);
	report_if_drained(g);
}

void gw_drain_log_end(const struct gateway *g)
{
	if (pw_drain_has_started(&g->drain))
		pw_drain_log_end(&g->drain_counts, "gateway", g->index,
				 gateway_now_us(g) - g->drain.started_us);
}

void gw_drain_log_answer(const struct session *s, const struct work *w)
{
	struct gateway *g = s->gateway;

	if (!pw_drain_has_started(&g->drain))
		return;
	g->drain_counts.answered++;
	if (!pw_event_is_logged(PW_EVENT_REQUEST_DRAINED))
		return;
	pw_event_log(PW_EVENT_REQUEST_DRAINED,
		     "id=%s account=%s database=%s reason=%s waited_ms=%" PRIu64
		     " drain_ms=%" PRIu64,
		     w->statement->id, w->account->name, w->group->name, pw_reason_name(w->reason),
		     (gateway_now_us(g) - w->arrived_us) / PW_US_PER_MS, drain_age_ms(g));
}

/* Returns what the proxy still owes a caller whose session it closes; NULL: nothing. */
static const char *find_unanswered(const struct session *s, bool has_input)
{
	if (s->work)
		return gw_work_state_name(s->work);
	if (s->waiting)
		return "waiting";
	if (has_input)
		return "unread";
	return pw_stream_output_bytes(&s->stream) ? "answering" : NULL;
}

static void log_unanswered(enum pw_event event, const struct session *s, const char *state,
			   bool has_input)
{
	const struct gateway *g = s->gateway;
	const struct work *w = s->work;

	if (!pw_event_is_logged(event))
		return;
	pw_event_log(event,
		     "id=%s account=%s database=%s state=%s server=%s waited_ms=%" PRIu64
		     " input=%d drain_ms=%" PRIu64,
		     w ? w->statement->id : "", s->account ? s->account->name : "",
		     s->database ? s->database : "", state, w && w->conn ? w->conn->server->id : "",
		     w ? (gateway_now_us(g) - w->arrived_us) / PW_US_PER_MS : 0, has_input,
		     pw_drain_has_started(&g->drain) ? drain_age_ms(g) : 0);
}

void gw_drain_record_close(const struct session *s, bool by_caller, bool has_input)
{
	const char *state = find_unanswered(s, has_input);

	if (pw_drain_has_started(&s->gateway->drain)) {
		pw_drain_counts_add_close(&s->gateway->drain_counts, s->state == SESSION_CLOSING,
					  by_caller, state && !by_caller,
					  s->stream.discarded_bytes != 0);
		pw_drain_log_crossed(&s->stream, s->account ? s->account->name : NULL, s->database,
				     s->gateway->drain.started_us);
	}
	if (!state || (by_caller && !s->work))
		return;
	if (!by_caller)
		pw_counter_inc(PW_COUNTER_UNANSWERED);
	log_unanswered(by_caller ? PW_EVENT_REQUEST_ABANDONED : PW_EVENT_REQUEST_UNANSWERED, s,
		       state, has_input);
}
