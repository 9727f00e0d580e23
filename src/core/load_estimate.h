#ifndef SR_CORE_LOAD_ESTIMATE_H
#define SR_CORE_LOAD_ESTIMATE_H

#include <glib.h>

#include "base/clock.h"
#include "core/dispatch.h"

/**
 * sr_load_estimate_t - how many requests an upstream runs for everyone now
 *
 * A load report says what ran when it was measured. What this entry host ran
 * at that time is subtracted, which leaves the work of others; our present
 * work is added again. The own work of the recent past is kept in a ring.
 */
#define SR_LOAD_HISTORY 64

typedef struct {
	struct {
		sr_usec_t at;
		unsigned in_flight;
	} history[SR_LOAD_HISTORY];
	unsigned n_history; /* all that were ever written */
	sr_usec_t measured; /* time of the latest report */
	double others;
	double waiting;
	double token_gap_s; /* between tokens of a stream, 0 if not known */
	gboolean has_report;
} sr_load_estimate_t;

/** sr_load_estimate_note - our number of requests there is now this. */
void sr_load_estimate_note(sr_load_estimate_t *load, sr_usec_t now,
			   unsigned in_flight);

/** sr_load_estimate_report - returns FALSE if it is not newer. */
gboolean sr_load_estimate_report(sr_load_estimate_t *load,
				 const sr_load_report_t *report);

/** sr_load_estimate_total - requests there; others' work fades if unheard. */
double sr_load_estimate_total(const sr_load_estimate_t *load, sr_usec_t now,
			      unsigned in_flight);

/** sr_load_estimate_waiting - as last reported; 0 if unheard. */
double sr_load_estimate_waiting(const sr_load_estimate_t *load, sr_usec_t now);

/** sr_load_estimate_token_gap - in seconds; 0 if unheard or not known. */
double sr_load_estimate_token_gap(const sr_load_estimate_t *load,
				  sr_usec_t now);

/** sr_load_estimate_is_fresh - was the upstream heard of lately? */
gboolean sr_load_estimate_is_fresh(const sr_load_estimate_t *load,
				   sr_usec_t now);

#endif
