/**
 * @file memory_limit.h
 * Memory and descriptors that the process may use, read when its tasks start.
 */
#ifndef PW_DAEMON_MEMORY_LIMIT_H
#define PW_DAEMON_MEMORY_LIMIT_H

#include "directory.h"
#include "pw/decide/memory.h"

/**
 * Sets the budget of one of the tasks that serve callers, from the setting `--memory-limit` or, if
 * that is 0, the memory of the machine.
 */
void pw_memory_limit_init(struct pw_memory_budget *b, const struct pw_process_settings *s,
			  uint32_t task_count);

/** @return limit on the descriptors of the process */
uint64_t pw_descriptor_limit(void);

/** Gives free memory of the allocator back to the system if the budget's use has fallen. */
void pw_memory_limit_trim(struct pw_memory_budget *b);

#endif
