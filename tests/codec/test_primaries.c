/* Suite of what the fleet keeps in the store: primaries and members. */
#include "suite.h"

#include <glib.h>
#include <string.h>

#include "pw/codec/primaries.h"
#include "pw/core/error.h"

START_TEST(test_round_trip)
{
	struct pw_primaries *p = pw_primaries_new(), *copy, *q = NULL;
	char *text;

	p->fence = 12;
	p->holder = g_strdup("vm-1");
	pw_primaries_set(p, "orders", "i-1", 11);
	pw_primaries_set(p, "fees", "i-2", 12);
	pw_primaries_find(p, "fees")->changing = true;
	pw_primaries_find(p, "fees")->planned = true;
	text = pw_primaries_encode(p);
	ck_assert_int_eq(pw_primaries_decode(&q, text, strlen(text), 77), PW_OK);
	ck_assert_int_eq(q->revision, 77);
	ck_assert_uint_eq(q->fence, 12);
	ck_assert_str_eq(q->holder, "vm-1");
	ck_assert_uint_eq(q->list->len, 2);
	ck_assert_str_eq(pw_primaries_find(q, "orders")->server_id, "i-1");
	ck_assert(!pw_primaries_find(q, "orders")->changing);
	ck_assert(pw_primaries_find(q, "fees")->changing);
	ck_assert(pw_primaries_find(q, "fees")->planned);
	ck_assert_ptr_null(pw_primaries_find(q, "other"));
	copy = pw_primaries_copy(q);
	/* A new primary ends the change. */
	pw_primaries_set(copy, "fees", "i-3", 13);
	ck_assert(!pw_primaries_find(copy, "fees")->changing);
	ck_assert(pw_primaries_find(q, "fees")->changing);
	g_free(text);
	pw_primaries_unref(p);
	pw_primaries_unref(q);
	pw_primaries_unref(copy);
}
END_TEST

static const char *const bad[] = {
	"",
	"{}",
	"[]",
	"\xff",
	"{\"fence\":1}",
	"{\"fence\":\"1\",\"primaries\":[]}",
	"{\"fence\":1,\"primaries\":[{\"group\":\"a\"}]}",
	"{\"fence\":1,\"primaries\":[{\"group\":\"a\",\"server\":\"b\",\"generation\":-1}]}",
	"{\"fence\":1,\"primaries\":[5]}",
};

START_TEST(test_bad)
{
	struct pw_primaries *p = NULL;

	ck_assert_int_eq(pw_primaries_decode(&p, bad[_i], strlen(bad[_i]), 1), PW_EINVALID);
	ck_assert_ptr_null(p);
}
END_TEST

START_TEST(test_member)
{
	const struct pw_fleet_member m = {
		.name = (char *)(uintptr_t) "vm-1",
		.address = (char *)(uintptr_t) "10.0.0.1:7000",
		.availability_zone = (char *)(uintptr_t) "zone-1",
		.incarnation = INT64_MAX,
	};
	struct pw_fleet_member *q = NULL;
	char *text = pw_fleet_member_encode(&m);

	ck_assert_int_eq(pw_fleet_member_decode(&q, text, strlen(text)), PW_OK);
	ck_assert_str_eq(q->name, m.name);
	ck_assert_str_eq(q->address, m.address);
	ck_assert_str_eq(q->availability_zone, m.availability_zone);
	ck_assert_uint_eq(q->incarnation, m.incarnation);
	pw_fleet_member_free(q);
	ck_assert_int_eq(pw_fleet_member_decode(&q, "{\"name\":\"vm-1\"}", 15), PW_EINVALID);
	g_free(text);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("primaries");

	tcase_add_test(tc, test_round_trip);
	tcase_add_loop_test(tc, test_bad, 0, PW_ARRAY_LEN(bad));
	tcase_add_test(tc, test_member);
	return pw_suite_run("primaries", tc);
}
