/* The accepted configuration's object and a peer's manifest. */
#include <stddef.h>
#include <stdint.h>

#include "core/config_sync_object.h"
#include "core/config_sync_parts.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *value = g_bytes_new(data, size);
	sr_config_object_t object;
	sr_config_manifest_t *list = sr_config_manifest_decode(value);

	if (list)
		g_assert(list->size <= SR_CONFIG_PUBLISH_SIZE_MAX);
	sr_config_manifest_free(list);
	if (sr_config_object_decode(value, &object)) {
		GBytes *again = sr_config_object_encode(&object);

		g_bytes_unref(again);
	}
	g_bytes_unref(value);
	return 0;
}
