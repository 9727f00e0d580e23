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
 * a quarter of the upstream's slots and twice of them. Signals are averaged
 * on their own and the worst decides: a slow first token must show even if
 * the many gaps between tokens are short.
 */
typedef enum {
	SR_LIMIT_DURATION, /* of a whole answer */
	SR_LIMIT_FIRST_TOKEN,
	SR_LIMIT_TOKEN_GAP,
	SR_LIMIT_N_SIGNALS,
} sr_limit_signal_t;

typedef struct {
	double value;
	double min;
	double max;
	sr_usec_t window_start;
	double ratio_sum[SR_LIMIT_N_SIGNALS];
	unsigned n_samples[SR_LIMIT_N_SIGNALS];
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
				 sr_limit_signal_t signal, double ratio,
				 double in_use);

#endif
