#include "core/config.h"

#include <string.h>

sr_config_t *sr_config_ref(sr_config_t *config)
{
	config->references++;
	return config;
}

void sr_config_unref(sr_config_t *config)
{
	if (!config)
		return;
	g_assert(config->references > 0);
	if (--config->references > 0)
		return;
	g_hash_table_destroy(config->account_by_token);
	g_ptr_array_unref(config->services);
	g_ptr_array_unref(config->accounts);
	g_ptr_array_unref(config->upstreams);
	g_ptr_array_unref(config->operators);
	g_free(config);
}

/* Returns TRUE if path is equal to prefix or below it; a query string is
 * ignored. */
static gboolean is_path_below(const char *path, const char *prefix)
{
	size_t length = strlen(prefix);

	if (strncmp(path, prefix, length))
		return FALSE;
	return path[length] == '\0' || path[length] == '/' ||
	       path[length] == '?' || (length > 0 && prefix[length - 1] == '/');
}

const sr_service_config_t *sr_config_service(const sr_config_t *config,
					     const char *name)
{
	for (guint i = 0; i < config->services->len; i++) {
		const sr_service_config_t *service =
			g_ptr_array_index(config->services, i);

		if (!strcmp(service->name, name))
			return service;
	}
	return NULL;
}

const sr_service_config_t *sr_config_service_by_path(const sr_config_t *config,
						     const char *path)
{
	const sr_service_config_t *best = NULL;

	for (guint i = 0; i < config->services->len; i++) {
		const sr_service_config_t *service =
			g_ptr_array_index(config->services, i);

		if (!is_path_below(path, service->path))
			continue;
		if (!best || strlen(service->path) > strlen(best->path))
			best = service;
	}
	return best;
}

const sr_route_config_t *
sr_config_match_route(const sr_service_config_t *service, const char *method,
		      const char *path)
{
	for (guint i = 0; i < service->routes->len; i++) {
		const sr_route_config_t *route =
			g_ptr_array_index(service->routes, i);

		if (strcmp(route->method, "*") && strcmp(route->method, method))
			continue;
		if (is_path_below(path, route->path))
			return route;
	}
	return NULL;
}

const sr_account_config_t *sr_config_account(const sr_config_t *config,
					     const char *name)
{
	for (guint i = 0; i < config->accounts->len; i++) {
		const sr_account_config_t *account =
			g_ptr_array_index(config->accounts, i);

		if (!strcmp(account->name, name))
			return account;
	}
	return NULL;
}

static char *hash_token(const char *token)
{
	return g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
}

const sr_account_config_t *sr_config_account_by_token(const sr_config_t *config,
						      const char *token)
{
	char *hash = hash_token(token);
	const sr_account_config_t *account =
		g_hash_table_lookup(config->account_by_token, hash);

	g_free(hash);
	return account;
}

const sr_operator_config_t *
sr_config_operator_by_token(const sr_config_t *config, const char *token)
{
	const sr_operator_config_t *found = NULL;
	char *hash = hash_token(token);

	for (guint i = 0; i < config->operators->len && !found; i++) {
		const sr_operator_config_t *op =
			g_ptr_array_index(config->operators, i);

		if (g_ptr_array_find_with_equal_func(op->token_hashes, hash,
						     g_str_equal, NULL))
			found = op;
	}
	g_free(hash);
	return found;
}
