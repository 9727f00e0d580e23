#include "core/upstreams.h"

#include <string.h>

/** Initial averages of a service, in seconds. */
#define INITIAL_DURATION_S 1.0
#define INITIAL_PREFILL_S_PER_TOKEN 0.0001

struct sr_upstreams {
	GHashTable *by_name;  /* char * -> sr_upstream_t, owned */
	GHashTable *by_id;    /* id -> sr_upstream_t */
	GHashTable *services; /* char * -> sr_service_group_t, owned */
	GHashTable *shares;   /* "SERVICE/VERSION" -> double *, overrides */
	GHashTable *recalled; /* set of "SERVICE/VERSION" */
	GHashTable *leaving;  /* set of upstream names */
	GHashTable *absent;   /* set of upstream names */
	guint32 last_id;
};

static void version_group_free(gpointer data)
{
	sr_version_group_t *group = data;

	g_ptr_array_unref(group->upstreams);
	g_free(group->name);
	g_free(group);
}

static void service_group_free(gpointer data)
{
	sr_service_group_t *group = data;

	g_ptr_array_unref(group->versions);
	sr_account_share_free(group->accounts);
	g_free(group->name);
	g_free(group);
}

static GHashTable *new_name_set(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

sr_upstreams_t *sr_upstreams_new(void)
{
	sr_upstreams_t *table = g_new0(sr_upstreams_t, 1);

	table->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	table->by_id = g_hash_table_new(NULL, NULL);
	table->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						service_group_free);
	table->shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	table->recalled = new_name_set();
	table->leaving = new_name_set();
	table->absent = new_name_set();
	return table;
}

void sr_upstreams_free(sr_upstreams_t *table)
{
	if (!table)
		return;
	g_hash_table_unref(table->services);
	g_hash_table_unref(table->by_id);
	g_hash_table_unref(table->by_name);
	g_hash_table_unref(table->shares);
	g_hash_table_unref(table->recalled);
	g_hash_table_unref(table->leaving);
	g_hash_table_unref(table->absent);
	g_free(table);
}

static void free_if_unused(sr_upstreams_t *table, sr_upstream_t *upstream)
{
	if (upstream->configured || upstream->in_flight > 0)
		return;
	g_hash_table_remove(table->by_id, GUINT_TO_POINTER(upstream->id));
	g_hash_table_remove(table->by_name, upstream->target.name);
}

static sr_upstream_t *add_upstream(sr_upstreams_t *table, const char *name)
{
	sr_upstream_t *upstream = g_new0(sr_upstream_t, 1);

	upstream->id = ++table->last_id;
	g_strlcpy(upstream->target.name, name, sizeof(upstream->target.name));
	g_hash_table_insert(table->by_name, upstream->target.name, upstream);
	g_hash_table_insert(table->by_id, GUINT_TO_POINTER(upstream->id),
			    upstream);
	return upstream;
}

static void configure_upstream(sr_upstreams_t *table,
			       const sr_upstream_config_t *config)
{
	sr_upstream_t *upstream = sr_upstreams_find(table, config->name);
	sr_target_t *target;

	if (!upstream)
		upstream = add_upstream(table, config->name);
	target = &upstream->target;
	g_strlcpy(target->address, config->address, sizeof(target->address));
	g_strlcpy(target->service, config->service, sizeof(target->service));
	g_strlcpy(target->version, config->version, sizeof(target->version));
	g_strlcpy(target->failure_domain, config->failure_domain,
		  sizeof(target->failure_domain));
	if (upstream->slots != MAX(config->slots, 1)) {
		upstream->slots = MAX(config->slots, 1);
		sr_concurrency_limit_init(&upstream->limit, upstream->slots);
	}
	upstream->price_per_hour = config->price_per_hour;
	upstream->configured = TRUE;
	upstream->present = !g_hash_table_contains(table->absent, config->name);
	upstream->leaving = g_hash_table_contains(table->leaving, config->name);
}

/* The configuration rejects service and version names that contain "/". */
static char *version_key(const char *service, const char *version)
{
	return g_strconcat(service, "/", version, NULL);
}

static sr_version_group_t *find_version(const sr_service_group_t *service,
					const char *name)
{
	for (guint i = 0; i < service->versions->len; i++) {
		sr_version_group_t *group = service->versions->pdata[i];

		if (!strcmp(group->name, name))
			return group;
	}
	return NULL;
}

static sr_service_group_t *get_or_add_service(sr_upstreams_t *table,
					      const char *name)
{
	sr_service_group_t *service = sr_upstreams_service(table, name);

	if (service)
		return service;
	service = g_new0(sr_service_group_t, 1);
	service->name = g_strdup(name);
	service->versions = g_ptr_array_new_with_free_func(version_group_free);
	service->accounts = sr_account_share_new();
	service->duration_s = INITIAL_DURATION_S;
	service->prefill_s_per_token = INITIAL_PREFILL_S_PER_TOKEN;
	service->capacity_updated_at = -1;
	sr_retry_budget_init(&service->retry_budget);
	g_hash_table_insert(table->services, service->name, service);
	return service;
}

static void configure_version(sr_upstreams_t *table,
			      sr_service_group_t *service,
			      const sr_version_config_t *config)
{
	sr_version_group_t *group = g_new0(sr_version_group_t, 1);
	char *key = version_key(service->name, config->name);
	const double *share = g_hash_table_lookup(table->shares, key);

	group->name = g_strdup(config->name);
	group->upstreams = g_ptr_array_new();
	group->recalled = g_hash_table_contains(table->recalled, key);
	/* A share with a due time is set by the rollout as it progresses. */
	if (share)
		group->share = *share;
	else if (config->by_unix_ms == 0)
		group->share = config->share;
	if (group->recalled)
		group->share = 0;
	g_ptr_array_add(service->versions, group);
	g_free(key);
}

static void configure_service(sr_upstreams_t *table,
			      const sr_service_config_t *config)
{
	sr_service_group_t *service = get_or_add_service(table, config->name);

	service->kind = config->kind;
	for (guint i = 0; i < config->versions->len; i++)
		configure_version(table, service, config->versions->pdata[i]);
}

static int compare_names(gconstpointer a, gconstpointer b)
{
	const sr_upstream_t *left = *(sr_upstream_t *const *)a;
	const sr_upstream_t *right = *(sr_upstream_t *const *)b;

	return strcmp(left->target.name, right->target.name);
}

static void rebuild_upstream_lists(sr_upstreams_t *table)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sr_upstream_t *upstream = value;
		sr_service_group_t *service =
			sr_upstreams_service(table, upstream->target.service);
		sr_version_group_t *group;

		if (!service || !upstream->configured)
			continue;
		group = find_version(service, upstream->target.version);
		if (!group)
			continue;
		g_ptr_array_add(group->upstreams, upstream);
		service->n_upstreams++;
	}
	g_hash_table_iter_init(&iter, table->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sr_service_group_t *service = value;

		for (guint i = 0; i < service->versions->len; i++) {
			sr_version_group_t *group = service->versions->pdata[i];

			g_ptr_array_sort(group->upstreams, compare_names);
		}
	}
}

static void clear_config(sr_upstreams_t *table)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((sr_upstream_t *)value)->configured = FALSE;
	g_hash_table_iter_init(&iter, table->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sr_service_group_t *service = value;

		g_ptr_array_set_size(service->versions, 0);
		service->n_upstreams = 0;
	}
}

void sr_upstreams_set_config(sr_upstreams_t *table, const sr_config_t *config)
{
	GList *all;

	clear_config(table);
	for (guint i = 0; i < config->services->len; i++)
		configure_service(table, config->services->pdata[i]);
	for (guint i = 0; i < config->upstreams->len; i++)
		configure_upstream(table, config->upstreams->pdata[i]);
	all = g_hash_table_get_values(table->by_name);
	for (GList *l = all; l; l = l->next)
		free_if_unused(table, l->data);
	g_list_free(all);
	rebuild_upstream_lists(table);
}

static sr_version_group_t *lookup_version(const sr_upstreams_t *table,
					  const char *service,
					  const char *version)
{
	const sr_service_group_t *group = sr_upstreams_service(table, service);

	return group ? find_version(group, version) : NULL;
}

void sr_upstreams_set_share(sr_upstreams_t *table, const char *service,
			    const char *version, double share)
{
	sr_version_group_t *group = lookup_version(table, service, version);
	double *stored = g_new(double, 1);

	*stored = CLAMP(share, 0, 1);
	if (group && !group->recalled)
		group->share = *stored;
	g_hash_table_replace(table->shares, version_key(service, version),
			     stored);
}

void sr_upstreams_recall(sr_upstreams_t *table, const char *service,
			 const char *version)
{
	sr_version_group_t *group = lookup_version(table, service, version);

	g_hash_table_add(table->recalled, version_key(service, version));
	if (group) {
		group->recalled = TRUE;
		group->share = 0;
	}
}

gboolean sr_upstreams_is_recalled(const sr_upstreams_t *table,
				  const char *service, const char *version)
{
	char *key = version_key(service, version);
	gboolean found = g_hash_table_contains(table->recalled, key);

	g_free(key);
	return found;
}

void sr_upstreams_set_leaving(sr_upstreams_t *table, const char *name)
{
	sr_upstream_t *upstream = sr_upstreams_find(table, name);

	g_hash_table_add(table->leaving, g_strdup(name));
	if (upstream)
		upstream->leaving = TRUE;
}

void sr_upstreams_set_present(sr_upstreams_t *table, const char *name,
			      gboolean present)
{
	sr_upstream_t *upstream = sr_upstreams_find(table, name);

	if (!present) {
		g_hash_table_add(table->absent, g_strdup(name));
	} else if (g_hash_table_remove(table->absent, name)) {
		/* After an absence the name belongs to another host. */
		g_hash_table_remove(table->leaving, name);
		if (upstream)
			upstream->leaving = FALSE;
	}
	if (upstream)
		upstream->present = present;
}

sr_upstream_t *sr_upstreams_find(const sr_upstreams_t *table, const char *name)
{
	return g_hash_table_lookup(table->by_name, name);
}

sr_upstream_t *sr_upstreams_by_id(const sr_upstreams_t *table, guint32 id)
{
	return g_hash_table_lookup(table->by_id, GUINT_TO_POINTER(id));
}

sr_service_group_t *sr_upstreams_service(const sr_upstreams_t *table,
					 const char *name)
{
	return g_hash_table_lookup(table->services, name);
}

void sr_upstreams_foreach_service(sr_upstreams_t *table,
				  void (*fn)(sr_service_group_t *service,
					     void *user),
				  void *user)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(value, user);
}

gboolean sr_upstream_is_usable(const sr_upstream_t *upstream)
{
	return upstream->configured && upstream->present && !upstream->leaving;
}

void sr_upstreams_acquire(sr_upstreams_t *table, sr_upstream_t *upstream)
{
	g_assert(sr_upstream_is_usable(upstream));
	g_assert(!sr_upstreams_is_recalled(table, upstream->target.service,
					   upstream->target.version));
	upstream->in_flight++;
}

void sr_upstreams_release(sr_upstreams_t *table, sr_upstream_t *upstream)
{
	g_assert(upstream->in_flight > 0);
	upstream->in_flight--;
	free_if_unused(table, upstream);
}
