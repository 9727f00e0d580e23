#include "histogram.h"

#include <math.h>

/* Values below STEPS have a bucket each; above, the highest bit chooses the
 * power of two and the next four bits the step in it. */
static guint bucket_of(sr_usec_t value)
{
	guint64 bits = (guint64)MAX(value, 0);
	guint power;
	guint bucket;

	if (bits < SR_EMU_HISTOGRAM_STEPS)
		return (guint)bits;
	power = 63 - (guint)__builtin_clzll(bits) - 4;
	bucket = power * SR_EMU_HISTOGRAM_STEPS + (guint)(bits >> power);
	return MIN(bucket, SR_EMU_HISTOGRAM_BUCKETS - 1);
}

static sr_usec_t upper_bound(guint bucket)
{
	guint power;
	guint step;

	if (bucket < 2 * SR_EMU_HISTOGRAM_STEPS)
		return bucket;
	power = bucket / SR_EMU_HISTOGRAM_STEPS - 1;
	step = bucket % SR_EMU_HISTOGRAM_STEPS + SR_EMU_HISTOGRAM_STEPS;
	return (((sr_usec_t)step + 1) << power) - 1;
}

void sr_emu_histogram_add(sr_emu_histogram_t *histogram, sr_usec_t value)
{
	histogram->buckets[bucket_of(value)]++;
	histogram->count++;
	histogram->max = MAX(histogram->max, value);
}

sr_usec_t sr_emu_histogram_quantile(const sr_emu_histogram_t *histogram,
				    double q)
{
	guint64 rank = (guint64)ceil(q * (double)histogram->count);
	guint64 seen = 0;

	for (guint i = 0; i < SR_EMU_HISTOGRAM_BUCKETS; i++) {
		seen += histogram->buckets[i];
		if (seen >= MAX(rank, 1))
			return MIN(upper_bound(i), histogram->max);
	}
	return 0;
}
