#ifndef SR_CORE_RETRY_BUDGET_H
#define SR_CORE_RETRY_BUDGET_H

#include <glib.h>

/**
 * sr_retry_budget_t - limits retries to a fraction of the completed work, so
 * that an outage doesn't multiply the load
 *
 * It is a token bucket: over any period, there are at most max retries plus
 * earn times the units of work completed in it.
 */
typedef struct {
	double tokens; /* retries available */
	double earn;   /* tokens per unit of work */
	double max;
} sr_retry_budget_t;

/** sr_retry_budget_init - start with a full budget, with the parameters of the
 * dispatcher. */
void sr_retry_budget_init(sr_retry_budget_t *budget);

/** sr_retry_budget_bounds_t - what all hosts together may retry in a window:
 * ratio times the requests in it, and slack. */
typedef struct {
	double ratio; /* retries for each request */
	double slack; /* retries */
	unsigned n_hosts;
} sr_retry_budget_bounds_t;

/**
 * sr_retry_budget_init_part - start with the parameters of one host of n_hosts
 *
 * The parts of all hosts stay within the bounds, also while hosts restart
 * several times in a window: a host starts with little of its slack and earns
 * the rest.
 */
void sr_retry_budget_init_part(sr_retry_budget_t *budget,
			       const sr_retry_budget_bounds_t *bounds);

/** sr_retry_budget_part_max - max of one host's part of the bounds. */
double sr_retry_budget_part_max(const sr_retry_budget_bounds_t *bounds);

/** sr_retry_budget_set_max - change max; excess tokens are discarded. */
void sr_retry_budget_set_max(sr_retry_budget_t *budget, double max);

/** sr_retry_budget_earn - one unit of work was completed. */
void sr_retry_budget_earn(sr_retry_budget_t *budget);

/** sr_retry_budget_take - take cost tokens, 1 for a full retry; returns FALSE
 * and takes none if there are fewer. */
gboolean sr_retry_budget_take(sr_retry_budget_t *budget, double cost);

#endif
