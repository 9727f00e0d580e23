#include <string.h>

#include "fleet/fleet_internal.h"

/** First byte of the datagrams of a request and of its reply. Gossip datagrams
 * begin with their message type, a small number, so they can't collide. */
#define TYPE_REQUEST 'A'
#define TYPE_REPLY 'G'

/** Time without a reply after which a request counts as refused: several round
 * trips between hosts, and short against any latency target. */
#define REQUEST_TIMEOUT (60 * SR_MSEC)

/** Time that an account has to wait if its pool can't be reached. */
#define WAIT_UNAVAILABLE SR_SEC

/** Lower bound of the recent maximum of live hosts. When all hosts start
 * together, each one has only itself in its member list at first; without the
 * bound each would hand out all of a pool. */
#define RECENT_MAX_MIN 6.0

/** Fraction by which the recent maximum of live hosts decays per second. */
#define RECENT_MAX_DECAY 0.02

/** pool_request_t - a request that was sent and has no reply yet. */
typedef struct {
	sr_list_t link;
	sr_fleet_t *fleet;
	guint64 id;
	sr_timer_t *timer;
	sr_pool_reply_fn done;
	void *user;
} pool_request_t;

static void free_request(pool_request_t *request)
{
	sr_timer_cancel(request->timer);
	sr_list_remove(&request->link);
	g_free(request);
}

/* The address of the host that holds an account's pool; NULL if this host
 * holds it. */
static const char *find_pool_holder(const sr_fleet_t *fleet,
				    const char *account)
{
	char *key = g_strconcat("pool/", account, NULL);
	GPtrArray *holders = sr_members_owner_addresses(fleet->members, key, 1);
	const char *address = holders->len > 0 ? holders->pdata[0] : NULL;

	g_ptr_array_unref(holders);
	g_free(key);
	return address;
}

void sr_pool_requests_init(sr_fleet_t *fleet)
{
	sr_list_init(&fleet->pool_requests);
	fleet->recent_max_hosts = RECENT_MAX_MIN;
	fleet->held_pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void sr_pool_requests_clear(sr_fleet_t *fleet)
{
	sr_list_for_each_safe (link, &fleet->pool_requests)
		free_request(sr_list_entry(link, pool_request_t, link));
	g_hash_table_unref(fleet->held_pools);
}

static gboolean is_held_elsewhere(gpointer account, gpointer value,
				  gpointer user)
{
	(void)value;
	return find_pool_holder(user, account) != NULL;
}

void sr_pool_requests_tick(sr_fleet_t *fleet)
{
	double n_live = sr_fleet_host_count(fleet);

	g_hash_table_foreach_remove(fleet->held_pools, is_held_elsewhere,
				    fleet);
	/* Only the fraction of the recent maximum that is live may be handed
	 * out of a pool. Parts of the fleet that are cut off from each other
	 * then hand out together no more than one pool for each account, until
	 * the maximum has decayed. */
	fleet->recent_max_hosts *= 1 - RECENT_MAX_DECAY;
	fleet->recent_max_hosts =
		MAX(fleet->recent_max_hosts, MAX(n_live, RECENT_MAX_MIN));
	sr_allowance_set_pool_fraction(
		sr_gateway_allowance(fleet->options.gateway),
		n_live / fleet->recent_max_hosts);
}

static void finish(pool_request_t *request, sr_usec_t wait)
{
	sr_pool_reply_fn done = request->done;
	void *user = request->user;

	free_request(request);
	done(user, wait);
}

static void on_timeout(void *user)
{
	pool_request_t *request = user;

	request->timer = NULL;
	finish(request, WAIT_UNAVAILABLE);
}

/* Takes an amount from a pool that this host holds; the pool starts with the
 * first request after this host has become its holder. */
static sr_usec_t take_from_pool(sr_fleet_t *fleet, const char *account,
				double amount)
{
	sr_allowance_t *allowance =
		sr_gateway_allowance(fleet->options.gateway);

	if (g_hash_table_add(fleet->held_pools, g_strdup(account))) {
		sr_log_event(fleet->options.log, SR_LOG_INFO, "pool-kept",
			     "account", account, NULL);
		sr_allowance_start_pool(allowance, sr_fleet_now(fleet),
					account);
	}
	return sr_allowance_take_from_pool(allowance, sr_fleet_now(fleet),
					   account, amount);
}

/* Takes ownership of the text. */
static void send_text(sr_fleet_t *fleet, const char *address, char *text)
{
	sr_peer_send_datagram(fleet->peer, address, (const guint8 *)text,
			      strlen(text));
	g_free(text);
}

void sr_fleet_request_pool(sr_fleet_t *fleet, const char *account,
			   double amount, sr_pool_reply_fn done, void *user)
{
	const char *address = find_pool_holder(fleet, account);
	pool_request_t *request;

	if (!address) {
		done(user, take_from_pool(fleet, account, amount));
		return;
	}
	request = g_new0(pool_request_t, 1);
	request->fleet = fleet;
	request->id = ++fleet->n_pool_requests;
	request->done = done;
	request->user = user;
	request->timer = sr_timer_start(fleet->options.clock, REQUEST_TIMEOUT,
					on_timeout, request);
	sr_list_append(&fleet->pool_requests, &request->link);
	send_text(fleet, address,
		  g_strdup_printf("%c%" G_GUINT64_FORMAT "\n%s\n%.0f\n%s",
				  TYPE_REQUEST, request->id,
				  fleet->options.peer_address, amount,
				  account));
}

void sr_fleet_cancel_pool_requests(sr_fleet_t *fleet, void *user)
{
	sr_list_for_each_safe (link, &fleet->pool_requests) {
		pool_request_t *request =
			sr_list_entry(link, pool_request_t, link);

		if (request->user == user)
			free_request(request);
	}
}

/* A request, "ID\nADDRESS\nAMOUNT\nACCOUNT"; the reply goes to ADDRESS. */
static void handle_request(sr_fleet_t *fleet, char **lines)
{
	sr_usec_t wait;

	if (g_strv_length(lines) != 4)
		return;
	/* The member lists of the two hosts may differ: if another host holds
	 * the pool by the list of this host, nothing is handed out. */
	wait = find_pool_holder(fleet, lines[3]) ?
		       WAIT_UNAVAILABLE :
		       take_from_pool(fleet, lines[3],
				      g_ascii_strtod(lines[2], NULL));
	send_text(fleet, lines[1],
		  g_strdup_printf("%c%s\n%" G_GINT64_FORMAT, TYPE_REPLY,
				  lines[0], wait));
}

/* A reply, "ID\nWAIT"; WAIT is in microseconds, 0 if the amount was taken. */
static void handle_reply(sr_fleet_t *fleet, char **lines)
{
	guint64 id;
	gint64 wait;

	if (g_strv_length(lines) != 2 ||
	    !g_ascii_string_to_unsigned(lines[0], 10, 0, G_MAXUINT64, &id,
					NULL) ||
	    !g_ascii_string_to_signed(lines[1], 10, 0, G_MAXINT64, &wait, NULL))
		return;
	sr_list_for_each_safe (link, &fleet->pool_requests) {
		pool_request_t *request =
			sr_list_entry(link, pool_request_t, link);

		if (request->id == id) {
			finish(request, wait);
			return;
		}
	}
}

gboolean sr_pool_requests_receive(sr_fleet_t *fleet, const guint8 *data,
				  gsize size)
{
	char **lines;
	char *text;

	if (size == 0 || (data[0] != TYPE_REQUEST && data[0] != TYPE_REPLY))
		return FALSE;
	text = g_strndup((const char *)data + 1, size - 1);
	lines = g_strsplit(text, "\n", -1);
	if (data[0] == TYPE_REQUEST)
		handle_request(fleet, lines);
	else
		handle_reply(fleet, lines);
	g_strfreev(lines);
	g_free(text);
	return TRUE;
}
