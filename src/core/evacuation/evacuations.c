#include "core/evacuation/evacuations.h"

struct sr_evacuations {
	GHashTable *versions; /* domain -> guint64 *, the highest one */
};

sr_evacuations_t *sr_evacuations_new(void)
{
	sr_evacuations_t *evacuations = g_new0(sr_evacuations_t, 1);

	evacuations->versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return evacuations;
}

void sr_evacuations_free(sr_evacuations_t *evacuations)
{
	if (!evacuations)
		return;
	g_hash_table_unref(evacuations->versions);
	g_free(evacuations);
}

guint64 sr_evacuations_version(guint64 revision, gboolean is_evacuated)
{
	return revision * 2 + (is_evacuated ? 0 : 1);
}

gboolean sr_evacuations_is_end(guint64 version)
{
	return version % 2 == 1;
}

gboolean sr_evacuations_apply(sr_evacuations_t *evacuations, const char *domain,
			      guint64 version)
{
	const guint64 *known =
		g_hash_table_lookup(evacuations->versions, domain);
	gboolean was_evacuated = sr_evacuations_has(evacuations, domain);

	if (known && *known >= version)
		return FALSE;
	g_hash_table_insert(evacuations->versions, g_strdup(domain),
			    g_memdup2(&version, sizeof(version)));
	return was_evacuated != !sr_evacuations_is_end(version);
}

gboolean sr_evacuations_has(const sr_evacuations_t *evacuations,
			    const char *domain)
{
	const guint64 *version =
		g_hash_table_lookup(evacuations->versions, domain);

	return version && !sr_evacuations_is_end(*version);
}

unsigned sr_evacuations_count(const sr_evacuations_t *evacuations)
{
	GHashTableIter iter;
	gpointer version;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, evacuations->versions);
	while (g_hash_table_iter_next(&iter, NULL, &version))
		n += !sr_evacuations_is_end(*(guint64 *)version);
	return n;
}
