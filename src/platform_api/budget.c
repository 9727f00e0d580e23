#include "platform_api/budget.h"

#include <math.h>

/* Share of the bucket that a class leaves to the classes before it. */
static const double reserve_share[SR_STORE_N_CLASSES] = {
	[SR_STORE_JOURNAL] = 0.0, [SR_STORE_RECALL] = 0.0,
	[SR_STORE_LEASE] = 0.05,  [SR_STORE_CONFIG] = 0.1,
	[SR_STORE_STATUS] = 0.3,
};

/* Share of the full rate with which the ramp after an outage begins. */
#define RAMP_FLOOR 0.1

static double current_rate(sr_budget_t *budget, sr_usec_t now)
{
	double grown;

	if (!budget->ramp_start)
		return budget->rate;
	grown = (double)(now - budget->ramp_start) / (double)SR_BUDGET_RAMP;
	if (grown >= 1.0) {
		budget->ramp_start = 0;
		return budget->rate;
	}
	return budget->rate * MAX(grown, RAMP_FLOOR);
}

static void refill(sr_budget_t *budget, sr_usec_t now)
{
	double rate = current_rate(budget, now);
	double seconds = (double)(now - budget->filled) / (double)SR_SEC;

	budget->tokens = MIN(budget->tokens + rate * seconds, budget->burst);
	budget->filled = now;
}

static sr_usec_t backoff(sr_budget_t *budget)
{
	unsigned doublings = MIN(budget->failures, 10);
	sr_usec_t most = SR_BUDGET_BACKOFF_MIN << doublings;

	most = MIN(most, budget->backoff_max);
	return 1 + (sr_usec_t)(g_rand_double(budget->random) * (double)most);
}

static void trip(sr_budget_t *budget, sr_usec_t now)
{
	budget->out = TRUE;
	budget->probing = FALSE;
	budget->probe_at = now + backoff(budget);
}

static sr_budget_verdict_t take_while_out(sr_budget_t *budget, sr_usec_t now,
					  gboolean waits, sr_usec_t *wait)
{
	if (!waits && !budget->probing && now >= budget->probe_at) {
		budget->probing = TRUE;
		return SR_BUDGET_GO;
	}
	*wait = MAX(budget->probe_at - now, SR_BUDGET_BACKOFF_MIN);
	return SR_BUDGET_REFUSE;
}

void sr_budget_init(sr_budget_t *budget, double rate, double burst,
		    guint64 seed, sr_usec_t now)
{
	guint32 words[2] = { (guint32)seed, (guint32)(seed >> 32) };

	g_assert(rate > 0 && burst >= 2);
	*budget =
		(sr_budget_t){ .rate = rate,
			       .burst = burst,
			       .tokens = burst,
			       .filled = now,
			       .backoff_max = SR_BUDGET_BACKOFF_MAX,
			       .random = g_rand_new_with_seed_array(words, 2) };
}

void sr_budget_set_backoff(sr_budget_t *budget, sr_usec_t max)
{
	budget->backoff_max = max;
}

void sr_budget_clear(sr_budget_t *budget)
{
	g_rand_free(budget->random);
}

sr_budget_verdict_t sr_budget_take(sr_budget_t *budget, sr_usec_t now,
				   sr_store_class_t class, gboolean waits,
				   sr_usec_t *wait)
{
	double need;

	if (budget->out)
		return take_while_out(budget, now, waits, wait);
	if (now < budget->hold_until) {
		*wait = budget->hold_until - now;
		return SR_BUDGET_WAIT;
	}
	refill(budget, now);
	need = 1.0 +
	       MIN(reserve_share[class] * budget->burst, budget->burst - 1.0);
	if (budget->tokens >= need) {
		budget->tokens -= 1.0;
		return SR_BUDGET_GO;
	}
	*wait = 1 + (sr_usec_t)ceil((need - budget->tokens) /
				    current_rate(budget, now) * (double)SR_SEC);
	return SR_BUDGET_WAIT;
}

void sr_budget_answered(sr_budget_t *budget, sr_usec_t now)
{
	budget->failures = 0;
	if (!budget->out)
		return;
	budget->out = FALSE;
	budget->probing = FALSE;
	budget->tokens = 0;
	budget->filled = now;
	budget->ramp_start = MAX(now, 1);
}

void sr_budget_failed(sr_budget_t *budget, sr_usec_t now)
{
	budget->failures++;
	if (budget->out ? budget->probing : budget->failures >= SR_BUDGET_TRIP)
		trip(budget, now);
}

void sr_budget_throttled(sr_budget_t *budget, sr_usec_t now,
			 sr_usec_t retry_after)
{
	sr_usec_t pause;

	budget->failures++;
	pause = retry_after + backoff(budget);
	budget->hold_until = MAX(budget->hold_until, now + pause);
	if (budget->out) {
		budget->probing = FALSE;
		budget->probe_at = now + pause;
	}
}

void sr_budget_abandoned(sr_budget_t *budget)
{
	budget->probing = FALSE;
}
