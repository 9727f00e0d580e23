#include "core/evacuation/evacuations.h"
#include "fleet/fleet_internal.h"

static void apply(sr_fleet_t *fleet, const char *domain, guint64 version,
		  const char *source)
{
	char text[24];

	if (!sr_gateway_set_evacuation(fleet->options.gateway, domain, version))
		return;
	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, version / 2);
	sr_log_event(fleet->options.log, SR_LOG_INFO,
		     sr_evacuations_is_end(version) ?
			     "domain-evacuation-ended" :
			     "domain-evacuated",
		     "what", domain, "version", text, "source", source, NULL);
}

void sr_fleet_set_evacuation(sr_fleet_t *fleet, const char *domain,
			     guint64 revision, gboolean is_evacuated)
{
	guint64 version = sr_evacuations_version(revision, is_evacuated);

	apply(fleet, domain, version, "platform");
	sr_fleet_publish(fleet, SR_RUMOUR_STATUS, domain, version, "", 0);
}

void sr_evacuation_gossip_receive(sr_fleet_t *fleet, const sr_rumour_t *rumour)
{
	apply(fleet, rumour->key, rumour->version, "peer");
}

void sr_fleet_share_pace(sr_fleet_t *fleet, sr_instance_t *instance)
{
	unsigned most = sr_instance_pace_max_hosts(&instance->pace.bound);
	/* A host that knows no others yet would take the part of all. */
	gboolean is_known =
		instance->pace.bound.rate <= 0 || sr_fleet_is_settled(fleet);

	sr_instance_pace_set_sharing(
		&instance->pace,
		is_known ? sr_notice_gossip_sharing(fleet, instance, most) : 0,
		sr_fleet_now(fleet));
}

void sr_pace_tick(sr_fleet_t *fleet)
{
	const GPtrArray *all =
		sr_instances_all(sr_gateway_instances(fleet->options.gateway));

	for (guint i = 0; i < all->len; i++) {
		sr_instance_t *instance = all->pdata[i];

		if (instance->pace.is_paced)
			sr_fleet_share_pace(fleet, instance);
	}
}
