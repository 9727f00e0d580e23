#include "core/config_sync_internal.h"

#include <string.h>

/* After this many failed fetches the platform is asked, too. */
#define FAILURES_MAX 3
#define RETRY_MIN (100 * SR_MSEC)
#define RETRY_DOUBLINGS 5

static void start_fetch(sr_config_sync_t *sync);

static void fail_fetch(sr_config_sync_t *sync)
{
	sr_fetch_state_t *fetch = &sync->fetch;

	fetch->failures++;
	sync->stats.failed_fetches++;
	fetch->retry_at =
		sync->now +
		sr_config_sync_jitter(sync, RETRY_MIN << MIN(fetch->failures,
							     RETRY_DOUBLINGS));
	if (fetch->failures >= FAILURES_MAX)
		sr_config_sync_read(sync);
}

static void finish_fetch(sr_config_sync_t *sync)
{
	sr_part_list_t *manifest = g_steal_pointer(&sync->fetch.manifest);
	GBytes *text = sr_parts_join(manifest, sync->parts);

	if (!text) {
		fail_fetch(sync);
	} else if (manifest->generation > sync->generation) {
		sync->stats.from_peers++;
		sr_config_sync_adopt(sync, manifest->generation,
				     manifest->version, text);
	}
	g_clear_pointer(&text, g_bytes_unref);
	sr_part_list_free(manifest);
}

static gboolean take_manifest(sr_config_sync_t *sync, GBytes *value)
{
	sr_fetch_state_t *fetch = &sync->fetch;

	fetch->manifest = sr_part_list_decode(value);
	if (fetch->manifest && fetch->manifest->generation == fetch->wanted)
		return TRUE;
	g_clear_pointer(&fetch->manifest, sr_part_list_free);
	return FALSE;
}

static gboolean take_value(sr_config_sync_t *sync, GBytes *value)
{
	sr_fetch_state_t *fetch = &sync->fetch;
	gsize size;
	const void *data = g_bytes_get_data(value, &size);
	sr_hash_t hash = sr_hash_of(data, size);

	sync->stats.bytes_from_peers += size;
	if (!sr_hash_equal(&hash, &fetch->asked)) {
		sync->stats.bad_parts++;
		return FALSE;
	}
	if (!fetch->manifest)
		return take_manifest(sync, value);
	g_hash_table_insert(sync->parts, g_memdup2(&hash, sizeof(hash)),
			    g_bytes_ref(value));
	return TRUE;
}

static void on_fetched(void *user, GBytes *value)
{
	sr_config_sync_t *sync = user;
	sr_fetch_state_t *fetch = &sync->fetch;
	sr_hash_t asked = fetch->asked;

	fetch->active = FALSE;
	if (fetch->wanted <= sync->generation)
		return;
	/* A newer rumour came in while the older manifest was on its way. */
	if (!fetch->manifest && !sr_hash_equal(&asked, &fetch->digest)) {
		start_fetch(sync);
		return;
	}
	if (!value || !take_value(sync, value)) {
		fail_fetch(sync);
		return;
	}
	if (sr_parts_missing(fetch->manifest, sync->parts) < 0)
		finish_fetch(sync);
	else
		start_fetch(sync);
}

static void start_fetch(sr_config_sync_t *sync)
{
	sr_fetch_state_t *fetch = &sync->fetch;
	char *key;
	int i;

	if (fetch->manifest) {
		i = sr_parts_missing(fetch->manifest, sync->parts);
		if (i < 0) {
			finish_fetch(sync);
			return;
		}
		fetch->asked =
			g_array_index(fetch->manifest->parts, sr_hash_t, i);
		key = sr_hash_key("part", &fetch->asked);
	} else {
		fetch->asked = fetch->digest;
		key = sr_hash_key("manifest", &fetch->asked);
	}
	fetch->active = TRUE;
	sync->options.fetch(sync->options.user, key, on_fetched, sync);
	g_free(key);
}

void sr_fetch_tick(sr_config_sync_t *sync)
{
	sr_fetch_state_t *fetch = &sync->fetch;

	if (fetch->wanted > sync->generation && !fetch->active &&
	    sync->now >= fetch->retry_at)
		start_fetch(sync);
}

void sr_fetch_clear(sr_config_sync_t *sync)
{
	if (sync->fetch.active)
		sync->options.cancel_fetches(sync->options.user, sync);
	g_clear_pointer(&sync->fetch.manifest, sr_part_list_free);
}

void sr_config_sync_heard(sr_config_sync_t *sync, guint64 generation,
			  const guint8 *digest, gsize size)
{
	sr_fetch_state_t *fetch = &sync->fetch;

	if (size != SR_CONFIG_DIGEST_SIZE || generation <= sync->generation ||
	    generation <= fetch->wanted)
		return;
	fetch->wanted = generation;
	memcpy(fetch->digest.bytes, digest, size);
	g_clear_pointer(&fetch->manifest, sr_part_list_free);
	fetch->failures = 0;
	fetch->retry_at = sync->now;
}
