#include "core/change_log.h"

#include <string.h>

typedef struct {
	guint64 to;
	char *text;
	gsize size;
} change_t;

struct sr_change_log {
	gsize size_max;
	gsize size;
	guint64 from;	/* revision that the first entry starts at */
	guint64 to;	/* revision that the last entry leads to */
	GQueue changes; /* change_t */
};

static void free_change(gpointer data)
{
	change_t *change = data;

	g_free(change->text);
	g_free(change);
}

sr_change_log_t *sr_change_log_new(gsize size_max)
{
	sr_change_log_t *log = g_new0(sr_change_log_t, 1);

	log->size_max = size_max;
	g_queue_init(&log->changes);
	return log;
}

void sr_change_log_free(sr_change_log_t *log)
{
	if (!log)
		return;
	g_queue_clear_full(&log->changes, free_change);
	g_free(log);
}

void sr_change_log_clear(sr_change_log_t *log, guint64 from)
{
	g_queue_clear_full(&log->changes, free_change);
	log->size = 0;
	log->from = from;
	log->to = from;
}

static void drop_oldest(sr_change_log_t *log)
{
	change_t *change = g_queue_pop_head(&log->changes);

	log->size -= change->size;
	log->from = change->to;
	free_change(change);
}

void sr_change_log_append(sr_change_log_t *log, guint64 from, guint64 to,
			  const char *text)
{
	change_t *change;

	if (from != log->to || to < from)
		sr_change_log_clear(log, from);
	change = g_new0(change_t, 1);
	change->to = to;
	change->text = g_strdup(text);
	change->size = strlen(text);
	g_queue_push_tail(&log->changes, change);
	log->size += change->size;
	log->to = to;
	while (log->size > log->size_max)
		drop_oldest(log);
}

GBytes *sr_change_log_since(const sr_change_log_t *log, guint64 revision)
{
	GString *text;

	if (revision < log->from || revision > log->to)
		return NULL;
	text = g_string_new(NULL);
	for (GList *item = log->changes.head; item; item = item->next) {
		const change_t *change = item->data;

		if (change->to > revision)
			g_string_append_printf(text, "%s\n", change->text);
	}
	return g_string_free_to_bytes(text);
}
