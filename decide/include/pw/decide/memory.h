/**
 * @file memory.h
 * Memory that the callers of one task may take. It answers crowds of callers that send large
 * messages, stop within them, send ahead without reading the answers, or keep much state in their
 * sessions: the process stays within the memory of its machine, and the callers that take most are
 * refused or closed.
 */
#ifndef PW_DECIDE_MEMORY_H
#define PW_DECIDE_MEMORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A holder below this size is closed only if no larger one is left. */
#define PW_MEMORY_SMALL_BYTES UINT32_C(16384)
/** A session with less output than this that waits for the caller may handle its next message. */
#define PW_MEMORY_OUTPUT_PAUSE_BYTES UINT32_C(65536)
/** A session is closed if its caller has taken none of its waiting output for this long. */
#define PW_MEMORY_OUTPUT_TIMEOUT_US UINT64_C(30000000)
/** A holder without progress for this long is closed before others. */
#define PW_MEMORY_STALL_US UINT64_C(1000000)

enum pw_memory_class {
	PW_MEMORY_INPUT,  /**< messages of callers, from their first byte until they are answered */
	PW_MEMORY_OUTPUT, /**< answers, until the callers have taken them */
	PW_MEMORY_STATE,  /**< variables and prepared statements of sessions */
	PW_MEMORY_CLASS_COUNT
};

/** Budget of one task. */
struct pw_memory_budget {
	uint64_t total_limit_bytes;
	uint64_t limit_bytes[PW_MEMORY_CLASS_COUNT];
	uint64_t used_bytes[PW_MEMORY_CLASS_COUNT];
	uint64_t peak_bytes; /**< largest use since memory was last given back to the system */
};

/** What one session holds. */
struct pw_memory_holder {
	void *owner;
	uint64_t bytes[PW_MEMORY_CLASS_COUNT];
	uint64_t idle_us;  /**< time since it last made progress */
	bool is_in_flight; /**< its statement runs at a server */
};

/**
 * Sets the limits. The budgets of all tasks take two fifths of the memory; the rest is for the
 * program, its control state, copies of messages and fragmentation.
 *
 * @param memory_bytes memory that the process may use
 * @param task_count   tasks that share it
 */
void pw_memory_budget_init(struct pw_memory_budget *b, uint64_t memory_bytes, uint32_t task_count);

uint64_t pw_memory_used_bytes(const struct pw_memory_budget *b);

/** @return whether a class or all of them together are over their limit */
bool pw_memory_is_over(const struct pw_memory_budget *b);

/**
 * Decides whether a session may handle its next message: while less output of it waits for the
 * caller than half of what the budget has left. A single caller that reads slowly may have a third
 * of the limit, and many share it.
 */
bool pw_memory_may_handle(const struct pw_memory_budget *b, uint64_t output_bytes);

/**
 * Decides whether a session may keep more state. One session may have half of the class's limit.
 * When the limit is used up, a session may still have PW_MEMORY_SMALL_BYTES; the largest holder is
 * closed for it.
 *
 * @param held_bytes  what the session keeps
 * @param added_bytes what it wants to keep in addition
 */
bool pw_memory_may_keep(const struct pw_memory_budget *b, uint64_t held_bytes,
			uint64_t added_bytes);

/** @return whether a session has to be closed since its caller does not take its output */
bool pw_memory_has_stalled_output(uint64_t output_bytes, uint64_t idle_us);

/**
 * Chooses the sessions to close so that every class that is over its limit falls to seven eighths
 * of it. Among those that hold memory of such a class, in this order: larger than
 * PW_MEMORY_SMALL_BYTES and not in flight, larger and in flight, small and not in flight, small and
 * in flight; within each, those without progress for PW_MEMORY_STALL_US first, then the largest.
 *
 * @param holders array of struct pw_memory_holder; sorted, so that the chosen ones come first
 * @return number of holders to close
 */
uint32_t pw_memory_choose(const struct pw_memory_budget *b, GArray *holders);

/** Decides whether free memory is worth giving back: most of the peak is no longer used. */
bool pw_memory_should_trim(struct pw_memory_budget *b);

#endif
