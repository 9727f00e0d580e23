#ifndef SR_FLEET_REGISTRATION_CODEC_H
#define SR_FLEET_REGISTRATION_CODEC_H

#include "core/instances.h"

/**
 * The gossip format of a registration: text with one line for each field. The
 * name and the revision are not part of it; they are in the key and the version
 * of the rumour.
 */

/** sr_registration_encode - the text of a registration, freed by the caller;
 * NULL if the service, version or failure domain contains a line break. */
char *sr_registration_encode(const sr_registration_t *entry);

/**
 * sr_registration_decode - parse the text of a registration
 *
 * Returns FALSE if it is malformed. Fills in all of entry but its name and
 * revision. The strings of entry point into fields, which the caller frees by
 * g_strfreev() in either case.
 */
gboolean sr_registration_decode(const guint8 *value, gsize size,
				sr_registration_t *entry, char ***fields);

#endif
