#ifndef SR_EMULATOR_LOAD_REPORT_H
#define SR_EMULATOR_LOAD_REPORT_H

#include "histogram.h"
#include "load_call.h"

/** sr_emu_load_series_t - measurements of one sr_emu_load_caller_t. */
typedef struct {
	const sr_emu_load_caller_t *caller;
	guint64 outcomes[SR_EMU_N_OUTCOMES];
	guint64 unsent; /* calls left out: too many in flight */
	guint64 tokens;
	GHashTable *problem_kinds;	/* kind to count */
	sr_emu_histogram_t first_token; /* from due to the first tokens */
	sr_emu_histogram_t token_gap;	/* between reads with tokens */
	sr_emu_histogram_t total;	/* from due to the end, if whole */
	GPtrArray *per_second; /* sr_emu_histogram_t: total by due time */
} sr_emu_load_series_t;

/** sr_emu_load_report_t - measurements of a load run. */
typedef struct sr_emu_load_report sr_emu_load_report_t;

/** sr_emu_load_report_new - the plan is borrowed. */
sr_emu_load_report_t *sr_emu_load_report_new(const sr_emu_load_plan_t *plan,
					     sr_usec_t start);
void sr_emu_load_report_free(sr_emu_load_report_t *report);

/**
 * sr_emu_load_report_add_tokens - record received tokens; parameters as for
 * sr_emu_call_options_t.tokens_received
 */
void sr_emu_load_report_add_tokens(sr_emu_load_report_t *report,
				   const sr_emu_load_caller_t *caller, guint n,
				   sr_usec_t since_due, sr_usec_t gap);

/** sr_emu_load_report_add_call - record the result of a call. */
void sr_emu_load_report_add_call(sr_emu_load_report_t *report,
				 const sr_emu_call_result_t *call);

/**
 * sr_emu_load_report_add_unsent - count a call that was not sent, because
 * max_in_flight calls were in flight
 */
void sr_emu_load_report_add_unsent(sr_emu_load_report_t *report,
				   const sr_emu_load_caller_t *caller);

/** sr_emu_load_report_print - print `name: value` lines to stdout. */
void sr_emu_load_report_print(const sr_emu_load_report_t *report,
			      sr_usec_t elapsed);

/** sr_emu_load_report_series - sr_emu_load_series_t, in plan order. */
const GPtrArray *sr_emu_load_report_series(const sr_emu_load_report_t *report);

/** sr_emu_load_report_is_correct - no outcome was WRONG or BROKEN. */
gboolean sr_emu_load_report_is_correct(const sr_emu_load_report_t *report);

#endif
