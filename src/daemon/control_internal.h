#ifndef SR_DAEMON_CONTROL_INTERNAL_H
#define SR_DAEMON_CONTROL_INTERNAL_H

#include "core/config_sync.h"
#include "core/directory.h"
#include "daemon/control.h"
#include "operator/admin.h"
#include "platform_api/client.h"
#include "platform_api/hosts.h"
#include "upstream/engine_orders.h"
#include "upstream/engine_poller.h"
#include "upstream/query.h"

/*
 * Internals of the control: control.c creates the parts and assigns the roles
 * of this node, control_rumours.c publishes and receives rumours about nodes
 * and hosts, and control_admin.c serves the administration API.
 */

struct sr_control {
	sr_control_options_t options;
	guint64 incarnation; /* Unix time of the start, in microseconds */
	sr_usec_t started;
	guint64 n_published; /* own statuses and usages published */
	char *owner;	     /* of leases: node and incarnation */
	sr_members_t *members;
	sr_platform_t *platform;
	sr_peer_t *peer;
	sr_gossip_t *gossip;
	sr_config_sync_t *sync;
	sr_hosts_t *hosts;
	sr_directory_t *directory;
	sr_queries_t *queries;
	sr_engine_poller_t *engine_poller;
	sr_engine_orders_t *orders;
	sr_admin_t *admin;
	sr_config_t *config;	     /* in force, or NULL */
	GHashTable *reported_absent; /* names of hosts that this node reported
				      * as absent and not yet as replaced */
	GBytes *first_config_text;   /* published if no configuration has been
				      * accepted; or NULL */
	gboolean publishing_first_config;
	sr_usec_t next_first_config;
	sr_timer_t *timer;
	sr_usec_t next_usage;
	sr_usec_t next_status;
	sr_usec_t status_published_at;
	gboolean draining;
};

static inline sr_usec_t sr_control_now(const sr_control_t *control)
{
	return sr_clock_now(control->options.clock);
}

/** sr_control_put_rumour - publish a rumour; see sr_gossip_put() for ttl. */
void sr_control_put_rumour(sr_control_t *control, sr_rumour_kind_t kind,
			   const char *key, guint64 version, const void *value,
			   gsize size, sr_usec_t ttl);

/** sr_control_publish_status - publish this node's status now. */
void sr_control_publish_status(sr_control_t *control);

/** sr_control_schedule_status - publish a changed status as soon as the minimum
 * interval allows. */
void sr_control_schedule_status(sr_control_t *control);

/** sr_control_publish_usage - publish the numbers of requests that the client
 * accounts have in flight at this node. */
void sr_control_publish_usage(sr_control_t *control);

/** Callbacks of the gossip and of the host list; user is the control. remaining
 * is the time in microseconds until the host leaves, or 0 if it is unknown. */
void sr_control_on_rumour(void *user, const sr_rumour_t *rumour);
void sr_control_on_host_leaving(void *user, const char *host,
				sr_usec_t remaining);
void sr_control_on_host_presence_changed(void *user, const sr_host_t *host,
					 gboolean present);

/** sr_control_create_admin - serve the administration API. */
void sr_control_create_admin(sr_control_t *control);

#endif
