/* Replication stream: the primary's sending end and the replica's receiving end. */
#include "server.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pw/core/error.h"

#define RECONNECT_DELAY_US (50 * PW_US_PER_MS)
/* A replica reopens a stream after this time without a message, ten heartbeat intervals. */
#define STREAM_TIMEOUT_US (500 * PW_US_PER_MS)
/* No more entries are added to an output buffer above this size. */
#define OUTPUT_MAX_BYTES  (1 << 20)
#define MESSAGE_MAX_BYTES (16 << 20)
#define READ_SIZE_BYTES   (64 << 10)
#define NUMBER_SIZE_BYTES 24

/* A received message, which is applied once the replication lag has passed. */
struct pending_message {
	uint64_t received_us;
	uint64_t generated_us;
	uint64_t term;
	GPtrArray *changes; /**< NULL for a heartbeat */
};

static void pending_message_free(gpointer p)
{
	struct pending_message *m = p;

	if (m->changes)
		g_ptr_array_unref(m->changes);
	g_free(m);
}

/* Sending end, at the primary. */

static void put_numeric_row(struct pw_db_conn *c, const char *kind, const uint64_t *numbers,
			    size_t n)
{
	char text[PW_DB_STREAM_COLUMNS][NUMBER_SIZE_BYTES];
	const char *row[PW_DB_STREAM_COLUMNS] = { kind };

	for (size_t i = 0; i < n; i++) {
		snprintf(text[i], NUMBER_SIZE_BYTES, "%" PRIu64, numbers[i]);
		row[i + 1] = text[i];
	}
	pw_pg_put_data_row(c->out, row, PW_DB_STREAM_COLUMNS);
}

static void put_log_entry(struct pw_db_conn *c, const struct pw_db_log_entry *e)
{
	const uint64_t numbers[] = { e->term, e->committed_us };

	for (guint i = 0; i < e->changes->len; i++) {
		const struct pw_db_change *change = e->changes->pdata[i];
		const char op[] = { change->op, 0 };
		const char *row[PW_DB_STREAM_COLUMNS] = { "change", op, change->table, change->k,
							  change->v };

		pw_pg_put_data_row(c->out, row, PW_DB_STREAM_COLUMNS);
	}
	put_numeric_row(c, "commit", numbers, G_N_ELEMENTS(numbers));
}

void pw_db_stream_start(struct pw_db_conn *c, uint64_t log_term, uint64_t lsn)
{
	static const char *const names[PW_DB_STREAM_COLUMNS] = { "kind", "a", "b", "c", "d", "e" };
	struct pw_db_server *s = c->server;
	uint64_t common_lsn = MIN(lsn, pw_db_data_lsn(&s->data));

	/*
	 * Terms never decrease along a log, so the replica's log ends before the first entry whose
	 * term is above `log_term`.
	 */
	while (common_lsn > 0 && pw_db_data_term_at(&s->data, common_lsn) > log_term)
		common_lsn--;
	const uint64_t numbers[] = { s->term, common_lsn, pw_db_data_term_at(&s->data, common_lsn),
				     s->term_start_lsn };

	pw_pg_put_row_description(c->out, names, PW_DB_STREAM_COLUMNS);
	put_numeric_row(c, "start", numbers, G_N_ELEMENTS(numbers));
	c->state = PW_DB_CONN_STREAMING;
	c->stream_next_lsn = common_lsn + 1;
	pw_db_stream_fill(c);
}

void pw_db_stream_fill(struct pw_db_conn *c)
{
	const struct pw_db_data *d = &c->server->data;

	while (c->state == PW_DB_CONN_STREAMING && c->stream_next_lsn <= pw_db_data_lsn(d) &&
	       c->out->len < OUTPUT_MAX_BYTES)
		put_log_entry(c, d->log->pdata[c->stream_next_lsn++ - 1]);
}

void pw_db_stream_heartbeat(struct pw_db_conn *c)
{
	const uint64_t numbers[] = { pw_loop_now_us(c->server->task.loop) };

	/* To the replica, a heartbeat means that every earlier commit was sent. */
	if (c->state != PW_DB_CONN_STREAMING ||
	    c->stream_next_lsn <= pw_db_data_lsn(&c->server->data) ||
	    c->out->len > OUTPUT_MAX_BYTES)
		return;
	put_numeric_row(c, "heartbeat", numbers, 1);
	pw_db_conn_resume(c);
}

/* Receiving end, at the replica. */

static void apply_due_messages(struct pw_db_server *s)
{
	struct pw_db_replica *r = &s->replica;
	uint64_t now_us = pw_loop_now_us(s->task.loop), lag_us = (uint64_t)s->lag_ms * PW_US_PER_MS;
	struct pending_message *m;

	while ((m = g_queue_peek_head(&r->pending)) && m->received_us + lag_us <= now_us) {
		g_queue_pop_head(&r->pending);
		r->applied_generated_us = m->generated_us;
		if (m->changes)
			pw_db_data_commit(&s->data, m->term, m->generated_us,
					  g_steal_pointer(&m->changes));
		pending_message_free(m);
	}
	if (m)
		pw_loop_timer_set(s->task.loop, &r->apply_timer, m->received_us + lag_us);
}

static void apply_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	apply_due_messages(PW_DB_CONTAINER_OF(t, struct pw_db_server, replica.apply_timer));
}

static const struct pw_timer_ops apply_timer_ops = { .expire = apply_timer_expired };

static void disconnect(struct pw_db_server *s)
{
	struct pw_db_replica *r = &s->replica;

	if (r->source.fd >= 0) {
		pw_loop_unwatch(s->task.loop, &r->source);
		close(r->source.fd);
		r->source.fd = -1;
	}
	r->start_accepted = false;
	g_byte_array_set_size(r->in, 0);
	g_ptr_array_set_size(r->partial_changes, 0);
}

/*
 * Truncates the local log to the LSN after which the stream continues, and adopts the primary's
 * term. Returns false if the stream must be reopened. If the local entry at that LSN has another
 * term than the primary's entry, it is dropped too, so that the next attempt starts earlier.
 */
static bool handle_start(struct pw_db_server *s, const uint64_t numbers[4])
{
	uint64_t term = numbers[0], common_lsn = numbers[1], common_term = numbers[2];

	if (term < s->term || common_lsn > pw_db_data_lsn(&s->data))
		return false;
	/* The primary sends messages of an older stream again if they are not applied yet. */
	g_queue_clear_full(&s->replica.pending, pending_message_free);
	if (pw_db_data_term_at(&s->data, common_lsn) != common_term) {
		pw_db_data_truncate(&s->data, common_lsn - 1);
		return false;
	}
	pw_db_data_truncate(&s->data, common_lsn);
	s->term = term;
	s->term_start_lsn = numbers[3];
	s->role = PW_DB_ROLE_REPLICA;
	s->replica.start_accepted = true;
	return true;
}

static void queue_message(struct pw_db_server *s, uint64_t term, uint64_t generated_us,
			  GPtrArray *changes)
{
	struct pending_message *m = g_new0(struct pending_message, 1);

	m->received_us = s->replica.last_received_us;
	m->generated_us = generated_us;
	m->term = term;
	m->changes = changes;
	g_queue_push_tail(&s->replica.pending, m);
}

/* Handles one message of the stream. Returns false if the stream must be reopened. */
static bool handle_row(struct pw_db_server *s, char **row)
{
	struct pw_db_replica *r = &s->replica;
	const char *kind = row[0] ? row[0] : "";
	uint64_t numbers[4] = { 0 };

	r->last_received_us = pw_loop_now_us(s->task.loop);
	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++)
		numbers[i] = row[i + 1] ? strtoull(row[i + 1], NULL, 10) : 0;
	if (strcmp(kind, "start") == 0)
		return handle_start(s, numbers);
	if (!r->start_accepted)
		return false;
	if (strcmp(kind, "change") == 0 && row[1] && row[2] && row[3]) {
		pw_db_changes_add(r->partial_changes, row[1][0], row[2], row[3], row[4]);
	} else if (strcmp(kind, "commit") == 0) {
		queue_message(s, numbers[0], numbers[1], r->partial_changes);
		r->partial_changes = pw_db_changes_new();
	} else if (strcmp(kind, "heartbeat") == 0) {
		queue_message(s, 0, numbers[0], NULL);
	}
	return true;
}

/* Handles the buffered messages. Returns false if the stream must be reopened. */
static bool handle_frames(struct pw_db_server *s)
{
	struct pw_db_replica *r = &s->replica;
	struct pw_pg_frame f;
	guint consumed = 0;
	bool ok = true;
	int rc = PW_EAGAIN;

	while (ok && (rc = pw_pg_frame_next(&f, r->in->data + consumed, r->in->len - consumed,
					    MESSAGE_MAX_BYTES)) == 0) {
		char *row[PW_DB_STREAM_COLUMNS] = { 0 };

		if (f.type == 'E')
			ok = false;
		else if (f.type == 'D')
			ok = pw_pg_read_data_row(row, &f, PW_DB_STREAM_COLUMNS) == 0 &&
			     handle_row(s, row);
		for (size_t i = 0; i < PW_DB_STREAM_COLUMNS; i++)
			g_free(row[i]);
		consumed += f.size_bytes;
	}
	g_byte_array_remove_range(r->in, 0, consumed);
	apply_due_messages(s);
	return ok && rc == PW_EAGAIN;
}

static void schedule_reconnect(struct pw_db_server *s)
{
	disconnect(s);
	pw_loop_timer_set(s->task.loop, &s->replica.retry_timer,
			  pw_loop_now_us(s->task.loop) + RECONNECT_DELAY_US);
}

static void stream_ready(struct pw_source *src, uint32_t events)
{
	struct pw_db_server *s = PW_DB_CONTAINER_OF(src, struct pw_db_server, replica.source);
	struct pw_db_replica *r = &s->replica;
	guint len = r->in->len;
	ssize_t n;

	if (pw_db_server_is_partitioned(s, "replication") && !(events & (EPOLLERR | EPOLLHUP))) {
		pw_loop_watch(s->task.loop, src, 0);
		return;
	}
	g_byte_array_set_size(r->in, len + READ_SIZE_BYTES);
	n = recv(src->fd, r->in->data + len, READ_SIZE_BYTES, 0);
	g_byte_array_set_size(r->in, len + (guint)MAX(n, 0));
	if (n < 0 && errno == EAGAIN && !(events & (EPOLLERR | EPOLLHUP)))
		return;
	if (n <= 0 || !handle_frames(s)) {
		schedule_reconnect(s);
		return;
	}
	pw_loop_timer_set(s->task.loop, &r->retry_timer,
			  pw_loop_now_us(s->task.loop) + STREAM_TIMEOUT_US);
}

static const struct pw_source_ops stream_ops = { .ready = stream_ready };

/*
 * Sends start-up message, password and query at once; the primary handles them in order. Returns
 * false if the socket did not accept all of them.
 */
static bool send_stream_request(struct pw_db_server *s)
{
	const struct pw_db_options *o = s->options;
	const char *const startup[] = { "user", o->control_user, "application_name", "replication",
					NULL };
	uint64_t lsn = pw_db_data_lsn(&s->data);
	GByteArray *b = g_byte_array_new();
	char *query;
	ssize_t n;

	query = g_strdup_printf("SELECT * FROM pw_stream(%" PRIu64 ",%" PRIu64 ",%" PRIu64 ")",
				s->term, pw_db_data_term_at(&s->data, lsn), lsn);
	pw_pg_put_startup_message(b, startup);
	pw_pg_put_password(b, o->control_password);
	pw_pg_put_query(b, query);
	n = send(s->replica.source.fd, b->data, b->len, MSG_NOSIGNAL);
	g_free(query);
	n -= (ssize_t)b->len;
	g_byte_array_unref(b);
	return n == 0;
}

static void connect_ready(struct pw_source *src, uint32_t events)
{
	struct pw_db_server *s = PW_DB_CONTAINER_OF(src, struct pw_db_server, replica.source);

	if ((events & (EPOLLERR | EPOLLHUP)) || !send_stream_request(s)) {
		schedule_reconnect(s);
		return;
	}
	src->ops = &stream_ops;
	pw_loop_watch(s->task.loop, src, EPOLLIN);
}

static const struct pw_source_ops connect_ops = { .ready = connect_ready };

/* Opens the stream; first closes the open stream, which was silent for too long. */
static void retry_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct pw_db_server *s = PW_DB_CONTAINER_OF(t, struct pw_db_server, replica.retry_timer);
	struct pw_db_replica *r = &s->replica;

	disconnect(s);
	pw_loop_timer_set(s->task.loop, t, now_us + STREAM_TIMEOUT_US);
	if (pw_db_server_is_partitioned(s, "replication"))
		return;
	if (pw_db_socket_open(&r->source.fd, r->primary_address, false)) {
		schedule_reconnect(s);
		return;
	}
	r->source.ops = &connect_ops;
	pw_loop_watch(s->task.loop, &r->source, EPOLLOUT);
}

static const struct pw_timer_ops retry_timer_ops = { .expire = retry_timer_expired };

void pw_db_replica_init(struct pw_db_server *s)
{
	struct pw_db_replica *r = &s->replica;

	r->source.fd = -1;
	r->retry_timer.ops = &retry_timer_ops;
	r->apply_timer.ops = &apply_timer_ops;
	r->in = g_byte_array_new();
	r->partial_changes = pw_db_changes_new();
	g_queue_init(&r->pending);
	r->last_received_us = pw_loop_now_us(s->task.loop);
}

void pw_db_replica_follow(struct pw_db_server *s, const char *address)
{
	uint64_t now_us = pw_loop_now_us(s->task.loop);

	s->replica.primary_address = g_strdup(address);
	s->replica.last_received_us = now_us;
	pw_loop_timer_set(s->task.loop, &s->replica.retry_timer, now_us);
}

void pw_db_replica_stop(struct pw_db_server *s)
{
	disconnect(s);
	pw_loop_timer_clear(s->task.loop, &s->replica.retry_timer);
	pw_loop_timer_clear(s->task.loop, &s->replica.apply_timer);
	g_queue_clear_full(&s->replica.pending, pending_message_free);
	g_clear_pointer(&s->replica.primary_address, g_free);
}

void pw_db_replica_resume(struct pw_db_server *s)
{
	if (s->role == PW_DB_ROLE_PRIMARY || !s->replica.primary_address)
		return;
	if (s->replica.source.fd >= 0 && s->replica.source.ops == &stream_ops)
		pw_loop_watch(s->task.loop, &s->replica.source, EPOLLIN);
	else if (s->replica.source.fd < 0)
		pw_loop_timer_set(s->task.loop, &s->replica.retry_timer,
				  pw_loop_now_us(s->task.loop));
	apply_due_messages(s);
}
