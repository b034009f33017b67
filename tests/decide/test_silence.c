/* Tests of the time since when a server has left a message unanswered. */
#include "suite.h"

#include "pw/decide/silence.h"

#define CONN_COUNT 2
#define STEPS_MAX  6

enum step_kind {
	END,
	SENT,      /* a message on the connection */
	RECEIVED,  /* bytes on the connection */
	CLOSED,    /* the connection ends, by the server or because it is not needed */
	ABANDONED, /* the connection is closed since an answer is overdue */
};

/* Step i happens at i + 1 seconds. */
static const struct {
	const char *label;
	struct {
		enum step_kind kind;
		uint32_t conn;
	} steps[STEPS_MAX];
	uint64_t since_s; /* expected; 0: nothing is unanswered */
} cases[] = {
	{ "nothing was sent", { { END } }, 0 },
	{ "a message", { { SENT, 0 } }, 1 },
	{ "the first of two messages", { { SENT, 0 }, { SENT, 0 } }, 1 },
	{ "the first of two connections", { { SENT, 1 }, { SENT, 0 } }, 1 },
	{ "an answer", { { SENT, 0 }, { RECEIVED, 0 } }, 0 },
	{ "bytes on another connection", { { SENT, 0 }, { RECEIVED, 1 } }, 0 },
	{ "a message after an answer", { { SENT, 0 }, { RECEIVED, 0 }, { SENT, 0 } }, 3 },
	{ "a further message after bytes elsewhere",
	  { { SENT, 0 }, { RECEIVED, 1 }, { SENT, 0 } },
	  3 },
	{ "the server has reset the connection", { { SENT, 0 }, { CLOSED, 0 } }, 0 },
	{ "one of two was reset", { { SENT, 0 }, { SENT, 1 }, { CLOSED, 0 } }, 2 },
	{ "given up", { { SENT, 0 }, { ABANDONED, 0 } }, 1 },
	{ "two given up", { { SENT, 0 }, { SENT, 1 }, { ABANDONED, 1 }, { ABANDONED, 0 } }, 1 },
	{ "given up, then bytes", { { SENT, 0 }, { ABANDONED, 0 }, { RECEIVED, 1 } }, 0 },
	{ "given up with nothing owed", { { SENT, 0 }, { RECEIVED, 1 }, { ABANDONED, 0 } }, 0 },
};

/* Guards against a server that counts as silent for a message that it cannot answer any more. */
START_TEST(test_since)
{
	struct pw_silence s = { 0 };
	uint64_t sent_us[CONN_COUNT] = { 0 }, since_us;

	for (uint32_t i = 0; i < STEPS_MAX && cases[_i].steps[i].kind != END; i++) {
		uint64_t now_us = (i + 1) * UINT64_C(1000000);
		uint64_t *conn = &sent_us[cases[_i].steps[i].conn];

		switch (cases[_i].steps[i].kind) {
		case SENT:
			pw_silence_record_sent(&s, conn, now_us);
			break;
		case RECEIVED:
			pw_silence_record_received(&s, now_us);
			break;
		case ABANDONED:
			pw_silence_record_abandoned(&s, *conn);
			*conn = 0;
			break;
		default:
			*conn = 0;
			break;
		}
	}
	since_us = s.abandoned_since_us;
	for (uint32_t i = 0; i < CONN_COUNT; i++)
		since_us = pw_silence_since_us(&s, since_us, sent_us[i]);
	ck_assert_msg(since_us == cases[_i].since_s * UINT64_C(1000000), "%s: %llu us",
		      cases[_i].label, (unsigned long long)since_us);
}
END_TEST

/* Guards against a message that is sent in the loop's turn in which bytes came, and is forgotten.
 */
START_TEST(test_same_time)
{
	struct pw_silence s = { 0 };
	uint64_t sent_us = 0;

	pw_silence_record_received(&s, 1000);
	pw_silence_record_sent(&s, &sent_us, 1000);
	ck_assert(pw_silence_owes(&s, sent_us));
	ck_assert_uint_eq(pw_silence_since_us(&s, 0, sent_us), 1000);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("silence");

	tcase_add_loop_test(tc, test_since, 0, PW_ARRAY_LEN(cases));
	tcase_add_test(tc, test_same_time);
	return pw_suite_run("silence", tc);
}
