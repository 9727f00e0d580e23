#include "core/ejection.h"

/** Consecutive failures that eject an upstream. */
#define EJECTION_THRESHOLD 4

/** Duration of the first ejection, and the bound that doubling reaches. */
#define MIN_EJECTION (2 * SR_SEC)
#define MAX_EJECTION (60 * SR_SEC)

sr_ejection_state_t sr_ejection_state(const sr_ejection_t *ejection,
				      sr_usec_t now)
{
	if (ejection->ejected_until == 0)
		return SR_EJECTION_NONE;
	if (now < ejection->ejected_until || ejection->probe_in_flight)
		return SR_EJECTION_EJECTED;
	return SR_EJECTION_PROBATION;
}

void sr_ejection_begin(sr_ejection_t *ejection, sr_usec_t now)
{
	if (sr_ejection_state(ejection, now) == SR_EJECTION_PROBATION)
		ejection->probe_in_flight = TRUE;
}

void sr_ejection_succeeded(sr_ejection_t *ejection)
{
	ejection->consecutive_failures = 0;
	/* Late answers to requests from before the ejection don't count. */
	if (ejection->ejected_until > 0 && !ejection->probe_in_flight)
		return;
	ejection->ejected_until = 0;
	ejection->probe_in_flight = FALSE;
	ejection->n_ejections = 0;
}

void sr_ejection_failed(sr_ejection_t *ejection, sr_usec_t now, unsigned weight)
{
	sr_usec_t duration = MIN_EJECTION;

	ejection->consecutive_failures += weight;
	if (ejection->ejected_until > 0 && !ejection->probe_in_flight)
		return;
	if (!ejection->probe_in_flight &&
	    ejection->consecutive_failures < EJECTION_THRESHOLD)
		return;
	for (unsigned i = 0;
	     i < ejection->n_ejections && duration < MAX_EJECTION; i++)
		duration *= 2;
	ejection->ejected_until = now + MIN(duration, MAX_EJECTION);
	ejection->n_ejections++;
	ejection->probe_in_flight = FALSE;
}

void sr_ejection_end(sr_ejection_t *ejection, sr_usec_t now)
{
	ejection->n_ejections = 0;
	ejection->ejected_until = MIN(ejection->ejected_until, now);
}

void sr_ejection_abandoned(sr_ejection_t *ejection)
{
	ejection->probe_in_flight = FALSE;
}
