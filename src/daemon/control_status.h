#ifndef SR_DAEMON_CONTROL_STATUS_H
#define SR_DAEMON_CONTROL_STATUS_H

#include <json-c/json.h>

#include "base/metrics.h"
#include "base/settings.h"
#include "core/gossip.h"
#include "daemon/members.h"
#include "peer/peer.h"
#include "platform_api/client.h"

/** sr_node_status_t - what a node tells of itself in SR_RUMOUR_STATUS. */
typedef struct {
	guint64 generation; /* in force */
	gboolean draining;
} sr_node_status_t;

#define SR_NODE_STATUS_SIZE 9

void sr_node_status_encode(const sr_node_status_t *status,
			   guint8 value[SR_NODE_STATUS_SIZE]);

/** sr_node_status_decode - returns FALSE if the value is malformed. */
gboolean sr_node_status_decode(const guint8 *value, gsize size,
			       sr_node_status_t *status);

/** sr_member_state_name - "alive", "suspect", "left" or "dead". */
const char *sr_member_state_name(sr_member_state_t state);

/** sr_control_view_t - what the status is made of; all borrowed. */
typedef struct {
	const sr_settings_t *settings;
	sr_gossip_t *gossip;
	guint64 generation;
	gboolean draining;
	gboolean platform_is_out;
} sr_control_view_t;

/** sr_control_status - the status as JSON; the caller puts it. */
json_object *sr_control_status(const sr_control_view_t *view);

/** sr_control_metrics - bring the metrics of the control up to date. */
void sr_control_metrics(sr_metrics_t *metrics, const sr_platform_t *platform,
			const sr_peer_t *peer, const sr_gossip_t *gossip,
			const sr_members_t *members);

#endif
