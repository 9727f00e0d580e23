#include "core/gossip_internal.h"

#include <string.h>

/* One member is probed in each period. */
#define PROBE_PERIOD SR_SEC
/* Without an answer for this long, others are asked to probe. */
#define PROBE_DIRECT (300 * SR_MSEC)
/* How many others are asked. */
#define PROBE_HELPERS 3
/* Probes on behalf of others that may be under way. */
#define RELAYS_MAX 64

static guint64 send_ping(sr_gossip_t *g, const char *address,
			 const char *domain, const char *name,
			 const sr_record_t *record)
{
	sr_gossip_message_t message = sr_gossip_message(g, SR_GOSSIP_PING);
	gboolean doubted = record && sr_member_state(record) != SR_MEMBER_ALIVE;

	message.nonce = ++g->next_nonce;
	message.target = name;
	sr_gossip_send(g, address, domain, &message, doubted ? record : NULL);
	return message.nonce;
}

static void fill_probe_order(sr_gossip_t *g)
{
	GPtrArray *near = sr_gossip_near(g);
	GPtrArray *far = sr_gossip_far(g);

	for (guint i = 0; i < near->len; i++) {
		const sr_record_t *record = g_ptr_array_index(near, i);

		g_ptr_array_add(g->probe_order, g_strdup(record->key));
	}
	if (sr_table_is_delegate(&g->table, g->self)) {
		for (guint i = 0; i < far->len; i++) {
			const sr_record_t *record = g_ptr_array_index(far, i);

			g_ptr_array_add(g->probe_order, g_strdup(record->key));
		}
	}
	g_ptr_array_unref(near);
	g_ptr_array_unref(far);
}

static sr_record_t *next_target(sr_gossip_t *g)
{
	if (!g->probe_order->len)
		fill_probe_order(g);
	while (g->probe_order->len) {
		char *name = g_ptr_array_steal_index(g->probe_order,
						     g->probe_order->len - 1);
		sr_record_t *record =
			sr_table_find(&g->table, SR_RECORD_MEMBER, name);

		g_free(name);
		if (record && sr_member_is_live(record))
			return record;
	}
	return NULL;
}

static void start_probe(sr_gossip_t *g)
{
	sr_record_t *target = next_target(g);

	if (!target)
		return;
	g->probe.name = g_strdup(target->key);
	g->probe.sent = g->now;
	g->probe.asked = FALSE;
	g->probe.nonce = send_ping(g, target->address, target->domain,
				   target->key, target);
}

static void ask_helpers(sr_gossip_t *g)
{
	const sr_record_t *target =
		sr_table_find(&g->table, SR_RECORD_MEMBER, g->probe.name);
	sr_gossip_message_t message =
		sr_gossip_message(g, SR_GOSSIP_PING_REQUEST);
	GPtrArray *near;
	unsigned asked = 0;

	g->probe.asked = TRUE;
	if (!target)
		return;
	near = sr_gossip_near(g);
	message.nonce = g->probe.nonce;
	message.target = target->key;
	message.target_address = target->address;
	for (guint i = 0; i < near->len && asked < PROBE_HELPERS; i++) {
		const sr_record_t *helper = g_ptr_array_index(near, i);

		if (helper == target)
			continue;
		sr_gossip_send(g, helper->address, helper->domain, &message,
			       NULL);
		asked++;
	}
	g_ptr_array_unref(near);
}

static void end_probe(sr_gossip_t *g, gboolean failed)
{
	sr_record_t *target;

	if (!g->probe.name)
		return;
	target = sr_table_find(&g->table, SR_RECORD_MEMBER, g->probe.name);
	g_clear_pointer(&g->probe.name, g_free);
	if (!failed || !target || sr_member_state(target) != SR_MEMBER_ALIVE)
		return;
	g->stats.suspects++;
	sr_gossip_set_state(g, target, SR_MEMBER_SUSPECT);
}

void sr_gossip_probe_tick(sr_gossip_t *g, gboolean was_paused)
{
	/* What was missed while this process stood still proves nothing. */
	if (was_paused)
		end_probe(g, FALSE);
	if (g->probe.name && !g->probe.asked &&
	    g->now - g->probe.sent >= PROBE_DIRECT)
		ask_helpers(g);
	if (g->now < g->next_probe)
		return;
	g->next_probe = g->now + PROBE_PERIOD;
	end_probe(g, TRUE);
	start_probe(g);
}

static void send_ack(sr_gossip_t *g, const char *address, const char *domain,
		     guint64 nonce)
{
	sr_gossip_message_t message = sr_gossip_message(g, SR_GOSSIP_ACK);

	message.nonce = nonce;
	sr_gossip_send(g, address, domain, &message, NULL);
}

void sr_gossip_take_ping(sr_gossip_t *g, const sr_gossip_message_t *message)
{
	/* Another process may have had this address before. */
	if (strcmp(message->target, g->options.name) != 0)
		return;
	send_ack(g, message->address, message->domain, message->nonce);
}

void sr_gossip_take_ack(sr_gossip_t *g, const sr_gossip_message_t *message)
{
	if (g->probe.name && message->nonce == g->probe.nonce) {
		end_probe(g, FALSE);
		return;
	}
	for (guint i = 0; i < g->relays->len; i++) {
		sr_relay_t *relay = &g_array_index(g->relays, sr_relay_t, i);

		if (relay->nonce != message->nonce)
			continue;
		send_ack(g, relay->address, NULL, relay->their_nonce);
		g_array_remove_index(g->relays, i);
		return;
	}
}

void sr_gossip_take_ping_request(sr_gossip_t *g,
				 const sr_gossip_message_t *message)
{
	const sr_record_t *target =
		sr_table_find(&g->table, SR_RECORD_MEMBER, message->target);
	sr_relay_t relay = { .their_nonce = message->nonce, .started = g->now };

	while (g->relays->len &&
	       (g->relays->len >= RELAYS_MAX ||
		g->now - g_array_index(g->relays, sr_relay_t, 0).started >
			PROBE_PERIOD))
		g_array_remove_index(g->relays, 0);
	relay.address = g_strdup(message->address);
	relay.nonce = send_ping(g, message->target_address, NULL,
				message->target, target);
	g_array_append_val(g->relays, relay);
}
