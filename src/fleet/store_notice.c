#include <string.h>

#include "fleet/fleet_internal.h"

/** First byte of a notice. Gossip datagrams begin with a small number. */
#define TYPE_NOTICE 'N'

void sr_fleet_send_store_notice(sr_fleet_t *fleet,
				const sr_store_notice_t *notice)
{
	GPtrArray *addresses = sr_members_local_addresses(fleet->members);
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "%c%s\n%" G_GINT64_FORMAT, TYPE_NOTICE,
			       fleet->options.peer_address,
			       notice->age / SR_MSEC);
	for (unsigned i = 0; i < SR_STORE_FEEDS; i++)
		g_string_append_printf(text, "\n%" G_GUINT64_FORMAT,
				       notice->revisions[i]);
	for (guint i = 0; i < addresses->len; i++)
		sr_peer_send_datagram(fleet->peer, addresses->pdata[i],
				      (const guint8 *)text->str, text->len);
	g_string_free(text, TRUE);
	g_ptr_array_unref(addresses);
}

static gboolean parse_notice(char **lines, sr_store_notice_t *notice)
{
	guint64 age_ms;

	if (g_strv_length(lines) != 2 + SR_STORE_FEEDS ||
	    !g_ascii_string_to_unsigned(lines[1], 10, 0, G_MAXUINT32, &age_ms,
					NULL))
		return FALSE;
	notice->address = lines[0];
	notice->age = (sr_usec_t)age_ms * SR_MSEC;
	for (unsigned i = 0; i < SR_STORE_FEEDS; i++) {
		if (!g_ascii_string_to_unsigned(lines[2 + i], 10, 0,
						G_MAXUINT64,
						&notice->revisions[i], NULL))
			return FALSE;
	}
	return TRUE;
}

gboolean sr_store_notice_receive(sr_fleet_t *fleet, const guint8 *data,
				 gsize size)
{
	sr_store_notice_t notice;
	char **lines;
	char *text;

	if (size == 0 || data[0] != TYPE_NOTICE)
		return FALSE;
	text = g_strndup((const char *)data + 1, size - 1);
	lines = g_strsplit(text, "\n", -1);
	if (parse_notice(lines, &notice))
		fleet->options.store_notice(fleet->options.user, &notice);
	g_strfreev(lines);
	g_free(text);
	return TRUE;
}
