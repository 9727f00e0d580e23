#include "daemon/control_status.h"

#include <string.h>

void sr_node_status_encode(const sr_node_status_t *status,
			   guint8 value[SR_NODE_STATUS_SIZE])
{
	guint64 generation = GUINT64_TO_BE(status->generation);

	memcpy(value, &generation, sizeof(generation));
	value[sizeof(generation)] = status->draining ? 1 : 0;
}

gboolean sr_node_status_decode(const guint8 *value, gsize size,
			       sr_node_status_t *status)
{
	guint64 generation;

	if (size != SR_NODE_STATUS_SIZE)
		return FALSE;
	memcpy(&generation, value, sizeof(generation));
	status->generation = GUINT64_FROM_BE(generation);
	status->draining = value[sizeof(generation)] != 0;
	return TRUE;
}

const char *sr_member_state_name(sr_member_state_t state)
{
	switch (state) {
	case SR_MEMBER_ALIVE:
		return "alive";
	case SR_MEMBER_SUSPECT:
		return "suspect";
	case SR_MEMBER_LEFT:
		return "left";
	case SR_MEMBER_DEAD:
		return "dead";
	}
	g_assert_not_reached();
}

typedef struct {
	const sr_control_view_t *view;
	json_object *members;
	unsigned n_live;
	unsigned n_in_force;
} walk_t;

static void add_text(json_object *object, const char *key, const char *value)
{
	json_object_object_add(object, key, json_object_new_string(value));
}

static void add_number(json_object *object, const char *key, guint64 value)
{
	json_object_object_add(object, key, json_object_new_uint64(value));
}

static sr_node_status_t status_of(const sr_control_view_t *view,
				  const char *node)
{
	sr_node_status_t status = { .generation = 0 };
	sr_rumour_t rumour;

	if (!strcmp(node, view->settings->node)) {
		status.generation = view->generation;
		status.draining = view->draining;
	} else if (sr_gossip_get(view->gossip, SR_RUMOUR_STATUS, node,
				 &rumour)) {
		sr_node_status_decode(rumour.value, rumour.size, &status);
	}
	return status;
}

static void add_member(void *user, const sr_member_t *member)
{
	walk_t *walk = user;
	sr_node_status_t status = status_of(walk->view, member->name);
	gboolean is_live = member->state == SR_MEMBER_ALIVE ||
			   member->state == SR_MEMBER_SUSPECT;
	json_object *row = json_object_new_object();

	add_text(row, "name", member->name);
	add_text(row, "failure_domain", member->failure_domain);
	add_text(row, "state",
		 status.draining ? "draining" :
				   sr_member_state_name(member->state));
	add_number(row, "generation", status.generation);
	json_object_array_add(walk->members, row);
	walk->n_live += is_live;
	walk->n_in_force +=
		is_live && status.generation >= walk->view->generation;
}

json_object *sr_control_status(const sr_control_view_t *view)
{
	json_object *status = json_object_new_object();
	walk_t walk = { .view = view, .members = json_object_new_array() };

	sr_gossip_foreach_member(view->gossip, add_member, &walk);
	add_text(status, "node", view->settings->node);
	add_text(status, "failure_domain", view->settings->failure_domain);
	add_text(status, "state", view->draining ? "draining" : "serving");
	add_text(status, "platform", view->platform_is_out ? "out" : "ok");
	add_number(status, "generation", view->generation);
	add_number(status, "in_force", walk.n_in_force);
	add_number(status, "members_known", walk.n_live);
	json_object_object_add(status, "members", walk.members);
	return status;
}

static void set(sr_metrics_t *metrics, const char *name, const char *help,
		double value)
{
	sr_gauge_set(sr_metrics_gauge(metrics, name, help, NULL), value);
}

void sr_control_metrics(sr_metrics_t *metrics, const sr_platform_t *platform,
			const sr_peer_t *peer, const sr_gossip_t *gossip,
			const sr_members_t *members)
{
	const sr_platform_stats_t *calls = sr_platform_stats(platform);
	const sr_peer_stats_t *messages = sr_peer_stats(peer);
	guint64 sent = 0;

	for (int i = 0; i < SR_STORE_N_CLASSES; i++)
		sent += calls->sent[i];
	set(metrics, "sassafras_members_live", "entry hosts known to be live",
	    sr_members_count(members));
	set(metrics, "sassafras_gossip_records", "members and rumours held",
	    sr_gossip_n_records(gossip));
	set(metrics, "sassafras_platform_calls", "platform calls sent",
	    (double)sent);
	set(metrics, "sassafras_platform_lost", "platform calls without answer",
	    (double)calls->lost);
	set(metrics, "sassafras_platform_refused",
	    "platform calls refused by the budget", (double)calls->refused);
	set(metrics, "sassafras_platform_bytes",
	    "bytes of platform bodies in both directions",
	    (double)(calls->bytes_in + calls->bytes_out));
	set(metrics, "sassafras_platform_out",
	    "1 while the platform counts as out",
	    sr_platform_is_out(platform) ? 1 : 0);
	set(metrics, "sassafras_peer_bytes_in", "bytes received from peers",
	    (double)messages->bytes_in);
	set(metrics, "sassafras_peer_bytes_out", "bytes sent to peers",
	    (double)messages->bytes_out);
	set(metrics, "sassafras_peer_rejected",
	    "messages that were malformed, replayed or not authenticated",
	    (double)(messages->malformed + messages->unauthenticated +
		     messages->replayed));
}
