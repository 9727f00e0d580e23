#include "core/gateway_admission.h"

/** A request whose first event would take a larger part than this of the
 * time it has left is lost already. */
#define TIME_LEFT_PART 0.85

/** How far beyond its target a request is still taken, by priority. */
static const double target_parts[] = { 2.0, 1.6, 1.2, 1.0 };

/** A shorter wait than this is no reason to refuse: a request that is late
 * by its own work alone is no better off later. */
#define WAIT_MIN_S 0.03

/** Bounds of the time after which a refused request may come back. */
#define RETRY_MIN (150 * SR_MSEC)
#define RETRY_MAX (2 * SR_SEC)

static sr_usec_t limit_of(const sr_admission_facts_t *facts)
{
	unsigned row = MIN(facts->priority, G_N_ELEMENTS(target_parts) - 1);
	sr_usec_t by_time =
		(sr_usec_t)(TIME_LEFT_PART * (double)facts->time_left);

	if (facts->target <= 0)
		return by_time;
	return MIN(by_time,
		   (sr_usec_t)(target_parts[row] * (double)facts->target));
}

sr_admission_verdict_t sr_gateway_admit(const sr_admission_facts_t *facts)
{
	sr_usec_t first = (sr_usec_t)(facts->first_s * SR_SEC);
	sr_usec_t excess = first - limit_of(facts);
	sr_admission_verdict_t verdict = {
		.admitted = excess <= 0 || facts->wait_s < WAIT_MIN_S,
	};

	if (verdict.admitted)
		return verdict;
	/* By then the queue is shorter by the excess; jitter spreads those
	 * that are refused together. */
	verdict.retry_after =
		(sr_usec_t)((double)CLAMP(excess, RETRY_MIN, RETRY_MAX) *
			    (1 + facts->jitter));
	return verdict;
}
