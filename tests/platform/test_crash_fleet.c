/*
 * End-to-end tests of a fleet of proxy processes against the platform stand-in: no answer of a
 * server, change of the servers or input of a caller ends a process.
 */
#include "suite.h"

#include <pthread.h>

#include "platform_fleet.h"

#define CALLERS_PER_VM 24
#define ROUNDS         3
#define ACCOUNT_COUNT  8

/*
 * Catalogue with several accounts, whose statements cannot share connections, as a printf() format:
 * the version and the accounts.
 */
#define ACCOUNTS_CATALOG                                                                   \
	"{\"Version\":%d,\"Routes\":["                                                     \
	"{\"Name\":\"r1\",\"Host\":\"desk\",\"Type\":\"primary\",\"TimeoutMs\":800,"       \
	"\"TargetLatencyMs\":160,\"Priority\":1,\"Service\":\"core\",\"Public\":false},"   \
	"{\"Name\":\"r2\",\"Host\":\"views\",\"Type\":\"bounded_staleness\","              \
	"\"TimeoutMs\":1000,\"TargetLatencyMs\":4000,\"Priority\":2,\"Service\":\"core\"," \
	"\"MaxStalenessMs\":1500,\"Public\":false}],\"Services\":[{\"Name\":\"core\","     \
	"\"MaxConns\":38,\"SyncReplicas\":0}],\"Limits\":{\"TxIdleMs\":3000},\"Tenants\":[%s]}"

static void publish_accounts(void)
{
	GString *accounts = g_string_new(NULL);
	char *text, *body;

	for (int i = 0; i < ACCOUNT_COUNT; i++)
		g_string_append_printf(accounts,
				       "%s{\"Name\":\"account-%d\",\"ApiKeys\":[\"key-%d\"],"
				       "\"RatePerS\":2000,\"Burst\":2000}",
				       i ? "," : "", i, i);
	text = g_strdup_printf(ACCOUNTS_CATALOG, ++catalog_version, accounts->str);
	body = http_request(platform->port, "/fault?name=config&value=1", text);
	ck_assert_ptr_nonnull(body);
	g_free(body);
	g_free(text);
	g_string_free(accounts, TRUE);
	g_usleep(1000000);
}
/* Time in which the VMs drop a server whose entry is gone, and use one that is registered again. */
#define GONE_US   5000000
#define RETURN_US 2000000

static bool stopped; /* the callers have to end; atomic */

struct caller {
	pthread_t thread;
	uint32_t vm;
	const char *database;
	char key[16];
	uint32_t pipelined_count; /* statements that are sent at a time */
};

/* Sends statements until the test ends, on a new session if the old one was closed. */
static void *run_caller(void *arg)
{
	const struct caller *caller = arg;
	struct client *c = NULL;

	while (!__atomic_load_n(&stopped, __ATOMIC_ACQUIRE)) {
		bool closed = false;
		char *answer;

		if (!c) {
			c = client_new(&vms[caller->vm]);
			answer = start_session(c, caller->database, caller->key);
			closed = strcmp(answer, "I") != 0;
			g_free(answer);
		}
		for (uint32_t i = 0; i < caller->pipelined_count && !closed; i++)
			send_statement(c, "READ a");
		for (uint32_t i = 0; i < caller->pipelined_count && !closed; i++) {
			answer = read_answer(c, ANSWER_TIMEOUT_MS);

			closed = g_str_has_suffix(answer, "CLOSED") ||
				 g_str_has_suffix(answer, "TIMEOUT");
			g_free(answer);
		}
		if (closed) {
			client_free(c);
			c = NULL;
			g_usleep(100000);
		}
	}
	if (c)
		client_free(c);
	return NULL;
}

static void start_callers(struct caller *callers, const char *database, uint32_t pipelined_count)
{
	__atomic_store_n(&stopped, false, __ATOMIC_RELEASE);
	for (uint32_t i = 0; i < VM_COUNT * CALLERS_PER_VM; i++) {
		callers[i] = (struct caller){ .vm = i % VM_COUNT,
					      .database = database,
					      .pipelined_count = pipelined_count };
		g_snprintf(callers[i].key, sizeof(callers[i].key), "key-%u",
			   i / VM_COUNT % ACCOUNT_COUNT);
		pthread_create(&callers[i].thread, NULL, run_caller, &callers[i]);
	}
}

static void stop_callers(struct caller *callers)
{
	__atomic_store_n(&stopped, true, __ATOMIC_RELEASE);
	for (uint32_t i = 0; i < VM_COUNT * CALLERS_PER_VM; i++)
		pthread_join(callers[i].thread, NULL);
}

/* Fails the test if a process or a task of it has ended. */
static void check_processes(const char *label)
{
	for (uint32_t i = 0; i < VM_COUNT; i++) {
		ck_assert_msg(!pw_harness_wait_end(vms[i].process, 0),
			      "%s: vm-%u has ended with status %x", label, i + 1,
			      (unsigned)vms[i].process->status);
		ck_assert_uint_eq(count_log_lines(&vms[i], "name=task_failed"), 0);
	}
}

/* A server crashes, its entry is removed, and it comes back, while answers are lost. */
static void play_server_gone(void)
{
	inject_fault("lose", "3");
	for (int i = 0; i < ROUNDS; i++) {
		inject_fault("crash", "i-core-2");
		g_usleep(300000);
		inject_fault("gone", "i-core-2");
		g_usleep(GONE_US);
		check_processes("a server has gone");
		inject_fault("start", "i-core-2");
		g_usleep(RETURN_US);
	}
	ck_assert(have_all_logged("name=server_gone group=core server=i-core-2"));
}

/*
 * Servers accept few connections, and refuse further ones for some time. Statements wait for less
 * time than it takes to try all attempts, and are then refused.
 */
static void limit_connections(void)
{
	inject_fault("work", "30");
	inject_fault("conn-limit", "2");
}

static void play_full_queue(void)
{
	g_usleep(6000000);
}

static const struct {
	const char *label;
	const char *database;
	uint32_t pipelined_count;
	void (*prepare)(void); /* before the callers start; NULL: nothing */
	void (*play)(void);
} crash_cases[] = {
	{ "a server goes after it has failed a statement that runs elsewhere", "views", 1, NULL,
	  play_server_gone },
	{ "a waiting statement is refused and the session has sent another one", "desk", 3,
	  limit_connections, play_full_queue },
};

/* Guards against memory that is used after it was freed, which ends the process or misleads it. */
START_TEST(test_processes_stay)
{
	/* Static, since the threads go on if a check fails. */
	static struct caller callers[VM_COUNT * CALLERS_PER_VM];

	start_fleet();
	/* Without a known position, all reads would go to the primary. */
	struct client *c = open_session(0, "desk");
	expect_answer(c, "WRITE a v", "ok I");
	client_free(c);
	publish_accounts();
	if (crash_cases[_i].prepare)
		crash_cases[_i].prepare();
	start_callers(callers, crash_cases[_i].database, crash_cases[_i].pipelined_count);
	crash_cases[_i].play();
	stop_callers(callers);
	check_processes(crash_cases[_i].label);
	stop_fleet();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("crash fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_loop_test(tc, test_processes_stay, 0, PW_ARRAY_LEN(crash_cases));
	return pw_suite_run("crash fleet", tc);
}
