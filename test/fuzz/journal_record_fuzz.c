#include <stddef.h>
#include <stdint.h>

#include "core/journal_record.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The first byte picks the decoder; what decodes must code and decode again. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *bytes;
	GBytes *again = NULL;
	GPtrArray *records = NULL;
	sr_batch_t *batch = NULL;
	sr_manifest_t *manifest = NULL;

	if (!size)
		return 0;
	bytes = g_bytes_new(data + 1, size - 1);
	switch (data[0] % 3) {
	case 0:
		if (sr_batch_decode(bytes, &batch) == SR_OK)
			again = sr_batch_encode(batch);
		break;
	case 1:
		if (sr_segment_decode(bytes, &records) == SR_OK)
			again = sr_segment_encode(records);
		break;
	default:
		if (sr_manifest_decode(bytes, &manifest) == SR_OK)
			again = sr_manifest_encode(manifest);
		break;
	}
	g_assert(!again || g_bytes_get_size(again) > 0);
	sr_batch_free(batch);
	sr_manifest_free(manifest);
	g_clear_pointer(&records, g_ptr_array_unref);
	g_clear_pointer(&again, g_bytes_unref);
	g_bytes_unref(bytes);
	return 0;
}
