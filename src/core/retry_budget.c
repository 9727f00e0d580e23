#include "core/retry_budget.h"

/** Retries earned per successful request. */
#define TOKENS_PER_SUCCESS 0.1

/** Retries that can accumulate; also the initial number. */
#define MAX_TOKENS 20.0

/** Fraction of the bounds that the parts of all hosts add up to. Each host
 * counts its own retries only, so the rest is a margin for their sum. */
#define USED_FRACTION 0.7

/** Fraction of its max that a host has at its start. Hosts that restart several
 * times within a window have it each time; with a full budget nine hosts, of
 * which one was killed every 0.4 s, sent 1.3 times the retries allowed. */
#define INITIAL_FRACTION 0.15

/** Least number of retries at the start: the first request of a host may meet
 * an instance that turns it away. */
#define INITIAL_MIN 1.0

void sr_retry_budget_init(sr_retry_budget_t *budget)
{
	budget->earn = TOKENS_PER_SUCCESS;
	budget->max = MAX_TOKENS;
	budget->tokens = MAX_TOKENS;
}

double sr_retry_budget_part_max(const sr_retry_budget_bounds_t *bounds)
{
	return USED_FRACTION * bounds->slack / MAX(bounds->n_hosts, 1);
}

void sr_retry_budget_init_part(sr_retry_budget_t *budget,
			       const sr_retry_budget_bounds_t *bounds)
{
	budget->earn = USED_FRACTION * bounds->ratio;
	budget->max = sr_retry_budget_part_max(bounds);
	budget->tokens = MIN(MAX(INITIAL_FRACTION * budget->max, INITIAL_MIN),
			     budget->max);
}

void sr_retry_budget_set_max(sr_retry_budget_t *budget, double max)
{
	budget->max = max;
	budget->tokens = MIN(budget->tokens, max);
}

void sr_retry_budget_earn(sr_retry_budget_t *budget)
{
	budget->tokens = MIN(budget->tokens + budget->earn, budget->max);
}

gboolean sr_retry_budget_take(sr_retry_budget_t *budget, double cost)
{
	if (budget->tokens < cost)
		return FALSE;
	budget->tokens -= cost;
	return TRUE;
}
