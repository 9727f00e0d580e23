#include "core/instances.h"

#include <string.h>
#include <xxhash.h>

#include "core/evacuation/evacuations.h"

/** removal_t - the last removal of a name. An instance that was draining has
 * ended; an older copy of its entry may still turn up under a later revision,
 * and is told by its start. */
typedef struct {
	guint64 revision;
	gboolean was_draining;
	gint64 start_unix_ms;
} removal_t;

struct sr_instances {
	GHashTable *by_name;	/* char * -> sr_instance_t */
	GHashTable *by_service; /* char * -> GPtrArray of sr_instance_t */
	GHashTable *removed;	/* char * -> removal_t */
	GPtrArray *all;
	sr_evacuations_t *evacuations;
	guint32 next_id;
};

/** Limit of the removals that are recorded. When it is reached all of them are
 * discarded, and a stale entry could then add its instance again until the next
 * listing of the registry. */
#define MAX_REMOVALS 4096

sr_instance_t *sr_instance_ref(sr_instance_t *instance)
{
	instance->references++;
	return instance;
}

void sr_instance_unref(sr_instance_t *instance)
{
	if (!instance || --instance->references > 0)
		return;
	g_free(instance->name);
	g_free(instance->service);
	g_free(instance->address);
	g_free(instance->failure_domain);
	g_free(instance->version);
	g_free(instance);
}

static void unref_instance(gpointer data)
{
	sr_instance_unref(data);
}

sr_instances_t *sr_instances_new(void)
{
	sr_instances_t *instances = g_new0(sr_instances_t, 1);

	instances->by_name = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, unref_instance);
	instances->by_service =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	instances->removed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	instances->all = g_ptr_array_new();
	instances->evacuations = sr_evacuations_new();
	instances->next_id = 1;
	return instances;
}

void sr_instances_free(sr_instances_t *instances)
{
	if (!instances)
		return;
	g_hash_table_unref(instances->by_service);
	g_hash_table_unref(instances->by_name);
	g_hash_table_unref(instances->removed);
	g_ptr_array_unref(instances->all);
	sr_evacuations_free(instances->evacuations);
	g_free(instances);
}

static void link_instance(sr_instances_t *instances, sr_instance_t *instance)
{
	GPtrArray *list =
		g_hash_table_lookup(instances->by_service, instance->service);

	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(instances->by_service,
				    g_strdup(instance->service), list);
	}
	g_ptr_array_add(list, instance);
	g_ptr_array_add(instances->all, instance);
	g_hash_table_insert(instances->by_name, instance->name, instance);
}

static void unlink_instance(sr_instances_t *instances, sr_instance_t *instance)
{
	GPtrArray *list =
		g_hash_table_lookup(instances->by_service, instance->service);

	g_ptr_array_remove_fast(list, instance);
	g_ptr_array_remove_fast(instances->all, instance);
	instance->is_removed = TRUE;
	g_hash_table_remove(instances->by_name, instance->name);
}

static void update_instance(sr_instance_t *instance,
			    const sr_registration_t *entry, sr_usec_t now)
{
	instance->slots = entry->slots;
	instance->revision = entry->revision;
	instance->reclaimable = entry->reclaimable;
	/* Draining can't be undone: it lasts until the instance restarts. */
	instance->draining = instance->draining || entry->draining;
	instance->cold_until = entry->cold_for > 0 ? now + entry->cold_for : 0;
	instance->terminates_at =
		entry->terminates_in > 0 ? now + entry->terminates_in : 0;
}

static sr_instance_t *new_instance(sr_instances_t *instances,
				   const sr_registration_t *entry,
				   sr_usec_t now)
{
	sr_instance_t *instance = g_new0(sr_instance_t, 1);

	instance->id = instances->next_id++;
	instance->references = 1;
	instance->name = g_strdup(entry->name);
	instance->service = g_strdup(entry->service);
	instance->address = g_strdup(entry->address);
	instance->failure_domain = g_strdup(entry->failure_domain);
	instance->version = g_strdup(entry->version);
	instance->start_unix_ms = entry->start_unix_ms;
	instance->added_at = now;
	instance->is_evacuated = sr_evacuations_has(instances->evacuations,
						    entry->failure_domain);
	update_instance(instance, entry, now);
	return instance;
}

static gboolean is_superseded_by_removal(const sr_instances_t *instances,
					 const sr_registration_t *entry)
{
	const removal_t *removal =
		g_hash_table_lookup(instances->removed, entry->name);

	return removal && (removal->revision >= entry->revision ||
			   (removal->was_draining &&
			    removal->start_unix_ms == entry->start_unix_ms));
}

static void record_removal(sr_instances_t *instances, const char *name,
			   const sr_instance_t *known, guint64 revision)
{
	removal_t *removal = g_hash_table_lookup(instances->removed, name);

	if (!removal) {
		if (g_hash_table_size(instances->removed) >= MAX_REMOVALS)
			g_hash_table_remove_all(instances->removed);
		removal = g_new0(removal_t, 1);
		g_hash_table_insert(instances->removed, g_strdup(name),
				    removal);
	}
	removal->revision = MAX(removal->revision, revision);
	if (known) {
		removal->was_draining = known->draining;
		removal->start_unix_ms = known->start_unix_ms;
	}
}

sr_instance_change_t sr_instances_register(sr_instances_t *instances,
					   const sr_registration_t *entry,
					   sr_usec_t now)
{
	sr_instance_t *known =
		g_hash_table_lookup(instances->by_name, entry->name);
	gboolean restarted = FALSE;

	if (is_superseded_by_removal(instances, entry))
		return SR_INSTANCE_UNCHANGED;
	if (known && entry->revision <= known->revision)
		return SR_INSTANCE_UNCHANGED;
	if (known && known->start_unix_ms == entry->start_unix_ms &&
	    !strcmp(known->address, entry->address) &&
	    !strcmp(known->service, entry->service) &&
	    !strcmp(known->version, entry->version)) {
		update_instance(known, entry, now);
		return SR_INSTANCE_UPDATED;
	}
	if (known) {
		unlink_instance(instances, known);
		restarted = TRUE;
	}
	g_hash_table_remove(instances->removed, entry->name);
	link_instance(instances, new_instance(instances, entry, now));
	return restarted ? SR_INSTANCE_RESTARTED : SR_INSTANCE_ADDED;
}

gboolean sr_instances_remove(sr_instances_t *instances, const char *name,
			     guint64 revision)
{
	sr_instance_t *known = g_hash_table_lookup(instances->by_name, name);

	if (known && known->revision > revision)
		return FALSE;
	record_removal(instances, name, known, revision);
	if (!known)
		return FALSE;
	unlink_instance(instances, known);
	return TRUE;
}

sr_instance_t *sr_instances_find(const sr_instances_t *instances,
				 const char *name)
{
	return g_hash_table_lookup(instances->by_name, name);
}

const GPtrArray *sr_instances_of_service(const sr_instances_t *instances,
					 const char *service)
{
	return g_hash_table_lookup(instances->by_service, service);
}

const GPtrArray *sr_instances_all(const sr_instances_t *instances)
{
	return instances->all;
}

gboolean sr_instances_set_evacuation(sr_instances_t *instances,
				     const char *domain, guint64 version)
{
	if (!sr_evacuations_apply(instances->evacuations, domain, version))
		return FALSE;
	for (guint i = 0; i < instances->all->len; i++) {
		sr_instance_t *instance = instances->all->pdata[i];

		if (!strcmp(instance->failure_domain, domain))
			instance->is_evacuated =
				!sr_evacuations_is_end(version);
	}
	return TRUE;
}

gboolean sr_instances_is_evacuated(const sr_instances_t *instances,
				   const char *domain)
{
	return sr_evacuations_has(instances->evacuations, domain);
}

unsigned sr_instances_count_evacuated(const sr_instances_t *instances)
{
	return sr_evacuations_count(instances->evacuations);
}

sr_usec_t sr_instances_opens_in(const sr_instances_t *instances,
				const char *service, sr_usec_t now)
{
	const GPtrArray *list = sr_instances_of_service(instances, service);
	sr_usec_t earliest = 0;

	for (guint i = 0; list && i < list->len; i++) {
		const sr_instance_t *instance = list->pdata[i];
		sr_usec_t opens_in =
			sr_instance_notices_opens_in(&instance->notices, now);

		if (!sr_instance_is_present(instance) || opens_in < 0)
			continue;
		if (opens_in == 0)
			return 0;
		earliest = earliest > 0 ? MIN(earliest, opens_in) : opens_in;
	}
	return earliest;
}

guint64 sr_instance_identity(const sr_instance_t *instance)
{
	return XXH64(instance->name, strlen(instance->name),
		     (XXH64_hash_t)instance->start_unix_ms);
}

gboolean sr_instance_is_present(const sr_instance_t *instance)
{
	return !instance->is_removed && !instance->is_evacuated &&
	       !instance->draining && !instance->notices.leaving;
}

gboolean sr_instance_is_usable(const sr_instance_t *instance, sr_usec_t now)
{
	return sr_instance_is_present(instance) &&
	       sr_ejection_state(&instance->ejection, now) !=
		       SR_EJECTION_EJECTED;
}
