/*
 * Tests read-your-writes of sessions that move between proxies (invariant I1), with replicas that
 * lag by 300 ms. The floor of a session is the log position that a server must have reached before
 * the session may read from it. A caller can set the floor with a position token. Otherwise the
 * proxy sets it from a probe of the primary's position: before each read if the session is strict,
 * once if the session is a single connection. Runs real processes.
 */
#include "suite.h"

#include <fnmatch.h>
#include <stdio.h>
#include <string.h>

#include "harness_fleet.h"

#define REPLICA_LAG_MS         300
#define STATEMENT_TIMEOUT_MS   5000
#define REPLICATION_TIMEOUT_MS 8000
#define STEPS_MAX              24
#define CONNS_PER_PROXY        4
#define ROUNDS                 20

static struct pw_fleet *fleet;

struct session_run {
	uint32_t database;
	uint32_t round;
	uint32_t servers[PW_FLEET_SERVERS_PER_DATABASE]; /**< the initial primary comes first */
	PGconn *conns[PW_FLEET_PROXIES_MAX]
		     [CONNS_PER_PROXY]; /**< by proxy and number; NULL: not open */
	uint64_t replica_read_count;    /**< count at the last REPLICA_READS step */
};

struct step;

/** Kind of a step. */
struct step_ops {
	void (*run)(struct session_run *r, const struct step *s);
};

struct step {
	const struct step_ops *ops;
	/** Connection as proxy and number, such as "A0", or server; "0" is the initial primary. */
	const char *target;
	const char *arg;      /**< statement or other argument; "#" in it is the round's number */
	const char *expected; /**< expected result, a pattern of fnmatch(); "#" as in `arg` */
};

static PGconn **conn_at(struct session_run *r, const char *target)
{
	return &r->conns[target[0] - 'A'][target[1] - '0'];
}

static uint32_t server_index(const struct session_run *r, const char *target)
{
	return r->servers[target[0] - '0'];
}

static const char *const database_names[] = { "orders", "catalog", "billing" };

/* Replaces "#" by the number of the round. */
static char *substitute_round(const char *text, uint32_t round)
{
	char **parts = g_strsplit(text, "#", -1);
	char *digits = g_strdup_printf("%u", round);
	char *replaced = g_strjoinv(digits, parts);

	g_free(digits);
	g_strfreev(parts);
	return replaced;
}

/* Opens a connection, or opens it again, with the start-up parameter `options`. */
static void open_connection(struct session_run *r, const char *target, const char *options)
{
	struct pw_harness_login login = pw_fleet_login(fleet, (uint32_t)(target[0] - 'A'), "amber",
						       database_names[r->database]);
	char *error;

	login.options = options;
	if (*conn_at(r, target))
		PQfinish(*conn_at(r, target));
	*conn_at(r, target) = pw_harness_connect(&login, STATEMENT_TIMEOUT_MS, &error);
	ck_assert_msg(*conn_at(r, target) != NULL, "%s: %s", target, error);
}

static void run_open(struct session_run *r, const struct step *s)
{
	open_connection(r, s->target, s->arg);
}

static const char *position_token(struct session_run *r, const char *target)
{
	const char *token = PQparameterStatus(*conn_at(r, target), "pimentowing.position");

	ck_assert_msg(token && *token, "%s has no position token", target);
	return token;
}

/* Opens a connection with the position token of another connection. */
static void run_open_with_token(struct session_run *r, const struct step *s)
{
	char *options = g_strdup_printf("-c pimentowing.position=%s", position_token(r, s->arg));

	open_connection(r, s->target, options);
	g_free(options);
}

/* Sends the position token of another connection with SET. */
static void run_set_token(struct session_run *r, const struct step *s)
{
	char *sql = g_strdup_printf("SET pimentowing.position = '%s'", position_token(r, s->arg));
	char *result = pw_harness_query(*conn_at(r, s->target), STATEMENT_TIMEOUT_MS, sql, NULL);

	ck_assert_str_eq(result, "SET");
	g_free(result);
	g_free(sql);
}

/* Compares a result with the pattern of the step. */
static void expect_result(const struct session_run *r, const struct step *s, const char *sql,
			  const char *result)
{
	char *expected = substitute_round(s->expected, r->round);

	ck_assert_msg(fnmatch(expected, result, 0) == 0, "round %u, %s: %s: %s, expected %s",
		      r->round, s->target, sql, result, expected);
	g_free(expected);
}

static void run_query(struct session_run *r, const struct step *s)
{
	char *sql = substitute_round(s->arg, r->round);
	char *result;

	if (!*conn_at(r, s->target))
		open_connection(r, s->target, NULL);
	result = pw_harness_query(*conn_at(r, s->target), STATEMENT_TIMEOUT_MS, sql, NULL);
	expect_result(r, s, sql, result);
	g_free(result);
	g_free(sql);
}

/* Runs the statements of `arg`, separated by ";", as one batch; expects the last one's result. */
static void run_batch(struct session_run *r, const struct step *s)
{
	char **statements = g_strsplit(s->arg, ";", -1);
	PGconn *conn = *conn_at(r, s->target);
	char *result = NULL;

	ck_assert(PQenterPipelineMode(conn));
	for (uint32_t i = 0; statements[i]; i++)
		ck_assert(PQsendQueryParams(conn, statements[i], 0, NULL, NULL, NULL, NULL, 0));
	ck_assert(PQpipelineSync(conn));
	for (uint32_t i = 0; statements[i]; i++) {
		g_free(result);
		result = pw_harness_wait_result(conn, STATEMENT_TIMEOUT_MS);
	}
	expect_result(r, s, s->arg, result);
	/* The end of the batch. */
	PQclear(PQgetResult(conn));
	ck_assert(PQexitPipelineMode(conn));
	g_free(result);
	g_strfreev(statements);
}

/* Runs a statement on a server directly, without a proxy. */
static void run_on_server(struct session_run *r, const struct step *s)
{
	char *sql = substitute_round(s->arg, r->round);
	char *result = pw_fleet_control_query(fleet, r->database, server_index(r, s->target), sql);

	expect_result(r, s, sql, result);
	g_free(result);
	g_free(sql);
}

static void run_set_lag(struct session_run *r, const struct step *s)
{
	pw_fleet_set_fault(fleet, r->database, server_index(r, s->target), "lag_ms", s->arg);
}

static void run_promote(struct session_run *r, const struct step *s)
{
	pw_fleet_promote(fleet, r->database, server_index(r, s->target));
}

static void run_wait(struct session_run *r, const struct step *s)
{
	g_usleep(g_ascii_strtoull(s->arg, NULL, 10) * 1000);
}

static uint64_t count_replica_reads(void)
{
	uint64_t total = 0;

	for (uint32_t i = 0; i < fleet->options.proxy_count; i++)
		total += pw_fleet_read_counter(fleet, i, "reads_replica_total");
	return total;
}

/*
 * Counts the reads that replicas answered since the last step of this kind and checks that there
 * were none ("=") or some ("+"); "?" checks nothing.
 */
static void run_check_replica_reads(struct session_run *r, const struct step *s)
{
	uint64_t count = count_replica_reads(), previous_count = r->replica_read_count;

	r->replica_read_count = count;
	if (s->arg[0] == '+')
		ck_assert_msg(count > previous_count, "round %u: no replica answered a read",
			      r->round);
	else if (s->arg[0] == '=')
		ck_assert_msg(count == previous_count, "round %u: a replica answered a read",
			      r->round);
}

static const struct step_ops open_ops = { run_open };
static const struct step_ops open_with_token_ops = { run_open_with_token };
static const struct step_ops set_token_ops = { run_set_token };
static const struct step_ops query_ops = { run_query };
static const struct step_ops batch_ops = { run_batch };
static const struct step_ops on_server_ops = { run_on_server };
static const struct step_ops set_lag_ops = { run_set_lag };
static const struct step_ops promote_ops = { run_promote };
static const struct step_ops wait_ops = { run_wait };
static const struct step_ops check_replica_reads_ops = { run_check_replica_reads };

#define STEP(kind, where, what, pattern)                                                    \
	{                                                                                   \
		.ops = &kind##_ops, .target = (where), .arg = (what), .expected = (pattern) \
	}
#define OPEN(where)                    STEP(open, where, NULL, NULL)
#define OPEN_WITH_EMPTY_TOKEN(where)   STEP(open, where, "-c pimentowing.position=", NULL)
#define OPEN_WITH_TOKEN(where, from)   STEP(open_with_token, where, from, NULL)
#define SET_TOKEN(where, from)         STEP(set_token, where, from, NULL)
#define QUERY(where, sql, pattern)     STEP(query, where, sql, pattern)
#define BATCH(where, sql, pattern)     STEP(batch, where, sql, pattern)
#define ON_SERVER(where, sql, pattern) STEP(on_server, where, sql, pattern)
#define SET_LAG(where, ms)             STEP(set_lag, where, ms, NULL)
#define PROMOTE(where)                 STEP(promote, where, NULL, NULL)
#define WAIT(ms)                       STEP(wait, NULL, ms, NULL)
#define REPLICA_READS(change)          STEP(check_replica_reads, NULL, change, NULL)

#define INSERT(table, k)               "INSERT INTO " table " (k, v) VALUES ('" k "', 'v" k "')"
#define SELECT(table, k)               "SELECT v FROM " table " WHERE k = '" k "'"

static const struct {
	const char *label;
	uint32_t database;
	uint32_t rounds; /**< repetitions of the steps; 0: one */
	struct step steps[STEPS_MAX];
} cases[] = {
	/* Shows that the replicas lag long enough that reads without a floor would miss a write. */
	{ .label = "direct read from a lagging replica misses the write",
	  .database = PW_FLEET_ORDERS,
	  .steps = { QUERY("A0", INSERT("raw", "a"), "INSERT 0 1"),
		     ON_SERVER("1", SELECT("raw", "a"), ""), ON_SERVER("2", SELECT("raw", "a"), ""),
		     QUERY("B0", SELECT("raw", "a"), "va"), WAIT("400"),
		     ON_SERVER("1", SELECT("raw", "a"), "va") } },
	/* Guards against strict reads without a new probe of the primary's position. */
	{ .label = "strict session over two proxies",
	  .database = PW_FLEET_ORDERS,
	  .rounds = ROUNDS,
	  .steps = { QUERY("A0", INSERT("strict", "a#"), "INSERT 0 1"),
		     QUERY("B0", SELECT("strict", "a#"), "va#"),
		     QUERY("B0", INSERT("strict", "b#"), "INSERT 0 1"),
		     QUERY("A0", SELECT("strict", "b#"), "vb#"),
		     QUERY("C0", SELECT("strict", "b#"), "vb#"),
		     QUERY("A0", "UPDATE strict SET v = 'new' WHERE k = 'b#'", "UPDATE 1"),
		     QUERY("C0", SELECT("strict", "b#"), "new"),
		     QUERY("C0", "DELETE FROM strict WHERE k = 'a#'", "DELETE 1"),
		     QUERY("A0", SELECT("strict", "a#"), "") } },
	/* Guards against floors that do not include the writes of a transaction. */
	{ .label = "transaction at one proxy, read at another",
	  .database = PW_FLEET_ORDERS,
	  .rounds = ROUNDS / 2,
	  .steps = { QUERY("A0", "BEGIN", "BEGIN"), QUERY("A0", INSERT("tx", "a#"), "INSERT 0 1"),
		     QUERY("A0", SELECT("tx", "a#"), "va#"), QUERY("B0", SELECT("tx", "a#"), ""),
		     QUERY("A0", "COMMIT", "COMMIT"), QUERY("B0", SELECT("tx", "a#"), "va#") } },
	/* Guards against strict reads that go to the primary although a replica has caught up. */
	{ .label = "strict read from a replica that has caught up",
	  .database = PW_FLEET_ORDERS,
	  .rounds = 2,
	  .steps = { QUERY("A0", INSERT("calm", "a#"), "INSERT 0 1"), WAIT("500"),
		     REPLICA_READS("?"), QUERY("B0", SELECT("calm", "a#"), "va#"),
		     REPLICA_READS("+") } },
	/* Guards against position tokens that are ignored at start-up or in SET. */
	{ .label = "position tokens",
	  .database = PW_FLEET_ORDERS,
	  .rounds = ROUNDS / 2,
	  .steps = { OPEN_WITH_EMPTY_TOKEN("A0"), QUERY("A0", INSERT("token", "a#"), "INSERT 0 1"),
		     OPEN_WITH_TOKEN("B0", "A0"), QUERY("B0", SELECT("token", "a#"), "va#"),
		     QUERY("B0", INSERT("token", "b#"), "INSERT 0 1"), SET_TOKEN("A0", "B0"),
		     QUERY("A0", SELECT("token", "b#"), "vb#"), OPEN("C0"), SET_TOKEN("C0", "B0"),
		     QUERY("C0", SELECT("token", "b#"), "vb#"),
		     QUERY("C0", "DELETE FROM token WHERE k = 'a#'", "DELETE 1"),
		     SET_TOKEN("B0", "C0"), QUERY("B0", SELECT("token", "a#"), "") } },
	/* Guards against reads that avoid replicas which have reached the token's position. */
	{ .label = "token that the replicas have reached",
	  .database = PW_FLEET_ORDERS,
	  .steps = { OPEN_WITH_EMPTY_TOKEN("A0"), QUERY("A0", INSERT("past", "a"), "INSERT 0 1"),
		     WAIT("700"), QUERY("B0", INSERT("past", "b"), "INSERT 0 1"),
		     OPEN_WITH_TOKEN("C0", "A0"), REPLICA_READS("?"),
		     QUERY("C0", SELECT("past", "a"), "va"), REPLICA_READS("+") } },
	/* Guards against a malformed token that is accepted or makes the session unusable. */
	{ .label = "malformed token",
	  .database = PW_FLEET_ORDERS,
	  .steps = { QUERY("A0", "SET pimentowing.position = 'xyz'", "ERROR 08P01"),
		     QUERY("A0", "SELECT 1", "1") } },
	/* Guards against floors that are lost or wrong after a change of the primary. */
	{ .label = "promotion of a replica that has the write",
	  .database = PW_FLEET_ORDERS,
	  .rounds = 2,
	  .steps = { OPEN_WITH_EMPTY_TOKEN("A0"), QUERY("A0", INSERT("moved", "a#"), "INSERT 0 1"),
		     QUERY("B0", INSERT("moved", "b#"), "INSERT 0 1"), WAIT("500"), PROMOTE("1"),
		     OPEN_WITH_TOKEN("C0", "A0"), QUERY("C0", SELECT("moved", "a#"), "va#"),
		     QUERY("B0", SELECT("moved", "b#"), "vb#"),
		     QUERY("C0", INSERT("moved", "c#"), "INSERT 0 1"),
		     QUERY("B0", SELECT("moved", "c#"), "vc#"), PROMOTE("0"), WAIT("500") } },
	/* Guards against a session that gets no error 58030 for lost writes, or gets it twice. */
	{ .label = "promotion that loses the write",
	  .database = PW_FLEET_ORDERS,
	  .steps = { OPEN_WITH_EMPTY_TOKEN("A0"), QUERY("B0", INSERT("lost", "x"), "INSERT 0 1"),
		     WAIT("500"), QUERY("A0", INSERT("lost", "a"), "INSERT 0 1"),
		     QUERY("B0", INSERT("lost", "b"), "INSERT 0 1"), PROMOTE("1"),
		     OPEN_WITH_TOKEN("C0", "A0"), QUERY("C0", SELECT("lost", "a"), "ERROR 58030"),
		     QUERY("C0", SELECT("lost", "a"), ""),
		     QUERY("B0", SELECT("lost", "b"), "ERROR 58030"),
		     QUERY("B0", SELECT("lost", "x"), "vx"),
		     QUERY("A0", INSERT("lost", "y"), "ERROR 58030"),
		     QUERY("A0", INSERT("lost", "y"), "INSERT 0 1"),
		     QUERY("B0", SELECT("lost", "y"), "vy") } },
	/* Guards against positions that are compared without their term, by the LSN alone. */
	{ .label = "replica with a longer log of an older term",
	  .database = PW_FLEET_ORDERS,
	  .steps = { SET_LAG("2", "0"), QUERY("B0", INSERT("older", "x"), "INSERT 0 1"),
		     WAIT("400"), QUERY("B0", INSERT("older", "a"), "INSERT 0 1"),
		     QUERY("B0", INSERT("older", "a"), "INSERT 0 1"),
		     QUERY("B0", INSERT("older", "a"), "INSERT 0 1"), SET_LAG("2", "3000"),
		     PROMOTE("1"), OPEN_WITH_EMPTY_TOKEN("A0"),
		     QUERY("A0", INSERT("older", "b"), "INSERT 0 1"),
		     QUERY("A0", SELECT("older", "b"), "vb"), OPEN_WITH_TOKEN("C0", "A0"),
		     QUERY("C0", SELECT("older", "b"), "vb"), QUERY("C0", SELECT("older", "a"), ""),
		     ON_SERVER("2", SELECT("older", "b"), "") } },
	/* Guards against stale reads below the session's floor, or older than the maximum age. */
	{ .label = "stale route",
	  .database = PW_FLEET_ORDERS,
	  .steps = { OPEN_WITH_EMPTY_TOKEN("A0"),
		     QUERY("A0", INSERT("schedule", "a"), "INSERT 0 1"),
		     QUERY("A0", "SELECT * FROM schedule", "a|va"), WAIT("700"), REPLICA_READS("?"),
		     QUERY("B0", INSERT("schedule", "b"), "INSERT 0 1"),
		     QUERY("A0", "SELECT * FROM schedule", "a|va"), REPLICA_READS("+"),
		     SET_TOKEN("B0", "A0"), QUERY("B0", "SELECT * FROM schedule", "a|va;b|vb"),
		     SET_LAG("1", "5000"), SET_LAG("2", "5000"), WAIT("2700"),
		     QUERY("B0", INSERT("schedule", "c"), "INSERT 0 1"), REPLICA_READS("?"),
		     QUERY("A0", "SELECT * FROM schedule", "a|va;b|vb;c|vc"),
		     REPLICA_READS("=") } },
	/* Guards against connections that miss what was written before they were opened. */
	{ .label = "route with a session per connection",
	  .database = PW_FLEET_CATALOG,
	  .rounds = ROUNDS / 2,
	  .steps = { OPEN("A0"), QUERY("A0", INSERT("single", "a#"), "INSERT 0 1"),
		     QUERY("A0", SELECT("single", "a#"), "va#"), OPEN("B0"),
		     QUERY("B0", SELECT("single", "a#"), "va#"),
		     QUERY("B0", INSERT("single", "b#"), "INSERT 0 1"),
		     QUERY("B0", SELECT("single", "b#"), "vb#"), OPEN("A1"),
		     QUERY("A1", SELECT("single", "b#"), "vb#") } },
	/* Guards against a limit on the age of data that another statement of the batch lifts. */
	{ .label = "batch of a stale route and a route without a limit",
	  .database = PW_FLEET_CATALOG,
	  .steps = { OPEN_WITH_EMPTY_TOKEN("A0"), QUERY("A0", "SELECT * FROM schedule", ""),
		     SET_LAG("1", "8000"), SET_LAG("2", "8000"),
		     QUERY("B0", INSERT("schedule", "a"), "INSERT 0 1"), WAIT("3000"),
		     BATCH("A0", SELECT("calm", "x") ";SELECT * FROM schedule", "a|va"),
		     BATCH("A0", "SELECT * FROM schedule;" SELECT("schedule", "a"), "va") } },
	/* Guards against a probe for each read, as in a strict session. */
	{ .label = "session per connection reads from a replica",
	  .database = PW_FLEET_CATALOG,
	  .steps = { QUERY("A0", SELECT("calm", "a"), ""), WAIT("500"),
		     QUERY("B0", INSERT("calm", "a"), "INSERT 0 1"), REPLICA_READS("?"),
		     QUERY("A0", SELECT("calm", "a"), ""), REPLICA_READS("+") } },
};

static void set_up(void)
{
	static const char *const edits[] = {
		"\"name\": \"catalog-reads\",",
		"\"name\": \"catalog-reads\", \"session\": \"connection\",",
		NULL,
	};
	const struct pw_fleet_options o = { .proxy_count = 3,
					    .lag_ms = REPLICA_LAG_MS,
					    .document_edits = edits };

	fleet = pw_fleet_new(&o);
}

static void tear_down(void)
{
	pw_fleet_free(fleet);
}

/* Runs one case; the failure that it guards against stands above the case. */
START_TEST(test_session)
{
	struct session_run r = { .database = cases[_i].database };
	gint64 start_us = g_get_monotonic_time();
	int32_t primary;

	for (uint32_t i = 0; i < PW_FLEET_SERVERS_PER_DATABASE; i++)
		pw_fleet_set_fault(fleet, r.database, i, "lag_ms", G_STRINGIFY(REPLICA_LAG_MS));
	ck_assert(pw_fleet_wait_replicated(fleet, r.database, REPLICATION_TIMEOUT_MS));
	primary = pw_fleet_find_primary(fleet, r.database);
	for (uint32_t i = 0; i < PW_FLEET_SERVERS_PER_DATABASE; i++)
		r.servers[i] = ((uint32_t)primary + i) % PW_FLEET_SERVERS_PER_DATABASE;
	for (r.round = 0; r.round < MAX(cases[_i].rounds, 1); r.round++) {
		for (const struct step *s = cases[_i].steps; s->ops; s++)
			s->ops->run(&r, s);
	}
	for (uint32_t i = 0; i < PW_FLEET_PROXIES_MAX * CONNS_PER_PROXY; i++)
		PQfinish(r.conns[i / CONNS_PER_PROXY][i % CONNS_PER_PROXY]);
	printf("%s: %u ms\n", cases[_i].label,
	       (uint32_t)((g_get_monotonic_time() - start_us) / 1000));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("sessions");

	/* The cases share one fleet, whose processes are children of this one. */
	g_setenv("CK_FORK", "no", TRUE);
	tcase_add_unchecked_fixture(tc, set_up, tear_down);
	tcase_add_loop_test(tc, test_session, 0, PW_ARRAY_LEN(cases));
	return pw_suite_run("sessions", tc);
}
