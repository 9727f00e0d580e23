#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

/* The emulator has no library to link with, so its sources are included. */
/* NOLINTBEGIN(bugprone-suspicious-include) */
#include "../emulator/answer_check.c"
#include "../emulator/batch.c"
#include "../emulator/fault.c"
#include "../emulator/histogram.c"
#include "../emulator/prefix_cache.c"
/* NOLINTEND(bugprone-suspicious-include) */

#define STEP (10 * SR_MSEC)

/*
 * Stubs of the JSON helpers of server.c, which is not included because the rest
 * of it needs a main loop.
 */
const char *sr_emu_json_string(struct json_object *object, const char *name,
			       const char *fallback)
{
	struct json_object *member;

	if (!json_object_object_get_ex(object, name, &member))
		return fallback;
	return json_object_get_string(member);
}

double sr_emu_json_number(struct json_object *object, const char *name,
			  double fallback)
{
	struct json_object *member;

	if (!json_object_object_get_ex(object, name, &member))
		return fallback;
	return json_object_get_double(member);
}

#define DONE "event: done\ndata: {\"tokens\": 3}\n\n"

/*
 * Feeds the tokens at the given offsets, then the text of the end, to an answer
 * check; returns TRUE if it finds the answer complete. 'x' is a token of
 * another answer, 's' a correct token with a wrong offset.
 */
static gboolean is_accepted(const char *offsets, const char *end)
{
	GBytes *body = g_bytes_new_static("body", 4);
	sr_emu_answer_check_t *check = sr_emu_answer_check_new(body, 3);
	guint64 hash = sr_emu_answer_hash("body", 4);
	char token[SR_EMU_TOKEN_SIZE];
	char line[128];
	gboolean accepted;

	for (unsigned i = 0; offsets[i]; i++) {
		gboolean is_digit = g_ascii_isdigit(offsets[i]);
		unsigned offset = is_digit ? (unsigned)offsets[i] - '0' : i;

		sr_emu_answer_token(offsets[i] == 'x' ? hash + 1 : hash, offset,
				    token);
		g_snprintf(line, sizeof(line),
			   "data: {\"offset\": %u, \"token\": \"%s\"}\n\n",
			   offsets[i] == 's' ? offset + 1 : offset, token);
		sr_emu_answer_check_feed(check, line, strlen(line));
	}
	sr_emu_answer_check_feed(check, end, strlen(end));
	accepted = sr_emu_answer_check_is_complete(check);
	sr_emu_answer_check_free(check);
	g_bytes_unref(body);
	return accepted;
}

static void test_only_a_complete_answer_is_accepted(void **state)
{
	assert_true(is_accepted("012", DONE));
	assert_false(is_accepted("02", DONE));
	assert_false(is_accepted("0112", DONE));
	assert_false(is_accepted("021", DONE));
	assert_false(is_accepted("0x2", DONE));
	assert_false(is_accepted("0s2", DONE));
	assert_false(is_accepted("0123", DONE));
	assert_false(is_accepted("01", DONE));
	assert_false(is_accepted("012", ""));
	assert_false(is_accepted("012", DONE DONE));
	assert_false(is_accepted("012", "event: done\n"));
	assert_false(
		is_accepted("012", "event: done\ndata: {\"tokens\": 2}\n\n"));
}

typedef struct {
	const char *name;
	GString *log;	      /* names of the ended sequences, in order */
	sr_emu_usage_t usage; /* of this sequence, once it has ended */
} sequence_log_t;

static void ignore_token(void *user, unsigned offset)
{
	(void)user;
	(void)offset;
}

static void log_ended(void *user, const sr_emu_usage_t *usage)
{
	sequence_log_t *sequence = user;

	g_string_append(sequence->log, sequence->name);
	if (usage)
		sequence->usage = *usage;
}

static void add_sequence(sr_emu_batch_t *batch, sequence_log_t *log,
			 unsigned priority, const char *prompt)
{
	sr_emu_sequence_options_t options = {
		.id = log->name,
		.priority = priority,
		.prompt = g_bytes_new(prompt, strlen(prompt)),
		.max_tokens = 4,
		.token_generated = ignore_token,
		.ended = log_ended,
		.user = log,
	};

	assert_non_null(sr_emu_batch_add(batch, &options));
	g_bytes_unref(options.prompt);
}

static sr_emu_batch_t *new_batch(sr_clock_t *clock,
				 sr_emu_prefix_cache_t *cache, unsigned slots)
{
	sr_emu_batch_options_t options = {
		.slots = slots,
		.max_waiting = 8,
		.token_time = STEP,
		.batch_time = STEP,
		.prefill_time = SR_MSEC,
		.clock = clock,
		.cache = cache,
	};

	return sr_emu_batch_new(&options);
}

static sr_emu_prefix_cache_t *new_cache(unsigned capacity, double loss)
{
	sr_emu_prefix_cache_options_t options = {
		.capacity = capacity,
		.event_lag = SR_SEC,
		.event_loss = loss,
		.seed = 1,
	};

	return sr_emu_prefix_cache_new(&options);
}

static void test_waiting_sequences_are_admitted_by_priority(void **state)
{
	sr_clock_t *clock = sr_clock_new_manual(SR_SEC);
	sr_emu_prefix_cache_t *cache = new_cache(16, 0);
	sr_emu_batch_t *batch = new_batch(clock, cache, 1);
	GString *log = g_string_new(NULL);
	sequence_log_t sequences[] = { { .name = "a", .log = log },
				       { .name = "b", .log = log },
				       { .name = "c", .log = log },
				       { .name = "d", .log = log } };
	const unsigned priorities[] = { 2, 2, 0, 2 };

	for (guint i = 0; i < G_N_ELEMENTS(sequences); i++)
		add_sequence(batch, &sequences[i], priorities[i], "p");
	assert_true(sr_emu_batch_cancel(batch, "d"));
	assert_false(sr_emu_batch_cancel(batch, "d"));
	sr_clock_advance(clock, SR_SEC);
	assert_string_equal(log->str, "dacb");
	assert_int_equal(sr_emu_batch_size(batch), 0);
	g_string_free(log, TRUE);
	sr_emu_batch_free(batch);
	sr_emu_prefix_cache_free(cache);
	sr_clock_free(clock);
}

/*
 * Each prompt has 32 tokens of 1 ms to prefill, each answer 4 tokens; a step
 * takes 10 ms with one sequence and 20 ms with two. "a" runs alone. "b" finds
 * its 32 tokens cached; "c", with another prompt, joins after one step.
 */
static void test_time_grows_with_batch_and_uncached_tokens(void **state)
{
	sr_clock_t *clock = sr_clock_new_manual(SR_SEC);
	sr_emu_prefix_cache_t *cache = new_cache(16, 0);
	sr_emu_batch_t *batch = new_batch(clock, cache, 2);
	GString *log = g_string_new(NULL);
	sequence_log_t a = { .name = "a", .log = log };
	sequence_log_t b = { .name = "b", .log = log };
	sequence_log_t c = { .name = "c", .log = log };
	char *prompt = g_strnfill(2 * SR_EMU_BLOCK_BYTES, 'p');
	char *other = g_strnfill(2 * SR_EMU_BLOCK_BYTES, 'q');

	add_sequence(batch, &a, 0, prompt);
	sr_clock_advance(clock, 32 * SR_MSEC + 4 * STEP - 1);
	assert_string_equal(log->str, "");
	sr_clock_advance(clock, 1);
	assert_string_equal(log->str, "a");
	assert_int_equal(a.usage.computed_tokens, 32);
	add_sequence(batch, &b, 0, prompt);
	sr_clock_advance(clock, STEP);
	add_sequence(batch, &c, 0, other);
	sr_clock_advance(clock, STEP + 32 * SR_MSEC + 2 * (2 * STEP) - 1);
	assert_string_equal(log->str, "a");
	sr_clock_advance(clock, 1);
	assert_string_equal(log->str, "ab");
	assert_int_equal(b.usage.cached_tokens, 32);
	assert_int_equal(b.usage.computed_tokens, 0);
	sr_clock_advance(clock, SR_SEC);
	assert_string_equal(log->str, "abc");
	g_free(prompt);
	g_free(other);
	g_string_free(log, TRUE);
	sr_emu_batch_free(batch);
	sr_emu_prefix_cache_free(cache);
	sr_clock_free(clock);
}

static void count_event(void *user, const sr_emu_cache_event_t *event)
{
	unsigned *counts = user;

	counts[event->added ? 0 : 1]++;
}

static void test_cache_events_lag_and_oldest_block_is_evicted(void **state)
{
	sr_emu_prefix_cache_t *cache = new_cache(2, 0);
	sr_emu_prefix_cache_t *lossy = new_cache(1000, 0.5);
	char *prompt = g_strnfill(2 * SR_EMU_BLOCK_BYTES, 'p');
	char *other = g_strnfill(SR_EMU_BLOCK_BYTES, 'q');
	char *long_prompt = g_strnfill(200 * SR_EMU_BLOCK_BYTES, 'r');
	unsigned counts[2] = { 0 }; /* events of added and evicted blocks */

	assert_int_equal(
		sr_emu_prefix_cache_lookup(cache, 0, prompt, strlen(prompt)),
		0);
	assert_int_equal(
		sr_emu_prefix_cache_lookup(cache, 0, prompt, strlen(prompt)),
		2);
	sr_emu_prefix_cache_lookup(cache, 1, other, strlen(other));
	assert_int_equal(sr_emu_prefix_cache_events(cache, SR_SEC - 1, 0,
						    count_event, counts),
			 0);
	assert_int_equal(sr_emu_prefix_cache_events(cache, SR_SEC + 1, 0,
						    count_event, counts),
			 4);
	assert_int_equal(counts[0], 3);
	assert_int_equal(counts[1], 1);
	assert_int_equal(
		sr_emu_prefix_cache_lookup(cache, 2, prompt, strlen(prompt)),
		0);
	counts[0] = 0;
	sr_emu_prefix_cache_lookup(lossy, 0, long_prompt, strlen(long_prompt));
	assert_int_equal(sr_emu_prefix_cache_events(lossy, SR_SEC, 0,
						    count_event, counts),
			 200);
	assert_in_range(counts[0], 60, 140);
	g_free(prompt);
	g_free(other);
	g_free(long_prompt);
	sr_emu_prefix_cache_free(cache);
	sr_emu_prefix_cache_free(lossy);
}

static gboolean add_fault(sr_emu_faults_t *faults, const char *text)
{
	struct json_object *object = json_tokener_parse(text);
	gboolean ok = sr_emu_faults_add(faults, object);

	json_object_put(object);
	return ok;
}

static void test_faults_affect_matching_requests_only(void **state)
{
	sr_emu_faults_t *faults = sr_emu_faults_new(1);

	assert_false(add_fault(faults, "{\"mode\": \"odd\"}"));
	assert_true(add_fault(faults, "{\"mode\": \"failing\", \"path\": "
				      "\"/a\", \"min_running\": 3}"));
	assert_false(sr_emu_faults_evaluate(faults, "/b", 3).failing);
	assert_false(sr_emu_faults_evaluate(faults, "/a", 2).failing);
	assert_true(sr_emu_faults_evaluate(faults, "/a/x", 3).failing);
	assert_true(add_fault(faults, "{\"mode\": \"slow\", \"ms\": 20}"));
	assert_true(add_fault(faults, "{\"mode\": \"down\", \"after\": 1}"));
	assert_false(sr_emu_faults_evaluate(faults, "/b", 0).down);
	assert_true(sr_emu_faults_evaluate(faults, "/b", 0).down);
	assert_int_equal(sr_emu_faults_evaluate(faults, "/b", 0).delay,
			 20 * SR_MSEC);
	assert_true(add_fault(faults, "{\"mode\": \"ok\"}"));
	assert_false(sr_emu_faults_evaluate(faults, "/a/x", 3).failing);
	assert_false(sr_emu_faults_evaluate(faults, "/b", 0).down);
	sr_emu_faults_free(faults);
}

static void test_quantiles_are_at_most_one_sixteenth_too_high(void **state)
{
	sr_emu_histogram_t *histogram = g_new0(sr_emu_histogram_t, 1);

	assert_int_equal(sr_emu_histogram_quantile(histogram, 0.5), 0);
	for (sr_usec_t i = 1; i <= 100000; i++)
		sr_emu_histogram_add(histogram, i);
	for (int percent = 1; percent <= 100; percent++) {
		sr_usec_t exact = percent * 1000;
		sr_usec_t found =
			sr_emu_histogram_quantile(histogram, percent / 100.0);

		assert_in_range(found, exact, exact + exact / 16);
	}
	g_free(histogram);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_only_a_complete_answer_is_accepted),
		cmocka_unit_test(
			test_waiting_sequences_are_admitted_by_priority),
		cmocka_unit_test(
			test_time_grows_with_batch_and_uncached_tokens),
		cmocka_unit_test(
			test_cache_events_lag_and_oldest_block_is_evicted),
		cmocka_unit_test(test_faults_affect_matching_requests_only),
		cmocka_unit_test(
			test_quantiles_are_at_most_one_sixteenth_too_high),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
