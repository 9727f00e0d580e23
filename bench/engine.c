#include "engine.h"

typedef struct {
	sr_list_t link; /* in engine.lru */
	guint64 block;
} cache_entry_t;

struct engine {
	engine_options_t options;
	sr_list_t waiting[SR_N_PRIORITIES];
	sr_list_t running;
	unsigned n_waiting;
	unsigned n_running;
	GHashTable *cache; /* &cache_entry_t.block -> cache_entry_t */
	sr_list_t lru;	   /* of cache_entry_t, the least recently used first */
	guint64 sequence;  /* of the latest cache event */
	sr_usec_t token_gap;
	double slowdown;
	gboolean busy; /* an iteration is scheduled */
};

engine_t *engine_new(const engine_options_t *options)
{
	engine_t *engine = g_new0(engine_t, 1);

	engine->options = *options;
	engine->cache = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	engine->slowdown = 1;
	sr_list_init(&engine->lru);
	sr_list_init(&engine->running);
	for (int i = 0; i < SR_N_PRIORITIES; i++)
		sr_list_init(&engine->waiting[i]);
	return engine;
}

void engine_free(engine_t *engine)
{
	g_hash_table_unref(engine->cache);
	g_free(engine);
}

static void report_cache_event(engine_t *engine, guint64 block, gboolean added)
{
	engine->sequence++;
	engine->options.cache_event(engine->options.user, engine,
				    engine->sequence, block, added);
}

static void cache_block(engine_t *engine, guint64 block)
{
	cache_entry_t *entry = g_hash_table_lookup(engine->cache, &block);

	if (entry) {
		sr_list_remove(&entry->link);
		sr_list_append(&engine->lru, &entry->link);
		return;
	}
	if (g_hash_table_size(engine->cache) >= engine->options.cache_blocks) {
		cache_entry_t *oldest =
			sr_list_entry(engine->lru.next, cache_entry_t, link);

		sr_list_remove(&oldest->link);
		report_cache_event(engine, oldest->block, FALSE);
		g_hash_table_remove(engine->cache, &oldest->block);
	}
	entry = g_new0(cache_entry_t, 1);
	entry->block = block;
	sr_list_append(&engine->lru, &entry->link);
	g_hash_table_insert(engine->cache, &entry->block, entry);
	report_cache_event(engine, block, TRUE);
}

static unsigned count_cached_tokens(const engine_t *engine,
				    const engine_job_t *job)
{
	unsigned n = 0;

	while (n < job->n_blocks &&
	       g_hash_table_contains(engine->cache, &job->blocks[n]))
		n++;
	return MIN(n * engine->options.tokens_per_block, job->prompt_tokens);
}

static void start_job(engine_t *engine, engine_job_t *job)
{
	job->running = TRUE;
	engine->n_waiting--;
	engine->n_running++;
	sr_list_remove(&job->link);
	sr_list_append(&engine->running, &job->link);
	job->cached_tokens = count_cached_tokens(engine, job);
	job->prefill_left = job->prompt_tokens - job->cached_tokens;
	engine->options.prefill_started(engine->options.user, job);
}

static void fill_batch(engine_t *engine)
{
	for (int i = 0; i < SR_N_PRIORITIES; i++) {
		sr_list_t *queue = &engine->waiting[i];

		while (!sr_list_is_empty(queue) &&
		       engine->n_running < engine->options.max_batch)
			start_job(engine, sr_list_entry(queue->next,
							engine_job_t, link));
	}
}

static sr_usec_t iteration_time(const engine_t *engine, unsigned prefill)
{
	const engine_options_t *o = &engine->options;
	unsigned excess =
		engine->n_running > o->slots ? engine->n_running - o->slots : 0;
	double time = (double)o->base_time +
		      (double)(o->time_per_running * engine->n_running) +
		      (double)(o->time_per_excess * excess) +
		      o->time_per_prefill_token * prefill;

	return (sr_usec_t)(time * engine->slowdown);
}

static void run_iteration(void *user, void *data);

static void next_iteration(engine_t *engine)
{
	unsigned prefill = 0;

	fill_batch(engine);
	engine->busy = engine->n_running > 0;
	if (!engine->busy)
		return;
	sr_list_for_each (link, &engine->running)
		prefill +=
			sr_list_entry(link, engine_job_t, link)->prefill_left;
	prefill = MIN(prefill, engine->options.prefill_chunk);
	engine->token_gap = iteration_time(engine, prefill);
	event_queue_add(engine->options.events, engine->token_gap,
			run_iteration, engine, NULL);
}

static void leave_batch(engine_t *engine, engine_job_t *job)
{
	sr_list_remove(&job->link);
	job->running = FALSE;
	engine->n_running--;
}

static void emit_token(engine_t *engine, engine_job_t *job)
{
	if (job->n_tokens == 0) {
		for (unsigned i = 0; i < job->n_blocks; i++)
			cache_block(engine, job->blocks[i]);
	}
	job->n_tokens++;
	engine->options.token(engine->options.user, job);
	if (job->n_tokens < job->max_tokens)
		return;
	leave_batch(engine, job);
	engine->options.done(engine->options.user, job);
}

static void run_iteration(void *user, void *data)
{
	engine_t *engine = user;
	unsigned budget = engine->options.prefill_chunk;

	sr_list_for_each_safe (link, &engine->running) {
		engine_job_t *job = sr_list_entry(link, engine_job_t, link);
		unsigned chunk = MIN(budget, job->prefill_left);

		job->prefill_left -= chunk;
		budget -= chunk;
		if (job->prefill_left == 0)
			emit_token(engine, job);
	}
	next_iteration(engine);
}

void engine_submit(engine_t *engine, engine_job_t *job)
{
	job->running = FALSE;
	job->n_tokens = 0;
	sr_list_append(&engine->waiting[job->priority], &job->link);
	engine->n_waiting++;
	if (!engine->busy)
		next_iteration(engine);
}

void engine_cancel(engine_t *engine, engine_job_t *job)
{
	if (job->running) {
		leave_batch(engine, job);
		return;
	}
	sr_list_remove(&job->link);
	engine->n_waiting--;
}

void engine_set_slowdown(engine_t *engine, double factor)
{
	engine->slowdown = factor;
}

unsigned engine_running(const engine_t *engine)
{
	return engine->n_running;
}

unsigned engine_waiting(const engine_t *engine)
{
	return engine->n_waiting;
}

sr_usec_t engine_token_gap(const engine_t *engine)
{
	return engine->token_gap;
}
