#include "core/gossip_internal.h"

#include <string.h>

/* Members that a push goes to, in the own domain and in other domains. */
#define LOCAL_FANOUT 2
#define REMOTE_FANOUT 2
/* A record is sent this many times the binary logarithm of the number of
 * recipients. */
#define TRANSMIT_FACTOR 3
/* The same for the bulk queue: such records are superseded soon and need not
 * reach every member. */
#define TRANSMIT_FACTOR_BULK 1
/* Limit of the datagrams sent in response to one message. */
#define RESPONSE_DATAGRAMS_MAX 8

static unsigned log2_ceil(unsigned n)
{
	unsigned bits = 0;

	while (1U << bits < n)
		bits++;
	return bits;
}

static void shuffle(sr_gossip_t *g, GPtrArray *list)
{
	for (guint i = list->len; i > 1; i--) {
		guint j = (guint)g_rand_int_range(g->random, 0, (gint32)i);
		gpointer last = list->pdata[i - 1];

		list->pdata[i - 1] = list->pdata[j];
		list->pdata[j] = last;
	}
}

GPtrArray *sr_gossip_local_members(sr_gossip_t *g)
{
	const GPtrArray *all =
		sr_gossip_table_domain_members(&g->table, g->table.own_domain);
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < all->len; i++) {
		sr_gossip_record_t *record = g_ptr_array_index(all, i);

		if (record != g->self && sr_member_is_live(record))
			g_ptr_array_add(out, record);
	}
	shuffle(g, out);
	return out;
}

/* Selects one of the delegates in a list by reservoir sampling. */
static sr_gossip_record_t *random_delegate(sr_gossip_t *g,
					   const GPtrArray *list)
{
	sr_gossip_record_t *chosen = NULL;
	gint32 n_delegates = 0;

	for (guint i = 0; i < list->len; i++) {
		sr_gossip_record_t *record = g_ptr_array_index(list, i);

		if (!sr_gossip_table_is_delegate(&g->table, record))
			continue;
		if (g_rand_int_range(g->random, 0, ++n_delegates) == 0)
			chosen = record;
	}
	return chosen;
}

static gint compare_domains(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Sorted, since the order of a hash table would make runs with the same random
 * seed differ. */
static GPtrArray *sorted_domains(sr_gossip_t *g)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, g->table.members_by_domain);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(names, key);
	g_ptr_array_sort(names, compare_domains);
	return names;
}

GPtrArray *sr_gossip_remote_delegates(sr_gossip_t *g)
{
	GPtrArray *names = sorted_domains(g);
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);
		sr_gossip_record_t *delegate;

		if (!strcmp(name, g->table.own_domain))
			continue;
		delegate = random_delegate(
			g, sr_gossip_table_domain_members(&g->table, name));
		if (delegate)
			g_ptr_array_add(out, delegate);
	}
	shuffle(g, out);
	g_ptr_array_unref(names);
	return out;
}

static sr_gossip_queue_t queue_for(const sr_gossip_record_t *record)
{
	switch (record->kind) {
	case SR_RUMOUR_INSTANCE:
		return SR_GOSSIP_QUEUE_NORMAL;
	case SR_RUMOUR_EVIDENCE:
	case SR_RUMOUR_USAGE:
	case SR_RUMOUR_STATUS:
	case SR_RUMOUR_DEMAND:
		return SR_GOSSIP_QUEUE_BULK;
	default:
		return SR_GOSSIP_QUEUE_URGENT;
	}
}

void sr_gossip_enqueue(sr_gossip_t *g, sr_gossip_record_t *record)
{
	const GPtrArray *local =
		sr_gossip_table_domain_members(&g->table, g->table.own_domain);
	unsigned domains = g_hash_table_size(g->table.members_by_domain);
	sr_gossip_queue_t queue = queue_for(record);
	unsigned factor = queue == SR_GOSSIP_QUEUE_BULK ? TRANSMIT_FACTOR_BULK :
							  TRANSMIT_FACTOR;

	sr_list_remove(&record->queue_link);
	record->local_transmits = factor * log2_ceil(local->len + 1);
	record->remote_transmits = 0;
	if (sr_gossip_table_is_delegate(&g->table, g->self))
		record->remote_transmits = factor * log2_ceil(domains + 1);
	/* records not sent yet precede those to be sent again */
	sr_list_prepend(&g->queues[queue], &record->queue_link);
}

void sr_gossip_reduce_transmits(sr_gossip_t *g, const sr_wire_record_t *wire,
				const char *domain)
{
	sr_gossip_record_t *record =
		sr_gossip_table_find(&g->table, wire->kind, wire->key);
	gboolean local = !strcmp(domain, g->table.own_domain);
	unsigned *left;

	if (!record || record->version != wire->version)
		return;
	left = local ? &record->local_transmits : &record->remote_transmits;
	*left /= 2;
	if (!record->local_transmits && !record->remote_transmits)
		sr_list_remove(&record->queue_link);
}

sr_gossip_message_t sr_gossip_make_message(sr_gossip_t *g,
					   sr_gossip_type_t type)
{
	sr_gossip_message_t message = {
		.type = type,
		.sender = g->options.name,
		.domain = g->options.failure_domain,
		.address = g->options.address,
		.incarnation = sr_member_incarnation(g->self),
		.target = "",
		.target_address = "",
	};

	return message;
}

/* A message implies that its sender is alive, so a node that has left adds its
 * own record. */
static void start_datagram(sr_gossip_t *g, sr_gossip_encoder_t *encoder,
			   const sr_gossip_message_t *message)
{
	sr_wire_record_t wire;

	sr_gossip_encoder_start(encoder, message);
	if (g->has_left && sr_gossip_record_to_wire(g->self, g->now, &wire))
		sr_gossip_encoder_add(encoder, &wire);
}

static void send_datagram(sr_gossip_t *g, const char *address,
			  sr_gossip_encoder_t *encoder)
{
	GBytes *datagram = sr_gossip_encoder_finish(encoder);
	gsize size;
	const guint8 *data = g_bytes_get_data(datagram, &size);

	g->stats.sent++;
	g->stats.bytes_sent += size;
	g->send_budget -= (double)size;
	g->options.send(g->options.user, address, data, size);
	g_bytes_unref(datagram);
}

/* Adds a record that has transmissions left for the domain. Returns FALSE if it
 * does not fit. */
static gboolean add_queued_record(sr_gossip_t *g, sr_gossip_encoder_t *encoder,
				  sr_gossip_record_t *record,
				  const char *domain)
{
	gboolean local = !strcmp(domain, g->table.own_domain);
	unsigned *left =
		local ? &record->local_transmits : &record->remote_transmits;
	sr_wire_record_t wire;

	if (!*left)
		return TRUE;
	if (!sr_gossip_table_in_scope(&g->table, record, domain) ||
	    !sr_gossip_record_to_wire(record, g->now, &wire)) {
		*left = 0;
		return TRUE;
	}
	if (!sr_gossip_encoder_add(encoder, &wire))
		return FALSE;
	--*left;
	return TRUE;
}

/* Records that were added go to the end of the queue, or are removed if they
 * have no transmissions left. */
static void add_queued_records(sr_gossip_t *g, sr_gossip_encoder_t *encoder,
			       sr_list_t *queue, const char *domain)
{
	sr_list_t *last = queue->prev;

	sr_list_for_each_safe (pos, queue) {
		sr_gossip_record_t *record =
			sr_list_entry(pos, sr_gossip_record_t, queue_link);
		gboolean fits = add_queued_record(g, encoder, record, domain);

		if (!fits)
			return;
		sr_list_remove(pos);
		if (record->local_transmits || record->remote_transmits)
			sr_list_append(queue, pos);
		if (pos == last)
			return;
	}
}

void sr_gossip_send(sr_gossip_t *g, const char *address, const char *domain,
		    const sr_gossip_message_t *message,
		    const sr_gossip_record_t *first)
{
	sr_gossip_encoder_t encoder;
	sr_wire_record_t wire;

	start_datagram(g, &encoder, message);
	if (first && first != g->self &&
	    sr_gossip_record_to_wire(first, g->now, &wire))
		sr_gossip_encoder_add(&encoder, &wire);
	if (domain) {
		for (unsigned i = 0; i < SR_GOSSIP_N_QUEUES; i++)
			add_queued_records(g, &encoder, &g->queues[i], domain);
	}
	if (!encoder.n_records && message->type == SR_GOSSIP_PUSH) {
		g_variant_builder_unref(encoder.records);
		return;
	}
	send_datagram(g, address, &encoder);
}

void sr_gossip_send_records(sr_gossip_t *g, const char *address,
			    const GPtrArray *records, gboolean is_urgent)
{
	sr_gossip_message_t message = sr_gossip_make_message(g, SR_GOSSIP_PUSH);
	guint i = 0;

	for (int n = 0; n < RESPONSE_DATAGRAMS_MAX && i < records->len; n++) {
		sr_gossip_encoder_t encoder;
		sr_wire_record_t wire;

		if (g->send_budget <= 0 && !is_urgent)
			return;
		start_datagram(g, &encoder, &message);
		for (; i < records->len; i++) {
			if (!sr_gossip_record_to_wire(
				    g_ptr_array_index(records, i), g->now,
				    &wire))
				continue;
			if (!sr_gossip_encoder_add(&encoder, &wire))
				break;
		}
		send_datagram(g, address, &encoder);
	}
}

static void push_to_members(sr_gossip_t *g, const GPtrArray *targets,
			    guint fanout)
{
	sr_gossip_message_t message = sr_gossip_make_message(g, SR_GOSSIP_PUSH);

	for (guint i = 0; i < MIN(targets->len, fanout); i++) {
		const sr_gossip_record_t *target =
			g_ptr_array_index(targets, i);

		if (g->send_budget <= 0)
			return;
		sr_gossip_send(g, target->address, target->domain, &message,
			       NULL);
	}
}

/* Without recipients the transmissions are dropped; anti-entropy delivers the
 * records to members that appear later. */
static void drop_transmits(sr_list_t *queue, gboolean local, gboolean remote)
{
	sr_list_for_each_safe (pos, queue) {
		sr_gossip_record_t *record =
			sr_list_entry(pos, sr_gossip_record_t, queue_link);

		if (local)
			record->local_transmits = 0;
		if (remote)
			record->remote_transmits = 0;
		if (!record->local_transmits && !record->remote_transmits)
			sr_list_remove(pos);
	}
}

static gboolean queues_are_empty(const sr_gossip_t *g)
{
	for (unsigned i = 0; i < SR_GOSSIP_N_QUEUES; i++) {
		if (!sr_list_is_empty(&g->queues[i]))
			return FALSE;
	}
	return TRUE;
}

void sr_gossip_push_queued(sr_gossip_t *g)
{
	GPtrArray *local;
	GPtrArray *remote;

	if (queues_are_empty(g))
		return;
	local = sr_gossip_local_members(g);
	remote = sr_gossip_remote_delegates(g);
	push_to_members(g, local, LOCAL_FANOUT);
	if (sr_gossip_table_is_delegate(&g->table, g->self) || g->has_left)
		push_to_members(g, remote, REMOTE_FANOUT);
	for (unsigned i = 0; i < SR_GOSSIP_N_QUEUES; i++)
		drop_transmits(&g->queues[i], !local->len, !remote->len);
	g_ptr_array_unref(local);
	g_ptr_array_unref(remote);
}

void sr_gossip_refill_budget(sr_gossip_t *g, sr_usec_t elapsed)
{
	g->send_budget +=
		(double)elapsed / (double)SR_SEC * g->options.bytes_per_s;
	g->send_budget = MIN(g->send_budget, SR_GOSSIP_BURST);
}
