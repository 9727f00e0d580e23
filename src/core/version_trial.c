#include "core/version_trial.h"

#include <math.h>
#include <string.h>

#include "core/rollout_analysis.h"

/** Parts of the bound that the trial uses; the rest is for the requests of the
 * steps to half and to all, in which a late fault shows. */
#define TRIAL_SHARE_FRACTION 0.5
#define TRIAL_SLACK_FRACTION 0.5

/** Age of an order from which the slack counts as used, by other hosts or by
 * this one before it was restarted, and the part that may be used once more. */
#define SLACK_AGE_MAX (2 * SR_SEC)
#define LATE_SLACK_FRACTION 0.5

/** Largest part of the requests while the slack is used. */
#define SLACK_USE_SHARE 0.25

/** Share between the trial and all requests, and how long it is given: for most
 * of the time that a fault takes to show, at least. */
#define HALF_SHARE 0.5
#define HALF_TIME_FRACTION 0.12
#define HALF_TIME_MIN (1500 * SR_MSEC)

/** Time with all requests before the time limit, as a multiple of the average
 * response time, at least, and at most as a part of the order's time. */
#define FULL_RESPONSE_TIMES 3
#define FULL_TIME_MIN (2200 * SR_MSEC)
#define FULL_TIME_FRACTION_MAX 0.25

/** Time with all requests before the order may be completed: every host takes
 * the step within it. */
#define FULL_TIME_SETTLE (800 * SR_MSEC)

/** Time before the limit at which the order is ended at the latest: a slow
 * store takes some hundreds of milliseconds for the status. */
#define FINISH_MARGIN (1200 * SR_MSEC)

/** Answers of the new version that are needed for a larger share. */
#define ANSWERS_MIN 10

/** Age at which evidence is too old for a larger share. */
#define EVIDENCE_AGE_MAX (2 * SR_SEC)

/** Requests that a host may send to the new version beyond its share, after a
 * time in which it had none for it. */
#define CREDIT_MAX 3.0

/** Responses of the old version that its usual duration is determined from, and
 * the factor over it, in buckets of 1.5, from which a response is slow: a new
 * version starts without a cache. */
#define SLOW_BASELINE_MIN 30
#define SLOW_MARGIN 1

/** Least number of instances that a small part is sent to, so that a faulty one
 * is not taken for a faulty version. */
#define INSTANCES_MIN 2

/** route_t - analysis of a route. */
typedef struct {
	sr_rollout_analysis_t analysis;
	sr_verdict_t verdict;
} route_t;

struct sr_version_trial {
	char *service;
	char *target;
	char *reason;
	sr_usec_t started_at;
	sr_usec_t duration;
	sr_usec_t full_time; /* with all requests before the time limit */
	sr_version_exposure_t exposure;
	sr_version_trial_phase_t phase;
	double credit;	   /* requests that the new version may get */
	double use_credit; /* the same, to spread the use of the slack */
	sr_rollout_analysis_t all_routes;
	sr_verdict_t verdict; /* on all routes together */
	GHashTable *routes;   /* name -> route_t */
	gboolean is_proved;   /* by the last evaluation */
	sr_usec_t evaluated_at;
};

sr_version_trial_t *
sr_version_trial_new(const sr_version_trial_options_t *options)
{
	sr_version_trial_t *trial = g_new0(sr_version_trial_t, 1);
	double slack = TRIAL_SLACK_FRACTION * options->exposure.slack;

	trial->service = g_strdup(options->service);
	trial->target = g_strdup(options->target);
	trial->reason = g_strdup("");
	trial->started_at = options->started_at;
	trial->duration = options->duration;
	trial->full_time = FULL_TIME_MIN;
	trial->exposure = options->exposure;
	if (options->now - options->started_at > SLACK_AGE_MAX)
		slack *= LATE_SLACK_FRACTION;
	/* rounded at random, so that the sum over hosts is the slack */
	trial->credit =
		floor(slack / MAX(options->n_hosts, 1) + options->jitter);
	trial->routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return trial;
}

void sr_version_trial_free(sr_version_trial_t *trial)
{
	if (!trial)
		return;
	g_hash_table_unref(trial->routes);
	g_free(trial->service);
	g_free(trial->target);
	g_free(trial->reason);
	g_free(trial);
}

const char *sr_version_trial_target(const sr_version_trial_t *trial)
{
	return trial->target;
}

sr_version_trial_phase_t sr_version_trial_phase(const sr_version_trial_t *trial)
{
	return trial->phase;
}

const char *sr_version_trial_reason(const sr_version_trial_t *trial)
{
	return trial->reason;
}

void sr_version_trial_started_earlier(sr_version_trial_t *trial,
				      sr_usec_t started_at)
{
	if (trial->started_at - started_at > SLACK_AGE_MAX)
		trial->credit *= LATE_SLACK_FRACTION;
	trial->started_at = MIN(trial->started_at, started_at);
}

void sr_version_trial_complete(sr_version_trial_t *trial)
{
	trial->phase = SR_VERSION_TRIAL_COMPLETED;
}

void sr_version_trial_roll_back(sr_version_trial_t *trial, const char *reason)
{
	if (trial->phase == SR_VERSION_TRIAL_ROLLED_BACK)
		return;
	trial->phase = SR_VERSION_TRIAL_ROLLED_BACK;
	g_free(trial->reason);
	trial->reason = g_strdup(reason);
}

void sr_version_trial_set_response_time(sr_version_trial_t *trial,
					sr_usec_t time)
{
	sr_usec_t most =
		(sr_usec_t)(FULL_TIME_FRACTION_MAX * (double)trial->duration);

	trial->full_time =
		MIN(MAX(FULL_RESPONSE_TIMES * time, FULL_TIME_MIN), most);
}

static sr_usec_t half_time(const sr_version_trial_t *trial)
{
	return MAX((sr_usec_t)(HALF_TIME_FRACTION * (double)trial->duration),
		   HALF_TIME_MIN);
}

/* When all requests move to the new version. */
static sr_usec_t full_at(const sr_version_trial_t *trial)
{
	return trial->started_at + trial->duration - trial->full_time;
}

static gboolean may_advance(const sr_version_trial_t *trial, sr_usec_t now)
{
	return trial->is_proved &&
	       now - trial->evaluated_at <= EVIDENCE_AGE_MAX;
}

double sr_version_trial_share(const sr_version_trial_t *trial, sr_usec_t now)
{
	double smallest = TRIAL_SHARE_FRACTION * trial->exposure.share;

	switch (trial->phase) {
	case SR_VERSION_TRIAL_COMPLETED:
		return 1;
	case SR_VERSION_TRIAL_ROLLED_BACK:
		return 0;
	case SR_VERSION_TRIAL_MOVING:
		break;
	}
	if (!may_advance(trial, now) || now < full_at(trial) - half_time(trial))
		return smallest;
	return now < full_at(trial) ? HALF_SHARE : 1;
}

gboolean sr_version_trial_picks_new(sr_version_trial_t *trial, sr_usec_t now,
				    gboolean first)
{
	double share = sr_version_trial_share(trial, now);

	if (share >= 1 || share <= 0)
		return share >= 1;
	if (first) {
		trial->credit = MAX(MIN(trial->credit + share, CREDIT_MAX),
				    trial->credit);
		trial->use_credit =
			MIN(trial->use_credit + MAX(share, SLACK_USE_SHARE),
			    CREDIT_MAX);
	}
	return trial->credit >= 1 && trial->use_credit >= 1;
}

void sr_version_trial_sent(sr_version_trial_t *trial, const char *version)
{
	if (strcmp(version, trial->target) != 0)
		return;
	trial->credit = MAX(trial->credit - 1, -CREDIT_MAX);
	trial->use_credit = MAX(trial->use_credit - 1, -CREDIT_MAX);
}

unsigned sr_version_trial_max_instances(const sr_version_trial_t *trial,
					sr_usec_t now, unsigned n_instances)
{
	double share = sr_version_trial_share(trial, now);

	if (share >= 1)
		return 0;
	if (trial->credit >= 1)
		share = MAX(share, SLACK_USE_SHARE);
	return MAX(INSTANCES_MIN, (unsigned)ceil(share * n_instances));
}

static route_t *get_route(sr_version_trial_t *trial, const char *name)
{
	route_t *route = g_hash_table_lookup(trial->routes, name);

	if (!route) {
		route = g_new0(route_t, 1);
		route->analysis.slow_margin = SLOW_MARGIN;
		route->analysis.slow_baseline_min = SLOW_BASELINE_MIN;
		g_hash_table_insert(trial->routes, g_strdup(name), route);
	}
	return route;
}

/* A host whose counters were included may be gone: counts that have fallen are
 * the new start of their differences. */
static void lower_counters(sr_evidence_counters_t *before,
			   const sr_evidence_counters_t *now)
{
	for (unsigned i = 0; i < SR_EVIDENCE_N_GROUPS; i++) {
		before->requests[i] =
			MIN(before->requests[i], now->requests[i]);
		before->failures[i] =
			MIN(before->failures[i], now->failures[i]);
	}
	for (unsigned i = 0; i < SR_EVIDENCE_N_BUCKETS; i++)
		before->latency[i] = MIN(before->latency[i], now->latency[i]);
}

static gboolean is_fault(sr_verdict_t verdict)
{
	return verdict == SR_VERDICT_FAILING || verdict == SR_VERDICT_SLOW;
}

/* route is NULL for all routes together. */
static void roll_back_for(sr_version_trial_t *trial, sr_verdict_t verdict,
			  const char *route, unsigned n_requests)
{
	char *reason = g_strdup_printf(
		"%s on %s%s than the old version in the same period, after %u "
		"requests",
		verdict == SR_VERDICT_SLOW ? "slower responses" :
					     "more failures",
		route ? "route " : "all routes", route ? route : "",
		n_requests);

	sr_version_trial_roll_back(trial, reason);
	g_free(reason);
}

static const sr_rollout_analysis_t *
analyse_route(sr_version_trial_t *trial,
	      const sr_version_route_evidence_t *evidence)
{
	route_t *route = get_route(trial, evidence->route);

	lower_counters(&route->analysis.old_counters, &evidence->old_version);
	lower_counters(&route->analysis.new_counters, &evidence->new_version);
	route->verdict = sr_rollout_analysis_update(&route->analysis,
						    &evidence->old_version,
						    &evidence->new_version);
	if (is_fault(route->verdict))
		roll_back_for(trial, route->verdict, evidence->route,
			      route->analysis.n_new_requests);
	return &route->analysis;
}

static gboolean is_suspected(const sr_version_trial_t *trial)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, trial->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((route_t *)value)->verdict != SR_VERDICT_HEALTHY)
			return TRUE;
	}
	return trial->verdict != SR_VERDICT_HEALTHY;
}

void sr_version_trial_evaluate(sr_version_trial_t *trial, sr_usec_t now,
			       const GArray *routes, gboolean is_known)
{
	GPtrArray *analyses = g_ptr_array_new();

	for (guint i = 0; i < routes->len; i++) {
		const sr_version_route_evidence_t *evidence =
			&g_array_index(routes, sr_version_route_evidence_t, i);

		g_ptr_array_add(analyses,
				(gpointer)analyse_route(trial, evidence));
	}
	trial->verdict = sr_rollout_analysis_pool(
		&trial->all_routes,
		(const sr_rollout_analysis_t *const *)analyses->pdata,
		analyses->len);
	g_ptr_array_unref(analyses);
	if (is_fault(trial->verdict))
		roll_back_for(trial, trial->verdict, NULL,
			      trial->all_routes.n_new_requests);
	trial->evaluated_at = now;
	trial->is_proved = is_known && !is_suspected(trial) &&
			   trial->all_routes.n_new_requests >= ANSWERS_MIN;
}

sr_version_trial_decision_t
sr_version_trial_decide(const sr_version_trial_t *trial, sr_usec_t now,
			double old_in_flight)
{
	sr_usec_t due = trial->started_at + trial->duration - FINISH_MARGIN;

	if (trial->phase != SR_VERSION_TRIAL_MOVING)
		return SR_VERSION_TRIAL_WAIT;
	if (sr_version_trial_share(trial, now) < 1)
		return now >= due ? SR_VERSION_TRIAL_GIVE_UP :
				    SR_VERSION_TRIAL_WAIT;
	if (now - full_at(trial) < FULL_TIME_SETTLE)
		return SR_VERSION_TRIAL_WAIT;
	return old_in_flight == 0 || now >= due ? SR_VERSION_TRIAL_FINISH :
						  SR_VERSION_TRIAL_WAIT;
}
