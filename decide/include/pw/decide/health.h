/**
 * @file health.h
 * Health of one server as seen by one VM.
 */
#ifndef PW_DECIDE_HEALTH_H
#define PW_DECIDE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

enum pw_health_state {
	PW_HEALTH_UNKNOWN, /**< no answer yet, and not silent for long enough to be suspect */
	PW_HEALTH_ALIVE,
	PW_HEALTH_SUSPECT,
	PW_HEALTH_DEAD, /**< suspect for `dead_after_us` */
};

#define PW_HEALTH_OPTIONS_VERSION 1

struct pw_health_options {
	uint32_t version;
	/** Age of the oldest unanswered probe at which a server becomes suspect. */
	uint64_t suspect_after_us;
	/** Age of the oldest unanswered probe at which a fresh, second connection is opened. */
	uint64_t fresh_connection_after_us;
	/** Minimum time that the fresh connection gets before the server becomes suspect. */
	uint64_t fresh_connection_min_us;
	/** Minimum time between two failures in a row that make a server suspect. */
	uint64_t failure_interval_us;
	uint64_t dead_after_us; /**< time as suspect after which a server counts as dead */
	/** A longer time between two ticks means that this process was paused. */
	uint64_t pause_threshold_us;
};

/*
 * The fresh connection is opened at 300 ms, so that it has 500 ms for connect, login and query
 * before the server becomes suspect at 800 ms. That is enough for four round trips of 40 ms between
 * regions; within a region it is enough even if they take ten times as long as usual.
 */
#define PW_HEALTH_OPTIONS_INIT                                                          \
	{                                                                               \
		.version = PW_HEALTH_OPTIONS_VERSION, .suspect_after_us = 800000,       \
		.fresh_connection_after_us = 300000, .fresh_connection_min_us = 400000, \
		.failure_interval_us = 200000, .dead_after_us = 5000000,                \
		.pause_threshold_us = 500000                                            \
	}

struct pw_health {
	struct pw_health_options options;
	enum pw_health_state state;
	uint64_t last_answer_us;
	uint64_t oldest_unanswered_us; /**< sending time of the oldest unanswered probe; 0: none */
	uint64_t fresh_connection_us;  /**< when a fresh connection was requested; 0: none */
	uint64_t first_failure_us;     /**< time of the first failure since an answer; 0: none */
	uint64_t suspect_since_us;     /**< time at which the server became suspect */
	uint64_t last_tick_us;
};

/** Flags that say what the caller has to do after an event. */
enum pw_health_action {
	PW_HEALTH_CHANGED = 1,    /**< react to the new `state` */
	PW_HEALTH_OPEN_FRESH = 2, /**< open a second connection and probe on it */
};

void pw_health_init(struct pw_health *h, const struct pw_health_options *o, uint64_t now_us);

/** Records that a probe was sent, or that it was due but there was no connection. */
void pw_health_record_probe(struct pw_health *h, uint64_t now_us);

/**
 * Records an answer of the server on any connection. Every answer makes the server alive, however
 * late it is: a slow server is not a failed one.
 *
 * @return set of enum pw_health_action
 */
uint32_t pw_health_record_answer(struct pw_health *h, uint64_t now_us);

/**
 * Records that a connection was refused or reset.
 *
 * @return set of enum pw_health_action
 */
uint32_t pw_health_record_failure(struct pw_health *h, uint64_t now_us);

/**
 * Checks the timeouts. To be called at least every `pause_threshold_us` / 2.
 *
 * @return set of enum pw_health_action
 */
uint32_t pw_health_tick(struct pw_health *h, uint64_t now_us);

/** @return whether the server is suspect or dead */
static inline bool pw_health_is_down(enum pw_health_state s)
{
	return s == PW_HEALTH_SUSPECT || s == PW_HEALTH_DEAD;
}

#endif
