/* Fuzzes the decoders of the platform's answers. */
#include <stddef.h>
#include <stdint.h>

#include "platform_api/decode.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void unref_array(GPtrArray *list)
{
	if (list)
		g_ptr_array_unref(list);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *answer = g_bytes_new(data, size);
	gboolean more;

	unref_array(sr_decode_list(answer, &more));
	unref_array(sr_decode_hosts(answer));
	unref_array(sr_decode_notices(answer));
	g_bytes_unref(answer);
	return 0;
}
