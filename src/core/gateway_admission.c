#include "core/gateway_admission.h"

/** A request whose first event is expected to take more than this fraction of
 * its remaining time can't be answered in time. */
#define MAX_TIME_LEFT_RATIO 0.85

/** Accepted first event time by priority, as a factor on its target. */
static const double target_factors[] = { 2.0, 1.6, 1.2, 1.0 };

/** With a shorter wait, in seconds, a request is never refused: if it is late
 * because of its own processing time, a retry would take as long. */
#define MIN_WAIT_S 0.03

/** Bounds of the retry delay before jitter, which at most doubles it. */
#define MIN_RETRY_AFTER (150 * SR_MSEC)
#define MAX_RETRY_AFTER (2 * SR_SEC)

static sr_usec_t latency_limit(const sr_gateway_admission_input_t *input)
{
	unsigned index = MIN(input->priority, G_N_ELEMENTS(target_factors) - 1);
	sr_usec_t deadline_limit =
		(sr_usec_t)(MAX_TIME_LEFT_RATIO * (double)input->time_left);

	if (input->target <= 0)
		return deadline_limit;
	return MIN(deadline_limit,
		   (sr_usec_t)(target_factors[index] * (double)input->target));
}

sr_gateway_admission_result_t
sr_gateway_admit(const sr_gateway_admission_input_t *input)
{
	sr_usec_t first = (sr_usec_t)(input->first_event_s * SR_SEC);
	sr_usec_t excess = first - latency_limit(input);
	sr_gateway_admission_result_t result = {
		.admitted = excess <= 0 || input->wait_s < MIN_WAIT_S,
	};

	if (result.admitted)
		return result;
	/* After this delay the queue is shorter by the excess. The jitter
	 * spreads the retries of requests that were refused together. */
	result.retry_after = (sr_usec_t)((double)CLAMP(excess, MIN_RETRY_AFTER,
						       MAX_RETRY_AFTER) *
					 (1 + input->jitter));
	return result;
}
