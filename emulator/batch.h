#ifndef SR_EMULATOR_BATCH_H
#define SR_EMULATOR_BATCH_H

#include <glib.h>

#include "base/clock.h"
#include "prefix_cache.h"

/**
 * sr_emu_batch_t - continuous batching of an emulated model engine
 *
 * Up to `slots` sequences run concurrently. Each step generates one token of
 * every running sequence and lasts token_time + (running - 1) * batch_time. A
 * sequence that is admitted adds the time to prefill its uncached tokens.
 * Waiting sequences are admitted by priority, lowest value first, then by
 * arrival.
 */
typedef struct sr_emu_batch sr_emu_batch_t;
typedef struct sr_emu_sequence sr_emu_sequence_t;

typedef struct {
	unsigned slots;		/* sequences that run concurrently; not 0 */
	unsigned max_waiting;	/* sequences */
	sr_usec_t token_time;	/* duration of a step with one sequence */
	sr_usec_t batch_time;	/* added by each further sequence */
	sr_usec_t prefill_time; /* prefill of one token */
	sr_usec_t load_lag;	/* age of the reported load */
	sr_clock_t *clock;
	sr_emu_prefix_cache_t *cache; /* borrowed */
} sr_emu_batch_options_t;

/** sr_emu_usage_t - tokens of a sequence. */
typedef struct {
	unsigned tokens;	/* of the answer, also those before a resume */
	unsigned cached_tokens; /* found in the cache or imported */
	unsigned computed_tokens; /* prefilled */
} sr_emu_usage_t;

typedef struct {
	const char *id;	   /* copied; "" for none */
	unsigned priority; /* 0 is admitted first */
	GBytes *prompt;	   /* referenced */
	unsigned max_tokens;
	unsigned resume_offset;	  /* of the first token to generate */
	unsigned imported_tokens; /* whose KV cache is imported */
	void (*token_generated)(void *user, unsigned offset);
	/* the sequence is freed; usage is NULL if it was cancelled */
	void (*ended)(void *user, const sr_emu_usage_t *usage);
	void *user;
} sr_emu_sequence_options_t;

/** sr_emu_batch_load_t - load report of an engine. */
typedef struct {
	unsigned running; /* sequences */
	unsigned waiting;
	double tokens_per_s; /* of one sequence */
	sr_usec_t age;	     /* of the values above */
} sr_emu_batch_load_t;

sr_emu_batch_t *sr_emu_batch_new(const sr_emu_batch_options_t *options);

/** sr_emu_batch_free - drop all sequences without calling `ended`. */
void sr_emu_batch_free(sr_emu_batch_t *batch);

/**
 * sr_emu_batch_add - add a sequence to those that wait
 *
 * It is admitted at the start of a step, at once if none is in progress and a
 * slot is free. Returns NULL if all slots are in use and max_waiting sequences
 * wait. The sequence is owned by the batch, until `ended` or
 * sr_emu_batch_remove().
 */
sr_emu_sequence_t *sr_emu_batch_add(sr_emu_batch_t *batch,
				    const sr_emu_sequence_options_t *options);

/** sr_emu_batch_remove - drop a sequence without calling `ended`. */
void sr_emu_batch_remove(sr_emu_batch_t *batch, sr_emu_sequence_t *sequence);

/**
 * sr_emu_batch_cancel - cancel the sequence with an id; `ended` is called
 *
 * Returns FALSE if no sequence has this id.
 */
gboolean sr_emu_batch_cancel(sr_emu_batch_t *batch, const char *id);

/**
 * sr_emu_batch_kv_tokens - number of tokens in the KV cache of a sequence
 *
 * Returns 0 if no running sequence has this id; otherwise *user is the user
 * pointer of the sequence.
 */
unsigned sr_emu_batch_kv_tokens(const sr_emu_batch_t *batch, const char *id,
				void **user);

/** sr_emu_batch_size - number of running and waiting sequences. */
unsigned sr_emu_batch_size(const sr_emu_batch_t *batch);

/** sr_emu_batch_load - the load as of load_lag ago. */
sr_emu_batch_load_t sr_emu_batch_load(sr_emu_batch_t *batch);

#endif
