#include <math.h>
#include <string.h>

#include "bench.h"
#include "core/rollout.h"
#include "event_queue.h"
#include "memory_store.h"

/*
 * Moves of a service's traffic to a new version: good ones through trouble
 * of hosts, failure domains and the platform, and bad ones of each kind. The
 * baseline ramps up in a straight line and takes a version back when it
 * fails more than a set part of its requests.
 */

#define N_SEEDS 200
#define N_NODES 9
#define N_WORKERS 10 /* of each version */
#define N_DOMAINS 4
#define N_ROUTES 3
#define RATE 40.0 /* requests a second */
#define TICK (100 * SR_MSEC)
#define WINDOW (600 * SR_SEC)
#define SOAK (120 * SR_SEC)
#define GOSSIP_MIN (300 * SR_MSEC)
#define GOSSIP_MAX (1200 * SR_MSEC)
#define STORE_DELAY (8 * SR_MSEC)
#define USUAL_FAILURES 0.003
#define BASELINE_FAILURES 0.05
#define BASELINE_N 100

typedef enum {
	GOOD_QUIET,
	GOOD_RECLAIM_WAVE,    /* a domain with notice, streams break off */
	GOOD_DOMAIN_LOST,     /* a domain without notice */
	GOOD_PLATFORM_OUTAGE, /* and failures in both versions */
	GOOD_BAD_HOST,	      /* one host of the new version fails */
	GOOD_LOAD_BURST,      /* everything is slower */
	BAD_AT_ONCE,
	BAD_LATER,
	BAD_UNDER_LOAD, /* only on a worker near its normal load */
	BAD_ON_ROUTE,
	BAD_SLOW,
	N_KINDS,
} kind_t;

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
	kind_t kind;
	gboolean baseline;
	event_queue_t *events;
	GRand *random;
	memory_store_t *store;
	node_t nodes[N_NODES];
	gboolean gone[N_DOMAINS]; /* as the nodes know */
	gboolean dead[N_DOMAINS];
	unsigned n_requests;
	unsigned n_exposed; /* answered by the faulty version */
	sr_usec_t reached;  /* when the full share was reached; 0 for not yet */
	sr_usec_t recalled_at; /* 0 for never */
	unsigned recent_n;     /* baseline: of the new version */
	unsigned recent_failures;
};

static const char *const route_names[] = { "lookup", "comparison", "bulk",
					   NULL };

static sr_usec_t now_of(const run_t *run)
{
	return event_queue_now(run->events);
}

static sr_usec_t gossip_delay(run_t *run)
{
	return GOSSIP_MIN + (sr_usec_t)(g_rand_double(run->random) *
					(double)(GOSSIP_MAX - GOSSIP_MIN));
}

static gboolean is_bad(kind_t kind)
{
	return kind >= BAD_AT_ONCE;
}

static gboolean is_gone(void *user, const char *upstream)
{
	const node_t *node = user;
	unsigned worker = (unsigned)(upstream[1] - '0');

	return node->run->gone[worker % N_DOMAINS];
}

/* One rumour on its way to one node. */
typedef struct {
	node_t *to;
	char *key;
	GBytes *value;
	sr_rollout_step_t step;
} rumour_t;

static rumour_t *rumour_to(run_t *run, node_t *to, event_fn fn)
{
	rumour_t *rumour = g_new0(rumour_t, 1);

	rumour->to = to;
	event_queue_add(run->events, gossip_delay(run), fn, run, rumour);
	return rumour;
}

static void evidence_arrives(void *user, void *data)
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
		rumour = rumour_to(node->run, &node->run->nodes[i],
				   evidence_arrives);
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
	if (share >= 1 && node->run->reached == 0)
		node->run->reached = now_of(node->run);
}

static void recall_arrives(void *user, void *data)
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
		run->recalled_at = now_of(run);
	for (unsigned i = 0; i < N_NODES; i++) {
		if (i != node->index)
			rumour_to(run, &run->nodes[i], recall_arrives);
	}
}

static void step_arrives(void *user, void *data)
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
			rumour_to(node->run, &node->run->nodes[i], step_arrives)
				->step = *step;
	}
}

static double progress(const run_t *run)
{
	return (double)now_of(run) / (double)WINDOW;
}

static gboolean is_trouble_on(const run_t *run)
{
	return progress(run) >= 0.4 && progress(run) < 0.6;
}

/* Part of a worker's normal load that the new version's workers carry. */
static double load_of(double share, unsigned n_workers)
{
	return share * N_WORKERS / n_workers;
}

static double fault_rate(const run_t *run, unsigned route, double load)
{
	switch (run->kind) {
	case BAD_AT_ONCE:
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
	if (run->kind == BAD_SLOW && is_new)
		return 2;
	if (run->kind == GOOD_LOAD_BURST && is_trouble_on(run))
		return 2.5;
	return 1;
}

static gboolean is_faulty(const run_t *run, unsigned route, double load)
{
	return fault_rate(run, route, load) > 0 || run->kind == BAD_SLOW;
}

static double normal(GRand *random)
{
	double u = 1 - g_rand_double(random);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(random));
}

static sr_outcome_t outcome_of(run_t *run, gboolean is_new, unsigned worker,
			       unsigned route, double load)
{
	double failures = USUAL_FAILURES;

	if (run->dead[worker % N_DOMAINS])
		return SR_OUTCOME_CONNECTION_ERROR;
	if (is_new)
		failures += fault_rate(run, route, load);
	if (run->kind == GOOD_PLATFORM_OUTAGE && is_trouble_on(run))
		failures += 0.1;
	if (run->kind == GOOD_BAD_HOST && is_new && worker == 0)
		failures = 0.9;
	return g_rand_double(run->random) < failures ? SR_OUTCOME_FAILED :
						       SR_OUTCOME_ANSWERED;
}

static unsigned draw_worker(run_t *run, unsigned n)
{
	unsigned worker;

	do {
		worker = (unsigned)g_rand_int_range(run->random, 0, (gint32)n);
	} while (run->gone[worker % N_DOMAINS] && n > 2);
	return worker;
}

static void request(run_t *run)
{
	static const double medians_ms[] = { 300, 500, 700 };
	node_t *node = &run->nodes[g_rand_int_range(run->random, 0, N_NODES)];
	gboolean is_new =
		!node->recalled && g_rand_double(run->random) < node->share;
	unsigned n = is_new ? CLAMP((unsigned)ceil(node->share * N_WORKERS), 2,
				    N_WORKERS) :
			      N_WORKERS;
	unsigned worker = draw_worker(run, n);
	double which = g_rand_double(run->random);
	unsigned route = which < 0.7 ? 0 : which < 0.9 ? 1 : 2;
	double load = load_of(node->share, n);
	char name[8];
	char domain[8];
	sr_observation_t seen = {
		.service = "s",
		.version = is_new ? "new" : "old",
		.route = route_names[route],
		.upstream = name,
		.failure_domain = domain,
		.first_byte =
			(sr_usec_t)(medians_ms[route] *
				    exp(0.4 * normal(run->random)) *
				    slowdown(run, is_new) * (double)SR_MSEC),
	};

	g_snprintf(name, sizeof(name), "%c%u", is_new ? 'n' : 'o', worker);
	g_snprintf(domain, sizeof(domain), "d%u", worker % N_DOMAINS);
	seen.outcome = outcome_of(run, is_new, worker, route, load);
	run->n_requests++;
	if (is_new && is_faulty(run, route, load))
		run->n_exposed++;
	if (is_new) {
		run->recent_n++;
		run->recent_failures += seen.outcome != SR_OUTCOME_ANSWERED;
	}
	if (!run->baseline)
		sr_evidence_record(node->evidence, now_of(run), &seen);
}

static void tick_nodes(run_t *run)
{
	for (unsigned i = 0; i < N_NODES; i++) {
		sr_evidence_tick(run->nodes[i].evidence, now_of(run));
		sr_rollout_tick(run->nodes[i].rollout, now_of(run));
	}
}

static void tick_baseline(run_t *run)
{
	double share = MIN(progress(run) / 0.9, 1);

	if (run->recent_n >= BASELINE_N) {
		if (run->recent_failures > BASELINE_FAILURES * run->recent_n &&
		    run->recalled_at == 0)
			run->recalled_at = now_of(run);
		run->recent_n = 0;
		run->recent_failures = 0;
	}
	if (run->recalled_at > 0)
		share = 0;
	for (unsigned i = 0; i < N_NODES; i++)
		run->nodes[i].share = share;
	if (share >= 1 && run->reached == 0)
		run->reached = now_of(run);
}

static void break_off_streams(run_t *run, unsigned worker, gboolean is_new)
{
	for (unsigned i = 0; i < 10; i++) {
		node_t *node = &run->nodes[i % N_NODES];
		char name[8];
		const sr_observation_t seen = {
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
		run->recent_n += is_new;
		run->recent_failures += is_new;
		if (!run->baseline)
			sr_evidence_record(node->evidence, now_of(run), &seen);
	}
}

/* Failure domain 1 has the second worker of the smallest share. */
static void domain_dies(void *user, void *data)
{
	run_t *run = user;

	run->dead[1] = TRUE;
	for (unsigned i = 1; i < N_WORKERS; i += N_DOMAINS) {
		break_off_streams(run, i, FALSE);
		break_off_streams(run, i, TRUE);
	}
}

static void domain_is_known_gone(void *user, void *data)
{
	run_t *run = user;

	run->gone[1] = TRUE;
}

static void domain_returns(void *user, void *data)
{
	run_t *run = user;

	run->gone[1] = FALSE;
	run->dead[1] = FALSE;
}

static void set_down(void *user, void *data)
{
	run_t *run = user;

	memory_store_set_down(run->store, data != NULL);
}

static void schedule_trouble(run_t *run)
{
	sr_usec_t start = WINDOW * 2 / 5;
	sr_usec_t stop = WINDOW * 3 / 5;

	switch (run->kind) {
	case GOOD_RECLAIM_WAVE:
		event_queue_add(run->events, start, domain_is_known_gone, run,
				NULL);
		event_queue_add(run->events, start + 4 * SR_SEC, domain_dies,
				run, NULL);
		event_queue_add(run->events, stop, domain_returns, run, NULL);
		break;
	case GOOD_DOMAIN_LOST:
		event_queue_add(run->events, start, domain_dies, run, NULL);
		event_queue_add(run->events, start + 15 * SR_SEC,
				domain_is_known_gone, run, NULL);
		event_queue_add(run->events, stop, domain_returns, run, NULL);
		break;
	case GOOD_PLATFORM_OUTAGE:
		event_queue_add(run->events, start, set_down, run, run);
		event_queue_add(run->events, stop, set_down, run, NULL);
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
						 .changed = evidence_changed,
						 .user = node };
	sr_rollout_options_t rollout = {
		.service = "s",
		.old_version = "old",
		.new_version = "new",
		.target = 1,
		.due = WINDOW,
		.soak = SOAK,
		.routes = route_names,
		.store = memory_store_calls(run->store),
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

static void run_init(run_t *run, kind_t kind, gboolean baseline, guint64 seed)
{
	memset(run, 0, sizeof(*run));
	run->kind = kind;
	run->baseline = baseline;
	run->events = event_queue_new();
	run->random = g_rand_new_with_seed((guint32)seed);
	run->store = memory_store_new(run->events, STORE_DELAY);
	for (unsigned i = 0; i < N_NODES; i++)
		start_node(run, i, seed);
	schedule_trouble(run);
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

static void run_all(run_t *run)
{
	double due = 0;

	for (unsigned i = 1; i <= (WINDOW + SOAK) / TICK; i++) {
		event_queue_run(run->events, i * TICK);
		due += RATE * (double)TICK / (double)SR_SEC;
		while (due >= 1) {
			due -= 1;
			request(run);
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
} score_t;

static void count_run(const run_t *run, score_t *score)
{
	double exposure =
		(double)run->n_exposed / MAX((double)run->n_requests, 1);

	if (!is_bad(run->kind)) {
		score->n_good++;
		score->on_time += run->reached > 0 && run->reached <= WINDOW &&
				  run->recalled_at == 0;
		score->false_recalls += run->recalled_at > 0;
		return;
	}
	score->n_bad++;
	score->recalled += run->recalled_at > 0;
	score->exposure_sum += exposure;
	score->exposure_max = MAX(score->exposure_max, exposure);
}

static void measure(const char *subject, gboolean baseline, guint64 seed)
{
	score_t score = { 0 };

	for (guint64 i = 0; i < N_SEEDS; i++) {
		run_t run;

		run_init(&run, (kind_t)(i % N_KINDS), baseline,
			 seed * 1000 + i);
		run_all(&run);
		count_run(&run, &score);
		run_clear(&run);
	}
	bench_print(subject, "good_on_time",
		    (double)score.on_time / score.n_good);
	bench_print(subject, "bad_recalled",
		    (double)score.recalled / score.n_bad);
	bench_print(subject, "bad_exposure_share",
		    score.exposure_sum / score.n_bad);
	bench_print(subject, "bad_exposure_share_max", score.exposure_max);
	bench_print(subject, "false_recalls", score.false_recalls);
}

void rollout_bench_run(guint64 seed)
{
	measure("rollout.baseline", TRUE, seed);
	measure("rollout.policy", FALSE, seed);
}
