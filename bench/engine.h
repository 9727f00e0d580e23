#ifndef SR_BENCH_ENGINE_H
#define SR_BENCH_ENGINE_H

#include "base/list.h"
#include "core/config.h"
#include "event_queue.h"

/**
 * engine_t - a queueing model of one upstream
 *
 * It runs in iterations. One iteration gives each running request its next
 * token, or computes up to a chunk of prompts not found in the prefix cache.
 * Its time grows with the batch and with the prompt tokens it computes.
 * Waiting requests start by priority, then in order of arrival.
 */
typedef struct engine engine_t;

/** engine_job_t - one attempt at an engine; embedded by the caller. */
typedef struct {
	sr_list_t link;
	sr_priority_t priority;
	const guint64 *blocks;
	unsigned n_blocks;
	unsigned prompt_tokens;
	unsigned max_tokens;
	unsigned cached_tokens; /* set when it starts */
	unsigned prefill_left;
	unsigned n_tokens; /* generated so far */
	gboolean running;
} engine_job_t;

typedef struct {
	event_queue_t *events;
	unsigned slots;
	unsigned batch_max;
	unsigned cache_blocks;
	unsigned tokens_per_block;
	sr_usec_t iteration;	 /* with an empty batch */
	sr_usec_t per_running;	 /* more for each request up to slots */
	sr_usec_t per_excess;	 /* more for each request beyond them */
	double usec_per_prefill; /* for one prompt token */
	unsigned prefill_chunk;	 /* prompt tokens of one iteration */
	void (*token)(void *user, engine_job_t *job);
	void (*done)(void *user, engine_job_t *job);
	void (*computed)(void *user, engine_job_t *job); /* prefill begins */
	void (*cache_event)(void *user, engine_t *engine, guint64 sequence,
			    guint64 block, gboolean added);
	void *user;
} engine_options_t;

engine_t *engine_new(const engine_options_t *options);
void engine_free(engine_t *engine);
void engine_submit(engine_t *engine, engine_job_t *job);

/** engine_cancel - take a job out, running or waiting. */
void engine_cancel(engine_t *engine, engine_job_t *job);

/** engine_set_slowdown - every iteration takes this many times as long. */
void engine_set_slowdown(engine_t *engine, double factor);

unsigned engine_running(const engine_t *engine);
unsigned engine_waiting(const engine_t *engine);

/** engine_token_gap - time of the latest iteration. */
sr_usec_t engine_token_gap(const engine_t *engine);

#endif
