/*
 * Tests of the congestion window: single steps, and a simulation in virtual time of many VMs that
 * load one server with slots, a queue and costly connections.
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
	uint32_t in_flight; /* at each refusal */
	uint32_t window;    /* expected */
} window_cases[] = {
	{ "not limited before a refusal", { SERVED, SERVED }, 100 * MS, 1, 0 },
	{ "half of the statements in flight",
	  { REFUSED },
	  100 * MS,
	  8,
	  4 * PW_CONGESTION_WINDOW_ONE },
	{ "refusals within one latency count once", { REFUSED, REFUSED }, 1 * MS, 8, 4000 },
	{ "refusals one after the other", { REFUSED, REFUSED, REFUSED }, 100 * MS, 8, 1000 },
	{ "served: a tenth more", { REFUSED, SERVED }, 100 * MS, 8, 4100 },
	{ "below one: a quarter more", { REFUSED, SERVED }, 100 * MS, 1, 625 },
	{ "never below the minimum",
	  { REFUSED, REFUSED, REFUSED, REFUSED, REFUSED, REFUSED },
	  100 * MS,
	  1,
	  PW_CONGESTION_WINDOW_MIN },
};

/*
 * Guards against a window that ignores refusals or never grows again, and against one that falls
 * below its minimum or is halved for each refusal of the same overload.
 */
START_TEST(test_window)
{
	struct pw_congestion c = { 0 };
	uint64_t now_us = 1000 * MS;

	for (int i = 0; window_cases[_i].steps[i] != END; i++) {
		now_us += window_cases[_i].step_us;
		if (window_cases[_i].steps[i] == SERVED)
			pw_congestion_record_success(&c);
		else
			pw_congestion_record_refusal(&c, window_cases[_i].in_flight, 20 * MS,
						     now_us);
	}
	ck_assert_msg(c.window == window_cases[_i].window, "%s: %u", window_cases[_i].label,
		      c.window);
}
END_TEST

static const struct {
	const char *label;
	struct pw_congestion c;
	uint32_t in_flight;
	uint64_t now_us;
	bool may_start;
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
	{ "below one, one in flight", { .window = 500 }, 1, 10 * MS, false },
};

/* Guards against a VM that starts more statements than its window allows, or too early. */
START_TEST(test_start)
{
	ck_assert_msg(pw_congestion_may_start(&start_cases[_i].c, start_cases[_i].in_flight,
					      start_cases[_i].now_us) == start_cases[_i].may_start,
		      "%s", start_cases[_i].label);
}
END_TEST

/*
 * Simulation. Statements of many accounts arrive at VMs that mostly have no connection for them.
 * The server opens connections and runs statements in its slots, in the order of arrival, and
 * refuses a statement while its queue is full. The naive version has no window and retries on a new
 * connection.
 */
#define VM_COUNT             68
#define SERVER_SLOTS         3
#define SERVER_QUEUE_MAX     24
#define OPEN_US              (12 * MS)
#define STATEMENT_US         (18 * MS)
#define STATEMENT_TIMEOUT_US (400 * MS)
#define ATTEMPTS_MAX         6
#define NAIVE_RETRY_DELAY_US (20 * MS)

enum job_state { JOB_WAITING, JOB_OPENING, JOB_RUNNING };

struct job {
	uint32_t vm;
	enum job_state state;
	uint64_t arrived_us;
	uint64_t retry_us; /* earliest time of the next attempt */
	uint64_t done_us;  /* end of its time in a slot; 0: in the server's queue */
	uint32_t attempts;
	bool has_connection;
};

struct simulation {
	GRand *rand;
	bool limited; /* uses the congestion window; false: naive version */
	uint64_t now_us;
	GQueue jobs;   /* struct job, by arrival at a VM */
	GQueue queued; /* struct job, by arrival at the server */
	uint32_t busy_slots;
	struct pw_congestion windows[VM_COUNT];
	uint32_t in_flight[VM_COUNT];
	uint32_t offered, served, refused;
};

static void remove_job(struct simulation *s, GList *at)
{
	g_free(at->data);
	g_queue_delete_link(&s->jobs, at);
}

static bool enqueue(struct simulation *s, struct job *j, enum job_state state)
{
	if (s->queued.length >= SERVER_QUEUE_MAX)
		return false;
	j->state = state;
	j->done_us = 0;
	g_queue_push_tail(&s->queued, j);
	return true;
}

static void record_refusal(struct simulation *s, struct job *j)
{
	pw_congestion_record_refusal(&s->windows[j->vm], s->in_flight[j->vm], STATEMENT_US,
				     s->now_us);
	s->in_flight[j->vm]--;
	j->state = JOB_WAITING;
	j->attempts++;
	j->retry_us = s->now_us + (s->limited ? 0 : NAIVE_RETRY_DELAY_US);
	/* The naive version retries on a new connection. */
	j->has_connection = j->has_connection && s->limited;
}

static void start_attempt(struct simulation *s, struct job *j)
{
	struct pw_congestion *c = &s->windows[j->vm];

	if (s->now_us < j->retry_us ||
	    (s->limited && !pw_congestion_may_start(c, s->in_flight[j->vm], s->now_us)))
		return;
	pw_congestion_record_start(c, STATEMENT_US, s->now_us);
	s->in_flight[j->vm]++;
	if (!enqueue(s, j, j->has_connection ? JOB_RUNNING : JOB_OPENING))
		record_refusal(s, j);
}

/* Completes the work in the slots that has ended, and fills the free slots from the queue. */
static void run_server(struct simulation *s)
{
	for (GList *at = s->jobs.head, *next; at; at = next) {
		struct job *j = at->data;

		next = at->next;
		if (j->state == JOB_WAITING || !j->done_us || s->now_us < j->done_us)
			continue;
		s->busy_slots--;
		if (j->state == JOB_OPENING) {
			j->has_connection = true;
			if (!enqueue(s, j, JOB_RUNNING))
				record_refusal(s, j);
			continue;
		}
		s->in_flight[j->vm]--;
		s->served++;
		pw_congestion_record_success(&s->windows[j->vm]);
		remove_job(s, at);
	}
	while (s->busy_slots < SERVER_SLOTS && s->queued.length) {
		struct job *j = g_queue_pop_head(&s->queued);

		j->done_us = s->now_us + (j->state == JOB_OPENING ? OPEN_US : STATEMENT_US);
		s->busy_slots++;
	}
}

static void add_arrivals(struct simulation *s, double per_s)
{
	struct job *j;

	if (g_rand_double(s->rand) * 1000 >= per_s)
		return;
	j = g_new0(struct job, 1);
	j->vm = (uint32_t)g_rand_int_range(s->rand, 0, VM_COUNT);
	j->arrived_us = s->now_us;
	s->offered++;
	g_queue_push_tail(&s->jobs, j);
}

static void run_vms(struct simulation *s)
{
	for (GList *at = s->jobs.head, *next; at; at = next) {
		struct job *j = at->data;

		next = at->next;
		if (j->state != JOB_WAITING)
			continue;
		if (s->now_us >= j->arrived_us + STATEMENT_TIMEOUT_US ||
		    j->attempts >= ATTEMPTS_MAX) {
			s->refused++;
			remove_job(s, at);
			continue;
		}
		start_attempt(s, j);
	}
}

static void simulate(struct simulation *s, uint32_t seconds, double per_s)
{
	s->offered = s->served = s->refused = 0;
	for (uint32_t i = 0; i < seconds * 1000; i++) {
		s->now_us += MS;
		add_arrivals(s, per_s);
		run_server(s);
		run_vms(s);
	}
}

static void simulation_init(struct simulation *s, bool limited, uint32_t seed)
{
	*s = (struct simulation){ .rand = g_rand_new_with_seed(seed), .limited = limited };
	g_queue_init(&s->jobs);
	g_queue_init(&s->queued);
}

static void simulation_dispose(struct simulation *s)
{
	g_queue_clear_full(&s->jobs, g_free);
	g_queue_clear(&s->queued);
	g_rand_free(s->rand);
}

static const struct {
	const char *label;
	/* Load for 5 s. The server can serve 100/s if it opens a connection for each statement. */
	double surge_per_s;
	uint32_t surge_served_min_per_s;
} surge_cases[] = {
	{ "1.5 times the server's capacity", 150, 70 },
	{ "four times its capacity", 400, 70 },
	{ "nine times its capacity", 900, 70 },
};

/*
 * Guards against a fleet that serves hardly any statements during a surge, as in the naive version,
 * where the opening of connections takes the slots from statements, and against one that does not
 * recover after the surge.
 */
START_TEST(test_surge)
{
	struct simulation limited, naive;
	double served = 0, naive_served = 0;

	simulation_init(&limited, true, 40 + (uint32_t)_i);
	simulation_init(&naive, false, 40 + (uint32_t)_i);
	simulate(&limited, 5, 60);
	simulate(&naive, 5, 60);
	ck_assert_msg(limited.served >= 0.97 * limited.offered, "%s: %u of %u before the surge",
		      surge_cases[_i].label, limited.served, limited.offered);
	simulate(&limited, 5, surge_cases[_i].surge_per_s);
	simulate(&naive, 5, surge_cases[_i].surge_per_s);
	printf("%-34s surge: %u of %u, naive %u\n", surge_cases[_i].label, limited.served,
	       limited.offered, naive.served);
	ck_assert_msg(limited.served >= 5 * surge_cases[_i].surge_served_min_per_s, "%s: %u of %u",
		      surge_cases[_i].label, limited.served, limited.offered);
	ck_assert_msg(naive.served * 2 < limited.served, "%s: naive %u", surge_cases[_i].label,
		      naive.served);
	simulate(&limited, 2, 60);
	simulate(&naive, 2, 60);
	simulate(&limited, 10, 60);
	simulate(&naive, 10, 60);
	served = (double)limited.served / limited.offered;
	naive_served = (double)naive.served / naive.offered;
	printf("%-34s after it: %.3f, naive %.3f\n", surge_cases[_i].label, served, naive_served);
	ck_assert_msg(served >= 0.95, "%s: %.3f served after the surge", surge_cases[_i].label,
		      served);
	simulation_dispose(&limited);
	simulation_dispose(&naive);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("congestion");

	tcase_add_loop_test(tc, test_window, 0, PW_ARRAY_LEN(window_cases));
	tcase_add_loop_test(tc, test_start, 0, PW_ARRAY_LEN(start_cases));
	tcase_add_loop_test(tc, test_surge, 0, PW_ARRAY_LEN(surge_cases));
	return pw_suite_run("congestion", tc);
}
