#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "stand_in.h"

/** Copies are made so often, and kept for so long. */
#define COPY_INTERVAL_MS 250
#define COPIES_MAX 80

/** Changes that watches can be answered from: longer than any case. */
typedef struct {
	gint64 revision;
	char *key;
	gboolean is_removed;
	char *text; /* the object */
} change_t;

typedef struct {
	gint64 at_ms;
	gint64 revision;
	GHashTable *objects;
} copy_t;

static struct {
	GMutex lock;
	GCond changed;
	GHashTable *objects; /* "KIND/NAME" -> json_object */
	GPtrArray *changes;  /* change_t, in the order of their revisions */
	gint64 revision;
	gint64 oldest; /* watches from before it get 410 */
	unsigned era;
	unsigned n_starts; /* a connection from before the last one is cut */
	gboolean is_down;
	GQueue copies; /* copy_t, latest last */
} store;

static void put_object(gpointer object)
{
	json_object_put(object);
}

static GHashTable *new_objects(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     put_object);
}

static json_object *read_json(const char *text)
{
	/* deeper than any object of a case */
	struct json_tokener *tokener = json_tokener_new_ex(200);
	json_object *object =
		json_tokener_parse_ex(tokener, text, (int)strlen(text));

	json_tokener_free(tokener);
	return object;
}

static json_object *member(json_object *object, const char *name)
{
	json_object *value = NULL;

	if (json_object_is_type(object, json_type_object))
		json_object_object_get_ex(object, name, &value);
	return value;
}

static gint64 revision_of(json_object *object)
{
	return json_object_get_int64(
		member(member(object, "metadata"), "revision"));
}

static void add_change(const char *key, json_object *object,
		       gboolean is_removed)
{
	change_t *change = g_new0(change_t, 1);

	change->revision = store.revision;
	change->key = g_strdup(key);
	change->is_removed = is_removed;
	change->text = g_strdup(json_object_to_json_string(object));
	g_ptr_array_add(store.changes, change);
	g_cond_broadcast(&store.changed);
}

static void touch(const char *key, json_object *object, gboolean is_removed)
{
	json_object_object_add(member(object, "metadata"), "revision",
			       json_object_new_int64(++store.revision));
	add_change(key, object, is_removed);
}

static json_object *create(const char *key)
{
	json_object *object = json_object_new_object();
	json_object *metadata = json_object_new_object();

	json_object_object_add(metadata, "name",
			       json_object_new_string(strchr(key, '/') + 1));
	json_object_object_add(metadata, "created",
			       json_object_new_int64(store.revision + 1));
	json_object_object_add(metadata, "finalizers", json_object_new_array());
	json_object_object_add(metadata, name_of("pending"),
			       json_object_new_boolean(FALSE));
	json_object_object_add(object, "metadata", metadata);
	json_object_object_add(object, "spec", NULL);
	json_object_object_add(object, "status", NULL);
	g_hash_table_insert(store.objects, g_strdup(key), object);
	return object;
}

/* Sets spec or status; takes ownership of the value. */
static void set_member(const char *key, json_object *object, const char *name,
		       json_object *value)
{
	json_object *before = member(object, name);

	if (before && value && json_object_equal(before, value)) {
		json_object_put(value);
		return;
	}
	json_object_object_add(object, name, value);
	touch(key, object, FALSE);
}

void store_put(const char *kind, const char *name, const char *spec)
{
	char *key = g_strdup_printf("%s/%s", kind, name);
	json_object *object;

	g_mutex_lock(&store.lock);
	while (store.is_down)
		g_cond_wait(&store.changed, &store.lock);
	object = g_hash_table_lookup(store.objects, key);
	if (!object)
		object = create(key);
	set_member(key, object, "spec", read_json(spec));
	g_mutex_unlock(&store.lock);
	g_free(key);
}

void store_remove(const char *kind, const char *name)
{
	char *key = g_strdup_printf("%s/%s", kind, name);
	json_object *object;

	g_mutex_lock(&store.lock);
	object = g_hash_table_lookup(store.objects, key);
	if (object) {
		touch(key, object, TRUE);
		g_hash_table_remove(store.objects, key);
	}
	g_mutex_unlock(&store.lock);
	g_free(key);
}

/* Answers of the store name its era; FALSE if the store was down meanwhile. */
static gboolean answer(int fd, int status, json_object *body, unsigned start)
{
	char *field = g_strdup_printf("%s: %u\r\nContent-Type: "
				      "application/json\r\n",
				      name_of("era"), store.era);
	const char *text = body ? json_object_to_json_string(body) : "{}";
	gboolean is_sent =
		store.n_starts == start && respond(fd, status, field, text);

	g_free(field);
	return is_sent;
}

static json_object *list_kind(const char *kind)
{
	json_object *items = json_object_new_array();
	json_object *body = json_object_new_object();
	char *prefix = g_strdup_printf("%s/", kind);
	GHashTableIter iter;
	gpointer key;
	gpointer object;

	g_hash_table_iter_init(&iter, store.objects);
	while (g_hash_table_iter_next(&iter, &key, &object)) {
		if (g_str_has_prefix(key, prefix))
			json_object_array_add(items, json_object_get(object));
	}
	json_object_object_add(body, "items", items);
	json_object_object_add(body, "truncated",
			       json_object_new_boolean(FALSE));
	json_object_object_add(body, name_of("current"),
			       json_object_new_int64(store.revision));
	g_free(prefix);
	return body;
}

static json_object *changes_after(const char *kind, gint64 revision)
{
	json_object *events = json_object_new_array();
	char *prefix = g_strdup_printf("%s/", kind);

	for (guint i = 0; i < store.changes->len; i++) {
		const change_t *change = store.changes->pdata[i];
		json_object *event;

		if (change->revision <= revision ||
		    !g_str_has_prefix(change->key, prefix))
			continue;
		event = json_object_new_object();
		json_object_object_add(event, "object",
				       read_json(change->text));
		json_object_object_add(
			event, "removed",
			json_object_new_boolean(change->is_removed));
		json_object_array_add(events, event);
	}
	g_free(prefix);
	return events;
}

static gboolean watch(int fd, const char *kind, gint64 revision, gint64 wait_ms)
{
	gint64 end = g_get_monotonic_time() + wait_ms * 1000;
	unsigned start = store.n_starts;
	json_object *body = json_object_new_object();
	json_object *events = NULL;
	gboolean is_sent;

	while (start == store.n_starts && revision >= store.oldest &&
	       revision <= store.revision) {
		json_object_put(events);
		events = changes_after(kind, revision);
		if (json_object_array_length(events) > 0 ||
		    !g_cond_wait_until(&store.changed, &store.lock, end))
			break;
	}
	json_object_object_add(body, "events", events);
	json_object_object_add(body, name_of("current"),
			       json_object_new_int64(store.revision));
	is_sent = answer(fd,
			 revision < store.oldest || revision > store.revision ?
				 410 :
				 200,
			 body, start);
	json_object_put(body);
	return is_sent;
}

static gint64 number_in(const char *query, const char *name, gint64 fallback)
{
	const char *at = query ? strstr(query, name) : NULL;

	return at ? g_ascii_strtoll(at + strlen(name), NULL, 10) : fallback;
}

static gboolean on_get(int fd, const char *path, const char *query)
{
	unsigned start = store.n_starts;
	gint64 revision = number_in(query, "watch=", -1);
	json_object *object;
	json_object *body;
	gboolean is_sent;

	if (strchr(path, '/')) {
		object = g_hash_table_lookup(store.objects, path);
		return answer(fd, object ? 200 : 404, object, start);
	}
	if (revision >= 0)
		return watch(fd, path, revision,
			     number_in(query, "wait_ms=", 0));
	body = list_kind(path);
	is_sent = answer(fd, 200, body, start);
	json_object_put(body);
	return is_sent;
}

/* POST of a kind, PUT of an object or of its status. */
static gboolean on_write(int fd, const char *method, const char *path,
			 const message_t *request)
{
	char *text = g_strndup((const char *)request->body->data,
			       request->body->len);
	json_object *sent = read_json(text);
	gboolean is_create = !strcmp(method, "POST");
	gboolean is_status = g_str_has_suffix(path, "/status");
	const char *name = json_object_get_string(
		member(member(sent, "metadata"), "name"));
	json_object *revision = member(member(sent, "metadata"), "revision");
	char *key = is_create ? g_strdup_printf("%s/%s", path, name) :
				g_strdup(path);
	const char *which = is_status ? "status" : "spec";
	json_object *object;
	int status = 200;
	gboolean is_sent;

	if (is_status)
		key[strlen(key) - strlen("/status")] = '\0';
	object = g_hash_table_lookup(store.objects, key);
	if (!object && !is_create)
		status = 404;
	else if ((object && is_create) ||
		 (object && revision &&
		  json_object_get_int64(revision) != revision_of(object)))
		status = 409;
	if (status == 200) {
		if (!object)
			object = create(key);
		set_member(key, object, which,
			   json_object_get(member(sent, which)));
	}
	record("store %s %s %d, sent %" G_GINT64_FORMAT
	       ", revision %" G_GINT64_FORMAT ", era %u",
	       method, key, status,
	       revision ? json_object_get_int64(revision) : 0,
	       object ? revision_of(object) : 0, store.era);
	is_sent = answer(fd, status, object, store.n_starts);
	json_object_put(sent);
	g_free(key);
	g_free(text);
	return is_sent;
}

static gboolean on_call(void *user, int fd, const message_t *request)
{
	const char *prefix = name_of("objects");
	char **parts = g_strsplit(request->second, "?", 2);
	gboolean goes_on = FALSE;
	char *path;

	(void)user;
	g_mutex_lock(&store.lock);
	if (!store.is_down && g_str_has_prefix(parts[0], prefix)) {
		path = g_uri_unescape_string(parts[0] + strlen(prefix), NULL);
		goes_on = !strcmp(request->first, "GET") ?
				  on_get(fd, path, parts[1]) :
				  on_write(fd, request->first, path, request);
		g_free(path);
	}
	g_mutex_unlock(&store.lock);
	g_strfreev(parts);
	return goes_on;
}

static GHashTable *copy_objects(GHashTable *objects)
{
	GHashTable *copy = new_objects();
	GHashTableIter iter;
	gpointer key;
	gpointer object;

	g_hash_table_iter_init(&iter, objects);
	while (g_hash_table_iter_next(&iter, &key, &object))
		g_hash_table_insert(
			copy, g_strdup(key),
			read_json(json_object_to_json_string(object)));
	return copy;
}

static gpointer make_copies(gpointer data)
{
	(void)data;
	for (;;) {
		g_mutex_lock(&store.lock);
		if (!store.is_down) {
			copy_t *copy = g_new0(copy_t, 1);

			copy->at_ms = now_ms();
			copy->revision = store.revision;
			copy->objects = copy_objects(store.objects);
			g_queue_push_tail(&store.copies, copy);
		}
		if (g_queue_get_length(&store.copies) > COPIES_MAX) {
			copy_t *oldest = g_queue_pop_head(&store.copies);

			g_hash_table_unref(oldest->objects);
			g_free(oldest);
		}
		g_mutex_unlock(&store.lock);
		sleep_ms(COPY_INTERVAL_MS);
	}
	return NULL;
}

int store_start(const char *ip, unsigned era)
{
	store.objects = new_objects();
	store.changes = g_ptr_array_new();
	store.revision = 500;
	store.oldest = 500;
	store.era = era;
	g_queue_init(&store.copies);
	g_thread_unref(g_thread_new("copies", make_copies, NULL));
	return serve(ip, on_call, NULL);
}

void store_down(void)
{
	g_mutex_lock(&store.lock);
	store.is_down = TRUE;
	store.n_starts++;
	g_cond_broadcast(&store.changed);
	g_mutex_unlock(&store.lock);
	record("store is away");
}

/* The latest copy that is not younger, or the oldest. */
static const copy_t *find_copy(gint64 at_ms)
{
	const GList *item = store.copies.tail;

	while (item->prev && ((const copy_t *)item->data)->at_ms > at_ms)
		item = item->prev;
	return item->data;
}

static void restore(gint64 at_ms)
{
	const copy_t *copy;

	if (g_queue_is_empty(&store.copies))
		fail_to_run("no copy of the store");
	copy = find_copy(at_ms);
	g_hash_table_unref(store.objects);
	store.objects = copy_objects(copy->objects);
	store.revision = copy->revision;
	store.oldest = copy->revision;
	g_ptr_array_set_size(store.changes, 0);
	store.era++;
	record("store is back from its copy of %" G_GINT64_FORMAT
	       " ms, revision %" G_GINT64_FORMAT ", era %u",
	       copy->at_ms, store.revision, store.era);
}

void store_up(gint64 restored_ms)
{
	g_mutex_lock(&store.lock);
	if (restored_ms > 0)
		restore(now_ms() - restored_ms);
	else
		record("store is back");
	store.is_down = FALSE;
	g_cond_broadcast(&store.changed);
	g_mutex_unlock(&store.lock);
}
