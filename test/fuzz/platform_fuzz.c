/* Answers of the platform. */
#include <stddef.h>
#include <stdint.h>

#include "platform_api/decode.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void drop(GPtrArray *list)
{
	if (list)
		g_ptr_array_unref(list);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *answer = g_bytes_new(data, size);
	gboolean more;

	drop(sr_decode_list(answer, &more));
	drop(sr_decode_hosts(answer));
	drop(sr_decode_notices(answer));
	g_bytes_unref(answer);
	return 0;
}
