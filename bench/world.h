#ifndef SR_BENCH_WORLD_H
#define SR_BENCH_WORLD_H

#include "deployment.h"

/**
 * A run of one deployment: callers, entry hosts that each decide on their
 * own, engine models, lagging load reports, late cache events with gaps, and
 * the faults of a scenario.
 */

typedef enum {
	WORLD_POLICY,		 /* sr_dispatch_t */
	WORLD_LEAST_OUTSTANDING, /* own requests in flight, no admission */
	WORLD_RANDOM,
} world_chooser_t;

typedef enum {
	WORLD_QUIET,
	WORLD_BURST,	       /* three times the rate for a while */
	WORLD_RECLAIM,	       /* a failure domain's upstreams, with notice */
	WORLD_PARTITION,       /* one failure domain is cut off */
	WORLD_PLATFORM_OUTAGE, /* reclaim while the host list stands still */
	WORLD_HOG,	       /* one account sends most of the traffic */
	WORLD_BAD_UPSTREAM,    /* one upstream fails every request at once */
} world_scenario_t;

typedef struct {
	const deployment_t *deployment;
	world_chooser_t chooser;
	world_scenario_t scenario;
	double rate; /* requests a second, all entry hosts */
	sr_usec_t warm_up;
	sr_usec_t length; /* measured, after the warm-up */
	guint64 seed;
} world_options_t;

typedef struct {
	unsigned offered;
	unsigned good; /* whole within their deadline */
	unsigned refused;
	unsigned failed;
	unsigned late;
	unsigned offered_by_route[DEPLOYMENT_N_ROUTES];
	unsigned good_by_route[DEPLOYMENT_N_ROUTES];
	unsigned offered_by_account[DEPLOYMENT_N_ACCOUNTS];
	unsigned good_by_account[DEPLOYMENT_N_ACCOUNTS];
	double goodput; /* a second */
	double p95_first_token_ms;
	double p95_token_gap_ms;
	double prompt_tokens;
	double recomputed_tokens; /* computed again after an earlier time */
	sr_usec_t last_new_work;  /* after a notice, to a leaving upstream */
} world_result_t;

void world_run(const world_options_t *options, world_result_t *result);

#endif
