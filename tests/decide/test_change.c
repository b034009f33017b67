/* Tests of the primary change: when it is due, and which server is promoted. */
#include "suite.h"

#include <glib.h>
#include <stdlib.h>

#include "pw/decide/change.h"

#define MS UINT64_C(1000)

/* Guards against changes that are not due, too early, or started by two VMs at once. */
static const struct {
	const char *label;
	struct pw_change_view view;
	uint32_t now_ms; /* the record has been known since 1000 ms */
	enum pw_change_reason reason;
} due_cases[] = {
	{ "a reachable primary is not changed",
	  { .registered = true, .reached_vote_count = 3, .candidate_count = 2 },
	  9000,
	  PW_CHANGE_NONE },
	{ "lost by most VMs, for long enough",
	  { .registered = true,
	    .lost_vote_count = 2,
	    .reached_vote_count = 1,
	    .lost_since_us = 5000 * MS,
	    .candidate_count = 2 },
	  5500,
	  PW_CHANGE_UNREACHABLE },
	{ "lost by most VMs, but too briefly",
	  { .registered = true,
	    .lost_vote_count = 2,
	    .reached_vote_count = 1,
	    .lost_since_us = 5000 * MS,
	    .candidate_count = 2 },
	  5400,
	  PW_CHANGE_NONE },
	{ "lost by as many VMs as reach it",
	  { .registered = true,
	    .lost_vote_count = 2,
	    .reached_vote_count = 2,
	    .lost_since_us = 5000 * MS,
	    .candidate_count = 2 },
	  9000,
	  PW_CHANGE_NONE },
	{ "one of three VMs has lost it, which is not enough",
	  { .registered = true,
	    .lost_vote_count = 1,
	    .lost_since_us = 5000 * MS,
	    .candidate_count = 2,
	    .live_count = 3 },
	  9000,
	  PW_CHANGE_NONE },
	{ "one of two VMs has lost it, which is enough",
	  { .registered = true,
	    .lost_vote_count = 1,
	    .lost_since_us = 5000 * MS,
	    .candidate_count = 2,
	    .live_count = 2 },
	  9000,
	  PW_CHANGE_UNREACHABLE },
	{ "the second in rank waits for the first",
	  { .registered = true,
	    .lost_vote_count = 2,
	    .lost_since_us = 5000 * MS,
	    .rank = 1,
	    .candidate_count = 2 },
	  6000,
	  PW_CHANGE_NONE },
	{ "the second in rank acts when the first does not",
	  { .registered = true,
	    .lost_vote_count = 2,
	    .lost_since_us = 5000 * MS,
	    .rank = 1,
	    .candidate_count = 2 },
	  6100,
	  PW_CHANGE_UNREACHABLE },
	{ "no longer registered, although reachable",
	  { .reached_vote_count = 3, .candidate_count = 2 },
	  9000,
	  PW_CHANGE_UNREGISTERED },
	{ "the primary is leaving",
	  { .registered = true, .leaving = true, .reached_vote_count = 3, .candidate_count = 2 },
	  9000,
	  PW_CHANGE_LEAVING },
	{ "the second in rank waits for the first when the primary is leaving",
	  { .registered = true,
	    .leaving = true,
	    .entry_fault_since_us = 5000 * MS,
	    .rank = 1,
	    .candidate_count = 2 },
	  5500,
	  PW_CHANGE_NONE },
	{ "the second in rank waits for the first when the primary is not registered",
	  { .entry_fault_since_us = 5000 * MS, .rank = 2, .candidate_count = 2 },
	  6100,
	  PW_CHANGE_NONE },
	{ "the second in rank changes a leaving primary that the first keeps",
	  { .registered = true,
	    .leaving = true,
	    .entry_fault_since_us = 5000 * MS,
	    .rank = 1,
	    .candidate_count = 2 },
	  5600,
	  PW_CHANGE_LEAVING },
	{ "the primary is leaving, but there is no candidate",
	  { .registered = true, .leaving = true, .reached_vote_count = 3 },
	  9000,
	  PW_CHANGE_NONE },
	{ "a new primary's entry may still say replica",
	  { .registered = true,
	    .demoted = true,
	    .entry_fault_since_us = 1000 * MS,
	    .candidate_count = 2 },
	  4900,
	  PW_CHANGE_NONE },
	{ "the primary has become a replica",
	  { .registered = true,
	    .demoted = true,
	    .entry_fault_since_us = 1000 * MS,
	    .candidate_count = 2 },
	  5100,
	  PW_CHANGE_DEMOTED },
	{ "another VM is changing the primary",
	  { .changing = true,
	    .lost_vote_count = 5,
	    .lost_since_us = 1000 * MS,
	    .candidate_count = 2 },
	  7000,
	  PW_CHANGE_NONE },
	{ "another VM has not finished its change",
	  { .changing = true,
	    .lost_vote_count = 5,
	    .lost_since_us = 1000 * MS,
	    .candidate_count = 2 },
	  7600,
	  PW_CHANGE_ABANDONED },
};

static const struct {
	const char *label;
	struct pw_change_view view;
	uint32_t checker_count;
	bool expected;
} check_cases[] = {
	{ "nobody has lost it", { .rank = 0 }, 3, false },
	{ "this VM has lost it", { .lost_vote_count = 1, .lost = true, .rank = 200 }, 3, true },
	{ "another VM has lost it, and this one decides",
	  { .lost_vote_count = 1, .rank = 2 },
	  3,
	  true },
	{ "another VM has lost it, and others decide",
	  { .lost_vote_count = 1, .rank = 3 },
	  3,
	  false },
	{ "a small fleet", { .lost_vote_count = 1, .rank = 8 }, UINT32_MAX, true },
	{ "it is being changed",
	  { .lost_vote_count = 1, .lost = true, .changing = true },
	  3,
	  false },
};

/* Guards against a primary that is checked by a whole fleet when some VM has lost it. */
START_TEST(test_check)
{
	ck_assert_msg(
		pw_change_should_check(&check_cases[_i].view, check_cases[_i].checker_count) ==
			check_cases[_i].expected,
		"%s", check_cases[_i].label);
}
END_TEST

START_TEST(test_due)
{
	struct pw_change_view v = due_cases[_i].view;

	v.record_since_us = 1000 * MS;
	ck_assert_msg(pw_change_due_reason(&v, due_cases[_i].now_ms * MS) == due_cases[_i].reason,
		      "%s", due_cases[_i].label);
}
END_TEST

/* Guards against two VMs that take turns at changing the primary of one group. */
static const struct {
	const char *label;
	bool led_last_change;
	uint32_t vm_hash, other_vm_hash, group_hash;
	bool comes_first; /* before another VM that did not lead the last change */
} rank_cases[] = {
	{ "the leader of the last change", true, 9, 1, 0, true },
	{ "the leader of the last change, with the hash of the group", true, 7, 7, 7, true },
	{ "the smaller weight in this group", false, 1, 2, 0, true },
	{ "the larger weight in another group", false, 1, 2, 3, false },
};

START_TEST(test_rank_weight)
{
	uint64_t weight = pw_change_rank_weight(rank_cases[_i].led_last_change,
						rank_cases[_i].vm_hash, rank_cases[_i].group_hash);
	uint64_t other = pw_change_rank_weight(false, rank_cases[_i].other_vm_hash,
					       rank_cases[_i].group_hash);

	ck_assert_msg((weight < other) == rank_cases[_i].comes_first, "%s", rank_cases[_i].label);
}
END_TEST

#define SERVERS_MAX 3

/* Fields of a server that has answered: its term and the end of its log. */
#define REPORTED(t, n) .reported = true, .term = (t), .log_end = { .term = (t), .lsn = (n) }

/* Guards against a promotion that loses commits, and against a choice made too early. */
static const struct {
	const char *label;
	struct pw_change_server servers[SERVERS_MAX];
	uint32_t sync_replicas;
	bool planned;
	bool urgent;
	enum pw_change_choice choice;
	uint32_t server;
	uint64_t min_term;
	bool set_unknown; /* the store has no replica set of the group */
} choose_cases[] = {
	{ "no server has reported",
	  { { .is_primary = true }, { .eligible = true }, { .eligible = true } },
	  0,
	  false,
	  true,
	  PW_CHANGE_WAIT,
	  0 },
	{ "waits for the other report while there is time",
	  { { .is_primary = true }, { .eligible = true, REPORTED(3, 7) }, { .eligible = true } },
	  0,
	  false,
	  false,
	  PW_CHANGE_WAIT,
	  0 },
	{ "the only server that reported, if time is short",
	  { { .is_primary = true }, { .eligible = true, REPORTED(3, 7) }, { .eligible = true } },
	  0,
	  false,
	  true,
	  PW_CHANGE_PROMOTE,
	  1 },
	{ "the server with the longest log",
	  { { .is_primary = true },
	    { .eligible = true, REPORTED(3, 7) },
	    { .eligible = true, REPORTED(3, 9) } },
	  0,
	  false,
	  false,
	  PW_CHANGE_PROMOTE,
	  2 },
	{ "the nearer of two servers with equal logs",
	  { { .is_primary = true },
	    { .eligible = true, REPORTED(3, 9), .distance = 1 },
	    { .eligible = true, REPORTED(3, 9) } },
	  0,
	  false,
	  false,
	  PW_CHANGE_PROMOTE,
	  2 },
	{ "a leaving server is not promoted",
	  { { .is_primary = true }, { .eligible = true, REPORTED(3, 7) }, { REPORTED(3, 9) } },
	  0,
	  false,
	  false,
	  PW_CHANGE_PROMOTE,
	  1 },
	{ "a planned change waits for a replica with the whole log",
	  { { .is_primary = true, REPORTED(3, 9) },
	    { .eligible = true, REPORTED(3, 8) },
	    { .eligible = true, REPORTED(3, 7) } },
	  0,
	  true,
	  false,
	  PW_CHANGE_WAIT,
	  0 },
	{ "a planned change promotes a replica with the whole log",
	  { { .is_primary = true, REPORTED(3, 9) },
	    { .eligible = true, REPORTED(3, 9) },
	    { .eligible = true, REPORTED(3, 7) } },
	  0,
	  true,
	  false,
	  PW_CHANGE_PROMOTE,
	  1 },
	{ "a commit may be only on the replica that did not report",
	  { { .is_primary = true }, { .eligible = true, REPORTED(3, 7) }, { .eligible = true } },
	  1,
	  false,
	  true,
	  PW_CHANGE_WAIT,
	  0 },
	{ "both replicas have reported",
	  { { .is_primary = true },
	    { .eligible = true, REPORTED(3, 7) },
	    { .eligible = true, REPORTED(3, 8) } },
	  1,
	  false,
	  true,
	  PW_CHANGE_PROMOTE,
	  2 },
	{ "only a leaving replica has every commit",
	  { { .is_primary = true },
	    { .leaving = true, REPORTED(3, 9) },
	    { .eligible = true, REPORTED(3, 7) } },
	  1,
	  false,
	  true,
	  PW_CHANGE_PROMOTE,
	  1 },
	{ "a staying replica may still receive what a leaving one has",
	  { { .is_primary = true },
	    { .leaving = true, REPORTED(3, 9) },
	    { .eligible = true, REPORTED(3, 7) } },
	  1,
	  false,
	  false,
	  PW_CHANGE_WAIT,
	  0 },
	{ "a staying replica with every commit is preferred to a leaving one",
	  { { .is_primary = true },
	    { .leaving = true, REPORTED(3, 9) },
	    { .eligible = true, REPORTED(3, 9) } },
	  1,
	  false,
	  true,
	  PW_CHANGE_PROMOTE,
	  2 },
	{ "the replica with every commit cannot be promoted",
	  { { .is_primary = true }, { REPORTED(3, 9) }, { .eligible = true, REPORTED(3, 7) } },
	  1,
	  false,
	  true,
	  PW_CHANGE_WAIT,
	  0 },
	{ "a planned change leaves no commit behind",
	  { { .is_primary = true, REPORTED(3, 9) },
	    { .eligible = true, REPORTED(3, 8) },
	    { .eligible = true, REPORTED(3, 7) } },
	  1,
	  true,
	  true,
	  PW_CHANGE_WAIT,
	  0 },
	{ "the whole log of the primary makes up for a silent replica",
	  { { .is_primary = true, .acts_as_primary = true, REPORTED(3, 9) },
	    { .eligible = true, REPORTED(3, 9) },
	    { .eligible = true } },
	  1,
	  true,
	  true,
	  PW_CHANGE_PROMOTE,
	  1 },
	{ "a primary that was restarted may have lost its log",
	  { { .is_primary = true, REPORTED(3, 2) },
	    { .eligible = true, REPORTED(3, 8) },
	    { .eligible = true } },
	  1,
	  true,
	  true,
	  PW_CHANGE_WAIT,
	  0 },
	{ "a commit may be only on a replica that has departed",
	  { { .is_primary = true }, { .eligible = true, REPORTED(3, 7) }, { .departed = true } },
	  1,
	  false,
	  true,
	  PW_CHANGE_WAIT,
	  0 },
	{ "the whole log of the primary makes up for a replica that has departed",
	  { { .is_primary = true, .acts_as_primary = true, REPORTED(3, 8) },
	    { .eligible = true, REPORTED(3, 8) },
	    { .departed = true } },
	  1,
	  false,
	  true,
	  PW_CHANGE_PROMOTE,
	  1 },
	{ "a replica that has departed reports a longer log",
	  { { .is_primary = true },
	    { .eligible = true, REPORTED(3, 8) },
	    { .departed = true, REPORTED(3, 9) } },
	  1,
	  false,
	  true,
	  PW_CHANGE_WAIT,
	  0 },
	{ "a replica that has departed reports a shorter log",
	  { { .is_primary = true },
	    { .eligible = true, REPORTED(3, 9) },
	    { .departed = true, REPORTED(3, 8) } },
	  1,
	  false,
	  false,
	  PW_CHANGE_PROMOTE,
	  1 },
	{ "a server may be missing from an unknown replica set",
	  { { .is_primary = true },
	    { .eligible = true, REPORTED(3, 9) },
	    { .eligible = true, REPORTED(3, 9) } },
	  1,
	  false,
	  true,
	  PW_CHANGE_WAIT,
	  0,
	  0,
	  true },
	{ "the whole log of the primary makes up for an unknown replica set",
	  { { .is_primary = true, .acts_as_primary = true, REPORTED(3, 9) },
	    { .eligible = true, REPORTED(3, 9) },
	    { .eligible = true, REPORTED(3, 7) } },
	  1,
	  true,
	  false,
	  PW_CHANGE_PROMOTE,
	  1,
	  0,
	  true },
	{ "asynchronous replication needs no replica set",
	  { { .is_primary = true },
	    { .eligible = true, REPORTED(3, 9) },
	    { .eligible = true, REPORTED(3, 7) } },
	  0,
	  false,
	  false,
	  PW_CHANGE_PROMOTE,
	  1,
	  0,
	  true },
	{ "a server that is primary of a newer term is promoted again",
	  { { .is_primary = true, .acts_as_primary = true, REPORTED(3, 9) },
	    { .eligible = true, .acts_as_primary = true, REPORTED(4, 8) },
	    { .eligible = true, REPORTED(4, 8) } },
	  0,
	  false,
	  false,
	  PW_CHANGE_PROMOTE,
	  1 },
	{ "a primary of an older term is not preferred",
	  { { .is_primary = true },
	    { .eligible = true, .acts_as_primary = true, REPORTED(3, 9) },
	    { .eligible = true, REPORTED(4, 9) } },
	  0,
	  false,
	  true,
	  PW_CHANGE_PROMOTE,
	  2 },
	{ "the primary may stay after an abandoned change",
	  { { .is_primary = true, .eligible = true, .acts_as_primary = true, REPORTED(3, 9) },
	    { .eligible = true, REPORTED(3, 8) },
	    { .eligible = true, REPORTED(3, 8) } },
	  0,
	  false,
	  false,
	  PW_CHANGE_PROMOTE,
	  0 },
	{ "the former primary alone has reported after an abandoned change",
	  { { .is_primary = true, .eligible = true, .acts_as_primary = true, REPORTED(3, 9) },
	    { .eligible = true },
	    { .eligible = true, REPORTED(3, 8) } },
	  0,
	  false,
	  false,
	  PW_CHANGE_WAIT,
	  0 },
	{ "only a former primary without the newest commits has reported",
	  { { .is_primary = true },
	    { .eligible = true, .acts_as_primary = true, REPORTED(3, 9) },
	    { .eligible = true } },
	  0,
	  false,
	  true,
	  PW_CHANGE_WAIT,
	  0,
	  4 },
	{ "a replica has reported beside a former primary without the newest commits",
	  { { .is_primary = true },
	    { .eligible = true, .acts_as_primary = true, REPORTED(3, 9) },
	    { .eligible = true, REPORTED(4, 5) } },
	  0,
	  false,
	  true,
	  PW_CHANGE_PROMOTE,
	  2,
	  4 },
	{ "the server that may have been promoted does not report",
	  { { .is_primary = true, .eligible = true, .acts_as_primary = true, REPORTED(3, 9) },
	    { .eligible = true },
	    { .eligible = true, REPORTED(3, 8) } },
	  0,
	  false,
	  true,
	  PW_CHANGE_PROMOTE,
	  0 },
};

START_TEST(test_choose)
{
	const struct pw_change_conditions k = {
		.sync_replicas = choose_cases[_i].sync_replicas,
		.replica_set_known = !choose_cases[_i].set_unknown,
		.min_term = choose_cases[_i].min_term,
		.planned = choose_cases[_i].planned,
		.urgent = choose_cases[_i].urgent,
	};
	uint32_t server = UINT32_MAX;
	enum pw_change_choice choice =
		pw_change_choose(&server, choose_cases[_i].servers, SERVERS_MAX, &k);

	ck_assert_msg(choice == choose_cases[_i].choice, "%s: %d", choose_cases[_i].label, choice);
	if (choice != PW_CHANGE_WAIT)
		ck_assert_msg(server == choose_cases[_i].server, "%s: %u", choose_cases[_i].label,
			      server);
}
END_TEST

#define RANDOM_GROUPS 20000
#define REPLICAS_MAX  5
#define LOG_END_MAX   6

static bool flip(GRand *r)
{
	return g_rand_boolean(r);
}

static gint compare_descending(gconstpointer a, gconstpointer b)
{
	return *(const int32_t *)b - *(const int32_t *)a;
}

/*
 * Guards against a promotion that loses an acknowledged commit, whatever servers leave, cannot be
 * promoted or have not reported. With prefixes of one log, the commits that were acknowledged are
 * those that at least `sync` replicas have. The current primary has them all.
 */
START_TEST(test_no_acknowledged_commit_is_lost)
{
	GRand *r = g_rand_new_with_seed(29);
	uint32_t promotion_count = 0;

	for (uint32_t i = 0; i < RANDOM_GROUPS; i++) {
		struct pw_change_server servers[1 + REPLICAS_MAX] = { { .is_primary = true } };
		uint32_t replica_count = (uint32_t)g_rand_int_range(r, 1, REPLICAS_MAX + 1);
		uint32_t sync = (uint32_t)g_rand_int_range(r, 1, (gint32)replica_count + 1);
		struct pw_change_conditions k = {
			.sync_replicas = sync,
			.replica_set_known = true,
			.planned = flip(r),
			.urgent = flip(r),
		};
		int32_t ends[REPLICAS_MAX], acknowledged_end;
		uint32_t server = 0;

		for (uint32_t n = 0; n < replica_count; n++) {
			ends[n] = g_rand_int_range(r, 1, LOG_END_MAX);
			servers[1 + n].leaving = flip(r);
			servers[1 + n].eligible = !servers[1 + n].leaving && flip(r);
			servers[1 + n].reported = flip(r);
			servers[1 + n].departed = !servers[1 + n].eligible && flip(r);
			servers[1 + n].term = 3;
			servers[1 + n].log_end =
				(struct pw_position){ .term = 3, .lsn = (uint64_t)ends[n] };
		}
		servers[0].reported = flip(r);
		servers[0].acts_as_primary = flip(r);
		servers[0].eligible = flip(r);
		servers[0].term = 3;
		servers[0].log_end = (struct pw_position){ .term = 3, .lsn = LOG_END_MAX };
		qsort(ends, replica_count, sizeof(ends[0]), compare_descending);
		acknowledged_end = ends[sync - 1];
		if (pw_change_choose(&server, servers, 1 + replica_count, &k) == PW_CHANGE_WAIT)
			continue;
		promotion_count++;
		ck_assert(servers[server].reported);
		ck_assert_msg(servers[server].log_end.lsn >= (uint64_t)acknowledged_end,
			      "group %u: server %u has %" G_GUINT64_FORMAT
			      " of %d acknowledged commits",
			      i, server, servers[server].log_end.lsn, acknowledged_end);
	}
	ck_assert_uint_gt(promotion_count, RANDOM_GROUPS / 10);
	g_rand_free(r);
}
END_TEST

#define ACTING(t) .reported = true, .acts_as_primary = true, .term = (t)

/* Guards against taking the state of a server before the promotion for its result. */
static const struct {
	const char *label;
	struct pw_change_server before, after;
	uint64_t elapsed_us;
	bool promoted;
} promoted_cases[] = {
	{ "no report since the request", { REPORTED(3, 9) }, { .term = 3 }, 100 * MS, false },
	{ "still a replica", { REPORTED(3, 9) }, { REPORTED(3, 9) }, 5000 * MS, false },
	{ "a replica became primary", { REPORTED(3, 9) }, { ACTING(4) }, 100 * MS, true },
	{ "a primary that may have been replaced", { ACTING(3) }, { ACTING(3) }, 1400 * MS, false },
	{ "a former primary got a new term", { ACTING(3) }, { ACTING(5) }, 100 * MS, true },
	{ "the present primary keeps its term", { ACTING(3) }, { ACTING(3) }, 1500 * MS, true },
};

START_TEST(test_promoted)
{
	bool promoted = pw_change_is_promoted(&promoted_cases[_i].before, &promoted_cases[_i].after,
					      promoted_cases[_i].elapsed_us);

	ck_assert_msg(promoted == promoted_cases[_i].promoted, "%s", promoted_cases[_i].label);
}
END_TEST

/*
 * Guards against a promotion request sent after another VM may have taken over the change, and
 * against a permit that is still valid at its expiry.
 */
START_TEST(test_limits)
{
	ck_assert_uint_lt(PW_CHANGE_PROMOTE_DEADLINE_US, PW_CHANGE_TIMEOUT_US);
	ck_assert_uint_lt(PW_CHANGE_TIMEOUT_US + PW_PERMIT_RENEW_INTERVAL_US,
			  PW_CHANGE_TAKEOVER_AFTER_US);
	ck_assert(pw_permit_is_valid(100, 99));
	ck_assert(!pw_permit_is_valid(100, 100));
}
END_TEST

/* Time since an event of the cases below. */
#define AGO(ms) (NOW_US - (ms)*UINT64_C(1000))
#define NOW_US  UINT64_C(20000000)

static const struct {
	const char *label;
	struct pw_change_member member;
	bool is_over;
} permit_cases[] = {
	{ "confirmed", { .confirmed = true }, true },
	{ "nothing known", { .answers = true }, false },
	{ "settled just now", { .settled_us = AGO(0) }, false },
	{ "settled, delegated permits may hold", { .settled_us = AGO(1599) }, false },
	{ "settled, delegated permits are over", { .settled_us = AGO(1600) }, true },
	{ "lease revoked, its permit may hold", { .revoked_us = AGO(1599) }, false },
	{ "lease revoked, its permit is over", { .revoked_us = AGO(1600) }, true },
};

/* Guards against a promotion while some VM may still use the former primary. */
START_TEST(test_permit_is_over)
{
	ck_assert_msg(pw_change_permit_is_over(&permit_cases[_i].member, NOW_US) ==
			      permit_cases[_i].is_over,
		      "%s", permit_cases[_i].label);
}
END_TEST

static const struct {
	const char *label;
	struct pw_change_member member;
	struct pw_change_quiesce quiesce;
	uint32_t revoked_after_ms; /* UINT32_MAX: never */
} revoke_cases[] = {
	{ "confirmed", { .confirmed = true, .silent = true }, { 0 }, UINT32_MAX },
	{ "settled", { .settled_us = AGO(0) }, { .by_asking = true }, UINT32_MAX },
	{ "settled, then silent", { .settled_us = AGO(0), .silent = true }, { 0 }, UINT32_MAX },
	{ "silent", { .silent = true }, { 0 }, 0 },
	{ "silent, planned change", { .silent = true }, { .planned = true }, 0 },
	{ "small fleet", { .answers = true }, { 0 }, 300 },
	{ "large fleet, no answer", { 0 }, { .by_asking = true }, 600 },
	{ "large fleet, answers", { .answers = true }, { .by_asking = true }, 900 },
	{ "planned change", { .answers = true }, { .planned = true, .by_asking = true }, 1500 },
};

/* Guards against revoking the leases of members that will confirm a mark by themselves. */
START_TEST(test_revocation)
{
	const struct pw_change_member *m = &revoke_cases[_i].member;
	uint64_t due_us = revoke_cases[_i].revoked_after_ms * UINT64_C(1000);

	if (revoke_cases[_i].revoked_after_ms == UINT32_MAX) {
		ck_assert_msg(!pw_change_should_revoke(m, &revoke_cases[_i].quiesce, NOW_US), "%s",
			      revoke_cases[_i].label);
		return;
	}
	ck_assert_msg(pw_change_should_revoke(m, &revoke_cases[_i].quiesce, due_us) &&
			      (!due_us ||
			       !pw_change_should_revoke(m, &revoke_cases[_i].quiesce, due_us - 1)),
		      "%s", revoke_cases[_i].label);
}
END_TEST

static const struct {
	const char *label;
	uint64_t age_us;
	bool counts;
} vote_age_cases[] = {
	{ "just heard", 0, true },
	{ "heard within the limit", PW_CHANGE_VOTE_MAX_AGE_US - 1, true },
	{ "too old", PW_CHANGE_VOTE_MAX_AGE_US, false },
	{ "of a member that was heard of seconds ago and still counts as live", 9000000, false },
};

/* Guards against a change of primary that is started on votes about an outage that is over. */
START_TEST(test_old_votes_do_not_count)
{
	uint64_t now_us = 20000000;

	ck_assert_msg(pw_change_vote_counts(now_us - vote_age_cases[_i].age_us, now_us) ==
			      vote_age_cases[_i].counts,
		      "%s", vote_age_cases[_i].label);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("change");

	tcase_add_loop_test(tc, test_due, 0, PW_ARRAY_LEN(due_cases));
	tcase_add_loop_test(tc, test_check, 0, PW_ARRAY_LEN(check_cases));
	tcase_add_loop_test(tc, test_rank_weight, 0, PW_ARRAY_LEN(rank_cases));
	tcase_add_loop_test(tc, test_choose, 0, PW_ARRAY_LEN(choose_cases));
	tcase_add_test(tc, test_no_acknowledged_commit_is_lost);
	tcase_add_loop_test(tc, test_promoted, 0, PW_ARRAY_LEN(promoted_cases));
	tcase_add_test(tc, test_limits);
	tcase_add_loop_test(tc, test_permit_is_over, 0, PW_ARRAY_LEN(permit_cases));
	tcase_add_loop_test(tc, test_revocation, 0, PW_ARRAY_LEN(revoke_cases));
	tcase_add_loop_test(tc, test_old_votes_do_not_count, 0, PW_ARRAY_LEN(vote_age_cases));
	return pw_suite_run("change", tc);
}
