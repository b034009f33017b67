/*
 * End-to-end tests of a fleet of proxy processes against the platform stand-in: sessions,
 * transactions, consistency, and faults that the benchmark of the proxy's users found.
 */
#include "suite.h"

#include "harness_relay.h"
#include "platform_fleet.h"
#include "pw/codec/dialect.h"

#define STEPS_MAX 10

static const struct {
	const char *label;
	const char *database;
	struct {
		const char *statement, *expected;
	} steps[STEPS_MAX];
} session_cases[] = {
	{ "a write and reads of it",
	  "desk",
	  { { "WRITE a1 first value", "ok I" },
	    { "READ a1", "first value ok I" },
	    { "READ none-such", "none ok I" } } },
	{ "own writes on a route that reads replicas",
	  "sync",
	  { { "WRITE a2 v", "ok I" }, { "READ a2", "v ok I" }, { "READ a2", "v ok I" } } },
	{ "a transaction that commits",
	  "desk",
	  { { "BEGIN", "done T" },
	    { "WRITE a3 v", "ok T" },
	    { "READ none-such", "none ok T" },
	    { "COMMIT", "ok I" },
	    { "READ a3", "v ok I" } } },
	{ "a transaction that rolls back",
	  "desk",
	  { { "BEGIN", "done T" },
	    { "WRITE a4 v", "ok T" },
	    { "ROLLBACK", "done I" },
	    { "READ a4", "none ok I" } } },
	{ "a transaction without statements",
	  "desk",
	  { { "BEGIN", "done T" }, { "COMMIT", "ok I" } } },
	{ "a transaction of reads at a replica",
	  "views",
	  { { "BEGIN READ", "done T" },
	    { "READ none-such", "none ok T" },
	    { "WRITE a5 v", "READONLY E" },
	    { "READ none-such", "MALFORMED E" },
	    { "ROLLBACK", "done I" } } },
	{ "COMMIT and ROLLBACK outside a transaction",
	  "desk",
	  { { "COMMIT", "MALFORMED I" }, { "ROLLBACK", "MALFORMED I" } } },
	{ "session variables",
	  "desk",
	  { { "SET zone north west", "done I" },
	    { "SET unit t", "done I" },
	    { "READ @values", "unit=t;zone=north west; ok I" },
	    { "SET unit kg", "done I" },
	    { "READ @values", "unit=kg;zone=north west; ok I" } } },
	{ "no variables of another session", "desk", { { "READ @values", " ok I" } } },
	{ "prepared statements",
	  "desk",
	  { { "PREPARE s1 WRITE q1", "done I" },
	    { "PREPARE s2 READ q2", "done I" },
	    { "EXECUTE s1 a6 v", "ok I" },
	    { "EXECUTE s2 a6", "v ok I" },
	    { "CLOSE s1", "done I" },
	    { "EXECUTE s1 a6 w", "NOSTMT I" },
	    { "CLOSE s1", "NOSTMT I" } } },
	{ "a statement name that another session prepared",
	  "desk",
	  { { "EXECUTE s2 a6", "NOSTMT I" },
	    { "PREPARE s2 WRITE q9", "done I" },
	    { "EXECUTE s2 a7 v", "ok I" },
	    { "READ a7", "v ok I" } } },
	{ "the server receives the account, not the key",
	  "desk",
	  { { "READ @account", "amber ok I" } } },
	{ "texts with a blank or a field too many or too few",
	  "desk",
	  { { "BEGIN ", "MALFORMED I" },
	    { "SET zone", "MALFORMED I" },
	    { "BEGIN", "done T" },
	    { "WRITE a8", "MALFORMED T" },
	    { "COMMIT ", "MALFORMED T" },
	    { "COMMIT", "ok I" },
	    { "READ none-such", "none ok I" } } },
	{ "malformed statements",
	  "desk",
	  { { "DROP everything", "MALFORMED I" },
	    { "WAITLSN 1.1 READ a1", "MALFORMED I" },
	    { "READ none-such", "none ok I" } } },
};

/*
 * Guards against wrong answers to statements, and against session variables and prepared statements
 * that leak from one session to the next, which reuses the same server connections.
 */
START_TEST(test_sessions)
{
	start_fleet();
	for (size_t i = 0; i < PW_ARRAY_LEN(session_cases); i++) {
		struct client *c = open_session((uint32_t)i % VM_COUNT, session_cases[i].database);

		for (size_t k = 0; k < STEPS_MAX && session_cases[i].steps[k].statement; k++) {
			char *actual = run_statement(c, session_cases[i].steps[k].statement);

			ck_assert_msg(strcmp(actual, session_cases[i].steps[k].expected) == 0,
				      "%s: %s: %s, not %s", session_cases[i].label,
				      session_cases[i].steps[k].statement, actual,
				      session_cases[i].steps[k].expected);
			g_free(actual);
		}
		client_free(c);
	}
	stop_fleet();
}
END_TEST

/* Messages that are filled up with data. */
static const struct {
	const char *start;
	uint32_t size_bytes;
	const char *expected;
} large_statement_cases[] = {
	{ "QUERY 5c WRITE large ", PW_DIALECT_MESSAGE_MAX_BYTES, "ok I" },
	{ "QUERY 5c WRITE large ", PW_DIALECT_MESSAGE_MAX_BYTES + 1, "TOOLARGE I" },
	{ "QUERY 5c READ ", PW_DIALECT_MESSAGE_MAX_BYTES, "TOOLARGE I" },
	{ "QUERY 5c SET zone ", PW_DIALECT_MESSAGE_MAX_BYTES + 1, "TOOLARGE I" },
	{ "QUERY 5c PREPARE s READ ", PW_DIALECT_MESSAGE_MAX_BYTES, "TOOLARGE I" },
	{ "QUERY 5c EXECUTE s 1a4 ", PW_DIALECT_MESSAGE_MAX_BYTES, "TOOLARGE I" },
	{ "QUERY 5c WRITE large ", PW_DIALECT_MESSAGE_MAX_BYTES + 3, "TOOLARGE CLOSED" },
};

/*
 * Guards against a statement that reaches a server as a message above the size limit, and against
 * a session that ends although the statement alone was too large.
 */
START_TEST(test_large_statements)
{
	start_fleet();
	for (size_t i = 0; i < PW_ARRAY_LEN(large_statement_cases); i++) {
		struct client *c = open_session((uint32_t)i % VM_COUNT, "desk");
		uint32_t size_bytes = large_statement_cases[i].size_bytes;
		char *line = g_strnfill(size_bytes, 'x'), *actual;

		memcpy(line, large_statement_cases[i].start,
		       strlen(large_statement_cases[i].start));
		memcpy(line + size_bytes - 2, "\r\n", 2);
		(void)send(c->fd, line, size_bytes, MSG_NOSIGNAL);
		actual = read_answer(c, ANSWER_TIMEOUT_MS);
		ck_assert_msg(strcmp(actual, large_statement_cases[i].expected) == 0,
			      "%s, %u bytes: %s, not %s", large_statement_cases[i].start,
			      size_bytes, actual, large_statement_cases[i].expected);
		if (!g_str_has_suffix(actual, "CLOSED"))
			expect_answer(c, "READ none-such", "none ok I");
		g_free(actual);
		g_free(line);
		client_free(c);
	}
	stop_fleet();
}
END_TEST

static const struct {
	const char *label;
	const char *before; /* statement before the refused SET; NULL: none */
	const char *statement, *expected;
} refused_set_cases[] = {
	{ "a read is run again", NULL, "READ @values", "zone=north; ok I" },
	{ "a write is sent with the variable only", NULL, "WRITE a8 v", "ok I" },
	{ "a transaction", "BEGIN", "READ @values", "zone=north; ok T" },
};

/*
 * Guards against a statement that runs without the session's variables because the server has
 * refused the proxy's own SET, and is answered as if it had run with them.
 */
START_TEST(test_refused_set)
{
	struct client *c;
	char *actual;

	start_fleet();
	c = open_session(0, "desk");
	g_free(run_statement(c, "SET zone north"));
	if (refused_set_cases[_i].before)
		g_free(run_statement(c, refused_set_cases[_i].before));
	inject_fault("refuse-set", "1");
	actual = run_statement(c, refused_set_cases[_i].statement);
	ck_assert_msg(strcmp(actual, refused_set_cases[_i].expected) == 0, "%s: %s, not %s",
		      refused_set_cases[_i].label, actual, refused_set_cases[_i].expected);
	g_free(actual);
	actual = run_statement(c, "READ @values");
	ck_assert_msg(g_str_has_prefix(actual, "zone=north;"), "%s: then %s",
		      refused_set_cases[_i].label, actual);
	g_free(actual);
	client_free(c);
	stop_fleet();
}
END_TEST

static const struct {
	const char *label, *line, *expected;
} invalid_starts[] = {
	{ "unknown database", "STARTUP nowhere amber-key\r\n", "NODB CLOSED" },
	{ "unknown key", "STARTUP desk wrong-key\r\n", "AUTHFAIL CLOSED" },
	{ "no key", "STARTUP desk\r\n", "AUTHFAIL CLOSED" },
	{ "a statement before the start", "QUERY 1 READ a\r\n", "MALFORMED CLOSED" },
	{ "another protocol", "GET / HTTP/1.1\r\n\r\n", "MALFORMED CLOSED" },
	{ "an empty line", "\r\n", "MALFORMED CLOSED" },
};

/* Invalid input must be rejected with a protocol error, and must not affect other sessions. */
START_TEST(test_invalid_starts)
{
	struct client *other_session;
	char *text;

	start_fleet();
	other_session = open_session(0, "desk");
	for (size_t i = 0; i < PW_ARRAY_LEN(invalid_starts); i++) {
		struct client *c = client_new(&vms[0]);
		char *actual;

		(void)send(c->fd, invalid_starts[i].line, strlen(invalid_starts[i].line),
			   MSG_NOSIGNAL);
		actual = read_answer(c, ANSWER_TIMEOUT_MS);
		ck_assert_msg(strcmp(actual, invalid_starts[i].expected) == 0, "%s: answer %s",
			      invalid_starts[i].label, actual);
		g_free(actual);
		client_free(c);
	}
	text = g_strnfill(1100000, 'x');
	struct client *c = open_session(0, "desk");
	(void)send(c->fd, text, strlen(text), MSG_NOSIGNAL);
	g_free(text);
	text = read_answer(c, ANSWER_TIMEOUT_MS);
	ck_assert_str_eq(text, "TOOLARGE CLOSED");
	g_free(text);
	client_free(c);
	expect_answer(other_session, "READ none-such", "none ok I");
	client_free(other_session);
	stop_fleet();
}
END_TEST

/* Returns whether another server is the primary. If not, sends a write to every VM. */
static bool write_unless_replaced(const char *old_primary, struct client **c)
{
	char *id = find_primary();
	bool replaced = id && strcmp(id, old_primary) != 0;

	for (uint32_t i = 0; !replaced && i < VM_COUNT; i++)
		g_free(run_statement(c[i], "WRITE meanwhile v"));
	g_free(id);
	return replaced;
}

static const struct {
	const char *label;
	const char *fault_name;
	/** Limit for the change of primary, and for the first write of each VM after it. */
	uint32_t timeout_ms;
} primary_faults[] = {
	{ "the primary crashes", "crash", 6000 },
	{ "the primary becomes unreachable", "dark", 6000 },
	{ "the primary announces its stop", "leave", 6000 },
	{ "the primary stops and its entry is deleted", "gone", 6000 },
};

/*
 * Guards against writes that are lost at a failover, and against VMs that miss it. Every
 * acknowledged write must survive, unless the old primary's log was lost before the replicas had
 * received the write. Every VM must write to the new primary, and the fencing tokens must never
 * decrease.
 */
START_TEST(test_failover)
{
	struct client *c[VM_COUNT];
	char *old_primary;

	start_fleet();
	for (uint32_t i = 0; i < VM_COUNT; i++) {
		c[i] = open_session(i, "desk");
		expect_answer(c[i], "WRITE before v", "ok I");
	}
	/* Replication finishes before the fault, so that a crash loses none of these writes. */
	g_usleep(100000);
	old_primary = find_primary();
	inject_fault(primary_faults[_i].fault_name, old_primary);
	ck_assert_msg(PW_HARNESS_WAIT_UNTIL(write_unless_replaced(old_primary, c),
					    primary_faults[_i].timeout_ms),
		      "%s: no new primary in time", primary_faults[_i].label);
	for (uint32_t i = 0; i < VM_COUNT; i++) {
		char *statement = g_strdup_printf("WRITE after-%u v", i);

		(void)write_until_ok(&c[i], i, statement, primary_faults[_i].timeout_ms);
		g_free(statement);
	}
	for (uint32_t i = 0; i < VM_COUNT; i++) {
		expect_answer(c[i], "READ before", "v ok I");
		for (uint32_t k = 0; k < VM_COUNT; k++) {
			char *statement = g_strdup_printf("READ after-%u", k);

			expect_answer(c[i], statement, "v ok I");
			g_free(statement);
		}
		client_free(c[i]);
	}
	ck_assert_uint_ge(count_promotion_requests(), 1);
	g_free(old_primary);
	stop_fleet();
}
END_TEST

/* Returns a field of the promotion request with this index, or NULL if there is none. */
static char *promotion_request_field(size_t index, const char *name)
{
	char *text = http_request(platform->port, "/state", NULL);
	json_t *root = json_loads(text, 0, NULL);
	const json_t *requests = json_object_get(root, "orders");
	char *value =
		g_strdup(json_string_value(json_object_get(json_array_get(requests, index), name)));

	json_decref(root);
	g_free(text);
	return value;
}

/*
 * Guards against a takeover that trusts the former primary: the VM that had another server promoted
 * is killed, and the promoted server does not answer the VM that takes over.
 */
START_TEST(test_takeover_after_promotion)
{
	char *old_primary, *promoted, *holder;
	struct client *sessions[VM_COUNT], *c;
	uint32_t killed, other;

	start_fleet();
	inject_fault("promotion-delay", "500");
	for (uint32_t i = 0; i < VM_COUNT; i++) {
		sessions[i] = open_session(i, "desk");
		expect_answer(sessions[i], "WRITE before v", "ok I");
	}
	old_primary = find_primary();
	inject_fault("crash", old_primary);
	for (uint32_t i = 0; i < VM_COUNT; i++)
		send_statement(sessions[i], "WRITE meanwhile v");
	ck_assert(PW_HARNESS_WAIT_UNTIL(count_promotion_requests() == 1, 6000));
	holder = promotion_request_field(0, "holder");
	killed = (uint32_t)g_ascii_strtoull(holder + strlen("vm-"), NULL, 10) - 1;
	other = (killed + 1) % VM_COUNT;
	pw_harness_kill(vms[killed].process);
	promoted = promotion_request_field(0, "id");
	inject_fault("dark", promoted);
	inject_fault("start", old_primary);
	c = open_session(other, "desk");
	(void)write_until_ok(&c, other, "WRITE kept v", 15000);
	inject_fault("light", promoted);
	/* A promotion that was still due takes effect within this time. */
	g_usleep(1000000);
	(void)write_until_ok(&c, other, "WRITE later v", 8000);
	expect_answer(c, "READ kept", "v ok I");
	client_free(c);
	for (uint32_t i = 0; i < VM_COUNT; i++)
		client_free(sessions[i]);
	g_free(holder);
	g_free(promoted);
	g_free(old_primary);
	stop_fleet();
}
END_TEST

/*
 * A transaction that was open on a crashed primary must fail with ABORTED, which guarantees that it
 * had no effect, so that the caller can repeat it.
 */
START_TEST(test_transaction_lost)
{
	struct client *c;
	char *old_primary;

	start_fleet();
	c = open_session(0, "desk");
	expect_answer(c, "BEGIN", "done T");
	expect_answer(c, "WRITE lost v", "ok T");
	old_primary = find_primary();
	inject_fault("crash", old_primary);
	g_free(old_primary);
	g_usleep(300000);
	expect_answer(c, "READ lost", "ABORTED E");
	expect_answer(c, "READ lost", "MALFORMED E");
	expect_answer(c, "ROLLBACK", "done I");
	(void)write_until_ok(&c, 0, "WRITE later v", 6000);
	expect_answer(c, "READ lost", "none ok I");
	client_free(c);
	stop_fleet();
}
END_TEST

/* A transaction that is idle for longer than the catalogue allows must be rolled back. */
START_TEST(test_idle_transaction)
{
	struct client *c;

	start_fleet();
	publish_catalog(BOTH_KEYS, 400);
	g_usleep(300000);
	c = open_session(0, "desk");
	expect_answer(c, "BEGIN", "done T");
	expect_answer(c, "WRITE idle v", "ok T");
	g_usleep(900000);
	expect_answer(c, "COMMIT", "ABORTED I");
	expect_answer(c, "READ idle", "none ok I");
	client_free(c);
	stop_fleet();
}
END_TEST

/* Replaces the primary, and waits until each VM has written to the new one. */
static void replace_primary(struct client **c)
{
	char *old_primary = find_primary();

	inject_fault("crash", old_primary);
	ck_assert_msg(PW_HARNESS_WAIT_UNTIL(write_unless_replaced(old_primary, c), 8000),
		      "no new primary in time");
	for (uint32_t i = 0; i < VM_COUNT; i++)
		(void)write_until_ok(&c[i], i, "WRITE replaced v", 8000);
	g_free(old_primary);
}

static void open_sessions(struct client **c)
{
	for (uint32_t i = 0; i < VM_COUNT; i++) {
		c[i] = open_session(i, "desk");
		expect_answer(c[i], "WRITE before v", "ok I");
	}
}

static void close_sessions(struct client **c)
{
	for (uint32_t i = 0; i < VM_COUNT; i++)
		client_free(c[i]);
}

/*
 * Guards against a record of primaries that cannot be changed any more after the store was restored
 * from a copy that lacks a change: no VM replaced the next primary that crashed.
 */
START_TEST(test_change_after_restoration)
{
	struct client *c[VM_COUNT];
	char *first_primary;

	start_fleet();
	open_sessions(c);
	first_primary = find_primary();
	inject_fault("copy", "1");
	replace_primary(c);
	inject_fault("restore", "1");
	inject_fault("start", first_primary);
	g_usleep(3000000);
	replace_primary(c);
	ck_assert_uint_ge(count_promotion_requests(), 2);
	close_sessions(c);
	g_free(first_primary);
	stop_fleet();
}
END_TEST

/*
 * Guards against the mark of a change that its VM gave up because the store was restored: the other
 * VMs knew the mark, wrote it again, and left the group without a primary for 6.5 s. A suspended VM
 * keeps the change from its promotion request.
 */
START_TEST(test_restoration_during_change)
{
	struct client *c[VM_COUNT];
	gint64 restore_us;
	char *old_primary;

	start_fleet();
	open_sessions(c);
	inject_fault("copy", "1");
	old_primary = find_primary();
	pw_harness_signal(vms[2].process, SIGSTOP);
	inject_fault("crash", old_primary);
	restore_us = g_get_monotonic_time() + 1700000;
	while (g_get_monotonic_time() < restore_us) {
		for (uint32_t i = 0; i < 2; i++)
			g_free(run_statement(c[i], "WRITE meanwhile v"));
	}
	ck_assert_uint_eq(count_promotion_requests(), 0);
	inject_fault("restore", "1");
	pw_harness_signal(vms[2].process, SIGCONT);
	for (uint32_t i = 0; i < VM_COUNT; i++)
		(void)write_until_ok(&c[i], i, "WRITE after v", 5000);
	close_sessions(c);
	g_free(old_primary);
	stop_fleet();
}
END_TEST

/*
 * Guards against a VM that starts after the restoration and takes the primary of the copy for the
 * current one.
 */
START_TEST(test_start_after_restoration)
{
	struct client *c[VM_COUNT];

	start_fleet();
	open_sessions(c);
	inject_fault("copy", "1");
	replace_primary(c);
	pw_harness_kill(vms[2].process);
	inject_fault("restore", "1");
	start_vm(2);
	ck_assert(PW_HARNESS_WAIT_UNTIL(is_ready(&vms[2]), READY_TIMEOUT_MS));
	client_free(c[2]);
	c[2] = open_session(2, "desk");
	(void)write_until_ok(&c[2], 2, "WRITE restarted v", 2500);
	ck_assert_uint_eq(count_promotion_requests(), 1);
	close_sessions(c);
	stop_fleet();
}
END_TEST

static const uint32_t fleet_sizes[] = { VM_COUNT, VM_COUNT_MAX };

/*
 * The store is down for longer than a permit lasts. The VMs must continue to serve, by promising
 * each other to start no change of primary. A primary that crashes during the outage must be
 * replaced only when the store is back.
 */
START_TEST(test_store_down)
{
	const uint32_t count = fleet_sizes[_i];
	struct client *c[VM_COUNT_MAX];
	char *old_primary;

	start_fleet_of(count);
	for (uint32_t i = 0; i < count; i++)
		c[i] = open_session(i, "desk");
	inject_fault("store", "down");
	for (int k = 0; k < 25; k++) {
		for (uint32_t i = 0; i < count; i++)
			expect_answer(c[i], "WRITE a v", "ok I");
		g_usleep(200000);
	}
	old_primary = find_primary();
	inject_fault("crash", old_primary);
	g_usleep(500000);
	g_free(run_statement(c[0], "WRITE b v"));
	ck_assert_uint_eq(count_promotion_requests(), 0);
	inject_fault("store", "up");
	(void)write_until_ok(&c[0], 0, "WRITE d v", 8000);
	expect_answer(c[0], "READ a", "v ok I");
	g_free(old_primary);
	for (uint32_t i = 0; i < count; i++)
		client_free(c[i]);
	stop_fleet();
}
END_TEST

/*
 * A VM that reaches neither the store nor other VMs must stop using the primary, since another
 * server may have been promoted.
 */
START_TEST(test_isolated_vm)
{
	struct client *c;
	char *actual;

	start_fleet();
	c = open_session(0, "desk");
	expect_answer(c, "WRITE a v", "ok I");
	inject_fault("store", "down");
	pw_harness_signal(vms[1].process, SIGSTOP);
	pw_harness_signal(vms[2].process, SIGSTOP);
	/*
	 * Longer than a permit and a promise together, since a promise may be made just before the
	 * permit expires.
	 */
	g_usleep(3500000);
	actual = run_statement(c, "WRITE b v");
	ck_assert_msg(strcmp(actual, "BUSY I") == 0, "answer %s", actual);
	g_free(actual);
	pw_harness_signal(vms[1].process, SIGCONT);
	pw_harness_signal(vms[2].process, SIGCONT);
	ck_assert_uint_lt(write_until_ok(&c, 0, "WRITE d v", 4000), 2500);
	expect_answer(c, "READ b", "none ok I");
	client_free(c);
	stop_fleet();
}
END_TEST

/*
 * A commit that is not sent because the permit has expired must fail with ABORTED: it had no
 * effect, so the caller can repeat the transaction.
 */
START_TEST(test_commit_without_permit)
{
	struct client *c;

	start_fleet();
	c = open_session(0, "desk");
	expect_answer(c, "BEGIN", "done T");
	expect_answer(c, "WRITE a v", "ok T");
	inject_fault("store", "down");
	pw_harness_signal(vms[1].process, SIGSTOP);
	pw_harness_signal(vms[2].process, SIGSTOP);
	g_usleep(2800000);
	expect_answer(c, "COMMIT", "ABORTED I");
	client_free(c);
	stop_fleet();
}
END_TEST

/* Statements above an account's rate must be refused with BUSY; other accounts must be served. */
START_TEST(test_rate)
{
	struct client *slow_session, *other_session;
	uint32_t served_count = 0, refused_count = 0;
	char *actual;

	start_fleet();
	slow_session = client_new(&vms[0]);
	actual = start_session(slow_session, "desk", "slow-key");
	ck_assert_str_eq(actual, "I");
	g_free(actual);
	other_session = open_session(0, "desk");
	for (int i = 0; i < 200; i++) {
		actual = run_statement(slow_session, "READ a");
		served_count += strcmp(actual, "none ok I") == 0;
		refused_count += strcmp(actual, "BUSY I") == 0;
		g_free(actual);
		expect_answer(other_session, "READ a", "none ok I");
	}
	ck_assert_uint_eq(served_count + refused_count, 200);
	ck_assert_uint_ge(served_count, 3);
	ck_assert_uint_le(served_count, 30);
	client_free(slow_session);
	client_free(other_session);
	stop_fleet();
}
END_TEST

/* A VM that joins a fleet must not be ready before it can serve, and must then refuse nothing. */
START_TEST(test_join)
{
	struct client *c;

	start_fleet();
	pw_harness_kill(vms[2].process);
	start_vm(2);
	ck_assert(PW_HARNESS_WAIT_UNTIL(is_ready(&vms[2]), READY_TIMEOUT_MS));
	c = open_session(2, "desk");
	for (int i = 0; i < 50; i++)
		expect_answer(c, "WRITE a v", "ok I");
	client_free(c);
	stop_fleet();
}
END_TEST

/* Checks whether a line of the VM's metrics starts with the text. */
static bool has_metric(const struct vm *v, const char *prefix)
{
	char *text = http_request(v->metrics_port, "/metrics", NULL);
	char *line = g_strdup_printf("\n%s", prefix);
	bool found = text && strstr(text, line);

	g_free(line);
	g_free(text);
	return found;
}

/* Metrics must be served without credentials. Neither they nor the log may contain keys. */
START_TEST(test_metrics)
{
	struct client *c;
	char *text;

	start_fleet();
	c = open_session(0, "desk");
	expect_answer(c, "WRITE a v", "ok I");
	expect_answer(c, "READ a", "v ok I");
	ck_assert(has_metric(&vms[0], "pimentowing_writes_total 1"));
	ck_assert(has_metric(&vms[0], "pimentowing_request_seconds_count 2"));
	ck_assert(has_metric(&vms[0], "pimentowing_server_seconds_bucket{le=\"+Inf\"} 2"));
	ck_assert(has_metric(&vms[1], "pimentowing_request_seconds_count 0"));
	text = http_request(vms[0].metrics_port, "/metrics", NULL);
	ck_assert_ptr_null(strstr(text, "amber-key"));
	g_free(text);
	text = pw_harness_read_output(vms[0].process);
	ck_assert_ptr_nonnull(strstr(text, "name=request_served"));
	ck_assert_ptr_null(strstr(text, "amber-key"));
	g_free(text);
	client_free(c);
	stop_fleet();
}
END_TEST

/*
 * Guards against reads that go to the primary because their own VM has received no log position
 * from it, although another VM has.
 */
START_TEST(test_shared_positions)
{
	struct client *reader, *writer;

	start_fleet();
	writer = open_session(1, "desk");
	for (int i = 0; i < 20; i++) {
		expect_answer(writer, "WRITE a v", "ok I");
		g_usleep(50000);
	}
	for (uint32_t i = 0; i < VM_COUNT; i += 2) {
		reader = open_session(i, "views");
		expect_answer(reader, "READ a", "v ok I");
		ck_assert_uint_eq(counter_value(&vms[i], "reads_replica_total"), 1);
		client_free(reader);
	}
	client_free(writer);
	stop_fleet();
}
END_TEST

/* A planned stop must let open transactions finish, and close sessions only between operations. */
START_TEST(test_stop)
{
	struct client *c, *idle_session;

	start_fleet();
	c = open_session(0, "desk");
	idle_session = open_session(0, "desk");
	expect_answer(c, "BEGIN", "done T");
	expect_answer(c, "WRITE a v", "ok T");
	pw_harness_signal(vms[0].process, SIGTERM);
	ck_assert(PW_HARNESS_WAIT_UNTIL(!is_ready(&vms[0]), 500));
	g_usleep(500000);
	expect_answer(c, "COMMIT", "ok I");
	expect_answer(c, "READ a", "BUSY I");
	/* A request that has arrived before the close is refused, not cut. */
	g_usleep(50000);
	expect_answer(c, "READ a", "CLOSED");
	expect_answer(idle_session, "READ a", "CLOSED");
	ck_assert(pw_harness_wait_end(vms[0].process, 4000));
	ck_assert_int_eq(vms[0].process->status, 0);
	client_free(c);
	client_free(idle_session);
	c = open_session(1, "desk");
	expect_answer(c, "READ a", "v ok I");
	client_free(c);
	stop_fleet();
}
END_TEST

/*
 * Guards against stale reads through a VM that was suspended: when it continues, another server may
 * be the primary. Its sessions must see every acknowledged write.
 */
START_TEST(test_suspended_vm)
{
	struct client *c, *other_session;
	char *old_primary;

	start_fleet();
	c = open_session(0, "desk");
	other_session = open_session(1, "desk");
	expect_answer(c, "WRITE a old", "ok I");
	expect_answer(other_session, "READ a", "old ok I");
	pw_harness_signal(vms[0].process, SIGSTOP);
	old_primary = find_primary();
	inject_fault("dark", old_primary);
	(void)write_until_ok(&other_session, 1, "WRITE a new", 8000);
	inject_fault("light", old_primary);
	g_free(old_primary);
	pw_harness_signal(vms[0].process, SIGCONT);
	for (int i = 0; i < 20; i++) {
		char *actual = run_statement(c, "READ a");

		ck_assert_msg(strcmp(actual, "old ok I") != 0, "read %d returned the old value", i);
		g_free(actual);
	}
	(void)write_until_ok(&c, 0, "WRITE b v", 6000);
	expect_answer(c, "READ a", "new ok I");
	client_free(c);
	client_free(other_session);
	stop_fleet();
}
END_TEST

/*
 * Guards against VMs that keep delegating a permit to a VM that no longer runs. A VM that cannot
 * reach the store uses a permit that another VM delegates to it. While that permit is valid, the
 * other VM cannot confirm the start of a change of primary: every change was given up for 10 s.
 */
START_TEST(test_delegated_permit)
{
	struct pw_harness_relay *relay;
	struct client *c, *delegate_session;
	char *old_primary;

	start_fleet();
	relay = pw_harness_relay_new(platform->port);
	pw_harness_kill(vms[0].process);
	start_vm_with_store(0, pw_harness_relay_port(relay));
	ck_assert(PW_HARNESS_WAIT_UNTIL(is_ready(&vms[0]), READY_TIMEOUT_MS));
	delegate_session = open_session(0, "desk");
	expect_answer(delegate_session, "WRITE a v", "ok I");
	pw_harness_relay_set_mode(relay, PW_RELAY_DISCONNECT);
	g_usleep(3000000);
	/* The VM's own permit has expired; it uses one that another VM delegates to it. */
	expect_answer(delegate_session, "WRITE b v", "ok I");
	pw_harness_signal(vms[0].process, SIGSTOP);
	c = open_session(1, "desk");
	old_primary = find_primary();
	inject_fault("crash", old_primary);
	g_free(old_primary);
	(void)write_until_ok(&c, 1, "WRITE c v", 6000);
	client_free(c);
	client_free(delegate_session);
	pw_harness_relay_free(relay);
	stop_fleet();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("platform fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, test_sessions);
	tcase_add_test(tc, test_large_statements);
	tcase_add_loop_test(tc, test_refused_set, 0, PW_ARRAY_LEN(refused_set_cases));
	tcase_add_test(tc, test_invalid_starts);
	tcase_add_loop_test(tc, test_failover, 0, PW_ARRAY_LEN(primary_faults));
	tcase_add_test(tc, test_takeover_after_promotion);
	tcase_add_test(tc, test_transaction_lost);
	tcase_add_test(tc, test_idle_transaction);
	tcase_add_test(tc, test_change_after_restoration);
	tcase_add_test(tc, test_restoration_during_change);
	tcase_add_test(tc, test_start_after_restoration);
	tcase_add_loop_test(tc, test_store_down, 0, PW_ARRAY_LEN(fleet_sizes));
	tcase_add_test(tc, test_isolated_vm);
	tcase_add_test(tc, test_commit_without_permit);
	tcase_add_test(tc, test_rate);
	tcase_add_test(tc, test_join);
	tcase_add_test(tc, test_metrics);
	tcase_add_test(tc, test_shared_positions);
	tcase_add_test(tc, test_stop);
	tcase_add_test(tc, test_suspended_vm);
	tcase_add_test(tc, test_delegated_permit);
	return pw_suite_run("platform fleet", tc);
}
