#include "core/gossip_wire.h"

#include <string.h>

/* GVariant types: the fields of sr_gossip_message_t in their order and an array
 * of records, and the fields of sr_wire_record_t in their order. */
#define MESSAGE_TYPE "(ysssttssata(ystuay))"
#define RECORD_TYPE "(ystuay)"

/* Upper bounds of the fixed-size fields, alignment and framing, in bytes. */
#define MESSAGE_OVERHEAD 96
#define RECORD_OVERHEAD 40

/* Converts between the byte order of this host and little endian. */
static GVariant *swap_to_wire_order(GVariant *value)
{
	if (G_BYTE_ORDER == G_LITTLE_ENDIAN)
		return value;
	return g_variant_byteswap(value);
}

void sr_gossip_encoder_start(sr_gossip_encoder_t *encoder,
			     const sr_gossip_message_t *message)
{
	encoder->message = *message;
	encoder->records =
		g_variant_builder_new(G_VARIANT_TYPE("a" RECORD_TYPE));
	encoder->n_records = 0;
	encoder->size = MESSAGE_OVERHEAD + strlen(message->sender) +
			strlen(message->domain) + strlen(message->address) +
			strlen(message->target) +
			strlen(message->target_address) +
			message->n_numbers * sizeof(guint64);
	g_assert(encoder->size <= SR_GOSSIP_DATAGRAM_MAX);
}

gboolean sr_gossip_encoder_add(sr_gossip_encoder_t *encoder,
			       const sr_wire_record_t *record)
{
	gsize size = RECORD_OVERHEAD + strlen(record->key) + record->size;

	if (encoder->size + size > SR_GOSSIP_DATAGRAM_MAX)
		return FALSE;
	encoder->size += size;
	encoder->n_records++;
	g_variant_builder_add(encoder->records, "(ystu@ay)", record->kind,
			      record->key, record->version, record->ttl_ms,
			      g_variant_new_fixed_array(G_VARIANT_TYPE_BYTE,
							record->value,
							record->size, 1));
	return TRUE;
}

GBytes *sr_gossip_encoder_finish(sr_gossip_encoder_t *encoder)
{
	const sr_gossip_message_t *m = &encoder->message;
	GVariant *numbers =
		g_variant_new_fixed_array(G_VARIANT_TYPE_UINT64, m->numbers,
					  m->n_numbers, sizeof(guint64));
	GVariant *value = g_variant_new(
		"(ysssttss@ata" RECORD_TYPE ")", (guint8)m->type, m->sender,
		m->domain, m->address, m->incarnation, m->nonce, m->target,
		m->target_address, numbers, encoder->records);
	GVariant *wire = swap_to_wire_order(g_variant_ref_sink(value));
	GBytes *bytes = g_variant_get_data_as_bytes(wire);

	g_variant_builder_unref(encoder->records);
	g_variant_unref(wire);
	g_assert(g_bytes_get_size(bytes) <= SR_GOSSIP_DATAGRAM_MAX);
	return bytes;
}

static gboolean is_name_valid(const char *text)
{
	gsize size = strlen(text);

	return size > 0 && size <= SR_GOSSIP_NAME_MAX;
}

static gboolean is_message_valid(const sr_gossip_message_t *m)
{
	return m->type >= SR_GOSSIP_PING && m->type < SR_GOSSIP_N_TYPES &&
	       is_name_valid(m->sender) && is_name_valid(m->domain) &&
	       is_name_valid(m->address) &&
	       m->incarnation < SR_GOSSIP_INCARNATION_MAX &&
	       strlen(m->target) <= SR_GOSSIP_NAME_MAX &&
	       strlen(m->target_address) <= SR_GOSSIP_NAME_MAX &&
	       m->n_numbers <= SR_GOSSIP_NUMBERS_MAX;
}

static gboolean is_wire_record_valid(const sr_wire_record_t *record)
{
	if (strlen(record->key) > SR_RUMOUR_KEY_MAX ||
	    record->size > SR_RUMOUR_VALUE_MAX)
		return FALSE;
	return record->kind == SR_RECORD_MEMBER ||
	       record->kind < SR_RUMOUR_N_KINDS;
}

static gboolean read_records(sr_gossip_datagram_t *datagram, GVariant *list)
{
	datagram->n_records = g_variant_n_children(list);
	datagram->records = g_new0(sr_wire_record_t, datagram->n_records);
	for (gsize i = 0; i < datagram->n_records; i++) {
		sr_wire_record_t *record = &datagram->records[i];
		GVariant *part = g_variant_get_child_value(list, i);
		GVariant *value;

		g_variant_get(part, "(y&stu@ay)", &record->kind, &record->key,
			      &record->version, &record->ttl_ms, &value);
		record->value =
			g_variant_get_fixed_array(value, &record->size, 1);
		g_ptr_array_add(datagram->children, part);
		g_ptr_array_add(datagram->children, value);
		if (!is_wire_record_valid(record))
			return FALSE;
	}
	return TRUE;
}

gboolean sr_gossip_decode(const guint8 *data, gsize size,
			  sr_gossip_datagram_t *datagram)
{
	sr_gossip_message_t *m = &datagram->message;
	GBytes *bytes;
	GVariant *list;
	GVariant *raw;
	guint8 type;
	gboolean valid;

	memset(datagram, 0, sizeof(*datagram));
	if (!size || size > SR_GOSSIP_DATAGRAM_MAX)
		return FALSE;
	bytes = g_bytes_new(data, size);
	raw = g_variant_ref_sink(g_variant_new_from_bytes(
		G_VARIANT_TYPE(MESSAGE_TYPE), bytes, FALSE));
	g_bytes_unref(bytes);
	if (!g_variant_is_normal_form(raw)) {
		g_variant_unref(raw);
		return FALSE;
	}
	datagram->root = swap_to_wire_order(raw);
	datagram->children =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_variant_unref);
	g_variant_get(datagram->root, "(y&s&s&stt&s&s@at@a" RECORD_TYPE ")",
		      &type, &m->sender, &m->domain, &m->address,
		      &m->incarnation, &m->nonce, &m->target,
		      &m->target_address, &datagram->numbers, &list);
	m->type = (sr_gossip_type_t)type;
	m->numbers = g_variant_get_fixed_array(datagram->numbers, &m->n_numbers,
					       sizeof(guint64));
	valid = is_message_valid(m) && read_records(datagram, list);
	g_variant_unref(list);
	if (!valid)
		sr_gossip_datagram_clear(datagram);
	return valid;
}

void sr_gossip_datagram_clear(sr_gossip_datagram_t *datagram)
{
	g_clear_pointer(&datagram->children, g_ptr_array_unref);
	g_clear_pointer(&datagram->records, g_free);
	g_clear_pointer(&datagram->numbers, g_variant_unref);
	g_clear_pointer(&datagram->root, g_variant_unref);
}
