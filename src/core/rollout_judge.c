#include "core/rollout_judge.h"

#include <math.h>
#include <string.h>

/**
 * A sum from here on, plus the logarithm of the requests so far, is a fault.
 * The chance of reaching a sum by accident from any one request on is at most
 * e to its negative; the logarithm keeps the chance over all requests small
 * however many there are.
 */
#define FAULT_SUM 8.0
#define SUSPECT_SUM 5.0

/** How much more it takes while one group of upstreams runs the version. */
#define ONE_GROUP_FACTOR 2.0

/** The least rates that are taken as usual. */
#define USUAL_FAILURES_MIN 0.005
#define USUAL_SLOW_MIN (1 - SLOW_QUANTILE)

/** A faulty version has at least this rate over the usual one. */
#define FAULTY_FACTOR 3.0
#define FAULTY_FAILURES_MORE 0.04
#define FAULTY_SLOW_MORE 0.25

/** An answer is slow above the bucket that holds this part of the old
 * version's. */
#define SLOW_QUANTILE 0.9

/** Answers of the old version that it takes to tell what is slow. */
#define SLOW_N_OLD 200

/** What is left of the requests of a group after a period, and the part of
 * all that has to have run outside a group to leave it out. */
#define GROUP_FADING 0.99
#define OUTSIDE_PART_MIN 0.05

/** What is left of the old version's peak after a period. */
#define PEAK_FADING 0.8

/** Weight of the requests of a period against those before. */
#define USUAL_WEIGHT_N 200.0

typedef struct {
	double n[SR_EVIDENCE_GROUPS];
	double failures[SR_EVIDENCE_GROUPS];
	double answered;
	double slow;
} period_t;

static double n_old_answers(const sr_rollout_judge_t *judge)
{
	double n = 0;

	for (unsigned i = 0; i < SR_EVIDENCE_BUCKETS; i++)
		n += judge->old_latency[i];
	return n;
}

/* Sets from which bucket on an answer is slow, once and for all. */
static void choose_slow(sr_rollout_judge_t *judge)
{
	double all = n_old_answers(judge);
	double seen = 0;

	if (judge->slow_from > 0 || all < SLOW_N_OLD)
		return;
	while (judge->slow_from + 1 < SR_EVIDENCE_BUCKETS &&
	       seen < SLOW_QUANTILE * all)
		seen += judge->old_latency[judge->slow_from++];
	judge->usual_slow = 1 - seen / all;
}

static period_t period_of(const sr_evidence_counters_t *now,
			  const sr_evidence_counters_t *before, unsigned slow)
{
	period_t period = { 0 };

	for (int i = 0; i < SR_EVIDENCE_GROUPS; i++) {
		period.n[i] = now->requests[i] - before->requests[i];
		period.failures[i] = now->failures[i] - before->failures[i];
	}
	for (unsigned i = 0; i < SR_EVIDENCE_BUCKETS; i++) {
		guint32 n = now->latency[i] - before->latency[i];

		period.answered += n;
		if (i >= slow)
			period.slow += n;
	}
	return period;
}

static double sum_of(const double *values)
{
	double sum = 0;

	for (int i = 0; i < SR_EVIDENCE_GROUPS; i++)
		sum += values[i];
	return sum;
}

/* The usual rate: the period's own, filled up with what was before. */
static void smooth(double *usual, double hits, double n)
{
	*usual = (hits + *usual * USUAL_WEIGHT_N) / (n + USUAL_WEIGHT_N);
}

/*
 * While the old version does worse than usual its present rate counts:
 * whatever it is hits the new one too. The nodes tell their counters at
 * different times, so that the peak fades slowly.
 */
static double expected_rate(double *peak, double usual, double hits, double n,
			    double least)
{
	double rate = n > 0 ? (hits + usual) / (n + 1) : usual;

	*peak = fmax(rate, *peak * PEAK_FADING);
	return CLAMP(fmax(*peak, usual), least, 0.9);
}

static double log_ratio(double hits, double n, double usual, double faulty)
{
	return hits * log(faulty / usual) +
	       (n - hits) * log((1 - faulty) / (1 - usual));
}

static double faulty_rate(double usual, double more)
{
	return fmin(fmax(usual * FAULTY_FACTOR, usual + more), 0.95);
}

static void test_failures(sr_rollout_judge_t *judge, const period_t *old_part,
			  const period_t *new_part)
{
	double usual =
		expected_rate(&judge->peak_failures, judge->usual_failures,
			      sum_of(old_part->failures), sum_of(old_part->n),
			      USUAL_FAILURES_MIN);
	double faulty = faulty_rate(usual, FAULTY_FAILURES_MORE);

	for (int i = 0; i < SR_EVIDENCE_GROUPS; i++) {
		double n = sum_of(new_part->n) - new_part->n[i];
		double hits =
			sum_of(new_part->failures) - new_part->failures[i];

		judge->failure_sum[i] =
			fmax(0, judge->failure_sum[i] +
					log_ratio(hits, n, usual, faulty));
	}
	judge->whole_sum =
		fmax(0, judge->whole_sum + log_ratio(sum_of(new_part->failures),
						     sum_of(new_part->n), usual,
						     faulty));
	smooth(&judge->usual_failures, sum_of(old_part->failures),
	       sum_of(old_part->n));
}

static void test_slow(sr_rollout_judge_t *judge, const period_t *old_part,
		      const period_t *new_part)
{
	double usual = expected_rate(&judge->peak_slow, judge->usual_slow,
				     old_part->slow, old_part->answered,
				     USUAL_SLOW_MIN);
	double faulty = faulty_rate(usual, FAULTY_SLOW_MORE);

	judge->slow_sum =
		fmax(0, judge->slow_sum + log_ratio(new_part->slow,
						    new_part->answered, usual,
						    faulty));
	smooth(&judge->usual_slow, old_part->slow, old_part->answered);
}

/*
 * The least sum with a group left out. If hardly anything ran outside a group
 * of late, nothing is shown by leaving it out.
 */
static double failure_evidence(const sr_rollout_judge_t *judge)
{
	double least = judge->whole_sum;
	double all = sum_of(judge->n_of_group);

	for (int i = 0; i < SR_EVIDENCE_GROUPS; i++) {
		double sum = judge->failure_sum[i];

		if (all - judge->n_of_group[i] < OUTSIDE_PART_MIN * all)
			sum = judge->whole_sum / ONE_GROUP_FACTOR;
		least = fmin(least, sum);
	}
	return least;
}

static void take_over(sr_rollout_judge_t *judge,
		      const sr_evidence_counters_t *old_version,
		      const sr_evidence_counters_t *new_version)
{
	for (unsigned i = 0; i < SR_EVIDENCE_BUCKETS; i++)
		judge->old_latency[i] +=
			old_version->latency[i] - judge->old_seen.latency[i];
	judge->old_seen = *old_version;
	judge->new_seen = *new_version;
	choose_slow(judge);
}

sr_verdict_t sr_rollout_judge_period(sr_rollout_judge_t *judge,
				     const sr_evidence_counters_t *old_version,
				     const sr_evidence_counters_t *new_version)
{
	period_t old_part =
		period_of(old_version, &judge->old_seen, judge->slow_from);
	period_t new_part =
		period_of(new_version, &judge->new_seen, judge->slow_from);
	double fault_sum;

	if (!judge->started) {
		/* What ran before the move began is only a base line. */
		smooth(&judge->usual_failures, sum_of(old_part.failures),
		       sum_of(old_part.n));
		judge->started = TRUE;
		take_over(judge, old_version, new_version);
		return SR_VERDICT_FINE;
	}
	judge->n_new += (guint32)sum_of(new_part.n);
	for (int i = 0; i < SR_EVIDENCE_GROUPS; i++)
		judge->n_of_group[i] =
			judge->n_of_group[i] * GROUP_FADING + new_part.n[i];
	test_failures(judge, &old_part, &new_part);
	if (judge->slow_from > 0)
		test_slow(judge, &old_part, &new_part);
	take_over(judge, old_version, new_version);
	fault_sum = FAULT_SUM + log(1 + judge->n_new);
	if (failure_evidence(judge) >= fault_sum)
		return SR_VERDICT_FAILING;
	if (judge->slow_sum >= fault_sum)
		return SR_VERDICT_SLOW;
	if (failure_evidence(judge) >= SUSPECT_SUM ||
	    judge->slow_sum >= SUSPECT_SUM)
		return SR_VERDICT_SUSPECT;
	return SR_VERDICT_FINE;
}
