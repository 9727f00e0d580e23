#ifndef SR_CORE_USAGE_REPORTS_H
#define SR_CORE_USAGE_REPORTS_H

#include <glib.h>

#include "base/clock.h"
#include "core/usage_windows.h"

/**
 * sr_usage_reports_t - which usage report is due, so that no window is ever
 * reported twice with different counts
 *
 * The counts of a window are fixed by writing them into the payload of the
 * leased object that makes a host the reporter. Only counts that were written
 * are sent. A host that takes over sends what it finds there once more, to
 * the letter, and goes on with the windows after it.
 *
 * The payload carries the counts of the windows that are still open as well,
 * so that they outlive all hosts together. A host that takes over hears from
 * the others before it closes a window, as long as its report is not due.
 */
typedef struct sr_usage_reports sr_usage_reports_t;

typedef struct {
	sr_usec_t window; /* length */
	sr_usec_t settle; /* after a window's end, for the counts to come in */
	sr_usec_t due;	  /* after a window's end, for the report */
	sr_usec_t intake; /* for the others' counts to come in at a new host */
	sr_usec_t margin; /* before it is due a window is closed in any case */
} sr_usage_reports_options_t;

/** sr_usage_report_t - borrowed. */
typedef struct {
	guint64 window;
	GHashTable *counts; /* account -> guint64 * */
} sr_usage_report_t;

sr_usage_reports_t *
sr_usage_reports_new(const sr_usage_reports_options_t *options);
void sr_usage_reports_free(sr_usage_reports_t *reports);

/**
 * sr_usage_reports_load - take over what the payload holds; NULL: nothing
 *
 * told_since_ms is the moment since which the other hosts' counts come in, in
 * Unix milliseconds.
 */
void sr_usage_reports_load(sr_usage_reports_t *reports, GBytes *payload,
			   sr_usage_windows_t *usage, gint64 told_since_ms);

/**
 * sr_usage_reports_close - fix the counts of the windows that have settled
 *
 * Returns the payload to be written, or NULL if there is nothing to write.
 * Until sr_usage_reports_written() nothing else is closed.
 */
GBytes *sr_usage_reports_close(sr_usage_reports_t *reports,
			       const sr_usage_windows_t *usage, gint64 unix_ms);

/**
 * sr_usage_reports_save - the payload with the open windows as they are now
 *
 * NULL while something is written. Ends in sr_usage_reports_written().
 */
GBytes *sr_usage_reports_save(sr_usage_reports_t *reports,
			      const sr_usage_windows_t *usage, gint64 unix_ms);

/** sr_usage_reports_written - the payload was written, or was not. */
void sr_usage_reports_written(sr_usage_reports_t *reports, gboolean ok);

/** sr_usage_reports_next - a report that is to be sent now; it counts as
 * being sent until sr_usage_reports_sent(). */
gboolean sr_usage_reports_next(sr_usage_reports_t *reports,
			       sr_usage_report_t *report);

/** sr_usage_reports_sent - the report was taken, or must be sent again. */
void sr_usage_reports_sent(sr_usage_reports_t *reports, guint64 window,
			   gboolean taken);

#endif
