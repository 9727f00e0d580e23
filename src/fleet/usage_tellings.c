#include <string.h>

#include "fleet/beliefs_internal.h"

/** First byte of a datagram of this kind; those of the gossip begin with the
 * type of their message, a small number. */
#define MARK 'U'

/** The same for counts of a host that says nothing itself any more. */
#define MARK_LEFT 'V'

/** Hosts that are sent the counts beside the holder of the duties: those that
 * would take over. */
#define SUCCESSORS 2

/** Windows that may lie ahead of this host's clock. */
#define WINDOWS_AHEAD 1

/** Windows that are sent each time, as datagrams may be lost: the one that
 * runs and the one before it. */
#define WINDOWS_SENT 2

/** Windows before those, one of which is sent each time, for a host that has
 * taken over and was not told before. */
#define WINDOWS_RECALLED 2

/** A host that sent nothing for this long is spoken for by those that heard of
 * it: some of its sends, so that lost datagrams alone don't count. */
#define SILENT_AFTER (3500 * SR_MSEC)

/** Datagrams sent for silent hosts each time, at most: a zone of them. */
#define SENT_FOR_SILENT_MAX 256

/** Accounts beyond this many bytes of text in a datagram aren't told. */
#define DATAGRAM_MAX (8 * 1024)

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
	char *holder = beliefs->holder;

	/* its own counts need no datagram */
	if (holder && !strcmp(holder, beliefs->options.peer_address))
		holder = NULL;
	for (guint i = 0; holder && i < addresses->len; i++) {
		if (!strcmp(addresses->pdata[i], holder))
			holder = NULL;
	}
	if (holder)
		g_ptr_array_add(addresses, holder);
	return addresses;
}

/* "MARK HOST\nWINDOW\nCOUNTS" */
static void send_counts(sr_beliefs_t *beliefs, const GPtrArray *reporters,
			char mark, const char *host, guint64 window,
			const char *counts)
{
	GString *datagram = g_string_new(NULL);

	g_string_append_printf(datagram, "%c%s\n%" G_GUINT64_FORMAT "\n%s",
			       mark, host, window, counts);
	if (datagram->len > DATAGRAM_MAX)
		sr_log_event(beliefs->options.log, SR_LOG_ERROR,
			     "usage-not-told", "host", host, "detail",
			     "too many accounts for a datagram", NULL);
	for (guint i = 0; i < reporters->len && datagram->len <= DATAGRAM_MAX;
	     i++)
		sr_peer_send(beliefs->peer, reporters->pdata[i],
			     (const guint8 *)datagram->str, datagram->len);
	g_string_free(datagram, TRUE);
}

typedef struct {
	sr_beliefs_t *beliefs;
	const GPtrArray *reporters;
	guint64 window;
} sending_t;

static gboolean is_silent(const sr_beliefs_t *beliefs, const char *host)
{
	const sr_usec_t *at = g_hash_table_lookup(beliefs->usage_told, host);

	return !at || sr_beliefs_now(beliefs) - *at > SILENT_AFTER;
}

static void send_for_silent(void *user, const char *host, const char *counts)
{
	const sending_t *sending = user;
	sr_beliefs_t *beliefs = sending->beliefs;

	if (!is_silent(beliefs, host) ||
	    beliefs->n_sent_for_silent >= SENT_FOR_SILENT_MAX)
		return;
	beliefs->n_sent_for_silent++;
	send_counts(beliefs, sending->reporters, MARK_LEFT, host,
		    sending->window, counts);
}

static void send_window(sr_beliefs_t *beliefs, const GPtrArray *reporters,
			guint64 window)
{
	sending_t sending = {
		.beliefs = beliefs,
		.reporters = reporters,
		.window = window,
	};
	char *text;

	if (sr_usage_windows_encode_own(beliefs->usage, window, &text) > 0)
		send_counts(beliefs, reporters, MARK, beliefs->owner, window,
			    text);
	g_free(text);
	sr_usage_windows_foreach_peer(beliefs->usage, window, send_for_silent,
				      &sending);
}

static gboolean is_past(gpointer host, gpointer at, gpointer user)
{
	const sr_beliefs_t *beliefs = user;

	(void)host;
	return sr_beliefs_now(beliefs) - *(sr_usec_t *)at >
	       SR_USAGE_WINDOWS_KEPT * beliefs->options.usage_window;
}

void sr_usage_tellings_send(sr_beliefs_t *beliefs)
{
	GPtrArray *reporters;
	guint64 window;

	if (!beliefs->usage)
		return;
	reporters = find_reporters(beliefs);
	window = window_now(beliefs);
	beliefs->n_sent_for_silent = 0;
	for (guint64 i = 0; i < WINDOWS_SENT; i++)
		send_window(beliefs, reporters, window - i);
	send_window(beliefs, reporters,
		    window - WINDOWS_SENT -
			    beliefs->n_usage_sent++ % WINDOWS_RECALLED);
	g_hash_table_foreach_remove(beliefs->usage_told, is_past, beliefs);
	g_ptr_array_unref(reporters);
}

static void note_told(sr_beliefs_t *beliefs, const char *host)
{
	sr_usec_t now = sr_beliefs_now(beliefs);

	if (now - beliefs->told_last > SILENT_AFTER)
		beliefs->told_since = now;
	beliefs->told_last = now;
	g_hash_table_insert(beliefs->usage_told, g_strdup(host),
			    g_memdup2(&now, sizeof(now)));
}

gboolean sr_usage_tellings_receive(sr_beliefs_t *beliefs, const guint8 *data,
				   gsize size)
{
	char **lines;
	char *text;
	guint64 window;

	if (size == 0 || (data[0] != MARK && data[0] != MARK_LEFT))
		return FALSE;
	text = g_strndup((const char *)data + 1, size - 1);
	lines = g_strsplit(text, "\n", 3);
	if (beliefs->usage && g_strv_length(lines) == 3 &&
	    g_ascii_string_to_unsigned(lines[1], 10, 0, G_MAXUINT64, &window,
				       NULL) &&
	    window <= window_now(beliefs) + WINDOWS_AHEAD) {
		if (data[0] == MARK)
			note_told(beliefs, lines[0]);
		sr_usage_windows_receive(beliefs->usage, lines[0], window,
					 lines[2], strlen(lines[2]));
	}
	g_strfreev(lines);
	g_free(text);
	return TRUE;
}

sr_usec_t sr_beliefs_usage_told_for(const sr_beliefs_t *beliefs)
{
	sr_usec_t now = sr_beliefs_now(beliefs);

	if (beliefs->told_since == 0 || now - beliefs->told_last > SILENT_AFTER)
		return 0;
	return now - beliefs->told_since;
}
