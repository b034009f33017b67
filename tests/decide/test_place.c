/* Tests of the choice of a server for a read. */
#include "suite.h"

#include "pw/decide/place.h"

#define SERVERS_MAX 3

/* Random numbers: no trial and the first of equal servers, the second of them, and a trial. */
#define NO_TRIAL 1
#define SECOND   (PW_PLACE_READS_PER_TRIAL + 1)
#define TRIAL    (2 * PW_PLACE_READS_PER_TRIAL)

/* Fields of a server that is usable, caught up, has an idle connection and a latency of 20 ms. */
#define USABLE    .is_usable = true
#define CAUGHT_UP .caught_up = true
#define IDLE      .has_idle_connection = true
#define FAST      .expected_us = 20000
#define GOOD      USABLE, CAUGHT_UP, IDLE, FAST

static const struct {
	const char *label;
	struct pw_place_candidate servers[SERVERS_MAX];
	int32_t expected;
	uint32_t random; /* 0: NO_TRIAL */
} cases[] = {
	{ "no server", { { 0 } }, -1 },
	{ "the one with fewer statements in flight",
	  { { GOOD, .in_flight = 2 }, { GOOD, .in_flight = 1 } },
	  1 },
	{ "the faster one",
	  { { USABLE, CAUGHT_UP, IDLE, .expected_us = 90000 },
	    { USABLE, CAUGHT_UP, IDLE, .expected_us = 30000 } },
	  1 },
	{ "a replica that is behind is left out",
	  { { USABLE, IDLE, FAST }, { GOOD, .in_flight = 3 } },
	  1 },
	{ "a replica is preferred to the primary, which writes need",
	  { { GOOD, .is_primary = true }, { GOOD, .in_flight = 1 } },
	  1 },
	{ "the primary is preferred to a replica with many statements in flight",
	  { { GOOD, .is_primary = true }, { GOOD, .in_flight = 4 } },
	  0 },
	{ "a server of this region is preferred to a remote one",
	  { { GOOD, .distance = PW_DISTANCE_OTHER_REGION }, { GOOD, .in_flight = 1 } },
	  1 },
	{ "a busy region sends reads to the remote one",
	  { { GOOD, .distance = PW_DISTANCE_OTHER_REGION }, { GOOD, .in_flight = 6 } },
	  0 },
	{ "an idle connection saves the server the work of opening one",
	  { { USABLE, CAUGHT_UP, FAST, .can_open_connection = true }, { GOOD } },
	  1 },
	{ "opening a connection at a server that is slow to accept it",
	  { { USABLE, CAUGHT_UP, FAST, .can_open_connection = true, .opening_us = 90000 },
	    { GOOD, .in_flight = 2 } },
	  1 },
	{ "a server that fails many requests quickly is left to the primary",
	  { { USABLE, CAUGHT_UP, IDLE, .expected_us = 1000, .failure_permille = 400 },
	    { GOOD, .is_primary = true } },
	  1 },
	{ "a server that fails all requests, if no other is left",
	  { { GOOD, .failure_permille = 1000 }, { CAUGHT_UP, IDLE, FAST } },
	  0 },
	{ "the second of two servers with nearly equal times",
	  { { GOOD }, { USABLE, CAUGHT_UP, IDLE, .expected_us = 21000 } },
	  1,
	  SECOND },
	{ "a trial of a server that seems slow",
	  { { GOOD }, { USABLE, CAUGHT_UP, IDLE, .expected_us = 90000, .trial_is_due = true } },
	  1,
	  TRIAL },
	{ "no trial of the primary, of a remote server or of one that is behind",
	  { { GOOD },
	    { GOOD, .is_primary = true, .trial_is_due = true },
	    { USABLE, IDLE, FAST, .trial_is_due = true } },
	  0,
	  TRIAL },
	{ "no server is usable and has or can open a connection",
	  { { USABLE, CAUGHT_UP, FAST }, { CAUGHT_UP, IDLE, FAST } },
	  -1 },
};

/* Guards against reads at an unsuitable, busy or distant server while another one is better. */
START_TEST(test_place)
{
	int32_t chosen = pw_place_choose_server(cases[_i].servers, SERVERS_MAX,
						cases[_i].random ? cases[_i].random : NO_TRIAL);

	ck_assert_msg(chosen == cases[_i].expected, "%s: %d", cases[_i].label, chosen);
}
END_TEST

#define MS UINT64_C(1000)

/*
 * Guards against a replica that lacked a position and is asked again for one that is as recent, and
 * against one that is never tried again.
 */
START_TEST(test_lag)
{
	struct pw_replica_lag l = { 0 };

	ck_assert(pw_replica_lag_covers(&l, 0, 0));
	pw_replica_lag_record_behind(&l, 100 * MS, 1000 * MS);
	ck_assert(!pw_replica_lag_covers(&l, 150 * MS, 1000 * MS));
	ck_assert(pw_replica_lag_covers(&l, 200 * MS, 1000 * MS));
	ck_assert(pw_replica_lag_covers(&l, 150 * MS, 1400 * MS));
	pw_replica_lag_record_served(&l, 10 * MS, 1400 * MS);
	ck_assert(pw_replica_lag_covers(&l, 10 * MS, 1400 * MS));
	ck_assert(!pw_replica_lag_covers(&l, 5 * MS, 1400 * MS));
	ck_assert(pw_replica_lag_covers(&l, 0, 60 * 1000 * MS));
}
END_TEST

/* Guards against an average that does not start at the first measurement or follow later ones. */
START_TEST(test_latency)
{
	uint64_t average = 0;

	average = pw_latency_average_add(average, 8000);
	ck_assert_uint_eq(average, 8000);
	for (int i = 0; i < 100; i++)
		average = pw_latency_average_add(average, 40000);
	ck_assert_uint_gt(average, 38000);
	ck_assert_uint_le(average, 40000);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("place");

	tcase_add_loop_test(tc, test_place, 0, PW_ARRAY_LEN(cases));
	tcase_add_test(tc, test_lag);
	tcase_add_test(tc, test_latency);
	return pw_suite_run("place", tc);
}
