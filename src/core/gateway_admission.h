#ifndef SR_CORE_GATEWAY_ADMISSION_H
#define SR_CORE_GATEWAY_ADMISSION_H

#include <glib.h>

#include "base/clock.h"

/**
 * Whether the gateway takes a request, by when it would be answered.
 *
 * A request that can't be answered in time is refused at once. As a service
 * fills up, the less urgent requests are refused sooner, so that the more
 * urgent ones still find room.
 */
typedef struct {
	double wait_s;	     /* expected behind earlier requests */
	double first_s;	     /* expected time to the first event or answer */
	sr_usec_t target;    /* for it */
	sr_usec_t time_left; /* until the final answer is due */
	unsigned priority;   /* 0 is the most urgent */
	double jitter;	     /* random, 0 to 1 */
} sr_admission_facts_t;

typedef struct {
	gboolean admitted;
	sr_usec_t retry_after; /* of a refusal */
} sr_admission_verdict_t;

sr_admission_verdict_t sr_gateway_admit(const sr_admission_facts_t *facts);

#endif
