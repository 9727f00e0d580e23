#ifndef SR_CORE_EJECTION_H
#define SR_CORE_EJECTION_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_ejection_t - excludes a failing upstream from selection
 *
 * After consecutive failures the upstream is ejected for a time, which doubles
 * with each ejection in succession. It is then on probation: a single request
 * at a time probes it. A success readmits the upstream, a failure ejects it
 * again. All zero is the initial state.
 */
typedef struct {
	unsigned consecutive_failures;
	unsigned n_ejections;	 /* since the upstream was last readmitted */
	sr_usec_t ejected_until; /* 0 if not ejected */
	gboolean probe_in_flight;
} sr_ejection_t;

typedef enum {
	SR_EJECTION_NONE,
	SR_EJECTION_PROBATION, /* the next request is the probe */
	SR_EJECTION_EJECTED,   /* also while a probe is in flight */
} sr_ejection_state_t;

sr_ejection_state_t sr_ejection_state(const sr_ejection_t *ejection,
				      sr_usec_t now);

/** sr_ejection_begin - a request is sent; on probation it is the probe. */
void sr_ejection_begin(sr_ejection_t *ejection, sr_usec_t now);

/** sr_ejection_succeeded - a request succeeded. */
void sr_ejection_succeeded(sr_ejection_t *ejection);

/** sr_ejection_failed - a request failed; counts as weight failures. */
void sr_ejection_failed(sr_ejection_t *ejection, sr_usec_t now,
			unsigned weight);

/** sr_ejection_end - the failures may not have been the upstream's: the next
 * request is the probe. */
void sr_ejection_end(sr_ejection_t *ejection, sr_usec_t now);

/** sr_ejection_abandoned - a request ended as neither success nor failure. */
void sr_ejection_abandoned(sr_ejection_t *ejection);

#endif
