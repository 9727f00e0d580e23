#include "core/gossip_internal.h"

#include <string.h>

/* One member is probed per interval. */
#define PROBE_INTERVAL SR_SEC
/* Time without an ACK after which ping requests are sent. */
#define DIRECT_PROBE_TIMEOUT (300 * SR_MSEC)
/* Members that are sent a ping request per probe. */
#define PING_REQUESTS_MAX 3
/* Limit of concurrent pings on behalf of other members. */
#define RELAYS_MAX 64

/* Returns the nonce. Adds the target's record if it is not listed as alive, so
 * that the target refutes it. */
static guint64 send_ping(sr_gossip_t *g, const char *address,
			 const char *domain, const char *name,
			 const sr_gossip_record_t *record)
{
	sr_gossip_message_t message = sr_gossip_make_message(g, SR_GOSSIP_PING);
	gboolean not_alive =
		record && sr_member_state(record) != SR_MEMBER_ALIVE;

	message.nonce = ++g->next_nonce;
	message.target = name;
	sr_gossip_send(g, address, domain, &message, not_alive ? record : NULL);
	return message.nonce;
}

static void fill_probe_order(sr_gossip_t *g)
{
	GPtrArray *local = sr_gossip_local_members(g);
	GPtrArray *remote = sr_gossip_remote_delegates(g);

	for (guint i = 0; i < local->len; i++) {
		const sr_gossip_record_t *record = g_ptr_array_index(local, i);

		g_ptr_array_add(g->probe_order, g_strdup(record->key));
	}
	if (sr_gossip_table_is_delegate(&g->table, g->self)) {
		for (guint i = 0; i < remote->len; i++) {
			const sr_gossip_record_t *record =
				g_ptr_array_index(remote, i);

			g_ptr_array_add(g->probe_order, g_strdup(record->key));
		}
	}
	g_ptr_array_unref(local);
	g_ptr_array_unref(remote);
}

static sr_gossip_record_t *next_target(sr_gossip_t *g)
{
	if (!g->probe_order->len)
		fill_probe_order(g);
	while (g->probe_order->len) {
		char *name = g_ptr_array_steal_index(g->probe_order,
						     g->probe_order->len - 1);
		sr_gossip_record_t *record =
			sr_gossip_table_find(&g->table, SR_RECORD_MEMBER, name);

		g_free(name);
		if (record && sr_member_is_live(record))
			return record;
	}
	return NULL;
}

static void start_probe(sr_gossip_t *g)
{
	sr_gossip_record_t *target = next_target(g);

	if (!target)
		return;
	g->probe.name = g_strdup(target->key);
	g->probe.sent_at = g->now;
	g->probe.indirect = FALSE;
	g->probe.nonce = send_ping(g, target->address, target->domain,
				   target->key, target);
}

static void send_ping_requests(sr_gossip_t *g)
{
	const sr_gossip_record_t *target = sr_gossip_table_find(
		&g->table, SR_RECORD_MEMBER, g->probe.name);
	sr_gossip_message_t message =
		sr_gossip_make_message(g, SR_GOSSIP_PING_REQUEST);
	GPtrArray *local;
	unsigned n_sent = 0;

	g->probe.indirect = TRUE;
	if (!target)
		return;
	local = sr_gossip_local_members(g);
	message.nonce = g->probe.nonce;
	message.target = target->key;
	message.target_address = target->address;
	for (guint i = 0; i < local->len && n_sent < PING_REQUESTS_MAX; i++) {
		const sr_gossip_record_t *helper = g_ptr_array_index(local, i);

		if (helper == target)
			continue;
		sr_gossip_send(g, helper->address, helper->domain, &message,
			       NULL);
		n_sent++;
	}
	g_ptr_array_unref(local);
}

static void end_probe(sr_gossip_t *g, gboolean failed)
{
	sr_gossip_record_t *target;

	if (!g->probe.name)
		return;
	target = sr_gossip_table_find(&g->table, SR_RECORD_MEMBER,
				      g->probe.name);
	g_clear_pointer(&g->probe.name, g_free);
	if (!failed || !target || sr_member_state(target) != SR_MEMBER_ALIVE)
		return;
	g->stats.suspects++;
	sr_gossip_set_state(g, target, SR_MEMBER_SUSPECT);
}

void sr_gossip_probe_tick(sr_gossip_t *g, gboolean was_paused)
{
	/* an ACK may have been missed because this process was paused */
	if (was_paused)
		end_probe(g, FALSE);
	if (g->probe.name && !g->probe.indirect &&
	    g->now - g->probe.sent_at >= DIRECT_PROBE_TIMEOUT)
		send_ping_requests(g);
	if (g->now < g->next_probe)
		return;
	g->next_probe = g->now + PROBE_INTERVAL;
	end_probe(g, TRUE);
	start_probe(g);
}

static void send_ack(sr_gossip_t *g, const char *address, const char *domain,
		     guint64 nonce)
{
	sr_gossip_message_t message = sr_gossip_make_message(g, SR_GOSSIP_ACK);

	message.nonce = nonce;
	sr_gossip_send(g, address, domain, &message, NULL);
}

void sr_gossip_handle_ping(sr_gossip_t *g, const sr_gossip_message_t *message)
{
	/* another node may have had this address before */
	if (strcmp(message->target, g->options.name) != 0)
		return;
	send_ack(g, message->address, message->domain, message->nonce);
}

void sr_gossip_handle_ack(sr_gossip_t *g, const sr_gossip_message_t *message)
{
	if (g->probe.name && message->nonce == g->probe.nonce) {
		end_probe(g, FALSE);
		return;
	}
	for (guint i = 0; i < g->relays->len; i++) {
		sr_gossip_relay_t *relay =
			&g_array_index(g->relays, sr_gossip_relay_t, i);

		if (relay->nonce != message->nonce)
			continue;
		send_ack(g, relay->requester_address, NULL,
			 relay->request_nonce);
		g_array_remove_index(g->relays, i);
		return;
	}
}

void sr_gossip_handle_ping_request(sr_gossip_t *g,
				   const sr_gossip_message_t *message)
{
	const sr_gossip_record_t *target = sr_gossip_table_find(
		&g->table, SR_RECORD_MEMBER, message->target);
	sr_gossip_relay_t relay = { .request_nonce = message->nonce,
				    .started_at = g->now };

	while (g->relays->len &&
	       (g->relays->len >= RELAYS_MAX ||
		g->now - g_array_index(g->relays, sr_gossip_relay_t, 0)
					.started_at >
			PROBE_INTERVAL))
		g_array_remove_index(g->relays, 0);
	relay.requester_address = g_strdup(message->address);
	relay.nonce = send_ping(g, message->target_address, NULL,
				message->target, target);
	g_array_append_val(g->relays, relay);
}
