#include "platform_api/decode.h"

#include <json.h>

#include "core/store.h"

#define MAX_JSON_DEPTH 8
#define MAX_TIME_LEFT_S 86400.0

static void free_entry(gpointer data)
{
	sr_store_entry_t *entry = data;

	g_free(entry->key);
	g_free(entry);
}

static void free_host(gpointer data)
{
	sr_host_t *host = data;

	g_free(host->name);
	g_free(host->failure_domain);
	g_free(host->class);
	g_free(host);
}

static void free_notice(gpointer data)
{
	sr_notice_t *notice = data;

	g_free(notice->host);
	g_free(notice);
}

static json_object *parse_answer(GBytes *answer)
{
	json_tokener *tokener;
	json_object *object;
	gsize size;
	const char *text = g_bytes_get_data(answer, &size);

	if (!size || size > SR_PLATFORM_ANSWER_MAX_BYTES)
		return NULL;
	tokener = json_tokener_new_ex(MAX_JSON_DEPTH);
	object = json_tokener_parse_ex(tokener, text, (int)size);
	if (json_tokener_get_error(tokener) != json_tokener_success) {
		json_object_put(object);
		object = NULL;
	}
	json_tokener_free(tokener);
	return object;
}

static json_object *get_member(json_object *object, const char *name,
			       json_type type)
{
	json_object *value = NULL;

	if (!json_object_is_type(object, json_type_object) ||
	    !json_object_object_get_ex(object, name, &value) ||
	    !json_object_is_type(value, type))
		return NULL;
	return value;
}

static gboolean read_string(json_object *object, const char *name, char **text)
{
	json_object *value = get_member(object, name, json_type_string);

	if (!value)
		return FALSE;
	*text = g_strdup(json_object_get_string(value));
	return TRUE;
}

static gboolean read_number(json_object *object, const char *name,
			    guint64 *number)
{
	json_object *value = get_member(object, name, json_type_int);

	if (!value || json_object_get_int64(value) < 0)
		return FALSE;
	*number = (guint64)json_object_get_int64(value);
	return TRUE;
}

static gboolean read_double(json_object *object, const char *name,
			    double *number)
{
	json_object *value = NULL;

	if (!json_object_object_get_ex(object, name, &value) ||
	    (!json_object_is_type(value, json_type_double) &&
	     !json_object_is_type(value, json_type_int)))
		return FALSE;
	*number = json_object_get_double(value);
	return TRUE;
}

static gboolean read_boolean(json_object *object, const char *name,
			     gboolean *flag)
{
	json_object *value = get_member(object, name, json_type_boolean);

	if (!value)
		return FALSE;
	*flag = json_object_get_boolean(value);
	return TRUE;
}

static gpointer read_entry(json_object *object)
{
	sr_store_entry_t *entry = g_new0(sr_store_entry_t, 1);

	if (read_string(object, "key", &entry->key) &&
	    read_number(object, "version", &entry->version) &&
	    read_number(object, "size", &entry->size))
		return entry;
	free_entry(entry);
	return NULL;
}

static gpointer read_host(json_object *object)
{
	sr_host_t *host = g_new0(sr_host_t, 1);
	char *state = NULL;
	gboolean valid;

	valid = read_string(object, "name", &host->name) &&
		read_string(object, "failure_domain", &host->failure_domain) &&
		read_string(object, "class", &host->class) &&
		read_boolean(object, "reclaimable", &host->reclaimable) &&
		read_double(object, "price_per_hour", &host->price_per_hour) &&
		read_string(object, "state", &state);
	host->leaving = !g_strcmp0(state, "leaving");
	g_free(state);
	if (valid)
		return host;
	free_host(host);
	return NULL;
}

static gpointer read_notice(json_object *object)
{
	sr_notice_t *notice = g_new0(sr_notice_t, 1);
	double seconds = 0;

	if (read_number(object, "seq", &notice->sequence) &&
	    read_string(object, "host", &notice->host) &&
	    read_double(object, "in_s", &seconds)) {
		seconds = CLAMP(seconds, 0.0, MAX_TIME_LEFT_S);
		notice->time_left = (sr_usec_t)(seconds * (double)SR_SEC);
		return notice;
	}
	free_notice(notice);
	return NULL;
}

static GPtrArray *read_array(json_object *root, const char *name,
			     gpointer (*read)(json_object *object),
			     GDestroyNotify free_element)
{
	json_object *list = get_member(root, name, json_type_array);
	GPtrArray *out;

	if (!list)
		return NULL;
	out = g_ptr_array_new_with_free_func(free_element);
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		gpointer element = read(json_object_array_get_idx(list, i));

		if (!element) {
			g_ptr_array_unref(out);
			return NULL;
		}
		g_ptr_array_add(out, element);
	}
	return out;
}

GPtrArray *sr_decode_list(GBytes *answer, gboolean *more)
{
	json_object *root = parse_answer(answer);
	GPtrArray *list = NULL;

	if (root && read_boolean(root, "more", more))
		list = read_array(root, "objects", read_entry, free_entry);
	json_object_put(root);
	return list;
}

GPtrArray *sr_decode_hosts(GBytes *answer)
{
	json_object *root = parse_answer(answer);
	GPtrArray *hosts = read_array(root, "hosts", read_host, free_host);

	json_object_put(root);
	return hosts;
}

GPtrArray *sr_decode_notices(GBytes *answer)
{
	json_object *root = parse_answer(answer);
	GPtrArray *notices =
		read_array(root, "notices", read_notice, free_notice);

	json_object_put(root);
	return notices;
}
