#ifndef SR_DAEMON_CONTROL_INTERNAL_H
#define SR_DAEMON_CONTROL_INTERNAL_H

#include "core/config_sync.h"
#include "core/directory.h"
#include "daemon/control.h"
#include "operator/admin.h"
#include "platform_api/client.h"
#include "platform_api/hosts.h"
#include "upstream/engine_orders.h"
#include "upstream/feed.h"
#include "upstream/query.h"

/**
 * What the files of the control share: control.c creates the parts and gives
 * them their roles, control_rumours.c tells and hears of nodes and hosts, and
 * control_admin.c answers operators.
 */

struct sr_control {
	sr_control_options_t options;
	guint64 incarnation; /* microseconds since the epoch at the start */
	sr_usec_t started;
	guint64 n_told; /* statuses and usages told so far */
	char *owner;
	sr_members_t *members;
	sr_platform_t *platform;
	sr_peer_t *peer;
	sr_gossip_t *gossip;
	sr_config_sync_t *sync;
	sr_hosts_t *hosts;
	sr_directory_t *directory;
	sr_queries_t *queries;
	sr_feed_t *feed;
	sr_engine_orders_t *orders;
	sr_admin_t *admin;
	sr_config_t *config;	 /* in force, or NULL */
	GHashTable *told_absent; /* names of hosts */
	GBytes *first_text; /* published if the platform has none; or NULL */
	gboolean publishing_first;
	sr_usec_t next_first;
	sr_timer_t *timer;
	sr_usec_t next_usage;
	sr_usec_t next_status;
	sr_usec_t told_at; /* the last status */
	gboolean draining;
};

static inline sr_usec_t sr_control_now(const sr_control_t *control)
{
	return sr_clock_now(control->options.clock);
}

/** sr_control_put - spread a rumour; see sr_gossip_put() for the ttl. */
void sr_control_put(sr_control_t *control, sr_rumour_kind_t kind,
		    const char *key, guint64 version, const void *value,
		    gsize size, sr_usec_t ttl);

/** sr_control_tell_status - tell the others this node's status now. */
void sr_control_tell_status(sr_control_t *control);

/** sr_control_hasten_status - it changed; tell it as soon as is allowed. */
void sr_control_hasten_status(sr_control_t *control);

/** sr_control_tell_usage - tell what the client accounts have in flight. */
void sr_control_tell_usage(sr_control_t *control);

/** Callbacks of the gossip and of the host list; user is the control. */
void sr_control_on_heard(void *user, const sr_rumour_t *rumour);
void sr_control_on_host_leaving(void *user, const char *host, sr_usec_t in);
void sr_control_on_host_present(void *user, const sr_host_t *host,
				gboolean present);

/** sr_control_create_admin - serve the administration API. */
void sr_control_create_admin(sr_control_t *control);

#endif
