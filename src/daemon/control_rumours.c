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
/** So long after the start old news of the own host can come in. */
#define PREDECESSOR_WINDOW (30 * SR_SEC)
/** States of a host that are told with one count of changes. */
#define HOST_STATE_RANKS 4

/* The version of what is known under a key; 0 if nothing is. */
static guint64 known_version(sr_control_t *control, sr_rumour_kind_t kind,
			     const char *key)
{
	sr_rumour_t rumour;

	if (!sr_gossip_get(control->gossip, kind, key, &rumour))
		return 0;
	return rumour.version;
}

/* For what only this node tells: above what was told before, by an earlier
 * process too, even if the wall clock that gave its incarnation was ahead. */
static guint64 own_version(sr_control_t *control, sr_rumour_kind_t kind,
			   const char *key)
{
	guint64 next = control->incarnation + ++control->n_told;

	return MAX(next, known_version(control, kind, key) + 1);
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
	const char *node = control->options.settings->node;
	guint8 value[SR_NODE_STATUS_SIZE];

	sr_node_status_encode(&status, value);
	sr_control_put(control, SR_RUMOUR_STATUS, node,
		       own_version(control, SR_RUMOUR_STATUS, node), value,
		       sizeof(value), STATUS_TTL);
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

	sr_control_put(control, SR_RUMOUR_USAGE, key,
		       own_version(control, SR_RUMOUR_USAGE, key), &value,
		       sizeof(value), USAGE_TTL);
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

/*
 * Several nodes tell of one host, and their clocks differ: a version counts
 * the changes that were known to the teller. Of two states that were told at
 * the same count the one that is further on in the life of a host wins.
 */
static guint64 host_version(sr_control_t *control, const char *host,
			    host_state_t state)
{
	guint64 known = known_version(control, SR_RUMOUR_HOST_STATE, host);
	guint64 count = known / HOST_STATE_RANKS + 1;

	switch (state) {
	case HOST_LEAVING:
		return count * HOST_STATE_RANKS;
	case HOST_ABSENT:
		return count * HOST_STATE_RANKS + 1;
	case HOST_BACK:
		return count * HOST_STATE_RANKS + 2;
	}
	g_assert_not_reached();
}

static void tell_host_state(sr_control_t *control, const char *host,
			    host_state_t state)
{
	guint8 value = (guint8)state;

	if (state == HOST_ABSENT)
		g_hash_table_add(control->told_absent, g_strdup(host));
	else if (state == HOST_BACK)
		g_hash_table_remove(control->told_absent, host);
	sr_control_put(control, SR_RUMOUR_HOST_STATE, host,
		       host_version(control, host, state), &value,
		       sizeof(value), HOST_STATE_TTL);
	apply_host_state(control, host, state);
}

/*
 * A reclaim of this host itself is a planned stop. What is heard right after
 * the start is about a predecessor of the same name, and is contradicted.
 */
static void take_own_leaving(sr_control_t *control)
{
	const char *node = control->options.settings->node;

	if (sr_control_now(control) - control->started < PREDECESSOR_WINDOW)
		tell_host_state(control, node, HOST_BACK);
	else
		control->options.drain(control->options.user);
}

static gboolean is_own_host(const sr_control_t *control, const char *host)
{
	return !strcmp(host, control->options.settings->node);
}

static void hear_host_state(sr_control_t *control, const sr_rumour_t *rumour)
{
	host_state_t state;

	if (rumour->size != 1)
		return;
	state = (host_state_t)rumour->value[0];
	apply_host_state(control, rumour->key, state);
	if (state == HOST_LEAVING && is_own_host(control, rumour->key))
		take_own_leaving(control);
}

void sr_control_on_heard(void *user, const sr_rumour_t *rumour)
{
	sr_control_t *control = user;

	switch (rumour->kind) {
	case SR_RUMOUR_CONFIG:
		sr_config_sync_heard(control->sync, rumour->version,
				     rumour->value, rumour->size);
		break;
	case SR_RUMOUR_HOST_STATE:
		hear_host_state(control, rumour);
		break;
	case SR_RUMOUR_USAGE:
		hear_usage(control, rumour);
		break;
	case SR_RUMOUR_STATUS:
		break;		    /* read when an operator asks */
	case SR_RUMOUR_ROUTE_TABLE: /* of the gateway */
	case SR_RUMOUR_INSTANCE:
	case SR_RUMOUR_DEMAND:
	case SR_RUMOUR_LOAD:
	case SR_RUMOUR_DOMAIN_SIZE:
		break;
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
	if (is_own_host(control, host))
		take_own_leaving(control);
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
