#include <stdio.h>

#include "../test/config_builder.h"
#include "bench.h"
#include "sim.h"

/* The users' targets for the 95th percentiles. */
#define FIRST_TOKEN_TARGET_MS 1100.0
#define TOKEN_GAP_TARGET_MS 52.0

/** Minimum fraction of the requests that are answered within their deadline. */
#define ANSWERED_TARGET 0.99

/* Simulated time of one run, the warm-up not measured. */
#define WARM_UP (30 * SR_SEC)
#define DURATION (40 * SR_SEC)
/* Search for the highest rate at the target, in requests per second. */
#define N_BISECTIONS 7
#define RATE_MIN 2.0
#define RATE_MAX 130.0

typedef struct {
	const deployment_t *deployment;
	sim_strategy_t strategy;
	guint64 seed;
	char subject[64];
	double rate_at_target;
} subject_t;

static const char *const strategy_names[] = { "policy", "least_outstanding",
					      "random" };

static void run(const subject_t *subject, sim_scenario_t scenario, double rate,
		sim_result_t *result)
{
	const sim_options_t options = { .deployment = subject->deployment,
					.strategy = subject->strategy,
					.scenario = scenario,
					.rate = rate,
					.warm_up = WARM_UP,
					.duration = DURATION,
					.seed = subject->seed };

	sim_run(&options, result);
}

static double ratio(double part, double whole)
{
	return whole > 0 ? part / whole : 0;
}

static gboolean meets_target(const sim_result_t *result)
{
	return result->p95_first_token_ms <= FIRST_TOKEN_TARGET_MS &&
	       result->p95_token_gap_ms <= TOKEN_GAP_TARGET_MS &&
	       ratio(result->completed, result->offered) >= ANSWERED_TARGET;
}

/* Finds the highest rate at which the targets are met, by bisection. */
static void find_rate_at_target(subject_t *subject)
{
	double low = RATE_MIN;
	double high = RATE_MAX;
	sim_result_t result;

	for (int i = 0; i < N_BISECTIONS; i++) {
		double rate = (low + high) / 2;

		run(subject, SIM_NO_FAULT, rate, &result);
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
	sim_result_t result;

	run(subject, SIM_NO_FAULT, rate, &result);
	bench_print(subject->subject, "recomputed_tokens_ratio",
		    ratio(result.recomputed_tokens, result.prompt_tokens));
	bench_print(subject->subject, "p95_first_token_ms",
		    result.p95_first_token_ms);
	bench_print(subject->subject, "p95_token_gap_ms",
		    result.p95_token_gap_ms);
}

/* Returns the lowest completed fraction over all routes. */
static double least_answered_route(const sim_result_t *result)
{
	double least = 1;

	for (unsigned i = 0; i < DEPLOYMENT_N_ROUTES; i++) {
		double answered = ratio(result->completed_by_route[i],
					result->offered_by_route[i]);

		least = MIN(least, answered);
	}
	return least;
}

static void print_overload(const subject_t *subject)
{
	static const double load_factors[] = { 0.7, 0.85, 1, 1.2, 1.5, 2, 3 };
	sim_result_t result = { 0 };
	double best = 0;

	for (gsize i = 0; i < G_N_ELEMENTS(load_factors); i++) {
		run(subject, SIM_NO_FAULT,
		    subject->rate_at_target * load_factors[i], &result);
		best = MAX(best, result.goodput);
	}
	bench_print(subject->subject, "goodput_at_3x",
		    ratio(result.goodput, best));
	bench_print(subject->subject, "goodput_best", best);
	bench_print(subject->subject, "p95_first_token_ms_at_3x",
		    result.p95_first_token_ms);
	bench_print(subject->subject, "p95_token_gap_ms_at_3x",
		    result.p95_token_gap_ms);
	bench_print(subject->subject, "least_answered_route_at_3x",
		    least_answered_route(&result));
}

/* Distributes the completed requests over the accounts by max-min fairness. */
static void max_min_shares(const sim_result_t *result, double *fair)
{
	double left = result->completed;
	unsigned n_left = DEPLOYMENT_N_ACCOUNTS;
	gboolean changed = TRUE;

	for (unsigned i = 0; i < DEPLOYMENT_N_ACCOUNTS; i++)
		fair[i] = -1;
	while (changed && n_left > 0) {
		double equal_share = left / n_left;

		changed = FALSE;
		for (unsigned i = 0; i < DEPLOYMENT_N_ACCOUNTS; i++) {
			if (fair[i] >= 0 ||
			    result->offered_by_account[i] >= equal_share)
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

/* Jain's fairness index of completed requests relative to the fair shares. */
static double jain_index(const sim_result_t *result)
{
	double fair[DEPLOYMENT_N_ACCOUNTS];
	double sum = 0;
	double squares = 0;

	max_min_shares(result, fair);
	for (unsigned i = 0; i < DEPLOYMENT_N_ACCOUNTS; i++) {
		double got = ratio(result->completed_by_account[i], fair[i]);

		sum += got;
		squares += got * got;
	}
	return ratio(sum * sum, DEPLOYMENT_N_ACCOUNTS * squares);
}

static void print_fairness(const subject_t *subject, double rate)
{
	sim_result_t result;

	run(subject, SIM_DOMINANT_ACCOUNT, rate, &result);
	bench_print(subject->subject, "account_fairness", jain_index(&result));
}

static void print_faults(const subject_t *subject, double rate)
{
	static const struct {
		sim_scenario_t scenario;
		const char *figure;
	} faults[] = {
		{ SIM_BURST, "answered_in_burst" },
		{ SIM_RECLAIM, "answered_in_reclaim_wave" },
		{ SIM_PARTITION, "answered_in_partition" },
		{ SIM_PLATFORM_OUTAGE, "answered_in_platform_outage" },
		{ SIM_FAILING_UPSTREAM, "answered_with_bad_upstream" },
	};
	sim_result_t result;

	for (gsize i = 0; i < G_N_ELEMENTS(faults); i++) {
		run(subject, faults[i].scenario, rate, &result);
		bench_print(subject->subject, faults[i].figure,
			    ratio(result.completed, result.offered));
	}
}

static void measure(const deployment_t *deployment, guint64 seed)
{
	double reference_rate = 0;
	subject_t subject = { .deployment = deployment, .seed = seed };

	/*
	 * Least outstanding runs first: the rate that it reaches is the
	 * reference for the other strategies.
	 */
	for (int i = 0; i < 3; i++) {
		static const sim_strategy_t order[] = { SIM_LEAST_OUTSTANDING,
							SIM_RANDOM,
							SIM_POLICY };

		subject.strategy = order[i];
		g_snprintf(subject.subject, sizeof(subject.subject), "%s.%s",
			   deployment->name, strategy_names[order[i]]);
		find_rate_at_target(&subject);
		if (i == 0)
			reference_rate = subject.rate_at_target;
		print_cost(&subject);
		print_quiet(&subject, reference_rate * 0.9);
		print_overload(&subject);
		print_fairness(&subject, reference_rate * 4);
		print_faults(&subject, reference_rate * 0.8);
	}
}

void policy_bench_run(guint64 seed)
{
	for (unsigned i = 0; i < n_deployments; i++)
		measure(&deployments[i], seed);
}
