/* Suite of the change of a primary: when it is due, and which server is promoted. */
#include "suite.h"

#include "pw/decide/change.h"

#define MS UINT64_C(1000)

/* Times in ms; the record is known since 1000. */
static const struct {
	const char *label;
	struct pw_change_view view;
	uint32_t now_ms;
	enum pw_change_reason reason;
} due_cases[] = {
	{ "all is well",
	  { .listed = true, .votes_reached = 3, .candidates = 2 },
	  9000,
	  PW_CHANGE_NONE },
	{ "lost for most, for long enough",
	  { .listed = true,
	    .votes_lost = 2,
	    .votes_reached = 1,
	    .lost_since_us = 5000 * MS,
	    .candidates = 2 },
	  5500,
	  PW_CHANGE_UNREACHABLE },
	{ "lost for most, for a moment",
	  { .listed = true,
	    .votes_lost = 2,
	    .votes_reached = 1,
	    .lost_since_us = 5000 * MS,
	    .candidates = 2 },
	  5400,
	  PW_CHANGE_NONE },
	{ "lost for as many as reach it",
	  { .listed = true,
	    .votes_lost = 2,
	    .votes_reached = 2,
	    .lost_since_us = 5000 * MS,
	    .candidates = 2 },
	  9000,
	  PW_CHANGE_NONE },
	{ "one VM's trouble is no reason",
	  { .listed = true,
	    .votes_lost = 1,
	    .lost_since_us = 5000 * MS,
	    .candidates = 2,
	    .live = 3 },
	  9000,
	  PW_CHANGE_NONE },
	{ "of two VMs one is enough",
	  { .listed = true,
	    .votes_lost = 1,
	    .lost_since_us = 5000 * MS,
	    .candidates = 2,
	    .live = 2 },
	  9000,
	  PW_CHANGE_UNREACHABLE },
	{ "the second in rank waits for the first",
	  { .listed = true,
	    .votes_lost = 2,
	    .lost_since_us = 5000 * MS,
	    .rank = 1,
	    .candidates = 2 },
	  6000,
	  PW_CHANGE_NONE },
	{ "the second in rank acts when the first does not",
	  { .listed = true,
	    .votes_lost = 2,
	    .lost_since_us = 5000 * MS,
	    .rank = 1,
	    .candidates = 2 },
	  6100,
	  PW_CHANGE_UNREACHABLE },
	{ "its entry is gone although it is reached",
	  { .votes_reached = 3, .candidates = 2 },
	  9000,
	  PW_CHANGE_GONE },
	{ "it is about to stop",
	  { .listed = true, .leaving = true, .votes_reached = 3, .candidates = 2 },
	  9000,
	  PW_CHANGE_LEAVING },
	{ "no server to take over",
	  { .listed = true, .leaving = true, .votes_reached = 3 },
	  9000,
	  PW_CHANGE_NONE },
	{ "the entry of a new primary is not yet written",
	  { .listed = true, .demoted = true, .demoted_since_us = 1000 * MS, .candidates = 2 },
	  4900,
	  PW_CHANGE_NONE },
	{ "it has become a replica",
	  { .listed = true, .demoted = true, .demoted_since_us = 1000 * MS, .candidates = 2 },
	  5100,
	  PW_CHANGE_DEMOTED },
	{ "another VM changes it",
	  { .changing = true, .votes_lost = 5, .lost_since_us = 1000 * MS, .candidates = 2 },
	  7000,
	  PW_CHANGE_NONE },
	{ "another VM has not brought its change to an end",
	  { .changing = true, .votes_lost = 5, .lost_since_us = 1000 * MS, .candidates = 2 },
	  7600,
	  PW_CHANGE_ABANDONED },
};

START_TEST(test_due)
{
	struct pw_change_view v = due_cases[_i].view;

	v.record_since_us = 1000 * MS;
	ck_assert_msg(pw_change_due(&v, due_cases[_i].now_ms * MS) == due_cases[_i].reason, "%s",
		      due_cases[_i].label);
}
END_TEST

#define SERVERS_MAX 3

/* A server that answered: its term and the end of its log. */
#define AT(t, n) .reported = true, .term = (t), .log = { .term = (t), .lsn = (n) }

static const struct {
	const char *label;
	struct pw_change_server servers[SERVERS_MAX];
	uint32_t sync_replicas;
	bool planned;
	bool hurry;
	enum pw_change_choice choice;
	uint32_t server;
} choose_cases[] = {
	{ "no report",
	  { { .primary = true }, { .eligible = true }, { .eligible = true } },
	  0,
	  false,
	  true,
	  PW_CHANGE_WAIT,
	  0 },
	{ "one report is waited on while there is time",
	  { { .primary = true }, { .eligible = true, AT(3, 7) }, { .eligible = true } },
	  0,
	  false,
	  false,
	  PW_CHANGE_WAIT,
	  0 },
	{ "the only report, in a hurry",
	  { { .primary = true }, { .eligible = true, AT(3, 7) }, { .eligible = true } },
	  0,
	  false,
	  true,
	  PW_CHANGE_PROMOTE,
	  1 },
	{ "the longest log",
	  { { .primary = true }, { .eligible = true, AT(3, 7) }, { .eligible = true, AT(3, 9) } },
	  0,
	  false,
	  false,
	  PW_CHANGE_PROMOTE,
	  2 },
	{ "of equal logs the nearer server",
	  { { .primary = true },
	    { .eligible = true, AT(3, 9), .distance = 1 },
	    { .eligible = true, AT(3, 9) } },
	  0,
	  false,
	  false,
	  PW_CHANGE_PROMOTE,
	  2 },
	{ "a server that leaves is not promoted",
	  { { .primary = true }, { .eligible = true, AT(3, 7) }, { AT(3, 9) } },
	  0,
	  false,
	  false,
	  PW_CHANGE_PROMOTE,
	  1 },
	{ "a planned change waits for the whole log",
	  { { .primary = true, AT(3, 9) },
	    { .eligible = true, AT(3, 8) },
	    { .eligible = true, AT(3, 7) } },
	  0,
	  true,
	  false,
	  PW_CHANGE_WAIT,
	  0 },
	{ "a planned change with the whole log",
	  { { .primary = true, AT(3, 9) },
	    { .eligible = true, AT(3, 9) },
	    { .eligible = true, AT(3, 7) } },
	  0,
	  true,
	  false,
	  PW_CHANGE_PROMOTE,
	  1 },
	{ "a commit that one replica has may be only on the silent one",
	  { { .primary = true }, { .eligible = true, AT(3, 7) }, { .eligible = true } },
	  1,
	  false,
	  true,
	  PW_CHANGE_WAIT,
	  0 },
	{ "both replicas have answered",
	  { { .primary = true }, { .eligible = true, AT(3, 7) }, { .eligible = true, AT(3, 8) } },
	  1,
	  false,
	  true,
	  PW_CHANGE_PROMOTE,
	  2 },
	{ "a server that leads a newer term is taken over",
	  { { .primary = true, .leads = true, AT(3, 9) },
	    { .eligible = true, .leads = true, AT(4, 8) },
	    { .eligible = true, AT(4, 8) } },
	  0,
	  false,
	  false,
	  PW_CHANGE_ADOPT,
	  1 },
	{ "a leader of an older term is not",
	  { { .primary = true },
	    { .eligible = true, .leads = true, AT(3, 9) },
	    { .eligible = true, AT(4, 9) } },
	  0,
	  false,
	  true,
	  PW_CHANGE_PROMOTE,
	  2 },
	{ "after an abandoned change the primary may stay",
	  { { .primary = true, .eligible = true, .leads = true, AT(3, 9) },
	    { .eligible = true, AT(3, 8) },
	    { .eligible = true, AT(3, 8) } },
	  0,
	  false,
	  false,
	  PW_CHANGE_ADOPT,
	  0 },
};

START_TEST(test_choose)
{
	uint32_t server = UINT32_MAX;
	enum pw_change_choice choice = pw_change_choose(
		&server, choose_cases[_i].servers, SERVERS_MAX, choose_cases[_i].sync_replicas,
		choose_cases[_i].planned, choose_cases[_i].hurry);

	ck_assert_msg(choice == choose_cases[_i].choice, "%s: %d", choose_cases[_i].label, choice);
	if (choice != PW_CHANGE_WAIT)
		ck_assert_msg(server == choose_cases[_i].server, "%s: %u", choose_cases[_i].label,
			      server);
}
END_TEST

/* The order must be given before another VM may take the change over. */
START_TEST(test_limits)
{
	ck_assert_uint_lt(PW_CHANGE_ORDER_US, PW_CHANGE_LIMIT_US);
	ck_assert_uint_lt(PW_CHANGE_LIMIT_US + PW_PERMIT_RENEW_US, PW_CHANGE_TAKEOVER_US);
	ck_assert(pw_permit_holds(100, 99));
	ck_assert(!pw_permit_holds(100, 100));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("change");

	tcase_add_loop_test(tc, test_due, 0, PW_ARRAY_LEN(due_cases));
	tcase_add_loop_test(tc, test_choose, 0, PW_ARRAY_LEN(choose_cases));
	tcase_add_test(tc, test_limits);
	return pw_suite_run("change", tc);
}
