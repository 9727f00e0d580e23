#include "core/prefix_index.h"

#include "base/list.h"

/** Blocks of a sent prompt count as cached for this time without an event. */
#define SENT_EXPIRY (30 * SR_SEC)

/** Maximum ratio of an upstream's lost events to its listed blocks, each of
 * which may be wrongly listed because its eviction was lost. */
#define MAX_LOST_RATIO 0.25

/* An upstream that may have a block in its cache. */
typedef struct {
	guint32 upstream;  /* 0 for an unused element */
	guint32 epoch;	   /* of the event that added the block; 0 for none */
	sr_usec_t sent_at; /* when this host last sent it; 0 for never */
} holder_t;

typedef struct {
	sr_list_t link; /* in by_last_use */
	guint64 block;
	holder_t holders[SR_PREFIX_HOLDERS_MAX];
} entry_t;

/* State of an upstream's stream of cache events. */
typedef struct {
	guint64 sequence; /* of the last event */
	guint64 n_lost;	  /* events lost in this epoch */
	guint64 n_listed; /* blocks added in this epoch and not evicted */
	guint32 epoch;	  /* from 1; a new one invalidates earlier events */
} feed_t;

struct sr_prefix_index {
	GHashTable *entries;   /* &entry_t.block -> entry_t */
	GHashTable *feeds;     /* id -> feed_t */
	sr_list_t by_last_use; /* of entry_t, least recently used first */
	unsigned max_blocks;
};

sr_prefix_index_t *sr_prefix_index_new(unsigned max_blocks)
{
	sr_prefix_index_t *index = g_new0(sr_prefix_index_t, 1);

	index->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	index->feeds = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	sr_list_init(&index->by_last_use);
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

static void remove_entry(sr_prefix_index_t *index, entry_t *entry)
{
	sr_list_remove(&entry->link);
	g_hash_table_remove(index->entries, &entry->block);
}

/* Finds or adds a block and makes it the most recently used one. */
static entry_t *touch_entry(sr_prefix_index_t *index, guint64 block)
{
	entry_t *entry = find_entry(index, block);

	if (entry) {
		sr_list_remove(&entry->link);
	} else {
		if (sr_prefix_index_size(index) >= index->max_blocks)
			remove_entry(index,
				     sr_list_entry(index->by_last_use.next,
						   entry_t, link));
		entry = g_new0(entry_t, 1);
		entry->block = block;
		g_hash_table_insert(index->entries, &entry->block, entry);
	}
	sr_list_append(&index->by_last_use, &entry->link);
	g_assert(sr_prefix_index_size(index) <= index->max_blocks);
	return entry;
}

static feed_t *get_feed(sr_prefix_index_t *index, guint32 upstream)
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

static gboolean is_holder_valid(const sr_prefix_index_t *index, sr_usec_t now,
				const holder_t *holder)
{
	const feed_t *feed;

	if (holder->upstream == 0)
		return FALSE;
	if (holder->sent_at > 0 && now - holder->sent_at < SENT_EXPIRY)
		return TRUE;
	feed = g_hash_table_lookup(index->feeds,
				   GUINT_TO_POINTER(holder->upstream));
	return feed && feed->epoch == holder->epoch;
}

static holder_t *find_holder(entry_t *entry, guint32 upstream)
{
	for (int i = 0; i < SR_PREFIX_HOLDERS_MAX; i++) {
		if (entry->holders[i].upstream == upstream)
			return &entry->holders[i];
	}
	return NULL;
}

/* Returns the upstream's element of the entry. If it has none, an unused one is
 * taken, or else the one that was sent the block least recently. */
static holder_t *assign_holder(entry_t *entry, guint32 upstream)
{
	holder_t *holder = find_holder(entry, upstream);

	if (!holder)
		holder = find_holder(entry, 0);
	if (!holder) {
		holder = &entry->holders[0];
		for (int i = 1; i < SR_PREFIX_HOLDERS_MAX; i++) {
			if (entry->holders[i].sent_at < holder->sent_at)
				holder = &entry->holders[i];
		}
	}
	if (holder->upstream != upstream)
		*holder = (holder_t){ .upstream = upstream };
	return holder;
}

/* Starts a new epoch if too many events were lost in this one. */
static void count_lost(feed_t *feed, guint64 n)
{
	feed->n_lost += n;
	if ((double)feed->n_lost <= MAX_LOST_RATIO * (double)feed->n_listed)
		return;
	feed->epoch++;
	feed->n_lost = 0;
	feed->n_listed = 0;
}

static void remove_holder(sr_prefix_index_t *index, guint32 upstream,
			  guint64 block)
{
	entry_t *entry = find_entry(index, block);
	holder_t *holder = entry ? find_holder(entry, upstream) : NULL;

	if (!holder)
		return;
	*holder = (holder_t){ 0 };
	for (int i = 0; i < SR_PREFIX_HOLDERS_MAX; i++) {
		if (entry->holders[i].upstream != 0)
			return;
	}
	remove_entry(index, entry);
}

void sr_prefix_index_apply_event(sr_prefix_index_t *index, guint32 upstream,
				 guint64 sequence, guint64 block,
				 gboolean added)
{
	feed_t *feed = get_feed(index, upstream);

	if (sequence <= feed->sequence)
		return;
	if (sequence != feed->sequence + 1)
		count_lost(feed, sequence - feed->sequence - 1);
	feed->sequence = sequence;
	if (added) {
		assign_holder(touch_entry(index, block), upstream)->epoch =
			feed->epoch;
		feed->n_listed++;
	} else {
		remove_holder(index, upstream, block);
		feed->n_listed -= MIN(feed->n_listed, 1);
	}
}

void sr_prefix_index_add_sent(sr_prefix_index_t *index, sr_usec_t now,
			      guint32 upstream, const guint64 *blocks,
			      unsigned n_blocks)
{
	for (unsigned i = 0; i < n_blocks; i++)
		assign_holder(touch_entry(index, blocks[i]), upstream)
			->sent_at = MAX(now, 1);
}

void sr_prefix_index_remove_upstream(sr_prefix_index_t *index, guint32 upstream)
{
	/* Without a feed, the blocks from its events are invalid. They stay so,
	 * because ids are never reused. */
	g_hash_table_remove(index->feeds, GUINT_TO_POINTER(upstream));
}

unsigned sr_prefix_index_match(const sr_prefix_index_t *index, sr_usec_t now,
			       guint32 upstream, const guint64 *blocks,
			       unsigned n_blocks)
{
	unsigned n = 0;

	while (n < n_blocks) {
		entry_t *entry = find_entry(index, blocks[n]);
		const holder_t *holder =
			entry ? find_holder(entry, upstream) : NULL;

		if (!holder || !is_holder_valid(index, now, holder))
			break;
		n++;
	}
	return n;
}

unsigned sr_prefix_index_holders(const sr_prefix_index_t *index, sr_usec_t now,
				 const guint64 *blocks, unsigned n_blocks,
				 guint32 *holders)
{
	for (unsigned i = n_blocks; i > 0; i--) {
		const entry_t *entry = find_entry(index, blocks[i - 1]);
		unsigned n = 0;

		for (int j = 0; entry && j < SR_PREFIX_HOLDERS_MAX; j++) {
			if (is_holder_valid(index, now, &entry->holders[j]))
				holders[n++] = entry->holders[j].upstream;
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
