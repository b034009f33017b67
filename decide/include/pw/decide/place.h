/**
 * @file place.h
 * Choice of the server for a read. It answers a load in which replicas are behind or slow, servers
 * stand at different distances, and the primary is needed for writes.
 */
#ifndef PW_DECIDE_PLACE_H
#define PW_DECIDE_PLACE_H

#include <stdbool.h>
#include <stdint.h>

/** How far a server is from this VM. */
enum pw_distance {
	PW_DISTANCE_ZONE,
	PW_DISTANCE_REGION,
	PW_DISTANCE_REMOTE, /**< in another region: the link is narrow and paid by volume */
};

struct pw_place_server {
	bool usable;      /**< live, not leaving, and it has not just refused work */
	bool primary;     /**< needed for writes, so a replica goes first */
	bool caught_up;   /**< its log is expected to have the position that the read needs */
	bool has_idle;    /**< an idle connection of the client account */
	bool can_open;    /**< a connection can be opened, perhaps after closing an idle one */
	uint32_t running; /**< statements that this VM has there */
	uint64_t latency_us;
	enum pw_distance distance;
};

/* Costs in time that is as bad as what they stand for. */
/** Opening: the server is busy for about 12 ms with a new connection, and a round trip. */
#define PW_PLACE_OPEN_COST_US UINT64_C(15000)
/** Reads on the primary delay the writes behind them. */
#define PW_PLACE_PRIMARY_COST_US UINT64_C(30000)
/** About 1.5 KB over the link between regions. */
#define PW_PLACE_REMOTE_COST_US UINT64_C(40000)

/** @return index of the best server that can take a read now, or -1 */
int32_t pw_place_read(const struct pw_place_server *servers, uint32_t count);

/** Latency that is assumed of a server before its first answer. */
#define PW_LATENCY_FIRST_US UINT64_C(25000)

/** Adds a measurement to a moving average with a weight of one eighth. */
uint64_t pw_latency_add(uint64_t average_us, uint64_t measured_us);

/**
 * Age that a position must have for a replica to be expected to have it; learned from answers.
 */
struct pw_replica_lag {
	uint64_t lag_us;
	uint64_t noted_us;
};

/** The replica had a position of this age. */
void pw_replica_lag_served(struct pw_replica_lag *l, uint64_t age_us, uint64_t now_us);
/** The replica lacked a position of this age. */
void pw_replica_lag_behind(struct pw_replica_lag *l, uint64_t age_us, uint64_t now_us);
/** @return whether the replica is expected to have a position of this age */
bool pw_replica_lag_covers(const struct pw_replica_lag *l, uint64_t age_us, uint64_t now_us);

#endif
