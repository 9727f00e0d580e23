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
#define STEP (10 * SR_MSEC)
#define MAX_TICKETS 4096

typedef struct {
	fake_platform_t *platform;
	sr_usec_t now;
} world_t;

typedef struct {
	world_t *world;
	fake_client_t *client;
	sr_journal_t *journal;
	unsigned runs;
	guint64 last_run;
	gboolean hold; /* runs do not end by themselves */
	gboolean woken;
	sr_usec_t patience; /* of its callers */
	unsigned answers;
	sr_answer_kind_t kind[MAX_TICKETS];
	sr_err_t err[MAX_TICKETS];
	unsigned status[MAX_TICKETS];
} host_t;

static void on_run(void *user, const sr_journal_run_t *run)
{
	host_t *host = user;

	host->runs++;
	host->last_run = run->run;
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

static void host_start(host_t *host, world_t *world, const char *name,
		       guint64 seed)
{
	sr_journal_options_t options = {
		.node = name,
		.home = "failure-domain-ahd",
		.n_shards = 1,
		.seed = seed,
		.lease = LEASE,
		.retention = RETENTION,
		.interval = 50 * SR_MSEC,
		.ring = 32,
		.max_entries = 100,
		.max_bytes = 8 * 1024 * 1024,
		.run = on_run,
		.answer = on_answer,
		.wake = on_wake,
		.user = host,
	};

	memset(host, 0, sizeof(*host));
	host->world = world;
	host->patience = 2 * SR_SEC;
	host->client = fake_client_new(world->platform);
	options.store = fake_client_store(host->client);
	host->journal = sr_journal_new(&options);
	sr_journal_want(host->journal, world->now, 0, TRUE);
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

	sr_journal_run_ended(host->journal, host->world->now, host->last_run,
			     &result);
	host->last_run = 0;
	g_bytes_unref(result.result);
}

static void advance(host_t *host, sr_usec_t by)
{
	world_t *world = host->world;
	sr_usec_t end = world->now + by;

	while (world->now < end) {
		world->now += STEP;
		fake_platform_run(world->platform, world->now);
		sr_journal_tick(host->journal, world->now);
		if (host->last_run && !host->hold)
			end_run(host);
	}
}

static void post(host_t *host, guint64 ticket, const char *key,
		 const char *body, gboolean respond_async)
{
	sr_journal_posting_t posting = {
		.account = "branch-12",
		.key = key,
		.service = "payledger",
		.request = g_bytes_new(body, strlen(body)),
		.deadline = host->world->now + host->patience,
		.respond_async = respond_async,
		.ticket = GSIZE_TO_POINTER(ticket),
	};

	sr_journal_submit(host->journal, host->world->now, &posting);
	g_bytes_unref(posting.request);
}

static void world_init(world_t *world)
{
	world->platform = fake_platform_new(7);
	world->now = SR_SEC;
}

static void test_repeated_key_gets_the_stored_result(void **state)
{
	world_t world;
	host_t host;
	host_t next;

	world_init(&world);
	host_start(&host, &world, "a", 1);
	advance(&host, SR_SEC);
	post(&host, 1, "rev-1", "body", FALSE);
	advance(&host, SR_SEC);
	assert_int_equal(host.kind[1], SR_ANSWER_RESULT);
	post(&host, 2, "rev-1", "body", FALSE);
	assert_int_equal(host.status[2], 201);
	post(&host, 3, "rev-1", "another body", FALSE);
	assert_int_equal(host.kind[3], SR_ANSWER_NOT_RUN);
	assert_int_equal(host.err[3], SR_ERR_KEY_REUSED);
	host_stop(&host);

	host_start(&next, &world, "b", 2);
	advance(&next, 3 * SR_SEC);
	post(&next, 1, "rev-1", "body", FALSE);
	assert_int_equal(next.status[1], 201);
	assert_int_equal(next.runs, 0);
	host_stop(&next);
	fake_platform_free(world.platform);
}

static void test_dispatched_is_not_run_again(void **state)
{
	world_t world;
	host_t host;
	host_t next;

	world_init(&world);
	host_start(&host, &world, "a", 1);
	host.hold = TRUE;
	advance(&host, SR_SEC);
	post(&host, 1, "rev-1", "body", TRUE);
	advance(&host, SR_SEC);
	assert_int_equal(host.runs, 1);
	assert_int_equal(host.kind[1], SR_ANSWER_ACCEPTED);
	host_stop(&host);

	host_start(&next, &world, "b", 2);
	advance(&next, 3 * SR_SEC);
	post(&next, 1, "rev-1", "body", FALSE);
	assert_int_equal(next.kind[1], SR_ANSWER_UNKNOWN);
	assert_int_equal(next.runs, 0);
	host_stop(&next);
	fake_platform_free(world.platform);
}

static void test_key_is_kept_for_the_retention_time(void **state)
{
	world_t world;
	host_t host;

	world_init(&world);
	host_start(&host, &world, "a", 1);
	advance(&host, SR_SEC);
	post(&host, 1, "rev-1", "body", FALSE);
	advance(&host, RETENTION - SR_SEC);
	post(&host, 2, "rev-1", "body", FALSE);
	assert_int_equal(host.kind[2], SR_ANSWER_RESULT);
	assert_int_equal(host.runs, 1);
	advance(&host, 2 * SR_SEC);
	post(&host, 3, "rev-1", "body", FALSE);
	advance(&host, SR_SEC);
	assert_int_equal(host.runs, 2);
	host_stop(&host);
	fake_platform_free(world.platform);
}

/* Expired keys leave memory and platform; a later holder agrees with that. */
static void test_expired_keys_are_dropped(void **state)
{
	world_t world;
	host_t host;
	host_t next;
	sr_journal_stats_t stats;

	world_init(&world);
	host_start(&host, &world, "a", 1);
	advance(&host, SR_SEC);
	for (guint64 i = 0; i < 400; i++) {
		char *key = g_strdup_printf("rev-%u", (unsigned)(i % 90));

		post(&host, i, key, "body", FALSE);
		advance(&host, SR_SEC);
		assert_int_equal(host.kind[i], SR_ANSWER_RESULT);
		g_free(key);
	}
	sr_journal_stats(host.journal, &stats);
	assert_in_range(stats.entries, 59, 63);
	assert_in_range(fake_platform_n_objects(world.platform, "journal/"), 32,
			60);
	host_stop(&host);

	host_start(&next, &world, "b", 2);
	advance(&next, 4 * SR_SEC);
	sr_journal_stats(next.journal, &stats);
	assert_int_equal(stats.held, 1);
	assert_int_equal(stats.violations, 0);
	assert_in_range(stats.entries, 50, 63);
	host_stop(&next);
	fake_platform_free(world.platform);
}

static void test_living_holder_is_not_displaced(void **state)
{
	world_t world;
	host_t host;
	host_t rival;

	world_init(&world);
	host_start(&host, &world, "a", 1);
	advance(&host, SR_SEC);
	host_start(&rival, &world, "b", 2);
	for (int i = 0; i < 500; i++) {
		advance(&rival, STEP);
		sr_journal_tick(host.journal, world.now);
		assert_false(sr_journal_is_held(rival.journal, 0));
	}
	assert_true(sr_journal_is_held(host.journal, 0));
	host_stop(&host);
	advance(&rival, 2 * LEASE);
	assert_true(sr_journal_is_held(rival.journal, 0));
	host_stop(&rival);
	fake_platform_free(world.platform);
}

/*
 * The holder is cut off while its batch takes effect. Others run what it
 * accepted and use the slot again, so that it can't find out any more.
 */
static void test_lapped_holder_does_not_say_not_run(void **state)
{
	world_t world;
	host_t host;
	host_t next;

	world_init(&world);
	host_start(&host, &world, "a", 1);
	advance(&host, SR_SEC);
	host.patience = SR_MINUTE;
	post(&host, 1, "rev-1", "body", TRUE);
	fake_client_set_cut(host.client, TRUE);
	host_start(&next, &world, "b", 2);
	for (int i = 0; i < 3000; i++) {
		advance(&next, STEP);
		sr_journal_tick(host.journal, world.now);
	}
	assert_int_equal(next.runs, 1);
	assert_int_equal(host.answers, 0);
	fake_client_set_cut(host.client, FALSE);
	advance(&host, 5 * SR_SEC);
	assert_int_equal(host.kind[1], SR_ANSWER_UNKNOWN);
	host_stop(&host);
	host_stop(&next);
	fake_platform_free(world.platform);
}

static void test_released_shard_is_taken_at_once(void **state)
{
	world_t world;
	host_t host;
	host_t next;

	world_init(&world);
	host_start(&host, &world, "a", 1);
	advance(&host, SR_SEC);
	post(&host, 1, "rev-1", "body", TRUE);
	sr_journal_release(host.journal, world.now, world.now + 5 * SR_SEC);
	advance(&host, LEASE / 4);
	assert_true(sr_journal_is_released(host.journal));
	assert_int_equal(host.kind[1], SR_ANSWER_ACCEPTED);
	assert_int_equal(host.runs, 0);

	host_start(&next, &world, "b", 2);
	advance(&next, LEASE / 2);
	assert_true(sr_journal_is_held(next.journal, 0));
	assert_int_equal(next.runs, 1);
	host_stop(&host);
	host_stop(&next);
	fake_platform_free(world.platform);
}

static void test_outage_is_refused_at_once(void **state)
{
	world_t world;
	host_t host;

	world_init(&world);
	host_start(&host, &world, "a", 1);
	advance(&host, SR_SEC);
	fake_platform_faults(world.platform)->down = TRUE;
	advance(&host, 2 * LEASE);
	post(&host, 1, "rev-1", "body", FALSE);
	assert_int_equal(host.answers, 1);
	assert_int_equal(host.kind[1], SR_ANSWER_NOT_RUN);
	assert_int_equal(host.err[1], SR_ERR_PLATFORM);
	fake_platform_faults(world.platform)->down = FALSE;
	advance(&host, 5 * SR_SEC);
	post(&host, 2, "rev-1", "body", FALSE);
	advance(&host, SR_SEC);
	assert_int_equal(host.kind[2], SR_ANSWER_RESULT);
	assert_int_equal(host.runs, 1);
	host_stop(&host);
	fake_platform_free(world.platform);
}

static void test_full_shard_refuses_and_forgets_nothing(void **state)
{
	world_t world;
	host_t host;

	world_init(&world);
	host_start(&host, &world, "a", 1);
	host.hold = TRUE;
	advance(&host, SR_SEC);
	for (guint64 i = 0; i < 110; i++) {
		char *key = g_strdup_printf("rev-%u", (unsigned)i);

		post(&host, i, key, "body", TRUE);
		g_free(key);
	}
	advance(&host, SR_SEC);
	assert_int_equal(host.kind[99], SR_ANSWER_ACCEPTED);
	assert_int_equal(host.kind[100], SR_ANSWER_NOT_RUN);
	assert_int_equal(host.err[100], SR_ERR_OVERLOADED);
	post(&host, 200, "rev-0", "body", TRUE);
	assert_int_equal(host.kind[200], SR_ANSWER_ACCEPTED);
	host_stop(&host);
	fake_platform_free(world.platform);
}

static void test_large_requests_stay_under_the_value_limit(void **state)
{
	world_t world;
	host_t host;
	char *body = g_strnfill(SR_JOURNAL_BODY_MAX, 'x');

	world_init(&world);
	host_start(&host, &world, "a", 1);
	host.hold = TRUE;
	advance(&host, SR_SEC);
	for (guint64 i = 0; i < 20; i++) {
		char *key = g_strdup_printf("rev-%u", (unsigned)i);

		post(&host, i, key, body, TRUE);
		g_free(key);
	}
	advance(&host, 30 * SR_SEC);
	assert_int_equal(host.kind[19], SR_ANSWER_ACCEPTED);
	assert_in_range(fake_platform_counts(world.platform)->largest, 1,
			SR_STORE_VALUE_MAX);
	host_stop(&host);
	fake_platform_free(world.platform);
	g_free(body);
}

static GBytes *sample_batch(void)
{
	sr_batch_t *batch = sr_batch_new("a", 3, 99);
	sr_record_t *record = g_new0(sr_record_t, 1);
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

static void test_batch_survives_coding(void **state)
{
	GBytes *bytes = sample_batch();
	sr_batch_t *batch = NULL;
	const sr_record_t *record;

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

static void test_mangled_batch_is_refused(void **state)
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
		GBytes *mangled;

		copy[prove_random(&random) % MAX(size, 1)] ^=
			(guint8)(1 + prove_random(&random) % 255);
		mangled = g_bytes_new_take(copy, size);
		if (sr_batch_decode(mangled, &batch) == SR_OK)
			sr_batch_free(batch);
		else
			refused++;
		g_bytes_unref(mangled);
	}
	assert_true(refused > 0);
	g_bytes_unref(bytes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_repeated_key_gets_the_stored_result),
		cmocka_unit_test(test_dispatched_is_not_run_again),
		cmocka_unit_test(test_key_is_kept_for_the_retention_time),
		cmocka_unit_test(test_expired_keys_are_dropped),
		cmocka_unit_test(test_living_holder_is_not_displaced),
		cmocka_unit_test(test_lapped_holder_does_not_say_not_run),
		cmocka_unit_test(test_released_shard_is_taken_at_once),
		cmocka_unit_test(test_outage_is_refused_at_once),
		cmocka_unit_test(test_full_shard_refuses_and_forgets_nothing),
		cmocka_unit_test(
			test_large_requests_stay_under_the_value_limit),
		cmocka_unit_test(test_batch_survives_coding),
		cmocka_unit_test(test_mangled_batch_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
