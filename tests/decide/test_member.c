/*
 * Tests of the member module (decide/member.h): a single module for the rules of lease and epochs,
 * and a simulated fleet in virtual time for table changes with faults at every step.
 */
#include "suite.h"

#include "fleet.h"
#include "pw/core/error.h"

/* One module without a fleet; the tests pass it every event. */
struct single_member {
	struct pw_member *m;
	struct pw_member_table table;
	GArray *actions;
};

static struct pw_member_entry make_entry(uint32_t i, uint64_t incarnation)
{
	struct pw_member_entry e = { .incarnation = incarnation, .since_epoch = 1 };

	g_snprintf(e.name, sizeof(e.name), "vm-%02u", i);
	g_snprintf(e.address, sizeof(e.address), "10.0.0.%u:7000", i + 1);
	return e;
}

static void single_member_init(struct single_member *s, uint32_t member_count)
{
	struct pw_member_options o = PW_MEMBER_OPTIONS_INIT;

	o.self = make_entry(0, 1);
	ck_assert_int_eq(pw_member_new(&s->m, &o), PW_OK);
	s->actions = fleet_member_actions_new();
	pw_member_table_init(&s->table);
	s->table.epoch = 1;
	s->table.mod_revision = 10;
	for (uint32_t i = 0; i < member_count; i++) {
		struct pw_member_entry e = make_entry(i, 1);

		g_array_append_val(s->table.members, e);
	}
	pw_member_table_received(s->m, &s->table, 1, s->actions);
}

static void single_member_dispose(struct single_member *s)
{
	pw_member_free(s->m);
	pw_member_table_dispose(&s->table);
	g_array_unref(s->actions);
}

static uint64_t last_sent_sequence(const struct single_member *s)
{
	uint64_t sequence = 0;

	for (uint32_t i = 0; i < s->actions->len; i++) {
		const struct pw_member_action *a =
			&g_array_index(s->actions, struct pw_member_action, i);

		if (a->kind == PW_MEMBER_SEND_HEARTBEAT)
			sequence = MAX(sequence, a->heartbeat->sequence);
	}
	return sequence;
}

/* Receives a heartbeat of vm-`from` that attests `epoch` and echoes this VM's `sequence`. */
static void receive_echo(struct single_member *s, uint32_t from, uint64_t incarnation,
			 uint64_t epoch, uint64_t sequence, uint64_t now_us)
{
	struct pw_heartbeat h;
	struct pw_heartbeat_echo e = { .name = "vm-00", .incarnation = 1, .sequence = sequence };

	pw_heartbeat_init(&h);
	h.sender = make_entry(from, incarnation);
	h.sequence = now_us;
	h.attested_epoch = epoch;
	g_array_append_val(h.echoes, e);
	pw_member_heartbeat_received(s->m, &h, now_us, s->actions);
	pw_heartbeat_dispose(&h);
}

/*
 * The module sends heartbeats at 100001 us. At 150 ms it receives echoes from `echo_count` members
 * that attest `epoch` as incarnation `incarnation`, and with `store_was_read` the answer to a store
 * read sent at 100 ms.
 */
static const struct {
	const char *label;
	uint32_t member_count, echo_count;
	uint64_t epoch, incarnation;
	bool store_was_read;
	uint64_t at_us; /* time of the check */
	bool held;      /* expected */
} lease_cases[] = {
	{ "alone", 1, 0, 1, 1, false, 200000, true },
	{ "3 members, none echoed", 3, 0, 1, 1, false, 200000, false },
	{ "3 members, one echoed", 3, 1, 1, 1, false, 200000, true },
	{ "just before 2 s after sending", 3, 1, 1, 1, false, 2100000, true },
	{ "2 s after sending", 3, 1, 1, 1, false, 2100001, false },
	{ "other epoch attested", 3, 2, 2, 1, false, 200000, false },
	{ "other incarnation", 3, 2, 1, 2, false, 200000, false },
	{ "2 members, none echoed", 2, 0, 1, 1, false, 200000, false },
	{ "2 members, store", 2, 0, 1, 1, true, 200000, true },
	{ "2 members, one echoed", 2, 1, 1, 1, false, 200000, true },
	{ "4 members, one echoed", 4, 1, 1, 1, false, 200000, false },
	{ "4 members, one echoed, store", 4, 1, 1, 1, true, 200000, true },
	{ "5 members, one echoed, store", 5, 1, 1, 1, true, 200000, false },
	{ "5 members, two echoed", 5, 2, 1, 1, false, 200000, true },
};

/*
 * Guards against a lease that is held without a majority, by votes for another epoch or of another
 * incarnation, or 2 s after the echoed heartbeat was sent (rules (a) and (d) of the lease).
 */
START_TEST(test_lease)
{
	struct single_member s;

	single_member_init(&s, lease_cases[_i].member_count);
	g_array_set_size(s.actions, 0);
	pw_member_tick(s.m, 100001, s.actions);
	for (uint32_t i = 1; i <= lease_cases[_i].echo_count; i++)
		receive_echo(&s, i, lease_cases[_i].incarnation, lease_cases[_i].epoch,
			     last_sent_sequence(&s), 150000);
	if (lease_cases[_i].store_was_read)
		pw_member_store_read_done(s.m, &s.table, 100000, 150000, s.actions);
	ck_assert_msg(pw_member_holds_lease(s.m, lease_cases[_i].at_us, NULL) ==
			      lease_cases[_i].held,
		      "case: %s", lease_cases[_i].label);
	single_member_dispose(&s);
}
END_TEST

/* The table of epoch 2 is received at 1 s, and at 1.1 s a heartbeat of vm-01, if any. */
static const struct {
	const char *label;
	uint32_t member_count;
	uint64_t attested_epoch, incarnation; /* of vm-01's heartbeat; 0 and 1: none is received */
	bool absent;    /* vm-02 was on the VM list and is absent from 1.1 s on */
	uint64_t at_us; /* time of the check */
	uint64_t epoch; /* expected in effect */
} epoch_cases[] = {
	{ "no majority", 3, 0, 1, false, 60 * FLEET_S, 1 },
	{ "before the wait has ended", 3, 2, 1, false, 3099999, 1 },
	{ "after the wait", 3, 2, 1, false, 3100000, 2 },
	{ "only the old epoch attested", 3, 1, 1, false, 60 * FLEET_S, 1 },
	{ "replaced by a newer incarnation", 3, 0, 9, false, 3100000, 2 },
	{ "absent for 30 s, before the wait has ended", 3, 0, 1, true, 33 * FLEET_S, 1 },
	{ "absent for 30 s, after the wait", 3, 0, 1, true, 34 * FLEET_S, 2 },
};

/*
 * Guards against an epoch that takes effect while a member may still hold the lease for the epoch
 * before, and against one that never does although a majority has left the old one (rule (c)).
 */
START_TEST(test_epoch_takes_effect)
{
	struct pw_member_vm vms[3] = { { "vm-00", 0 }, { "vm-01", 0 }, { "vm-02", 0 } };
	struct pw_member_table next;
	struct single_member s;

	single_member_init(&s, epoch_cases[_i].member_count);
	pw_member_vm_list_received(s.m, vms, 3, FLEET_S - 2, s.actions);
	pw_member_table_init(&next);
	pw_member_table_copy(&next, &s.table);
	next.epoch = 2;
	g_array_append_vals(next.previous_members, s.table.members->data, s.table.members->len);
	pw_member_table_received(s.m, &next, FLEET_S, s.actions);
	ck_assert_uint_eq(pw_member_newest_table(s.m)->epoch, 2);
	if (epoch_cases[_i].attested_epoch || epoch_cases[_i].incarnation > 1)
		receive_echo(&s, 1, epoch_cases[_i].incarnation, epoch_cases[_i].attested_epoch, 0,
			     1100000);
	if (epoch_cases[_i].absent)
		pw_member_vm_list_received(s.m, vms, 2, 1100000, s.actions);
	for (uint64_t t = 1200000; t <= epoch_cases[_i].at_us; t += 10000)
		pw_member_tick(s.m, t, s.actions);
	pw_member_tick(s.m, epoch_cases[_i].at_us, s.actions);
	ck_assert_msg(pw_member_effective_epoch(s.m) == epoch_cases[_i].epoch, "%s: epoch %lu",
		      epoch_cases[_i].label, (unsigned long)pw_member_effective_epoch(s.m));
	pw_member_table_dispose(&next);
	single_member_dispose(&s);
}
END_TEST

/*
 * The table of epoch 2 is received at 1 s. vm-01 attests it at 1.1 s; at 1.2 s this VM is told that
 * nothing uses its lease for epoch 1 any more, if it was asked to release it. Connections to vm-02,
 * heard last at 0.9 s, are refused at 1.2 s and, with `refused_again_us`, at that time.
 */
static const struct {
	const char *label;
	uint64_t refused_again_us;
	uint64_t heard_again_us;       /* heartbeat of vm-02; 0: none */
	uint64_t peer_released_epoch;  /* in vm-01's heartbeat of 1.4 s */
	uint64_t peer_effective_epoch; /* in the same heartbeat */
	bool released;                 /* expected: this VM is asked to release its lease */
	uint64_t epoch;                /* expected in effect at 1.5 s */
} early_cases[] = {
	{ "vm-02 has ended", 1300000, 0, 1, 0, true, 2 },
	{ "refused once", 0, 0, 1, 0, false, 1 },
	{ "refused twice at the same time", 1200000, 0, 1, 0, false, 1 },
	{ "heard again between the refusals", 1300000, 1250000, 1, 0, false, 1 },
	{ "vm-01 still holds its lease", 1300000, 0, 0, 0, true, 1 },
	{ "in effect at vm-01", 0, 0, 0, 2, false, 2 },
};

/*
 * Guards against an epoch that waits for leases which nobody can hold, and against one that takes
 * effect while the process of a silent member may still run or a member has not released its lease.
 */
START_TEST(test_wait_is_cut_short)
{
	const struct pw_member_entry lost = make_entry(2, 1);
	struct pw_heartbeat h;
	struct pw_member_table next;
	struct single_member s;
	bool released = false;

	single_member_init(&s, 3);
	receive_echo(&s, 2, 1, 1, 0, 900000);
	pw_member_table_init(&next);
	pw_member_table_copy(&next, &s.table);
	next.epoch = 2;
	g_array_set_size(next.members, 2);
	g_array_append_vals(next.previous_members, s.table.members->data, s.table.members->len);
	pw_member_table_received(s.m, &next, FLEET_S, s.actions);
	receive_echo(&s, 1, 1, 2, 0, 1100000);
	pw_member_connection_refused(s.m, &lost, 1200000, s.actions);
	if (early_cases[_i].heard_again_us)
		receive_echo(&s, 2, 1, 1, 0, early_cases[_i].heard_again_us);
	if (early_cases[_i].refused_again_us)
		pw_member_connection_refused(s.m, &lost, early_cases[_i].refused_again_us,
					     s.actions);
	for (uint32_t i = 0; i < s.actions->len; i++)
		released |= g_array_index(s.actions, struct pw_member_action, i).kind ==
			    PW_MEMBER_RELEASE_LEASE;
	ck_assert_msg(released == early_cases[_i].released, "%s: released %d",
		      early_cases[_i].label, released);
	if (released)
		pw_member_lease_released(s.m, 1, 1350000, s.actions);
	ck_assert_msg(!released || !pw_member_holds_lease(s.m, 1350000, NULL), "%s: lease held",
		      early_cases[_i].label);
	pw_heartbeat_init(&h);
	h.sender = make_entry(1, 1);
	h.sequence = 1400000;
	h.attested_epoch = 2;
	h.released_epoch = early_cases[_i].peer_released_epoch;
	h.effective_epoch = early_cases[_i].peer_effective_epoch;
	pw_member_heartbeat_received(s.m, &h, 1400000, s.actions);
	pw_member_tick(s.m, 1500000, s.actions);
	ck_assert_msg(pw_member_effective_epoch(s.m) == early_cases[_i].epoch, "%s: epoch %lu",
		      early_cases[_i].label, (unsigned long)pw_member_effective_epoch(s.m));
	pw_heartbeat_dispose(&h);
	pw_member_table_dispose(&next);
	single_member_dispose(&s);
}
END_TEST

/*
 * A VM starts while the table lists three members that it has never heard. `listed_count` is the
 * number of those members that are still on the VM list.
 */
static const struct {
	const char *label;
	bool lists_self; /* the VM list contains the starting VM */
	uint32_t listed_count;
	uint64_t at_us; /* time of the check */
	uint64_t epoch; /* expected in effect at that time */
} replacement_cases[] = {
	{ "before the absence limit", true, 0, 59 * FLEET_S, 0 },
	{ "all ended", true, 0, 70 * FLEET_S, 6 },
	{ "a majority ended", true, 1, 70 * FLEET_S, 6 },
	{ "a majority is listed", true, 2, 70 * FLEET_S, 0 },
	{ "all ended, this VM not listed", false, 0, 70 * FLEET_S, 0 },
};

/*
 * Guards against a fleet that can never change its table again after all its VMs were replaced at
 * once: no member is left to acknowledge a new table, so the new VMs must go by the VM list.
 */
START_TEST(test_whole_fleet_replaced)
{
	struct pw_member_vm vms[4] = { 0 };
	struct pw_member_options o = PW_MEMBER_OPTIONS_INIT;
	struct pw_member_table stored;
	struct pw_member *m;
	uint32_t count = 0;

	o.self = make_entry(7, 1);
	ck_assert_int_eq(pw_member_new(&m, &o), PW_OK);
	pw_member_table_init(&stored);
	stored.epoch = 5;
	stored.mod_revision = 10;
	for (uint32_t i = 0; i < 3; i++) {
		struct pw_member_entry e = make_entry(i, 1);

		g_array_append_val(stored.members, e);
		g_array_append_val(stored.previous_members, e);
	}
	if (replacement_cases[_i].lists_self)
		g_strlcpy(vms[count++].name, o.self.name, PW_MEMBER_NAME_SIZE);
	for (uint32_t i = 0; i < replacement_cases[_i].listed_count; i++)
		g_strlcpy(vms[count++].name, make_entry(i, 1).name, PW_MEMBER_NAME_SIZE);
	for (uint64_t t = 0; t <= replacement_cases[_i].at_us; t += 20000) {
		GArray *actions = fleet_member_actions_new();

		if (t % FLEET_S == 0)
			pw_member_vm_list_received(m, vms, count, t, actions);
		pw_member_tick(m, t, actions);
		for (uint32_t i = 0; i < actions->len; i++) {
			const struct pw_member_action *a =
				&g_array_index(actions, struct pw_member_action, i);
			GArray *more = fleet_member_actions_new();

			if (a->kind == PW_MEMBER_PROPOSE) {
				pw_member_table_copy(&stored, a->table);
				stored.mod_revision++;
				pw_member_swap_result(m, PW_MEMBER_SWAP_DONE, &stored, t, more);
			} else if (a->kind == PW_MEMBER_READ_TABLE_FROM_STORE) {
				pw_member_store_read_done(m, &stored, t, t, more);
			}
			g_array_unref(more);
		}
		g_array_unref(actions);
	}
	ck_assert_msg(pw_member_effective_epoch(m) == replacement_cases[_i].epoch,
		      "case: %s: epoch %lu", replacement_cases[_i].label,
		      (unsigned long)pw_member_effective_epoch(m));
	ck_assert(pw_member_holds_lease(m, replacement_cases[_i].at_us, NULL) ==
		  (replacement_cases[_i].epoch != 0));
	pw_member_table_dispose(&stored);
	pw_member_free(m);
}
END_TEST

static const struct {
	uint32_t member_count, neighbour_count;
} neighbour_cases[] = { { 1, 0 }, { 2, 1 }, { 16, 15 }, { 17, 5 }, { 64, 6 }, { 100, 7 } };

/*
 * Guards against forwarding that takes more hops or messages than designed: all members up to 16,
 * above that those at distances 1, 2, 4, ... in the cyclic order of names.
 */
START_TEST(test_neighbours)
{
	GPtrArray *out = g_ptr_array_new();
	struct single_member s;

	single_member_init(&s, neighbour_cases[_i].member_count);
	pw_member_append_neighbours(s.m, out);
	ck_assert_uint_eq(out->len, neighbour_cases[_i].neighbour_count);
	g_ptr_array_unref(out);
	single_member_dispose(&s);
}
END_TEST

/* Guards against two members with the same rank, and against one that is first for most keys. */
START_TEST(test_rank)
{
	uint32_t first_counts[5] = { 0 };
	struct single_member s;

	single_member_init(&s, 5);
	for (uint32_t k = 0; k < 200; k++) {
		char key[16];
		uint32_t seen_ranks = 0;

		g_snprintf(key, sizeof(key), "key-%u", k);
		for (uint32_t i = 0; i < 5; i++) {
			uint32_t r = pw_member_rendezvous_rank(s.table.members,
							       make_entry(i, 1).name, key);

			seen_ranks |= 1u << r;
			first_counts[i] += r == 0;
		}
		ck_assert_uint_eq(seen_ranks, 31);
	}
	for (uint32_t i = 0; i < 5; i++)
		ck_assert_uint_ge(first_counts[i], 15);
	single_member_dispose(&s);
}
END_TEST

/* Step of a table change at which the faults start. */
enum change_step {
	AT_PROPOSED,
	AT_SWAPPED,
	AT_PUSHED,
	AT_ADOPTED,
	AT_MAJORITY_ADOPTED,
	AT_HALF_WAIT, /* 1 s after AT_MAJORITY_ADOPTED: half of the wait is over */
	AT_EFFECTIVE,
	CHANGE_STEP_COUNT,
};

static const enum fleet_fault second_faults[] = {
	FLEET_FAULT_NONE,
	FLEET_FAULT_STORE_DOWN,
	FLEET_FAULT_LONG_PAUSE,
	FLEET_FAULT_REGION_PARTITIONED,
};

struct change_fault_run {
	enum fleet_fault first_fault, second_fault;
	enum change_step step;
	uint64_t start_us, injected_us;
	uint64_t majority_us; /* when a majority had adopted the new table; 0: not yet */
	bool started, faults_ended;
};

/* Whether the table change has reached the step of this run. */
static bool step_reached(const struct fleet *f, struct change_fault_run *c)
{
	uint32_t adopted_count = 0;

	switch (c->step) {
	case AT_PROPOSED:
		return f->steps.tables_proposed > 0;
	case AT_SWAPPED:
		return f->steps.tables_swapped > 0;
	case AT_PUSHED:
		return f->steps.tables_pushed > 0;
	case AT_EFFECTIVE:
		return f->steps.max_effective_epoch > 1;
	default:
		break;
	}
	for (uint32_t i = 0; i < f->options.node_count; i++)
		adopted_count +=
			f->nodes[i].alive && pw_member_newest_table(f->nodes[i].member)->epoch > 1;
	if (c->step == AT_ADOPTED)
		return adopted_count > 0;
	if (adopted_count > f->options.node_count / 2 && !c->majority_us)
		c->majority_us = f->now_us;
	return c->majority_us &&
	       (c->step == AT_MAJORITY_ADOPTED || f->now_us >= c->majority_us + FLEET_S);
}

/* Restarts node 2 to change the table, starts the faults at the step and ends them 4 s later. */
static void inject_at_change_step(struct fleet *f, void *data)
{
	struct change_fault_run *c = data;

	if (f->now_us < c->start_us)
		return;
	if (!c->started) {
		c->started = true;
		fleet_start_node(f, 2);
		return;
	}
	if (!c->injected_us && step_reached(f, c)) {
		c->injected_us = f->now_us;
		fleet_inject_fault(f, c->first_fault, 0);
		fleet_inject_fault(f, c->second_fault, 1);
	}
	if (c->injected_us && !c->faults_ended && f->now_us >= c->injected_us + 4 * FLEET_S) {
		c->faults_ended = true;
		fleet_end_faults(f);
	}
}

static void run_change_with_faults(struct fleet *f, struct change_fault_run *c,
				   const struct fleet_options *o)
{
	fleet_init(f, o);
	fleet_start(f, FLEET_S);
	c->start_us = f->now_us;
	fleet_run(f, f->now_us + 14 * FLEET_S, inject_at_change_step, c);
}

/*
 * Guards against two epochs in use at once when one or two faults start at any step of a table
 * change, and against a fleet in which no majority holds the lease after the faults have ended.
 */
START_TEST(test_faults_at_each_step_of_a_change)
{
	for (uint32_t second = 0; second < PW_ARRAY_LEN(second_faults); second++) {
		for (uint32_t step = 0; step < CHANGE_STEP_COUNT; step++) {
			struct change_fault_run c = {
				.first_fault = (enum fleet_fault)_i,
				.second_fault = second_faults[second],
				.step = (enum change_step)step,
			};
			struct fleet_options o = {
				.seed = 3000 + (uint32_t)_i * 32 + second * 8 + step,
				.node_count = step % 2 ? 5 : 4, /* the store votes with 4 */
				.jitter_us = 3000,
				.loss_permille = 10,
				.duplicate_permille = 20,
			};
			struct fleet f;

			run_change_with_faults(&f, &c, &o);
			ck_assert_msg(!f.violation[0], "%s with %s at step %u: %s",
				      fleet_fault_names[c.first_fault],
				      fleet_fault_names[c.second_fault], step, f.violation);
			ck_assert_msg(c.injected_us, "%s: step %u was not reached",
				      fleet_fault_names[c.first_fault], step);
			ck_assert_msg(fleet_count_leases(&f) > o.node_count / 2,
				      "%s with %s at step %u: %u leases, seed %u",
				      fleet_fault_names[c.first_fault],
				      fleet_fault_names[c.second_fault], step,
				      fleet_count_leases(&f), o.seed);
			fleet_dispose(&f);
		}
	}
}
END_TEST

static const struct {
	const char *label;
	uint32_t unsafe;
	enum fleet_fault first_fault;
	enum change_step step;
	bool expects_violation;
} unsafe_cases[] = {
	{ "all mechanisms on", 0, FLEET_FAULT_REGION_PARTITIONED, AT_ADOPTED, false },
	{ "no lease check", PW_MEMBER_UNSAFE_NO_LEASE_CHECK, FLEET_FAULT_LONG_PAUSE, AT_ADOPTED,
	  true },
	{ "no wait before an epoch", PW_MEMBER_UNSAFE_NO_EPOCH_WAIT, FLEET_FAULT_REGION_PARTITIONED,
	  AT_PROPOSED, true },
};

/* Guards against checks that detect nothing: with a mechanism off they must find a violation. */
START_TEST(test_disabled_mechanism_is_detected)
{
	char first_violation[256] = "";
	uint32_t violations = 0, runs = 8;

	for (uint32_t i = 0; i < runs; i++) {
		struct change_fault_run c = {
			.first_fault = unsafe_cases[_i].first_fault,
			.step = unsafe_cases[_i].step,
		};
		struct fleet_options o = {
			.seed = 7000 + i,
			.node_count = 5,
			.jitter_us = 3000,
			.member_unsafe = unsafe_cases[_i].unsafe,
		};
		struct fleet f;

		run_change_with_faults(&f, &c, &o);
		if (f.violation[0]) {
			violations++;
			if (!first_violation[0])
				g_strlcpy(first_violation, f.violation, sizeof(first_violation));
		}
		fleet_dispose(&f);
	}
	printf("%-24s violation in %u of %u runs: %s\n", unsafe_cases[_i].label, violations, runs,
	       first_violation);
	ck_assert_msg(unsafe_cases[_i].expects_violation ? violations > 0 : !violations,
		      "%s: violation in %u runs: %s", unsafe_cases[_i].label, violations,
		      first_violation);
}
END_TEST

enum scenario {
	EMPTY_STORE,
	ALL_RESTART,
	ONE_CRASHES,
	ONE_LEAVES,
	REGION_CUT,
	STORE_DOWN,
	ONE_OF_TWO_CRASHES,
};

static const struct {
	const char *label;
	enum scenario scenario;
	uint32_t node_count;
	uint64_t run_us;                    /* simulated time before the check */
	uint32_t member_count, lease_count; /* expected at the end */
} scenario_cases[] = {
	{ "first start, empty store", EMPTY_STORE, 5, 12 * FLEET_S, 5, 5 },
	{ "rolling restart", ALL_RESTART, 4, 16 * FLEET_S, 4, 4 },
	{ "one VM crashes", ONE_CRASHES, 5, 8 * FLEET_S, 4, 4 },
	{ "one VM leaves", ONE_LEAVES, 5, 4 * FLEET_S, 4, 4 },
	{ "minority region cut off", REGION_CUT, 5, 8 * FLEET_S, 4, 4 },
	{ "store down", STORE_DOWN, 5, 8 * FLEET_S, 5, 5 },
	{ "one of two crashes", ONE_OF_TWO_CRASHES, 2, 45 * FLEET_S, 1, 1 },
};

/* Guards against wrong members or leases after VMs start, restart, crash, leave or are cut off. */
START_TEST(test_membership_scenarios)
{
	struct fleet_options o = { .seed = 21,
				   .node_count = scenario_cases[_i].node_count,
				   .jitter_us = 1000 };
	struct fleet f;

	fleet_init(&f, &o);
	if (scenario_cases[_i].scenario == EMPTY_STORE) {
		for (uint32_t i = 0; i < o.node_count; i++)
			fleet_start_node(&f, i);
	} else {
		fleet_start(&f, FLEET_S);
	}
	switch (scenario_cases[_i].scenario) {
	case ALL_RESTART:
		for (uint32_t i = 0; i < o.node_count; i++) {
			fleet_start_node(&f, i);
			fleet_run(&f, f.now_us + 3 * FLEET_S, NULL, NULL);
		}
		break;
	case ONE_CRASHES:
	case ONE_OF_TWO_CRASHES:
		fleet_run(&f, f.now_us + FLEET_S, NULL, NULL);
		fleet_crash_node(&f, 1);
		break;
	case ONE_LEAVES:
		fleet_start_planned_stop(&f, 1);
		break;
	case REGION_CUT:
		f.region_partitioned = true;
		break;
	case STORE_DOWN:
		f.store_down = true;
		break;
	case EMPTY_STORE:
		break;
	}
	fleet_run(&f, f.now_us + scenario_cases[_i].run_us, NULL, NULL);
	ck_assert_msg(!f.violation[0], "%s: %s", scenario_cases[_i].label, f.violation);
	ck_assert_msg(f.store.members->len == scenario_cases[_i].member_count, "%s: %u members",
		      scenario_cases[_i].label, f.store.members->len);
	ck_assert_msg(fleet_count_leases(&f) == scenario_cases[_i].lease_count, "%s: %u leases",
		      scenario_cases[_i].label, fleet_count_leases(&f));
	fleet_dispose(&f);
}
END_TEST

static const struct {
	const char *label;
	enum fleet_fault fault;
	uint64_t min_us, max_us; /* until the other VMs hold the lease of a later epoch */
	uint64_t max_pause_us;   /* of one of them without the lease */
} change_time_cases[] = {
	{ "process ends", FLEET_FAULT_CRASH, 0, 700 * FLEET_MS, PW_QUOTA_RATE_WAIT_MAX_US },
	{ "process starts again at once", FLEET_FAULT_RESTART, 0, 700 * FLEET_MS,
	  PW_QUOTA_RATE_WAIT_MAX_US },
	{ "planned stop", FLEET_FAULT_LEAVE, 0, 700 * FLEET_MS, PW_QUOTA_RATE_WAIT_MAX_US },
	{ "cut off", FLEET_FAULT_ISOLATED, PW_MEMBER_LOST_AFTER_US, 8 * FLEET_S, FLEET_S },
	{ "frozen", FLEET_FAULT_LONG_PAUSE, PW_MEMBER_LOST_AFTER_US, 8 * FLEET_S, FLEET_S },
};

/* Whether all nodes but the first hold the lease for an epoch after the first one. */
static bool others_hold_later_lease(const struct fleet *f)
{
	for (uint32_t i = 1; i < f->options.node_count; i++) {
		struct pw_member *m = f->nodes[i].member;

		if (pw_member_effective_epoch(m) < 2 || !pw_member_holds_lease(m, f->now_us, NULL))
			return false;
	}
	return true;
}

/* Adds to the time for which each node but the first has been without the lease. */
static void update_longest_pause(const struct fleet *f, uint64_t *pauses_us, uint64_t *longest_us)
{
	for (uint32_t i = 1; i < f->options.node_count; i++) {
		bool held = pw_member_holds_lease(f->nodes[i].member, f->now_us, NULL);

		pauses_us[i] = held ? 0 : pauses_us[i] + FLEET_MS;
		*longest_us = MAX(*longest_us, pauses_us[i]);
	}
}

/*
 * Guards against a fleet that waits for the share of a VM whose process has ended as if it might
 * still use it, against taking the share of one that may only be silent, and against a pause of the
 * other VMs that is longer than a request waits.
 */
START_TEST(test_time_without_lost_share)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		struct fleet_options o = { .seed = seed,
					   .node_count = 3 + seed % 5,
					   .jitter_us = 3000 };
		uint64_t start_us, pauses_us[FLEET_NODES_MAX] = { 0 }, longest_us = 0;
		struct fleet f;

		fleet_init(&f, &o);
		fleet_start(&f, FLEET_S);
		start_us = f.now_us;
		fleet_inject_fault(&f, change_time_cases[_i].fault, 0);
		while (!others_hold_later_lease(&f) && f.now_us < start_us + 10 * FLEET_S) {
			fleet_run(&f, f.now_us + FLEET_MS, NULL, NULL);
			update_longest_pause(&f, pauses_us, &longest_us);
		}
		ck_assert_msg(longest_us <= change_time_cases[_i].max_pause_us,
			      "%s: %lu us without the lease, seed %u", change_time_cases[_i].label,
			      (unsigned long)longest_us, seed);
		ck_assert_msg(!f.violation[0], "%s: %s", change_time_cases[_i].label, f.violation);
		ck_assert_msg(f.now_us - start_us >= change_time_cases[_i].min_us &&
				      f.now_us - start_us <= change_time_cases[_i].max_us,
			      "%s: %lu us, seed %u", change_time_cases[_i].label,
			      (unsigned long)(f.now_us - start_us), seed);
		fleet_dispose(&f);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("member");

	tcase_add_loop_test(tc, test_lease, 0, PW_ARRAY_LEN(lease_cases));
	tcase_add_loop_test(tc, test_epoch_takes_effect, 0, PW_ARRAY_LEN(epoch_cases));
	tcase_add_loop_test(tc, test_wait_is_cut_short, 0, PW_ARRAY_LEN(early_cases));
	tcase_add_loop_test(tc, test_time_without_lost_share, 0, PW_ARRAY_LEN(change_time_cases));
	tcase_add_loop_test(tc, test_whole_fleet_replaced, 0, PW_ARRAY_LEN(replacement_cases));
	tcase_add_loop_test(tc, test_neighbours, 0, PW_ARRAY_LEN(neighbour_cases));
	tcase_add_test(tc, test_rank);
	tcase_add_loop_test(tc, test_membership_scenarios, 0, PW_ARRAY_LEN(scenario_cases));
	tcase_add_loop_test(tc, test_disabled_mechanism_is_detected, 0, PW_ARRAY_LEN(unsafe_cases));
	tcase_add_loop_test(tc, test_faults_at_each_step_of_a_change, 0, FLEET_FAULT_COUNT);
	return pw_suite_run("member", tc);
}
