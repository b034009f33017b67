/**
 * @file admission.h
 * Which operation of a client account gets the next token of the account's rate at this VM. It
 * answers the load of a burst of one kind of operation that uses up the rate of its account while
 * operations that are more urgent arrive beside it: they go first, what can wait within its target
 * time waits, and the rest is refused at once.
 */
#ifndef PW_DECIDE_ADMISSION_H
#define PW_DECIDE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "pw/decide/share.h"

/** An operation that asks for a token. */
struct pw_admission_request {
	uint32_t priority; /**< 0 is the highest */
	bool urgent;       /**< no route has a higher priority */
	uint64_t arrived_us;
	uint64_t aim_us;     /**< time in which the operation should be answered */
	uint64_t timeout_us; /**< of one statement */
};

/** Tokens of the account at this VM, and who else needs them. */
struct pw_admission_view {
	const struct pw_share *share;
	struct pw_share_bucket tokens;
	double urgent_demand_per_s; /**< expected urgent operations of the account at this VM */
	uint32_t ahead;             /**< waiting operations that come before this one */
	uint32_t random; /**< spreads the retry times of callers that are refused together */
};

enum pw_admission_verdict {
	PW_ADMISSION_ADMIT,
	PW_ADMISSION_WAIT,
	PW_ADMISSION_REFUSE,
};

struct pw_admission_decision {
	enum pw_admission_verdict verdict;
	uint64_t token_in_us; /**< PW_ADMISSION_WAIT: time until its token is expected */
	uint64_t retry_us;    /**< PW_ADMISSION_REFUSE: time after which the caller may come back */
};

/**
 * Compares two operations of an account.
 *
 * @return whether `a` gets its token before `b`: by priority, then by the end of the wait, then by
 *         arrival
 */
bool pw_admission_precedes(const struct pw_admission_request *a,
			   const struct pw_admission_request *b);

/**
 * @return until when the operation may wait for its token: the servers need the rest of its target
 *         time, and of the statement's timeout
 */
uint64_t pw_admission_wait_limit_us(const struct pw_admission_request *r);

/**
 * Decides about an operation that arrives or waits. While the demand is above the rate, tokens are
 * kept for the urgent operations that this VM expects; if no operation is urgent, or all are, none
 * are kept. An operation waits only if its token is expected within its limit. No token is taken.
 */
struct pw_admission_decision pw_admission_decide(const struct pw_admission_view *v,
						 const struct pw_admission_request *r,
						 uint64_t now_us);

#endif
