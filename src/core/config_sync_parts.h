#ifndef SR_CORE_CONFIG_SYNC_PARTS_H
#define SR_CORE_CONFIG_SYNC_PARTS_H

#include <glib.h>

#include "core/config_sync.h"

/**
 * A configuration as parts that are named by their hash, and the manifest
 * that lists them. Text is split after lines whose hash says so, so that a
 * change of one service changes the parts around it and no other.
 */

/** sr_hash_t - the first half of a SHA-256. */
typedef struct {
	guint8 bytes[SR_CONFIG_DIGEST_SIZE];
} sr_hash_t;

/** Bounds of a part's size, in bytes. */
#define SR_PART_MIN 1024
#define SR_PART_MAX (8 * 1024)

/** sr_part_list_t - one generation, by its parts. */
typedef struct {
	guint64 generation;
	guint64 version; /* of the platform's object */
	gsize size;	 /* of the text */
	GArray *parts;	 /* of sr_hash_t, in order */
	GArray *sizes;	 /* of guint32 */
} sr_part_list_t;

sr_hash_t sr_hash_of(const void *data, gsize size);
guint sr_hash_hash(gconstpointer hash);
gboolean sr_hash_equal(gconstpointer a, gconstpointer b);

/** sr_parts_split - puts the parts into store (sr_hash_t to GBytes). */
sr_part_list_t *sr_parts_split(GBytes *text, guint64 generation,
			       guint64 version, GHashTable *store);

/** sr_parts_join - the text, or NULL while a part is missing. */
GBytes *sr_parts_join(const sr_part_list_t *manifest, GHashTable *store);

/** sr_parts_missing - index of the first part not in store, or -1. */
int sr_parts_missing(const sr_part_list_t *manifest, GHashTable *store);

GBytes *sr_part_list_encode(const sr_part_list_t *manifest);

/** sr_part_list_decode - NULL if it is malformed or exceeds the limits. */
sr_part_list_t *sr_part_list_decode(GBytes *value);
void sr_part_list_free(sr_part_list_t *manifest);

/** sr_hash_key - "manifest/HEX" or "part/HEX"; freed by the caller. */
char *sr_hash_key(const char *kind, const sr_hash_t *hash);

/** sr_hash_parse_key - FALSE if it is not a key of this kind. */
gboolean sr_hash_parse_key(const char *kind, const char *key, sr_hash_t *hash);

#endif
