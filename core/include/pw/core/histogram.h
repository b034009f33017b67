/**
 * @file histogram.h
 * Histograms of durations in the process, based on the GNU Scientific Library. Any thread may add
 * values and read them.
 */
#ifndef PW_CORE_HISTOGRAM_H
#define PW_CORE_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/**
 * The histograms: identifier, exported name, help text. docs/events.md has the same list; a test
 * compares the two.
 */
#define PW_HISTOGRAMS(X)                                                                     \
	X(REQUEST, "request_seconds", "from a statement's arrival to its answer")            \
	X(REQUEST_WAIT, "request_wait_seconds", "from a statement's arrival to its sending") \
	X(SERVER, "server_seconds", "from a statement's sending to the server's answer")     \
	X(PRIMARY_CHANGE, "primary_change_seconds",                                          \
	  "from the mark of a change to the new primary")                                    \
	X(PRIMARY_CHANGE_SETTLE, "primary_change_settle_seconds",                            \
	  "from the mark of a change to the order: until nobody uses the former primary")    \
	X(CATALOG_AGE, "catalog_age_seconds", "age of the catalogue when it was read again")

enum pw_histogram {
#define PW_HISTOGRAM_ENUM(id, name, help) PW_HISTOGRAM_##id,
	PW_HISTOGRAMS(PW_HISTOGRAM_ENUM)
#undef PW_HISTOGRAM_ENUM
		PW_HISTOGRAM_COUNT
};

struct pw_histogram_info {
	const char *name; /**< without the prefix `pimentowing_` */
	const char *help; /**< help text of the metric */
};

const struct pw_histogram_info *pw_histogram_info(enum pw_histogram h);

/** Adds one value, in microseconds; the export gives seconds. */
void pw_histogram_add(enum pw_histogram h, uint64_t value_us);

/** Appends all histograms in the Prometheus text format. */
void pw_histogram_append_all(GString *out);

#endif
