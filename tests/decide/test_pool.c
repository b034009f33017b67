/* Tests of the connection pool and its fair queueing. */
#include "suite.h"

#include <glib.h>

#include "pw/core/error.h"
#include "pw/decide/pool.h"

#define DEADLINE_US UINT64_C(1000000)

/* Load of one account in virtual time: it keeps `depth` requests waiting or in flight. */
struct load {
	uint32_t depth;
	uint64_t cost_us;
	uint64_t served_us;
};

#define ACCOUNT_COUNT 4

struct running_request {
	uint64_t end_us; /**< 0: the element is unused */
	uint64_t start_us;
	uint32_t account;
};

/*
 * Runs the loads on a pool for `duration_us` and adds up the time that each account was served. The
 * account of a request is its identifier modulo ACCOUNT_COUNT.
 */
static void run_loads(struct load *loads, bool fair_queueing, uint32_t slots, uint64_t duration_us)
{
	struct pw_pool_options o = PW_POOL_OPTIONS_INIT;
	struct pw_pool *p;
	struct running_request running[8] = { 0 };
	uint64_t now_us = 0, next_id = 0;
	uint32_t pending[ACCOUNT_COUNT] = { 0 };

	o.connections_max = slots;
	o.slots_max = slots;
	o.fair_queueing = fair_queueing;
	ck_assert_int_eq(pw_pool_new(&p, &o), PW_OK);
	while (now_us < duration_us) {
		struct pw_pool_action a;
		uint64_t next_end_us = UINT64_MAX;

		for (uint32_t i = 0; i < ACCOUNT_COUNT; i++) {
			while (pending[i] < loads[i].depth) {
				pw_pool_enqueue(p, next_id++ * ACCOUNT_COUNT + i, i, UINT64_MAX);
				pending[i]++;
			}
		}
		while (pw_pool_next_action(p, &a, now_us)) {
			uint32_t account = (uint32_t)(a.request % ACCOUNT_COUNT);
			uint32_t k = 0;

			if (a.kind == PW_POOL_OPEN) {
				pw_pool_connection_opened(p);
				continue;
			}
			ck_assert_int_eq(a.kind, PW_POOL_RUN);
			while (running[k].end_us)
				k++;
			running[k] = (struct running_request){
				.start_us = now_us,
				.end_us = now_us + loads[account].cost_us,
				.account = account,
			};
			ck_assert_uint_le(pw_pool_busy_count(p), slots);
		}
		for (uint32_t k = 0; k < PW_ARRAY_LEN(running); k++) {
			if (running[k].end_us && running[k].end_us < next_end_us)
				next_end_us = running[k].end_us;
		}
		now_us = next_end_us;
		for (uint32_t k = 0; k < PW_ARRAY_LEN(running); k++) {
			if (running[k].end_us != now_us)
				continue;
			pw_pool_connection_released(p, running[k].account,
						    now_us - running[k].start_us);
			loads[running[k].account].served_us += now_us - running[k].start_us;
			pending[running[k].account]--;
			running[k].end_us = 0;
		}
	}
	pw_pool_free(p);
}

static const struct {
	const char *label;
	struct load loads[ACCOUNT_COUNT];
	uint32_t slots;
} fairness_cases[] = {
	{ "one account floods", { { 200, 1000 }, { 2, 1000 }, { 2, 1000 }, { 2, 1000 } }, 1 },
	{ "one account sends long requests",
	  { { 20, 50000 }, { 4, 500 }, { 4, 500 }, { 4, 500 } },
	  1 },
	{ "one account floods three slots",
	  { { 250, 1000 }, { 6, 1000 }, { 6, 1000 }, { 6, 1000 } },
	  3 },
	{ "one account floods three slots with long requests",
	  { { 250, 20000 }, { 8, 1000 }, { 8, 1000 }, { 8, 1000 } },
	  3 },
};

/* Required share of the worst-served account, in percent of an equal share of the server's time. */
#define SHARE_MIN_PERCENT 95

static uint64_t worst_share_percent(const struct load *loads, uint32_t slots, uint64_t duration_us)
{
	uint64_t equal_share_us = slots * duration_us / ACCOUNT_COUNT;
	uint64_t worst = UINT64_MAX;

	for (uint32_t i = 0; i < ACCOUNT_COUNT; i++) {
		if (loads[i].served_us * 100 / equal_share_us < worst)
			worst = loads[i].served_us * 100 / equal_share_us;
	}
	return worst;
}

/*
 * Guards against the backlog of one account starving the others, as it does when requests are
 * served in order of arrival (the naive version).
 */
START_TEST(test_worst_served_account)
{
	const uint64_t duration_us = UINT64_C(20000000);
	struct load fair[ACCOUNT_COUNT], naive[ACCOUNT_COUNT];
	uint64_t share, naive_share;

	memcpy(fair, fairness_cases[_i].loads, sizeof(fair));
	memcpy(naive, fairness_cases[_i].loads, sizeof(naive));
	run_loads(fair, true, fairness_cases[_i].slots, duration_us);
	run_loads(naive, false, fairness_cases[_i].slots, duration_us);
	share = worst_share_percent(fair, fairness_cases[_i].slots, duration_us);
	naive_share = worst_share_percent(naive, fairness_cases[_i].slots, duration_us);
	ck_assert_msg(share >= SHARE_MIN_PERCENT, "case: %s: %lu%%", fairness_cases[_i].label,
		      (unsigned long)share);
	ck_assert_msg(naive_share < SHARE_MIN_PERCENT, "case: %s: naive %lu%%",
		      fairness_cases[_i].label, (unsigned long)naive_share);
}
END_TEST

enum step_kind { ENQUEUE, CANCEL, LIMITS, OPENED, OPEN_FAILED, RELEASED, DISCARDED, IDLE_CLOSED };

struct step {
	enum step_kind kind;
	uint64_t request; /**< for LIMITS the number of connections */
	uint32_t slots;   /**< for LIMITS only */
	uint64_t now_us;
	const char *actions; /**< expected ones, a letter each: R run, O open, E expire, C close */
};

static const struct {
	const char *label;
	struct step steps[8];
	uint32_t step_count;
} step_cases[] = {
	{ "opens a connection and runs the request",
	  { { ENQUEUE, 1, 0, 0, "O" }, { OPENED, 0, 0, 1, "R" } },
	  2 },
	{ "reuses an idle connection",
	  { { ENQUEUE, 1, 0, 0, "O" },
	    { OPENED, 0, 0, 1, "R" },
	    { RELEASED, 0, 0, 2, "" },
	    { ENQUEUE, 2, 0, 3, "R" } },
	  4 },
	{ "opens again after a failed attempt",
	  { { ENQUEUE, 1, 0, 0, "O" }, { OPEN_FAILED, 0, 0, 1, "O" } },
	  2 },
	{ "expires at its deadline",
	  { { ENQUEUE, 1, 0, 0, "O" }, { OPENED, 0, 0, DEADLINE_US, "E" } },
	  2 },
	{ "cancelled request does not run",
	  { { ENQUEUE, 1, 0, 0, "O" }, { CANCEL, 1, 0, 1, "" }, { OPENED, 0, 0, 2, "" } },
	  3 },
	{ "waits until there is a slot",
	  { { LIMITS, 1, 0, 0, "" }, { ENQUEUE, 1, 0, 0, "" }, { LIMITS, 1, 1, 1, "O" } },
	  3 },
	{ "closes when the limit falls",
	  { { ENQUEUE, 1, 0, 0, "O" },
	    { OPENED, 0, 0, 1, "R" },
	    { LIMITS, 0, 0, 2, "" },
	    { RELEASED, 0, 0, 3, "C" } },
	  4 },
	{ "opens another after a discard",
	  { { ENQUEUE, 1, 0, 0, "O" },
	    { OPENED, 0, 0, 1, "R" },
	    { ENQUEUE, 2, 0, 2, "" },
	    { DISCARDED, 0, 0, 3, "O" } },
	  4 },
};

static void apply(struct pw_pool *p, const struct step *s)
{
	switch (s->kind) {
	case ENQUEUE:
		ck_assert_int_eq(pw_pool_enqueue(p, s->request, 1, DEADLINE_US), PW_OK);
		break;
	case CANCEL:
		ck_assert(pw_pool_cancel(p, s->request));
		break;
	case LIMITS:
		pw_pool_set_limits(p, (uint32_t)s->request, s->slots);
		break;
	case OPENED:
		pw_pool_connection_opened(p);
		break;
	case OPEN_FAILED:
		pw_pool_connection_failed(p);
		break;
	case RELEASED:
		pw_pool_connection_released(p, 1, 10);
		break;
	case DISCARDED:
		pw_pool_connection_discarded(p, 1, 10);
		break;
	case IDLE_CLOSED:
		pw_pool_idle_connection_closed(p);
		break;
	}
}

/* Guards against connections above the limit, and requests that get lost or wait forever. */
START_TEST(test_steps)
{
	static const char letters[] = "ROEC";
	struct pw_pool_options o = PW_POOL_OPTIONS_INIT;
	struct pw_pool *p;

	ck_assert_int_eq(pw_pool_new(&p, &o), PW_OK);
	for (uint32_t i = 0; i < step_cases[_i].step_count; i++) {
		const struct step *s = &step_cases[_i].steps[i];
		GString *actions = g_string_new(NULL);
		struct pw_pool_action a;

		apply(p, s);
		while (pw_pool_next_action(p, &a, s->now_us))
			g_string_append_c(actions, letters[a.kind]);
		ck_assert_msg(g_str_equal(actions->str, s->actions), "case: %s, step %u: \"%s\"",
			      step_cases[_i].label, i, actions->str);
		g_string_free(actions, TRUE);
	}
	pw_pool_free(p);
}
END_TEST

/* Guards against unbounded memory for the backlog of one account. */
START_TEST(test_queue_limit)
{
	struct pw_pool_options o = PW_POOL_OPTIONS_INIT;
	struct pw_pool *p;

	o.queue_max = 3;
	ck_assert_int_eq(pw_pool_new(&p, &o), PW_OK);
	for (uint64_t i = 0; i < 3; i++)
		ck_assert_int_eq(pw_pool_enqueue(p, i, 1, DEADLINE_US), PW_OK);
	ck_assert_int_eq(pw_pool_enqueue(p, 3, 1, DEADLINE_US), PW_EOVERFLOW);
	ck_assert_int_eq(pw_pool_enqueue(p, 4, 2, DEADLINE_US), PW_OK);
	pw_pool_free(p);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("pool");

	tcase_add_loop_test(tc, test_worst_served_account, 0, PW_ARRAY_LEN(fairness_cases));
	tcase_add_loop_test(tc, test_steps, 0, PW_ARRAY_LEN(step_cases));
	tcase_add_test(tc, test_queue_limit);
	return pw_suite_run("pool", tc);
}
