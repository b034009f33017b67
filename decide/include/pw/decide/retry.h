/**
 * @file retry.h
 * Decides whether a request whose attempt failed is retried, and if not, whether it is certain that
 * the statement was not run.
 */
#ifndef PW_DECIDE_RETRY_H
#define PW_DECIDE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** How an attempt failed. */
enum pw_attempt_failure {
	PW_ATTEMPT_NOT_SENT,   /**< no byte of the request was passed to the kernel */
	PW_ATTEMPT_REFUSED,    /**< the upstream answered that it did not run the request */
	PW_ATTEMPT_UNANSWERED, /**< bytes were sent and no answer, or only a part of it, arrived */
};

/** One failed attempt. */
struct pw_attempt {
	enum pw_attempt_failure failure;
	bool repeatable;      /**< idempotent: a read, or a route marked repeatable */
	bool answer_started;  /**< bytes of an answer were sent to the caller */
	bool in_transaction;  /**< an earlier statement of the transaction ran on the connection */
	uint64_t deadline_us; /**< deadline of the request */
};

enum pw_retry_decision {
	PW_RETRY_AGAIN,           /**< send the request again */
	PW_RETRY_NOT_RUN,         /**< refuse: the statement was not run */
	PW_RETRY_OUTCOME_UNKNOWN, /**< refuse: whether the statement was run is unknown */
};

/** Retry budget: 10% of the requests plus 10 a second, accumulated up to 1000. */
#define PW_RETRY_BUDGET_REQUEST_PERCENT 10
#define PW_RETRY_BUDGET_PER_S           10
#define PW_RETRY_BUDGET_MAX             1000

struct pw_retry_budget {
	uint64_t level_hundredths; /**< available retries, times 100 */
	uint64_t last_refill_us;   /**< time up to which the retries per second were added */
};

/** Initialises a budget with the retries of one second. */
void pw_retry_budget_init(struct pw_retry_budget *b, uint64_t now_us);

/** Counts a first attempt, which adds to the budget. */
void pw_retry_budget_add_request(struct pw_retry_budget *b);

/** Decides about a failed attempt; PW_RETRY_AGAIN takes one retry from the budget. */
enum pw_retry_decision pw_retry_decide(struct pw_retry_budget *b, const struct pw_attempt *a,
				       uint64_t now_us);

/**
 * Returns whether an upstream error with this SQLSTATE means that the server certainly did not run
 * the statement and that another server may run it: the server is read-only after a change of
 * primary, it is starting up or shutting down and did not read the statement, or it has reached its
 * connection limit.
 */
bool pw_retry_is_refusal(const char *sqlstate);

#endif
