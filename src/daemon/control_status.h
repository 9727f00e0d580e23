#ifndef SR_DAEMON_CONTROL_STATUS_H
#define SR_DAEMON_CONTROL_STATUS_H

#include <json-c/json.h>

#include "base/metrics.h"
#include "base/settings.h"
#include "core/gossip.h"
#include "daemon/members.h"
#include "peer/peer.h"
#include "platform_api/client.h"

/** sr_node_status_t - decoded value of an SR_RUMOUR_STATUS rumour. */
typedef struct {
	guint64 generation; /* in force */
	gboolean draining;
} sr_node_status_t;

/** SR_NODE_STATUS_SIZE - bytes of an encoded status: the generation as 64 bits,
 * big-endian, and 1 if the node drains. */
#define SR_NODE_STATUS_SIZE 9

/** sr_node_status_encode - encode a status as the value of a rumour. */
void sr_node_status_encode(const sr_node_status_t *status,
			   guint8 value[SR_NODE_STATUS_SIZE]);

/** sr_node_status_decode - decode a status; returns FALSE if the value has
 * another size. */
gboolean sr_node_status_decode(const guint8 *value, gsize size,
			       sr_node_status_t *status);

/** sr_member_state_name - name of a state: "alive", "suspect", "left" or
 * "dead". */
const char *sr_member_state_name(sr_member_state_t state);

/** sr_control_status_input_t - input of sr_control_status(); all borrowed. */
typedef struct {
	const sr_settings_t *settings;
	sr_gossip_t *gossip;
	guint64 generation; /* in force */
	gboolean draining;
	gboolean platform_is_unavailable;
} sr_control_status_input_t;

/** sr_control_status - build the status of this node and the members that it
 * knows; the caller releases it with json_object_put(). */
json_object *sr_control_status(const sr_control_status_input_t *input);

/** sr_control_update_metrics - set the gauges of the control. */
void sr_control_update_metrics(sr_metrics_t *metrics,
			       const sr_platform_t *platform,
			       const sr_peer_t *peer, const sr_gossip_t *gossip,
			       const sr_members_t *members);

#endif
