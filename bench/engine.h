#ifndef SR_BENCH_ENGINE_H
#define SR_BENCH_ENGINE_H

#include "base/list.h"
#include "core/config.h"
#include "event_queue.h"

/**
 * engine_t - queueing model of one upstream with continuous batching
 *
 * An iteration computes up to prefill_chunk of the prompt tokens that were not
 * in the prefix cache, and generates one token for each job whose prompt is
 * complete. Its duration grows with the batch and with the computed prompt
 * tokens. Waiting jobs start by priority, then in order of arrival.
 */
typedef struct engine engine_t;

/**
 * engine_job_t - one attempt at an engine; embedded and owned by the caller
 *
 * Must stay valid, with its blocks, until done() or engine_cancel().
 */
typedef struct {
	sr_list_t link;
	sr_priority_t priority;
	const guint64 *blocks; /* hashes of the prompt's blocks; borrowed */
	unsigned n_blocks;
	unsigned prompt_tokens;
	unsigned max_tokens;
	unsigned cached_tokens; /* of the prompt, set at the start of the job */
	unsigned prefill_left;	/* prompt tokens not yet computed */
	unsigned n_tokens;	/* generated so far */
	gboolean running;
} engine_job_t;

typedef struct {
	event_queue_t *events;
	unsigned
		slots; /* batch size up to which time_per_excess is not added */
	unsigned max_batch;
	unsigned cache_blocks; /* capacity of the prefix cache */
	unsigned tokens_per_block;
	sr_usec_t base_time; /* us, of an iteration with an empty batch */
	sr_usec_t time_per_running;    /* us, added for each running job */
	sr_usec_t time_per_excess;     /* us, added for each job beyond slots */
	double time_per_prefill_token; /* us */
	unsigned prefill_chunk;	       /* maximum prompt tokens per iteration */
	/* the job generated a token; the last one is followed by done() */
	void (*token)(void *user, engine_job_t *job);
	void (*done)(void *user, engine_job_t *job);
	/* the job left the queue; cached_tokens is set */
	void (*prefill_started)(void *user, engine_job_t *job);
	/* a block was added to the prefix cache or evicted from it */
	void (*cache_event)(void *user, engine_t *engine, guint64 sequence,
			    guint64 block, gboolean added);
	void *user;
} engine_options_t;

engine_t *engine_new(const engine_options_t *options);

/** engine_free - events of the engine must no longer run */
void engine_free(engine_t *engine);

/** engine_submit - queue a job; starts an iteration if the engine is idle */
void engine_submit(engine_t *engine, engine_job_t *job);

/** engine_cancel - remove a running or waiting job; done() is not called */
void engine_cancel(engine_t *engine, engine_job_t *job);

/** engine_set_slowdown - multiply the duration of iterations by a factor */
void engine_set_slowdown(engine_t *engine, double factor);

/** engine_running, engine_waiting - number of jobs in that state */
unsigned engine_running(const engine_t *engine);
unsigned engine_waiting(const engine_t *engine);

/** engine_token_gap - duration of the latest iteration; 0 before the first */
sr_usec_t engine_token_gap(const engine_t *engine);

#endif
