/**
 * @file loop.h
 * Event loop of one task, based on epoll: waits for file descriptors, among them the eventfd of the
 * task's mailbox, and for timers.
 */
#ifndef PW_CORE_LOOP_H
#define PW_CORE_LOOP_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/epoll.h>

#include "pw/core/msg.h"

struct pw_loop;
struct pw_source;
struct pw_timer;

struct pw_source_ops {
	/** Called with the EPOLL* events that occurred. It may remove and free the source. */
	void (*ready)(struct pw_source *s, uint32_t events);
};

/** A file descriptor watched by a loop; embedded in the struct that owns the descriptor. */
struct pw_source {
	const struct pw_source_ops *ops;
	int32_t fd;
	uint32_t events; /**< EPOLL* events watched for; 0 while not in the loop */
};

struct pw_timer_ops {
	/** Called once when the timer expires. It may set the timer again or free its owner. */
	void (*expire)(struct pw_timer *t, uint64_t now_us);
};

/** A timer of a loop; embedded in the struct that it belongs to. */
struct pw_timer {
	const struct pw_timer_ops *ops;
	uint64_t due_us; /**< time of expiry, by pw_clock_now_us() */
	void *node;      /**< entry in the loop's sorted timers; NULL while not set */
};

/** @return 0, or PW_ESYSTEM */
int pw_loop_new(struct pw_loop **out);
void pw_loop_free(struct pw_loop *l);

/**
 * Adds a source, or changes the events that it is watched for.
 *
 * @param events EPOLLIN, EPOLLOUT or both; 0 reports errors and hang-ups only
 * @return 0, or PW_ESYSTEM
 */
int pw_loop_watch(struct pw_loop *l, struct pw_source *s, uint32_t events);

/** Removes a source and discards its undelivered events. The file descriptor stays open. */
void pw_loop_unwatch(struct pw_loop *l, struct pw_source *s);

/**
 * Sets a timer; one that is set already gets the new time.
 *
 * @param due_us time of expiry, by pw_clock_now_us(); a timer that is due already expires without a
 *               wait, but not inside this call
 */
void pw_loop_timer_set(struct pw_loop *l, struct pw_timer *t, uint64_t due_us);
/** Clears a timer. No effect if it is not set. */
void pw_loop_timer_clear(struct pw_loop *l, struct pw_timer *t);

/** @return monotonic time of the current iteration, read when epoll returned */
uint64_t pw_loop_now_us(const struct pw_loop *l);

/**
 * Reads the clock again. Call it after long work in a handler, before a lease or a quota is used.
 *
 * @return the new time
 */
uint64_t pw_loop_update_now_us(struct pw_loop *l);

/** Runs until pw_loop_stop(). A stopped loop cannot run again. */
void pw_loop_run(struct pw_loop *l);
void pw_loop_stop(struct pw_loop *l);

#endif
