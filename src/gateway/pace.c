#include "gateway/internal.h"

/** Time after a failed connection for which an instance may be back without its
 * new registration: its interval of registrations, the delay of the registry,
 * and the two seconds of an ejection. */
#define UNREACHED_TIME (5 * SR_SEC)

/* FALSE if the platform names nothing about cold instances of the service. */
static gboolean get_warm_up(const sr_gateway_t *gateway, const char *service,
			    sr_warm_up_t *warm_up)
{
	const sr_gateway_service_t *found =
		gateway->table ?
			sr_route_table_service(gateway->table, service) :
			NULL;

	if (!found || found->warm_up.duration <= 0)
		return FALSE;
	*warm_up = found->warm_up;
	return TRUE;
}

static void log_pace(const sr_gateway_t *gateway, const char *event,
		     const sr_instance_t *instance, const char *cause,
		     sr_usec_t lasts, double window)
{
	char window_text[24];
	char ms[24];

	g_snprintf(window_text, sizeof(window_text), "%.0f", window);
	g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT, lasts / SR_MSEC);
	sr_log_event(gateway->options.log, SR_LOG_INFO, event, "what",
		     instance->name, "service", instance->service, "cause",
		     cause, "ms", ms, "window", window_text, NULL);
}

static void begin(sr_gateway_t *gateway, sr_instance_t *instance,
		  const sr_warm_up_t *warm_up, sr_usec_t lasts,
		  const char *cause)
{
	const sr_pace_bound_t bound = {
		.rate = warm_up->rate,
		.overage = gateway->options.warm_up_overage,
		.slack = gateway->options.warm_up_slack,
	};
	sr_usec_t now = sr_gateway_now(gateway);

	if (!sr_instance_pace_begin(&instance->pace, &bound, now + lasts, now))
		return;
	log_pace(gateway, "instance-paced", instance, cause, lasts,
		 instance->pace.window);
	if (gateway->options.instance_paced)
		gateway->options.instance_paced(gateway->options.user,
						instance);
}

void sr_gateway_pace_registered(sr_gateway_t *gateway, const char *name,
				sr_usec_t cold_for)
{
	sr_instance_t *instance = sr_instances_find(gateway->instances, name);
	sr_warm_up_t warm_up;

	if (instance && cold_for > 0 &&
	    get_warm_up(gateway, instance->service, &warm_up))
		begin(gateway, instance, &warm_up, cold_for, "registration");
}

void sr_gateway_pace_unreached(sr_gateway_t *gateway, sr_instance_t *instance)
{
	sr_warm_up_t warm_up;

	if (get_warm_up(gateway, instance->service, &warm_up))
		begin(gateway, instance, &warm_up, UNREACHED_TIME, "unreached");
}

gboolean sr_gateway_set_evacuation(sr_gateway_t *gateway, const char *domain,
				   guint64 version)
{
	const GPtrArray *all = sr_instances_all(gateway->instances);
	sr_warm_up_t warm_up;

	if (!sr_instances_set_evacuation(gateway->instances, domain, version))
		return FALSE;
	sr_gauge_set(gateway->metrics.evacuated_domains,
		     sr_instances_count_evacuated(gateway->instances));
	if (sr_instances_is_evacuated(gateway->instances, domain))
		return TRUE;
	for (guint i = 0; i < all->len; i++) {
		sr_instance_t *instance = all->pdata[i];

		if (!g_strcmp0(instance->failure_domain, domain) &&
		    get_warm_up(gateway, instance->service, &warm_up))
			begin(gateway, instance, &warm_up, warm_up.duration,
			      "evacuated");
	}
	return TRUE;
}

void sr_gateway_update_paces(sr_gateway_t *gateway)
{
	const GPtrArray *all = sr_instances_all(gateway->instances);
	sr_usec_t now = sr_gateway_now(gateway);
	unsigned n_paced = 0;

	for (guint i = 0; i < all->len; i++) {
		sr_instance_t *instance = all->pdata[i];
		sr_usec_t over = now - instance->pace.until;

		double window = instance->pace.window;

		if (sr_instance_pace_update(&instance->pace, instance->slots,
					    now))
			log_pace(gateway, "instance-pace-ended", instance,
				 "time", over, window);
		n_paced += instance->pace.is_paced;
	}
	sr_gauge_set(gateway->metrics.paced, n_paced);
}
