#ifndef SR_CORE_ROLLOUT_JUDGE_H
#define SR_CORE_ROLLOUT_JUDGE_H

#include <glib.h>

#include "core/evidence.h"

/**
 * sr_rollout_judge_t - compares a new version with the old one on one route
 *
 * A sequential test (CUSUM of log likelihood ratios) on failures and one on
 * slow answers. What counts as usual is the old version's rate on the same
 * route in the same period, so that trouble which hits both is no evidence.
 * The sums never fall below zero: a fault that shows late is found as fast
 * as one that shows at once.
 *
 * The test on failures is run once for each group of upstreams that is left
 * out, and the least sum decides: a single faulty host is no evidence. While
 * hardly any other group runs the version, more evidence is asked for instead.
 */
typedef struct {
	sr_evidence_counters_t old_seen; /* as of the last period */
	sr_evidence_counters_t new_seen;
	double usual_failures; /* smoothed rate of the old version */
	double usual_slow;
	unsigned slow_from;   /* bucket of the first slow answers, 0 if unset */
	double peak_failures; /* of the old version's late periods */
	double peak_slow;
	double failure_sum[SR_EVIDENCE_GROUPS]; /* with this group left out */
	double whole_sum; /* of failures, no group left out */
	double slow_sum;
	double n_of_group[SR_EVIDENCE_GROUPS]; /* of the new version, of late */
	guint32 old_latency[SR_EVIDENCE_BUCKETS]; /* since the start */
	guint32 n_new; /* requests of the new version, since the start */
	gboolean started;
} sr_rollout_judge_t;

typedef enum {
	SR_VERDICT_FINE,
	SR_VERDICT_SUSPECT, /* gain no share until it is settled */
	SR_VERDICT_FAILING,
	SR_VERDICT_SLOW,
} sr_verdict_t;

/** sr_rollout_judge_period - take in all counters as of now. */
sr_verdict_t sr_rollout_judge_period(sr_rollout_judge_t *judge,
				     const sr_evidence_counters_t *old_version,
				     const sr_evidence_counters_t *new_version);

#endif
