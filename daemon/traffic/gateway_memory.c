#include <inttypes.h>

#include "../memory_limit.h"
#include "gateway_private.h"
#include "pw/core/event.h"
#include "pw/core/gauge.h"

/* Interval of the checks that look at every session, and of the log lines. */
#define MEMORY_CHECK_INTERVAL_US (1 * PW_US_PER_S)

static const enum pw_gauge class_gauges[PW_MEMORY_CLASS_COUNT] = {
	[PW_MEMORY_INPUT] = PW_GAUGE_MEMORY_INPUT,
	[PW_MEMORY_OUTPUT] = PW_GAUGE_MEMORY_OUTPUT,
	[PW_MEMORY_STATE] = PW_GAUGE_MEMORY_STATE,
};

static const enum pw_counter class_counters[PW_MEMORY_CLASS_COUNT] = {
	[PW_MEMORY_INPUT] = PW_COUNTER_CLOSED_MEMORY_INPUT,
	[PW_MEMORY_OUTPUT] = PW_COUNTER_CLOSED_MEMORY_OUTPUT,
	[PW_MEMORY_STATE] = PW_COUNTER_CLOSED_MEMORY_STATE,
};

/* Returns the class of which the session holds most. */
static enum pw_memory_class largest_class(const struct pw_memory_holder *h)
{
	enum pw_memory_class largest = PW_MEMORY_INPUT;

	for (int i = 0; i < PW_MEMORY_CLASS_COUNT; i++) {
		if (h->bytes[i] > h->bytes[largest])
			largest = (enum pw_memory_class)i;
	}
	return largest;
}

static void close_holder(const struct pw_memory_holder *h)
{
	struct session *s = h->owner;

	if (s->closed)
		return;
	pw_counter_inc(class_counters[largest_class(h)]);
	s->gateway->memory_closed_count++;
	gw_session_close(s);
}

static void add_unowned(GPtrArray *found, const struct server *s)
{
	for (guint i = 0; i < s->conns->len; i++) {
		struct conn *c = g_ptr_array_index(s->conns, i);

		if (gw_conn_holds_unowned_memory(c))
			g_ptr_array_add(found, c);
	}
}

void gw_memory_free_unowned(struct gateway *g)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, g->groups);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		const struct group *group = item;

		for (guint i = 0; i < group->servers->len; i++)
			add_unowned(found, g_ptr_array_index(group->servers, i));
	}
	for (guint i = 0; i < found->len; i++) {
		struct conn *c = g_ptr_array_index(found, i);

		/* Waiting statements may have started at it since. */
		if (gw_conn_holds_unowned_memory(c))
			gw_conn_fail(c, "the memory limit of callers is exceeded");
	}
	g_ptr_array_unref(found);
}

/* Closes the sessions that hold most. */
static void close_largest(struct gateway *g)
{
	GArray *holders = g_array_new(FALSE, FALSE, sizeof(struct pw_memory_holder));
	GHashTableIter it;
	gpointer item;
	uint32_t count;

	g_hash_table_iter_init(&it, g->sessions);
	while (g_hash_table_iter_next(&it, &item, NULL)) {
		struct pw_memory_holder h = gw_session_memory(item);

		g_array_append_val(holders, h);
	}
	count = pw_memory_choose(&g->memory, holders);
	for (uint32_t i = 0; i < count; i++)
		close_holder(&g_array_index(holders, struct pw_memory_holder, i));
	g_array_unref(holders);
}

/*
 * Frees memory until the callers are within the budget. What a closed session had at a server
 * remains with the connection, so it is freed at once: it would count against other sessions.
 */
static void memory_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct gateway *g = (struct gateway *)((char *)t - offsetof(struct gateway, memory_timer));

	(void)now_us;
	gw_memory_free_unowned(g);
	if (!pw_memory_is_over(&g->memory))
		return;
	close_largest(g);
	gw_memory_free_unowned(g);
}

static const struct pw_timer_ops memory_timer_ops = { .expire = memory_timer_expired };

void gw_memory_init(struct gateway *g)
{
	uint64_t descriptors = pw_descriptor_limit();
	uint64_t reserved = MIN(GATEWAY_DESCRIPTORS_RESERVED, descriptors / 4);

	pw_memory_limit_init(&g->memory, g->directory->settings, g->directory->gateway_count);
	g->sessions_max = (uint32_t)MIN(GATEWAY_SESSIONS_MAX,
					(descriptors - reserved) / g->directory->gateway_count);
	g->memory_timer.ops = &memory_timer_ops;
	pw_gauge_add(PW_GAUGE_MEMORY_BUDGET, (int64_t)g->memory.total_limit_bytes);
}

void gw_memory_check(struct gateway *g)
{
	if (pw_memory_is_over(&g->memory))
		pw_loop_timer_set(g->task.loop, &g->memory_timer, gateway_now_us(g));
}

/* Closes sessions whose callers have not taken their answers for too long. */
static void close_if_stalled(struct session *s)
{
	if (!gw_session_has_stalled_output(s))
		return;
	pw_counter_inc(PW_COUNTER_CLOSED_NOT_READING);
	s->gateway->memory_closed_count++;
	gw_session_close(s);
}

static void report_use(struct gateway *g)
{
	for (int i = 0; i < PW_MEMORY_CLASS_COUNT; i++) {
		pw_gauge_add(class_gauges[i],
			     (int64_t)(g->memory.used_bytes[i] - g->reported_bytes[i]));
		g->reported_bytes[i] = g->memory.used_bytes[i];
	}
}

static void log_closed(struct gateway *g)
{
	const struct pw_memory_budget *b = &g->memory;

	if (!g->memory_closed_count)
		return;
	pw_event_log(PW_EVENT_MEMORY_PRESSURE,
		     "task=gateway index=%u closed=%u sessions=%u input=%" PRIu64 " output=%" PRIu64
		     " state=%" PRIu64 " budget=%" PRIu64,
		     g->index, g->memory_closed_count, g_hash_table_size(g->sessions),
		     b->used_bytes[PW_MEMORY_INPUT], b->used_bytes[PW_MEMORY_OUTPUT],
		     b->used_bytes[PW_MEMORY_STATE], b->total_limit_bytes);
	g->memory_closed_count = 0;
}

void gw_memory_tick(struct gateway *g, uint64_t now_us)
{
	report_use(g);
	pw_memory_limit_trim(&g->memory);
	if (now_us < g->next_memory_check_us)
		return;
	g->next_memory_check_us = now_us + MEMORY_CHECK_INTERVAL_US;
	gateway_for_each_session(g, close_if_stalled);
	log_closed(g);
}

void gw_memory_dispose(struct gateway *g)
{
	pw_loop_timer_clear(g->task.loop, &g->memory_timer);
	report_use(g);
	pw_gauge_add(PW_GAUGE_MEMORY_BUDGET, -(int64_t)g->memory.total_limit_bytes);
}
