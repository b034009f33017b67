#include "pw/decide/speed.h"

#include <math.h>

#define MILLI 1000

/*
 * What was learned of a server is kept for the first time after its last answer, and then halves in
 * each further interval of the second one.
 */
#define KEEP_US      UINT64_C(1000000)
#define HALF_LIFE_US UINT64_C(4000000)
/* Weight of an observation: at least one fifth, and more if the last one is long ago. */
#define WEIGHT_MIN_PERMILLE     200
#define WEIGHT_MAX_PERMILLE     300
#define WEIGHT_FULL_INTERVAL_US UINT64_C(1000000)
/*
 * Weight of an observation in the usual time, which follows slowly: it has to tell load and speed
 * of the servers from a change of the work. The first ones count as much as those before together.
 */
#define USUAL_WEIGHT_PERMILLE 5
/* Observations further from the expected time than this factor of 16 count as that factor. */
#define RESIDUAL_MAX_LOG_MILLI (4 * MILLI)

/* Difference of the failures of two servers that is not due to the requests. */
#define FAILURE_MARGIN_PERMILLE 100

/* Times beyond this multiple of the baseline show that the server has more than it takes well. */
#define SLOWDOWN_LOG_MILLI MILLI
/* The baseline follows shorter times at once, and longer ones slowly. */
#define BASELINE_FALL_PERMILLE 250
#define BASELINE_RISE_PERMILLE 10
/* Time between two reductions: until then, most answers are to requests sent before the last one.
 */
#define REDUCTION_INTERVAL_US UINT64_C(150000)
/*
 * After this many reductions that did not make the times shorter by IMPROVEMENT_LOG_MILLI, the load
 * is not what makes the server slow.
 */
#define REDUCTIONS_MAX        6
#define IMPROVEMENT_LOG_MILLI (MILLI / 2)
/* A limit below one request grows by a quarter with each answer, and above by a tenth of a request.
 */
#define GROWTH_DIVISOR    16
#define GROWTH_STEP_MILLI (MILLI / 10)
/* From this limit on the server is not limited any more. */
#define LIMIT_MAX_MILLI (32 * MILLI)

/* Shorter times count as this one: a round trip is not known more exactly. */
#define TIME_MIN_US UINT64_C(100)

/* Longest target times of the classes of routes. */
static const uint64_t class_target_ms[PW_SPEED_CLASSES - 1] = { 100,  250,  500,  800,
								1500, 3000, 10000 };

uint32_t pw_speed_route_class(uint64_t target_us)
{
	uint32_t class = 0;

	while (class < PW_SPEED_CLASSES - 1 && target_us > class_target_ms[class] * 1000)
		class ++;
	return class;
}

static int32_t time_log_milli(uint64_t time_us)
{
	return (int32_t)lround(log2((double)(time_us > TIME_MIN_US ? time_us : TIME_MIN_US)) *
			       MILLI);
}

static int32_t clamp(int32_t v, int32_t limit)
{
	return v > limit ? limit : v < -limit ? -limit : v;
}

static int32_t weighted(int32_t v, uint32_t weight_permille)
{
	return (int32_t)((int64_t)v * weight_permille / 1000);
}

/* Share that is left of a value `since_us` after its last observation, in thousandths. */
static uint32_t remaining_permille(uint64_t observed_us, uint64_t now_us)
{
	double half_lives;

	if (now_us <= observed_us + KEEP_US)
		return 1000;
	half_lives = (double)(now_us - observed_us - KEEP_US) / (double)HALF_LIFE_US;
	return half_lives < 32 ? (uint32_t)lround(exp2(-half_lives) * 1000) : 0;
}

static uint32_t observation_weight_permille(uint64_t observed_us, uint64_t now_us)
{
	uint64_t interval_us = now_us > observed_us ? now_us - observed_us : 0;
	uint64_t weight = interval_us >= WEIGHT_FULL_INTERVAL_US
				  ? WEIGHT_MAX_PERMILLE
				  : interval_us * WEIGHT_MAX_PERMILLE / WEIGHT_FULL_INTERVAL_US;

	return weight > WEIGHT_MIN_PERMILLE ? (uint32_t)weight : WEIGHT_MIN_PERMILLE;
}

static int32_t current_factor_log_milli(const struct pw_speed *s, uint64_t now_us)
{
	return weighted(s->factor_log_milli, remaining_permille(s->answered_us, now_us));
}

uint32_t pw_speed_failure_permille(const struct pw_speed *s, uint64_t now_us)
{
	return s->failure_permille * remaining_permille(s->judged_us, now_us) / 1000;
}

bool pw_speed_fails_more(const struct pw_speed *s, const struct pw_speed *other, uint64_t now_us)
{
	return pw_speed_failure_permille(s, now_us) >
	       pw_speed_failure_permille(other, now_us) + FAILURE_MARGIN_PERMILLE;
}

/* Records an answer or failure in the share of failures. */
static void record_judgement(struct pw_speed *s, bool failed, uint64_t now_us)
{
	uint32_t weight = observation_weight_permille(s->judged_us, now_us);
	uint32_t share = pw_speed_failure_permille(s, now_us);

	s->failure_permille = (share * (1000 - weight) + (failed ? 1000 : 0) * weight) / 1000;
	s->judged_us = now_us;
}

void pw_speed_record_start(struct pw_speed *s, uint64_t expected_us, uint64_t now_us)
{
	s->tried_us = now_us;
	if (s->limit_milli && s->limit_milli < MILLI)
		s->next_start_us = now_us + expected_us * MILLI / s->limit_milli;
}

void pw_speed_record_round_trip(struct pw_speed *s, uint64_t round_trip_us)
{
	s->round_trip_us = s->round_trip_us
				   ? s->round_trip_us - s->round_trip_us / 8 + round_trip_us / 8
				   : round_trip_us;
}

void pw_speed_record_failure(struct pw_speed *s, uint64_t now_us)
{
	record_judgement(s, true, now_us);
}

static void reduce_limit(struct pw_speed *s, uint32_t in_flight, uint64_t now_us)
{
	uint32_t limit = in_flight * MILLI;

	if (s->limit_milli && s->limit_milli < limit)
		limit = s->limit_milli;
	limit = limit / 2;
	s->limit_milli = limit > PW_SPEED_LIMIT_MIN_MILLI ? limit : PW_SPEED_LIMIT_MIN_MILLI;
	s->reduced_us = now_us;
}

static void grow_limit(struct pw_speed *s)
{
	if (!s->limit_milli)
		return;
	s->limit_milli +=
		s->limit_milli < MILLI ? s->limit_milli / GROWTH_DIVISOR : GROWTH_STEP_MILLI;
	if (s->limit_milli > LIMIT_MAX_MILLI)
		s->limit_milli = 0;
}

static void follow_baseline(struct pw_speed *s)
{
	int32_t difference = s->factor_log_milli - s->baseline_log_milli;

	if (!s->has_baseline)
		s->baseline_log_milli = s->factor_log_milli;
	else
		s->baseline_log_milli +=
			weighted(difference,
				 difference < 0 ? BASELINE_FALL_PERMILLE : BASELINE_RISE_PERMILLE);
	s->has_baseline = true;
}

/* Ends the limit of a server that is slow whatever its load. */
static void accept_slowness(struct pw_speed *s)
{
	s->baseline_log_milli = s->factor_log_milli;
	s->limit_milli = 0;
	s->reduction_count = 0;
}

/*
 * Adapts the limit to the time of an answer at this number of requests in flight.
 *
 * @param is_reliable answers come so often that one long request does not decide the factor
 */
static void adapt_limit(struct pw_speed *s, uint32_t in_flight, bool is_reliable, uint64_t now_us)
{
	follow_baseline(s);
	if (s->factor_log_milli - s->baseline_log_milli <= SLOWDOWN_LOG_MILLI) {
		s->reduction_count = 0;
		grow_limit(s);
		return;
	}
	if (!is_reliable || now_us < s->reduced_us + REDUCTION_INTERVAL_US)
		return;
	if (!s->reduction_count ||
	    s->factor_log_milli < s->reduced_factor_log_milli - IMPROVEMENT_LOG_MILLI) {
		s->reduced_factor_log_milli = s->factor_log_milli;
		s->reduction_count = 0;
	}
	if (++s->reduction_count > REDUCTIONS_MAX)
		accept_slowness(s);
	else
		reduce_limit(s, in_flight, now_us);
}

static void add_to_usual(struct pw_speed_usual *usual, int32_t residual)
{
	uint32_t weight = 1000 / ++usual->answer_count;

	if (weight <= USUAL_WEIGHT_PERMILLE) {
		weight = USUAL_WEIGHT_PERMILLE;
		usual->answer_count--;
	}
	usual->log_milli += weighted(residual, weight);
}

void pw_speed_record_answer(struct pw_speed *s, struct pw_speed_group *group,
			    struct pw_speed_work work, uint64_t answer_us, uint32_t in_flight,
			    uint64_t now_us)
{
	struct pw_speed_usual *usual = &group->usual[work.kind][work.route_class];
	uint32_t weight = observation_weight_permille(s->answered_us, now_us);
	int32_t factor = current_factor_log_milli(s, now_us);
	int32_t measured =
		time_log_milli(answer_us > s->round_trip_us ? answer_us - s->round_trip_us : 0);
	int32_t residual;

	if (!usual->log_milli)
		usual->log_milli = measured - factor;
	residual = clamp(measured - usual->log_milli - factor, RESIDUAL_MAX_LOG_MILLI);
	s->factor_log_milli = factor + weighted(residual, weight);
	s->answered_us = now_us;
	add_to_usual(usual, residual);
	record_judgement(s, false, now_us);
	adapt_limit(s, in_flight, weight == WEIGHT_MIN_PERMILLE, now_us);
}

uint64_t pw_speed_expected_us(const struct pw_speed *s, const struct pw_speed_group *group,
			      struct pw_speed_work work, uint64_t now_us)
{
	const struct pw_speed_usual *usual = &group->usual[work.kind][work.route_class];

	if (!usual->log_milli)
		return 0;
	return s->round_trip_us +
	       (uint64_t)llround(exp2(
		       (double)(usual->log_milli + current_factor_log_milli(s, now_us)) / MILLI));
}

bool pw_speed_may_start(const struct pw_speed *s, uint32_t in_flight, uint64_t now_us)
{
	/* A limit that was learned long ago says little about the server now. */
	if (!s->limit_milli || !remaining_permille(s->answered_us, now_us))
		return true;
	if (s->limit_milli < MILLI)
		return !in_flight && now_us >= s->next_start_us;
	return in_flight < s->limit_milli / MILLI;
}

uint64_t pw_speed_backlog_us(const struct pw_speed *s, uint32_t waiting, uint64_t expected_us)
{
	return s->limit_milli ? (uint64_t)waiting * expected_us * MILLI / s->limit_milli : 0;
}

bool pw_speed_trial_is_due(const struct pw_speed *s, uint64_t now_us)
{
	return now_us >= s->tried_us + PW_SPEED_TRIAL_INTERVAL_US;
}
