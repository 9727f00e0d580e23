#include "prefix_cache.h"

#include <xxhash.h>

#include "base/list.h"

/* Events kept for readers; older ones are dropped. */
#define MAX_EVENTS 4096

typedef struct {
	sr_list_t link; /* in lru */
	guint64 hash;
} block_t;

struct sr_emu_prefix_cache {
	GHashTable *blocks; /* hash to block_t */
	sr_list_t lru;	    /* block_t, least recently used first */
	unsigned capacity;
	sr_usec_t event_lag;
	double event_loss;
	GRand *random;
	guint64 last_sequence;
	GQueue events; /* sr_emu_cache_event_t, oldest first */
};

sr_emu_prefix_cache_t *
sr_emu_prefix_cache_new(const sr_emu_prefix_cache_options_t *options)
{
	sr_emu_prefix_cache_t *cache = g_new0(sr_emu_prefix_cache_t, 1);

	cache->blocks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	sr_list_init(&cache->lru);
	cache->capacity = options->capacity;
	cache->event_lag = options->event_lag;
	cache->event_loss = options->event_loss;
	cache->random = g_rand_new_with_seed((guint32)options->seed);
	g_queue_init(&cache->events);
	return cache;
}

void sr_emu_prefix_cache_free(sr_emu_prefix_cache_t *cache)
{
	if (!cache)
		return;
	g_hash_table_unref(cache->blocks);
	g_queue_clear_full(&cache->events, g_free);
	g_rand_free(cache->random);
	g_free(cache);
}

static void record_event(sr_emu_prefix_cache_t *cache, sr_usec_t now,
			 guint64 hash, gboolean added)
{
	sr_emu_cache_event_t *event = g_new0(sr_emu_cache_event_t, 1);

	event->sequence = ++cache->last_sequence;
	event->block = hash;
	event->added = added;
	event->lost = g_rand_double(cache->random) < cache->event_loss;
	event->occurred_at = now;
	g_queue_push_tail(&cache->events, event);
	if (g_queue_get_length(&cache->events) > MAX_EVENTS)
		g_free(g_queue_pop_head(&cache->events));
}

static void evict_lru(sr_emu_prefix_cache_t *cache, sr_usec_t now)
{
	block_t *block = sr_list_entry(cache->lru.next, block_t, link);

	sr_list_remove(&block->link);
	record_event(cache, now, block->hash, FALSE);
	g_hash_table_remove(cache->blocks, &block->hash);
}

/*
 * Returns TRUE if the block was cached. Otherwise inserts it, unless the
 * capacity is 0.
 */
static gboolean use_block(sr_emu_prefix_cache_t *cache, sr_usec_t now,
			  guint64 hash)
{
	block_t *block = g_hash_table_lookup(cache->blocks, &hash);

	if (block) {
		sr_list_remove(&block->link);
		sr_list_append(&cache->lru, &block->link);
		return TRUE;
	}
	if (cache->capacity == 0)
		return FALSE;
	if (g_hash_table_size(cache->blocks) >= cache->capacity)
		evict_lru(cache, now);
	block = g_new0(block_t, 1);
	block->hash = hash;
	sr_list_append(&cache->lru, &block->link);
	g_hash_table_insert(cache->blocks, &block->hash, block);
	record_event(cache, now, hash, TRUE);
	return FALSE;
}

unsigned sr_emu_prefix_cache_lookup(sr_emu_prefix_cache_t *cache, sr_usec_t now,
				    const char *prompt, gsize size)
{
	gboolean is_prefix = TRUE;
	unsigned hits = 0;

	for (gsize end = SR_EMU_BLOCK_BYTES; end <= size;
	     end += SR_EMU_BLOCK_BYTES) {
		is_prefix &= use_block(cache, now, XXH64(prompt, end, 0));
		hits += is_prefix ? 1 : 0;
	}
	return hits;
}

guint64 sr_emu_prefix_cache_events(
	const sr_emu_prefix_cache_t *cache, sr_usec_t now, guint64 after,
	void (*callback)(void *user, const sr_emu_cache_event_t *event),
	void *user)
{
	guint64 last = 0;

	for (const GList *node = cache->events.head; node; node = node->next) {
		const sr_emu_cache_event_t *event = node->data;

		if (event->occurred_at + cache->event_lag > now)
			break;
		last = event->sequence;
		if (event->sequence > after && !event->lost)
			callback(user, event);
	}
	return last;
}
