#include "core/config_sync.h"

#include <string.h>
#include <xxhash.h>

#include "core/config_sync_internal.h"

/* Time between polls of the object's version: for watchers and nodes without
 * a configuration, and for all other nodes. */
#define WATCHER_POLL_INTERVAL (3 * SR_SEC)
#define POLL_INTERVAL SR_MINUTE

/* Time to wait for a rumour after the start, before the first poll. */
#define FIRST_POLL_DELAY (2 * SR_SEC)

/* Time before the next watch after a failed one. */
#define WATCH_RETRY_DELAY SR_SEC

/* Time after which the platform ends a watch without a change. */
#define WATCH_TIMEOUT (30 * SR_SEC)

/* Seed of the hash that orders nodes; the same on every node. */
#define WATCHER_HASH_SEED 2

sr_usec_t sr_config_sync_jitter(sr_config_sync_t *sync, sr_usec_t time)
{
	return (sr_usec_t)(g_rand_double_range(sync->random, 0.75, 1.25) *
			   (double)time);
}

static gboolean manifest_contains(const sr_config_manifest_t *manifest,
				  const sr_hash_t *hash)
{
	for (guint i = 0; manifest && i < manifest->parts->len; i++)
		if (sr_hash_equal(hash, &g_array_index(manifest->parts,
						       sr_hash_t, i)))
			return TRUE;
	return FALSE;
}

static gboolean is_unused(gpointer key, gpointer value, gpointer user)
{
	const sr_config_sync_t *sync = user;

	return !manifest_contains(sync->manifest, key) &&
	       !manifest_contains(sync->previous_manifest, key);
}

/* Rebuilds the manifest and the parts from the applied text. Parts that are in
 * neither the new manifest nor the previous one are dropped. */
static void rebuild_manifest(sr_config_sync_t *sync)
{
	gsize size;
	const void *data;

	sr_config_manifest_free(sync->previous_manifest);
	sync->previous_manifest = sync->manifest;
	sync->manifest = sr_parts_split(sync->text, sync->generation,
					sync->version, sync->parts);
	g_hash_table_foreach_remove(sync->parts, is_unused, sync);
	g_clear_pointer(&sync->manifest_bytes, g_bytes_unref);
	sync->manifest_bytes = sr_config_manifest_encode(sync->manifest);
	data = g_bytes_get_data(sync->manifest_bytes, &size);
	sync->manifest_hash = sr_hash_compute(data, size);
}

void sr_config_sync_apply(sr_config_sync_t *sync, guint64 generation,
			  guint64 version, GBytes *text)
{
	gsize size;
	const char *data = g_bytes_get_data(text, &size);

	g_assert(generation > sync->generation);
	sync->generation = generation;
	sync->version = version;
	sync->seen_version = version;
	g_clear_pointer(&sync->text, g_bytes_unref);
	sync->text = g_bytes_ref(text);
	rebuild_manifest(sync);
	sync->options.apply(sync->options.user, data, size, generation);
	sync->options.announce(sync->options.user, generation,
			       sync->manifest_hash.bytes,
			       sizeof(sync->manifest_hash.bytes));
}

void sr_config_sync_process_object(sr_config_sync_t *sync, GBytes *value,
				   guint64 version,
				   const sr_config_object_t *object)
{
	GBytes *text;

	sync->seen_version = version;
	sync->stats.bytes_from_platform += g_bytes_get_size(value);
	if (object->generation <= sync->generation)
		return;
	sync->stats.generations_from_platform++;
	text = g_bytes_new_from_bytes(
		value, g_bytes_get_size(value) - object->size, object->size);
	sr_config_sync_apply(sync, object->generation, version, text);
	g_bytes_unref(text);
}

static void process_reply(sr_config_sync_t *sync, const sr_store_reply_t *reply)
{
	sr_config_object_t object;

	if (sr_config_object_decode(reply->value, &object))
		sr_config_sync_process_object(sync, reply->value,
					      reply->version, &object);
	else /* skip the object until its version changes */
		sync->seen_version = reply->version;
}

static void on_read(void *user, const sr_store_reply_t *reply)
{
	sr_config_sync_t *sync = user;

	sync->read_pending = FALSE;
	if (reply->status == SR_STORE_OK)
		process_reply(sync, reply);
}

void sr_config_sync_read(sr_config_sync_t *sync)
{
	sr_store_call_t call = { .op = SR_STORE_GET,
				 .class = SR_STORE_CONFIG,
				 .key = SR_CONFIG_KEY,
				 .done = on_read,
				 .user = sync };

	if (sync->read_pending)
		return;
	sync->read_pending = TRUE;
	sr_store_submit(sync->options.store, &call);
}

static void on_watch(void *user, const sr_store_reply_t *reply)
{
	sr_config_sync_t *sync = user;
	sr_usec_t delay = sr_config_sync_jitter(sync, WATCH_RETRY_DELAY);

	sync->watch_pending = FALSE;
	switch (reply->status) {
	case SR_STORE_OK:
		process_reply(sync, reply);
		sync->next_watch = sync->now;
		return;
	case SR_STORE_NOT_MODIFIED:
		sync->next_watch = sync->now;
		return;
	default:
		sync->next_watch = sync->now + MAX(delay, reply->retry_after);
		return;
	}
}

static void watch_tick(sr_config_sync_t *sync)
{
	sr_store_call_t call = { .op = SR_STORE_WATCH,
				 .class = SR_STORE_CONFIG,
				 .key = SR_CONFIG_KEY,
				 .if_version = sync->seen_version,
				 .timeout = WATCH_TIMEOUT,
				 .done = on_watch,
				 .user = sync };

	if (!sync->is_watcher || sync->watch_pending ||
	    sync->now < sync->next_watch)
		return;
	sync->watch_pending = TRUE;
	sr_store_submit(sync->options.store, &call);
}

/* A LIST with the full key as prefix returns the version without the value. */
static void on_poll(void *user, const sr_store_reply_t *reply)
{
	sr_config_sync_t *sync = user;
	const sr_store_entry_t *entry;

	sync->poll_pending = FALSE;
	if (reply->status != SR_STORE_OK || !reply->list->len)
		return;
	entry = g_ptr_array_index(reply->list, 0);
	if (!strcmp(entry->key, SR_CONFIG_KEY) &&
	    entry->version != sync->seen_version)
		sr_config_sync_read(sync);
}

static void poll_tick(sr_config_sync_t *sync)
{
	gboolean is_frequent = sync->is_watcher || !sync->generation;
	sr_store_call_t call = { .op = SR_STORE_LIST,
				 .class = SR_STORE_CONFIG,
				 .key = SR_CONFIG_KEY,
				 .limit = 1,
				 .done = on_poll,
				 .user = sync };

	if (sync->poll_pending || sync->now < sync->next_poll)
		return;
	sync->poll_pending = TRUE;
	sync->stats.polls++;
	sync->next_poll =
		sync->now + sr_config_sync_jitter(
				    sync, is_frequent ? WATCHER_POLL_INTERVAL :
							POLL_INTERVAL);
	sr_store_submit(sync->options.store, &call);
}

sr_config_sync_t *sr_config_sync_new(const sr_config_sync_options_t *options,
				     sr_usec_t now)
{
	sr_config_sync_t *sync = g_new0(sr_config_sync_t, 1);
	guint32 seed[2] = { (guint32)options->seed,
			    (guint32)(options->seed >> 32) };

	sync->options = *options;
	sync->options.node = g_strdup(options->node);
	sync->random = g_rand_new_with_seed_array(seed, 2);
	sync->now = now;
	sync->parts = g_hash_table_new_full(sr_hash_hash, sr_hash_equal, g_free,
					    (GDestroyNotify)g_bytes_unref);
	sync->is_watcher = TRUE;
	sync->next_poll = now + sr_config_sync_jitter(sync, FIRST_POLL_DELAY);
	sr_list_init(&sync->publications);
	return sync;
}

void sr_config_sync_free(sr_config_sync_t *sync)
{
	if (!sync)
		return;
	sr_config_sync_publish_clear(sync);
	sr_config_sync_fetch_clear(sync);
	sr_store_cancel_all(sync->options.store, sync);
	sr_config_manifest_free(sync->manifest);
	sr_config_manifest_free(sync->previous_manifest);
	g_clear_pointer(&sync->manifest_bytes, g_bytes_unref);
	g_clear_pointer(&sync->text, g_bytes_unref);
	g_hash_table_unref(sync->parts);
	g_rand_free(sync->random);
	g_free((char *)sync->options.node);
	g_free(sync);
}

void sr_config_sync_tick(sr_config_sync_t *sync, sr_usec_t now)
{
	g_assert(now >= sync->now);
	sync->now = now;
	watch_tick(sync);
	poll_tick(sync);
	sr_config_sync_fetch_tick(sync);
	sr_config_sync_publish_tick(sync);
}

static guint64 watcher_rank(const char *name)
{
	return XXH64(name, strlen(name), WATCHER_HASH_SEED);
}

void sr_config_sync_set_members(sr_config_sync_t *sync,
				const char *const *names, gsize n)
{
	const char *self = sync->options.node;
	gboolean was_watcher = sync->is_watcher;
	gsize n_before = 0;

	for (gsize i = 0; i < n; i++)
		if (strcmp(names[i], self) != 0 &&
		    watcher_rank(names[i]) < watcher_rank(self))
			n_before++;
	sync->is_watcher = n_before < SR_CONFIG_WATCHERS;
	if (sync->is_watcher && !was_watcher)
		sync->next_poll = sync->now;
}

GBytes *sr_config_sync_serve(sr_config_sync_t *sync, const char *key)
{
	sr_hash_t hash;
	GBytes *found = NULL;

	if (sr_hash_parse_key("part", key, &hash))
		found = g_hash_table_lookup(sync->parts, &hash);
	else if (sync->manifest && sr_hash_parse_key("manifest", key, &hash) &&
		 sr_hash_equal(&hash, &sync->manifest_hash))
		found = sync->manifest_bytes;
	return found ? g_bytes_ref(found) : NULL;
}

guint64 sr_config_sync_generation(const sr_config_sync_t *sync)
{
	return sync->generation;
}

GBytes *sr_config_sync_text(const sr_config_sync_t *sync)
{
	return sync->text;
}

gboolean sr_config_sync_is_watcher(const sr_config_sync_t *sync)
{
	return sync->is_watcher;
}

const sr_config_sync_stats_t *sr_config_sync_stats(const sr_config_sync_t *sync)
{
	return &sync->stats;
}
