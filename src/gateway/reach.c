#include "gateway/internal.h"

static unsigned count_present(const sr_gateway_t *gateway, const char *service)
{
	const GPtrArray *list =
		sr_instances_of_service(gateway->instances, service);
	unsigned n = 0;

	for (guint i = 0; list && i < list->len; i++)
		n += sr_instance_is_present(list->pdata[i]);
	return n;
}

static void log_change(const sr_gateway_t *gateway, const char *event,
		       const char *service, unsigned n_present,
		       const char *evidence, sr_usec_t lasted)
{
	char present[16];
	char ms[24];

	g_snprintf(present, sizeof(present), "%u", n_present);
	g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT, lasted / SR_MSEC);
	sr_log_event(gateway->options.log, SR_LOG_WARN, event, "what", service,
		     "instances", present, "evidence", evidence, "after_ms", ms,
		     NULL);
}

void sr_gateway_instance_reached(sr_gateway_t *gateway,
				 const sr_instance_t *instance)
{
	sr_reach_t *reach =
		&sr_gateway_service_state(gateway, instance->service)->reach;
	sr_usec_t now = sr_gateway_now(gateway);
	sr_usec_t lasted = now - reach->changed_at;
	gboolean was_lost = reach->state == SR_REACH_LOST;

	if (!sr_reach_succeeded(reach, now) || !was_lost)
		return;
	sr_gauge_add(gateway->metrics.services_unreached, -1);
	log_change(gateway, "service-reached", instance->service,
		   count_present(gateway, instance->service), "connected",
		   lasted);
}

void sr_gateway_instance_unreached(sr_gateway_t *gateway,
				   const sr_instance_t *instance,
				   sr_reach_failure_t how)
{
	sr_reach_t *reach =
		&sr_gateway_service_state(gateway, instance->service)->reach;
	unsigned n_present = count_present(gateway, instance->service);
	sr_usec_t now = sr_gateway_now(gateway);
	sr_usec_t lasted = now - reach->changed_at;

	if (!sr_instance_is_present(instance) ||
	    !sr_reach_failed(reach, now, instance->id, how, n_present))
		return;
	sr_gauge_add(gateway->metrics.services_unreached, 1);
	log_change(gateway, "service-unreached", instance->service, n_present,
		   sr_reach_failure_name(how), lasted);
}
