#include "core/usage_reports.h"

#include "core/lease.h"

#include <string.h>

/** Windows that the payload remembers; those before them are past due. */
#define REMEMBERED 8

typedef enum {
	REPORT_CLOSING, /* its counts are being written */
	REPORT_FINAL,	/* written; to be sent */
	REPORT_SENDING,
	REPORT_TAKEN,
} report_state_t;

typedef struct {
	guint64 window;
	GHashTable *counts;
	report_state_t state;
} report_t;

struct sr_usage_reports {
	sr_usage_reports_options_t options;
	GQueue reports; /* report_t, by window */
	gboolean writing;
	gint64 told_since_ms; /* the others' counts come in since then */
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
	while (g_queue_get_length(&reports->reports) > REMEMBERED)
		free_report(g_queue_pop_head(&reports->reports));
}

/* "WINDOW account=count account=count", accounts escaped as in a URI */
static void load_line(sr_usage_reports_t *reports, const char *line)
{
	char **words = g_strsplit(line, " ", -1);
	GHashTable *counts;
	guint64 window;

	if (!words[0] || !g_ascii_string_to_unsigned(
				 words[0], 10, 0, G_MAXUINT64, &window, NULL)) {
		g_strfreev(words);
		return;
	}
	counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (char **word = words + 1; *word; word++) {
		char *mark = strrchr(*word, '=');
		guint64 count;
		char *account;

		if (!mark ||
		    !g_ascii_string_to_unsigned(mark + 1, 10, 0, G_MAXUINT64,
						&count, NULL))
			continue;
		*mark = '\0';
		account = g_uri_unescape_string(*word, NULL);
		if (account)
			g_hash_table_insert(counts, account,
					    g_memdup2(&count, sizeof(count)));
	}
	append_report(reports, window, counts, REPORT_FINAL);
	g_strfreev(words);
}

void sr_usage_reports_load(sr_usage_reports_t *reports, GBytes *payload,
			   sr_usage_windows_t *usage, gint64 told_since_ms)
{
	gsize size = 0;
	const char *data = payload ? g_bytes_get_data(payload, &size) : NULL;
	char *text = g_strndup(data ? data : "", size);
	char **lines = g_strsplit(text, "\n", -1);

	g_queue_clear_full(&reports->reports, free_report);
	reports->writing = FALSE;
	reports->told_since_ms = told_since_ms;
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
	/* What ended before that is past due. */
	guint64 first = sr_usage_windows_at(
		usage, unix_ms - (options->window + options->due) / SR_MSEC);

	return last ? MAX(last->window + 1, first) : first;
}

static GBytes *encode(const sr_usage_reports_t *reports,
		      const sr_usage_windows_t *usage, gint64 unix_ms)
{
	GString *text = g_string_new(NULL);
	gsize closed;

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
	closed = text->len;
	sr_usage_windows_save(usage, next_window(reports, usage, unix_ms),
			      text);
	/* the reports must fit; what is open can be told again */
	if (text->len > SR_LEASE_PAYLOAD_MAX)
		g_string_truncate(text, closed);
	return g_string_free_to_bytes(text);
}

/* The counts of the window have come in, or the report can't wait. */
static gboolean may_close(const sr_usage_reports_t *reports, guint64 window,
			  gint64 unix_ms)
{
	const sr_usage_reports_options_t *options = &reports->options;
	sr_usec_t since_end =
		(unix_ms - (gint64)(window + 1) * (options->window / SR_MSEC)) *
		SR_MSEC;
	sr_usec_t since_told = (unix_ms - reports->told_since_ms) * SR_MSEC;

	return since_end >= options->settle &&
	       (since_told >= options->intake ||
		since_end >= options->due - options->margin);
}

GBytes *sr_usage_reports_close(sr_usage_reports_t *reports,
			       const sr_usage_windows_t *usage, gint64 unix_ms)
{
	guint64 window;

	if (reports->writing)
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
	if (reports->writing)
		return NULL;
	reports->writing = TRUE;
	return encode(reports, usage, unix_ms);
}

void sr_usage_reports_written(sr_usage_reports_t *reports, gboolean ok)
{
	GList *item = reports->reports.head;

	reports->writing = FALSE;
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
			   gboolean taken)
{
	for (GList *item = reports->reports.head; item; item = item->next) {
		report_t *report = item->data;

		if (report->window == window && report->state == REPORT_SENDING)
			report->state = taken ? REPORT_TAKEN : REPORT_FINAL;
	}
}
