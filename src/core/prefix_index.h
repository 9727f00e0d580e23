#ifndef SR_CORE_PREFIX_INDEX_H
#define SR_CORE_PREFIX_INDEX_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_prefix_index_t - which upstreams have which prefix blocks in their cache
 *
 * The index is built from cache events, which arrive late and with gaps, and
 * from the prompts that this entry host sent. Each lost event may have been
 * the eviction of a block that is still listed. Once the lost events of an
 * upstream exceed a fraction of its listed blocks, everything from its events
 * so far is invalidated, and the list is built anew. Blocks of prompts that
 * were recently sent to it stay valid.
 *
 * The number of blocks is bounded, and the least recently used are evicted.
 * Upstreams are identified by sr_upstream_t.id or by sr_instance_t.id.
 */
typedef struct sr_prefix_index sr_prefix_index_t;

/** Upstreams recorded per block. */
#define SR_PREFIX_HOLDERS_MAX 4

/** sr_prefix_index_new - free the result with sr_prefix_index_free(). */
sr_prefix_index_t *sr_prefix_index_new(unsigned max_blocks);

/** sr_prefix_index_free - index may be NULL. */
void sr_prefix_index_free(sr_prefix_index_t *index);

/**
 * sr_prefix_index_apply_event - apply an upstream's event: its cache added or
 * evicted a block
 *
 * sequence rises by 1 with each event of an upstream; gaps count as lost
 * events. An event whose sequence is not higher than the last is ignored.
 */
void sr_prefix_index_apply_event(sr_prefix_index_t *index, guint32 upstream,
				 guint64 sequence, guint64 block,
				 gboolean added);

/** sr_prefix_index_add_sent - record a prompt of these blocks that is sent to
 * the upstream. */
void sr_prefix_index_add_sent(sr_prefix_index_t *index, sr_usec_t now,
			      guint32 upstream, const guint64 *blocks,
			      unsigned n_blocks);

/** sr_prefix_index_remove_upstream - discard the events of a removed upstream,
 * whose id must not be reused. */
void sr_prefix_index_remove_upstream(sr_prefix_index_t *index,
				     guint32 upstream);

/** sr_prefix_index_match - number of leading blocks that the upstream is
 * expected to have cached. */
unsigned sr_prefix_index_match(const sr_prefix_index_t *index, sr_usec_t now,
			       guint32 upstream, const guint64 *blocks,
			       unsigned n_blocks);

/**
 * sr_prefix_index_holders - upstreams with the longest known prefix
 *
 * Stores at most SR_PREFIX_HOLDERS_MAX ids in holders and returns their
 * number, 0 if no upstream is known to have any of the blocks.
 */
unsigned sr_prefix_index_holders(const sr_prefix_index_t *index, sr_usec_t now,
				 const guint64 *blocks, unsigned n_blocks,
				 guint32 *holders);

/** sr_prefix_index_size - number of blocks in the index. */
unsigned sr_prefix_index_size(const sr_prefix_index_t *index);

#endif
