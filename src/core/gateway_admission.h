#ifndef SR_CORE_GATEWAY_ADMISSION_H
#define SR_CORE_GATEWAY_ADMISSION_H

#include <glib.h>

#include "base/clock.h"

/**
 * Admission control of the gateway by expected latency.
 *
 * A request that can't be answered in time is refused at once. As a service
 * fills up, less urgent requests are refused earlier, which leaves room for
 * more urgent ones.
 */

/** sr_gateway_admission_input_t - a request and the estimate for its best
 * instance. */
typedef struct {
	double wait_s;	      /* expected wait behind earlier requests */
	double first_event_s; /* expected time to the first event or answer */
	sr_usec_t target;     /* for the first event; 0 for none */
	sr_usec_t time_left;  /* until the whole answer is due */
	unsigned priority;    /* 0 is the most urgent */
	double jitter;	      /* random, 0 to 1 */
} sr_gateway_admission_input_t;

/** sr_gateway_admission_result_t - whether a request is admitted. */
typedef struct {
	gboolean admitted;
	sr_usec_t retry_after; /* delay before a retry; 0 if admitted */
} sr_gateway_admission_result_t;

/** sr_gateway_admit - admit the request or refuse it. */
sr_gateway_admission_result_t
sr_gateway_admit(const sr_gateway_admission_input_t *input);

#endif
