#include <math.h>
#include <string.h>

#include "bench.h"
#include "core/rollout.h"
#include "event_queue.h"
#include "memory_store.h"

/*
 * Rollouts of a service to a new version: good versions during faults of
 * hosts, failure domains and the platform, and faulty versions of each kind.
 * The baseline raises the share linearly and recalls the version when its
 * failure rate exceeds a fixed limit.
 */

#define N_RUNS 200
#define N_NODES 9
#define N_WORKERS 10 /* of each version */
#define N_DOMAINS 4
#define N_ROUTES 3
#define REQUESTS_PER_S 40.0 /* to all nodes */
#define TICK (100 * SR_MSEC)
#define WINDOW (600 * SR_SEC) /* until the full share is due */
#define SOAK (120 * SR_SEC)
/* Delay of a rumour to another node. */
#define GOSSIP_MIN (300 * SR_MSEC)
#define GOSSIP_MAX (1200 * SR_MSEC)
#define STORE_DELAY (8 * SR_MSEC)
#define BACKGROUND_FAILURE_RATE 0.003
#define BASELINE_MAX_FAILURE_RATE 0.05
#define BASELINE_SAMPLE 100 /* requests between two checks */

/** scenario_t - good version under an external fault, or a faulty version */
typedef enum {
	GOOD_NO_FAULT,
	GOOD_RECLAIM_WAVE,    /* a failure domain stops after a notice */
	GOOD_DOMAIN_LOST,     /* a failure domain stops without notice */
	GOOD_PLATFORM_OUTAGE, /* and more failures in both versions */
	GOOD_FAILING_HOST,    /* one host of the new version fails */
	GOOD_LOAD_BURST,      /* both versions are slower */
	BAD_FROM_START,
	BAD_LATER,
	BAD_UNDER_LOAD, /* only on a worker near its normal load */
	BAD_ON_ROUTE,
	BAD_SLOW,
	N_SCENARIOS,
} scenario_t;

typedef struct run run_t;

typedef struct {
	run_t *run;
	unsigned index;
	sr_evidence_t *evidence;
	sr_rollout_t *rollout;
	double share;
	gboolean recalled;
} node_t;

struct run {
	scenario_t scenario;
	gboolean baseline;
	event_queue_t *events;
	GRand *random;
	memory_store_t *store;
	node_t nodes[N_NODES];
	gboolean known_gone[N_DOMAINS]; /* known to the nodes as gone */
	gboolean down[N_DOMAINS];	/* refuses connections */
	unsigned n_requests;
	unsigned n_exposed;	  /* served by the new version while faulty */
	sr_usec_t full_share_at;  /* 0 if not yet reached */
	sr_usec_t recalled_at;	  /* 0 for never */
	unsigned recent_requests; /* baseline: since its last check */
	unsigned recent_failures;
};

static const char *const route_names[] = { "lookup", "comparison", "bulk",
					   NULL };

static sr_usec_t run_now(const run_t *run)
{
	return event_queue_now(run->events);
}

static sr_usec_t gossip_delay(run_t *run)
{
	return GOSSIP_MIN + (sr_usec_t)(g_rand_double(run->random) *
					(double)(GOSSIP_MAX - GOSSIP_MIN));
}

static gboolean is_bad(scenario_t scenario)
{
	return scenario >= BAD_FROM_START;
}

static gboolean is_gone(void *user, const char *upstream)
{
	const node_t *node = user;
	unsigned worker = (unsigned)(upstream[1] - '0');

	return node->run->known_gone[worker % N_DOMAINS];
}

/** rumour_t - a rumour in transit to one node */
typedef struct {
	node_t *to;
	char *key;
	GBytes *value;
	sr_rollout_step_t step;
} rumour_t;

static rumour_t *send_rumour(run_t *run, node_t *to, event_fn fn)
{
	rumour_t *rumour = g_new0(rumour_t, 1);

	rumour->to = to;
	event_queue_add(run->events, gossip_delay(run), fn, run, rumour);
	return rumour;
}

static void deliver_evidence(void *user, void *data)
{
	rumour_t *rumour = data;
	gsize size = 0;
	const guint8 *value = g_bytes_get_data(rumour->value, &size);

	sr_evidence_receive(rumour->to->evidence, rumour->key, value, size);
	g_bytes_unref(rumour->value);
	g_free(rumour->key);
	g_free(rumour);
}

static void evidence_changed(void *user, const char *key, guint64 version,
			     const guint8 *value, gsize size)
{
	node_t *node = user;

	for (unsigned i = 0; i < N_NODES; i++) {
		rumour_t *rumour;

		if (i == node->index)
			continue;
		rumour = send_rumour(node->run, &node->run->nodes[i],
				     deliver_evidence);
		rumour->key = g_strdup(key);
		rumour->value = g_bytes_new(value, size);
	}
}

static void set_share(void *user, const char *service, const char *version,
		      double share)
{
	node_t *node = user;

	if (strcmp(version, "new") != 0)
		return;
	node->share = share;
	if (share >= 1 && node->run->full_share_at == 0)
		node->run->full_share_at = run_now(node->run);
}

static void deliver_recall(void *user, void *data)
{
	rumour_t *rumour = data;

	rumour->to->recalled = TRUE;
	sr_rollout_roll_back(rumour->to->rollout, "heard");
	g_free(rumour);
}

static void recall(void *user, const char *service, const char *version,
		   const char *reason)
{
	node_t *node = user;
	run_t *run = node->run;

	node->recalled = TRUE;
	if (run->recalled_at == 0)
		run->recalled_at = run_now(run);
	for (unsigned i = 0; i < N_NODES; i++) {
		if (i != node->index)
			send_rumour(run, &run->nodes[i], deliver_recall);
	}
}

static void deliver_step(void *user, void *data)
{
	rumour_t *rumour = data;

	sr_rollout_receive(rumour->to->rollout, &rumour->step);
	g_free(rumour);
}

static void step_written(void *user, const sr_rollout_step_t *step)
{
	node_t *node = user;

	for (unsigned i = 0; i < N_NODES; i++) {
		if (i != node->index)
			send_rumour(node->run, &node->run->nodes[i],
				    deliver_step)
				->step = *step;
	}
}

static double progress(const run_t *run)
{
	return (double)run_now(run) / (double)WINDOW;
}

static gboolean is_fault_active(const run_t *run)
{
	return progress(run) >= 0.4 && progress(run) < 0.6;
}

/* Load of a worker of the new version, relative to its load at full share. */
static double relative_load(double share, unsigned n_workers)
{
	return share * N_WORKERS / n_workers;
}

static double fault_rate(const run_t *run, unsigned route, double load)
{
	switch (run->scenario) {
	case BAD_FROM_START:
		return 0.15;
	case BAD_LATER:
		return progress(run) >= 0.55 ? 0.3 : 0;
	case BAD_UNDER_LOAD:
		return load >= 0.6 ? 0.3 : 0;
	case BAD_ON_ROUTE:
		return route == 2 ? 0.5 : 0;
	default:
		return 0;
	}
}

static double slowdown(const run_t *run, gboolean is_new)
{
	if (run->scenario == BAD_SLOW && is_new)
		return 2;
	if (run->scenario == GOOD_LOAD_BURST && is_fault_active(run))
		return 2.5;
	return 1;
}

static gboolean is_faulty(const run_t *run, unsigned route, double load)
{
	return fault_rate(run, route, load) > 0 || run->scenario == BAD_SLOW;
}

static double draw_normal(GRand *random)
{
	double u = 1 - g_rand_double(random);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(random));
}

static sr_outcome_t outcome_of(run_t *run, gboolean is_new, unsigned worker,
			       unsigned route, double load)
{
	double failures = BACKGROUND_FAILURE_RATE;

	if (run->down[worker % N_DOMAINS])
		return SR_OUTCOME_CONNECTION_ERROR;
	if (is_new)
		failures += fault_rate(run, route, load);
	if (run->scenario == GOOD_PLATFORM_OUTAGE && is_fault_active(run))
		failures += 0.1;
	if (run->scenario == GOOD_FAILING_HOST && is_new && worker == 0)
		failures = 0.9;
	return g_rand_double(run->random) < failures ? SR_OUTCOME_FAILED :
						       SR_OUTCOME_ANSWERED;
}

static unsigned draw_worker(run_t *run, unsigned n)
{
	unsigned worker;

	do {
		worker = (unsigned)g_rand_int_range(run->random, 0, (gint32)n);
	} while (run->known_gone[worker % N_DOMAINS] && n > 2);
	return worker;
}

static void simulate_request(run_t *run)
{
	static const double medians_ms[] = { 300, 500, 700 };
	node_t *node = &run->nodes[g_rand_int_range(run->random, 0, N_NODES)];
	gboolean is_new =
		!node->recalled && g_rand_double(run->random) < node->share;
	unsigned n = is_new ? CLAMP((unsigned)ceil(node->share * N_WORKERS), 2,
				    N_WORKERS) :
			      N_WORKERS;
	unsigned worker = draw_worker(run, n);
	double route_draw = g_rand_double(run->random);
	unsigned route = route_draw < 0.7 ? 0 : route_draw < 0.9 ? 1 : 2;
	double load = relative_load(node->share, n);
	char name[8];
	char domain[8];
	sr_observation_t observation = {
		.service = "s",
		.version = is_new ? "new" : "old",
		.route = route_names[route],
		.upstream = name,
		.failure_domain = domain,
		.first_byte =
			(sr_usec_t)(medians_ms[route] *
				    exp(0.4 * draw_normal(run->random)) *
				    slowdown(run, is_new) * (double)SR_MSEC),
	};

	g_snprintf(name, sizeof(name), "%c%u", is_new ? 'n' : 'o', worker);
	g_snprintf(domain, sizeof(domain), "d%u", worker % N_DOMAINS);
	observation.outcome = outcome_of(run, is_new, worker, route, load);
	run->n_requests++;
	if (is_new && is_faulty(run, route, load))
		run->n_exposed++;
	if (is_new) {
		run->recent_requests++;
		run->recent_failures +=
			observation.outcome != SR_OUTCOME_ANSWERED;
	}
	if (!run->baseline)
		sr_evidence_record(node->evidence, run_now(run), &observation);
}

static void tick_nodes(run_t *run)
{
	for (unsigned i = 0; i < N_NODES; i++) {
		sr_evidence_tick(run->nodes[i].evidence, run_now(run));
		sr_rollout_tick(run->nodes[i].rollout, run_now(run));
	}
}

static void tick_baseline(run_t *run)
{
	double share = MIN(progress(run) / 0.9, 1);

	if (run->recent_requests >= BASELINE_SAMPLE) {
		if (run->recent_failures >
			    BASELINE_MAX_FAILURE_RATE * run->recent_requests &&
		    run->recalled_at == 0)
			run->recalled_at = run_now(run);
		run->recent_requests = 0;
		run->recent_failures = 0;
	}
	if (run->recalled_at > 0)
		share = 0;
	for (unsigned i = 0; i < N_NODES; i++)
		run->nodes[i].share = share;
	if (share >= 1 && run->full_share_at == 0)
		run->full_share_at = run_now(run);
}

static void break_streams(run_t *run, unsigned worker, gboolean is_new)
{
	for (unsigned i = 0; i < 10; i++) {
		node_t *node = &run->nodes[i % N_NODES];
		char name[8];
		const sr_observation_t observation = {
			.service = "s",
			.version = is_new ? "new" : "old",
			.route = route_names[0],
			.upstream = name,
			.failure_domain = "d1",
			.outcome = SR_OUTCOME_CONNECTION_ERROR,
		};

		if (is_new && node->share <= 0)
			continue;
		g_snprintf(name, sizeof(name), "%c%u", is_new ? 'n' : 'o',
			   worker);
		run->recent_requests += is_new;
		run->recent_failures += is_new;
		if (!run->baseline)
			sr_evidence_record(node->evidence, run_now(run),
					   &observation);
	}
}

/*
 * Stops failure domain 1 and breaks its streams. It contains worker 1, which
 * already serves the new version at the smallest share.
 */
static void stop_domain(void *user, void *data)
{
	run_t *run = user;

	run->down[1] = TRUE;
	for (unsigned i = 1; i < N_WORKERS; i += N_DOMAINS) {
		break_streams(run, i, FALSE);
		break_streams(run, i, TRUE);
	}
}

static void announce_domain_gone(void *user, void *data)
{
	run_t *run = user;

	run->known_gone[1] = TRUE;
}

static void restart_domain(void *user, void *data)
{
	run_t *run = user;

	run->known_gone[1] = FALSE;
	run->down[1] = FALSE;
}

static void set_store_down(void *user, void *data)
{
	run_t *run = user;

	memory_store_set_down(run->store, data != NULL);
}

static void schedule_fault(run_t *run)
{
	sr_usec_t start = WINDOW * 2 / 5;
	sr_usec_t stop = WINDOW * 3 / 5;

	switch (run->scenario) {
	case GOOD_RECLAIM_WAVE:
		event_queue_add(run->events, start, announce_domain_gone, run,
				NULL);
		event_queue_add(run->events, start + 4 * SR_SEC, stop_domain,
				run, NULL);
		event_queue_add(run->events, stop, restart_domain, run, NULL);
		break;
	case GOOD_DOMAIN_LOST:
		event_queue_add(run->events, start, stop_domain, run, NULL);
		event_queue_add(run->events, start + 15 * SR_SEC,
				announce_domain_gone, run, NULL);
		event_queue_add(run->events, stop, restart_domain, run, NULL);
		break;
	case GOOD_PLATFORM_OUTAGE:
		event_queue_add(run->events, start, set_store_down, run, run);
		event_queue_add(run->events, stop, set_store_down, run, NULL);
		break;
	default:
		break;
	}
}

static void start_node(run_t *run, unsigned index, guint64 seed)
{
	node_t *node = &run->nodes[index];
	char name[8];
	const sr_evidence_options_t evidence = { .node = name,
						 .is_gone = is_gone,
						 .publish_counters =
							 evidence_changed,
						 .user = node };
	sr_rollout_options_t rollout = {
		.service = "s",
		.old_version = "old",
		.new_version = "new",
		.target = 1,
		.due = WINDOW,
		.soak = SOAK,
		.routes = route_names,
		.store = memory_store_interface(run->store),
		.owner = name,
		.seed = seed * 100 + index,
		.set_share = set_share,
		.recall = recall,
		.step_written = step_written,
		.user = node,
	};

	g_snprintf(name, sizeof(name), "m%u", index);
	node->run = run;
	node->index = index;
	node->evidence = sr_evidence_new(&evidence);
	rollout.evidence = node->evidence;
	node->rollout = sr_rollout_new(&rollout);
	sr_rollout_set_wanted(node->rollout, TRUE);
}

static void run_init(run_t *run, scenario_t scenario, gboolean baseline,
		     guint64 seed)
{
	memset(run, 0, sizeof(*run));
	run->scenario = scenario;
	run->baseline = baseline;
	run->events = event_queue_new();
	run->random = g_rand_new_with_seed((guint32)seed);
	run->store = memory_store_new(run->events, STORE_DELAY);
	for (unsigned i = 0; i < N_NODES; i++)
		start_node(run, i, seed);
	schedule_fault(run);
}

static void run_clear(run_t *run)
{
	for (unsigned i = 0; i < N_NODES; i++) {
		sr_rollout_free(run->nodes[i].rollout);
		sr_evidence_free(run->nodes[i].evidence);
	}
	event_queue_free(run->events);
	memory_store_free(run->store);
	g_rand_free(run->random);
}

static void run_rollout(run_t *run)
{
	double requests_due = 0;

	for (unsigned i = 1; i <= (WINDOW + SOAK) / TICK; i++) {
		event_queue_run(run->events, i * TICK);
		requests_due += REQUESTS_PER_S * (double)TICK / (double)SR_SEC;
		while (requests_due >= 1) {
			requests_due -= 1;
			simulate_request(run);
		}
		if (i % 10 != 0)
			continue;
		if (run->baseline)
			tick_baseline(run);
		else
			tick_nodes(run);
	}
}

typedef struct {
	unsigned n_good;
	unsigned n_bad;
	unsigned on_time;
	unsigned recalled;
	unsigned false_recalls;
	double exposure_sum;
	double exposure_max;
} totals_t;

static void add_run(const run_t *run, totals_t *totals)
{
	double exposure =
		(double)run->n_exposed / MAX((double)run->n_requests, 1);

	if (!is_bad(run->scenario)) {
		totals->n_good++;
		totals->on_time += run->full_share_at > 0 &&
				   run->full_share_at <= WINDOW &&
				   run->recalled_at == 0;
		totals->false_recalls += run->recalled_at > 0;
		return;
	}
	totals->n_bad++;
	totals->recalled += run->recalled_at > 0;
	totals->exposure_sum += exposure;
	totals->exposure_max = MAX(totals->exposure_max, exposure);
}

static void measure(const char *subject, gboolean baseline, guint64 seed)
{
	totals_t totals = { 0 };

	for (guint64 i = 0; i < N_RUNS; i++) {
		run_t run;

		run_init(&run, (scenario_t)(i % N_SCENARIOS), baseline,
			 seed * 1000 + i);
		run_rollout(&run);
		add_run(&run, &totals);
		run_clear(&run);
	}
	bench_print(subject, "good_on_time",
		    (double)totals.on_time / totals.n_good);
	bench_print(subject, "bad_recalled",
		    (double)totals.recalled / totals.n_bad);
	bench_print(subject, "bad_exposure_share",
		    totals.exposure_sum / totals.n_bad);
	bench_print(subject, "bad_exposure_share_max", totals.exposure_max);
	bench_print(subject, "false_recalls", totals.false_recalls);
}

void rollout_bench_run(guint64 seed)
{
	measure("rollout.baseline", TRUE, seed);
	measure("rollout.policy", FALSE, seed);
}
