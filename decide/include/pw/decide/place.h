/**
 * @file place.h
 * Choice of the server for a read. The choice takes into account that replicas may lag, be slow or
 * fail, that servers are at different distances, and that the primary is needed for writes.
 */
#ifndef PW_DECIDE_PLACE_H
#define PW_DECIDE_PLACE_H

#include <stdbool.h>
#include <stdint.h>

/** How far a server is from this VM. */
enum pw_distance {
	PW_DISTANCE_SAME_ZONE,    /**< in the same availability zone */
	PW_DISTANCE_SAME_REGION,  /**< in another zone of the same region */
	PW_DISTANCE_OTHER_REGION, /**< in another region: low bandwidth, and traffic is charged */
};

/** A server that may be chosen for a read. */
struct pw_place_candidate {
	bool is_usable;  /**< live, not leaving, and it has not just refused work */
	bool is_primary; /**< needed for writes, so replicas are preferred */
	bool caught_up;  /**< its log is expected to have the position that the read needs */
	bool has_idle_connection; /**< the client account has an idle connection to the server */
	/** A connection can be opened, perhaps after an idle one was closed. */
	bool can_open_connection;
	uint32_t in_flight; /**< statements of this VM in flight at the server */
	/** Expected time to an answer (pw_speed_expected_us()). */
	uint64_t expected_us;
	uint64_t opening_us;       /**< expected time to open a connection */
	uint32_t failure_permille; /**< share of requests that are expected to fail */
	bool trial_is_due;         /**< it was not asked for long; see pw_speed_trial_is_due() */
	enum pw_distance distance;
};

/* Costs, each expressed as an equivalent latency. */
/** Opening a connection, while its time is not known: it keeps a server busy for about 12 ms. */
#define PW_PLACE_OPEN_COST_US UINT64_C(15000)
/** Reading from the primary: reads delay the writes queued behind them. */
#define PW_PLACE_PRIMARY_COST_US UINT64_C(30000)
/** Reading from another region: a read sends about 1.5 KB over the link between regions. */
#define PW_PLACE_REMOTE_COST_US UINT64_C(40000)

/** A failed request: its caller waits and asks again. */
#define PW_PLACE_FAILURE_COST_US UINT64_C(200000)

/** One of this many reads tries a server for which a trial is due. */
#define PW_PLACE_READS_PER_TRIAL UINT32_C(16)

/** @return whether the server can take a read now */
bool pw_place_can_take_read(const struct pw_place_candidate *s);
/** @return index of the cheapest of the servers that can take a read now; -1 if none can */
int32_t pw_place_choose_cheapest(const struct pw_place_candidate *servers, uint32_t count);
/**
 * Chooses one of the servers that can take a read now: the cheapest, or one that is hardly dearer,
 * so that servers that are equal share the load; or one for which a trial is due.
 *
 * @param random number that decides among them
 * @return its index; -1 if no server can take a read
 */
int32_t pw_place_choose_server(const struct pw_place_candidate *servers, uint32_t count,
			       uint32_t random);

/** Latency assumed for a server before the first answer of its group. */
#define PW_LATENCY_INITIAL_US UINT64_C(25000)

/**
 * Adds a measurement to a moving average with a weight of one eighth.
 *
 * @param average_us present average; 0 if nothing was measured yet
 * @return the new average
 */
uint64_t pw_latency_average_add(uint64_t average_us, uint64_t measured_us);

/** Estimated replication lag of a replica, learned from its answers. */
struct pw_replica_lag {
	uint64_t lag_us;     /**< the replica is expected to have positions of at least this age */
	uint64_t updated_us; /**< when `lag_us` was set; it decays from then on */
};

/** Records that the replica had a position of this age. */
void pw_replica_lag_record_served(struct pw_replica_lag *l, uint64_t age_us, uint64_t now_us);
/** Records that the replica lacked a position of this age. */
void pw_replica_lag_record_behind(struct pw_replica_lag *l, uint64_t age_us, uint64_t now_us);
/** @return whether the replica is expected to have a position of this age */
bool pw_replica_lag_covers(const struct pw_replica_lag *l, uint64_t age_us, uint64_t now_us);

#endif
