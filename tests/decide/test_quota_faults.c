/*
 * Tests of the quota module (decide/quota.h) on a simulated fleet in virtual time: every fault,
 * alone and together with a second one, at every step of a grant.
 */
#include "suite.h"

#include "fleet.h"

static void add_rate_resource(struct fleet *f, const char *id, uint64_t rate, uint64_t burst,
			      double load)
{
	struct pw_quota_spec s = {
		.kind = PW_QUOTA_RATE,
		.rate_per_s = rate,
		.burst_tokens = burst,
	};

	g_strlcpy(s.id, id, sizeof(s.id));
	fleet_add_resource(f, &s, load);
}

static void add_unit_resource(struct fleet *f, const char *id, uint32_t units, double load,
			      uint64_t hold_us)
{
	struct pw_quota_spec s = { .kind = PW_QUOTA_UNITS, .units = units };

	g_strlcpy(s.id, id, sizeof(s.id));
	fleet_add_resource(f, &s, load)->hold_us = hold_us;
}

static void set_weight(struct fleet *f, uint32_t resource, uint32_t node, double weight)
{
	f->nodes[node].weights[resource] = weight;
}

/* Step of a grant after which the faults start. */
enum grant_step {
	AT_ASK,
	AT_GRANT_SENT,
	AT_GRANT_RECEIVED,
	AT_ACK_RECEIVED,
	GRANT_STEP_COUNT,
};

static const enum fleet_fault second_faults[] = {
	FLEET_FAULT_NONE,
	FLEET_FAULT_STORE_DOWN,
	FLEET_FAULT_LONG_PAUSE,
	FLEET_FAULT_REGION_PARTITIONED,
};

struct grant_fault_run {
	enum fleet_fault first_fault, second_fault;
	enum grant_step step;
	uint64_t start_us;    /* when the load moves */
	uint64_t delay_us;    /* minimum time from then to the start of the faults */
	uint64_t injected_us; /* when the faults started; 0: not yet */
	struct fleet_step_counts before;
	bool started, faults_ended;
	bool spread_load_later; /* spread the load evenly when the first new epoch takes effect */
};

/* Moves the load to node 1, starts the faults at the step and ends them 3 s later. */
static void inject_at_grant_step(struct fleet *f, void *data)
{
	struct grant_fault_run *g = data;
	const uint64_t now[GRANT_STEP_COUNT] = { f->steps.asks, f->steps.grants,
						 f->steps.grants_received, f->steps.acks };
	const uint64_t before[GRANT_STEP_COUNT] = { g->before.asks, g->before.grants,
						    g->before.grants_received, g->before.acks };

	if (f->now_us < g->start_us)
		return;
	if (!g->started) {
		g->started = true;
		g->before = f->steps;
		/* Moving the load causes grants. */
		for (uint32_t k = 0; k < f->resource_count; k++) {
			set_weight(f, k, 0, 1);
			set_weight(f, k, 1, 30);
		}
		return;
	}
	if (g->spread_load_later && f->steps.max_effective_epoch > 1) {
		g->spread_load_later = false;
		for (uint32_t k = 0; k < f->resource_count; k++)
			set_weight(f, k, 1, 1);
	}
	if (!g->injected_us && f->now_us >= g->start_us + g->delay_us &&
	    now[g->step] > before[g->step]) {
		g->injected_us = f->now_us;
		fleet_inject_fault(f, g->first_fault, 0);
		fleet_inject_fault(f, g->second_fault, 1);
	}
	if (g->injected_us && !g->faults_ended && f->now_us >= g->injected_us + 3 * FLEET_S) {
		g->faults_ended = true;
		fleet_end_faults(f);
	}
}

static void run_grant_with_faults(struct fleet *f, struct grant_fault_run *g,
				  const struct fleet_options *o)
{
	fleet_init(f, o);
	add_rate_resource(f, "rate/alpha", 200, 100, 300);
	add_unit_resource(f, "slots/one", 3, 60, 30 * FLEET_MS);
	add_unit_resource(f, "connections/one", 20, 60, 800 * FLEET_MS);
	for (uint32_t k = 0; k < f->resource_count; k++)
		set_weight(f, k, 0, 30);
	fleet_start(f, FLEET_S);
	g->start_us = f->now_us + FLEET_S / 2;
	fleet_run(f, f->now_us + 9 * FLEET_S, inject_at_grant_step, g);
}

/*
 * Guards against more quota in use than the total, in tokens (invariant I7) or units, when one or
 * two faults start at any step of a grant: a grant could be added twice, or spent under two epochs.
 * Also guards against a fleet in which no majority holds the lease after the faults have ended.
 */
START_TEST(test_faults_at_each_step_of_a_grant)
{
	for (uint32_t second = 0; second < PW_ARRAY_LEN(second_faults); second++) {
		for (uint32_t step = 0; step < GRANT_STEP_COUNT; step++) {
			struct grant_fault_run g = {
				.first_fault = (enum fleet_fault)_i,
				.second_fault = second_faults[second],
				.step = (enum grant_step)step,
			};
			struct fleet_options o = {
				.seed = 1000 + (uint32_t)_i * 16 + second * 4 + step,
				.node_count = step % 2 ? 5 : 4, /* the store votes with 4 */
				.jitter_us = 3000,
				.loss_permille = 20,
				.duplicate_permille = 50,
			};
			struct fleet f;

			run_grant_with_faults(&f, &g, &o);
			ck_assert_msg(!f.violation[0], "%s with %s at step %u: %s",
				      fleet_fault_names[g.first_fault],
				      fleet_fault_names[g.second_fault], step, f.violation);
			ck_assert_msg(g.injected_us, "%s: step %u was not reached",
				      fleet_fault_names[g.first_fault], step);
			/* A majority holds the lease again after the faults. */
			ck_assert_msg(fleet_count_leases(&f) > o.node_count / 2,
				      "%s with %s at step %u: %u leases",
				      fleet_fault_names[g.first_fault],
				      fleet_fault_names[g.second_fault], step,
				      fleet_count_leases(&f));
			fleet_dispose(&f);
		}
	}
}
END_TEST

static const struct {
	const char *label;
	uint32_t member_unsafe, quota_unsafe;
	enum fleet_fault first_fault;
	const char *violation_prefix; /* of the expected text; NULL: no violation may occur */
} unsafe_cases[] = {
	{ "all mechanisms on", 0, 0, FLEET_FAULT_LOSSY_NETWORK, NULL },
	{ "grants counted twice", 0, PW_QUOTA_UNSAFE_COUNT_TWICE, FLEET_FAULT_LOSSY_NETWORK, "" },
	{ "units claimed early", 0, PW_QUOTA_UNSAFE_CLAIM_EARLY, FLEET_FAULT_RESTART,
	  "more units in use" },
	{ "no lease check", PW_MEMBER_UNSAFE_NO_LEASE_CHECK, 0, FLEET_FAULT_LONG_PAUSE,
	  "two epochs" },
};

/* Guards against checks that detect nothing: with a mechanism off they must find a violation. */
START_TEST(test_disabled_mechanism_is_detected)
{
	const char *expected_prefix = unsafe_cases[_i].violation_prefix;
	char first_violation[256] = "";
	uint32_t violations = 0, runs = 8;

	for (uint32_t s = 0; s < runs; s++) {
		struct grant_fault_run g = {
			.first_fault = unsafe_cases[_i].first_fault,
			.step = AT_GRANT_SENT,
			.delay_us = 2 * FLEET_S,
			.spread_load_later = true,
		};
		struct fleet_options o = {
			.seed = 5000 + s,
			.node_count = 5,
			.jitter_us = 3000,
			.loss_permille = 100,
			.duplicate_permille = 100,
			.member_unsafe = unsafe_cases[_i].member_unsafe,
			.quota_unsafe = unsafe_cases[_i].quota_unsafe,
		};
		struct fleet f;

		run_grant_with_faults(&f, &g, &o);
		if (f.violation[0]) {
			violations++;
			if (!first_violation[0])
				g_strlcpy(first_violation, f.violation, sizeof(first_violation));
		}
		fleet_dispose(&f);
	}
	printf("%-24s violation in %u of %u runs: %s\n", unsafe_cases[_i].label, violations, runs,
	       first_violation);
	if (!expected_prefix)
		ck_assert_msg(!violations, "%s: %s", unsafe_cases[_i].label, first_violation);
	else
		ck_assert_msg(violations && g_str_has_prefix(first_violation, expected_prefix),
			      "%s: found '%s'", unsafe_cases[_i].label, first_violation);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("quota_faults");

	tcase_add_loop_test(tc, test_disabled_mechanism_is_detected, 0, PW_ARRAY_LEN(unsafe_cases));
	tcase_add_loop_test(tc, test_faults_at_each_step_of_a_grant, 0, FLEET_FAULT_COUNT);
	return pw_suite_run("quota_faults", tc);
}
