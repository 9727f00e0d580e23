#include "gateway/internal.h"

/** Service name under which hosts are listed. */
#define RELAY_SERVICE "relay"

/** Requests by which a host of another failure domain may be less loaded and
 * still be passed over for one of the own domain. */
#define OWN_DOMAIN_ADVANTAGE 2

/** Time for which a host that reaches no instance itself is not asked; after it
 * hosts that were not found so are asked first for a while. */
#define UNREACHED_BACK_OFF SR_SEC
#define UNREACHED_MEMORY (10 * SR_SEC)
#define UNREACHED_COST 8

void sr_gateway_add_relay_host(sr_gateway_t *gateway, const char *name,
			       const char *failure_domain, const char *address)
{
	const sr_registration_t entry = {
		.name = name,
		.service = RELAY_SERVICE,
		.address = address,
		.failure_domain = failure_domain,
		.version = "",
		.revision = ++gateway->n_relay_changes,
	};

	sr_instances_register(gateway->relay_hosts, &entry,
			      sr_gateway_now(gateway));
}

void sr_gateway_remove_relay_host(sr_gateway_t *gateway, const char *name)
{
	const sr_instance_t *host =
		sr_instances_find(gateway->relay_hosts, name);

	if (!host)
		return;
	sr_connection_pool_evict(gateway->relay_pool, host->id);
	sr_instances_remove(gateway->relay_hosts, name,
			    ++gateway->n_relay_changes);
}

static gboolean was_tried(const GArray *tried, guint32 id)
{
	for (guint i = 0; i < tried->len; i++) {
		if (g_array_index(tried, guint32, i) == id)
			return TRUE;
	}
	return FALSE;
}

static unsigned cost_of(const sr_gateway_t *gateway, const sr_instance_t *host)
{
	unsigned cost = host->in_flight;
	sr_usec_t unreached_at =
		host->notices.back_off_until - UNREACHED_BACK_OFF;

	if (g_strcmp0(host->failure_domain, gateway->options.failure_domain))
		cost += OWN_DOMAIN_ADVANTAGE;
	if (unreached_at > 0 &&
	    sr_gateway_now(gateway) - unreached_at < UNREACHED_MEMORY)
		cost += UNREACHED_COST;
	return cost;
}

sr_instance_t *sr_gateway_pick_relay_host(sr_gateway_t *gateway,
					  const GArray *tried)
{
	const GPtrArray *all = sr_instances_all(gateway->relay_hosts);
	sr_usec_t now = sr_gateway_now(gateway);
	guint first = (guint)(g_rand_double(gateway->rng) * all->len);
	sr_instance_t *best = NULL;

	for (guint i = 0; i < all->len; i++) {
		sr_instance_t *host = all->pdata[(i + first) % all->len];

		if (was_tried(tried, host->id) ||
		    !sr_instance_is_usable(host, now) ||
		    !sr_instance_notices_allow(&host->notices, now))
			continue;
		if (!best || cost_of(gateway, host) < cost_of(gateway, best))
			best = host;
	}
	return best;
}

void sr_gateway_relay_host_unreached(sr_gateway_t *gateway, sr_instance_t *host)
{
	const sr_notice_t notice = { .back_off = UNREACHED_BACK_OFF };

	sr_instance_notices_hear(&host->notices, &notice,
				 sr_gateway_now(gateway));
}
