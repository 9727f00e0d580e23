#ifndef SR_CORE_PREFIX_INDEX_H
#define SR_CORE_PREFIX_INDEX_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_prefix_index_t - which upstreams hold which prefix blocks in their cache
 *
 * It learns from cache events, which come late and with gaps, and from what
 * this entry host sent where. Each lost event may have been the eviction of
 * a block that is still listed here. Once the lost ones add up to a part of
 * what is listed for an upstream, all that its events told is void and is
 * learned anew; what was sent there a short while ago still counts.
 *
 * Memory is bounded by the number of blocks; the least recently used go.
 * Upstreams are named by their id in the table of upstreams.
 */
typedef struct sr_prefix_index sr_prefix_index_t;

/** Upstreams kept for each block. */
#define SR_PREFIX_OWNERS 4

sr_prefix_index_t *sr_prefix_index_new(unsigned max_blocks);
void sr_prefix_index_free(sr_prefix_index_t *index);

void sr_prefix_index_event(sr_prefix_index_t *index, guint32 upstream,
			   guint64 sequence, guint64 block, gboolean added);

/** sr_prefix_index_sent - a prompt of these blocks goes to the upstream. */
void sr_prefix_index_sent(sr_prefix_index_t *index, sr_usec_t now,
			  guint32 upstream, const guint64 *blocks,
			  unsigned n_blocks);

/** sr_prefix_index_forget - the upstream is gone. */
void sr_prefix_index_forget(sr_prefix_index_t *index, guint32 upstream);

/** sr_prefix_index_match - leading blocks that the upstream should hold. */
unsigned sr_prefix_index_match(const sr_prefix_index_t *index, sr_usec_t now,
			       guint32 upstream, const guint64 *blocks,
			       unsigned n_blocks);

/**
 * sr_prefix_index_owners - upstreams that hold the longest known prefix
 *
 * Fills in at most SR_PREFIX_OWNERS ids and returns how many.
 */
unsigned sr_prefix_index_owners(const sr_prefix_index_t *index, sr_usec_t now,
				const guint64 *blocks, unsigned n_blocks,
				guint32 *owners);

unsigned sr_prefix_index_size(const sr_prefix_index_t *index);

#endif
