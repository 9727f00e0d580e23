#include "core/config_sync_parts.h"

#include <string.h>
#include <xxhash.h>

/* Encoding: generation, version, size of the text, then hash and size of each
 * part; little-endian. */
#define MANIFEST_TYPE "(ttta(ayu))"

/* One in this many lines, by hash, ends a part. */
#define LINES_PER_SPLIT 16

sr_hash_t sr_hash_compute(const void *data, gsize size)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 full[32];
	gsize full_size = sizeof(full);
	sr_hash_t hash;

	g_checksum_update(checksum, data, (gssize)size);
	g_checksum_get_digest(checksum, full, &full_size);
	g_checksum_free(checksum);
	memcpy(hash.bytes, full, sizeof(hash.bytes));
	return hash;
}

guint sr_hash_hash(gconstpointer hash)
{
	guint first;

	memcpy(&first, ((const sr_hash_t *)hash)->bytes, sizeof(first));
	return first;
}

gboolean sr_hash_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(sr_hash_t));
}

static sr_config_manifest_t *new_manifest(guint64 generation, guint64 version,
					  gsize size)
{
	sr_config_manifest_t *manifest = g_new0(sr_config_manifest_t, 1);

	manifest->generation = generation;
	manifest->version = version;
	manifest->size = size;
	manifest->parts = g_array_new(FALSE, FALSE, sizeof(sr_hash_t));
	manifest->sizes = g_array_new(FALSE, FALSE, sizeof(guint32));
	return manifest;
}

void sr_config_manifest_free(sr_config_manifest_t *manifest)
{
	if (!manifest)
		return;
	g_array_unref(manifest->parts);
	g_array_unref(manifest->sizes);
	g_free(manifest);
}

/* Returns the size of the part at the start of data. Shorter parts than
 * SR_PART_SIZE_MIN occur at the end of the text and before a line that would
 * exceed SR_PART_SIZE_MAX; a longer line is split. */
static gsize part_size(const char *data, gsize remaining)
{
	gsize offset = 0;

	while (offset < remaining) {
		const char *end =
			memchr(data + offset, '\n', remaining - offset);
		gsize line = end ? (gsize)(end - data) + 1 - offset :
				   remaining - offset;
		gboolean splits =
			XXH64(data + offset, line, 0) % LINES_PER_SPLIT == 0;

		if (offset && offset + line > SR_PART_SIZE_MAX)
			return offset;
		offset += line;
		if (offset >= SR_PART_SIZE_MAX)
			return SR_PART_SIZE_MAX;
		if (splits && offset >= SR_PART_SIZE_MIN)
			return offset;
	}
	return remaining;
}

sr_config_manifest_t *sr_parts_split(GBytes *text, guint64 generation,
				     guint64 version, GHashTable *available)
{
	gsize size;
	const char *data = g_bytes_get_data(text, &size);
	sr_config_manifest_t *manifest =
		new_manifest(generation, version, size);
	gsize offset = 0;

	while (offset < size) {
		gsize length = part_size(data + offset, size - offset);
		guint32 length32 = (guint32)length;
		sr_hash_t hash = sr_hash_compute(data + offset, length);

		g_array_append_val(manifest->parts, hash);
		g_array_append_val(manifest->sizes, length32);
		if (!g_hash_table_contains(available, &hash))
			g_hash_table_insert(available,
					    g_memdup2(&hash, sizeof(hash)),
					    g_bytes_new(data + offset, length));
		offset += length;
	}
	return manifest;
}

int sr_parts_first_missing(const sr_config_manifest_t *manifest,
			   GHashTable *available)
{
	for (guint i = 0; i < manifest->parts->len; i++)
		if (!g_hash_table_contains(
			    available,
			    &g_array_index(manifest->parts, sr_hash_t, i)))
			return (int)i;
	return -1;
}

GBytes *sr_parts_join(const sr_config_manifest_t *manifest,
		      GHashTable *available)
{
	GByteArray *text = g_byte_array_new();

	if (sr_parts_first_missing(manifest, available) >= 0) {
		g_byte_array_unref(text);
		return NULL;
	}
	for (guint i = 0; i < manifest->parts->len; i++) {
		gsize size;
		const guint8 *data = g_bytes_get_data(
			g_hash_table_lookup(
				available,
				&g_array_index(manifest->parts, sr_hash_t, i)),
			&size);

		g_byte_array_append(text, data, (guint)size);
	}
	if (text->len != manifest->size) {
		g_byte_array_unref(text);
		return NULL;
	}
	return g_byte_array_free_to_bytes(text);
}

/* Converts between the byte orders of the host and of the encoding. */
static GVariant *swap_wire_order(GVariant *value)
{
	if (G_BYTE_ORDER == G_LITTLE_ENDIAN)
		return value;
	return g_variant_byteswap(value);
}

GBytes *sr_config_manifest_encode(const sr_config_manifest_t *manifest)
{
	GVariantBuilder builder;
	GVariant *value;
	GBytes *bytes;

	g_variant_builder_init(&builder, G_VARIANT_TYPE("a(ayu)"));
	for (guint i = 0; i < manifest->parts->len; i++) {
		const sr_hash_t *hash =
			&g_array_index(manifest->parts, sr_hash_t, i);

		g_variant_builder_add(
			&builder, "(@ayu)",
			g_variant_new_fixed_array(G_VARIANT_TYPE_BYTE,
						  hash->bytes,
						  sizeof(hash->bytes), 1),
			g_array_index(manifest->sizes, guint32, i));
	}
	value = g_variant_ref_sink(g_variant_new(
		MANIFEST_TYPE, manifest->generation, manifest->version,
		(guint64)manifest->size, &builder));
	value = swap_wire_order(value);
	bytes = g_variant_get_data_as_bytes(value);
	g_variant_unref(value);
	return bytes;
}

static gboolean read_parts(GVariant *list, sr_config_manifest_t *manifest)
{
	gsize total = 0;

	for (gsize i = 0; i < g_variant_n_children(list); i++) {
		GVariant *hash_bytes;
		guint32 size;
		gsize length;
		const guint8 *bytes;
		sr_hash_t hash;

		g_variant_get_child(list, i, "(@ayu)", &hash_bytes, &size);
		bytes = g_variant_get_fixed_array(hash_bytes, &length, 1);
		if (length == sizeof(hash.bytes))
			memcpy(hash.bytes, bytes, length);
		g_variant_unref(hash_bytes);
		if (length != sizeof(hash.bytes) || !size ||
		    size > SR_PART_SIZE_MAX)
			return FALSE;
		g_array_append_val(manifest->parts, hash);
		g_array_append_val(manifest->sizes, size);
		total += size;
	}
	return total == manifest->size && total <= SR_CONFIG_PUBLISH_SIZE_MAX;
}

sr_config_manifest_t *sr_config_manifest_decode(GBytes *value)
{
	GVariant *raw = g_variant_ref_sink(g_variant_new_from_bytes(
		G_VARIANT_TYPE(MANIFEST_TYPE), value, FALSE));
	sr_config_manifest_t *manifest;
	GVariant *list;
	guint64 generation;
	guint64 version;
	guint64 size;
	gboolean valid;

	if (!g_variant_is_normal_form(raw)) {
		g_variant_unref(raw);
		return NULL;
	}
	raw = swap_wire_order(raw);
	g_variant_get(raw, "(ttt@a(ayu))", &generation, &version, &size, &list);
	manifest = new_manifest(generation, version, size);
	valid = generation > 0 && generation < G_MAXINT64 &&
		read_parts(list, manifest);
	g_variant_unref(list);
	g_variant_unref(raw);
	if (!valid)
		g_clear_pointer(&manifest, sr_config_manifest_free);
	return manifest;
}

char *sr_hash_format_key(const char *kind, const sr_hash_t *hash)
{
	GString *key = g_string_new(kind);

	g_string_append_c(key, '/');
	for (gsize i = 0; i < sizeof(hash->bytes); i++)
		g_string_append_printf(key, "%02x", hash->bytes[i]);
	return g_string_free(key, FALSE);
}

gboolean sr_hash_parse_key(const char *kind, const char *key, sr_hash_t *hash)
{
	gsize skip = strlen(kind) + 1;

	if (!g_str_has_prefix(key, kind) || key[skip - 1] != '/' ||
	    strlen(key + skip) != 2 * sizeof(hash->bytes))
		return FALSE;
	for (gsize i = 0; i < sizeof(hash->bytes); i++) {
		int high = g_ascii_xdigit_value(key[skip + 2 * i]);
		int low = g_ascii_xdigit_value(key[skip + 2 * i + 1]);

		if (high < 0 || low < 0)
			return FALSE;
		hash->bytes[i] = (guint8)(high << 4 | low);
	}
	return TRUE;
}
