#include "objects.h"

#include <string.h>

#include "bucket.h"

#define VALUE_MAX_BYTES (1024 * 1024)
#define LIST_MAX_ENTRIES 1000
#define WATCH_DEFAULT_S 30
#define WATCH_MAX_S 300
#define RETRY_AFTER_S 1
#define OBJECTS_PREFIX "/objects/"

typedef struct {
	guint64 version;
	GBytes *value;
} object_t;

struct sr_emu_objects {
	GTree *by_key; /* char * to object_t */
	guint64 last_version;
	sr_emu_bucket_t reads;
	sr_emu_bucket_t writes;
	sr_clock_t *clock;
	sr_emu_server_t *server;
	guint64 n_reads;
	guint64 n_lists;
	guint64 n_watches;
	guint64 n_writes;
	guint64 n_throttled;
	guint64 n_conflicts;
	guint64 bytes_read;
	guint64 bytes_written;
};

static void free_object(gpointer data)
{
	object_t *object = data;

	g_bytes_unref(object->value);
	g_free(object);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
	return strcmp(a, b);
}

sr_emu_objects_t *sr_emu_objects_new(const sr_emu_objects_options_t *options)
{
	sr_emu_objects_t *objects = g_new0(sr_emu_objects_t, 1);

	objects->by_key =
		g_tree_new_full(compare_keys, NULL, g_free, free_object);
	objects->reads.rate_per_s = options->reads_per_s;
	objects->writes.rate_per_s = options->writes_per_s;
	objects->clock = options->clock;
	return objects;
}

void sr_emu_objects_free(sr_emu_objects_t *objects)
{
	if (!objects)
		return;
	g_tree_unref(objects->by_key);
	g_free(objects);
}

void sr_emu_objects_set_server(sr_emu_objects_t *objects,
			       sr_emu_server_t *server)
{
	objects->server = server;
}

static const char *object_key(const sr_emu_exchange_t *exchange)
{
	return sr_emu_path(exchange) + strlen(OBJECTS_PREFIX);
}

static void set_etag(sr_emu_exchange_t *exchange, guint64 version)
{
	char text[32];

	g_snprintf(text, sizeof(text), "\"%" G_GUINT64_FORMAT "\"", version);
	sr_emu_set_header(exchange, "ETag", text);
}

/* Returns 0 if the header is absent or not a quoted version. */
static guint64 if_match_version(const sr_emu_exchange_t *exchange)
{
	const char *text = sr_emu_header(exchange, "If-Match");

	if (!text || *text != '"')
		return 0;
	return g_ascii_strtoull(text + 1, NULL, 10);
}

static void answer_object(sr_emu_objects_t *objects,
			  sr_emu_exchange_t *exchange, const object_t *object)
{
	set_etag(exchange, object->version);
	objects->bytes_read += g_bytes_get_size(object->value);
	sr_emu_answer(exchange, 200, "application/octet-stream", object->value);
}

static gboolean poll_watch(void *user, sr_emu_exchange_t *exchange,
			   gboolean timed_out)
{
	sr_emu_objects_t *objects = user;
	const object_t *object =
		g_tree_lookup(objects->by_key, object_key(exchange));
	guint64 version = sr_emu_query_number(exchange, "watch", 0);

	if (object && object->version != version)
		answer_object(objects, exchange, object);
	else if (!object && version > 0)
		sr_emu_answer_status(exchange, 404);
	else if (timed_out)
		sr_emu_answer_status(exchange, 304);
	else
		return FALSE;
	return TRUE;
}

static void read_object(sr_emu_objects_t *objects, sr_emu_exchange_t *exchange)
{
	guint64 timeout_s =
		sr_emu_query_number(exchange, "timeout_s", WATCH_DEFAULT_S);
	const object_t *object;

	if (sr_emu_query(exchange, "watch")) {
		objects->n_watches++;
		sr_emu_long_poll(exchange,
				 (sr_usec_t)MIN(timeout_s, WATCH_MAX_S) *
					 SR_SEC,
				 poll_watch, objects);
		return;
	}
	objects->n_reads++;
	object = g_tree_lookup(objects->by_key, object_key(exchange));
	if (object)
		answer_object(objects, exchange, object);
	else
		sr_emu_answer_status(exchange, 404);
}

static struct json_object *list_entry(const char *key, const object_t *object)
{
	struct json_object *entry = json_object_new_object();

	json_object_object_add(entry, "key", json_object_new_string(key));
	json_object_object_add(entry, "version",
			       json_object_new_uint64(object->version));
	json_object_object_add(
		entry, "size",
		json_object_new_uint64(g_bytes_get_size(object->value)));
	return entry;
}

static void list_objects(sr_emu_objects_t *objects, sr_emu_exchange_t *exchange)
{
	const char *prefix = sr_emu_query(exchange, "prefix");
	const char *after = sr_emu_query(exchange, "after");
	guint64 limit =
		sr_emu_query_number(exchange, "limit", LIST_MAX_ENTRIES);
	struct json_object *entries = json_object_new_array();
	struct json_object *answer = json_object_new_object();
	GTreeNode *node;
	gboolean more = FALSE;

	objects->n_lists++;
	prefix = prefix ? prefix : "";
	limit = CLAMP(limit, 1, LIST_MAX_ENTRIES);
	if (after && strcmp(after, prefix) >= 0)
		node = g_tree_upper_bound(objects->by_key, after);
	else
		node = g_tree_lower_bound(objects->by_key, prefix);
	for (; node; node = g_tree_node_next(node)) {
		const char *key = g_tree_node_key(node);

		if (!g_str_has_prefix(key, prefix))
			break;
		more = json_object_array_length(entries) == limit;
		if (more)
			break;
		json_object_array_add(entries,
				      list_entry(key, g_tree_node_value(node)));
	}
	json_object_object_add(answer, "objects", entries);
	json_object_object_add(answer, "more", json_object_new_boolean(more));
	sr_emu_answer_json(exchange, 200, answer);
}

static void write_object(sr_emu_objects_t *objects, sr_emu_exchange_t *exchange)
{
	const char *key = object_key(exchange);
	const object_t *old = g_tree_lookup(objects->by_key, key);
	const char *if_none_match = sr_emu_header(exchange, "If-None-Match");
	guint64 version = if_match_version(exchange);
	GBytes *body = sr_emu_body(exchange);
	object_t *object;

	if (!*key ||
	    (!version && (!if_none_match || strcmp(if_none_match, "*") != 0))) {
		sr_emu_answer_status(exchange, *key ? 428 : 400);
		return;
	}
	if (g_bytes_get_size(body) > VALUE_MAX_BYTES) {
		sr_emu_answer_status(exchange, 413);
		return;
	}
	if (version ? !old || old->version != version : old != NULL) {
		objects->n_conflicts++;
		sr_emu_answer_status(exchange, 412);
		return;
	}
	object = g_new0(object_t, 1);
	object->version = ++objects->last_version;
	object->value = g_bytes_ref(body);
	objects->bytes_written += g_bytes_get_size(body);
	g_tree_replace(objects->by_key, g_strdup(key), object);
	set_etag(exchange, object->version);
	sr_emu_answer_status(exchange, version ? 200 : 201);
	sr_emu_server_poll_waiting(objects->server);
}

static void delete_object(sr_emu_objects_t *objects,
			  sr_emu_exchange_t *exchange)
{
	const char *key = object_key(exchange);
	const object_t *old = g_tree_lookup(objects->by_key, key);
	guint64 version = if_match_version(exchange);

	if (!old) {
		sr_emu_answer_status(exchange, 404);
	} else if (version && old->version != version) {
		objects->n_conflicts++;
		sr_emu_answer_status(exchange, 412);
	} else {
		g_tree_remove(objects->by_key, key);
		objects->last_version++;
		sr_emu_answer_status(exchange, 204);
		sr_emu_server_poll_waiting(objects->server);
	}
}

/* Returns FALSE, after answering with 429, if the limit is reached. */
static gboolean check_rate_limit(sr_emu_objects_t *objects,
				 sr_emu_exchange_t *exchange,
				 sr_emu_bucket_t *bucket)
{
	if (sr_emu_bucket_take(bucket, sr_clock_now(objects->clock), 1))
		return TRUE;
	objects->n_throttled++;
	sr_emu_answer_throttled(exchange, 429, RETRY_AFTER_S);
	return FALSE;
}

void sr_emu_objects_handle(sr_emu_objects_t *objects,
			   sr_emu_exchange_t *exchange)
{
	const char *method = sr_emu_method(exchange);
	gboolean is_read = !strcmp(method, "GET");
	gboolean is_list = !strcmp(sr_emu_path(exchange), "/objects");

	if (!is_list &&
	    !g_str_has_prefix(sr_emu_path(exchange), OBJECTS_PREFIX)) {
		sr_emu_answer_status(exchange, 404);
		return;
	}
	if (!check_rate_limit(objects, exchange,
			      is_read ? &objects->reads : &objects->writes))
		return;
	if (is_read && is_list) {
		list_objects(objects, exchange);
	} else if (is_read) {
		read_object(objects, exchange);
	} else if (!is_list && !strcmp(method, "PUT")) {
		objects->n_writes++;
		write_object(objects, exchange);
	} else if (!is_list && !strcmp(method, "DELETE")) {
		objects->n_writes++;
		delete_object(objects, exchange);
	} else {
		sr_emu_answer_status(exchange, 405);
	}
}

struct json_object *sr_emu_objects_stats(const sr_emu_objects_t *objects)
{
	const struct {
		const char *name;
		guint64 value;
	} stats[] = {
		{ "reads", objects->n_reads },
		{ "lists", objects->n_lists },
		{ "watches", objects->n_watches },
		{ "writes", objects->n_writes },
		{ "conflicts", objects->n_conflicts },
		{ "throttled", objects->n_throttled },
		{ "bytes_read", objects->bytes_read },
		{ "bytes_written", objects->bytes_written },
	};
	struct json_object *answer = json_object_new_object();

	for (guint i = 0; i < G_N_ELEMENTS(stats); i++)
		json_object_object_add(answer, stats[i].name,
				       json_object_new_uint64(stats[i].value));
	return answer;
}
