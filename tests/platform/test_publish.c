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
	{ "{\"Version\":-1,\"Services\":[],\"Routes\":[],\"Tenants\":[]}", "Version" },
	{ "{\"Version\":9223372036854775808,\"Services\":[],\"Routes\":[],\"Tenants\":[]}",
	  "Version" },
	{ "{\"Version\":7,\"Services\":{},\"Routes\":[],\"Tenants\":[]}", "Services" },
	{ "{\"Version\":7,\"Services\":[{\"Name\":5}],\"Routes\":[],\"Tenants\":[]}",
	  "Services[0]" },
	/* Names that would end a field or a message of the server protocol. */
	{ "{\"Version\":7,\"Services\":[{\"Name\":\"a b\"}],\"Routes\":[],\"Tenants\":[]}",
	  "Services[0]" },
	{ "{\"Version\":7,\"Services\":[{\"Name\":\"\"}],\"Routes\":[],\"Tenants\":[]}",
	  "Services[0]" },
	{ "{\"Version\":7,\"Services\":[{\"Name\":\"a\\r\\nQUERY\"}],\"Routes\":[],\"Tenants\":[]}",
	  "Services[0]" },
	{ "{\"Version\":7,\"Services\":[],\"Routes\":[{\"Host\":\"a\",\"Service\":\"a b\","
	  "\"Type\":\"primary\"}],\"Tenants\":[]}",
	  "Routes[0]" },
	{ "{\"Version\":7,\"Services\":[],\"Routes\":[{\"Host\":\"a\",\"Service\":\"a\\r\\nb\","
	  "\"Type\":\"primary\"}],\"Tenants\":[]}",
	  "Routes[0]" },
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
	  PW_EINVALID, false, false, 0 },
	{ "servers/i-1", ENTRY_WITH(",\"Slots\":3,\"State\":\"asleep\",\"DbRole\":\"replica\""),
	  PW_EINVALID, false, false, 0 },
	{ "servers/i-1", ENTRY_WITH(",\"Slots\":3,\"State\":\"ready\",\"DbRole\":\"witness\""),
	  PW_EINVALID, false, false, 0 },
	{ "servers/i-1", ENTRY_WITH(",\"Slots\":\"3\",\"State\":\"ready\",\"DbRole\":\"replica\""),
	  PW_EINVALID, false, false, 0 },
	{ "servers/i 1", ENTRY_WITH(",\"Slots\":3,\"State\":\"ready\",\"DbRole\":\"replica\""),
	  PW_EINVALID, false, false, 0 },
	{ "servers/i-1\r\nQUERY",
	  ENTRY_WITH(",\"Slots\":3,\"State\":\"ready\",\"DbRole\":\"replica\""), PW_EINVALID, false,
	  false, 0 },
	{ "servers/", ENTRY_WITH(",\"Slots\":3,\"State\":\"ready\",\"DbRole\":\"replica\""),
	  PW_EINVALID, false, false, 0 },
	{ "servers/i-1\n", ENTRY_WITH(",\"Slots\":3,\"State\":\"ready\",\"DbRole\":\"replica\""),
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

/* The fields of a valid entry, in the order of their names in `field_names`. */
enum field {
	SERVICE,
	ADDRESS,
	ZONE,
	SOFTWARE,
	SLOTS,
	STATE,
	WARMUP,
	SEQUENCE,
	ROLE,
	BORN,
	FIELD_COUNT,
};

static const char *const field_names[FIELD_COUNT] = {
	"Service", "Address",      "Zone",     "Version", "Slots",
	"State",   "WarmupLeftMs", "Sequence", "DbRole",  "born",
};

static const char *const field_values[FIELD_COUNT] = {
	"\"core\"", "\"10.0.0.9:8080\"", "\"zone-1\"",    "\"v1\"", "3", "\"ready\"", "0",
	"4",        "\"replica\"",       "1764924411000",
};

/* Returns a valid entry with another value of one field; without the field if `value` is NULL. */
static char *entry_with(enum field field, const char *value)
{
	GString *text = g_string_new("{\"other\":null");

	for (int i = 0; i < FIELD_COUNT; i++) {
		const char *v = i == (int)field ? value : field_values[i];

		if (v)
			g_string_append_printf(text, ",\"%s\":%s", field_names[i], v);
	}
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}

static const struct {
	enum field field;
	const char *value; /* NULL: the field is missing */
	int expected_rc;
} odd_fields[] = {
	{ SERVICE, NULL, PW_EINVALID },
	{ SERVICE, "\"\"", PW_EINVALID },
	{ SERVICE, "\"core amber i-1\"", PW_EINVALID },
	{ SERVICE, "\"core\\r\\nQUERY 1 WRITE a b\"", PW_EINVALID },
	{ SERVICE, "\"core\\u0000x\"", PW_EINVALID },
	{ SERVICE, "\"\\ud800\"", PW_EINVALID },
	{ SERVICE, "\"\xff\xfe\"", PW_EINVALID },
	{ ADDRESS, NULL, PW_EINVALID },
	{ ADDRESS, "8080", PW_EINVALID },
	{ ADDRESS, "\"\"", PW_EINVALID },
	{ ADDRESS, "\"10.0.0.9\"", PW_EINVALID },
	{ ADDRESS, "\"10.0.0.9:\"", PW_EINVALID },
	{ ADDRESS, "\"10.0.0.9:0\"", PW_EINVALID },
	{ ADDRESS, "\"10.0.0.9:65535\"", PW_OK },
	{ ADDRESS, "\"10.0.0.9:65536\"", PW_EINVALID },
	{ ADDRESS, "\"10.0.0.9:70000\"", PW_EINVALID },
	{ ADDRESS, "\"10.0.0.9:-1\"", PW_EINVALID },
	{ ADDRESS, "\"10.0.0.9:99999999999999999999\"", PW_EINVALID },
	{ ADDRESS, "\"10.0.0.256:8080\"", PW_EINVALID },
	{ ADDRESS, "\"server.example:8080\"", PW_EINVALID },
	{ ADDRESS, "\"10.0.0.9:8080 x\"", PW_EINVALID },
	{ ADDRESS, "\"[fd00::9]:8080\"", PW_OK },
	{ ADDRESS, "\"[fd00::9:8080\"", PW_EINVALID },
	{ ZONE, NULL, PW_EINVALID },
	{ ZONE, "7", PW_EINVALID },
	{ SOFTWARE, NULL, PW_EINVALID },
	{ SOFTWARE, "[]", PW_EINVALID },
	{ SLOTS, NULL, PW_EINVALID },
	{ SLOTS, "0", PW_OK },
	{ SLOTS, "4294967295", PW_OK },
	{ SLOTS, "4294967296", PW_EINVALID },
	{ SLOTS, "-1", PW_EINVALID },
	{ SLOTS, "3.5", PW_EINVALID },
	{ SLOTS, "99999999999999999999", PW_EINVALID },
	{ SLOTS, "1e999", PW_EINVALID },
	{ STATE, "\"READY\"", PW_EINVALID },
	{ STATE, "true", PW_EINVALID },
	{ WARMUP, NULL, PW_EINVALID },
	{ WARMUP, "\"0\"", PW_EINVALID },
	{ WARMUP, "812.5", PW_OK },
	{ WARMUP, "-1", PW_EINVALID },
	{ SEQUENCE, NULL, PW_EINVALID },
	{ SEQUENCE, "{}", PW_EINVALID },
	{ ROLE, NULL, PW_EINVALID },
	{ ROLE, "\"Primary\"", PW_EINVALID },
	{ BORN, NULL, PW_OK },
	{ BORN, "0", PW_EINVALID },
	{ BORN, "-1", PW_EINVALID },
	{ BORN, "9223372036854775807", PW_OK },
	{ BORN, "9223372036854775808", PW_EINVALID },
	{ BORN, "1764924411000.0", PW_OK },
	{ BORN, "1764924411000.5", PW_EINVALID },
	{ BORN, "1e300", PW_EINVALID },
	{ BORN, "null", PW_EINVALID },
};

/* Guards against an entry of another writer that is used as a server because of its other fields.
 */
START_TEST(test_odd_field)
{
	char *text = entry_with(odd_fields[_i].field, odd_fields[_i].value);
	struct pw_server_entry *e = NULL;
	int rc = pw_platform_catalog_source.ops->decode_server_entry(&e, "servers/i-1", text,
								     strlen(text));

	ck_assert_msg(rc == odd_fields[_i].expected_rc, "%d for %s", rc, text);
	ck_assert((e != NULL) == (rc == PW_OK));
	if (e && odd_fields[_i].value && odd_fields[_i].field == BORN)
		ck_assert_uint_gt(e->started_ms, 1764924410999);
	pw_server_entry_free(e);
	g_free(text);
}
END_TEST

static const struct {
	const char *key;
	int expected_rc;
} odd_keys[] = {
	{ "servers/i-7f3a91c2", PW_OK },
	{ "servers/", PW_EINVALID },
	{ "servers", PW_EINVALID },
	{ "servers/i 1", PW_EINVALID },
	{ "servers/i-1\r\nQUERY 1 WRITE a b", PW_EINVALID },
	{ "servers/i-1\n", PW_EINVALID },
	{ "servers/\x7f", PW_EINVALID },
	{ "servers/\xff", PW_EINVALID },
};

/* Guards against an id that adds fields or lines to the start of a connection to a server. */
START_TEST(test_odd_key)
{
	char *text = entry_with(FIELD_COUNT, NULL);
	struct pw_server_entry *e = NULL;
	int rc = pw_platform_catalog_source.ops->decode_server_entry(&e, odd_keys[_i].key, text,
								     strlen(text));

	ck_assert_msg(rc == odd_keys[_i].expected_rc, "%d for case %d", rc, _i);
	pw_server_entry_free(e);
	g_free(text);
}
END_TEST

/* Guards against a long id, which other writers can store although the platform limits keys. */
START_TEST(test_long_key)
{
	char *id = g_strnfill(1 << 20, 'i'), *key = g_strconcat("servers/", id, NULL);
	char *text = entry_with(FIELD_COUNT, NULL);
	struct pw_server_entry *e = NULL;

	ck_assert_int_eq(
		pw_platform_catalog_source.ops->decode_server_entry(&e, key, text, strlen(text)),
		PW_EINVALID);
	g_free(text);
	g_free(key);
	g_free(id);
}
END_TEST

static const struct {
	const char *label, *open, *close;
	uint32_t depth;
} large_values[] = {
	{ "nested lists", "[", "]", 100000 },
	{ "nested lists without an end", "[", "", 1000000 },
	{ "nested objects", "{\"a\":", "}", 100000 },
	{ "a long text", "x", "", 1 << 20 },
};

/*
 * Guards against a value that uses up the stack of the task, on its own or in a field of an entry
 * or of the catalogue. The depth is limited by the parser.
 */
START_TEST(test_large_value)
{
	GString *value = g_string_new(NULL);
	struct pw_server_entry *e = NULL;
	struct pw_findings *f = NULL;
	struct pw_catalog *c = NULL;
	char *text;

	for (uint32_t i = 0; i < large_values[_i].depth; i++)
		g_string_append(value, large_values[_i].open);
	for (uint32_t i = 0; i < large_values[_i].depth && *large_values[_i].close; i++)
		g_string_append(value, large_values[_i].close);
	text = entry_with(ZONE, value->str);
	ck_assert_int_eq(pw_platform_catalog_source.ops->decode_server_entry(
				 &e, "servers/i-1", value->str, value->len),
			 PW_EINVALID);
	ck_assert_int_eq(pw_platform_catalog_source.ops->decode_server_entry(&e, "servers/i-1",
									     text, strlen(text)),
			 PW_EINVALID);
	pw_findings_new(&f);
	ck_assert_int_eq(pw_platform_catalog_source.ops->decode_catalog(&c, text, strlen(text), f),
			 PW_EINVALID);
	pw_findings_free(f);
	g_free(text);
	g_string_free(value, TRUE);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("publish");

	tcase_add_test(tc, test_catalog);
	tcase_add_loop_test(tc, test_invalid_catalog, 0, PW_ARRAY_LEN(invalid_catalogs));
	tcase_add_loop_test(tc, test_server_entry, 0, PW_ARRAY_LEN(server_entries));
	tcase_add_loop_test(tc, test_odd_field, 0, PW_ARRAY_LEN(odd_fields));
	tcase_add_loop_test(tc, test_odd_key, 0, PW_ARRAY_LEN(odd_keys));
	tcase_add_test(tc, test_long_key);
	tcase_add_loop_test(tc, test_large_value, 0, PW_ARRAY_LEN(large_values));
	return pw_suite_run("publish", tc);
}
