/* Tests of the acknowledgement of writes. */
#include "suite.h"

#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/decide/confirm.h"

#define STEPS_MAX  8
#define WRITE_ID   UINT64_C(7)
#define WRITE_TERM UINT64_C(3)
#define WRITE_LSN  UINT64_C(100)
#define ANSWER_MS  10

enum outcome {
	NO_OUTCOME,
	ACKNOWLEDGED,
	UNKNOWN_TIMEOUT, /**< outcome unknown because of the timeout */
	UNKNOWN_TERM,    /**< outcome unknown because of a higher term */
};

/* A status row, or a tick if `term` is 0. A step with `at_ms` 0 ends the list. */
struct step {
	uint32_t server;
	uint64_t term, log_term, lsn;
	uint32_t sent_ms, at_ms;
};

static const struct {
	const char *label;
	uint32_t server_count;
	bool replicated;
	bool own_read; /* test-only option unsafe_count_own_read */
	struct step steps[STEPS_MAX];
	enum outcome outcome;
} outcome_cases[] = {
	{ "no probe yet", 3, false, false, { { 0 } }, NO_OUTCOME },
	{ "only the primary", 3, false, false, { { 0, 3, 3, 100, 11, 12 } }, NO_OUTCOME },
	{ "primary and replica",
	  3,
	  false,
	  false,
	  { { 0, 3, 3, 100, 11, 12 }, { 1, 3, 3, 90, 11, 13 } },
	  ACKNOWLEDGED },
	{ "two replicas",
	  3,
	  false,
	  false,
	  { { 1, 3, 3, 90, 11, 12 }, { 2, 3, 2, 80, 11, 13 } },
	  ACKNOWLEDGED },
	{ "the same server twice",
	  3,
	  false,
	  false,
	  { { 1, 3, 3, 90, 11, 12 }, { 1, 3, 3, 90, 13, 14 } },
	  NO_OUTCOME },
	{ "probe sent before the answer",
	  3,
	  false,
	  false,
	  { { 0, 3, 3, 100, 9, 12 }, { 1, 3, 3, 90, 9, 13 } },
	  NO_OUTCOME },
	{ "probe sent as the answer arrives",
	  3,
	  false,
	  false,
	  { { 0, 3, 3, 100, 10, 12 }, { 1, 3, 3, 90, 10, 13 } },
	  ACKNOWLEDGED },
	{ "replica of an older term",
	  3,
	  false,
	  false,
	  { { 0, 3, 3, 100, 11, 12 }, { 1, 2, 2, 90, 11, 13 } },
	  NO_OUTCOME },
	{ "one server at a higher term",
	  3,
	  false,
	  false,
	  { { 0, 3, 3, 100, 11, 12 }, { 1, 4, 3, 90, 11, 13 } },
	  UNKNOWN_TERM },
	{ "higher term, seen by a probe sent before the answer",
	  3,
	  false,
	  false,
	  { { 1, 4, 3, 90, 5, 13 }, { 0, 3, 3, 100, 11, 14 } },
	  UNKNOWN_TERM },
	{ "only the replica that was not fenced, the primary not probed",
	  3,
	  false,
	  false,
	  { { 1, 3, 3, 100, 11, 12 } },
	  NO_OUTCOME },
	{ "the read on the write's connection is counted: acknowledged too early",
	  3,
	  false,
	  true,
	  { { 1, 3, 3, 100, 11, 12 } },
	  ACKNOWLEDGED },
	{ "two of five servers",
	  5,
	  false,
	  false,
	  { { 0, 3, 3, 100, 11, 12 }, { 1, 3, 3, 90, 11, 13 } },
	  NO_OUTCOME },
	{ "two of four servers",
	  4,
	  false,
	  false,
	  { { 0, 3, 3, 100, 11, 12 }, { 1, 3, 3, 90, 11, 13 } },
	  NO_OUTCOME },
	{ "group of one server", 1, false, false, { { 0, 3, 3, 100, 11, 12 } }, ACKNOWLEDGED },
	{ "replicated: the replica lags",
	  3,
	  true,
	  false,
	  { { 0, 3, 3, 100, 11, 12 }, { 1, 3, 3, 99, 11, 13 } },
	  NO_OUTCOME },
	{ "replicated: the replica has caught up by the next probe",
	  3,
	  true,
	  false,
	  { { 0, 3, 3, 100, 11, 12 }, { 1, 3, 3, 99, 11, 13 }, { 1, 3, 3, 100, 14, 15 } },
	  ACKNOWLEDGED },
	{ "replicated: higher LSN in an older term's log",
	  3,
	  true,
	  false,
	  { { 0, 3, 3, 100, 11, 12 }, { 1, 3, 2, 500, 11, 13 } },
	  NO_OUTCOME },
	{ "no answer within 1 s", 3, false, false, { { .at_ms = 1010 } }, UNKNOWN_TIMEOUT },
	{ "no answer yet just before 1 s", 3, false, false, { { .at_ms = 1009 } }, NO_OUTCOME },
	{ "status rows that waited in sockets during a pause",
	  3,
	  false,
	  false,
	  { { 0, 3, 3, 100, 11, 5000 }, { 1, 3, 3, 100, 11, 5000 } },
	  UNKNOWN_TIMEOUT },
};

static uint64_t ms_to_us(uint32_t ms)
{
	return ms * PW_US_PER_MS;
}

static void read_outcome(const GArray *out, enum outcome *outcome)
{
	for (guint i = 0; i < out->len; i++) {
		const struct pw_confirm_action *a =
			&g_array_index(out, struct pw_confirm_action, i);

		if (a->kind == PW_CONFIRM_PROBE)
			continue;
		ck_assert_uint_eq(a->id, WRITE_ID);
		ck_assert_int_eq(*outcome, NO_OUTCOME);
		if (a->kind == PW_CONFIRM_ACKNOWLEDGE)
			*outcome = ACKNOWLEDGED;
		else
			*outcome = a->term_replaced ? UNKNOWN_TERM : UNKNOWN_TIMEOUT;
	}
}

/*
 * Guards against an acknowledgement before probes that were sent after the write's answer have
 * found a majority of the servers at the write's term.
 */
START_TEST(test_outcome)
{
	struct pw_confirm_options o = PW_CONFIRM_OPTIONS_INIT(outcome_cases[_i].server_count);
	struct pw_confirm_write w = {
		.id = WRITE_ID,
		.position = { WRITE_TERM, WRITE_LSN },
		.answered_us = ms_to_us(ANSWER_MS),
		.needs_replication = outcome_cases[_i].replicated,
	};
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct pw_confirm_action));
	enum outcome outcome = NO_OUTCOME;
	struct pw_confirm *c;

	o.unsafe_count_own_read = outcome_cases[_i].own_read;
	ck_assert_int_eq(pw_confirm_new(&c, &o), PW_OK);
	pw_confirm_add_write(c, &w, ms_to_us(ANSWER_MS), out);
	ck_assert_int_eq(g_array_index(out, struct pw_confirm_action, 0).kind, PW_CONFIRM_PROBE);
	for (const struct step *s = outcome_cases[_i].steps; s->at_ms; s++) {
		struct pw_server_status status = {
			.term = s->term,
			.log_term = s->log_term,
			.lsn = s->lsn,
		};

		if (s->term)
			pw_confirm_handle_status(c, s->server, &status, ms_to_us(s->sent_ms),
						 ms_to_us(s->at_ms), out);
		else
			pw_confirm_tick(c, ms_to_us(s->at_ms), out);
	}
	read_outcome(out, &outcome);
	ck_assert_msg(outcome == outcome_cases[_i].outcome, "case: %s: outcome %d",
		      outcome_cases[_i].label, (int)outcome);
	ck_assert(outcome == NO_OUTCOME || pw_confirm_next_tick_us(c) == UINT64_MAX);
	pw_confirm_free(c);
	g_array_free(out, TRUE);
}
END_TEST

/*
 * Guards against one probe per write, and against a write that is confirmed by a probe of other
 * writes that was sent before its own answer.
 */
START_TEST(test_writes_share_probes)
{
	struct pw_confirm_options o = PW_CONFIRM_OPTIONS_INIT(3);
	struct pw_server_status s = { .term = WRITE_TERM, .log_term = WRITE_TERM, .lsn = 500 };
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct pw_confirm_action));
	struct pw_confirm *c;
	uint32_t acknowledged = 0;

	ck_assert_int_eq(pw_confirm_new(&c, &o), PW_OK);
	for (uint32_t i = 0; i < 100; i++) {
		struct pw_confirm_write w = {
			.id = i,
			.position = { WRITE_TERM, i },
			.answered_us = ms_to_us(i + 1),
		};

		pw_confirm_add_write(c, &w, ms_to_us(i + 1), out);
	}
	g_array_set_size(out, 0);
	pw_confirm_handle_status(c, 0, &s, ms_to_us(50), ms_to_us(101), out);
	pw_confirm_handle_status(c, 2, &s, ms_to_us(50), ms_to_us(102), out);
	for (guint i = 0; i < out->len; i++) {
		const struct pw_confirm_action *a =
			&g_array_index(out, struct pw_confirm_action, i);

		ck_assert_int_eq(a->kind, PW_CONFIRM_ACKNOWLEDGE);
		ck_assert_uint_lt(a->id, 50);
		acknowledged++;
	}
	ck_assert_uint_eq(acknowledged, 50);
	g_array_set_size(out, 0);
	pw_confirm_tick(c, pw_confirm_next_tick_us(c), out);
	ck_assert_uint_eq(out->len, 1);
	ck_assert_int_eq(g_array_index(out, struct pw_confirm_action, 0).kind, PW_CONFIRM_PROBE);
	pw_confirm_free(c);
	g_array_free(out, TRUE);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("confirm");

	tcase_add_loop_test(tc, test_outcome, 0, PW_ARRAY_LEN(outcome_cases));
	tcase_add_test(tc, test_writes_share_probes);
	return pw_suite_run("confirm", tc);
}
