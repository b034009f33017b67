/* Tests of the decision whether the messages of a server are the answers that are due. */
#include "suite.h"

#include <string.h>

#include "pw/decide/exchange.h"

#define STEPS_MAX 24

/*
 * Messages: T description, D row, C completion without a count, 0 to 3 completion with a count,
 * E error, X refusal, N other; I, B and F end the answer idle, in a transaction or failed; K is the
 * row with the token.
 * Expected: a part of an answer, e part of the echo, c confirmed, f foreign.
 */
static const struct {
	const char *label;
	uint32_t answer_count;
	const char *messages;
	const char *expected;
} cases[] = {
	{ "a read", 1, "TDD2ITKCI", "aaaaaeeec" },
	{ "a statement without rows", 1, "CBTKCB", "aaeeec" },
	{ "a read without rows", 1, "T0ITKCI", "aaaeeec" },
	{ "a write with a count", 1, "1ITKCI", "aaeeec" },
	{ "an error in a transaction", 1, "EFXF", "aaec" },
	{ "an error outside of one", 1, "EITKCI", "aaeeec" },
	{ "two answers", 2, "1ITDCITKCI", "aaaaaaeeec" },
	{ "the echo alone", 0, "TKCI", "eeec" },
	{ "a batch of two reads", 1, "TD1TDD2ITKCI", "aaaaaaaaeeec" },
	{ "an answer before the own one", 1, "TD1ITD", "aaaaef" },
	{ "an answer after the own one", 1, "CITD", "aaef" },
	{ "the end of an answer before", 1, "CICI", "aaf" },
	{ "an end alone before", 1, "ICI", "af" },
	{ "an end alone after", 1, "CII", "aaf" },
	{ "an earlier echo before", 1, "TDCITDCI", "aaaaef" },
	{ "rows alone before", 1, "D", "f" },
	{ "rows of another read added", 1, "TDDD2", "aaaaf" },
	{ "rows without a completion", 1, "TDI", "aaf" },
	{ "an end in another state", 1, "CBTKCI", "aaeeef" },
	{ "a failed answer before one in a transaction", 1, "EFCB", "aaf" },
	{ "an answer after the confirmation", 1, "CITKCIC", "aaeeecf" },
	{ "an end after the confirmation", 1, "CITKCII", "aaeeecf" },
};

static struct pw_exchange_message message(char c)
{
	struct pw_exchange_message m = { .kind = PW_EXCHANGE_OTHER };

	if (strchr("IBF", c))
		m = (struct pw_exchange_message){
			.kind = PW_EXCHANGE_END,
			.state = c == 'I'   ? PW_EXCHANGE_STATE_IDLE
				 : c == 'B' ? PW_EXCHANGE_STATE_IN_TRANSACTION
					    : PW_EXCHANGE_STATE_FAILED,
		};
	else if (strchr("DK", c))
		m = (struct pw_exchange_message){ .kind = PW_EXCHANGE_ROW, .has_token = c == 'K' };
	else if (strchr("EX", c))
		m = (struct pw_exchange_message){ .kind = PW_EXCHANGE_ERROR,
						  .is_refusal = c == 'X' };
	else if (strchr("C0123", c))
		m = (struct pw_exchange_message){ .kind = PW_EXCHANGE_COMPLETE,
						  .has_row_count = c != 'C',
						  .row_count = (uint64_t)(c - '0') };
	else if (c == 'T')
		m.kind = PW_EXCHANGE_DESCRIPTION;
	return m;
}

/* Guards against an answer that is taken for the answer to another statement. */
START_TEST(test_verdicts)
{
	static const char letters[] = { [PW_EXCHANGE_ANSWER] = 'a',
					[PW_EXCHANGE_ECHO] = 'e',
					[PW_EXCHANGE_CONFIRMED] = 'c',
					[PW_EXCHANGE_FOREIGN] = 'f' };
	char verdicts[STEPS_MAX + 1] = "";
	struct pw_exchange x = { 0 };

	pw_exchange_begin(&x, cases[_i].answer_count, true);
	for (size_t i = 0; i < strlen(cases[_i].messages); i++) {
		struct pw_exchange_message m = message(cases[_i].messages[i]);

		verdicts[i] = letters[pw_exchange_check(&x, &m)];
		if (verdicts[i] == 'f')
			break;
	}
	ck_assert_msg(strcmp(verdicts, cases[_i].expected) == 0, "%s: %s", cases[_i].label,
		      verdicts);
}
END_TEST

/* Guards against an exchange that begins in a failed transaction and accepts no ROLLBACK. */
START_TEST(test_state_of_next_exchange)
{
	static const char *const exchanges[] = { "EFXF", "CITKCI" };
	struct pw_exchange x = { 0 };

	for (size_t i = 0; i < PW_ARRAY_LEN(exchanges); i++) {
		enum pw_exchange_verdict verdict = PW_EXCHANGE_FOREIGN;

		pw_exchange_begin(&x, 1, true);
		for (const char *p = exchanges[i]; *p; p++) {
			struct pw_exchange_message m = message(*p);

			verdict = pw_exchange_check(&x, &m);
		}
		ck_assert_int_eq(verdict, PW_EXCHANGE_CONFIRMED);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("exchange");

	tcase_add_loop_test(tc, test_verdicts, 0, PW_ARRAY_LEN(cases));
	tcase_add_test(tc, test_state_of_next_exchange);
	return pw_suite_run("exchange", tc);
}
