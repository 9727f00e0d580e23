#ifndef SR_BENCH_HISTOGRAM_H
#define SR_BENCH_HISTOGRAM_H

#include <glib.h>

#include "base/clock.h"

#define HISTOGRAM_N_BUCKETS 20000 /* of 1 ms */

/**
 * histogram_t - counts of durations in buckets of one millisecond
 *
 * Shorter or longer durations count in the first or the last bucket.
 */
typedef struct {
	guint64 count;
	guint32 buckets[HISTOGRAM_N_BUCKETS];
} histogram_t;

static inline void histogram_add(histogram_t *histogram, sr_usec_t value)
{
	gint64 index = CLAMP(value / SR_MSEC, 0, HISTOGRAM_N_BUCKETS - 1);

	histogram->buckets[index]++;
	histogram->count++;
}

/**
 * histogram_quantile - quantile of the durations, 0 to 1, in milliseconds
 *
 * Returns the upper bound of the bucket, 1 if the histogram is empty.
 */
static inline double histogram_quantile(const histogram_t *histogram,
					double quantile)
{
	double rank = quantile * (double)histogram->count;
	double cumulative = 0;

	for (int i = 0; i < HISTOGRAM_N_BUCKETS; i++) {
		cumulative += histogram->buckets[i];
		if (cumulative >= rank)
			return i + 1;
	}
	return HISTOGRAM_N_BUCKETS;
}

#endif
