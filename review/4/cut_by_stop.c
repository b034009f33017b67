/*
 * A proxy gets SIGTERM. Callers whose sessions are open go on, and transactions that begin after
 * the signal are accepted. Checks that no statement that was passed on to a server loses its answer
 * by the end of the connection.
 */
#include "../common/kit.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define PROXY_COUNT         2
#define CALLER_COUNT        24
#define CONTACT_MS          5000
#define GRACE_MS            6000
#define FIRST_BEGIN_MS      1200 /* after the signal: when the first transaction begins */
#define BEGIN_SPREAD_MS     800
#define STATEMENTS_MAX      12 /* of a transaction */
#define PAUSE_MS            270
#define WORK_MS             60
#define EXCUSED_UNTIL_MS    3000 /* a request that was sent until then may be cut at the end */
#define STATEMENTS_RECORDED 4096

static const char config[] =
	"{\"Version\":1,\"Routes\":["
	"{\"Name\":\"r1\",\"Host\":\"certificates\",\"Type\":\"primary\",\"TimeoutMs\":800,"
	"\"TargetLatencyMs\":600,\"Priority\":1,\"Service\":\"grade-ledger\",\"Public\":false},"
	"{\"Name\":\"r2\",\"Host\":\"grade-history\",\"Type\":\"bounded_staleness\","
	"\"TimeoutMs\":2000,\"TargetLatencyMs\":1000,\"Priority\":2,\"Service\":\"grade-ledger\","
	"\"MaxStalenessMs\":1500,\"Public\":false}],"
	"\"Services\":[{\"Name\":\"grade-ledger\",\"MaxConns\":38,\"SyncReplicas\":0}],"
	"\"Limits\":{\"TxIdleMs\":3000},\"Tenants\":[{\"Name\":\"north-coast-laboratory\","
	"\"ApiKeys\":[\"u6wsjnbanfqasnmgkcuy\"],\"RatePerS\":2000,\"Burst\":2000}]}";

static struct kit_proxy proxies[PROXY_COUNT];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char ran_ids[STATEMENTS_RECORDED][40];
static size_t ran_count;
static uint64_t signal_ms; /* 0: not yet */
static int cut_count, answered_count;
static volatile bool done;

static void statement_ran(struct kit_server *s, const char *tenant, const char *id,
			  const char *text)
{
	(void)tenant;
	if (*id != 't')
		return;
	pthread_mutex_lock(&lock);
	if (ran_count < STATEMENTS_RECORDED)
		snprintf(ran_ids[ran_count++], sizeof(ran_ids[0]), "%s", id);
	pthread_mutex_unlock(&lock);
	kit_record("%s has run %s \"%s\"", s->id, id, text);
}

static bool has_run(const char *id)
{
	bool found = false;

	pthread_mutex_lock(&lock);
	for (size_t i = 0; !found && i < ran_count; i++)
		found = strcmp(ran_ids[i], id) == 0;
	pthread_mutex_unlock(&lock);
	return found;
}

/* Runs a statement of a transaction. Returns false if the transaction is over. */
static bool run_statement(struct kit_caller *c, const char *id, const char *text)
{
	uint64_t sent_ms = kit_now_ms();
	char answer[1024];

	kit_caller_run(c, id, text, answer, sizeof(answer), 4000);
	kit_record("%s \"%s\", sent %ld ms after the signal: %s", id, text,
		   (long)(sent_ms - signal_ms), answer);
	if (strstr(answer, "READY T") || strstr(answer, "READY I")) {
		pthread_mutex_lock(&lock);
		answered_count++;
		pthread_mutex_unlock(&lock);
		return true;
	}
	/* The server reports a run at its end. */
	kit_sleep_ms(500);
	if (strstr(answer, "closed") && sent_ms > signal_ms + EXCUSED_UNTIL_MS && has_run(id)) {
		pthread_mutex_lock(&lock);
		cut_count++;
		pthread_mutex_unlock(&lock);
		kit_record("%s was passed on to a server, and the connection has ended without an "
			   "answer",
			   id);
	}
	return false;
}

/* A session that is kept in use by single reads, and begins a transaction after the signal. */
static void *run_caller(void *arg)
{
	uint32_t number = (uint32_t)((char *)arg - (char *)proxies);
	struct kit_caller c = { .fd = -1 };
	char id[40], answer[1024];
	uint64_t begin_ms;

	if (!kit_caller_open(&c, proxies[0].caller_port, "grade-history", "u6wsjnbanfqasnmgkcuy"))
		kit_finish(KIT_NOT_RUN, "a session was not accepted");
	while (!signal_ms || kit_now_ms() < signal_ms + FIRST_BEGIN_MS +
						    number * BEGIN_SPREAD_MS / CALLER_COUNT) {
		kit_caller_run(&c, "r1", "READ 1a4", answer, sizeof(answer), 2000);
		kit_sleep_ms(100);
	}
	begin_ms = kit_now_ms();
	snprintf(id, sizeof(id), "t%02u-0", number);
	if (!run_statement(&c, id, "BEGIN READ"))
		return NULL;
	for (int i = 1; i < STATEMENTS_MAX; i++) {
		snprintf(id, sizeof(id), "t%02u-%d", number, i);
		if (!run_statement(&c, id, "READ 1a4"))
			break;
		kit_sleep_ms(PAUSE_MS);
	}
	kit_record("transaction t%02u was open for %ld ms", number,
		   (long)(kit_now_ms() - begin_ms));
	kit_caller_close(&c);
	return NULL;
}

/* Keeps positions of the primary known. */
static void *run_writer(void *arg)
{
	struct kit_caller c = { .fd = -1 };
	char answer[1024];

	if (!kit_caller_open(&c, ((struct kit_proxy *)arg)->caller_port, "certificates",
			     "u6wsjnbanfqasnmgkcuy"))
		kit_finish(KIT_NOT_RUN, "a session was not accepted");
	while (!done) {
		kit_caller_run(&c, "w1", "WRITE 1a4 xkqpwnzd", answer, sizeof(answer), 2000);
		kit_sleep_ms(150);
	}
	return NULL;
}

static void start_thread(void *(*run)(void *arg), void *arg)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, arg))
		kit_finish(KIT_NOT_RUN, "no thread could be started");
	pthread_detach(thread);
}

int main(int argc, char **argv)
{
	struct kit_group *g;
	uint16_t platform_port;
	char text[160];

	kit_start(argc > 1 ? argv[1] : "record.txt");
	platform_port = kit_start_platform();
	g = kit_group_start(platform_port, "grade-ledger");
	g->work_ms = WORK_MS;
	g->ran = statement_ran;
	kit_put_config(platform_port, config);
	for (uint32_t i = 0; i < PROXY_COUNT; i++) {
		kit_proxy_init(&proxies[i], i + 1, platform_port);
		proxies[i].promoter_port = g->promoter_port;
		kit_proxy_start(&proxies[i]);
	}
	for (int i = 0; i < PROXY_COUNT; i++)
		kit_proxy_wait_ready(&proxies[i]);
	start_thread(run_writer, &proxies[1]);
	kit_sleep_ms(1000);
	for (int i = 0; i < CALLER_COUNT; i++)
		start_thread(run_caller, (char *)proxies + i);
	kit_sleep_ms(CONTACT_MS);
	signal_ms = kit_now_ms();
	if (kit_has_trouble())
		kit_signal(&proxies[0].process, SIGTERM);
	kit_sleep_ms(GRACE_MS + 2000);
	done = true;
	if (answered_count < CALLER_COUNT)
		kit_finish(KIT_NOT_RUN, "the transactions were not served");
	snprintf(text, sizeof(text),
		 "%d statements sent over 3 s after SIGTERM were cut, %d were answered", cut_count,
		 answered_count);
	kit_finish(cut_count ? KIT_BROKEN : KIT_HELD, text);
}
