/**
 * @file congestion.h
 * Congestion window of one VM at a server that refuses some statements. It limits the load on a
 * server that many VMs overload without knowing of each other. Without a limit each refused
 * statement is retried at once, often with a new connection, and the server spends its slots on
 * accepting connections whose statements it then refuses. That state persists after the load has
 * fallen again.
 *
 * The window bounds the statements in flight. A refusal halves it, a served statement widens it. A
 * window below one statement means a pause between the starts of statements. Such windows are
 * needed because a fleet can have more VMs than the server has slots and queue places.
 */
#ifndef PW_DECIDE_CONGESTION_H
#define PW_DECIDE_CONGESTION_H

#include <stdbool.h>
#include <stdint.h>

/** Window of one statement, or of one connection that is being opened for it. */
#define PW_CONGESTION_WINDOW_ONE UINT32_C(1000)

/** Smallest window: a VM still starts a statement about every 20 latencies of the server. */
#define PW_CONGESTION_WINDOW_MIN (PW_CONGESTION_WINDOW_ONE / 20)

/** At this size the limit is removed: no VM has so many statements in flight at one server. */
#define PW_CONGESTION_WINDOW_MAX (PW_CONGESTION_WINDOW_ONE * 16)

/** State for one server; all zero means not limited. */
struct pw_congestion {
	uint32_t window;         /**< PW_CONGESTION_WINDOW_ONE per statement; 0: not limited */
	uint64_t next_start_us;  /**< earliest next start while the window is below one */
	uint64_t last_halved_us; /**< last time that the window was halved; 0: never */
};

/** @return whether another statement may be started with `in_flight` of them unanswered */
bool pw_congestion_may_start(const struct pw_congestion *c, uint32_t in_flight, uint64_t now_us);
/** Records that a statement was started. `latency_us` is the usual time to an answer. */
void pw_congestion_record_start(struct pw_congestion *c, uint64_t latency_us, uint64_t now_us);
/** Records that the server served a statement, which widens the window. */
void pw_congestion_record_success(struct pw_congestion *c);
/**
 * Records that the server refused a statement or a connection, which halves the window.
 *
 * @param in_flight unanswered statements, including the refused one
 */
void pw_congestion_record_refusal(struct pw_congestion *c, uint32_t in_flight, uint64_t latency_us,
				  uint64_t now_us);
/** @return estimated time to start all `waiting` statements; 0 if not limited */
uint64_t pw_congestion_backlog_us(const struct pw_congestion *c, uint32_t waiting,
				  uint64_t latency_us);

#endif
