#include <stdio.h>

#include "../test/config_builder.h"
#include "bench.h"
#include "world.h"

/* The users' targets for 95 in 100. */
#define FIRST_TOKEN_TARGET_MS 1100.0
#define TOKEN_GAP_TARGET_MS 52.0

/** Part of the requests that have to be answered at the target. */
#define ANSWERED_TARGET 0.99

#define WARM_UP (30 * SR_SEC)
#define LENGTH (40 * SR_SEC)
#define N_BISECTIONS 7
#define RATE_MIN 2.0
#define RATE_MAX 130.0

typedef struct {
	const deployment_t *deployment;
	world_chooser_t chooser;
	guint64 seed;
	char subject[64];
	double rate_at_target;
} subject_t;

static const char *const chooser_names[] = { "policy", "least_outstanding",
					     "random" };

static void run(const subject_t *subject, world_scenario_t scenario,
		double rate, world_result_t *result)
{
	const world_options_t options = { .deployment = subject->deployment,
					  .chooser = subject->chooser,
					  .scenario = scenario,
					  .rate = rate,
					  .warm_up = WARM_UP,
					  .length = LENGTH,
					  .seed = subject->seed };

	world_run(&options, result);
}

static double part(double of, double all)
{
	return all > 0 ? of / all : 0;
}

static gboolean meets_target(const world_result_t *result)
{
	return result->p95_first_token_ms <= FIRST_TOKEN_TARGET_MS &&
	       result->p95_token_gap_ms <= TOKEN_GAP_TARGET_MS &&
	       part(result->good, result->offered) >= ANSWERED_TARGET;
}

static void find_rate_at_target(subject_t *subject)
{
	double low = RATE_MIN;
	double high = RATE_MAX;
	world_result_t result;

	for (int i = 0; i < N_BISECTIONS; i++) {
		double rate = (low + high) / 2;

		run(subject, WORLD_QUIET, rate, &result);
		if (meets_target(&result))
			low = rate;
		else
			high = rate;
	}
	subject->rate_at_target = low;
}

static void print_cost(const subject_t *subject)
{
	sr_config_t *config = deployment_config(subject->deployment);
	double per_hour = subject->rate_at_target * 3600;

	bench_print(subject->subject, "rate_at_target",
		    subject->rate_at_target);
	bench_print(subject->subject, "cost_at_target",
		    1000 * deployment_price(config) / per_hour);
	config_builder_free(config);
}

static void print_quiet(const subject_t *subject, double rate)
{
	world_result_t result;

	run(subject, WORLD_QUIET, rate, &result);
	bench_print(subject->subject, "recomputed_tokens_ratio",
		    part(result.recomputed_tokens, result.prompt_tokens));
	bench_print(subject->subject, "p95_first_token_ms",
		    result.p95_first_token_ms);
	bench_print(subject->subject, "p95_token_gap_ms",
		    result.p95_token_gap_ms);
}

/* Least part of a route's requests that are answered, against the best. */
static double starvation(const world_result_t *result)
{
	double least = 1;

	for (unsigned i = 0; i < DEPLOYMENT_N_ROUTES; i++) {
		double answered = part(result->good_by_route[i],
				       result->offered_by_route[i]);

		least = MIN(least, answered);
	}
	return least;
}

static void print_overload(const subject_t *subject)
{
	static const double loads[] = { 0.7, 0.85, 1, 1.2, 1.5, 2, 3 };
	world_result_t result = { 0 };
	double best = 0;

	for (gsize i = 0; i < G_N_ELEMENTS(loads); i++) {
		run(subject, WORLD_QUIET, subject->rate_at_target * loads[i],
		    &result);
		best = MAX(best, result.goodput);
	}
	bench_print(subject->subject, "goodput_at_3x",
		    part(result.goodput, best));
	bench_print(subject->subject, "goodput_best", best);
	bench_print(subject->subject, "p95_first_token_ms_at_3x",
		    result.p95_first_token_ms);
	bench_print(subject->subject, "p95_token_gap_ms_at_3x",
		    result.p95_token_gap_ms);
	bench_print(subject->subject, "least_answered_route_at_3x",
		    starvation(&result));
}

/* What max-min fairness gives each account of the goodput there was. */
static void fair_parts(const world_result_t *result, double *fair)
{
	double left = result->good;
	unsigned n_left = DEPLOYMENT_N_ACCOUNTS;
	gboolean changed = TRUE;

	for (unsigned i = 0; i < DEPLOYMENT_N_ACCOUNTS; i++)
		fair[i] = -1;
	while (changed && n_left > 0) {
		double level = left / n_left;

		changed = FALSE;
		for (unsigned i = 0; i < DEPLOYMENT_N_ACCOUNTS; i++) {
			if (fair[i] >= 0 ||
			    result->offered_by_account[i] >= level)
				continue;
			fair[i] = result->offered_by_account[i];
			left -= fair[i];
			n_left--;
			changed = TRUE;
		}
	}
	for (unsigned i = 0; i < DEPLOYMENT_N_ACCOUNTS; i++) {
		if (fair[i] < 0)
			fair[i] = left / n_left;
	}
}

static double jain(const world_result_t *result)
{
	double fair[DEPLOYMENT_N_ACCOUNTS];
	double sum = 0;
	double squares = 0;

	fair_parts(result, fair);
	for (unsigned i = 0; i < DEPLOYMENT_N_ACCOUNTS; i++) {
		double got = part(result->good_by_account[i], fair[i]);

		sum += got;
		squares += got * got;
	}
	return part(sum * sum, DEPLOYMENT_N_ACCOUNTS * squares);
}

static void print_fairness(const subject_t *subject, double rate)
{
	world_result_t result;

	run(subject, WORLD_HOG, rate, &result);
	bench_print(subject->subject, "account_fairness", jain(&result));
}

static void print_faults(const subject_t *subject, double rate)
{
	static const struct {
		world_scenario_t scenario;
		const char *figure;
	} faults[] = {
		{ WORLD_BURST, "answered_in_burst" },
		{ WORLD_RECLAIM, "answered_in_reclaim_wave" },
		{ WORLD_PARTITION, "answered_in_partition" },
		{ WORLD_PLATFORM_OUTAGE, "answered_in_platform_outage" },
		{ WORLD_BAD_UPSTREAM, "answered_with_bad_upstream" },
	};
	world_result_t result;

	for (gsize i = 0; i < G_N_ELEMENTS(faults); i++) {
		run(subject, faults[i].scenario, rate, &result);
		bench_print(subject->subject, faults[i].figure,
			    part(result.good, result.offered));
	}
}

static void measure(const deployment_t *deployment, guint64 seed)
{
	double common = 0;
	subject_t subject = { .deployment = deployment, .seed = seed };

	/* Least outstanding requests goes first: its rate is the common one. */
	for (int i = 0; i < 3; i++) {
		static const world_chooser_t order[] = {
			WORLD_LEAST_OUTSTANDING, WORLD_RANDOM, WORLD_POLICY
		};

		subject.chooser = order[i];
		g_snprintf(subject.subject, sizeof(subject.subject), "%s.%s",
			   deployment->name, chooser_names[order[i]]);
		find_rate_at_target(&subject);
		if (i == 0)
			common = subject.rate_at_target;
		print_cost(&subject);
		print_quiet(&subject, common * 0.9);
		print_overload(&subject);
		print_fairness(&subject, common * 4);
		print_faults(&subject, common * 0.8);
	}
}

void policy_bench_run(guint64 seed)
{
	for (unsigned i = 0; i < n_deployments; i++)
		measure(&deployments[i], seed);
}
