#ifndef SR_CORE_CONCURRENCY_LIMIT_H
#define SR_CORE_CONCURRENCY_LIMIT_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_concurrency_limit_t - how many requests an upstream should run at once
 *
 * The limit follows the gradient between tolerated and observed latency: it
 * shrinks in proportion while requests take longer than tolerated, and grows
 * by steps while they don't and the limit is in use. It stays within
 * a quarter of the upstream's slots and twice of them.
 */
typedef struct {
	double value;
	double min;
	double max;
	sr_usec_t window_start;
	double ratio_sum;
	unsigned n_samples;
	double peak_in_use; /* of the window */
} sr_concurrency_limit_t;

/** sr_concurrency_limit_init - begin at the number of slots. */
void sr_concurrency_limit_init(sr_concurrency_limit_t *limit, unsigned slots);

/**
 * sr_concurrency_limit_sample - take in one observation
 *
 * ratio is observed over tolerated latency, in_use is how many requests the
 * upstream is estimated to run.
 */
void sr_concurrency_limit_sample(sr_concurrency_limit_t *limit, sr_usec_t now,
				 double ratio, double in_use);

#endif
