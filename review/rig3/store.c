/* The platform's store and its API for duties. */
#include "rig.h"

#include <json-c/json.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#define CREATED 2

typedef struct rig_store {
	rig_t *rig;
	GHashTable *objects;   /* "KIND/NAME" -> its text */
	GHashTable *revisions; /* "KIND/NAME" -> revision */
	gint64 revision;
	GPtrArray *changes; /* change_t */
	GPtrArray *watches; /* watch_t */
} store_t;

typedef struct {
	char *key;
	char *text;
	gint64 revision;
} change_t;

typedef struct {
	store_t *store;
	SoupServerMessage *message;
	char *kind;
	gint64 since;
	guint timer;
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

static void answer_watches(store_t *store);

/* Stores an object with a new revision; returns its text, borrowed. */
static const char *put(store_t *store, const char *key, const char *spec)
{
	json_object *name = json_object_new_string(strchr(key, '/') + 1);
	char *revision = number(++store->revision);
	char *created = number(CREATED);
	change_t *change;
	char *text = rig_text(store->rig, "store", "object", "NAME",
			      json_object_to_json_string(name), "REV", revision,
			      "CREATED", created, "SPEC", spec, RIG_END);

	g_hash_table_insert(store->objects, g_strdup(key), text);
	g_hash_table_insert(
		store->revisions, g_strdup(key),
		g_memdup2(&store->revision, sizeof(store->revision)));
	change = g_new0(change_t, 1);
	change->key = g_strdup(key);
	change->text = g_strdup(text);
	change->revision = store->revision;
	g_ptr_array_add(store->changes, change);
	answer_watches(store);
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

/* The events of a kind after a revision; empty without any. */
static char *events_since(const store_t *store, const char *kind, gint64 since)
{
	char *prefix = g_strconcat(kind, "/", NULL);
	GString *events = g_string_new(NULL);

	for (guint i = 0; i < store->changes->len; i++) {
		const change_t *change = store->changes->pdata[i];
		char *event;

		if (change->revision <= since ||
		    !g_str_has_prefix(change->key, prefix))
			continue;
		event = rig_text(store->rig, "store", "event", "OBJECT",
				 change->text, RIG_END);
		g_string_append_printf(events, "%s%s", events->len ? "," : "",
				       event);
		g_free(event);
	}
	g_free(prefix);
	return g_string_free(events, FALSE);
}

/* Takes ownership of the events. */
static void respond_to_watch(const store_t *store, SoupServerMessage *message,
			     char *events)
{
	char *revision = number(store->revision);
	char *text = rig_text(store->rig, "store", "watch", "EVENTS", events,
			      "REV", revision, RIG_END);

	respond(message, 200, text);
	g_free(text);
	g_free(revision);
	g_free(events);
}

static void free_watch(gpointer data)
{
	watch_t *watch = data;

	g_signal_handlers_disconnect_by_data(watch->message, watch);
	if (watch->timer > 0)
		g_source_remove(watch->timer);
	g_object_unref(watch->message);
	g_free(watch->kind);
	g_free(watch);
}

/* Takes ownership of the events. */
static void end_watch(watch_t *watch, char *events)
{
	if (watch->is_gone) {
		g_free(events);
	} else {
		respond_to_watch(watch->store, watch->message, events);
		soup_server_message_unpause(watch->message);
	}
	g_ptr_array_remove_fast(watch->store->watches, watch);
}

static gboolean on_watch_end(gpointer user)
{
	watch_t *watch = user;

	watch->timer = 0;
	end_watch(watch, g_strdup(""));
	return G_SOURCE_REMOVE;
}

static void answer_watches(store_t *store)
{
	for (guint i = store->watches->len; i > 0; i--) {
		watch_t *watch = store->watches->pdata[i - 1];
		char *events = events_since(store, watch->kind, watch->since);

		if (*events)
			end_watch(watch, events);
		else
			g_free(events);
	}
}

static void hold_watch(store_t *store, SoupServerMessage *message,
		       const char *kind, const char *since, const char *wait_ms)
{
	gint64 revision = g_ascii_strtoll(since, NULL, 10);
	char *events = events_since(store, kind, revision);
	watch_t *watch;

	if (*events) {
		respond_to_watch(store, message, events);
		return;
	}
	g_free(events);
	watch = g_new0(watch_t, 1);
	watch->store = store;
	watch->message = g_object_ref(message);
	watch->kind = g_strdup(kind);
	watch->since = revision;
	g_ptr_array_add(store->watches, watch);
	g_signal_connect(message, "disconnected", G_CALLBACK(on_gone), watch);
	g_signal_connect(message, "finished", G_CALLBACK(on_gone), watch);
	soup_server_message_pause(message);
	watch->timer = g_timeout_add(
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
		hold_watch(store, message, key, since,
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

/* What a server writes at its start, or what another writer puts there. */
static void put_server(store_t *store, unsigned i, gboolean is_foreign)
{
	const char *service =
		rig_is_archive(store->rig, i) ? "archive" : "ledger";
	char *key = g_strdup_printf("servers/i-%u", i + 1);
	char *n = g_strdup_printf("%u", i + 1);
	char *address =
		g_strdup_printf("127.0.0.1:%d", store->rig->server_ports[i]);
	char *born = number(store->rig->born_ms[i]);
	char *server = rig_text(
		store->rig, "store", is_foreign ? "foreign" : "server", "N", n,
		"ADDRESS", address, "BORN", born, "SERVICE", service, RIG_END);

	put(store, key, server);
	g_free(server);
	g_free(born);
	g_free(address);
	g_free(n);
	g_free(key);
}

typedef struct {
	store_t *store;
	unsigned server;
	gboolean is_foreign;
} registration_t;

static gboolean on_registration(gpointer user)
{
	registration_t *registration = user;

	put_server(registration->store, registration->server,
		   registration->is_foreign);
	g_free(registration);
	return G_SOURCE_REMOVE;
}

static void write_later(rig_t *rig, unsigned server, gboolean is_foreign)
{
	registration_t *registration = g_new0(registration_t, 1);

	registration->store = rig->store;
	registration->server = server;
	registration->is_foreign = is_foreign;
	g_idle_add(on_registration, registration);
}

void rig_register_server(rig_t *rig, unsigned server)
{
	write_later(rig, server, FALSE);
}

void rig_write_foreign_entry(rig_t *rig, unsigned server)
{
	write_later(rig, server, TRUE);
}

static void put_first_objects(store_t *store)
{
	char *config = rig_text(store->rig, "store", "config", RIG_END);

	put(store, "config/main", config);
	for (unsigned i = 0; i < store->rig->n_servers; i++)
		put_server(store, i, FALSE);
	g_free(config);
}

gboolean rig_start_store(rig_t *rig)
{
	store_t *store = g_new0(store_t, 1);
	SoupServer *server = soup_server_new(NULL, NULL);
	GSList *uris;

	store->rig = rig;
	rig->store = store;
	store->revision = 100;
	store->changes = g_ptr_array_new();
	store->watches = g_ptr_array_new_with_free_func(free_watch);
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
