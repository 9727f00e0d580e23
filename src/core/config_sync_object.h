#ifndef SR_CORE_CONFIG_SYNC_OBJECT_H
#define SR_CORE_CONFIG_SYNC_OBJECT_H

#include <glib.h>

/** Number of write ids that are kept in the object. */
#define SR_CONFIG_WRITE_IDS_MAX 32

/**
 * sr_config_object_t - the platform object of the accepted configuration
 *
 * The value is one line of JSON, the header, followed by the configuration
 * text as the operator wrote it. The header contains the generation and the
 * write ids of the latest generations, newest first. With them a writer whose
 * reply was lost finds out whether its write took effect.
 */
typedef struct {
	guint64 generation;
	guint64 write_ids[SR_CONFIG_WRITE_IDS_MAX]; /* [i] of generation - i */
	unsigned n_write_ids;
	const char *text; /* borrowed; points into the value when decoded */
	gsize size;	  /* of the text, in bytes */
} sr_config_object_t;

/** sr_config_object_encode - return a new value. */
GBytes *sr_config_object_encode(const sr_config_object_t *object);

/** sr_config_object_decode - return FALSE if the value is malformed. */
gboolean sr_config_object_decode(GBytes *value, sr_config_object_t *object);

/** sr_write_lookup_t - whether a write created a generation. */
typedef enum {
	SR_WRITE_FOUND,
	SR_WRITE_NOT_FOUND, /* another write did, or none yet */
	SR_WRITE_EXPIRED,   /* the object no longer has the write id */
} sr_write_lookup_t;

/** sr_config_object_find_write - look up the write id of a generation. */
sr_write_lookup_t sr_config_object_find_write(const sr_config_object_t *object,
					      guint64 generation,
					      guint64 write_id);

#endif
