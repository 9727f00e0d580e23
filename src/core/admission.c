#include "core/admission.h"

/** Part of the limits that each class may fill. */
static const double headroom_of_class[SR_N_PRIORITIES] = { 1.0, 0.9, 0.8 };

/** Credit that each class earns by an admission of any class. */
static const double credit_of_class[SR_N_PRIORITIES] = { 0, 0.12, 0.08 };

/** Credit that a class can save, in requests. */
#define CREDIT_MAX 3.0

/** An account over its fair share leaves this part to the others. */
#define OVER_SHARE_HEADROOM 0.85

#define RETRY_AFTER_MIN (250 * SR_MSEC)
#define RETRY_AFTER_MAX (30 * SR_SEC)

double sr_admission_headroom(const sr_admission_t *admission,
			     sr_priority_t priority, gboolean over_share)
{
	double headroom = headroom_of_class[priority];

	if (admission->credit[priority] >= 1)
		headroom = 1;
	return over_share ? headroom * OVER_SHARE_HEADROOM : headroom;
}

void sr_admission_admitted(sr_admission_t *admission, sr_priority_t priority,
			   double occupancy)
{
	for (int i = 0; i < SR_N_PRIORITIES; i++)
		admission->credit[i] = MIN(
			admission->credit[i] + credit_of_class[i], CREDIT_MAX);
	if (occupancy > headroom_of_class[priority] &&
	    admission->credit[priority] >= 1)
		admission->credit[priority] -= 1;
}

sr_usec_t sr_admission_retry_after(sr_admission_t *admission, sr_usec_t now,
				   double excess, double drain_per_s,
				   double unit)
{
	double seconds = (double)(now - admission->backlog_at) / (double)SR_SEC;
	double drain = MAX(drain_per_s, 0.01);
	double wait;

	admission->backlog -= seconds * drain;
	admission->backlog = MAX(admission->backlog, 0) + 1;
	admission->backlog_at = now;
	wait = (MAX(excess, 0) + admission->backlog) / drain;
	wait *= 0.5 + unit;
	return CLAMP((sr_usec_t)(wait * (double)SR_SEC), RETRY_AFTER_MIN,
		     RETRY_AFTER_MAX);
}
