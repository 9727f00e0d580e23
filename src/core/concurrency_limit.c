#include "core/concurrency_limit.h"

#include <math.h>

/** The limit is adapted once a window has both this length and this number of
 * samples. */
#define WINDOW_LENGTH (500 * SR_MSEC)
#define MIN_WINDOW_SAMPLES 4

/** A window shrinks the limit to no less than this fraction of it. */
#define MIN_SHRINK_FACTOR 0.8

/** The limit grows only if more than this fraction of it was in use. */
#define BUSY_RATIO 0.75

/** Bound on the ratio of a single sample, against outliers. */
#define MAX_RATIO 4.0

void sr_concurrency_limit_init(sr_concurrency_limit_t *limit, unsigned slots)
{
	*limit = (sr_concurrency_limit_t){
		.value = MAX(slots, 1),
		.min = MAX(slots / 4.0, 1),
		.max = 2.0 * MAX(slots, 1),
	};
}

static double worst_ratio(const sr_concurrency_limit_t *limit)
{
	double worst = 0;

	for (int i = 0; i < SR_LIMIT_N_SIGNALS; i++) {
		if (limit->n_samples[i] > 0)
			worst = fmax(worst,
				     limit->ratio_sum[i] / limit->n_samples[i]);
	}
	return worst;
}

static void adapt_limit(sr_concurrency_limit_t *limit)
{
	double ratio = worst_ratio(limit);

	if (ratio > 1)
		limit->value *= fmax(MIN_SHRINK_FACTOR, 1 / ratio);
	else if (limit->peak_in_use > BUSY_RATIO * limit->value)
		limit->value += sqrt(limit->value) * (1 - ratio);
	limit->value = CLAMP(limit->value, limit->min, limit->max);
}

static unsigned count_samples(const sr_concurrency_limit_t *limit)
{
	unsigned n = 0;

	for (int i = 0; i < SR_LIMIT_N_SIGNALS; i++)
		n += limit->n_samples[i];
	return n;
}

static void start_window(sr_concurrency_limit_t *limit, sr_usec_t now)
{
	for (int i = 0; i < SR_LIMIT_N_SIGNALS; i++) {
		limit->ratio_sum[i] = 0;
		limit->n_samples[i] = 0;
	}
	limit->window_start = now;
	limit->peak_in_use = 0;
}

void sr_concurrency_limit_sample(sr_concurrency_limit_t *limit, sr_usec_t now,
				 sr_limit_signal_t signal, double ratio,
				 double in_use)
{
	if (count_samples(limit) == 0)
		start_window(limit, now);
	limit->ratio_sum[signal] += fmin(ratio, MAX_RATIO);
	limit->n_samples[signal]++;
	limit->peak_in_use = fmax(limit->peak_in_use, in_use);
	if (now - limit->window_start < WINDOW_LENGTH ||
	    count_samples(limit) < MIN_WINDOW_SAMPLES)
		return;
	adapt_limit(limit);
	start_window(limit, now);
}
