#include <stdlib.h>
#include <string.h>

#include "fleet/beliefs_internal.h"

/** Period in which a delegate tells how many hosts its domain has, and how
 * long that counts: three tellings, so that one may be lost. */
#define TELL_PERIOD (2 * SR_SEC)
#define TELL_LIFE (3 * TELL_PERIOD)

static void tell_own(sr_beliefs_t *beliefs)
{
	sr_usec_t now = sr_beliefs_now(beliefs);
	char *key;
	char text[16];

	if (!sr_members_is_delegate(beliefs->members) ||
	    now < beliefs->next_size)
		return;
	beliefs->next_size = now + TELL_PERIOD;
	key = g_strdup_printf("%s/%s", beliefs->options.failure_domain,
			      beliefs->options.node);
	g_snprintf(text, sizeof(text), "%u",
		   sr_members_count_own(beliefs->members));
	sr_beliefs_put_own(beliefs, SR_RUMOUR_DOMAIN_SIZE, key, text,
			   TELL_LIFE);
	g_free(key);
}

/* Delegates of one domain may differ for a moment: the most counts. */
static void collect(void *user, const sr_rumour_t *rumour)
{
	GHashTable *sizes = user;
	const char *mark = strrchr(rumour->key, '/');
	char *text = g_strndup((const char *)rumour->value, rumour->size);
	guint64 n;

	if (mark &&
	    g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT16, &n, NULL)) {
		char *domain =
			g_strndup(rumour->key, (gsize)(mark - rumour->key));
		guint known =
			GPOINTER_TO_UINT(g_hash_table_lookup(sizes, domain));

		g_hash_table_replace(sizes, domain,
				     GUINT_TO_POINTER(MAX(known, (guint)n)));
	}
	g_free(text);
}

void sr_domain_sizes_tick(sr_beliefs_t *beliefs)
{
	GHashTable *sizes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	tell_own(beliefs);
	sr_gossip_foreach_rumour(beliefs->gossip, SR_RUMOUR_DOMAIN_SIZE,
				 collect, sizes);
	sr_members_set_sizes(beliefs->members, sizes);
	g_hash_table_unref(sizes);
}
