/* Tests of the upstream vtable: parsing of status rows and the SQL of control statements. */
#include "suite.h"

#include <glib.h>

#include "pw/core/error.h"
#include "pw/upstream/upstream.h"

static const struct {
	const char *label;
	const char *values[8]; /**< columns of the row */
	uint16_t count;        /**< number of columns */
	int result;
	struct pw_server_status status;
} row_cases[] = {
	{ "primary",
	  { "primary", "3", "3", "100", "90", "0", "0" },
	  7,
	  PW_OK,
	  { PW_SERVER_PRIMARY, 3, 3, 100, 90, 0, 0 } },
	{ "replica",
	  { "replica", "3", "2", "80", "90", "15", "40" },
	  7,
	  PW_OK,
	  { PW_SERVER_REPLICA, 3, 2, 80, 90, 15, 40 } },
	{ "fenced",
	  { "fenced", "18446744073709551615", "2", "80", "90", "1", "2" },
	  7,
	  PW_OK,
	  { PW_SERVER_FENCED, UINT64_MAX, 2, 80, 90, 1, 2 } },
	{ "unknown role", { "leader", "3", "3", "100", "90", "0", "0" }, 7, PW_EINVALID, { 0 } },
	{ "role is null", { NULL, "3", "3", "100", "90", "0", "0" }, 7, PW_EINVALID, { 0 } },
	{ "term is null", { "primary", NULL, "3", "100", "90", "0", "0" }, 7, PW_EINVALID, { 0 } },
	{ "negative lsn", { "primary", "3", "3", "-100", "90", "0", "0" }, 7, PW_EINVALID, { 0 } },
	{ "empty term_start_lsn",
	  { "primary", "3", "3", "100", "", "0", "0" },
	  7,
	  PW_EINVALID,
	  { 0 } },
	{ "text after the lsn",
	  { "primary", "3", "3", "100x", "90", "0", "0" },
	  7,
	  PW_EINVALID,
	  { 0 } },
	{ "term above UINT64_MAX",
	  { "primary", "18446744073709551616", "3", "1", "1", "0", "0" },
	  7,
	  PW_EINVALID,
	  { 0 } },
	{ "six columns", { "primary", "3", "3", "100", "90", "0" }, 6, PW_EINVALID, { 0 } },
	{ "eight columns",
	  { "primary", "3", "3", "100", "90", "0", "0", "0" },
	  8,
	  PW_EINVALID,
	  { 0 } },
};

/* Guards against a term or position being read from a malformed status row. */
START_TEST(test_status_row)
{
	const struct pw_upstream *u = &pw_upstream_sql_functions;
	struct pw_server_status s = { .term = 77 };
	const struct pw_server_status *expected = &row_cases[_i].status;
	int rc = u->ops->parse_status(u, &s, row_cases[_i].values, row_cases[_i].count);

	ck_assert_msg(rc == row_cases[_i].result, "case: %s", row_cases[_i].label);
	if (rc) {
		ck_assert_uint_eq(s.term, 77);
		return;
	}
	ck_assert_int_eq(s.role, expected->role);
	ck_assert_uint_eq(s.term, expected->term);
	ck_assert_uint_eq(s.log_term, expected->log_term);
	ck_assert_uint_eq(s.lsn, expected->lsn);
	ck_assert_uint_eq(s.term_start_lsn, expected->term_start_lsn);
	ck_assert_uint_eq(s.primary_silence_ms, expected->primary_silence_ms);
	ck_assert_uint_eq(s.data_age_ms, expected->data_age_ms);
}
END_TEST

static const struct {
	const char *argument; /**< promoter or address */
	const char *fence, *promote, *follow;
} control_cases[] = {
	{ "vm1/4", "SELECT * FROM pw_fence(5,'vm1/4')", "SELECT * FROM pw_promote(5,'vm1/4')",
	  "SELECT * FROM pw_follow(5,'vm1/4')" },
	{ "a'b", "SELECT * FROM pw_fence(5,'a''b')", "SELECT * FROM pw_promote(5,'a''b')",
	  "SELECT * FROM pw_follow(5,'a''b')" },
	{ "", "SELECT * FROM pw_fence(5,'')", "SELECT * FROM pw_promote(5,'')",
	  "SELECT * FROM pw_follow(5,'')" },
};

/* Guards against SQL injection: a quote in a name must not end its literal. */
START_TEST(test_control_statements)
{
	const struct pw_upstream *u = &pw_upstream_sql_functions;
	char *fence = u->ops->fence_statement(u, 5, control_cases[_i].argument);
	char *promote = u->ops->promote_statement(u, 5, control_cases[_i].argument);
	char *follow = u->ops->follow_statement(u, 5, control_cases[_i].argument);

	ck_assert_str_eq(fence, control_cases[_i].fence);
	ck_assert_str_eq(promote, control_cases[_i].promote);
	ck_assert_str_eq(follow, control_cases[_i].follow);
	ck_assert_str_eq(u->ops->status_statement(u), "SELECT * FROM pw_status()");
	g_free(fence);
	g_free(promote);
	g_free(follow);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("upstream");

	tcase_add_loop_test(tc, test_status_row, 0, PW_ARRAY_LEN(row_cases));
	tcase_add_loop_test(tc, test_control_statements, 0, PW_ARRAY_LEN(control_cases));
	return pw_suite_run("upstream", tc);
}
