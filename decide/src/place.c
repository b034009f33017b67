#include "pw/decide/place.h"

/* Servers whose cost exceeds the lowest by at most one part in this many count as equal. */
#define EQUAL_COST_DIVISOR 8

static uint64_t cost_us(const struct pw_place_candidate *s)
{
	uint64_t cost = s->expected_us * (1 + s->in_flight);

	if (!s->has_idle_connection)
		cost += s->opening_us ? s->opening_us : PW_PLACE_OPEN_COST_US;
	if (s->is_primary)
		cost += PW_PLACE_PRIMARY_COST_US;
	if (s->distance == PW_DISTANCE_OTHER_REGION)
		cost += PW_PLACE_REMOTE_COST_US;
	return cost + PW_PLACE_FAILURE_COST_US * s->failure_permille / 1000;
}

bool pw_place_can_take_read(const struct pw_place_candidate *s)
{
	return s->is_usable && s->caught_up && (s->has_idle_connection || s->can_open_connection);
}

/* A trial serves to learn about a server that reads would use, so not at any price. */
static bool should_try(const struct pw_place_candidate *s)
{
	return s->trial_is_due && pw_place_can_take_read(s) && !s->is_primary &&
	       s->distance != PW_DISTANCE_OTHER_REGION;
}

static int32_t find_trial(const struct pw_place_candidate *servers, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		if (should_try(&servers[i]))
			return (int32_t)i;
	}
	return -1;
}

int32_t pw_place_choose_cheapest(const struct pw_place_candidate *servers, uint32_t count)
{
	int32_t best = -1;

	for (uint32_t i = 0; i < count; i++) {
		if (pw_place_can_take_read(&servers[i]) &&
		    (best < 0 || cost_us(&servers[i]) < cost_us(&servers[best])))
			best = (int32_t)i;
	}
	return best;
}

/* Whether the server may be chosen as well as the cheapest one. */
static bool is_equal(const struct pw_place_candidate *s, const struct pw_place_candidate *cheapest)
{
	uint64_t lowest_us = cost_us(cheapest);

	return pw_place_can_take_read(s) &&
	       cost_us(s) <= lowest_us + lowest_us / EQUAL_COST_DIVISOR;
}

int32_t pw_place_choose_server(const struct pw_place_candidate *servers, uint32_t count,
			       uint32_t random)
{
	int32_t cheapest = pw_place_choose_cheapest(servers, count);
	int32_t trial = random % PW_PLACE_READS_PER_TRIAL ? -1 : find_trial(servers, count);
	uint32_t equal_count = 1, skip_count;

	if (trial >= 0 || cheapest < 0)
		return trial;
	for (uint32_t i = 0; i < count; i++)
		equal_count += i != (uint32_t)cheapest && is_equal(&servers[i], &servers[cheapest]);
	skip_count = random / PW_PLACE_READS_PER_TRIAL % equal_count;
	for (uint32_t i = 0; i < count; i++) {
		if (is_equal(&servers[i], &servers[cheapest]) && !skip_count--)
			return (int32_t)i;
	}
	return cheapest;
}

uint64_t pw_latency_average_add(uint64_t average_us, uint64_t measured_us)
{
	return average_us ? average_us - average_us / 8 + measured_us / 8 : measured_us;
}

/* Time in which an estimated lag halves if no answer changes it, so that the replica is retried. */
#define LAG_HALF_LIFE_US UINT64_C(300000)

static uint64_t decayed_lag_us(const struct pw_replica_lag *l, uint64_t now_us)
{
	uint64_t half_lives =
		now_us > l->updated_us ? (now_us - l->updated_us) / LAG_HALF_LIFE_US : 0;

	return half_lives < 32 ? l->lag_us >> half_lives : 0;
}

void pw_replica_lag_record_served(struct pw_replica_lag *l, uint64_t age_us, uint64_t now_us)
{
	uint64_t lag_us = decayed_lag_us(l, now_us);

	if (age_us >= lag_us)
		return;
	l->lag_us = age_us;
	l->updated_us = now_us;
}

void pw_replica_lag_record_behind(struct pw_replica_lag *l, uint64_t age_us, uint64_t now_us)
{
	uint64_t lag_us = decayed_lag_us(l, now_us);

	/* The replica lacked a position of this age, so it is tried next with one twice as old. */
	if (age_us * 2 > lag_us)
		lag_us = age_us * 2;
	l->lag_us = lag_us;
	l->updated_us = now_us;
}

bool pw_replica_lag_covers(const struct pw_replica_lag *l, uint64_t age_us, uint64_t now_us)
{
	return age_us >= decayed_lag_us(l, now_us);
}
