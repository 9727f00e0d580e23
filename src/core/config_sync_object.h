#ifndef SR_CORE_CONFIG_SYNC_OBJECT_H
#define SR_CORE_CONFIG_SYNC_OBJECT_H

#include <glib.h>

/**
 * The value of the accepted configuration's object: one line of JSON, then
 * the text as the operator wrote it. The line holds the generation and the
 * write ids of the latest generations, newest first, so that a writer whose
 * answer was lost can tell whether its write took effect.
 */

/** Write ids that the object remembers. */
#define SR_CONFIG_HISTORY 32

typedef struct {
	guint64 generation;
	guint64 writes[SR_CONFIG_HISTORY]; /* of generation - i */
	unsigned n_writes;
	const char *text; /* inside the value */
	gsize size;
} sr_config_object_t;

/** sr_config_object_encode - a new value. */
GBytes *sr_config_object_encode(const sr_config_object_t *object);

/** sr_config_object_decode - FALSE if it is malformed. */
gboolean sr_config_object_decode(GBytes *value, sr_config_object_t *object);

/** Who wrote a generation? */
typedef enum {
	SR_WRITE_OURS,
	SR_WRITE_OTHER,
	SR_WRITE_TOO_OLD, /* no longer remembered */
} sr_write_owner_t;

sr_write_owner_t sr_config_object_owner(const sr_config_object_t *object,
					guint64 generation, guint64 write);

#endif
