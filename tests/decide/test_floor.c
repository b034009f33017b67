/* Tests of session floors. */
#include "suite.h"

#include "pw/decide/floor.h"

#define PROBES_MAX 4

enum token_kind {
	NO_TOKEN,
	EMPTY_TOKEN,
	TOKEN,
};

struct probe {
	uint32_t server;
	struct pw_server_status status;
	uint64_t sent_us; /* 0 ends the list */
};

#define PRIMARY(t, n)                                                               \
	{                                                                           \
		.role = PW_SERVER_PRIMARY, .term = (t), .log_term = (t), .lsn = (n) \
	}
#define REPLICA(t, n)                                                               \
	{                                                                           \
		.role = PW_SERVER_REPLICA, .term = (t), .log_term = (t), .lsn = (n) \
	}

static const struct {
	const char *label;
	enum pw_floor_mode mode;
	enum token_kind token;
	struct pw_position token_position;
	struct pw_position written_position; /* term 0: nothing written */
	struct probe probes[PROBES_MAX];
	uint64_t read_us; /* when the read arrived; the session attached at 10 */
	struct pw_position server_position;
	enum pw_floor_decision decision;
} cases[] = {
	{ "strict: no probe",
	  PW_FLOOR_STRICT,
	  NO_TOKEN,
	  { 0 },
	  { 0 },
	  { { 0 } },
	  20,
	  { 1, 500 },
	  PW_FLOOR_NEEDS_PROBE },
	{ "strict: probe before the read",
	  PW_FLOOR_STRICT,
	  NO_TOKEN,
	  { 0 },
	  { 0 },
	  { { 0, PRIMARY(1, 100), 19 }, { 1, REPLICA(1, 90), 19 } },
	  20,
	  { 1, 500 },
	  PW_FLOOR_NEEDS_PROBE },
	{ "strict: probe after the read, server caught up",
	  PW_FLOOR_STRICT,
	  NO_TOKEN,
	  { 0 },
	  { 0 },
	  { { 0, PRIMARY(1, 100), 20 }, { 1, REPLICA(1, 90), 21 } },
	  20,
	  { 1, 100 },
	  PW_FLOOR_MAY_READ },
	{ "strict: probe after the read, server behind",
	  PW_FLOOR_STRICT,
	  NO_TOKEN,
	  { 0 },
	  { 0 },
	  { { 0, PRIMARY(1, 100), 20 }, { 1, REPLICA(1, 90), 21 } },
	  20,
	  { 1, 99 },
	  PW_FLOOR_SERVER_BEHIND },
	{ "strict: a primary without a majority",
	  PW_FLOOR_STRICT,
	  NO_TOKEN,
	  { 0 },
	  { 0 },
	  { { 0, PRIMARY(1, 100), 21 } },
	  20,
	  { 1, 500 },
	  PW_FLOOR_NEEDS_PROBE },
	{ "strict: a replaced primary",
	  PW_FLOOR_STRICT,
	  NO_TOKEN,
	  { 0 },
	  { 0 },
	  { { 0, PRIMARY(1, 100), 21 }, { 1, REPLICA(2, 200), 21 }, { 2, REPLICA(2, 200), 21 } },
	  20,
	  { 1, 100 },
	  PW_FLOOR_NEEDS_PROBE },
	{ "strict: the new primary",
	  PW_FLOOR_STRICT,
	  NO_TOKEN,
	  { 0 },
	  { 0 },
	  { { 0, PRIMARY(1, 100), 21 }, { 1, PRIMARY(2, 200), 21 }, { 2, REPLICA(2, 200), 21 } },
	  20,
	  { 1, 100 },
	  PW_FLOOR_SERVER_BEHIND },
	{ "strict: own write beyond the probe",
	  PW_FLOOR_STRICT,
	  NO_TOKEN,
	  { 0 },
	  { 1, 120 },
	  { { 0, PRIMARY(1, 100), 21 }, { 1, REPLICA(1, 90), 21 } },
	  20,
	  { 1, 110 },
	  PW_FLOOR_SERVER_BEHIND },
	{ "connection: no probe",
	  PW_FLOOR_PER_CONNECTION,
	  NO_TOKEN,
	  { 0 },
	  { 0 },
	  { { 0 } },
	  20,
	  { 1, 500 },
	  PW_FLOOR_NEEDS_PROBE },
	{ "connection: probe before the attach",
	  PW_FLOOR_PER_CONNECTION,
	  NO_TOKEN,
	  { 0 },
	  { 0 },
	  { { 0, PRIMARY(1, 100), 9 }, { 1, REPLICA(1, 90), 9 } },
	  20,
	  { 1, 500 },
	  PW_FLOOR_NEEDS_PROBE },
	{ "connection: probe after the attach",
	  PW_FLOOR_PER_CONNECTION,
	  NO_TOKEN,
	  { 0 },
	  { 0 },
	  { { 0, PRIMARY(1, 100), 11 }, { 1, REPLICA(1, 90), 11 } },
	  20,
	  { 1, 100 },
	  PW_FLOOR_MAY_READ },
	{ "connection: own write alone does not make the floor known",
	  PW_FLOOR_PER_CONNECTION,
	  NO_TOKEN,
	  { 0 },
	  { 1, 50 },
	  { { 0 } },
	  20,
	  { 1, 500 },
	  PW_FLOOR_NEEDS_PROBE },
	{ "token: no probe needed",
	  PW_FLOOR_STRICT,
	  TOKEN,
	  { 1, 80 },
	  { 0 },
	  { { 0 } },
	  20,
	  { 1, 80 },
	  PW_FLOOR_MAY_READ },
	{ "token: server behind",
	  PW_FLOOR_STRICT,
	  TOKEN,
	  { 1, 80 },
	  { 0 },
	  { { 0 } },
	  20,
	  { 1, 79 },
	  PW_FLOOR_SERVER_BEHIND },
	{ "token: own write beyond the token",
	  PW_FLOOR_STRICT,
	  TOKEN,
	  { 1, 80 },
	  { 1, 90 },
	  { { 0 } },
	  20,
	  { 1, 85 },
	  PW_FLOOR_SERVER_BEHIND },
	{ "token: its term is newer than the server's",
	  PW_FLOOR_STRICT,
	  TOKEN,
	  { 2, 10 },
	  { 0 },
	  { { 0 } },
	  20,
	  { 1, 900 },
	  PW_FLOOR_SERVER_BEHIND },
	{ "empty token: probed once",
	  PW_FLOOR_STRICT,
	  EMPTY_TOKEN,
	  { 0 },
	  { 0 },
	  { { 0 } },
	  20,
	  { 1, 500 },
	  PW_FLOOR_NEEDS_PROBE },
	{ "empty token: probe after the attach",
	  PW_FLOOR_STRICT,
	  EMPTY_TOKEN,
	  { 0 },
	  { 0 },
	  { { 0, PRIMARY(1, 100), 11 }, { 2, REPLICA(1, 90), 11 } },
	  20,
	  { 1, 100 },
	  PW_FLOOR_MAY_READ },
};

/*
 * Guards against reads of data older than the session has seen: a floor that is too low because a
 * probe is missing, too old or from a replaced primary, or because a write or token is ignored.
 */
START_TEST(test_check)
{
	struct pw_floor_probes probes;
	struct pw_floor f;
	enum pw_floor_decision decision;

	pw_floor_probes_init(&probes, 3);
	pw_floor_init(&f, cases[_i].mode, 10);
	if (cases[_i].token != NO_TOKEN)
		pw_floor_apply_token(&f,
				     cases[_i].token == TOKEN ? &cases[_i].token_position : NULL);
	if (cases[_i].written_position.term)
		pw_floor_record_write(&f, &cases[_i].written_position);
	for (const struct probe *p = cases[_i].probes; p->sent_us; p++)
		pw_floor_probes_record(&probes, p->server, &p->status, p->sent_us);
	decision = pw_floor_check(&f, &probes, cases[_i].read_us, &cases[_i].server_position);
	ck_assert_msg(decision == cases[_i].decision, "case: %s: decision %d", cases[_i].label,
		      (int)decision);
}
END_TEST

/*
 * Guards against a probe for each read in connection mode, which costs a round trip, and against a
 * strict read that uses an earlier probe.
 */
START_TEST(test_probe_is_reused_in_connection_mode_only)
{
	struct pw_server_status primary = PRIMARY(1, 100), replica = REPLICA(1, 100);
	struct pw_position position = { 1, 100 };
	struct pw_floor_probes probes;
	struct pw_floor connection, strict;

	pw_floor_probes_init(&probes, 3);
	pw_floor_probes_record(&probes, 0, &primary, 30);
	pw_floor_probes_record(&probes, 1, &replica, 30);
	pw_floor_init(&connection, PW_FLOOR_PER_CONNECTION, 10);
	pw_floor_init(&strict, PW_FLOOR_STRICT, 10);
	ck_assert_int_eq(pw_floor_check(&connection, &probes, 20, &position), PW_FLOOR_MAY_READ);
	ck_assert_int_eq(pw_floor_check(&strict, &probes, 20, &position), PW_FLOOR_MAY_READ);
	ck_assert_int_eq(pw_floor_check(&connection, &probes, 40, &position), PW_FLOOR_MAY_READ);
	ck_assert_int_eq(pw_floor_check(&strict, &probes, 40, &position), PW_FLOOR_NEEDS_PROBE);
	ck_assert_uint_eq(pw_floor_probe_since_us(&connection, 40), 0);
	ck_assert_uint_eq(pw_floor_probe_since_us(&strict, 40), 40);
}
END_TEST

/* Guards against a result of an older probe that arrives after a newer one and lowers the bound. */
START_TEST(test_older_probe_is_ignored)
{
	struct pw_server_status newer = PRIMARY(1, 100), older = PRIMARY(1, 50);
	struct pw_position bound;
	struct pw_floor_probes probes;

	pw_floor_probes_init(&probes, 1);
	pw_floor_probes_record(&probes, 0, &newer, 30);
	pw_floor_probes_record(&probes, 0, &older, 20);
	ck_assert(pw_floor_probes_upper_bound(&probes, 10, &bound));
	ck_assert_uint_eq(bound.lsn, 100);
}
END_TEST

/* Guards against lost writes that are reported twice or never. */
START_TEST(test_lost_writes_are_reported_once)
{
	struct pw_position written = { 1, 120 }, start = { 2, 100 };
	struct pw_floor f;

	pw_floor_init(&f, PW_FLOOR_PER_CONNECTION, 10);
	pw_floor_record_write(&f, &written);
	ck_assert(pw_floor_check_lost_writes(&f, &start));
	ck_assert_int_eq(pw_position_compare(&f.position, &start), 0);
	ck_assert(!pw_floor_check_lost_writes(&f, &start));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("floor");

	tcase_add_loop_test(tc, test_check, 0, PW_ARRAY_LEN(cases));
	tcase_add_test(tc, test_probe_is_reused_in_connection_mode_only);
	tcase_add_test(tc, test_older_probe_is_ignored);
	tcase_add_test(tc, test_lost_writes_are_reported_once);
	return pw_suite_run("floor", tc);
}
