#include "gateway/internal.h"

/** Time for the instance to take a connection, as for an attempt. One that does
 * not answer can't be reached; whether it has ended isn't known. */
#define CHECK_TIMEOUT (400 * SR_MSEC)

/** Requests that are kept for one check. */
#define REQUESTS_MAX 128

typedef struct {
	sr_crash_request_t request;
	gboolean is_answered; /* as far as can be told */
} checked_request_t;

typedef enum {
	INSTANCE_ALIVE,	  /* it takes connections */
	INSTANCE_ENDED,	  /* it refuses them */
	INSTANCE_CUT_OFF, /* so do all others: the path refuses them */
	INSTANCE_SILENT,  /* it can't be reached */
} outcome_t;

/** instance_check_t - a connection that shows whether an instance is there */
typedef struct {
	sr_list_t link; /* in gateway->instance_checks */
	sr_gateway_t *gateway;
	sr_instance_t *instance;
	sr_channel_t *channel;
	sr_timer_t *timer;
	GArray *requests; /* checked_request_t */
	sr_blame_t blame;
	sr_usec_t ended_at; /* 0 while it is connecting */
} instance_check_t;

static void free_check(instance_check_t *check)
{
	sr_list_remove(&check->link);
	sr_list_remove(&check->blame.link);
	sr_timer_cancel(check->timer);
	if (check->channel)
		sr_channel_reset(check->channel);
	sr_instance_unref(check->instance);
	g_array_unref(check->requests);
	g_free(check);
}

static void report(const instance_check_t *check)
{
	GArray *requests =
		g_array_new(FALSE, FALSE, sizeof(sr_crash_request_t));
	sr_crash_report_t crash = {
		.instance = sr_instance_identity(check->instance),
		.ended_at = check->ended_at,
		.n_requests = check->requests->len,
	};

	for (guint i = 0; i < check->requests->len; i++)
		g_array_append_val(requests, g_array_index(check->requests,
							   checked_request_t, i)
						     .request);
	crash.requests = (const sr_crash_request_t *)(void *)requests->data;
	sr_gateway_report_crash(check->gateway, check->instance, &crash);
	g_array_unref(requests);
}

static void clear_answered(const instance_check_t *check)
{
	for (guint i = 0; i < check->requests->len; i++) {
		const checked_request_t *request =
			&g_array_index(check->requests, checked_request_t, i);

		if (request->is_answered)
			sr_gateway_request_survived(
				check->gateway, &request->request.print, TRUE);
	}
}

static void conclude(instance_check_t *check, outcome_t outcome)
{
	static const char *const names[] = {
		[INSTANCE_ALIVE] = "alive",
		[INSTANCE_ENDED] = "ended",
		[INSTANCE_CUT_OFF] = "cut-off",
		[INSTANCE_SILENT] = "silent",
	};
	const sr_gateway_t *gateway = check->gateway;
	char n[16];

	g_snprintf(n, sizeof(n), "%u", check->requests->len);
	if (check->requests->len > 0)
		sr_log_event(gateway->options.log, SR_LOG_INFO,
			     "instance-checked", "what", check->instance->name,
			     "service", check->instance->service, "outcome",
			     names[outcome], "requests", n, NULL);
	switch (outcome) {
	case INSTANCE_ALIVE:
		sr_gateway_instance_reached(check->gateway, check->instance);
		clear_answered(check);
		break;
	case INSTANCE_ENDED:
		sr_counter_add(gateway->metrics.instances_ended, 1);
		report(check);
		break;
	case INSTANCE_CUT_OFF:
		break;
	case INSTANCE_SILENT:
		sr_gateway_instance_unreached(check->gateway, check->instance,
					      SR_REACH_TIMED_OUT);
		break;
	}
	free_check(check);
}

static void on_connected(void *user)
{
	conclude(user, INSTANCE_ALIVE);
}

static void on_decided(void *user, gboolean is_instance)
{
	conclude(user, is_instance ? INSTANCE_ENDED : INSTANCE_CUT_OFF);
}

static void on_ended(void *user, sr_channel_end_reason_t how)
{
	instance_check_t *check = user;

	(void)how;
	sr_timer_cancel(check->timer);
	check->timer = NULL;
	sr_channel_free(check->channel);
	check->channel = NULL;
	check->ended_at = sr_gateway_now(check->gateway);
	sr_gateway_instance_unreached(check->gateway, check->instance,
				      SR_REACH_REFUSED);
	if (check->requests->len == 0) {
		free_check(check);
		return;
	}
	check->blame.decided = on_decided;
	check->blame.user = check;
	sr_gateway_decide_blame(check->gateway, check->instance, &check->blame);
}

static void on_timeout(void *user)
{
	instance_check_t *check = user;

	check->timer = NULL;
	conclude(check, INSTANCE_SILENT);
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
	check->requests = g_array_new(FALSE, FALSE, sizeof(checked_request_t));
	sr_list_init(&check->blame.link);
	check->channel =
		sr_channel_connect(instance->address, &check_events, check);
	check->timer = sr_timer_start(gateway->options.clock,
				      check->channel ? CHECK_TIMEOUT : 0,
				      on_timeout, check);
	sr_list_append(&gateway->instance_checks, &check->link);
	return check;
}

void sr_gateway_probe_instance(sr_gateway_t *gateway, sr_instance_t *instance)
{
	if (!find_check(gateway, instance))
		start_check(gateway, instance);
}

void sr_gateway_check_instance(sr_gateway_t *gateway, sr_instance_t *instance,
			       const sr_crash_request_t *request,
			       gboolean is_answered)
{
	const checked_request_t checked = { *request, is_answered };
	instance_check_t *check;

	if (!sr_instance_is_present(instance))
		return;
	check = find_check(gateway, instance);
	if (!check)
		check = start_check(gateway, instance);
	if (check->requests->len < REQUESTS_MAX)
		g_array_append_val(check->requests, checked);
}

void sr_gateway_cancel_checks(sr_gateway_t *gateway)
{
	sr_list_for_each_safe (link, &gateway->instance_checks)
		free_check(sr_list_entry(link, instance_check_t, link));
}
