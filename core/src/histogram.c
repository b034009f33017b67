#include "pw/core/histogram.h"

#include <gsl/gsl_errno.h>
#include <gsl/gsl_histogram.h>
#include <pthread.h>

/* Bounds of the buckets, from a round trip inside an availability zone to a long outage. */
static const double bucket_bounds_s[] = { 0,   0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
					  0.1, 0.2,   0.5,   1,     2,    5,    60 };

#define BUCKET_COUNT (G_N_ELEMENTS(bucket_bounds_s) - 1)

static const struct pw_histogram_info histogram_infos[PW_HISTOGRAM_COUNT] = {
#define PW_HISTOGRAM_INFO(id, exported_name, help_text) \
	[PW_HISTOGRAM_##id] = { .name = (exported_name), .help = (help_text) },
	PW_HISTOGRAMS(PW_HISTOGRAM_INFO)
#undef PW_HISTOGRAM_INFO
};

/* Guards the histograms with their sums and overflow counts. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static gsl_histogram *histograms[PW_HISTOGRAM_COUNT];
static double sums_s[PW_HISTOGRAM_COUNT];
static uint64_t overflow_counts[PW_HISTOGRAM_COUNT]; /**< values at or above the last bound */

const struct pw_histogram_info *pw_histogram_info(enum pw_histogram h)
{
	return &histogram_infos[h];
}

/* Returns the histogram, which is created at its first use. The caller holds the lock. */
static gsl_histogram *get_or_create(enum pw_histogram h)
{
	if (!histograms[h]) {
		histograms[h] = gsl_histogram_alloc(BUCKET_COUNT);
		gsl_histogram_set_ranges(histograms[h], bucket_bounds_s, BUCKET_COUNT + 1);
	}
	return histograms[h];
}

void pw_histogram_add(enum pw_histogram h, uint64_t value_us)
{
	double value_s = (double)value_us / 1e6;

	pthread_mutex_lock(&lock);
	sums_s[h] += value_s;
	if (gsl_histogram_increment(get_or_create(h), value_s) == GSL_EDOM)
		overflow_counts[h]++;
	pthread_mutex_unlock(&lock);
}

static void append_histogram(GString *out, enum pw_histogram h)
{
	const char *name = histogram_infos[h].name;
	double count = 0;

	g_string_append_printf(out, "# HELP pimentowing_%s %s\n# TYPE pimentowing_%s histogram\n",
			       name, histogram_infos[h].help, name);
	for (size_t i = 0; i < BUCKET_COUNT; i++) {
		count += gsl_histogram_get(get_or_create(h), i);
		g_string_append_printf(out, "pimentowing_%s_bucket{le=\"%g\"} %.0f\n", name,
				       bucket_bounds_s[i + 1], count);
	}
	count += (double)overflow_counts[h];
	g_string_append_printf(out,
			       "pimentowing_%s_bucket{le=\"+Inf\"} %.0f\npimentowing_%s_sum "
			       "%.6f\npimentowing_%s_count %.0f\n",
			       name, count, name, sums_s[h], name, count);
}

void pw_histogram_append_all(GString *out)
{
	pthread_mutex_lock(&lock);
	for (int h = 0; h < PW_HISTOGRAM_COUNT; h++)
		append_histogram(out, h);
	pthread_mutex_unlock(&lock);
}
