#include "platform_api/budget.h"

#include <math.h>

/* Fraction of the bucket that is reserved for more urgent classes. */
static const double reserve_fraction[SR_STORE_N_CLASSES] = {
	[SR_STORE_JOURNAL] = 0.0, [SR_STORE_RECALL] = 0.0,
	[SR_STORE_LEASE] = 0.05,  [SR_STORE_CONFIG] = 0.1,
	[SR_STORE_STATUS] = 0.3,
};

/* Fraction of the full rate at the start of the ramp after an outage. */
#define RAMP_MIN_FRACTION 0.1

/* Limits the shift of a backoff, which could otherwise overflow. */
#define MAX_DOUBLINGS 10

/* Fraction of the full rate; 1 outside a ramp. */
static double ramp_fraction(sr_budget_t *budget, sr_usec_t now)
{
	double progress;

	if (!budget->ramp_start)
		return 1.0;
	progress = (double)(now - budget->ramp_start) /
		   (double)SR_BUDGET_RAMP_DURATION;
	if (progress >= 1.0) {
		budget->ramp_start = 0;
		return 1.0;
	}
	return MAX(progress, RAMP_MIN_FRACTION);
}

static double current_rate(sr_budget_t *budget, sr_usec_t now)
{
	return budget->rate * ramp_fraction(budget, now);
}

/* Tokens that a call of the class leaves in the bucket. In a ramp the reserve
 * grows with the rate, which would take seconds to fill it. */
static double reserve(sr_budget_t *budget, sr_usec_t now,
		      sr_store_class_t class)
{
	return MIN(reserve_fraction[class] * budget->burst *
			   ramp_fraction(budget, now),
		   budget->burst - 1.0);
}

static void refill(sr_budget_t *budget, sr_usec_t now)
{
	double rate = current_rate(budget, now);
	double seconds = (double)(now - budget->refilled_at) / (double)SR_SEC;

	budget->tokens = MIN(budget->tokens + rate * seconds, budget->burst);
	budget->refilled_at = now;
}

static sr_usec_t random_backoff(sr_budget_t *budget)
{
	unsigned doublings = MIN(budget->failures, MAX_DOUBLINGS);
	sr_usec_t max_delay = SR_BUDGET_BACKOFF_MIN << doublings;

	max_delay = MIN(max_delay, budget->backoff_max);
	return 1 +
	       (sr_usec_t)(g_rand_double(budget->random) * (double)max_delay);
}

/* Marks the platform as unavailable until a probe is answered. */
static void trip(sr_budget_t *budget, sr_usec_t now)
{
	budget->unavailable = TRUE;
	budget->probing = FALSE;
	budget->probe_at = now + random_backoff(budget);
}

static sr_budget_decision_t take_while_unavailable(sr_budget_t *budget,
						   sr_usec_t now,
						   gboolean long_poll,
						   sr_usec_t *wait)
{
	if (!long_poll && !budget->probing && now >= budget->probe_at) {
		budget->probing = TRUE;
		return SR_BUDGET_SEND;
	}
	*wait = MAX(budget->probe_at - now, SR_BUDGET_BACKOFF_MIN);
	return SR_BUDGET_REFUSE;
}

void sr_budget_init(sr_budget_t *budget, double rate, double burst,
		    guint64 seed, sr_usec_t now)
{
	guint32 seed_words[2] = { (guint32)seed, (guint32)(seed >> 32) };

	g_assert(rate > 0 && burst >= 2);
	*budget = (sr_budget_t){ .rate = rate,
				 .burst = burst,
				 .tokens = burst,
				 .refilled_at = now,
				 .backoff_max = SR_BUDGET_BACKOFF_MAX,
				 .random = g_rand_new_with_seed_array(
					 seed_words, 2) };
}

void sr_budget_set_max_backoff(sr_budget_t *budget, sr_usec_t max)
{
	budget->backoff_max = max;
}

void sr_budget_clear(sr_budget_t *budget)
{
	g_rand_free(budget->random);
}

sr_budget_decision_t sr_budget_take(sr_budget_t *budget, sr_usec_t now,
				    sr_store_class_t class, gboolean long_poll,
				    sr_usec_t *wait)
{
	double need;

	if (budget->unavailable)
		return take_while_unavailable(budget, now, long_poll, wait);
	if (now < budget->paused_until) {
		*wait = budget->paused_until - now;
		return SR_BUDGET_WAIT;
	}
	refill(budget, now);
	need = 1.0 + reserve(budget, now, class);
	if (budget->tokens >= need) {
		budget->tokens -= 1.0;
		return SR_BUDGET_SEND;
	}
	*wait = 1 + (sr_usec_t)ceil((need - budget->tokens) /
				    current_rate(budget, now) * (double)SR_SEC);
	return SR_BUDGET_WAIT;
}

void sr_budget_record_answer(sr_budget_t *budget, sr_usec_t now)
{
	budget->failures = 0;
	if (!budget->unavailable)
		return;
	budget->unavailable = FALSE;
	budget->probing = FALSE;
	budget->tokens = MIN(SR_BUDGET_RECOVERY_TOKENS, budget->burst);
	budget->refilled_at = now;
	budget->ramp_start = MAX(now, 1);
}

void sr_budget_record_failure(sr_budget_t *budget, sr_usec_t now)
{
	budget->failures++;
	if (budget->unavailable ? budget->probing :
				  budget->failures >= SR_BUDGET_TRIP_FAILURES)
		trip(budget, now);
}

void sr_budget_record_throttle(sr_budget_t *budget, sr_usec_t now,
			       sr_usec_t retry_after)
{
	sr_usec_t pause;

	budget->failures++;
	pause = retry_after + random_backoff(budget);
	budget->paused_until = MAX(budget->paused_until, now + pause);
	if (budget->unavailable) {
		budget->probing = FALSE;
		budget->probe_at = now + pause;
	}
}

void sr_budget_record_inconclusive(sr_budget_t *budget)
{
	budget->probing = FALSE;
}
