#include <string.h>

#include "fleet/beliefs_internal.h"

/** First byte of a datagram of this kind; those of the gossip begin with the
 * type of their message, a small number. */
#define MARK 'U'

/** Hosts that are sent the counts beside the holder of the duties: those that
 * would take over. */
#define SUCCESSORS 2

/** Windows that may lie ahead of this host's clock. */
#define WINDOWS_AHEAD 1

/** Windows that are sent: the one that runs, and those before it, again and
 * again, as datagrams may be lost. */
#define WINDOWS_SENT 2

static guint64 window_now(const sr_beliefs_t *beliefs)
{
	return sr_usage_windows_at(beliefs->usage,
				   sr_clock_unix_ms(beliefs->options.clock));
}

/* Addresses of the holder and of those that would follow it. */
static GPtrArray *find_reporters(const sr_beliefs_t *beliefs)
{
	GPtrArray *addresses = sr_members_owners(beliefs->members,
						 SR_BELIEFS_DUTIES, SUCCESSORS);
	const char *holder =
		beliefs->holder ?
			sr_members_address(beliefs->members, beliefs->holder) :
			NULL;

	for (guint i = 0; holder && i < addresses->len; i++) {
		if (!strcmp(addresses->pdata[i], holder))
			holder = NULL;
	}
	if (holder)
		g_ptr_array_add(addresses, (gpointer)holder);
	return addresses;
}

static void send_window(sr_beliefs_t *beliefs, const GPtrArray *reporters,
			guint64 window)
{
	GString *datagram;
	char *text;

	if (sr_usage_windows_text(beliefs->usage, window, &text) > 0) {
		datagram = g_string_new(NULL);
		g_string_append_printf(datagram,
				       "%c%s\n%" G_GUINT64_FORMAT "\n%s", MARK,
				       beliefs->owner, window, text);
		for (guint i = 0; i < reporters->len &&
				  datagram->len <= SR_USAGE_TEXT_MAX * 2;
		     i++)
			sr_peer_send(beliefs->peer, reporters->pdata[i],
				     (const guint8 *)datagram->str,
				     datagram->len);
		g_string_free(datagram, TRUE);
	}
	g_free(text);
}

void sr_usage_tellings_send(sr_beliefs_t *beliefs)
{
	GPtrArray *reporters;
	guint64 window;

	if (!beliefs->usage)
		return;
	reporters = find_reporters(beliefs);
	window = window_now(beliefs);
	for (guint64 i = 0; i < WINDOWS_SENT; i++)
		send_window(beliefs, reporters, window - i);
	g_ptr_array_unref(reporters);
}

gboolean sr_usage_tellings_receive(sr_beliefs_t *beliefs, const guint8 *data,
				   gsize size)
{
	char **lines;
	char *text;
	guint64 window;

	if (size == 0 || data[0] != MARK)
		return FALSE;
	text = g_strndup((const char *)data + 1, size - 1);
	lines = g_strsplit(text, "\n", 3);
	if (beliefs->usage && g_strv_length(lines) == 3 &&
	    g_ascii_string_to_unsigned(lines[1], 10, 0, G_MAXUINT64, &window,
				       NULL) &&
	    window <= window_now(beliefs) + WINDOWS_AHEAD)
		sr_usage_windows_heard(beliefs->usage, lines[0], window,
				       lines[2], strlen(lines[2]));
	g_strfreev(lines);
	g_free(text);
	return TRUE;
}
