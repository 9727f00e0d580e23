#ifndef SR_CORE_CONCURRENCY_LIMIT_H
#define SR_CORE_CONCURRENCY_LIMIT_H

#include <glib.h>

#include "base/clock.h"

/** sr_limit_signal_t - kinds of observed latency. */
typedef enum {
	SR_LIMIT_DURATION, /* of a whole answer */
	SR_LIMIT_FIRST_TOKEN,
	SR_LIMIT_TOKEN_GAP,
	SR_LIMIT_N_SIGNALS,
} sr_limit_signal_t;

/**
 * sr_concurrency_limit_t - adaptive limit on an upstream's concurrent requests
 *
 * After each window the limit is adapted to the ratio of observed to tolerated
 * latency. If the ratio is above 1, the limit shrinks in proportion, within a
 * bound. Otherwise it grows, provided that most of it was in use. It stays
 * between a quarter of the upstream's slots and twice their number.
 *
 * The signals are averaged separately and the worst one is used, so that slow
 * first tokens count even among many short gaps between tokens.
 */
typedef struct {
	double value;
	double min;
	double max;
	sr_usec_t window_start;
	double ratio_sum[SR_LIMIT_N_SIGNALS];
	unsigned n_samples[SR_LIMIT_N_SIGNALS];
	double peak_in_use; /* within the window */
} sr_concurrency_limit_t;

/** sr_concurrency_limit_init - start at the number of slots. */
void sr_concurrency_limit_init(sr_concurrency_limit_t *limit, unsigned slots);

/**
 * sr_concurrency_limit_sample - add an observation
 *
 * ratio is observed over tolerated latency, in_use the estimated number of
 * requests that the upstream runs.
 */
void sr_concurrency_limit_sample(sr_concurrency_limit_t *limit, sr_usec_t now,
				 sr_limit_signal_t signal, double ratio,
				 double in_use);

#endif
