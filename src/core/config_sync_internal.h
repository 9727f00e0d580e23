#ifndef SR_CORE_CONFIG_SYNC_INTERNAL_H
#define SR_CORE_CONFIG_SYNC_INTERNAL_H

#include "base/list.h"
#include "core/config_sync.h"
#include "core/config_sync_object.h"
#include "core/config_sync_parts.h"

/* Parts of sr_config_sync_t: what is in force and the platform's object
 * (config_sync.c), fetching from peers (config_sync_fetch.c) and publishing
 * (config_sync_publish.c). */

/** The generation that a rumour promises, and how far its fetch has come. */
typedef struct {
	guint64 wanted;
	sr_hash_t digest; /* of the wanted manifest */
	gboolean active;  /* a fetch is under way */
	sr_hash_t asked;  /* what it asks for */
	sr_part_list_t *manifest;
	unsigned failures;
	sr_usec_t retry_at;
} sr_fetch_state_t;

struct sr_config_sync {
	sr_config_sync_options_t options; /* the node is a copy */
	GRand *random;
	sr_usec_t now;
	guint64 generation;
	guint64 version; /* of the platform's object that is in force */
	GBytes *text;
	sr_part_list_t *manifest;
	sr_part_list_t *previous; /* peers may still be fetching it */
	GBytes *manifest_bytes;
	sr_hash_t digest;
	GHashTable *parts; /* sr_hash_t to GBytes */
	gboolean watcher;
	gboolean watching; /* a watch is under way */
	sr_usec_t next_watch;
	gboolean polling;
	sr_usec_t next_poll;
	gboolean reading;
	guint64 seen_version; /* of the object when it was last heard of */
	sr_fetch_state_t fetch;
	sr_list_t publications;
	sr_config_sync_stats_t stats;
};

sr_usec_t sr_config_sync_jitter(sr_config_sync_t *sync, sr_usec_t time);

/** sr_config_sync_read - read the whole object, unless that is under way. */
void sr_config_sync_read(sr_config_sync_t *sync);

/** sr_config_sync_adopt - bring a text into force if it is newer. */
void sr_config_sync_adopt(sr_config_sync_t *sync, guint64 generation,
			  guint64 version, GBytes *text);

/** sr_config_sync_take - an object that the platform returned. */
void sr_config_sync_take(sr_config_sync_t *sync, GBytes *value, guint64 version,
			 const sr_config_object_t *object);

void sr_fetch_tick(sr_config_sync_t *sync);
void sr_fetch_clear(sr_config_sync_t *sync);

void sr_publish_tick(sr_config_sync_t *sync);
void sr_publish_clear(sr_config_sync_t *sync);

#endif
