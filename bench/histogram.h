#ifndef SR_BENCH_HISTOGRAM_H
#define SR_BENCH_HISTOGRAM_H

#include <glib.h>

#include "base/clock.h"

#define HISTOGRAM_N_BUCKETS 20000

/** histogram_t - durations in buckets of a millisecond; the last is open. */
typedef struct {
	guint64 count;
	guint32 buckets[HISTOGRAM_N_BUCKETS];
} histogram_t;

static inline void histogram_add(histogram_t *histogram, sr_usec_t value)
{
	gint64 at = CLAMP(value / SR_MSEC, 0, HISTOGRAM_N_BUCKETS - 1);

	histogram->buckets[at]++;
	histogram->count++;
}

/** histogram_quantile - upper end of the bucket, in milliseconds. */
static inline double histogram_quantile(const histogram_t *histogram,
					double quantile)
{
	double wanted = quantile * (double)histogram->count;
	double seen = 0;

	for (int i = 0; i < HISTOGRAM_N_BUCKETS; i++) {
		seen += histogram->buckets[i];
		if (seen >= wanted)
			return i + 1;
	}
	return HISTOGRAM_N_BUCKETS;
}

#endif
