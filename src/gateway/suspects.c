#include "gateway/internal.h"

/** Source of a quarantine that this host has decided on, for the log. */
#define SOURCE_REPORTS "reports"

static void log_change(const sr_gateway_t *gateway, const char *event,
		       guint64 fingerprint, unsigned n_strikes,
		       const char *source)
{
	char text[SR_REQUEST_PRINT_TEXT_SIZE];
	char strikes[16];

	sr_request_print_format(fingerprint, text);
	g_snprintf(strikes, sizeof(strikes), "%u", n_strikes);
	sr_log_event(gateway->options.log, SR_LOG_WARN, event, "fingerprint",
		     text, "ended", strikes, "source", source, NULL);
	sr_gauge_set(gateway->metrics.quarantined,
		     sr_crash_suspects_n_quarantined(gateway->suspects));
}

static void on_quarantined(void *user, const sr_quarantine_t *quarantine)
{
	const sr_gateway_t *gateway = user;

	log_change(gateway, "quarantine-began", quarantine->fingerprint,
		   quarantine->n_strikes, SOURCE_REPORTS);
	if (gateway->options.suspect_quarantined)
		gateway->options.suspect_quarantined(gateway->options.user,
						     quarantine);
}

static void on_released(void *user, guint64 fingerprint)
{
	const sr_gateway_t *gateway = user;

	log_change(gateway, "quarantine-ended", fingerprint, 0, "instance");
	if (gateway->options.suspect_cleared)
		gateway->options.suspect_cleared(gateway->options.user,
						 fingerprint);
}

static gboolean on_may_probe(void *user, guint64 fingerprint)
{
	const sr_gateway_t *gateway = user;

	return !gateway->options.may_probe ||
	       gateway->options.may_probe(gateway->options.user, fingerprint);
}

void sr_gateway_create_suspects(sr_gateway_t *gateway)
{
	const sr_crash_suspects_options_t options = {
		.quarantined = on_quarantined,
		.released = on_released,
		.may_probe = on_may_probe,
		.user = gateway,
	};

	gateway->suspects = sr_crash_suspects_new(&options);
}

const sr_crash_suspects_t *sr_gateway_suspects(const sr_gateway_t *gateway)
{
	return gateway->suspects;
}

void sr_gateway_add_crash_report(sr_gateway_t *gateway,
				 const sr_crash_report_t *report)
{
	sr_crash_suspects_add(gateway->suspects, report);
}

void sr_gateway_report_crash(sr_gateway_t *gateway, sr_instance_t *instance,
			     const sr_crash_report_t *report)
{
	instance->reported_ended_at = report->ended_at;
	sr_gateway_add_crash_report(gateway, report);
	if (gateway->options.instance_ended)
		gateway->options.instance_ended(gateway->options.user, report);
}

void sr_gateway_instance_answered(sr_gateway_t *gateway,
				  sr_instance_t *instance)
{
	if (instance->reported_ended_at == 0 ||
	    sr_gateway_now(gateway) - instance->reported_ended_at <
		    SR_CRASH_REFUTE_TIME)
		return;
	instance->reported_ended_at = 0;
	sr_log_event(gateway->options.log, SR_LOG_INFO, "instance-not-ended",
		     "what", instance->name, "service", instance->service,
		     NULL);
	sr_crash_suspects_refute(gateway->suspects,
				 sr_instance_identity(instance));
}

/* Returns TRUE if the fingerprint was suspect. */
static gboolean clear(sr_gateway_t *gateway, guint64 fingerprint,
		      sr_usec_t survived_at, const char *source)
{
	unsigned n = sr_crash_suspects_n_quarantined(gateway->suspects);

	if (!sr_crash_suspects_clear(gateway->suspects, fingerprint,
				     survived_at))
		return FALSE;
	if (sr_crash_suspects_n_quarantined(gateway->suspects) < n)
		log_change(gateway, "quarantine-ended", fingerprint, 0, source);
	return TRUE;
}

void sr_gateway_clear_suspect(sr_gateway_t *gateway, guint64 fingerprint,
			      sr_usec_t survived_at)
{
	clear(gateway, fingerprint, survived_at, "peer");
}

static void survived(sr_gateway_t *gateway, guint64 fingerprint)
{
	if (clear(gateway, fingerprint, sr_gateway_now(gateway), "response") &&
	    gateway->options.suspect_cleared)
		gateway->options.suspect_cleared(gateway->options.user,
						 fingerprint);
}

void sr_gateway_request_survived(sr_gateway_t *gateway,
				 const sr_request_print_t *request,
				 gboolean with_parts)
{
	survived(gateway, request->request);
	for (unsigned i = 0; with_parts && i < request->n_parts; i++)
		survived(gateway, request->parts[i]);
}

gboolean sr_gateway_restore_quarantine(sr_gateway_t *gateway,
				       const sr_quarantine_t *quarantine,
				       sr_usec_t decided_at, const char *source)
{
	unsigned n = sr_crash_suspects_n_quarantined(gateway->suspects);

	if (!sr_crash_suspects_restore(gateway->suspects,
				       sr_gateway_now(gateway), quarantine,
				       decided_at))
		return FALSE;
	if (sr_crash_suspects_n_quarantined(gateway->suspects) > n)
		log_change(gateway, "quarantine-began", quarantine->fingerprint,
			   quarantine->n_strikes, source);
	return TRUE;
}
