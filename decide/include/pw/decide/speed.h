/**
 * @file speed.h
 * Speed of the servers of one database, learned from their answers. It answers the load of servers
 * that differ in speed, that become slow long before they are full, or that fail a part of their
 * requests quickly, and the load of requests that differ in their work.
 *
 * The expected time of a request is the usual time of its kind, which all servers of the database
 * share, multiplied by the factor of the server, plus a round trip. Both are learned together as
 * logarithms, so that a few long requests change little and a mix of short and long ones does not
 * look like a slow server.
 *
 * What was learned of a server that is not asked decays to the usual, and after a while one request
 * is due to try it.
 */
#ifndef PW_DECIDE_SPEED_H
#define PW_DECIDE_SPEED_H

#include <stdbool.h>
#include <stdint.h>

/** Kinds of requests whose work differs. */
enum pw_speed_kind {
	PW_SPEED_READ,
	PW_SPEED_WRITE,   /**< a write that is not committed with its answer */
	PW_SPEED_COMMIT,  /**< a commit, or a write outside a transaction */
	PW_SPEED_OPENING, /**< opening a connection */
	PW_SPEED_KIND_COUNT
};

/** Number of classes of routes that are told apart within a kind. */
#define PW_SPEED_CLASSES 8

/** Kind of work of a request. */
struct pw_speed_work {
	enum pw_speed_kind kind;
	uint32_t route_class; /**< below PW_SPEED_CLASSES; routes of one class have similar work */
};

/** Usual time of a kind of work at the servers of one database; all zero: not known. */
struct pw_speed_usual {
	int32_t log_milli;     /**< binary logarithm of the time in microseconds, times 1000 */
	uint32_t answer_count; /**< answers that contributed, up to a maximum */
};

/** What the servers of one database usually take; all zero: not known. */
struct pw_speed_group {
	struct pw_speed_usual usual[PW_SPEED_KIND_COUNT][PW_SPEED_CLASSES];
};

/** What was learned of one server; all zero: nothing. */
struct pw_speed {
	uint64_t round_trip_us;     /**< average, without work of the server; 0: not known */
	int32_t factor_log_milli;   /**< of its times relative to the usual ones; see above */
	uint64_t answered_us;       /**< last answer; `factor_log_milli` decays from then on */
	uint32_t failure_permille;  /**< share of its answers that were failures */
	uint64_t judged_us;         /**< last answer or failure; `failure_permille` decays */
	int32_t baseline_log_milli; /**< factor while it takes its load well */
	bool has_baseline;          /**< `baseline_log_milli` is known */
	uint32_t limit_milli;       /**< requests in flight that it takes well, times 1000; 0: not
				       limited */
	uint64_t next_start_us;     /**< earliest next start while the limit is below one request */
	uint64_t reduced_us;        /**< last reduction of `limit_milli` */
	uint32_t reduction_count;   /**< reductions since the times last became shorter */
	int32_t reduced_factor_log_milli; /**< factor at the first of them */
	uint64_t tried_us;                /**< last start of a request */
};

/**
 * Smallest limit, in thousandths of a request. A limit below one request is a pause between starts:
 * a fleet can have more VMs than the server has slots.
 */
#define PW_SPEED_LIMIT_MIN_MILLI UINT32_C(50)
/** Time without a start after which one request is due to try the server. */
#define PW_SPEED_TRIAL_INTERVAL_US UINT64_C(3000000)

/** @return class for a route whose requests should be answered within this time */
uint32_t pw_speed_route_class(uint64_t target_us);

/** Records that a request was started at the server. `expected_us` is its expected time. */
void pw_speed_record_start(struct pw_speed *s, uint64_t expected_us, uint64_t now_us);
/** Records the time of a round trip to the server, which its work does not change. */
void pw_speed_record_round_trip(struct pw_speed *s, uint64_t round_trip_us);
/**
 * Records an answer without a failure.
 *
 * @param in_flight requests of this VM at the server during the request, including it
 */
void pw_speed_record_answer(struct pw_speed *s, struct pw_speed_group *group,
			    struct pw_speed_work work, uint64_t answer_us, uint32_t in_flight,
			    uint64_t now_us);
/** Records that the server failed, refused, lost or left unanswered a request. */
void pw_speed_record_failure(struct pw_speed *s, uint64_t now_us);
/** @return expected time of a request at the server; 0: requests of this kind are not known */
uint64_t pw_speed_expected_us(const struct pw_speed *s, const struct pw_speed_group *group,
			      struct pw_speed_work work, uint64_t now_us);
/** @return expected share of failures */
uint32_t pw_speed_failure_permille(const struct pw_speed *s, uint64_t now_us);
/**
 * @return whether the first server fails so much more of its requests than the second one that a
 *         failure of a read is likely due to the server and not to the read
 */
bool pw_speed_fails_more(const struct pw_speed *s, const struct pw_speed *other, uint64_t now_us);
/** @return whether the server takes another request well beside those in flight */
bool pw_speed_may_start(const struct pw_speed *s, uint32_t in_flight, uint64_t now_us);
/** @return estimated time to start all `waiting` requests; 0 if the server is not limited */
uint64_t pw_speed_backlog_us(const struct pw_speed *s, uint32_t waiting, uint64_t expected_us);
/** @return whether the server was not asked for so long that a request is due to try it */
bool pw_speed_trial_is_due(const struct pw_speed *s, uint64_t now_us);

#endif
