#include "core/concurrency_limit.h"

#include <math.h>

/** Observations are averaged over at least this time and number. */
#define WINDOW (500 * SR_MSEC)
#define WINDOW_SAMPLES 4

/** A window shrinks the limit to this part of it at most. */
#define SHRINK_MAX 0.8

/** The limit counts as in use from this part of it. */
#define IN_USE 0.75

/** One observation counts at most this much. */
#define RATIO_MAX 4.0

void sr_concurrency_limit_init(sr_concurrency_limit_t *limit, unsigned slots)
{
	*limit = (sr_concurrency_limit_t){
		.value = MAX(slots, 1),
		.min = MAX(slots / 4.0, 1),
		.max = 2.0 * MAX(slots, 1),
	};
}

static void adapt(sr_concurrency_limit_t *limit)
{
	double ratio = limit->ratio_sum / limit->n_samples;

	if (ratio > 1)
		limit->value *= fmax(SHRINK_MAX, 1 / ratio);
	else if (limit->peak_in_use > IN_USE * limit->value)
		limit->value += sqrt(limit->value) * (1 - ratio);
	limit->value = CLAMP(limit->value, limit->min, limit->max);
}

void sr_concurrency_limit_sample(sr_concurrency_limit_t *limit, sr_usec_t now,
				 double ratio, double in_use)
{
	if (limit->n_samples == 0)
		limit->window_start = now;
	limit->ratio_sum += fmin(ratio, RATIO_MAX);
	limit->n_samples++;
	limit->peak_in_use = fmax(limit->peak_in_use, in_use);
	if (now - limit->window_start < WINDOW ||
	    limit->n_samples < WINDOW_SAMPLES)
		return;
	adapt(limit);
	limit->ratio_sum = 0;
	limit->n_samples = 0;
	limit->peak_in_use = 0;
}
