#include "load_report.h"

#include <stdio.h>
#include <string.h>

/* Error texts printed in a run. */
#define MAX_PRINTED_DETAILS 5

struct sr_emu_load_report {
	GPtrArray *series; /* sr_emu_load_series_t, in plan order */
	sr_usec_t start;
	guint n_details; /* error texts printed so far */
};

static void free_series(gpointer data)
{
	sr_emu_load_series_t *series = data;

	g_hash_table_unref(series->problem_kinds);
	g_ptr_array_unref(series->per_second);
	g_free(series);
}

sr_emu_load_report_t *sr_emu_load_report_new(const sr_emu_load_plan_t *plan,
					     sr_usec_t start)
{
	sr_emu_load_report_t *report = g_new0(sr_emu_load_report_t, 1);

	report->start = start;
	report->series = g_ptr_array_new_with_free_func(free_series);
	for (guint i = 0; i < plan->callers->len; i++) {
		sr_emu_load_series_t *series = g_new0(sr_emu_load_series_t, 1);

		series->caller = plan->callers->pdata[i];
		series->problem_kinds = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
		series->per_second = g_ptr_array_new_with_free_func(g_free);
		g_ptr_array_add(report->series, series);
	}
	return report;
}

void sr_emu_load_report_free(sr_emu_load_report_t *report)
{
	if (!report)
		return;
	g_ptr_array_unref(report->series);
	g_free(report);
}

static sr_emu_load_series_t *find_series(sr_emu_load_report_t *report,
					 const sr_emu_load_caller_t *caller)
{
	for (guint i = 0; i < report->series->len; i++) {
		sr_emu_load_series_t *series = report->series->pdata[i];

		if (series->caller == caller)
			return series;
	}
	g_assert_not_reached();
}

void sr_emu_load_report_add_tokens(sr_emu_load_report_t *report,
				   const sr_emu_load_caller_t *caller, guint n,
				   sr_usec_t since_due, sr_usec_t gap)
{
	sr_emu_load_series_t *series = find_series(report, caller);

	series->tokens += n;
	if (gap == 0)
		sr_emu_histogram_add(&series->first_token, since_due);
	else
		sr_emu_histogram_add(&series->token_gap, gap);
}

static void add_to_second(sr_emu_load_series_t *series, sr_usec_t since_start,
			  sr_usec_t value)
{
	guint second = (guint)(MAX(since_start, 0) / SR_SEC);

	while (series->per_second->len <= second)
		g_ptr_array_add(series->per_second,
				g_new0(sr_emu_histogram_t, 1));
	sr_emu_histogram_add(series->per_second->pdata[second], value);
}

static void count_problem_kind(sr_emu_load_series_t *series, const char *kind)
{
	guint count = GPOINTER_TO_UINT(
		g_hash_table_lookup(series->problem_kinds, kind));

	g_hash_table_replace(series->problem_kinds, g_strdup(kind),
			     GUINT_TO_POINTER(count + 1));
}

void sr_emu_load_report_add_call(sr_emu_load_report_t *report,
				 const sr_emu_call_result_t *call)
{
	sr_emu_load_series_t *series = find_series(report, call->caller);

	series->outcomes[call->outcome]++;
	if (call->problem_kind)
		count_problem_kind(series, call->problem_kind);
	if (call->outcome == SR_EMU_OUTCOME_WHOLE) {
		sr_emu_histogram_add(&series->total, call->total);
		add_to_second(series, call->due - report->start, call->total);
	} else if (call->detail && report->n_details < MAX_PRINTED_DETAILS) {
		report->n_details++;
		fprintf(stderr, "%s %s: %.200s\n", call->caller->name,
			sr_emu_outcome_name(call->outcome), call->detail);
	}
}

void sr_emu_load_report_add_unsent(sr_emu_load_report_t *report,
				   const sr_emu_load_caller_t *caller)
{
	find_series(report, caller)->unsent++;
}

static double to_ms(sr_usec_t value)
{
	return (double)value / SR_MSEC;
}

static void print_latency(const char *name, const char *what,
			  const sr_emu_histogram_t *histogram)
{
	static const struct {
		const char *name;
		double q;
	} quantiles[] = { { "p50", 0.5 }, { "p95", 0.95 }, { "p99", 0.99 } };

	if (histogram->count == 0)
		return;
	for (guint i = 0; i < G_N_ELEMENTS(quantiles); i++)
		printf("load.%s.%s_ms.%s: %.2f\n", name, what,
		       quantiles[i].name,
		       to_ms(sr_emu_histogram_quantile(histogram,
						       quantiles[i].q)));
	printf("load.%s.%s_ms.max: %.2f\n", name, what, to_ms(histogram->max));
}

static int compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

static void print_problem_kinds(const char *name, GHashTable *problem_kinds)
{
	GList *names = g_list_sort(g_hash_table_get_keys(problem_kinds),
				   compare_names);

	for (const GList *node = names; node; node = node->next)
		printf("load.%s.kind.%s: %u\n", name, (const char *)node->data,
		       GPOINTER_TO_UINT(
			       g_hash_table_lookup(problem_kinds, node->data)));
	g_list_free(names);
}

static void print_series(const sr_emu_load_series_t *series, sr_usec_t elapsed)
{
	const char *name = series->caller->name;
	double seconds = (double)MAX(elapsed, 1) / SR_SEC;

	for (int i = 0; i < SR_EMU_N_OUTCOMES; i++)
		printf("load.%s.%s: %" G_GUINT64_FORMAT "\n", name,
		       sr_emu_outcome_name((sr_emu_outcome_t)i),
		       series->outcomes[i]);
	printf("load.%s.unsent: %" G_GUINT64_FORMAT "\n", name, series->unsent);
	print_problem_kinds(name, series->problem_kinds);
	printf("load.%s.whole_per_s: %.1f\n", name,
	       (double)series->outcomes[SR_EMU_OUTCOME_WHOLE] / seconds);
	if (series->caller->kind == SR_EMU_CALL_STREAM)
		printf("load.%s.tokens_per_s: %.1f\n", name,
		       (double)series->tokens / seconds);
	print_latency(name, "first_token", &series->first_token);
	print_latency(name, "token_gap", &series->token_gap);
	print_latency(name, "total", &series->total);
}

void sr_emu_load_report_print(const sr_emu_load_report_t *report,
			      sr_usec_t elapsed)
{
	printf("load.elapsed_s: %.2f\n", (double)elapsed / SR_SEC);
	for (guint i = 0; i < report->series->len; i++)
		print_series(report->series->pdata[i], elapsed);
}

gboolean sr_emu_load_report_is_correct(const sr_emu_load_report_t *report)
{
	for (guint i = 0; i < report->series->len; i++) {
		const sr_emu_load_series_t *series = report->series->pdata[i];

		if (series->outcomes[SR_EMU_OUTCOME_WRONG] > 0 ||
		    series->outcomes[SR_EMU_OUTCOME_BROKEN] > 0)
			return FALSE;
	}
	return TRUE;
}

const GPtrArray *sr_emu_load_report_series(const sr_emu_load_report_t *report)
{
	return report->series;
}
