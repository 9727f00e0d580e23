#ifndef SR_CORE_ROLLOUT_ANALYSIS_H
#define SR_CORE_ROLLOUT_ANALYSIS_H

#include <glib.h>

#include "core/evidence.h"

/**
 * sr_rollout_analysis_t - compares a new version with the old one on one route
 *
 * A single group of the old version that fails far more often than the others
 * is left out of the expected rate.
 *
 * There is one sequential test (CUSUM of log-likelihood ratios) of failures and
 * one of slow answers. The expected rate is the old version's on the same route
 * in the same period, so that a disturbance of both versions is not attributed
 * to the new one. The sums never fall below zero, so that a fault that appears
 * late is detected as fast as one that appears at once.
 *
 * Failures are tested against a moderate and against a gross fault, which shows
 * in a few requests.
 *
 * The test of failures runs once for each group of upstreams with that group
 * left out, and the lowest sum decides, so that a single faulty host does not
 * cause a rollback. While almost all requests go to one group, it is not left
 * out and a higher sum is required instead.
 */

/** Faults that failures are tested against: moderate, gross. */
#define SR_ROLLOUT_FAULTS 2

/** sr_rollout_sums_t - sums of log-likelihood ratios of one fault. */
typedef struct {
	double without[SR_EVIDENCE_N_GROUPS]; /* without this group */
	double overall;			      /* of all groups */
} sr_rollout_sums_t;

typedef struct {
	/* set before the first update: buckets above the quantile of the old
	 * version from which an answer is slow, and answers needed to
	 * determine it; 0 for the default */
	unsigned slow_margin;
	unsigned slow_baseline_min;

	/* counters at the end of the previous period */
	sr_evidence_counters_t old_counters;
	sr_evidence_counters_t new_counters;

	/* smoothed rates of the old version */
	double baseline_failure_rate;
	double baseline_slow_rate;
	/* requests that these rest on, up to a maximum */
	double failure_weight;
	double slow_weight;
	unsigned slow_bucket; /* first bucket of slow answers, 0 if unset */
	/* highest recent rates of the old version, decaying */
	double peak_failure_rate;
	double peak_slow_rate;

	sr_rollout_sums_t failure_sums[SR_ROLLOUT_FAULTS];
	double slow_sum;

	/* of the last period */
	sr_rollout_sums_t failure_steps[SR_ROLLOUT_FAULTS];
	double slow_step;
	double period_requests[SR_EVIDENCE_N_GROUPS];

	/* of the old version, decaying */
	double old_requests[SR_EVIDENCE_N_GROUPS];
	double old_failures[SR_EVIDENCE_N_GROUPS];

	/* requests of the new version, decaying */
	double recent_requests[SR_EVIDENCE_N_GROUPS];
	/* answers of the old version, those before the first update included */
	guint32 old_latency[SR_EVIDENCE_N_BUCKETS];
	guint32 n_new_requests; /* of the new version, since the first update */
	gboolean started;
} sr_rollout_analysis_t;

/** sr_verdict_t - result of the tests so far. */
typedef enum {
	SR_VERDICT_HEALTHY,
	SR_VERDICT_SUSPECT, /* no further steps until this clears */
	SR_VERDICT_FAILING,
	SR_VERDICT_SLOW,
} sr_verdict_t;

/**
 * sr_rollout_analysis_update - end a period and return the verdict
 *
 * The counters are the current totals of both versions on the route. The first
 * call only records a baseline. The analysis must be zero-initialised.
 */
sr_verdict_t
sr_rollout_analysis_update(sr_rollout_analysis_t *analysis,
			   const sr_evidence_counters_t *old_version,
			   const sr_evidence_counters_t *new_version);

/** sr_rollout_analysis_suspicion - the highest sum of the tests, which are 0 or
 * more; it falls with each request without a fault. */
double sr_rollout_analysis_suspicion(const sr_rollout_analysis_t *analysis);

/**
 * sr_rollout_analysis_pool - add up the last periods of routes
 *
 * Detects a fault of all routes in fewer requests than on each of them, whose
 * rates may differ. pool is an analysis that is not updated otherwise.
 */
sr_verdict_t
sr_rollout_analysis_pool(sr_rollout_analysis_t *pool,
			 const sr_rollout_analysis_t *const *routes,
			 unsigned n_routes);

#endif
