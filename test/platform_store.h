#ifndef SR_TEST_PLATFORM_STORE_H
#define SR_TEST_PLATFORM_STORE_H

/*
 * A stand-in of the platform's store on loopback, and settings of entry hosts
 * that use it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <json-c/json.h>
#include <libsoup/soup.h>

#include "base/settings.h"
#include "entry_host.h"
#include "settings.h"

/** How long the stand-in holds a watch without events open, in ms, unless it
 * holds watches for as long as they ask. */
#define WATCH_HOLD_MS 40

typedef struct store store_t;

struct store {
	SoupServer *server;
	json_object *objects; /* "KIND/NAME" -> object */
	json_object *removed; /* "KIND/NAME" -> object, as last seen */
	gint64 revision;
	gint64 oldest;		 /* a watch from before it gets 410 */
	unsigned era;		 /* 0: answers don't name one */
	gboolean is_away;	 /* answers 503 */
	unsigned n_changes_sent; /* answers of watches with events */
	/* A watch is held for its wait_ms and answered at a change, as the
	 * platform does. */
	gboolean holds_watches;
	gboolean is_mute;    /* held watches hear of no change */
	GPtrArray *held;     /* held_watch_t */
	guint answer_source; /* of held watches, after a change */
	/* takes calls of objects, or answers them by answer_store_call();
	 * NULL: they are answered at once */
	void (*call_received)(void *user, SoupServerMessage *message,
			      const char *path, GHashTable *query);
	/* takes the calls of duties; NULL for none */
	void (*duty_called)(void *user, SoupServerMessage *message,
			    const char *path);
	void *user;
};

static SoupServer *listen_at(int port, SoupServerCallback handler,
			     gpointer user)
{
	SoupServer *server = soup_server_new(NULL, NULL);

	soup_server_add_handler(server, NULL, handler, user, NULL);
	assert_true(soup_server_listen_local(
		server, (guint)port, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
	return server;
}

static inline SoupServer *listen_local(SoupServerCallback handler,
				       gpointer user)
{
	return listen_at(0, handler, user);
}

static int port_of(SoupServer *server)
{
	GSList *uris = soup_server_get_uris(server);
	int port = g_uri_get_port(uris->data);

	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return port;
}

static int unused_port(void)
{
	GSocketListener *listener = g_socket_listener_new();
	int port = g_socket_listener_add_any_inet_port(listener, NULL, NULL);

	g_socket_listener_close(listener);
	g_object_unref(listener);
	return port;
}

/* The store. */

static json_object *metadata_of(json_object *object)
{
	json_object *metadata = NULL;

	json_object_object_get_ex(object, "metadata", &metadata);
	return metadata;
}

static gint64 revision_of(json_object *object)
{
	json_object *revision = NULL;

	json_object_object_get_ex(metadata_of(object), "revision", &revision);
	return json_object_get_int64(revision);
}

static gboolean answer_held_watches(gpointer user);

static void touch(store_t *store, json_object *object)
{
	json_object_object_add(metadata_of(object), "revision",
			       json_object_new_int64(++store->revision));
	if (store->holds_watches && store->answer_source == 0)
		store->answer_source = g_idle_add(answer_held_watches, store);
}

/* Sets an object's spec or status from a text. */
static void put(store_t *store, const char *key, const char *member,
		json_object *value)
{
	json_object *object = NULL;
	json_object *metadata;

	if (!json_object_object_get_ex(store->objects, key, &object)) {
		object = json_object_new_object();
		metadata = json_object_new_object();
		json_object_object_add(
			metadata, "name",
			json_object_new_string(strchr(key, '/') + 1));
		json_object_object_add(object, "metadata", metadata);
		json_object_object_add(store->objects, key, object);
	}
	json_object_object_add(object, member, value);
	touch(store, object);
}

static void put_text(store_t *store, const char *key, const char *spec)
{
	json_object *value = json_tokener_parse(spec);

	assert_non_null(value);
	put(store, key, "spec", value);
}

static inline void remove_object(store_t *store, const char *key)
{
	json_object *object = NULL;

	assert_true(json_object_object_get_ex(store->objects, key, &object));
	json_object_get(object);
	json_object_object_del(store->objects, key);
	touch(store, object);
	json_object_object_add(store->removed, key, object);
}

static void list_objects(json_object *objects, const char *kind, gint64 after,
			 gboolean are_removed, json_object *items)
{
	json_object_object_foreach(objects, key, object)
	{
		if (strncmp(key, kind, strlen(kind)) != 0 ||
		    key[strlen(kind)] != '/' || revision_of(object) <= after)
			continue;
		if (after < 0) {
			json_object_array_add(items, json_object_get(object));
		} else {
			json_object *event = json_object_new_object();

			json_object_object_add(event, "object",
					       json_object_get(object));
			json_object_object_add(
				event, "removed",
				json_object_new_boolean(are_removed));
			json_object_array_add(items, event);
		}
	}
}

static json_object *list_kind(store_t *store, const char *kind, gint64 after)
{
	json_object *items = json_object_new_array();

	list_objects(store->objects, kind, after, FALSE, items);
	if (after >= 0)
		list_objects(store->removed, kind, after, TRUE, items);
	return items;
}

static void respond(SoupServerMessage *message, unsigned status,
		    json_object *body)
{
	const char *text = json_object_to_json_string(body);

	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, text, strlen(text));
}

/** held_watch_t - a watch without events; its caller may leave before the end.
 */
typedef struct {
	store_t *store;
	SoupServerMessage *message;
	char *kind;
	gint64 after;
	guint timer;
	gboolean is_gone;
} held_watch_t;

static void on_watch_gone(SoupServerMessage *message, gpointer user)
{
	(void)message;
	((held_watch_t *)user)->is_gone = TRUE;
}

/* Takes ownership of the items. */
static void respond_with(const store_t *store, SoupServerMessage *message,
			 const char *member, json_object *items)
{
	json_object *body = json_object_new_object();

	json_object_object_add(body, member, items);
	json_object_object_add(body, "truncated",
			       json_object_new_boolean(FALSE));
	json_object_object_add(body, "current_rev",
			       json_object_new_int64(store->revision));
	respond(message, 200, body);
	json_object_put(body);
}

/* Sets the answer; FALSE if it has no events. */
static gboolean respond_to_watch(store_t *store, SoupServerMessage *message,
				 const char *kind, gint64 after)
{
	json_object *events = list_kind(store, kind, after);
	gboolean has_events = json_object_array_length(events) > 0;

	respond_with(store, message, "events", events);
	store->n_changes_sent += has_events;
	return has_events;
}

static void free_watch(held_watch_t *watch)
{
	g_signal_handlers_disconnect_by_data(watch->message, watch);
	if (watch->timer > 0)
		g_source_remove(watch->timer);
	g_object_unref(watch->message);
	g_free(watch->kind);
	g_free(watch);
}

/* Sends the answer that the message has. */
static void end_watch(held_watch_t *watch)
{
	g_ptr_array_remove_fast(watch->store->held, watch);
	if (!watch->is_gone)
		soup_server_message_unpause(watch->message);
	free_watch(watch);
}

static gboolean on_watch_end(gpointer user)
{
	held_watch_t *watch = user;
	store_t *store = watch->store;

	watch->timer = 0;
	if (store->holds_watches && !store->is_mute && !watch->is_gone)
		respond_to_watch(store, watch->message, watch->kind,
				 watch->after);
	end_watch(watch);
	return G_SOURCE_REMOVE;
}

static void hold_watch(store_t *store, SoupServerMessage *message,
		       const char *kind, gint64 after, unsigned wait_ms)
{
	held_watch_t *watch = g_new0(held_watch_t, 1);

	if (!store->held)
		store->held = g_ptr_array_new();
	g_ptr_array_add(store->held, watch);
	watch->store = store;
	watch->message = g_object_ref(message);
	watch->kind = g_strdup(kind);
	watch->after = after;
	g_signal_connect(message, "disconnected", G_CALLBACK(on_watch_gone),
			 watch);
	g_signal_connect(message, "finished", G_CALLBACK(on_watch_gone), watch);
	soup_server_message_pause(message);
	watch->timer =
		g_timeout_add(store->holds_watches ? wait_ms : WATCH_HOLD_MS,
			      on_watch_end, watch);
}

static gboolean answer_held_watches(gpointer user)
{
	store_t *store = user;

	store->answer_source = 0;
	if (store->is_mute || !store->held)
		return G_SOURCE_REMOVE;
	for (guint i = store->held->len; i > 0; i--) {
		held_watch_t *watch = store->held->pdata[i - 1];

		if (watch->is_gone ||
		    respond_to_watch(store, watch->message, watch->kind,
				     watch->after))
			end_watch(watch);
	}
	return G_SOURCE_REMOVE;
}

static void on_get(store_t *store, SoupServerMessage *message, const char *key,
		   GHashTable *query)
{
	const char *watch = query ? g_hash_table_lookup(query, "watch") : NULL;
	gint64 after = watch ? g_ascii_strtoll(watch, NULL, 10) : -1;
	json_object *object = NULL;

	if (strchr(key, '/')) {
		json_object_object_get_ex(store->objects, key, &object);
		respond(message, object ? 200 : 404, object);
		return;
	}
	if (watch && (after < store->oldest || after > store->revision)) {
		respond(message, 410, NULL);
		return;
	}
	if (watch) {
		const char *wait = g_hash_table_lookup(query, "wait_ms");

		if (!respond_to_watch(store, message, key, after) ||
		    store->is_mute)
			hold_watch(store, message, key, after,
				   (unsigned)g_ascii_strtoull(wait ? wait : "0",
							      NULL, 10));
		return;
	}
	respond_with(store, message, "items", list_kind(store, key, after));
}

/* Creates and conditional updates of a spec or a status. */
static void on_write(store_t *store, SoupServerMessage *message,
		     const char *path, const char *method)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	json_object *sent = json_tokener_parse(body->data);
	json_object *known = NULL;
	json_object *value = NULL;
	json_object *name = NULL;
	gboolean is_status = g_str_has_suffix(path, "/status");
	const char *member = is_status ? "status" : "spec";
	char *key;

	json_object_object_get_ex(metadata_of(sent), "name", &name);
	if (!strcmp(method, "POST"))
		key = g_strdup_printf("%s/%s", path,
				      json_object_get_string(name));
	else
		key = g_strndup(path,
				strlen(path) -
					(is_status ? strlen("/status") : 0));
	json_object_object_get_ex(store->objects, key, &known);
	json_object_object_get_ex(sent, member, &value);
	if (known && (!strcmp(method, "POST") ||
		      (revision_of(sent) > 0 &&
		       revision_of(sent) != revision_of(known)))) {
		respond(message, 409, known);
	} else if (!known && strcmp(method, "POST") != 0) {
		respond(message, 404, NULL);
	} else {
		put(store, key, member, json_object_get(value));
		json_object_object_get_ex(store->objects, key, &known);
		respond(message, 200, known);
	}
	json_object_put(sent);
	g_free(key);
}

static void add_era(const store_t *store, SoupServerMessage *message)
{
	char era[16];

	g_snprintf(era, sizeof(era), "%u", store->era);
	if (store->era > 0)
		soup_message_headers_replace(
			soup_server_message_get_response_headers(message),
			"Store-Era", era);
}

/* The path is that below the objects. */
static void answer_store_call(store_t *store, SoupServerMessage *message,
			      const char *path, GHashTable *query)
{
	const char *method = soup_server_message_get_method(message);

	if (store->is_away) {
		respond(message, 503, NULL);
		return;
	}
	add_era(store, message);
	if (!strcmp(method, "GET"))
		on_get(store, message, path, query);
	else
		on_write(store, message, path, method);
}

static void on_store_call(SoupServer *server, SoupServerMessage *message,
			  const char *path, GHashTable *query, gpointer user)
{
	store_t *store = user;
	json_object *nothing;

	(void)server;
	if (g_str_has_prefix(path, "/api/objects/")) {
		path += strlen("/api/objects/");
		if (store->call_received)
			store->call_received(store->user, message, path, query);
		else
			answer_store_call(store, message, path, query);
		return;
	}
	if (store->duty_called)
		store->duty_called(store->user, message, path);
	nothing = json_object_new_object();
	respond(message, 200, nothing);
	json_object_put(nothing);
}

static void store_init_at(store_t *store, int port)
{
	store->objects = json_object_new_object();
	store->removed = json_object_new_object();
	store->server = listen_at(port, on_store_call, store);
}

static inline void store_init(store_t *store)
{
	store_init_at(store, 0);
}

static inline void store_clear(store_t *store)
{
	for (guint i = 0; store->held && i < store->held->len; i++)
		free_watch(store->held->pdata[i]);
	g_clear_pointer(&store->held, g_ptr_array_unref);
	if (store->answer_source > 0)
		g_source_remove(store->answer_source);
	g_object_unref(store->server);
	json_object_put(store->objects);
	json_object_put(store->removed);
}

/* The entry host. */

/** host_place_t - where an entry host listens and what it is told. */
typedef struct {
	const char *node;
	const char *failure_domain;
	const char *ip;
	const char *seeds; /* a JSON array of addresses */
	int store_port;
	int peer_port;	/* this and the next: the same for hosts that... */
	int relay_port; /* ...know each other */
	int caller_port;
} host_place_t;

static char *settings_text(const host_place_t *place)
{
	const char *ip = place->ip;

	return g_strdup_printf(
		"{\"node\":\"%s\",\"failure_domain\":\"%s\","
		"\"caller_address\":"
		"\"%s:%d\",\"ready_address\":\"%s:%d\","
		"\"metrics_address\":\"%s:%d\",\"peer_address\":"
		"\"%s:%d\",\"relay_address\":\"%s:%d\",\"peer_seeds\":%s,\"store\":{\"address\":"
		"\"127.0.0.1:%d\",\"writes_per_s\":10000,\"reads_per_s\":10000},"
		"\"duties\":{\"address\":\"127.0.0.1:%d\",\"names\":"
		"[\"usage_report\"],\"calls_per_s\":50},\"limits\":{"
		"\"descriptors\":1000,\"memory_mb\":100},\"bounds\":{"
		"\"stop_ms\":8000,\"retry_ratio\":0.2,\"retry_slack\":58,"
		"\"allowance_window_s\":8,\"allowance_overage\":0.1,"
		"\"allowance_slack\":190000,\"usage_window_s\":5,"
		"\"usage_due_s\":10,\"lease_ms\":1000,\"apply_ms\":2000,"
		"\"drain_ms\":2000,\"exposure_share\":0.1,"
		"\"exposure_slack\":50,\"evacuate_ms\":5000,"
		"\"warm_up_overage\":1.5,\"warm_up_slack\":5}}",
		place->node, place->failure_domain, ip, place->caller_port, ip,
		unused_port(), ip, unused_port(), ip, place->peer_port, ip,
		place->relay_port, place->seeds, place->store_port,
		place->store_port);
}

static sr_entry_host_settings_t *settings_at(const host_place_t *place)
{
	char *text = settings_text(place);
	GPtrArray *findings = sr_findings_new();
	sr_entry_host_settings_t *settings =
		sr_entry_host_settings_parse(text, strlen(text), findings);

	assert_non_null(settings);
	g_ptr_array_unref(findings);
	g_free(text);
	return settings;
}

/* At a caller port of its own and with the store. */
static inline sr_entry_host_settings_t *make_settings(const store_t *store,
						      host_place_t place)
{
	place.store_port = port_of(store->server);
	place.caller_port = unused_port();
	return settings_at(&place);
}

static gboolean on_timeout(gpointer data)
{
	*(gboolean *)data = TRUE;
	return G_SOURCE_REMOVE;
}

static inline void run_for(unsigned ms)
{
	gboolean timed_out = FALSE;

	g_timeout_add(ms, on_timeout, &timed_out);
	while (!timed_out)
		g_main_context_iteration(NULL, TRUE);
}

#endif
