/*
 * The platform's store and the address of the duties, on loopback. It takes
 * objects from a file of lines "KIND/NAME SPEC" and, as the operator and
 * the workers write, by PUT without a revision.
 *
 * SIGUSR2 removes the entry named leaver. SIGUSR1 is a drill: the store is away
 * for a second and comes back, in the next era, from a copy that is five
 * seconds old; the entry of the leaver, which writes no more, lapses 3.6 s
 * later, and all other entries are written again after half a second.
 *
 * Usage: store IP:PORT WIRE OBJECTS RECORD [leaver=KIND/NAME]
 */
#include <glib-unix.h>
#include <json-c/json.h>
#include <libsoup/soup.h>

#include "bed.h"

typedef struct {
	SoupServerMessage *message;
	char *kind;
	gint64 after;
	guint timer;
} watch_t;

static json_object *objects; /* "KIND/NAME" -> object */
static json_object *removed; /* the same, as last seen */
static gint64 last_revision = 1000;
static GPtrArray *watches;
static unsigned era = 1;
static gboolean is_away;
static const char *leaver;

/** copy_t - of the store, taken twice a second; the latest is the last. */
typedef struct {
	char *objects;
	gint64 revision;
	gint64 at_ms;
} copy_t;

static GQueue copies = G_QUEUE_INIT;

#define COPY_AGE_MS 5000
#define COPY_INTERVAL_MS 500
#define AWAY_MS 1000
#define REWRITE_MS 500
#define LAPSE_MS 3600

static json_object *metadata_of(json_object *object)
{
	return json_object_object_get(object, "metadata");
}

static gint64 revision_of(json_object *object)
{
	return json_object_get_int64(
		json_object_object_get(metadata_of(object), "revision"));
}

static void respond(SoupServerMessage *message, unsigned status,
		    json_object *body)
{
	const char *text = json_object_to_json_string(body);

	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, text, strlen(text));
}

static void add_events(json_object *from, const char *kind, gint64 after,
		       gboolean are_removed, json_object *events)
{
	size_t size = strlen(kind);

	json_object_object_foreach(from, key, object)
	{
		json_object *event;

		if (strncmp(key, kind, size) != 0 || key[size] != '/' ||
		    revision_of(object) <= after)
			continue;
		event = json_object_new_object();
		json_object_object_add(event, "object",
				       json_object_get(object));
		json_object_object_add(event, "removed",
				       json_object_new_boolean(are_removed));
		json_object_array_add(events, event);
	}
}

/* Takes ownership of the entries. */
static void respond_with(SoupServerMessage *message, const char *member,
			 json_object *entries)
{
	json_object *body = json_object_new_object();

	json_object_object_add(body, member, entries);
	json_object_object_add(body, "truncated",
			       json_object_new_boolean(FALSE));
	json_object_object_add(body, bed_name("revision"),
			       json_object_new_int64(last_revision));
	respond(message, 200, body);
	json_object_put(body);
}

static json_object *events_since(const char *kind, gint64 after)
{
	json_object *events = json_object_new_array();

	add_events(objects, kind, after, FALSE, events);
	add_events(removed, kind, after, TRUE, events);
	return events;
}

static void end_watch(watch_t *watch)
{
	respond_with(watch->message, "events",
		     events_since(watch->kind, watch->after));
	soup_server_message_unpause(watch->message);
	g_signal_handlers_disconnect_by_data(watch->message, watch);
	if (watch->timer)
		g_source_remove(watch->timer);
	g_ptr_array_remove_fast(watches, watch);
	g_object_unref(watch->message);
	g_free(watch->kind);
	g_free(watch);
}

static gboolean on_watch_over(gpointer user)
{
	watch_t *watch = user;

	watch->timer = 0;
	end_watch(watch);
	return G_SOURCE_REMOVE;
}

static void on_watch_gone(SoupServerMessage *message, gpointer user)
{
	watch_t *watch = user;

	(void)message;
	g_signal_handlers_disconnect_by_data(watch->message, watch);
	g_source_remove(watch->timer);
	g_ptr_array_remove_fast(watches, watch);
	g_object_unref(watch->message);
	g_free(watch->kind);
	g_free(watch);
}

static gboolean answer_watches(gpointer user)
{
	(void)user;
	for (guint i = watches->len; i > 0; i--) {
		watch_t *watch = watches->pdata[i - 1];
		json_object *events = events_since(watch->kind, watch->after);

		if (json_object_array_length(events) > 0)
			end_watch(watch);
		json_object_put(events);
	}
	return G_SOURCE_REMOVE;
}

static void touch(json_object *object)
{
	json_object_object_add(metadata_of(object), "revision",
			       json_object_new_int64(++last_revision));
	g_idle_add(answer_watches, NULL);
}

/* Takes ownership of the value. */
static json_object *put(const char *key, const char *member, json_object *value)
{
	json_object *object = json_object_object_get(objects, key);

	if (!object) {
		json_object *metadata = json_object_new_object();

		object = json_object_new_object();
		json_object_object_add(
			metadata, "name",
			json_object_new_string(strchr(key, '/') + 1));
		json_object_object_add(object, "metadata", metadata);
		json_object_object_add(objects, key, object);
		json_object_object_del(removed, key);
	}
	json_object_object_add(object, member, value);
	touch(object);
	return object;
}

static void on_get(SoupServerMessage *message, const char *key,
		   GHashTable *query)
{
	const char *after = query ? g_hash_table_lookup(query, "watch") : NULL;
	const char *wait = query ? g_hash_table_lookup(query, "wait_ms") : NULL;
	json_object *object = json_object_object_get(objects, key);
	json_object *entries;
	watch_t *watch;

	if (strchr(key, '/')) {
		respond(message, object ? 200 : 404, object);
		return;
	}
	if (!after) {
		entries = json_object_new_array();
		json_object_object_foreach(objects, name, item)
		{
			if (g_str_has_prefix(name, key) &&
			    name[strlen(key)] == '/')
				json_object_array_add(entries,
						      json_object_get(item));
		}
		respond_with(message, "items", entries);
		return;
	}
	if (g_ascii_strtoll(after, NULL, 10) > last_revision) {
		respond(message, 410, NULL);
		return;
	}
	entries = events_since(key, g_ascii_strtoll(after, NULL, 10));
	if (json_object_array_length(entries) > 0) {
		respond_with(message, "events", entries);
		return;
	}
	json_object_put(entries);
	watch = g_new0(watch_t, 1);
	watch->message = g_object_ref(message);
	watch->kind = g_strdup(key);
	watch->after = g_ascii_strtoll(after, NULL, 10);
	watch->timer = g_timeout_add(
		(guint)g_ascii_strtoull(wait ? wait : "1", NULL, 10),
		on_watch_over, watch);
	g_signal_connect(message, "disconnected", G_CALLBACK(on_watch_gone),
			 watch);
	g_ptr_array_add(watches, watch);
	soup_server_message_pause(message);
}

static void on_write(SoupServerMessage *message, const char *path,
		     const char *method)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	json_object *sent = json_tokener_parse(body->data);
	gboolean is_status = g_str_has_suffix(path, "/status");
	gboolean creates = !strcmp(method, "POST");
	char *key = g_strndup(path, strlen(path) - (is_status ? 7 : 0));
	json_object *known;

	if (creates) {
		const char *name = json_object_get_string(
			json_object_object_get(metadata_of(sent), "name"));
		char *full = g_strconcat(key, "/", name, NULL);

		g_free(key);
		key = full;
	}
	known = json_object_object_get(objects, key);
	if (known && (creates || (revision_of(sent) > 0 &&
				  revision_of(sent) != revision_of(known)))) {
		respond(message, 409, known);
	} else if (!known && revision_of(sent) > 0) {
		respond(message, 404, NULL);
	} else {
		const char *member = is_status ? "status" : "spec";

		known = put(
			key, member,
			json_object_get(json_object_object_get(sent, member)));
		respond(message, 200, known);
	}
	json_object_put(sent);
	g_free(key);
}

static void on_delete(SoupServerMessage *message, const char *key)
{
	json_object *known = json_object_object_get(objects, key);

	if (!known) {
		respond(message, 404, NULL);
		return;
	}
	json_object_get(known);
	json_object_object_del(objects, key);
	touch(known);
	json_object_object_add(removed, key, known);
	respond(message, 200, known);
}

static void on_duty(SoupServerMessage *message, const char *path)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	const char *holder =
		soup_message_headers_get_one(headers, bed_name("holder"));
	const char *epoch =
		soup_message_headers_get_one(headers, bed_name("epoch"));
	json_object *nothing = json_object_new_object();

	bed_log("duty %s holder=%s epoch=%s %.*s", path, holder ? holder : "-",
		epoch ? epoch : "-", (int)MIN(body->length, 1000), body->data);
	respond(message, 200, nothing);
	json_object_put(nothing);
}

static void remove_leaver(const char *cause)
{
	json_object *known = json_object_object_get(objects, leaver);

	if (!known)
		return;
	json_object_get(known);
	json_object_object_del(objects, leaver);
	touch(known);
	json_object_object_add(removed, leaver, known);
	bed_log("store removes %s: %s", leaver, cause);
}

static gboolean on_leave(gpointer user)
{
	(void)user;
	remove_leaver("it has left");
	return G_SOURCE_CONTINUE;
}

static gboolean on_lapse(gpointer user)
{
	(void)user;
	remove_leaver("three intervals of silence");
	return G_SOURCE_REMOVE;
}

static gboolean on_copy(gpointer user)
{
	copy_t *copy = g_new0(copy_t, 1);

	(void)user;
	copy->objects = g_strdup(json_object_to_json_string(objects));
	copy->revision = last_revision;
	copy->at_ms = bed_now_ms();
	g_queue_push_tail(&copies, copy);
	return G_SOURCE_CONTINUE;
}

/* What the operator and the other workers wrote is written again. */
static gboolean on_rewrite(gpointer user)
{
	(void)user;
	json_object_object_foreach(objects, key, object)
	{
		if (strcmp(key, leaver) != 0 &&
		    (g_str_has_prefix(key, "servers/") ||
		     g_str_has_prefix(key, "config/")))
			touch(object);
	}
	return G_SOURCE_REMOVE;
}

static gboolean on_return(gpointer user)
{
	gint64 now_ms = bed_now_ms();
	copy_t *copy = g_queue_pop_head(&copies);

	(void)user;
	while (copy && !g_queue_is_empty(&copies) &&
	       ((copy_t *)g_queue_peek_head(&copies))->at_ms <=
		       now_ms - COPY_AGE_MS)
		copy = g_queue_pop_head(&copies);
	json_object_put(objects);
	json_object_put(removed);
	objects = json_tokener_parse(copy ? copy->objects : "{}");
	removed = json_object_new_object();
	last_revision = copy ? copy->revision : 0;
	era++;
	is_away = FALSE;
	bed_log("store is back, era %u, from a copy %lld ms old", era,
		copy ? (long long)(now_ms - copy->at_ms) : 0);
	g_timeout_add(REWRITE_MS, on_rewrite, NULL);
	g_timeout_add(LAPSE_MS, on_lapse, NULL);
	return G_SOURCE_REMOVE;
}

static gboolean on_drill(gpointer user)
{
	(void)user;
	is_away = TRUE;
	bed_log("store is away");
	while (watches->len > 0)
		end_watch(watches->pdata[0]);
	g_timeout_add(AWAY_MS, on_return, NULL);
	return G_SOURCE_CONTINUE;
}

static void on_call(SoupServer *server, SoupServerMessage *message,
		    const char *path, GHashTable *query, gpointer user)
{
	const char *method = soup_server_message_get_method(message);
	const char *prefix = bed_name("objects");
	char text[16];

	(void)server;
	(void)user;
	if (!g_str_has_prefix(path, prefix)) {
		on_duty(message, path);
		return;
	}
	if (is_away) {
		respond(message, 503, NULL);
		return;
	}
	g_snprintf(text, sizeof(text), "%u", era);
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message),
		bed_name("era"), text);
	path += strlen(prefix);
	if (!strcmp(method, "GET"))
		on_get(message, path, query);
	else if (!strcmp(method, "DELETE"))
		on_delete(message, path);
	else
		on_write(message, path, method);
}

static void read_objects(const char *file)
{
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(file, &text, NULL, NULL))
		exit(2);
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; *line; line++) {
		char *space = strchr(*line, ' ');
		json_object *spec;

		if (!space)
			continue;
		*space = '\0';
		spec = json_tokener_parse(space + 1);
		if (!spec) {
			fprintf(stderr, "%s is not JSON\n", *line);
			exit(2);
		}
		put(*line, "spec", spec);
	}
	g_strfreev(lines);
	g_free(text);
}

int main(int argc, char **argv)
{
	SoupServer *server = soup_server_new(NULL, NULL);
	GSocketAddress *address;
	char ip[64];

	if (argc < 5)
		return 2;
	leaver = bed_text(argc, argv, "leaver", "");
	snprintf(ip, sizeof(ip), "%.*s", (int)strcspn(argv[1], ":"), argv[1]);
	bed_read_names(argv[2]);
	bed_open_record(argv[4]);
	objects = json_object_new_object();
	removed = json_object_new_object();
	watches = g_ptr_array_new();
	read_objects(argv[3]);
	soup_server_add_handler(server, NULL, on_call, NULL, NULL);
	address = g_inet_socket_address_new_from_string(
		ip, (guint)strtoul(strrchr(argv[1], ':') + 1, NULL, 10));
	if (!soup_server_listen(server, address, 0, NULL))
		return 2;
	g_unix_signal_add(SIGUSR1, on_drill, NULL);
	g_unix_signal_add(SIGUSR2, on_leave, NULL);
	g_timeout_add(COPY_INTERVAL_MS, on_copy, NULL);
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return 0;
}
