#ifndef SR_CORE_ADMISSION_H
#define SR_CORE_ADMISSION_H

#include <glib.h>

#include "base/clock.h"
#include "core/config.h"

/**
 * sr_admission_t - admission control of a service by priority class
 *
 * Each class may fill the concurrency limits of the upstreams up to a fraction,
 * which leaves room for more urgent requests; the most urgent class may fill
 * them completely. To prevent starvation, every admission earns the less urgent
 * classes a small credit. A class with a credit of at least 1 may fill the
 * limits completely for one request.
 *
 * All zero is the initial state.
 */
typedef struct {
	double credit[SR_N_PRIORITIES]; /* in requests */
	double backlog; /* refused requests that are expected to come back */
	sr_usec_t backlog_at; /* last update of backlog */
} sr_admission_t;

/**
 * sr_admission_headroom - fraction of the limits that a request may fill
 *
 * over_share is TRUE if its client account has used up its fair share.
 */
double sr_admission_headroom(const sr_admission_t *admission,
			     sr_priority_t priority, gboolean over_share);

/**
 * sr_admission_record - update the credits after an admission
 *
 * occupancy is the fraction of the upstream's limit that was in use before.
 */
void sr_admission_record(sr_admission_t *admission, sr_priority_t priority,
			 double occupancy);

/**
 * sr_admission_retry_after - delay after which a refused request may retry
 *
 * excess is the number of requests that must end first, drain_per_s the rate
 * at which requests end. Each refusal adds to a backlog that drains at the
 * same rate, so that later ones are delayed longer. jitter is a random number
 * from 0 to 1. The result lies between 250 ms and 30 s.
 */
sr_usec_t sr_admission_retry_after(sr_admission_t *admission, sr_usec_t now,
				   double excess, double drain_per_s,
				   double jitter);

#endif
