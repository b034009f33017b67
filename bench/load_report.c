#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "load.h"
#include "pw/core/clock.h"

/*
 * Indexes of fields of /proc/PID/stat, counted from 0 after the command name in parentheses.
 * proc(5) numbers them 14, 15 and 24.
 */
#define STAT_UTIME_INDEX 11
#define STAT_STIME_INDEX 12
#define STAT_RSS_INDEX   21

/* Returns the sum of the fields `first` to `last` of /proc/PID/stat; 0 if it cannot be read. */
static uint64_t sum_stat_fields(int64_t pid, uint32_t first, uint32_t last)
{
	char *path = g_strdup_printf("/proc/%" G_GINT64_FORMAT "/stat", pid);
	char *text = NULL;
	uint64_t sum = 0;

	if (g_file_get_contents(path, &text, NULL, NULL) && strrchr(text, ')')) {
		char **fields = g_strsplit(strrchr(text, ')') + 2, " ", -1);

		for (uint32_t i = first; i <= last && last < g_strv_length(fields); i++)
			sum += g_ascii_strtoull(fields[i], NULL, 10);
		g_strfreev(fields);
	}
	g_free(text);
	g_free(path);
	return sum;
}

uint64_t load_process_cpu_ms(const struct load_process *p)
{
	uint64_t ticks_per_s = (uint64_t)sysconf(_SC_CLK_TCK);

	return sum_stat_fields(p->pid, STAT_UTIME_INDEX, STAT_STIME_INDEX) * 1000 / ticks_per_s;
}

static uint64_t rss_bytes(const struct load_process *p)
{
	return sum_stat_fields(p->pid, STAT_RSS_INDEX, STAT_RSS_INDEX) *
	       (uint64_t)sysconf(_SC_PAGESIZE);
}

void load_process_init(struct load_process *p, const char *pid)
{
	p->pid = g_ascii_strtoll(pid, NULL, 10);
	p->cpu_before_ms = load_process_cpu_ms(p);
	p->rss_before_bytes = rss_bytes(p);
}

static gint compare_u32(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static json_t *latencies_to_json(GArray *samples)
{
	static const struct {
		const char *name;
		double quantile;
	} percentiles[] = {
		{ "p50_us", 0.5 },    { "p90_us", 0.9 }, { "p99_us", 0.99 },
		{ "p999_us", 0.999 }, { "max_us", 1.0 },
	};
	json_t *o = json_object();

	json_object_set_new(o, "count", json_integer(samples->len));
	g_array_sort(samples, compare_u32);
	for (size_t i = 0; samples->len && i < G_N_ELEMENTS(percentiles); i++) {
		guint index = (guint)(percentiles[i].quantile * (samples->len - 1));

		json_object_set_new(o, percentiles[i].name,
				    json_integer(g_array_index(samples, uint32_t, index)));
	}
	return o;
}

static json_t *refusals_to_json(GHashTable *refusals)
{
	json_t *o = json_object();
	GHashTableIter iter;
	gpointer sqlstate, n;

	g_hash_table_iter_init(&iter, refusals);
	while (g_hash_table_iter_next(&iter, &sqlstate, &n))
		json_object_set_new(o, sqlstate, json_integer((json_int_t) * (uint64_t *)n));
	return o;
}

static json_t *messages_to_json(GHashTable *messages)
{
	json_t *o = json_object();
	GHashTableIter iter;
	gpointer sqlstate, text;

	g_hash_table_iter_init(&iter, messages);
	while (g_hash_table_iter_next(&iter, &sqlstate, &text))
		json_object_set_new(o, sqlstate, json_string(text));
	return o;
}

static json_t *group_to_json(const struct load_group *g)
{
	const struct {
		const char *name;
		uint64_t value;
	} counts[] = {
		{ "offered", g->offered },
		{ "operations", g->succeeded },
		{ "statements", g->statements },
		{ "failed", g->failed },
		{ "unanswered", g->unanswered },
		{ "not_sent", g->backlog.length },
		{ "logins", g->logins },
		{ "login_failures", g->login_failures },
		{ "connection_losses", g->connection_losses },
		/* Includes the time from the last acknowledged write to the end of the interval. */
		{ "largest_write_gap_us",
		  MAX(g->largest_write_gap_us, g->load->measure_end_us - g->last_write_ack_us) },
	};
	json_t *o = json_pack("{s:s}", "account", g->account), *latencies = json_object();

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++)
		json_object_set_new(o, counts[i].name, json_integer((json_int_t)counts[i].value));
	json_object_set_new(o, "refusals", refusals_to_json(g->refusals));
	json_object_set_new(o, "messages", messages_to_json(g->messages));
	for (size_t i = 0; i < LOAD_OPERATION_COUNT; i++) {
		if (g->latencies[i]->len)
			json_object_set_new(latencies, load_operation_names[i],
					    latencies_to_json(g->latencies[i]));
	}
	json_object_set_new(o, "latencies", latencies);
	return o;
}

static json_t *process_to_json(const struct load_process *p)
{
	return json_pack("{s:I, s:I, s:I, s:I}", "pid", (json_int_t)p->pid, "cpu_ms",
			 (json_int_t)(load_process_cpu_ms(p) - p->cpu_before_ms),
			 "rss_before_bytes", (json_int_t)p->rss_before_bytes, "rss_after_bytes",
			 (json_int_t)rss_bytes(p));
}

json_t *load_build_report(const struct load *l)
{
	uint64_t statements = 0;
	json_t *groups = json_object(), *processes = json_array();

	for (guint i = 0; i < l->groups->len; i++) {
		const struct load_group *g = l->groups->pdata[i];

		statements += g->statements;
		json_object_set_new(groups, g->name, group_to_json(g));
	}
	for (guint i = 0; i < l->processes->len; i++)
		json_array_append_new(processes, process_to_json(&g_array_index(
							 l->processes, struct load_process, i)));
	return json_pack("{s:i, s:f, s:I, s:o, s:o}", "seed", l->options->seed, "seconds",
			 (double)(l->measure_end_us - l->measure_start_us) / (double)PW_US_PER_S,
			 "statements", (json_int_t)statements, "groups", groups, "processes",
			 processes);
}
