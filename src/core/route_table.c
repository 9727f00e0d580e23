#include "core/route_table.h"

#include <string.h>

static void free_route(gpointer data)
{
	sr_gateway_route_t *route = data;

	for (guint i = 0; i < route->services->len; i++)
		g_free(g_array_index(route->services, sr_weighted_service_t, i)
			       .service);
	g_array_free(route->services, TRUE);
	g_free(route->name);
	g_free(route->authority);
	g_free(route->prefix);
	g_free(route);
}

static void free_account(gpointer data)
{
	sr_gateway_account_t *account = data;

	g_free(account->name);
	g_ptr_array_unref(account->keys);
	g_free(account);
}

static void free_service(gpointer data)
{
	sr_gateway_service_t *service = data;

	g_free(service->name);
	g_free(service->health_path);
	if (service->scaling)
		g_hash_table_unref(service->scaling->domain_prices);
	g_free(service->scaling);
	g_free(service);
}

sr_route_table_t *sr_route_table_new(guint64 version)
{
	sr_route_table_t *table = g_new0(sr_route_table_t, 1);

	table->version = version;
	table->references = 1;
	table->routes = g_ptr_array_new_with_free_func(free_route);
	table->accounts = g_ptr_array_new_with_free_func(free_account);
	table->services = g_ptr_array_new_with_free_func(free_service);
	table->limits = (sr_caller_limits_t){
		.max_header_bytes = SR_CALLER_DEFAULT_HEADER_BYTES,
		.max_body_bytes = SR_CALLER_DEFAULT_BODY_BYTES,
		.header_timeout = SR_CALLER_DEFAULT_HEADER_TIMEOUT,
		.idle_timeout = SR_CALLER_DEFAULT_IDLE_TIMEOUT,
	};
	return table;
}

sr_gateway_route_t *sr_route_table_add_route(sr_route_table_t *table)
{
	sr_gateway_route_t *route = g_new0(sr_gateway_route_t, 1);

	route->services =
		g_array_new(FALSE, FALSE, sizeof(sr_weighted_service_t));
	g_ptr_array_add(table->routes, route);
	return route;
}

sr_gateway_account_t *sr_route_table_add_account(sr_route_table_t *table)
{
	sr_gateway_account_t *account = g_new0(sr_gateway_account_t, 1);

	account->keys = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(table->accounts, account);
	return account;
}

sr_gateway_service_t *sr_route_table_add_service(sr_route_table_t *table)
{
	sr_gateway_service_t *service = g_new0(sr_gateway_service_t, 1);

	g_ptr_array_add(table->services, service);
	return service;
}

sr_scaling_t *sr_scaling_new(void)
{
	sr_scaling_t *scaling = g_new0(sr_scaling_t, 1);

	scaling->domain_prices =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return scaling;
}

void sr_gateway_route_add_service(sr_gateway_route_t *route,
				  const char *service, double weight)
{
	const sr_weighted_service_t weighted = {
		.service = g_strdup(service),
		.weight = weight,
	};

	g_array_append_val(route->services, weighted);
}

static gint compare_prefixes(gconstpointer a, gconstpointer b)
{
	const sr_gateway_route_t *x = *(sr_gateway_route_t *const *)a;
	const sr_gateway_route_t *y = *(sr_gateway_route_t *const *)b;
	gsize length_x = strlen(x->prefix);
	gsize length_y = strlen(y->prefix);

	return length_x > length_y ? -1 : length_x < length_y;
}

void sr_route_table_seal(sr_route_table_t *table)
{
	GHashTableIter iter;
	gpointer list;

	table->by_authority =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);
	for (guint i = 0; i < table->routes->len; i++) {
		sr_gateway_route_t *route = table->routes->pdata[i];
		GPtrArray *routes = g_hash_table_lookup(table->by_authority,
							route->authority);

		if (!routes) {
			routes = g_ptr_array_new();
			g_hash_table_insert(table->by_authority,
					    route->authority, routes);
		}
		g_ptr_array_add(routes, route);
	}
	g_hash_table_iter_init(&iter, table->by_authority);
	while (g_hash_table_iter_next(&iter, NULL, &list))
		g_ptr_array_sort(list, compare_prefixes);
	table->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	for (guint i = 0; i < table->accounts->len; i++) {
		sr_gateway_account_t *account = table->accounts->pdata[i];

		for (guint k = 0; k < account->keys->len; k++)
			g_hash_table_insert(table->by_key,
					    account->keys->pdata[k], account);
	}
}

sr_route_table_t *sr_route_table_ref(sr_route_table_t *table)
{
	table->references++;
	return table;
}

void sr_route_table_unref(sr_route_table_t *table)
{
	if (!table || --table->references > 0)
		return;
	if (table->by_authority)
		g_hash_table_unref(table->by_authority);
	if (table->by_key)
		g_hash_table_unref(table->by_key);
	g_ptr_array_unref(table->routes);
	g_ptr_array_unref(table->accounts);
	g_ptr_array_unref(table->services);
	g_free(table);
}

const sr_gateway_route_t *
sr_route_table_find_route(const sr_route_table_t *table, const char *authority,
			  const char *path)
{
	char *lower = g_ascii_strdown(authority, -1);
	const GPtrArray *routes =
		g_hash_table_lookup(table->by_authority, lower);

	g_free(lower);
	for (guint i = 0; routes && i < routes->len; i++) {
		const sr_gateway_route_t *route = routes->pdata[i];

		if (g_str_has_prefix(path, route->prefix))
			return route;
	}
	return NULL;
}

const sr_gateway_account_t *
sr_route_table_account_by_key(const sr_route_table_t *table, const char *key)
{
	return g_hash_table_lookup(table->by_key, key);
}

const sr_gateway_account_t *
sr_route_table_account(const sr_route_table_t *table, const char *name)
{
	for (guint i = 0; i < table->accounts->len; i++) {
		const sr_gateway_account_t *account = table->accounts->pdata[i];

		if (!strcmp(account->name, name))
			return account;
	}
	return NULL;
}

const sr_gateway_service_t *
sr_route_table_service(const sr_route_table_t *table, const char *name)
{
	for (guint i = 0; i < table->services->len; i++) {
		const sr_gateway_service_t *service = table->services->pdata[i];

		if (!strcmp(service->name, name))
			return service;
	}
	return NULL;
}

const char *sr_gateway_route_pick(const sr_gateway_route_t *route,
				  double fraction)
{
	double total = 0;

	if (route->services->len == 0)
		return NULL;
	for (guint i = 0; i < route->services->len; i++)
		total +=
			g_array_index(route->services, sr_weighted_service_t, i)
				.weight;
	fraction *= total;
	for (guint i = 0; i < route->services->len; i++) {
		const sr_weighted_service_t *weighted = &g_array_index(
			route->services, sr_weighted_service_t, i);

		fraction -= weighted->weight;
		if (fraction < 0)
			return weighted->service;
	}
	return g_array_index(route->services, sr_weighted_service_t, 0).service;
}
