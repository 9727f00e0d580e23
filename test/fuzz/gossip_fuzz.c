/*
 * Datagrams of the gossip protocol: raw input, and well-formed messages with
 * fields from the input, which reach the handlers behind the decoder.
 */
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "core/gossip.h"
#include "core/gossip_table.h"
#include "core/gossip_wire.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

typedef struct {
	const uint8_t *data;
	size_t remaining;
} input_t;

static const char *const names[] = { "a", "b", "c", "d", "", "e" };

static guint8 take_byte(input_t *input)
{
	if (!input->remaining)
		return 0;
	input->remaining--;
	return *input->data++;
}

static const char *take_name(input_t *input)
{
	return names[take_byte(input) % G_N_ELEMENTS(names)];
}

static guint64 take_number(input_t *input)
{
	guint64 number = 0;

	for (int i = take_byte(input) % 9; i > 0; i--)
		number = number << 8 | take_byte(input);
	return number;
}

static void on_send(void *user, const char *address, const guint8 *data,
		    gsize size)
{
	g_assert(size <= SR_GOSSIP_DATAGRAM_MAX);
}

static void add_records(sr_gossip_encoder_t *encoder, input_t *input)
{
	for (int i = take_byte(input) % 8; i > 0; i--) {
		GByteArray *value = sr_gossip_encode_member(take_name(input),
							    take_name(input));
		guint8 kind = take_byte(input);
		sr_wire_record_t record = {
			.kind = kind & 8 ? SR_RECORD_MEMBER : kind,
			.key = take_name(input),
			.version = take_number(input),
			.ttl_ms = (guint32)take_number(input),
			.value = value->data,
			.size = value->len - (kind >> 7),
		};

		sr_gossip_encoder_add(encoder, &record);
		g_byte_array_unref(value);
	}
}

static void receive_message(sr_gossip_t *gossip, input_t *input)
{
	guint64 numbers[64];
	sr_gossip_message_t message = {
		.type = (sr_gossip_type_t)(take_byte(input) % 9),
		.sender = take_name(input),
		.domain = take_name(input),
		.address = take_name(input),
		.incarnation = take_number(input),
		.nonce = take_number(input),
		.target = take_name(input),
		.target_address = take_name(input),
		.numbers = numbers,
		.n_numbers = take_byte(input) % G_N_ELEMENTS(numbers),
	};
	sr_gossip_encoder_t encoder;
	GBytes *datagram;
	gsize size;
	const guint8 *data;

	for (gsize i = 0; i < message.n_numbers; i++)
		numbers[i] = take_byte(input) & 1 ?
				     take_number(input) :
				     sr_gossip_record_id(SR_RECORD_MEMBER,
							 take_name(input));
	sr_gossip_encoder_start(&encoder, &message);
	add_records(&encoder, input);
	datagram = sr_gossip_encoder_finish(&encoder);
	data = g_bytes_get_data(datagram, &size);
	sr_gossip_receive(gossip, SR_SEC, data, size);
	g_bytes_unref(datagram);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	input_t input = { .data = data, .remaining = size };
	sr_gossip_options_t options = { .name = "a",
					.failure_domain = "d",
					.address = "1",
					.incarnation = 1,
					.seed = 1,
					.send = on_send };
	sr_gossip_t *gossip = sr_gossip_new(&options, SR_SEC);

	if (take_byte(&input) % 4 == 0)
		sr_gossip_receive(gossip, SR_SEC, input.data, input.remaining);
	while (input.remaining)
		receive_message(gossip, &input);
	for (int i = 1; i < 20; i++)
		sr_gossip_tick(gossip, SR_SEC + i * 500 * SR_MSEC);
	sr_gossip_free(gossip);
	return 0;
}
