#include "pw/decide/replica_set.h"

#include <stddef.h>

/*
 * Delay between two rounds of status queries, each of which takes a slot of every server. It is
 * doubled up to the longest one, since a replica that stays behind may do so for hours.
 */
#define ROUND_DELAY_FIRST_US UINT64_C(100000)
#define ROUND_DELAY_MAX_US   UINT64_C(2000000)

/* Whether the server has stopped as planned, and its log has gone to a server that is registered.
 */
static bool is_replaced(const struct pw_replica_view *s)
{
	return s->has_successor && (s->registered ? s->stopping : s->recorded_stopping);
}

/* Whether the recorded set has the server, which is not registered any more. */
static bool is_missing(const struct pw_replica_view *s)
{
	return s->recorded && !s->registered && !is_replaced(s);
}

static bool needs_update(const struct pw_replica_view *s)
{
	if (is_replaced(s) || s->left_out)
		return s->recorded;
	return !s->recorded || (s->registered && s->stopping != s->recorded_stopping);
}

enum pw_replica_set_step pw_replica_set_next(const struct pw_replica_view *servers, uint32_t count,
					     uint32_t sync_replicas, bool known)
{
	bool any_missing = false;

	if (!sync_replicas)
		return known ? PW_REPLICA_SET_CLEAR : PW_REPLICA_SET_KEEP;
	if (!known)
		return PW_REPLICA_SET_PROVE;
	for (uint32_t i = 0; i < count; i++) {
		if (needs_update(&servers[i]))
			return PW_REPLICA_SET_UPDATE;
		any_missing = any_missing || (is_missing(&servers[i]) && !servers[i].is_primary);
	}
	return any_missing ? PW_REPLICA_SET_PROVE : PW_REPLICA_SET_KEEP;
}

static bool is_gone(const struct pw_replica_view *s)
{
	return is_missing(s) && !s->is_primary && !s->reported;
}

/* Whether some server is gone of which the floor of the proof does not know. */
static bool is_floor_outdated(const struct pw_replica_set_proof *proof,
			      const struct pw_replica_view *servers, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		if (is_gone(&servers[i]) && !servers[i].was_gone)
			return true;
	}
	return !proof->has_floor;
}

static const struct pw_replica_view *find_acting_primary(const struct pw_replica_view *servers,
							 uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		if (servers[i].is_primary && servers[i].reported && servers[i].acts_as_primary)
			return &servers[i];
	}
	return NULL;
}

bool pw_replica_set_prove(struct pw_replica_set_proof *proof, struct pw_replica_view *servers,
			  uint32_t count, uint32_t sync_replicas)
{
	const struct pw_replica_view *primary = find_acting_primary(servers, count);
	uint32_t covering_count = 0;

	/* A server that answers again may have received commits after the floor. */
	for (uint32_t i = 0; i < count; i++)
		servers[i].was_gone = servers[i].was_gone && is_gone(&servers[i]);
	if (primary && is_floor_outdated(proof, servers, count)) {
		proof->has_floor = true;
		proof->floor = primary->log_end;
		for (uint32_t i = 0; i < count; i++)
			servers[i].was_gone = is_gone(&servers[i]);
	}
	for (uint32_t i = 0; i < count; i++)
		covering_count += !servers[i].is_primary && servers[i].reported &&
				  pw_replica_set_has(&servers[i], true) &&
				  pw_position_compare(&servers[i].log_end, &proof->floor) >= 0;
	return proof->has_floor && covering_count >= sync_replicas;
}

bool pw_replica_set_has(const struct pw_replica_view *server, bool proved)
{
	return !is_replaced(server) && !server->left_out && !(proved && server->was_gone);
}

bool pw_replica_set_counts(const struct pw_replica_view *server)
{
	return !is_replaced(server);
}

uint64_t pw_replica_set_round_delay_us(uint32_t round_count)
{
	uint64_t delay_us = ROUND_DELAY_FIRST_US;

	while (round_count-- && delay_us < ROUND_DELAY_MAX_US)
		delay_us *= 2;
	return delay_us < ROUND_DELAY_MAX_US ? delay_us : ROUND_DELAY_MAX_US;
}
