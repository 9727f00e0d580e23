#include "http/headers.h"

#include <string.h>

struct sr_headers {
	GArray *fields; /* sr_header_t */
	GStringChunk *text;
	GTree *connection_options; /* a set; NULL without any */
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
	if (headers->connection_options)
		g_tree_unref(headers->connection_options);
	g_free(headers);
}

static gint compare_names(gconstpointer a, gconstpointer b, gpointer user)
{
	(void)user;
	return g_ascii_strcasecmp(a, b);
}

/* Looked up for each field that is forwarded, hence a tree: a peer chooses the
 * number of both. */
static void add_connection_options(sr_headers_t *headers, const char *list)
{
	if (!headers->connection_options)
		headers->connection_options =
			g_tree_new_full(compare_names, NULL, NULL, NULL);
	while (*list) {
		gsize size;
		char *option;

		list += strspn(list, ", \t");
		size = strcspn(list, ", \t");
		if (size == 0)
			break;
		option = g_string_chunk_insert_len(headers->text, list,
						   (gssize)size);
		g_tree_insert(headers->connection_options, option, option);
		list += size;
	}
}

void sr_headers_add(sr_headers_t *headers, const char *name, const char *value)
{
	const sr_header_t field = {
		.name = g_string_chunk_insert(headers->text, name),
		.value = g_string_chunk_insert(headers->text, value),
	};

	g_array_append_val(headers->fields, field);
	if (!g_ascii_strcasecmp(name, "Connection"))
		add_connection_options(headers, field.value);
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
	return headers->connection_options &&
	       g_tree_lookup(headers->connection_options, name);
}
