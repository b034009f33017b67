/* Tests of the health of a server. */
#include "suite.h"

#include "pw/core/clock.h"
#include "pw/decide/health.h"

#define STEPS_MAX 16

enum event {
	END,
	SENT,
	ANSWER,
	FAILURE,
	TICK,
	SILENCE, /* ticks every 50 ms from the last event up to this time, a probe every 200 ms */
};

struct step {
	enum event event;
	uint32_t at_ms;
	enum pw_health_state state; /* after the event */
};

#define U PW_HEALTH_UNKNOWN
#define A PW_HEALTH_ALIVE
#define S PW_HEALTH_SUSPECT
#define D PW_HEALTH_DEAD

static const struct {
	const char *label;
	struct step steps[STEPS_MAX];
} cases[] = {
	{ "suspect after 800 ms without an answer",
	  { { ANSWER, 10, A }, { SILENCE, 750, A }, { SILENCE, 900, S } } },
	{ "a late answer counts",
	  { { ANSWER, 10, A }, { SILENCE, 700, A }, { ANSWER, 750, A }, { SILENCE, 1500, A } } },
	{ "slow answers, each after 700 ms",
	  { { SENT, 100, U },
	    { ANSWER, 800, A },
	    { SENT, 800, A },
	    { SILENCE, 1500, A },
	    { ANSWER, 1500, A },
	    { SENT, 1500, A },
	    { SILENCE, 2200, A },
	    { ANSWER, 2200, A } } },
	{ "alive again after an answer",
	  { { ANSWER, 10, A }, { SILENCE, 1200, S }, { ANSWER, 1210, A } } },
	{ "dead after 5 s as suspect",
	  { { ANSWER, 10, A }, { SILENCE, 5700, S }, { SILENCE, 5900, D } } },
	{ "never answered", { { SILENCE, 700, U }, { SILENCE, 900, S } } },
	{ "one refused connection is not enough", { { ANSWER, 10, A }, { FAILURE, 100, A } } },
	{ "two refusals within 200 ms count as one",
	  { { ANSWER, 10, A }, { FAILURE, 100, A }, { FAILURE, 299, A } } },
	{ "two refusals 200 ms apart",
	  { { ANSWER, 10, A }, { FAILURE, 100, A }, { FAILURE, 300, S } } },
	{ "an answer between two refusals",
	  { { ANSWER, 10, A }, { FAILURE, 100, A }, { ANSWER, 200, A }, { FAILURE, 320, A } } },
	{ "a pause of this process does not count as silence of the server",
	  { { ANSWER, 10, A },
	    { SENT, 20, A },
	    { TICK, 40, A },
	    { TICK, 9000, A },
	    { TICK, 9050, A },
	    { ANSWER, 9060, A } } },
	{ "a pause between two refusals",
	  { { ANSWER, 10, A },
	    { FAILURE, 100, A },
	    { TICK, 110, A },
	    { TICK, 5000, A },
	    { FAILURE, 5010, A } } },
	{ "silence after a pause counts from its end",
	  { { ANSWER, 10, A },
	    { SENT, 20, A },
	    { TICK, 40, A },
	    { TICK, 9000, A },
	    { SILENCE, 9700, A },
	    { SILENCE, 9900, S } } },
};

static uint64_t ms_to_us(uint32_t ms)
{
	return ms * PW_US_PER_MS;
}

static void run_silence(struct pw_health *h, uint32_t from_ms, uint32_t to_ms)
{
	for (uint32_t ms = from_ms; ms <= to_ms; ms += 50) {
		if (ms % 200 < 50)
			pw_health_record_probe(h, ms_to_us(ms));
		pw_health_tick(h, ms_to_us(ms));
	}
}

/* Guards against a slow server that becomes suspect, and against a failed one that does not. */
START_TEST(test_states)
{
	struct pw_health_options o = PW_HEALTH_OPTIONS_INIT;
	struct pw_health h;
	uint32_t last_ms = 1;

	pw_health_init(&h, &o, ms_to_us(last_ms));
	for (const struct step *s = cases[_i].steps; s->event != END; s++) {
		enum pw_health_state before = h.state;
		uint32_t actions = 0;

		switch (s->event) {
		case SENT:
			pw_health_record_probe(&h, ms_to_us(s->at_ms));
			break;
		case ANSWER:
			actions = pw_health_record_answer(&h, ms_to_us(s->at_ms));
			ck_assert_int_eq(!!(actions & PW_HEALTH_CHANGED), before != h.state);
			break;
		case FAILURE:
			pw_health_record_failure(&h, ms_to_us(s->at_ms));
			break;
		case TICK:
			pw_health_tick(&h, ms_to_us(s->at_ms));
			break;
		default:
			run_silence(&h, last_ms, s->at_ms);
		}
		last_ms = s->at_ms;
		ck_assert_msg(h.state == s->state, "case: %s, at %u ms: state %d, expected %d",
			      cases[_i].label, s->at_ms, (int)h.state, (int)s->state);
	}
}
END_TEST

/*
 * Guards against a server that becomes suspect before a fresh connection was tried, and against a
 * fresh connection opened at every tick.
 */
START_TEST(test_fresh_connection_comes_first)
{
	struct pw_health_options o = PW_HEALTH_OPTIONS_INIT;
	struct pw_health h;
	uint32_t opened = 0;
	uint64_t opened_us = 0, suspect_us = 0;

	pw_health_init(&h, &o, ms_to_us(1));
	pw_health_record_answer(&h, ms_to_us(1));
	pw_health_record_probe(&h, ms_to_us(2));
	for (uint64_t t = ms_to_us(2); t < ms_to_us(2000); t += ms_to_us(10)) {
		uint32_t actions = pw_health_tick(&h, t);

		if (actions & PW_HEALTH_OPEN_FRESH) {
			opened++;
			opened_us = t;
		}
		if (actions & PW_HEALTH_CHANGED)
			suspect_us = t;
	}
	ck_assert_uint_eq(opened, 1);
	ck_assert_uint_ge(suspect_us, opened_us + o.fresh_connection_min_us);
	ck_assert_uint_ge(suspect_us, ms_to_us(802));
	ck_assert_uint_le(suspect_us, ms_to_us(830));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("health");

	tcase_add_loop_test(tc, test_states, 0, PW_ARRAY_LEN(cases));
	tcase_add_test(tc, test_fresh_connection_comes_first);
	return pw_suite_run("health", tc);
}
