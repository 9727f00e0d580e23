#ifndef SR_CORE_RETRY_BUDGET_H
#define SR_CORE_RETRY_BUDGET_H

#include <glib.h>

/**
 * sr_retry_budget_t - bounds the retries of a service to a part of its
 * successes, so that an outage doesn't multiply the load
 */
typedef struct {
	double tokens;
} sr_retry_budget_t;

void sr_retry_budget_init(sr_retry_budget_t *budget);
void sr_retry_budget_succeeded(sr_retry_budget_t *budget);

/** sr_retry_budget_take - cost is 1 for a whole retry; returns FALSE if
 * the budget is used up. */
gboolean sr_retry_budget_take(sr_retry_budget_t *budget, double cost);

#endif
