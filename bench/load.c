/* Load tool: sends statements for a given time and prints the measurements as JSON. */
#include "load.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "pw/core/clock.h"
#include "pw/core/error.h"

#define CONTAINER_OF(p, type, member) ((type *)(void *)((char *)(p)-offsetof(type, member)))

/* Starts the measured interval after the warm-up; ends the task after the measured interval. */
static void handle_phase_end(struct pw_timer *t, uint64_t now_us)
{
	struct load *l = CONTAINER_OF(t, struct load, phase_timer);

	if (l->measuring) {
		l->measure_end_us = now_us;
		pw_task_finish(&l->task);
		return;
	}
	l->measuring = true;
	l->measure_start_us = now_us;
	for (guint i = 0; i < l->processes->len; i++) {
		struct load_process *p = &g_array_index(l->processes, struct load_process, i);

		p->cpu_before_ms = load_process_cpu_ms(p);
	}
	for (guint i = 0; i < l->groups->len; i++)
		((struct load_group *)l->groups->pdata[i])->last_write_ack_us = now_us;
	pw_loop_timer_set(l->task.loop, t,
			  now_us + (uint64_t)l->options->duration_ms * PW_US_PER_MS);
}

static const struct pw_timer_ops phase_ops = { .expire = handle_phase_end };

static void load_stop(struct pw_task *t)
{
	struct load *l = (struct load *)t;
	json_t *report;

	if (l->measure_end_us) {
		report = load_build_report(l);
		json_dumpf(report, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
		putchar('\n');
		json_decref(report);
	}
	pw_loop_timer_clear(t->loop, &l->phase_timer);
	g_ptr_array_unref(l->groups);
	g_array_unref(l->processes);
	g_rand_free(l->random);
}

static int load_start(struct pw_task *t)
{
	struct load *l = (struct load *)t;
	const struct load_options *o = t->args;

	l->options = o;
	l->phase_timer.ops = &phase_ops;
	l->random = g_rand_new_with_seed((guint32)o->seed);
	l->groups = g_ptr_array_new_with_free_func(load_group_free);
	l->processes = g_array_new(FALSE, TRUE, sizeof(struct load_process));
	for (char **text = o->groups; *text; text++) {
		struct load_group *g;
		int rc = load_group_new(&g, l, *text);

		if (rc) {
			load_stop(t);
			return rc;
		}
		g_ptr_array_add(l->groups, g);
	}
	for (char **pid = o->pids; pid && *pid; pid++) {
		struct load_process p;

		load_process_init(&p, *pid);
		g_array_append_val(l->processes, p);
	}
	for (guint i = 0; i < l->groups->len; i++)
		load_group_start(l->groups->pdata[i]);
	pw_loop_timer_set(t->loop, &l->phase_timer,
			  pw_clock_now_us() + (uint64_t)o->warmup_ms * PW_US_PER_MS);
	return PW_OK;
}

static void load_receive(struct pw_task *t, struct pw_msg *m)
{
	pw_msg_free(m);
}

static const struct pw_task_ops load_ops = {
	.name = "load",
	.size_bytes = sizeof(struct load),
	.start = load_start,
	.receive = load_receive,
	.stop = load_stop,
};

int main(int argc, char **argv)
{
	struct load_options o = { .seed = 1, .duration_ms = 5000, .warmup_ms = 500 };
	const GOptionEntry entries[] = {
		{ "group", 0, 0, G_OPTION_ARG_STRING_ARRAY, &o.groups,
		  "Callers as name=value pairs: address (IP:PORT+IP:PORT...), account, key, "
		  "database, connections, rate (operations/s of the group; 0 is a closed loop), "
		  "read, stale, write, transaction (weights), position (0 or 1), rows, name",
		  "PAIRS" },
		{ "pid", 0, 0, G_OPTION_ARG_STRING_ARRAY, &o.pids,
		  "Process whose CPU time and memory are reported", "PID" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &o.seed, "Seed of the random numbers", "N" },
		{ "duration-ms", 0, 0, G_OPTION_ARG_INT, &o.duration_ms, "Measured time", "MS" },
		{ "warmup-ms", 0, 0, G_OPTION_ARG_INT, &o.warmup_ms,
		  "Time before it that is not counted", "MS" },
		{ 0 },
	};
	GOptionContext *context = g_option_context_new("- load on caller connections");
	GError *error = NULL;
	struct pw_mailbox *inbox;
	int rc;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "load: %s\n", error->message);
		return EXIT_FAILURE;
	}
	g_option_context_free(context);
	if (!o.groups || o.duration_ms < 1 || o.warmup_ms < 0) {
		fprintf(stderr, "load: --group is missing, or a duration is out of range\n");
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	if (pw_mailbox_new(&inbox))
		return EXIT_FAILURE;
	rc = pw_task_run(&load_ops, inbox, &o);
	if (rc)
		fprintf(stderr, "load: %s\n", pw_error_message());
	pw_mailbox_free(inbox);
	g_strfreev(o.groups);
	g_strfreev(o.pids);
	return rc ? EXIT_FAILURE : EXIT_SUCCESS;
}
