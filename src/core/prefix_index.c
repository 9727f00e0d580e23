#include "core/prefix_index.h"

#include "base/list.h"

/** How long a prompt that we sent is taken to stay in the cache unheard. */
#define SENT_LIFE (30 * SR_SEC)

/** An upstream's events are void once this part of them may be wrong. */
#define LOST_PART_MAX 0.25

/* One upstream's claim on a block. */
typedef struct {
	guint32 upstream;  /* 0 for a free place */
	guint32 epoch;	   /* of the upstream's events; 0 if none told it */
	sr_usec_t sent_at; /* when we last sent it there; 0 for never */
} claim_t;

typedef struct {
	sr_list_t link; /* in order of use, the oldest first */
	guint64 block;
	claim_t claims[SR_PREFIX_OWNERS];
} entry_t;

/* How far an upstream's events are known. */
typedef struct {
	guint64 sequence;
	guint64 n_lost;	  /* events of this epoch */
	guint64 n_listed; /* blocks that were told in it and not evicted */
	guint32 epoch;	  /* rises when the events are distrusted; never 0 */
} feed_t;

struct sr_prefix_index {
	GHashTable *entries; /* &entry_t.block -> entry_t */
	GHashTable *feeds;   /* id -> feed_t */
	sr_list_t used;
	unsigned max_blocks;
};

sr_prefix_index_t *sr_prefix_index_new(unsigned max_blocks)
{
	sr_prefix_index_t *index = g_new0(sr_prefix_index_t, 1);

	index->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	index->feeds = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	sr_list_init(&index->used);
	index->max_blocks = MAX(max_blocks, 1);
	return index;
}

void sr_prefix_index_free(sr_prefix_index_t *index)
{
	if (!index)
		return;
	g_hash_table_unref(index->entries);
	g_hash_table_unref(index->feeds);
	g_free(index);
}

static entry_t *find_entry(const sr_prefix_index_t *index, guint64 block)
{
	return g_hash_table_lookup(index->entries, &block);
}

static void drop_entry(sr_prefix_index_t *index, entry_t *entry)
{
	sr_list_remove(&entry->link);
	g_hash_table_remove(index->entries, &entry->block);
}

static entry_t *touch_entry(sr_prefix_index_t *index, guint64 block)
{
	entry_t *entry = find_entry(index, block);

	if (entry) {
		sr_list_remove(&entry->link);
	} else {
		if (sr_prefix_index_size(index) >= index->max_blocks)
			drop_entry(index, sr_list_entry(index->used.next,
							entry_t, link));
		entry = g_new0(entry_t, 1);
		entry->block = block;
		g_hash_table_insert(index->entries, &entry->block, entry);
	}
	sr_list_append(&index->used, &entry->link);
	g_assert(sr_prefix_index_size(index) <= index->max_blocks);
	return entry;
}

static feed_t *feed_of(sr_prefix_index_t *index, guint32 upstream)
{
	feed_t *feed =
		g_hash_table_lookup(index->feeds, GUINT_TO_POINTER(upstream));

	if (!feed) {
		feed = g_new0(feed_t, 1);
		feed->epoch = 1;
		g_hash_table_insert(index->feeds, GUINT_TO_POINTER(upstream),
				    feed);
	}
	return feed;
}

static gboolean is_valid(const sr_prefix_index_t *index, sr_usec_t now,
			 const claim_t *claim)
{
	const feed_t *feed;

	if (claim->upstream == 0)
		return FALSE;
	if (claim->sent_at > 0 && now - claim->sent_at < SENT_LIFE)
		return TRUE;
	feed = g_hash_table_lookup(index->feeds,
				   GUINT_TO_POINTER(claim->upstream));
	return feed && feed->epoch == claim->epoch;
}

static claim_t *find_claim(entry_t *entry, guint32 upstream)
{
	for (int i = 0; i < SR_PREFIX_OWNERS; i++) {
		if (entry->claims[i].upstream == upstream)
			return &entry->claims[i];
	}
	return NULL;
}

/* The upstream's own place, a free one, or that of the weakest claim. */
static claim_t *place_claim(entry_t *entry, guint32 upstream)
{
	claim_t *claim = find_claim(entry, upstream);

	if (!claim)
		claim = find_claim(entry, 0);
	if (!claim) {
		claim = &entry->claims[0];
		for (int i = 1; i < SR_PREFIX_OWNERS; i++) {
			if (entry->claims[i].sent_at < claim->sent_at)
				claim = &entry->claims[i];
		}
	}
	if (claim->upstream != upstream)
		*claim = (claim_t){ .upstream = upstream };
	return claim;
}

static void count_lost(feed_t *feed, guint64 n)
{
	feed->n_lost += n;
	if ((double)feed->n_lost <= LOST_PART_MAX * (double)feed->n_listed)
		return;
	feed->epoch++;
	feed->n_lost = 0;
	feed->n_listed = 0;
}

static void remove_claim(sr_prefix_index_t *index, guint32 upstream,
			 guint64 block)
{
	entry_t *entry = find_entry(index, block);
	claim_t *claim = entry ? find_claim(entry, upstream) : NULL;

	if (!claim)
		return;
	*claim = (claim_t){ 0 };
	for (int i = 0; i < SR_PREFIX_OWNERS; i++) {
		if (entry->claims[i].upstream != 0)
			return;
	}
	drop_entry(index, entry);
}

void sr_prefix_index_event(sr_prefix_index_t *index, guint32 upstream,
			   guint64 sequence, guint64 block, gboolean added)
{
	feed_t *feed = feed_of(index, upstream);

	if (sequence <= feed->sequence)
		return;
	if (sequence != feed->sequence + 1)
		count_lost(feed, sequence - feed->sequence - 1);
	feed->sequence = sequence;
	if (added) {
		place_claim(touch_entry(index, block), upstream)->epoch =
			feed->epoch;
		feed->n_listed++;
	} else {
		remove_claim(index, upstream, block);
		feed->n_listed -= MIN(feed->n_listed, 1);
	}
}

void sr_prefix_index_sent(sr_prefix_index_t *index, sr_usec_t now,
			  guint32 upstream, const guint64 *blocks,
			  unsigned n_blocks)
{
	for (unsigned i = 0; i < n_blocks; i++)
		place_claim(touch_entry(index, blocks[i]), upstream)->sent_at =
			MAX(now, 1);
}

void sr_prefix_index_forget(sr_prefix_index_t *index, guint32 upstream)
{
	/* Ids are not used again, so that its claims are void for good. */
	g_hash_table_remove(index->feeds, GUINT_TO_POINTER(upstream));
}

unsigned sr_prefix_index_match(const sr_prefix_index_t *index, sr_usec_t now,
			       guint32 upstream, const guint64 *blocks,
			       unsigned n_blocks)
{
	unsigned n = 0;

	while (n < n_blocks) {
		entry_t *entry = find_entry(index, blocks[n]);
		const claim_t *claim =
			entry ? find_claim(entry, upstream) : NULL;

		if (!claim || !is_valid(index, now, claim))
			break;
		n++;
	}
	return n;
}

unsigned sr_prefix_index_owners(const sr_prefix_index_t *index, sr_usec_t now,
				const guint64 *blocks, unsigned n_blocks,
				guint32 *owners)
{
	for (unsigned i = n_blocks; i > 0; i--) {
		const entry_t *entry = find_entry(index, blocks[i - 1]);
		unsigned n = 0;

		for (int j = 0; entry && j < SR_PREFIX_OWNERS; j++) {
			if (is_valid(index, now, &entry->claims[j]))
				owners[n++] = entry->claims[j].upstream;
		}
		if (n > 0)
			return n;
	}
	return 0;
}

unsigned sr_prefix_index_size(const sr_prefix_index_t *index)
{
	return g_hash_table_size(index->entries);
}
