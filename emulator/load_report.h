#ifndef SR_EMULATOR_LOAD_REPORT_H
#define SR_EMULATOR_LOAD_REPORT_H

#include "histogram.h"
#include "load_call.h"

/** sr_emu_load_series_t - what the callers of one kind have seen. */
typedef struct {
	const sr_emu_load_caller_t *caller;
	guint64 outcomes[SR_EMU_N_OUTCOMES];
	guint64 unsent;
	guint64 tokens;
	GHashTable *kinds; /* of problems, to their count */
	sr_emu_histogram_t first_token;
	sr_emu_histogram_t gap;
	sr_emu_histogram_t total;
	GPtrArray *seconds; /* sr_emu_histogram_t: totals by due time */
} sr_emu_load_series_t;

/** sr_emu_load_report_t - what a load run has measured. */
typedef struct sr_emu_load_report sr_emu_load_report_t;

sr_emu_load_report_t *sr_emu_load_report_new(const sr_emu_load_plan_t *plan,
					     sr_usec_t start);
void sr_emu_load_report_free(sr_emu_load_report_t *report);

/** sr_emu_load_report_tokens - as sr_emu_call_options_t.tokens. */
void sr_emu_load_report_tokens(sr_emu_load_report_t *report,
			       const sr_emu_load_caller_t *caller, guint n,
			       sr_usec_t since_due, sr_usec_t gap);

/** sr_emu_load_report_ended - as sr_emu_call_options_t.ended. */
void sr_emu_load_report_ended(sr_emu_load_report_t *report,
			      const sr_emu_call_report_t *call);

/** sr_emu_load_report_unsent - a call was left out: too many in flight. */
void sr_emu_load_report_unsent(sr_emu_load_report_t *report,
			       const sr_emu_load_caller_t *caller);

/** sr_emu_load_report_print - `name: value` lines on stdout. */
void sr_emu_load_report_print(const sr_emu_load_report_t *report,
			      sr_usec_t elapsed);

/** sr_emu_load_report_series - of sr_emu_load_series_t, in the plan's order. */
const GPtrArray *sr_emu_load_report_series(const sr_emu_load_report_t *report);

/** sr_emu_load_report_is_right - no answer was wrong or broken. */
gboolean sr_emu_load_report_is_right(const sr_emu_load_report_t *report);

#endif
