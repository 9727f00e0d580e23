#include <math.h>

#include "fleet/fleet_internal.h"

/** Part of the hosts that a host must know to report what its pools granted, or
 * to save what all have. */
#define REPORTED_USE_HOSTS_MIN 0.8

/** Time constant of the moving average of engine work, in s. */
#define WORK_AVERAGE_S 4.0

/** The work of all hosts is known if at least this fraction of them is
 * included in the total. */
#define KNOWN_FRACTION_MIN 0.5

/** The same for the use of pools: the holder of one may be any host. */
#define USE_FRACTION_MIN 0.95

/** Interval at which datagrams are sent, and the most bytes of one: 256 kB a
 * second, a fifth of a link of 10 Mbit/s. A collector that sent a total to all
 * hosts of its domain at once overran the queue of such a link, and a total of
 * which one datagram is missing is of no use. */
#define SEND_INTERVAL (10 * SR_MSEC)
#define SEND_BYTES_MAX 2560

/** work_t - engine time that the prompts of this host need at a service. */
typedef struct {
	double total_s; /* only grows */
	double rate;	/* s per s, moving average */
	sr_usec_t updated_at;
} work_t;

static void send_now(void *user, const char *address, const guint8 *data,
		     gsize size)
{
	sr_peer_send_datagram(((sr_fleet_t *)user)->peer, address, data, size);
}

gboolean sr_load_report_is_sending(const sr_fleet_t *fleet)
{
	return !sr_send_queue_is_empty(fleet->load_datagrams);
}

static void send_datagram(void *user, const char *address, const guint8 *data,
			  gsize size)
{
	sr_send_queue_push(((sr_fleet_t *)user)->load_datagrams, address, data,
			   size);
}

static const work_t *update_work(sr_fleet_t *fleet, const char *service,
				 double total_s)
{
	work_t *work = g_hash_table_lookup(fleet->engine_work, service);
	sr_usec_t now = sr_fleet_now(fleet);
	double elapsed_s;

	if (!work) {
		work = g_new0(work_t, 1);
		work->total_s = total_s;
		work->updated_at = now;
		g_hash_table_insert(fleet->engine_work, g_strdup(service),
				    work);
	}
	elapsed_s = (double)(now - work->updated_at) / SR_SEC;
	if (elapsed_s <= 0)
		return work;
	work->rate += (1 - exp(-elapsed_s / WORK_AVERAGE_S)) *
		      ((total_s - work->total_s) / elapsed_s - work->rate);
	work->total_s = total_s;
	work->updated_at = now;
	return work;
}

typedef struct {
	sr_fleet_t *fleet;
	sr_load_sum_t *sum;
} report_context_t;

static void add_work(void *user, const char *service, double total_s)
{
	const report_context_t *context = user;

	sr_load_sum_add_work(
		context->sum, service,
		update_work(context->fleet, service, total_s)->rate);
}

static void add_use(void *user, const char *account, unsigned pool,
		    const sr_allowance_use_t *use)
{
	sr_load_sum_add_use(((report_context_t *)user)->sum, account, pool,
			    use);
}

/* A host that knows few others takes itself for the holder of their pools. What
 * it says of these would be added to what their holders say. */
static gboolean knows_most_hosts(const sr_fleet_t *fleet)
{
	return sr_fleet_host_count(fleet) >=
	       REPORTED_USE_HOSTS_MIN * sr_fleet_sharing_hosts(fleet);
}

static sr_load_sum_t *own_load(sr_fleet_t *fleet)
{
	const GPtrArray *all =
		sr_instances_all(sr_gateway_instances(fleet->options.gateway));
	sr_load_sum_t *sum = sr_load_sum_new();
	report_context_t context = { fleet, sum };

	sr_gateway_foreach_prefill(fleet->options.gateway, add_work, &context);
	if (knows_most_hosts(fleet))
		sr_allowance_foreach_use(
			sr_gateway_allowance(fleet->options.gateway),
			sr_fleet_now(fleet), add_use, &context);
	sr_rollouts_add_evidence(fleet->rollouts, sum);
	for (guint i = 0; i < all->len; i++) {
		const sr_instance_t *instance = all->pdata[i];
		const sr_load_item_t item = {
			.in_flight = instance->in_flight,
			.pending_prompt_tokens =
				instance->pending_prompt_tokens,
		};

		if (instance->in_flight > 0)
			sr_load_sum_add_item(sum, instance->name, &item);
	}
	return sum;
}

static void note_use(void *user, const char *account, unsigned pool,
		     const sr_allowance_use_t *use)
{
	sr_fleet_t *fleet = user;

	sr_allowance_note_use(sr_gateway_allowance(fleet->options.gateway),
			      sr_fleet_now(fleet), account, pool, use);
}

/* Sets the load of the other hosts in the gateway's table of instances, and
 * what their pools have granted. Without a fresh total it is left to expire. */
static void apply_total(void *user)
{
	sr_fleet_t *fleet = user;
	sr_usec_t now = sr_fleet_now(fleet);
	const sr_load_sum_t *own;
	const sr_load_sum_t *total =
		sr_load_exchange_total(fleet->load_exchange, now, &own);
	const GPtrArray *all =
		sr_instances_all(sr_gateway_instances(fleet->options.gateway));

	if (total)
		sr_load_sum_foreach_use(total, note_use, fleet);
	for (guint i = 0; total && i < all->len; i++) {
		sr_instance_t *instance = all->pdata[i];
		sr_load_item_t sum = sr_load_sum_item(total, instance->name);
		sr_load_item_t mine = sr_load_sum_item(own, instance->name);

		instance->peers_in_flight =
			MAX(sum.in_flight - mine.in_flight, 0);
		instance->peers_pending_prompt_tokens = MAX(
			sum.pending_prompt_tokens - mine.pending_prompt_tokens,
			0);
		instance->peers_reported_at = now;
	}
}

void sr_load_report_init(sr_fleet_t *fleet)
{
	const sr_load_exchange_options_t options = {
		.node = fleet->options.node,
		.failure_domain = fleet->options.failure_domain,
		.incarnation = fleet->incarnation,
		.members = fleet->members,
		.datagram_max = SR_PEER_DATAGRAM_MAX,
		.send = send_datagram,
		.total_changed = apply_total,
		.user = fleet,
	};
	const sr_send_queue_options_t queue = {
		.clock = fleet->options.clock,
		.interval = SEND_INTERVAL,
		.bytes_max = SEND_BYTES_MAX,
		.send = send_now,
		.user = fleet,
	};

	fleet->load_datagrams = sr_send_queue_new(&queue);
	fleet->load_exchange =
		sr_load_exchange_new(&options, sr_fleet_now(fleet));
	fleet->engine_work =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void sr_load_report_clear(sr_fleet_t *fleet)
{
	sr_send_queue_free(fleet->load_datagrams);
	sr_load_exchange_free(fleet->load_exchange);
	g_hash_table_unref(fleet->engine_work);
}

static gboolean is_enough(const sr_fleet_t *fleet, unsigned n_included)
{
	return n_included > 0 &&
	       n_included >= KNOWN_FRACTION_MIN * sr_fleet_host_count(fleet);
}

const sr_load_sum_t *sr_load_report_total(const sr_fleet_t *fleet,
					  gboolean *is_known)
{
	const sr_load_sum_t *own;
	const sr_load_sum_t *total = sr_load_exchange_total(
		fleet->load_exchange, sr_fleet_now(fleet), &own);

	*is_known = total && is_enough(fleet, sr_load_sum_hosts(total));
	return total ? total : own;
}

/* Logs when the load of enough hosts becomes known, or stops being known. */
static void log_known(sr_fleet_t *fleet)
{
	const sr_load_sum_t *own;
	const sr_load_sum_t *total = sr_load_exchange_total(
		fleet->load_exchange, sr_fleet_now(fleet), &own);
	unsigned n_included = total ? sr_load_sum_hosts(total) : 0;
	gboolean is_known = is_enough(fleet, n_included);
	char included[16];
	char live[16];

	if (is_known == fleet->is_load_known)
		return;
	fleet->is_load_known = is_known;
	g_snprintf(included, sizeof(included), "%u", n_included);
	g_snprintf(live, sizeof(live), "%u", sr_fleet_host_count(fleet));
	sr_log_event(fleet->options.log, SR_LOG_INFO,
		     is_known ? "load-known" : "load-unknown", "hosts",
		     included, "live", live, NULL);
}

void sr_load_report_tick(sr_fleet_t *fleet)
{
	log_known(fleet);
	sr_load_exchange_tick(fleet->load_exchange, sr_fleet_now(fleet),
			      own_load(fleet));
}

gboolean sr_fleet_busy_instances(const sr_fleet_t *fleet, const char *service,
				 double *busy)
{
	const sr_load_sum_t *own;
	const sr_load_sum_t *total = sr_load_exchange_total(
		fleet->load_exchange, sr_fleet_now(fleet), &own);
	unsigned n_included = total ? sr_load_sum_hosts(total) : 0;

	*busy = 0;
	if (!is_enough(fleet, n_included))
		return FALSE;
	/* The load balancer spreads callers over all hosts, so those that are
	 * not included are assumed to cause the average of the others. */
	*busy = sr_load_sum_work(total, service) *
		MAX((double)sr_fleet_host_count(fleet) / n_included, 1);
	return TRUE;
}

/* While hosts restart in series, the holders of the pools may be among those
 * that this host doesn't know yet, or report nothing for that reason. */
static gboolean knows_recent_hosts(const sr_fleet_t *fleet)
{
	return sr_fleet_host_count(fleet) >=
	       REPORTED_USE_HOSTS_MIN * sr_fleet_recent_hosts(fleet);
}

gboolean sr_fleet_foreach_use(const sr_fleet_t *fleet,
			      void (*fn)(void *user, const char *account,
					 unsigned pool,
					 const sr_allowance_use_t *use),
			      void *user)
{
	const sr_load_sum_t *own;
	const sr_load_sum_t *total = sr_load_exchange_total(
		fleet->load_exchange, sr_fleet_now(fleet), &own);

	if (!total || !knows_recent_hosts(fleet) ||
	    sr_load_sum_hosts(total) <
		    USE_FRACTION_MIN * sr_fleet_host_count(fleet))
		return FALSE;
	sr_load_sum_foreach_use(total, fn, user);
	return TRUE;
}
