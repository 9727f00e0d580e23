#include "gateway/internal.h"

/** Time for the instance to take a connection, as for an attempt. An instance
 * that does not answer is counted among those that have ended. */
#define CHECK_TIMEOUT (400 * SR_MSEC)

/** Requests that are kept for one check. */
#define REQUESTS_MAX 128

/** instance_check_t - a connection that shows whether an instance is there */
typedef struct {
	sr_list_t link; /* in gateway->instance_checks */
	sr_gateway_t *gateway;
	sr_instance_t *instance;
	sr_channel_t *channel;
	sr_timer_t *timer;
	GArray *requests; /* sr_request_print_t, cut off by the instance */
} instance_check_t;

static void free_check(instance_check_t *check)
{
	sr_list_remove(&check->link);
	sr_timer_cancel(check->timer);
	if (check->channel)
		sr_channel_reset(check->channel);
	sr_instance_unref(check->instance);
	g_array_unref(check->requests);
	g_free(check);
}

static void conclude(instance_check_t *check, gboolean ended,
		     const char *outcome)
{
	const sr_gateway_t *gateway = check->gateway;
	char n[16];

	g_snprintf(n, sizeof(n), "%u", check->requests->len);
	sr_log_event(gateway->options.log, SR_LOG_INFO, "instance-checked",
		     "what", check->instance->name, "service",
		     check->instance->service, "outcome", outcome, "requests",
		     n, NULL);
	if (ended)
		sr_counter_add(gateway->metrics.instances_ended, 1);
	free_check(check);
}

static void on_connected(void *user)
{
	conclude(user, FALSE, "alive");
}

static void on_ended(void *user, sr_channel_end_reason_t how)
{
	(void)how;
	conclude(user, TRUE, "ended");
}

static void on_timeout(void *user)
{
	instance_check_t *check = user;

	check->timer = NULL;
	conclude(check, TRUE, "silent");
}

/* The events before the connection is established; the check ends then. */
static const sr_channel_events_t check_events = {
	.connected = on_connected,
	.ended = on_ended,
};

static instance_check_t *find_check(sr_gateway_t *gateway,
				    const sr_instance_t *instance)
{
	sr_list_for_each_safe (link, &gateway->instance_checks) {
		instance_check_t *check =
			sr_list_entry(link, instance_check_t, link);

		if (check->instance == instance)
			return check;
	}
	return NULL;
}

static instance_check_t *start_check(sr_gateway_t *gateway,
				     sr_instance_t *instance)
{
	instance_check_t *check = g_new0(instance_check_t, 1);

	check->gateway = gateway;
	check->instance = sr_instance_ref(instance);
	check->requests = g_array_new(FALSE, FALSE, sizeof(sr_request_print_t));
	check->channel =
		sr_channel_connect(instance->address, &check_events, check);
	check->timer = sr_timer_start(gateway->options.clock,
				      check->channel ? CHECK_TIMEOUT : 0,
				      on_timeout, check);
	sr_list_append(&gateway->instance_checks, &check->link);
	return check;
}

void sr_gateway_check_instance(sr_gateway_t *gateway, sr_instance_t *instance,
			       const sr_request_print_t *request)
{
	instance_check_t *check;

	if (!sr_instance_is_present(instance))
		return;
	check = find_check(gateway, instance);
	if (!check)
		check = start_check(gateway, instance);
	if (check->requests->len < REQUESTS_MAX)
		g_array_append_vals(check->requests, request, 1);
}

void sr_gateway_cancel_checks(sr_gateway_t *gateway)
{
	sr_list_for_each_safe (link, &gateway->instance_checks)
		free_check(sr_list_entry(link, instance_check_t, link));
}
