#include "core/admission.h"

/** Fraction of the limits that each class may fill, most urgent first. */
static const double class_headroom[SR_N_PRIORITIES] = { 1.0, 0.9, 0.8 };

/** Credit that an admission of any class earns each class, in requests. */
static const double class_credit[SR_N_PRIORITIES] = { 0, 0.12, 0.08 };

/** Credit that a class can accumulate, in requests. */
#define MAX_CREDIT 3.0

/** Factor on the headroom of accounts over their fair share; the rest is left
 * to the other accounts. */
#define OVER_SHARE_HEADROOM 0.85

/** Bounds of the retry delay. */
#define MIN_RETRY_AFTER (250 * SR_MSEC)
#define MAX_RETRY_AFTER (30 * SR_SEC)

double sr_admission_headroom(const sr_admission_t *admission,
			     sr_priority_t priority, gboolean over_share)
{
	double headroom = class_headroom[priority];

	if (admission->credit[priority] >= 1)
		headroom = 1;
	return over_share ? headroom * OVER_SHARE_HEADROOM : headroom;
}

void sr_admission_record(sr_admission_t *admission, sr_priority_t priority,
			 double occupancy)
{
	for (int i = 0; i < SR_N_PRIORITIES; i++)
		admission->credit[i] =
			MIN(admission->credit[i] + class_credit[i], MAX_CREDIT);
	if (occupancy > class_headroom[priority] &&
	    admission->credit[priority] >= 1)
		admission->credit[priority] -= 1;
}

sr_usec_t sr_admission_retry_after(sr_admission_t *admission, sr_usec_t now,
				   double excess, double drain_per_s,
				   double jitter)
{
	double seconds = (double)(now - admission->backlog_at) / (double)SR_SEC;
	double drain = MAX(drain_per_s, 0.01);
	double wait;

	admission->backlog -= seconds * drain;
	admission->backlog = MAX(admission->backlog, 0) + 1;
	admission->backlog_at = now;
	wait = (MAX(excess, 0) + admission->backlog) / drain;
	wait *= 0.5 + jitter; /* 50 to 150% */
	return CLAMP((sr_usec_t)(wait * (double)SR_SEC), MIN_RETRY_AFTER,
		     MAX_RETRY_AFTER);
}
