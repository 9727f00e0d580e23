#include "core/load_estimate.h"

/** Changes closer together than this share one entry of the history. */
#define HISTORY_STEP (40 * SR_MSEC)

/** A report older than this says nothing about the work of others. */
#define REPORT_LIFE (5 * SR_SEC)

/** Weight of a new report against the earlier ones. */
#define REPORT_WEIGHT 0.6

void sr_load_estimate_note(sr_load_estimate_t *load, sr_usec_t now,
			   unsigned in_flight)
{
	unsigned last = (load->n_history - 1) % SR_LOAD_HISTORY;

	if (load->n_history == 0 ||
	    now - load->history[last].at >= HISTORY_STEP) {
		last = load->n_history++ % SR_LOAD_HISTORY;
		load->history[last].at = now;
	}
	load->history[last].in_flight = in_flight;
}

static unsigned own_at(const sr_load_estimate_t *load, sr_usec_t at)
{
	unsigned n = MIN(load->n_history, SR_LOAD_HISTORY);

	for (unsigned i = 1; i <= n; i++) {
		unsigned entry = (load->n_history - i) % SR_LOAD_HISTORY;

		if (load->history[entry].at <= at)
			return load->history[entry].in_flight;
	}
	return 0;
}

gboolean sr_load_estimate_report(sr_load_estimate_t *load,
				 const sr_load_report_t *report)
{
	double total = (double)report->running + (double)report->waiting;
	double others = total - own_at(load, report->measured);

	if (load->has_report && report->measured <= load->measured)
		return FALSE;
	others = MAX(others, 0);
	if (load->has_report)
		others = REPORT_WEIGHT * others +
			 (1 - REPORT_WEIGHT) * load->others;
	load->others = others;
	load->waiting = report->waiting;
	if (report->tokens_per_s > 0)
		load->token_gap_s = 1 / report->tokens_per_s;
	load->measured = report->measured;
	load->has_report = TRUE;
	return TRUE;
}

gboolean sr_load_estimate_is_fresh(const sr_load_estimate_t *load,
				   sr_usec_t now)
{
	return load->has_report && now - load->measured < REPORT_LIFE;
}

double sr_load_estimate_total(const sr_load_estimate_t *load, sr_usec_t now,
			      unsigned in_flight)
{
	if (!sr_load_estimate_is_fresh(load, now))
		return in_flight;
	return in_flight + load->others;
}

double sr_load_estimate_waiting(const sr_load_estimate_t *load, sr_usec_t now)
{
	return sr_load_estimate_is_fresh(load, now) ? load->waiting : 0;
}

double sr_load_estimate_token_gap(const sr_load_estimate_t *load, sr_usec_t now)
{
	return sr_load_estimate_is_fresh(load, now) ? load->token_gap_s : 0;
}
