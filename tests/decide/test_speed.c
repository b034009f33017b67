/*
 * Tests of the learned speed of servers: what callers get from a small model, in virtual time, of
 * VMs that spread reads over servers with slots, with the learned speed and with the former choice
 * by one moving average of all answer times.
 */
#include "suite.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "pw/decide/congestion.h"
#include "pw/decide/place.h"
#include "pw/decide/speed.h"

#define MS           UINT64_C(1000)
#define S            (1000 * MS)
#define SERVERS      3
#define VMS_MAX      64
#define LOAD_S       20
#define DEADLINE_US  (2 * S)
#define ATTEMPTS_MAX 6
/* A caller whose request has failed waits for this time before it asks again. */
#define RETRY_US  (100 * MS)
#define QUEUE_MAX 64
/* A failed answer takes no slot. */
#define FAILURE_US (2 * MS)

/* A server of the model. */
struct model_server {
	uint32_t slots;
	uint32_t percent;     /* of the usual time that its work takes */
	uint32_t well_slots;  /* above this number of requests each further one adds the usual time;
				 0: it does not slow down */
	uint32_t slow_from_s; /* from then on, until `slow_until_s`, work takes longer */
	uint32_t slow_until_s;
	uint32_t slow_factor;
	uint32_t failure_permille;
};

struct load {
	const char *label;
	struct model_server servers[SERVERS];
	uint32_t vms;
	double per_s;
	uint32_t work_ms[2];    /* of the two kinds of requests */
	double second_share;    /* of the second kind */
	uint32_t quiet_until_s; /* requests arrive at a tenth of the rate until then */
	uint32_t burst_from_s;
	uint32_t burst_until_s;
	double burst_factor;
	/* What callers should get. */
	uint32_t aim_ms;
	double within_aim_min;
	double failed_max;
	double mean_ms_max;
	double share_max[SERVERS]; /* 0: any */
	bool is_known_red;
};

#define EVEN(server_slots)                              \
	{                                               \
		.slots = (server_slots), .percent = 100 \
	}

/* Loads whose checks fail for an open fault count only with the argument --known-red. */
static bool fail_on_known_red;

static const struct load loads[] = {
	{ .label = "servers of speeds 1, 2 and 4",
	  .servers = { { .slots = 4, .percent = 400 },
		       { .slots = 4, .percent = 200 },
		       { .slots = 4, .percent = 100 } },
	  .vms = 64,
	  .per_s = 900,
	  .work_ms = { 5, 5 },
	  .aim_ms = 60,
	  .within_aim_min = 0.95,
	  .mean_ms_max = 20,
	  .share_max = { 0.2, 0.4, 0 } },
	{ .label = "slow from half of the slots on",
	  .servers = { { .slots = 16, .percent = 50, .well_slots = 8 }, EVEN(8), EVEN(8) },
	  .vms = 2,
	  .per_s = 1000,
	  .work_ms = { 20, 20 },
	  .aim_ms = 100,
	  .within_aim_min = 0.95,
	  .mean_ms_max = 50 },
	{ .label = "8 times slower for 6 s",
	  .servers = { { .slots = 4,
			 .percent = 100,
			 .slow_from_s = 6,
			 .slow_until_s = 12,
			 .slow_factor = 8 },
		       EVEN(4),
		       EVEN(4) },
	  .vms = 64,
	  .per_s = 300,
	  .work_ms = { 15, 15 },
	  .aim_ms = 100,
	  .within_aim_min = 0.95,
	  .mean_ms_max = 40 },
	{ .label = "fails 40% of its answers quickly",
	  .servers = { { .slots = 4, .percent = 100, .failure_permille = 400 }, EVEN(4), EVEN(4) },
	  .vms = 64,
	  .per_s = 300,
	  .work_ms = { 15, 15 },
	  .aim_ms = 100,
	  .within_aim_min = 0.95,
	  .failed_max = 0.01,
	  .mean_ms_max = 40,
	  .share_max = { 0.2, 0, 0 } },
	{ .label = "two kinds of work, one server twice as slow",
	  .servers = { { .slots = 4, .percent = 200 }, EVEN(4), EVEN(4) },
	  .vms = 64,
	  .per_s = 650,
	  .work_ms = { 3, 26 },
	  .second_share = 0.4,
	  .aim_ms = 100,
	  .within_aim_min = 0.95,
	  .mean_ms_max = 40,
	  .share_max = { 0.25, 0, 0 } },
	{ .label = "was slow while quiet, is well when asked again",
	  .servers = { { .slots = 8,
			 .percent = 100,
			 .slow_from_s = 1,
			 .slow_until_s = 4,
			 .slow_factor = 20 },
		       EVEN(3),
		       EVEN(3) },
	  .vms = 64,
	  .per_s = 650,
	  .work_ms = { 15, 15 },
	  .quiet_until_s = 8,
	  .aim_ms = 100,
	  .within_aim_min = 0.95,
	  .mean_ms_max = 40 },
	{ .label = "8 times slower beside a burst",
	  .servers = { { .slots = 4,
			 .percent = 100,
			 .slow_from_s = 6,
			 .slow_until_s = 12,
			 .slow_factor = 8 },
		       EVEN(4),
		       EVEN(4) },
	  .vms = 64,
	  .per_s = 250,
	  .work_ms = { 15, 15 },
	  .burst_from_s = 7,
	  .burst_until_s = 11,
	  .burst_factor = 1.7,
	  .aim_ms = 100,
	  .within_aim_min = 0.95,
	  .mean_ms_max = 40 },
	{ .label = "was 8 times slower before a burst that needs it",
	  .servers = { { .slots = 8,
			 .percent = 100,
			 .slow_from_s = 4,
			 .slow_until_s = 8,
			 .slow_factor = 8 },
		       EVEN(4),
		       EVEN(4) },
	  .vms = 64,
	  .per_s = 250,
	  .work_ms = { 15, 15 },
	  .burst_from_s = 9,
	  .burst_until_s = 16,
	  .burst_factor = 3.2,
	  .aim_ms = 100,
	  .within_aim_min = 0.95,
	  .mean_ms_max = 40 },
	{ .label = "slow from half of the slots on, many VMs",
	  .servers = { { .slots = 16, .percent = 50, .well_slots = 8 }, EVEN(8), EVEN(8) },
	  .vms = 64,
	  .per_s = 1000,
	  .work_ms = { 20, 20 },
	  .aim_ms = 100,
	  .within_aim_min = 0.95,
	  .mean_ms_max = 50,
	  .is_known_red = true },
};

/* A request of a caller. */
struct request {
	uint32_t vm;
	uint32_t kind;
	uint32_t server;
	uint32_t attempts;
	uint64_t arrived_us;
	uint64_t next_start_us;
	uint64_t sent_us;
	uint64_t done_us; /* 0: not in a slot */
	bool sent;
	bool fails;
	bool refused;       /* by a full queue */
	uint32_t in_flight; /* at the server, of its VM, when it was sent */
};

/* What a VM knows of a server. */
struct view {
	struct pw_speed speed;
	struct pw_congestion congestion;
	uint64_t latency_us; /* over all answers; 0: none */
	uint32_t in_flight;
};

struct model {
	const struct load *load;
	bool learns; /* uses the learned speed; false: the former choice */
	GRand *rand;
	uint64_t now_us;
	GQueue requests;
	GQueue queues[SERVERS];
	uint32_t busy_slots[SERVERS];
	struct view views[VMS_MAX][SERVERS];
	struct pw_speed_group groups[VMS_MAX];
	uint32_t starts[SERVERS];
	uint32_t offered, answered, within_aim, failed;
	uint64_t total_us;
};

static uint64_t latency_us(const struct view *v)
{
	return v->latency_us ? v->latency_us : PW_LATENCY_INITIAL_US;
}

static bool window_allows(const struct model *m, const struct view *v)
{
	return pw_congestion_may_start(&v->congestion, v->in_flight, m->now_us);
}

static struct pw_speed_work work_of(const struct request *r)
{
	return (struct pw_speed_work){ .kind = PW_SPEED_READ, .route_class = r->kind };
}

/* The choice before the speed was learned: the first of the cheapest servers. */
static int32_t choose_formerly(const struct model *m, const struct request *r)
{
	int32_t best = -1;
	uint64_t lowest_us = UINT64_MAX;

	for (uint32_t i = 0; i < SERVERS; i++) {
		const struct view *v = &m->views[r->vm][i];
		uint64_t cost_us = latency_us(v) * (1 + v->in_flight);

		if (window_allows(m, v) && cost_us < lowest_us) {
			best = (int32_t)i;
			lowest_us = cost_us;
		}
	}
	return best;
}

static int32_t choose(struct model *m, const struct request *r)
{
	struct pw_place_candidate servers[SERVERS];

	if (!m->learns)
		return choose_formerly(m, r);
	for (uint32_t i = 0; i < SERVERS; i++) {
		const struct view *v = &m->views[r->vm][i];
		uint64_t expected_us =
			pw_speed_expected_us(&v->speed, &m->groups[r->vm], work_of(r), m->now_us);

		servers[i] = (struct pw_place_candidate){
			.is_usable = window_allows(m, v) &&
				     pw_speed_may_start(&v->speed, v->in_flight, m->now_us),
			.caught_up = true,
			.has_idle_connection = true,
			.in_flight = v->in_flight,
			.expected_us = expected_us ? expected_us : PW_LATENCY_INITIAL_US,
			.failure_permille = pw_speed_failure_permille(&v->speed, m->now_us),
			.trial_is_due = pw_speed_trial_is_due(&v->speed, m->now_us),
		};
	}
	return pw_place_choose_server(servers, SERVERS, g_rand_int(m->rand));
}

static uint64_t draw_service_us(struct model *m, const struct request *r)
{
	const struct model_server *s = &m->load->servers[r->server];
	uint32_t busy = m->busy_slots[r->server];
	double us = m->load->work_ms[r->kind] * (double)MS * s->percent / 100;

	/* Work varies between half and one and a half of its mean. */
	us *= g_rand_double_range(m->rand, 0.5, 1.5);
	if (s->well_slots && busy > s->well_slots)
		us *= 1 + busy - s->well_slots;
	if (m->now_us >= s->slow_from_s * S && m->now_us < s->slow_until_s * S)
		us *= s->slow_factor;
	return (uint64_t)us;
}

static void start_request(struct model *m, struct request *r)
{
	int32_t chosen = choose(m, r);
	struct view *v;

	if (chosen < 0)
		return;
	v = &m->views[r->vm][chosen];
	r->server = (uint32_t)chosen;
	r->sent = true;
	r->sent_us = m->now_us;
	r->in_flight = ++v->in_flight;
	r->attempts++;
	m->starts[chosen]++;
	pw_speed_record_start(
		&v->speed,
		pw_speed_expected_us(&v->speed, &m->groups[r->vm], work_of(r), m->now_us),
		m->now_us);
	pw_congestion_record_start(&v->congestion, latency_us(v), m->now_us);
	r->refused = m->queues[chosen].length >= QUEUE_MAX;
	r->fails = r->refused || (uint32_t)g_rand_int_range(m->rand, 0, 1000) <
					 m->load->servers[chosen].failure_permille;
	if (r->fails)
		r->done_us = m->now_us + FAILURE_US;
	else
		g_queue_push_tail(&m->queues[chosen], r);
}

static void fill_slots(struct model *m, uint32_t server)
{
	while (m->busy_slots[server] < m->load->servers[server].slots && m->queues[server].length) {
		struct request *r = g_queue_pop_head(&m->queues[server]);

		m->busy_slots[server]++;
		r->done_us = m->now_us + draw_service_us(m, r);
	}
}

static void end_request(struct model *m, GList *at, bool answered)
{
	struct request *r = at->data;
	uint64_t total_us = m->now_us - r->arrived_us;

	if (answered) {
		m->answered++;
		m->total_us += total_us;
		m->within_aim += total_us <= m->load->aim_ms * MS;
	} else {
		m->failed++;
	}
	g_free(r);
	g_queue_delete_link(&m->requests, at);
}

static void handle_answer(struct model *m, GList *at)
{
	struct request *r = at->data;
	struct view *v = &m->views[r->vm][r->server];

	v->in_flight--;
	v->latency_us = pw_latency_average_add(v->latency_us, m->now_us - r->sent_us);
	if (!r->fails) {
		m->busy_slots[r->server]--;
		pw_congestion_record_success(&v->congestion);
		pw_speed_record_answer(&v->speed, &m->groups[r->vm], work_of(r),
				       m->now_us - r->sent_us, r->in_flight, m->now_us);
		end_request(m, at, true);
		return;
	}
	pw_speed_record_failure(&v->speed, m->now_us);
	if (r->refused)
		pw_congestion_record_refusal(&v->congestion, v->in_flight + 1, latency_us(v),
					     m->now_us);
	if (r->attempts >= ATTEMPTS_MAX) {
		end_request(m, at, false);
		return;
	}
	r->sent = false;
	r->done_us = 0;
	/* The VM itself makes the next attempt if the server has not run the request. */
	r->next_start_us = m->now_us + (r->refused ? 0 : RETRY_US);
}

static void add_arrivals(struct model *m)
{
	const struct load *l = m->load;
	double per_s = l->per_s;

	if (m->now_us < l->quiet_until_s * S)
		per_s /= 10;
	if (m->now_us >= l->burst_from_s * S && m->now_us < l->burst_until_s * S)
		per_s *= l->burst_factor;
	/* At most two arrivals in a step, with the given mean. */
	for (int i = 0; i < 2; i++) {
		struct request *r;

		if (g_rand_double(m->rand) * 2000 >= per_s)
			continue;
		r = g_new0(struct request, 1);
		r->vm = (uint32_t)g_rand_int_range(m->rand, 0, (gint32)l->vms);
		r->kind = g_rand_double(m->rand) < l->second_share;
		r->arrived_us = m->now_us;
		m->offered++;
		g_queue_push_tail(&m->requests, r);
	}
}

static void run_requests(struct model *m)
{
	for (GList *at = m->requests.head, *next; at; at = next) {
		struct request *r = at->data;

		next = at->next;
		if (r->done_us && m->now_us >= r->done_us)
			handle_answer(m, at);
		else if (!r->sent && m->now_us >= r->arrived_us + DEADLINE_US)
			end_request(m, at, false);
		else if (!r->sent && m->now_us >= r->next_start_us)
			start_request(m, r);
	}
}

static void run_model(struct model *m, const struct load *l, bool learns, uint32_t seed)
{
	*m = (struct model){ .load = l, .learns = learns, .rand = g_rand_new_with_seed(seed) };
	for (uint32_t step = 0; step < (LOAD_S + 2) * 1000; step++) {
		m->now_us = step * MS;
		if (step < LOAD_S * 1000)
			add_arrivals(m);
		run_requests(m);
		for (uint32_t i = 0; i < SERVERS; i++)
			fill_slots(m, i);
	}
	/* What has no answer by now has failed. */
	m->failed += m->requests.length;
	for (uint32_t i = 0; i < SERVERS; i++)
		g_queue_clear(&m->queues[i]);
	g_queue_clear_full(&m->requests, g_free);
	g_rand_free(m->rand);
}

static double mean_ms(const struct model *m)
{
	return m->answered ? (double)m->total_us / m->answered / MS : 0;
}

static double share_of(const struct model *m, uint32_t server)
{
	uint32_t total = 0;

	for (uint32_t i = 0; i < SERVERS; i++)
		total += m->starts[i];
	return (double)m->starts[server] / total;
}

static void print_result(const struct model *m)
{
	printf("%-48s %-8s within %3u ms %.3f, mean %6.1f ms, failed %.3f, shares %.2f %.2f %.2f\n",
	       m->load->label, m->learns ? "learned" : "former", m->load->aim_ms,
	       (double)m->within_aim / m->offered, mean_ms(m), (double)m->failed / m->offered,
	       share_of(m, 0), share_of(m, 1), share_of(m, 2));
}

/* Returns what callers did not get, or NULL. */
static char *find_fault(const struct model *m)
{
	const struct load *l = m->load;

	if (m->within_aim < l->within_aim_min * m->offered)
		return g_strdup_printf("%u of %u within the aim", m->within_aim, m->offered);
	if (mean_ms(m) > l->mean_ms_max)
		return g_strdup_printf("mean %.1f ms", mean_ms(m));
	if (m->failed > l->failed_max * m->offered)
		return g_strdup_printf("%u of %u failed", m->failed, m->offered);
	for (uint32_t i = 0; i < SERVERS; i++) {
		if (l->share_max[i] > 0 && share_of(m, i) > l->share_max[i])
			return g_strdup_printf("share %.2f of server %u", share_of(m, i), i);
	}
	return NULL;
}

/*
 * Guards against callers who wait at a slow or failing server while others have room, and against a
 * server that is not used any more although it is well again.
 */
START_TEST(test_load)
{
	const struct load *l = &loads[_i];
	struct model learned, former;
	char *fault;

	run_model(&former, l, false, 7);
	print_result(&former);
	run_model(&learned, l, true, 7);
	print_result(&learned);
	fault = find_fault(&learned);
	if (fault && l->is_known_red && !fail_on_known_red)
		printf("KNOWN RED: %s: %s\n", l->label, fault);
	else
		ck_assert_msg(!fault, "%s: %s", l->label, fault);
	g_free(fault);
}
END_TEST

static const struct pw_speed_work short_read = { .kind = PW_SPEED_READ };
static const struct pw_speed_work long_read = { .kind = PW_SPEED_READ, .route_class = 1 };

/* Records so many answers, one each 10 ms. */
static void record_answers(struct pw_speed *s, struct pw_speed_group *g, struct pw_speed_work work,
			   uint64_t answer_us, uint32_t in_flight, uint32_t count, uint64_t *now_us)
{
	for (uint32_t i = 0; i < count; i++)
		pw_speed_record_answer(s, g, work, answer_us, in_flight, *now_us += 10 * MS);
}

static void assert_about(uint64_t actual_us, uint64_t expected_us)
{
	ck_assert_uint_ge(actual_us, expected_us * 9 / 10);
	ck_assert_uint_le(actual_us, expected_us * 11 / 10);
}

/*
 * Guards against long requests that make a server look slow for short ones, and against a server
 * that was never asked and counts as slower than those that are known.
 */
START_TEST(test_kinds_are_told_apart)
{
	struct pw_speed_group g = { 0 };
	struct pw_speed fast = { 0 }, slow = { 0 }, unknown = { 0 };
	uint64_t now_us = S;

	ck_assert_uint_eq(pw_speed_expected_us(&fast, &g, short_read, now_us), 0);
	for (uint32_t i = 0; i < 300; i++) {
		record_answers(&fast, &g, i % 2 ? short_read : long_read, i % 2 ? 3 * MS : 26 * MS,
			       1, 1, &now_us);
		record_answers(&slow, &g, i % 2 ? short_read : long_read,
			       i % 2 ? 12 * MS : 104 * MS, 1, 1, &now_us);
	}
	assert_about(pw_speed_expected_us(&fast, &g, short_read, now_us), 3 * MS);
	assert_about(pw_speed_expected_us(&fast, &g, long_read, now_us), 26 * MS);
	assert_about(pw_speed_expected_us(&slow, &g, short_read, now_us), 12 * MS);
	assert_about(pw_speed_expected_us(&slow, &g, long_read, now_us), 104 * MS);
	ck_assert_uint_gt(pw_speed_expected_us(&unknown, &g, short_read, now_us), 3 * MS);
	ck_assert_uint_lt(pw_speed_expected_us(&unknown, &g, short_read, now_us), 12 * MS);
}
END_TEST

/* Guards against a distant server that looks slower, the shorter its requests are. */
START_TEST(test_round_trip_is_no_work)
{
	struct pw_speed_group g = { 0 };
	struct pw_speed near = { 0 }, far = { 0 };
	uint64_t now_us = S;

	pw_speed_record_round_trip(&far, 40 * MS);
	for (uint32_t i = 0; i < 100; i++) {
		record_answers(&near, &g, short_read, 3 * MS, 1, 1, &now_us);
		record_answers(&near, &g, long_read, 26 * MS, 1, 1, &now_us);
		record_answers(&far, &g, short_read, 43 * MS, 1, 1, &now_us);
	}
	assert_about(pw_speed_expected_us(&far, &g, short_read, now_us), 43 * MS);
	assert_about(pw_speed_expected_us(&far, &g, long_read, now_us), 66 * MS);
}
END_TEST

/* Guards against a server that is never asked again after it was slow or failed. */
START_TEST(test_knowledge_decays)
{
	struct pw_speed_group g = { 0 };
	struct pw_speed other = { 0 }, s = { 0 };
	uint64_t now_us = S;

	record_answers(&other, &g, short_read, 10 * MS, 1, 300, &now_us);
	record_answers(&s, &g, short_read, 80 * MS, 1, 50, &now_us);
	ck_assert_uint_gt(pw_speed_expected_us(&s, &g, short_read, now_us), 50 * MS);
	for (uint32_t i = 0; i < 20; i++)
		pw_speed_record_failure(&s, now_us += 10 * MS);
	pw_speed_record_start(&s, 0, now_us);
	ck_assert_uint_gt(pw_speed_failure_permille(&s, now_us), 900);
	ck_assert(pw_speed_fails_more(&s, &other, now_us));
	ck_assert(!pw_speed_fails_more(&other, &s, now_us));
	ck_assert(!pw_speed_trial_is_due(&s, now_us));
	ck_assert(pw_speed_trial_is_due(&s, now_us + PW_SPEED_TRIAL_INTERVAL_US));
	now_us += 60 * S;
	ck_assert_uint_eq(pw_speed_failure_permille(&s, now_us), 0);
	assert_about(pw_speed_expected_us(&s, &g, short_read, now_us),
		     pw_speed_expected_us(&other, &g, short_read, now_us));
}
END_TEST

static const struct {
	const char *label;
	uint64_t busy_answer_ms; /* with many requests in flight; 10 ms with one */
	bool stays_slow;         /* also with few requests */
	bool is_limited;
} limit_cases[] = {
	{ "takes its load well", 15, false, false },
	{ "becomes slow under load", 80, false, true },
	{ "is slow whatever its load", 80, true, false },
};

/* Guards against a limit that is missing, or that stays although it does not make a server faster.
 */
START_TEST(test_limit)
{
	struct pw_speed_group g = { 0 };
	struct pw_speed s = { 0 };
	uint64_t now_us = S;

	record_answers(&s, &g, short_read, 10 * MS, 1, 100, &now_us);
	for (uint32_t i = 0; i < 300; i++) {
		uint32_t in_flight = 16;
		bool is_slow;

		while (in_flight > 1 && !pw_speed_may_start(&s, in_flight - 1, now_us))
			in_flight--;
		is_slow = in_flight > 8 || limit_cases[_i].stays_slow;
		record_answers(&s, &g, short_read,
			       is_slow ? limit_cases[_i].busy_answer_ms * MS : 10 * MS, in_flight,
			       1, &now_us);
	}
	ck_assert_msg(pw_speed_may_start(&s, 15, now_us) == !limit_cases[_i].is_limited,
		      "%s: limit %u", limit_cases[_i].label, s.limit_milli);
	ck_assert_msg((pw_speed_backlog_us(&s, 100, 10 * MS) != 0) == limit_cases[_i].is_limited,
		      "%s: limit %u", limit_cases[_i].label, s.limit_milli);
}
END_TEST

int main(int argc, char **argv)
{
	TCase *tc = tcase_create("speed");

	fail_on_known_red = argc > 1 && strcmp(argv[1], "--known-red") == 0;
	tcase_add_test(tc, test_kinds_are_told_apart);
	tcase_add_test(tc, test_round_trip_is_no_work);
	tcase_add_test(tc, test_knowledge_decays);
	tcase_add_loop_test(tc, test_limit, 0, PW_ARRAY_LEN(limit_cases));
	tcase_add_loop_test(tc, test_load, 0, PW_ARRAY_LEN(loads));
	return pw_suite_run("speed", tc);
}
