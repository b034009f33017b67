/*
 * Tests of the parsers of the platform's catalogue and server entries, with valid and invalid
 * input.
 */
#include "suite.h"

#include <string.h>

#include "pw/core/error.h"
#include "pw/platform/platform.h"

#define CATALOG                                                                                \
	"{\"Version\":7,\"Routes\":[{\"Name\":\"r\",\"Host\":\"lepu270\",\"Prefix\":\"/\","    \
	"\"Type\":\"bounded_staleness\",\"TimeoutMs\":2000,\"TargetLatencyMs\":1200,"          \
	"\"Priority\":2,\"Service\":\"huvo11a\",\"MaxStalenessMs\":1500,\"Public\":false}],"   \
	"\"Services\":[{\"Name\":\"huvo11a\",\"MaxConns\":22,\"SyncReplicas\":1,\"New\":{}}]," \
	"\"Limits\":{\"TxIdleMs\":2500},\"Tenants\":[{\"Name\":\"nypu920\",\"ApiKeys\":"       \
	"[\"key-a\",\"key-b\",5],\"Priority\":1,\"RatePerS\":135,\"Burst\":140}]}"

/*
 * Guards against a field of the catalogue that is lost, and against a catalogue that is rejected
 * for an unknown field or for a key that is not a string.
 */
START_TEST(test_catalog)
{
	struct pw_catalog *c = NULL;
	struct pw_findings *f = NULL;
	const struct pw_catalog_route *r;
	const struct pw_catalog_group *g;
	const struct pw_catalog_account *a;
	char hash[PW_CATALOG_KEY_HASH_SIZE];

	pw_findings_new(&f);
	ck_assert_int_eq(
		pw_platform_catalog_source.ops->decode_catalog(&c, CATALOG, strlen(CATALOG), f),
		PW_OK);
	ck_assert_uint_eq(c->version, 7);
	ck_assert_uint_eq(c->transaction_idle_timeout_ms, 2500);
	r = pw_catalog_find_route(c, "lepu270");
	ck_assert_ptr_nonnull(r);
	ck_assert_str_eq(r->group, "huvo11a");
	ck_assert_int_eq(r->consistency, PW_CONSISTENCY_BOUNDED);
	ck_assert_uint_eq(r->stale_age_ms, 1500);
	ck_assert_uint_eq(r->timeout_ms, 2000);
	ck_assert_uint_eq(r->target_latency_ms, 1200);
	ck_assert(!r->open_to_all);
	g = pw_catalog_find_group(c, "huvo11a");
	ck_assert_uint_eq(g->connection_limit, 22);
	ck_assert_uint_eq(g->sync_replica_count, 1);
	a = pw_catalog_find_account(c, "nypu920");
	ck_assert_uint_eq(a->rate_per_s, 135);
	ck_assert_uint_eq(a->burst, 140);
	pw_catalog_hash_key(hash, "key-b");
	ck_assert_ptr_eq(pw_catalog_find_account_by_key_hash(c, hash), a);
	pw_catalog_hash_key(hash, "key-c");
	ck_assert_ptr_null(pw_catalog_find_account_by_key_hash(c, hash));
	ck_assert_ptr_null(pw_catalog_find_route(c, "other"));
	pw_catalog_unref(c);
	pw_findings_free(f);
}
END_TEST

static const struct {
	const char *text;
	const char *location; /* of the first finding */
} invalid_catalogs[] = {
	{ "", "Version" },
	{ "\xff\xfe", "Version" },
	{ "[]", "Version" },
	{ "{\"Version\":\"7\"}", "Version" },
	{ "{\"Version\":7}", "Services" },
	{ "{\"Version\":7,\"Services\":{},\"Routes\":[],\"Tenants\":[]}", "Services" },
	{ "{\"Version\":7,\"Services\":[{\"Name\":5}],\"Routes\":[],\"Tenants\":[]}",
	  "Services[0]" },
	{ "{\"Version\":7,\"Services\":[],\"Routes\":[{\"Host\":\"a\",\"Service\":\"b\","
	  "\"Type\":\"exact\"}],\"Tenants\":[]}",
	  "Routes[0]" },
	{ "{\"Version\":7,\"Services\":[],\"Routes\":[],\"Tenants\":[7]}", "Tenants[0]" },
};

/*
 * Guards against an invalid catalogue that is accepted in part, and against a finding that does not
 * name the location of the fault.
 */
START_TEST(test_invalid_catalog)
{
	struct pw_catalog *c = NULL;
	struct pw_findings *f = NULL;

	pw_findings_new(&f);
	ck_assert_int_eq(
		pw_platform_catalog_source.ops->decode_catalog(
			&c, invalid_catalogs[_i].text, strlen(invalid_catalogs[_i].text), f),
		PW_EINVALID);
	ck_assert_ptr_null(c);
	ck_assert_uint_ge(pw_findings_count(f), 1);
	ck_assert_str_eq(pw_findings_at(f, 0)->location, invalid_catalogs[_i].location);
	pw_findings_free(f);
}
END_TEST

#define ENTRY_WITH(more)                                                                     \
	"{\"Service\":\"huvo11a\",\"Address\":\"10.128.0.9:8080\",\"Zone\":\"navrangpura\"," \
	"\"Version\":\"v1\",\"WarmupLeftMs\":0,\"Sequence\":4" more "}"

static const struct {
	const char *key;
	const char *text;
	int expected_rc;
	bool leaving, claims_primary; /* of valid entries */
	uint64_t started_ms;
} server_entries[] = {
	{ "servers/i-1",
	  ENTRY_WITH(",\"Slots\":3,\"State\":\"ready\",\"DbRole\":\"replica\",\"born\":17"), PW_OK,
	  false, false, 17 },
	{ "servers/i-1", ENTRY_WITH(",\"Slots\":3,\"State\":\"draining\",\"DbRole\":\"primary\""),
	  PW_OK, true, true, 0 },
	{ "servers/i-1",
	  ENTRY_WITH(",\"Slots\":3,\"State\":\"ready\",\"DbRole\":\"replica\",\"born\":\"x\""),
	  PW_OK, false, false, 0 },
	{ "servers/i-1", ENTRY_WITH(",\"Slots\":3,\"State\":\"asleep\",\"DbRole\":\"replica\""),
	  PW_EINVALID, false, false, 0 },
	{ "servers/i-1", ENTRY_WITH(",\"Slots\":3,\"State\":\"ready\",\"DbRole\":\"witness\""),
	  PW_EINVALID, false, false, 0 },
	{ "servers/i-1", ENTRY_WITH(",\"Slots\":\"3\",\"State\":\"ready\",\"DbRole\":\"replica\""),
	  PW_EINVALID, false, false, 0 },
	{ "servers/i-1", ENTRY_WITH(""), PW_EINVALID, false, false, 0 },
	{ "servers/i-1", "{\"Service\":7}", PW_EINVALID, false, false, 0 },
	{ "servers/i-1", "[1,2]", PW_EINVALID, false, false, 0 },
	{ "servers/i-1", "\x00\x01", PW_EINVALID, false, false, 0 },
	{ "servers/i-1", "not JSON", PW_EINVALID, false, false, 0 },
	{ "other/i-1", ENTRY_WITH(",\"Slots\":3,\"State\":\"ready\",\"DbRole\":\"replica\""),
	  PW_EINVALID, false, false, 0 },
};

/*
 * Guards against an entry being accepted that does not describe a server. Other writers share the
 * store and may put any value under the prefix.
 */
START_TEST(test_server_entry)
{
	struct pw_server_entry *e = NULL;
	int rc = pw_platform_catalog_source.ops->decode_server_entry(
		&e, server_entries[_i].key, server_entries[_i].text,
		strlen(server_entries[_i].text));

	ck_assert_msg(rc == server_entries[_i].expected_rc, "entry: %s", server_entries[_i].text);
	ck_assert((e != NULL) == (rc == PW_OK));
	if (rc == PW_OK) {
		ck_assert_str_eq(e->id, "i-1");
		ck_assert_str_eq(e->group, "huvo11a");
		ck_assert_str_eq(e->address, "10.128.0.9:8080");
		ck_assert_str_eq(e->availability_zone, "navrangpura");
		ck_assert_uint_eq(e->slots, 3);
		ck_assert(e->leaving == server_entries[_i].leaving);
		ck_assert(e->claims_primary == server_entries[_i].claims_primary);
		ck_assert_uint_eq(e->started_ms, server_entries[_i].started_ms);
	}
	pw_server_entry_free(e);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("publish");

	tcase_add_test(tc, test_catalog);
	tcase_add_loop_test(tc, test_invalid_catalog, 0, PW_ARRAY_LEN(invalid_catalogs));
	tcase_add_loop_test(tc, test_server_entry, 0, PW_ARRAY_LEN(server_entries));
	return pw_suite_run("publish", tc);
}
