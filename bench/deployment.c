#include "deployment.h"

#include "../test/config_builder.h"

/* clang-format off */
const deployment_t deployments[] = {
	{
		.name = "vetanrekha",
		.domains = { "ahd", "gnr", "vad", "srt" },
		.model_service = "paymodel",
		.plain_service = "payledger",
		.routes = { "lookup", "comparison", "arrears", "posting" },
		.domain_delay = 1500,
		.client_delay = 1000,
		.account_weight = { 0.4, 0.3, 0.15, 0.1, 0.05 },
		.documents = 60,
		.traffic = {
			{ 0.60, 180, 120, 60, FALSE },
			{ 0.15, 260, 200, 200, FALSE },
			{ 0.10, 220, 150, 250, FALSE },
			{ 0.15, 0, 0, 4, TRUE },
		},
	},
	{
		.name = "riga",
		.domains = { "riga-centrs", "riga-kengarags", "jurmala",
			     "jelgava" },
		.model_service = "partitura-modeli",
		.plain_service = "pasutijumu-galds",
		.routes = { "status", "proof", "engraving", "order" },
		.domain_delay = 1000,
		.client_delay = 3000,
		.account_weight = { 0.35, 0.3, 0.2, 0.1, 0.05 },
		.documents = 40,
		.traffic = {
			{ 0.45, 150, 80, 80, FALSE },
			{ 0.20, 300, 250, 220, FALSE },
			{ 0.15, 360, 300, 300, FALSE },
			{ 0.20, 0, 0, 4, TRUE },
		},
	},
};
/* clang-format on */

const unsigned n_deployments = G_N_ELEMENTS(deployments);

static void add_service(sr_config_t *config, const deployment_t *deployment,
			gboolean plain)
{
	static const sr_usec_t deadlines[DEPLOYMENT_N_ROUTES] = {
		8 * SR_SEC, 20 * SR_SEC, 45 * SR_SEC, 5 * SR_SEC
	};
	const char *name =
		plain ? deployment->plain_service : deployment->model_service;
	sr_service_config_t *service = config_builder_service(
		config, name, plain ? SR_SERVICE_PLAIN : SR_SERVICE_MODEL);

	config_builder_version(service, "v1", 1, 0);
	for (unsigned i = 0; i < DEPLOYMENT_N_ROUTES; i++) {
		sr_priority_t priority =
			plain ? SR_PRIORITY_LOOKUP : (sr_priority_t)i;

		if (deployment->traffic[i].plain == plain)
			config_builder_route(service, deployment->routes[i],
					     priority, deadlines[i]);
	}
}

static void add_upstream(sr_config_t *config, const deployment_t *deployment,
			 unsigned i)
{
	gboolean plain = i >= DEPLOYMENT_N_MODEL_UPSTREAMS;
	unsigned domain = i % DEPLOYMENT_N_DOMAINS;
	char *name = g_strdup_printf("u%02u", i);
	sr_upstream_config_t *upstream = config_builder_upstream(
		config, name,
		plain ? deployment->plain_service : deployment->model_service,
		"v1", deployment->domains[domain],
		plain ? DEPLOYMENT_PLAIN_SLOTS : DEPLOYMENT_MODEL_SLOTS);

	upstream->price_per_hour =
		(plain ? 0.2 : 2.0) * (1 + 0.15 * (double)domain);
	g_free(name);
}

sr_config_t *deployment_config(const deployment_t *deployment)
{
	static const char *const accounts[DEPLOYMENT_N_ACCOUNTS] = {
		"acc0", "acc1", "acc2", "acc3", "acc4"
	};
	sr_config_t *config = config_builder_new(1);

	add_service(config, deployment, FALSE);
	add_service(config, deployment, TRUE);
	for (unsigned i = 0; i < DEPLOYMENT_N_ACCOUNTS; i++)
		config_builder_account(config, accounts[i], 1);
	for (unsigned i = 0; i < DEPLOYMENT_N_UPSTREAMS; i++)
		add_upstream(config, deployment, i);
	return config;
}

double deployment_price(const sr_config_t *config)
{
	double price = 0;

	for (guint i = 0; i < config->upstreams->len; i++) {
		const sr_upstream_config_t *upstream =
			config->upstreams->pdata[i];

		price += upstream->price_per_hour;
	}
	return price;
}
