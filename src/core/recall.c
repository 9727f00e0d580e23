#include "core/recall.h"

#include <string.h>

#define KEY_PREFIX "recall/"

/** Longest delay before a node writes a recall that it received. */
#define RECEIVED_WRITE_DELAY_MAX (30 * SR_SEC)

/** Backoff after a failed write; doubles with each failure, with jitter. */
#define RETRY_MIN (500 * SR_MSEC)
#define RETRY_MAX (20 * SR_SEC)

/** Mean interval between lists of the stored recalls. */
#define LIST_INTERVAL (60 * SR_SEC)

/** Versions of the rumour of a recall. */
#define RUMOUR_RECALLED 1
#define RUMOUR_STORED 2

typedef struct {
	sr_recall_t *recall;
	char *key; /* SERVICE/VERSION */
	char *reason;
	gboolean stored;
	gboolean write_pending;
	sr_usec_t next_write;
	sr_usec_t retry_delay;
} entry_t;

struct sr_recall {
	sr_recall_options_t options;
	GRand *random;
	GHashTable *entries;	   /* key -> entry_t */
	GHashTable *pending_reads; /* set of pending_read_t */
	sr_usec_t next_list;
	sr_usec_t now;	   /* as of the last call, not of a reply */
	char *list_cursor; /* last key of the previous page, or NULL */
	gboolean list_pending;
};

/* A read in flight of an object that was listed. */
typedef struct {
	sr_recall_t *recall;
	char *key;
} pending_read_t;

static void entry_free(gpointer data)
{
	entry_t *entry = data;

	sr_store_cancel_all(entry->recall->options.store, entry);
	g_free(entry->key);
	g_free(entry->reason);
	g_free(entry);
}

static void pending_read_free(gpointer data)
{
	pending_read_t *pending_read = data;

	sr_store_cancel_all(pending_read->recall->options.store, pending_read);
	g_free(pending_read->key);
	g_free(pending_read);
}

sr_recall_t *sr_recall_new(const sr_recall_options_t *options)
{
	sr_recall_t *recall = g_new0(sr_recall_t, 1);

	recall->options = *options;
	recall->random = g_rand_new_with_seed((guint32)options->seed);
	recall->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						entry_free);
	recall->pending_reads =
		g_hash_table_new_full(NULL, NULL, pending_read_free, NULL);
	return recall;
}

void sr_recall_free(sr_recall_t *recall)
{
	if (!recall)
		return;
	sr_store_cancel_all(recall->options.store, recall);
	g_hash_table_unref(recall->entries);
	g_hash_table_unref(recall->pending_reads);
	g_rand_free(recall->random);
	g_free(recall->list_cursor);
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
	entry->retry_delay = RETRY_MIN;
	g_hash_table_insert(recall->entries, entry->key, entry);
	recall->options.recalled(recall->options.user, parts[0], parts[1],
				 entry->reason);
	recall->options.publish(recall->options.user, key, RUMOUR_RECALLED,
				entry->reason);
	g_strfreev(parts);
	return entry;
}

static void set_stored(entry_t *entry)
{
	sr_recall_t *recall = entry->recall;

	if (entry->stored)
		return;
	entry->stored = TRUE;
	recall->options.publish(recall->options.user, entry->key, RUMOUR_STORED,
				entry->reason);
}

void sr_recall_add(sr_recall_t *recall, sr_usec_t now, const char *service,
		   const char *version, const char *reason)
{
	char *key = g_strconcat(service, "/", version, NULL);

	recall->now = now;
	if (!g_hash_table_contains(recall->entries, key))
		add_entry(recall, key, reason)->next_write = now;
	g_free(key);
	sr_recall_tick(recall, now);
}

static gboolean is_valid_key(const char *key)
{
	const char *slash = strchr(key, '/');

	return slash && slash > key && slash[1] && !strchr(slash + 1, '/');
}

void sr_recall_receive(sr_recall_t *recall, sr_usec_t now, const char *key,
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
		entry->next_write =
			now + (sr_usec_t)(g_rand_double(recall->random) *
					  (double)RECEIVED_WRITE_DELAY_MAX);
		g_free(text);
	}
	if (version >= RUMOUR_STORED)
		entry->stored = TRUE;
}

static void on_entry_written(void *user, const sr_store_reply_t *reply)
{
	entry_t *entry = user;
	sr_recall_t *recall = entry->recall;
	double jitter = 0.5 + g_rand_double(recall->random);

	entry->write_pending = FALSE;
	switch (reply->status) {
	case SR_STORE_OK:
	case SR_STORE_CONFLICT: /* another node has stored it */
		set_stored(entry);
		return;
	case SR_STORE_NOT_FOUND:
	case SR_STORE_NOT_DONE:
	case SR_STORE_UNKNOWN: /* creating it again is harmless */
	case SR_STORE_NOT_MODIFIED:
		break;
	}
	entry->next_write =
		recall->now +
		MAX((sr_usec_t)((double)entry->retry_delay * jitter),
		    reply->retry_after);
	entry->retry_delay = MIN(entry->retry_delay * 2, RETRY_MAX);
}

static void write_entry(sr_recall_t *recall, entry_t *entry)
{
	char *key = g_strconcat(KEY_PREFIX, entry->key, NULL);
	const sr_store_call_t call = {
		.op = SR_STORE_CREATE,
		.class = SR_STORE_RECALL,
		.key = key,
		.value = g_bytes_new(entry->reason, strlen(entry->reason)),
		.done = on_entry_written,
		.user = entry,
	};

	entry->write_pending = TRUE;
	sr_store_submit(recall->options.store, &call);
	g_bytes_unref(call.value);
	g_free(key);
}

static void on_object_read(void *user, const sr_store_reply_t *reply)
{
	pending_read_t *pending_read = user;
	sr_recall_t *recall = pending_read->recall;

	if (reply->status == SR_STORE_OK &&
	    !g_hash_table_contains(recall->entries, pending_read->key)) {
		gsize size = 0;
		const char *data = g_bytes_get_data(reply->value, &size);
		char *reason = g_strndup(data ? data : "", size);

		add_entry(recall, pending_read->key, reason)->stored = TRUE;
		g_free(reason);
	}
	g_hash_table_remove(recall->pending_reads, pending_read);
}

static void read_object(sr_recall_t *recall, const char *object)
{
	pending_read_t *pending_read = g_new0(pending_read_t, 1);
	const sr_store_call_t call = { .op = SR_STORE_GET,
				       .class = SR_STORE_RECALL,
				       .key = object,
				       .done = on_object_read,
				       .user = pending_read };

	pending_read->recall = recall;
	pending_read->key = g_strdup(object + strlen(KEY_PREFIX));
	g_hash_table_add(recall->pending_reads, pending_read);
	sr_store_submit(recall->options.store, &call);
}

static void apply_listed_key(sr_recall_t *recall, const char *object)
{
	entry_t *entry;

	if (!g_str_has_prefix(object, KEY_PREFIX) ||
	    !is_valid_key(object + strlen(KEY_PREFIX)))
		return;
	entry = g_hash_table_lookup(recall->entries,
				    object + strlen(KEY_PREFIX));
	if (entry)
		set_stored(entry);
	else
		read_object(recall, object);
}

static void on_listed(void *user, const sr_store_reply_t *reply)
{
	sr_recall_t *recall = user;

	recall->list_pending = FALSE;
	if (reply->status != SR_STORE_OK)
		return;
	for (guint i = 0; i < reply->list->len; i++) {
		const sr_store_entry_t *object = reply->list->pdata[i];

		apply_listed_key(recall, object->key);
		if (reply->more && i + 1 == reply->list->len) {
			g_free(recall->list_cursor);
			recall->list_cursor = g_strdup(object->key);
			recall->next_list = recall->now;
		}
	}
	if (!reply->more)
		g_clear_pointer(&recall->list_cursor, g_free);
}

static void list_objects(sr_recall_t *recall)
{
	const sr_store_call_t call = { .op = SR_STORE_LIST,
				       .class = SR_STORE_RECALL,
				       .key = KEY_PREFIX,
				       .after = recall->list_cursor,
				       .done = on_listed,
				       .user = recall };
	double jitter = 0.5 + g_rand_double(recall->random);

	recall->list_pending = TRUE;
	recall->next_list =
		recall->now + (sr_usec_t)((double)LIST_INTERVAL * jitter);
	sr_store_submit(recall->options.store, &call);
}

void sr_recall_tick(sr_recall_t *recall, sr_usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	recall->now = now;
	if (!recall->list_pending && now >= recall->next_list)
		list_objects(recall);
	g_hash_table_iter_init(&iter, recall->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *entry = value;

		if (!entry->stored && !entry->write_pending &&
		    now >= entry->next_write)
			write_entry(recall, entry);
	}
}

gboolean sr_recall_is_stored(const sr_recall_t *recall, const char *service,
			     const char *version)
{
	char *key = g_strconcat(service, "/", version, NULL);
	const entry_t *entry = g_hash_table_lookup(recall->entries, key);

	g_free(key);
	return entry && entry->stored;
}
