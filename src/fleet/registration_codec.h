#ifndef SR_FLEET_REGISTRATION_CODEC_H
#define SR_FLEET_REGISTRATION_CODEC_H

#include "core/instances.h"

/**
 * A registration as one entry host tells it to another: text with a line a
 * field.
 */

/** sr_registration_encode - caller frees; NULL if a field can't be told. */
char *sr_registration_encode(const sr_registration_t *entry);

/**
 * sr_registration_decode - FALSE if it is malformed
 *
 * Strings are borrowed from fields, which the caller frees by g_strfreev().
 */
gboolean sr_registration_decode(const guint8 *value, gsize size,
				sr_registration_t *entry, char ***fields);

#endif
