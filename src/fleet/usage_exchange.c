#include <string.h>

#include "fleet/fleet_internal.h"

/** First byte of a datagram with the sender's own counts. Gossip datagrams
 * begin with their message type, a small number, so the two can't collide. */
#define TYPE_OWN 'U'

/** First byte of a datagram with the counts of another host, which are relayed
 * while that host is silent, see SILENT_AFTER. */
#define TYPE_RELAYED 'V'

/** First byte of a datagram with the sum of a failure domain. */
#define TYPE_DOMAIN 'W'

/** Delegates of a failure domain that add up the counts of its hosts. */
#define COLLECTORS 2

/** Hosts that receive the sums besides the holder of the duties: those that
 * would take the duties over. */
#define SUCCESSORS 2

/** Windows by which a received window may be ahead of this host's clock. */
#define WINDOWS_AHEAD 1

/** Windows sent each time: the current one, and the one before it as datagrams
 * may be lost. */
#define WINDOWS_SENT 2

/** Windows before those; one of them is sent each time, in turn, for a host
 * that has taken over the duties without their counts. */
#define OLDER_WINDOWS 2

/** Time without counts from a host after which the others relay what they
 * received from it: several sends, so that lost datagrams don't matter. */
#define SILENT_AFTER (3500 * SR_MSEC)

/** Maximum number of datagrams that are relayed in one send: enough for all
 * hosts of a failure domain. */
#define RELAYED_MAX 256

void sr_usage_exchange_init(sr_fleet_t *fleet)
{
	fleet->usage_last_received =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (fleet->options.usage_window > 0)
		fleet->usage = sr_usage_windows_new(
			fleet->owner_id, fleet->options.usage_window);
	if (fleet->usage)
		fleet->domain_usage =
			sr_usage_windows_new("", fleet->options.usage_window);
}

void sr_usage_exchange_clear(sr_fleet_t *fleet)
{
	g_hash_table_unref(fleet->usage_last_received);
	sr_usage_windows_free(fleet->usage);
	sr_usage_windows_free(fleet->domain_usage);
}

static guint64 current_window(const sr_fleet_t *fleet)
{
	return sr_usage_windows_at(fleet->usage,
				   sr_clock_unix_ms(fleet->options.clock));
}

/* Addresses of the holder of the duties and of its successors; the array is
 * freed by the caller. */
static GPtrArray *find_reporters(const sr_fleet_t *fleet)
{
	GPtrArray *addresses = sr_members_owner_addresses(
		fleet->members, SR_FLEET_DUTIES_KEY, SUCCESSORS);
	char *holder = fleet->duty_holder;

	/* a holder has its own counts already */
	if (holder && !strcmp(holder, fleet->options.peer_address))
		holder = NULL;
	for (guint i = 0; holder && i < addresses->len; i++) {
		if (!strcmp(addresses->pdata[i], holder))
			holder = NULL;
	}
	if (holder)
		g_ptr_array_add(addresses, holder);
	return addresses;
}

static void send_part(sr_fleet_t *fleet, const GPtrArray *receivers,
		      const GString *datagram)
{
	for (guint i = 0; i < receivers->len; i++)
		sr_peer_send_datagram(fleet->peer, receivers->pdata[i],
				      (const guint8 *)datagram->str,
				      datagram->len);
}

/* Sends "SOURCE\nWINDOW\nCOUNTS" after the type, in as many datagrams as the
 * counts need; receivers merge them one by one. */
static void send_counts(sr_fleet_t *fleet, const GPtrArray *receivers,
			char type, const char *source, guint64 window,
			const char *counts)
{
	char **lines = g_strsplit(counts, "\n", -1);
	GString *datagram = g_string_new(NULL);
	gsize header_size;

	g_string_append_printf(datagram, "%c%s\n%" G_GUINT64_FORMAT "\n", type,
			       source, window);
	header_size = datagram->len;
	for (char **line = lines; *line; line++) {
		if (datagram->len + strlen(*line) + 1 > SR_PEER_DATAGRAM_MAX) {
			send_part(fleet, receivers, datagram);
			g_string_truncate(datagram, header_size);
		}
		if (**line)
			g_string_append_printf(datagram, "%s\n", *line);
	}
	if (datagram->len > header_size)
		send_part(fleet, receivers, datagram);
	g_string_free(datagram, TRUE);
	g_strfreev(lines);
}

typedef struct {
	sr_fleet_t *fleet;
	const GPtrArray *receivers;
	guint64 window;
} send_context_t;

static gboolean is_silent(const sr_fleet_t *fleet, const char *host)
{
	const sr_usec_t *received_at =
		g_hash_table_lookup(fleet->usage_last_received, host);

	return !received_at ||
	       sr_fleet_now(fleet) - *received_at > SILENT_AFTER;
}

static void relay_counts(void *user, const char *host, const char *counts)
{
	const send_context_t *context = user;
	sr_fleet_t *fleet = context->fleet;

	if (!is_silent(fleet, host) || fleet->n_relayed >= RELAYED_MAX)
		return;
	fleet->n_relayed++;
	send_counts(fleet, context->receivers, TYPE_RELAYED, host,
		    context->window, counts);
}

/* Sends the counts of this host and of silent ones to the collectors. */
static void send_to_collectors(sr_fleet_t *fleet, const GPtrArray *collectors,
			       guint64 window)
{
	send_context_t context = { fleet, collectors, window };
	char *text;

	if (sr_usage_windows_encode_own(fleet->usage, window, &text) > 0)
		send_counts(fleet, collectors, TYPE_OWN, fleet->owner_id,
			    window, text);
	g_free(text);
	sr_usage_windows_foreach_peer(fleet->usage, window, relay_counts,
				      &context);
}

static void send_cohort(void *user, gint64 start_s, const char *counts)
{
	const send_context_t *context = user;
	sr_fleet_t *fleet = context->fleet;
	char *source = g_strdup_printf("%s/%" G_GINT64_FORMAT,
				       fleet->options.failure_domain, start_s);

	sr_usage_windows_receive(fleet->domain_usage, source, context->window,
				 counts, strlen(counts));
	send_counts(fleet, context->receivers, TYPE_DOMAIN, source,
		    context->window, counts);
	g_free(source);
}

static void send_window(sr_fleet_t *fleet, const GPtrArray *collectors,
			const GPtrArray *reporters, guint64 window)
{
	send_context_t context = { fleet, reporters, window };

	send_to_collectors(fleet, collectors, window);
	if (sr_members_domain_rank(fleet->members) < COLLECTORS)
		sr_usage_windows_foreach_cohort(fleet->usage, window,
						send_cohort, &context);
}

/* TRUE if all windows in which the host has counted have been dropped. */
static gboolean is_expired(gpointer host, gpointer received_at, gpointer user)
{
	const sr_fleet_t *fleet = user;

	(void)host;
	return sr_fleet_now(fleet) - *(sr_usec_t *)received_at >
	       SR_USAGE_WINDOWS_KEPT * fleet->options.usage_window;
}

void sr_usage_exchange_send(sr_fleet_t *fleet)
{
	GPtrArray *collectors;
	GPtrArray *reporters;
	guint64 window;

	if (!fleet->usage)
		return;
	collectors =
		sr_members_delegate_addresses(fleet->members, TRUE, COLLECTORS);
	reporters = find_reporters(fleet);
	window = current_window(fleet);
	fleet->n_relayed = 0;
	for (guint64 i = 0; i < WINDOWS_SENT; i++)
		send_window(fleet, collectors, reporters, window - i);
	send_window(fleet, collectors, reporters,
		    window - WINDOWS_SENT -
			    fleet->n_usage_sends++ % OLDER_WINDOWS);
	g_hash_table_foreach_remove(fleet->usage_last_received, is_expired,
				    fleet);
	g_ptr_array_unref(collectors);
	g_ptr_array_unref(reporters);
}

static void record_receipt(sr_fleet_t *fleet, const char *host)
{
	sr_usec_t now = sr_fleet_now(fleet);

	if (now - fleet->usage_received_at > SILENT_AFTER)
		fleet->usage_received_since = now;
	fleet->usage_received_at = now;
	g_hash_table_insert(fleet->usage_last_received, g_strdup(host),
			    g_memdup2(&now, sizeof(now)));
}

gboolean sr_usage_exchange_receive(sr_fleet_t *fleet, const guint8 *data,
				   gsize size)
{
	char **lines;
	char *text;
	guint64 window;

	if (size == 0 || (data[0] != TYPE_OWN && data[0] != TYPE_RELAYED &&
			  data[0] != TYPE_DOMAIN))
		return FALSE;
	text = g_strndup((const char *)data + 1, size - 1);
	lines = g_strsplit(text, "\n", 3);
	if (fleet->usage && g_strv_length(lines) == 3 &&
	    g_ascii_string_to_unsigned(lines[1], 10, 0, G_MAXUINT64, &window,
				       NULL) &&
	    window <= current_window(fleet) + WINDOWS_AHEAD) {
		/* relayed counts don't show that the host itself is live */
		if (data[0] != TYPE_RELAYED)
			record_receipt(fleet, lines[0]);
		sr_usage_windows_receive(
			data[0] == TYPE_DOMAIN ? fleet->domain_usage :
						 fleet->usage,
			lines[0], window, lines[2], strlen(lines[2]));
	}
	g_strfreev(lines);
	g_free(text);
	return TRUE;
}

sr_usec_t sr_fleet_usage_received_for(const sr_fleet_t *fleet)
{
	sr_usec_t now = sr_fleet_now(fleet);

	if (fleet->usage_received_since == 0 ||
	    now - fleet->usage_received_at > SILENT_AFTER)
		return 0;
	return now - fleet->usage_received_since;
}
