/*
 * Tests of the decision which operation of an account gets its next token: single decisions, and
 * what callers get while a burst of one kind of operation exceeds the rate, in virtual time.
 */
#include "suite.h"

#include <math.h>
#include <stdbool.h>
#include <stdio.h>

#include "pw/decide/admission.h"

#define MS UINT64_C(1000)

static const struct {
	const char *label;
	double level;
	double rate_per_s;
	bool contended;
	double urgent_demand_per_s;
	uint32_t ahead;
	bool urgent;
	uint64_t aim_us;
	enum pw_admission_verdict verdict; /* expected */
	uint64_t token_in_us;              /* expected if it waits */
} cases[] = {
	{ "a token is there", 1, 10, true, 0, 0, false, 2000 * MS, PW_ADMISSION_ADMIT, 0 },
	{ "the last tokens are kept for urgent operations", 1.5, 10, true, 4, 0, false, 2000 * MS,
	  PW_ADMISSION_WAIT, 166667 },
	{ "an urgent operation uses them", 1.5, 10, true, 4, 0, true, 500 * MS, PW_ADMISSION_ADMIT,
	  0 },
	{ "none are kept while the demand is within the rate", 1, 10, false, 4, 0, false, 2000 * MS,
	  PW_ADMISSION_ADMIT, 0 },
	{ "a full bucket has a token for a lesser one", 2.5, 10, true, 90, 0, false, 2000 * MS,
	  PW_ADMISSION_ADMIT, 0 },
	{ "it waits for its token", 0, 10, true, 0, 0, true, 500 * MS, PW_ADMISSION_WAIT, 100000 },
	{ "it waits behind others", 0, 10, true, 0, 1, true, 500 * MS, PW_ADMISSION_WAIT, 200000 },
	{ "too many wait", 0, 10, true, 0, 3, true, 500 * MS, PW_ADMISSION_REFUSE, 0 },
	{ "a short target leaves no time to wait", 0, 10, true, 0, 0, true, 150 * MS,
	  PW_ADMISSION_REFUSE, 0 },
	{ "urgent demand takes the whole rate", 0, 10, true, 12, 0, false, 2000 * MS,
	  PW_ADMISSION_REFUSE, 0 },
	{ "no share", 0, 0, true, 0, 0, true, 500 * MS, PW_ADMISSION_REFUSE, 0 },
};

START_TEST(test_decide)
{
	const struct pw_share share = { .rate_per_s = cases[_i].rate_per_s,
					.burst = 2.5,
					.contended = cases[_i].contended };
	const struct pw_admission_request r = { .priority = cases[_i].urgent ? 0 : 2,
						.urgent = cases[_i].urgent,
						.arrived_us = 1000 * MS,
						.aim_us = cases[_i].aim_us,
						.timeout_us = 1000 * MS };

	for (uint32_t i = 0; i <= 4; i++) {
		const struct pw_admission_view v = {
			.share = &share,
			.tokens = { .level = cases[_i].level, .last_refill_us = 1000 * MS },
			.urgent_demand_per_s = cases[_i].urgent_demand_per_s,
			.ahead = cases[_i].ahead,
			.random = i * (UINT32_MAX / 4),
		};
		struct pw_admission_decision d = pw_admission_decide(&v, &r, 1000 * MS);

		ck_assert_msg(d.verdict == cases[_i].verdict, "%s: %d", cases[_i].label, d.verdict);
		ck_assert_msg(d.token_in_us == cases[_i].token_in_us, "%s: %lu", cases[_i].label,
			      (unsigned long)d.token_in_us);
		if (d.verdict != PW_ADMISSION_REFUSE)
			continue;
		/* Two retries have to be possible before the target time, and not at once. */
		ck_assert_msg(d.retry_us >= 100 * MS, "%s", cases[_i].label);
		ck_assert_msg(d.retry_us <= fmax(cases[_i].aim_us / 2, 200 * MS), "%s",
			      cases[_i].label);
	}
}
END_TEST

static const struct {
	const char *label;
	struct pw_admission_request a, b;
	bool precedes;
} orders[] = {
	{ "a higher priority goes first",
	  { 0, true, 9, 900 * MS, 900 * MS },
	  { 1, false, 1, 100 * MS, 100 * MS },
	  true },
	{ "a lower priority goes last",
	  { 2, false, 1, 100 * MS, 100 * MS },
	  { 1, false, 9, 900 * MS, 900 * MS },
	  false },
	{ "the end of the wait counts",
	  { 1, false, 9, 100 * MS, 900 * MS },
	  { 1, false, 1, 500 * MS, 900 * MS },
	  true },
	{ "the arrival counts",
	  { 1, false, 1, 100 * MS, 900 * MS },
	  { 1, false, 9, 100 * MS, 900 * MS },
	  true },
};

START_TEST(test_order)
{
	ck_assert_msg(pw_admission_precedes(&orders[_i].a, &orders[_i].b) == orders[_i].precedes,
		      "%s", orders[_i].label);
}
END_TEST

/* A load of an account at one VM, whose share is below the demand of all kinds together. */
static const struct load {
	const char *label;
	double rate_per_s;
	double urgent_per_s;
	double lesser_per_s;
	double urgent_served_min; /* part of the urgent operations */
	double rate_used_min;     /* part of the rate that is used */
} loads[] = {
	{ "a burst of a lesser kind", 10, 2, 40, 0.97, 0.95 },
	{ "urgent demand near the rate", 10, 7, 30, 0.9, 0.93 },
	{ "a small share", 3, 0.5, 20, 0.9, 0.9 },
	{ "nothing is urgent", 10, 0, 40, 0, 0.97 },
};

#define STEP_US     (5 * MS)
#define LOAD_S      60
#define WAITING_MAX 256

static uint64_t random_state;

static double next_random(void)
{
	random_state = random_state * UINT64_C(6364136223846793005) + 1442695040888963407;
	return (double)(random_state >> 11) / (double)(UINT64_C(1) << 53);
}

struct vm {
	struct pw_share share;
	struct pw_share_bucket tokens;
	struct pw_demand urgent;
	struct pw_admission_request waiting[WAITING_MAX];
	uint32_t waiting_count;
	uint32_t served[2]; /* by `urgent` */
	uint32_t asked[2];
	uint32_t late;
};

static enum pw_admission_verdict decide(struct vm *vm, const struct pw_admission_request *r,
					uint32_t ahead, uint64_t now_us)
{
	const struct pw_admission_view v = {
		.share = &vm->share,
		.tokens = vm->tokens,
		.urgent_demand_per_s = pw_demand_per_s_at(&vm->urgent, now_us),
		.ahead = ahead,
	};
	enum pw_admission_verdict verdict = pw_admission_decide(&v, r, now_us).verdict;

	if (verdict == PW_ADMISSION_ADMIT &&
	    pw_share_bucket_take(&vm->tokens, &vm->share, now_us)) {
		vm->served[r->urgent]++;
		vm->late += now_us > pw_admission_wait_limit_us(r);
	}
	return verdict;
}

static void arrive(struct vm *vm, bool urgent, uint64_t now_us)
{
	const struct pw_admission_request r = { .priority = urgent ? 0 : 2,
						.urgent = urgent,
						.arrived_us = now_us,
						.aim_us = urgent ? 500 * MS : 2000 * MS,
						.timeout_us = 800 * MS };
	uint32_t ahead = 0;

	vm->asked[urgent]++;
	if (urgent)
		pw_demand_add_arrivals(&vm->urgent, 1, now_us);
	while (ahead < vm->waiting_count && pw_admission_precedes(&vm->waiting[ahead], &r))
		ahead++;
	if (decide(vm, &r, ahead, now_us) != PW_ADMISSION_WAIT)
		return;
	ck_assert_uint_lt(vm->waiting_count, WAITING_MAX);
	for (uint32_t i = vm->waiting_count++; i > ahead; i--)
		vm->waiting[i] = vm->waiting[i - 1];
	vm->waiting[ahead] = r;
}

static void serve_waiting(struct vm *vm, uint64_t now_us)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < vm->waiting_count; i++) {
		if (decide(vm, &vm->waiting[i], kept, now_us) == PW_ADMISSION_WAIT)
			vm->waiting[kept++] = vm->waiting[i];
	}
	vm->waiting_count = kept;
}

/*
 * Guards against urgent operations that are refused for the rate while lesser ones of their account
 * are served, against tokens that are kept for nobody, and against more than the rate.
 */
START_TEST(test_load)
{
	const struct load *l = &loads[_i];
	double total = l->rate_per_s * LOAD_S, served;
	struct vm vm = { .share = {
				 .rate_per_s = l->rate_per_s, .burst = 2.5, .contended = true } };

	random_state = (uint64_t)_i + 1;
	pw_share_bucket_init(&vm.tokens, &vm.share, 0);
	for (uint64_t now_us = 0; now_us < LOAD_S * 1000 * MS; now_us += STEP_US) {
		serve_waiting(&vm, now_us);
		if (next_random() < l->urgent_per_s * (double)STEP_US / 1e6)
			arrive(&vm, true, now_us);
		if (next_random() < l->lesser_per_s * (double)STEP_US / 1e6)
			arrive(&vm, false, now_us);
	}
	served = vm.served[0] + vm.served[1];
	ck_assert_msg(vm.served[1] >= l->urgent_served_min * vm.asked[1], "%s: %u of %u urgent",
		      l->label, vm.served[1], vm.asked[1]);
	ck_assert_msg(served >= l->rate_used_min * total, "%s: %f of %f", l->label, served, total);
	ck_assert_msg(served <= total + vm.share.burst, "%s: %f of %f", l->label, served, total);
	ck_assert_msg(!vm.late, "%s: %u late", l->label, vm.late);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("admission");

	tcase_add_loop_test(tc, test_decide, 0, PW_ARRAY_LEN(cases));
	tcase_add_loop_test(tc, test_order, 0, PW_ARRAY_LEN(orders));
	tcase_add_loop_test(tc, test_load, 0, PW_ARRAY_LEN(loads));
	return pw_suite_run("admission", tc);
}
