#ifndef SR_BENCH_DEPLOYMENT_H
#define SR_BENCH_DEPLOYMENT_H

#include "core/config.h"

/* Present size of the users' two deployments. */
#define DEPLOYMENT_N_DOMAINS 4
#define DEPLOYMENT_N_ENTRY_HOSTS 9
#define DEPLOYMENT_N_ACCOUNTS 5
#define DEPLOYMENT_N_ROUTES 4

/** traffic_route_t - the traffic of one route */
typedef struct {
	double weight;		/* fraction of all requests */
	unsigned prompt_blocks; /* shared with other prompts */
	unsigned unique_tokens; /* rest of the prompt, in no other prompt */
	unsigned max_tokens;
	gboolean plain; /* sent to the plain service */
} traffic_route_t;

/** deployment_t - names and traffic of one deployment */
typedef struct {
	const char *name;
	const char *domains[DEPLOYMENT_N_DOMAINS];
	const char *model_service;
	const char *plain_service;
	const char *routes[DEPLOYMENT_N_ROUTES];
	sr_usec_t domain_delay; /* one way, between failure domains */
	sr_usec_t client_delay; /* one way, client to entry host */
	/* fraction of all requests */
	double account_weight[DEPLOYMENT_N_ACCOUNTS];
	unsigned documents; /* per account; a model prompt contains one */
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

/** deployment_config - build its configuration; config_builder_free() it */
sr_config_t *deployment_config(const deployment_t *deployment);

/** deployment_price - total price of all upstreams per hour */
double deployment_price(const sr_config_t *config);

#endif
