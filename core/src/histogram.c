#include "pw/core/histogram.h"

#include <gsl/gsl_errno.h>
#include <gsl/gsl_histogram.h>
#include <pthread.h>

/* Upper bounds of the buckets in seconds; from a round trip in a zone to a long outage. */
static const double bounds_s[] = { 0,   0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
				   0.1, 0.2,   0.5,   1,     2,    5,    60 };

#define BUCKETS (G_N_ELEMENTS(bounds_s) - 1)

static const struct pw_histogram_info infos[PW_HISTOGRAM_COUNT] = {
#define PW_HISTOGRAM_INFO(id, text, description) \
	[PW_HISTOGRAM_##id] = { .name = (text), .help = (description) },
	PW_HISTOGRAMS(PW_HISTOGRAM_INFO)
#undef PW_HISTOGRAM_INFO
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static gsl_histogram *histograms[PW_HISTOGRAM_COUNT];
static double sums_s[PW_HISTOGRAM_COUNT];
static uint64_t above[PW_HISTOGRAM_COUNT]; /**< values above the last bound */

const struct pw_histogram_info *pw_histogram_info(enum pw_histogram h)
{
	return &infos[h];
}

/* With the lock held. */
static gsl_histogram *get(enum pw_histogram h)
{
	if (!histograms[h]) {
		histograms[h] = gsl_histogram_alloc(BUCKETS);
		gsl_histogram_set_ranges(histograms[h], bounds_s, BUCKETS + 1);
	}
	return histograms[h];
}

void pw_histogram_add(enum pw_histogram h, uint64_t value_us)
{
	double value_s = (double)value_us / 1e6;

	pthread_mutex_lock(&lock);
	sums_s[h] += value_s;
	if (gsl_histogram_increment(get(h), value_s) == GSL_EDOM)
		above[h]++;
	pthread_mutex_unlock(&lock);
}

static void write_one(GString *out, enum pw_histogram h)
{
	const char *name = infos[h].name;
	double count = 0;

	g_string_append_printf(out, "# HELP pimentowing_%s %s\n# TYPE pimentowing_%s histogram\n",
			       name, infos[h].help, name);
	for (size_t i = 0; i < BUCKETS; i++) {
		count += gsl_histogram_get(get(h), i);
		g_string_append_printf(out, "pimentowing_%s_bucket{le=\"%g\"} %.0f\n", name,
				       bounds_s[i + 1], count);
	}
	count += (double)above[h];
	g_string_append_printf(out,
			       "pimentowing_%s_bucket{le=\"+Inf\"} %.0f\npimentowing_%s_sum "
			       "%.6f\npimentowing_%s_count %.0f\n",
			       name, count, name, sums_s[h], name, count);
}

void pw_histogram_write(GString *out)
{
	pthread_mutex_lock(&lock);
	for (int h = 0; h < PW_HISTOGRAM_COUNT; h++)
		write_one(out, h);
	pthread_mutex_unlock(&lock);
}
