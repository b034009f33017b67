/*
 * Tests of the memory budget of callers: its limits, the choice of the sessions to close, and a
 * simulation of crowds beside ordinary callers.
 */
#include "suite.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "pw/decide/memory.h"

#define KIB          UINT64_C(1024)
#define MIB          UINT64_C(1048576)
#define MEMORY_BYTES UINT64_C(160000000)

static struct pw_memory_budget new_budget(void)
{
	struct pw_memory_budget b;

	pw_memory_budget_init(&b, MEMORY_BYTES, 1);
	return b;
}

/* No caller inside the limits of the pages may meet a limit: 1 MiB messages, 3,500 sessions. */
START_TEST(test_calm)
{
	struct pw_memory_budget b = new_budget();

	b.used_bytes[PW_MEMORY_INPUT] = 8 * MIB;
	b.used_bytes[PW_MEMORY_OUTPUT] = 8 * MIB;
	b.used_bytes[PW_MEMORY_STATE] = UINT64_C(3500) * 2 * KIB;
	ck_assert(!pw_memory_is_over(&b));
	ck_assert(pw_memory_may_keep(&b, 0, MIB));
	ck_assert(pw_memory_may_handle(&b, 8 * MIB));
}
END_TEST

/* Guards against tasks that together take the memory of the process several times. */
START_TEST(test_tasks_share)
{
	struct pw_memory_budget one, four;

	pw_memory_budget_init(&one, MEMORY_BYTES, 1);
	pw_memory_budget_init(&four, MEMORY_BYTES, 4);
	ck_assert(one.total_limit_bytes < MEMORY_BYTES / 2);
	ck_assert(four.total_limit_bytes * 4 <= one.total_limit_bytes);
}
END_TEST

static const struct {
	const char *label;
	uint32_t used_percent; /* of the limit of state */
	uint64_t held_bytes, added_bytes;
	bool expected;
} keep_cases[] = {
	{ "first large value", 0, 0, MIB, true },
	{ "many large values of one session", 50, 10 * MIB, MIB, false },
	{ "large value, limit used up", 100, 0, MIB, false },
	{ "small value, limit used up", 100, 0, 100, true },
	{ "small value beside much of the same session", 100, MIB, 100, false },
};

/* Guards against sessions that keep state without limit, and against refusing small ones for it. */
START_TEST(test_keep)
{
	struct pw_memory_budget b = new_budget();

	b.used_bytes[PW_MEMORY_STATE] =
		b.limit_bytes[PW_MEMORY_STATE] * keep_cases[_i].used_percent / 100;
	ck_assert_msg(pw_memory_may_keep(&b, keep_cases[_i].held_bytes,
					 keep_cases[_i].added_bytes) == keep_cases[_i].expected,
		      "%s", keep_cases[_i].label);
}
END_TEST

/* Owners are named by one letter each. */
#define HOLDERS_MAX 6

static const struct {
	const char *label;
	enum pw_memory_class class;
	struct {
		char name;
		uint64_t kib;
		uint64_t idle_ms;
		bool is_in_flight;
	} holders[HOLDERS_MAX];
	uint64_t over_kib;    /* above the limit of the class */
	const char *expected; /* closed, in this order */
} choose_cases[] = {
	{ "inside the limit", PW_MEMORY_INPUT, { { 'a', 1024, 0, false } }, 0, "" },
	{ "largest first",
	  PW_MEMORY_INPUT,
	  { { 'a', 100, 0, false }, { 'b', 9000, 0, false }, { 'c', 200, 0, false } },
	  1,
	  "b" },
	{ "one without progress before a larger one",
	  PW_MEMORY_INPUT,
	  { { 'a', 9000, 0, false }, { 'b', 8000, 1500, false } },
	  1,
	  "b" },
	{ "one in flight only if no other is left",
	  PW_MEMORY_OUTPUT,
	  { { 'a', 9000, 0, true }, { 'b', 100, 0, false } },
	  1,
	  "ba" },
	{ "small ones last",
	  PW_MEMORY_STATE,
	  { { 'a', 10, 5000, false }, { 'b', 9000, 0, true } },
	  1,
	  "b" },
	{ "small one in flight behind other small ones",
	  PW_MEMORY_INPUT,
	  { { 'a', 12, 5000, true }, { 'b', 10, 0, false } },
	  1,
	  "ba" },
	{ "as many as needed",
	  PW_MEMORY_INPUT,
	  { { 'a', 1500, 0, false },
	    { 'b', 1500, 0, false },
	    { 'c', 1500, 0, false },
	    { 'd', 1499, 0, false },
	    { 'e', 1498, 0, false } },
	  1,
	  "abc" },
};

/* Guards against closing callers that hold little, or whose statement runs at a server. */
START_TEST(test_choose)
{
	enum pw_memory_class class = choose_cases[_i].class;
	struct pw_memory_budget b = new_budget();
	GArray *holders = g_array_new(FALSE, TRUE, sizeof(struct pw_memory_holder));
	GString *actual = g_string_new(NULL);
	uint32_t count;

	for (int i = 0; i < HOLDERS_MAX && choose_cases[_i].holders[i].name; i++) {
		struct pw_memory_holder h = {
			.owner = (void *)&choose_cases[_i].holders[i],
			.idle_us = choose_cases[_i].holders[i].idle_ms * 1000,
			.is_in_flight = choose_cases[_i].holders[i].is_in_flight,
		};

		h.bytes[class] = choose_cases[_i].holders[i].kib * KIB;
		g_array_append_val(holders, h);
	}
	b.used_bytes[class] = b.limit_bytes[class] + choose_cases[_i].over_kib * KIB;
	/* The excess to the low mark is an eighth of 32,000 kB or 22,400 kB. */
	count = pw_memory_choose(&b, holders);
	for (uint32_t i = 0; i < count; i++)
		g_string_append_c(
			actual,
			*(const char *)g_array_index(holders, struct pw_memory_holder, i).owner);
	ck_assert_msg(strcmp(actual->str, choose_cases[_i].expected) == 0, "%s: %s, not %s",
		      choose_cases[_i].label, actual->str, choose_cases[_i].expected);
	g_string_free(actual, TRUE);
	g_array_unref(holders);
}
END_TEST

/* Guards against closing holders of a class that is inside its limit once others are closed. */
START_TEST(test_choose_by_class)
{
	struct pw_memory_budget b = new_budget();
	GArray *holders = g_array_new(FALSE, TRUE, sizeof(struct pw_memory_holder));
	struct pw_memory_holder first = { .owner = "a", .bytes = { [PW_MEMORY_INPUT] = 6 * MIB } };
	struct pw_memory_holder kept = { .owner = "b", .bytes = { [PW_MEMORY_INPUT] = 5 * MIB } };
	struct pw_memory_holder second = { .owner = "c", .bytes = { [PW_MEMORY_STATE] = 4 * MIB } };

	g_array_append_val(holders, kept);
	g_array_append_val(holders, second);
	g_array_append_val(holders, first);
	b.total_limit_bytes = UINT64_MAX;
	b.used_bytes[PW_MEMORY_INPUT] = b.limit_bytes[PW_MEMORY_INPUT] + 1;
	b.used_bytes[PW_MEMORY_STATE] = b.limit_bytes[PW_MEMORY_STATE] + 1;
	ck_assert_uint_eq(pw_memory_choose(&b, holders), 2);
	ck_assert_str_eq(g_array_index(holders, struct pw_memory_holder, 0).owner, "a");
	ck_assert_str_eq(g_array_index(holders, struct pw_memory_holder, 1).owner, "c");
	g_array_unref(holders);
}
END_TEST

/* Callers of the simulation: a crowd, and ordinary ones that send and finish small messages. */
#define SIM_CALLERS_MAX    200
#define SIM_ORDINARY_COUNT 20
#define SIM_ORDINARY_BYTES (4 * KIB)
#define SIM_STEPS          4000
#define SIM_STEP_US        1000

static const struct crowd {
	const char *label;
	uint32_t caller_count;
	enum pw_memory_class class;
	uint64_t step_bytes; /* that each takes in a step */
	uint64_t max_bytes;  /* at which it stops */
} sim_cases[] = {
	{ "messages that stop before their end", 150, PW_MEMORY_INPUT, 16 * KIB, MIB - 2 },
	{ "slow messages", 150, PW_MEMORY_INPUT, 1 * KIB, MIB - 2 },
	{ "answers that are not read", 100, PW_MEMORY_OUTPUT, 16 * KIB, 100 * MIB },
	{ "values", 100, PW_MEMORY_STATE, 16 * KIB, 100 * MIB },
};

struct sim_caller {
	uint64_t bytes, last_progress_us;
	bool closed;
};

/* Whether the caller may take the bytes: state is refused, input and output are closed later. */
static bool may_take(const struct pw_memory_budget *b, const struct crowd *crowd,
		     const struct sim_caller *c)
{
	return c->bytes + crowd->step_bytes <= crowd->max_bytes &&
	       (crowd->class != PW_MEMORY_STATE ||
		pw_memory_may_keep(b, c->bytes, crowd->step_bytes));
}

/* Closes what the decision chooses. Returns the number of ordinary callers among them. */
static uint32_t relieve(struct pw_memory_budget *b, const struct crowd *crowd,
			struct sim_caller *callers, uint32_t count, uint64_t now_us)
{
	GArray *holders = g_array_new(FALSE, TRUE, sizeof(struct pw_memory_holder));
	uint32_t chosen, ordinary = 0;

	for (uint32_t i = 0; i < count; i++) {
		struct pw_memory_holder h = { .owner = &callers[i],
					      .idle_us = now_us - callers[i].last_progress_us };

		h.bytes[crowd->class] = callers[i].bytes;
		if (!callers[i].closed)
			g_array_append_val(holders, h);
	}
	chosen = pw_memory_choose(b, holders);
	for (uint32_t i = 0; i < chosen; i++) {
		struct sim_caller *c = g_array_index(holders, struct pw_memory_holder, i).owner;

		b->used_bytes[crowd->class] -= c->bytes;
		*c = (struct sim_caller){ .closed = true };
		ordinary += c - callers >= (long)(count - SIM_ORDINARY_COUNT);
	}
	g_array_unref(holders);
	return ordinary;
}

/* Guards against a crowd that takes more than the budget, or that costs ordinary callers theirs. */
START_TEST(test_crowd)
{
	const struct crowd *crowd = &sim_cases[_i];
	struct sim_caller callers[SIM_CALLERS_MAX] = { 0 };
	struct pw_memory_budget b = new_budget();
	uint32_t count = crowd->caller_count + SIM_ORDINARY_COUNT, ordinary_closed = 0;
	uint64_t peak_bytes = 0;

	for (uint32_t step = 0; step < SIM_STEPS; step++) {
		uint64_t now_us = (uint64_t)step * SIM_STEP_US;

		for (uint32_t i = 0; i < count; i++) {
			struct sim_caller *c = &callers[i];
			bool is_ordinary = i >= crowd->caller_count;

			if (is_ordinary) {
				/* A message that is done in the next step. */
				b.used_bytes[crowd->class] -= c->bytes;
				c->bytes = step % 2 ? SIM_ORDINARY_BYTES : 0;
				b.used_bytes[crowd->class] += c->bytes;
				c->last_progress_us = now_us;
			} else if (!c->closed && may_take(&b, crowd, c)) {
				c->bytes += crowd->step_bytes;
				b.used_bytes[crowd->class] += crowd->step_bytes;
				c->last_progress_us = now_us;
			}
			peak_bytes = MAX(peak_bytes, b.used_bytes[crowd->class]);
			if (pw_memory_is_over(&b))
				ordinary_closed += relieve(&b, crowd, callers, count, now_us);
		}
	}
	printf("%s: peak %.1f MB of %.1f MB\n", crowd->label, (double)peak_bytes / 1e6,
	       (double)b.limit_bytes[crowd->class] / 1e6);
	ck_assert_msg(peak_bytes <= b.limit_bytes[crowd->class] +
					    MAX(crowd->step_bytes, SIM_ORDINARY_BYTES),
		      "%s", crowd->label);
	ck_assert_msg(!ordinary_closed, "%s: %u ordinary callers closed", crowd->label,
		      ordinary_closed);
}
END_TEST

/* Guards against free memory that stays with the process after a crowd. */
START_TEST(test_trim)
{
	struct pw_memory_budget b = new_budget();

	b.used_bytes[PW_MEMORY_INPUT] = 20 * MIB;
	ck_assert(!pw_memory_should_trim(&b));
	b.used_bytes[PW_MEMORY_INPUT] = 1 * MIB;
	ck_assert(pw_memory_should_trim(&b));
	ck_assert(!pw_memory_should_trim(&b));
	b.used_bytes[PW_MEMORY_INPUT] = 3 * MIB;
	ck_assert(!pw_memory_should_trim(&b));
	b.used_bytes[PW_MEMORY_INPUT] = 0;
	ck_assert(!pw_memory_should_trim(&b));
}
END_TEST

/* Guards against sessions whose callers never take their answers. */
START_TEST(test_stalled_output)
{
	struct pw_memory_budget b = new_budget();

	b.used_bytes[PW_MEMORY_OUTPUT] = b.limit_bytes[PW_MEMORY_OUTPUT];
	ck_assert(!pw_memory_may_handle(&b, PW_MEMORY_OUTPUT_PAUSE_BYTES));
	ck_assert(pw_memory_may_handle(&b, PW_MEMORY_OUTPUT_PAUSE_BYTES - 1));
	ck_assert(!pw_memory_has_stalled_output(0, 10 * PW_MEMORY_OUTPUT_TIMEOUT_US));
	ck_assert(!pw_memory_has_stalled_output(1, PW_MEMORY_OUTPUT_TIMEOUT_US - 1));
	ck_assert(pw_memory_has_stalled_output(1, PW_MEMORY_OUTPUT_TIMEOUT_US));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("memory");

	tcase_add_test(tc, test_calm);
	tcase_add_test(tc, test_tasks_share);
	tcase_add_loop_test(tc, test_keep, 0, PW_ARRAY_LEN(keep_cases));
	tcase_add_loop_test(tc, test_choose, 0, PW_ARRAY_LEN(choose_cases));
	tcase_add_test(tc, test_choose_by_class);
	tcase_add_loop_test(tc, test_crowd, 0, PW_ARRAY_LEN(sim_cases));
	tcase_add_test(tc, test_trim);
	tcase_add_test(tc, test_stalled_output);
	return pw_suite_run("memory", tc);
}
