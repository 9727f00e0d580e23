/* Decoders of journal batches, segments and manifests. */
#include <stddef.h>
#include <stdint.h>

#include "core/journal_record.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The first byte selects the decoder; a decoded value is encoded again. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *bytes;
	GBytes *reencoded = NULL;
	GPtrArray *records = NULL;
	sr_batch_t *batch = NULL;
	sr_manifest_t *manifest = NULL;

	if (!size)
		return 0;
	bytes = g_bytes_new(data + 1, size - 1);
	switch (data[0] % 3) {
	case 0:
		if (sr_batch_decode(bytes, &batch) == SR_OK)
			reencoded = sr_batch_encode(batch);
		break;
	case 1:
		if (sr_segment_decode(bytes, &records) == SR_OK)
			reencoded = sr_segment_encode(records);
		break;
	default:
		if (sr_manifest_decode(bytes, &manifest) == SR_OK)
			reencoded = sr_manifest_encode(manifest);
		break;
	}
	g_assert(!reencoded || g_bytes_get_size(reencoded) > 0);
	sr_batch_free(batch);
	sr_manifest_free(manifest);
	g_clear_pointer(&records, g_ptr_array_unref);
	g_clear_pointer(&reencoded, g_bytes_unref);
	g_bytes_unref(bytes);
	return 0;
}
