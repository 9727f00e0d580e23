#include "http/headers.h"

#include <string.h>

struct sr_headers {
	GArray *fields; /* sr_header_t */
	GStringChunk *text;
};

/** Size of the chunks that names and values are copied to, in bytes. */
#define TEXT_CHUNK_SIZE 512

sr_headers_t *sr_headers_new(void)
{
	sr_headers_t *headers = g_new0(sr_headers_t, 1);

	headers->fields = g_array_new(FALSE, FALSE, sizeof(sr_header_t));
	headers->text = g_string_chunk_new(TEXT_CHUNK_SIZE);
	return headers;
}

void sr_headers_free(sr_headers_t *headers)
{
	if (!headers)
		return;
	g_array_free(headers->fields, TRUE);
	g_string_chunk_free(headers->text);
	g_free(headers);
}

void sr_headers_add(sr_headers_t *headers, const char *name, const char *value)
{
	const sr_header_t field = {
		.name = g_string_chunk_insert(headers->text, name),
		.value = g_string_chunk_insert(headers->text, value),
	};

	g_array_append_val(headers->fields, field);
}

unsigned sr_headers_size(const sr_headers_t *headers)
{
	return headers->fields->len;
}

sr_header_t sr_headers_at(const sr_headers_t *headers, unsigned i)
{
	return g_array_index(headers->fields, sr_header_t, i);
}

const char *sr_headers_get(const sr_headers_t *headers, const char *name)
{
	for (unsigned i = 0; i < headers->fields->len; i++) {
		sr_header_t field = sr_headers_at(headers, i);

		if (!g_ascii_strcasecmp(field.name, name))
			return field.value;
	}
	return NULL;
}

unsigned sr_headers_count(const sr_headers_t *headers, const char *name)
{
	unsigned n = 0;

	for (unsigned i = 0; i < headers->fields->len; i++) {
		if (!g_ascii_strcasecmp(sr_headers_at(headers, i).name, name))
			n++;
	}
	return n;
}

static gboolean list_has_token(const char *list, const char *token)
{
	gsize length = strlen(token);

	while (*list) {
		gsize size;

		list += strspn(list, ", \t");
		size = strcspn(list, ", \t");
		if (size == length && !g_ascii_strncasecmp(list, token, size))
			return TRUE;
		list += size;
	}
	return FALSE;
}

gboolean sr_headers_has_token(const sr_headers_t *headers, const char *name,
			      const char *token)
{
	for (unsigned i = 0; i < headers->fields->len; i++) {
		sr_header_t field = sr_headers_at(headers, i);

		if (!g_ascii_strcasecmp(field.name, name) &&
		    list_has_token(field.value, token))
			return TRUE;
	}
	return FALSE;
}

gboolean sr_headers_is_hop_by_hop(const sr_headers_t *headers, const char *name)
{
	static const char *const hop_by_hop[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Connection",
		"Proxy-Authorization",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Content-Length",
		"Upgrade",
		"Expect",
	};

	for (gsize i = 0; i < G_N_ELEMENTS(hop_by_hop); i++) {
		if (!g_ascii_strcasecmp(hop_by_hop[i], name))
			return TRUE;
	}
	return sr_headers_has_token(headers, "Connection", name);
}
