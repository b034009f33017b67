/* Tests of the failover module, by itself and in the simulation of failover_sim.h. */
#include "suite.h"

#include <stdio.h>

#include "failover_sim.h"
#include "pw/core/error.h"

#define BASE_SEED UINT32_C(20240611)

static const char *const primary_fault_names[PRIMARY_FAULT_COUNT] = {
	"killed", "refusing", "cut from all", "cut from most", "cut from one", "slow",
};
static const char *const fault_names[FAULT_COUNT] = { "none", "kill", "pause", "lose" };
static const char *const second_fault_names[SECOND_FAULT_COUNT] = {
	"none", "store down", "store answers lost", "promoter paused", "region cut", "equal ranks",
};
static const char *const step_names[STEP_COUNT] = {
	"none",        "vote out",   "lease out",  "lease in",  "fence out",  "fence in",
	"promote out", "promote in", "record out", "record in", "follow out", "announce out",
};

struct totals {
	uint32_t runs;
	uint32_t with_promotion;
	uint32_t faults_injected;
	uint64_t max_ack_gap_us;
	uint64_t max_ack_after_promotion_us;
};

static void describe(char *out, size_t size, const struct sim_config *c)
{
	g_snprintf(out, size,
		   "seed %u, %u proxies, latency factor %u, primary %s, fault %s at %s, second "
		   "fault %s",
		   c->seed, c->proxy_count, c->latency_factor,
		   primary_fault_names[c->primary_fault], fault_names[c->fault],
		   step_names[c->step], second_fault_names[c->second_fault]);
}

/* Runs one configuration. Returns whether it kept the invariants. */
static bool run_one(const struct sim_config *c, uint64_t ack_gap_limit_us, struct totals *t)
{
	struct sim s;
	bool passed;
	char text[200];

	sim_init(&s, c);
	sim_run(&s);
	if (ack_gap_limit_us && s.max_ack_gap_us >= ack_gap_limit_us)
		sim_report_violation(&s, "gap of %lu ms",
				     (unsigned long)(s.max_ack_gap_us / PW_US_PER_MS));
	if ((c->primary_fault == PRIMARY_SLOW || c->primary_fault == PRIMARY_CUT_FROM_ONE) &&
	    c->second_fault != SECOND_REGION_CUT && s.promotions->len)
		sim_report_violation(&s, "a primary that answers was replaced");
	t->runs++;
	t->with_promotion += s.promotions->len > 0;
	t->faults_injected += s.fault_done;
	t->max_ack_gap_us = MAX(t->max_ack_gap_us, s.max_ack_gap_us);
	t->max_ack_after_promotion_us =
		MAX(t->max_ack_after_promotion_us, s.max_ack_after_promotion_us);
	passed = !s.violation[0];
	if (!passed && !c->unsafe.naive && !c->unsafe.any_log && !c->unsafe.no_confirm &&
	    !c->unsafe.no_majority) {
		describe(text, sizeof(text), c);
		fprintf(stderr, "%s: %s\n", text, s.violation);
	}
	sim_dispose(&s);
	return passed;
}

static struct sim_config make_config(uint32_t i, enum sim_primary_fault primary_fault,
				     enum sim_step step, enum sim_fault fault,
				     enum sim_second_fault second_fault)
{
	return (struct sim_config){
		.seed = BASE_SEED + i,
		.proxy_count = 3 + i % 7,
		.latency_factor = 1,
		.primary_fault = primary_fault,
		.step = step,
		.fault = fault,
		.second_fault = second_fault,
		.length_us = 8 * PW_US_PER_S,
	};
}

static const struct {
	enum sim_primary_fault primary_fault;
	uint32_t latency_factor;
	uint64_t ack_gap_limit_us;
} ack_gap_cases[] = {
	{ PRIMARY_KILLED, 1, 3 * PW_US_PER_S },
	{ PRIMARY_REFUSES, 1, 3 * PW_US_PER_S },
	{ PRIMARY_CUT_FROM_ALL, 1, 3 * PW_US_PER_S },
	{ PRIMARY_CUT_FROM_MOST, 1, 3 * PW_US_PER_S },
	{ PRIMARY_CUT_FROM_ONE, 1, 3 * PW_US_PER_S },
	{ PRIMARY_SLOW, 1, 3 * PW_US_PER_S },
	{ PRIMARY_KILLED, 10, 9 * PW_US_PER_S },
	{ PRIMARY_REFUSES, 10, 9 * PW_US_PER_S },
	{ PRIMARY_CUT_FROM_ALL, 10, 9 * PW_US_PER_S },
	{ PRIMARY_CUT_FROM_MOST, 10, 9 * PW_US_PER_S },
};

/*
 * Guards against a failover that takes too long, measured as the longest time without an
 * acknowledged write, and against the replacement of a primary that still answers.
 */
START_TEST(test_ack_gap)
{
	struct totals t = { 0 };
	uint32_t failed = 0;

	for (uint32_t i = 0; i < 14; i++) {
		struct sim_config c = make_config(i, ack_gap_cases[_i].primary_fault, STEP_NONE,
						  FAULT_NONE, SECOND_NONE);

		c.latency_factor = ack_gap_cases[_i].latency_factor;
		c.length_us = c.latency_factor > 1 ? 16 * PW_US_PER_S : c.length_us;
		failed += !run_one(&c, ack_gap_cases[_i].ack_gap_limit_us, &t);
	}
	printf("primary %s, latency factor %u: longest gap %lu ms in %u runs, %u with a "
	       "promotion\n",
	       primary_fault_names[ack_gap_cases[_i].primary_fault],
	       ack_gap_cases[_i].latency_factor, (unsigned long)(t.max_ack_gap_us / PW_US_PER_MS),
	       t.runs, t.with_promotion);
	ck_assert_uint_eq(failed, 0);
}
END_TEST

static const struct {
	enum sim_primary_fault primary_fault;
	enum sim_second_fault second_fault;
	uint64_t ack_gap_limit_us;
} fault_matrix_cases[] = {
	{ PRIMARY_KILLED, SECOND_NONE, 3 * PW_US_PER_S },
	{ PRIMARY_KILLED, SECOND_STORE_DOWN, 3 * PW_US_PER_S },
	{ PRIMARY_KILLED, SECOND_PAUSE, 9 * PW_US_PER_S },
	{ PRIMARY_KILLED, SECOND_EQUAL_RANKS, 3 * PW_US_PER_S },
	{ PRIMARY_KILLED, SECOND_STORE_LOSES_ANSWERS, 3 * PW_US_PER_S },
	{ PRIMARY_REFUSES, SECOND_NONE, 3 * PW_US_PER_S },
	{ PRIMARY_CUT_FROM_ALL, SECOND_NONE, 3 * PW_US_PER_S },
	{ PRIMARY_CUT_FROM_ALL, SECOND_STORE_DOWN, 3 * PW_US_PER_S },
	{ PRIMARY_CUT_FROM_ALL, SECOND_PAUSE, 9 * PW_US_PER_S },
	{ PRIMARY_CUT_FROM_ALL, SECOND_REGION_CUT, 9 * PW_US_PER_S },
	{ PRIMARY_CUT_FROM_ALL, SECOND_EQUAL_RANKS, 3 * PW_US_PER_S },
	{ PRIMARY_CUT_FROM_MOST, SECOND_NONE, 3 * PW_US_PER_S },
	{ PRIMARY_CUT_FROM_MOST, SECOND_STORE_DOWN, 3 * PW_US_PER_S },
	{ PRIMARY_CUT_FROM_MOST, SECOND_PAUSE, 9 * PW_US_PER_S },
	{ PRIMARY_CUT_FROM_MOST, SECOND_REGION_CUT, 9 * PW_US_PER_S },
	{ PRIMARY_CUT_FROM_MOST, SECOND_EQUAL_RANKS, 3 * PW_US_PER_S },
	{ PRIMARY_SLOW, SECOND_STORE_DOWN, 3 * PW_US_PER_S },
	{ PRIMARY_SLOW, SECOND_REGION_CUT, 9 * PW_US_PER_S },
	{ PRIMARY_KILLED, SECOND_REGION_CUT, 9 * PW_US_PER_S },
};

/*
 * Guards against lost writes, two primaries and a failover that does not finish when a promoter
 * fails during an attempt. Each kind of fault is injected into the first promoter at each step,
 * alone and together with a second fault.
 */
START_TEST(test_fault_matrix)
{
	struct totals t = { 0 };
	uint32_t failed = 0;

	for (uint32_t step = 1; step < STEP_COUNT; step++) {
		for (uint32_t fault = 1; fault < FAULT_COUNT; fault++) {
			struct sim_config c =
				make_config(step * FAULT_COUNT + fault + (uint32_t)_i * 64,
					    fault_matrix_cases[_i].primary_fault, step, fault,
					    fault_matrix_cases[_i].second_fault);

			failed += !run_one(&c, fault_matrix_cases[_i].ack_gap_limit_us, &t);
		}
	}
	printf("primary %s, second fault %s: %u runs, %u with a promotion, %u with a fault "
	       "injected, longest gap %lu ms, "
	       "latest acknowledgement %lu us after a promotion\n",
	       primary_fault_names[fault_matrix_cases[_i].primary_fault],
	       second_fault_names[fault_matrix_cases[_i].second_fault], t.runs, t.with_promotion,
	       t.faults_injected, (unsigned long)(t.max_ack_gap_us / PW_US_PER_MS),
	       (unsigned long)t.max_ack_after_promotion_us);
	ck_assert_uint_eq(failed, 0);
}
END_TEST

static const struct {
	const char *label;
	struct sim_unsafe unsafe;
} unsafe_cases[] = {
	{ "naive failover", { .naive = true } },
	{ "promotion without a fenced majority", { .no_majority = true } },
	{ "promotion regardless of the log", { .any_log = true } },
	{ "acknowledgement without confirmation", { .no_confirm = true } },
};

/* Guards against a simulation that misses violations: with a mechanism off it must find some. */
START_TEST(test_disabled_mechanism_is_detected)
{
	static const enum sim_primary_fault primary_faults[] = { PRIMARY_KILLED,
								 PRIMARY_CUT_FROM_ALL,
								 PRIMARY_CUT_FROM_MOST };
	struct totals t = { 0 };
	uint32_t violations = 0;

	for (uint32_t i = 0; i < 60; i++) {
		struct sim_config c =
			make_config(i, primary_faults[i % PW_ARRAY_LEN(primary_faults)], STEP_NONE,
				    FAULT_NONE, i % 2 ? SECOND_EQUAL_RANKS : SECOND_NONE);

		c.unsafe = unsafe_cases[_i].unsafe;
		violations += !run_one(&c, 0, &t);
	}
	printf("%s: %u of %u runs violate an invariant\n", unsafe_cases[_i].label, violations,
	       t.runs);
	ck_assert_uint_gt(violations, 0);
}
END_TEST

#define MS(n) ((n)*PW_US_PER_MS)

/* Returns whether `out` has an action of a kind; `server` receives the server of the first one. */
static bool has_action(const GArray *out, enum pw_failover_action_kind kind, uint32_t *server)
{
	for (guint i = 0; i < out->len; i++) {
		const struct pw_failover_action *a =
			&g_array_index(out, struct pw_failover_action, i);

		if (a->kind != kind)
			continue;
		if (server)
			*server = a->server;
		return true;
	}
	return false;
}

/*
 * Creates an instance that knows server 0 as the primary of term 1 and has `peer_count` peers; with
 * UINT32_MAX its peers are not set.
 */
static struct pw_failover *new_failover(uint32_t peer_count, GArray *out)
{
	static const uint64_t peers[] = { 1, 2, 3, 4, 5, 6, 7, 8 };
	struct pw_failover_options o = PW_FAILOVER_OPTIONS_INIT(SIM_SERVER_COUNT);
	struct pw_failover *f;

	ck_assert_int_eq(pw_failover_new(&f, &o), PW_OK);
	if (peer_count != UINT32_MAX)
		pw_failover_set_peers(f, peers, peer_count, 0);
	for (uint32_t i = 0; i < SIM_SERVER_COUNT; i++) {
		struct pw_server_status s = { .term = 1, .log_term = 1, .lsn = 10 };

		s.role = i ? PW_SERVER_REPLICA : PW_SERVER_PRIMARY;
		pw_failover_handle_status(f, i, &s, MS(100), MS(101), out);
		pw_failover_handle_health(f, i, PW_HEALTH_ALIVE, MS(101), out);
	}
	return f;
}

static const struct {
	const char *label;
	uint32_t peer_count; /* UINT32_MAX: the peers are not set */
	uint32_t vote_count;
	uint64_t vote_term;
	uint64_t vote_age_ms;
	bool suspects;          /* this VM suspects the primary */
	uint32_t replica_count; /* replicas that answer this VM */
	uint64_t silence_ms[2]; /* reported by the replicas */
	bool starts;
} start_condition_cases[] = {
	{ "majority of five VMs", 4, 2, 1, 0, true, 2, { 0 }, true },
	{ "two of five VMs", 4, 1, 1, 0, true, 2, { 0 }, false },
	{ "half of four VMs", 3, 1, 1, 0, true, 2, { 0 }, false },
	{ "all peers, but not this VM", 4, 4, 1, 0, false, 2, { 900, 900 }, false },
	{ "votes for another term", 4, 4, 2, 0, true, 2, { 0 }, false },
	{ "votes too old", 4, 4, 1, 1100, true, 2, { 0 }, false },
	{ "the only VM", 0, 0, 1, 0, true, 2, { 0 }, true },
	{ "the peers are not known yet", UINT32_MAX, 0, 1, 0, true, 2, { 0 }, false },
	{ "both replicas lost the primary", 4, 0, 1, 0, true, 2, { 801, 900 }, true },
	{ "one replica lost the primary", 4, 0, 1, 0, true, 2, { 800, 900 }, false },
	{ "one server of three answers", 4, 4, 1, 0, true, 1, { 900, 900 }, false },
	{ "no server answers", 4, 4, 1, 0, true, 0, { 900, 900 }, false },
};

/*
 * Guards against an attempt that starts with too few votes, and against one that cannot fence a
 * majority: it would leave servers at a term without a primary.
 */
START_TEST(test_start_conditions)
{
	GArray *out = sim_new_failover_actions();
	struct pw_failover *f = new_failover(start_condition_cases[_i].peer_count, out);
	uint64_t now_us = MS(3000);

	g_array_set_size(out, 0);
	for (uint64_t i = 0; i < start_condition_cases[_i].vote_count; i++) {
		struct pw_failover_vote v = {
			.peer = i + 1,
			.term = start_condition_cases[_i].vote_term,
			.suspects = true,
		};

		pw_failover_handle_vote(f, &v, now_us - MS(start_condition_cases[_i].vote_age_ms),
					out);
	}
	for (uint32_t i = 1; i <= start_condition_cases[_i].replica_count; i++) {
		struct pw_server_status s = { .term = 1, .log_term = 1, .lsn = 10 };

		s.primary_silence_ms = start_condition_cases[_i].silence_ms[i - 1];
		pw_failover_handle_status(f, i, &s, now_us - 1, now_us, out);
	}
	if (start_condition_cases[_i].suspects)
		pw_failover_handle_health(f, 0, PW_HEALTH_SUSPECT, now_us, out);
	pw_failover_tick(f, now_us + MS(20), 0, out);
	ck_assert_msg(has_action(out, PW_FAILOVER_ACQUIRE_LEASE, NULL) ==
			      start_condition_cases[_i].starts,
		      "case: %s", start_condition_cases[_i].label);
	ck_assert_int_eq(has_action(out, PW_FAILOVER_PUBLISH_VOTE, NULL),
			 start_condition_cases[_i].suspects);
	pw_failover_free(f);
	g_array_free(out, TRUE);
}
END_TEST

enum fence_answer {
	NO_FENCE_ANSWER,
	FENCED,
	REFUSED_SAME_TERM,
	REFUSED_HIGHER_TERM,
};

#define NO_SERVER UINT32_MAX

static const struct {
	const char *label;
	enum fence_answer answers[SIM_SERVER_COUNT];
	struct pw_position logs[SIM_SERVER_COUNT]; /* end of each server's log */
	uint32_t wait_ms;         /* time from the start of the attempt to the tick */
	uint32_t promoted_server; /* server that is promoted */
	bool aborts;
} fence_result_cases[] = {
	{ "one of three fenced", { 0, FENCED, 0 }, { { 0 } }, 20, NO_SERVER, false },
	{ "two of three fenced, the longer log is chosen",
	  { 0, FENCED, FENCED },
	  { { 0 }, { 1, 10 }, { 1, 11 } },
	  20,
	  2,
	  false },
	{ "two of three fenced, the higher log term is chosen",
	  { 0, FENCED, FENCED },
	  { { 0 }, { 2, 5 }, { 1, 900 } },
	  20,
	  1,
	  false },
	{ "equal logs, the current primary is kept",
	  { FENCED, FENCED, FENCED },
	  { { 1, 10 }, { 1, 10 }, { 1, 10 } },
	  20,
	  0,
	  false },
	{ "the third is alive and is waited for",
	  { FENCED, FENCED, 0 },
	  { { 1, 10 }, { 1, 12 }, { 0 } },
	  20,
	  NO_SERVER,
	  false },
	{ "the third is alive, but does not answer in time",
	  { FENCED, FENCED, 0 },
	  { { 1, 10 }, { 1, 12 }, { 0 } },
	  450,
	  1,
	  false },
	{ "one refusal leaves a majority",
	  { FENCED, REFUSED_SAME_TERM, FENCED },
	  { { 1, 10 }, { 0 }, { 1, 12 } },
	  20,
	  2,
	  false },
	{ "two refusals leave no majority",
	  { FENCED, REFUSED_SAME_TERM, REFUSED_SAME_TERM },
	  { { 1, 10 }, { 0 }, { 0 } },
	  20,
	  NO_SERVER,
	  true },
	{ "one server at a higher term",
	  { FENCED, REFUSED_HIGHER_TERM, 0 },
	  { { 1, 10 }, { 0 }, { 0 } },
	  20,
	  NO_SERVER,
	  true },
	{ "no majority in time", { 0, FENCED, 0 }, { { 0 } }, 1700, NO_SERVER, true },
};

/* Guards against a promotion without a fenced majority, or of a server with an incomplete log. */
START_TEST(test_fence_results)
{
	GArray *out = sim_new_failover_actions();
	struct pw_failover *f = new_failover(0, out);
	uint64_t now_us = MS(900);
	uint32_t promoted = NO_SERVER;

	for (uint32_t i = 1; i < SIM_SERVER_COUNT; i++) {
		struct pw_server_status s = { .term = 1, .log_term = 1, .lsn = 10 };

		pw_failover_handle_status(f, i, &s, now_us - 1, now_us, out);
	}
	pw_failover_handle_health(f, 0, PW_HEALTH_SUSPECT, now_us, out);
	pw_failover_handle_lease_result(f, 2, PW_FAILOVER_RESULT_OK, now_us, out);
	ck_assert(has_action(out, PW_FAILOVER_FENCE, NULL));
	g_array_set_size(out, 0);
	for (uint32_t i = 0; i < SIM_SERVER_COUNT; i++) {
		enum fence_answer answer = fence_result_cases[_i].answers[i];
		struct pw_server_status s = {
			.role = PW_SERVER_FENCED,
			.term = answer == REFUSED_HIGHER_TERM ? 3 : 2,
			.log_term = fence_result_cases[_i].logs[i].term,
			.lsn = fence_result_cases[_i].logs[i].lsn,
		};

		if (answer != NO_FENCE_ANSWER)
			pw_failover_handle_fence_result(f, i, 2,
							answer == FENCED
								? PW_FAILOVER_RESULT_OK
								: PW_FAILOVER_RESULT_REFUSED,
							&s, now_us + 1, out);
	}
	pw_failover_tick(f, now_us + MS(fence_result_cases[_i].wait_ms), 0, out);
	has_action(out, PW_FAILOVER_PROMOTE, &promoted);
	ck_assert_msg(promoted == fence_result_cases[_i].promoted_server, "case: %s: promotes %u",
		      fence_result_cases[_i].label, promoted);
	ck_assert_msg(has_action(out, PW_FAILOVER_FAILED, NULL) == fence_result_cases[_i].aborts,
		      "case: %s", fence_result_cases[_i].label);
	pw_failover_free(f);
	g_array_free(out, TRUE);
}
END_TEST

/* Server 0 is the primary, answers probes and is at LSN 10. There is one VM. */
static const struct {
	const char *label;
	bool leaving[SIM_SERVER_COUNT];
	uint64_t lsn[SIM_SERVER_COUNT];
	bool starts;
	uint32_t promoted_server; /* once all are fenced at these positions */
} leaving_cases[] = {
	{ "no server leaves", { false }, { 10, 10, 10 }, false, NO_SERVER },
	{ "a replica leaves", { false, true }, { 10, 10, 10 }, false, NO_SERVER },
	{ "the primary leaves", { true }, { 10, 10, 9 }, true, 1 },
	{ "replicas lag", { true }, { 10, 9, 9 }, false, NO_SERVER },
	{ "only a leaving replica has the whole log",
	  { true, true },
	  { 10, 10, 9 },
	  false,
	  NO_SERVER },
	{ "a leaving replica is not promoted", { true, true }, { 10, 10, 10 }, true, 2 },
};

/*
 * Guards against a leaving primary that is not replaced, a switchover that loses writes, and one to
 * a server that is leaving as well.
 */
START_TEST(test_leaving_primary)
{
	GArray *out = sim_new_failover_actions();
	struct pw_failover *f = new_failover(0, out);
	uint64_t now_us = MS(3000);
	uint32_t promoted = NO_SERVER;

	g_array_set_size(out, 0);
	for (uint32_t i = 0; i < SIM_SERVER_COUNT; i++) {
		struct pw_server_status s = { .term = 1, .log_term = 1 };

		s.role = i ? PW_SERVER_REPLICA : PW_SERVER_PRIMARY;
		s.lsn = leaving_cases[_i].lsn[i];
		pw_failover_set_leaving(f, i, leaving_cases[_i].leaving[i]);
		pw_failover_handle_status(f, i, &s, now_us - 1, now_us, out);
	}
	pw_failover_tick(f, now_us + MS(20), 0, out);
	ck_assert_msg(has_action(out, PW_FAILOVER_ACQUIRE_LEASE, NULL) == leaving_cases[_i].starts,
		      "case: %s", leaving_cases[_i].label);
	pw_failover_handle_lease_result(f, 2, PW_FAILOVER_RESULT_OK, now_us + MS(21), out);
	for (uint32_t i = 0; leaving_cases[_i].starts && i < SIM_SERVER_COUNT; i++) {
		struct pw_server_status s = { .role = PW_SERVER_FENCED, .term = 2, .log_term = 1 };

		s.lsn = leaving_cases[_i].lsn[i];
		pw_failover_handle_fence_result(f, i, 2, PW_FAILOVER_RESULT_OK, &s, now_us + MS(22),
						out);
	}
	has_action(out, PW_FAILOVER_PROMOTE, &promoted);
	ck_assert_msg(promoted == leaving_cases[_i].promoted_server, "case: %s: promotes %u",
		      leaving_cases[_i].label, promoted);
	pw_failover_free(f);
	g_array_free(out, TRUE);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("failover");

	tcase_add_loop_test(tc, test_leaving_primary, 0, PW_ARRAY_LEN(leaving_cases));
	tcase_add_loop_test(tc, test_start_conditions, 0, PW_ARRAY_LEN(start_condition_cases));
	tcase_add_loop_test(tc, test_fence_results, 0, PW_ARRAY_LEN(fence_result_cases));
	tcase_add_loop_test(tc, test_ack_gap, 0, PW_ARRAY_LEN(ack_gap_cases));
	tcase_add_loop_test(tc, test_fault_matrix, 0, PW_ARRAY_LEN(fault_matrix_cases));
	tcase_add_loop_test(tc, test_disabled_mechanism_is_detected, 0, PW_ARRAY_LEN(unsafe_cases));
	return pw_suite_run("failover", tc);
}
