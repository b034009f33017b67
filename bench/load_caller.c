#include <string.h>

#include "load.h"
#include "pw/codec/pg.h"
#include "pw/core/clock.h"

#define CONTAINER_OF(p, type, member) ((type *)(void *)((char *)(p)-offsetof(type, member)))

#define RECONNECT_DELAY_US            (20 * PW_US_PER_MS)
#define MESSAGE_MAX_BYTES             UINT32_C(1048576)
#define TRANSACTION_STEP_COUNT        3
#define STATEMENT_MAX_BYTES           128

/* Sends the bytes and releases the array. */
static void send_output(struct load_caller *c, GByteArray *b)
{
	pw_stream_send(&c->stream, b->data, b->len);
	g_byte_array_unref(b);
}

static void send_query(struct load_caller *c, const char *text)
{
	GByteArray *b = g_byte_array_new();

	pw_pg_put_query(b, text);
	send_output(c, b);
}

/* Sends the statement of the operation that `step` selects. */
static void send_step(struct load_caller *c)
{
	struct load_group *g = c->group;
	guint32 row = (guint32)g_rand_int_range(g->load->random, 0, (gint32)g->row_count);
	char text[STATEMENT_MAX_BYTES];

	c->step_failed = false;
	if (c->operation == LOAD_READ)
		g_snprintf(text, sizeof(text), "SELECT v FROM booking WHERE k = '%u'", row);
	else if (c->operation == LOAD_STALE_READ)
		g_snprintf(text, sizeof(text), "SELECT v FROM schedule WHERE k = '%u'", row);
	else if (c->operation == LOAD_TRANSACTION && c->step != 1)
		g_strlcpy(text, c->step == 0 ? "BEGIN" : "COMMIT", sizeof(text));
	else
		g_snprintf(text, sizeof(text),
			   "INSERT INTO booking (k, v) VALUES ('%u', 'value-%u')", row, row);
	send_query(c, text);
}

void load_caller_start_operation(struct load_caller *c, uint64_t due_us)
{
	struct load_group *g = c->group;
	double pick = g_rand_double(g->load->random) * g->weight_sum;
	size_t operation = 0;

	while (operation + 1 < LOAD_OPERATION_COUNT && pick >= g->weights[operation])
		pick -= g->weights[operation++];
	c->operation = (enum load_operation)operation;
	c->due_us = due_us;
	c->step = 0;
	c->operation_failed = false;
	c->state = LOAD_BUSY;
	send_step(c);
}

static void become_idle(struct load_caller *c)
{
	c->state = LOAD_IDLE;
	load_group_assign_operation(c->group, c);
}

/* Counts the operation if it was due in the measured interval, and assigns the next one. */
static void finish_operation(struct load_caller *c)
{
	struct load_group *g = c->group;
	bool is_write = c->operation == LOAD_WRITE || c->operation == LOAD_TRANSACTION;
	uint32_t latency_us = (uint32_t)(pw_clock_now_us() - c->due_us);

	if (g->load->measuring && c->due_us >= g->load->measure_start_us) {
		if (c->operation_failed) {
			g->failed++;
		} else {
			g->succeeded++;
			g_array_append_val(g->latencies[c->operation], latency_us);
		}
	}
	if (is_write && !c->operation_failed)
		load_group_record_write_ack(g);
	become_idle(c);
}

/*
 * Handles ReadyForQuery, which ends the login or a statement. `status` is the transaction status:
 * after an error in a transaction, sends ROLLBACK before the operation ends.
 */
static void handle_ready_for_query(struct load_caller *c, char status)
{
	struct load_group *g = c->group;

	if (c->state == LOAD_LOGGING_IN) {
		g->logins++;
		become_idle(c);
		return;
	}
	if (c->state != LOAD_BUSY)
		return;
	if (!c->step_failed)
		g->statements += g->load->measuring;
	c->operation_failed |= c->step_failed;
	c->step++;
	if (c->operation_failed && status != 'I') {
		c->step = TRANSACTION_STEP_COUNT;
		c->step_failed = false;
		send_query(c, "ROLLBACK");
	} else if (c->operation == LOAD_TRANSACTION && !c->operation_failed &&
		   c->step < TRANSACTION_STEP_COUNT) {
		send_step(c);
	} else {
		finish_operation(c);
	}
}

/* Marks the statement as failed and counts the error by its SQLSTATE. */
static void record_error(struct load_caller *c, const struct pw_pg_frame *f)
{
	const char *code = pw_pg_get_error_field(f, 'C'), *message = pw_pg_get_error_field(f, 'M');
	const char *sqlstate = code ? code : "";
	uint64_t *n = g_hash_table_lookup(c->group->refusals, sqlstate);

	c->step_failed = true;
	if (!c->group->load->measuring)
		return;
	if (!n) {
		n = g_new0(uint64_t, 1);
		g_hash_table_insert(c->group->refusals, g_strdup(sqlstate), n);
	}
	++*n;
	g_hash_table_replace(c->group->messages, g_strdup(sqlstate),
			     g_strdup(message ? message : ""));
}

static void handle_frame(struct load_caller *c, const struct pw_pg_frame *f)
{
	struct pw_pg_reader r;
	GByteArray *b;

	pw_pg_reader_init(&r, f);
	switch (f->type) {
	case 'R':
		if (pw_pg_get_u32(&r) == PW_PG_AUTH_CLEARTEXT) {
			b = g_byte_array_new();
			pw_pg_put_password(b, c->group->key);
			send_output(c, b);
		}
		break;
	case 'S':
		if (strcmp(pw_pg_get_string(&r), "pimentowing.position") == 0) {
			g_free(c->position_token);
			c->position_token = g_strdup(pw_pg_get_string(&r));
		}
		break;
	case 'E':
		record_error(c, f);
		break;
	case 'Z':
		handle_ready_for_query(c, (char)pw_pg_get_u8(&r));
		break;
	default:
		break;
	}
}

static void handle_received(struct pw_stream *s)
{
	struct load_caller *c = CONTAINER_OF(s, struct load_caller, stream);
	struct pw_pg_frame f;

	while (s->open && s->input &&
	       pw_pg_frame_next(&f, s->input->data, s->input->len, MESSAGE_MAX_BYTES) == 0) {
		handle_frame(c, &f);
		pw_stream_consume(s, f.size_bytes);
	}
}

static void schedule_reconnect(struct load_caller *c)
{
	c->state = LOAD_DISCONNECTED;
	/* The next attempt goes to the next proxy, like that of a caller behind a load balancer. */
	c->address_index = (c->address_index + 1) % g_strv_length(c->group->addresses);
	pw_loop_timer_set(c->group->load->task.loop, &c->reconnect_timer,
			  pw_clock_now_us() + RECONNECT_DELAY_US);
}

static void handle_closed(struct pw_stream *s)
{
	struct load_caller *c = CONTAINER_OF(s, struct load_caller, stream);
	struct load_group *g = c->group;

	if (g->load->measuring) {
		if (c->state == LOAD_LOGGING_IN)
			g->login_failures++;
		else
			g->connection_losses++;
		/*
		 * A statement that got a FATAL error before the connection ended was refused, so
		 * its outcome is known.
		 */
		if (c->state == LOAD_BUSY && c->step_failed)
			g->failed++;
		else if (c->state == LOAD_BUSY)
			g->unanswered++;
	}
	g_queue_remove(&g->idle_callers, c);
	pw_stream_dispose(s);
	schedule_reconnect(c);
}

static void handle_connected(struct pw_stream *s)
{
	struct load_caller *c = CONTAINER_OF(s, struct load_caller, stream);
	const struct load_group *g = c->group;
	char *options = g_strdup_printf("-c pimentowing.position=%s",
					c->position_token ? c->position_token : "");
	const char *const parameters[] = {
		"user",  g->account, "database", g->database, g->sends_position ? "options" : NULL,
		options, NULL,
	};
	GByteArray *b = g_byte_array_new();

	pw_pg_put_startup_message(b, parameters);
	send_output(c, b);
	g_free(options);
}

static const struct pw_stream_ops stream_ops = {
	.connected = handle_connected,
	.received = handle_received,
	.closed = handle_closed,
};

static void reconnect(struct pw_timer *t, uint64_t now_us)
{
	load_caller_connect(CONTAINER_OF(t, struct load_caller, reconnect_timer));
}

static const struct pw_timer_ops reconnect_ops = { .expire = reconnect };

void load_caller_connect(struct load_caller *c)
{
	struct load_group *g = c->group;

	c->reconnect_timer.ops = &reconnect_ops;
	c->state = LOAD_LOGGING_IN;
	c->step_failed = false;
	if (pw_stream_connect(&c->stream, &stream_ops, g->load->task.loop,
			      g->addresses[c->address_index])) {
		g->login_failures += g->load->measuring;
		schedule_reconnect(c);
	}
}
