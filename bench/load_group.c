#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"

#define CONTAINER_OF(p, type, member) ((type *)(void *)((char *)(p)-offsetof(type, member)))

const char *const load_operation_names[LOAD_OPERATION_COUNT] = {
	[LOAD_READ] = "read",
	[LOAD_STALE_READ] = "stale",
	[LOAD_WRITE] = "write",
	[LOAD_TRANSACTION] = "transaction",
};

static void schedule_next_arrival(struct load_group *g)
{
	/*
	 * The times between arrivals are exponentially distributed. u is below 1, so the logarithm
	 * is finite.
	 */
	double u = g_rand_double(g->load->random);

	g->next_arrival_us += (uint64_t)(-log(1 - u) * (double)PW_US_PER_S / g->rate_per_s);
	pw_loop_timer_set(g->load->task.loop, &g->arrival_timer, g->next_arrival_us);
}

/* Starts the operations that are due, or queues them if no caller is idle. */
static void handle_arrivals(struct pw_timer *t, uint64_t now_us)
{
	struct load_group *g = CONTAINER_OF(t, struct load_group, arrival_timer);

	while (g->next_arrival_us <= now_us) {
		struct load_caller *c = g_queue_pop_head(&g->idle_callers);

		g->offered += g->load->measuring;
		if (c)
			load_caller_start_operation(c, g->next_arrival_us);
		else
			g_queue_push_tail(&g->backlog, g_memdup2(&g->next_arrival_us,
								 sizeof(g->next_arrival_us)));
		schedule_next_arrival(g);
	}
}

static const struct pw_timer_ops arrival_ops = { .expire = handle_arrivals };

void load_group_assign_operation(struct load_group *g, struct load_caller *c)
{
	uint64_t *due_us;

	if (g->weight_sum <= 0)
		return;
	if (g->rate_per_s <= 0) {
		g->offered += g->load->measuring;
		load_caller_start_operation(c, pw_clock_now_us());
		return;
	}
	due_us = g_queue_pop_head(&g->backlog);
	if (due_us)
		load_caller_start_operation(c, *due_us);
	else
		g_queue_push_tail(&g->idle_callers, c);
	g_free(due_us);
}

void load_group_record_write_ack(struct load_group *g)
{
	uint64_t now_us = pw_clock_now_us();

	if (!g->load->measuring)
		return;
	g->largest_write_gap_us = MAX(g->largest_write_gap_us, now_us - g->last_write_ack_us);
	g->last_write_ack_us = now_us;
}

/* Sets a field of the group from one name=value pair of --group. */
static int set_field(struct load_group *g, const char *name, const char *value)
{
	char **text = strcmp(name, "account") == 0    ? &g->account
		      : strcmp(name, "key") == 0      ? &g->key
		      : strcmp(name, "database") == 0 ? &g->database
		      : strcmp(name, "name") == 0     ? &g->name
						      : NULL;

	for (size_t i = 0; i < LOAD_OPERATION_COUNT; i++) {
		if (strcmp(name, load_operation_names[i]) == 0) {
			g->weights[i] = g_ascii_strtod(value, NULL);
			return PW_OK;
		}
	}
	if (text) {
		g_free(*text);
		*text = g_strdup(value);
	} else if (strcmp(name, "address") == 0) {
		g_strfreev(g->addresses);
		g->addresses = g_strsplit(value, "+", -1);
	} else if (strcmp(name, "connections") == 0) {
		g->connection_count = (uint32_t)strtoul(value, NULL, 10);
	} else if (strcmp(name, "rows") == 0) {
		g->row_count = (uint32_t)strtoul(value, NULL, 10);
	} else if (strcmp(name, "rate") == 0) {
		g->rate_per_s = g_ascii_strtod(value, NULL);
	} else if (strcmp(name, "position") == 0) {
		g->sends_position = *value == '1';
	} else {
		return pw_error_set(PW_EINVALID, "--group has no field \"%s\"", name);
	}
	return PW_OK;
}

int load_group_new(struct load_group **out, struct load *l, const char *text)
{
	struct load_group *g = g_new0(struct load_group, 1);
	char **pairs = g_strsplit(text, ",", -1);
	int rc = PW_OK;

	g->load = l;
	g->connection_count = 1;
	g->row_count = 1000;
	g->arrival_timer.ops = &arrival_ops;
	g->refusals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->messages = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (size_t i = 0; i < LOAD_OPERATION_COUNT; i++)
		g->latencies[i] = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (char **pair = pairs; *pair && !rc; pair++) {
		char **field = g_strsplit(*pair, "=", 2);

		if (field[0])
			rc = set_field(g, field[0], field[1] ? field[1] : "");
		g_strfreev(field);
	}
	g_strfreev(pairs);
	if (!rc && (!g->addresses || !g->account || !g->key || !g->database || !g->row_count ||
		    !g->connection_count))
		rc = pw_error_set(PW_EINVALID, "--group needs address, account, key, database, "
					       "and connections and rows above 0");
	if (rc) {
		load_group_free(g);
		return rc;
	}
	for (size_t i = 0; i < LOAD_OPERATION_COUNT; i++)
		g->weight_sum += g->weights[i];
	if (!g->name)
		g->name = g_strdup(g->account);
	*out = g;
	return PW_OK;
}

void load_group_start(struct load_group *g)
{
	g->callers = g_new0(struct load_caller, g->connection_count);
	for (uint32_t i = 0; i < g->connection_count; i++) {
		g->callers[i].group = g;
		g->callers[i].address_index = i % g_strv_length(g->addresses);
		load_caller_connect(&g->callers[i]);
	}
	if (g->rate_per_s > 0 && g->weight_sum > 0) {
		g->next_arrival_us = pw_clock_now_us();
		schedule_next_arrival(g);
	}
}

void load_group_free(gpointer group)
{
	struct load_group *g = group;

	for (uint32_t i = 0; g->callers && i < g->connection_count; i++) {
		pw_loop_timer_clear(g->load->task.loop, &g->callers[i].reconnect_timer);
		pw_stream_dispose(&g->callers[i].stream);
		g_free(g->callers[i].position_token);
	}
	if (g->load->task.loop)
		pw_loop_timer_clear(g->load->task.loop, &g->arrival_timer);
	g_free(g->callers);
	g_queue_clear(&g->idle_callers);
	g_queue_clear_full(&g->backlog, g_free);
	g_hash_table_unref(g->refusals);
	g_hash_table_unref(g->messages);
	for (size_t i = 0; i < LOAD_OPERATION_COUNT; i++)
		g_array_unref(g->latencies[i]);
	g_strfreev(g->addresses);
	g_free(g->name);
	g_free(g->account);
	g_free(g->key);
	g_free(g->database);
	g_free(g);
}
