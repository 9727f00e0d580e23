#ifndef SR_CORE_CONFIG_SYNC_INTERNAL_H
#define SR_CORE_CONFIG_SYNC_INTERNAL_H

#include "base/list.h"
#include "core/config_sync.h"
#include "core/config_sync_object.h"
#include "core/config_sync_parts.h"

/* State shared by the files of sr_config_sync_t: reading the platform object
 * and applying it (config_sync.c), fetching from peers (config_sync_fetch.c),
 * publishing (config_sync_publish.c). */

/** sr_config_fetch_t - the fetch of the newest generation that a rumour
 * announced. */
typedef struct {
	guint64 target_generation;
	sr_hash_t manifest_hash; /* from the rumour */
	gboolean pending;	 /* a request to a peer has no reply yet */
	sr_hash_t requested;	 /* hash of the latest requested value */
	sr_config_manifest_t *manifest; /* NULL until it is fetched */
	unsigned failures;		/* of this generation */
	sr_usec_t retry_at;
} sr_config_fetch_t;

struct sr_config_sync {
	sr_config_sync_options_t options; /* node is owned */
	GRand *random;
	sr_usec_t now;

	/* the applied configuration */
	guint64 generation; /* 0 if there is none */
	guint64 version;    /* of the platform object */
	GBytes *text;
	sr_config_manifest_t *manifest;
	sr_config_manifest_t
		*previous_manifest; /* peers may still fetch its parts */
	GBytes *manifest_bytes;	    /* encoded manifest */
	sr_hash_t manifest_hash;
	GHashTable *parts; /* sr_hash_t -> GBytes, also those fetched */

	/* calls to the platform */
	gboolean is_watcher;
	gboolean watch_pending;
	sr_usec_t next_watch;
	gboolean poll_pending;
	sr_usec_t next_poll;
	gboolean read_pending;
	guint64 seen_version; /* latest known version of the object */

	sr_config_fetch_t fetch;
	sr_list_t publications; /* of publication_t */
	sr_config_sync_stats_t stats;
};

/** sr_config_sync_jitter - time multiplied by a random 0.75 to 1.25. */
sr_usec_t sr_config_sync_jitter(sr_config_sync_t *sync, sr_usec_t time);

/** sr_config_sync_read - read the object, unless a read is pending. */
void sr_config_sync_read(sr_config_sync_t *sync);

/**
 * sr_config_sync_apply - apply a text and announce its generation
 *
 * generation must be newer than the applied one. A reference to text is taken.
 */
void sr_config_sync_apply(sr_config_sync_t *sync, guint64 generation,
			  guint64 version, GBytes *text);

/**
 * sr_config_sync_process_object - apply an object from the platform if newer
 *
 * object is the decoded value.
 */
void sr_config_sync_process_object(sr_config_sync_t *sync, GBytes *value,
				   guint64 version,
				   const sr_config_object_t *object);

/** Called by sr_config_sync_tick() and sr_config_sync_free(). */
void sr_config_sync_fetch_tick(sr_config_sync_t *sync);
void sr_config_sync_fetch_clear(sr_config_sync_t *sync);

void sr_config_sync_publish_tick(sr_config_sync_t *sync);
void sr_config_sync_publish_clear(sr_config_sync_t *sync);

#endif
