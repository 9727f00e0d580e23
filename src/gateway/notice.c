#include <string.h>

#include "gateway/internal.h"

/** Where a notice comes from, for the log. */
#define SOURCE_RESPONSE "response"
#define SOURCE_PEER "peer"

/** Largest rate limit that is accepted, in requests/s; one that is higher
 * limits nothing that a host could send. */
#define RATE_LIMIT_MAX 1e6

/* A value that is no number counts as absent. */
static gboolean read_rate_limit(const char *text, double *limit)
{
	char *end;

	if (!text)
		return FALSE;
	*limit = g_ascii_strtod(text, &end);
	return end > text && *end == '\0' && *limit >= 0 &&
	       *limit <= RATE_LIMIT_MAX;
}

static void log_limit(const sr_gateway_t *gateway,
		      const sr_instance_t *instance, const char *source)
{
	char rate[32];

	g_snprintf(rate, sizeof(rate), "%.3f", instance->notices.rate_limit);
	sr_log_event(gateway->options.log, SR_LOG_INFO,
		     instance->notices.is_limited ? "instance-limit" :
						    "instance-limit-ended",
		     "what", instance->name, "service", instance->service,
		     "rate_per_s", rate, "source", source, NULL);
}

static void log_leaving(const sr_gateway_t *gateway,
			const sr_instance_t *instance, const char *source)
{
	sr_log_event(gateway->options.log, SR_LOG_INFO, "instance-says-leaving",
		     "what", instance->name, "service", instance->service,
		     "source", source, NULL);
}

static void apply(sr_gateway_t *gateway, sr_instance_t *instance,
		  const sr_notice_t *notice, const char *source)
{
	unsigned changes = sr_instance_notices_hear(&instance->notices, notice,
						    sr_gateway_now(gateway));

	if (changes & SR_NOTICE_LIMIT_CHANGED)
		log_limit(gateway, instance, source);
	if (changes & SR_NOTICE_LEAVING)
		log_leaving(gateway, instance, source);
	if (changes && !strcmp(source, SOURCE_RESPONSE) &&
	    gateway->options.instance_noticed)
		gateway->options.instance_noticed(gateway->options.user,
						  instance);
}

void sr_gateway_apply_notice(sr_gateway_t *gateway, sr_instance_t *instance,
			     const sr_notice_t *notice)
{
	apply(gateway, instance, notice, SOURCE_PEER);
}

void sr_gateway_read_notices(sr_gateway_t *gateway, sr_instance_t *instance,
			     const sr_message_t *response)
{
	const sr_dialect_t *dialect = gateway->options.dialect;
	sr_notice_t notice = { 0 };

	if (dialect->leaving)
		notice.leaving = !g_strcmp0(
			sr_headers_get(response->headers, dialect->leaving),
			"1");
	if (dialect->rate_limit)
		notice.has_rate_limit = read_rate_limit(
			sr_headers_get(response->headers, dialect->rate_limit),
			&notice.rate_limit);
	apply(gateway, instance, &notice, SOURCE_RESPONSE);
}
