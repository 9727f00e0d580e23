#include <string.h>

#include "gateway/internal.h"

/** Longest time for which an instance may turn this host away, and the part by
 * which hosts return later at random, so that they don't all come at once. */
#define BACK_OFF_MAX_S 300.0
#define BACK_OFF_JITTER 0.1

/** Where a notice comes from, for the log. */
#define SOURCE_RESPONSE "response"
#define SOURCE_PEER "peer"
#define SOURCE_SERVICE "service" /* other instances of it */

/** Largest number of rejections that is accepted. */
#define REJECTIONS_MAX 1e6

/** Largest rate limit that is accepted, in requests/s; one that is higher
 * limits nothing that a host could send. */
#define RATE_LIMIT_MAX 1e6

/* A value that is no number counts as absent. */
static gboolean read_number(const char *text, double max, double *number)
{
	char *end;

	*number = 0;
	if (!text)
		return FALSE;
	*number = g_ascii_strtod(text, &end);
	if (end > text && *end == '\0' && *number >= 0 && *number <= max)
		return TRUE;
	*number = 0;
	return FALSE;
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

/* Of a response with status 503; 0 without a valid time. */
static sr_usec_t read_back_off(sr_gateway_t *gateway,
			       const sr_message_t *response)
{
	const char *text = sr_headers_get(response->headers, "Retry-After");
	double jitter = 1 + BACK_OFF_JITTER * g_rand_double(gateway->rng);
	double seconds;
	char *end;

	if (response->status != 503 || !text)
		return 0;
	seconds = g_ascii_strtod(text, &end);
	if (end == text || *end != '\0' || !(seconds > 0))
		return 0;
	return (sr_usec_t)(MIN(seconds, BACK_OFF_MAX_S) * jitter * SR_SEC);
}

static void log_back_off(const sr_gateway_t *gateway,
			 const sr_instance_t *instance)
{
	char ms[24];

	g_snprintf(
		ms, sizeof(ms), "%" G_GINT64_FORMAT,
		(instance->notices.back_off_until - sr_gateway_now(gateway)) /
			SR_MSEC);
	sr_log_event(gateway->options.log, SR_LOG_INFO, "instance-back-off",
		     "what", instance->name, "service", instance->service, "ms",
		     ms, NULL);
}

static void log_leaving(const sr_gateway_t *gateway,
			const sr_instance_t *instance, const char *source)
{
	sr_log_event(gateway->options.log, SR_LOG_INFO, "instance-says-leaving",
		     "what", instance->name, "service", instance->service,
		     "source", source, NULL);
}

static sr_instance_room_t room_of(sr_gateway_t *gateway,
				  const sr_instance_t *instance)
{
	double all = sr_placement_in_flight(instance, sr_gateway_now(gateway));
	gboolean is_known =
		sr_placement_knows_peers(instance, sr_gateway_now(gateway));

	return (sr_instance_room_t){
		.slots = instance->slots,
		.n_hosts = gateway->n_hosts,
		.in_flight = instance->in_flight,
		.peers_in_flight = is_known ? all - instance->in_flight : -1,
		.known_after = (double)gateway->load_delay *
			       SR_INSTANCE_ROOM_UPDATES_PER_S / SR_SEC,
		.random = g_rand_double(gateway->rng),
	};
}

static void change_brittle(sr_gateway_t *gateway, sr_instance_t *instance,
			   const char *source)
{
	sr_gateway_service_state_t *state =
		sr_gateway_service_state(gateway, instance->service);
	const sr_instance_room_t room = room_of(gateway, instance);
	char most[32];
	char text[16];

	state->is_brittle = instance->notices.is_brittle;
	state->rejections_max = instance->notices.rejections_max;
	if (instance->notices.is_brittle)
		sr_instance_notices_begin_room(&instance->notices, &room);
	g_snprintf(most, sizeof(most), "%.1f",
		   instance->notices.rejections_max);
	g_snprintf(text, sizeof(text), "%u", instance->notices.room);
	sr_log_event(gateway->options.log, SR_LOG_INFO,
		     instance->notices.is_brittle ? "instance-brittle" :
						    "instance-brittle-ended",
		     "what", instance->name, "service", instance->service,
		     "rejections_per_s", most, "room", text, "source", source,
		     NULL);
}

void sr_gateway_instance_is_full(sr_gateway_t *gateway, sr_instance_t *instance)
{
	sr_instance_room_t room = room_of(gateway, instance);

	room.in_flight--;
	if (instance->notices.is_brittle)
		sr_instance_notices_rejected(&instance->notices, &room);
}

void sr_gateway_update_rooms(sr_gateway_t *gateway)
{
	const GPtrArray *all = sr_instances_all(gateway->instances);

	for (guint i = 0; i < all->len; i++) {
		sr_instance_t *instance = all->pdata[i];

		if (instance->notices.is_brittle) {
			const sr_instance_room_t room =
				room_of(gateway, instance);

			sr_instance_notices_update_room(&instance->notices,
							&room);
		}
	}
}

static void apply(sr_gateway_t *gateway, sr_instance_t *instance,
		  const sr_notice_t *notice, const char *source)
{
	unsigned changes = sr_instance_notices_hear(&instance->notices, notice,
						    sr_gateway_now(gateway));
	gboolean is_news = instance->notices.is_assumed ||
			   (changes & ~SR_NOTICE_BACK_OFF) != 0;

	instance->notices.is_assumed = FALSE;
	if (changes & SR_NOTICE_LIMIT_CHANGED)
		log_limit(gateway, instance, source);
	if (changes & SR_NOTICE_BRITTLE_CHANGED)
		change_brittle(gateway, instance, source);
	if (changes & SR_NOTICE_LEAVING)
		log_leaving(gateway, instance, source);
	if (changes & SR_NOTICE_BACK_OFF)
		log_back_off(gateway, instance);
	if (is_news && !strcmp(source, SOURCE_RESPONSE) &&
	    gateway->options.instance_noticed)
		gateway->options.instance_noticed(gateway->options.user,
						  instance);
}

void sr_gateway_apply_notice(sr_gateway_t *gateway, sr_instance_t *instance,
			     const sr_notice_t *notice)
{
	apply(gateway, instance, notice, SOURCE_PEER);
}

void sr_gateway_expect_notices(sr_gateway_t *gateway, sr_instance_t *instance)
{
	const sr_gateway_service_state_t *state =
		sr_gateway_service_state(gateway, instance->service);
	const sr_notice_t notice = {
		.is_brittle = state->is_brittle,
		.rejections_max = state->rejections_max,
	};

	apply(gateway, instance, &notice, SOURCE_SERVICE);
	instance->notices.is_assumed = instance->notices.is_brittle;
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
		notice.has_rate_limit = read_number(
			sr_headers_get(response->headers, dialect->rate_limit),
			RATE_LIMIT_MAX, &notice.rate_limit);
	if (dialect->brittle)
		notice.is_brittle = read_number(
			sr_headers_get(response->headers, dialect->brittle),
			REJECTIONS_MAX, &notice.rejections_max);
	notice.back_off = read_back_off(gateway, response);
	apply(gateway, instance, &notice, SOURCE_RESPONSE);
}
