#ifndef SR_BASE_METRICS_H
#define SR_BASE_METRICS_H

#include <glib.h>

/**
 * sr_metrics_t - counters, gauges and histograms of one process
 *
 * A series is identified by its metric and its labels, e.g. "code=\"200\"",
 * and is created on first use. Handles stay valid until sr_metrics_free().
 *
 * The number of series is bounded: once SR_METRICS_SERIES_MAX exist, further
 * ones share one handle per kind whose value is not written out, and
 * sassafras_metrics_dropped_series counts how often such a handle was
 * returned.
 */
typedef struct sr_metrics sr_metrics_t;
typedef struct sr_counter sr_counter_t;
typedef struct sr_gauge sr_gauge_t;
typedef struct sr_histogram sr_histogram_t;

/** Largest number of series, all metrics together. */
#define SR_METRICS_SERIES_MAX 10000

sr_metrics_t *sr_metrics_new(void);
void sr_metrics_free(sr_metrics_t *metrics);

/**
 * sr_metrics_counter, sr_metrics_gauge, sr_metrics_histogram - find or create
 * a series; the handle is borrowed
 *
 * labels are in the form of sr_metrics_labels() and may be NULL. help is used
 * on the first call for a name. A name has one kind; a call for another kind
 * fails an assertion.
 */
sr_counter_t *sr_metrics_counter(sr_metrics_t *metrics, const char *name,
				 const char *help, const char *labels);
sr_gauge_t *sr_metrics_gauge(sr_metrics_t *metrics, const char *name,
			     const char *help, const char *labels);
sr_histogram_t *sr_metrics_histogram(sr_metrics_t *metrics, const char *name,
				     const char *help, const char *labels);

void sr_counter_add(sr_counter_t *counter, guint64 amount);
guint64 sr_counter_get(const sr_counter_t *counter);
void sr_gauge_set(sr_gauge_t *gauge, double value);
void sr_gauge_add(sr_gauge_t *gauge, double amount);
double sr_gauge_get(const sr_gauge_t *gauge);

/**
 * sr_histogram_observe - add one value, in the unit of the metric's name
 *
 * The upper bounds of the buckets are logarithmic, two per power of two, from
 * 2^-14 to 2^10; a last bucket has no upper bound.
 */
void sr_histogram_observe(sr_histogram_t *histogram, double value);

/**
 * sr_histogram_quantile - upper bound of the bucket that holds quantile q,
 * which is from 0 to 1
 *
 * Returns 0 without any value, and infinity for the last bucket.
 */
double sr_histogram_quantile(const sr_histogram_t *histogram, double q);

/** sr_metrics_write - append all series in the Prometheus text format. */
void sr_metrics_write(const sr_metrics_t *metrics, GString *out);

/**
 * sr_metrics_labels - build labels from pairs of key and value, ended by NULL
 *
 * Values are escaped and not NULL; caller frees.
 */
char *sr_metrics_labels(const char *key, ...) G_GNUC_NULL_TERMINATED;

#endif
