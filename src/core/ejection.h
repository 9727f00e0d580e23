#ifndef SR_CORE_EJECTION_H
#define SR_CORE_EJECTION_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_ejection_t - keeps an upstream that fails out of the candidates
 *
 * After a row of failures the upstream is ejected for a while, longer each
 * time. Then it is on probation: one request at a time tries it, a success
 * takes it back, a failure ejects it again.
 */
typedef struct {
	unsigned failures_in_row;
	unsigned n_ejections;	 /* since it last worked for a while */
	sr_usec_t ejected_until; /* 0 if it is not ejected */
	gboolean on_trial;
} sr_ejection_t;

typedef enum {
	SR_EJECTION_NONE,
	SR_EJECTION_PROBATION, /* may take one request, as a trial */
	SR_EJECTION_EJECTED,
} sr_ejection_state_t;

sr_ejection_state_t sr_ejection_state(const sr_ejection_t *ejection,
				      sr_usec_t now);

/** sr_ejection_begin - a request is sent; on probation it is the trial. */
void sr_ejection_begin(sr_ejection_t *ejection, sr_usec_t now);

void sr_ejection_succeeded(sr_ejection_t *ejection);

/** sr_ejection_failed - weight is how many failures it counts for. */
void sr_ejection_failed(sr_ejection_t *ejection, sr_usec_t now,
			unsigned weight);

/** sr_ejection_abandoned - the request ended without saying either. */
void sr_ejection_abandoned(sr_ejection_t *ejection);

#endif
