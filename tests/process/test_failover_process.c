/*
 * Tests failover with real processes. Writers insert rows with unique keys through all proxies
 * while a fault is active; then the rows of the new primary are compared with the results that the
 * writers got (invariants I2, I9 and I10, measure M2).
 */
#include "suite.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "harness_fleet.h"

#define PROXY_COUNT       3
#define WRITERS_PER_PROXY 2
#define WRITER_COUNT      (PROXY_COUNT * WRITERS_PER_PROXY)
#define WRITE_TIMEOUT_MS  6000
#define SETTLE_TIMEOUT_MS 10000
#define WARM_UP_MS        400
#define AFTER_FAULT_MS    700
#define WRITE_PAUSE_US    4000
#define GAP_MAX_MS        3000

static struct pw_fleet *fleet;

/* Proxies that a case has killed or paused; gaps in the service of their callers do not count. */
static bool proxy_interrupted[PROXY_COUNT];

enum outcome { ACKNOWLEDGED, NOT_RUN, UNKNOWN, OUTCOME_COUNT };

struct write {
	enum outcome outcome;
	gint64 sent_us;
	gint64 answered_us;
	char sqlstate[8]; /**< SQLSTATE of an error, else the start of the result */
};

struct writer {
	GThread *thread;
	struct pw_harness_login login;
	const char *table;
	uint32_t number;
	gint *stop;
	GArray *writes; /**< struct write; write i inserts the key "<number>-<i>" */
};

/* Polls the servers' status until one other than the initial primary reports the role primary. */
struct watcher {
	GThread *thread;
	uint32_t database;
	gint *stop;
	gint initial_primary;
	gint64 promotion_seen_us; /**< time at which the new primary was first seen; 0: not yet */
};

/* A fault; both functions get the primary that the database had at the start of the case. */
struct fault_ops {
	void (*start)(uint32_t database, uint32_t primary);
	void (*end)(uint32_t database, uint32_t primary);
};

static enum outcome classify_result(const char *result)
{
	if (strcmp(result, "INSERT 0 1") == 0)
		return ACKNOWLEDGED;
	/* COMMIT returns ROLLBACK for a transaction that has failed. */
	if (strcmp(result, "ROLLBACK") == 0)
		return NOT_RUN;
	/* 08007 reports an unknown outcome. Without an answer, too, the statement may have run. */
	if (strcmp(result, "ERROR 08007") == 0 || !g_str_has_prefix(result, "ERROR "))
		return UNKNOWN;
	return NOT_RUN;
}

/* Every other writer inserts two rows in a transaction. */
static uint32_t rows_per_write(uint32_t writer)
{
	return writer % 2 ? 2 : 1;
}

/* Inserts the row twice in a transaction. Returns the first unexpected result or "INSERT 0 1". */
static char *run_transaction(PGconn *conn, const char *insert)
{
	const char *const steps[][2] = {
		{ "BEGIN", "BEGIN" },
		{ insert, "INSERT 0 1" },
		{ insert, "INSERT 0 1" },
		{ "COMMIT", "COMMIT" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		char *result = pw_harness_query(conn, WRITE_TIMEOUT_MS, steps[i][0], NULL);

		if (strcmp(result, steps[i][1]) != 0) {
			if (PQtransactionStatus(conn) == PQTRANS_INERROR)
				g_free(pw_harness_query(conn, WRITE_TIMEOUT_MS, "ROLLBACK", NULL));
			return result;
		}
		g_free(result);
	}
	return g_strdup("INSERT 0 1");
}

static gpointer run_writer(gpointer data)
{
	struct writer *w = data;
	PGconn *conn = NULL;

	while (!g_atomic_int_get(w->stop)) {
		struct write write = { 0 };
		char *sql, *result = NULL;

		if (!conn)
			conn = pw_harness_connect(&w->login, WRITE_TIMEOUT_MS, &result);
		if (!conn) {
			g_free(result);
			g_usleep(20000);
			continue;
		}
		sql = g_strdup_printf("INSERT INTO %s (k, v) VALUES ('%u-%u', 'x')", w->table,
				      w->number, w->writes->len);
		write.sent_us = g_get_monotonic_time();
		result = rows_per_write(w->number) > 1
				 ? run_transaction(conn, sql)
				 : pw_harness_query(conn, WRITE_TIMEOUT_MS, sql, NULL);
		write.answered_us = g_get_monotonic_time();
		write.outcome = classify_result(result);
		g_strlcpy(write.sqlstate,
			  g_str_has_prefix(result, "ERROR ") ? result + strlen("ERROR ") : result,
			  sizeof(write.sqlstate));
		g_array_append_val(w->writes, write);
		if (PQstatus(conn) != CONNECTION_OK || strcmp(result, "TIMEOUT") == 0)
			g_clear_pointer(&conn, PQfinish);
		g_free(result);
		g_free(sql);
		g_usleep(WRITE_PAUSE_US);
	}
	PQfinish(conn);
	return NULL;
}

static gpointer run_watcher(gpointer data)
{
	struct watcher *w = data;

	while (!g_atomic_int_get(w->stop) && !w->promotion_seen_us) {
		for (uint32_t i = 0; i < PW_FLEET_SERVERS_PER_DATABASE; i++) {
			char *row;

			if ((gint)i == w->initial_primary)
				continue;
			row = pw_fleet_control_query(fleet, w->database, i,
						     "SELECT * FROM pw_status()");
			if (g_str_has_prefix(row, "primary|"))
				w->promotion_seen_us = g_get_monotonic_time();
			g_free(row);
		}
		g_usleep(5000);
	}
	return NULL;
}

/*
 * Functions of struct fault_ops. The fault "cut" stops the traffic on all connections to a server
 * that have a given application name; proxies connect with the name of their VM. The name "*" stops
 * it on all connections except those of the test itself.
 */

static void no_fault(uint32_t database, uint32_t primary)
{
	(void)database;
	(void)primary;
}

static void kill_primary(uint32_t database, uint32_t primary)
{
	pw_harness_kill(fleet->servers[database][primary]);
}

/* Restarts the server without data, as a replica of the new primary. */
static void restart_server(uint32_t database, uint32_t primary)
{
	int32_t new_primary = pw_fleet_find_primary(fleet, database);

	ck_assert_int_ge(new_primary, 0);
	pw_fleet_start_server(fleet, database, primary, (uint32_t)new_primary);
}

static void pause_primary(uint32_t database, uint32_t primary)
{
	pw_harness_signal(fleet->servers[database][primary], SIGSTOP);
}

static void resume_primary(uint32_t database, uint32_t primary)
{
	pw_harness_signal(fleet->servers[database][primary], SIGCONT);
}

static void cut_from_vm_1(uint32_t database, uint32_t primary)
{
	pw_fleet_set_fault(fleet, database, primary, "cut", "vm-1");
}

static void cut_from_vms_1_and_2(uint32_t database, uint32_t primary)
{
	cut_from_vm_1(database, primary);
	pw_fleet_set_fault(fleet, database, primary, "cut", "vm-2");
}

static void cut_from_every_vm(uint32_t database, uint32_t primary)
{
	pw_fleet_set_fault(fleet, database, primary, "cut", "*");
}

static void end_cut(uint32_t database, uint32_t primary)
{
	pw_fleet_set_fault(fleet, database, primary, "cut", "none");
}

static void delay_primary(uint32_t database, uint32_t primary)
{
	pw_fleet_set_fault(fleet, database, primary, "delay_ms", "300");
}

static void end_delay(uint32_t database, uint32_t primary)
{
	pw_fleet_set_fault(fleet, database, primary, "delay_ms", "0");
}

/* Pauses the store, and kills the primary 1.5 s later. */
static void kill_with_store_paused(uint32_t database, uint32_t primary)
{
	pw_harness_signal(fleet->store, SIGSTOP);
	g_usleep(1500000);
	kill_primary(database, primary);
}

static void resume_store_and_restart(uint32_t database, uint32_t primary)
{
	pw_harness_signal(fleet->store, SIGCONT);
	restart_server(database, primary);
}

/* Kills the primary, then the proxy that starts the promotion, once its counter shows it. */
static void kill_with_promoter(uint32_t database, uint32_t primary)
{
	uint64_t before[PROXY_COUNT];
	gint64 end_us = g_get_monotonic_time() + 3 * G_USEC_PER_SEC;

	for (uint32_t i = 0; i < PROXY_COUNT; i++)
		before[i] = pw_fleet_read_counter(fleet, i, "failovers_started_total");
	kill_primary(database, primary);
	while (g_get_monotonic_time() < end_us) {
		for (uint32_t i = 0; i < PROXY_COUNT; i++) {
			if (pw_fleet_read_counter(fleet, i, "failovers_started_total") == before[i])
				continue;
			pw_harness_kill(fleet->proxies[i].process);
			return;
		}
	}
	ck_abort_msg("no proxy started a promotion");
}

static void restart_with_promoter(uint32_t database, uint32_t primary)
{
	restart_server(database, primary);
	for (uint32_t i = 0; i < PROXY_COUNT; i++) {
		if (!fleet->proxies[i].process->pid) {
			proxy_interrupted[i] = true;
			pw_fleet_start_proxy(fleet, i);
		}
	}
}

/*
 * Pauses a proxy and then the primary. When the proxy resumes, it reads answers that the old
 * primary sent before the promotion.
 */
static void pause_with_proxy(uint32_t database, uint32_t primary)
{
	pw_harness_signal(fleet->proxies[0].process, SIGSTOP);
	proxy_interrupted[0] = true;
	/* Time for the old primary to answer the statements that the proxy had sent. */
	g_usleep(100000);
	pause_primary(database, primary);
}

static void resume_with_proxy(uint32_t database, uint32_t primary)
{
	pw_harness_signal(fleet->proxies[0].process, SIGCONT);
	g_usleep(100000);
	resume_primary(database, primary);
}

static const struct fault_ops no_fault_ops = { no_fault, no_fault };
static const struct fault_ops kill_ops = { kill_primary, restart_server };
static const struct fault_ops pause_ops = { pause_primary, resume_primary };
static const struct fault_ops cut_from_one_ops = { cut_from_vm_1, end_cut };
static const struct fault_ops cut_from_two_ops = { cut_from_vms_1_and_2, end_cut };
static const struct fault_ops cut_from_all_ops = { cut_from_every_vm, end_cut };
static const struct fault_ops delay_ops = { delay_primary, end_delay };
static const struct fault_ops kill_with_store_paused_ops = { kill_with_store_paused,
							     resume_store_and_restart };
static const struct fault_ops pause_with_proxy_ops = { pause_with_proxy, resume_with_proxy };
static const struct fault_ops kill_with_promoter_ops = { kill_with_promoter,
							 restart_with_promoter };

static const struct {
	const char *label;
	const struct fault_ops *ops;
	uint32_t database;
	uint32_t fault_ms;
	bool expect_promotion;
	/** No acknowledged write may be lost: durability "replicated", or no promotion. */
	bool expect_no_loss;
} cases[] = {
	{ "no fault", &no_fault_ops, PW_FLEET_ORDERS, 500, false, true },
	{ "killed", &kill_ops, PW_FLEET_ORDERS, 2000, true, false },
	{ "killed, replicated", &kill_ops, PW_FLEET_BILLING, 2000, true, true },
	{ "paused", &pause_ops, PW_FLEET_ORDERS, 2000, true, false },
	{ "paused, replicated", &pause_ops, PW_FLEET_BILLING, 2000, true, true },
	{ "cut from one proxy", &cut_from_one_ops, PW_FLEET_ORDERS, 2000, false, true },
	{ "cut from two proxies", &cut_from_two_ops, PW_FLEET_BILLING, 2000, true, true },
	{ "cut from all", &cut_from_all_ops, PW_FLEET_ORDERS, 2000, true, false },
	{ "cut from all, replicated", &cut_from_all_ops, PW_FLEET_BILLING, 2000, true, true },
	{ "slow", &delay_ops, PW_FLEET_ORDERS, 2000, false, true },
	{ "killed, store down", &kill_with_store_paused_ops, PW_FLEET_BILLING, 2000, true, true },
	{ "killed with its promoter", &kill_with_promoter_ops, PW_FLEET_BILLING, 2500, true, true },
	{ "paused with a proxy", &pause_with_proxy_ops, PW_FLEET_ORDERS, 2000, true, false },
};

/* Returns a map from each key in the table at a server to the number of its rows. */
static GHashTable *read_rows(uint32_t database, uint32_t server, const char *table)
{
	GHashTable *rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	char *sql = g_strdup_printf("SELECT * FROM %s", table);
	char *text = pw_fleet_control_query(fleet, database, server, sql);
	char **list = g_strsplit(text, ";", -1);

	ck_assert_msg(!g_str_has_prefix(text, "ERROR") && strcmp(text, "TIMEOUT") != 0, "%s", text);
	for (char **row = list; *row && **row; row++) {
		char *key = g_strndup(*row, strcspn(*row, "|"));
		guint n = GPOINTER_TO_UINT(g_hash_table_lookup(rows, key));

		g_hash_table_replace(rows, key, GUINT_TO_POINTER(n + 1));
	}
	g_strfreev(list);
	g_free(text);
	g_free(sql);
	return rows;
}

struct write_stats {
	uint32_t outcome_counts[OUTCOME_COUNT];
	uint32_t lost_count;                 /**< writes acknowledged, but without a row */
	uint32_t lost_after_promotion_count; /**< lost writes acknowledged after the promotion */
	uint32_t misreported_count;          /**< writes reported as not run, but with a row */
	uint32_t duplicate_count;            /**< writes with more rows than they inserted */
	uint32_t partial_count;              /**< transactions with one of their two rows */
	uint32_t max_write_ms;               /**< longest time of one write */
	/**
	 * Longest time without an acknowledgement to the writers of one proxy, among the proxies
	 * that were not interrupted.
	 */
	uint32_t max_gap_ms;
	uint32_t max_fleet_gap_ms; /**< longest time without an acknowledgement to any writer */
};

/* Counts one write that inserts `expected` rows, and of which the table has `rows` rows. */
static void count_write(struct write_stats *stats, const struct write *w, uint32_t rows,
			uint32_t expected, gint64 promotion_seen_us)
{
	stats->outcome_counts[w->outcome]++;
	stats->max_write_ms =
		MAX(stats->max_write_ms, (uint32_t)((w->answered_us - w->sent_us) / 1000));
	stats->duplicate_count += rows > expected;
	stats->partial_count += rows > 0 && rows < expected;
	if (w->outcome == NOT_RUN)
		stats->misreported_count += rows > 0;
	if (w->outcome != ACKNOWLEDGED || rows)
		return;
	stats->lost_count++;
	stats->lost_after_promotion_count +=
		promotion_seen_us && w->answered_us > promotion_seen_us;
}

static gint compare_time(gconstpointer a, gconstpointer b)
{
	const gint64 x = *(const gint64 *)a, y = *(const gint64 *)b;

	return x < y ? -1 : x > y;
}

/*
 * Returns the longest time without an acknowledgement to any of the writers `first` to `end` - 1,
 * from their first acknowledgement to the end of the run.
 */
static uint32_t longest_gap_ms(const struct writer *writers, uint32_t first, uint32_t end,
			       gint64 end_us)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(gint64));
	gint64 max_gap_us = 0;

	for (uint32_t i = first; i < end; i++) {
		for (guint j = 0; j < writers[i].writes->len; j++) {
			const struct write *w = &g_array_index(writers[i].writes, struct write, j);

			if (w->outcome == ACKNOWLEDGED)
				g_array_append_val(times, w->answered_us);
		}
	}
	g_array_append_val(times, end_us);
	g_array_sort(times, compare_time);
	for (guint i = 1; i < times->len; i++)
		max_gap_us = MAX(max_gap_us, g_array_index(times, gint64, i) -
						     g_array_index(times, gint64, i - 1));
	g_array_free(times, TRUE);
	return (uint32_t)(max_gap_us / 1000);
}

/* Appends the SQLSTATEs of the writes that were not acknowledged, with their counts. */
static void append_sqlstate_counts(const struct writer *writers, GString *out)
{
	GHashTable *counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter it;
	gpointer key, value;

	for (uint32_t i = 0; i < WRITER_COUNT; i++) {
		for (guint j = 0; j < writers[i].writes->len; j++) {
			const struct write *w = &g_array_index(writers[i].writes, struct write, j);
			guint n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, w->sqlstate));

			if (w->outcome != ACKNOWLEDGED)
				g_hash_table_replace(counts, g_strdup(w->sqlstate),
						     GUINT_TO_POINTER(n + 1));
		}
	}
	g_hash_table_iter_init(&it, counts);
	while (g_hash_table_iter_next(&it, &key, &value))
		g_string_append_printf(out, " %s:%u", (char *)key, GPOINTER_TO_UINT(value));
	g_hash_table_unref(counts);
}

static struct write_stats evaluate_writes(const struct writer *writers, GHashTable *rows,
					  gint64 promotion_seen_us, gint64 end_us)
{
	struct write_stats stats = { 0 };

	for (uint32_t i = 0; i < WRITER_COUNT; i++) {
		for (guint j = 0; j < writers[i].writes->len; j++) {
			const struct write *w = &g_array_index(writers[i].writes, struct write, j);
			char *key = g_strdup_printf("%u-%u", i, j);

			count_write(&stats, w, GPOINTER_TO_UINT(g_hash_table_lookup(rows, key)),
				    rows_per_write(i), promotion_seen_us);
			g_free(key);
		}
	}
	stats.max_fleet_gap_ms = longest_gap_ms(writers, 0, WRITER_COUNT, end_us);
	for (uint32_t i = 0; i < PROXY_COUNT; i++) {
		if (!proxy_interrupted[i])
			stats.max_gap_ms = MAX(stats.max_gap_ms,
					       longest_gap_ms(writers, i * WRITERS_PER_PROXY,
							      (i + 1) * WRITERS_PER_PROXY, end_us));
	}
	return stats;
}

static void start_writers(struct writer *writers, uint32_t database, const char *table, gint *stop)
{
	static const char *const database_names[] = { "orders", "catalog", "billing" };

	for (uint32_t i = 0; i < WRITER_COUNT; i++) {
		writers[i] = (struct writer){
			.login = pw_fleet_login(fleet, i / WRITERS_PER_PROXY, "amber",
						database_names[database]),
			.table = table,
			.number = i,
			.stop = stop,
			.writes = g_array_new(FALSE, TRUE, sizeof(struct write)),
		};
		writers[i].thread = g_thread_new("writer", run_writer, &writers[i]);
	}
}

/*
 * Guards against lost, duplicated or partial writes, writes that ran but were reported as not
 * run, a former primary whose writes are acknowledged after the promotion, and long gaps in the
 * service. Each case starts a fault while writers run, and ends it again.
 */
START_TEST(test_failover)
{
	uint32_t database = cases[_i].database;
	char *table = g_strdup_printf("t%d", _i);
	GString *sqlstates = g_string_new(NULL);
	struct writer writers[WRITER_COUNT];
	struct watcher watcher = { .database = database };
	gint64 end_us;
	gint stop = 0;
	GHashTable *rows;
	struct write_stats stats;
	int32_t primary, primary_after;
	bool replicated;

	memset(proxy_interrupted, 0, sizeof(proxy_interrupted));
	ck_assert(pw_fleet_wait_ready(fleet, SETTLE_TIMEOUT_MS));
	ck_assert(pw_fleet_wait_replicated(fleet, database, SETTLE_TIMEOUT_MS));
	primary = pw_fleet_find_primary(fleet, database);
	watcher.stop = &stop;
	watcher.initial_primary = primary;
	watcher.thread = g_thread_new("watcher", run_watcher, &watcher);
	start_writers(writers, database, table, &stop);
	g_usleep(WARM_UP_MS * 1000);
	cases[_i].ops->start(database, (uint32_t)primary);
	g_usleep(cases[_i].fault_ms * 1000);
	primary_after = pw_fleet_find_primary(fleet, database);
	cases[_i].ops->end(database, (uint32_t)primary);
	g_usleep(AFTER_FAULT_MS * 1000);
	end_us = g_get_monotonic_time();
	g_atomic_int_set(&stop, 1);
	for (uint32_t i = 0; i < WRITER_COUNT; i++)
		g_thread_join(writers[i].thread);
	g_thread_join(watcher.thread);
	replicated = pw_fleet_wait_replicated(fleet, database, SETTLE_TIMEOUT_MS);
	ck_assert_int_ge(primary_after, 0);
	rows = read_rows(database, (uint32_t)pw_fleet_find_primary(fleet, database), table);
	stats = evaluate_writes(writers, rows, watcher.promotion_seen_us, end_us);
	append_sqlstate_counts(writers, sqlstates);
	printf("%s: gap %u ms (fleet %u ms), slowest write %u ms, acknowledged %u, not run %u, "
	       "unknown %u%s; lost %u, %u after the promotion, ran though reported as not run %u, "
	       "duplicated %u, partial %u\n",
	       cases[_i].label, stats.max_gap_ms, stats.max_fleet_gap_ms, stats.max_write_ms,
	       stats.outcome_counts[ACKNOWLEDGED], stats.outcome_counts[NOT_RUN],
	       stats.outcome_counts[UNKNOWN], sqlstates->str, stats.lost_count,
	       stats.lost_after_promotion_count, stats.misreported_count, stats.duplicate_count,
	       stats.partial_count);
	for (uint32_t i = 0; i < WRITER_COUNT; i++)
		g_array_free(writers[i].writes, TRUE);
	g_string_free(sqlstates, TRUE);
	g_hash_table_unref(rows);
	g_free(table);
	ck_assert_msg(replicated, "%s: a replica lags or a proxy does not know the primary",
		      cases[_i].label);
	ck_assert_msg((primary_after != primary) == cases[_i].expect_promotion,
		      "%s: the primary is server %d, before the fault it was server %d",
		      cases[_i].label, primary_after, primary);
	ck_assert_msg(!cases[_i].expect_no_loss || stats.lost_count == 0,
		      "%s: acknowledged writes were lost", cases[_i].label);
	ck_assert_msg(stats.lost_after_promotion_count == 0,
		      "%s: a write acknowledged after the promotion was lost", cases[_i].label);
	ck_assert_msg(stats.misreported_count == 0, "%s: a write reported as not run had run",
		      cases[_i].label);
	ck_assert_msg(stats.duplicate_count == 0, "%s: a write ran twice", cases[_i].label);
	ck_assert_msg(stats.partial_count == 0, "%s: a transaction was applied in part",
		      cases[_i].label);
	if (cases[_i].expect_promotion)
		ck_assert_msg(stats.max_gap_ms < GAP_MAX_MS, "%s: gap of %u ms", cases[_i].label,
			      stats.max_gap_ms);
}
END_TEST

static void set_up(void)
{
	const struct pw_fleet_options o = { .proxy_count = PROXY_COUNT, .lag_ms = 20 };

	fleet = pw_fleet_new(&o);
}

static void tear_down(void)
{
	pw_fleet_free(fleet);
}

int main(void)
{
	TCase *tc = tcase_create("failover");

	/* The cases share one fleet, whose processes are children of this one. */
	g_setenv("CK_FORK", "no", TRUE);
	tcase_add_unchecked_fixture(tc, set_up, tear_down);
	tcase_add_loop_test(tc, test_failover, 0, PW_ARRAY_LEN(cases));
	return pw_suite_run("failover of processes", tc);
}
