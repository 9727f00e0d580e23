#include "batch.h"

#include <string.h>

#include "base/list.h"

#define BYTES_PER_TOKEN (SR_EMU_BLOCK_BYTES / SR_EMU_BLOCK_TOKENS)
/* Importing a token's KV cache takes 1/IMPORT_SPEEDUP of computing it. */
#define IMPORT_SPEEDUP 10

struct sr_emu_sequence {
	sr_list_t link;
	char *id;
	unsigned priority;
	GBytes *prompt;
	unsigned prompt_tokens;
	unsigned max_tokens;
	unsigned offset; /* of the next token to generate */
	unsigned imported_tokens;
	sr_emu_usage_t usage;
	void (*token_generated)(void *user, unsigned offset);
	void (*ended)(void *user, const sr_emu_usage_t *usage);
	void *user;
};

typedef struct {
	sr_usec_t recorded_at;
	unsigned running;
	unsigned waiting;
} sample_t;

struct sr_emu_batch {
	sr_list_t running;
	sr_list_t waiting;
	unsigned n_running;
	unsigned n_waiting;
	sr_emu_batch_options_t options;
	sr_timer_t *step;
	sr_usec_t step_due;
	GQueue samples; /* sample_t, oldest first */
};

sr_emu_batch_t *sr_emu_batch_new(const sr_emu_batch_options_t *options)
{
	sr_emu_batch_t *batch = g_new0(sr_emu_batch_t, 1);

	g_assert(options->slots > 0);
	batch->options = *options;
	sr_list_init(&batch->running);
	sr_list_init(&batch->waiting);
	g_queue_init(&batch->samples);
	return batch;
}

static void free_sequence(sr_emu_sequence_t *sequence)
{
	sr_list_remove(&sequence->link);
	g_bytes_unref(sequence->prompt);
	g_free(sequence->id);
	g_free(sequence);
}

void sr_emu_batch_free(sr_emu_batch_t *batch)
{
	if (!batch)
		return;
	sr_list_for_each_safe (run, &batch->running)
		free_sequence(sr_list_entry(run, sr_emu_sequence_t, link));
	sr_list_for_each_safe (wait, &batch->waiting)
		free_sequence(sr_list_entry(wait, sr_emu_sequence_t, link));
	sr_timer_cancel(batch->step);
	g_queue_clear_full(&batch->samples, g_free);
	g_free(batch);
}

/*
 * Drops all samples before the cutoff but the latest, which holds the load at
 * the cutoff.
 */
static void prune_samples(sr_emu_batch_t *batch, sr_usec_t cutoff)
{
	for (;;) {
		const sample_t *second = g_queue_peek_nth(&batch->samples, 1);

		if (!second || second->recorded_at > cutoff)
			return;
		g_free(g_queue_pop_head(&batch->samples));
	}
}

static void record_load(sr_emu_batch_t *batch)
{
	sr_usec_t now = sr_clock_now(batch->options.clock);
	sample_t *sample = g_new0(sample_t, 1);

	sample->recorded_at = now;
	sample->running = batch->n_running;
	sample->waiting = batch->n_waiting;
	g_queue_push_tail(&batch->samples, sample);
	prune_samples(batch, now - batch->options.load_lag);
}

static sr_usec_t step_duration(const sr_emu_batch_t *batch, unsigned running)
{
	return batch->options.token_time +
	       batch->options.batch_time * (running > 0 ? running - 1 : 0);
}

/*
 * Sets the usage of an admitted sequence and returns its prefill time. A
 * resumed sequence also prefills the tokens before its offset.
 */
static sr_usec_t prefill(sr_emu_batch_t *batch, sr_emu_sequence_t *sequence)
{
	gsize size = 0;
	const char *prompt = g_bytes_get_data(sequence->prompt, &size);
	unsigned cached_blocks = sr_emu_prefix_cache_lookup(
		batch->options.cache, sr_clock_now(batch->options.clock),
		prompt, size);
	unsigned cached = cached_blocks * SR_EMU_BLOCK_TOKENS;
	unsigned needed = sequence->prompt_tokens + sequence->offset;
	unsigned available =
		MIN(MAX(cached, sequence->imported_tokens), needed);
	unsigned imported = available > cached ? available - cached : 0;

	sequence->usage.cached_tokens = available;
	sequence->usage.computed_tokens = needed - available;
	return batch->options.prefill_time * sequence->usage.computed_tokens +
	       batch->options.prefill_time * imported / IMPORT_SPEEDUP;
}

static sr_usec_t admit_waiting(sr_emu_batch_t *batch)
{
	sr_usec_t duration = 0;

	while (batch->n_running < batch->options.slots &&
	       batch->n_waiting > 0) {
		sr_emu_sequence_t *sequence = sr_list_entry(
			batch->waiting.next, sr_emu_sequence_t, link);

		sr_list_remove(&sequence->link);
		sr_list_append(&batch->running, &sequence->link);
		batch->n_waiting--;
		batch->n_running++;
		duration += prefill(batch, sequence);
	}
	return duration;
}

static void end_sequence(sr_emu_batch_t *batch, sr_emu_sequence_t *sequence,
			 gboolean completed)
{
	void (*ended)(void *user, const sr_emu_usage_t *usage) =
		sequence->ended;
	void *user = sequence->user;
	sr_emu_usage_t usage = sequence->usage;

	usage.tokens = sequence->offset;
	sr_emu_batch_remove(batch, sequence);
	ended(user, completed ? &usage : NULL);
}

static void generate_tokens(sr_emu_batch_t *batch)
{
	sr_list_for_each_safe (pos, &batch->running) {
		sr_emu_sequence_t *sequence =
			sr_list_entry(pos, sr_emu_sequence_t, link);
		gboolean last = sequence->offset + 1 >= sequence->max_tokens;

		if (sequence->offset < sequence->max_tokens)
			sequence->token_generated(sequence->user,
						  sequence->offset++);
		else
			last = TRUE;
		/*
		 * A token callback may remove its own sequence only, and not
		 * at the last token, as the sequence is still used here.
		 */
		if (last)
			end_sequence(batch, sequence, TRUE);
	}
}

static void start_step(sr_emu_batch_t *batch);

static void end_step(void *user)
{
	sr_emu_batch_t *batch = user;

	batch->step = NULL;
	generate_tokens(batch);
	start_step(batch);
}

/*
 * A step is due one duration after the previous step was due, so that the
 * delays of late timers do not accumulate.
 */
static void start_step(sr_emu_batch_t *batch)
{
	sr_usec_t now = sr_clock_now(batch->options.clock);
	sr_usec_t duration;

	if (batch->step)
		return;
	duration = admit_waiting(batch);
	record_load(batch);
	if (batch->n_running == 0)
		return;
	duration += step_duration(batch, batch->n_running);
	batch->step_due = MAX(batch->step_due + duration, now);
	batch->step = sr_timer_start(batch->options.clock,
				     batch->step_due - now, end_step, batch);
}

static void insert_by_priority(sr_emu_batch_t *batch,
			       sr_emu_sequence_t *sequence)
{
	sr_list_t *before = &batch->waiting;

	sr_list_for_each (pos, &batch->waiting) {
		if (sr_list_entry(pos, sr_emu_sequence_t, link)->priority >
		    sequence->priority) {
			before = pos;
			break;
		}
	}
	/* Appending to a list at one of its links inserts before that link. */
	sr_list_append(before, &sequence->link);
	batch->n_waiting++;
}

sr_emu_sequence_t *sr_emu_batch_add(sr_emu_batch_t *batch,
				    const sr_emu_sequence_options_t *options)
{
	sr_emu_sequence_t *sequence;

	if (batch->n_waiting >= batch->options.max_waiting &&
	    batch->n_running >= batch->options.slots)
		return NULL;
	sequence = g_new0(sr_emu_sequence_t, 1);
	sequence->id = g_strdup(options->id);
	sequence->priority = options->priority;
	sequence->prompt = g_bytes_ref(options->prompt);
	sequence->prompt_tokens =
		(unsigned)((g_bytes_get_size(options->prompt) +
			    BYTES_PER_TOKEN - 1) /
			   BYTES_PER_TOKEN);
	sequence->max_tokens = options->max_tokens;
	sequence->offset = options->resume_offset;
	sequence->imported_tokens = options->imported_tokens;
	sequence->token_generated = options->token_generated;
	sequence->ended = options->ended;
	sequence->user = options->user;
	insert_by_priority(batch, sequence);
	if (!batch->step)
		batch->step_due = sr_clock_now(batch->options.clock);
	start_step(batch);
	return sequence;
}

void sr_emu_batch_remove(sr_emu_batch_t *batch, sr_emu_sequence_t *sequence)
{
	gboolean is_running = FALSE;

	sr_list_for_each (pos, &batch->running)
		is_running |= pos == &sequence->link;
	if (is_running)
		batch->n_running--;
	else
		batch->n_waiting--;
	free_sequence(sequence);
	record_load(batch);
}

static sr_emu_sequence_t *find_sequence(const sr_list_t *list, const char *id)
{
	sr_list_for_each (pos, list) {
		sr_emu_sequence_t *sequence =
			sr_list_entry(pos, sr_emu_sequence_t, link);

		if (!strcmp(sequence->id, id))
			return sequence;
	}
	return NULL;
}

gboolean sr_emu_batch_cancel(sr_emu_batch_t *batch, const char *id)
{
	sr_emu_sequence_t *sequence = find_sequence(&batch->running, id);

	if (!sequence)
		sequence = find_sequence(&batch->waiting, id);
	if (!sequence)
		return FALSE;
	end_sequence(batch, sequence, FALSE);
	return TRUE;
}

unsigned sr_emu_batch_kv_tokens(const sr_emu_batch_t *batch, const char *id,
				void **user)
{
	const sr_emu_sequence_t *sequence = find_sequence(&batch->running, id);

	if (!sequence)
		return 0;
	*user = sequence->user;
	return sequence->prompt_tokens + sequence->offset;
}

unsigned sr_emu_batch_size(const sr_emu_batch_t *batch)
{
	return batch->n_running + batch->n_waiting;
}

sr_emu_batch_load_t sr_emu_batch_load(sr_emu_batch_t *batch)
{
	sr_usec_t cutoff =
		sr_clock_now(batch->options.clock) - batch->options.load_lag;
	const sample_t *sample;
	sr_emu_batch_load_t load = { 0 };
	sr_usec_t step;

	prune_samples(batch, cutoff);
	sample = g_queue_peek_head(&batch->samples);
	if (sample && sample->recorded_at <= cutoff) {
		load.running = sample->running;
		load.waiting = sample->waiting;
	}
	step = MAX(step_duration(batch, load.running), 1);
	load.tokens_per_s = (double)SR_SEC / (double)step;
	load.age = batch->options.load_lag;
	return load;
}
