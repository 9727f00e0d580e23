#ifndef SR_CORE_LOAD_ESTIMATE_H
#define SR_CORE_LOAD_ESTIMATE_H

#include <glib.h>

#include "base/clock.h"
#include "core/dispatch.h"

/** Entries in the history of this host's requests at an upstream. */
#define SR_LOAD_HISTORY 64

/**
 * sr_load_estimate_t - estimate of an upstream's requests from all entry hosts
 *
 * A load report counts all requests that ran when it was measured. Subtracting
 * those of this entry host at that time leaves the requests of the others, to
 * which this host's current requests are added. A ring buffer keeps the recent
 * history of this host's requests. All zero is the initial state.
 */
typedef struct {
	struct {
		sr_usec_t at;
		unsigned in_flight;
	} history[SR_LOAD_HISTORY];
	unsigned n_history;	 /* entries ever written */
	sr_usec_t measured_at;	 /* of the last report */
	double remote_in_flight; /* requests of other entry hosts, smoothed */
	double waiting;		 /* requests queued at the upstream */
	double token_gap_s;	 /* between tokens of a stream; 0 if unknown */
	gboolean has_report;
} sr_load_estimate_t;

/** sr_load_estimate_set_in_flight - record the number of this host's requests
 * at the upstream. */
void sr_load_estimate_set_in_flight(sr_load_estimate_t *load, sr_usec_t now,
				    unsigned in_flight);

/** sr_load_estimate_add_report - apply a load report. Returns FALSE if it is
 * not newer than the last one. */
gboolean sr_load_estimate_add_report(sr_load_estimate_t *load,
				     const sr_load_report_t *report);

/**
 * sr_load_estimate_total - requests of all entry hosts at the upstream
 *
 * in_flight is the number of this host's. If the last report has expired, the
 * requests of the others count as 0.
 */
double sr_load_estimate_total(const sr_load_estimate_t *load, sr_usec_t now,
			      unsigned in_flight);

/** sr_load_estimate_waiting - requests queued at the upstream; 0 if the last
 * report has expired. */
double sr_load_estimate_waiting(const sr_load_estimate_t *load, sr_usec_t now);

/** sr_load_estimate_token_gap - in seconds; 0 if unknown or expired. */
double sr_load_estimate_token_gap(const sr_load_estimate_t *load,
				  sr_usec_t now);

/** sr_load_estimate_is_fresh - the last report has not expired. */
gboolean sr_load_estimate_is_fresh(const sr_load_estimate_t *load,
				   sr_usec_t now);

#endif
