/* The platform's store and its API for duties. */
#include "rig.h"

#include <json-c/json.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#define CREATED 2

typedef struct {
	rig_t *rig;
	GHashTable *objects;   /* "KIND/NAME" -> its text */
	GHashTable *revisions; /* "KIND/NAME" -> revision */
	gint64 revision;
} store_t;

typedef struct {
	SoupServerMessage *message;
	char *text;
	gboolean is_gone;
} watch_t;

static void respond(SoupServerMessage *message, unsigned status,
		    const char *text)
{
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, text, strlen(text));
}

static char *number(gint64 value)
{
	return g_strdup_printf("%" G_GINT64_FORMAT, value);
}

/* Stores an object with a new revision; returns its text, borrowed. */
static const char *put(store_t *store, const char *key, const char *spec)
{
	json_object *name = json_object_new_string(strchr(key, '/') + 1);
	char *revision = number(++store->revision);
	char *created = number(CREATED);
	char *text = rig_text(store->rig, "store", "object", "NAME",
			      json_object_to_json_string(name), "REV", revision,
			      "CREATED", created, "SPEC", spec, RIG_END);

	g_hash_table_insert(store->objects, g_strdup(key), text);
	g_hash_table_insert(
		store->revisions, g_strdup(key),
		g_memdup2(&store->revision, sizeof(store->revision)));
	g_free(created);
	g_free(revision);
	json_object_put(name);
	return text;
}

static gint64 revision_of(const store_t *store, const char *key)
{
	const gint64 *revision = g_hash_table_lookup(store->revisions, key);

	return revision ? *revision : 0;
}

static char *list(const store_t *store, const char *kind)
{
	char *prefix = g_strconcat(kind, "/", NULL);
	char *revision = number(store->revision);
	GString *items = g_string_new(NULL);
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	char *text;

	g_hash_table_iter_init(&iter, store->objects);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (!g_str_has_prefix(key, prefix))
			continue;
		if (items->len > 0)
			g_string_append_c(items, ',');
		g_string_append(items, value);
	}
	text = rig_text(store->rig, "store", "list", "ITEMS", items->str, "REV",
			revision, RIG_END);
	g_string_free(items, TRUE);
	g_free(revision);
	g_free(prefix);
	return text;
}

static void on_gone(SoupServerMessage *message, gpointer user)
{
	(void)message;
	((watch_t *)user)->is_gone = TRUE;
}

static gboolean on_watch_end(gpointer user)
{
	watch_t *watch = user;

	g_signal_handlers_disconnect_by_data(watch->message, watch);
	respond(watch->message, 200, watch->text);
	if (!watch->is_gone)
		soup_server_message_unpause(watch->message);
	g_object_unref(watch->message);
	g_free(watch->text);
	g_free(watch);
	return G_SOURCE_REMOVE;
}

/* No object that is watched changes in these cases: a watch ends without events
 * after its time. */
static void hold_watch(const store_t *store, SoupServerMessage *message,
		       const char *since, const char *wait_ms)
{
	watch_t *watch = g_new0(watch_t, 1);

	watch->message = g_object_ref(message);
	watch->text =
		rig_text(store->rig, "store", "watch", "REV", since, RIG_END);
	g_signal_connect(message, "disconnected", G_CALLBACK(on_gone), watch);
	g_signal_connect(message, "finished", G_CALLBACK(on_gone), watch);
	soup_server_message_pause(message);
	g_timeout_add(
		(guint)g_ascii_strtoull(wait_ms ? wait_ms : "0", NULL, 10),
		on_watch_end, watch);
}

static void on_get(store_t *store, SoupServerMessage *message, const char *key,
		   GHashTable *query)
{
	const char *since = query ? g_hash_table_lookup(query, "watch") : NULL;
	const char *object = g_hash_table_lookup(store->objects, key);
	char *text;

	if (since) {
		hold_watch(store, message, since,
			   g_hash_table_lookup(query, "wait_ms"));
	} else if (strchr(key, '/')) {
		respond(message, object ? 200 : 404, object ? object : "{}");
	} else {
		text = list(store, key);
		respond(message, 200, text);
		g_free(text);
	}
}

static json_object *member(json_object *object, const char *key)
{
	json_object *value = NULL;

	json_object_object_get_ex(object, key, &value);
	return value;
}

static void on_write(store_t *store, SoupServerMessage *message,
		     const char *path, gboolean creates)
{
	json_object *sent = json_tokener_parse(
		soup_server_message_get_request_body(message)->data);
	json_object *metadata = member(sent, "metadata");
	gint64 condition = json_object_get_int64(member(metadata, "revision"));
	const char *name = json_object_get_string(member(metadata, "name"));
	char *key = creates ? g_strdup_printf("%s/%s", path, name ? name : "") :
			      g_strdup(path);
	const char *known = g_hash_table_lookup(store->objects, key);

	if (known && (creates ||
		      (condition > 0 && condition != revision_of(store, key))))
		respond(message, 409, known);
	else if (!known && !creates)
		respond(message, 404, "{}");
	else
		respond(message, creates ? 201 : 200,
			put(store, key,
			    json_object_to_json_string(member(sent, "spec"))));
	g_free(key);
	json_object_put(sent);
}

static void on_call(SoupServer *server, SoupServerMessage *message,
		    const char *path, GHashTable *query, gpointer user)
{
	store_t *store = user;
	const char *method = soup_server_message_get_method(message);
	char *objects = rig_text(store->rig, "store", "path", RIG_END);

	(void)server;
	if (!g_str_has_prefix(path, objects))
		respond(message, 200, "{}");
	else if (!strcmp(method, "GET"))
		on_get(store, message, path + strlen(objects), query);
	else
		on_write(store, message, path + strlen(objects),
			 !strcmp(method, "POST"));
	g_free(objects);
}

static void put_first_objects(store_t *store)
{
	char *address =
		g_strdup_printf("127.0.0.1:%d", store->rig->server_port);
	char *server = rig_text(store->rig, "store", "server", "ADDRESS",
				address, RIG_END);
	char *config = rig_text(store->rig, "store", "config", RIG_END);

	put(store, "config/main", config);
	put(store, "servers/i-1", server);
	g_free(config);
	g_free(server);
	g_free(address);
}

gboolean rig_start_store(rig_t *rig)
{
	store_t *store = g_new0(store_t, 1);
	SoupServer *server = soup_server_new(NULL, NULL);
	GSList *uris;

	store->rig = rig;
	store->revision = 100;
	store->objects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store->revisions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	put_first_objects(store);
	soup_server_add_handler(server, NULL, on_call, store, NULL);
	if (!soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY,
				      NULL))
		return FALSE;
	uris = soup_server_get_uris(server);
	rig->store_port = g_uri_get_port(uris->data);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return TRUE;
}
