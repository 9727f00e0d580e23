#include "core/ejection.h"

/** Failures in a row that eject an upstream. */
#define FAILURES_TO_EJECT 4

#define FIRST_EJECTION (2 * SR_SEC)
#define LONGEST_EJECTION (60 * SR_SEC)

sr_ejection_state_t sr_ejection_state(const sr_ejection_t *ejection,
				      sr_usec_t now)
{
	if (ejection->ejected_until == 0)
		return SR_EJECTION_NONE;
	if (now < ejection->ejected_until || ejection->on_trial)
		return SR_EJECTION_EJECTED;
	return SR_EJECTION_PROBATION;
}

void sr_ejection_begin(sr_ejection_t *ejection, sr_usec_t now)
{
	if (sr_ejection_state(ejection, now) == SR_EJECTION_PROBATION)
		ejection->on_trial = TRUE;
}

void sr_ejection_succeeded(sr_ejection_t *ejection)
{
	ejection->failures_in_row = 0;
	/* A late answer from before the ejection is no proof. */
	if (ejection->ejected_until > 0 && !ejection->on_trial)
		return;
	ejection->ejected_until = 0;
	ejection->on_trial = FALSE;
	ejection->n_ejections = 0;
}

void sr_ejection_failed(sr_ejection_t *ejection, sr_usec_t now, unsigned weight)
{
	sr_usec_t length = FIRST_EJECTION;

	ejection->failures_in_row += weight;
	if (ejection->ejected_until > 0 && !ejection->on_trial)
		return;
	if (!ejection->on_trial &&
	    ejection->failures_in_row < FAILURES_TO_EJECT)
		return;
	for (unsigned i = 0;
	     i < ejection->n_ejections && length < LONGEST_EJECTION; i++)
		length *= 2;
	ejection->ejected_until = now + MIN(length, LONGEST_EJECTION);
	ejection->n_ejections++;
	ejection->on_trial = FALSE;
}

void sr_ejection_abandoned(sr_ejection_t *ejection)
{
	ejection->on_trial = FALSE;
}
