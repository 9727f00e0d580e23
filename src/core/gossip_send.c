#include "core/gossip_internal.h"

#include <string.h>

/* How many targets a push goes to, in the own domain and elsewhere. */
#define NEAR_FANOUT 2
#define FAR_FANOUT 2
/* A record is sent this often times the logarithm of the receivers. */
#define TRANSMIT_FACTOR 3
/** The same for bulk, which is replaced soon and may miss some members. */
#define TRANSMIT_FACTOR_BULK 1
/* Datagrams that answer one message at most. */
#define ANSWER_DATAGRAMS 8

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
		gpointer swap = list->pdata[i - 1];

		list->pdata[i - 1] = list->pdata[j];
		list->pdata[j] = swap;
	}
}

GPtrArray *sr_gossip_near(sr_gossip_t *g)
{
	const GPtrArray *all = sr_table_of_domain(&g->table, g->table.domain);
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < all->len; i++) {
		sr_record_t *record = g_ptr_array_index(all, i);

		if (record != g->self && sr_member_is_live(record))
			g_ptr_array_add(out, record);
	}
	shuffle(g, out);
	return out;
}

static sr_record_t *random_delegate(sr_gossip_t *g, const GPtrArray *list)
{
	sr_record_t *found = NULL;
	gint32 seen = 0;

	for (guint i = 0; i < list->len; i++) {
		sr_record_t *record = g_ptr_array_index(list, i);

		if (!sr_table_is_delegate(&g->table, record))
			continue;
		if (g_rand_int_range(g->random, 0, ++seen) == 0)
			found = record;
	}
	return found;
}

static gint compare_domains(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* The order of a hash table may not decide anything: a seed must repeat. */
static GPtrArray *sorted_domains(sr_gossip_t *g)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, g->table.members);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(names, key);
	g_ptr_array_sort(names, compare_domains);
	return names;
}

GPtrArray *sr_gossip_far(sr_gossip_t *g)
{
	GPtrArray *names = sorted_domains(g);
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);
		sr_record_t *delegate;

		if (!strcmp(name, g->table.domain))
			continue;
		delegate =
			random_delegate(g, sr_table_of_domain(&g->table, name));
		if (delegate)
			g_ptr_array_add(out, delegate);
	}
	shuffle(g, out);
	g_ptr_array_unref(names);
	return out;
}

static sr_gossip_queue_t queue_of(const sr_record_t *record)
{
	switch (record->kind) {
	case SR_RUMOUR_INSTANCE:
		return SR_QUEUE_NEWS;
	case SR_RUMOUR_EVIDENCE:
	case SR_RUMOUR_USAGE:
	case SR_RUMOUR_STATUS:
	case SR_RUMOUR_LOAD:
	case SR_RUMOUR_DEMAND:
		return SR_QUEUE_BULK;
	default:
		return SR_QUEUE_FIRST;
	}
}

void sr_gossip_enqueue(sr_gossip_t *g, sr_record_t *record)
{
	const GPtrArray *near = sr_table_of_domain(&g->table, g->table.domain);
	unsigned domains = g_hash_table_size(g->table.members);
	sr_gossip_queue_t queue = queue_of(record);
	unsigned factor =
		queue == SR_QUEUE_BULK ? TRANSMIT_FACTOR_BULK : TRANSMIT_FACTOR;

	sr_list_remove(&record->queued);
	record->near_left = factor * log2_ceil(near->len + 1);
	record->far_left = 0;
	if (sr_table_is_delegate(&g->table, g->self))
		record->far_left = factor * log2_ceil(domains + 1);
	/* what was not sent yet goes before what is sent again */
	sr_list_prepend(&g->queues[queue], &record->queued);
}

void sr_gossip_lose_interest(sr_gossip_t *g, const sr_wire_record_t *wire,
			     const char *domain)
{
	sr_record_t *record = sr_table_find(&g->table, wire->kind, wire->key);
	gboolean near = !strcmp(domain, g->table.domain);
	unsigned *left;

	if (!record || record->version != wire->version)
		return;
	left = near ? &record->near_left : &record->far_left;
	*left /= 2;
	if (!record->near_left && !record->far_left)
		sr_list_remove(&record->queued);
}

sr_gossip_message_t sr_gossip_message(sr_gossip_t *g, sr_gossip_type_t type)
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

/* A message says that its sender lives, so one that leaves adds its state. */
static void start_datagram(sr_gossip_t *g, sr_gossip_encoder_t *encoder,
			   const sr_gossip_message_t *message)
{
	sr_wire_record_t wire;

	sr_gossip_encoder_start(encoder, message);
	if (g->left && sr_record_to_wire(g->self, g->now, &wire))
		sr_gossip_encoder_add(encoder, &wire);
}

static void emit(sr_gossip_t *g, const char *address,
		 sr_gossip_encoder_t *encoder)
{
	GBytes *datagram = sr_gossip_encoder_finish(encoder);
	gsize size;
	const guint8 *data = g_bytes_get_data(datagram, &size);

	g->stats.sent++;
	g->stats.bytes_sent += size;
	g->tokens -= (double)size;
	g->options.send(g->options.user, address, data, size);
	g_bytes_unref(datagram);
}

/* Adds a queued record that has transmissions left to where it goes. */
static gboolean add_queued(sr_gossip_t *g, sr_gossip_encoder_t *encoder,
			   sr_record_t *record, const char *domain)
{
	gboolean near = !strcmp(domain, g->table.domain);
	unsigned *left = near ? &record->near_left : &record->far_left;
	sr_wire_record_t wire;

	if (!*left)
		return TRUE;
	if (!sr_table_in_scope(&g->table, record, domain) ||
	    !sr_record_to_wire(record, g->now, &wire)) {
		*left = 0;
		return TRUE;
	}
	if (!sr_gossip_encoder_add(encoder, &wire))
		return FALSE;
	--*left;
	return TRUE;
}

/* What was sent goes to the end of the line; what is done leaves it. */
static void add_queue(sr_gossip_t *g, sr_gossip_encoder_t *encoder,
		      sr_list_t *queue, const char *domain)
{
	sr_list_t *last = queue->prev;

	sr_list_for_each_safe (pos, queue) {
		sr_record_t *record = sr_list_entry(pos, sr_record_t, queued);
		gboolean fits = add_queued(g, encoder, record, domain);

		if (!fits)
			return;
		sr_list_remove(pos);
		if (record->near_left || record->far_left)
			sr_list_append(queue, pos);
		if (pos == last)
			return;
	}
}

void sr_gossip_send(sr_gossip_t *g, const char *address, const char *domain,
		    const sr_gossip_message_t *message,
		    const sr_record_t *first)
{
	sr_gossip_encoder_t encoder;
	sr_wire_record_t wire;

	start_datagram(g, &encoder, message);
	if (first && first != g->self &&
	    sr_record_to_wire(first, g->now, &wire))
		sr_gossip_encoder_add(&encoder, &wire);
	if (domain) {
		for (unsigned i = 0; i < SR_N_QUEUES; i++)
			add_queue(g, &encoder, &g->queues[i], domain);
	}
	if (!encoder.n_records && message->type == SR_GOSSIP_PUSH) {
		g_variant_builder_unref(encoder.records);
		return;
	}
	emit(g, address, &encoder);
}

void sr_gossip_send_records(sr_gossip_t *g, const char *address,
			    const GPtrArray *records)
{
	sr_gossip_message_t message = sr_gossip_message(g, SR_GOSSIP_PUSH);
	guint i = 0;

	for (int n = 0; n < ANSWER_DATAGRAMS && i < records->len; n++) {
		sr_gossip_encoder_t encoder;
		sr_wire_record_t wire;

		if (g->tokens <= 0)
			return;
		start_datagram(g, &encoder, &message);
		for (; i < records->len; i++) {
			if (!sr_record_to_wire(g_ptr_array_index(records, i),
					       g->now, &wire))
				continue;
			if (!sr_gossip_encoder_add(&encoder, &wire))
				break;
		}
		emit(g, address, &encoder);
	}
}

static void push_to(sr_gossip_t *g, const GPtrArray *targets, guint fanout)
{
	sr_gossip_message_t message = sr_gossip_message(g, SR_GOSSIP_PUSH);

	for (guint i = 0; i < MIN(targets->len, fanout); i++) {
		const sr_record_t *target = g_ptr_array_index(targets, i);

		if (g->tokens <= 0)
			return;
		sr_gossip_send(g, target->address, target->domain, &message,
			       NULL);
	}
}

/* Nobody to tell: anti-entropy brings it when somebody appears. */
static void forget_queue(sr_list_t *queue, gboolean near, gboolean far)
{
	sr_list_for_each_safe (pos, queue) {
		sr_record_t *record = sr_list_entry(pos, sr_record_t, queued);

		if (near)
			record->near_left = 0;
		if (far)
			record->far_left = 0;
		if (!record->near_left && !record->far_left)
			sr_list_remove(pos);
	}
}

static gboolean is_idle(const sr_gossip_t *g)
{
	for (unsigned i = 0; i < SR_N_QUEUES; i++) {
		if (!sr_list_is_empty(&g->queues[i]))
			return FALSE;
	}
	return TRUE;
}

void sr_gossip_push(sr_gossip_t *g)
{
	GPtrArray *near;
	GPtrArray *far;

	if (is_idle(g))
		return;
	near = sr_gossip_near(g);
	far = sr_gossip_far(g);
	push_to(g, near, NEAR_FANOUT);
	if (sr_table_is_delegate(&g->table, g->self) || g->left)
		push_to(g, far, FAR_FANOUT);
	for (unsigned i = 0; i < SR_N_QUEUES; i++)
		forget_queue(&g->queues[i], !near->len, !far->len);
	g_ptr_array_unref(near);
	g_ptr_array_unref(far);
}

void sr_gossip_refill(sr_gossip_t *g, sr_usec_t elapsed)
{
	g->tokens += (double)elapsed / (double)SR_SEC * g->options.bytes_per_s;
	g->tokens = MIN(g->tokens, SR_GOSSIP_BURST);
}
