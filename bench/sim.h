#ifndef SR_BENCH_SIM_H
#define SR_BENCH_SIM_H

#include "deployment.h"

/**
 * sim - discrete-event simulation of one deployment
 *
 * Models callers, entry hosts that choose upstreams independently of each
 * other, engines, delayed load reports, cache events that are delayed and
 * partly lost, and the fault of a scenario.
 */

/**
 * sim_strategy_t - how an entry host chooses an upstream
 *
 * Only SIM_POLICY has admission control. SIM_LEAST_OUTSTANDING counts the
 * requests of the entry host itself.
 */
typedef enum {
	SIM_POLICY,	       /* sr_dispatch_t */
	SIM_LEAST_OUTSTANDING, /* fewest requests in flight */
	SIM_RANDOM,
} sim_strategy_t;

/**
 * sim_scenario_t - fault or load of a run
 *
 * Begins after a quarter of the measured duration and ends after three
 * quarters, unless event_reported.
 */
typedef enum {
	SIM_NO_FAULT,
	SIM_BURST,	      /* three times the rate */
	SIM_RECLAIM,	      /* failure domain 1 is reclaimed and stays down */
	SIM_PARTITION,	      /* failure domain 0 cannot reach the others */
	SIM_PLATFORM_OUTAGE,  /* reclaim while the host list is not updated */
	SIM_DOMINANT_ACCOUNT, /* one account sends 80%; whole run */
	SIM_FAILING_UPSTREAM, /* one upstream fails every request */
} sim_scenario_t;

typedef struct {
	const deployment_t *deployment;
	sim_strategy_t strategy;
	sim_scenario_t scenario;
	double rate; /* requests per second to all entry hosts */
	sr_usec_t warm_up;
	sr_usec_t duration; /* of the measurement, after the warm-up */
	guint64 seed;
} sim_options_t;

/** sim_result_t - figures of the requests of the measured duration */
typedef struct {
	unsigned offered;
	unsigned completed; /* completely answered within the deadline */
	unsigned refused;   /* not admitted */
	unsigned failed;    /* after the last attempt */
	unsigned late;	    /* deadline exceeded */
	unsigned offered_by_route[DEPLOYMENT_N_ROUTES];
	unsigned completed_by_route[DEPLOYMENT_N_ROUTES];
	unsigned offered_by_account[DEPLOYMENT_N_ACCOUNTS];
	unsigned completed_by_account[DEPLOYMENT_N_ACCOUNTS];
	double goodput; /* completed requests per second */
	double p95_first_token_ms;
	double p95_token_gap_ms;
	double prompt_tokens;
	double recomputed_tokens; /* of blocks that were computed before */
	/* us; latest attempt at an upstream, counted from its notice */
	sr_usec_t max_dispatch_after_notice;
} sim_result_t;

/** sim_run - run the simulation to its end and set the result */
void sim_run(const sim_options_t *options, sim_result_t *result);

#endif
