#ifndef SR_CORE_RETRY_BUDGET_H
#define SR_CORE_RETRY_BUDGET_H

#include <glib.h>

/**
 * sr_retry_budget_t - bounds the retries of a service to a part of its
 * work, so that an outage doesn't multiply the load
 *
 * Over any period, retries number at most max + earn x the work done in it.
 */
typedef struct {
	double tokens;
	double earn;
	double max;
} sr_retry_budget_t;

/** sr_retry_budget_init - with the figures of the dispatcher. */
void sr_retry_budget_init(sr_retry_budget_t *budget);

/** sr_retry_budget_init_with - earn a part of a retry for each piece of
 * work, save up to max, and start with that. */
void sr_retry_budget_init_with(sr_retry_budget_t *budget, double earn,
			       double max);

/** sr_retry_budget_set_max - lower or raise what may be saved. */
void sr_retry_budget_set_max(sr_retry_budget_t *budget, double max);

/** sr_retry_budget_earn - one piece of work was done. */
void sr_retry_budget_earn(sr_retry_budget_t *budget);

/** sr_retry_budget_take - cost is 1 for a whole retry; returns FALSE if
 * the budget is used up. */
gboolean sr_retry_budget_take(sr_retry_budget_t *budget, double cost);

#endif
