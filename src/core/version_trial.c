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

/** Share between the trial and all requests. It is given for as long as the
 * bound allows, since most of the evidence comes from it. */
#define HALF_SHARE 0.5
#define HALF_TIME_MIN (1500 * SR_MSEC)
#define HALF_TIME_FRACTION_MAX 0.3

/** Part of the bound that is used before all requests are given, if this host
 * knows of all requests of the order, and if it was started during it. */
#define BOUND_USED 0.8
#define LATE_BOUND_USED 0.55

/** Time with all requests before the time limit, as a multiple of the average
 * response time, at least, and at most as a part of the order's time. */
#define FULL_RESPONSE_TIMES 3
#define FULL_TIME_MIN (2600 * SR_MSEC)
#define FULL_TIME_FRACTION_MAX 0.25

/** Time with all requests before the order may be completed: every host takes
 * the step within it. */
#define FULL_TIME_SETTLE (600 * SR_MSEC)

/** Time before the limit at which the order is ended, so that as much evidence
 * as possible is there, and until which requests at old instances are waited
 * for. A slow store takes some hundreds of milliseconds for the status. */
#define FINISH_MARGIN (1200 * SR_MSEC)
#define FINISH_MARGIN_MIN (800 * SR_MSEC)

/** Answers of the new version that are needed for half and for all requests. */
#define HALF_ANSWERS_MIN 10
#define FULL_ANSWERS_MIN 20
/** For all requests, if the host was started during the order: what it knew
 * before is lost. */
#define LATE_FULL_ANSWERS_MIN 32

/** The same on each route that has at least this part of the old version's
 * requests since the order. */
#define ROUTE_ANSWERS_MIN 5
#define ROUTE_SHARE_MIN 0.1

/** Time at half of the requests without suspicion before all of them are given:
 * some faults show under load only. */
#define HALF_OBSERVED_MIN SR_SEC

/** Suspicion on any route from which no larger share is given. A share that is
 * given lasts until the analysis calls the version suspect. */
#define ADVANCE_SUSPICION_MAX 2.5

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
	gboolean is_counted;
	guint32 n_old_before; /* requests of the old version at the first count
			       */
	guint32 n_old;	      /* since then */
} route_t;

typedef enum {
	STAGE_TRIAL,
	STAGE_HALF,
	STAGE_FULL,
} stage_t;

struct sr_version_trial {
	char *service;
	char *target;
	char *reason;
	sr_usec_t started_at;
	sr_usec_t known_since; /* to this host */
	sr_usec_t duration;
	gboolean is_late;    /* this host heard of the order late */
	sr_usec_t full_time; /* with all requests before the time limit */
	sr_version_exposure_t exposure;
	sr_version_trial_phase_t phase;
	double credit;	   /* requests that the new version may get */
	double use_credit; /* the same, to spread the use of the slack */
	sr_rollout_analysis_t all_routes;
	sr_verdict_t verdict; /* on all routes together */
	GHashTable *routes;   /* name -> route_t */
	stage_t stage;	      /* by the last evaluation */
	sr_usec_t stage_since;
	sr_usec_t half_observed; /* time at half or more without suspicion */
	guint32 n_requests;	 /* of all versions since the order */
	guint32 n_new;		 /* of the new one */
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
	trial->known_since = options->now;
	trial->duration = options->duration;
	trial->full_time = FULL_TIME_MIN;
	trial->exposure = options->exposure;
	trial->is_late = options->now - options->started_at > SLACK_AGE_MAX;
	if (trial->is_late)
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
	trial->is_late = trial->is_late ||
			 trial->started_at - started_at > SLACK_AGE_MAX;
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

/* When all requests move to the new version. */
static sr_usec_t full_at(const sr_version_trial_t *trial)
{
	return trial->started_at + trial->duration - trial->full_time;
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
	if (now - trial->evaluated_at > EVIDENCE_AGE_MAX)
		return smallest;
	switch (trial->stage) {
	case STAGE_TRIAL:
		break;
	case STAGE_HALF:
		return HALF_SHARE;
	case STAGE_FULL:
		return 1;
	}
	return smallest;
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

static void count_old(route_t *route, guint32 n)
{
	if (!route->is_counted || n < route->n_old_before)
		route->n_old_before = n;
	route->is_counted = TRUE;
	route->n_old = n - route->n_old_before;
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

	count_old(route, sr_evidence_request_count(&evidence->old_version));
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

static double suspicion(const sr_version_trial_t *trial)
{
	double highest = sr_rollout_analysis_suspicion(&trial->all_routes);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, trial->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		highest = fmax(highest, sr_rollout_analysis_suspicion(
						&((route_t *)value)->analysis));
	return highest;
}

static gboolean is_suspect(const sr_version_trial_t *trial)
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

/* Whether each route with many requests has been answered often enough. */
static gboolean has_tried_routes(const sr_version_trial_t *trial)
{
	GHashTableIter iter;
	gpointer value;
	double n_old = 0;

	g_hash_table_iter_init(&iter, trial->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n_old += ((route_t *)value)->n_old;
	g_hash_table_iter_init(&iter, trial->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const route_t *route = value;

		if (route->n_old >= ROUTE_SHARE_MIN * n_old &&
		    route->analysis.n_new_requests < ROUTE_ANSWERS_MIN)
			return FALSE;
	}
	return TRUE;
}

/* Time at half of the requests that the bound allows, by the rate so far. */
static sr_usec_t half_time(const sr_version_trial_t *trial, sr_usec_t now)
{
	double elapsed_s = (double)(now - trial->known_since) / SR_SEC;
	double rate = trial->n_requests / MAX(elapsed_s, 1);
	double bound = trial->exposure.slack + trial->exposure.share * rate *
						       (double)trial->duration /
						       SR_SEC;
	double used = trial->is_late ? LATE_BOUND_USED : BOUND_USED;
	double left = MAX(used * bound - trial->n_new, 0);
	sr_usec_t most =
		(sr_usec_t)(HALF_TIME_FRACTION_MAX * (double)trial->duration);

	if (rate <= 0)
		return most;
	return (sr_usec_t)CLAMP(left / (HALF_SHARE * rate) * SR_SEC,
				(double)MIN(HALF_TIME_MIN, most), (double)most);
}

static void count_requests(sr_version_trial_t *trial)
{
	GHashTableIter iter;
	gpointer value;

	trial->n_new = trial->all_routes.n_new_requests;
	trial->n_requests = trial->n_new;
	g_hash_table_iter_init(&iter, trial->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		trial->n_requests += ((route_t *)value)->n_old;
}

/* The highest stage that the time and the answers allow. */
static stage_t highest_stage(const sr_version_trial_t *trial, sr_usec_t now)
{
	guint32 n = trial->all_routes.n_new_requests;
	guint32 n_full =
		trial->is_late ? LATE_FULL_ANSWERS_MIN : FULL_ANSWERS_MIN;

	if (now >= full_at(trial) && n >= n_full &&
	    trial->half_observed >= HALF_OBSERVED_MIN &&
	    has_tried_routes(trial))
		return STAGE_FULL;
	if (n >= HALF_ANSWERS_MIN &&
	    (trial->stage >= STAGE_HALF ||
	     now >= full_at(trial) - half_time(trial, now)))
		return STAGE_HALF;
	return STAGE_TRIAL;
}

static stage_t next_stage(const sr_version_trial_t *trial, sr_usec_t now,
			  gboolean is_known)
{
	stage_t highest = highest_stage(trial, now);

	if (!is_known || is_suspect(trial))
		return STAGE_TRIAL;
	if (highest > trial->stage && suspicion(trial) > ADVANCE_SUSPICION_MAX)
		return trial->stage;
	return highest;
}

/* Adds the time since the last evaluation. */
static void observe_half(sr_version_trial_t *trial, sr_usec_t now)
{
	if (is_suspect(trial))
		trial->half_observed = 0;
	else if (trial->stage >= STAGE_HALF)
		trial->half_observed += now - trial->evaluated_at;
}

void sr_version_trial_evaluate(sr_version_trial_t *trial, sr_usec_t now,
			       const GArray *routes, gboolean is_known)
{
	GPtrArray *analyses = g_ptr_array_new();
	stage_t stage;

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
	count_requests(trial);
	observe_half(trial, now);
	trial->evaluated_at = now;
	stage = next_stage(trial, now, is_known);
	if (stage != trial->stage)
		trial->stage_since = now;
	trial->stage = stage;
}

gboolean sr_version_trial_is_full(const sr_version_trial_t *trial,
				  sr_usec_t now)
{
	return trial->phase == SR_VERSION_TRIAL_MOVING &&
	       sr_version_trial_share(trial, now) >= 1;
}

sr_version_trial_decision_t
sr_version_trial_decide(const sr_version_trial_t *trial, sr_usec_t now,
			const sr_version_trial_fleet_t *fleet)
{
	sr_usec_t left = trial->started_at + trial->duration - now;
	gboolean is_last_moment = left <= FINISH_MARGIN_MIN;

	if (trial->phase != SR_VERSION_TRIAL_MOVING || left > FINISH_MARGIN)
		return SR_VERSION_TRIAL_WAIT;
	if (!sr_version_trial_is_full(trial, now) || !fleet->all_are_full)
		return is_last_moment ? SR_VERSION_TRIAL_GIVE_UP :
					SR_VERSION_TRIAL_WAIT;
	if (now - trial->stage_since < FULL_TIME_SETTLE)
		return SR_VERSION_TRIAL_WAIT;
	return fleet->old_in_flight == 0 || is_last_moment ?
		       SR_VERSION_TRIAL_FINISH :
		       SR_VERSION_TRIAL_WAIT;
}
