/*
 * End-to-end tests of a fleet of proxy processes against the platform stand-in: which servers of a
 * group with synchronous replication may hold acknowledged commits is known to VMs that did not see
 * it themselves.
 */
#include "suite.h"

#include "platform_fleet.h"

#define TOKEN         "operator"

#define PRIMARIES_KEY "pimentowing/fleet/primaries"
/* Longer than any memory of a VM. */
#define LONG_OUTAGE_MS 23000
/* Several changes of primary are tried in this time. */
#define OBSERVED_MS 6000
/* PW_CHANGE_TIMEOUT_US */
#define PROMOTION_TIMEOUT_MS 5000

/* Index of the VM that is asked after the knowledge was lost. */
static uint32_t asked_vm;

/* Starts a fleet whose database has synchronous replication, and has it commit once. */
static void start_synchronous_fleet(void)
{
	struct client *c;

	asked_vm = 0;
	sync_replica_count = 1;
	start_fleet();
	sync_replica_count = 0;
	c = open_session(0, "desk");
	expect_answer(c, "WRITE before v", "ok I");
	client_free(c);
	g_usleep(G_USEC_PER_SEC);
}

static void start_and_wait(uint32_t first, uint32_t count)
{
	for (uint32_t i = first; i < first + count; i++)
		start_vm(i);
	for (uint32_t i = first; i < first + count; i++)
		ck_assert_msg(PW_HARNESS_WAIT_UNTIL(is_ready(&vms[i]), READY_TIMEOUT_MS),
			      "vm-%u is not ready", i + 1);
}

static void kill_all(void)
{
	for (uint32_t i = 0; i < VM_COUNT; i++)
		pw_harness_kill(vms[i].process);
}

static void do_nothing(void)
{
}

static void restart_together(void)
{
	kill_all();
	start_and_wait(0, VM_COUNT);
}

static void restart_in_turn(void)
{
	for (uint32_t i = 0; i < VM_COUNT; i++) {
		pw_harness_stop(vms[i].process);
		start_and_wait(i, 1);
	}
}

static void replace_by_new_names(void)
{
	for (uint32_t i = VM_COUNT; i < 2 * VM_COUNT; i++)
		vms[i] = (struct vm){ .caller_port = pw_harness_allocate_port(),
				      .api_port = pw_harness_allocate_port(),
				      .peer_port = pw_harness_allocate_port(),
				      .metrics_port = pw_harness_allocate_port() };
	start_and_wait(VM_COUNT, VM_COUNT);
	for (uint32_t i = 0; i < VM_COUNT; i++)
		pw_harness_stop(vms[i].process);
	asked_vm = VM_COUNT;
}

static void restart_in_outage(void)
{
	inject_fault("store", "down");
	kill_all();
	for (uint32_t i = 0; i < VM_COUNT; i++)
		start_vm(i);
	g_usleep(G_USEC_PER_SEC);
	inject_fault("store", "up");
	for (uint32_t i = 0; i < VM_COUNT; i++)
		ck_assert(PW_HARNESS_WAIT_UNTIL(is_ready(&vms[i]), READY_TIMEOUT_MS));
}

static void outlast_memory(void)
{
	inject_fault("store", "down");
	g_usleep(LONG_OUTAGE_MS * 1000);
	inject_fault("store", "up");
	g_usleep(2 * G_USEC_PER_SEC);
}

static void wait_long(void)
{
	g_usleep(LONG_OUTAGE_MS * 1000);
}

static void signal_all(int signal_number)
{
	for (uint32_t i = 0; i < VM_COUNT; i++)
		pw_harness_signal(vms[i].process, signal_number);
}

static void pause_all(void)
{
	signal_all(SIGSTOP);
}

static void resume_all(void)
{
	signal_all(SIGCONT);
}

static void copy_store(void)
{
	inject_fault("copy", "1");
}

static void restore_to_started(void)
{
	kill_all();
	inject_fault("restore", "1");
	start_and_wait(0, VM_COUNT);
}

static void restore_to_live(void)
{
	inject_fault("restore", "1");
	g_usleep(3 * G_USEC_PER_SEC);
}

/* Returns the record of primaries. */
static json_t *read_record(void)
{
	char *text = http_request(platform->port, "/kv-key?Key=" PRIMARIES_KEY, NULL);
	json_t *item = text ? json_loads(text, 0, NULL) : NULL, *record;
	gsize size = 0;
	guchar *value;

	ck_assert_msg(item != NULL, "there is no record of primaries");
	value = g_base64_decode(json_string_value(json_object_get(item, "Value")), &size);
	record = json_loadb((const char *)value, size, 0, NULL);
	ck_assert(json_is_object(record));
	g_free(value);
	json_decref(item);
	g_free(text);
	return record;
}

/* Writes the record as a build does that does not know the servers of a group. */
static void restart_with_old_record(void)
{
	json_t *record, *primary;
	char *text, *body;
	size_t i;

	kill_all();
	record = read_record();
	json_array_foreach (json_object_get(record, "primaries"), i, primary)
		json_object_del(primary, "replica_set");
	text = json_dumps(record, 0);
	body = http_request(platform->port, "/fault?name=entry&value=" PRIMARIES_KEY, text);
	ck_assert_ptr_nonnull(body);
	g_free(body);
	free(text);
	json_decref(record);
	start_and_wait(0, VM_COUNT);
}

/* Callers go on writing at all VMs, which then notice that the primary does not answer. */
static void call_for(uint32_t duration_ms)
{
	gint64 end_us = g_get_monotonic_time() + duration_ms * G_GINT64_CONSTANT(1000);
	struct client *callers[VM_COUNT];

	for (uint32_t i = 0; i < VM_COUNT; i++)
		callers[i] = open_session(asked_vm + i, "desk");
	while (g_get_monotonic_time() < end_us && !count_promotion_requests()) {
		for (uint32_t i = 0; i < VM_COUNT; i++)
			send_statement(callers[i], "WRITE meanwhile v");
		for (uint32_t i = 0; i < VM_COUNT; i++)
			g_free(read_answer(callers[i], ANSWER_TIMEOUT_MS));
		g_usleep(50000);
	}
	for (uint32_t i = 0; i < VM_COUNT; i++)
		client_free(callers[i]);
}

/* How the knowledge of the replica that has the commits gets lost. */
static const struct {
	const char *label;
	void (*before_departure)(void);
	void (*after_departure)(void);
	void (*after_crash)(void); /* of the primary */
	bool sees_departure;       /* all VMs log it */
} loss_cases[] = {
	{ "nothing is lost", do_nothing, do_nothing, do_nothing, true },
	{ "all VMs are killed together", do_nothing, do_nothing, restart_together, false },
	{ "VMs restart one after the other", do_nothing, restart_in_turn, do_nothing, true },
	{ "VMs are replaced under new names", do_nothing, replace_by_new_names, do_nothing, true },
	{ "all VMs restart while the store is down", do_nothing, restart_in_outage, do_nothing,
	  true },
	{ "all VMs are paused", pause_all, do_nothing, resume_all, false },
	{ "the store is down for long", do_nothing, outlast_memory, do_nothing, true },
	{ "the replica is away for long", do_nothing, wait_long, do_nothing, true },
	{ "the store is restored, VMs that have started", copy_store, do_nothing,
	  restore_to_started, true },
	{ "the store is restored, VMs that know the record", copy_store, do_nothing,
	  restore_to_live, true },
	{ "the record is of an earlier build", do_nothing, do_nothing, restart_with_old_record,
	  true },
};

static bool has_logged(const char *text)
{
	for (uint32_t i = asked_vm; i < asked_vm + VM_COUNT; i++) {
		if (count_log_lines(&vms[i], text))
			return true;
	}
	return false;
}

/*
 * Guards against the promotion of a replica that lacks acknowledged commits by VMs that do not know
 * of the one that has them.
 */
START_TEST(test_only_holder_is_waited_for)
{
	struct client *c;

	start_synchronous_fleet();
	c = open_session(0, "desk");
	loss_cases[_i].before_departure();
	inject_fault("deaf", "i-core-3");
	if (loss_cases[_i].before_departure == pause_all)
		resume_all();
	expect_answer(c, "WRITE kept v", "ok I");
	/* One replica has received the commit, as the acknowledgement of a synchronous one says. */
	g_usleep(300000);
	client_free(c);
	if (loss_cases[_i].before_departure == pause_all)
		pause_all();
	inject_fault("gone", "i-core-2");
	ck_assert(!loss_cases[_i].sees_departure ||
		  PW_HARNESS_WAIT_UNTIL(
			  have_all_logged("name=server_gone group=core server=i-core-2"),
			  GONE_TIMEOUT_MS));
	loss_cases[_i].after_departure();
	g_usleep(300000);
	inject_fault("crash", "i-core-1");
	inject_fault("hearing", "i-core-3");
	loss_cases[_i].after_crash();
	call_for(OBSERVED_MS);
	ck_assert_msg(count_promotion_requests() == 0, "%s: a replica was promoted",
		      loss_cases[_i].label);
	ck_assert_msg(has_logged("name=change_waits database=core"), "%s: nothing was logged",
		      loss_cases[_i].label);
	inject_fault("start", "i-core-2");
	inject_fault("start", "i-core-1");
	c = open_session(asked_vm, "desk");
	(void)write_until_ok(&c, asked_vm, "WRITE later v", 15000);
	expect_answer(c, "READ kept", "v ok I");
	client_free(c);
	stop_fleet();
}
END_TEST

static void leave_for_good(void)
{
	inject_fault("gone", "i-core-2");
	ck_assert(PW_HARNESS_WAIT_UNTIL(
		have_all_logged("name=server_gone group=core server=i-core-2"), GONE_TIMEOUT_MS));
	g_usleep(G_USEC_PER_SEC);
}

static void leave_as_planned(void)
{
	inject_fault("leave", "i-core-2");
	g_usleep(3 * G_USEC_PER_SEC);
	leave_for_good();
}

static void leave_before_restart(void)
{
	leave_for_good();
	restart_together();
}

static void leave_while_all_restart(void)
{
	inject_fault("gone", "i-core-2");
	restart_together();
	g_usleep(G_USEC_PER_SEC);
}

/* The new server alone has what is committed from then on. */
static void replace_as_planned(void)
{
	inject_fault("leave", "i-core-2");
	g_usleep(3 * G_USEC_PER_SEC);
	inject_fault("deaf", "i-core-3");
	inject_fault("replace", "i-core-2");
	ck_assert(PW_HARNESS_WAIT_UNTIL(
		have_all_logged("name=server_gone group=core server=i-core-2"), GONE_TIMEOUT_MS));
}

static void replace_before_restart(void)
{
	replace_as_planned();
	restart_together();
}

/* The servers that are left, of which one is promoted when the primary crashes. */
static const struct {
	const char *label;
	void (*leave)(void);
} leave_cases[] = {
	{ "all servers are there", do_nothing },
	{ "a replica is gone for good", leave_for_good },
	{ "a replica has left as planned", leave_as_planned },
	{ "a replica is gone, and all VMs have started since", leave_before_restart },
	{ "a replica is gone while all VMs are restarted", leave_while_all_restart },
	{ "a replica was replaced at its address", replace_as_planned },
	{ "a replica was replaced at its address, and all VMs have started since",
	  replace_before_restart },
};

/* Guards against a group that waits for a replica which has left for good. */
START_TEST(test_server_that_left_is_not_waited_for)
{
	gint64 crashed_us;
	struct client *c;

	start_synchronous_fleet();
	leave_cases[_i].leave();
	c = open_session(0, "desk");
	(void)write_until_ok(&c, 0, "WRITE kept v", 5000);
	g_usleep(300000);
	inject_fault("crash", "i-core-1");
	crashed_us = g_get_monotonic_time();
	call_for(PROMOTION_TIMEOUT_MS);
	ck_assert_msg(count_promotion_requests() > 0, "%s: no server was promoted",
		      leave_cases[_i].label);
	printf("%s: promoted after %" G_GINT64_FORMAT " ms\n", leave_cases[_i].label,
	       (g_get_monotonic_time() - crashed_us) / 1000);
	(void)write_until_ok(&c, 0, "WRITE later v", 5000);
	expect_answer(c, "READ kept", "v ok I");
	client_free(c);
	stop_fleet();
}
END_TEST

static void expect_ctl(const char *arguments, int status, const char *text)
{
	char *out, *addresses = g_strdup_printf("127.0.0.1:%u,127.0.0.1:%u,127.0.0.1:%u",
						vms[0].api_port, vms[1].api_port, vms[2].api_port);
	int actual = run_ctl(&out, addresses, arguments);

	ck_assert_msg(actual == status && strstr(out, text), "%s: %d: %s", arguments, actual, out);
	g_free(out);
	g_free(addresses);
}

/* The server that is to be forgotten, once it is lost together with the primary. */
static const struct {
	const char *label;
	void (*after_crash)(void);
	const char *command;
	const char *shown; /* before, by the status */
} forget_cases[] = {
	{ "a lost replica", do_nothing, "replica forget core i-core-2", "waits-for=i-core-2" },
	{ "the set is not known", restart_with_old_record, "replica forget core unknown",
	  "servers=unknown" },
};

/*
 * Guards against a group that stays without a primary when an operator gives commits up, and
 * against a server that is forgotten although it may still be asked.
 */
START_TEST(test_operator_forgets_server)
{
	start_synchronous_fleet();
	expect_ctl("status", 0, "core primary=i-core-1 servers=i-core-1,i-core-2,i-core-3\n");
	expect_ctl("replica forget core i-core-3", 1, "i-core-3 is registered");
	expect_ctl("replica forget core i-core-1", 1, "i-core-1 is the primary");
	expect_ctl("replica forget core i-core-9", 1, "no server i-core-9");
	expect_ctl("replica forget core unknown", 1, "the replica set is known");
	expect_ctl("replica forget other i-core-2", 1, "no database other");
	inject_fault("deaf", "i-core-3");
	inject_fault("gone", "i-core-2");
	inject_fault("crash", "i-core-1");
	forget_cases[_i].after_crash();
	call_for(OBSERVED_MS);
	ck_assert_msg(count_promotion_requests() == 0, "%s", forget_cases[_i].label);
	expect_ctl("status", 0, forget_cases[_i].shown);
	expect_ctl(forget_cases[_i].command, 0, "no longer waits");
	call_for(2 * PROMOTION_TIMEOUT_MS);
	ck_assert_msg(count_promotion_requests() > 0, "%s", forget_cases[_i].label);
	stop_fleet();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("replica set fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_setenv("PW_API_TOKEN", TOKEN, TRUE);
	tcase_add_loop_test(tc, test_only_holder_is_waited_for, 0, PW_ARRAY_LEN(loss_cases));
	tcase_add_loop_test(tc, test_server_that_left_is_not_waited_for, 0,
			    PW_ARRAY_LEN(leave_cases));
	tcase_add_loop_test(tc, test_operator_forgets_server, 0, PW_ARRAY_LEN(forget_cases));
	return pw_suite_run("replica set fleet", tc);
}
