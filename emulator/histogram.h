#ifndef SR_EMULATOR_HISTOGRAM_H
#define SR_EMULATOR_HISTOGRAM_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_emu_histogram_t - histogram of durations with logarithmic buckets
 *
 * Each power of two has 16 subbuckets, so that a quantile is at most 6.25% too
 * high. Values from 2^43 us on share the last bucket.
 */

#define SR_EMU_HISTOGRAM_SUBBUCKETS 16
#define SR_EMU_HISTOGRAM_BUCKETS (40 * SR_EMU_HISTOGRAM_SUBBUCKETS)

typedef struct {
	guint32 buckets[SR_EMU_HISTOGRAM_BUCKETS];
	guint64 count;
	sr_usec_t max;
} sr_emu_histogram_t;

void sr_emu_histogram_add(sr_emu_histogram_t *histogram, sr_usec_t value);

/**
 * sr_emu_histogram_quantile - upper bound of the quantile q, from 0 to 1
 *
 * Returns 0 if the histogram is empty.
 */
sr_usec_t sr_emu_histogram_quantile(const sr_emu_histogram_t *histogram,
				    double q);

#endif
