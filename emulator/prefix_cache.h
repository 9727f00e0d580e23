#ifndef SR_EMULATOR_PREFIX_CACHE_H
#define SR_EMULATOR_PREFIX_CACHE_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_emu_prefix_cache_t - LRU cache of the prefix blocks of prompts
 *
 * Each insertion and eviction is published as an event, after event_lag. A
 * fraction event_loss of the events is not published, which leaves gaps in the
 * sequence numbers.
 */
typedef struct sr_emu_prefix_cache sr_emu_prefix_cache_t;

/** Size of a block in bytes of the prompt and in tokens. */
#define SR_EMU_BLOCK_BYTES 64
#define SR_EMU_BLOCK_TOKENS 16

typedef struct {
	unsigned capacity;   /* in blocks */
	sr_usec_t event_lag; /* delay of the events */
	double event_loss;   /* fraction of the events, 0 to 1 */
	guint64 seed;	     /* of the random losses */
} sr_emu_prefix_cache_options_t;

typedef struct {
	guint64 sequence; /* number, from 1 */
	guint64 block;	  /* hash of the prompt up to the end of the block */
	gboolean added;	  /* or evicted */
	gboolean lost;	  /* never published */
	sr_usec_t occurred_at;
} sr_emu_cache_event_t;

sr_emu_prefix_cache_t *
sr_emu_prefix_cache_new(const sr_emu_prefix_cache_options_t *options);
void sr_emu_prefix_cache_free(sr_emu_prefix_cache_t *cache);

/**
 * sr_emu_prefix_cache_lookup - look up a prompt and insert its blocks
 *
 * A partial block at the end is ignored. Returns the number of leading blocks
 * that were cached before.
 */
unsigned sr_emu_prefix_cache_lookup(sr_emu_prefix_cache_t *cache, sr_usec_t now,
				    const char *prompt, gsize size);

/**
 * sr_emu_prefix_cache_events - call back for each event published by now whose
 * sequence number is greater than after
 *
 * Returns the highest sequence number whose event_lag has passed, lost events
 * included, or 0.
 */
guint64 sr_emu_prefix_cache_events(
	const sr_emu_prefix_cache_t *cache, sr_usec_t now, guint64 after,
	void (*callback)(void *user, const sr_emu_cache_event_t *event),
	void *user);

#endif
