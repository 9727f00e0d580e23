#include "memory_store.h"

typedef struct {
	guint64 version;
	GBytes *value;
} object_t;

typedef struct {
	sr_store_call_t call;
	char *key;
} pending_call_t;

struct memory_store {
	sr_store_t interface; /* must be first, see submit() */
	event_queue_t *events;
	sr_usec_t delay;
	GHashTable *objects; /* key -> object_t */
	GHashTable *pending; /* set of pending_call_t */
	guint64 last_version;
	gboolean down;
};

static void object_free(gpointer data)
{
	object_t *object = data;

	g_bytes_unref(object->value);
	g_free(object);
}

static void pending_call_free(gpointer data)
{
	pending_call_t *pending = data;

	if (pending->call.value)
		g_bytes_unref(pending->call.value);
	g_free(pending->key);
	g_free(pending);
}

static void put(memory_store_t *store, const pending_call_t *pending,
		sr_store_reply_t *reply)
{
	object_t *object = g_new0(object_t, 1);

	object->version = ++store->last_version;
	object->value = g_bytes_ref(pending->call.value);
	g_hash_table_replace(store->objects, g_strdup(pending->key), object);
	reply->version = object->version;
}

static void execute_call(memory_store_t *store, const pending_call_t *pending,
			 sr_store_reply_t *reply)
{
	const sr_store_call_t *call = &pending->call;
	object_t *object = g_hash_table_lookup(store->objects, pending->key);

	reply->status = SR_STORE_OK;
	switch (call->op) {
	case SR_STORE_CREATE:
		if (object)
			reply->status = SR_STORE_CONFLICT;
		else
			put(store, pending, reply);
		return;
	case SR_STORE_UPDATE:
		if (!object || object->version != call->if_version)
			reply->status = SR_STORE_CONFLICT;
		else
			put(store, pending, reply);
		return;
	case SR_STORE_GET:
	case SR_STORE_WATCH:
		if (!object) {
			reply->status = SR_STORE_NOT_FOUND;
			return;
		}
		reply->version = object->version;
		reply->value = object->value;
		return;
	case SR_STORE_DELETE:
	case SR_STORE_LIST:
		reply->status = SR_STORE_NOT_DONE;
		return;
	}
}

static void complete_call(void *user, void *data)
{
	memory_store_t *store = user;
	pending_call_t *pending = data;
	sr_store_reply_t reply = { .status = SR_STORE_UNKNOWN };

	if (!store->down)
		execute_call(store, pending, &reply);
	if (pending->call.done)
		pending->call.done(pending->call.user, &reply);
	g_hash_table_remove(store->pending, pending);
}

static void submit(sr_store_t *interface, const sr_store_call_t *call)
{
	memory_store_t *store = (memory_store_t *)interface;
	pending_call_t *pending = g_new0(pending_call_t, 1);

	pending->call = *call;
	pending->key = g_strdup(call->key);
	if (call->value)
		g_bytes_ref(call->value);
	g_hash_table_add(store->pending, pending);
	event_queue_add(store->events, store->delay, complete_call, store,
			pending);
}

static void cancel_all(sr_store_t *interface, void *user)
{
	memory_store_t *store = (memory_store_t *)interface;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, store->pending);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		pending_call_t *pending = key;

		if (pending->call.user == user)
			pending->call.done = NULL;
	}
}

memory_store_t *memory_store_new(event_queue_t *events, sr_usec_t delay)
{
	memory_store_t *store = g_new0(memory_store_t, 1);

	store->interface.submit = submit;
	store->interface.cancel_all = cancel_all;
	store->events = events;
	store->delay = delay;
	store->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       object_free);
	store->pending =
		g_hash_table_new_full(NULL, NULL, pending_call_free, NULL);
	return store;
}

void memory_store_free(memory_store_t *store)
{
	g_hash_table_unref(store->objects);
	g_hash_table_unref(store->pending);
	g_free(store);
}

sr_store_t *memory_store_interface(memory_store_t *store)
{
	return &store->interface;
}

void memory_store_set_down(memory_store_t *store, gboolean down)
{
	store->down = down;
}
