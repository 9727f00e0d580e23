#include "core/usage_windows.h"

#include <string.h>

typedef struct {
	guint64 window;
	GHashTable *hosts; /* node -> (account -> guint64 *) */
} window_t;

struct sr_usage_windows {
	char *node;
	gint64 length_ms;
	/* ring, indexed by the number of the window modulo the size */
	window_t windows[SR_USAGE_WINDOWS_KEPT];
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

/* Finds or adds a window. An older one in its slot is replaced; NULL if the
 * slot has a newer one. */
static window_t *get_window(sr_usage_windows_t *usage, guint64 window)
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

static GHashTable *get_counts(window_t *slot, const char *node)
{
	GHashTable *counts = g_hash_table_lookup(slot->hosts, node);

	if (!counts) {
		counts = new_counts();
		g_hash_table_insert(slot->hosts, g_strdup(node), counts);
	}
	return counts;
}

static void add_count(GHashTable *counts, const char *account, guint64 n)
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
	window_t *slot = get_window(usage, sr_usage_windows_at(usage, unix_ms));

	if (slot)
		add_count(get_counts(slot, usage->node), account, 1);
}

static void save_line(const window_t *slot, const char *node,
		      GHashTable *counts, GString *out)
{
	GHashTableIter iter;
	gpointer account;
	gpointer count;

	g_string_append_printf(out, "+%" G_GUINT64_FORMAT " %s", slot->window,
			       node);
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &account, &count)) {
		char *escaped = g_uri_escape_string(account, NULL, FALSE);

		g_string_append_printf(out, " %s=%" G_GUINT64_FORMAT, escaped,
				       *(guint64 *)count);
		g_free(escaped);
	}
	g_string_append_c(out, '\n');
}

void sr_usage_windows_save(const sr_usage_windows_t *usage, guint64 first,
			   GString *out)
{
	for (unsigned i = 0; i < SR_USAGE_WINDOWS_KEPT; i++) {
		const window_t *slot = &usage->windows[i];
		GHashTableIter hosts;
		gpointer node;
		gpointer counts;

		if (!slot->hosts || slot->window < first)
			continue;
		g_hash_table_iter_init(&hosts, slot->hosts);
		while (g_hash_table_iter_next(&hosts, &node, &counts))
			save_line(slot, node, counts, out);
	}
}

static guint64 format_counts(GHashTable *counts, GString *out)
{
	GHashTableIter iter;
	gpointer account;
	gpointer count;
	guint64 sum = 0;

	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &account, &count)) {
		guint64 n = *(guint64 *)count;

		g_string_append_printf(out, "%s=%" G_GUINT64_FORMAT "\n",
				       (const char *)account, n);
		sum += n;
	}
	return sum;
}

guint64 sr_usage_windows_encode_own(const sr_usage_windows_t *usage,
				    guint64 window, char **text)
{
	const window_t *slot = find_window(usage, window);
	GHashTable *counts =
		slot ? g_hash_table_lookup(slot->hosts, usage->node) : NULL;
	GString *out = g_string_new(NULL);
	guint64 sum = counts ? format_counts(counts, out) : 0;

	*text = g_string_free(out, FALSE);
	return sum;
}

void sr_usage_windows_foreach_peer(
	const sr_usage_windows_t *usage, guint64 window,
	void (*fn)(void *user, const char *node, const char *text), void *user)
{
	const window_t *slot = find_window(usage, window);
	GHashTableIter hosts;
	gpointer node;
	gpointer counts;

	if (!slot)
		return;
	g_hash_table_iter_init(&hosts, slot->hosts);
	while (g_hash_table_iter_next(&hosts, &node, &counts)) {
		GString *text;

		if (!strcmp(node, usage->node))
			continue;
		text = g_string_new(NULL);
		format_counts(counts, text);
		fn(user, node, text->str);
		g_string_free(text, TRUE);
	}
}

/* Parses and adds "account=count". Returns the count, 0 if it is malformed. */
static guint64 parse_count(GHashTable *counts, char *text, gboolean is_escaped)
{
	char *separator = strrchr(text, '=');
	char *account;
	guint64 n;

	if (!separator || separator == text)
		return 0;
	if (!g_ascii_string_to_unsigned(separator + 1, 10, 0, G_MAXUINT32, &n,
					NULL))
		return 0;
	*separator = '\0';
	account =
		is_escaped ? g_uri_unescape_string(text, NULL) : g_strdup(text);
	if (!account)
		return 0;
	add_count(counts, account, n);
	g_free(account);
	return n;
}

static GHashTable *parse_counts(const char *text, gsize size, guint64 *sum)
{
	GHashTable *counts = new_counts();
	char *copy = g_strndup(text, size);
	char **lines = g_strsplit(copy, "\n", -1);

	*sum = 0;
	for (char **line = lines; *line; line++)
		*sum += parse_count(counts, *line, FALSE);
	g_strfreev(lines);
	g_free(copy);
	return counts;
}

static guint64 sum_counts(GHashTable *counts)
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

/* Stores the counts of another host if their sum exceeds that of its known
 * counts; takes ownership of them. */
static void store_counts(sr_usage_windows_t *usage, const char *node,
			 guint64 window, GHashTable *counts, guint64 sum)
{
	window_t *slot =
		strcmp(node, usage->node) ? get_window(usage, window) : NULL;

	if (slot && sum > sum_counts(g_hash_table_lookup(slot->hosts, node)))
		g_hash_table_insert(slot->hosts, g_strdup(node), counts);
	else
		g_hash_table_unref(counts);
}

void sr_usage_windows_receive(sr_usage_windows_t *usage, const char *node,
			      guint64 window, const char *text, gsize size)
{
	guint64 sum;
	GHashTable *counts = parse_counts(text, size, &sum);

	store_counts(usage, node, window, counts, sum);
}

void sr_usage_windows_restore(sr_usage_windows_t *usage, const char *line)
{
	char **words = g_strsplit(line, " ", -1);
	guint64 window;

	if (g_strv_length(words) > 2 && words[0][0] == '+' && *words[1] &&
	    g_ascii_string_to_unsigned(words[0] + 1, 10, 0, G_MAXUINT64,
				       &window, NULL)) {
		GHashTable *counts = new_counts();
		guint64 sum = 0;

		for (char **word = words + 2; *word; word++)
			sum += parse_count(counts, *word, TRUE);
		store_counts(usage, words[1], window, counts, sum);
	}
	g_strfreev(words);
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
			add_count(total, account, *(guint64 *)count);
	}
	return total;
}
