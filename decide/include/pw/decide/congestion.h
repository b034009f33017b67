/**
 * @file congestion.h
 * How much work one VM starts at a server that refuses some of it. It answers a load above what the
 * server can do, from many VMs that do not know of each other: without a bound each refused
 * statement comes back at once, often with a new connection, and the server spends its slots on
 * accepting connections whose statements it then refuses. That state lasts after the load has gone
 * back.
 *
 * The bound is a window of work under way. A refusal halves it, a served statement widens it. Below
 * one it is a pause between starts, because a fleet can have more VMs than the server has places.
 */
#ifndef PW_DECIDE_CONGESTION_H
#define PW_DECIDE_CONGESTION_H

#include <stdbool.h>
#include <stdint.h>

/** One statement, or one connection that is being opened for it. */
#define PW_CONGESTION_ONE UINT32_C(1000)

/** Smallest window: a VM goes on asking about once in 20 times the server's latency. */
#define PW_CONGESTION_MIN (PW_CONGESTION_ONE / 20)

/** A window of this size has recovered and is dropped: no VM has so much at one server. */
#define PW_CONGESTION_MAX (PW_CONGESTION_ONE * 16)

/** State for one server; all zero: not limited. */
struct pw_congestion {
	uint32_t window;        /**< in units of PW_CONGESTION_ONE; 0: not limited */
	uint64_t next_start_us; /**< below a window of one: no start before this time */
	uint64_t cut_us;        /**< last time that the window was halved */
};

/** @return whether another statement may be started with `running` under way */
bool pw_congestion_may_start(const struct pw_congestion *c, uint32_t running, uint64_t now_us);
/** A statement was started. `latency_us` is the usual time to an answer. */
void pw_congestion_started(struct pw_congestion *c, uint64_t latency_us, uint64_t now_us);
/** The server served a statement. */
void pw_congestion_served(struct pw_congestion *c);
/** The server refused a statement or a connection, of `running` with this one. */
void pw_congestion_refused(struct pw_congestion *c, uint32_t running, uint64_t latency_us,
			   uint64_t now_us);
/** @return time until which `waiting` statements have been started; 0 if not limited */
uint64_t pw_congestion_backlog_us(const struct pw_congestion *c, uint32_t waiting,
				  uint64_t latency_us);

#endif
