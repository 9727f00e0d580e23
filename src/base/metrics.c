#include "base/metrics.h"

#include <math.h>
#include <stdarg.h>
#include <string.h>

/* Powers of two of the smallest and the largest bucket bound. */
#define MIN_EXPONENT (-14)
#define MAX_EXPONENT 10
#define N_BOUNDS ((MAX_EXPONENT - MIN_EXPONENT) * 2 + 1)

typedef enum {
	KIND_COUNTER,
	KIND_GAUGE,
	KIND_HISTOGRAM,
	N_KINDS,
} series_kind_t;

struct sr_counter {
	guint64 value;
};

struct sr_gauge {
	double value;
};

struct sr_histogram {
	guint64 counts[N_BOUNDS + 1]; /* the last one has no upper bound */
	guint64 total;
	double sum;
};

typedef struct {
	char *labels;
	union {
		struct sr_counter counter;
		struct sr_gauge gauge;
		struct sr_histogram histogram;
	} as;
} series_t;

/* All series of one metric. */
typedef struct {
	char *name;
	char *help;
	series_kind_t kind;
	GHashTable *by_labels; /* borrowed labels -> series_t */
	GPtrArray *in_order;   /* series_t */
} family_t;

struct sr_metrics {
	GHashTable *by_name; /* borrowed name -> family_t */
	GPtrArray *in_order; /* family_t */
	unsigned n_series;
	guint64 dropped;	    /* lookups that gave an overflow series */
	series_t overflow[N_KINDS]; /* by kind; not written out */
};

static const char *const kind_names[] = { "counter", "gauge", "histogram" };

static void free_series(gpointer data)
{
	series_t *series = data;

	g_free(series->labels);
	g_free(series);
}

static void free_family(gpointer data)
{
	family_t *family = data;

	g_hash_table_destroy(family->by_labels);
	g_ptr_array_unref(family->in_order);
	g_free(family->name);
	g_free(family->help);
	g_free(family);
}

sr_metrics_t *sr_metrics_new(void)
{
	sr_metrics_t *metrics = g_new0(sr_metrics_t, 1);

	metrics->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	metrics->in_order = g_ptr_array_new_with_free_func(free_family);
	return metrics;
}

void sr_metrics_free(sr_metrics_t *metrics)
{
	if (!metrics)
		return;
	g_hash_table_destroy(metrics->by_name);
	g_ptr_array_unref(metrics->in_order);
	g_free(metrics);
}

static family_t *find_family(sr_metrics_t *metrics, series_kind_t kind,
			     const char *name, const char *help)
{
	family_t *family = g_hash_table_lookup(metrics->by_name, name);

	if (family) {
		g_assert(family->kind == kind);
		return family;
	}
	family = g_new0(family_t, 1);
	family->name = g_strdup(name);
	family->help = g_strdup(help);
	family->kind = kind;
	family->by_labels = g_hash_table_new(g_str_hash, g_str_equal);
	family->in_order = g_ptr_array_new_with_free_func(free_series);
	g_hash_table_insert(metrics->by_name, family->name, family);
	g_ptr_array_add(metrics->in_order, family);
	return family;
}

static series_t *find_series(sr_metrics_t *metrics, series_kind_t kind,
			     const char *name, const char *help,
			     const char *labels)
{
	family_t *family = find_family(metrics, kind, name, help);
	const char *key = labels ? labels : "";
	series_t *series = g_hash_table_lookup(family->by_labels, key);

	if (series)
		return series;
	if (metrics->n_series >= SR_METRICS_SERIES_MAX) {
		metrics->dropped++;
		return &metrics->overflow[kind];
	}
	series = g_new0(series_t, 1);
	series->labels = g_strdup(key);
	g_hash_table_insert(family->by_labels, series->labels, series);
	g_ptr_array_add(family->in_order, series);
	metrics->n_series++;
	return series;
}

sr_counter_t *sr_metrics_counter(sr_metrics_t *metrics, const char *name,
				 const char *help, const char *labels)
{
	return &find_series(metrics, KIND_COUNTER, name, help, labels)
			->as.counter;
}

sr_gauge_t *sr_metrics_gauge(sr_metrics_t *metrics, const char *name,
			     const char *help, const char *labels)
{
	return &find_series(metrics, KIND_GAUGE, name, help, labels)->as.gauge;
}

sr_histogram_t *sr_metrics_histogram(sr_metrics_t *metrics, const char *name,
				     const char *help, const char *labels)
{
	return &find_series(metrics, KIND_HISTOGRAM, name, help, labels)
			->as.histogram;
}

void sr_counter_add(sr_counter_t *counter, guint64 amount)
{
	counter->value += amount;
}

guint64 sr_counter_get(const sr_counter_t *counter)
{
	return counter->value;
}

void sr_gauge_set(sr_gauge_t *gauge, double value)
{
	gauge->value = value;
}

void sr_gauge_add(sr_gauge_t *gauge, double amount)
{
	gauge->value += amount;
}

double sr_gauge_get(const sr_gauge_t *gauge)
{
	return gauge->value;
}

static double bucket_bound(unsigned i)
{
	return exp2(MIN_EXPONENT + i / 2.0);
}

static unsigned bucket_index(double value)
{
	double index;

	if (!(value > bucket_bound(0)))
		return 0;
	/* A value above a bound by less than 1e-9 of the bucket's logarithmic
	 * width counts as equal to it. */
	index = ceil((log2(value) - MIN_EXPONENT) * 2 - 1e-9);
	return index < N_BOUNDS ? (unsigned)index : N_BOUNDS;
}

void sr_histogram_observe(sr_histogram_t *histogram, double value)
{
	histogram->counts[bucket_index(value)]++;
	histogram->total++;
	histogram->sum += value;
}

double sr_histogram_quantile(const sr_histogram_t *histogram, double q)
{
	guint64 cumulative = 0;

	if (!histogram->total)
		return 0;
	for (unsigned i = 0; i < N_BOUNDS; i++) {
		cumulative += histogram->counts[i];
		if ((double)cumulative >= q * (double)histogram->total)
			return bucket_bound(i);
	}
	return INFINITY;
}

static void append_name(GString *out, const char *name, const char *suffix,
			const char *labels, const char *extra_label)
{
	g_string_append_printf(out, "%s%s", name, suffix);
	if (*labels || *extra_label)
		g_string_append_printf(out, "{%s%s%s}", labels,
				       *labels && *extra_label ? "," : "",
				       extra_label);
	g_string_append_c(out, ' ');
}

static void append_double(GString *out, double value)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	g_ascii_formatd(text, sizeof(text), "%.9g", value);
	g_string_append_printf(out, "%s\n", text);
}

static void write_histogram(const char *name, const series_t *series,
			    GString *out)
{
	const sr_histogram_t *histogram = &series->as.histogram;
	guint64 cumulative = 0;

	for (unsigned i = 0; i <= N_BOUNDS; i++) {
		char number[G_ASCII_DTOSTR_BUF_SIZE] = "+Inf";
		char extra_label[G_ASCII_DTOSTR_BUF_SIZE + 8];

		cumulative += histogram->counts[i];
		if (i < N_BOUNDS)
			g_ascii_formatd(number, sizeof(number), "%.6g",
					bucket_bound(i));
		g_snprintf(extra_label, sizeof(extra_label), "le=\"%s\"",
			   number);
		append_name(out, name, "_bucket", series->labels, extra_label);
		g_string_append_printf(out, "%" G_GUINT64_FORMAT "\n",
				       cumulative);
	}
	append_name(out, name, "_sum", series->labels, "");
	append_double(out, histogram->sum);
	append_name(out, name, "_count", series->labels, "");
	g_string_append_printf(out, "%" G_GUINT64_FORMAT "\n",
			       histogram->total);
}

static void write_series(const family_t *family, const series_t *series,
			 GString *out)
{
	switch (family->kind) {
	case KIND_COUNTER:
		append_name(out, family->name, "", series->labels, "");
		g_string_append_printf(out, "%" G_GUINT64_FORMAT "\n",
				       series->as.counter.value);
		return;
	case KIND_GAUGE:
		append_name(out, family->name, "", series->labels, "");
		append_double(out, series->as.gauge.value);
		return;
	case KIND_HISTOGRAM:
		write_histogram(family->name, series, out);
		return;
	case N_KINDS:
		break;
	}
	g_assert_not_reached();
}

void sr_metrics_write(const sr_metrics_t *metrics, GString *out)
{
	for (guint i = 0; i < metrics->in_order->len; i++) {
		const family_t *family = metrics->in_order->pdata[i];

		g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
				       family->name, family->help, family->name,
				       kind_names[family->kind]);
		for (guint j = 0; j < family->in_order->len; j++)
			write_series(family, family->in_order->pdata[j], out);
	}
	g_string_append_printf(
		out,
		"# HELP sassafras_metrics_dropped_series "
		"series left out\n"
		"# TYPE sassafras_metrics_dropped_series counter\n"
		"sassafras_metrics_dropped_series %" G_GUINT64_FORMAT "\n",
		metrics->dropped);
}

static void append_escaped(GString *out, const char *value)
{
	for (const char *p = value; *p; p++) {
		if (*p == '\n')
			g_string_append(out, "\\n");
		else if (*p == '"' || *p == '\\')
			g_string_append_printf(out, "\\%c", *p);
		else
			g_string_append_c(out, *p);
	}
}

char *sr_metrics_labels(const char *key, ...)
{
	GString *out = g_string_new(NULL);
	va_list args;

	va_start(args, key);
	for (; key; key = va_arg(args, const char *)) {
		if (out->len)
			g_string_append_c(out, ',');
		g_string_append_printf(out, "%s=\"", key);
		append_escaped(out, va_arg(args, const char *));
		g_string_append_c(out, '"');
	}
	va_end(args);
	return g_string_free(out, FALSE);
}
