/*
 * Decodes the input as a configuration manifest of a peer and as the stored
 * configuration object. An accepted manifest has a bounded size; an accepted
 * object can be encoded again.
 */
#include <stddef.h>
#include <stdint.h>

#include "core/config_sync_object.h"
#include "core/config_sync_parts.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *value = g_bytes_new(data, size);
	sr_config_object_t object;
	sr_config_manifest_t *decoded = sr_config_manifest_decode(value);

	if (decoded)
		g_assert(decoded->size <= SR_CONFIG_PUBLISH_SIZE_MAX);
	sr_config_manifest_free(decoded);
	if (sr_config_object_decode(value, &object)) {
		GBytes *reencoded = sr_config_object_encode(&object);

		g_bytes_unref(reencoded);
	}
	g_bytes_unref(value);
	return 0;
}
