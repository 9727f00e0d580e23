#ifndef SR_TEST_CONFIG_BUILDER_H
#define SR_TEST_CONFIG_BUILDER_H

#include "core/config.h"

/**
 * config_builder - build configurations in code, without a configuration text
 *
 * For tests and benchmarks of modules that read no configuration file. Strings
 * are copied. config_builder_free() releases everything.
 */

static inline void config_builder_free_service(gpointer data)
{
	sr_service_config_t *service = data;

	for (guint i = 0; i < service->routes->len; i++) {
		sr_route_config_t *route = service->routes->pdata[i];

		g_free(route->name);
		g_free(route);
	}
	for (guint i = 0; i < service->versions->len; i++) {
		sr_version_config_t *version = service->versions->pdata[i];

		g_free(version->name);
		g_free(version);
	}
	g_ptr_array_unref(service->routes);
	g_ptr_array_unref(service->versions);
	g_free(service->name);
	g_free(service);
}

static inline void config_builder_free_account(gpointer data)
{
	sr_account_config_t *account = data;

	g_free(account->name);
	g_free(account);
}

static inline void config_builder_free_upstream(gpointer data)
{
	sr_upstream_config_t *upstream = data;

	g_free(upstream->name);
	g_free(upstream->service);
	g_free(upstream->version);
	g_free(upstream->failure_domain);
	g_free(upstream);
}

static inline sr_config_t *config_builder_new(guint64 generation)
{
	sr_config_t *config = g_new0(sr_config_t, 1);

	config->generation = generation;
	config->references = 1;
	config->services =
		g_ptr_array_new_with_free_func(config_builder_free_service);
	config->accounts =
		g_ptr_array_new_with_free_func(config_builder_free_account);
	config->upstreams =
		g_ptr_array_new_with_free_func(config_builder_free_upstream);
	return config;
}

static inline void config_builder_free(sr_config_t *config)
{
	g_ptr_array_unref(config->services);
	g_ptr_array_unref(config->accounts);
	g_ptr_array_unref(config->upstreams);
	g_free(config);
}

static inline sr_service_config_t *
config_builder_service(sr_config_t *config, const char *name,
		       sr_service_kind_t kind)
{
	sr_service_config_t *service = g_new0(sr_service_config_t, 1);

	service->name = g_strdup(name);
	service->kind = kind;
	service->routes = g_ptr_array_new();
	service->versions = g_ptr_array_new();
	g_ptr_array_add(config->services, service);
	return service;
}

static inline void config_builder_version(sr_service_config_t *service,
					  const char *name, double share,
					  gint64 by_unix_ms)
{
	sr_version_config_t *version = g_new0(sr_version_config_t, 1);

	version->name = g_strdup(name);
	version->share = share;
	version->by_unix_ms = by_unix_ms;
	g_ptr_array_add(service->versions, version);
}

static inline sr_route_config_t *
config_builder_route(sr_service_config_t *service, const char *name,
		     sr_priority_t priority, sr_usec_t deadline)
{
	sr_route_config_t *route = g_new0(sr_route_config_t, 1);

	route->name = g_strdup(name);
	route->priority = priority;
	route->idempotent = TRUE;
	route->deadline = deadline;
	g_ptr_array_add(service->routes, route);
	return route;
}

static inline sr_account_config_t *
config_builder_account(sr_config_t *config, const char *name, double weight)
{
	sr_account_config_t *account = g_new0(sr_account_config_t, 1);

	account->name = g_strdup(name);
	account->weight = weight;
	g_ptr_array_add(config->accounts, account);
	return account;
}

static inline sr_upstream_config_t *
config_builder_upstream(sr_config_t *config, const char *name,
			const char *service, const char *version,
			const char *failure_domain, unsigned slots)
{
	sr_upstream_config_t *upstream = g_new0(sr_upstream_config_t, 1);

	upstream->name = g_strdup(name);
	upstream->service = g_strdup(service);
	upstream->version = g_strdup(version);
	upstream->failure_domain = g_strdup(failure_domain);
	upstream->address = "127.0.0.1:1";
	upstream->slots = slots;
	g_ptr_array_add(config->upstreams, upstream);
	return upstream;
}

#endif
