/*
 * End-to-end tests of changes of the catalogue and of the list of servers, on a fleet of proxy
 * processes against the platform stand-in.
 */
#include "suite.h"

#include "harness_relay.h"
#include "platform_fleet.h"

/* The withdrawal of a key must end its open sessions, even in a transaction, but no others. */
START_TEST(test_withdrawn_key)
{
	struct client *idle_session, *busy_session, *other_session;
	char *actual;

	start_fleet();
	idle_session = open_session(0, "desk");
	busy_session = open_session(1, "desk");
	other_session = client_new(&vms[0]);
	actual = start_session(other_session, "desk", "other-key");
	ck_assert_str_eq(actual, "I");
	g_free(actual);
	expect_answer(busy_session, "BEGIN", "done T");
	expect_answer(busy_session, "WRITE kept v", "ok T");
	publish_catalog("\"other-key\"", 3000);
	g_usleep(1000000);
	expect_answer(idle_session, "READ kept", "CLOSED");
	expect_answer(busy_session, "COMMIT", "AUTHFAIL CLOSED");
	expect_answer(other_session, "READ kept", "none ok I");
	client_free(idle_session);
	client_free(busy_session);
	client_free(other_session);
	stop_fleet();
}
END_TEST

/*
 * Guards against a catalogue change that stays unnoticed because the history is compacted before
 * the watch reports it. The VMs take turns at reading the catalogue again. Without that, a key was
 * served for 7 s after its withdrawal.
 */
START_TEST(test_compacted_history)
{
	struct client *c;

	start_fleet();
	c = open_session(0, "desk");
	publish_catalog("\"other-key\"", 3000);
	inject_fault("compact", "1");
	g_usleep(3800000);
	expect_answer(c, "READ a", "CLOSED");
	client_free(c);
	stop_fleet();
}
END_TEST

#define BURST_CHANGES 20

static const struct {
	const char *label;
	uint32_t vm_count;
	bool store_connections_cut; /* the first VM cannot reach the store */
	uint32_t reads_max;         /* maximum of the first VM's reads of the store in 2 s */
} burst_cases[] = {
	/* Even without changes, the VMs take turns at reading the catalogue and the servers. */
	{ "the watch reports the changes", VM_COUNT, false, 6 },
	/*
	 * The backoff delays are at least 150, 300, 600 and 1000 ms: at most 5 attempts of each of
	 * the two reads.
	 */
	{ "a VM whose store connections are closed", VM_COUNT, true, 10 },
	{ "a VM of a large fleet whose store connections are closed", VM_COUNT_MAX, true, 10 },
};

/*
 * Guards against VMs that read the store after every change although their watch has reported it,
 * and against retries without a backoff by a VM whose connections to the store are closed.
 */
START_TEST(test_catalog_change_burst)
{
	struct pw_harness_relay *relay;
	uint32_t reads_before, read_count;

	start_fleet_of(burst_cases[_i].vm_count);
	relay = pw_harness_relay_new(platform->port);
	pw_harness_kill(vms[0].process);
	start_vm_with_store(0, pw_harness_relay_port(relay));
	ck_assert(PW_HARNESS_WAIT_UNTIL(is_ready(&vms[0]), READY_TIMEOUT_MS));
	if (burst_cases[_i].store_connections_cut)
		pw_harness_relay_set_mode(relay, PW_RELAY_DISCONNECT);
	reads_before = counter_value(&vms[0], "store_reads_total");
	for (int i = 0; i < BURST_CHANGES; i++) {
		publish_catalog(BOTH_KEYS, 3000);
		g_usleep(100000);
	}
	read_count = counter_value(&vms[0], "store_reads_total") - reads_before;
	ck_assert_msg(read_count <= burst_cases[_i].reads_max, "%s: %u reads of the store",
		      burst_cases[_i].label, read_count);
	pw_harness_relay_free(relay);
	stop_fleet();
}
END_TEST

#define STORM_VMS         6
#define STORM_CHANGES     80
#define STORM_KEYS        3500
#define STORM_BYTES_PER_S 500000
#define CONFIG_APPLY_US   G_GINT64_CONSTANT(6000000)

/* Whether the VM accepts a session with this key. */
static bool accepts_key(uint32_t vm, const char *key)
{
	struct client *c = client_new(&vms[vm]);
	char *answer = start_session(c, "desk", key);
	bool accepted = strcmp(answer, "I") == 0;

	g_free(answer);
	client_free(c);
	return accepted;
}

/*
 * Guards against a change that comes into force too late because the VMs transfer every version of
 * a large catalogue over a link that cannot carry them all.
 */
START_TEST(test_catalog_storm)
{
	struct pw_harness_relay *relay;
	GString *keys = g_string_new(BOTH_KEYS);
	gint64 published_us;

	for (int i = 0; i < STORM_KEYS; i++)
		g_string_append_printf(keys, ",\"key-%05d\"", i);
	start_platform();
	relay = pw_harness_relay_new(platform->port);
	start_vms(STORM_VMS, pw_harness_relay_port(relay));
	pw_harness_relay_set_rate(relay, STORM_BYTES_PER_S);
	for (int i = 0; i < STORM_CHANGES; i++) {
		publish_catalog(keys->str, 3000);
		g_usleep(50000);
	}
	g_string_append(keys, ",\"last-key\"");
	publish_catalog(keys->str, 3000);
	published_us = g_get_monotonic_time();
	for (uint32_t i = 0; i < STORM_VMS; i++) {
		while (!accepts_key(i, "last-key")) {
			ck_assert_msg(g_get_monotonic_time() - published_us < CONFIG_APPLY_US,
				      "vm-%u refuses the new key after %u ms", i + 1,
				      (uint32_t)((g_get_monotonic_time() - published_us) / 1000));
			g_usleep(20000);
		}
	}
	g_string_free(keys, TRUE);
	pw_harness_relay_free(relay);
	stop_fleet();
}
END_TEST

/* An entry as a printf() format. Its arguments are the address, the slots, the role and the zone.
 */
#define ODD_ENTRY                                                                              \
	"{\"Service\":\"core\",\"Address\":\"%s\",\"Slots\":%s,\"DbRole\":\"%s\",\"Zone\":%s," \
	"\"Version\":\"v1\",\"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":1,\"born\":5}"

static const struct {
	const char *key; /* escaped for a URL */
	const char *address, *slots, *role, *zone;
	uint32_t nesting; /* replaces the zone by nested lists of this depth */
} odd_entries[] = {
	{ "servers/a-port", "127.0.0.1:70000", "3", "replica", "\"zone-1\"", 0 },
	{ "servers/a-name", "nowhere", "3", "primary", "\"zone-1\"", 0 },
	{ "servers/a-slots", "127.0.0.1:1", "99999999999999999999", "primary", "\"zone-1\"", 0 },
	{ "servers/a-nested", "127.0.0.1:1", "3", "primary", "", 100000 },
	{ "servers/a-bytes", "127.0.0.1:1", "3", "primary", "\"\xff\xfe\"", 0 },
	{ "servers/", "127.0.0.1:1", "3", "primary", "\"zone-1\"", 0 },
	/* The first server runs; after its id, the key has a message of the server protocol. */
	{ "servers/i-core-1%0D%0AQUERY%20z%20WRITE%20odd%20injected", NULL, "3", "replica",
	  "\"zone-1\"", 0 },
};

static void store_odd_entries(void)
{
	char *first_server = g_strdup_printf("127.0.0.1:%u", server_ports[0]);

	for (size_t i = 0; i < PW_ARRAY_LEN(odd_entries); i++) {
		char *path = g_strdup_printf("/fault?name=entry&value=%s", odd_entries[i].key);
		char *zone = odd_entries[i].nesting ? g_strnfill(odd_entries[i].nesting, '[')
						    : g_strdup(odd_entries[i].zone);
		char *text = g_strdup_printf(
			ODD_ENTRY, odd_entries[i].address ? odd_entries[i].address : first_server,
			odd_entries[i].slots, odd_entries[i].role, zone);
		char *body = http_request(platform->port, path, text);

		ck_assert_msg(body != NULL, "%s was not stored", odd_entries[i].key);
		g_free(body);
		g_free(text);
		g_free(zone);
		g_free(path);
	}
	g_free(first_server);
}

/* Returns the number of connections that a server has. */
static json_int_t server_connections(const char *id)
{
	char *text = http_request(platform->port, "/state", NULL);
	json_t *root = json_loads(text, 0, NULL);
	json_int_t count = -1;
	const json_t *s;
	size_t i;

	json_array_foreach (json_object_get(root, "servers"), i, s) {
		if (strcmp(json_string_value(json_object_get(s, "id")), id) == 0)
			count = json_integer_value(json_object_get(s, "conns"));
	}
	json_decref(root);
	g_free(text);
	return count;
}

static const struct {
	const char *label;
	bool stored_first;
} odd_entry_cases[] = {
	/* The fleet takes its first primary from the entries. */
	{ "stored before the fleet starts", true },
	{ "stored while the fleet serves", false },
};

#define ODD_SESSIONS 6 /* of each VM; they read at the same time, so all servers get statements */

/*
 * Guards against entries of another writer among those of the servers that are used as servers,
 * add statements of their own, stop the VMs from following the list, or end a task or a process.
 */
START_TEST(test_odd_entries)
{
	struct client *readers[VM_COUNT][ODD_SESSIONS], *writer;
	uint32_t logging_vm_count = 0;

	start_platform();
	if (odd_entry_cases[_i].stored_first)
		store_odd_entries();
	start_vms(VM_COUNT, platform->port);
	if (!odd_entry_cases[_i].stored_first)
		store_odd_entries();
	inject_fault("work", "10");
	writer = open_session(0, "desk");
	for (uint32_t i = 0; i < VM_COUNT; i++) {
		for (size_t k = 0; k < ODD_SESSIONS; k++)
			readers[i][k] = open_session(i, "views");
	}
	for (int round = 0; round < 40; round++) {
		expect_answer(writer, "WRITE a v", "ok I");
		for (uint32_t i = 0; i < VM_COUNT * ODD_SESSIONS; i++)
			send_statement(readers[i / ODD_SESSIONS][i % ODD_SESSIONS], "READ odd");
		for (uint32_t i = 0; i < VM_COUNT * ODD_SESSIONS; i++) {
			char *actual = read_answer(readers[i / ODD_SESSIONS][i % ODD_SESSIONS],
						   ANSWER_TIMEOUT_MS);

			ck_assert_msg(strcmp(actual, "none ok I") == 0, "%s: round %d: %s",
				      odd_entry_cases[_i].label, round, actual);
			g_free(actual);
		}
		g_usleep(100000);
	}
	ck_assert_int_gt(server_connections("i-core-3"), 0);
	inject_fault("leave", "i-core-3");
	ck_assert_msg(PW_HARNESS_WAIT_UNTIL(server_connections("i-core-3") == 0, READY_TIMEOUT_MS),
		      "a server that leaves is still used");
	for (uint32_t i = 0; i < VM_COUNT; i++) {
		uint32_t retries = counter_value(&vms[i], "retry_not_sent_total");
		uint32_t refused = counter_value(&vms[i], "server_entries_refused_total");
		uint32_t line_count = count_log_lines(
			&vms[i], "error=\"the entry does not describe a server: Address\" "
				 "key=\"servers/a-port\"");

		ck_assert_uint_le(line_count, 1);
		ck_assert((refused >= PW_ARRAY_LEN(odd_entries)) == (line_count == 1));
		logging_vm_count += line_count;

		ck_assert_msg(retries == 0, "%u statements were tried at an odd entry", retries);
		ck_assert_uint_eq(count_log_lines(&vms[i], "name=task_failed"), 0);
		ck_assert_int_eq(kill(vms[i].process->pid, 0), 0);
		for (size_t k = 0; k < ODD_SESSIONS; k++)
			client_free(readers[i][k]);
	}
	/* A VM that starts reads the list. Later the VMs take turns at it. */
	ck_assert_uint_ge(logging_vm_count, odd_entry_cases[_i].stored_first ? VM_COUNT : 1);
	expect_answer(writer, "WRITE a w", "ok I");
	client_free(writer);
	stop_fleet();
}
END_TEST

/*
 * Guards against a VM that keeps a server in use after its entry is gone, because the reads of
 * other VMs, which find the same entries, postpone its own.
 */
START_TEST(test_removed_server)
{
	start_fleet();
	inject_fault("gone", "i-core-3");
	ck_assert(PW_HARNESS_WAIT_UNTIL(
		have_all_logged("name=server_gone group=core server=i-core-3"), GONE_TIMEOUT_MS));
	stop_fleet();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("catalog fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, test_withdrawn_key);
	tcase_add_test(tc, test_compacted_history);
	tcase_add_loop_test(tc, test_catalog_change_burst, 0, PW_ARRAY_LEN(burst_cases));
	tcase_add_test(tc, test_catalog_storm);
	/* Which VM reads when is random, so one run may miss the fault. */
	tcase_add_loop_test(tc, test_removed_server, 0, 2);
	tcase_add_loop_test(tc, test_odd_entries, 0, PW_ARRAY_LEN(odd_entry_cases));
	return pw_suite_run("catalog fleet", tc);
}
