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
	p->holder = g_strdup("vm-1");
	pw_primaries_set(p, "orders", "i-1", 11);
	pw_primaries_set(p, "fees", "i-2", 12);
	pw_primaries_find(p, "fees")->changing = true;
	pw_primaries_find(p, "fees")->planned = true;
	text = pw_primaries_encode(p);
	ck_assert_int_eq(pw_primaries_decode(&decoded, text, strlen(text), 77), PW_OK);
	ck_assert_int_eq(decoded->revision, 77);
	ck_assert_uint_eq(decoded->fencing_token, 12);
	ck_assert_str_eq(decoded->holder, "vm-1");
	ck_assert_uint_eq(decoded->entries->len, 2);
	ck_assert_str_eq(pw_primaries_find(decoded, "orders")->server_id, "i-1");
	ck_assert(!pw_primaries_find(decoded, "orders")->changing);
	ck_assert(pw_primaries_find(decoded, "fees")->changing);
	ck_assert(pw_primaries_find(decoded, "fees")->planned);
	ck_assert_ptr_null(pw_primaries_find(decoded, "other"));
	copy = pw_primaries_copy(decoded);
	/* Setting a new primary clears the mark of the change. */
	pw_primaries_set(copy, "fees", "i-3", 13);
	ck_assert(!pw_primaries_find(copy, "fees")->changing);
	ck_assert(pw_primaries_find(decoded, "fees")->changing);
	g_free(text);
	pw_primaries_unref(p);
	pw_primaries_unref(decoded);
	pw_primaries_unref(copy);
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

int main(void)
{
	TCase *tc = tcase_create("primaries");

	tcase_add_test(tc, test_round_trip);
	tcase_add_loop_test(tc, test_malformed_record, 0, PW_ARRAY_LEN(malformed_records));
	tcase_add_test(tc, test_member_round_trip);
	return pw_suite_run("primaries", tc);
}
