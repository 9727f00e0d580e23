#ifndef SR_BENCH_DEPLOYMENT_H
#define SR_BENCH_DEPLOYMENT_H

#include "core/config.h"

/**
 * The users' two deployments at their sizes of today, with the shape of their
 * traffic.
 */

#define DEPLOYMENT_N_DOMAINS 4
#define DEPLOYMENT_N_ENTRY_HOSTS 9
#define DEPLOYMENT_N_ACCOUNTS 5
#define DEPLOYMENT_N_ROUTES 4

typedef struct {
	double weight; /* of the traffic */
	unsigned prompt_blocks;
	unsigned tail_tokens; /* of the prompt, never seen before */
	unsigned max_tokens;
	gboolean plain; /* goes to the plain service */
} traffic_route_t;

typedef struct {
	const char *name;
	const char *domains[DEPLOYMENT_N_DOMAINS];
	const char *model_service;
	const char *plain_service;
	const char *routes[DEPLOYMENT_N_ROUTES];
	sr_usec_t domain_delay; /* one way */
	sr_usec_t client_delay; /* one way */
	double account_weight[DEPLOYMENT_N_ACCOUNTS];
	unsigned documents; /* of each account, that prompts begin with */
	traffic_route_t traffic[DEPLOYMENT_N_ROUTES];
} deployment_t;

extern const deployment_t deployments[];
extern const unsigned n_deployments;

#define DEPLOYMENT_N_MODEL_UPSTREAMS 10
#define DEPLOYMENT_N_PLAIN_UPSTREAMS 5
#define DEPLOYMENT_N_UPSTREAMS \
	(DEPLOYMENT_N_MODEL_UPSTREAMS + DEPLOYMENT_N_PLAIN_UPSTREAMS)
#define DEPLOYMENT_MODEL_SLOTS 24
#define DEPLOYMENT_PLAIN_SLOTS 8

/** deployment_config - free it with config_builder_free(). */
sr_config_t *deployment_config(const deployment_t *deployment);

/** deployment_price - of all upstreams for an hour. */
double deployment_price(const sr_config_t *config);

#endif
