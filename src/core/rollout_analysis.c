#include "core/rollout_analysis.h"

#include <math.h>
#include <string.h>

/**
 * A version is faulty if a sum reaches this value plus the logarithm of the
 * number of requests so far. Counted from any one request, a healthy version
 * reaches a sum S with a probability of at most exp(-S); the logarithm keeps
 * the probability over all requests low, however many there are.
 */
#define FAULT_THRESHOLD 8.0
/** A version is suspect if a sum reaches this value. */
#define SUSPECT_THRESHOLD 5.0

/** Divides the sum of failures, which doubles the evidence that is needed,
 * while almost all requests go to a single group of upstreams. */
#define SINGLE_GROUP_DIVISOR 2.0

/** Lower limits of the expected rates. */
#define BASELINE_FAILURE_RATE_MIN 0.005
#define BASELINE_SLOW_RATE_MIN (1 - SLOW_QUANTILE)

/** The rate of a faulty version: the expected rate times the factor or plus the
 * increase, whichever is higher, up to the maximum. */
#define FAULTY_RATE_FACTOR 3.0
#define FAULTY_FAILURE_RATE_INCREASE 0.04
#define FAULTY_SLOW_RATE_INCREASE 0.25
/** The same for a gross fault. */
#define GROSS_FAILURE_RATE_INCREASE 0.3
#define FAULTY_RATE_MAX 0.95

/** Smallest difference between the expected and the faulty rate that can be
 * tested. */
#define RATE_DIFFERENCE_MIN 0.02

/** Quantile of the old version's latency above which an answer is slow, rounded
 * up to the end of a bucket. */
#define SLOW_QUANTILE 0.9

/** Answers of the old version that are needed to determine that quantile. */
#define SLOW_BASELINE_MIN 200

/** Decay of recent_requests per period. */
#define RECENT_DECAY 0.99
/** Fraction of recent_requests that must be outside a group for the sum without
 * that group to count. */
#define OTHER_GROUPS_MIN 0.05

/** Decay of the peak rates per period. */
#define PEAK_DECAY 0.8

/** Decay of old_requests and old_failures per period. */
#define OLD_DECAY 0.95

/** Largest weight of the previous baseline rate, in requests: later ones change
 * it as in a moving average. */
#define BASELINE_WEIGHT_MAX 200.0
/** Weight of a failure rate of zero before any request. */
#define BASELINE_PRIOR 5.0

/** Weight of the baseline in the rate of a period, in requests: a few failures
 * among a few requests are no higher rate. */
#define PERIOD_WEIGHT 10.0

typedef struct {
	double n_requests[SR_EVIDENCE_N_GROUPS];
	double failures[SR_EVIDENCE_N_GROUPS];
	double n_answered;
	double n_slow;
} period_t;

static double baseline_answer_count(const sr_rollout_analysis_t *analysis)
{
	double n = 0;

	for (unsigned i = 0; i < SR_EVIDENCE_N_BUCKETS; i++)
		n += analysis->old_latency[i];
	return n;
}

/* Sets slow_bucket once there are enough answers; it does not change later. */
static void set_slow_bucket(sr_rollout_analysis_t *analysis)
{
	double n_answers = baseline_answer_count(analysis);
	double n_below = 0;
	unsigned needed = analysis->slow_baseline_min > 0 ?
				  analysis->slow_baseline_min :
				  SLOW_BASELINE_MIN;
	unsigned margin = analysis->slow_margin;

	if (analysis->slow_bucket > 0 || n_answers < needed)
		return;
	while (analysis->slow_bucket + 1 < SR_EVIDENCE_N_BUCKETS &&
	       (n_below < SLOW_QUANTILE * n_answers || margin > 0)) {
		margin -= n_below >= SLOW_QUANTILE * n_answers;
		n_below += analysis->old_latency[analysis->slow_bucket++];
	}
	analysis->baseline_slow_rate = 1 - n_below / n_answers;
	analysis->slow_weight = MIN(n_answers, BASELINE_WEIGHT_MAX);
}

static period_t period_between(const sr_evidence_counters_t *now,
			       const sr_evidence_counters_t *before,
			       unsigned slow_bucket)
{
	period_t period = { 0 };

	for (int i = 0; i < SR_EVIDENCE_N_GROUPS; i++) {
		period.n_requests[i] = now->requests[i] - before->requests[i];
		period.failures[i] = now->failures[i] - before->failures[i];
	}
	for (unsigned i = 0; i < SR_EVIDENCE_N_BUCKETS; i++) {
		guint32 n = now->latency[i] - before->latency[i];

		period.n_answered += n;
		if (i >= slow_bucket)
			period.n_slow += n;
	}
	return period;
}

static double sum_groups(const double *values)
{
	double sum = 0;

	for (int i = 0; i < SR_EVIDENCE_N_GROUPS; i++)
		sum += values[i];
	return sum;
}

static void remember_old(sr_rollout_analysis_t *analysis,
			 const period_t *period)
{
	for (int i = 0; i < SR_EVIDENCE_N_GROUPS; i++) {
		analysis->old_requests[i] =
			analysis->old_requests[i] * OLD_DECAY +
			period->n_requests[i];
		analysis->old_failures[i] =
			analysis->old_failures[i] * OLD_DECAY +
			period->failures[i];
	}
}

/* The group of the old version that failed most in earlier periods, which says
 * nothing of the present one; -1 if too few requests remain without it. */
static int worst_group(const sr_rollout_analysis_t *analysis)
{
	const double *failures = analysis->old_failures;
	const double *requests = analysis->old_requests;
	int worst = 0;

	for (int i = 1; i < SR_EVIDENCE_N_GROUPS; i++) {
		if (failures[i] > failures[worst])
			worst = i;
	}
	if (failures[worst] <= 0 ||
	    sum_groups(requests) - requests[worst] < requests[worst])
		return -1;
	return worst;
}

/* Weighted mean of the period's rate and the previous baseline. */
static void update_baseline(double *baseline, double *weight, double n_events,
			    double n)
{
	double before = MAX(*weight, BASELINE_PRIOR);

	*baseline = (n_events + *baseline * before) / (n + before);
	*weight = MIN(before + n, BASELINE_WEIGHT_MAX);
}

/*
 * Returns the baseline, or the old version's current rate if that is higher:
 * its cause is expected to affect the new version as well. The peak decays
 * slowly because the counters of the nodes arrive at different times.
 */
static double expected_rate(double *peak, double baseline, double n_events,
			    double n, double rate_min)
{
	double rate =
		(n_events + PERIOD_WEIGHT * baseline) / (n + PERIOD_WEIGHT);

	*peak = fmax(rate, *peak * PEAK_DECAY);
	return CLAMP(fmax(*peak, baseline), rate_min, 1);
}

/* Of the faulty rate to the expected rate, for n_events in n requests. */
static double log_likelihood_ratio(double n_events, double n, double expected,
				   double faulty)
{
	/* The rates are too close to distinguish. */
	if (faulty < expected + RATE_DIFFERENCE_MIN)
		return 0;
	return n_events * log(faulty / expected) +
	       (n - n_events) * log((1 - faulty) / (1 - expected));
}

static double faulty_rate(double expected, double increase)
{
	return fmin(fmax(expected * FAULTY_RATE_FACTOR, expected + increase),
		    FAULTY_RATE_MAX);
}

/* The steps of the period's failures against a faulty rate. */
static sr_rollout_sums_t failure_steps(const period_t *period, double expected,
				       double faulty)
{
	double n = sum_groups(period->n_requests);
	double n_events = sum_groups(period->failures);
	sr_rollout_sums_t steps = {
		.overall = log_likelihood_ratio(n_events, n, expected, faulty),
	};

	for (int i = 0; i < SR_EVIDENCE_N_GROUPS; i++)
		steps.without[i] = log_likelihood_ratio(
			n_events - period->failures[i],
			n - period->n_requests[i], expected, faulty);
	return steps;
}

static void add_steps(sr_rollout_sums_t *sums, const sr_rollout_sums_t *steps)
{
	sums->overall = fmax(0, sums->overall + steps->overall);
	for (int i = 0; i < SR_EVIDENCE_N_GROUPS; i++)
		sums->without[i] =
			fmax(0, sums->without[i] + steps->without[i]);
}

static void test_failures(sr_rollout_analysis_t *analysis,
			  const period_t *old_period,
			  const period_t *new_period)
{
	int worst = worst_group(analysis);
	double n_old = sum_groups(old_period->n_requests) -
		       (worst < 0 ? 0 : old_period->n_requests[worst]);
	double n_failures = sum_groups(old_period->failures) -
			    (worst < 0 ? 0 : old_period->failures[worst]);
	double expected = expected_rate(
		&analysis->peak_failure_rate, analysis->baseline_failure_rate,
		n_failures, n_old, BASELINE_FAILURE_RATE_MIN);
	const double faulty[SR_ROLLOUT_FAULTS] = {
		faulty_rate(expected, FAULTY_FAILURE_RATE_INCREASE),
		faulty_rate(expected, GROSS_FAILURE_RATE_INCREASE),
	};

	remember_old(analysis, old_period);
	for (int i = 0; i < SR_ROLLOUT_FAULTS; i++) {
		analysis->failure_steps[i] =
			failure_steps(new_period, expected, faulty[i]);
		add_steps(&analysis->failure_sums[i],
			  &analysis->failure_steps[i]);
	}
	update_baseline(&analysis->baseline_failure_rate,
			&analysis->failure_weight, n_failures, n_old);
}

static void test_latency(sr_rollout_analysis_t *analysis,
			 const period_t *old_period, const period_t *new_period)
{
	double expected =
		expected_rate(&analysis->peak_slow_rate,
			      analysis->baseline_slow_rate, old_period->n_slow,
			      old_period->n_answered, BASELINE_SLOW_RATE_MIN);
	double faulty = faulty_rate(expected, FAULTY_SLOW_RATE_INCREASE);

	analysis->slow_step = log_likelihood_ratio(
		new_period->n_slow, new_period->n_answered, expected, faulty);
	analysis->slow_sum = fmax(0, analysis->slow_sum + analysis->slow_step);
	update_baseline(&analysis->baseline_slow_rate, &analysis->slow_weight,
			old_period->n_slow, old_period->n_answered);
}

/*
 * Returns the lowest sum with one group left out. A group with almost all
 * recent requests is not left out, since too few would remain; the overall sum,
 * divided by SINGLE_GROUP_DIVISOR, is used in its place.
 */
static double lowest_sum(const sr_rollout_analysis_t *analysis,
			 const sr_rollout_sums_t *sums)
{
	double lowest = sums->overall;
	double n_recent = sum_groups(analysis->recent_requests);

	for (int i = 0; i < SR_EVIDENCE_N_GROUPS; i++) {
		double sum = sums->without[i];

		if (n_recent - analysis->recent_requests[i] <
		    OTHER_GROUPS_MIN * n_recent)
			sum = sums->overall / SINGLE_GROUP_DIVISOR;
		lowest = fmin(lowest, sum);
	}
	return lowest;
}

/* Of the fault that the failures resemble most. */
static double failure_sum(const sr_rollout_analysis_t *analysis)
{
	double highest = 0;

	for (int i = 0; i < SR_ROLLOUT_FAULTS; i++)
		highest = fmax(highest, lowest_sum(analysis,
						   &analysis->failure_sums[i]));
	return highest;
}

double sr_rollout_analysis_suspicion(const sr_rollout_analysis_t *analysis)
{
	return fmax(failure_sum(analysis), analysis->slow_sum);
}

static void add_period_requests(sr_rollout_analysis_t *analysis)
{
	analysis->n_new_requests +=
		(guint32)sum_groups(analysis->period_requests);
	for (int i = 0; i < SR_EVIDENCE_N_GROUPS; i++)
		analysis->recent_requests[i] =
			analysis->recent_requests[i] * RECENT_DECAY +
			analysis->period_requests[i];
}

static sr_verdict_t verdict_of(const sr_rollout_analysis_t *analysis)
{
	double fault_threshold =
		FAULT_THRESHOLD + log(1 + analysis->n_new_requests);

	if (failure_sum(analysis) >= fault_threshold)
		return SR_VERDICT_FAILING;
	if (analysis->slow_sum >= fault_threshold)
		return SR_VERDICT_SLOW;
	if (sr_rollout_analysis_suspicion(analysis) >= SUSPECT_THRESHOLD)
		return SR_VERDICT_SUSPECT;
	return SR_VERDICT_HEALTHY;
}

static void store_counters(sr_rollout_analysis_t *analysis,
			   const sr_evidence_counters_t *old_version,
			   const sr_evidence_counters_t *new_version)
{
	for (unsigned i = 0; i < SR_EVIDENCE_N_BUCKETS; i++)
		analysis->old_latency[i] += old_version->latency[i] -
					    analysis->old_counters.latency[i];
	analysis->old_counters = *old_version;
	analysis->new_counters = *new_version;
	set_slow_bucket(analysis);
}

sr_verdict_t
sr_rollout_analysis_update(sr_rollout_analysis_t *analysis,
			   const sr_evidence_counters_t *old_version,
			   const sr_evidence_counters_t *new_version)
{
	period_t old_period = period_between(
		old_version, &analysis->old_counters, analysis->slow_bucket);
	period_t new_period = period_between(
		new_version, &analysis->new_counters, analysis->slow_bucket);

	if (!analysis->started) {
		/* Requests before the rollout only set the baseline. */
		update_baseline(&analysis->baseline_failure_rate,
				&analysis->failure_weight,
				sum_groups(old_period.failures),
				sum_groups(old_period.n_requests));
		analysis->started = TRUE;
		store_counters(analysis, old_version, new_version);
		return SR_VERDICT_HEALTHY;
	}
	memcpy(analysis->period_requests, new_period.n_requests,
	       sizeof(analysis->period_requests));
	add_period_requests(analysis);
	test_failures(analysis, &old_period, &new_period);
	if (analysis->slow_bucket > 0)
		test_latency(analysis, &old_period, &new_period);
	store_counters(analysis, old_version, new_version);
	return verdict_of(analysis);
}

sr_verdict_t
sr_rollout_analysis_pool(sr_rollout_analysis_t *pool,
			 const sr_rollout_analysis_t *const *routes,
			 unsigned n_routes)
{
	double slow_step = 0;

	memset(pool->failure_steps, 0, sizeof(pool->failure_steps));
	memset(pool->period_requests, 0, sizeof(pool->period_requests));
	for (unsigned r = 0; r < n_routes; r++) {
		const sr_rollout_analysis_t *route = routes[r];

		slow_step += route->slow_step;
		for (int i = 0; i < SR_EVIDENCE_N_GROUPS; i++) {
			pool->period_requests[i] += route->period_requests[i];
			for (int j = 0; j < SR_ROLLOUT_FAULTS; j++)
				pool->failure_steps[j].without[i] +=
					route->failure_steps[j].without[i];
		}
		for (int j = 0; j < SR_ROLLOUT_FAULTS; j++)
			pool->failure_steps[j].overall +=
				route->failure_steps[j].overall;
	}
	add_period_requests(pool);
	for (int j = 0; j < SR_ROLLOUT_FAULTS; j++)
		add_steps(&pool->failure_sums[j], &pool->failure_steps[j]);
	pool->slow_step = slow_step;
	pool->slow_sum = fmax(0, pool->slow_sum + slow_step);
	return verdict_of(pool);
}
