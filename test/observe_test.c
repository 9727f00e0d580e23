#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>
#include <json-c/json.h>

#include "base/metrics.h"
#include "base/problem.h"
#include "base/token.h"
#include "base/trace.h"

#define PARENT "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

static void test_metrics_text(void **state)
{
	sr_metrics_t *metrics = sr_metrics_new();
	GString *out = g_string_new(NULL);
	char *labels = sr_metrics_labels("who", "a\"b\n", "x", "y", NULL);

	sr_counter_add(sr_metrics_counter(metrics, "n_total", "n", labels), 2);
	sr_counter_add(sr_metrics_counter(metrics, "n_total", "n", labels), 1);
	sr_gauge_set(sr_metrics_gauge(metrics, "g", "g", NULL), 1.5);
	sr_metrics_write(metrics, out);
	assert_non_null(strstr(out->str, "# TYPE n_total counter\n"
					 "n_total{who=\"a\\\"b\\n\",x=\"y\"} "
					 "3\n"));
	assert_non_null(strstr(out->str, "\ng 1.5\n"));
	g_free(labels);
	g_string_free(out, TRUE);
	sr_metrics_free(metrics);
}

static void test_histogram_buckets_are_logarithmic(void **state)
{
	sr_metrics_t *metrics = sr_metrics_new();
	sr_histogram_t *seconds = sr_metrics_histogram(metrics, "s", "s", NULL);
	GString *out = g_string_new(NULL);

	assert_true(sr_histogram_quantile(seconds, 0.5) == 0);
	for (int i = 0; i < 99; i++)
		sr_histogram_observe(seconds, 0.25);
	sr_histogram_observe(seconds, 1e9);
	assert_true(sr_histogram_quantile(seconds, 0.5) == 0.25);
	assert_true(sr_histogram_quantile(seconds, 1) > 1e300);
	sr_histogram_observe(seconds, 0.25001);
	sr_histogram_observe(seconds, 0);
	sr_metrics_write(metrics, out);
	assert_non_null(strstr(out->str, "s_bucket{le=\"0.25\"} 100\n"));
	assert_non_null(strstr(out->str, "s_bucket{le=\"0.353553\"} 101\n"));
	assert_non_null(strstr(out->str, "s_bucket{le=\"+Inf\"} 102\n"));
	g_string_free(out, TRUE);
	sr_metrics_free(metrics);
}

static void test_number_of_series_is_bounded(void **state)
{
	sr_metrics_t *metrics = sr_metrics_new();
	GString *out = g_string_new(NULL);

	for (int i = 0; i < SR_METRICS_SERIES_MAX + 5; i++) {
		char labels[32];

		g_snprintf(labels, sizeof(labels), "i=\"%d\"", i);
		sr_counter_add(sr_metrics_counter(metrics, "c", "c", labels),
			       1);
	}
	sr_metrics_write(metrics, out);
	assert_non_null(strstr(out->str, "_dropped_series 5\n"));
	g_string_free(out, TRUE);
	sr_metrics_free(metrics);
}

static const char *get_string(json_object *line, const char *key)
{
	return json_object_get_string(json_object_object_get(line, key));
}

static void test_span_joins_the_callers_trace(void **state)
{
	sr_clock_t *clock = sr_clock_new_manual(5);
	char *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);
	sr_trace_options_t options = { .out = out, .clock = clock, .seed = 1 };
	sr_trace_t *trace = sr_trace_new(&options);
	sr_trace_context_t context;
	sr_trace_context_t child;
	char header[SR_TRACEPARENT_SIZE];
	sr_span_t *span;
	json_object *line;

	sr_trace_start(trace, PARENT, &context);
	span = sr_span_begin(trace, &context, "hop", SR_SPAN_CLIENT, &child);
	sr_trace_format(&child, header);
	assert_memory_equal(header, PARENT, 36);
	assert_string_equal(header + 52, "-01");
	sr_span_set(span, "code", "200");
	sr_clock_advance(clock, 2);
	sr_span_end(span, "too late");
	fclose(out);
	line = json_tokener_parse(text);
	assert_non_null(line);
	assert_string_equal(get_string(line, "parentSpanId"),
			    "b7ad6b7169203331");
	assert_string_equal(get_string(line, "startTimeUnixNano"), "5000");
	assert_string_equal(get_string(line, "endTimeUnixNano"), "7000");
	assert_memory_equal(get_string(line, "spanId"), header + 36, 16);
	json_object_put(line);
	sr_trace_free(trace);
	sr_clock_free(clock);
	free(text);
}

static void test_malformed_traceparent_starts_a_new_trace(void **state)
{
	static const char *const bad[] = {
		"",
		"00-",
		"01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
		"00-00000000000000000000000000000000-b7ad6b7169203331-01",
		"00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0x",
	};
	sr_clock_t *clock = sr_clock_new_manual(0);
	sr_trace_options_t options = { .clock = clock, .seed = 1 };
	sr_trace_t *trace = sr_trace_new(&options);

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		sr_trace_context_t context;

		sr_trace_start(trace, bad[i], &context);
		assert_false(context.has_parent);
		assert_false(context.sampled);
	}
	sr_trace_free(trace);
	sr_clock_free(clock);
}

static void test_problem_contains_kind_remedy_and_delay(void **state)
{
	sr_problem_t problem = { .err = SR_ERR_OVERLOADED,
				 .detail = "wait is 3 s",
				 .retry_after = SR_SEC + 1,
				 .request_id = "r1" };
	char *text = sr_problem_json(&problem);
	json_object *body = json_tokener_parse(text);

	assert_int_equal(sr_problem_retry_seconds(&problem), 2);
	assert_string_equal(get_string(body, "kind"), "overloaded");
	assert_string_equal(get_string(body, "executed"), "not-run");
	assert_string_equal(get_string(body, "remedy"),
			    "retry after the given delay");
	assert_string_equal(get_string(body, "retry_after_s"), "2");
	assert_string_equal(get_string(body, "status"), "503");
	json_object_put(body);
	g_free(text);
}

static void test_bearer_token(void **state)
{
	char *hash = sr_token_hash("abc");

	assert_string_equal(sr_token_from_header("bearer abc"), "abc");
	assert_null(sr_token_from_header(NULL));
	assert_null(sr_token_from_header("Bearer "));
	assert_null(sr_token_from_header("Basic abc"));
	assert_string_equal(hash, "ba7816bf8f01cfea414140de5dae2223"
				  "b00361a396177a9cb410ff61f20015ad");
	g_free(hash);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_metrics_text),
		cmocka_unit_test(test_histogram_buckets_are_logarithmic),
		cmocka_unit_test(test_number_of_series_is_bounded),
		cmocka_unit_test(test_span_joins_the_callers_trace),
		cmocka_unit_test(test_malformed_traceparent_starts_a_new_trace),
		cmocka_unit_test(test_problem_contains_kind_remedy_and_delay),
		cmocka_unit_test(test_bearer_token),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
