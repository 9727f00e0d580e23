#ifndef SR_CORE_USAGE_REPORTS_H
#define SR_CORE_USAGE_REPORTS_H

#include <glib.h>

#include "base/clock.h"
#include "core/usage_windows.h"

/**
 * sr_usage_reports_t - the usage reports to send; no window is ever reported
 * twice with different counts, even by different hosts
 *
 * A host reports usage while it holds the lease of an object. The counts of a
 * window are fixed by writing them into the payload of that object, and only
 * counts that were written are sent. The next holder resends the reports that
 * are in the payload, unchanged, and continues with the windows after them.
 *
 * If the platform's store was restored from an older copy, the payload may lack
 * the latest reports. Windows that may have been among them are not reported: a
 * report that is missing is better than a second one with other counts.
 *
 * The payload also carries the counts of the windows that are still open, so
 * that they are kept if all hosts stop at once. A new holder waits for the
 * counts of the other hosts before it closes a window, unless the report is
 * nearly due.
 */
typedef struct sr_usage_reports sr_usage_reports_t;

/** sr_usage_reports_options_t - when a window is closed, and its report due. */
typedef struct {
	sr_usec_t window; /* length of a window */
	sr_usec_t settle; /* from a window's end until it may close */
	sr_usec_t due;	  /* from a window's end to the report's deadline */
	sr_usec_t takeover_wait; /* for counts of the other hosts */
	sr_usec_t due_margin;	 /* before the deadline; ends that wait */
} sr_usage_reports_options_t;

/** sr_usage_report_t - the counts of a window; borrowed until the reports are
 * changed or freed. */
typedef struct {
	guint64 window;
	GHashTable *counts; /* account -> guint64 * */
} sr_usage_report_t;

/** sr_usage_reports_new - options are copied; the caller owns the result. */
sr_usage_reports_t *
sr_usage_reports_new(const sr_usage_reports_options_t *options);

/** sr_usage_reports_free - reports may be NULL. */
void sr_usage_reports_free(sr_usage_reports_t *reports);

/** sr_usage_reports_source_t - what a new holder starts from. */
typedef struct {
	GBytes *payload; /* NULL if nothing was written yet */
	/* since when the counts of the other hosts are received without a gap,
	 * in Unix milliseconds */
	gint64 receiving_since_ms;
	/* windows before this one were reported, as other hosts know; they are
	 * not closed again */
	guint64 reported_before;
	/* the payload may not be the latest one, and a later one may have
	 * closed windows before this one: they are neither closed nor sent; 0
	 * if the payload is the latest */
	guint64 lost_before;
} sr_usage_reports_source_t;

/**
 * sr_usage_reports_load - replace all reports by those of a payload
 *
 * Counts of open windows in the payload are merged into usage; malformed lines
 * are ignored.
 */
void sr_usage_reports_load(sr_usage_reports_t *reports,
			   const sr_usage_reports_source_t *source,
			   sr_usage_windows_t *usage);

/**
 * sr_usage_reports_close - fix the counts of the windows that have settled
 *
 * Returns the payload to be written, which the caller owns, or NULL if there
 * is nothing to write or a write is pending. The write is pending until
 * sr_usage_reports_written().
 */
GBytes *sr_usage_reports_close(sr_usage_reports_t *reports,
			       const sr_usage_windows_t *usage, gint64 unix_ms);

/**
 * sr_usage_reports_save - encode the payload with the current counts of the
 * open windows
 *
 * Returns the payload to be written, which the caller owns, or NULL if a write
 * is pending. The write is pending until sr_usage_reports_written().
 */
GBytes *sr_usage_reports_save(sr_usage_reports_t *reports,
			      const sr_usage_windows_t *usage, gint64 unix_ms);

/** sr_usage_reports_written - complete the pending write; ok is FALSE if the
 * payload was not written. */
void sr_usage_reports_written(sr_usage_reports_t *reports, gboolean ok);

/**
 * sr_usage_reports_next - the next report to send
 *
 * Returns FALSE if there is none. The report counts as being sent until
 * sr_usage_reports_sent().
 */
gboolean sr_usage_reports_next(sr_usage_reports_t *reports,
			       sr_usage_report_t *report);

/** sr_usage_reports_sent - complete a report; if it was not accepted it is
 * sent again. */
void sr_usage_reports_sent(sr_usage_reports_t *reports, guint64 window,
			   gboolean accepted);

#endif
