#include "fake_platform.h"

#include <string.h>

#include "driver.h"

/* Time after which a call without a reply ends as SR_STORE_UNKNOWN. */
#define CALL_TIMEOUT (400 * SR_MSEC)

typedef struct {
	guint64 version;
	GBytes *value;
} object_t;

typedef struct {
	fake_client_t *client; /* NULL once cancelled */
	sr_store_call_t call;
	char *key;
	char *after; /* LIST: start after this key; never NULL */
	gboolean replied;
	gboolean applied;
	sr_store_status_t status;
	guint64 version;
	GBytes *value;
	GPtrArray *list; /* sr_store_entry_t of LIST */
	gboolean more;
	int references; /* by events */
} pending_t;

typedef enum {
	EVENT_EFFECT,	 /* the request reaches the platform */
	EVENT_REPLY,	 /* the reply reaches the client */
	EVENT_TIMEOUT,	 /* ends as UNKNOWN unless replied before */
	EVENT_THROTTLED, /* ends as NOT_DONE */
} event_kind_t;

typedef struct {
	sr_usec_t at;
	guint64 sequence;
	event_kind_t kind;
	pending_t *pending;
} event_t;

struct fake_client {
	sr_store_t store;
	fake_platform_t *platform;
	gboolean cut;	 /* requests and replies are lost */
	gboolean frozen; /* replies and timeouts are held back */
};

struct fake_platform {
	GTree *objects;	  /* key -> object_t, in key order */
	guint64 version;  /* of the last write */
	guint64 random;	  /* state of prove_random() */
	guint64 sequence; /* of the next event; orders events of one time */
	sr_usec_t now;
	GSequence *events; /* event_t, by time and sequence */
	fake_faults_t faults;
	fake_counts_t counts;
};

static void object_free(gpointer data)
{
	object_t *object = data;

	g_bytes_unref(object->value);
	g_free(object);
}

static int compare_keys(gconstpointer a, gconstpointer b, gpointer user)
{
	return strcmp(a, b);
}

static void entry_free(gpointer data)
{
	sr_store_entry_t *entry = data;

	g_free(entry->key);
	g_free(entry);
}

static void pending_unref(pending_t *pending)
{
	if (--pending->references)
		return;
	g_clear_pointer(&pending->call.value, g_bytes_unref);
	g_clear_pointer(&pending->value, g_bytes_unref);
	g_clear_pointer(&pending->list, g_ptr_array_unref);
	g_free(pending->key);
	g_free(pending->after);
	g_free(pending);
}

static void event_free(gpointer data)
{
	event_t *event = data;

	pending_unref(event->pending);
	g_free(event);
}

static int compare_events(gconstpointer a, gconstpointer b, gpointer user)
{
	const event_t *x = a;
	const event_t *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static void schedule(fake_platform_t *platform, pending_t *pending,
		     event_kind_t kind, sr_usec_t delay)
{
	event_t *event = g_new0(event_t, 1);

	event->at = platform->now + delay;
	event->sequence = platform->sequence++;
	event->kind = kind;
	event->pending = pending;
	pending->references++;
	g_sequence_insert_sorted(platform->events, event, compare_events, NULL);
}

static unsigned random_percent(fake_platform_t *platform)
{
	return (unsigned)(prove_random(&platform->random) % 100);
}

static sr_usec_t random_delay(fake_platform_t *platform, sr_usec_t longest)
{
	return SR_MSEC + (sr_usec_t)(prove_random(&platform->random) %
				     (guint64)MAX(longest, 1));
}

static void submit(sr_store_t *store, const sr_store_call_t *call)
{
	fake_client_t *client = (fake_client_t *)store;
	fake_platform_t *platform = client->platform;
	const fake_faults_t *faults = &platform->faults;
	pending_t *pending = g_new0(pending_t, 1);

	pending->client = client;
	pending->call = *call;
	pending->key = g_strdup(call->key);
	pending->after = g_strdup(call->after ? call->after : "");
	if (call->value)
		g_bytes_ref(call->value);
	schedule(platform, pending, EVENT_TIMEOUT, CALL_TIMEOUT);
	if (client->cut || faults->down ||
	    random_percent(platform) < faults->request_loss)
		return;
	if (random_percent(platform) < faults->throttle)
		schedule(platform, pending, EVENT_THROTTLED,
			 random_delay(platform, faults->max_call_delay));
	else if (random_percent(platform) < faults->late)
		schedule(platform, pending, EVENT_EFFECT,
			 random_delay(platform, faults->max_late_delay));
	else
		schedule(platform, pending, EVENT_EFFECT,
			 random_delay(platform, faults->max_call_delay));
}

static void cancel_calls(fake_client_t *client, void *user, gboolean all)
{
	GSequenceIter *iter =
		g_sequence_get_begin_iter(client->platform->events);

	for (; !g_sequence_iter_is_end(iter);
	     iter = g_sequence_iter_next(iter)) {
		event_t *event = g_sequence_get(iter);

		if (event->pending->client == client &&
		    (all || event->pending->call.user == user))
			event->pending->client = NULL;
	}
}

static void cancel_all(sr_store_t *store, void *user)
{
	cancel_calls((fake_client_t *)store, user, FALSE);
}

static void write_object(fake_platform_t *platform, pending_t *pending)
{
	object_t *object = g_new0(object_t, 1);
	gsize size = g_bytes_get_size(pending->call.value);

	g_assert(size <= SR_STORE_VALUE_MAX);
	object->version = ++platform->version;
	object->value = g_bytes_ref(pending->call.value);
	platform->counts.largest_value_size =
		MAX(platform->counts.largest_value_size, size);
	g_tree_replace(platform->objects, g_strdup(pending->key), object);
	pending->version = object->version;
	pending->status = SR_STORE_OK;
}

typedef struct {
	pending_t *pending;
	unsigned limit;
} list_page_t;

static gboolean append_entry(gpointer key, gpointer value, gpointer user)
{
	list_page_t *page = user;
	pending_t *pending = page->pending;
	const object_t *object = value;
	sr_store_entry_t *entry;

	if (!g_str_has_prefix(key, pending->key) ||
	    strcmp(key, pending->after) <= 0)
		return FALSE;
	if (pending->list->len == page->limit) {
		pending->more = TRUE;
		return TRUE;
	}
	entry = g_new0(sr_store_entry_t, 1);
	entry->key = g_strdup(key);
	entry->version = object->version;
	entry->size = g_bytes_get_size(object->value);
	g_ptr_array_add(pending->list, entry);
	return FALSE;
}

static void list_objects(fake_platform_t *platform, pending_t *pending)
{
	list_page_t page = {
		.pending = pending,
		.limit = pending->call.limit ? pending->call.limit : 1000,
	};

	pending->list = g_ptr_array_new_with_free_func(entry_free);
	g_tree_foreach(platform->objects, append_entry, &page);
	pending->status = SR_STORE_OK;
}

static void apply_call(fake_platform_t *platform, pending_t *pending)
{
	object_t *object = g_tree_lookup(platform->objects, pending->key);
	guint64 expected = pending->call.if_version;

	pending->status = SR_STORE_NOT_FOUND;
	switch (pending->call.op) {
	case SR_STORE_CREATE:
		pending->status = SR_STORE_CONFLICT;
		if (!object)
			write_object(platform, pending);
		break;
	case SR_STORE_UPDATE:
		pending->status = SR_STORE_CONFLICT;
		if (object && object->version == expected)
			write_object(platform, pending);
		break;
	case SR_STORE_DELETE:
		if (object && expected && object->version != expected) {
			pending->status = SR_STORE_CONFLICT;
		} else if (object) {
			g_tree_remove(platform->objects, pending->key);
			pending->status = SR_STORE_OK;
		}
		break;
	case SR_STORE_LIST:
		list_objects(platform, pending);
		break;
	case SR_STORE_GET:
	case SR_STORE_WATCH:
		if (object) {
			pending->status = SR_STORE_OK;
			pending->version = object->version;
			pending->value = g_bytes_ref(object->value);
		}
		break;
	}
}

static gboolean is_write(const pending_t *pending)
{
	return pending->call.op == SR_STORE_CREATE ||
	       pending->call.op == SR_STORE_UPDATE ||
	       pending->call.op == SR_STORE_DELETE;
}

static void on_effect(fake_platform_t *platform, pending_t *pending)
{
	if (is_write(pending))
		platform->counts.writes++;
	else
		platform->counts.reads++;
	apply_call(platform, pending);
	pending->applied = TRUE;
	if (random_percent(platform) >= platform->faults.reply_loss)
		schedule(platform, pending, EVENT_REPLY,
			 random_delay(platform,
				      platform->faults.max_call_delay));
}

static void reply(pending_t *pending, sr_store_status_t status)
{
	sr_store_reply_t store_reply = { .status = status };

	if (pending->replied || !pending->client)
		return;
	pending->replied = TRUE;
	if (status == pending->status && pending->applied) {
		store_reply.version = pending->version;
		store_reply.value = pending->value;
		store_reply.list = pending->list;
		store_reply.more = pending->more;
	}
	pending->call.done(pending->call.user, &store_reply);
}

static void run_event(fake_platform_t *platform, event_t *event)
{
	pending_t *pending = event->pending;
	fake_client_t *client = pending->client;

	if (event->kind == EVENT_EFFECT) {
		on_effect(platform, pending);
		return;
	}
	if (client && client->frozen) {
		schedule(platform, pending, event->kind, 10 * SR_MSEC);
		return;
	}
	if (client && client->cut && event->kind != EVENT_TIMEOUT)
		return;
	switch (event->kind) {
	case EVENT_REPLY:
		reply(pending, pending->status);
		break;
	case EVENT_THROTTLED:
		reply(pending, SR_STORE_NOT_DONE);
		break;
	default:
		reply(pending, SR_STORE_UNKNOWN);
		break;
	}
}

sr_usec_t fake_platform_next(const fake_platform_t *platform)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(platform->events);

	if (g_sequence_iter_is_end(iter))
		return G_MAXINT64;
	return ((event_t *)g_sequence_get(iter))->at;
}

void fake_platform_run(fake_platform_t *platform, sr_usec_t now)
{
	while (fake_platform_next(platform) <= now) {
		GSequenceIter *iter =
			g_sequence_get_begin_iter(platform->events);
		event_t *event = g_sequence_get(iter);

		platform->now = event->at;
		event->pending->references++;
		run_event(platform, event);
		pending_unref(event->pending);
		g_sequence_remove(iter);
	}
	platform->now = now;
}

fake_platform_t *fake_platform_new(guint64 seed)
{
	fake_platform_t *platform = g_new0(fake_platform_t, 1);

	platform->random = seed;
	platform->objects =
		g_tree_new_full(compare_keys, NULL, g_free, object_free);
	platform->events = g_sequence_new(event_free);
	platform->faults.max_call_delay = 5 * SR_MSEC;
	return platform;
}

void fake_platform_free(fake_platform_t *platform)
{
	g_sequence_free(platform->events);
	g_tree_unref(platform->objects);
	g_free(platform);
}

fake_faults_t *fake_platform_faults(fake_platform_t *platform)
{
	return &platform->faults;
}

const fake_counts_t *fake_platform_counts(const fake_platform_t *platform)
{
	return &platform->counts;
}

fake_client_t *fake_client_new(fake_platform_t *platform)
{
	fake_client_t *client = g_new0(fake_client_t, 1);

	client->store.submit = submit;
	client->store.cancel_all = cancel_all;
	client->platform = platform;
	return client;
}

void fake_client_free(fake_client_t *client)
{
	cancel_calls(client, NULL, TRUE);
	g_free(client);
}

sr_store_t *fake_client_store(fake_client_t *client)
{
	return &client->store;
}

void fake_client_set_cut(fake_client_t *client, gboolean cut)
{
	client->cut = cut;
}

void fake_client_set_frozen(fake_client_t *client, gboolean frozen)
{
	client->frozen = frozen;
}

typedef struct {
	const char *prefix;
	guint n;
} count_state_t;

static gboolean count_key(gpointer key, gpointer value, gpointer user)
{
	count_state_t *state = user;

	state->n += g_str_has_prefix(key, state->prefix);
	return FALSE;
}

guint fake_platform_n_objects(const fake_platform_t *platform,
			      const char *prefix)
{
	count_state_t state = { .prefix = prefix };

	g_tree_foreach(platform->objects, count_key, &state);
	return state.n;
}
