/*
 * Sessions are open on public routes, with a key that no configuration holds. The operator makes
 * one route private, and removes the other one and adds it again as a private one. Checks that the
 * sessions' statements run no longer.
 */
#include "../common/kit.h"

#include <stdio.h>
#include <string.h>

#define PROXY_COUNT     2
#define CONFIG_APPLY_MS 4000
#define CONTACT_MS      5000
#define CHECK_MS        8000 /* time over which the checked statements are sent */

static const char config_head[] = "{\"Version\":%d,\"Routes\":[";

static const char config_route[] =
	"%s{\"Name\":\"r-%s\",\"Host\":\"%s\",\"Type\":\"primary\",\"TimeoutMs\":800,"
	"\"TargetLatencyMs\":600,\"Priority\":1,\"Service\":\"grade-ledger\",\"Public\":%s}";

static const char config_tail[] =
	"],\"Services\":[{\"Name\":\"grade-ledger\",\"MaxConns\":38,\"SyncReplicas\":0}],"
	"\"Limits\":{\"TxIdleMs\":3000},\"Tenants\":[{\"Name\":\"north-coast-laboratory\","
	"\"ApiKeys\":[\"u6wsjnbanfqasnmgkcuy\"],\"RatePerS\":100,\"Burst\":100}]}";

/* The route that is made private, and the one that is removed and added again as a private one. */
#define CHANGED_ROUTE "certificates"
#define REMOVED_ROUTE "grade-history"

static const char unknown_key[] = "k0000000000000000000";

/* Time from which a run breaks the rule; 0: not yet. */
static uint64_t bound_ms;
static int late_run_count;

static void statement_ran(struct kit_server *s, const char *tenant, const char *id,
			  const char *text)
{
	bool late = bound_ms && kit_now_ms() > bound_ms;

	if (strncmp(id, "keyless", 7) != 0)
		return;
	late_run_count += late;
	kit_record("%s runs %s \"%s\" for tenant \"%s\"%s", s->id, id, text, tenant,
		   late ? ": the route is private" : "");
}

static void put_config(uint16_t platform_port, int version, bool is_public, bool has_both_routes)
{
	const char *public_text = is_public ? "true" : "false";
	char text[2048];
	int used = snprintf(text, sizeof(text), config_head, version);

	used += snprintf(text + used, sizeof(text) - (size_t)used, config_route, "", CHANGED_ROUTE,
			 CHANGED_ROUTE, public_text);
	if (has_both_routes)
		used += snprintf(text + used, sizeof(text) - (size_t)used, config_route, ",",
				 REMOVED_ROUTE, REMOVED_ROUTE, public_text);
	snprintf(text + used, sizeof(text) - (size_t)used, "%s", config_tail);
	kit_put_config(platform_port, text);
}

/* Runs a statement and records it. Returns whether it succeeded. */
static bool run(struct kit_caller *c, const char *kind, int number, const char *text)
{
	char id[40], answer[1024];

	snprintf(id, sizeof(id), "%s-%d", kind, number);
	kit_caller_run(c, id, text, answer, sizeof(answer), 2000);
	kit_record("%s sends \"%s\": %s", id, text, answer);
	return strstr(answer, "COMPLETE sig") != NULL;
}

/* Opens a session and runs a statement, which must succeed. */
static void open_session(struct kit_caller *c, uint16_t port, const char *database, const char *key,
			 const char *kind)
{
	if (!kit_caller_open(c, port, database, key) || !run(c, kind, 1, "WRITE 1a4 xkqpwnzd"))
		kit_finish(KIT_NOT_RUN, "the route is not served");
}

int main(int argc, char **argv)
{
	struct kit_proxy proxies[PROXY_COUNT];
	struct kit_caller changed = { .fd = -1 }, removed = { .fd = -1 };
	struct kit_caller opened_after = { .fd = -1 }, with_key = { .fd = -1 };
	struct kit_group *g;
	uint16_t platform_port;
	char text[128];

	kit_start(argc > 1 ? argv[1] : "record.txt");
	platform_port = kit_start_platform();
	g = kit_group_start(platform_port, "grade-ledger");
	g->ran = statement_ran;
	put_config(platform_port, 1, true, true);
	for (uint32_t i = 0; i < PROXY_COUNT; i++) {
		kit_proxy_init(&proxies[i], i + 1, platform_port);
		proxies[i].promoter_port = g->promoter_port;
		kit_proxy_start(&proxies[i]);
	}
	for (int i = 0; i < PROXY_COUNT; i++)
		kit_proxy_wait_ready(&proxies[i]);
	kit_sleep_ms(CONTACT_MS);
	open_session(&changed, proxies[0].caller_port, CHANGED_ROUTE, unknown_key,
		     "keyless-changed");
	open_session(&removed, proxies[1].caller_port, REMOVED_ROUTE, unknown_key,
		     "keyless-removed");
	open_session(&with_key, proxies[0].caller_port, CHANGED_ROUTE, "u6wsjnbanfqasnmgkcuy",
		     "key");
	put_config(platform_port, 2, !kit_has_trouble(), false);
	kit_sleep_ms(1000);
	put_config(platform_port, 3, !kit_has_trouble(), true);
	if (kit_has_trouble())
		bound_ms = kit_now_ms() + CONFIG_APPLY_MS;
	kit_sleep_ms(CONFIG_APPLY_MS + 500);
	kit_record(
		"a new session with the same key: %s",
		kit_caller_open(&opened_after, proxies[0].caller_port, CHANGED_ROUTE, unknown_key)
			? "accepted"
			: "refused");
	for (int i = 2; i < 2 + CHECK_MS / 500; i++) {
		(void)run(&changed, "keyless-changed", i, "WRITE 1a4 xkqpwnzd");
		(void)run(&removed, "keyless-removed", i, "WRITE 1a4 xkqpwnzd");
		if (!run(&with_key, "key", i, "WRITE 1a4 xkqpwnzd"))
			kit_finish(KIT_NOT_RUN, "the caller with a key is not served");
		kit_sleep_ms(500);
	}
	snprintf(text, sizeof(text), "%d statements without a valid key ran on private routes",
		 late_run_count);
	kit_finish(late_run_count ? KIT_BROKEN : KIT_HELD, text);
}
