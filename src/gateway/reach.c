#include "gateway/internal.h"

/** Instances that are probed at once on the first sign that the path may be
 * down, and again when several have failed: enough to tell it from the fault of
 * some of them. */
#define PROBES_AT_ONCE SR_REACH_FAILURES

/** Instances that are probed each time while none is reached. */
#define PROBES_LATER 2

/** Interval between these probes, which doubles up to a maximum, and the part
 * of it that is added at random. */
#define PROBE_INTERVAL_MIN (250 * SR_MSEC)
#define PROBE_INTERVAL_MAX (1000 * SR_MSEC)
#define PROBE_JITTER 0.25

/** Silence of all instances of a service, with a request waiting, after which
 * one is probed; not more often than the interval. */
#define SILENCE_MIN (750 * SR_MSEC)
#define SILENCE_PROBE_INTERVAL (2 * SR_SEC)

/** Time in which probes show whether the path is up; an instance that failed is
 * blamed if they don't. */
#define BLAME_TIMEOUT SR_SEC

/** Services with fewer instances can't show that the path failed. */
#define BLAME_INSTANCES_MIN 3

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

/* Probes up to n instances, in turn. */
static void probe(sr_gateway_service_state_t *state, unsigned n)
{
	const GPtrArray *list = sr_instances_of_service(
		state->gateway->instances, state->service);
	guint len = list ? list->len : 0;

	for (guint i = 0; i < len && n > 0; i++) {
		sr_instance_t *instance =
			list->pdata[state->next_probe++ % len];

		if (!sr_instance_is_present(instance))
			continue;
		sr_gateway_probe_instance(state->gateway, instance);
		n--;
	}
}

static void on_probe_timer(void *user);

static void schedule_probe(sr_gateway_service_state_t *state)
{
	double jitter = 1 + PROBE_JITTER * g_rand_double(state->gateway->rng);

	state->probe_timer = sr_timer_start(
		state->gateway->options.clock,
		(sr_usec_t)((double)state->probe_interval * jitter),
		on_probe_timer, state);
	state->probe_interval =
		MIN(2 * state->probe_interval, PROBE_INTERVAL_MAX);
}

/* While the service is reached, the timer only limits the rate of probes. */
static void on_probe_timer(void *user)
{
	sr_gateway_service_state_t *state = user;

	state->probe_timer = NULL;
	if (state->reach.state != SR_REACH_LOST)
		return;
	probe(state, PROBES_LATER);
	schedule_probe(state);
}

void sr_gateway_probe_service(sr_gateway_t *gateway, const char *service)
{
	sr_gateway_service_state_t *state =
		sr_gateway_service_state(gateway, service);

	if (state->probe_timer)
		return;
	state->probe_interval = PROBE_INTERVAL_MIN;
	if (state->next_probe == 0) /* not the same one first at all hosts */
		state->next_probe = g_rand_int(gateway->rng);
	probe(state, PROBES_AT_ONCE);
	schedule_probe(state);
}

/* Decides all but those of one instance, 0 for none. */
static void decide_blames(sr_gateway_service_state_t *state, guint32 except,
			  gboolean is_instance)
{
	sr_list_for_each_safe (link, &state->blames) {
		sr_blame_t *blame = sr_list_entry(link, sr_blame_t, link);

		if (blame->instance == except)
			continue;
		sr_list_remove(link);
		blame->decided(blame->user, is_instance);
	}
	if (!sr_list_is_empty(&state->blames))
		return;
	sr_timer_cancel(state->blame_timer);
	state->blame_timer = NULL;
}

static void on_blame_timer(void *user)
{
	sr_gateway_service_state_t *state = user;

	state->blame_timer = NULL;
	decide_blames(state, 0, TRUE);
}

void sr_gateway_decide_blame(sr_gateway_t *gateway,
			     const sr_instance_t *instance, sr_blame_t *blame)
{
	sr_gateway_service_state_t *state =
		sr_gateway_service_state(gateway, instance->service);
	unsigned n_present = count_present(gateway, instance->service);

	sr_list_init(&blame->link);
	blame->instance = instance->id;
	if (n_present < BLAME_INSTANCES_MIN) {
		blame->decided(blame->user, TRUE);
		return;
	}
	if (state->reach.state == SR_REACH_LOST) {
		blame->decided(blame->user, FALSE);
		return;
	}
	sr_list_append(&state->blames, &blame->link);
	if (state->blame_timer)
		return;
	state->blame_timer = sr_timer_start(
		gateway->options.clock, BLAME_TIMEOUT, on_blame_timer, state);
	probe(state, PROBES_AT_ONCE);
}

void sr_gateway_instance_heard(sr_gateway_t *gateway,
			       const sr_instance_t *instance)
{
	sr_gateway_service_state(gateway, instance->service)->heard_at =
		sr_gateway_now(gateway);
}

void sr_gateway_notice_silence(sr_gateway_t *gateway, const char *service,
			       sr_usec_t since)
{
	sr_gateway_service_state_t *state =
		sr_gateway_service_state(gateway, service);
	sr_usec_t now = sr_gateway_now(gateway);

	if (now - MAX(since, state->heard_at) < SILENCE_MIN ||
	    now - MAX(state->reached_at, state->silence_probed_at) <
		    SILENCE_PROBE_INTERVAL)
		return;
	state->silence_probed_at = now;
	probe(state, 1);
}

void sr_gateway_cancel_probes(sr_gateway_t *gateway)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gateway->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sr_gateway_service_state_t *state = value;

		sr_timer_cancel(state->probe_timer);
		state->probe_timer = NULL;
		decide_blames(state, 0, FALSE);
	}
}

gboolean sr_gateway_reaches(sr_gateway_t *gateway, const char *service)
{
	return sr_gateway_service_state(gateway, service)->reach.state !=
	       SR_REACH_LOST;
}

/* The path was down, from at most SR_REACH_FAILURE_AGE_MAX before it was taken
 * to be. */
static void end_ejections(sr_gateway_t *gateway, const char *service,
			  sr_usec_t lost_at)
{
	const GPtrArray *list =
		sr_instances_of_service(gateway->instances, service);

	for (guint i = 0; list && i < list->len; i++) {
		sr_instance_t *instance = list->pdata[i];

		if (instance->unreached_at > 0 &&
		    instance->unreached_at >=
			    lost_at - SR_REACH_FAILURE_AGE_MAX)
			sr_ejection_end(&instance->ejection,
					sr_gateway_now(gateway));
	}
}

void sr_gateway_instance_reached(sr_gateway_t *gateway,
				 const sr_instance_t *instance)
{
	sr_gateway_service_state_t *state =
		sr_gateway_service_state(gateway, instance->service);
	sr_reach_t *reach = &state->reach;
	sr_usec_t now = sr_gateway_now(gateway);
	sr_usec_t changed_at = reach->changed_at;
	gboolean was_lost = reach->state == SR_REACH_LOST;

	state->reached_at = now;
	decide_blames(state, instance->id, TRUE);
	if (!sr_reach_succeeded(reach, now) || !was_lost)
		return;
	end_ejections(gateway, instance->service, changed_at);
	sr_gauge_add(gateway->metrics.services_unreached, -1);
	log_change(gateway, "service-reached", instance->service,
		   count_present(gateway, instance->service), "connected",
		   now - changed_at);
}

void sr_gateway_instance_unreached(sr_gateway_t *gateway,
				   sr_instance_t *instance,
				   sr_reach_failure_t how)
{
	sr_gateway_service_state_t *state =
		sr_gateway_service_state(gateway, instance->service);
	sr_reach_t *reach = &state->reach;
	unsigned n_present = count_present(gateway, instance->service);
	sr_usec_t now = sr_gateway_now(gateway);
	sr_usec_t lasted = now - reach->changed_at;

	if (!sr_instance_is_present(instance))
		return;
	instance->unreached_at = now;
	sr_gateway_pace_unreached(gateway, instance);
	sr_gateway_probe_service(gateway, instance->service);
	if (!sr_reach_failed(reach, now, instance->id, how, n_present))
		return;
	sr_gauge_add(gateway->metrics.services_unreached, 1);
	log_change(gateway, "service-unreached", instance->service, n_present,
		   sr_reach_failure_name(how), lasted);
	decide_blames(state, 0, FALSE);
	probe(state, PROBES_AT_ONCE);
}
