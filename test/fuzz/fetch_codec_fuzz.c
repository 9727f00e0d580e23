/*
 * Decodes the input as a value that another host has sent, by itself and as a
 * difference, and as the key of a fetch. A decoded value has a bounded size;
 * the input itself can be encoded and is the same when it is decoded.
 */
#include <stddef.h>
#include <stdint.h>

#include "fleet/fetch_codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void decode(GBytes *input, GBytes *base)
{
	GBytes *value = NULL;

	if (sr_fetch_codec_decode(input, base, &value) && value)
		g_assert(g_bytes_get_size(value) <= SR_FETCH_VALUE_MAX);
	g_clear_pointer(&value, g_bytes_unref);
}

static void check_round_trip(GBytes *input, GBytes *base)
{
	GBytes *encoded = sr_fetch_codec_encode(input, base);
	GBytes *value = NULL;

	g_assert(sr_fetch_codec_decode(encoded, base, &value));
	g_assert(g_bytes_equal(value, input));
	g_bytes_unref(value);
	g_bytes_unref(encoded);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *base = g_bytes_new_static("{\"version\":1,\"routes\":[]}", 25);
	GBytes *input = g_bytes_new(data, size);
	char *text = g_strndup((const char *)data, size);
	guint64 base_id;
	const char *key;

	decode(input, NULL);
	decode(input, base);
	check_round_trip(input, NULL);
	check_round_trip(input, base);
	if (sr_fetch_codec_parse_key(text, &base_id, &key))
		g_assert(key > text);
	g_free(text);
	g_bytes_unref(input);
	g_bytes_unref(base);
	return 0;
}
