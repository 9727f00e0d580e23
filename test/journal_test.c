#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "core/journal.h"
#include "core/journal_record.h"
#include "prove/fake_platform.c" /* NOLINT(bugprone-suspicious-include) */

#define LEASE (1 * SR_SEC)
#define RETENTION (60 * SR_SEC)
#define TICK_INTERVAL (10 * SR_MSEC)
#define MAX_TICKETS 4096

typedef struct {
	fake_platform_t *platform;
	sr_usec_t now;
} fixture_t;

typedef struct {
	fixture_t *fixture;
	fake_client_t *client;
	sr_journal_t *journal;
	unsigned runs;
	guint64 last_run;   /* id of the latest run; 0 once it has ended */
	gboolean hold_runs; /* runs do not end */
	gboolean woken;
	sr_usec_t timeout; /* time until the deadline of a posting */
	unsigned answers;
	sr_answer_kind_t kind[MAX_TICKETS]; /* by ticket, as the next two */
	sr_err_t err[MAX_TICKETS];
	unsigned status[MAX_TICKETS];
} host_t;

static void on_run(void *user, const sr_journal_run_t *run)
{
	host_t *host = user;

	host->runs++;
	host->last_run = run->run_id;
}

static void on_answer(void *user, void *ticket,
		      const sr_journal_answer_t *answer)
{
	host_t *host = user;
	guint64 i = GPOINTER_TO_SIZE(ticket);

	host->answers++;
	host->kind[i] = answer->kind;
	host->err[i] = answer->err;
	host->status[i] = answer->status;
}

static void on_wake(void *user)
{
	((host_t *)user)->woken = TRUE;
}

static void host_start(host_t *host, fixture_t *fixture, const char *name,
		       guint64 seed)
{
	sr_journal_options_t options = {
		.node = name,
		.home = "failure-domain-ahd",
		.n_shards = 1,
		.seed = seed,
		.lease = LEASE,
		.retention = RETENTION,
		.write_interval = 50 * SR_MSEC,
		.ring_slots = 32,
		.max_entries = 100,
		.max_bytes = 8 * 1024 * 1024,
		.run = on_run,
		.answer = on_answer,
		.wake = on_wake,
		.user = host,
	};

	memset(host, 0, sizeof(*host));
	host->fixture = fixture;
	host->timeout = 2 * SR_SEC;
	host->client = fake_client_new(fixture->platform);
	options.store = fake_client_store(host->client);
	host->journal = sr_journal_new(&options);
	sr_journal_set_wanted(host->journal, fixture->now, 0, TRUE);
}

static void host_stop(host_t *host)
{
	sr_journal_free(host->journal);
	fake_client_free(host->client);
}

static void end_run(host_t *host)
{
	sr_journal_run_result_t result = {
		.end = SR_RUN_ANSWERED,
		.status = 201,
		.result = g_bytes_new_static("result", 6),
	};

	sr_journal_run_ended(host->journal, host->fixture->now, host->last_run,
			     &result);
	host->last_run = 0;
	g_bytes_unref(result.result);
}

static void advance(host_t *host, sr_usec_t by)
{
	fixture_t *fixture = host->fixture;
	sr_usec_t end = fixture->now + by;

	while (fixture->now < end) {
		fixture->now += TICK_INTERVAL;
		fake_platform_run(fixture->platform, fixture->now);
		sr_journal_tick(host->journal, fixture->now);
		if (host->last_run && !host->hold_runs)
			end_run(host);
	}
}

static void submit_posting(host_t *host, guint64 ticket, const char *key,
			   const char *body, gboolean respond_async)
{
	sr_journal_posting_t posting = {
		.account = "branch-12",
		.key = key,
		.service = "payledger",
		.request = g_bytes_new(body, strlen(body)),
		.deadline = host->fixture->now + host->timeout,
		.respond_async = respond_async,
		.ticket = GSIZE_TO_POINTER(ticket),
	};

	sr_journal_submit(host->journal, host->fixture->now, &posting);
	g_bytes_unref(posting.request);
}

static void fixture_init(fixture_t *fixture)
{
	fixture->platform = fake_platform_new(7);
	fixture->now = SR_SEC;
}

static void test_repeated_key_gets_the_stored_result(void **state)
{
	fixture_t fixture;
	host_t host;
	host_t next;

	fixture_init(&fixture);
	host_start(&host, &fixture, "a", 1);
	advance(&host, SR_SEC);
	submit_posting(&host, 1, "rev-1", "body", FALSE);
	advance(&host, SR_SEC);
	assert_int_equal(host.kind[1], SR_ANSWER_RESULT);
	submit_posting(&host, 2, "rev-1", "body", FALSE);
	assert_int_equal(host.status[2], 201);
	submit_posting(&host, 3, "rev-1", "another body", FALSE);
	assert_int_equal(host.kind[3], SR_ANSWER_NOT_RUN);
	assert_int_equal(host.err[3], SR_ERR_KEY_REUSED);
	host_stop(&host);

	host_start(&next, &fixture, "b", 2);
	advance(&next, 3 * SR_SEC);
	submit_posting(&next, 1, "rev-1", "body", FALSE);
	assert_int_equal(next.status[1], 201);
	assert_int_equal(next.runs, 0);
	host_stop(&next);
	fake_platform_free(fixture.platform);
}

static void test_dispatched_posting_is_not_run_again(void **state)
{
	fixture_t fixture;
	host_t host;
	host_t next;

	fixture_init(&fixture);
	host_start(&host, &fixture, "a", 1);
	host.hold_runs = TRUE;
	advance(&host, SR_SEC);
	submit_posting(&host, 1, "rev-1", "body", TRUE);
	advance(&host, SR_SEC);
	assert_int_equal(host.runs, 1);
	assert_int_equal(host.kind[1], SR_ANSWER_ACCEPTED);
	host_stop(&host);

	host_start(&next, &fixture, "b", 2);
	advance(&next, 3 * SR_SEC);
	submit_posting(&next, 1, "rev-1", "body", FALSE);
	assert_int_equal(next.kind[1], SR_ANSWER_UNKNOWN);
	assert_int_equal(next.runs, 0);
	host_stop(&next);
	fake_platform_free(fixture.platform);
}

static void test_key_is_kept_for_the_retention_time(void **state)
{
	fixture_t fixture;
	host_t host;

	fixture_init(&fixture);
	host_start(&host, &fixture, "a", 1);
	advance(&host, SR_SEC);
	submit_posting(&host, 1, "rev-1", "body", FALSE);
	advance(&host, RETENTION - SR_SEC);
	submit_posting(&host, 2, "rev-1", "body", FALSE);
	assert_int_equal(host.kind[2], SR_ANSWER_RESULT);
	assert_int_equal(host.runs, 1);
	advance(&host, 2 * SR_SEC);
	submit_posting(&host, 3, "rev-1", "body", FALSE);
	advance(&host, SR_SEC);
	assert_int_equal(host.runs, 2);
	host_stop(&host);
	fake_platform_free(fixture.platform);
}

/*
 * Entries of expired keys must be dropped from memory and from the objects of
 * the shard. Otherwise both grow without bound, and another host that reads the
 * log restores the entries.
 */
static void test_expired_keys_are_dropped(void **state)
{
	fixture_t fixture;
	host_t host;
	host_t next;
	sr_journal_stats_t stats;

	fixture_init(&fixture);
	host_start(&host, &fixture, "a", 1);
	advance(&host, SR_SEC);
	for (guint64 i = 0; i < 400; i++) {
		char *key = g_strdup_printf("rev-%u", (unsigned)(i % 90));

		submit_posting(&host, i, key, "body", FALSE);
		advance(&host, SR_SEC);
		assert_int_equal(host.kind[i], SR_ANSWER_RESULT);
		g_free(key);
	}
	sr_journal_stats(host.journal, &stats);
	assert_in_range(stats.entries, 59, 63);
	assert_in_range(fake_platform_n_objects(fixture.platform, "journal/"),
			32, 60);
	host_stop(&host);

	host_start(&next, &fixture, "b", 2);
	advance(&next, 4 * SR_SEC);
	sr_journal_stats(next.journal, &stats);
	assert_int_equal(stats.held, 1);
	assert_int_equal(stats.violations, 0);
	assert_in_range(stats.entries, 50, 63);
	host_stop(&next);
	fake_platform_free(fixture.platform);
}

static void test_live_holder_keeps_its_shard(void **state)
{
	fixture_t fixture;
	host_t host;
	host_t claimant;

	fixture_init(&fixture);
	host_start(&host, &fixture, "a", 1);
	advance(&host, SR_SEC);
	host_start(&claimant, &fixture, "b", 2);
	for (int i = 0; i < 500; i++) {
		advance(&claimant, TICK_INTERVAL);
		sr_journal_tick(host.journal, fixture.now);
		assert_false(sr_journal_is_held(claimant.journal, 0));
	}
	assert_true(sr_journal_is_held(host.journal, 0));
	host_stop(&host);
	advance(&claimant, 2 * LEASE);
	assert_true(sr_journal_is_held(claimant.journal, 0));
	host_stop(&claimant);
	fake_platform_free(fixture.platform);
}

/*
 * The holder is cut off from the platform while its batch takes effect. The
 * next holder runs the accepted posting and writes a later batch to the same
 * slot, so that the slot no longer shows whether the first batch was written.
 * NOT_RUN would be wrong then.
 */
static void test_lapped_holder_answers_unknown(void **state)
{
	fixture_t fixture;
	host_t host;
	host_t next;

	fixture_init(&fixture);
	host_start(&host, &fixture, "a", 1);
	advance(&host, SR_SEC);
	host.timeout = SR_MINUTE;
	submit_posting(&host, 1, "rev-1", "body", TRUE);
	fake_client_set_cut(host.client, TRUE);
	host_start(&next, &fixture, "b", 2);
	for (int i = 0; i < 3000; i++) {
		advance(&next, TICK_INTERVAL);
		sr_journal_tick(host.journal, fixture.now);
	}
	assert_int_equal(next.runs, 1);
	assert_int_equal(host.answers, 0);
	fake_client_set_cut(host.client, FALSE);
	advance(&host, 5 * SR_SEC);
	assert_int_equal(host.kind[1], SR_ANSWER_UNKNOWN);
	host_stop(&host);
	host_stop(&next);
	fake_platform_free(fixture.platform);
}

static void test_released_shard_is_claimed_at_once(void **state)
{
	fixture_t fixture;
	host_t host;
	host_t next;

	fixture_init(&fixture);
	host_start(&host, &fixture, "a", 1);
	advance(&host, SR_SEC);
	submit_posting(&host, 1, "rev-1", "body", TRUE);
	sr_journal_release(host.journal, fixture.now, fixture.now + 5 * SR_SEC);
	advance(&host, LEASE / 4);
	assert_true(sr_journal_is_released(host.journal));
	assert_int_equal(host.kind[1], SR_ANSWER_ACCEPTED);
	assert_int_equal(host.runs, 0);

	host_start(&next, &fixture, "b", 2);
	advance(&next, LEASE / 2);
	assert_true(sr_journal_is_held(next.journal, 0));
	assert_int_equal(next.runs, 1);
	host_stop(&host);
	host_stop(&next);
	fake_platform_free(fixture.platform);
}

static void test_posting_in_an_outage_is_refused_at_once(void **state)
{
	fixture_t fixture;
	host_t host;

	fixture_init(&fixture);
	host_start(&host, &fixture, "a", 1);
	advance(&host, SR_SEC);
	fake_platform_faults(fixture.platform)->down = TRUE;
	advance(&host, 2 * LEASE);
	submit_posting(&host, 1, "rev-1", "body", FALSE);
	assert_int_equal(host.answers, 1);
	assert_int_equal(host.kind[1], SR_ANSWER_NOT_RUN);
	assert_int_equal(host.err[1], SR_ERR_PLATFORM);
	fake_platform_faults(fixture.platform)->down = FALSE;
	advance(&host, 5 * SR_SEC);
	submit_posting(&host, 2, "rev-1", "body", FALSE);
	advance(&host, SR_SEC);
	assert_int_equal(host.kind[2], SR_ANSWER_RESULT);
	assert_int_equal(host.runs, 1);
	host_stop(&host);
	fake_platform_free(fixture.platform);
}

static void test_full_shard_refuses_only_new_keys(void **state)
{
	fixture_t fixture;
	host_t host;

	fixture_init(&fixture);
	host_start(&host, &fixture, "a", 1);
	host.hold_runs = TRUE;
	advance(&host, SR_SEC);
	for (guint64 i = 0; i < 110; i++) {
		char *key = g_strdup_printf("rev-%u", (unsigned)i);

		submit_posting(&host, i, key, "body", TRUE);
		g_free(key);
	}
	advance(&host, SR_SEC);
	assert_int_equal(host.kind[99], SR_ANSWER_ACCEPTED);
	assert_int_equal(host.kind[100], SR_ANSWER_NOT_RUN);
	assert_int_equal(host.err[100], SR_ERR_OVERLOADED);
	submit_posting(&host, 200, "rev-0", "body", TRUE);
	assert_int_equal(host.kind[200], SR_ANSWER_ACCEPTED);
	host_stop(&host);
	fake_platform_free(fixture.platform);
}

static void test_large_requests_stay_under_the_value_limit(void **state)
{
	fixture_t fixture;
	host_t host;
	char *body = g_strnfill(SR_JOURNAL_BODY_MAX, 'x');

	fixture_init(&fixture);
	host_start(&host, &fixture, "a", 1);
	host.hold_runs = TRUE;
	advance(&host, SR_SEC);
	for (guint64 i = 0; i < 20; i++) {
		char *key = g_strdup_printf("rev-%u", (unsigned)i);

		submit_posting(&host, i, key, body, TRUE);
		g_free(key);
	}
	advance(&host, 30 * SR_SEC);
	assert_int_equal(host.kind[19], SR_ANSWER_ACCEPTED);
	assert_in_range(
		fake_platform_counts(fixture.platform)->largest_value_size, 1,
		SR_STORE_VALUE_MAX);
	host_stop(&host);
	fake_platform_free(fixture.platform);
	g_free(body);
}

static GBytes *sample_batch(void)
{
	sr_batch_t *batch = sr_batch_new("a", 3, 99);
	sr_journal_record_t *record = g_new0(sr_journal_record_t, 1);
	GBytes *bytes;

	record->kind = SR_RECORD_DONE;
	record->account = g_strdup("branch-12");
	record->key = g_strdup("rev-1");
	record->service = g_strdup("payledger");
	record->time = 5;
	record->status = 201;
	record->result = g_bytes_new("result", 6);
	g_ptr_array_add(batch->records, record);
	batch->number = 8;
	batch->time = 6;
	bytes = sr_batch_encode(batch);
	sr_batch_free(batch);
	return bytes;
}

static void test_batch_round_trip(void **state)
{
	GBytes *bytes = sample_batch();
	sr_batch_t *batch = NULL;
	const sr_journal_record_t *record;

	assert_int_equal(sr_batch_decode(bytes, &batch), SR_OK);
	assert_int_equal(batch->number, 8);
	assert_int_equal(batch->epoch, 3);
	assert_int_equal(batch->write_id, 99);
	assert_int_equal(batch->records->len, 1);
	record = batch->records->pdata[0];
	assert_int_equal(record->status, 201);
	assert_string_equal(record->key, "rev-1");
	assert_int_equal(g_bytes_get_size(record->result), 6);
	sr_batch_free(batch);
	g_bytes_unref(bytes);
}

static void test_corrupted_batch_is_rejected(void **state)
{
	GBytes *bytes = sample_batch();
	gsize size;
	const guint8 *data = g_bytes_get_data(bytes, &size);
	guint64 random = 4;
	unsigned refused = 0;

	for (gsize cut = 0; cut < size; cut++) {
		GBytes *part = g_bytes_new(data, cut);
		sr_batch_t *batch = NULL;

		assert_int_equal(sr_batch_decode(part, &batch),
				 SR_ERR_PROTOCOL);
		g_bytes_unref(part);
	}
	for (int i = 0; i < 2000; i++) {
		guint8 *copy = g_memdup2(data, size);
		sr_batch_t *batch = NULL;
		GBytes *corrupted;

		copy[prove_random(&random) % MAX(size, 1)] ^=
			(guint8)(1 + prove_random(&random) % 255);
		corrupted = g_bytes_new_take(copy, size);
		if (sr_batch_decode(corrupted, &batch) == SR_OK)
			sr_batch_free(batch);
		else
			refused++;
		g_bytes_unref(corrupted);
	}
	assert_true(refused > 0);
	g_bytes_unref(bytes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_repeated_key_gets_the_stored_result),
		cmocka_unit_test(test_dispatched_posting_is_not_run_again),
		cmocka_unit_test(test_key_is_kept_for_the_retention_time),
		cmocka_unit_test(test_expired_keys_are_dropped),
		cmocka_unit_test(test_live_holder_keeps_its_shard),
		cmocka_unit_test(test_lapped_holder_answers_unknown),
		cmocka_unit_test(test_released_shard_is_claimed_at_once),
		cmocka_unit_test(test_posting_in_an_outage_is_refused_at_once),
		cmocka_unit_test(test_full_shard_refuses_only_new_keys),
		cmocka_unit_test(
			test_large_requests_stay_under_the_value_limit),
		cmocka_unit_test(test_batch_round_trip),
		cmocka_unit_test(test_corrupted_batch_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
