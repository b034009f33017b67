/*
 * Suite of the bound on work at a server that refuses: cases, and a load in virtual time against a
 * server with slots, a queue and costly connections, as many VMs put it there.
 */
#include "suite.h"

#include <glib.h>
#include <stdio.h>

#include "pw/decide/congestion.h"

#define MS UINT64_C(1000)

enum step { END, SERVED, REFUSED };

static const struct {
	const char *label;
	enum step steps[8];
	uint64_t step_us;
	uint32_t running; /* at each refusal */
	uint32_t window;  /* expected */
} window_cases[] = {
	{ "not limited before a refusal", { SERVED, SERVED }, 100 * MS, 1, 0 },
	{ "half of what was under way", { REFUSED }, 100 * MS, 8, 4 * PW_CONGESTION_ONE },
	{ "refusals of one state count once", { REFUSED, REFUSED }, 1 * MS, 8, 4000 },
	{ "refusals one after the other", { REFUSED, REFUSED, REFUSED }, 100 * MS, 8, 1000 },
	{ "served: a tenth more", { REFUSED, SERVED }, 100 * MS, 8, 4100 },
	{ "below one: a quarter more", { REFUSED, SERVED }, 100 * MS, 1, 625 },
	{ "never below the least",
	  { REFUSED, REFUSED, REFUSED, REFUSED, REFUSED, REFUSED },
	  100 * MS,
	  1,
	  PW_CONGESTION_MIN },
};

START_TEST(test_window)
{
	struct pw_congestion c = { 0 };
	uint64_t now = 1000 * MS;

	for (int i = 0; window_cases[_i].steps[i] != END; i++) {
		now += window_cases[_i].step_us;
		if (window_cases[_i].steps[i] == SERVED)
			pw_congestion_served(&c);
		else
			pw_congestion_refused(&c, window_cases[_i].running, 20 * MS, now);
	}
	ck_assert_msg(c.window == window_cases[_i].window, "%s: %u", window_cases[_i].label,
		      c.window);
}
END_TEST

static const struct {
	const char *label;
	struct pw_congestion c;
	uint32_t running;
	uint64_t now_us;
	bool may;
} start_cases[] = {
	{ "not limited", { 0 }, 100, 0, true },
	{ "room for one", { .window = 1900 }, 0, 0, true },
	{ "no room for a second", { .window = 1900 }, 1, 0, false },
	{ "room for a third", { .window = 3000 }, 2, 0, true },
	{ "below one, in the pause",
	  { .window = 500, .next_start_us = 10 * MS },
	  0,
	  9 * MS,
	  false },
	{ "below one, after it", { .window = 500, .next_start_us = 10 * MS }, 0, 10 * MS, true },
	{ "below one, one under way", { .window = 500 }, 1, 10 * MS, false },
};

START_TEST(test_start)
{
	ck_assert_msg(pw_congestion_may_start(&start_cases[_i].c, start_cases[_i].running,
					      start_cases[_i].now_us) == start_cases[_i].may,
		      "%s", start_cases[_i].label);
}
END_TEST

/*
 * The load: statements of many accounts arrive at VMs that mostly have no connection for them. The
 * server accepts connections and runs statements in its slots, in the order of arrival, and refuses
 * a statement while its queue is full.
 */
#define VMS      68
#define SLOTS    3
#define QUEUE    24
#define OPEN_US  (12 * MS)
#define WORK_US  (18 * MS)
#define LIMIT_US (400 * MS) /* a VM keeps a statement for this long */
#define TRIES    6
#define PAUSE_US (20 * MS) /* the naive version waits so long after a refusal */

enum job_state { JOB_WAITS, JOB_OPENS, JOB_RUNS };

struct job {
	uint32_t vm;
	enum job_state state;
	uint64_t since_us;
	uint64_t retry_us;
	uint64_t done_us; /* in a slot: end; 0: in the server's queue */
	uint32_t tries;
	bool open; /* it has a connection */
};

struct load {
	GRand *rand;
	bool bounded;
	uint64_t now_us;
	GQueue jobs;   /* struct job, by arrival */
	GQueue queued; /* struct job at the server, by arrival there */
	uint32_t busy;
	struct pw_congestion windows[VMS];
	uint32_t running[VMS];
	uint32_t offered, served, refused;
};

static void end_job(struct load *l, GList *at)
{
	g_free(at->data);
	g_queue_delete_link(&l->jobs, at);
}

static bool enqueue(struct load *l, struct job *j, enum job_state state)
{
	if (l->queued.length >= QUEUE)
		return false;
	j->state = state;
	j->done_us = 0;
	g_queue_push_tail(&l->queued, j);
	return true;
}

static void refuse_at_server(struct load *l, struct job *j)
{
	pw_congestion_refused(&l->windows[j->vm], l->running[j->vm], WORK_US, l->now_us);
	l->running[j->vm]--;
	j->state = JOB_WAITS;
	j->tries++;
	j->retry_us = l->now_us + (l->bounded ? 0 : PAUSE_US);
	/* The naive version tries again with a new connection. */
	j->open = j->open && l->bounded;
}

static void start(struct load *l, struct job *j)
{
	struct pw_congestion *c = &l->windows[j->vm];

	if (l->now_us < j->retry_us ||
	    (l->bounded && !pw_congestion_may_start(c, l->running[j->vm], l->now_us)))
		return;
	pw_congestion_started(c, WORK_US, l->now_us);
	l->running[j->vm]++;
	if (!enqueue(l, j, j->open ? JOB_RUNS : JOB_OPENS))
		refuse_at_server(l, j);
}

/* Ends what is in the slots, and fills them from the queue. */
static void run_server(struct load *l)
{
	for (GList *at = l->jobs.head, *next; at; at = next) {
		struct job *j = at->data;

		next = at->next;
		if (j->state == JOB_WAITS || !j->done_us || l->now_us < j->done_us)
			continue;
		l->busy--;
		if (j->state == JOB_OPENS) {
			j->open = true;
			if (!enqueue(l, j, JOB_RUNS))
				refuse_at_server(l, j);
			continue;
		}
		l->running[j->vm]--;
		l->served++;
		pw_congestion_served(&l->windows[j->vm]);
		end_job(l, at);
	}
	while (l->busy < SLOTS && l->queued.length) {
		struct job *j = g_queue_pop_head(&l->queued);

		j->done_us = l->now_us + (j->state == JOB_OPENS ? OPEN_US : WORK_US);
		l->busy++;
	}
}

static void arrive(struct load *l, double per_s)
{
	struct job *j;

	if (g_rand_double(l->rand) * 1000 >= per_s)
		return;
	j = g_new0(struct job, 1);
	j->vm = (uint32_t)g_rand_int_range(l->rand, 0, VMS);
	j->since_us = l->now_us;
	l->offered++;
	g_queue_push_tail(&l->jobs, j);
}

static void run_vms(struct load *l)
{
	for (GList *at = l->jobs.head, *next; at; at = next) {
		struct job *j = at->data;

		next = at->next;
		if (j->state != JOB_WAITS)
			continue;
		if (l->now_us >= j->since_us + LIMIT_US || j->tries >= TRIES) {
			l->refused++;
			end_job(l, at);
			continue;
		}
		start(l, j);
	}
}

static void run(struct load *l, uint32_t seconds, double per_s)
{
	l->offered = l->served = l->refused = 0;
	for (uint32_t i = 0; i < seconds * 1000; i++) {
		l->now_us += MS;
		arrive(l, per_s);
		run_server(l);
		run_vms(l);
	}
}

static void load_init(struct load *l, bool bounded, uint32_t seed)
{
	*l = (struct load){ .rand = g_rand_new_with_seed(seed), .bounded = bounded };
	g_queue_init(&l->jobs);
	g_queue_init(&l->queued);
}

static void load_dispose(struct load *l)
{
	g_queue_clear_full(&l->jobs, g_free);
	g_queue_clear(&l->queued);
	g_rand_free(l->rand);
}

static const struct {
	const char *label;
	double surge_per_s; /* 5 s of it; the server can do 100/s with connections */
	uint32_t surge_served_per_s;
} load_cases[] = {
	{ "half more than the server can do", 150, 70 },
	{ "four times what it can do", 400, 70 },
	{ "nine times what it can do", 900, 70 },
};

/*
 * Guards against a fleet that serves next to nothing during a surge, as the naive version does
 * whose connections take the slots of the statements, and against one that does not recover after
 * it.
 */
START_TEST(test_surge)
{
	struct load l, naive;
	double served = 0, naive_served = 0;

	load_init(&l, true, 40 + (uint32_t)_i);
	load_init(&naive, false, 40 + (uint32_t)_i);
	run(&l, 5, 60);
	run(&naive, 5, 60);
	ck_assert_msg(l.served >= 0.97 * l.offered, "%s: %u of %u before the surge",
		      load_cases[_i].label, l.served, l.offered);
	run(&l, 5, load_cases[_i].surge_per_s);
	run(&naive, 5, load_cases[_i].surge_per_s);
	printf("%-34s surge: %u of %u, naive %u\n", load_cases[_i].label, l.served, l.offered,
	       naive.served);
	ck_assert_msg(l.served >= 5 * load_cases[_i].surge_served_per_s, "%s: %u of %u",
		      load_cases[_i].label, l.served, l.offered);
	ck_assert_msg(naive.served * 2 < l.served, "%s: naive %u", load_cases[_i].label,
		      naive.served);
	run(&l, 2, 60);
	run(&naive, 2, 60);
	run(&l, 10, 60);
	run(&naive, 10, 60);
	served = (double)l.served / l.offered;
	naive_served = (double)naive.served / naive.offered;
	printf("%-34s after it: %.3f, naive %.3f\n", load_cases[_i].label, served, naive_served);
	ck_assert_msg(served >= 0.95, "%s: %.3f served after the surge", load_cases[_i].label,
		      served);
	load_dispose(&l);
	load_dispose(&naive);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("congestion");

	tcase_add_loop_test(tc, test_window, 0, PW_ARRAY_LEN(window_cases));
	tcase_add_loop_test(tc, test_start, 0, PW_ARRAY_LEN(start_cases));
	tcase_add_loop_test(tc, test_surge, 0, PW_ARRAY_LEN(load_cases));
	return pw_suite_run("congestion", tc);
}
