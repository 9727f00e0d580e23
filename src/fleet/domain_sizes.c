#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_internal.h"

/** Interval at which a delegate publishes the size of its failure domain. */
#define SIZE_INTERVAL (2 * SR_SEC)

/** Time after which a size expires: three intervals, so that a lost rumour
 * doesn't matter. */
#define SIZE_TTL (3 * SIZE_INTERVAL)

static void publish_own_size(sr_fleet_t *fleet)
{
	sr_usec_t now = sr_fleet_now(fleet);
	char *key;
	char text[16];

	if (!sr_members_is_delegate(fleet->members) ||
	    now < fleet->next_size_at)
		return;
	fleet->next_size_at = now + SIZE_INTERVAL;
	key = g_strdup_printf("%s/%s", fleet->options.failure_domain,
			      fleet->options.node);
	g_snprintf(text, sizeof(text), "%u",
		   sr_members_count_own_domain(fleet->members));
	sr_fleet_publish_own(fleet, SR_RUMOUR_DOMAIN_SIZE, key, text, SIZE_TTL);
	g_free(key);
}

/* Adds a rumour with the key "DOMAIN/NODE". The delegates of a domain can
 * disagree for a moment; the largest size wins. */
static void collect_size(void *user, const sr_rumour_t *rumour)
{
	GHashTable *sizes = user;
	const char *separator = strrchr(rumour->key, '/');
	char *text = g_strndup((const char *)rumour->value, rumour->size);
	guint64 n;

	if (separator &&
	    g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT16, &n, NULL)) {
		char *domain = g_strndup(rumour->key,
					 (gsize)(separator - rumour->key));
		guint known =
			GPOINTER_TO_UINT(g_hash_table_lookup(sizes, domain));

		g_hash_table_replace(sizes, domain,
				     GUINT_TO_POINTER(MAX(known, (guint)n)));
	}
	g_free(text);
}

void sr_domain_sizes_tick(sr_fleet_t *fleet)
{
	GHashTable *sizes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	publish_own_size(fleet);
	sr_gossip_foreach_rumour(fleet->gossip, SR_RUMOUR_DOMAIN_SIZE,
				 collect_size, sizes);
	sr_members_set_domain_sizes(fleet->members, sizes);
	g_hash_table_unref(sizes);
}
