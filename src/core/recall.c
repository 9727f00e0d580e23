#include "core/recall.h"

#include <string.h>

#define PREFIX "recall/"

/** Wait of a node that only heard of a recall, at most. */
#define HEARD_WAIT (30 * SR_SEC)

#define RETRY_MIN (500 * SR_MSEC)
#define RETRY_MAX (20 * SR_SEC)
#define LIST_INTERVAL (60 * SR_SEC)

/** Versions of the rumour. */
#define RUMOUR_RECALLED 1
#define RUMOUR_KEPT 2

typedef struct {
	sr_recall_t *recall;
	char *key; /* SERVICE/VERSION */
	char *reason;
	gboolean kept;
	gboolean writing;
	sr_usec_t write_at;
	sr_usec_t backoff;
} entry_t;

struct sr_recall {
	sr_recall_options_t options;
	GRand *random;
	GHashTable *entries; /* key -> entry_t */
	GHashTable *calls;   /* set of get_t that are under way */
	sr_usec_t list_at;
	sr_usec_t now; /* of the latest event */
	char *list_after;
	gboolean listing;
};

/* A read of one object that the list named. */
typedef struct {
	sr_recall_t *recall;
	char *key;
} get_t;

static void entry_free(gpointer data)
{
	entry_t *entry = data;

	sr_store_cancel_all(entry->recall->options.store, entry);
	g_free(entry->key);
	g_free(entry->reason);
	g_free(entry);
}

static void get_free(gpointer data)
{
	get_t *get = data;

	sr_store_cancel_all(get->recall->options.store, get);
	g_free(get->key);
	g_free(get);
}

sr_recall_t *sr_recall_new(const sr_recall_options_t *options)
{
	sr_recall_t *recall = g_new0(sr_recall_t, 1);

	recall->options = *options;
	recall->random = g_rand_new_with_seed((guint32)options->seed);
	recall->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						entry_free);
	recall->calls = g_hash_table_new_full(NULL, NULL, get_free, NULL);
	return recall;
}

void sr_recall_free(sr_recall_t *recall)
{
	if (!recall)
		return;
	sr_store_cancel_all(recall->options.store, recall);
	g_hash_table_unref(recall->entries);
	g_hash_table_unref(recall->calls);
	g_rand_free(recall->random);
	g_free(recall->list_after);
	g_free(recall);
}

static entry_t *add_entry(sr_recall_t *recall, const char *key,
			  const char *reason)
{
	char **parts = g_strsplit(key, "/", 2);
	entry_t *entry = g_new0(entry_t, 1);

	entry->recall = recall;
	entry->key = g_strdup(key);
	entry->reason = g_strndup(reason, SR_RECALL_REASON_MAX);
	entry->backoff = RETRY_MIN;
	g_hash_table_insert(recall->entries, entry->key, entry);
	recall->options.recalled(recall->options.user, parts[0], parts[1],
				 entry->reason);
	recall->options.spread(recall->options.user, key, RUMOUR_RECALLED,
			       entry->reason);
	g_strfreev(parts);
	return entry;
}

static void set_kept(entry_t *entry)
{
	sr_recall_t *recall = entry->recall;

	if (entry->kept)
		return;
	entry->kept = TRUE;
	recall->options.spread(recall->options.user, entry->key, RUMOUR_KEPT,
			       entry->reason);
}

void sr_recall_add(sr_recall_t *recall, sr_usec_t now, const char *service,
		   const char *version, const char *reason)
{
	char *key = g_strconcat(service, "/", version, NULL);

	recall->now = now;
	if (!g_hash_table_contains(recall->entries, key))
		add_entry(recall, key, reason)->write_at = now;
	g_free(key);
	sr_recall_tick(recall, now);
}

static gboolean is_valid_key(const char *key)
{
	const char *slash = strchr(key, '/');

	return slash && slash > key && slash[1] && !strchr(slash + 1, '/');
}

void sr_recall_heard(sr_recall_t *recall, sr_usec_t now, const char *key,
		     guint64 version, const guint8 *reason, gsize size)
{
	entry_t *entry = g_hash_table_lookup(recall->entries, key);
	char *text;

	recall->now = now;
	if (!is_valid_key(key))
		return;
	if (!entry) {
		text = g_strndup((const char *)reason, size);
		entry = add_entry(recall, key, text);
		entry->write_at =
			now + (sr_usec_t)(g_rand_double(recall->random) *
					  (double)HEARD_WAIT);
		g_free(text);
	}
	if (version >= RUMOUR_KEPT)
		entry->kept = TRUE;
}

static void entry_written(void *user, const sr_store_reply_t *reply)
{
	entry_t *entry = user;
	sr_recall_t *recall = entry->recall;
	double jitter = 0.5 + g_rand_double(recall->random);

	entry->writing = FALSE;
	switch (reply->status) {
	case SR_STORE_OK:
	case SR_STORE_CONFLICT: /* someone else keeps the same */
		set_kept(entry);
		return;
	case SR_STORE_NOT_FOUND:
	case SR_STORE_NOT_DONE:
	case SR_STORE_UNKNOWN: /* creating it again does no harm */
	case SR_STORE_NOT_MODIFIED:
		break;
	}
	entry->write_at =
		recall->now + MAX((sr_usec_t)((double)entry->backoff * jitter),
				  reply->retry_after);
	entry->backoff = MIN(entry->backoff * 2, RETRY_MAX);
}

static void write_entry(sr_recall_t *recall, entry_t *entry)
{
	char *key = g_strconcat(PREFIX, entry->key, NULL);
	const sr_store_call_t call = {
		.op = SR_STORE_CREATE,
		.class = SR_STORE_RECALL,
		.key = key,
		.value = g_bytes_new(entry->reason, strlen(entry->reason)),
		.done = entry_written,
		.user = entry,
	};

	entry->writing = TRUE;
	sr_store_submit(recall->options.store, &call);
	g_bytes_unref(call.value);
	g_free(key);
}

static void object_read(void *user, const sr_store_reply_t *reply)
{
	get_t *get = user;
	sr_recall_t *recall = get->recall;

	if (reply->status == SR_STORE_OK &&
	    !g_hash_table_contains(recall->entries, get->key)) {
		gsize size = 0;
		const char *data = g_bytes_get_data(reply->value, &size);
		char *reason = g_strndup(data ? data : "", size);

		add_entry(recall, get->key, reason)->kept = TRUE;
		g_free(reason);
	}
	g_hash_table_remove(recall->calls, get);
}

static void read_object(sr_recall_t *recall, const char *object)
{
	get_t *get = g_new0(get_t, 1);
	const sr_store_call_t call = { .op = SR_STORE_GET,
				       .class = SR_STORE_RECALL,
				       .key = object,
				       .done = object_read,
				       .user = get };

	get->recall = recall;
	get->key = g_strdup(object + strlen(PREFIX));
	g_hash_table_add(recall->calls, get);
	sr_store_submit(recall->options.store, &call);
}

static void take_listed(sr_recall_t *recall, const char *object)
{
	entry_t *entry;

	if (!g_str_has_prefix(object, PREFIX) ||
	    !is_valid_key(object + strlen(PREFIX)))
		return;
	entry = g_hash_table_lookup(recall->entries, object + strlen(PREFIX));
	if (entry)
		set_kept(entry);
	else
		read_object(recall, object);
}

static void listed(void *user, const sr_store_reply_t *reply)
{
	sr_recall_t *recall = user;

	recall->listing = FALSE;
	if (reply->status != SR_STORE_OK)
		return;
	for (guint i = 0; i < reply->list->len; i++) {
		const sr_store_entry_t *object = reply->list->pdata[i];

		take_listed(recall, object->key);
		if (reply->more && i + 1 == reply->list->len) {
			g_free(recall->list_after);
			recall->list_after = g_strdup(object->key);
			recall->list_at = recall->now;
		}
	}
	if (!reply->more)
		g_clear_pointer(&recall->list_after, g_free);
}

static void list_objects(sr_recall_t *recall)
{
	const sr_store_call_t call = { .op = SR_STORE_LIST,
				       .class = SR_STORE_RECALL,
				       .key = PREFIX,
				       .after = recall->list_after,
				       .done = listed,
				       .user = recall };
	double jitter = 0.5 + g_rand_double(recall->random);

	recall->listing = TRUE;
	recall->list_at =
		recall->now + (sr_usec_t)((double)LIST_INTERVAL * jitter);
	sr_store_submit(recall->options.store, &call);
}

void sr_recall_tick(sr_recall_t *recall, sr_usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	recall->now = now;
	if (!recall->listing && now >= recall->list_at)
		list_objects(recall);
	g_hash_table_iter_init(&iter, recall->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *entry = value;

		if (!entry->kept && !entry->writing && now >= entry->write_at)
			write_entry(recall, entry);
	}
}

gboolean sr_recall_is_kept(const sr_recall_t *recall, const char *service,
			   const char *version)
{
	char *key = g_strconcat(service, "/", version, NULL);
	const entry_t *entry = g_hash_table_lookup(recall->entries, key);

	g_free(key);
	return entry && entry->kept;
}
