#include "core/config_sync_internal.h"

#include <string.h>

/* Failed fetches after which the platform object is read as well. */
#define FAILURES_BEFORE_READ 3

/* Delay before a retry: doubled for each failure, up to a limit. */
#define RETRY_BASE_DELAY (100 * SR_MSEC)
#define RETRY_DOUBLINGS_MAX 5

static void start_fetch(sr_config_sync_t *sync);

/* Schedules a retry after a missing or invalid value. */
static void fail_fetch(sr_config_sync_t *sync)
{
	sr_config_fetch_t *fetch = &sync->fetch;

	fetch->failures++;
	sync->stats.failed_fetches++;
	fetch->retry_at =
		sync->now +
		sr_config_sync_jitter(
			sync, RETRY_BASE_DELAY << MIN(fetch->failures,
						      RETRY_DOUBLINGS_MAX));
	if (fetch->failures >= FAILURES_BEFORE_READ)
		sr_config_sync_read(sync);
}

/* Applies the configuration when all parts of its manifest are available. */
static void finish_fetch(sr_config_sync_t *sync)
{
	sr_config_manifest_t *manifest = g_steal_pointer(&sync->fetch.manifest);
	GBytes *text = sr_parts_join(manifest, sync->parts);

	if (!text) {
		fail_fetch(sync);
	} else if (manifest->generation > sync->generation) {
		sync->stats.generations_from_peers++;
		sr_config_sync_apply(sync, manifest->generation,
				     manifest->version, text);
	}
	g_clear_pointer(&text, g_bytes_unref);
	sr_config_manifest_free(manifest);
}

/* Decodes a fetched manifest; FALSE if invalid or of another generation. */
static gboolean store_manifest(sr_config_sync_t *sync, GBytes *value)
{
	sr_config_fetch_t *fetch = &sync->fetch;

	fetch->manifest = sr_config_manifest_decode(value);
	if (fetch->manifest &&
	    fetch->manifest->generation == fetch->target_generation)
		return TRUE;
	g_clear_pointer(&fetch->manifest, sr_config_manifest_free);
	return FALSE;
}

/* Checks a fetched value against its hash and keeps it; FALSE if invalid. */
static gboolean store_value(sr_config_sync_t *sync, GBytes *value)
{
	sr_config_fetch_t *fetch = &sync->fetch;
	gsize size;
	const void *data = g_bytes_get_data(value, &size);
	sr_hash_t hash = sr_hash_compute(data, size);

	sync->stats.bytes_from_peers += size;
	if (!sr_hash_equal(&hash, &fetch->requested)) {
		sync->stats.hash_mismatches++;
		return FALSE;
	}
	if (!fetch->manifest)
		return store_manifest(sync, value);
	g_hash_table_insert(sync->parts, g_memdup2(&hash, sizeof(hash)),
			    g_bytes_ref(value));
	return TRUE;
}

static void on_fetched(void *user, GBytes *value)
{
	sr_config_sync_t *sync = user;
	sr_config_fetch_t *fetch = &sync->fetch;
	sr_hash_t requested = fetch->requested;

	fetch->pending = FALSE;
	if (fetch->target_generation <= sync->generation)
		return;
	/* A newer rumour changed the target while this fetch was pending. */
	if (!fetch->manifest &&
	    !sr_hash_equal(&requested, &fetch->manifest_hash)) {
		start_fetch(sync);
		return;
	}
	if (!value || !store_value(sync, value)) {
		fail_fetch(sync);
		return;
	}
	if (sr_parts_first_missing(fetch->manifest, sync->parts) < 0)
		finish_fetch(sync);
	else
		start_fetch(sync);
}

/* Requests the manifest, or the first missing part once there is a manifest. */
static void start_fetch(sr_config_sync_t *sync)
{
	sr_config_fetch_t *fetch = &sync->fetch;
	char *key;
	int i;

	if (fetch->manifest) {
		i = sr_parts_first_missing(fetch->manifest, sync->parts);
		if (i < 0) {
			finish_fetch(sync);
			return;
		}
		fetch->requested =
			g_array_index(fetch->manifest->parts, sr_hash_t, i);
		key = sr_hash_format_key("part", &fetch->requested);
	} else {
		fetch->requested = fetch->manifest_hash;
		key = sr_hash_format_key("manifest", &fetch->requested);
	}
	fetch->pending = TRUE;
	sync->options.fetch(sync->options.user, key, on_fetched, sync);
	g_free(key);
}

void sr_config_sync_fetch_tick(sr_config_sync_t *sync)
{
	sr_config_fetch_t *fetch = &sync->fetch;

	if (fetch->target_generation > sync->generation && !fetch->pending &&
	    sync->now >= fetch->retry_at)
		start_fetch(sync);
}

void sr_config_sync_fetch_clear(sr_config_sync_t *sync)
{
	if (sync->fetch.pending)
		sync->options.cancel_fetches(sync->options.user, sync);
	g_clear_pointer(&sync->fetch.manifest, sr_config_manifest_free);
}

void sr_config_sync_rumour_received(sr_config_sync_t *sync, guint64 generation,
				    const guint8 *digest, gsize size)
{
	sr_config_fetch_t *fetch = &sync->fetch;

	if (size != SR_CONFIG_DIGEST_SIZE || generation <= sync->generation ||
	    generation <= fetch->target_generation)
		return;
	fetch->target_generation = generation;
	memcpy(fetch->manifest_hash.bytes, digest, size);
	g_clear_pointer(&fetch->manifest, sr_config_manifest_free);
	fetch->failures = 0;
	fetch->retry_at = sync->now;
}
