#ifndef SR_EMULATOR_BATCH_H
#define SR_EMULATOR_BATCH_H

#include <glib.h>

#include "base/clock.h"
#include "prefix_cache.h"

/**
 * sr_emu_batch_t - continuous batching of a model engine
 *
 * Up to `slots` sequences run side by side. Each step gives every running
 * sequence one token and takes longer the more of them run; a sequence that
 * joins adds the time to prefill its tokens that are not cached. Waiting
 * sequences join by priority, then by arrival.
 */
typedef struct sr_emu_batch sr_emu_batch_t;
typedef struct sr_emu_sequence sr_emu_sequence_t;

typedef struct {
	unsigned slots;
	unsigned queue;		/* sequences that may wait */
	sr_usec_t token_time;	/* of a step with one sequence */
	sr_usec_t batch_time;	/* added by each further sequence */
	sr_usec_t prefill_time; /* of one token */
	sr_usec_t load_lag;
	sr_clock_t *clock;
	sr_emu_prefix_cache_t *cache; /* borrowed */
} sr_emu_batch_options_t;

/** What a sequence has cost. */
typedef struct {
	unsigned tokens; /* of the whole answer, resumed ones included */
	unsigned cached;
	unsigned computed;
} sr_emu_usage_t;

typedef struct {
	const char *id; /* copied; "" for none */
	unsigned priority;
	GBytes *prompt;
	unsigned max_tokens;
	unsigned resume_offset;
	unsigned imported; /* tokens whose KV cache comes with the request */
	void (*token)(void *user, unsigned offset);
	/* the last call; usage is NULL if the sequence was cancelled */
	void (*ended)(void *user, const sr_emu_usage_t *usage);
	void *user;
} sr_emu_sequence_options_t;

typedef struct {
	unsigned running;
	unsigned waiting;
	double tokens_per_s; /* of one stream */
	sr_usec_t age;
} sr_emu_load_t;

sr_emu_batch_t *sr_emu_batch_new(const sr_emu_batch_options_t *options);

/** sr_emu_batch_free - drops all sequences without a call. */
void sr_emu_batch_free(sr_emu_batch_t *batch);

/** sr_emu_batch_add - returns NULL if too many wait already. */
sr_emu_sequence_t *sr_emu_batch_add(sr_emu_batch_t *batch,
				    const sr_emu_sequence_options_t *options);

/** sr_emu_batch_remove - drop a sequence without a call. */
void sr_emu_batch_remove(sr_emu_batch_t *batch, sr_emu_sequence_t *sequence);

/** sr_emu_batch_cancel - returns FALSE if there is no such sequence. */
gboolean sr_emu_batch_cancel(sr_emu_batch_t *batch, const char *id);

/** sr_emu_batch_kv - tokens in the KV cache of a sequence; 0 if unknown. */
unsigned sr_emu_batch_kv(const sr_emu_batch_t *batch, const char *id,
			 void **user);

/** sr_emu_batch_size - sequences that run or wait now. */
unsigned sr_emu_batch_size(const sr_emu_batch_t *batch);

/** sr_emu_batch_load - the load as it was one lag ago. */
sr_emu_load_t sr_emu_batch_load(sr_emu_batch_t *batch);

#endif
