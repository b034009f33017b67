#include "front_private.h"

#include <inttypes.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pw/core/clock.h"
#include "pw/core/event.h"

static uint64_t drain_age_ms(const struct front *f)
{
	return f->drain_started_us
		       ? (pw_loop_now_us(f->task.loop) - f->drain_started_us) / PW_US_PER_MS
		       : 0;
}

static void log_start(const struct front *f, uint32_t accepted_count)
{
	uint32_t statement_count = 0, transaction_count = 0;
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, f->callers_by_session);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		const struct caller *c = item;

		statement_count += c->request_id != 0;
		transaction_count += c->transaction_status != 'I';
	}
	pw_drain_log_start(&(struct pw_drain_start){
		.task = "front",
		.index = f->index,
		.session_count = g_hash_table_size(f->callers_by_session),
		.statement_count = statement_count,
		.transaction_count = transaction_count,
		.accepted_count = accepted_count,
		.ends_in_us = f->directory->drain_plan.drain_us,
	});
}

static void log_end(const struct front *f)
{
	pw_drain_log_end(&f->drain_counts, "front", f->index,
			 pw_loop_now_us(f->task.loop) - f->drain_started_us);
}

/*
 * Returns what the proxy owes a caller that it closes: the answer to a statement that was passed on
 * ("sent"), one that the caller has not taken ("answering"), or one that was not read ("unread").
 */
static const char *find_unanswered(const struct caller *c)
{
	if (c->request_id)
		return "sent";
	if (c->account_usage && pw_stream_output_bytes(&c->stream))
		return "answering";
	if (c->state == CALLER_READY &&
	    (pw_stream_input_bytes(&c->stream) || pw_stream_has_unread_input(&c->stream)))
		return "unread";
	return NULL;
}

void drain_record_close(const struct caller *c, bool by_caller)
{
	struct front *f = c->front;
	const char *state = by_caller ? NULL : find_unanswered(c);

	pw_drain_counts_add_close(&f->drain_counts, c->state == CALLER_CLOSING, by_caller,
				  state != NULL, c->stream.discarded_bytes != 0);
	if (f->drain_started_us)
		pw_drain_log_crossed(&c->stream, c->user, c->database, f->drain_started_us);
	if (!state)
		return;
	pw_counter_inc(PW_COUNTER_UNANSWERED);
	pw_event_log(PW_EVENT_REQUEST_UNANSWERED,
		     "id=%" PRIu64 " account=%s database=%s state=%s server= waited_ms=%" PRIu64
		     " input=%d drain_ms=%" PRIu64,
		     c->request_id, c->user, c->database, state,
		     (pw_loop_now_us(f->task.loop) - c->request_sent_us) / PW_US_PER_MS,
		     !c->request_id && c->state == CALLER_READY, drain_age_ms(f));
}

void drain_report_if_done(struct front *f)
{
	struct pw_msg *m;

	if (!f->stopping || f->drain_reported || g_hash_table_size(f->callers_by_session))
		return;
	f->drain_reported = true;
	log_end(f);
	m = g_new0(struct pw_msg, 1);
	m->ops = &pw_drained_ops;
	pw_mailbox_send(f->directory->shutdown, m);
}

/*
 * Accepts the connections that wait when the drain begins, which the kernel resets when the socket
 * is closed. Their logins are refused. None of them takes the place of an earlier one, since no
 * further connections follow.
 */
static uint32_t accept_last_callers(struct front *f)
{
	uint32_t count = 0;

	while (limits_has_room(f)) {
		int32_t fd = accept4(f->listener.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			break;
		front_accept_caller(f, fd);
		count++;
	}
	return count;
}

/*
 * Whether a caller has been idle for a time. Not if a message before the login waits in its socket:
 * if it asks for encryption, it has to be answered first. Drivers take an error in the place of
 * that answer for a failed connection, and do not try their next address.
 */
static bool is_idle(const struct caller *c, uint64_t time_us)
{
	return pw_loop_now_us(c->front->task.loop) - c->idle_since_us >= time_us &&
	       !(c->state == CALLER_STARTUP && pw_stream_has_unread_input(&c->stream));
}

/*
 * Disconnects a caller that has been idle for DRAIN_IDLE_US without a transaction, or that has not
 * gone on with its login for so long. handle_batch() and complete_login() disconnect the others.
 */
static void disconnect_if_idle(struct caller *c)
{
	if (!is_idle(c, c->front->drain_is_over ? DRAIN_ANSWER_TIMEOUT_US : DRAIN_IDLE_US))
		return;
	if (c->state == CALLER_READY && !c->request_id && c->transaction_status == 'I' && !c->batch)
		caller_send_fatal_error(c, PW_SQLSTATE_SHUTDOWN, PW_COUNTER_REFUSED_DRAINING,
					"the proxy is stopping");
	else if (c->state < CALLER_READY)
		caller_send_fatal_error(c, PW_SQLSTATE_UNAVAILABLE, PW_COUNTER_REFUSED_DRAINING,
					"the proxy is stopping");
}

/* An error before the login succeeds makes the driver try its next address. */
static const char *shutdown_sqlstate(const struct caller *c)
{
	return c->state < CALLER_READY ? PW_SQLSTATE_UNAVAILABLE : PW_SQLSTATE_SHUTDOWN;
}

/* Answers an outstanding statement with an error, and disconnects the caller. */
static void disconnect_now(struct caller *c)
{
	if (c->state == CALLER_CLOSING)
		return;
	if (c->request_id)
		session_handle_request_timeout(c);
	else
		caller_send_fatal_error(c, shutdown_sqlstate(c), PW_COUNTER_REFUSED_DRAINING,
					"the proxy is stopping");
}

/*
 * Disconnects a caller, at once or after the answer to its request, which is stopped. One that has
 * begun its login a moment ago is left to the check for idle callers.
 */
static void disconnect_after_drain(struct caller *c)
{
	struct front *f = c->front;

	if (c->state == CALLER_STARTUP && !is_idle(c, DRAIN_ANSWER_TIMEOUT_US))
		return;
	if (!c->request_id) {
		disconnect_now(c);
		return;
	}
	f->drain_counts.stopped++;
	pw_mailbox_send(f->directory->ledger,
			pw_request_stop_msg(c->request_id,
					    pw_directory_group_inbox(f->directory, c->database)));
	pw_loop_timer_set(f->task.loop, &c->timer,
			  pw_loop_now_us(f->task.loop) + DRAIN_ANSWER_TIMEOUT_US);
}

static void drain_timeout_expired(struct pw_timer *t, uint64_t now_us)
{
	struct front *f = (struct front *)((char *)t - offsetof(struct front, drain_timeout_timer));

	(void)now_us;
	if (f->drain_is_over)
		return;
	f->drain_is_over = true;
	front_for_each_caller(f, disconnect_after_drain);
	drain_report_if_done(f);
}

static const struct pw_timer_ops drain_timeout_ops = { .expire = drain_timeout_expired };

/* Disconnects idle callers, at intervals until draining ends. */
static void disconnect_idle_callers(struct pw_timer *t, uint64_t now_us)
{
	struct front *f = (struct front *)((char *)t - offsetof(struct front, drain_check_timer));

	if (!f->draining)
		return;
	pw_loop_timer_set(f->task.loop, t, now_us + DRAIN_CHECK_INTERVAL_US);
	front_for_each_caller(f, disconnect_if_idle);
	drain_report_if_done(f);
}

static const struct pw_timer_ops drain_check_ops = { .expire = disconnect_idle_callers };

void drain_start(struct front *f)
{
	uint64_t now_us = pw_loop_now_us(f->task.loop);
	uint32_t accepted_count;

	if (f->stopping)
		return;
	f->stopping = true;
	f->draining = true;
	f->drain_started_us = now_us;
	f->drain_counts = (struct pw_drain_counts){ 0 };
	accepted_count = accept_last_callers(f);
	log_start(f, accepted_count);
	pw_loop_unwatch(f->task.loop, &f->listener);
	close(f->listener.fd);
	f->listener.fd = -1;
	pw_loop_timer_set(f->task.loop, &f->drain_timeout_timer,
			  now_us + f->directory->drain_plan.drain_us);
	disconnect_idle_callers(&f->drain_check_timer, now_us);
}

/* Starts to drain; callers in a transaction are disconnected after it has ended. */
static void drain_grace_expired(struct pw_timer *t, uint64_t now_us)
{
	struct front *f = (struct front *)((char *)t - offsetof(struct front, drain_grace_timer));

	f->draining = true;
	disconnect_idle_callers(&f->drain_check_timer, now_us);
}

static const struct pw_timer_ops drain_grace_ops = { .expire = drain_grace_expired };

void drain_apply_mark(struct front *f)
{
	if (f->stopping)
		return;
	if (!pw_document_is_draining(f->document, f->directory->settings->vm_name)) {
		pw_loop_timer_clear(f->task.loop, &f->drain_grace_timer);
		f->draining = false;
	} else if (!f->draining && !f->drain_grace_timer.node) {
		pw_loop_timer_set(f->task.loop, &f->drain_grace_timer,
				  pw_loop_now_us(f->task.loop) + f->directory->drain_plan.grace_us);
	}
}

void drain_end(struct front *f)
{
	drain_start(f);
	pw_loop_timer_clear(f->task.loop, &f->drain_timeout_timer);
	drain_timeout_expired(&f->drain_timeout_timer, pw_loop_now_us(f->task.loop));
}

void drain_init(struct front *f)
{
	f->drain_timeout_timer.ops = &drain_timeout_ops;
	f->drain_check_timer.ops = &drain_check_ops;
	f->drain_grace_timer.ops = &drain_grace_ops;
}

void drain_abort(struct front *f)
{
	bool is_draining = f->stopping && !f->drain_reported;

	/* Keeps caller_close() from reporting that the task has drained. */
	f->stopping = false;
	front_for_each_caller(f, disconnect_now);
	front_for_each_caller(f, caller_close);
	if (is_draining)
		log_end(f);
	pw_loop_timer_clear(f->task.loop, &f->drain_timeout_timer);
	pw_loop_timer_clear(f->task.loop, &f->drain_check_timer);
	pw_loop_timer_clear(f->task.loop, &f->drain_grace_timer);
}
