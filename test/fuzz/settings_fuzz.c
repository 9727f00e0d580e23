/* Fuzzes the parser of the daemon's settings: it returns NULL if and only if
 * there are findings. */
#include <stddef.h>
#include <stdint.h>

#include "base/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GPtrArray *findings = sr_findings_new();
	sr_settings_t *settings =
		sr_settings_parse((const char *)data, size, findings);

	g_assert((settings == NULL) == (findings->len > 0));
	sr_settings_free(settings);
	g_ptr_array_unref(findings);
	return 0;
}
