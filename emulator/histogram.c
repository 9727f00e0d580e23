#include "histogram.h"

#include <math.h>

/*
 * A value below SR_EMU_HISTOGRAM_SUBBUCKETS has a bucket of its own. Above, the
 * highest bit selects the power of two and the next four bits the subbucket.
 */
static guint bucket_index(sr_usec_t value)
{
	guint64 bits = (guint64)MAX(value, 0);
	guint power;
	guint bucket;

	if (bits < SR_EMU_HISTOGRAM_SUBBUCKETS)
		return (guint)bits;
	power = 63 - (guint)__builtin_clzll(bits) - 4;
	bucket = power * SR_EMU_HISTOGRAM_SUBBUCKETS + (guint)(bits >> power);
	return MIN(bucket, SR_EMU_HISTOGRAM_BUCKETS - 1);
}

static sr_usec_t bucket_upper_bound(guint bucket)
{
	guint power;
	guint subbucket;

	if (bucket < 2 * SR_EMU_HISTOGRAM_SUBBUCKETS)
		return bucket;
	power = bucket / SR_EMU_HISTOGRAM_SUBBUCKETS - 1;
	subbucket = bucket % SR_EMU_HISTOGRAM_SUBBUCKETS +
		    SR_EMU_HISTOGRAM_SUBBUCKETS;
	return (((sr_usec_t)subbucket + 1) << power) - 1;
}

void sr_emu_histogram_add(sr_emu_histogram_t *histogram, sr_usec_t value)
{
	histogram->buckets[bucket_index(value)]++;
	histogram->count++;
	histogram->max = MAX(histogram->max, value);
}

sr_usec_t sr_emu_histogram_quantile(const sr_emu_histogram_t *histogram,
				    double q)
{
	guint64 rank = (guint64)ceil(q * (double)histogram->count);
	guint64 cumulative = 0;

	for (guint i = 0; i < SR_EMU_HISTOGRAM_BUCKETS; i++) {
		cumulative += histogram->buckets[i];
		if (cumulative >= MAX(rank, 1))
			return MIN(bucket_upper_bound(i), histogram->max);
	}
	return 0;
}
