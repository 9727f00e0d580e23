#include "prove.h"

#include <string.h>

#include "core/version_trial.h"
#include "driver.h"

/*
 * The hosts of a gateway move a service to a new version while some of them
 * are killed, cut off from the evidence of the others or frozen, the load jumps
 * and an old instance fails. The new version is good, or it fails from the
 * start, late, on one route or under load, or is slow.
 *
 * The oracle counts the requests of hosts that were without trouble for a
 * while, as the platform does. It checks that
 * - a faulty version gets no more than the tolerated share;
 * - it is not completed;
 * - it gets nothing from a host that has heard of its roll-back.
 */

#define HOSTS_MAX 195
#define ROUTES 3
#define INSTANCES 4
#define TICK (100 * SR_MSEC)
#define TICKS_PER_S 10
#define EVALUATE_TICKS 5
#define DELAY_TICKS 5 /* of the evidence, and of a roll-back */
#define DURATION_TICKS 150
#define N_COMMANDS 40
#define TICKS_PER_COMMAND 4
#define EXPOSURE_SHARE 0.1
#define EXPOSURE_SLACK 50.0
/* Time without trouble after which a host's requests count. */
#define CONTACT_TICKS 30
#define RESTART_TICKS 5
#define BURST_FACTOR 3

typedef enum {
	KIND_GOOD,
	KIND_FAILS,
	KIND_SLOW,
	KIND_FAILS_LATE,
	KIND_FAILS_ON_ROUTE,
	KIND_FAILS_UNDER_LOAD,
	N_KINDS,
} version_kind_t;

typedef struct {
	sr_version_trial_t *trial;
	sr_evidence_counters_t counters[ROUTES][2]; /* old, new */
	unsigned down_until;			    /* tick */
	unsigned frozen_until;
	unsigned cut_until;
	unsigned calm_since; /* tick of the last trouble */
} host_t;

typedef struct {
	host_t hosts[HOSTS_MAX];
	unsigned n_hosts;
	double requests_per_tick;
	version_kind_t kind;
	unsigned late_tick;
	unsigned tick;
	sr_usec_t started_at;
	sr_usec_t now;
	guint64 random;
	unsigned burst_until;
	unsigned grey_until;
	sr_version_route_evidence_t delayed[DELAY_TICKS][ROUTES];
	unsigned n_requests; /* that count */
	unsigned n_new;
	unsigned rolled_back_at; /* tick; 0 if it wasn't */
	gboolean is_completed;
	char *violation;
} model_t;

static const double failure_rates[ROUTES] = { 0, 0.02, 0.15 };
static const char *const route_names[ROUTES] = { "a", "b", "c" };

static double random_unit(model_t *model)
{
	return (double)(prove_random(&model->random) >> 11) / (1ULL << 53);
}

static unsigned random_below(model_t *model, unsigned n)
{
	return (unsigned)(prove_random(&model->random) % MAX(n, 1));
}

static void fail(model_t *model, const char *what)
{
	if (!model->violation)
		model->violation = g_strdup_printf(
			"%s (kind %d, %u hosts, tick %u, %u of %u requests)",
			what, model->kind, model->n_hosts, model->tick,
			model->n_new, model->n_requests);
}

static void start_host(model_t *model, host_t *host)
{
	const sr_version_trial_options_t options = {
		.service = "s",
		.target = "v2",
		.started_at = model->started_at,
		.now = model->now,
		.duration = DURATION_TICKS * TICK,
		.exposure = { EXPOSURE_SHARE, EXPOSURE_SLACK },
		.n_hosts = model->n_hosts,
		.jitter = random_unit(model),
	};

	sr_version_trial_free(host->trial);
	host->trial = sr_version_trial_new(&options);
	memset(host->counters, 0, sizeof(host->counters));
}

/* What the old version answered before the order. */
static void add_history(host_t *host)
{
	for (unsigned r = 0; r < ROUTES; r++) {
		sr_evidence_counters_t *counters = &host->counters[r][0];

		for (unsigned i = 0; i < 40; i++) {
			counters->requests[i % INSTANCES]++;
			counters->failures[i % INSTANCES] +=
				i < 40 * failure_rates[r];
			counters->latency[sr_evidence_latency_bucket(
				22 * SR_MSEC)]++;
		}
	}
}

static void *new_model(guint64 seed)
{
	static const unsigned sizes[] = { 9, 75, 195 };
	static const double rates[] = { 2.5, 12, 40 };
	model_t *model = g_new0(model_t, 1);
	unsigned size;

	model->random = seed;
	size = random_below(model, G_N_ELEMENTS(sizes));
	model->n_hosts = sizes[size];
	model->requests_per_tick = rates[size];
	model->kind = (version_kind_t)random_below(model, N_KINDS);
	model->late_tick = 30 + random_below(model, 60);
	model->started_at = model->now = SR_SEC;
	for (unsigned i = 0; i < model->n_hosts; i++)
		start_host(model, &model->hosts[i]);
	add_history(&model->hosts[0]);
	return model;
}

static void free_model(void *user)
{
	model_t *model = user;

	for (unsigned i = 0; i < model->n_hosts; i++)
		sr_version_trial_free(model->hosts[i].trial);
	g_free(model->violation);
	g_free(model);
}

static gboolean is_running(const model_t *model, const host_t *host)
{
	return model->tick >= host->down_until &&
	       model->tick >= host->frozen_until;
}

static double new_failure_rate(const model_t *model, unsigned route,
			       double share)
{
	gboolean fails = FALSE;

	switch (model->kind) {
	case KIND_GOOD:
	case KIND_SLOW:
	case N_KINDS:
		break;
	case KIND_FAILS:
		fails = TRUE;
		break;
	case KIND_FAILS_LATE:
		fails = model->tick > model->late_tick;
		break;
	case KIND_FAILS_ON_ROUTE:
		fails = route == 0;
		break;
	case KIND_FAILS_UNDER_LOAD:
		fails = share > 0.3;
		break;
	}
	return fails ? MAX(failure_rates[route], 0.5) : failure_rates[route];
}

static void count_outcome(model_t *model, host_t *host, gboolean is_new,
			  double share)
{
	unsigned route = random_below(model, ROUTES);
	unsigned instance = random_below(model, INSTANCES);
	sr_evidence_counters_t *counters = &host->counters[route][is_new];
	double failure_rate = is_new ? new_failure_rate(model, route, share) :
				       failure_rates[route];
	double slow_rate = is_new && model->kind == KIND_SLOW ? 0.5 : 0;
	double ms = 15 + 15 * random_unit(model);

	if (!is_new && instance == 0 && model->tick < model->grey_until)
		failure_rate = MAX(failure_rate, 0.4);
	if (random_unit(model) < slow_rate)
		ms *= 8;
	counters->requests[instance]++;
	if (random_unit(model) < failure_rate)
		counters->failures[instance]++;
	else
		counters->latency[sr_evidence_latency_bucket(
			(sr_usec_t)(ms * SR_MSEC))]++;
}

static void send_request(model_t *model, host_t *host)
{
	double share = sr_version_trial_share(host->trial, model->now);
	gboolean is_new =
		sr_version_trial_picks_new(host->trial, model->now, TRUE);
	gboolean counts = model->tick >= host->calm_since + CONTACT_TICKS ||
			  host->calm_since == 0;

	sr_version_trial_sent(host->trial, is_new ? "v2" : "v1");
	count_outcome(model, host, is_new, share);
	model->n_requests++;
	model->n_new += is_new && counts;
	if (is_new && counts && model->rolled_back_at > 0 &&
	    model->tick > model->rolled_back_at + DELAY_TICKS)
		fail(model, "a request after the roll-back");
}

static void send_requests(model_t *model)
{
	double expected = model->requests_per_tick *
			  (model->tick < model->burst_until ? BURST_FACTOR : 1);
	unsigned n = (unsigned)(expected + random_unit(model));

	for (unsigned i = 0; i < n; i++) {
		host_t *host =
			&model->hosts[random_below(model, model->n_hosts)];

		if (is_running(model, host))
			send_request(model, host);
	}
}

/* The evidence of the hosts that are neither down nor cut off. */
static unsigned sum_evidence(const model_t *model,
			     sr_version_route_evidence_t *sum)
{
	unsigned n_included = 0;

	memset(sum, 0, ROUTES * sizeof(*sum));
	for (unsigned r = 0; r < ROUTES; r++)
		sum[r].route = route_names[r];
	for (unsigned i = 0; i < model->n_hosts; i++) {
		const host_t *host = &model->hosts[i];

		if (model->tick < host->down_until ||
		    model->tick < host->cut_until)
			continue;
		n_included++;
		for (unsigned r = 0; r < ROUTES; r++) {
			sr_evidence_add(&sum[r].old_version,
					&host->counters[r][0]);
			sr_evidence_add(&sum[r].new_version,
					&host->counters[r][1]);
		}
	}
	return n_included;
}

static void evaluate(model_t *model, unsigned n_included)
{
	const sr_version_route_evidence_t *sum =
		model->delayed[model->tick % DELAY_TICKS];
	GArray *routes = g_array_new(FALSE, FALSE, sizeof(*sum));
	GArray *own = g_array_new(FALSE, FALSE, sizeof(*sum));

	g_array_append_vals(routes, sum, ROUTES);
	for (unsigned i = 0; i < model->n_hosts; i++) {
		host_t *host = &model->hosts[i];
		gboolean is_cut = model->tick < host->cut_until;

		if (!is_running(model, host))
			continue;
		g_array_set_size(own, 0);
		for (unsigned r = 0; is_cut && r < ROUTES; r++) {
			const sr_version_route_evidence_t evidence = {
				route_names[r], host->counters[r][0],
				host->counters[r][1]
			};

			g_array_append_val(own, evidence);
		}
		sr_version_trial_evaluate(
			host->trial, model->now, is_cut ? own : routes,
			!is_cut && 2 * n_included >= model->n_hosts);
	}
	g_array_unref(routes);
	g_array_unref(own);
}

/* A roll-back reaches the hosts that aren't cut off. */
static void spread_roll_back(model_t *model)
{
	for (unsigned i = 0; i < model->n_hosts; i++) {
		host_t *host = &model->hosts[i];

		if (sr_version_trial_phase(host->trial) ==
			    SR_VERSION_TRIAL_ROLLED_BACK &&
		    model->tick >= host->cut_until &&
		    model->rolled_back_at == 0)
			model->rolled_back_at = model->tick;
	}
	if (model->rolled_back_at == 0 ||
	    model->tick < model->rolled_back_at + DELAY_TICKS)
		return;
	for (unsigned i = 0; i < model->n_hosts; i++) {
		host_t *host = &model->hosts[i];

		if (is_running(model, host) && model->tick >= host->cut_until)
			sr_version_trial_roll_back(host->trial, "a peer");
	}
}

/* By the first host that is neither down, frozen nor cut off. */
static void decide(model_t *model)
{
	sr_version_trial_fleet_t state = { .all_are_full = TRUE };
	host_t *holder = NULL;

	for (unsigned i = 0; i < model->n_hosts; i++) {
		host_t *host = &model->hosts[i];

		if (!is_running(model, host) || model->tick < host->cut_until)
			continue;
		if (!holder)
			holder = host;
		state.all_are_full =
			state.all_are_full &&
			sr_version_trial_is_full(host->trial, model->now);
	}
	if (!holder || model->is_completed)
		return;
	switch (sr_version_trial_decide(holder->trial, model->now, &state)) {
	case SR_VERSION_TRIAL_WAIT:
		break;
	case SR_VERSION_TRIAL_FINISH:
		model->is_completed = model->rolled_back_at == 0;
		break;
	case SR_VERSION_TRIAL_GIVE_UP:
		sr_version_trial_roll_back(holder->trial, "no evidence");
		break;
	}
}

static void run_tick(model_t *model)
{
	unsigned n_included;

	model->tick++;
	model->now += TICK;
	for (unsigned i = 0; i < model->n_hosts; i++) {
		if (model->hosts[i].down_until == model->tick)
			start_host(model, &model->hosts[i]);
	}
	if (model->tick <= DURATION_TICKS && !model->is_completed)
		send_requests(model);
	n_included = sum_evidence(
		model,
		model->delayed[(model->tick + DELAY_TICKS - 1) % DELAY_TICKS]);
	if (model->tick % EVALUATE_TICKS == 0)
		evaluate(model, n_included);
	decide(model);
	spread_roll_back(model);
}

static void check_end(model_t *model)
{
	if (model->kind == KIND_GOOD)
		return;
	if (model->is_completed)
		fail(model, "a faulty version was completed");
	if (model->n_new > EXPOSURE_SHARE * model->n_requests + EXPOSURE_SLACK)
		fail(model, "too many requests at a faulty version");
}

enum {
	OP_CALM,
	OP_KILL,
	OP_KILL_ALL,
	OP_CUT,
	OP_FREEZE,
	OP_BURST,
	OP_GREY,
	N_OPS,
};

static void disturb(model_t *model, const prove_command_t *command)
{
	unsigned until = model->tick + 10 + command->b % 60;
	/* of the hosts, from one of them on */
	unsigned n = 1 + command->b % MAX(model->n_hosts / 3, 1);

	if (command->op % N_OPS == OP_KILL_ALL)
		n = model->n_hosts;
	for (unsigned i = 0; i < n; i++) {
		host_t *host = &model->hosts[(command->a + i) % model->n_hosts];

		host->calm_since = MAX(host->calm_since, model->tick + 1);
		switch (command->op % N_OPS) {
		case OP_KILL:
		case OP_KILL_ALL:
			host->down_until = model->tick + RESTART_TICKS;
			host->calm_since =
				MAX(host->calm_since, host->down_until);
			break;
		case OP_CUT:
			host->cut_until = MAX(host->cut_until, until);
			host->calm_since =
				MAX(host->calm_since, host->cut_until);
			break;
		case OP_FREEZE:
			host->frozen_until = MAX(host->frozen_until, until);
			host->calm_since =
				MAX(host->calm_since, host->frozen_until);
			break;
		default:
			break;
		}
	}
}

static char *step(void *user, const prove_command_t *command)
{
	model_t *model = user;

	switch (command->op % N_OPS) {
	case OP_BURST:
		model->burst_until = model->tick + 10 + command->b % 30;
		break;
	case OP_GREY:
		model->grey_until = model->tick + 10 + command->b % 100;
		break;
	case OP_KILL:
	case OP_KILL_ALL:
	case OP_CUT:
	case OP_FREEZE:
		/* trouble is rarer than commands */
		if (command->a % 8 == 0)
			disturb(model, command);
		break;
	default:
		break;
	}
	for (unsigned i = 0; i < TICKS_PER_COMMAND; i++)
		run_tick(model);
	return g_steal_pointer(&model->violation);
}

static char *finish(void *user)
{
	model_t *model = user;

	while (model->tick <= DURATION_TICKS)
		run_tick(model);
	check_end(model);
	return g_steal_pointer(&model->violation);
}

static char *describe(const prove_command_t *command)
{
	static const char *const names[N_OPS] = {
		"calm", "kill", "kill-all", "cut", "freeze", "burst", "grey",
	};

	return g_strdup_printf("%s host=%u n=%u", names[command->op % N_OPS],
			       command->a, command->b);
}

const prove_model_t prove_trial_model = {
	.name = "trial",
	.n_commands = N_COMMANDS,
	.new = new_model,
	.step = step,
	.finish = finish,
	.describe = describe,
	.free = free_model,
};
