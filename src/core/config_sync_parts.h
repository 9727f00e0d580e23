#ifndef SR_CORE_CONFIG_SYNC_PARTS_H
#define SR_CORE_CONFIG_SYNC_PARTS_H

#include <glib.h>

#include "core/config_sync.h"

/**
 * Content-defined chunking: a configuration text is split into parts that are
 * identified by their hash, and a manifest lists them. Whether a part ends
 * after a line depends on the hash of that line, so that a change of one
 * service changes the parts around it and no others.
 */

/** sr_hash_t - the first half of a SHA-256 hash. */
typedef struct {
	guint8 bytes[SR_CONFIG_DIGEST_SIZE];
} sr_hash_t;

/** Usual smallest and absolute largest size of a part, in bytes. */
#define SR_PART_SIZE_MIN 1024
#define SR_PART_SIZE_MAX (8 * 1024)

/** sr_config_manifest_t - the manifest of one generation. */
typedef struct {
	guint64 generation;
	guint64 version; /* of the platform object */
	gsize size;	 /* of the text, in bytes */
	GArray *parts;	 /* sr_hash_t, in the order of the text */
	GArray *sizes;	 /* guint32, of each part, in bytes */
} sr_config_manifest_t;

sr_hash_t sr_hash_compute(const void *data, gsize size);

/** Hash and equality functions for a GHashTable with sr_hash_t keys. */
guint sr_hash_hash(gconstpointer hash);
gboolean sr_hash_equal(gconstpointer a, gconstpointer b);

/**
 * sr_parts_split - split a text and return its manifest
 *
 * Adds the parts to available, which maps sr_hash_t to GBytes. The caller
 * releases the manifest with sr_config_manifest_free().
 */
sr_config_manifest_t *sr_parts_split(GBytes *text, guint64 generation,
				     guint64 version, GHashTable *available);

/**
 * sr_parts_join - return the text of a manifest
 *
 * Returns a new GBytes, or NULL if a part is not in available or the size
 * differs from that in the manifest.
 */
GBytes *sr_parts_join(const sr_config_manifest_t *manifest,
		      GHashTable *available);

/** sr_parts_first_missing - index of the first part not available, or -1. */
int sr_parts_first_missing(const sr_config_manifest_t *manifest,
			   GHashTable *available);

/** sr_config_manifest_encode - return a new value for peers. */
GBytes *sr_config_manifest_encode(const sr_config_manifest_t *manifest);

/**
 * sr_config_manifest_decode - decode a value from a peer
 *
 * Returns NULL if the value is malformed, or if a part or the text is too
 * large.
 */
sr_config_manifest_t *sr_config_manifest_decode(GBytes *value);

/** sr_config_manifest_free - release a manifest; it may be NULL. */
void sr_config_manifest_free(sr_config_manifest_t *manifest);

/** sr_hash_format_key - "KIND/HEX", such as "part/HEX"; the caller frees it. */
char *sr_hash_format_key(const char *kind, const sr_hash_t *hash);

/** sr_hash_parse_key - return FALSE if key is not of this kind. */
gboolean sr_hash_parse_key(const char *kind, const char *key, sr_hash_t *hash);

#endif
