#include "daemon/control_internal.h"

#include <string.h>

#include "daemon/control_status.h"

/** Expiry of a published usage. */
#define USAGE_TTL (5 * SR_SEC)
/** Interval at which this node publishes an unchanged status. */
#define STATUS_INTERVAL (5 * SR_MINUTE)
/** Expiry of a published status. */
#define STATUS_TTL (15 * SR_MINUTE)
/** Minimum time between two statuses of a node, per known live node, so that
 * the rate of statuses that a node receives does not grow with the number of
 * nodes. */
#define STATUS_SPACING (250 * SR_MSEC)
/** Expiry of a host state: by then the host lists of all nodes show it. */
#define HOST_STATE_TTL (10 * SR_MINUTE)
/** Time after the start in which rumours and notices about an earlier host of
 * this name can still arrive. */
#define PREDECESSOR_WINDOW (30 * SR_SEC)
/** Versions of a host state per change count; see host_state_version(). */
#define HOST_STATE_RANKS 4

/* Returns the version of a known rumour, or 0. */
static guint64 known_version(sr_control_t *control, sr_rumour_kind_t kind,
			     const char *key)
{
	sr_rumour_t rumour;

	if (!sr_gossip_get(control->gossip, kind, key, &rumour))
		return 0;
	return rumour.version;
}

/*
 * Returns the next version of a rumour that only this node publishes. It is
 * higher than that of an earlier process, even if the incarnation of that
 * process came from a wall clock that was ahead.
 */
static guint64 next_own_version(sr_control_t *control, sr_rumour_kind_t kind,
				const char *key)
{
	guint64 next = control->incarnation + ++control->n_published;

	return MAX(next, known_version(control, kind, key) + 1);
}

void sr_control_put_rumour(sr_control_t *control, sr_rumour_kind_t kind,
			   const char *key, guint64 version, const void *value,
			   gsize size, sr_usec_t ttl)
{
	const sr_rumour_t rumour = {
		.kind = kind,
		.key = key,
		.version = version,
		.value = value,
		.size = size,
	};

	sr_gossip_put(control->gossip, sr_control_now(control), &rumour, ttl);
}

void sr_control_publish_status(sr_control_t *control)
{
	sr_node_status_t status = {
		.generation = sr_config_sync_generation(control->sync),
		.draining = control->draining,
	};
	const char *node = control->options.settings->node;
	guint8 value[SR_NODE_STATUS_SIZE];

	sr_node_status_encode(&status, value);
	sr_control_put_rumour(control, SR_RUMOUR_STATUS, node,
			      next_own_version(control, SR_RUMOUR_STATUS, node),
			      value, sizeof(value), STATUS_TTL);
	control->status_published_at = sr_control_now(control);
	control->next_status = control->status_published_at + STATUS_INTERVAL;
}

void sr_control_schedule_status(sr_control_t *control)
{
	sr_usec_t spacing =
		STATUS_SPACING * (sr_usec_t)sr_members_count(control->members);

	control->next_status = MIN(control->next_status,
				   control->status_published_at + spacing);
}

static void publish_account_usage(void *user, const char *account,
				  unsigned in_flight)
{
	sr_control_t *control = user;
	char *key = g_strdup_printf("%s/%s", control->options.settings->node,
				    account);
	guint32 value = GUINT32_TO_BE(in_flight);

	sr_control_put_rumour(control, SR_RUMOUR_USAGE, key,
			      next_own_version(control, SR_RUMOUR_USAGE, key),
			      &value, sizeof(value), USAGE_TTL);
	g_free(key);
}

static void receive_usage(sr_control_t *control, const sr_rumour_t *rumour)
{
	const char *slash = strchr(rumour->key, '/');
	guint32 value;
	char *node;

	if (!slash || rumour->size != sizeof(value))
		return;
	memcpy(&value, rumour->value, sizeof(value));
	node = g_strndup(rumour->key, (gsize)(slash - rumour->key));
	if (strcmp(node, control->options.settings->node) != 0)
		sr_dispatch_set_usage(control->options.dispatch, slash + 1,
				      node, GUINT32_FROM_BE(value),
				      sr_control_now(control));
	g_free(node);
}

/* States of the host of an upstream or entry host; the values are part of the
 * wire format. */
typedef enum {
	HOST_LEAVING = 'L',
	HOST_ABSENT = 'A',
	HOST_REPLACED = 'B', /* another host has the name now */
} host_state_t;

static void apply_host_state(sr_control_t *control, const char *host,
			     host_state_t state)
{
	sr_dispatch_t *dispatch = control->options.dispatch;

	switch (state) {
	case HOST_LEAVING:
		sr_dispatch_set_leaving(dispatch, host);
		break;
	case HOST_ABSENT:
		sr_dispatch_set_present(dispatch, host, FALSE);
		break;
	case HOST_REPLACED:
		/* clears the state of the earlier host of this name */
		sr_dispatch_set_present(dispatch, host, FALSE);
		sr_dispatch_set_present(dispatch, host, TRUE);
		break;
	}
}

/*
 * Several nodes publish the state of one host, and their clocks differ. A
 * version therefore counts the changes known to the publisher. Of two states
 * with the same count, the later one in the life of a host wins.
 */
static guint64 host_state_version(sr_control_t *control, const char *host,
				  host_state_t state)
{
	guint64 known = known_version(control, SR_RUMOUR_HOST_STATE, host);
	guint64 count = known / HOST_STATE_RANKS + 1;

	switch (state) {
	case HOST_LEAVING:
		return count * HOST_STATE_RANKS;
	case HOST_ABSENT:
		return count * HOST_STATE_RANKS + 1;
	case HOST_REPLACED:
		return count * HOST_STATE_RANKS + 2;
	}
	g_assert_not_reached();
}

static void publish_host_state(sr_control_t *control, const char *host,
			       host_state_t state)
{
	guint8 value = (guint8)state;

	if (state == HOST_ABSENT)
		g_hash_table_add(control->reported_absent, g_strdup(host));
	else if (state == HOST_REPLACED)
		g_hash_table_remove(control->reported_absent, host);
	sr_control_put_rumour(control, SR_RUMOUR_HOST_STATE, host,
			      host_state_version(control, host, state), &value,
			      sizeof(value), HOST_STATE_TTL);
	apply_host_state(control, host, state);
}

/*
 * A reclaim of this host is a planned stop. One that is reported right after
 * the start concerns an earlier host of the same name and is refuted.
 */
static void handle_own_reclaim(sr_control_t *control)
{
	const char *node = control->options.settings->node;

	if (sr_control_now(control) - control->started < PREDECESSOR_WINDOW)
		publish_host_state(control, node, HOST_REPLACED);
	else
		control->options.drain(control->options.user);
}

static gboolean is_own_host(const sr_control_t *control, const char *host)
{
	return !strcmp(host, control->options.settings->node);
}

static void receive_host_state(sr_control_t *control, const sr_rumour_t *rumour)
{
	host_state_t state;

	if (rumour->size != 1)
		return;
	state = (host_state_t)rumour->value[0];
	apply_host_state(control, rumour->key, state);
	if (state == HOST_LEAVING && is_own_host(control, rumour->key))
		handle_own_reclaim(control);
}

void sr_control_on_rumour(void *user, const sr_rumour_t *rumour)
{
	sr_control_t *control = user;

	switch (rumour->kind) {
	case SR_RUMOUR_CONFIG:
		sr_config_sync_rumour_received(control->sync, rumour->version,
					       rumour->value, rumour->size);
		break;
	case SR_RUMOUR_HOST_STATE:
		receive_host_state(control, rumour);
		break;
	case SR_RUMOUR_USAGE:
		receive_usage(control, rumour);
		break;
	case SR_RUMOUR_STATUS:
		break;		    /* read by sr_control_status() */
	case SR_RUMOUR_ROUTE_TABLE: /* only used by the gateway */
	case SR_RUMOUR_INSTANCE:
	case SR_RUMOUR_DEMAND:
	case SR_RUMOUR_DOMAIN_SIZE:
	case SR_RUMOUR_REPORTED:
		break;
	case SR_RUMOUR_RECALL:
	case SR_RUMOUR_SHARD_OWNER:
	case SR_RUMOUR_EVIDENCE:
	case SR_RUMOUR_ROLLOUT:
	case SR_RUMOUR_N_KINDS:
		control->options.rumour_received(control->options.user, rumour);
		break;
	}
}

/* An upstream has the name of its host, so that host identifies both. */
void sr_control_on_host_leaving(void *user, const char *host,
				sr_usec_t remaining)
{
	sr_control_t *control = user;
	char seconds[24];

	g_snprintf(seconds, sizeof(seconds), "%.1f",
		   (double)remaining / SR_SEC);
	sr_log_event(control->options.log, SR_LOG_INFO, "host-leaving", "host",
		     host, "in_s", seconds, NULL);
	publish_host_state(control, host, HOST_LEAVING);
	if (is_own_host(control, host))
		handle_own_reclaim(control);
}

/* Publishes changes only: the first host list reports all hosts as present. */
void sr_control_on_host_presence_changed(void *user, const sr_host_t *host,
					 gboolean present)
{
	sr_control_t *control = user;

	if (!present)
		publish_host_state(control, host->name, HOST_ABSENT);
	else if (g_hash_table_contains(control->reported_absent, host->name))
		publish_host_state(control, host->name, HOST_REPLACED);
	else
		sr_dispatch_set_present(control->options.dispatch, host->name,
					TRUE);
}

void sr_control_publish_usage(sr_control_t *control)
{
	sr_dispatch_foreach_usage(control->options.dispatch,
				  publish_account_usage, control);
}
