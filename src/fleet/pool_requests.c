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

/** Lower bound of the recent maximum of live hosts. */
#define RECENT_MAX_MIN 6.0

/** Time for which a holder that has not replied is asked last. */
#define SILENT_HOLDER_TIME SR_SEC

/** Fraction by which the recent maximum of live hosts decays per second. */
#define RECENT_MAX_DECAY 0.02

/** pool_request_t - a request to the pools of an account, one after the other.
 */
typedef struct {
	sr_list_t link;
	sr_fleet_t *fleet;
	char *account;
	double amount;
	guint64 id; /* of the datagram that has no reply yet */
	char *holder;
	unsigned pool;
	unsigned n_asked;
	sr_usec_t wait; /* shortest of the refusals */
	sr_timer_t *timer;
	sr_pool_reply_fn done;
	void *user;
} pool_request_t;

static void free_request(pool_request_t *request)
{
	sr_timer_cancel(request->timer);
	sr_list_remove(&request->link);
	g_free(request->account);
	g_free(request->holder);
	g_free(request);
}

/* The address of the host that holds a pool of an account; NULL if this host
 * holds it. */
static const char *find_pool_holder(const sr_fleet_t *fleet,
				    const char *account, unsigned pool)
{
	char *key = g_strconcat("pool/", account, NULL);
	const char *holders[SR_ALLOWANCE_POOLS];

	sr_members_owner_pair(fleet->members, key, holders);
	g_free(key);
	return strcmp(holders[pool], fleet->options.peer_address) ?
		       holders[pool] :
		       NULL;
}

void sr_pool_requests_init(sr_fleet_t *fleet)
{
	sr_list_init(&fleet->pool_requests);
	fleet->held_pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->silent_holders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void sr_pool_requests_clear(sr_fleet_t *fleet)
{
	sr_list_for_each_safe (link, &fleet->pool_requests)
		free_request(sr_list_entry(link, pool_request_t, link));
	g_hash_table_unref(fleet->held_pools);
	g_hash_table_unref(fleet->silent_holders);
}

/* The key is the number of the pool, one digit, and the account. */
static char *held_pool_key(const char *account, unsigned pool)
{
	return g_strdup_printf("%u%s", pool, account);
}

static gboolean end_if_held_elsewhere(gpointer key, gpointer value,
				      gpointer user)
{
	sr_fleet_t *fleet = user;
	const char *text = key;
	unsigned pool = (unsigned)(text[0] - '0');

	(void)value;
	if (!find_pool_holder(fleet, text + 1, pool))
		return FALSE;
	sr_allowance_end_pool(sr_gateway_allowance(fleet->options.gateway),
			      sr_fleet_now(fleet), text + 1, pool);
	return TRUE;
}

static gboolean is_silence_over(gpointer holder, gpointer until, gpointer user)
{
	(void)holder;
	return sr_fleet_now(user) >= *(sr_usec_t *)until;
}

/* Starts a pool unless this host holds it already. */
static void start_pool(sr_fleet_t *fleet, const char *account, unsigned pool)
{
	char text[16];

	if (!g_hash_table_add(fleet->held_pools, held_pool_key(account, pool)))
		return;
	g_snprintf(text, sizeof(text), "%u", pool);
	sr_log_event(fleet->options.log, SR_LOG_INFO, "pool-kept", "account",
		     account, "pool", text, NULL);
	sr_allowance_start_pool(sr_gateway_allowance(fleet->options.gateway),
				sr_fleet_now(fleet), account, pool);
}

/* Starts the pools that this host has come to hold. They are empty then, and
 * have to fill before they are needed. */
static void start_pools(sr_fleet_t *fleet)
{
	const sr_route_table_t *table =
		sr_gateway_table(fleet->options.gateway);

	for (guint i = 0; table && i < table->accounts->len; i++) {
		const sr_gateway_account_t *account = table->accounts->pdata[i];

		for (unsigned pool = 0;
		     account->rate_per_s > 0 && pool < SR_ALLOWANCE_POOLS;
		     pool++) {
			if (!find_pool_holder(fleet, account->name, pool))
				start_pool(fleet, account->name, pool);
		}
	}
}

void sr_pool_requests_tick(sr_fleet_t *fleet)
{
	double n_live = sr_fleet_host_count(fleet);
	double n_sharing;

	g_hash_table_foreach_remove(fleet->held_pools, end_if_held_elsewhere,
				    fleet);
	g_hash_table_foreach_remove(fleet->silent_holders, is_silence_over,
				    fleet);
	/* Only the fraction of the recent maximum that is live may be handed
	 * out of a pool. Parts of the fleet that are cut off from each other
	 * then hand out together no more than one pool for each account, until
	 * the maximum has decayed. */
	fleet->recent_max_hosts *= 1 - RECENT_MAX_DECAY;
	fleet->recent_max_hosts = MAX(fleet->recent_max_hosts, n_live);
	n_sharing = MAX(MAX(fleet->recent_max_hosts, RECENT_MAX_MIN),
			(double)sr_fleet_sharing_hosts(fleet));
	sr_allowance_set_pool_fraction(
		sr_gateway_allowance(fleet->options.gateway),
		n_live / n_sharing);
	start_pools(fleet);
}

static void finish(pool_request_t *request, sr_usec_t wait)
{
	sr_pool_reply_fn done = request->done;
	void *user = request->user;

	free_request(request);
	done(user, wait);
}

/* Takes an amount from a pool that this host holds. Once it has announced its
 * stop, another host does. */
static sr_usec_t take_from_pool(sr_fleet_t *fleet, const char *account,
				unsigned pool, double amount)
{
	if (fleet->is_leaving && sr_fleet_host_count(fleet) > 1)
		return WAIT_UNAVAILABLE;
	start_pool(fleet, account, pool);
	return sr_allowance_take_from_pool(
		sr_gateway_allowance(fleet->options.gateway),
		sr_fleet_now(fleet), account, pool, amount);
}

/* Takes ownership of the text. */
static void send_text(sr_fleet_t *fleet, const char *address, char *text)
{
	sr_peer_send_datagram(fleet->peer, address, (const guint8 *)text,
			      strlen(text));
	g_free(text);
}

static void ask_pool(pool_request_t *request);

/* Asks the next pool, or ends the request. */
static void handle_answer(pool_request_t *request, sr_usec_t wait)
{
	sr_timer_cancel(request->timer);
	request->timer = NULL;
	request->wait = request->n_asked ? MIN(request->wait, wait) : wait;
	if (wait == 0 || ++request->n_asked >= SR_ALLOWANCE_POOLS) {
		finish(request, request->wait);
		return;
	}
	request->pool = (request->pool + 1) % SR_ALLOWANCE_POOLS;
	ask_pool(request);
}

static void on_timeout(void *user)
{
	pool_request_t *request = user;
	sr_usec_t until = sr_fleet_now(request->fleet) + SILENT_HOLDER_TIME;

	request->timer = NULL;
	g_hash_table_insert(request->fleet->silent_holders,
			    g_strdup(request->holder),
			    g_memdup2(&until, sizeof(until)));
	handle_answer(request, WAIT_UNAVAILABLE);
}

static void ask_pool(pool_request_t *request)
{
	sr_fleet_t *fleet = request->fleet;
	const char *address =
		find_pool_holder(fleet, request->account, request->pool);

	if (!address) {
		handle_answer(request,
			      take_from_pool(fleet, request->account,
					     request->pool, request->amount));
		return;
	}
	g_free(request->holder);
	request->holder = g_strdup(address);
	request->id = ++fleet->n_pool_requests;
	request->timer = sr_timer_start(fleet->options.clock, REQUEST_TIMEOUT,
					on_timeout, request);
	send_text(fleet, address,
		  g_strdup_printf("%c%" G_GUINT64_FORMAT "\n%s\n%.0f\n%u\n%s",
				  TYPE_REQUEST, request->id,
				  fleet->options.peer_address, request->amount,
				  request->pool, request->account));
}

/* The pools take turns, so that they are used alike. */
static unsigned first_pool(const sr_fleet_t *fleet, const char *account)
{
	unsigned pool = (unsigned)(fleet->n_pool_requests % SR_ALLOWANCE_POOLS);
	const char *holder = find_pool_holder(fleet, account, pool);

	if (holder && g_hash_table_contains(fleet->silent_holders, holder))
		return (pool + 1) % SR_ALLOWANCE_POOLS;
	return pool;
}

void sr_fleet_request_pool(sr_fleet_t *fleet, const char *account,
			   double amount, sr_pool_reply_fn done, void *user)
{
	pool_request_t *request = g_new0(pool_request_t, 1);

	request->fleet = fleet;
	request->account = g_strdup(account);
	request->amount = amount;
	request->pool = first_pool(fleet, account);
	request->done = done;
	request->user = user;
	sr_list_append(&fleet->pool_requests, &request->link);
	ask_pool(request);
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

/* A request, "ID\nADDRESS\nAMOUNT\nPOOL\nACCOUNT"; the reply goes to
 * ADDRESS. */
static void handle_request(sr_fleet_t *fleet, char **lines)
{
	guint64 pool;
	sr_usec_t wait;

	if (g_strv_length(lines) != 5 ||
	    !g_ascii_string_to_unsigned(lines[3], 10, 0, SR_ALLOWANCE_POOLS - 1,
					&pool, NULL))
		return;
	/* The member lists of the two hosts may differ: if another host holds
	 * the pool by the list of this host, nothing is handed out. */
	wait = find_pool_holder(fleet, lines[4], (unsigned)pool) ?
		       WAIT_UNAVAILABLE :
		       take_from_pool(fleet, lines[4], (unsigned)pool,
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

		if (request->id != id)
			continue;
		/* a host that isn't the holder says so by this wait */
		if (wait != WAIT_UNAVAILABLE)
			sr_allowance_note_answer(
				sr_gateway_allowance(fleet->options.gateway),
				sr_fleet_now(fleet), request->account,
				request->pool, wait > 0 ? 0 : request->amount);
		handle_answer(request, wait);
		return;
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
