#include "core/rollout.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "core/lease.h"
#include "core/rollout_analysis.h"

#define LEASE_DURATION (10 * SR_SEC)
#define INITIAL_SHARE 0.01

/** Growth of the share at each step. */
#define STEP_FACTOR 2.0

/** Shortest step, so that the counters of all nodes arrive before the next. */
#define STEP_DURATION_MIN (5 * SR_SEC)

/** Fraction of the time from start to due that is reserved for delays. */
#define TIME_RESERVE 0.15

/** Requests that each route must have served since the last step. */
#define STEP_REQUESTS_MIN 20

/** Multiple of a step's planned duration after which STEP_REQUESTS_MIN is
 * waived, so that a route with few requests does not block the rollout. */
#define STEP_STRETCH_MAX 1.5

typedef struct {
	char *name;
	sr_rollout_analysis_t analysis;
	guint32 n_at_step_start; /* n_new_requests at the last step */
	sr_verdict_t verdict;
} route_t;

struct sr_rollout {
	sr_rollout_options_t options;
	char *service;
	char *old_version;
	char *new_version;
	char *reason;
	GArray *routes; /* of route_t */
	sr_lease_t *lease;
	sr_rollout_step_t step;
	sr_rollout_step_t pending_step; /* being written to the platform */
	gboolean write_pending;
	sr_usec_t now;
	sr_usec_t step_started; /* when step was taken or received */
};

static void apply_step(sr_rollout_t *rollout, const sr_rollout_step_t *step)
{
	const sr_rollout_options_t *o = &rollout->options;

	if (step->number <= rollout->step.number ||
	    rollout->step.state == SR_ROLLOUT_ROLLED_BACK)
		return;
	g_assert(step->share >= 0 && step->share <= 1);
	rollout->step = *step;
	rollout->step_started = rollout->now;
	for (guint i = 0; i < rollout->routes->len; i++) {
		route_t *route = &g_array_index(rollout->routes, route_t, i);

		route->n_at_step_start = route->analysis.n_new_requests;
	}
	o->set_share(o->user, rollout->service, rollout->new_version,
		     step->share);
	o->set_share(o->user, rollout->service, rollout->old_version,
		     1 - step->share);
}

/* As text, with the share in integer parts per million to keep it exact. */
static GBytes *encode_step(const sr_rollout_step_t *step)
{
	char *text = g_strdup_printf(
		"%" G_GUINT64_FORMAT " %u %d", step->number,
		(unsigned)lround(step->share * 1e6), (int)step->state);

	return g_bytes_new_take(text, strlen(text));
}

static gboolean decode_step(GBytes *payload, sr_rollout_step_t *step)
{
	gsize size = 0;
	const char *data = payload ? g_bytes_get_data(payload, &size) : NULL;
	char *text = g_strndup(data ? data : "", size);
	char **parts = g_strsplit(text, " ", 4);
	guint64 ppm = 0;
	guint64 state = 0;
	gboolean valid =
		g_strv_length(parts) == 3 &&
		g_ascii_string_to_unsigned(parts[0], 10, 1, G_MAXUINT64,
					   &step->number, NULL) &&
		g_ascii_string_to_unsigned(parts[1], 10, 0, 1000000, &ppm,
					   NULL) &&
		g_ascii_string_to_unsigned(
			parts[2], 10, 0, SR_ROLLOUT_ROLLED_BACK, &state, NULL);

	step->share = (double)ppm / 1e6;
	step->state = (sr_rollout_state_t)state;
	g_strfreev(parts);
	g_free(text);
	return valid;
}

static void apply_payload(sr_rollout_t *rollout, GBytes *payload)
{
	sr_rollout_step_t step;

	if (!decode_step(payload, &step))
		return;
	if (step.state == SR_ROLLOUT_ROLLED_BACK)
		sr_rollout_roll_back(rollout, "rolled back by another node");
	else
		apply_step(rollout, &step);
}

static void on_acquired(void *user, guint64 epoch, GBytes *payload)
{
	apply_payload(user, payload);
}

static void on_lost(void *user)
{
	sr_rollout_t *rollout = user;

	rollout->write_pending = FALSE;
}

static void on_step_written(void *user, sr_err_t err)
{
	sr_rollout_t *rollout = user;

	rollout->write_pending = FALSE;
	if (err != SR_OK ||
	    rollout->pending_step.state == SR_ROLLOUT_ROLLED_BACK)
		return;
	apply_step(rollout, &rollout->pending_step);
	/* After a rollback during the write, the step was ignored. */
	if (rollout->step.number == rollout->pending_step.number)
		rollout->options.step_written(rollout->options.user,
					      &rollout->step);
}

static void add_routes(sr_rollout_t *rollout, const char *const *names)
{
	for (; *names; names++) {
		route_t route = { .name = g_strdup(*names) };

		g_array_append_val(rollout->routes, route);
	}
}

static sr_lease_t *new_lease(sr_rollout_t *rollout)
{
	char *key = g_strjoin("/", "rollout", rollout->service,
			      rollout->new_version, NULL);
	const sr_lease_options_t options = {
		.store = rollout->options.store,
		.class = SR_STORE_LEASE,
		.key = key,
		.owner = rollout->options.owner,
		.seed = rollout->options.seed,
		.duration = LEASE_DURATION,
		.acquired = on_acquired,
		.lost = on_lost,
		.written = on_step_written,
		.user = rollout,
	};
	sr_lease_t *lease = sr_lease_new(&options);

	g_free(key);
	return lease;
}

sr_rollout_t *sr_rollout_new(const sr_rollout_options_t *options)
{
	sr_rollout_t *rollout = g_new0(sr_rollout_t, 1);

	g_assert(options->target > 0 && options->target <= 1);
	rollout->options = *options;
	rollout->service = g_strdup(options->service);
	rollout->old_version = g_strdup(options->old_version);
	rollout->new_version = g_strdup(options->new_version);
	rollout->reason = g_strdup("");
	rollout->routes = g_array_new(FALSE, FALSE, sizeof(route_t));
	rollout->step_started = options->start;
	rollout->now = options->start;
	add_routes(rollout, options->routes);
	rollout->lease = new_lease(rollout);
	return rollout;
}

void sr_rollout_free(sr_rollout_t *rollout)
{
	if (!rollout)
		return;
	sr_lease_free(rollout->lease);
	for (guint i = 0; i < rollout->routes->len; i++)
		g_free(g_array_index(rollout->routes, route_t, i).name);
	g_array_unref(rollout->routes);
	g_free(rollout->service);
	g_free(rollout->old_version);
	g_free(rollout->new_version);
	g_free(rollout->reason);
	g_free(rollout);
}

void sr_rollout_set_wanted(sr_rollout_t *rollout, gboolean wanted)
{
	sr_lease_set_wanted(rollout->lease, wanted);
}

void sr_rollout_receive(sr_rollout_t *rollout, const sr_rollout_step_t *step)
{
	if (step->state == SR_ROLLOUT_ROLLED_BACK)
		sr_rollout_roll_back(rollout, "rolled back by another node");
	else
		apply_step(rollout, step);
}

void sr_rollout_roll_back(sr_rollout_t *rollout, const char *reason)
{
	const sr_rollout_options_t *o = &rollout->options;

	if (rollout->step.state == SR_ROLLOUT_ROLLED_BACK)
		return;
	rollout->step.state = SR_ROLLOUT_ROLLED_BACK;
	rollout->step.share = 0;
	g_free(rollout->reason);
	rollout->reason = g_strdup(reason);
	o->set_share(o->user, rollout->service, rollout->new_version, 0);
	o->set_share(o->user, rollout->service, rollout->old_version, 1);
}

static sr_verdict_t analyse_route(sr_rollout_t *rollout, route_t *route)
{
	const sr_evidence_t *evidence = rollout->options.evidence;
	sr_evidence_counters_t old_version;
	sr_evidence_counters_t new_version;

	sr_evidence_total(evidence, rollout->service, rollout->old_version,
			  route->name, &old_version);
	sr_evidence_total(evidence, rollout->service, rollout->new_version,
			  route->name, &new_version);
	return sr_rollout_analysis_update(&route->analysis, &old_version,
					  &new_version);
}

static void recall_version(sr_rollout_t *rollout, const route_t *route)
{
	const sr_rollout_options_t *o = &rollout->options;
	char *reason = g_strdup_printf(
		"%s on route %s than version %s in the same period, "
		"after %u requests",
		route->verdict == SR_VERDICT_SLOW ? "slower answers" :
						    "more failures",
		route->name, rollout->old_version,
		route->analysis.n_new_requests);

	sr_rollout_roll_back(rollout, reason);
	o->recall(o->user, rollout->service, rollout->new_version, reason);
	g_free(reason);
}

/* Updates the analysis of every route; TRUE if all are healthy. */
static gboolean analyse_routes(sr_rollout_t *rollout)
{
	gboolean healthy = TRUE;

	for (guint i = 0; i < rollout->routes->len; i++) {
		route_t *route = &g_array_index(rollout->routes, route_t, i);

		route->verdict = analyse_route(rollout, route);
		if (route->verdict == SR_VERDICT_FAILING ||
		    route->verdict == SR_VERDICT_SLOW) {
			recall_version(rollout, route);
			return FALSE;
		}
		healthy = healthy && route->verdict == SR_VERDICT_HEALTHY;
	}
	return healthy;
}

static gboolean has_enough_requests(const sr_rollout_t *rollout)
{
	for (guint i = 0; i < rollout->routes->len; i++) {
		const route_t *route =
			&g_array_index(rollout->routes, route_t, i);

		if (route->analysis.n_new_requests - route->n_at_step_start <
		    STEP_REQUESTS_MIN)
			return FALSE;
	}
	return TRUE;
}

/* Steps that are needed to reach the target, at least 1. */
static unsigned remaining_steps(const sr_rollout_t *rollout)
{
	double share = rollout->step.share;
	unsigned n = 1;

	if (share <= 0) {
		share = INITIAL_SHARE;
		n++;
	}
	while (share * STEP_FACTOR < rollout->options.target - 1e-9) {
		share *= STEP_FACTOR;
		n++;
	}
	return n;
}

/* Duration of the current step that spreads the steps over the time left. */
static sr_usec_t planned_duration(const sr_rollout_t *rollout)
{
	const sr_rollout_options_t *o = &rollout->options;
	sr_usec_t reserve =
		(sr_usec_t)((double)(o->due - o->start) * TIME_RESERVE);
	sr_usec_t left = o->due - reserve - rollout->step_started;

	return MAX(left / (sr_usec_t)remaining_steps(rollout),
		   STEP_DURATION_MIN);
}

static gboolean is_step_due(const sr_rollout_t *rollout)
{
	sr_usec_t elapsed = rollout->now - rollout->step_started;
	sr_usec_t planned = planned_duration(rollout);

	switch (rollout->step.state) {
	case SR_ROLLOUT_MOVING:
		if (rollout->step.share <= 0)
			return TRUE;
		if (elapsed < planned)
			return FALSE;
		return has_enough_requests(rollout) ||
		       (double)elapsed >= STEP_STRETCH_MAX * (double)planned;
	case SR_ROLLOUT_SOAKING:
		return elapsed >= rollout->options.soak;
	case SR_ROLLOUT_FINISHED:
	case SR_ROLLOUT_ROLLED_BACK:
		return FALSE;
	}
	g_assert_not_reached();
}

static sr_rollout_step_t next_step(const sr_rollout_t *rollout)
{
	sr_rollout_step_t step = rollout->step;
	double target = rollout->options.target;

	step.number++;
	if (step.state == SR_ROLLOUT_SOAKING) {
		step.state = SR_ROLLOUT_FINISHED;
		return step;
	}
	step.share = step.share > 0 ? step.share * STEP_FACTOR : INITIAL_SHARE;
	if (step.share >= target - 1e-9) {
		step.share = target;
		step.state = SR_ROLLOUT_SOAKING;
	}
	return step;
}

static void write_step(sr_rollout_t *rollout, const sr_rollout_step_t *step)
{
	GBytes *payload = encode_step(step);

	rollout->pending_step = *step;
	if (sr_lease_write(rollout->lease, rollout->now, payload) == SR_OK)
		rollout->write_pending = TRUE;
	g_bytes_unref(payload);
}

/* Stores the rollback in the leased object, unless it is there already. */
static void write_rollback(sr_rollout_t *rollout)
{
	sr_rollout_step_t stored;
	sr_rollout_step_t step = rollout->step;

	if (decode_step(sr_lease_payload(rollout->lease), &stored)) {
		if (stored.state == SR_ROLLOUT_ROLLED_BACK)
			return;
		step.number = MAX(step.number, stored.number);
	}
	step.number++;
	write_step(rollout, &step);
}

void sr_rollout_tick(sr_rollout_t *rollout, sr_usec_t now)
{
	gboolean healthy = FALSE;
	sr_rollout_step_t step;

	rollout->now = now;
	sr_lease_tick(rollout->lease, now);
	if (rollout->step.state == SR_ROLLOUT_MOVING ||
	    rollout->step.state == SR_ROLLOUT_SOAKING)
		healthy = analyse_routes(rollout);
	if (rollout->write_pending || !sr_lease_is_held(rollout->lease, now, 0))
		return;
	if (rollout->step.state == SR_ROLLOUT_ROLLED_BACK) {
		write_rollback(rollout);
	} else if (healthy && is_step_due(rollout)) {
		step = next_step(rollout);
		write_step(rollout, &step);
	}
}

const sr_rollout_step_t *sr_rollout_step(const sr_rollout_t *rollout)
{
	return &rollout->step;
}

const char *sr_rollout_reason(const sr_rollout_t *rollout)
{
	return rollout->reason;
}
