/* Tests of the JSON that the fleet keeps in the store: the record of primaries and the members. */
#include "suite.h"

#include <glib.h>
#include <string.h>

#include "pw/codec/primaries.h"
#include "pw/core/error.h"

/*
 * Guards against a field that is lost by encoding and decoding, a copy that shares its entries with
 * the original, and a mark of a change that remains after the change.
 */
START_TEST(test_round_trip)
{
	struct pw_primaries *p = pw_primaries_new(), *copy, *decoded = NULL;
	char *text;

	p->fencing_token = 12;
	p->era = 3;
	p->restored_token = 9;
	p->holder = g_strdup("vm-2");
	pw_primaries_set(p, "orders", "i-1", "vm-3", 11);
	pw_primaries_set(p, "fees", "i-2", NULL, 12);
	pw_primaries_mark(p, "fees", "vm-1", 77, true);
	text = pw_primaries_encode(p);
	ck_assert_int_eq(pw_primaries_decode(&decoded, text, strlen(text), 77), PW_OK);
	ck_assert_int_eq(decoded->revision, 77);
	ck_assert_uint_eq(decoded->fencing_token, 13);
	ck_assert_uint_eq(decoded->era, 3);
	ck_assert_uint_eq(decoded->restored_token, 9);
	ck_assert_str_eq(decoded->holder, "vm-1");
	ck_assert_uint_eq(decoded->entries->len, 2);
	ck_assert_str_eq(pw_primaries_find(decoded, "orders")->server_id, "i-1");
	ck_assert(!pw_primaries_find(decoded, "orders")->changing);
	ck_assert_str_eq(pw_primaries_find(decoded, "orders")->leader, "vm-3");
	ck_assert_ptr_null(pw_primaries_find(decoded, "fees")->leader);
	ck_assert(pw_primaries_find(decoded, "fees")->changing);
	ck_assert(pw_primaries_find(decoded, "fees")->planned);
	ck_assert_uint_eq(pw_primaries_find(decoded, "fees")->mark_token, 13);
	ck_assert_uint_eq(pw_primaries_find(decoded, "fees")->mark_incarnation, 77);
	ck_assert_str_eq(pw_primaries_find(decoded, "fees")->mark_vm, "vm-1");
	ck_assert_ptr_null(pw_primaries_find(decoded, "orders")->mark_vm);
	ck_assert_ptr_null(pw_primaries_find(decoded, "other"));
	copy = pw_primaries_copy(decoded);
	/* Setting a new primary clears the mark of the change. */
	pw_primaries_set(copy, "fees", "i-3", NULL, 13);
	ck_assert(!pw_primaries_find(copy, "fees")->changing);
	ck_assert_uint_eq(pw_primaries_find(copy, "fees")->mark_token, 0);
	ck_assert(pw_primaries_find(decoded, "fees")->changing);
	g_free(text);
	pw_primaries_unref(p);
	pw_primaries_unref(decoded);
	pw_primaries_unref(copy);
}
END_TEST

static const struct {
	const char *label;
	const char *entry; /* of group "a", in a record with the newest token 9 */
	uint64_t token;
	bool is_marked_by;
} mark_cases[] = {
	{ "own mark is not recognised", "\"changing\":true,\"mark_token\":8", 8, true },
	{ "mark of another change is taken for its own", "\"changing\":true,\"mark_token\":9", 8,
	  false },
	{ "group without a mark counts as marked", "\"changing\":false,\"mark_token\":8", 8,
	  false },
	{ "newest mark of an old build is not recognised", "\"changing\":true", 9, true },
	{ "later mark of an old build is taken for an own one", "\"changing\":true", 8, false },
};

/* Guards against a VM that treats the mark of another VM as its own, or its own as another's. */
START_TEST(test_mark_token)
{
	char *text = g_strdup_printf("{\"fence\":9,\"holder\":\"vm-1\",\"primaries\":[{\"group\":"
				     "\"a\",\"server\":\"i-1\",\"generation\":5,%s}]}",
				     mark_cases[_i].entry);
	struct pw_primaries *p = NULL;

	ck_assert_int_eq(pw_primaries_decode(&p, text, strlen(text), 1), PW_OK);
	ck_assert_msg(pw_primaries_is_marked_by(p, "a", mark_cases[_i].token) ==
			      mark_cases[_i].is_marked_by,
		      "%s", mark_cases[_i].label);
	ck_assert(!pw_primaries_is_marked_by(p, "b", mark_cases[_i].token));
	g_free(text);
	pw_primaries_unref(p);
}
END_TEST

static const char *const malformed_records[] = {
	"",
	"{}",
	"[]",
	"\xff",
	"{\"fence\":1}",
	"{\"fence\":\"1\",\"primaries\":[]}",
	"{\"fence\":1,\"primaries\":[{\"group\":\"a\"}]}",
	"{\"fence\":1,\"primaries\":[{\"group\":\"a\",\"server\":\"b\",\"generation\":-1}]}",
	"{\"fence\":1,\"primaries\":[5]}",
	"{\"fence\":-1,\"primaries\":[]}",
	"{\"fence\":1e3,\"primaries\":[]}",
	"{\"fence\":9223372036854775808,\"primaries\":[]}",
	"{\"fence\":1,\"primaries\":[{\"group\":\"a\",\"server\":\"b\"}]}",
	"{\"fence\":1,\"primaries\":[{\"group\":\"a\",\"server\":\"b\",\"generation\":\"3\"}]}",
	"{\"fence\":1,\"primaries\":[{\"group\":\"a\",\"server\":\"b\",\"generation\":1e999}]}",
};

/* Guards against a malformed record being accepted. */
START_TEST(test_malformed_record)
{
	struct pw_primaries *p = NULL;

	ck_assert_int_eq(
		pw_primaries_decode(&p, malformed_records[_i], strlen(malformed_records[_i]), 1),
		PW_EINVALID);
	ck_assert_ptr_null(p);
}
END_TEST

/*
 * Guards against a field of a member that is lost by encoding and decoding, and against an
 * incomplete entry being accepted.
 */
START_TEST(test_member_round_trip)
{
	const struct pw_fleet_member m = {
		.name = (char *)(uintptr_t) "vm-1",
		.address = (char *)(uintptr_t) "10.0.0.1:7000",
		.availability_zone = (char *)(uintptr_t) "zone-1",
		.incarnation = INT64_MAX,
	};
	struct pw_fleet_member *decoded = NULL;
	char *text = pw_fleet_member_encode(&m);

	ck_assert_int_eq(pw_fleet_member_decode(&decoded, text, strlen(text)), PW_OK);
	ck_assert_str_eq(decoded->name, m.name);
	ck_assert_str_eq(decoded->address, m.address);
	ck_assert_str_eq(decoded->availability_zone, m.availability_zone);
	ck_assert_uint_eq(decoded->incarnation, m.incarnation);
	pw_fleet_member_free(decoded);
	ck_assert_int_eq(pw_fleet_member_decode(&decoded, "{\"name\":\"vm-1\"}", 15), PW_EINVALID);
	g_free(text);
}
END_TEST

#define ERA          2
#define ERA_TOKEN(n) (((uint64_t)ERA << PW_FENCING_TOKEN_ERA_SHIFT) + (n))

/* A record with one group. */
struct merge_record {
	uint32_t era;
	uint64_t token, restored_token, generation; /* generation 0: no record */
	bool changing;
};

static const struct {
	const char *label;
	struct merge_record stored, known;
	bool must_write;
	struct merge_record expected;
} merge_cases[] = {
	{ "nothing known, record of an earlier era",
	  { 1, 5, 0, 5, false },
	  { 0 },
	  true,
	  { ERA, ERA_TOKEN(0), 5, 5, false } },
	{ "record of a build without eras",
	  { 0, 5, 0, 5, true },
	  { 0 },
	  true,
	  { ERA, ERA_TOKEN(0), 5, 5, true } },
	{ "nothing known, record of this era",
	  { ERA, ERA_TOKEN(1), 5, 5, false },
	  { 0 },
	  false,
	  { ERA, ERA_TOKEN(1), 5, 5, false } },
	{ "no stored record",
	  { 0 },
	  { 1, 6, 0, 6, true },
	  true,
	  { ERA, ERA_TOKEN(0), 6, 6, true } },
	{ "the copy lacks a completed change",
	  { 1, 5, 0, 5, false },
	  { 1, 6, 0, 6, false },
	  true,
	  { ERA, ERA_TOKEN(0), 6, 6, false } },
	{ "the copy has the mark of a completed change",
	  { 1, 6, 0, 5, true },
	  { 1, 6, 0, 6, false },
	  true,
	  { ERA, ERA_TOKEN(0), 6, 6, false } },
	{ "the copy lacks a mark",
	  { 1, 5, 0, 5, false },
	  { 1, 6, 0, 5, true },
	  true,
	  { ERA, ERA_TOKEN(0), 6, 5, true } },
	{ "the copy has a mark that was cleared",
	  { 1, 6, 0, 5, true },
	  { 1, 6, 0, 5, false },
	  true,
	  { ERA, ERA_TOKEN(0), 6, 5, false } },
	{ "the copy has a newer change than the VM",
	  { 1, 6, 0, 6, false },
	  { 1, 5, 0, 5, false },
	  true,
	  { ERA, ERA_TOKEN(0), 6, 6, false } },
	{ "the copy has a newer mark than the VM",
	  { 1, 6, 0, 5, true },
	  { 1, 5, 0, 5, false },
	  true,
	  { ERA, ERA_TOKEN(0), 6, 5, true } },
	{ "another VM wrote all that is known",
	  { ERA, ERA_TOKEN(0), 6, 6, false },
	  { 1, 6, 0, 6, false },
	  false,
	  { ERA, ERA_TOKEN(0), 6, 6, false } },
	{ "another VM wrote less than is known",
	  { ERA, ERA_TOKEN(0), 5, 5, false },
	  { 1, 6, 0, 6, false },
	  true,
	  { ERA, ERA_TOKEN(0), 6, 6, false } },
	{ "another VM did not know a mark",
	  { ERA, ERA_TOKEN(0), 5, 5, false },
	  { 1, 6, 0, 5, true },
	  true,
	  { ERA, ERA_TOKEN(0), 6, 5, true } },
	{ "a mark was cleared in this era",
	  { ERA, ERA_TOKEN(1), 6, 5, false },
	  { 1, 6, 0, 5, true },
	  false,
	  { ERA, ERA_TOKEN(1), 6, 5, false } },
	{ "a mark of this era is kept",
	  { ERA, ERA_TOKEN(1), 5, 5, true },
	  { 1, 6, 0, 5, false },
	  false,
	  { ERA, ERA_TOKEN(1), 6, 5, true } },
	{ "a change of this era wins over a lost one",
	  { ERA, ERA_TOKEN(1), 5, ERA_TOKEN(1), false },
	  { 1, 6, 0, 6, false },
	  false,
	  { ERA, ERA_TOKEN(1), 6, ERA_TOKEN(1), false } },
};

static struct pw_primaries *make_record(const struct merge_record *r)
{
	struct pw_primaries *p;

	if (!r->generation)
		return NULL;
	p = pw_primaries_new();
	p->era = r->era;
	p->fencing_token = r->token;
	p->restored_token = r->restored_token;
	pw_primaries_set(p, "orders", "i-1", NULL, r->generation);
	pw_primaries_find(p, "orders")->changing = r->changing;
	return p;
}

/*
 * Guards against changes of primary and marks that are lost when the store was restored from a
 * copy, marks that come back, and fencing tokens that are given out again.
 */
START_TEST(test_merge)
{
	const struct merge_record *e = &merge_cases[_i].expected;
	struct pw_primaries *stored = make_record(&merge_cases[_i].stored);
	struct pw_primaries *known = make_record(&merge_cases[_i].known), *merged = NULL;
	bool must_write = pw_primaries_merge(&merged, stored, known, ERA);
	const struct pw_primary *primary = pw_primaries_find(merged, "orders");

	ck_assert_msg(must_write == merge_cases[_i].must_write, "%s: must write: %d",
		      merge_cases[_i].label, must_write);
	ck_assert_msg(primary->generation == e->generation && primary->changing == e->changing,
		      "%s: generation %" G_GUINT64_FORMAT ", changing %d", merge_cases[_i].label,
		      primary->generation, primary->changing);
	ck_assert_msg(merged->fencing_token == e->token &&
			      merged->restored_token == e->restored_token && merged->era == e->era,
		      "%s: token %" G_GUINT64_FORMAT ", restored %" G_GUINT64_FORMAT ", era %u",
		      merge_cases[_i].label, merged->fencing_token, merged->restored_token,
		      merged->era);
	pw_primaries_unref(merged);
	pw_primaries_unref(stored);
	pw_primaries_unref(known);
}
END_TEST

/* Returns a set of servers that are named by one letter each; NULL: not known. */
static GPtrArray *make_set(const char *names)
{
	GPtrArray *set = names ? pw_replica_set_new() : NULL;

	for (; names && *names; names++) {
		const char id[] = { *names, '\0' };

		pw_replica_set_add(set, id, "10.0.0.1:5432", *names == 'b');
	}
	return set;
}

static char *set_names(const GPtrArray *set)
{
	GString *names = g_string_new(NULL);

	for (guint i = 0; set && i < set->len; i++)
		g_string_append(names, ((const struct pw_replica *)g_ptr_array_index(set, i))->id);
	return g_string_free(names, !set);
}

/*
 * Guards against a replica set that is lost by a copy, by encoding and decoding, or by a change of
 * primary, and against one that is shared.
 */
START_TEST(test_replica_set_round_trip)
{
	struct pw_primaries *p = pw_primaries_new(), *copy, *decoded = NULL;
	const struct pw_replica *r;
	char *text, *names;

	pw_primaries_set(p, "orders", "a", NULL, 11);
	pw_primaries_set(p, "fees", "c", NULL, 12);
	pw_primaries_set_replica_set(p, "orders", make_set("ab"));
	copy = pw_primaries_copy(p);
	pw_primaries_set_replica_set(p, "orders", NULL);
	pw_primaries_mark(copy, "orders", "vm-1", 77, false);
	pw_primaries_set(copy, "orders", "b", "vm-1", 13);
	text = pw_primaries_encode(copy);
	ck_assert_int_eq(pw_primaries_decode(&decoded, text, strlen(text), 5), PW_OK);
	names = set_names(pw_primaries_find(decoded, "orders")->replica_set);
	ck_assert_str_eq(names, "ab");
	r = pw_replica_set_find(pw_primaries_find(decoded, "orders")->replica_set, "b");
	ck_assert(r && r->is_stopping && strcmp(r->address, "10.0.0.1:5432") == 0);
	ck_assert(!pw_replica_set_find(pw_primaries_find(decoded, "orders")->replica_set, "a")
			   ->is_stopping);
	ck_assert_ptr_null(pw_primaries_find(decoded, "fees")->replica_set);
	ck_assert_ptr_null(pw_primaries_find(p, "orders")->replica_set);
	g_free(names);
	g_free(text);
	pw_primaries_unref(p);
	pw_primaries_unref(copy);
	pw_primaries_unref(decoded);
}
END_TEST

static const struct {
	const char *label;
	const char *json; /* of the set */
	const char *names;
} malformed_sets[] = {
	{ "empty", "[]", "" },
	{ "not a list", "{\"id\":\"a\"}", NULL },
	{ "a server without an address", "[{\"id\":\"a\"}]", NULL },
	{ "a number as id", "[{\"id\":7,\"address\":\"10.0.0.1:5432\"}]", NULL },
	{ "null", "null", NULL },
};

/* Guards against a malformed replica set that is used, or that makes the record unusable. */
START_TEST(test_malformed_replica_set)
{
	char *text = g_strdup_printf("{\"fence\":9,\"holder\":\"vm-1\",\"primaries\":[{\"group\":"
				     "\"a\",\"server\":\"i-1\",\"generation\":5,"
				     "\"replica_set\":%s}]}",
				     malformed_sets[_i].json);
	struct pw_primaries *p = NULL;
	char *names;

	ck_assert_int_eq(pw_primaries_decode(&p, text, strlen(text), 5), PW_OK);
	names = set_names(pw_primaries_find(p, "a")->replica_set);
	ck_assert_msg(g_strcmp0(names, malformed_sets[_i].names) == 0, "%s: %s",
		      malformed_sets[_i].label, names);
	g_free(names);
	g_free(text);
	pw_primaries_unref(p);
}
END_TEST

static const struct {
	const char *label;
	uint32_t stored_era;
	const char *stored;
	uint64_t known_generation; /* 0: the VM knows no record; that of the stored one is 5 */
	const char *known;
	const char *expected;
	bool must_write;
} merge_set_cases[] = {
	{ "nobody knows what the copy lacks", 1, "ab", 0, NULL, NULL, true },
	{ "the record is of this era", ERA, "ab", 0, NULL, "ab", false },
	{ "a server joined after the copy", 1, "ab", 5, "abc", "abc", true },
	{ "a server was left out after the copy", 1, "abc", 5, "ab", "abc", true },
	{ "the primary was changed after the copy", 1, "abc", 6, "ad", "abcd", true },
	{ "the copy has a newer primary", 1, "ab", 4, "ac", "abc", true },
	{ "the copy has no set", 1, NULL, 5, "ab", NULL, true },
	{ "the VM knows no set", 1, "ab", 5, NULL, NULL, true },
	{ "another VM wrote all that is known", ERA, "abc", 5, "ab", "abc", false },
	{ "another VM wrote less than is known", ERA, "ab", 5, "abc", "abc", true },
	{ "another VM wrote that the set is not known", ERA, NULL, 5, "ab", NULL, false },
};

/* Guards against a replica set that a restored store lacks servers of. */
START_TEST(test_merge_replica_sets)
{
	struct pw_primaries *stored = pw_primaries_new(), *known = NULL, *merged = NULL;
	bool must_write;
	char *names;

	stored->era = merge_set_cases[_i].stored_era;
	stored->fencing_token = ERA_TOKEN(0);
	stored->restored_token = 5;
	pw_primaries_set(stored, "orders", "a", NULL, 5);
	pw_primaries_set_replica_set(stored, "orders", make_set(merge_set_cases[_i].stored));
	if (merge_set_cases[_i].known_generation) {
		known = pw_primaries_new();
		known->era = 1;
		known->fencing_token = 5;
		pw_primaries_set(known, "orders", "a", NULL, merge_set_cases[_i].known_generation);
		pw_primaries_set_replica_set(known, "orders", make_set(merge_set_cases[_i].known));
	}
	must_write = pw_primaries_merge(&merged, stored, known, ERA);
	names = set_names(pw_primaries_find(merged, "orders")->replica_set);
	ck_assert_msg(g_strcmp0(names, merge_set_cases[_i].expected) == 0, "%s: %s",
		      merge_set_cases[_i].label, names);
	ck_assert_msg(must_write == merge_set_cases[_i].must_write, "%s: must write: %d",
		      merge_set_cases[_i].label, must_write);
	g_free(names);
	pw_primaries_unref(merged);
	pw_primaries_unref(stored);
	if (known)
		pw_primaries_unref(known);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("primaries");

	tcase_add_test(tc, test_round_trip);
	tcase_add_loop_test(tc, test_mark_token, 0, PW_ARRAY_LEN(mark_cases));
	tcase_add_loop_test(tc, test_malformed_record, 0, PW_ARRAY_LEN(malformed_records));
	tcase_add_test(tc, test_member_round_trip);
	tcase_add_loop_test(tc, test_merge, 0, PW_ARRAY_LEN(merge_cases));
	tcase_add_test(tc, test_replica_set_round_trip);
	tcase_add_loop_test(tc, test_malformed_replica_set, 0, PW_ARRAY_LEN(malformed_sets));
	tcase_add_loop_test(tc, test_merge_replica_sets, 0, PW_ARRAY_LEN(merge_set_cases));
	return pw_suite_run("primaries", tc);
}
