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

/* The member rows of a status, and counts over them. */
typedef struct {
	const sr_control_status_input_t *input;
	json_object *members;
	unsigned n_live;
	unsigned n_in_force; /* live members with this generation or newer */
} member_rows_t;

static void add_text(json_object *object, const char *key, const char *value)
{
	json_object_object_add(object, key, json_object_new_string(value));
}

static void add_number(json_object *object, const char *key, guint64 value)
{
	json_object_object_add(object, key, json_object_new_uint64(value));
}

static sr_node_status_t status_of(const sr_control_status_input_t *input,
				  const char *node)
{
	sr_node_status_t status = { .generation = 0 };
	sr_rumour_t rumour;

	if (!strcmp(node, input->settings->node)) {
		status.generation = input->generation;
		status.draining = input->draining;
	} else if (sr_gossip_get(input->gossip, SR_RUMOUR_STATUS, node,
				 &rumour)) {
		sr_node_status_decode(rumour.value, rumour.size, &status);
	}
	return status;
}

static void add_member(void *user, const sr_member_t *member)
{
	member_rows_t *rows = user;
	sr_node_status_t status = status_of(rows->input, member->name);
	gboolean is_live = member->state == SR_MEMBER_ALIVE ||
			   member->state == SR_MEMBER_SUSPECT;
	json_object *row = json_object_new_object();

	add_text(row, "name", member->name);
	add_text(row, "failure_domain", member->failure_domain);
	add_text(row, "state",
		 status.draining ? "draining" :
				   sr_member_state_name(member->state));
	add_number(row, "generation", status.generation);
	json_object_array_add(rows->members, row);
	rows->n_live += is_live;
	rows->n_in_force +=
		is_live && status.generation >= rows->input->generation;
}

json_object *sr_control_status(const sr_control_status_input_t *input)
{
	json_object *status = json_object_new_object();
	member_rows_t rows = { .input = input,
			       .members = json_object_new_array() };

	sr_gossip_foreach_member(input->gossip, add_member, &rows);
	add_text(status, "node", input->settings->node);
	add_text(status, "failure_domain", input->settings->failure_domain);
	add_text(status, "state", input->draining ? "draining" : "serving");
	add_text(status, "platform",
		 input->platform_is_unavailable ? "out" : "ok");
	add_number(status, "generation", input->generation);
	add_number(status, "in_force", rows.n_in_force);
	add_number(status, "members_known", rows.n_live);
	json_object_object_add(status, "members", rows.members);
	return status;
}

static void set_gauge(sr_metrics_t *metrics, const char *name, const char *help,
		      double value)
{
	sr_gauge_set(sr_metrics_gauge(metrics, name, help, NULL), value);
}

void sr_control_update_metrics(sr_metrics_t *metrics,
			       const sr_platform_t *platform,
			       const sr_peer_t *peer, const sr_gossip_t *gossip,
			       const sr_members_t *members)
{
	const sr_platform_stats_t *calls = sr_platform_stats(platform);
	const sr_peer_stats_t *messages = sr_peer_stats(peer);
	guint64 sent = 0;

	for (int i = 0; i < SR_STORE_N_CLASSES; i++)
		sent += calls->sent[i];
	set_gauge(metrics, "sassafras_members_live",
		  "entry hosts known to be live", sr_members_count(members));
	set_gauge(metrics, "sassafras_gossip_records",
		  "members and rumours held", sr_gossip_n_records(gossip));
	set_gauge(metrics, "sassafras_platform_calls", "platform calls sent",
		  (double)sent);
	set_gauge(metrics, "sassafras_platform_lost",
		  "platform calls without answer", (double)calls->lost);
	set_gauge(metrics, "sassafras_platform_refused",
		  "platform calls refused by the budget",
		  (double)calls->refused);
	set_gauge(metrics, "sassafras_platform_bytes",
		  "bytes of platform bodies in both directions",
		  (double)(calls->bytes_in + calls->bytes_out));
	set_gauge(metrics, "sassafras_platform_out",
		  "1 while the platform counts as out",
		  sr_platform_is_unavailable(platform) ? 1 : 0);
	set_gauge(metrics, "sassafras_peer_bytes_in",
		  "bytes received from peers", (double)messages->bytes_in);
	set_gauge(metrics, "sassafras_peer_bytes_out", "bytes sent to peers",
		  (double)messages->bytes_out);
	set_gauge(metrics, "sassafras_peer_rejected",
		  "messages that were malformed, replayed or not authenticated",
		  (double)(messages->malformed + messages->unauthenticated +
			   messages->replayed));
}
