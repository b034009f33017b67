/* Tests of the decision whether an answer belongs to the statement in flight. */
#include "suite.h"

#include <string.h>

#include "pw/decide/answer.h"

#define GIVEN_MAX 6

/* Answers in short: what ends them, their signature or error, state, position and rows. */
#define SIGNED(text, at)                                                                 \
	{                                                                                \
		.end = PW_ANSWER_END_SUCCESS, .signature = (text), .has_position = true, \
		.position = {                                                            \
			3,                                                               \
			(at)                                                             \
		}                                                                        \
	}
#define UNSIGNED(in, at)                                                                           \
	{                                                                                          \
		.end = PW_ANSWER_END_SUCCESS, .state = PW_ANSWER_STATE_##in, .has_position = true, \
		.position = {                                                                      \
			3,                                                                         \
			(at)                                                                       \
		}                                                                                  \
	}
#define REFUSED(text, at)                                                                        \
	{                                                                                        \
		.end = PW_ANSWER_END_ERROR, .error = (text), .has_position = true, .position = { \
			3,                                                                       \
			(at)                                                                     \
		}                                                                                \
	}
#define ROWS_ABOUT(subject, text, count, first, all)                                     \
	{                                                                                \
		.end = PW_ANSWER_END_SUCCESS, .signature = (text), .row_count = (count), \
		.first_row_hash = (first), .rows_hash = (all), .subject_hash = (subject) \
	}
#define ROWS(text, count, first, all) ROWS_ABOUT(0, text, count, first, all)
#define NO_END                                             \
	{                                                  \
		.has_position = true, .position = { 3, 1 } \
	}

static const struct {
	const char *label;
	struct {
		enum pw_answer_due due;
		struct pw_answer answer;
	} given[GIVEN_MAX];
	enum pw_answer_due due;
	struct pw_answer answer;
	enum pw_answer_verdict expected;
} cases[] = {
	{ "nothing is due", { { 0 } }, PW_ANSWER_DUE_NONE, SIGNED("a", 1), PW_ANSWER_FOREIGN },
	{ "a read", { { 0 } }, PW_ANSWER_DUE_READ, SIGNED("a", 1), PW_ANSWER_OWN },
	{ "a read without signature",
	  { { 0 } },
	  PW_ANSWER_DUE_READ,
	  UNSIGNED(IDLE, 1),
	  PW_ANSWER_FOREIGN },
	{ "a write without signature",
	  { { 0 } },
	  PW_ANSWER_DUE_WRITE,
	  UNSIGNED(IDLE, 1),
	  PW_ANSWER_FOREIGN },
	{ "a signature again",
	  { { PW_ANSWER_DUE_READ, SIGNED("a", 1) } },
	  PW_ANSWER_DUE_READ,
	  SIGNED("a", 1),
	  PW_ANSWER_FOREIGN },
	{ "a signature again, after others",
	  { { PW_ANSWER_DUE_READ, SIGNED("a", 1) },
	    { PW_ANSWER_DUE_WRITE, SIGNED("b", 2) },
	    { PW_ANSWER_DUE_READ, SIGNED("c", 2) } },
	  PW_ANSWER_DUE_WRITE,
	  SIGNED("a", 1),
	  PW_ANSWER_FOREIGN },
	{ "a new signature",
	  { { PW_ANSWER_DUE_READ, SIGNED("a", 1) } },
	  PW_ANSWER_DUE_READ,
	  SIGNED("b", 1),
	  PW_ANSWER_OWN },
	{ "a new signature at an earlier position",
	  { { PW_ANSWER_DUE_READ, SIGNED("a", 9) } },
	  PW_ANSWER_DUE_READ,
	  SIGNED("b", 1),
	  PW_ANSWER_OWN },
	{ "an error", { { 0 } }, PW_ANSWER_DUE_WRITE, REFUSED("busy", 1), PW_ANSWER_OWN },
	{ "an error again",
	  { { PW_ANSWER_DUE_READ, REFUSED("busy", 1) } },
	  PW_ANSWER_DUE_WRITE,
	  REFUSED("busy", 1),
	  PW_ANSWER_UNCERTAIN },
	{ "an error again for a read",
	  { { PW_ANSWER_DUE_WRITE, REFUSED("busy", 1) } },
	  PW_ANSWER_DUE_READ,
	  REFUSED("busy", 1),
	  PW_ANSWER_UNCERTAIN },
	{ "an error at another position",
	  { { PW_ANSWER_DUE_WRITE, REFUSED("busy", 1) } },
	  PW_ANSWER_DUE_WRITE,
	  REFUSED("busy", 2),
	  PW_ANSWER_OWN },
	{ "another error",
	  { { PW_ANSWER_DUE_WRITE, REFUSED("busy", 1) } },
	  PW_ANSWER_DUE_WRITE,
	  REFUSED("readonly", 1),
	  PW_ANSWER_OWN },
	{ "a begin", { { 0 } }, PW_ANSWER_DUE_BEGIN, UNSIGNED(IN_TRANSACTION, 1), PW_ANSWER_OWN },
	{ "a begin that does not begin",
	  { { 0 } },
	  PW_ANSWER_DUE_BEGIN,
	  UNSIGNED(IDLE, 1),
	  PW_ANSWER_FOREIGN },
	{ "a begin with a signature",
	  { { 0 } },
	  PW_ANSWER_DUE_BEGIN,
	  SIGNED("a", 1),
	  PW_ANSWER_FOREIGN },
	{ "a begin again",
	  { { PW_ANSWER_DUE_BEGIN, UNSIGNED(IN_TRANSACTION, 1) } },
	  PW_ANSWER_DUE_BEGIN,
	  UNSIGNED(IN_TRANSACTION, 1),
	  PW_ANSWER_UNCERTAIN },
	{ "a begin at a later position",
	  { { PW_ANSWER_DUE_BEGIN, UNSIGNED(IN_TRANSACTION, 1) } },
	  PW_ANSWER_DUE_BEGIN,
	  UNSIGNED(IN_TRANSACTION, 2),
	  PW_ANSWER_OWN },
	{ "the begin is refused again",
	  { { PW_ANSWER_DUE_BEGIN, REFUSED("behind", 1) } },
	  PW_ANSWER_DUE_BEGIN,
	  REFUSED("behind", 1),
	  PW_ANSWER_UNCERTAIN },
	{ "control", { { 0 } }, PW_ANSWER_DUE_CONTROL, UNSIGNED(IDLE, 1), PW_ANSWER_OWN },
	{ "a fence", { { 0 } }, PW_ANSWER_DUE_FENCE, UNSIGNED(IN_TRANSACTION, 1), PW_ANSWER_OWN },
	{ "control again, for a fence",
	  { { PW_ANSWER_DUE_CONTROL, UNSIGNED(IDLE, 1) } },
	  PW_ANSWER_DUE_FENCE,
	  UNSIGNED(IDLE, 1),
	  PW_ANSWER_FOREIGN },
	{ "an error behind a fence",
	  { { PW_ANSWER_DUE_CONTROL, UNSIGNED(IDLE, 1) },
	    { PW_ANSWER_DUE_CONTROL, UNSIGNED(IDLE, 1) },
	    { PW_ANSWER_DUE_FENCE, UNSIGNED(IN_TRANSACTION, 1) } },
	  PW_ANSWER_DUE_WRITE,
	  REFUSED("busy", 1),
	  PW_ANSWER_OWN },
	{ "an error behind copies of the answers to an earlier batch and its fence",
	  { { PW_ANSWER_DUE_CONTROL, UNSIGNED(IDLE, 1) },
	    { PW_ANSWER_DUE_FENCE, UNSIGNED(IN_TRANSACTION, 1) },
	    { PW_ANSWER_DUE_FENCE_END, UNSIGNED(IDLE, 1) },
	    { PW_ANSWER_DUE_CONTROL, UNSIGNED(IDLE, 1) },
	    { PW_ANSWER_DUE_FENCE, UNSIGNED(IN_TRANSACTION, 1) },
	    { PW_ANSWER_DUE_FENCE_END, UNSIGNED(IDLE, 1) } },
	  PW_ANSWER_DUE_WRITE,
	  REFUSED("busy", 1),
	  PW_ANSWER_UNCERTAIN },
	{ "an error behind a fence at a later position",
	  { { PW_ANSWER_DUE_CONTROL, UNSIGNED(IDLE, 1) },
	    { PW_ANSWER_DUE_FENCE, UNSIGNED(IN_TRANSACTION, 1) },
	    { PW_ANSWER_DUE_FENCE_END, UNSIGNED(IDLE, 1) },
	    { PW_ANSWER_DUE_CONTROL, UNSIGNED(IDLE, 1) },
	    { PW_ANSWER_DUE_FENCE, UNSIGNED(IN_TRANSACTION, 2) },
	    { PW_ANSWER_DUE_FENCE_END, UNSIGNED(IDLE, 2) } },
	  PW_ANSWER_DUE_WRITE,
	  REFUSED("busy", 2),
	  PW_ANSWER_OWN },
	{ "control with a signature",
	  { { 0 } },
	  PW_ANSWER_DUE_CONTROL,
	  SIGNED("a", 1),
	  PW_ANSWER_FOREIGN },
	{ "control in an earlier batch",
	  { { PW_ANSWER_DUE_CONTROL, UNSIGNED(IDLE, 1) } },
	  PW_ANSWER_DUE_CONTROL,
	  UNSIGNED(IDLE, 1),
	  PW_ANSWER_OWN },
	{ "an error behind control",
	  { { PW_ANSWER_DUE_CONTROL, UNSIGNED(IDLE, 1) } },
	  PW_ANSWER_DUE_WRITE,
	  REFUSED("busy", 1),
	  PW_ANSWER_OWN },
	{ "an error behind control that may have been a copy",
	  { { PW_ANSWER_DUE_CONTROL, UNSIGNED(IDLE, 1) },
	    { PW_ANSWER_DUE_CONTROL, UNSIGNED(IDLE, 1) } },
	  PW_ANSWER_DUE_WRITE,
	  REFUSED("busy", 1),
	  PW_ANSWER_UNCERTAIN },
	{ "an error behind a rollback that may have been a copy",
	  { { PW_ANSWER_DUE_CLEANUP, UNSIGNED(IDLE, 1) },
	    { PW_ANSWER_DUE_CLEANUP, UNSIGNED(IDLE, 1) } },
	  PW_ANSWER_DUE_READ,
	  REFUSED("busy", 1),
	  PW_ANSWER_UNCERTAIN },
	{ "an error after a certain answer",
	  { { PW_ANSWER_DUE_CONTROL, UNSIGNED(IDLE, 1) },
	    { PW_ANSWER_DUE_CONTROL, UNSIGNED(IDLE, 1) },
	    { PW_ANSWER_DUE_READ, SIGNED("a", 1) } },
	  PW_ANSWER_DUE_WRITE,
	  REFUSED("busy", 1),
	  PW_ANSWER_OWN },
	{ "control that fails the transaction",
	  { { 0 } },
	  PW_ANSWER_DUE_CONTROL,
	  UNSIGNED(FAILED, 1),
	  PW_ANSWER_FOREIGN },
	{ "clean-up after control",
	  { { PW_ANSWER_DUE_CONTROL, UNSIGNED(IDLE, 1) } },
	  PW_ANSWER_DUE_CLEANUP,
	  UNSIGNED(IDLE, 1),
	  PW_ANSWER_OWN },
	{ "clean-up with a signature",
	  { { 0 } },
	  PW_ANSWER_DUE_CLEANUP,
	  SIGNED("a", 1),
	  PW_ANSWER_FOREIGN },
	{ "the connection is accepted", { { 0 } }, PW_ANSWER_DUE_OPENING, NO_END, PW_ANSWER_OWN },
	{ "the connection is refused",
	  { { 0 } },
	  PW_ANSWER_DUE_OPENING,
	  REFUSED("limit", 1),
	  PW_ANSWER_OWN },
	{ "the acceptance again, for a write",
	  { { PW_ANSWER_DUE_OPENING, NO_END } },
	  PW_ANSWER_DUE_WRITE,
	  NO_END,
	  PW_ANSWER_FOREIGN },
	{ "the acceptance again, for a begin",
	  { { PW_ANSWER_DUE_OPENING, NO_END } },
	  PW_ANSWER_DUE_BEGIN,
	  NO_END,
	  PW_ANSWER_FOREIGN },
	{ "two ends",
	  { { 0 } },
	  PW_ANSWER_DUE_READ,
	  { .end = PW_ANSWER_END_SUCCESS, .signature = "a", .is_malformed = true },
	  PW_ANSWER_UNCERTAIN },
	{ "rows and an error",
	  { { 0 } },
	  PW_ANSWER_DUE_READ,
	  { .end = PW_ANSWER_END_ERROR, .error = "busy", .row_count = 1 },
	  PW_ANSWER_UNCERTAIN },
	{ "rows and a begin",
	  { { 0 } },
	  PW_ANSWER_DUE_BEGIN,
	  { .end = PW_ANSWER_END_SUCCESS, .state = PW_ANSWER_STATE_IN_TRANSACTION, .row_count = 1 },
	  PW_ANSWER_UNCERTAIN },
	{ "rows without an end",
	  { { 0 } },
	  PW_ANSWER_DUE_READ,
	  { .row_count = 1 },
	  PW_ANSWER_UNCERTAIN },
	{ "one row, as before",
	  { { PW_ANSWER_DUE_READ, ROWS("a", 1, 7, 7) } },
	  PW_ANSWER_DUE_READ,
	  ROWS("b", 1, 7, 7),
	  PW_ANSWER_OWN },
	{ "two rows, as before",
	  { { PW_ANSWER_DUE_READ, ROWS("a", 2, 7, 8) } },
	  PW_ANSWER_DUE_READ,
	  ROWS("b", 2, 7, 8),
	  PW_ANSWER_OWN },
	{ "the row of an earlier answer, then another",
	  { { PW_ANSWER_DUE_READ, ROWS("a", 1, 7, 7) } },
	  PW_ANSWER_DUE_READ,
	  ROWS("b", 2, 7, 8),
	  PW_ANSWER_UNCERTAIN },
	{ "the row of an answer about something else",
	  { { PW_ANSWER_DUE_READ, ROWS_ABOUT(1, "a", 1, 7, 7) } },
	  PW_ANSWER_DUE_READ,
	  ROWS_ABOUT(2, "b", 1, 7, 7),
	  PW_ANSWER_UNCERTAIN },
	{ "the row of a dropped copy, then that of an answer about the same",
	  { { PW_ANSWER_DUE_READ, ROWS_ABOUT(1, "a", 1, 7, 7) },
	    { PW_ANSWER_DUE_WRITE, ROWS_ABOUT(2, "a", 1, 7, 7) } },
	  PW_ANSWER_DUE_READ,
	  ROWS_ABOUT(1, "b", 1, 7, 7),
	  PW_ANSWER_OWN },
	{ "another row than before",
	  { { PW_ANSWER_DUE_READ, ROWS_ABOUT(1, "a", 1, 7, 7) } },
	  PW_ANSWER_DUE_READ,
	  ROWS_ABOUT(1, "b", 1, 8, 8),
	  PW_ANSWER_OWN },
	{ "the row of an earlier answer for a write",
	  { { PW_ANSWER_DUE_READ, ROWS("a", 1, 7, 7) } },
	  PW_ANSWER_DUE_WRITE,
	  ROWS("b", 1, 7, 7),
	  PW_ANSWER_UNCERTAIN },
};

static enum pw_answer_verdict give(struct pw_answer_history *h, enum pw_answer_due due,
				   const struct pw_answer *answer)
{
	enum pw_answer_verdict verdict = pw_answer_check(h, due, answer);

	pw_answer_record(h, due, answer, verdict);
	pw_answer_end_batch(h);
	return verdict;
}

/* Guards against an answer of an earlier statement that is taken for that of the one in flight. */
START_TEST(test_check)
{
	struct pw_answer_history *h = pw_answer_history_new();
	enum pw_answer_verdict verdict;

	for (uint32_t i = 0; i < GIVEN_MAX && cases[_i].given[i].due; i++)
		give(h, cases[_i].given[i].due, &cases[_i].given[i].answer);
	verdict = pw_answer_check(h, cases[_i].due, &cases[_i].answer);
	ck_assert_msg(verdict == cases[_i].expected, "%s: %s", cases[_i].label,
		      pw_answer_verdict_name(verdict));
	pw_answer_history_free(h);
}
END_TEST

/* Guards against equal answers to the statements of one batch that count as copies. */
START_TEST(test_batch)
{
	static const struct pw_answer done = UNSIGNED(IDLE, 1), busy = REFUSED("busy", 1);
	struct pw_answer_history *h = pw_answer_history_new();

	for (uint32_t i = 0; i < 3; i++)
		pw_answer_record(h, PW_ANSWER_DUE_CONTROL, &done, PW_ANSWER_OWN);
	pw_answer_end_batch(h);
	ck_assert_int_eq(pw_answer_check(h, PW_ANSWER_DUE_WRITE, &busy), PW_ANSWER_OWN);
	pw_answer_history_free(h);
}
END_TEST

static const struct {
	const char *label;
	enum pw_answer_due given_due;
	struct pw_answer given;
	enum pw_unsigned_answer kind;
	uint64_t at;
	bool expected;
} distinct_cases[] = {
	{ "nothing given", PW_ANSWER_DUE_READ, SIGNED("a", 5), PW_UNSIGNED_ANSWER_ERROR, 5, true },
	{ "an error at this position", PW_ANSWER_DUE_READ, REFUSED("busy", 5),
	  PW_UNSIGNED_ANSWER_ERROR, 5, false },
	{ "an error before it", PW_ANSWER_DUE_READ, REFUSED("busy", 4), PW_UNSIGNED_ANSWER_ERROR, 5,
	  true },
	{ "an error, then a begin", PW_ANSWER_DUE_READ, REFUSED("busy", 5),
	  PW_UNSIGNED_ANSWER_BEGIN, 5, true },
	{ "a begin at this position", PW_ANSWER_DUE_BEGIN, UNSIGNED(IN_TRANSACTION, 5),
	  PW_UNSIGNED_ANSWER_BEGIN, 5, false },
	{ "control at this position", PW_ANSWER_DUE_CONTROL, UNSIGNED(IDLE, 5),
	  PW_UNSIGNED_ANSWER_CONTROL, 5, false },
};

/* Guards against work on a connection whose next refusal could not be told from an earlier one. */
START_TEST(test_distinct)
{
	const struct pw_position at = { 3, distinct_cases[_i].at };
	struct pw_answer_history *h = pw_answer_history_new();

	(void)give(h, distinct_cases[_i].given_due, &distinct_cases[_i].given);
	ck_assert_msg(pw_answer_is_distinct_at(h, distinct_cases[_i].kind, &at) ==
			      distinct_cases[_i].expected,
		      "%s", distinct_cases[_i].label);
	pw_answer_history_free(h);
}
END_TEST

#define MODEL_SEEDS      2000
#define MODEL_STATEMENTS 40
#define MODEL_COPY_ODDS  3 /* one answer in so many is preceded by a copy of an earlier one */
#define MODEL_ROWS_ODDS  6 /* one answer in so many is preceded by rows of an earlier one */
#define MODEL_SUBJECTS   4

/* A server that answers in order, and sends copies of earlier answers at any time. */
struct model {
	GRand *rand;
	struct pw_answer answers[MODEL_STATEMENTS]; /* to each statement that was sent */
	char signatures[MODEL_STATEMENTS][8];
	uint32_t sent_count;
	uint32_t answered_count; /* the first copies of these have left */
	uint64_t position;
};

/* Makes the server's own answer to the next statement. */
static void answer_next(struct model *m, enum pw_answer_due due)
{
	struct pw_answer *a = &m->answers[m->sent_count];
	char *signature = m->signatures[m->sent_count];
	bool is_refused = g_rand_int_range(m->rand, 0, 3) == 0;

	m->position += g_rand_int_range(m->rand, 0, 4) == 0;
	*a = (struct pw_answer){ .has_position = true, .position = { 3, m->position } };
	a->end = is_refused ? PW_ANSWER_END_ERROR : PW_ANSWER_END_SUCCESS;
	a->error = is_refused ? "busy" : NULL;
	if (!is_refused && due == PW_ANSWER_DUE_BEGIN)
		a->state = PW_ANSWER_STATE_IN_TRANSACTION;
	if (!is_refused && (due == PW_ANSWER_DUE_READ || due == PW_ANSWER_DUE_WRITE)) {
		g_snprintf(signature, sizeof(m->signatures[0]), "%u", m->sent_count);
		a->signature = signature;
	}
	if (due == PW_ANSWER_DUE_READ)
		a->subject_hash = (uint32_t)g_rand_int_range(m->rand, 0, MODEL_SUBJECTS);
	/* There is nothing about the first subject. */
	if (!is_refused && a->subject_hash)
		pw_answer_add_row(a, a->subject_hash);
	m->sent_count++;
}

/* Returns the number of the answer that arrives next: the next own one, or a copy of one before. */
static uint32_t next_answer(struct model *m)
{
	bool is_copy = m->answered_count && g_rand_int_range(m->rand, 0, MODEL_COPY_ODDS) == 0;

	if (is_copy || m->answered_count == m->sent_count)
		return (uint32_t)g_rand_int_range(m->rand, 0, (gint32)m->answered_count);
	return m->answered_count++;
}

/*
 * Makes the answer as it arrives: that of statement `i`, perhaps behind the rows of an earlier one.
 * Returns whether it has such rows.
 */
static bool receive_answer(struct model *m, struct pw_answer *a, uint32_t i, uint32_t subject_hash)
{
	const struct pw_answer *copy;
	uint32_t row_count = m->answers[i].row_count;
	bool has_copied_rows = false;

	*a = m->answers[i];
	if (m->answered_count > 1 && g_rand_int_range(m->rand, 0, MODEL_ROWS_ODDS) == 0) {
		copy = &m->answers[g_rand_int_range(m->rand, 0, (gint32)m->answered_count - 1)];
		has_copied_rows = copy->row_count > 0;
		if (has_copied_rows) {
			a->row_count = 0;
			a->rows_hash = 0;
			pw_answer_add_row(a, copy->first_row_hash);
			if (row_count)
				pw_answer_add_row(a, m->answers[i].first_row_hash);
		}
	}
	a->subject_hash = subject_hash;
	return has_copied_rows;
}

/*
 * Runs a statement on the connection. A foreign answer to a write is left out, and its own is
 * waited for; any other answer that is not its own ends the connection. Returns whether it goes on.
 * Only for a control or clean-up statement may the answer of another one be taken.
 */
static bool run_statement(struct model *m, struct pw_answer_history *h, enum pw_answer_due due)
{
	uint32_t own = m->sent_count;

	answer_next(m, due);
	for (;;) {
		uint32_t i = next_answer(m);
		struct pw_answer a;
		bool has_copied_rows = receive_answer(m, &a, i, m->answers[own].subject_hash);
		enum pw_answer_verdict verdict = give(h, due, &a);

		ck_assert_msg(verdict != PW_ANSWER_OWN || (i == own && !has_copied_rows) ||
				      due == PW_ANSWER_DUE_CONTROL || due == PW_ANSWER_DUE_CLEANUP,
			      "statement %u (%s) got answer %u", own, pw_answer_due_name(due), i);
		ck_assert_msg(verdict != PW_ANSWER_FOREIGN || i != own || has_copied_rows,
			      "statement %u (%s): its own answer is foreign", own,
			      pw_answer_due_name(due));
		if (verdict == PW_ANSWER_OWN)
			return true;
		if (verdict == PW_ANSWER_UNCERTAIN || due != PW_ANSWER_DUE_WRITE)
			return false;
	}
}

/* Guards the rule: whatever copies come and when, no statement gets the answer of another one. */
START_TEST(test_copies_at_any_time)
{
	static const enum pw_answer_due kinds[] = { PW_ANSWER_DUE_READ, PW_ANSWER_DUE_WRITE,
						    PW_ANSWER_DUE_BEGIN, PW_ANSWER_DUE_CONTROL,
						    PW_ANSWER_DUE_CLEANUP };

	for (uint32_t seed = 0; seed < MODEL_SEEDS; seed++) {
		struct model m = { .rand = g_rand_new_with_seed(seed) };
		struct pw_answer_history *h = pw_answer_history_new();

		while (m.sent_count < MODEL_STATEMENTS &&
		       run_statement(&m, h,
				     kinds[g_rand_int_range(m.rand, 0, PW_ARRAY_LEN(kinds))]))
			;
		pw_answer_history_free(h);
		g_rand_free(m.rand);
	}
}
END_TEST

/* Guards against a connection that is used after it has forgotten an answer. */
START_TEST(test_full)
{
	struct pw_answer_history *h = pw_answer_history_new();
	uint32_t count = 0;

	while (!pw_answer_history_is_full(h) && count <= PW_ANSWERS_MAX) {
		char *signature = g_strdup_printf("%u", count++);
		const struct pw_answer a = { .end = PW_ANSWER_END_SUCCESS, .signature = signature };

		(void)give(h, PW_ANSWER_DUE_READ, &a);
		g_free(signature);
	}
	ck_assert_uint_eq(count, PW_ANSWERS_MAX);
	ck_assert_uint_eq(pw_answer_history_count(h), PW_ANSWERS_MAX);
	pw_answer_history_free(h);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("answer");

	tcase_add_loop_test(tc, test_check, 0, PW_ARRAY_LEN(cases));
	tcase_add_test(tc, test_batch);
	tcase_add_loop_test(tc, test_distinct, 0, PW_ARRAY_LEN(distinct_cases));
	tcase_add_test(tc, test_copies_at_any_time);
	tcase_add_test(tc, test_full);
	return pw_suite_run("answer", tc);
}
