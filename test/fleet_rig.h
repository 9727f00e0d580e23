#ifndef SR_TEST_FLEET_RIG_H
#define SR_TEST_FLEET_RIG_H

/**
 * fleet_rig - entry hosts on loopback, in one main loop, without callers or
 * instances
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <gio/gio.h>

#include "fleet/fleet_internal.h"

#define CLUSTER "c"
#define SECRET "0123456789abcdef"

typedef struct {
	sr_metrics_t *metrics;
	sr_log_t *log;
	sr_gateway_t *gateway;
	sr_fleet_t *fleet;
	GPtrArray *seeds;
	GHashTable *values; /* key -> GBytes */
} host_t;

static sr_route_table_t *decode_nothing(GBytes *text)
{
	(void)text;
	return NULL;
}

static void on_behind(void *user)
{
	(void)user;
}

/* Values of the host, by key. */
static GBytes *fetch_value(void *user, const char *key)
{
	GBytes *value = g_hash_table_lookup(user, key);

	return value ? g_bytes_ref(value) : NULL;
}

static gboolean on_timeout(gpointer data)
{
	*(gboolean *)data = TRUE;
	return G_SOURCE_REMOVE;
}

static void run_for(unsigned ms)
{
	gboolean timed_out = FALSE;

	g_timeout_add(ms, on_timeout, &timed_out);
	while (!timed_out)
		g_main_context_iteration(NULL, TRUE);
}

static int unused_port(void)
{
	GSocketListener *listener = g_socket_listener_new();
	int port = g_socket_listener_add_any_inet_port(listener, NULL, NULL);

	g_socket_listener_close(listener);
	g_object_unref(listener);
	return port;
}

static void host_init(host_t *host, sr_clock_t *clock, const char *node,
		      const char *failure_domain, const char *address,
		      const char *seed)
{
	const sr_allowance_tolerance_t tolerance = { .window = 8 * SR_SEC,
						     .overage = 0.1 };
	sr_log_options_t log = { .out = stderr,
				 .clock = clock,
				 .level = SR_LOG_ERROR };
	sr_gateway_options_t gateway = { .node = node,
					 .failure_domain = failure_domain,
					 .clock = clock };
	sr_fleet_options_t fleet = {
		.node = node,
		.failure_domain = failure_domain,
		.peer_address = address,
		.cluster = CLUSTER,
		.secret = (const guint8 *)SECRET,
		.secret_size = strlen(SECRET),
		.decode = decode_nothing,
		.behind = on_behind,
		.fetch = fetch_value,
		.clock = clock,
		.seed = 1,
	};
	char *problem = NULL;
	sr_allowance_t *allowance;

	host->values = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     (GDestroyNotify)g_bytes_unref);
	fleet.user = host->values;
	host->seeds = g_ptr_array_new();
	g_ptr_array_add(host->seeds, (char *)seed);
	host->metrics = sr_metrics_new();
	host->log = sr_log_new(&log);
	gateway.metrics = fleet.metrics = host->metrics;
	gateway.log = fleet.log = host->log;
	host->gateway = sr_gateway_new(&gateway);
	allowance = sr_gateway_allowance(host->gateway);
	sr_allowance_enable_pools(allowance);
	sr_allowance_set_tolerance(allowance, &tolerance);
	fleet.gateway = host->gateway;
	fleet.seeds = host->seeds;
	host->fleet = sr_fleet_new(&fleet, &problem);
	assert_non_null(host->fleet);
}

static void host_clear(host_t *host)
{
	sr_fleet_free(host->fleet);
	sr_gateway_free(host->gateway);
	sr_log_free(host->log);
	sr_metrics_free(host->metrics);
	g_ptr_array_unref(host->seeds);
	g_hash_table_unref(host->values);
}

#endif
