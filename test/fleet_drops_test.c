#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "fleet/fleet_internal.h"

static sr_route_table_t *decode_nothing(GBytes *text)
{
	(void)text;
	return NULL;
}

static void on_behind(void *user)
{
	(void)user;
}

static gboolean on_timeout(gpointer data)
{
	*(gboolean *)data = TRUE;
	return G_SOURCE_REMOVE;
}

static void run_for(unsigned ms)
{
	gboolean timed_out = FALSE;

	g_timeout_add(ms, on_timeout, &timed_out);
	while (!timed_out)
		g_main_context_iteration(NULL, TRUE);
}

/* Guards against control messages that are left out at a size limit without a
 * counter or a line of the log. */
static void test_large_rumour_is_counted_and_logged(void **state)
{
	char text[SR_RUMOUR_VALUE_MAX + 2];
	char line[4096] = "";
	GPtrArray *seeds = g_ptr_array_new();
	sr_gateway_options_t gateway = { .node = "n", .failure_domain = "d" };
	sr_fleet_options_t options = {
		.node = "n",
		.failure_domain = "d",
		.peer_address = "127.0.0.1:0",
		.seeds = seeds,
		.cluster = "c",
		.secret = (const guint8 *)"0123456789abcdef",
		.secret_size = 16,
		.decode = decode_nothing,
		.behind = on_behind,
		.seed = 1,
	};
	sr_log_options_t log = { .out = tmpfile(), .level = SR_LOG_INFO };
	char *problem = NULL;
	GString *page = g_string_new(NULL);
	sr_fleet_t *fleet;

	(void)state;
	memset(text, 'x', sizeof(text));
	text[sizeof(text) - 1] = '\0';
	gateway.clock = options.clock = log.clock = sr_clock_new_real();
	gateway.metrics = options.metrics = sr_metrics_new();
	options.log = sr_log_new(&log);
	options.gateway = sr_gateway_new(&gateway);
	fleet = sr_fleet_new(&options, &problem);
	assert_non_null(fleet);
	sr_fleet_publish(fleet, SR_RUMOUR_HOST_STATE, "i", 1, text, 0);
	run_for(1300);
	sr_metrics_write(options.metrics, page);
	assert_non_null(strstr(page->str, "sassafras_fleet_dropped_total{kind="
					  "\"rumour\"} 1\n"));
	rewind(log.out);
	assert_true(fread(line, 1, sizeof(line) - 1, log.out) > 0);
	assert_non_null(strstr(line, "event=control-dropped kind=rumour "
				     "number=1"));
	sr_fleet_free(fleet);
	sr_gateway_free(options.gateway);
	sr_log_free(options.log);
	sr_metrics_free(options.metrics);
	sr_clock_free(options.clock);
	fclose(log.out);
	g_string_free(page, TRUE);
	g_ptr_array_unref(seeds);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_large_rumour_is_counted_and_logged),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
