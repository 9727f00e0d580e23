#include "core/load_sum.h"

#include <string.h>

/** First character of a line with the work of a service, of one with the use of
 * an account's pools, and of one with evidence. */
#define WORK_MARK '@'
#define USE_MARK '$'
#define EVIDENCE_MARK '#'

/** Counters of a series, numbered in the order of their struct. */
#define N_COUNTERS (sizeof(sr_evidence_counters_t) / sizeof(guint32))

struct sr_load_sum {
	unsigned n_hosts;
	GHashTable *items;    /* instance -> sr_load_item_t */
	GHashTable *work;     /* service -> double *, busy instances */
	GHashTable *uses;     /* pool, one digit, and account -> its use */
	GHashTable *evidence; /* series -> sr_evidence_counters_t */
};

static GHashTable *new_table(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

sr_load_sum_t *sr_load_sum_new(void)
{
	sr_load_sum_t *sum = g_new0(sr_load_sum_t, 1);

	sum->items = new_table();
	sum->work = new_table();
	sum->uses = new_table();
	sum->evidence = new_table();
	return sum;
}

void sr_load_sum_free(sr_load_sum_t *sum)
{
	if (!sum)
		return;
	g_hash_table_unref(sum->items);
	g_hash_table_unref(sum->work);
	g_hash_table_unref(sum->uses);
	g_hash_table_unref(sum->evidence);
	g_free(sum);
}

void sr_load_sum_set_hosts(sr_load_sum_t *sum, unsigned n)
{
	sum->n_hosts = n;
}

unsigned sr_load_sum_hosts(const sr_load_sum_t *sum)
{
	return sum->n_hosts;
}

/* The value of a key, zeroes if it is new. */
static gpointer get_value(GHashTable *table, const char *key, gsize size)
{
	gpointer value = g_hash_table_lookup(table, key);

	if (!value) {
		value = g_malloc0(size);
		g_hash_table_insert(table, g_strdup(key), value);
	}
	return value;
}

void sr_load_sum_add_item(sr_load_sum_t *sum, const char *instance,
			  const sr_load_item_t *item)
{
	sr_load_item_t *known = get_value(sum->items, instance, sizeof(*known));

	known->in_flight += item->in_flight;
	known->pending_prompt_tokens += item->pending_prompt_tokens;
}

void sr_load_sum_add_work(sr_load_sum_t *sum, const char *service, double work)
{
	double *known = get_value(sum->work, service, sizeof(*known));

	*known += work;
}

/* The key is the number of the pool, one digit, and the account. */
static void add_use(sr_load_sum_t *sum, const char *key,
		    const sr_allowance_use_t *use)
{
	sr_allowance_use_t *known = get_value(sum->uses, key, sizeof(*known));

	for (unsigned i = 0; i < SR_ALLOWANCE_PARTS; i++)
		known->granted[i] += use->granted[i];
}

void sr_load_sum_add_use(sr_load_sum_t *sum, const char *account, unsigned pool,
			 const sr_allowance_use_t *use)
{
	char *key = g_strdup_printf("%u%s", pool, account);

	add_use(sum, key, use);
	g_free(key);
}

void sr_load_sum_foreach_use(const sr_load_sum_t *sum,
			     void (*fn)(void *user, const char *account,
					unsigned pool,
					const sr_allowance_use_t *use),
			     void *user)
{
	GHashTableIter iter;
	gpointer key;
	gpointer use;

	g_hash_table_iter_init(&iter, sum->uses);
	while (g_hash_table_iter_next(&iter, &key, &use))
		fn(user, (char *)key + 1, (unsigned)(*(char *)key - '0'), use);
}

void sr_load_sum_add_evidence(sr_load_sum_t *sum, const char *series,
			      const sr_evidence_counters_t *counters)
{
	sr_evidence_add(get_value(sum->evidence, series, sizeof(*counters)),
			counters);
}

void sr_load_sum_foreach_evidence(
	const sr_load_sum_t *sum,
	void (*fn)(void *user, const char *series,
		   const sr_evidence_counters_t *counters),
	void *user)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, sum->evidence);
	while (g_hash_table_iter_next(&iter, &key, &value))
		fn(user, key, value);
}

void sr_load_sum_add(sr_load_sum_t *sum, const sr_load_sum_t *other)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	sum->n_hosts += other->n_hosts;
	g_hash_table_iter_init(&iter, other->items);
	while (g_hash_table_iter_next(&iter, &key, &value))
		sr_load_sum_add_item(sum, key, value);
	g_hash_table_iter_init(&iter, other->work);
	while (g_hash_table_iter_next(&iter, &key, &value))
		sr_load_sum_add_work(sum, key, *(double *)value);
	g_hash_table_iter_init(&iter, other->uses);
	while (g_hash_table_iter_next(&iter, &key, &value))
		add_use(sum, key, value);
	g_hash_table_iter_init(&iter, other->evidence);
	while (g_hash_table_iter_next(&iter, &key, &value))
		sr_load_sum_add_evidence(sum, key, value);
}

sr_load_item_t sr_load_sum_item(const sr_load_sum_t *sum, const char *instance)
{
	const sr_load_item_t *known = g_hash_table_lookup(sum->items, instance);

	return known ? *known : (sr_load_item_t){ 0 };
}

double sr_load_sum_work(const sr_load_sum_t *sum, const char *service)
{
	const double *known = g_hash_table_lookup(sum->work, service);

	return known ? *known : 0;
}

typedef struct {
	const char *instance;
	const sr_load_item_t *item;
} named_item_t;

static gint compare_load(gconstpointer a, gconstpointer b)
{
	const named_item_t *x = a;
	const named_item_t *y = b;

	if (x->item->in_flight != y->item->in_flight)
		return x->item->in_flight < y->item->in_flight ? 1 : -1;
	return strcmp(x->instance, y->instance);
}

static GArray *sort_by_load(const sr_load_sum_t *sum)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(named_item_t));
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, sum->items);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const named_item_t item = { key, value };

		g_array_append_val(items, item);
	}
	g_array_sort(items, compare_load);
	return items;
}

/* Takes ownership of the line. FALSE if it fits no part. */
static gboolean add_line(GPtrArray *parts, char *line, gsize size_max,
			 guint parts_max)
{
	GString *last = parts->len > 0 ? parts->pdata[parts->len - 1] : NULL;
	gsize size = strlen(line);
	gboolean fits = size <= size_max;

	if (fits && (!last || last->len + size > size_max)) {
		fits = parts->len < parts_max;
		if (fits) {
			last = g_string_new(NULL);
			g_ptr_array_add(parts, last);
		}
	}
	if (fits)
		g_string_append(last, line);
	g_free(line);
	return fits;
}

static GPtrArray *take_texts(GPtrArray *parts)
{
	GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < parts->len; i++)
		g_ptr_array_add(texts, g_string_free(parts->pdata[i], FALSE));
	if (texts->len == 0)
		g_ptr_array_add(texts, g_strdup(""));
	g_ptr_array_unref(parts);
	return texts;
}

static char *use_line(const char *key, const sr_allowance_use_t *use)
{
	GString *line = g_string_new(NULL);

	g_string_append_printf(line, "%c%s", USE_MARK, key);
	for (unsigned i = 0; i < SR_ALLOWANCE_PARTS; i++)
		g_string_append_printf(line, " %.0f", use->granted[i]);
	g_string_append_c(line, '\n');
	return g_string_free(line, FALSE);
}

/* "#SERIES COUNTER:VALUE...\n" with the counters that are not 0; the series is
 * escaped as in a URI. */
static char *evidence_line(const char *series,
			   const sr_evidence_counters_t *counters)
{
	char *escaped = g_uri_escape_string(series, "/", FALSE);
	GString *line = g_string_new(NULL);
	const guint32 *values = (const guint32 *)counters;

	g_string_append_printf(line, "%c%s", EVIDENCE_MARK, escaped);
	for (gsize i = 0; i < N_COUNTERS; i++) {
		if (values[i] > 0)
			g_string_append_printf(line, " %" G_GSIZE_FORMAT ":%u",
					       i, values[i]);
	}
	g_string_append_c(line, '\n');
	g_free(escaped);
	return g_string_free(line, FALSE);
}

/* A line is "@SERVICE WORK\n", "$POOL_AND_ACCOUNT GRANTED...\n", the latest
 * part first, that of evidence_line(), or "INSTANCE IN_FLIGHT TOKENS\n". */
GPtrArray *sr_load_sum_encode(const sr_load_sum_t *sum, gsize size_max,
			      guint parts_max, unsigned *n_dropped)
{
	GPtrArray *parts = g_ptr_array_new();
	GArray *items = sort_by_load(sum);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	*n_dropped = 0;
	g_hash_table_iter_init(&iter, sum->work);
	while (g_hash_table_iter_next(&iter, &key, &value))
		*n_dropped += !add_line(
			parts,
			g_strdup_printf("%c%s %.3f\n", WORK_MARK,
					(const char *)key, *(double *)value),
			size_max, parts_max);
	g_hash_table_iter_init(&iter, sum->uses);
	while (g_hash_table_iter_next(&iter, &key, &value))
		*n_dropped += !add_line(parts, use_line(key, value), size_max,
					parts_max);
	g_hash_table_iter_init(&iter, sum->evidence);
	while (g_hash_table_iter_next(&iter, &key, &value))
		*n_dropped += !add_line(parts, evidence_line(key, value),
					size_max, parts_max);
	for (guint i = 0; i < items->len; i++) {
		const named_item_t *named =
			&g_array_index(items, named_item_t, i);

		*n_dropped += !add_line(
			parts,
			g_strdup_printf("%s %.0f %.0f\n", named->instance,
					named->item->in_flight,
					named->item->pending_prompt_tokens),
			size_max, parts_max);
	}
	g_array_unref(items);
	return take_texts(parts);
}

/* Malformed counters are skipped. */
static void decode_evidence(sr_load_sum_t *sum, char **fields)
{
	char *series = g_uri_unescape_string(fields[0] + 1, NULL);
	sr_evidence_counters_t counters = { 0 };
	guint32 *values = (guint32 *)&counters;

	for (char **field = fields + 1; *field; field++) {
		char *end;
		guint64 index = g_ascii_strtoull(*field, &end, 10);

		if (end > *field && *end == ':' && index < N_COUNTERS)
			values[index] =
				(guint32)g_ascii_strtoull(end + 1, NULL, 10);
	}
	if (series)
		sr_load_sum_add_evidence(sum, series, &counters);
	g_free(series);
}

static void decode_line(sr_load_sum_t *sum, char **fields)
{
	guint n = g_strv_length(fields);

	if (n > 1 && fields[0][0] == EVIDENCE_MARK) {
		decode_evidence(sum, fields);
	} else if (n == 2 && fields[0][0] == WORK_MARK) {
		sr_load_sum_add_work(sum, fields[0] + 1,
				     g_ascii_strtod(fields[1], NULL));
	} else if (n == 1 + SR_ALLOWANCE_PARTS && fields[0][0] == USE_MARK) {
		unsigned pool = (unsigned)(fields[0][1] - '0');
		sr_allowance_use_t use;

		for (unsigned i = 0; i < SR_ALLOWANCE_PARTS; i++)
			use.granted[i] = g_ascii_strtod(fields[1 + i], NULL);
		if (pool < SR_ALLOWANCE_POOLS)
			add_use(sum, fields[0] + 1, &use);
	} else if (n == 3 && *fields[0]) {
		const sr_load_item_t item = {
			.in_flight = g_ascii_strtod(fields[1], NULL),
			.pending_prompt_tokens =
				g_ascii_strtod(fields[2], NULL),
		};

		sr_load_sum_add_item(sum, fields[0], &item);
	}
}

void sr_load_sum_decode(sr_load_sum_t *sum, const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);

	for (char **line = lines; *line; line++) {
		char **fields = g_strsplit(*line, " ", -1);

		decode_line(sum, fields);
		g_strfreev(fields);
	}
	g_strfreev(lines);
}
