#include "pw/decide/place.h"

static uint64_t cost_us(const struct pw_place_candidate *s)
{
	uint64_t cost = s->latency_us * (1 + s->in_flight);

	if (!s->has_idle_connection)
		cost += PW_PLACE_OPEN_COST_US;
	if (s->is_primary)
		cost += PW_PLACE_PRIMARY_COST_US;
	if (s->distance == PW_DISTANCE_OTHER_REGION)
		cost += PW_PLACE_REMOTE_COST_US;
	return cost;
}

int32_t pw_place_choose_server(const struct pw_place_candidate *servers, uint32_t count)
{
	int32_t best = -1;
	uint64_t lowest_cost_us = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct pw_place_candidate *s = &servers[i];
		uint64_t cost;

		if (!s->is_usable || !s->caught_up ||
		    (!s->has_idle_connection && !s->can_open_connection))
			continue;
		cost = cost_us(s);
		if (best < 0 || cost < lowest_cost_us) {
			best = (int32_t)i;
			lowest_cost_us = cost;
		}
	}
	return best;
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
