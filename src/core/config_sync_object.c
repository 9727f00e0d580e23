#include "core/config_sync_object.h"

#include <json.h>
#include <string.h>

/* Longest header line, in bytes. */
#define HEADER_SIZE_MAX 2048

/* Deepest nesting of JSON values in the header. */
#define HEADER_DEPTH_MAX 4

GBytes *sr_config_object_encode(const sr_config_object_t *object)
{
	GString *out = g_string_new(NULL);
	gsize size;

	g_string_append_printf(
		out, "{\"generation\": %" G_GUINT64_FORMAT ", \"writes\": [",
		object->generation);
	for (unsigned i = 0; i < object->n_write_ids; i++)
		g_string_append_printf(out, "%s\"%016" G_GINT64_MODIFIER "x\"",
				       i ? ", " : "", object->write_ids[i]);
	g_string_append(out, "]}\n");
	g_string_append_len(out, object->text, (gssize)object->size);
	size = out->len;
	return g_bytes_new_take(g_string_free(out, FALSE), size);
}

static gboolean read_writes(json_object *list, sr_config_object_t *object)
{
	if (!json_object_is_type(list, json_type_array))
		return FALSE;
	object->n_write_ids = (unsigned)MIN(json_object_array_length(list),
					    SR_CONFIG_WRITE_IDS_MAX);
	for (unsigned i = 0; i < object->n_write_ids; i++) {
		json_object *write = json_object_array_get_idx(list, i);
		const char *text = json_object_get_string(write);

		if (!json_object_is_type(write, json_type_string) ||
		    !g_ascii_string_to_unsigned(text, 16, 0, G_MAXUINT64,
						&object->write_ids[i], NULL))
			return FALSE;
	}
	return object->n_write_ids > 0;
}

static gboolean read_header(json_object *root, sr_config_object_t *object)
{
	json_object *generation = NULL;
	json_object *writes = NULL;
	gint64 number;

	if (!json_object_is_type(root, json_type_object) ||
	    !json_object_object_get_ex(root, "generation", &generation) ||
	    !json_object_object_get_ex(root, "writes", &writes) ||
	    !json_object_is_type(generation, json_type_int))
		return FALSE;
	number = json_object_get_int64(generation);
	if (number <= 0 || number == G_MAXINT64)
		return FALSE;
	object->generation = (guint64)number;
	return read_writes(writes, object);
}

gboolean sr_config_object_decode(GBytes *value, sr_config_object_t *object)
{
	gsize size;
	const char *data = g_bytes_get_data(value, &size);
	const char *newline =
		data ? memchr(data, '\n', MIN(size, HEADER_SIZE_MAX)) : NULL;
	json_tokener *tokener;
	json_object *root;
	gboolean valid;

	memset(object, 0, sizeof(*object));
	if (!newline)
		return FALSE;
	tokener = json_tokener_new_ex(HEADER_DEPTH_MAX);
	root = json_tokener_parse_ex(tokener, data, (int)(newline - data));
	valid = json_tokener_get_error(tokener) == json_tokener_success &&
		read_header(root, object);
	json_object_put(root);
	json_tokener_free(tokener);
	object->text = newline + 1;
	object->size = size - (gsize)(newline + 1 - data);
	return valid;
}

sr_write_lookup_t sr_config_object_find_write(const sr_config_object_t *object,
					      guint64 generation,
					      guint64 write_id)
{
	guint64 age;

	if (generation > object->generation)
		return SR_WRITE_NOT_FOUND;
	age = object->generation - generation;
	if (age >= object->n_write_ids)
		return SR_WRITE_EXPIRED;
	return object->write_ids[age] == write_id ? SR_WRITE_FOUND :
						    SR_WRITE_NOT_FOUND;
}
