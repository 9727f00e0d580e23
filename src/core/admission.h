#ifndef SR_CORE_ADMISSION_H
#define SR_CORE_ADMISSION_H

#include <glib.h>

#include "base/clock.h"
#include "core/config.h"

/**
 * sr_admission_t - which classes of requests a busy service still takes
 *
 * Each class may fill the upstreams up to a part of their limits, the most
 * urgent class all of it, so that there is room left for more urgent ones.
 * So that no class starves, every admission earns the other classes a small
 * credit; a class with a whole credit may fill the limits for one request.
 */
typedef struct {
	double credit[SR_N_PRIORITIES];
	double backlog; /* requests that were refused and may come back */
	sr_usec_t backlog_at;
} sr_admission_t;

/**
 * sr_admission_headroom - part of the limits that the request may fill
 *
 * over_share says that the client account has its fair share already.
 */
double sr_admission_headroom(const sr_admission_t *admission,
			     sr_priority_t priority, gboolean over_share);

/** sr_admission_admitted - a request was taken; occupancy is the part of the
 * limits that was in use before. */
void sr_admission_admitted(sr_admission_t *admission, sr_priority_t priority,
			   double occupancy);

/**
 * sr_admission_retry_after - when a refused request should come back
 *
 * excess is how many requests have to end first, drain_per_s how many do.
 * unit is a random number from 0 to 1 for the jitter.
 */
sr_usec_t sr_admission_retry_after(sr_admission_t *admission, sr_usec_t now,
				   double excess, double drain_per_s,
				   double unit);

#endif
