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

/* Parses and adds "account=count"; ignores it if it is malformed. */
static void parse_count(GHashTable *counts, char *text, gboolean is_escaped)
{
	char *separator = strrchr(text, '=');
	char *account;
	guint64 n;

	if (!separator || separator == text)
		return;
	if (!g_ascii_string_to_unsigned(separator + 1, 10, 0, G_MAXUINT32, &n,
					NULL))
		return;
	*separator = '\0';
	account =
		is_escaped ? g_uri_unescape_string(text, NULL) : g_strdup(text);
	if (!account)
		return;
	add_count(counts, account, n);
	g_free(account);
}

/* Raises the counts of another host to the received ones; frees those. */
static void merge_counts(sr_usage_windows_t *usage, const char *node,
			 guint64 window, GHashTable *received)
{
	window_t *slot =
		strcmp(node, usage->node) ? get_window(usage, window) : NULL;
	GHashTable *known = slot && g_hash_table_size(received) > 0 ?
				    get_counts(slot, node) :
				    NULL;
	GHashTableIter iter;
	gpointer account;
	gpointer count;

	g_hash_table_iter_init(&iter, received);
	while (known && g_hash_table_iter_next(&iter, &account, &count)) {
		const guint64 *before = g_hash_table_lookup(known, account);
		guint64 n = *(guint64 *)count;

		if (!before || n > *before)
			add_count(known, account, n - (before ? *before : 0));
	}
	g_hash_table_unref(received);
}

void sr_usage_windows_receive(sr_usage_windows_t *usage, const char *node,
			      guint64 window, const char *text, gsize size)
{
	GHashTable *counts = new_counts();
	char *copy = g_strndup(text, size);
	char **lines = g_strsplit(copy, "\n", -1);

	for (char **line = lines; *line; line++)
		parse_count(counts, *line, FALSE);
	g_strfreev(lines);
	g_free(copy);
	merge_counts(usage, node, window, counts);
}

void sr_usage_windows_restore(sr_usage_windows_t *usage, const char *line)
{
	char **words = g_strsplit(line, " ", -1);
	guint64 window;

	if (g_strv_length(words) > 2 && words[0][0] == '+' && *words[1] &&
	    g_ascii_string_to_unsigned(words[0] + 1, 10, 0, G_MAXUINT64,
				       &window, NULL)) {
		GHashTable *counts = new_counts();

		for (char **word = words + 2; *word; word++)
			parse_count(counts, *word, TRUE);
		merge_counts(usage, words[1], window, counts);
	}
	g_strfreev(words);
}

/* Start of a host in Unix seconds if it lies in or after the window, or else
 * 0. */
static gint64 cohort_of(const sr_usage_windows_t *usage, const char *node,
			guint64 window)
{
	const char *separator = strrchr(node, '@');
	gint64 start_ms;

	if (!separator ||
	    !g_ascii_string_to_signed(separator + 1, 10, 0, G_MAXINT64,
				      &start_ms, NULL) ||
	    sr_usage_windows_at(usage, start_ms) < window)
		return 0;
	return start_ms / 1000;
}

static void add_counts(GHashTable *sum, GHashTable *counts)
{
	GHashTableIter iter;
	gpointer account;
	gpointer count;

	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &account, &count))
		add_count(sum, account, *(guint64 *)count);
}

static GHashTable *sum_cohorts(const sr_usage_windows_t *usage, guint64 window)
{
	const window_t *slot = find_window(usage, window);
	GHashTable *cohorts =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      (GDestroyNotify)g_hash_table_unref);
	GHashTableIter hosts;
	gpointer node;
	gpointer counts;

	if (!slot)
		return cohorts;
	g_hash_table_iter_init(&hosts, slot->hosts);
	while (g_hash_table_iter_next(&hosts, &node, &counts)) {
		gint64 start_s = cohort_of(usage, node, window);
		GHashTable *sum = g_hash_table_lookup(cohorts, &start_s);

		if (!sum) {
			sum = new_counts();
			g_hash_table_insert(
				cohorts, g_memdup2(&start_s, sizeof(start_s)),
				sum);
		}
		add_counts(sum, counts);
	}
	return cohorts;
}

void sr_usage_windows_foreach_cohort(
	const sr_usage_windows_t *usage, guint64 window,
	void (*fn)(void *user, gint64 start_s, const char *text), void *user)
{
	GHashTable *cohorts = sum_cohorts(usage, window);
	GHashTableIter iter;
	gpointer start_s;
	gpointer counts;

	g_hash_table_iter_init(&iter, cohorts);
	while (g_hash_table_iter_next(&iter, &start_s, &counts)) {
		GString *text = g_string_new(NULL);

		format_counts(counts, text);
		fn(user, *(gint64 *)start_s, text->str);
		g_string_free(text, TRUE);
	}
	g_hash_table_unref(cohorts);
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
	while (g_hash_table_iter_next(&hosts, NULL, &counts))
		add_counts(total, counts);
	return total;
}
