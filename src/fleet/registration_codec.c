#include "fleet/registration_codec.h"

#include <string.h>

/** Lines of the text, in order. */
enum {
	FIELD_SERVICE,
	FIELD_ADDRESS,
	FIELD_DOMAIN,
	FIELD_VERSION,
	FIELD_SLOTS,
	FIELD_DRAINING,
	FIELD_RECLAIMABLE,
	FIELD_TERMINATES_IN,
	FIELD_COLD_FOR,
	FIELD_START_TIME,
	N_FIELDS,
};

char *sr_registration_encode(const sr_registration_t *entry)
{
	if (strchr(entry->service, '\n') || strchr(entry->version, '\n') ||
	    strchr(entry->failure_domain, '\n'))
		return NULL;
	return g_strdup_printf("%s\n%s\n%s\n%s\n%u\n%d\n%d\n%" G_GINT64_FORMAT
			       "\n%" G_GINT64_FORMAT "\n%" G_GINT64_FORMAT,
			       entry->service, entry->address,
			       entry->failure_domain, entry->version,
			       entry->slots, entry->draining ? 1 : 0,
			       entry->reclaimable ? 1 : 0, entry->terminates_in,
			       entry->cold_for, entry->start_unix_ms);
}

static gboolean read_number(const char *text, gint64 *number)
{
	return g_ascii_string_to_signed(text, 10, 0, G_MAXINT64, number, NULL);
}

gboolean sr_registration_decode(const guint8 *value, gsize size,
				sr_registration_t *entry, char ***fields)
{
	char *text = g_strndup((const char *)value, size);
	gint64 numbers[N_FIELDS] = { 0 };
	char **parts = g_strsplit(text, "\n", -1);
	gboolean ok = g_strv_length(parts) == N_FIELDS;

	g_free(text);
	*fields = parts;
	for (int i = FIELD_SLOTS; ok && i < N_FIELDS; i++)
		ok = read_number(parts[i], &numbers[i]);
	if (!ok)
		return FALSE;
	entry->service = parts[FIELD_SERVICE];
	entry->address = parts[FIELD_ADDRESS];
	entry->failure_domain = parts[FIELD_DOMAIN];
	entry->version = parts[FIELD_VERSION];
	entry->slots = (unsigned)MIN(numbers[FIELD_SLOTS], G_MAXINT32);
	entry->draining = numbers[FIELD_DRAINING] != 0;
	entry->reclaimable = numbers[FIELD_RECLAIMABLE] != 0;
	entry->terminates_in =
		MIN(numbers[FIELD_TERMINATES_IN], SR_DURATION_MAX);
	entry->cold_for = MIN(numbers[FIELD_COLD_FOR], SR_DURATION_MAX);
	entry->start_unix_ms = numbers[FIELD_START_TIME];
	return TRUE;
}
