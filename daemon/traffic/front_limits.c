/*
 * Limits on the connections, logins and memory of callers. Each front task applies an equal part of
 * the VM's limits, since tasks share no state.
 */
#include <inttypes.h>

#include "../memory_limit.h"
#include "front_private.h"
#include "pw/core/clock.h"
#include "pw/core/event.h"
#include "pw/core/gauge.h"

/* Interval of the reports of the memory in use, and of the log lines. */
#define MEMORY_REPORT_INTERVAL_US (1 * PW_US_PER_S)

/* What the callers of one account use of this task. */
struct account_usage {
	uint32_t connection_count;
	uint64_t memory_bytes;
};

/* Connection limit of the VM before the first snapshot, which contains the configured one. */
#define CONNECTIONS_BEFORE_SNAPSHOT_MAX 64

/* Returns this task's part of a limit of the VM, rounded up. */
static uint32_t task_part(const struct front *f, uint32_t vm_limit)
{
	return (vm_limit + f->directory->front_count - 1) / f->directory->front_count;
}

static uint32_t max_task_connections(const struct front *f)
{
	return task_part(f, f->document ? f->document->limits.max_connections
					: CONNECTIONS_BEFORE_SNAPSHOT_MAX);
}

static uint32_t fraction_of_connections(const struct front *f, uint32_t divisor)
{
	return MAX(max_task_connections(f) / divisor, 1);
}

/* What the caller holds, for the choice of the callers to close. */
static struct pw_memory_holder holder_of(struct caller *c)
{
	return (struct pw_memory_holder){
		.owner = c,
		.bytes = { [PW_MEMORY_INPUT] = c->memory_bytes },
		.idle_us = pw_loop_now_us(c->front->task.loop) - c->last_input_us,
		.is_in_flight = c->request_id != 0,
	};
}

/* Closes the callers that hold most, until all are within the budget. */
static void memory_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct front *f = (struct front *)((char *)t - offsetof(struct front, memory_timer));
	GArray *holders = g_array_new(FALSE, FALSE, sizeof(struct pw_memory_holder));
	GHashTableIter it;
	gpointer item;
	uint32_t count;

	(void)now_us;
	g_hash_table_iter_init(&it, f->callers_by_session);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		struct pw_memory_holder h = holder_of(item);

		g_array_append_val(holders, h);
	}
	count = pw_memory_choose(&f->memory, holders);
	for (uint32_t i = 0; i < count; i++) {
		pw_counter_inc(PW_COUNTER_CLOSED_MEMORY_INPUT);
		f->memory_closed_count++;
		caller_close(g_array_index(holders, struct pw_memory_holder, i).owner);
	}
	g_array_unref(holders);
}

/* Updates the gauge, logs what was closed, and gives free memory back to the system. */
static void report_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct front *f = (struct front *)((char *)t - offsetof(struct front, memory_report_timer));
	uint64_t used_bytes = pw_memory_used_bytes(&f->memory);

	pw_loop_timer_set(f->task.loop, t, now_us + MEMORY_REPORT_INTERVAL_US);
	pw_gauge_add(PW_GAUGE_MEMORY_INPUT, (int64_t)(used_bytes - f->reported_bytes));
	f->reported_bytes = used_bytes;
	pw_memory_limit_trim(&f->memory);
	if (!f->memory_closed_count)
		return;
	pw_event_log(PW_EVENT_MEMORY_PRESSURE,
		     "task=front index=%u closed=%u sessions=%u input=%" PRIu64
		     " output=0 state=0 budget=%" PRIu64,
		     f->index, f->memory_closed_count, g_hash_table_size(f->callers_by_session),
		     used_bytes, f->memory.total_limit_bytes);
	f->memory_closed_count = 0;
}

static const struct pw_timer_ops memory_timer_ops = { .expire = memory_timer_expired };
static const struct pw_timer_ops report_timer_ops = { .expire = report_timer_expired };

static void init_memory(struct front *f)
{
	pw_memory_limit_init(&f->memory, f->directory->settings, f->directory->front_count);
	/* The kinds are not told apart, so only the limit of all of them applies. */
	f->memory.limit_bytes[PW_MEMORY_INPUT] = f->memory.total_limit_bytes;
	f->memory_timer.ops = &memory_timer_ops;
	f->memory_report_timer.ops = &report_timer_ops;
	pw_gauge_add(PW_GAUGE_MEMORY_BUDGET, (int64_t)f->memory.total_limit_bytes);
	pw_loop_timer_set(f->task.loop, &f->memory_report_timer,
			  pw_loop_now_us(f->task.loop) + MEMORY_REPORT_INTERVAL_US);
}

void limits_init(struct front *f)
{
	init_memory(f);
	f->usage_by_account = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&f->pending_logins);
}

void limits_dispose(struct front *f)
{
	pw_loop_timer_clear(f->task.loop, &f->memory_timer);
	pw_loop_timer_clear(f->task.loop, &f->memory_report_timer);
	pw_gauge_add(PW_GAUGE_MEMORY_INPUT, -(int64_t)f->reported_bytes);
	pw_gauge_add(PW_GAUGE_MEMORY_BUDGET, -(int64_t)f->memory.total_limit_bytes);
	g_hash_table_unref(f->usage_by_account);
}

bool limits_has_room(const struct front *f)
{
	return g_hash_table_size(f->callers_by_session) < max_task_connections(f);
}

bool limits_admit_connection(struct front *f)
{
	if (!limits_has_room(f)) {
		pw_counter_inc(PW_COUNTER_REFUSED_LIMIT);
		return false;
	}
	/* Closes the oldest: a login takes milliseconds, so this one has most likely stalled. */
	if (f->pending_logins.length >= fraction_of_connections(f, LOGIN_LIMIT_DIVISOR)) {
		pw_counter_inc(PW_COUNTER_LOGINS_DROPPED);
		caller_close(g_queue_peek_head(&f->pending_logins));
	}
	return true;
}

void limits_add_login(struct caller *c)
{
	g_queue_push_tail(&c->front->pending_logins, c);
	c->login_link = c->front->pending_logins.tail;
	c->stream.read_limit_bytes = PW_PG_STARTUP_MAX_BYTES;
}

static void remove_login(struct caller *c)
{
	if (!c->login_link)
		return;
	g_queue_delete_link(&c->front->pending_logins, c->login_link);
	c->login_link = NULL;
}

/* Returns this task's connection limit of an account; `a` is NULL for the open user. */
static uint32_t max_account_connections(const struct caller *c, const struct pw_document_account *a)
{
	if (!a)
		return fraction_of_connections(c->front, OPEN_LIMIT_DIVISOR);
	return a->max_connections ? task_part(c->front, a->max_connections) : UINT32_MAX;
}

bool limits_admit_login(struct caller *c, const struct pw_document_account *a)
{
	struct front *f = c->front;
	struct account_usage *usage = g_hash_table_lookup(f->usage_by_account, c->user);

	if (usage && usage->connection_count >= max_account_connections(c, a))
		return false;
	if (!usage) {
		usage = g_new0(struct account_usage, 1);
		g_hash_table_insert(f->usage_by_account, g_strdup(c->user), usage);
	}
	usage->connection_count++;
	c->account_usage = usage;
	c->stream.read_limit_bytes = PW_STREAM_READ_LIMIT_DEFAULT_BYTES;
	remove_login(c);
	return true;
}

void limits_remove_caller(struct caller *c)
{
	remove_login(c);
	c->front->memory.used_bytes[PW_MEMORY_INPUT] -= c->memory_bytes;
	if (!c->account_usage)
		return;
	c->account_usage->memory_bytes -= c->memory_bytes;
	if (!--c->account_usage->connection_count)
		g_hash_table_remove(c->front->usage_by_account, c->user);
	c->account_usage = NULL;
}

/* Includes the batch, which is kept with the bytes of its request until that is answered. */
static uint64_t memory_used_bytes(const struct caller *c)
{
	uint64_t bytes = (uint64_t)c->stream.input_size_bytes + c->stream.output_size_bytes +
			 c->prepared_bytes;

	if (c->batch)
		bytes += (uint64_t)c->batch->bytes->len + c->batch->replay_bytes->len;
	return bytes;
}

bool limits_update_memory(struct caller *c)
{
	struct front *f = c->front;
	uint64_t bytes = memory_used_bytes(c);

	if (!c->account_usage)
		return true;
	c->account_usage->memory_bytes += bytes - c->memory_bytes;
	f->memory.used_bytes[PW_MEMORY_INPUT] += bytes - c->memory_bytes;
	c->memory_bytes = bytes;
	if (pw_memory_is_over(&f->memory))
		pw_loop_timer_set(f->task.loop, &f->memory_timer, pw_loop_now_us(f->task.loop));
	return c->account_usage->memory_bytes <=
	       f->document->limits.account_memory_bytes / f->directory->front_count;
}
