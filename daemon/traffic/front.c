#include "front_private.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/core/event.h"

/* Connections accepted per event, so that a burst of connects does not delay requests. */
#define ACCEPTS_PER_EVENT_MAX 32

/*
 * Session ids contain the index of the front task from this bit on, which makes them unique in the
 * process.
 */
#define SESSION_ID_INDEX_SHIFT 24

static void msg_destroy(struct pw_msg *m)
{
	g_free(m);
}

const struct pw_msg_ops pw_freshness_ops = {
	.name = "freshness",
	.destroy = msg_destroy,
};

const struct pw_msg_ops pw_drained_ops = {
	.name = "front_drained",
	.destroy = msg_destroy,
};

const struct pw_msg_ops pw_front_cancel_ops = {
	.name = "front_cancel",
	.destroy = msg_destroy,
};

struct pw_msg *pw_freshness_msg(uint64_t fresh_until_us)
{
	struct pw_freshness *m = g_new0(struct pw_freshness, 1);

	m->base.ops = &pw_freshness_ops;
	m->fresh_until_us = fresh_until_us;
	return &m->base;
}

struct pw_msg *pw_front_cancel_msg(uint32_t process_id, uint32_t secret)
{
	struct pw_front_cancel *m = g_new0(struct pw_front_cancel, 1);

	m->base.ops = &pw_front_cancel_ops;
	m->process_id = process_id;
	m->secret = secret;
	return &m->base;
}

struct caller *front_find_caller(struct front *f, uint64_t session_id)
{
	return g_hash_table_lookup(f->callers_by_session, &session_id);
}

static void close_caller(struct caller *c, bool by_caller)
{
	struct front *f = c->front;

	/*
	 * The group task rolls back the session's transaction, also one that the outstanding
	 * request opens. It does nothing for a session without a transaction.
	 */
	if (f->document && c->database && c->state >= CALLER_READY)
		pw_mailbox_send(
			f->directory->ledger,
			pw_session_end_msg(c->session_id,
					   pw_directory_group_inbox(f->directory, c->database)));
	if (c->uncredited_bytes && c->credit_to)
		pw_mailbox_send(c->credit_to,
				pw_credit_msg(c->request_id, (uint32_t)c->uncredited_bytes));
	drain_record_close(c, by_caller);
	limits_remove_caller(c);
	pw_loop_timer_clear(f->task.loop, &c->timer);
	pw_stream_dispose(&c->stream);
	batch_free(c->batch);
	if (c->prepared_statements)
		g_hash_table_unref(c->prepared_statements);
	g_free(c->user);
	g_free(c->database);
	g_hash_table_remove(f->callers_by_session, &c->session_id);
	g_free(c);
	drain_report_if_done(f);
}

void caller_close(struct caller *c)
{
	close_caller(c, false);
}

void caller_send(struct caller *c, const GByteArray *b)
{
	pw_stream_send(&c->stream, b->data, b->len);
}

void caller_close_after_output(struct caller *c)
{
	struct pw_loop *loop = c->front->task.loop;

	c->state = CALLER_CLOSING;
	c->request_id = 0;
	pw_loop_timer_set(loop, &c->timer, pw_loop_now_us(loop) + CLOSING_TIMEOUT_US);
	pw_stream_shutdown(&c->stream);
}

void caller_send_fatal_error(struct caller *c, const char *sqlstate, enum pw_counter counter,
			     const char *format, ...)
{
	GByteArray *b = g_byte_array_new();
	va_list ap;
	char *message;
	struct pw_pg_error error = {
		.severity = "FATAL",
		.sqlstate = sqlstate,
		.detail = "The statement was not run.",
	};

	va_start(ap, format);
	message = g_strdup_vprintf(format, ap);
	va_end(ap);
	error.message = message;
	pw_counter_inc(counter);
	pw_pg_put_error(b, &error);
	caller_send(c, b);
	caller_close_after_output(c);
	g_byte_array_unref(b);
	g_free(message);
}

static void caller_received(struct pw_stream *s)
{
	struct caller *c = caller_of(s);

	c->last_input_us = pw_loop_now_us(c->front->task.loop);
	switch (c->state) {
	case CALLER_STARTUP:
	case CALLER_PASSWORD:
		login_handle_input(c);
		break;
	case CALLER_READY:
		if (limits_update_memory(c))
			session_handle_input(c);
		else
			caller_send_fatal_error(
				c, PW_SQLSTATE_LIMIT_EXCEEDED, PW_COUNTER_REFUSED_LIMIT,
				"client account \"%s\" uses too much memory of the proxy", c->user);
		limits_update_memory(c);
		break;
	case CALLER_REFUSAL_DELAYED:
	case CALLER_CLOSING:
		pw_stream_consume(s, UINT32_MAX);
		break;
	}
}

static void caller_output_written(struct pw_stream *s)
{
	session_send_credit(caller_of(s));
	limits_update_memory(caller_of(s));
}

static void caller_connection_closed(struct pw_stream *s)
{
	close_caller(caller_of(s), true);
}

static const struct pw_stream_ops caller_ops = {
	.received = caller_received,
	.output_written = caller_output_written,
	.closed = caller_connection_closed,
};

static void caller_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct caller *c = (struct caller *)((char *)t - offsetof(struct caller, timer));

	(void)now_us;
	if (c->request_id)
		session_handle_request_timeout(c);
	else if (c->state == CALLER_REFUSAL_DELAYED)
		login_send_delayed_refusal(c);
	else
		caller_close(c);
}

static const struct pw_timer_ops caller_timer_ops = { .expire = caller_timer_expired };

void front_accept_caller(struct front *f, int32_t fd)
{
	struct caller *c = g_new0(struct caller, 1);
	uint64_t now_us = pw_loop_now_us(f->task.loop);

	c->front = f;
	c->session_id = (uint64_t)f->index << SESSION_ID_INDEX_SHIFT | f->next_session_number++;
	f->next_session_number &= (UINT64_C(1) << SESSION_ID_INDEX_SHIFT) - 1;
	c->cancel_secret = (uint32_t)pw_clock_random_u64();
	c->transaction_status = 'I';
	c->idle_since_us = now_us;
	c->timer.ops = &caller_timer_ops;
	/* After a wrap-around the id may still be in use; the connection is then closed. */
	if (front_find_caller(f, c->session_id) ||
	    pw_stream_init(&c->stream, &caller_ops, f->task.loop, fd)) {
		close(fd);
		g_free(c);
		return;
	}
	pw_counter_inc(PW_COUNTER_CALLER_CONNECTIONS);
	g_hash_table_insert(f->callers_by_session, &c->session_id, c);
	limits_add_login(c);
	pw_loop_timer_set(f->task.loop, &c->timer, now_us + LOGIN_TIMEOUT_US);
}

static void listener_ready(struct pw_source *source, uint32_t events)
{
	struct front *f = (struct front *)((char *)source - offsetof(struct front, listener));

	(void)events;
	for (int32_t i = 0; i < ACCEPTS_PER_EVENT_MAX; i++) {
		int32_t fd = accept4(source->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		/* Refused without an error message, which would need memory for each connection. */
		if (limits_admit_connection(f))
			front_accept_caller(f, fd);
		else
			close(fd);
	}
}

static const struct pw_source_ops listener_ops = { .ready = listener_ready };

void front_for_each_caller(struct front *f, void (*action)(struct caller *c))
{
	GList *callers = g_hash_table_get_values(f->callers_by_session);

	for (GList *l = callers; l; l = l->next)
		action(l->data);
	g_list_free(callers);
}

/* Time for a statement in flight to finish after the key of its caller was withdrawn. */
#define WITHDRAWN_KEY_GRACE_US UINT64_C(1000000)

/* Disconnects a caller whose key was withdrawn, after its request if one is outstanding. */
static void disconnect_if_key_withdrawn(struct caller *c)
{
	struct front *f = c->front;

	if (c->state != CALLER_READY || !c->key_id[0] || login_key_is_valid(c))
		return;
	pw_event_log(PW_EVENT_KEY_WITHDRAWN, "account=%s key=%s", c->user, c->key_id);
	c->key_withdrawn = true;
	if (!c->request_id) {
		caller_send_fatal_error(c, PW_SQLSTATE_INVALID_KEY,
					PW_COUNTER_REFUSED_KEY_WITHDRAWN,
					"the key of the client account was withdrawn");
		return;
	}
	pw_loop_timer_set(f->task.loop, &c->timer,
			  pw_loop_now_us(f->task.loop) + WITHDRAWN_KEY_GRACE_US);
}

static void apply_snapshot(struct front *f, struct pw_snapshot *m)
{
	pw_document_unref(f->document);
	f->document = pw_document_ref(m->document);
	front_for_each_caller(f, disconnect_if_key_withdrawn);
	drain_apply_mark(f);
}

/* Reads the certificate again if its files have changed. After a failure the old one stays. */
static int reload_tls(struct front *f)
{
	bool changed;
	int rc = pw_tls_files_reload(&f->tls_files, &changed);

	if (rc)
		pw_event_log(PW_EVENT_TLS_FAILED, "task=front index=%u reason=\"%s\"", f->index,
			     pw_error_message());
	else if (changed)
		pw_event_log(PW_EVENT_TLS_LOADED, "task=front index=%u certificate=%s", f->index,
			     f->tls_files.certificate_path);
	pw_loop_timer_set(f->task.loop, &f->tls_check_timer,
			  pw_loop_now_us(f->task.loop) + PW_TLS_RELOAD_INTERVAL_US);
	return rc;
}

static void tls_check_expired(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	(void)reload_tls((struct front *)((char *)t - offsetof(struct front, tls_check_timer)));
}

static const struct pw_timer_ops tls_check_ops = { .expire = tls_check_expired };

static int start_tls(struct front *f)
{
	const struct pw_process_settings *settings = f->directory->settings;

	f->tls_check_timer.ops = &tls_check_ops;
	if (!settings->tls_certificate)
		return PW_OK;
	pw_tls_files_init(&f->tls_files, settings->tls_certificate, settings->tls_key);
	return reload_tls(f);
}

static void stop_tls(struct front *f)
{
	pw_loop_timer_clear(f->task.loop, &f->tls_check_timer);
	pw_tls_files_dispose(&f->tls_files);
}

static void front_receive(struct pw_task *t, struct pw_msg *m)
{
	struct front *f = (struct front *)t;

	if (m->ops == &pw_chunk_ops) {
		struct pw_chunk *chunk = (struct pw_chunk *)m;
		struct caller *c = front_find_caller(f, chunk->session_id);

		if (c && c->request_id == chunk->request_id) {
			session_forward_chunk(c, chunk);
			limits_update_memory(c);
		} else {
			pw_mailbox_send(chunk->credit_to,
					pw_credit_msg(chunk->request_id, chunk->bytes->len));
		}
	} else if (m->ops == &pw_response_end_ops) {
		struct pw_response_end *e = (struct pw_response_end *)m;
		struct caller *c = front_find_caller(f, e->session_id);

		if (c && c->request_id == e->request_id) {
			session_handle_response_end(c, e);
			limits_update_memory(c);
		}
	} else if (m->ops == &pw_snapshot_ops) {
		apply_snapshot(f, (struct pw_snapshot *)m);
	} else if (m->ops == &pw_freshness_ops) {
		f->fresh_until_us = ((struct pw_freshness *)m)->fresh_until_us;
	} else if (m->ops == &pw_front_cancel_ops) {
		struct pw_front_cancel *cancel = (struct pw_front_cancel *)m;

		login_cancel_session(f, cancel->process_id, cancel->secret);
	} else if (m->ops == &pw_drain_ops) {
		drain_start(f);
	} else if (m->ops == &pw_drain_end_ops) {
		drain_end(f);
	}
	pw_msg_free(m);
}

static int front_start(struct pw_task *t)
{
	struct front *f = (struct front *)t;
	const struct pw_task_args *args = t->args;
	int rc;

	f->directory = args->directory;
	f->index = args->index;
	f->fresh_until_us = UINT64_MAX;
	drain_init(f);
	f->listener.ops = &listener_ops;
	/* The id 0 stands for no request. */
	f->next_request_number = 1;
	f->callers_by_session = g_hash_table_new(g_int64_hash, g_int64_equal);
	limits_init(f);
	f->listener.fd = -1;
	rc = start_tls(f);
	if (!rc)
		rc = pw_stream_listen(&f->listener.fd, f->directory->settings->caller_address);
	if (!rc)
		rc = pw_loop_watch(t->loop, &f->listener, EPOLLIN);
	if (rc) {
		stop_tls(f);
		if (f->listener.fd >= 0)
			close(f->listener.fd);
		g_hash_table_unref(f->callers_by_session);
		limits_dispose(f);
		return rc;
	}
	pw_mailbox_send(f->directory->config, pw_snapshot_request_msg(t->inbox));
	pw_event_log(PW_EVENT_LISTENING, "task=front index=%u address=%s", f->index,
		     f->directory->settings->caller_address);
	return PW_OK;
}

static void front_stop(struct pw_task *t)
{
	struct front *f = (struct front *)t;

	drain_abort(f);
	stop_tls(f);
	if (f->listener.fd >= 0) {
		pw_loop_unwatch(t->loop, &f->listener);
		close(f->listener.fd);
	}
	pw_document_unref(f->document);
	g_hash_table_unref(f->callers_by_session);
	limits_dispose(f);
}

const struct pw_task_ops pw_front_ops = {
	.name = "front",
	.size_bytes = sizeof(struct front),
	.start = front_start,
	.receive = front_receive,
	.stop = front_stop,
};
