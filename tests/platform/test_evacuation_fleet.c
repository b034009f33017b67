/*
 * End-to-end tests of the evacuation of availability zones, on a fleet of proxy processes against
 * the platform stand-in. Each server of the database is in a zone of its own.
 */
#include "suite.h"

#include "evacuation_fleet.h"

enum target {
	TARGET_REPLICA,
	TARGET_PRIMARY,
};

static const struct {
	const char *label;
	enum target target;
} zone_cases[] = {
	{ "zone of a replica", TARGET_REPLICA },
	{ "zone of the primary", TARGET_PRIMARY },
};

/* Nothing may reach a server of the zone after EvacMs, and all may again once it is taken back. */
START_TEST(test_zone)
{
	struct client *open_transaction;
	char *id, *zone, *primary, *actual;
	uint32_t received, ok_reads, ok_writes, used_again = 0;
	gint64 deadline_us;

	start_fleet_in_zones();
	id = zone_cases[_i].target == TARGET_PRIMARY ? find_primary() : find_replica();
	zone = find_zone(id);
	open_transaction = open_session(0, "desk");
	expect_answer(open_transaction, "BEGIN", "done T");
	expect_answer(open_transaction, "WRITE held v", "ok T");
	inject_fault("evacuate", zone);
	g_usleep(EVACUATION_MS * 1000);
	inject_fault("record", "clear");
	actual = run_statement(open_transaction, "READ held");
	ck_assert_msg(zone_cases[_i].target == TARGET_REPLICA || strstr(actual, "ABORTED"), "%s",
		      actual);
	g_free(actual);
	ok_writes = send_sample("desk", "WRITE b v", "ok I");
	g_usleep(300000);
	ok_reads = send_sample("views", "READ a", "none ok I");
	received = count_received(id);
	primary = find_primary();
	ck_assert_msg(!received && ok_reads == SAMPLE_COUNT && ok_writes == SAMPLE_COUNT,
		      "%s: %u statements reached %s, %u reads and %u writes were served",
		      zone_cases[_i].label, received, id, ok_reads, ok_writes);
	ck_assert_str_ne(primary, id);
	/* The server is used again for certain if there is no other one. */
	inject_fault("return", zone);
	for (size_t i = 0; i < SERVER_COUNT; i++) {
		if (strcmp(zones[i], zone) != 0)
			inject_fault("evacuate", zones[i]);
	}
	deadline_us = g_get_monotonic_time() + 2 * EVACUATION_MS * G_GINT64_CONSTANT(1000);
	while (!used_again && g_get_monotonic_time() < deadline_us) {
		(void)send_sample("desk", "WRITE b v", "ok I");
		used_again = count_received(id);
		g_usleep(100000);
	}
	ck_assert_msg(used_again, "%s: %s is not used again", zone_cases[_i].label, id);
	client_free(open_transaction);
	g_free(primary);
	g_free(zone);
	g_free(id);
	stop_fleet();
}
END_TEST

/* A database whose servers are all evacuated refuses at once and says that nothing has run. */
START_TEST(test_all_zones)
{
	uint32_t refused = 0, received = 0;
	char *text;

	start_fleet_in_zones();
	for (size_t i = 0; i < SERVER_COUNT; i++)
		inject_fault("evacuate", zones[i]);
	g_usleep(EVACUATION_MS * 1000);
	inject_fault("record", "clear");
	refused += send_sample("desk", "WRITE b v", "BUSY I");
	refused += send_sample("views", "READ b", "BUSY I");
	text = http_request(platform->port, "/record", NULL);
	received = strcmp(text, "[]") != 0;
	ck_assert_msg(refused == 2 * SAMPLE_COUNT && !received, "%u refused, any received: %u",
		      refused, received);
	g_free(text);
	for (size_t i = 0; i < SERVER_COUNT; i++)
		inject_fault("return", zones[i]);
	g_usleep(1000000);
	ck_assert_uint_eq(send_sample("desk", "WRITE b v", "ok I"), SAMPLE_COUNT);
	stop_fleet();
}
END_TEST

/* A VM that starts during an evacuation must not use the zone before it has read of it. */
START_TEST(test_restarted_vm)
{
	char *id, *zone;
	uint32_t received;

	start_fleet_in_zones();
	id = find_replica();
	zone = find_zone(id);
	inject_fault("evacuate", zone);
	g_usleep(EVACUATION_MS * 1000);
	inject_fault("record", "clear");
	pw_harness_kill(vms[0].process);
	start_vm(0);
	ck_assert(PW_HARNESS_WAIT_UNTIL(is_ready(&vms[0]), READY_TIMEOUT_MS));
	(void)send_sample("desk", "WRITE b v", "ok I");
	g_usleep(300000);
	(void)send_sample("views", "READ a", "none ok I");
	received = count_received(id);
	ck_assert_msg(!received, "%u statements reached %s", received, id);
	g_free(zone);
	g_free(id);
	stop_fleet();
}
END_TEST

static const struct {
	const char *label;
	const char *zone;
	const char *event;
} odd_cases[] = {
	{ "unknown zone", "nowhere", "name=zone_evacuated zone=nowhere known=0" },
	{ "no zone", "", "name=evacuation_refused" },
	{ "more than a zone", "zone-1/x", "name=evacuation_refused" },
};

/* Requests that name no zone of ours must leave everything as it is, also when taken back twice. */
START_TEST(test_odd_request)
{
	start_fleet_in_zones();
	inject_fault("evacuate", odd_cases[_i].zone);
	inject_fault("evacuate", odd_cases[_i].zone);
	ck_assert_msg(PW_HARNESS_WAIT_UNTIL(have_all_logged(odd_cases[_i].event), 3000), "%s",
		      odd_cases[_i].label);
	ck_assert_uint_eq(send_sample("desk", "WRITE b v", "ok I"), SAMPLE_COUNT);
	inject_fault("return", odd_cases[_i].zone);
	inject_fault("return", odd_cases[_i].zone);
	ck_assert_uint_eq(send_sample("desk", "WRITE b v", "ok I"), SAMPLE_COUNT);
	ck_assert_uint_eq(count_promotion_requests(), 0);
	stop_fleet();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("evacuation fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_loop_test(tc, test_zone, 0, PW_ARRAY_LEN(zone_cases));
	tcase_add_test(tc, test_all_zones);
	tcase_add_test(tc, test_restarted_vm);
	tcase_add_loop_test(tc, test_odd_request, 0, PW_ARRAY_LEN(odd_cases));
	return pw_suite_run("evacuation fleet", tc);
}
