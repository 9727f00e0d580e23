#include "core/retry_budget.h"

/** Retries earned per successful request. */
#define TOKENS_PER_SUCCESS 0.1

/** Retries that can accumulate; also the initial number. */
#define MAX_TOKENS 20.0

void sr_retry_budget_init(sr_retry_budget_t *budget)
{
	sr_retry_budget_init_with(budget, TOKENS_PER_SUCCESS, MAX_TOKENS);
}

void sr_retry_budget_init_with(sr_retry_budget_t *budget, double earn,
			       double max)
{
	budget->earn = earn;
	budget->max = max;
	budget->tokens = max;
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
