/*
 * Values that hosts fetch from each other arrive unchanged, and what can't be
 * read is refused.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "fleet/fetch_codec.h"

#define ROUTES 3000

static GBytes *table_of(unsigned version, unsigned first)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "version %u\n", version);
	for (unsigned i = 0; i < ROUTES; i++)
		g_string_append_printf(text, "route %08x /ro%u/ model\n",
				       (first + i + 1) * 2654435761U,
				       first + i);
	return g_string_free_to_bytes(text);
}

static GBytes *table(unsigned version)
{
	return table_of(version, 0);
}

/* Guards against changes whose cost grows with the size of the table. */
static void test_difference_is_as_small_as_the_change(void **state)
{
	GBytes *base = table(1);
	GBytes *value = table(2);
	GBytes *encoded = sr_fetch_codec_encode(value, base);
	GBytes *decoded;

	(void)state;
	assert_true(sr_fetch_codec_decode(encoded, base, &decoded));
	assert_true(g_bytes_equal(decoded, value));
	assert_true(g_bytes_get_size(encoded) < 1024);
	g_bytes_unref(decoded);
	g_bytes_unref(encoded);
	g_bytes_unref(value);
	g_bytes_unref(base);
}

/* Guards against a value that is taken for another because the host that
 * decodes it holds another base, or none. */
static void test_other_base_is_refused(void **state)
{
	GBytes *base = table(1);
	GBytes *other = table_of(1, ROUTES);
	GBytes *value = table(2);
	GBytes *encoded = sr_fetch_codec_encode(value, base);
	GBytes *decoded;

	(void)state;
	assert_false(sr_fetch_codec_decode(encoded, other, &decoded));
	assert_null(decoded);
	assert_false(sr_fetch_codec_decode(encoded, NULL, &decoded));
	assert_null(decoded);
	g_bytes_unref(encoded);
	g_bytes_unref(value);
	g_bytes_unref(other);
	g_bytes_unref(base);
}

/* Guards against a missing value that is taken for an empty one. */
static void test_no_value_and_empty_value_differ(void **state)
{
	GBytes *empty = g_bytes_new_static("", 0);
	GBytes *none_encoded = sr_fetch_codec_encode(NULL, NULL);
	GBytes *empty_encoded = sr_fetch_codec_encode(empty, NULL);
	GBytes *decoded;

	(void)state;
	assert_true(sr_fetch_codec_decode(none_encoded, NULL, &decoded));
	assert_null(decoded);
	assert_true(sr_fetch_codec_decode(empty_encoded, NULL, &decoded));
	assert_non_null(decoded);
	assert_int_equal(g_bytes_get_size(decoded), 0);
	g_bytes_unref(decoded);
	g_bytes_unref(empty_encoded);
	g_bytes_unref(none_encoded);
	g_bytes_unref(empty);
}

/* Guards against crashes and wrong values from damaged bytes. */
static void test_damaged_bytes_are_refused(void **state)
{
	GBytes *value = table(1);
	GBytes *encoded = sr_fetch_codec_encode(value, NULL);
	gsize size;
	const guint8 *data = g_bytes_get_data(encoded, &size);
	gsize step = MAX(size / 200, 1);
	GBytes *decoded;

	(void)state;
	for (gsize at = 0; at < size; at += step) {
		guint8 *copy = g_memdup2(data, size);
		GBytes *cut = g_bytes_new(data, at);
		GBytes *damaged;

		copy[at] ^= 0x40;
		damaged = g_bytes_new_take(copy, size);
		/* some bits of the frame's head have no meaning */
		if (sr_fetch_codec_decode(damaged, NULL, &decoded))
			assert_true(g_bytes_equal(decoded, value));
		g_clear_pointer(&decoded, g_bytes_unref);
		assert_false(sr_fetch_codec_decode(cut, NULL, &decoded));
		g_bytes_unref(damaged);
		g_bytes_unref(cut);
	}
	g_bytes_unref(encoded);
	g_bytes_unref(value);
}

static void test_keys(void **state)
{
	char *text = sr_fetch_codec_make_key("changes/0/17", 0xabcU);
	const char *key = NULL;
	guint64 id = 0;

	(void)state;
	assert_true(sr_fetch_codec_parse_key(text, &id, &key));
	assert_string_equal(key, "changes/0/17");
	assert_int_equal(id, 0xabc);
	assert_false(sr_fetch_codec_parse_key("table", &id, &key));
	assert_false(sr_fetch_codec_parse_key("packed/xyz/table", &id, &key));
	assert_false(sr_fetch_codec_parse_key("packed/", &id, &key));
	g_free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_difference_is_as_small_as_the_change),
		cmocka_unit_test(test_other_base_is_refused),
		cmocka_unit_test(test_no_value_and_empty_value_differ),
		cmocka_unit_test(test_damaged_bytes_are_refused),
		cmocka_unit_test(test_keys),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
