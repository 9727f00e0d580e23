#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/change_log.h"
#include "core/watch_role.h"

#define AGE_MAX (2 * SR_SEC)

static sr_watch_role_t role_of(unsigned rank, unsigned hosts, sr_usec_t age,
			       double jitter)
{
	const sr_watch_role_input_t input = {
		.rank = rank,
		.domain_hosts = hosts,
		.age = age,
		.age_max = AGE_MAX,
		.jitter = jitter,
	};

	return sr_watch_role(&input);
}

/* On a quiet day one host of a large domain watches, and in a small one all. */
static void test_one_host_of_a_domain_watches(void **state)
{
	(void)state;
	assert_int_equal(role_of(0, 33, 0, 0), SR_WATCH_ROLE_WATCH);
	for (unsigned rank = 1; rank < 33; rank++)
		assert_int_equal(role_of(rank, 33, SR_SEC, 0.5),
				 SR_WATCH_ROLE_FOLLOW);
	for (unsigned rank = 0; rank < 3; rank++)
		assert_int_equal(role_of(rank, 3, 0, 0.5), SR_WATCH_ROLE_WATCH);
}

/* The watcher dies or is cut from the store: the successor takes over before
 * the others, which all know the state again soon after. */
static void test_successor_watches_first(void **state)
{
	(void)state;
	assert_int_equal(role_of(1, 33, AGE_MAX + 1, 0), SR_WATCH_ROLE_WATCH);
	assert_int_equal(role_of(2, 33, AGE_MAX + 1, 0), SR_WATCH_ROLE_FOLLOW);
	assert_int_equal(role_of(2, 33, AGE_MAX * 3 / 2, 1),
			 SR_WATCH_ROLE_ALONE);
	assert_int_equal(role_of(2, 33, G_MAXINT64, 1), SR_WATCH_ROLE_ALONE);
}

/* All hosts lose the watchers at once: they don't ask the store at once. */
static void test_hosts_spread_when_they_lose_the_watchers(void **state)
{
	unsigned n = 0;

	(void)state;
	for (unsigned i = 0; i < 31; i++)
		n += role_of(2 + i, 33, AGE_MAX * 13 / 10, i / 31.0) ==
		     SR_WATCH_ROLE_ALONE;
	assert_true(n > 8 && n < 24);
}

static char *since(const sr_change_log_t *log, guint64 revision)
{
	GBytes *bytes = sr_change_log_since(log, revision);
	gsize size;
	const char *data;
	char *text;

	if (!bytes)
		return NULL;
	data = g_bytes_get_data(bytes, &size);
	text = g_strndup(data ? data : "", size);
	g_bytes_unref(bytes);
	return text;
}

static void assert_since(const sr_change_log_t *log, guint64 revision,
			 const char *expected)
{
	char *text = since(log, revision);

	assert_non_null(text);
	assert_string_equal(text, expected);
	g_free(text);
}

static void test_log_returns_what_follows_a_revision(void **state)
{
	sr_change_log_t *log = sr_change_log_new(1000);

	(void)state;
	sr_change_log_clear(log, 10);
	assert_since(log, 10, "");
	sr_change_log_append(log, 10, 12, "a");
	sr_change_log_append(log, 12, 15, "b");
	assert_since(log, 10, "a\nb\n");
	assert_since(log, 11, "a\nb\n"); /* applying it again does no harm */
	assert_since(log, 12, "b\n");
	assert_since(log, 15, "");
	assert_null(since(log, 9));
	assert_null(since(log, 16));
	sr_change_log_free(log);
}

/* A gap means that changes are not known; a reader must not take the log for
 * complete. */
static void test_log_is_cleared_by_a_gap(void **state)
{
	sr_change_log_t *log = sr_change_log_new(1000);

	(void)state;
	sr_change_log_clear(log, 10);
	sr_change_log_append(log, 10, 12, "a");
	sr_change_log_append(log, 14, 15, "b");
	assert_null(since(log, 12));
	assert_since(log, 14, "b\n");
	sr_change_log_free(log);
}

static void test_log_drops_the_oldest(void **state)
{
	sr_change_log_t *log = sr_change_log_new(10);

	(void)state;
	sr_change_log_clear(log, 0);
	for (guint64 i = 0; i < 5; i++)
		sr_change_log_append(log, i, i + 1, "1234");
	assert_null(since(log, 2));
	assert_since(log, 3, "1234\n1234\n");
	sr_change_log_free(log);
}

/* Guards against all followers that poll the store at once, when the watcher
 * answers late as it reads a large change; and against one that never does. */
static void test_follower_asks_once_more_before_it_polls(void **state)
{
	sr_watch_fetches_t fetches = { 0 };

	(void)state;
	assert_false(sr_watch_fetches_ended(&fetches, FALSE));
	assert_false(sr_watch_fetches_ended(&fetches, TRUE));
	assert_false(sr_watch_fetches_ended(&fetches, FALSE));
	assert_true(sr_watch_fetches_ended(&fetches, FALSE));
	assert_false(sr_watch_fetches_ended(&fetches, FALSE));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_host_of_a_domain_watches),
		cmocka_unit_test(test_successor_watches_first),
		cmocka_unit_test(test_hosts_spread_when_they_lose_the_watchers),
		cmocka_unit_test(test_follower_asks_once_more_before_it_polls),
		cmocka_unit_test(test_log_returns_what_follows_a_revision),
		cmocka_unit_test(test_log_is_cleared_by_a_gap),
		cmocka_unit_test(test_log_drops_the_oldest),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
