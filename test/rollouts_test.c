#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "fleet/rollouts.h"

/* The orders of roll-outs at one entry host, whose gateway has no requests. */

typedef struct {
	sr_clock_t *clock;
	sr_metrics_t *metrics;
	sr_gateway_t *gateway; /* doesn't listen */
	sr_rollouts_t *rollouts;
	sr_load_sum_t *load;
	GString *published; /* "KEY@VERSION " */
	GString *written;   /* "SERVICE:STATUS@REVISION " */
} fixture_t;

static unsigned count_hosts(void *user)
{
	(void)user;
	return 1;
}

static const sr_load_sum_t *load_total(void *user, gboolean *is_known)
{
	*is_known = TRUE;
	return ((fixture_t *)user)->load;
}

static void publish(void *user, const char *key, guint64 version,
		    const char *value)
{
	(void)value;
	g_string_append_printf(((fixture_t *)user)->published, "%s@%u ", key,
			       (unsigned)version);
}

static void write_status(void *user, const sr_rollout_order_t *order)
{
	g_string_append_printf(((fixture_t *)user)->written, "%s:%d@%u ",
			       order->service, (int)order->status,
			       (unsigned)order->revision);
}

static fixture_t *fixture_new(void)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	sr_rollouts_options_t options = {
		.node = "n",
		.exposure = { 0.1, 50 },
		.seed = 1,
		.host_count = count_hosts,
		.load_total = load_total,
		.publish = publish,
		.write_status = write_status,
		.user = fixture,
	};
	sr_gateway_options_t gateway = { .node = "n", .failure_domain = "d" };

	gateway.clock = fixture->clock = sr_clock_new_real();
	gateway.metrics = fixture->metrics = sr_metrics_new();
	fixture->gateway = sr_gateway_new(&gateway);
	fixture->load = sr_load_sum_new();
	fixture->published = g_string_new(NULL);
	fixture->written = g_string_new(NULL);
	options.clock = fixture->clock;
	options.gateway = fixture->gateway;
	fixture->rollouts = sr_rollouts_new(&options);
	return fixture;
}

static void fixture_free(fixture_t *fixture)
{
	sr_rollouts_free(fixture->rollouts);
	sr_load_sum_free(fixture->load);
	g_string_free(fixture->published, TRUE);
	g_string_free(fixture->written, TRUE);
	sr_gateway_free(fixture->gateway);
	sr_metrics_free(fixture->metrics);
	sr_clock_free(fixture->clock);
	g_free(fixture);
}

static void set_order(fixture_t *fixture, const char *target,
		      sr_rollout_status_t status, guint64 revision)
{
	const sr_rollout_order_t order = {
		.service = "s",
		.target = target,
		.duration = 15 * SR_SEC,
		.status = status,
		.revision = revision,
	};

	sr_rollouts_set_order(fixture->rollouts, &order);
}

static void receive(fixture_t *fixture, const char *key, guint64 version,
		    const char *value)
{
	sr_rollouts_receive(fixture->rollouts, key, version,
			    (const guint8 *)value, strlen(value));
}

static char *saved(const fixture_t *fixture)
{
	GString *text = g_string_new(NULL);

	sr_rollouts_save(fixture->rollouts, text);
	return g_string_free(text, FALSE);
}

static void assert_saved(const fixture_t *fixture, const char *prefix)
{
	char *text = saved(fixture);

	assert_true(g_str_has_prefix(text, prefix));
	g_free(text);
}

static void test_order_is_begun_and_published(void **state)
{
	fixture_t *fixture = fixture_new();

	(void)state;
	set_order(fixture, "v2", SR_ROLLOUT_STATUS_NONE, 5);
	assert_string_equal(fixture->published->str, "s/v2@1 ");
	sr_rollouts_perform(fixture->rollouts);
	sr_rollouts_perform(fixture->rollouts);
	assert_string_equal(fixture->written->str, "s:1@5 ");
	set_order(fixture, "v2", SR_ROLLOUT_STATUS_IN_PROGRESS, 6);
	sr_rollouts_perform(fixture->rollouts);
	assert_string_equal(fixture->written->str, "s:1@5 ");
	fixture_free(fixture);
}

/* A store restored from a copy may show a status that the order has passed. */
static void test_end_of_an_order_is_not_taken_back(void **state)
{
	fixture_t *fixture = fixture_new();

	(void)state;
	set_order(fixture, "v2", SR_ROLLOUT_STATUS_NONE, 5);
	receive(fixture, "s/v2", 3, "1 15000 5");
	set_order(fixture, "v2", SR_ROLLOUT_STATUS_IN_PROGRESS, 6);
	assert_saved(fixture, "rollout s v2 2 ");
	sr_rollouts_perform(fixture->rollouts);
	assert_string_equal(fixture->written->str, "s:3@6 ");
	fixture_free(fixture);
}

/* The platform has stopped the old instances: a roll-back by a host that didn't
 * know would leave none. */
static void test_stored_completion_is_final(void **state)
{
	fixture_t *fixture = fixture_new();

	(void)state;
	set_order(fixture, "v2", SR_ROLLOUT_STATUS_NONE, 5);
	receive(fixture, "s/v2", 3, "1 15000 5");
	set_order(fixture, "v2", SR_ROLLOUT_STATUS_COMPLETED, 6);
	assert_saved(fixture, "rollout s v2 1 ");
	receive(fixture, "s/v2", 3, "1 15000 5");
	assert_saved(fixture, "rollout s v2 1 ");
	fixture_free(fixture);
}

static void test_later_order_replaces_the_one_before(void **state)
{
	fixture_t *fixture = fixture_new();

	(void)state;
	set_order(fixture, "v2", SR_ROLLOUT_STATUS_ROLLED_BACK, 5);
	set_order(fixture, "v3", SR_ROLLOUT_STATUS_NONE, 7);
	receive(fixture, "s/v2", 3, "1 15000 5"); /* late */
	assert_saved(fixture, "rollout s v3 0 ");
	receive(fixture, "s/v4", 1, "1 15000 9"); /* from a peer first */
	assert_saved(fixture, "rollout s v4 0 ");
	fixture_free(fixture);
}

/* Guards against writing the status of an object that is gone, again and again.
 */
static void test_removed_order_is_rolled_back(void **state)
{
	fixture_t *fixture = fixture_new();

	(void)state;
	set_order(fixture, "v2", SR_ROLLOUT_STATUS_IN_PROGRESS, 5);
	sr_rollouts_remove_order(fixture->rollouts, "s");
	assert_saved(fixture, "rollout s v2 2 ");
	sr_rollouts_perform(fixture->rollouts);
	assert_string_equal(fixture->written->str, "");
	fixture_free(fixture);
}

static void test_malformed_rumours_are_ignored(void **state)
{
	fixture_t *fixture = fixture_new();
	char *text;

	(void)state;
	receive(fixture, "s", 1, "1 15000 5");
	receive(fixture, "s/v2", 0, "1 15000 5");
	receive(fixture, "s/v2", 4, "1 15000 5");
	receive(fixture, "s/v2", 1, "1 15000");
	text = saved(fixture);
	assert_string_equal(text, "");
	assert_string_equal(fixture->published->str, "");
	g_free(text);
	fixture_free(fixture);
}

/* Guards against a good version that is completed late: after all hosts were
 * killed they took the order for a new one. */
static void test_start_of_an_order_outlives_all_hosts(void **state)
{
	fixture_t *before = fixture_new();
	fixture_t *after = fixture_new();
	char *start;
	char *again;
	char **words;

	(void)state;
	set_order(before, "v2", SR_ROLLOUT_STATUS_NONE, 5);
	start = saved(before);
	fixture_free(before);
	g_usleep(20 * G_USEC_PER_SEC / 1000);
	set_order(after, "v2", SR_ROLLOUT_STATUS_IN_PROGRESS, 5);
	words = g_strsplit(g_strchomp(start), " ", -1);
	sr_rollouts_restore(after->rollouts, words);
	again = saved(after);
	assert_string_equal(g_strchomp(again), start);
	g_strfreev(words);
	g_free(again);
	g_free(start);
	fixture_free(after);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_order_is_begun_and_published),
		cmocka_unit_test(test_end_of_an_order_is_not_taken_back),
		cmocka_unit_test(test_stored_completion_is_final),
		cmocka_unit_test(test_later_order_replaces_the_one_before),
		cmocka_unit_test(test_removed_order_is_rolled_back),
		cmocka_unit_test(test_malformed_rumours_are_ignored),
		cmocka_unit_test(test_start_of_an_order_outlives_all_hosts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
