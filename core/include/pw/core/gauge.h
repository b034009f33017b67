/**
 * @file gauge.h
 * Values of the process that rise and fall. Any thread may read and change them.
 */
#ifndef PW_CORE_GAUGE_H
#define PW_CORE_GAUGE_H

#include <stdint.h>

/** The gauges: identifier, exported name, help text. docs/OPERATIONS.md describes them. */
#define PW_GAUGES(X)                                                                             \
	X(MEMORY_INPUT, "memory_input_bytes", "bytes of callers' messages not yet answered")     \
	X(MEMORY_OUTPUT, "memory_output_bytes", "bytes of answers that callers have not taken")  \
	X(MEMORY_STATE, "memory_state_bytes", "bytes of sessions' variables and prepared texts") \
	X(MEMORY_BUDGET, "memory_budget_bytes", "bytes that these three may take together")

enum pw_gauge {
#define PW_GAUGE_ENUM(id, name, help) PW_GAUGE_##id,
	PW_GAUGES(PW_GAUGE_ENUM)
#undef PW_GAUGE_ENUM
		PW_GAUGE_COUNT
};

struct pw_gauge_info {
	const char *name;
	const char *help;
};

const struct pw_gauge_info *pw_gauge_info(enum pw_gauge g);

/** Adds a difference, which may be negative. */
void pw_gauge_add(enum pw_gauge g, int64_t difference);
uint64_t pw_gauge_get(enum pw_gauge g);

#endif
