#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/loop_watch.h"

static void count_call(void *user)
{
	++*(int *)user;
}

static void test_manual_clock_runs_timers_in_order(void **state)
{
	sr_clock_t *clock = sr_clock_new_manual(0);
	int early = 0;
	int late = 0;
	sr_timer_t *cancelled;

	sr_timer_start(clock, 2 * SR_SEC, count_call, &late);
	sr_timer_start(clock, SR_SEC, count_call, &early);
	cancelled = sr_timer_start(clock, SR_SEC, count_call, &late);
	sr_timer_cancel(cancelled);
	sr_clock_advance(clock, SR_SEC);
	assert_int_equal(early, 1);
	assert_int_equal(late, 0);
	sr_clock_advance(clock, SR_SEC);
	assert_int_equal(late, 1);
	assert_int_equal(sr_clock_now(clock), 2 * SR_SEC);
	sr_clock_free(clock);
}

static void test_every_error_has_a_remedy(void **state)
{
	for (int err = SR_ERR_CANCELLED; err <= SR_OK; err++) {
		assert_true(strlen(sr_err_name(err)) > 0);
		assert_true(strlen(sr_err_message(err)) > 0);
		assert_true(strlen(sr_err_remedy(err)) > 0);
		assert_true(sr_err_http_status(err) >= 200);
	}
}

static void test_log_quotes_and_limits(void **state)
{
	sr_clock_t *clock = sr_clock_new_manual(0);
	char *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);
	sr_log_options_t options = { .out = out, .clock = clock, .node = "n1" };
	sr_log_t *log = sr_log_new(&options);

	sr_log_event(log, SR_LOG_INFO, "one", "k", "a \"b\"\n", NULL);
	for (int i = 0; i < SR_LOG_BURST + 10; i++)
		sr_log_event(log, SR_LOG_INFO, "many", NULL);
	sr_clock_advance(clock, SR_SEC);
	sr_log_event(log, SR_LOG_INFO, "many", NULL);
	fclose(out);
	assert_non_null(strstr(text, "event=one k=\"a \\\"b\\\"\\x0a\"\n"));
	assert_non_null(strstr(text, "event=many suppressed=10\n"));
	sr_log_free(log);
	sr_clock_free(clock);
	free(text);
}

/** Longest turn of a loop in this test. */
#define LONG_TURN (3 * SR_LOOP_TURN_LONG)

static gboolean take_long(gpointer clock)
{
	sr_clock_advance(clock, LONG_TURN);
	return G_SOURCE_REMOVE;
}

/* Guards against a source that holds up all others unnoticed; the wait for
 * input is no part of a turn. */
static void test_long_turns_of_the_loop_are_logged(void **state)
{
	sr_clock_t *clock = sr_clock_new_manual(SR_SEC);
	sr_metrics_t *metrics = sr_metrics_new();
	char *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);
	sr_log_options_t options = { .out = out, .clock = clock, .node = "n1" };
	sr_log_t *log = sr_log_new(&options);
	sr_loop_watch_t *watch = sr_loop_watch_new(clock, log, metrics);
	sr_histogram_t *turns = sr_metrics_histogram(
		metrics, "sassafras_loop_turn_seconds", "", NULL);

	(void)state;
	g_main_context_iteration(NULL, FALSE);
	sr_clock_advance(clock, SR_SEC);
	g_idle_add(take_long, clock);
	g_main_context_iteration(NULL, FALSE);
	g_main_context_iteration(NULL, FALSE);
	fclose(out);
	assert_non_null(strstr(text, "event=loop-turn-long ms=150\n"));
	assert_true(sr_histogram_quantile(turns, 1) >=
		    (double)LONG_TURN / SR_SEC);
	sr_loop_watch_free(watch);
	sr_log_free(log);
	sr_metrics_free(metrics);
	sr_clock_free(clock);
	free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_manual_clock_runs_timers_in_order),
		cmocka_unit_test(test_every_error_has_a_remedy),
		cmocka_unit_test(test_log_quotes_and_limits),
		cmocka_unit_test(test_long_turns_of_the_loop_are_logged),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
