#ifndef SR_EMULATOR_HISTOGRAM_H
#define SR_EMULATOR_HISTOGRAM_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_emu_histogram_t - durations in logarithmic buckets, 16 to each power of
 * two, so that a quantile is at most 6.25% too high
 */

#define SR_EMU_HISTOGRAM_STEPS 16
#define SR_EMU_HISTOGRAM_BUCKETS (40 * SR_EMU_HISTOGRAM_STEPS)

typedef struct {
	guint32 buckets[SR_EMU_HISTOGRAM_BUCKETS];
	guint64 count;
	sr_usec_t max;
} sr_emu_histogram_t;

void sr_emu_histogram_add(sr_emu_histogram_t *histogram, sr_usec_t value);

/** sr_emu_histogram_quantile - upper bound of quantile q; 0 if empty. */
sr_usec_t sr_emu_histogram_quantile(const sr_emu_histogram_t *histogram,
				    double q);

#endif
