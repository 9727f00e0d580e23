#include "core/usage_reports.h"

#include "core/lease.h"

#include <string.h>

/** Number of reports kept in the payload; those of earlier windows are past
 * due. */
#define REPORTS_MAX 8

/** Line of the payload with the window before which none is closed, as a
 * payload that was lost may have closed it. */
#define LOST_WORD "lost"

typedef enum {
	REPORT_CLOSING, /* write of the counts pending */
	REPORT_FINAL,	/* counts written, to be sent */
	REPORT_SENDING,
	REPORT_ACCEPTED,
} report_state_t;

typedef struct {
	guint64 window;
	GHashTable *counts;
	report_state_t state;
} report_t;

struct sr_usage_reports {
	sr_usage_reports_options_t options;
	GQueue reports; /* report_t, in order of their windows */
	gboolean write_pending;
	gint64 receiving_since_ms; /* see sr_usage_reports_source_t */
	guint64 reported_before;   /* the same */
	guint64 lost_before;	   /* the same; kept in the payload */
};

static void free_report(gpointer data)
{
	report_t *report = data;

	g_hash_table_unref(report->counts);
	g_free(report);
}

sr_usage_reports_t *
sr_usage_reports_new(const sr_usage_reports_options_t *options)
{
	sr_usage_reports_t *reports = g_new0(sr_usage_reports_t, 1);

	reports->options = *options;
	g_queue_init(&reports->reports);
	return reports;
}

void sr_usage_reports_free(sr_usage_reports_t *reports)
{
	if (!reports)
		return;
	g_queue_clear_full(&reports->reports, free_report);
	g_free(reports);
}

static void append_report(sr_usage_reports_t *reports, guint64 window,
			  GHashTable *counts, report_state_t state)
{
	report_t *report = g_new0(report_t, 1);

	report->window = window;
	report->counts = counts;
	report->state = state;
	g_queue_push_tail(&reports->reports, report);
	while (g_queue_get_length(&reports->reports) > REPORTS_MAX)
		free_report(g_queue_pop_head(&reports->reports));
}

/* "lost WINDOW" */
static void load_lost(sr_usage_reports_t *reports, const char *text)
{
	guint64 window;

	if (text &&
	    g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &window, NULL))
		reports->lost_before = MAX(reports->lost_before, window);
}

/* Parses "WINDOW account=count account=count", accounts escaped as in a URI. */
static void load_line(sr_usage_reports_t *reports, const char *line)
{
	char **words = g_strsplit(line, " ", -1);
	GHashTable *counts;
	guint64 window;

	if (!g_strcmp0(words[0], LOST_WORD))
		load_lost(reports, words[1]);
	if (!words[0] || !g_ascii_string_to_unsigned(
				 words[0], 10, 0, G_MAXUINT64, &window, NULL)) {
		g_strfreev(words);
		return;
	}
	counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (char **word = words + 1; *word; word++) {
		char *separator = strrchr(*word, '=');
		guint64 count;
		char *account;

		if (!separator ||
		    !g_ascii_string_to_unsigned(separator + 1, 10, 0,
						G_MAXUINT64, &count, NULL))
			continue;
		*separator = '\0';
		account = g_uri_unescape_string(*word, NULL);
		if (account)
			g_hash_table_insert(counts, account,
					    g_memdup2(&count, sizeof(count)));
	}
	/* a later payload may have had other counts */
	append_report(reports, window, counts,
		      window < reports->lost_before ? REPORT_ACCEPTED :
						      REPORT_FINAL);
	g_strfreev(words);
}

void sr_usage_reports_load(sr_usage_reports_t *reports,
			   const sr_usage_reports_source_t *source,
			   sr_usage_windows_t *usage)
{
	gsize size = 0;
	const char *data = source->payload ?
				   g_bytes_get_data(source->payload, &size) :
				   NULL;
	char *text = g_strndup(data ? data : "", size);
	char **lines = g_strsplit(text, "\n", -1);

	g_queue_clear_full(&reports->reports, free_report);
	reports->write_pending = FALSE;
	reports->receiving_since_ms = source->receiving_since_ms;
	reports->reported_before = source->reported_before;
	reports->lost_before = source->lost_before;
	for (char **line = lines; *line; line++) {
		if (**line == '+')
			sr_usage_windows_restore(usage, *line);
		else
			load_line(reports, *line);
	}
	g_strfreev(lines);
	g_free(text);
}

static guint64 next_window(const sr_usage_reports_t *reports,
			   const sr_usage_windows_t *usage, gint64 unix_ms)
{
	const sr_usage_reports_options_t *options = &reports->options;
	const report_t *last = g_queue_peek_tail((GQueue *)&reports->reports);
	/* the reports of windows before this one are past due */
	guint64 first = sr_usage_windows_at(
		usage, unix_ms - (options->window + options->due) / SR_MSEC);

	first = MAX(first, MAX(reports->reported_before, reports->lost_before));
	return last ? MAX(last->window + 1, first) : first;
}

static GBytes *encode_payload(const sr_usage_reports_t *reports,
			      const sr_usage_windows_t *usage, gint64 unix_ms)
{
	GString *text = g_string_new(NULL);
	gsize reports_end;

	if (reports->lost_before > 0)
		g_string_append_printf(text,
				       LOST_WORD " %" G_GUINT64_FORMAT "\n",
				       reports->lost_before);
	for (GList *item = reports->reports.head; item; item = item->next) {
		const report_t *report = item->data;
		GHashTableIter iter;
		gpointer account;
		gpointer count;

		g_string_append_printf(text, "%" G_GUINT64_FORMAT,
				       report->window);
		g_hash_table_iter_init(&iter, report->counts);
		while (g_hash_table_iter_next(&iter, &account, &count)) {
			char *escaped =
				g_uri_escape_string(account, NULL, FALSE);

			g_string_append_printf(text, " %s=%" G_GUINT64_FORMAT,
					       escaped, *(guint64 *)count);
			g_free(escaped);
		}
		g_string_append_c(text, '\n');
	}
	reports_end = text->len;
	sr_usage_windows_save(usage, next_window(reports, usage, unix_ms),
			      text);
	/* the reports must fit; the counts of open windows can be dropped, as
	 * the hosts send them again */
	if (text->len > SR_LEASE_PAYLOAD_MAX)
		g_string_truncate(text, reports_end);
	return g_string_free_to_bytes(text);
}

/* TRUE once the other hosts have had time to send their counts of the window,
 * or if its report is nearly due. */
static gboolean may_close(const sr_usage_reports_t *reports, guint64 window,
			  gint64 unix_ms)
{
	const sr_usage_reports_options_t *options = &reports->options;
	sr_usec_t since_end =
		(unix_ms - (gint64)(window + 1) * (options->window / SR_MSEC)) *
		SR_MSEC;
	sr_usec_t receiving_for =
		(unix_ms - reports->receiving_since_ms) * SR_MSEC;

	return since_end >= options->settle &&
	       (receiving_for >= options->takeover_wait ||
		since_end >= options->due - options->due_margin);
}

GBytes *sr_usage_reports_close(sr_usage_reports_t *reports,
			       const sr_usage_windows_t *usage, gint64 unix_ms)
{
	guint64 window;

	if (reports->write_pending)
		return NULL;
	window = next_window(reports, usage, unix_ms);
	if (!may_close(reports, window, unix_ms))
		return NULL;
	for (; may_close(reports, window, unix_ms); window++)
		append_report(reports, window,
			      sr_usage_windows_total(usage, window),
			      REPORT_CLOSING);
	return sr_usage_reports_save(reports, usage, unix_ms);
}

GBytes *sr_usage_reports_save(sr_usage_reports_t *reports,
			      const sr_usage_windows_t *usage, gint64 unix_ms)
{
	if (reports->write_pending)
		return NULL;
	reports->write_pending = TRUE;
	return encode_payload(reports, usage, unix_ms);
}

void sr_usage_reports_written(sr_usage_reports_t *reports, gboolean ok)
{
	GList *item = reports->reports.head;

	reports->write_pending = FALSE;
	while (item) {
		GList *next = item->next;
		report_t *report = item->data;

		if (report->state == REPORT_CLOSING && ok) {
			report->state = REPORT_FINAL;
		} else if (report->state == REPORT_CLOSING) {
			free_report(report);
			g_queue_delete_link(&reports->reports, item);
		}
		item = next;
	}
}

gboolean sr_usage_reports_next(sr_usage_reports_t *reports,
			       sr_usage_report_t *out)
{
	for (GList *item = reports->reports.head; item; item = item->next) {
		report_t *report = item->data;

		if (report->state != REPORT_FINAL)
			continue;
		report->state = REPORT_SENDING;
		out->window = report->window;
		out->counts = report->counts;
		return TRUE;
	}
	return FALSE;
}

void sr_usage_reports_sent(sr_usage_reports_t *reports, guint64 window,
			   gboolean accepted)
{
	for (GList *item = reports->reports.head; item; item = item->next) {
		report_t *report = item->data;

		if (report->window == window && report->state == REPORT_SENDING)
			report->state =
				accepted ? REPORT_ACCEPTED : REPORT_FINAL;
	}
}
