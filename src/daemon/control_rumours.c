#include "daemon/control_internal.h"

#include <string.h>

#include "daemon/control_status.h"

#define USAGE_TTL (5 * SR_SEC)
/** Time between two tellings of this node's status, if nothing changes. */
#define STATUS_INTERVAL (5 * SR_MINUTE)
#define STATUS_TTL (15 * SR_MINUTE)
/** Least time between two tellings, for each live node that is known: what a
 * node hears of statuses then does not grow with the number of nodes. */
#define STATUS_SPACING (250 * SR_MSEC)
/** What was told of a host is kept until the lists of all nodes show it. */
#define HOST_STATE_TTL (10 * SR_MINUTE)

/* Versions rise with each telling and with each start of the process. */
static guint64 next_version(sr_control_t *control)
{
	return control->incarnation + ++control->n_told;
}

void sr_control_put(sr_control_t *control, sr_rumour_kind_t kind,
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

void sr_control_tell_status(sr_control_t *control)
{
	sr_node_status_t status = {
		.generation = sr_config_sync_generation(control->sync),
		.draining = control->draining,
	};
	guint8 value[SR_NODE_STATUS_SIZE];

	sr_node_status_encode(&status, value);
	sr_control_put(control, SR_RUMOUR_STATUS,
		       control->options.settings->node, next_version(control),
		       value, sizeof(value), STATUS_TTL);
	control->told_at = sr_control_now(control);
	control->next_status = control->told_at + STATUS_INTERVAL;
}

/* The status has changed; tell it as soon as the spacing allows. */
void sr_control_hasten_status(sr_control_t *control)
{
	sr_usec_t spacing =
		STATUS_SPACING * (sr_usec_t)sr_members_count(control->members);

	control->next_status =
		MIN(control->next_status, control->told_at + spacing);
}

static void tell_one_usage(void *user, const char *scope, unsigned in_flight)
{
	sr_control_t *control = user;
	char *key = g_strdup_printf("%s/%s", control->options.settings->node,
				    scope);
	guint32 value = GUINT32_TO_BE(in_flight);

	sr_control_put(control, SR_RUMOUR_USAGE, key, next_version(control),
		       &value, sizeof(value), USAGE_TTL);
	g_free(key);
}

static void hear_usage(sr_control_t *control, const sr_rumour_t *rumour)
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

/* What nodes tell each other of the host of an upstream or of a node. */
typedef enum {
	HOST_LEAVING = 'L',
	HOST_ABSENT = 'A',
	HOST_BACK = 'B', /* another host bears the name now */
} host_state_t;

static void apply_host_state(sr_control_t *control, const char *host,
			     host_state_t state)
{
	sr_dispatch_t *dispatch = control->options.dispatch;

	switch (state) {
	case HOST_LEAVING:
		sr_dispatch_set_leaving(dispatch, host);
		/* a reclaim of this host itself is a planned stop */
		if (!strcmp(host, control->options.settings->node))
			control->options.drain(control->options.user);
		break;
	case HOST_ABSENT:
		sr_dispatch_set_present(dispatch, host, FALSE);
		break;
	case HOST_BACK:
		/* what was said of its predecessor no longer holds */
		sr_dispatch_set_present(dispatch, host, FALSE);
		sr_dispatch_set_present(dispatch, host, TRUE);
		break;
	}
}

static void hear_host_state(sr_control_t *control, const sr_rumour_t *rumour)
{
	if (rumour->size == 1)
		apply_host_state(control, rumour->key,
				 (host_state_t)rumour->value[0]);
}

static void tell_host_state(sr_control_t *control, const char *host,
			    host_state_t state)
{
	guint8 value = (guint8)state;

	if (state == HOST_ABSENT)
		g_hash_table_add(control->told_absent, g_strdup(host));
	else if (state == HOST_BACK)
		g_hash_table_remove(control->told_absent, host);
	sr_control_put(control, SR_RUMOUR_LEAVING, host, next_version(control),
		       &value, sizeof(value), HOST_STATE_TTL);
	apply_host_state(control, host, state);
}

void sr_control_on_heard(void *user, const sr_rumour_t *rumour)
{
	sr_control_t *control = user;

	switch (rumour->kind) {
	case SR_RUMOUR_CONFIG:
		sr_config_sync_heard(control->sync, rumour->version,
				     rumour->value, rumour->size);
		break;
	case SR_RUMOUR_LEAVING:
		hear_host_state(control, rumour);
		break;
	case SR_RUMOUR_USAGE:
		hear_usage(control, rumour);
		break;
	case SR_RUMOUR_STATUS:
		break; /* read when an operator asks */
	case SR_RUMOUR_RECALL:
	case SR_RUMOUR_SHARD_OWNER:
	case SR_RUMOUR_EVIDENCE:
	case SR_RUMOUR_ROLLOUT:
	case SR_RUMOUR_N_KINDS:
		control->options.heard(control->options.user, rumour);
		break;
	}
}

/* The host of an upstream bears its name. */
void sr_control_on_host_leaving(void *user, const char *host, sr_usec_t in)
{
	sr_control_t *control = user;
	char seconds[24];

	g_snprintf(seconds, sizeof(seconds), "%.1f", (double)in / SR_SEC);
	sr_log_event(control->options.log, SR_LOG_INFO, "host-leaving", "host",
		     host, "in_s", seconds, NULL);
	tell_host_state(control, host, HOST_LEAVING);
}

/* Only changes are told: the first list names every host as present. */
void sr_control_on_host_present(void *user, const sr_host_t *host,
				gboolean present)
{
	sr_control_t *control = user;

	if (!present)
		tell_host_state(control, host->name, HOST_ABSENT);
	else if (g_hash_table_contains(control->told_absent, host->name))
		tell_host_state(control, host->name, HOST_BACK);
	else
		sr_dispatch_set_present(control->options.dispatch, host->name,
					TRUE);
}

void sr_control_tell_usage(sr_control_t *control)
{
	sr_dispatch_foreach_usage(control->options.dispatch, tell_one_usage,
				  control);
}
