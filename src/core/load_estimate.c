#include "core/load_estimate.h"

/** Changes within this time of a history entry are merged into it. */
#define HISTORY_INTERVAL (40 * SR_MSEC)

/** Reports expire after this time. */
#define REPORT_EXPIRY (5 * SR_SEC)

/** Weight of a new report in the average of remote requests. */
#define REPORT_WEIGHT 0.6

void sr_load_estimate_set_in_flight(sr_load_estimate_t *load, sr_usec_t now,
				    unsigned in_flight)
{
	unsigned slot = (load->n_history - 1) % SR_LOAD_HISTORY;

	if (load->n_history == 0 ||
	    now - load->history[slot].at >= HISTORY_INTERVAL) {
		slot = load->n_history++ % SR_LOAD_HISTORY;
		load->history[slot].at = now;
	}
	load->history[slot].in_flight = in_flight;
}

/* This host's requests at the given time; 0 if before the history. */
static unsigned in_flight_at(const sr_load_estimate_t *load, sr_usec_t at)
{
	unsigned n = MIN(load->n_history, SR_LOAD_HISTORY);

	for (unsigned i = 1; i <= n; i++) {
		unsigned slot = (load->n_history - i) % SR_LOAD_HISTORY;

		if (load->history[slot].at <= at)
			return load->history[slot].in_flight;
	}
	return 0;
}

gboolean sr_load_estimate_add_report(sr_load_estimate_t *load,
				     const sr_load_report_t *report)
{
	double total = (double)report->running + (double)report->waiting;
	double remote_in_flight =
		total - in_flight_at(load, report->measured_at);

	if (load->has_report && report->measured_at <= load->measured_at)
		return FALSE;
	remote_in_flight = MAX(remote_in_flight, 0);
	if (load->has_report)
		remote_in_flight = REPORT_WEIGHT * remote_in_flight +
				   (1 - REPORT_WEIGHT) * load->remote_in_flight;
	load->remote_in_flight = remote_in_flight;
	load->waiting = report->waiting;
	if (report->tokens_per_s > 0)
		load->token_gap_s = 1 / report->tokens_per_s;
	load->measured_at = report->measured_at;
	load->has_report = TRUE;
	return TRUE;
}

gboolean sr_load_estimate_is_fresh(const sr_load_estimate_t *load,
				   sr_usec_t now)
{
	return load->has_report && now - load->measured_at < REPORT_EXPIRY;
}

double sr_load_estimate_total(const sr_load_estimate_t *load, sr_usec_t now,
			      unsigned in_flight)
{
	if (!sr_load_estimate_is_fresh(load, now))
		return in_flight;
	return in_flight + load->remote_in_flight;
}

double sr_load_estimate_waiting(const sr_load_estimate_t *load, sr_usec_t now)
{
	return sr_load_estimate_is_fresh(load, now) ? load->waiting : 0;
}

double sr_load_estimate_token_gap(const sr_load_estimate_t *load, sr_usec_t now)
{
	return sr_load_estimate_is_fresh(load, now) ? load->token_gap_s : 0;
}
