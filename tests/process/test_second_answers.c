/*
 * Tests servers that answer a statement a second time, at once or later, in whole or in part. Runs
 * real processes.
 */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "harness_fleet.h"

#define PROXY_COUNT          2
#define SESSION_COUNT        8
#define CASE_DURATION_MS     1200
#define STATEMENT_TIMEOUT_MS 8000
#define RECOVERY_TIMEOUT_MS  10000
#define DATABASE             PW_FLEET_ORDERS

static struct pw_fleet *fleet;

/* Values of the fault "repeat_answers". */
static const char *const cases[] = {
	"3,0,whole", "7,1,whole", "7,5,whole",  "7,20,whole", "7,100,whole", "7,1,end",
	"7,20,end",  "3,0,ready", "7,10,ready", "3,0,rows",   "7,10,rows",
};

enum outcome { OUTCOME_NOT_RUN, OUTCOME_ACKNOWLEDGED, OUTCOME_UNKNOWN };

struct session {
	GThread *thread;
	struct pw_harness_login login;
	GPtrArray *keys;  /**< of the rows that were to be written */
	GArray *outcomes; /**< enum outcome of each key */
	gint64 end_us;
	uint32_t index;
	uint32_t case_index;
	uint32_t served_count;
	uint32_t failed_count;
	char first_error[200]; /**< success that cannot be the statement's own; "": none */
};

/* Returns whether the statement succeeded, which it may do only with the expected result. */
static bool run_step(struct session *s, PGconn *conn, const char *expected, enum outcome *outcome,
		     const char *sql)
{
	char *result = pw_harness_query(conn, STATEMENT_TIMEOUT_MS, sql, NULL);
	bool matches = strcmp(result, expected) == 0;
	bool is_failure = g_str_has_prefix(result, "ERROR ");

	if (matches)
		s->served_count++;
	else if (is_failure)
		s->failed_count++;
	else if (!*s->first_error)
		g_snprintf(s->first_error, sizeof(s->first_error), "%s: %s, expected %s", sql,
			   result, expected);
	if (outcome)
		*outcome = matches                              ? OUTCOME_ACKNOWLEDGED
			   : strcmp(result, "ERROR 08007") == 0 ? OUTCOME_UNKNOWN
								: OUTCOME_NOT_RUN;
	g_free(result);
	return matches;
}

static void run_transaction(struct session *s, PGconn *conn, const char *insert, const char *key,
			    enum outcome *outcome)
{
	char *select = g_strdup_printf("SELECT v FROM twice WHERE k = '%s'", key);

	if (run_step(s, conn, "BEGIN", NULL, "BEGIN") &&
	    run_step(s, conn, "INSERT 0 1", NULL, insert) && run_step(s, conn, key, NULL, select))
		run_step(s, conn, "COMMIT", outcome, "COMMIT");
	else if (PQtransactionStatus(conn) != PQTRANS_IDLE)
		run_step(s, conn, "ROLLBACK", NULL, "ROLLBACK");
	g_free(select);
}

static void run_round(struct session *s, PGconn *conn, uint32_t round)
{
	char *key = g_strdup_printf("%u-%u-%u", s->case_index, s->index, round);
	char *read = g_strdup_printf("SELECT '%s'", key);
	char *insert = g_strdup_printf("INSERT INTO twice (k, v) VALUES ('%s', '%s')", key, key);
	enum outcome outcome = OUTCOME_NOT_RUN;

	run_step(s, conn, key, NULL, read);
	if (round % 2)
		run_step(s, conn, "INSERT 0 1", &outcome, insert);
	else
		run_transaction(s, conn, insert, key, &outcome);
	g_ptr_array_add(s->keys, key);
	g_array_append_val(s->outcomes, outcome);
	g_free(read);
	g_free(insert);
}

static gpointer run_session(gpointer data)
{
	struct session *s = data;
	PGconn *conn = NULL;

	for (uint32_t i = 0; g_get_monotonic_time() < s->end_us; i++) {
		char *error = NULL;

		/* A new connection for every third round, so that others get the released ones. */
		if (i % 3 == 0)
			g_clear_pointer(&conn, PQfinish);
		if (!conn)
			conn = pw_harness_connect(&s->login, STATEMENT_TIMEOUT_MS, &error);
		if (conn)
			run_round(s, conn, i);
		g_free(error);
	}
	g_clear_pointer(&conn, PQfinish);
	return NULL;
}

/* Checks what the session was told against the rows of the primary. */
static void check_rows(const struct session *s, const char *label)
{
	int32_t primary = pw_fleet_find_primary(fleet, DATABASE);

	ck_assert_int_ge(primary, 0);
	for (guint i = 0; i < s->keys->len; i++) {
		const char *key = s->keys->pdata[i];
		enum outcome outcome = g_array_index(s->outcomes, enum outcome, i);
		char *sql = g_strdup_printf("SELECT v FROM twice WHERE k = '%s'", key);
		char *rows = pw_fleet_control_query(fleet, DATABASE, (uint32_t)primary, sql);

		if (outcome != OUTCOME_UNKNOWN)
			ck_assert_msg(strcmp(rows, outcome == OUTCOME_ACKNOWLEDGED ? key : "") == 0,
				      "%s: row %s is '%s', outcome %d", label, key, rows, outcome);
		g_free(rows);
		g_free(sql);
	}
}

static void set_fault(const char *value)
{
	for (uint32_t i = 0; i < PW_FLEET_SERVERS_PER_DATABASE; i++)
		pw_fleet_set_fault(fleet, DATABASE, i, "repeat_answers", value);
}

/*
 * Guards against a second answer that is taken for the answer to the next statement of its
 * connection, or for a status row that starts a failover.
 */
START_TEST(test_second_answers)
{
	const char *label = cases[_i];
	struct session sessions[SESSION_COUNT];
	uint32_t served = 0, failed = 0;
	char *status;

	set_fault(label);
	for (uint32_t i = 0; i < SESSION_COUNT; i++) {
		sessions[i] = (struct session){
			.index = i,
			.case_index = (uint32_t)_i,
			.keys = g_ptr_array_new_with_free_func(g_free),
			.outcomes = g_array_new(FALSE, TRUE, sizeof(enum outcome)),
			.login = pw_fleet_login(fleet, i % PROXY_COUNT, "amber", "orders"),
			.end_us = g_get_monotonic_time() + CASE_DURATION_MS * 1000,
		};
		sessions[i].thread = g_thread_new("session", run_session, &sessions[i]);
	}
	for (uint32_t i = 0; i < SESSION_COUNT; i++)
		g_thread_join(sessions[i].thread);
	set_fault("0");
	for (uint32_t i = 0; i < SESSION_COUNT; i++) {
		struct session *s = &sessions[i];

		served += s->served_count;
		failed += s->failed_count;
		ck_assert_msg(!*s->first_error, "%s: %s", label, s->first_error);
		check_rows(s, label);
		g_ptr_array_unref(s->keys);
		g_array_unref(s->outcomes);
	}
	printf("  %s: served %u, failed %u\n", label, served, failed);
	ck_assert_msg(served > 0, "%s: no statement was served", label);
	status = pw_fleet_control_query(fleet, DATABASE, 0, "SELECT * FROM pw_status()");
	ck_assert_msg(g_str_has_prefix(status, "primary|1|"), "%s: server 0 is %s", label, status);
	g_free(status);
	ck_assert_msg(pw_fleet_wait_ready(fleet, RECOVERY_TIMEOUT_MS), "%s: not ready", label);
}
END_TEST

static void set_up(void)
{
	const struct pw_fleet_options o = { .proxy_count = PROXY_COUNT };

	fleet = pw_fleet_new(&o);
}

static void tear_down(void)
{
	pw_fleet_free(fleet);
}

int main(void)
{
	TCase *tc = tcase_create("second_answers");

	/* The cases share one fleet, whose processes are children of this one. */
	g_setenv("CK_FORK", "no", TRUE);
	tcase_add_unchecked_fixture(tc, set_up, tear_down);
	tcase_add_loop_test(tc, test_second_answers, 0, PW_ARRAY_LEN(cases));
	return pw_suite_run("second_answers", tc);
}
