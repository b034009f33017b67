/*
 * Tests transactions, lost and late answers, retries, cancel requests and prepared statements
 * (invariants I3, I8, I9, I10), and malformed input at each stage of the protocol. Runs real
 * processes.
 */
#include "suite.h"

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "harness_fleet.h"
#include "pw/codec/pg.h"

#define PROXY_COUNT          3
#define STATEMENT_TIMEOUT_MS 8000
#define RECOVERY_TIMEOUT_MS  10000
#define RAW_TIMEOUT_MS       4000
#define DATABASE             PW_FLEET_ORDERS

static struct pw_fleet *fleet;

static PGconn *connect_to(uint32_t proxy)
{
	const struct pw_harness_login login = pw_fleet_login(fleet, proxy, "amber", "orders");
	char *error;
	PGconn *conn = pw_harness_connect(&login, STATEMENT_TIMEOUT_MS, &error);

	ck_assert_msg(conn != NULL, "%s", error);
	return conn;
}

static void expect_result(PGconn *conn, const char *sql, const char *expected)
{
	char *result = pw_harness_query(conn, STATEMENT_TIMEOUT_MS, sql, NULL);

	ck_assert_msg(strcmp(result, expected) == 0, "%.60s: %s, expected %s: %s", sql, result,
		      expected, PQerrorMessage(conn));
	g_free(result);
}

static uint32_t primary_index(void)
{
	int32_t p = pw_fleet_find_primary(fleet, DATABASE);

	ck_assert_int_ge(p, 0);
	return (uint32_t)p;
}

/* Runs a statement on the primary directly, without a proxy. */
static void expect_on_primary(const char *sql, const char *expected)
{
	char *result = pw_fleet_control_query(fleet, DATABASE, primary_index(), sql);

	ck_assert_msg(strcmp(result, expected) == 0, "%s: %s, expected %s", sql, result, expected);
	g_free(result);
}

static void set_fault_on_all_servers(const char *name, const char *value)
{
	for (uint32_t i = 0; i < PW_FLEET_SERVERS_PER_DATABASE; i++)
		pw_fleet_set_fault(fleet, DATABASE, i, name, value);
}

/* Transactions of several sessions over fewer upstream connections. */

#define WRITER_COUNT            8
#define TRANSACTIONS_PER_WRITER 12

struct writer {
	GThread *thread;
	struct pw_harness_login login;
	uint32_t index;
	uint32_t committed_count;
	uint32_t refused_count; /**< answers 53300 */
	uint32_t wrong_count;   /**< unexpected answers, such as rows of another transaction */
	bool is_committed[TRANSACTIONS_PER_WRITER];
	char first_error[160];
};

/*
 * Runs a statement and frees `sql`. Counts refusals and wrong answers and keeps the first wrong
 * one. Returns whether the answer is as expected.
 */
static bool run_writer_step(struct writer *w, PGconn *conn, const char *expected, char *sql)
{
	char *result = pw_harness_query(conn, STATEMENT_TIMEOUT_MS, sql, NULL);
	bool matches = strcmp(result, expected) == 0;

	if (!matches && strcmp(result, "ERROR 53300") == 0)
		w->refused_count++;
	else if (!matches && !w->wrong_count++)
		g_snprintf(w->first_error, sizeof(w->first_error), "%s: %s", sql, result);
	g_free(result);
	g_free(sql);
	return matches;
}

static void run_writer_transaction(struct writer *w, PGconn *conn, uint32_t i)
{
	bool should_commit = i % 3 != 0;
	char *value = g_strdup_printf("%u-%u", w->index, i);
	char *rows = g_strdup_printf("%s;%s", value, value);

	if (!run_writer_step(w, conn, "BEGIN", g_strdup("BEGIN")))
		goto done;
	if (run_writer_step(
		    w, conn, "INSERT 0 1",
		    g_strdup_printf("INSERT INTO mix (k, v) VALUES ('%s', '%s')", value, value)) &&
	    run_writer_step(w, conn, value,
			    g_strdup_printf("SELECT v FROM mix WHERE k = '%s'", value)) &&
	    run_writer_step(
		    w, conn, "INSERT 0 1",
		    g_strdup_printf("INSERT INTO mix (k, v) VALUES ('%s', '%s')", value, value)) &&
	    run_writer_step(w, conn, rows,
			    g_strdup_printf("SELECT v FROM mix WHERE k = '%s'", value)) &&
	    should_commit) {
		w->is_committed[i] = run_writer_step(w, conn, "COMMIT", g_strdup("COMMIT"));
		w->committed_count += w->is_committed[i];
	} else {
		run_writer_step(w, conn, "ROLLBACK", g_strdup("ROLLBACK"));
	}
done:
	g_free(value);
	g_free(rows);
}

static gpointer run_writer(gpointer data)
{
	struct writer *w = data;
	char *error = NULL;
	PGconn *conn = pw_harness_connect(&w->login, STATEMENT_TIMEOUT_MS, &error);

	for (uint32_t i = 0; conn && i < TRANSACTIONS_PER_WRITER; i++)
		run_writer_transaction(w, conn, i);
	if (!conn)
		w->wrong_count++;
	g_free(error);
	PQfinish(conn);
	return NULL;
}

/* Guards against statements that run on the upstream connection of another transaction. */
static void concurrent_transactions(void)
{
	struct writer writers[WRITER_COUNT];
	uint32_t committed = 0, refused = 0;

	for (uint32_t i = 0; i < WRITER_COUNT; i++) {
		writers[i] = (struct writer){
			.index = i,
			.login = pw_fleet_login(fleet, i % 2, "amber", "orders"),
		};
		writers[i].thread = g_thread_new("writer", run_writer, &writers[i]);
	}
	for (uint32_t i = 0; i < WRITER_COUNT; i++)
		g_thread_join(writers[i].thread);
	for (uint32_t i = 0; i < WRITER_COUNT; i++) {
		committed += writers[i].committed_count;
		refused += writers[i].refused_count;
		ck_assert_msg(writers[i].wrong_count == 0, "session %u: %s", i,
			      writers[i].first_error);
		for (uint32_t j = 0; j < TRANSACTIONS_PER_WRITER; j++) {
			char *sql = g_strdup_printf("SELECT v FROM mix WHERE k = '%u-%u'", i, j);
			char *rows = g_strdup_printf("%u-%u;%u-%u", i, j, i, j);

			expect_on_primary(sql, writers[i].is_committed[j] ? rows : "");
			g_free(rows);
			g_free(sql);
		}
	}
	printf("  committed %u, refused %u\n", committed, refused);
	ck_assert_uint_gt(committed, 0);
}

/* Guards against a session that continues or commits the transaction of a closed session. */
static void abandoned_transaction(void)
{
	PGconn *a = connect_to(0), *b;

	expect_result(a, "BEGIN", "BEGIN");
	expect_result(a, "INSERT INTO open (k, v) VALUES ('a', '1')", "INSERT 0 1");
	PQfinish(a);
	for (uint32_t i = 0; i < 5; i++) {
		b = connect_to(0);
		expect_result(b, "BEGIN", "BEGIN");
		expect_result(b, "SELECT * FROM open", "");
		expect_result(b, "COMMIT", "COMMIT");
		PQfinish(b);
	}
	expect_on_primary("SELECT * FROM open", "");
}

/* Guards against a transaction that stays open, or commits, after its proxy was killed. */
static void proxy_killed_in_transaction(void)
{
	PGconn *conns[3], *other_conn = connect_to(0);
	gint64 killed_us;
	char *result;

	/* As many transactions as the server has slots, so that the proxy holds all slots. */
	for (uint32_t i = 0; i < G_N_ELEMENTS(conns); i++) {
		conns[i] = connect_to(2);
		expect_result(conns[i], "BEGIN", "BEGIN");
		expect_result(conns[i], "INSERT INTO dead (k, v) VALUES ('a', '1')", "INSERT 0 1");
	}
	killed_us = g_get_monotonic_time();
	pw_harness_kill(fleet->proxies[2].process);
	for (uint32_t i = 0; i < G_N_ELEMENTS(conns); i++) {
		expect_result(conns[i], "COMMIT", "CLOSED");
		PQfinish(conns[i]);
	}
	g_usleep(300000);
	expect_on_primary("SELECT * FROM dead", "");
	/* The slots of the killed proxy are free again with the next epoch of the member table. */
	do {
		result = pw_harness_query(other_conn, STATEMENT_TIMEOUT_MS,
					  "INSERT INTO after (k, v) VALUES ('a', '1')", NULL);
		ck_assert_int_lt(g_get_monotonic_time() - killed_us, RECOVERY_TIMEOUT_MS * 1000);
	} while (strcmp(result, "INSERT 0 1") != 0 && (g_free(result), true));
	g_free(result);
	printf("  writes succeed again after %u ms\n",
	       (uint32_t)((g_get_monotonic_time() - killed_us) / 1000));
	PQfinish(other_conn);
	pw_fleet_start_proxy(fleet, 2);
	ck_assert(pw_fleet_wait_ready(fleet, RECOVERY_TIMEOUT_MS));
}

/* Guards against a transaction that continues on a new connection, without its first statements. */
static void server_lost_in_transaction(void)
{
	uint32_t server = primary_index();
	PGconn *a = connect_to(0), *b = connect_to(1);

	expect_result(a, "BEGIN", "BEGIN");
	expect_result(a, "INSERT INTO gone (k, v) VALUES ('a', '1')", "INSERT 0 1");
	expect_result(b, "BEGIN", "BEGIN");
	expect_result(b, "INSERT INTO gone (k, v) VALUES ('b', '1')", "INSERT 0 1");
	pw_harness_kill(fleet->servers[DATABASE][server]);
	expect_result(a, "INSERT INTO gone (k, v) VALUES ('a', '2')", "ERROR 40001");
	expect_result(a, "INSERT INTO gone (k, v) VALUES ('a', '3')", "ERROR 25P02");
	expect_result(a, "COMMIT", "ROLLBACK");
	/* The proxy knows of the lost connection before it sends COMMIT. */
	expect_result(b, "COMMIT", "ERROR 40001");
	ck_assert(PW_HARNESS_WAIT_UNTIL(pw_fleet_find_primary(fleet, DATABASE) >= 0,
					RECOVERY_TIMEOUT_MS));
	pw_fleet_start_server(fleet, DATABASE, server, primary_index());
	ck_assert(pw_fleet_wait_replicated(fleet, DATABASE, RECOVERY_TIMEOUT_MS));
	expect_result(a, "BEGIN", "BEGIN");
	expect_result(a, "INSERT INTO gone (k, v) VALUES ('a', '4')", "INSERT 0 1");
	expect_result(a, "COMMIT", "COMMIT");
	expect_on_primary("SELECT * FROM gone", "a|4");
	PQfinish(a);
	PQfinish(b);
}

/* Guards against a COMMIT without an answer that is reported as rolled back or sent again. */
static void dropped_answer_of_commit(void)
{
	PGconn *conn = connect_to(0);

	expect_result(conn, "BEGIN", "BEGIN");
	expect_result(conn, "INSERT INTO committed (k, v) VALUES ('a', '1')", "INSERT 0 1");
	pw_fleet_set_fault(fleet, DATABASE, primary_index(), "drop_answers", "1");
	expect_result(conn, "COMMIT", "ERROR 08007");
	expect_on_primary("SELECT * FROM committed", "a|1");
	ck_assert_int_eq(PQtransactionStatus(conn), PQTRANS_IDLE);
	expect_result(conn, "SELECT * FROM committed", "a|1");
	PQfinish(conn);
}

/* Guards against a write that runs twice because its answer was lost. */
static void dropped_answer_of_write(void)
{
	const char *const params[] = { "b", NULL };
	PGconn *conn = connect_to(0);
	char *result;

	pw_fleet_set_fault(fleet, DATABASE, primary_index(), "drop_answers", "1");
	expect_result(conn, "INSERT INTO once (k, v) VALUES ('a', '1')", "ERROR 08007");
	pw_fleet_set_fault(fleet, DATABASE, primary_index(), "drop_answers", "1");
	result = pw_harness_query(conn, STATEMENT_TIMEOUT_MS,
				  "INSERT INTO once (k, v) VALUES ($1, '1')", params);
	ck_assert_str_eq(result, "ERROR 08007");
	g_free(result);
	expect_on_primary("SELECT * FROM once", "a|1;b|1");
	/* The route "again" allows its statements to be repeated. */
	pw_fleet_set_fault(fleet, DATABASE, primary_index(), "drop_answers", "1");
	expect_result(conn, "INSERT INTO again (k, v) VALUES ('a', '1')", "INSERT 0 1");
	expect_on_primary("SELECT * FROM again", "a|1;a|1");
	PQfinish(conn);
}

/* Guards against a repeatable write that has run and is said not to have, since no repeat was
 * answered. */
static void dropped_answers_of_repeatable_write(void)
{
	PGconn *conn = connect_to(0);
	uint32_t primary = primary_index();

	pw_fleet_set_fault(fleet, DATABASE, primary, "drop_answers", "1000");
	pw_fleet_set_fault(fleet, DATABASE, primary, "refuse", "1");
	expect_result(conn, "INSERT INTO again (k, v) VALUES ('b', '1')", "ERROR 08007");
	pw_fleet_set_fault(fleet, DATABASE, primary, "refuse", "0");
	pw_fleet_set_fault(fleet, DATABASE, primary, "drop_answers", "0");
	ck_assert(pw_fleet_wait_ready(fleet, RECOVERY_TIMEOUT_MS));
	ck_assert(pw_fleet_wait_replicated(fleet, DATABASE, RECOVERY_TIMEOUT_MS));
	PQfinish(conn);
}

/* Guards against a read that fails, or a write that is repeated, on a connection gone silent. */
static void silent_connections(void)
{
	PGconn *conn = connect_to(0);

	expect_result(conn, "INSERT INTO short (k, v) VALUES ('a', '1')", "INSERT 0 1");
	set_fault_on_all_servers("silent", "1");
	expect_result(conn, "SELECT v FROM short WHERE k = 'a'", "1");
	/* The idle upstream connections are silent, too. */
	expect_result(conn, "INSERT INTO short (k, v) VALUES ('c', '1')", "ERROR 08007");
	ck_assert(pw_fleet_wait_replicated(fleet, DATABASE, RECOVERY_TIMEOUT_MS));
	expect_on_primary("SELECT v FROM short WHERE k = 'c'", "1");
	PQfinish(conn);
}

/* Answers that arrive after the timeout of the route. */

#define READER_COUNT         6
#define LATE_ANSWERS_TEST_MS 2500

struct reader {
	GThread *thread;
	struct pw_harness_login login;
	uint32_t index;
	gint *stop; /**< not 0: send no further statement */
	uint32_t answered_count;
	uint32_t failed_count;
	char first_error[160]; /**< answer to another statement, or failed connect; "": none */
};

static gpointer run_reader(gpointer data)
{
	struct reader *r = data;
	char *error = NULL;
	PGconn *conn = pw_harness_connect(&r->login, STATEMENT_TIMEOUT_MS, &error);

	for (uint32_t i = 0; conn && !g_atomic_int_get(r->stop); i++) {
		char *value = g_strdup_printf("late-%u-%u", r->index, i);
		char *sql = g_strdup_printf("SELECT '%s'", value);
		char *result = pw_harness_query(conn, STATEMENT_TIMEOUT_MS, sql, NULL);

		if (strcmp(result, value) == 0)
			r->answered_count++;
		else if (g_str_has_prefix(result, "ERROR "))
			r->failed_count++;
		else if (!*r->first_error)
			g_snprintf(r->first_error, sizeof(r->first_error), "%s: %s", sql, result);
		g_free(result);
		g_free(sql);
		g_free(value);
	}
	if (!conn)
		g_snprintf(r->first_error, sizeof(r->first_error), "%s", error);
	g_free(error);
	PQfinish(conn);
	return NULL;
}

/* Guards against a late answer that the next user of the upstream connection receives. */
static void late_answers(void)
{
	struct reader readers[READER_COUNT];
	gint64 end_us = g_get_monotonic_time() + LATE_ANSWERS_TEST_MS * 1000;
	uint32_t answered = 0, failed = 0;
	gint stop = 0;

	for (uint32_t i = 0; i < READER_COUNT; i++) {
		readers[i] = (struct reader){
			.index = i,
			.stop = &stop,
			.login = pw_fleet_login(fleet, i % PROXY_COUNT, "amber", "orders"),
		};
		readers[i].thread = g_thread_new("reader", run_reader, &readers[i]);
	}
	while (g_get_monotonic_time() < end_us) {
		g_usleep(100000);
		set_fault_on_all_servers("delay_ms", "250");
		g_usleep(300000);
		set_fault_on_all_servers("delay_ms", "0");
	}
	g_usleep(200000);
	g_atomic_int_set(&stop, 1);
	for (uint32_t i = 0; i < READER_COUNT; i++)
		g_thread_join(readers[i].thread);
	for (uint32_t i = 0; i < READER_COUNT; i++) {
		answered += readers[i].answered_count;
		failed += readers[i].failed_count;
		ck_assert_msg(!*readers[i].first_error, "%s", readers[i].first_error);
	}
	printf("  answered %u, failed %u\n", answered, failed);
	ck_assert_uint_gt(answered, 0);
	ck_assert(pw_fleet_wait_replicated(fleet, DATABASE, RECOVERY_TIMEOUT_MS));
}

static void prepare_statement(PGconn *conn, const char *name, const char *sql)
{
	PGresult *r = PQprepare(conn, name, sql, 0, NULL);
	char *text = pw_harness_format_result(r);

	ck_assert_msg(PQresultStatus(r) == PGRES_COMMAND_OK, "%s: %s", name, text);
	g_free(text);
	PQclear(r);
}

/*
 * Guards against sessions that run, describe or overwrite each other's prepared statements, which
 * share upstream connections.
 */
static void prepared_statements(void)
{
	static const char *const texts[] = { "SELECT v FROM prep WHERE k = $1", "SELECT $1" };
	const char *const params[] = { "a" };
	static const char *const expected[] = { "1", "a" };
	PGconn *conns[4];

	for (uint32_t i = 0; i < G_N_ELEMENTS(conns); i++) {
		conns[i] = connect_to(0);
		if (i == 0)
			expect_result(conns[0], "INSERT INTO prep (k, v) VALUES ('a', '1')",
				      "INSERT 0 1");
		prepare_statement(conns[i], "same", texts[i % 2]);
	}
	for (uint32_t round = 0; round < 10; round++) {
		for (uint32_t i = 0; i < G_N_ELEMENTS(conns); i++) {
			PGresult *r = PQexecPrepared(conns[i], "same", 1, params, NULL, NULL, 0);
			char *text = pw_harness_format_result(r);

			ck_assert_msg(strcmp(text, expected[i % 2]) == 0,
				      "round %u, session %u: %s", round, i, text);
			g_free(text);
			PQclear(r);
		}
	}
	for (uint32_t i = 0; i < G_N_ELEMENTS(conns); i++)
		PQfinish(conns[i]);
	/* A session without a statement of this name must not find another session's statement. */
	for (uint32_t i = 0; i < 6; i++) {
		PGconn *b = connect_to(0);
		PGresult *r = PQexecPrepared(b, "same", 1, params, NULL, NULL, 0);

		ck_assert_str_eq(PQresultErrorField(r, PG_DIAG_SQLSTATE), "26000");
		PQclear(r);
		r = PQdescribePrepared(b, "same");
		ck_assert_str_eq(PQresultErrorField(r, PG_DIAG_SQLSTATE), "26000");
		PQclear(r);
		PQfinish(b);
	}
}

/* Reads the results of a pipeline up to its next Sync, as "result,result,SYNC,". */
static char *read_pipeline_results(PGconn *conn)
{
	GString *s = g_string_new(NULL);
	bool synced = false;

	while (!synced) {
		PGresult *r = PQgetResult(conn);
		char *text;

		if (!r) {
			ck_assert_msg(PQstatus(conn) == CONNECTION_OK, "%s", PQerrorMessage(conn));
			continue;
		}
		synced = PQresultStatus(r) == PGRES_PIPELINE_SYNC;
		text = synced ? g_strdup("SYNC") : pw_harness_format_result(r);
		g_string_append_printf(s, "%s,", text);
		g_free(text);
		PQclear(r);
	}
	return g_string_free(s, FALSE);
}

static void send_insert(PGconn *conn, const char *table, const char *k)
{
	char *sql = g_strdup_printf("INSERT INTO %s (k, v) VALUES ($1, '1')", table);

	ck_assert(PQsendQueryParams(conn, sql, 1, NULL, &k, NULL, NULL, 0));
	g_free(sql);
}

/* Guards against lost or reordered answers of a pipeline and against partly committed batches. */
static void pipeline(void)
{
	PGconn *conn = connect_to(0);
	char *results;

	ck_assert(PQenterPipelineMode(conn));
	for (uint32_t i = 0; i < 3; i++) {
		send_insert(conn, "pipe", "a");
		send_insert(conn, "pipe", "b");
		ck_assert(PQpipelineSync(conn));
	}
	send_insert(conn, "pipe", "c");
	ck_assert(PQsendQueryParams(conn, "SELECT nonsense FROM", 0, NULL, NULL, NULL, NULL, 0));
	send_insert(conn, "pipe", "d");
	ck_assert(PQpipelineSync(conn));
	ck_assert(PQsendQueryParams(conn, "SELECT 'end'", 0, NULL, NULL, NULL, NULL, 0));
	ck_assert(PQpipelineSync(conn));
	for (uint32_t i = 0; i < 3; i++) {
		results = read_pipeline_results(conn);
		ck_assert_str_eq(results, "INSERT 0 1,INSERT 0 1,SYNC,");
		g_free(results);
	}
	results = read_pipeline_results(conn);
	ck_assert_str_eq(results, "INSERT 0 1,ERROR 42601,ABORTED,SYNC,");
	g_free(results);
	results = read_pipeline_results(conn);
	ck_assert_str_eq(results, "end,SYNC,");
	g_free(results);
	expect_on_primary("SELECT * FROM pipe", "a|1;a|1;a|1;b|1;b|1;b|1");
	PQfinish(conn);
}

/* Guards against a prepared statement that is lost because a later message of its batch failed. */
static void prepared_before_failure_in_batch(void)
{
	const char *const params[] = { "a" };
	PGconn *conn = connect_to(0);
	PGresult *r;
	char *results;

	ck_assert(PQenterPipelineMode(conn));
	ck_assert(PQsendPrepare(conn, "kept", "SELECT $1", 0, NULL));
	ck_assert(PQsendQueryParams(conn, "SELECT nonsense FROM", 0, NULL, NULL, NULL, NULL, 0));
	ck_assert(PQsendPrepare(conn, "skipped", "SELECT $1", 0, NULL));
	ck_assert(PQpipelineSync(conn));
	results = read_pipeline_results(conn);
	ck_assert_str_eq(results, ",ERROR 42601,ABORTED,SYNC,");
	g_free(results);
	ck_assert(PQexitPipelineMode(conn));
	r = PQexecPrepared(conn, "kept", 1, params, NULL, NULL, 0);
	results = pw_harness_format_result(r);
	ck_assert_str_eq(results, "a");
	g_free(results);
	PQclear(r);
	r = PQexecPrepared(conn, "skipped", 1, params, NULL, NULL, 0);
	ck_assert_str_eq(PQresultErrorField(r, PG_DIAG_SQLSTATE), "26000");
	PQclear(r);
	PQfinish(conn);
}

#define LARGE_ROW_COUNT 12
#define LARGE_ROW_BYTES 500000

static uint64_t read_resident_memory_kib(const struct pw_harness_process *p)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)p->pid), *status_text = NULL;
	const char *field;
	uint64_t kib;

	ck_assert(g_file_get_contents(path, &status_text, NULL, NULL));
	field = strstr(status_text, "VmRSS:");
	kib = field ? g_ascii_strtoull(field + strlen("VmRSS:") +
					       strspn(field + strlen("VmRSS:"), " \t"),
				       NULL, 10)
		    : 0;
	g_free(status_text);
	g_free(path);
	return kib;
}

/*
 * Guards against truncated answers to a slow reader. Prints the memory of the proxy, which should
 * not grow with the answer.
 */
static void large_answers(void)
{
	char *value = g_strnfill(LARGE_ROW_BYTES, 'x');
	char *sql = g_strdup_printf("INSERT INTO big (k, v) VALUES ('a', '%s')", value);
	PGconn *conn = connect_to(0);
	PGresult *r;
	uint32_t row_count = 0;
	uint64_t before_kib, max_kib = 0;

	for (uint32_t i = 0; i < LARGE_ROW_COUNT; i++)
		expect_result(conn, sql, "INSERT 0 1");
	before_kib = read_resident_memory_kib(fleet->proxies[0].process);
	ck_assert(PQsendQuery(conn, "SELECT * FROM big"));
	ck_assert(PQsetSingleRowMode(conn));
	while ((r = PQgetResult(conn))) {
		if (PQresultStatus(r) == PGRES_SINGLE_TUPLE) {
			ck_assert_int_eq(PQgetlength(r, 0, 1), LARGE_ROW_BYTES);
			row_count++;
			g_usleep(50000);
			max_kib = MAX(max_kib, read_resident_memory_kib(fleet->proxies[0].process));
		}
		PQclear(r);
	}
	ck_assert_uint_eq(row_count, LARGE_ROW_COUNT);
	expect_result(conn, "SELECT 1", "1");
	printf("  memory of the proxy %" G_GUINT64_FORMAT " KiB before, at most %" G_GUINT64_FORMAT
	       " KiB\n",
	       before_kib, max_kib);
	PQfinish(conn);
	g_free(sql);
	g_free(value);
}

/* Caller connections without libpq, which send any bytes. */

struct raw_conn {
	int32_t fd;
	GByteArray *input;   /**< received, not parsed yet */
	uint32_t process_id; /**< from BackendKeyData */
	uint32_t secret_key; /**< from BackendKeyData */
};

static void raw_open(struct raw_conn *c, uint32_t proxy)
{
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(fleet->proxies[proxy].caller_port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	*c = (struct raw_conn){ .fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
	c->input = g_byte_array_new();
	ck_assert_int_eq(connect(c->fd, (const struct sockaddr *)&address, sizeof(address)), 0);
}

static void raw_close(struct raw_conn *c)
{
	close(c->fd);
	g_byte_array_unref(c->input);
}

static void raw_send(const struct raw_conn *c, const void *data, size_t size)
{
	/* The proxy may have closed the connection already. */
	(void)!send(c->fd, data, size, MSG_NOSIGNAL);
}

/* Sends a buffer and frees it. */
static void raw_send_buffer(const struct raw_conn *c, GByteArray *buffer)
{
	raw_send(c, buffer->data, buffer->len);
	g_byte_array_unref(buffer);
}

/*
 * Reads up to a message of one of the types, or up to the end of the connection if `types` is "".
 * Stores the SQLSTATE of an error in `sqlstate` unless that is NULL. Returns the type, or 0 at the
 * end of the connection.
 */
static char raw_read_until(struct raw_conn *c, const char *types, char *sqlstate)
{
	const gint64 end_us = g_get_monotonic_time() + RAW_TIMEOUT_MS * 1000;
	uint8_t buffer[4096];

	for (;;) {
		struct pollfd p = { .fd = c->fd, .events = POLLIN };
		struct pw_pg_frame f;
		ssize_t n;

		while (c->input->len &&
		       pw_pg_frame_next(&f, c->input->data, c->input->len, INT32_MAX) == 0) {
			char type = (char)f.type;
			const char *state = type == 'E' ? pw_pg_get_error_field(&f, 'C') : NULL;
			struct pw_pg_reader r;

			if (state && sqlstate)
				g_strlcpy(sqlstate, state, 6);
			pw_pg_reader_init(&r, &f);
			if (type == 'K') {
				c->process_id = pw_pg_get_u32(&r);
				c->secret_key = pw_pg_get_u32(&r);
			}
			g_byte_array_remove_range(c->input, 0, f.size_bytes);
			if (strchr(types, type))
				return type;
		}
		ck_assert_msg(g_get_monotonic_time() < end_us && poll(&p, 1, RAW_TIMEOUT_MS) > 0,
			      "no message of type %s", types);
		n = recv(c->fd, buffer, sizeof(buffer), 0);
		if (n <= 0)
			return 0;
		g_byte_array_append(c->input, buffer, (guint)n);
	}
}

/* State of the login in which a case sends its bytes. */
enum login_stage { STAGE_STARTUP, STAGE_PASSWORD, STAGE_READY };

static void raw_login(struct raw_conn *c, uint32_t proxy, enum login_stage stage)
{
	const char *const params[] = { "user", "amber", "database", "orders", NULL };
	GByteArray *buffer = g_byte_array_new();

	raw_open(c, proxy);
	if (stage == STAGE_STARTUP) {
		g_byte_array_unref(buffer);
		return;
	}
	pw_pg_put_startup_message(buffer, params);
	raw_send_buffer(c, buffer);
	ck_assert_int_eq(raw_read_until(c, "R", NULL), 'R');
	if (stage == STAGE_PASSWORD)
		return;
	buffer = g_byte_array_new();
	pw_pg_put_password(buffer, pw_fleet_account_key("amber"));
	raw_send_buffer(c, buffer);
	ck_assert_int_eq(raw_read_until(c, "Z", NULL), 'Z');
}

/* Guards against cancel requests without effect, or that work with a wrong secret key. */
static void cancel_query_through(uint32_t proxy)
{
	struct raw_conn caller, canceller;
	GByteArray *buffer = g_byte_array_new();
	char sqlstate[6] = "";
	gint64 start_us = g_get_monotonic_time();

	raw_login(&caller, 0, STAGE_READY);
	pw_pg_put_query(buffer, "SELECT pg_sleep(3)");
	raw_send_buffer(&caller, buffer);
	g_usleep(200000);
	/* First with a wrong secret key, which has no effect, then with the right one. */
	for (uint32_t i = 0; i < 2; i++) {
		raw_open(&canceller, proxy);
		buffer = g_byte_array_new();
		pw_pg_put_cancel_request(buffer, caller.process_id, caller.secret_key + 1 - i);
		raw_send_buffer(&canceller, buffer);
		ck_assert_int_eq(raw_read_until(&canceller, "Z", NULL), 0);
		raw_close(&canceller);
		g_usleep(200000);
		ck_assert_int_eq(recv(caller.fd, sqlstate, 1, MSG_PEEK | MSG_DONTWAIT) > 0, i == 1);
	}
	ck_assert_int_eq(raw_read_until(&caller, "Z", sqlstate), 'Z');
	ck_assert_str_eq(sqlstate, "57014");
	ck_assert_int_lt(g_get_monotonic_time() - start_us, 2 * G_USEC_PER_SEC);
	buffer = g_byte_array_new();
	pw_pg_put_query(buffer, "SELECT 1");
	raw_send_buffer(&caller, buffer);
	ck_assert_int_eq(raw_read_until(&caller, "DE", NULL), 'D');
	raw_close(&caller);
}

static void cancel_through_same_proxy(void)
{
	cancel_query_through(0);
}

static void cancel_through_another_proxy(void)
{
	cancel_query_through(1);
}

static const struct {
	const char *label;
	void (*run)(void);
} cases[] = {
	{ "concurrent transactions over few connections", concurrent_transactions },
	{ "transaction left open", abandoned_transaction },
	{ "dropped answer of COMMIT", dropped_answer_of_commit },
	{ "dropped answer of a write", dropped_answer_of_write },
	{ "dropped answers of a repeatable write", dropped_answers_of_repeatable_write },
	{ "silent connections", silent_connections },
	{ "late answers", late_answers },
	{ "cancel through the same proxy", cancel_through_same_proxy },
	{ "cancel through another proxy", cancel_through_another_proxy },
	{ "prepared statements", prepared_statements },
	{ "pipeline", pipeline },
	{ "statement prepared before a failure in its batch", prepared_before_failure_in_batch },
	{ "large answers", large_answers },
	{ "server lost in a transaction", server_lost_in_transaction },
	{ "proxy killed in a transaction", proxy_killed_in_transaction },
};

/* Runs one case; the failure that it guards against stands above its function. */
START_TEST(test_transaction)
{
	gint64 start_us = g_get_monotonic_time();

	cases[_i].run();
	printf("%s: %u ms\n", cases[_i].label,
	       (uint32_t)((g_get_monotonic_time() - start_us) / 1000));
}
END_TEST

/* Messages of the extended protocol; a message length includes its own four bytes. */
#define BYTES(text) .bytes = (text), .size = sizeof(text) - 1
#define PARSE       "P\0\0\0\x10\0SELECT 1\0\0\0"
#define PARSE_NAMED "P\0\0\0\x11n\0SELECT 1\0\0\0"
#define SYNC        "S\0\0\0\4"

static const struct {
	const char *label;
	enum login_stage stage;
	const char *bytes;
	size_t size;
	const char *sqlstate; /**< "": the caller sends EOF and the proxy closes without an error */
	bool stays_usable;    /**< the connection stays usable after the error */
} raw_cases[] = {
	{ "start-up with length 3", STAGE_STARTUP, BYTES("\0\0\0\3\0\3\0\0"), "08P01" },
	{ "start-up with a huge length", STAGE_STARTUP, BYTES("\x7f\xff\xff\xff\0\3\0\0"),
	  "08P01" },
	{ "start-up with a negative length", STAGE_STARTUP, BYTES("\xff\xff\xff\xff\0\3\0\0"),
	  "08P01" },
	{ "start-up of protocol 2", STAGE_STARTUP, BYTES("\0\0\0\x8\0\2\0\0"), "0A000" },
	{ "start-up without a user", STAGE_STARTUP, BYTES("\0\0\0\x9\0\3\0\0\0"), "08P01" },
	{ "start-up with an unterminated name", STAGE_STARTUP, BYTES("\0\0\0\xc\0\3\0\0user"),
	  "08P01" },
	{ "HTTP request as start-up", STAGE_STARTUP, BYTES("GET / HTTP/1.0\r\n\r\n"), "08P01" },
	{ "truncated start-up", STAGE_STARTUP, BYTES("\0\0\0"), "" },
	{ "truncated cancel request", STAGE_STARTUP, BYTES("\0\0\0\xc\4\xd2\x16\x2e\0\0\0\1"), "" },
	{ "Query in place of the password", STAGE_PASSWORD, BYTES("Q\0\0\0\xdSELECT 1\0"),
	  "08P01" },
	{ "unterminated password", STAGE_PASSWORD, BYTES("p\0\0\0\6ab"), "08P01" },
	{ "password with length 0", STAGE_PASSWORD, BYTES("p\0\0\0\0"), "08P01" },
	{ "password with a huge length", STAGE_PASSWORD, BYTES("p\x7f\xff\xff\xff"), "08P01" },
	{ "wrong password", STAGE_PASSWORD, BYTES("p\0\0\0\6a\0"), "28P01" },
	{ "truncated password", STAGE_PASSWORD, BYTES("p\0\0"), "" },
	{ "unknown type", STAGE_READY, BYTES("!\0\0\0\4"), "08P01" },
	{ "copy data", STAGE_READY, BYTES("d\0\0\0\5x"), "08P01" },
	{ "length 0", STAGE_READY, BYTES("Q\0\0\0\0"), "08P01" },
	{ "negative length", STAGE_READY, BYTES("Q\xff\xff\xff\xff"), "54000" },
	{ "oversized Query", STAGE_READY, BYTES("Q\x7f\xff\xff\xff"), "54000" },
	{ "oversized Bind", STAGE_READY, BYTES("B\0\x20\0\0"), "54000" },
	{ "unterminated Query", STAGE_READY, BYTES("Q\0\0\0\7abc"), "08P01" },
	{ "unterminated Parse", STAGE_READY,
	  BYTES("P\0\0\0\x7"
		"abc"),
	  "08P01" },
	{ "Bind without names", STAGE_READY, BYTES("B\0\0\0\4"), "08P01" },
	{ "Describe of an unknown kind", STAGE_READY, BYTES("D\0\0\0\6Z\0"), "08P01" },
	{ "Close without a name", STAGE_READY, BYTES("C\0\0\0\5S"), "08P01" },
	{ "Query within a batch", STAGE_READY, BYTES(PARSE "Q\0\0\0\xdSELECT 1\0"), "08P01" },
	{ "function call", STAGE_READY, BYTES("F\0\0\0\4"), "0A000", true },
	{ "Flush", STAGE_READY, BYTES(PARSE "H\0\0\0\4" SYNC), "0A000", true },
	{ "Execute of an unknown portal", STAGE_READY, BYTES("E\0\0\0\xax\0\0\0\0\0" SYNC), "34000",
	  true },
	{ "Bind of an unknown statement", STAGE_READY, BYTES("B\0\0\0\xf\0nil\0\0\0\0\0\0\0" SYNC),
	  "26000", true },
	{ "Bind with missing values", STAGE_READY, BYTES(PARSE "B\0\0\0\xa\0\0\0\0\xff\xff" SYNC),
	  "08P01", true },
	{ "Bind with a value beyond the end of the message", STAGE_READY,
	  BYTES(PARSE "B\0\0\0\xe\0\0\0\0\0\1\x7f\xff\xff\xff" SYNC), "08P01", true },
	{ "unnamed statement of another session", STAGE_READY,
	  BYTES("B\0\0\0\xc\0\0\0\0\0\0\0\0" SYNC), "26000", true },
	{ "statement used, then prepared again", STAGE_READY,
	  BYTES(PARSE SYNC "B\0\0\0\xc\0\0\0\0\0\0\0\0" PARSE "Q\0\0\0\xdSELECT 1\0"), "08P01" },
	{ "statement used, then closed", STAGE_READY,
	  BYTES(PARSE_NAMED SYNC "B\0\0\0\xd\0n\0\0\0\0\0\0\0"
				 "C\0\0\0\x7Sn\0"
				 "B\0\0\0\xd\0n\0\0\0\0\0\0\0" SYNC "!\0\0\0\4"),
	  "08P01" },
	{ "truncated Query", STAGE_READY, BYTES("Q\0\0\0\x20SELECT"), "" },
	{ "batch without Sync", STAGE_READY, BYTES(PARSE), "" },
	{ "several statements", STAGE_READY, BYTES("Q\0\0\0\x16SELECT 1;SELECT 2\0"), "0A000",
	  true },
};

/* Guards against input that crashes the proxy, makes it hang or gets the wrong error. */
START_TEST(test_raw_messages)
{
	char sqlstate[6] = "";
	struct raw_conn c;
	GByteArray *buffer;
	char *health;

	raw_login(&c, (uint32_t)_i % PROXY_COUNT, raw_cases[_i].stage);
	raw_send(&c, raw_cases[_i].bytes, raw_cases[_i].size);
	if (!*raw_cases[_i].sqlstate)
		shutdown(c.fd, SHUT_WR);
	if (raw_cases[_i].stays_usable) {
		ck_assert_msg(raw_read_until(&c, "Z", sqlstate) == 'Z',
			      "%s: the connection was closed", raw_cases[_i].label);
		buffer = g_byte_array_new();
		pw_pg_put_query(buffer, "SELECT 1");
		raw_send_buffer(&c, buffer);
		ck_assert_msg(raw_read_until(&c, "DE", NULL) == 'D',
			      "%s: the connection is not usable", raw_cases[_i].label);
	} else {
		ck_assert_msg(raw_read_until(&c, "", sqlstate) == 0,
			      "%s: the connection stays open", raw_cases[_i].label);
	}
	raw_close(&c);
	ck_assert_msg(strcmp(sqlstate, raw_cases[_i].sqlstate) == 0, "%s: %s, expected %s",
		      raw_cases[_i].label, sqlstate, raw_cases[_i].sqlstate);
	health = pw_fleet_http_get(fleet, (uint32_t)_i % PROXY_COUNT, "/healthz");
	ck_assert_msg(health != NULL, "%s: the proxy does not answer", raw_cases[_i].label);
	g_free(health);
}
END_TEST

/* Runs last. Guards against crashes of a proxy or a task that the other tests did not notice. */
START_TEST(test_stop)
{
	for (uint32_t i = 0; i < PROXY_COUNT; i++)
		ck_assert_uint_eq(pw_fleet_read_counter(fleet, i, "task_restarts_total"), 0);
	for (uint32_t i = 0; i < PROXY_COUNT; i++)
		pw_harness_signal(fleet->proxies[i].process, SIGTERM);
	for (uint32_t i = 0; i < PROXY_COUNT; i++) {
		struct pw_harness_process *p = fleet->proxies[i].process;

		ck_assert(pw_harness_wait_end(p, RECOVERY_TIMEOUT_MS));
		ck_assert_msg(WIFEXITED(p->status) && WEXITSTATUS(p->status) == 0,
			      "the proxy ended with status %x", (unsigned int)p->status);
	}
}
END_TEST

static void set_up(void)
{
	static const char *const edits[] = {
		"\"routes\": [",
		"\"routes\": ["
		"{\"name\":\"again\",\"database\":\"orders\",\"match\":[\"insert into again\"],"
		"\"access\":\"keyed\",\"kind\":\"write\",\"repeatable\":true},"
		"{\"name\":\"short\",\"database\":\"orders\",\"match\":[\"select v from short\","
		"\"select 'late\"],\"access\":\"keyed\",\"kind\":\"read\",\"timeout_ms\":200},"
		"{\"name\":\"short-writes\",\"database\":\"orders\",\"match\":[\"insert into "
		"short\"],"
		"\"access\":\"keyed\",\"kind\":\"write\",\"timeout_ms\":200},",
		NULL,
	};
	static const char *const env[] = { "PW_DRAIN_GRACE=100ms", NULL };
	const struct pw_fleet_options o = {
		.proxy_count = PROXY_COUNT,
		.lag_ms = 20,
		.document_edits = edits,
		.proxy_env = env,
	};

	fleet = pw_fleet_new(&o);
}

static void tear_down(void)
{
	pw_fleet_free(fleet);
}

int main(void)
{
	TCase *tc = tcase_create("transactions");

	/* The cases share one fleet, whose processes are children of this one. */
	g_setenv("CK_FORK", "no", TRUE);
	tcase_add_unchecked_fixture(tc, set_up, tear_down);
	tcase_add_loop_test(tc, test_transaction, 0, PW_ARRAY_LEN(cases));
	tcase_add_loop_test(tc, test_raw_messages, 0, PW_ARRAY_LEN(raw_cases));
	tcase_add_test(tc, test_stop);
	return pw_suite_run("transactions", tc);
}
