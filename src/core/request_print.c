#include "core/request_print.h"

#include <string.h>
#include <xxhash.h>

/* Covers the final 0 too, so that the fields can't run into each other. */
static guint64 add_text(guint64 hash, const char *text)
{
	return XXH64(text, strlen(text) + 1, hash);
}

guint64 sr_request_print_whole(const sr_request_source_t *source)
{
	guint64 hash = add_text(0, source->method);

	hash = add_text(hash, source->target);
	hash = add_text(hash, source->account ? source->account : "");
	return XXH64(source->body, source->size, hash);
}

void sr_request_print_set_parts(sr_request_print_t *print, const guint64 *parts,
				unsigned n)
{
	print->n_parts = n > 0 ? MIN(n - 1, SR_REQUEST_PRINT_PARTS) : 0;
	for (unsigned i = 0; i < print->n_parts; i++)
		print->parts[i] = parts[i];
}

gboolean sr_request_print_has(const sr_request_print_t *print,
			      guint64 fingerprint)
{
	for (unsigned i = 0; i < print->n_parts; i++) {
		if (print->parts[i] == fingerprint)
			return TRUE;
	}
	return print->request == fingerprint;
}

void sr_request_print_format(guint64 fingerprint,
			     char text[SR_REQUEST_PRINT_TEXT_SIZE])
{
	g_snprintf(text, SR_REQUEST_PRINT_TEXT_SIZE,
		   "%016" G_GINT64_MODIFIER "x", fingerprint);
}

gboolean sr_request_print_parse(const char *text, guint64 *fingerprint)
{
	return g_ascii_string_to_unsigned(text, 16, 0, G_MAXUINT64, fingerprint,
					  NULL);
}
