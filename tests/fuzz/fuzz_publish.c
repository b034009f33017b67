/*
 * Fuzzing of the platform's catalogue and server entries: the routes of a decoded catalogue can be
 * found, and a decoded server entry is complete and can be copied.
 */
#include "fuzz.h"

#include "pw/core/address.h"
#include "pw/core/error.h"
#include "pw/core/findings.h"
#include "pw/platform/platform.h"

const uint32_t fuzz_round_count = 100000;

static void check_catalog(const char *text, size_t size_bytes)
{
	struct pw_findings *f = NULL;
	struct pw_catalog *c = NULL;

	pw_findings_new(&f);
	if (!pw_platform_catalog_source.ops->decode_catalog(&c, text, size_bytes, f)) {
		for (guint i = 0; i < c->routes->len; i++) {
			const struct pw_catalog_route *r = g_ptr_array_index(c->routes, i);

			FUZZ_CHECK(r->database && r->group);
			FUZZ_CHECK(pw_catalog_find_route(c, r->database));
		}
		pw_catalog_unref(c);
	}
	pw_findings_free(f);
}

static void check_server(const char *text, size_t size_bytes)
{
	struct pw_server_entry *e, *copy;
	struct pw_address address;

	if (pw_platform_catalog_source.ops->decode_server_entry(&e, "servers/i-1", text,
								size_bytes))
		return;
	FUZZ_CHECK(e->id && e->group && e->address && e->availability_zone);
	FUZZ_CHECK(pw_address_parse(&address, e->address) == PW_OK);
	FUZZ_CHECK(strpbrk(e->group, " \r\n") == NULL);
	copy = pw_server_entry_copy(e);
	FUZZ_CHECK(strcmp(e->address, copy->address) == 0 && e->slots == copy->slots);
	pw_server_entry_free(copy);
	pw_server_entry_free(e);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
	check_catalog((const char *)data, size_bytes);
	check_server((const char *)data, size_bytes);
	return 0;
}

void fuzz_add_seeds(GPtrArray *seeds)
{
	static const char *const texts[] = {
		"{\"Version\":7,\"Routes\":[{\"Host\":\"desk\",\"Type\":\"bounded_staleness\","
		"\"TimeoutMs\":2000,\"TargetLatencyMs\":1200,\"Priority\":2,\"Service\":\"orders\","
		"\"MaxStalenessMs\":1500,\"Public\":false}],\"Services\":[{\"Name\":\"orders\","
		"\"MaxConns\":22,\"SyncReplicas\":1}],\"Limits\":{\"TxIdleMs\":2500},"
		"\"Tenants\":[{\"Name\":\"amber\",\"ApiKeys\":[\"key-a\"],\"Priority\":1,"
		"\"RatePerS\":135,\"Burst\":140}]}",
		"{\"Service\":\"orders\",\"Address\":\"10.0.0.9:8080\",\"Zone\":\"zone-1\","
		"\"WarmupLeftMs\":0,\"Slots\":3,\"State\":\"ready\",\"DbRole\":\"replica\","
		"\"Version\":\"v1\",\"Sequence\":4,\"born\":17}",
		"{\"Service\":\"orders\\r\\nQUERY 1 WRITE a b\",\"Address\":\"10.0.0.9:70000\","
		"\"Zone\":\"\\u0000\",\"Version\":[[[[[[]]]]]],\"WarmupLeftMs\":1e999,\"Slots\":"
		"99999999999999999999,\"State\":\"ready\",\"DbRole\":\"replica\",\"Sequence\":-1,"
		"\"born\":9223372036854775808}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		fuzz_add_seed(seeds, texts[i], strlen(texts[i]));
}
