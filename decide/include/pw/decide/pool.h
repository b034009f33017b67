/**
 * @file pool.h
 * Connection pool of one upstream server, with the requests that wait for a connection.
 *
 * Requests wait in one queue for each client account. The account that has used the least time of
 * the server is served next (start-time fair queueing over the time that its requests held a
 * connection), so a long queue of one account does not delay the others. At most `slots_max`
 * requests or transactions are in flight and at most `connections_max` connections are open; both
 * are this VM's part of limits that hold for the whole fleet.
 */
#ifndef PW_DECIDE_POOL_H
#define PW_DECIDE_POOL_H

#include <stdbool.h>
#include <stdint.h>

struct pw_pool;

struct pw_pool_options {
	uint32_t version;
	uint32_t queue_max;       /**< maximum number of waiting requests of each account */
	uint32_t connections_max; /**< maximum number of open connections */
	uint32_t slots_max;       /**< maximum number of requests or transactions in flight */
	uint64_t initial_cost_us; /**< estimate of a request's time before any is measured */
	bool fair_queueing;       /**< false: in order of arrival, for comparison in tests */
};

#define PW_POOL_OPTIONS_VERSION 1
#define PW_POOL_OPTIONS_INIT                                                                \
	{                                                                                   \
		.version = PW_POOL_OPTIONS_VERSION, .queue_max = 256, .connections_max = 1, \
		.slots_max = 1, .initial_cost_us = 1000, .fair_queueing = true              \
	}

enum pw_pool_action_kind {
	PW_POOL_RUN,    /**< run `request` on an idle connection, which now counts as busy */
	PW_POOL_OPEN,   /**< open a connection, which now counts as opening */
	PW_POOL_EXPIRE, /**< refuse `request`: its deadline has passed */
	PW_POOL_CLOSE,  /**< close an idle connection: the limit was lowered */
};

struct pw_pool_action {
	enum pw_pool_action_kind kind;
	uint64_t request; /**< for PW_POOL_RUN and PW_POOL_EXPIRE */
};

/** How many connections and slots of the fleet's limits this VM could use now. */
struct pw_pool_demand {
	uint32_t connections;
	uint32_t slots;
};

/** @return 0, or PW_EINVALID for an unknown version of the options */
int pw_pool_new(struct pw_pool **out, const struct pw_pool_options *options);
void pw_pool_free(struct pw_pool *p);

/** Changes the limits; connections above the limit are closed once they are idle. */
void pw_pool_set_limits(struct pw_pool *p, uint32_t connections, uint32_t slots);

/**
 * Adds a request to the queue of its account.
 *
 * @param request  identifier, unique in this pool
 * @param account  identifier of the client account
 * @return 0, or PW_EOVERFLOW when the account's queue is full
 */
int pw_pool_enqueue(struct pw_pool *p, uint64_t request, uint32_t account, uint64_t deadline_us);

/** Removes a waiting request. @return false if it is not waiting here */
bool pw_pool_cancel(struct pw_pool *p, uint64_t request);

/**
 * Returns the next action of the caller. To be called after every call that changes the pool, until
 * it returns false.
 *
 * @return true if `out` was set, false if nothing is left to do
 */
bool pw_pool_next_action(struct pw_pool *p, struct pw_pool_action *out, uint64_t now_us);

/** Records that an opening connection is ready. */
void pw_pool_connection_opened(struct pw_pool *p);
/** Records that opening a connection failed. */
void pw_pool_connection_failed(struct pw_pool *p);
/** Records that a busy connection became idle; the account held it for `used_us`. */
void pw_pool_connection_released(struct pw_pool *p, uint32_t account, uint64_t used_us);
/** Records that a busy connection was discarded; the account held it for `used_us`. */
void pw_pool_connection_discarded(struct pw_pool *p, uint32_t account, uint64_t used_us);
/** Records that an idle connection was closed, by either side. */
void pw_pool_idle_connection_closed(struct pw_pool *p);

/** @return earliest deadline of a waiting request, or UINT64_MAX */
uint64_t pw_pool_next_deadline_us(const struct pw_pool *p);

/** @return number of waiting requests */
uint32_t pw_pool_waiting_count(const struct pw_pool *p);
/** @return number of requests of the account that wait or are in flight */
uint32_t pw_pool_account_load(const struct pw_pool *p, uint32_t account);
/** @return number of busy connections */
uint32_t pw_pool_busy_count(const struct pw_pool *p);
/** @return number of connections that are open or opening */
uint32_t pw_pool_open_count(const struct pw_pool *p);
/** @return one connection and one slot for each request that waits or is in flight */
struct pw_pool_demand pw_pool_demand(const struct pw_pool *p);

#endif
