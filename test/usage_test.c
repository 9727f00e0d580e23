#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "core/usage_reports.h"

/* Tests the counts of started requests per window of wall-clock time, and the
 * reports of these counts. Times are in Unix milliseconds; window 20 lasts from
 * 100000 to 105000. */

#define WINDOW (5 * SR_SEC)

static sr_usage_reports_t *new_reports(void)
{
	const sr_usage_reports_options_t options = {
		.window = WINDOW,
		.settle = 3 * SR_SEC,
		.due = 10 * SR_SEC,
		.takeover_wait = 3 * SR_SEC,
		.due_margin = 2 * SR_SEC,
	};

	return sr_usage_reports_new(&options);
}

static void load(sr_usage_reports_t *reports, GBytes *payload,
		 sr_usage_windows_t *usage, gint64 receiving_since_ms,
		 guint64 reported_before, guint64 lost_before)
{
	const sr_usage_reports_source_t source = {
		.payload = payload,
		.receiving_since_ms = receiving_since_ms,
		.reported_before = reported_before,
		.lost_before = lost_before,
	};

	sr_usage_reports_load(reports, &source, usage);
}

static guint64 count_of(const sr_usage_report_t *report, const char *account)
{
	const guint64 *count = g_hash_table_lookup(report->counts, account);

	return count ? *count : 0;
}

static void test_window_is_reported_after_write(void **state)
{
	sr_usage_windows_t *usage = sr_usage_windows_new("a", WINDOW);
	sr_usage_reports_t *reports = new_reports();
	sr_usage_report_t report;
	GBytes *payload;

	(void)state;
	sr_usage_windows_count(usage, 101000, "x");
	sr_usage_windows_receive(usage, "b", 20, "x=4\n", 4);
	payload = sr_usage_reports_close(reports, usage, 101500);
	g_clear_pointer(&payload, g_bytes_unref);
	sr_usage_reports_written(reports, TRUE);
	while (sr_usage_reports_next(reports, &report))
		assert_true(report.window < 20);
	payload = sr_usage_reports_close(reports, usage, 108100);
	assert_non_null(payload);
	assert_false(sr_usage_reports_next(reports, &report));
	sr_usage_reports_written(reports, TRUE);
	assert_true(sr_usage_reports_next(reports, &report));
	assert_int_equal(report.window, 19);
	assert_true(sr_usage_reports_next(reports, &report));
	assert_int_equal(report.window, 20);
	assert_int_equal(count_of(&report, "x"), 5);
	sr_usage_reports_sent(reports, 20, FALSE);
	assert_true(sr_usage_reports_next(reports, &report));
	sr_usage_reports_sent(reports, 20, TRUE);
	assert_false(sr_usage_reports_next(reports, &report));
	g_bytes_unref(payload);
	sr_usage_reports_free(reports);
	sr_usage_windows_free(usage);
}

/* The holder of the lease crashes after its write, and the next one has other
 * counts of the window. It must send those of the payload, since the report may
 * have been sent. The name of an account may contain a space. */
static void test_next_holder_sends_same_report(void **state)
{
	sr_usage_windows_t *usage = sr_usage_windows_new("a", WINDOW);
	sr_usage_windows_t *other = sr_usage_windows_new("b", WINDOW);
	sr_usage_reports_t *first = new_reports();
	sr_usage_reports_t *second = new_reports();
	sr_usage_report_t report;
	guint64 found = 0;
	guint64 spaced = 0;
	GBytes *payload;

	(void)state;
	sr_usage_windows_count(usage, 101000, "x y"); /* a name with a space */
	sr_usage_windows_count(usage, 101000, "x");
	sr_usage_windows_count(usage, 101000, "x");
	sr_usage_windows_count(other, 101000, "x");
	payload = sr_usage_reports_close(first, usage, 108100);
	load(second, payload, other, 105000, 0, 0);
	while (sr_usage_reports_next(second, &report)) {
		if (report.window != 20)
			continue;
		found = count_of(&report, "x");
		spaced = count_of(&report, "x y");
	}
	assert_int_equal(found, 2);
	assert_int_equal(spaced, 1);
	g_bytes_unref(payload);
	/* the next holder does not close the windows of the payload again */
	payload = sr_usage_reports_close(second, other, 109000);
	assert_null(payload);
	sr_usage_reports_free(first);
	sr_usage_reports_free(second);
	sr_usage_windows_free(usage);
	sr_usage_windows_free(other);
}

static void test_failed_write_reports_nothing(void **state)
{
	sr_usage_windows_t *usage = sr_usage_windows_new("a", WINDOW);
	sr_usage_reports_t *reports = new_reports();
	sr_usage_report_t report;
	GBytes *payload;

	(void)state;
	payload = sr_usage_reports_close(reports, usage, 108100);
	g_bytes_unref(payload);
	sr_usage_reports_written(reports, FALSE);
	assert_false(sr_usage_reports_next(reports, &report));
	payload = sr_usage_reports_close(reports, usage, 108100);
	assert_non_null(payload);
	g_bytes_unref(payload);
	sr_usage_reports_free(reports);
	sr_usage_windows_free(usage);
}

static void test_older_counts_are_ignored(void **state)
{
	sr_usage_windows_t *usage = sr_usage_windows_new("a", WINDOW);
	GHashTable *total;

	(void)state;
	sr_usage_windows_receive(usage, "b", 20, "x=4\ny=1\n", 8);
	sr_usage_windows_receive(usage, "b", 20, "x=2\n", 4);
	sr_usage_windows_receive(usage, "b", 20, "junk", 4);
	total = sr_usage_windows_total(usage, 20);
	assert_int_equal(*(guint64 *)g_hash_table_lookup(total, "x"), 4);
	g_hash_table_unref(total);
	sr_usage_windows_free(usage);
}

static guint64 total_of(const sr_usage_windows_t *usage, guint64 window,
			const char *account)
{
	GHashTable *total = sr_usage_windows_total(usage, window);
	const guint64 *count = g_hash_table_lookup(total, account);
	guint64 n = count ? *count : 0;

	g_hash_table_unref(total);
	return n;
}

/* All hosts are killed at once in the middle of a window. Only the payload is
 * left of its counts, and the next holder counts under a new incarnation. */
static void test_open_windows_survive_all_hosts(void **state)
{
	sr_usage_windows_t *before = sr_usage_windows_new("a/1", WINDOW);
	sr_usage_windows_t *after = sr_usage_windows_new("a/2", WINDOW);
	sr_usage_reports_t *first = new_reports();
	sr_usage_reports_t *second = new_reports();
	GBytes *payload;

	(void)state;
	for (int i = 0; i < 10; i++)
		sr_usage_windows_count(before, 101000, "x y");
	sr_usage_windows_receive(before, "b/1", 20, "x y=7\n", 6);
	payload = sr_usage_reports_save(first, before, 102000);
	assert_non_null(payload);
	assert_null(sr_usage_reports_save(first, before, 102100));
	sr_usage_windows_count(after, 104000, "x y");
	sr_usage_windows_receive(after, "b/2", 20, "x y=2\n", 6);
	load(second, payload, after, 104500, 0, 0);
	assert_int_equal(total_of(after, 20, "x y"), 20);
	/* counts of b/1 that arrive late replace those that were restored */
	sr_usage_windows_receive(after, "b/1", 20, "x y=9\n", 6);
	assert_int_equal(total_of(after, 20, "x y"), 22);
	g_bytes_unref(payload);
	sr_usage_reports_free(first);
	sr_usage_reports_free(second);
	sr_usage_windows_free(before);
	sr_usage_windows_free(after);
}

/* The store was down, and the next holder has not received counts until now. It
 * must not close a window without them, unless the report is nearly due. */
static void test_next_holder_waits_for_counts(void **state)
{
	sr_usage_windows_t *usage = sr_usage_windows_new("a", WINDOW);
	sr_usage_reports_t *reports = new_reports();
	sr_usage_report_t report;
	GBytes *payload;

	(void)state;
	load(reports, NULL, usage, 112000, 0, 0);
	/* windows up to 19 ended by 100 s and are nearly due, later ones are
	 * not */
	payload = sr_usage_reports_close(reports, usage, 112100);
	assert_non_null(payload);
	g_bytes_unref(payload);
	sr_usage_reports_written(reports, TRUE);
	while (sr_usage_reports_next(reports, &report))
		assert_true(report.window <= 19);
	sr_usage_windows_receive(usage, "b", 20, "x=4\n", 4);
	payload = sr_usage_reports_close(reports, usage, 115100);
	assert_non_null(payload);
	g_bytes_unref(payload);
	sr_usage_reports_written(reports, TRUE);
	assert_true(sr_usage_reports_next(reports, &report));
	assert_int_equal(report.window, 20);
	assert_int_equal(count_of(&report, "x"), 4);
	sr_usage_reports_free(reports);
	sr_usage_windows_free(usage);
}

typedef struct {
	sr_usage_windows_t *reporter;
	guint64 window;
} cohort_context_t;

static void report_cohort(void *user, gint64 start_s, const char *text)
{
	const cohort_context_t *context = user;
	char *source = g_strdup_printf("domain/%" G_GINT64_FORMAT, start_s);

	sr_usage_windows_receive(context->reporter, source, context->window,
				 text, strlen(text));
	g_free(source);
}

static void send_domain(const sr_usage_windows_t *collector,
			sr_usage_windows_t *reporter)
{
	cohort_context_t context = { reporter, 20 };

	sr_usage_windows_foreach_cohort(collector, 20, report_cohort, &context);
}

/* Two collectors of a domain send sums of the same hosts. */
static void test_two_collectors_count_once(void **state)
{
	sr_usage_windows_t *a = sr_usage_windows_new("a@50000", WINDOW);
	sr_usage_windows_t *b = sr_usage_windows_new("b@50000", WINDOW);
	sr_usage_windows_t *reporter = sr_usage_windows_new("", WINDOW);

	(void)state;
	sr_usage_windows_count(a, 101000, "x");
	sr_usage_windows_receive(a, "b@50000", 20, "x=4\n", 4);
	sr_usage_windows_receive(a, "c@50000", 20, "x=5\n", 4);
	for (int i = 0; i < 4; i++)
		sr_usage_windows_count(b, 101000, "x");
	sr_usage_windows_receive(b, "a@50000", 20, "x=1\n", 4);
	sr_usage_windows_receive(b, "c@50000", 20, "x=3\n", 4);
	send_domain(a, reporter);
	send_domain(b, reporter);
	send_domain(a, reporter);
	assert_int_equal(total_of(reporter, 20, "x"), 10);
	sr_usage_windows_free(a);
	sr_usage_windows_free(b);
	sr_usage_windows_free(reporter);
}

/* All hosts of a domain, its collectors too, are killed in a window and count
 * from zero again. Sums of before and after are not merged with each other. */
static void test_domain_that_restarts_counts_both_lives(void **state)
{
	sr_usage_windows_t *before = sr_usage_windows_new("a@50000", WINDOW);
	sr_usage_windows_t *after = sr_usage_windows_new("a@102500", WINDOW);
	sr_usage_windows_t *reporter = sr_usage_windows_new("", WINDOW);

	(void)state;
	sr_usage_windows_receive(before, "b@50000", 20, "x=70\n", 5);
	sr_usage_windows_count(before, 101000, "x");
	send_domain(before, reporter);
	sr_usage_windows_receive(after, "b@102900", 20, "x=8\n", 4);
	sr_usage_windows_count(after, 103000, "x");
	send_domain(after, reporter);
	assert_int_equal(total_of(reporter, 20, "x"), 80);
	sr_usage_windows_free(before);
	sr_usage_windows_free(after);
	sr_usage_windows_free(reporter);
}

/* More accounts than fit a datagram arrive in parts, some of them again. */
static void test_counts_arrive_in_parts(void **state)
{
	sr_usage_windows_t *usage = sr_usage_windows_new("a", WINDOW);

	(void)state;
	sr_usage_windows_receive(usage, "b", 20, "x=4\n", 4);
	sr_usage_windows_receive(usage, "b", 20, "y=3\n", 4);
	sr_usage_windows_receive(usage, "b", 20, "x=5\n", 4);
	sr_usage_windows_receive(usage, "b", 20, "y=3\n", 4);
	assert_int_equal(total_of(usage, 20, "x"), 5);
	assert_int_equal(total_of(usage, 20, "y"), 3);
	sr_usage_windows_free(usage);
}

/* The store is restored from a copy in which a window was still open. Its
 * report was sent before, and must not be sent with other counts. */
static void test_reported_window_is_not_closed_again(void **state)
{
	sr_usage_windows_t *usage = sr_usage_windows_new("", WINDOW);
	sr_usage_reports_t *first = new_reports();
	sr_usage_reports_t *second = new_reports();
	sr_usage_report_t report;
	unsigned n_reported = 0;
	GBytes *copy;
	GBytes *payload;

	(void)state;
	sr_usage_windows_receive(usage, "d/0", 20, "x=4\n", 4);
	copy = sr_usage_reports_save(first, usage, 104000);
	sr_usage_reports_written(first, TRUE);
	payload = sr_usage_reports_close(first, usage, 108100);
	sr_usage_reports_written(first, TRUE);
	while (sr_usage_reports_next(first, &report))
		n_reported += report.window == 20;
	assert_int_equal(n_reported, 1);
	sr_usage_windows_receive(usage, "d/0", 20, "x=5\n", 4);
	sr_usage_windows_receive(usage, "d/0", 21, "x=7\n", 4);
	load(second, copy, usage, 105000, 21, 0);
	g_bytes_unref(payload);
	payload = sr_usage_reports_close(second, usage, 113100);
	assert_non_null(payload);
	sr_usage_reports_written(second, TRUE);
	assert_true(sr_usage_reports_next(second, &report));
	assert_int_equal(report.window, 21);
	assert_int_equal(count_of(&report, "x"), 7);
	assert_false(sr_usage_reports_next(second, &report));
	g_bytes_unref(payload);
	g_bytes_unref(copy);
	sr_usage_reports_free(first);
	sr_usage_reports_free(second);
	sr_usage_windows_free(usage);
}

/* Guards against two reports of one window (review/2): all hosts are killed,
 * and the store is restored from a copy in which the window was open or was
 * closed with other counts. Nobody knows any more what was reported, so that
 * neither this holder nor the next one sends a report of it. */
static void test_windows_of_a_lost_payload_are_not_reported(void **state)
{
	sr_usage_windows_t *usage = sr_usage_windows_new("", WINDOW);
	sr_usage_reports_t *first = new_reports();
	sr_usage_reports_t *second = new_reports();
	sr_usage_reports_t *third = new_reports();
	sr_usage_report_t report;
	GBytes *copy;
	GBytes *payload;

	(void)state;
	sr_usage_windows_receive(usage, "d/0", 19, "x=3\n", 4);
	sr_usage_windows_receive(usage, "d/0", 20, "x=4\n", 4);
	copy = sr_usage_reports_close(first, usage, 103500);
	sr_usage_reports_written(first, TRUE);
	sr_usage_windows_receive(usage, "d/0", 21, "x=7\n", 4);
	/* the new era was seen in window 21 */
	load(second, copy, usage, 105000, 0, 21);
	assert_false(sr_usage_reports_next(second, &report));
	payload = sr_usage_reports_close(second, usage, 109000);
	assert_null(payload);
	payload = sr_usage_reports_save(second, usage, 109000);
	assert_non_null(payload);
	sr_usage_reports_written(second, TRUE);
	/* what the second holder wrote is the latest payload of the third */
	load(third, payload, usage, 105000, 0, 0);
	assert_false(sr_usage_reports_next(third, &report));
	g_bytes_unref(payload);
	payload = sr_usage_reports_close(third, usage, 113100);
	assert_non_null(payload);
	sr_usage_reports_written(third, TRUE);
	assert_true(sr_usage_reports_next(third, &report));
	assert_int_equal(report.window, 21);
	assert_false(sr_usage_reports_next(third, &report));
	g_bytes_unref(payload);
	g_bytes_unref(copy);
	sr_usage_reports_free(first);
	sr_usage_reports_free(second);
	sr_usage_reports_free(third);
	sr_usage_windows_free(usage);
}

/* The payload comes from the store; damaged lines must be ignored. */
static void test_damaged_lines_are_ignored(void **state)
{
	sr_usage_windows_t *usage = sr_usage_windows_new("a", WINDOW);

	(void)state;
	sr_usage_windows_restore(usage, "");
	sr_usage_windows_restore(usage, "+");
	sr_usage_windows_restore(usage, "+20");
	sr_usage_windows_restore(usage, "+20 b");
	sr_usage_windows_restore(usage, "+x b x=1");
	sr_usage_windows_restore(usage, "+20 b x= =1 x=-1 x=1z x");
	assert_int_equal(total_of(usage, 20, "x"), 0);
	sr_usage_windows_restore(usage, "+20 a x=5"); /* this host's own */
	assert_int_equal(total_of(usage, 20, "x"), 0);
	sr_usage_windows_restore(usage, "+20 b x=5 %zz=3");
	assert_int_equal(total_of(usage, 20, "x"), 5);
	sr_usage_windows_free(usage);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_window_is_reported_after_write),
		cmocka_unit_test(test_next_holder_sends_same_report),
		cmocka_unit_test(test_failed_write_reports_nothing),
		cmocka_unit_test(test_older_counts_are_ignored),
		cmocka_unit_test(test_open_windows_survive_all_hosts),
		cmocka_unit_test(test_next_holder_waits_for_counts),
		cmocka_unit_test(test_reported_window_is_not_closed_again),
		cmocka_unit_test(
			test_windows_of_a_lost_payload_are_not_reported),
		cmocka_unit_test(test_damaged_lines_are_ignored),
		cmocka_unit_test(test_two_collectors_count_once),
		cmocka_unit_test(test_domain_that_restarts_counts_both_lives),
		cmocka_unit_test(test_counts_arrive_in_parts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
