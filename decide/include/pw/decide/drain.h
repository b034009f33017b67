/**
 * @file drain.h
 * What a VM that is stopping still does for the sessions of its callers. It answers the load of
 * callers that use their sessions until these are closed: a statement must have its answer before
 * the process ends, and a caller that learns early that it has to go elsewhere can still be served
 * there.
 */
#ifndef PW_DECIDE_DRAIN_H
#define PW_DECIDE_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/** Times of a planned stop, from the signal on. The steps follow each other in this order. */
struct pw_drain_plan {
	uint64_t grace_us; /**< the readiness check fails, everything is served */
	uint64_t drain_us; /**< outstanding work ends, nothing long begins */
	uint64_t close_us; /**< for callers to read the last answer and to close */
	uint64_t end_us;   /**< from the signal on: the process has to have ended; 0: no limit */
};

/** Time for callers to close their connections at the end of a drain, if there is no limit. */
#define PW_DRAIN_CLOSE_US UINT64_C(300000)

/**
 * Divides the time of a planned stop. A part at the end is reserved for closing and for leaving the
 * fleet. The rest goes to a drain that holds a statement, then to a grace period in which a
 * balancer misses two checks, and what is left to the drain again. An open transaction has at least
 * half of the limit before its statements are refused.
 *
 * @param limit_us time from the signal to the end of the process by force
 */
struct pw_drain_plan pw_drain_plan_for_limit(uint64_t limit_us);

/** When a VM drains; zeroed: it does not. */
struct pw_drain_window {
	uint64_t started_us; /**< 0: not yet */
	uint64_t ends_us;    /**< outstanding statements are answered with an error then */
};

/** @return whether the VM drains */
bool pw_drain_has_started(const struct pw_drain_window *d);

/** @return whether the time for outstanding statements is over */
bool pw_drain_is_over(const struct pw_drain_window *d, uint64_t now_us);

/** @return whether a transaction may begin: none does during the drain, which might cut it off */
bool pw_drain_allows_transaction(const struct pw_drain_window *d);

/**
 * Decides whether a statement may be passed on to a server. During the drain it has to leave the
 * server its whole time before the end. Statements with a longer timeout than half of the drain are
 * passed on in the first half.
 *
 * @param timeout_us timeout of the statement
 */
bool pw_drain_allows_statement(const struct pw_drain_window *d, uint64_t now_us,
			       uint64_t timeout_us);

/**
 * Decides whether an operation (a statement outside a transaction) may run. Each session is served
 * once during the drain. The next operation is refused, so that a caller that does not pause learns
 * from an answer that it has to go elsewhere: a close could cross its request on the network.
 *
 * @param was_served an operation of the session has ended since the drain began
 * @param timeout_us timeout of the statement
 */
bool pw_drain_allows_operation(const struct pw_drain_window *d, bool was_served, uint64_t now_us,
			       uint64_t timeout_us);

/** What is known of a session that may be closed. */
struct pw_drain_session {
	bool has_statement;   /**< a statement is outstanding */
	bool has_input;       /**< bytes of a request have arrived, here or in the socket */
	bool has_output;      /**< a part of an answer waits until the caller reads */
	bool has_transaction; /**< a transaction is open */
	bool was_served;      /**< an operation has ended since the drain began */
	bool was_refused;     /**< an operation was refused since the drain began */
	uint64_t idle_us;     /**< time since its last message or answer */
};

/**
 * Time after which a session counts as idle in a drain. A close at another time could cross a
 * request on the network.
 */
#define PW_DRAIN_IDLE_US UINT64_C(300000)
/**
 * The same for a session that was served since the drain began. It covers the way to a caller in
 * another region and back, after which the request of a caller that does not pause has arrived.
 */
#define PW_DRAIN_SERVED_IDLE_US UINT64_C(100000)

/**
 * @return whether the session may be closed now; a session with a request that has arrived never is
 */
bool pw_drain_may_close(const struct pw_drain_window *d, const struct pw_drain_session *s,
			uint64_t now_us);

#endif
