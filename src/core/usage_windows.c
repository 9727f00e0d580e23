#include "core/usage_windows.h"

#include <string.h>

typedef struct {
	guint64 window;
	GHashTable *hosts; /* node -> (account -> guint64 *) */
} window_t;

struct sr_usage_windows {
	char *node;
	gint64 length_ms;
	window_t windows[SR_USAGE_WINDOWS_KEPT]; /* by window modulo their n */
};

sr_usage_windows_t *sr_usage_windows_new(const char *node, sr_usec_t length)
{
	sr_usage_windows_t *usage = g_new0(sr_usage_windows_t, 1);

	usage->node = g_strdup(node);
	usage->length_ms = MAX(length / SR_MSEC, 1);
	return usage;
}

void sr_usage_windows_free(sr_usage_windows_t *usage)
{
	if (!usage)
		return;
	for (unsigned i = 0; i < SR_USAGE_WINDOWS_KEPT; i++) {
		if (usage->windows[i].hosts)
			g_hash_table_unref(usage->windows[i].hosts);
	}
	g_free(usage->node);
	g_free(usage);
}

guint64 sr_usage_windows_at(const sr_usage_windows_t *usage, gint64 unix_ms)
{
	return (guint64)(MAX(unix_ms, 0) / usage->length_ms);
}

static GHashTable *new_counts(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* NULL if the window is older than the one that has its place. */
static window_t *open_window(sr_usage_windows_t *usage, guint64 window)
{
	window_t *slot = &usage->windows[window % SR_USAGE_WINDOWS_KEPT];

	if (slot->hosts && slot->window == window)
		return slot;
	if (slot->hosts && slot->window > window)
		return NULL;
	if (slot->hosts)
		g_hash_table_unref(slot->hosts);
	slot->window = window;
	slot->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)g_hash_table_unref);
	return slot;
}

static const window_t *find_window(const sr_usage_windows_t *usage,
				   guint64 window)
{
	const window_t *slot = &usage->windows[window % SR_USAGE_WINDOWS_KEPT];

	return slot->hosts && slot->window == window ? slot : NULL;
}

static GHashTable *counts_of(window_t *slot, const char *node)
{
	GHashTable *counts = g_hash_table_lookup(slot->hosts, node);

	if (!counts) {
		counts = new_counts();
		g_hash_table_insert(slot->hosts, g_strdup(node), counts);
	}
	return counts;
}

static void add(GHashTable *counts, const char *account, guint64 n)
{
	guint64 *count = g_hash_table_lookup(counts, account);

	if (!count) {
		count = g_new0(guint64, 1);
		g_hash_table_insert(counts, g_strdup(account), count);
	}
	*count += n;
}

void sr_usage_windows_count(sr_usage_windows_t *usage, gint64 unix_ms,
			    const char *account)
{
	window_t *slot =
		open_window(usage, sr_usage_windows_at(usage, unix_ms));

	if (slot)
		add(counts_of(slot, usage->node), account, 1);
}

guint64 sr_usage_windows_text(const sr_usage_windows_t *usage, guint64 window,
			      char **text)
{
	const window_t *slot = find_window(usage, window);
	GHashTable *counts =
		slot ? g_hash_table_lookup(slot->hosts, usage->node) : NULL;
	GString *out = g_string_new(NULL);
	GHashTableIter iter;
	gpointer account;
	gpointer count;
	guint64 sum = 0;

	if (counts) {
		g_hash_table_iter_init(&iter, counts);
		while (g_hash_table_iter_next(&iter, &account, &count)) {
			guint64 n = *(guint64 *)count;

			g_string_append_printf(out,
					       "%s=%" G_GUINT64_FORMAT "\n",
					       (const char *)account, n);
			sum += n;
		}
	}
	*text = g_string_free(out, FALSE);
	return sum;
}

static GHashTable *parse_counts(const char *text, gsize size, guint64 *sum)
{
	GHashTable *counts = new_counts();
	char *copy = g_strndup(text, size);
	char **lines = g_strsplit(copy, "\n", -1);

	*sum = 0;
	for (char **line = lines; *line; line++) {
		char *mark = strrchr(*line, '=');
		guint64 n;

		if (!mark || mark == *line)
			continue;
		if (!g_ascii_string_to_unsigned(mark + 1, 10, 0, G_MAXUINT32,
						&n, NULL))
			continue;
		*mark = '\0';
		add(counts, *line, n);
		*sum += n;
	}
	g_strfreev(lines);
	g_free(copy);
	return counts;
}

static guint64 sum_of(GHashTable *counts)
{
	GHashTableIter iter;
	gpointer count;
	guint64 sum = 0;

	if (!counts)
		return 0;
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, NULL, &count))
		sum += *(guint64 *)count;
	return sum;
}

void sr_usage_windows_heard(sr_usage_windows_t *usage, const char *node,
			    guint64 window, const char *text, gsize size)
{
	window_t *slot;
	GHashTable *counts;
	guint64 sum;

	if (!strcmp(node, usage->node))
		return;
	slot = open_window(usage, window);
	if (!slot)
		return;
	counts = parse_counts(text, size, &sum);
	if (sum > sum_of(g_hash_table_lookup(slot->hosts, node)))
		g_hash_table_insert(slot->hosts, g_strdup(node), counts);
	else
		g_hash_table_unref(counts);
}

GHashTable *sr_usage_windows_total(const sr_usage_windows_t *usage,
				   guint64 window)
{
	const window_t *slot = find_window(usage, window);
	GHashTable *total = new_counts();
	GHashTableIter hosts;
	gpointer counts;

	if (!slot)
		return total;
	g_hash_table_iter_init(&hosts, slot->hosts);
	while (g_hash_table_iter_next(&hosts, NULL, &counts)) {
		GHashTableIter iter;
		gpointer account;
		gpointer count;

		g_hash_table_iter_init(&iter, counts);
		while (g_hash_table_iter_next(&iter, &account, &count))
			add(total, account, *(guint64 *)count);
	}
	return total;
}
