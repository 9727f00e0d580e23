#ifndef SR_EMULATOR_PREFIX_CACHE_H
#define SR_EMULATOR_PREFIX_CACHE_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_emu_prefix_cache_t - LRU cache of the prefix blocks of prompts, with the
 * events that it publishes late and with gaps
 */
typedef struct sr_emu_prefix_cache sr_emu_prefix_cache_t;

/** Bytes of a prompt in one block, and the tokens that they stand for. */
#define SR_EMU_BLOCK_BYTES 64
#define SR_EMU_BLOCK_TOKENS 16

typedef struct {
	unsigned capacity; /* in blocks */
	sr_usec_t lag;	   /* of the events */
	double loss;	   /* ratio of the events that are never seen */
	guint64 seed;	   /* of the losses */
} sr_emu_prefix_cache_options_t;

typedef struct {
	guint64 sequence;
	guint64 block;
	gboolean added;
	gboolean lost;
	sr_usec_t at;
} sr_emu_cache_event_t;

sr_emu_prefix_cache_t *
sr_emu_prefix_cache_new(const sr_emu_prefix_cache_options_t *options);
void sr_emu_prefix_cache_free(sr_emu_prefix_cache_t *cache);

/**
 * sr_emu_prefix_cache_use - look a prompt up and keep all of its blocks
 *
 * Returns how many blocks were there, counted from the first.
 */
unsigned sr_emu_prefix_cache_use(sr_emu_prefix_cache_t *cache, sr_usec_t now,
				 const char *prompt, gsize size);

/**
 * sr_emu_prefix_cache_events - call fn for each event after a sequence number
 * that has come through by now
 *
 * Returns the last sequence number that is published.
 */
guint64 sr_emu_prefix_cache_events(
	const sr_emu_prefix_cache_t *cache, sr_usec_t now, guint64 after,
	void (*fn)(void *user, const sr_emu_cache_event_t *event), void *user);

#endif
