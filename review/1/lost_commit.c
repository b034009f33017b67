/*
 * Synchronous replication with one replica. One replica is to be replaced and reports that it is
 * draining; it goes on receiving. The other one receives nothing for some seconds, and the primary
 * crashes meanwhile. Checks that the server that is promoted has every acknowledged commit.
 */
#include "../common/kit.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define PROXY_COUNT          3
#define WRITERS_PER_PROXY    8
#define CONTACT_MS           5000
#define DEAF_MS              6000 /* of the other replica */
#define DEAF_AFTER_DRAIN_MS  1000
#define CRASH_AFTER_DRAIN_MS 3000 /* of the 7 s for which a draining server serves */
#define CRASH_MS             7000
#define WATCH_MS             20000
#define ACKS_MAX             40000

static const char config[] =
	"{\"Version\":1,\"Routes\":["
	"{\"Name\":\"r1\",\"Host\":\"certificates\",\"Type\":\"primary\",\"TimeoutMs\":800,"
	"\"TargetLatencyMs\":600,\"Priority\":1,\"Service\":\"grade-ledger\",\"Public\":false}],"
	"\"Services\":[{\"Name\":\"grade-ledger\",\"MaxConns\":38,\"SyncReplicas\":1}],"
	"\"Limits\":{\"TxIdleMs\":3000},\"Tenants\":[{\"Name\":\"north-coast-laboratory\","
	"\"ApiKeys\":[\"u6wsjnbanfqasnmgkcuy\"],\"RatePerS\":2000,\"Burst\":2000}]}";

static struct kit_proxy proxies[PROXY_COUNT];
static pthread_mutex_t ack_lock = PTHREAD_MUTEX_INITIALIZER;
static char acks[ACKS_MAX][40]; /* ids of the writes whose success a client has received */
static size_t ack_count;
static size_t lost_count;
static int promotion_count;
static volatile bool done;

static bool has_entry(const struct kit_server *s, const char *id)
{
	for (size_t i = s->log_length; i-- > 0;) {
		if (strcmp(s->log[i].id, id) == 0)
			return true;
	}
	return false;
}

static void server_promoted(struct kit_server *s)
{
	pthread_mutex_lock(&ack_lock);
	promotion_count++;
	for (size_t i = 0; i < ack_count; i++) {
		if (has_entry(s, acks[i]))
			continue;
		lost_count++;
		kit_record("%s was acknowledged and is not in the log of %s", acks[i], s->id);
	}
	kit_record("%zu writes were acknowledged before this promotion, %zu of them are lost",
		   ack_count, lost_count);
	pthread_mutex_unlock(&ack_lock);
}

struct caller_task {
	struct kit_proxy *proxy;
	uint32_t number;
};

static void *run_writer(void *arg)
{
	const struct caller_task *t = arg;
	struct kit_caller c = { .fd = -1 };
	uint32_t count = 0;

	while (!done) {
		char id[40], answer[1024];

		if (c.fd < 0 && !kit_caller_open(&c, t->proxy->caller_port, "certificates",
						 "u6wsjnbanfqasnmgkcuy")) {
			kit_sleep_ms(100);
			continue;
		}
		snprintf(id, sizeof(id), "%08x%08x", t->number, ++count);
		kit_caller_run(&c, id, "WRITE 1a4 xkqpwnzd", answer, sizeof(answer), 4000);
		pthread_mutex_lock(&ack_lock);
		if (strstr(answer, "COMPLETE sig") && ack_count < ACKS_MAX) {
			snprintf(acks[ack_count++], sizeof(acks[0]), "%s", id);
			kit_record("%s: acknowledged", id);
		}
		pthread_mutex_unlock(&ack_lock);
		if (!strstr(answer, "COMPLETE sig"))
			kit_record("%s: %s", id, answer);
		if (strstr(answer, "timeout"))
			kit_caller_close(&c);
		kit_sleep_ms(strstr(answer, "COMPLETE sig") ? 20 : 200);
	}
	return NULL;
}

static void start_writers(void)
{
	static struct caller_task tasks[PROXY_COUNT * WRITERS_PER_PROXY];

	for (uint32_t i = 0; i < PROXY_COUNT * WRITERS_PER_PROXY; i++) {
		pthread_t thread;

		tasks[i] = (struct caller_task){ .proxy = &proxies[i % PROXY_COUNT], .number = i };
		if (pthread_create(&thread, NULL, run_writer, &tasks[i]))
			kit_finish(KIT_NOT_RUN, "no thread could be started");
		pthread_detach(thread);
	}
}

/* The disruptions: planned work on a replica; another one is deaf as the primary crashes. */
static void disrupt(struct kit_group *g)
{
	struct kit_server *primary = &g->servers[0], *leaving = &g->servers[1];
	struct kit_server *deaf = &g->servers[2];

	kit_record("%s reports draining", leaving->id);
	leaving->draining = true;
	leaving->next_beat_ms = 0;
	kit_sleep_ms(DEAF_AFTER_DRAIN_MS);
	kit_record("%s receives nothing", deaf->id);
	deaf->deaf = true;
	kit_sleep_ms(CRASH_AFTER_DRAIN_MS - DEAF_AFTER_DRAIN_MS);
	kit_server_crash(primary);
	kit_sleep_ms(DEAF_AFTER_DRAIN_MS + DEAF_MS - CRASH_AFTER_DRAIN_MS);
	kit_record("%s receives again", deaf->id);
	deaf->deaf = false;
	kit_sleep_ms(CRASH_AFTER_DRAIN_MS + CRASH_MS - DEAF_AFTER_DRAIN_MS - DEAF_MS);
	kit_server_restart(primary);
	primary->primary = promotion_count == 0;
}

int main(int argc, char **argv)
{
	struct kit_group *g;
	uint16_t platform_port;
	char text[128];
	uint64_t begin_ms;

	kit_start(argc > 1 ? argv[1] : "record.txt");
	platform_port = kit_start_platform();
	g = kit_group_start(platform_port, "grade-ledger");
	g->work_ms = 6;
	g->sync_replicas = 1;
	g->promoted = server_promoted;
	kit_put_config(platform_port, config);
	for (uint32_t i = 0; i < PROXY_COUNT; i++) {
		kit_proxy_init(&proxies[i], i + 1, platform_port);
		proxies[i].promoter_port = g->promoter_port;
		kit_proxy_start(&proxies[i]);
	}
	for (int i = 0; i < PROXY_COUNT; i++)
		kit_proxy_wait_ready(&proxies[i]);
	start_writers();
	kit_sleep_ms(CONTACT_MS);
	begin_ms = kit_now_ms();
	if (kit_has_trouble())
		disrupt(g);
	kit_sleep_ms(begin_ms + WATCH_MS - kit_now_ms());
	done = true;
	kit_sleep_ms(500);
	if (ack_count < 100)
		kit_finish(KIT_NOT_RUN, "hardly any write was acknowledged");
	snprintf(text, sizeof(text), "%zu of %zu acknowledged commits lost in %d promotions",
		 lost_count, ack_count, promotion_count);
	kit_finish(lost_count ? KIT_BROKEN : KIT_HELD, text);
}
