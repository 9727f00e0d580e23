#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "core/account_share.h"
#include "core/admission.h"
#include "core/concurrency_limit.h"
#include "core/ejection.h"
#include "core/load_estimate.h"
#include "core/prefix_index.h"
#include "core/retry_budget.h"

/* Adds token gaps at half the tolerated latency, and a fourth as many first
 * token samples at the given ratio. */
static void add_samples(sr_concurrency_limit_t *limit, sr_usec_t start,
			double ratio)
{
	for (int i = 0; i < 2000; i++) {
		sr_usec_t now = start + i * 100 * SR_MSEC;

		sr_concurrency_limit_sample(limit, now, SR_LIMIT_TOKEN_GAP, 0.5,
					    limit->value);
		if (i % 4 == 0)
			sr_concurrency_limit_sample(limit, now,
						    SR_LIMIT_FIRST_TOKEN, ratio,
						    limit->value);
	}
}

static void test_limit_follows_latency_within_bounds(void **state)
{
	sr_concurrency_limit_t limit;

	sr_concurrency_limit_init(&limit, 16);
	add_samples(&limit, 0, 3);
	assert_true(limit.value == limit.min);
	add_samples(&limit, SR_HOUR, 0.5);
	assert_true(limit.value == limit.max);
}

static void test_idle_limit_does_not_grow(void **state)
{
	sr_concurrency_limit_t limit;

	sr_concurrency_limit_init(&limit, 16);
	for (int i = 0; i < 1000; i++)
		sr_concurrency_limit_sample(&limit, i * 100 * SR_MSEC,
					    SR_LIMIT_TOKEN_GAP, 0.5, 2);
	assert_true(limit.value == 16);
}

static void test_load_estimate_adds_own_and_remote_requests(void **state)
{
	sr_load_estimate_t load = { 0 };
	sr_load_report_t report = { .running = 10,
				    .waiting = 2,
				    .measured_at = 2 * SR_SEC };

	sr_load_estimate_set_in_flight(&load, SR_SEC, 4);
	sr_load_estimate_set_in_flight(&load, 3 * SR_SEC, 9);
	assert_true(sr_load_estimate_add_report(&load, &report));
	/* 12 requests ran, 4 of them from this host, which now runs 9. */
	assert_true(sr_load_estimate_total(&load, 3 * SR_SEC, 9) == 17);
	report.measured_at = SR_SEC;
	assert_false(sr_load_estimate_add_report(&load, &report));
	assert_true(sr_load_estimate_total(&load, SR_MINUTE, 9) == 9);
}

static void test_ejection_ends_with_a_successful_probe(void **state)
{
	sr_ejection_t ejection = { 0 };

	for (int i = 0; i < 4; i++)
		sr_ejection_failed(&ejection, 0, 1);
	assert_int_equal(sr_ejection_state(&ejection, SR_SEC),
			 SR_EJECTION_EJECTED);
	/* a late answer to a request from before the ejection */
	sr_ejection_succeeded(&ejection);
	assert_int_equal(sr_ejection_state(&ejection, SR_SEC),
			 SR_EJECTION_EJECTED);
	assert_int_equal(sr_ejection_state(&ejection, 2 * SR_SEC),
			 SR_EJECTION_PROBATION);
	sr_ejection_begin(&ejection, 2 * SR_SEC);
	assert_int_equal(sr_ejection_state(&ejection, 2 * SR_SEC),
			 SR_EJECTION_EJECTED);
	sr_ejection_failed(&ejection, 2 * SR_SEC, 1);
	assert_int_equal(sr_ejection_state(&ejection, 5 * SR_SEC),
			 SR_EJECTION_EJECTED);
	sr_ejection_begin(&ejection, 6 * SR_SEC);
	sr_ejection_succeeded(&ejection);
	assert_int_equal(sr_ejection_state(&ejection, 6 * SR_SEC),
			 SR_EJECTION_NONE);
}

static void test_retry_budget_is_spent_in_an_outage(void **state)
{
	sr_retry_budget_t budget;
	unsigned taken = 0;

	sr_retry_budget_init(&budget);
	for (int i = 0; i < 1000; i++)
		taken += sr_retry_budget_take(&budget, 1) ? 1 : 0;
	assert_true(taken <= 20);
	for (int i = 0; i < 100; i++)
		sr_retry_budget_earn(&budget);
	for (int i = 0; i < 1000; i++)
		taken += sr_retry_budget_take(&budget, 1) ? 1 : 0;
	assert_in_range(taken, 25, 30);
}

/* Guards against hosts that have their whole part of the slack again at each
 * restart: nine hosts, of which one restarts every 0.4 s, send 12.5 requests a
 * second that fail and are sent twice more if the budget allows. */
static void test_restarts_do_not_multiply_the_retries(void **state)
{
	enum {
		HOSTS = 9,
		REQUEST_MS = 80,
		RESTART_MS = 400,
		WINDOW_MS = 10000
	};
	const sr_retry_budget_bounds_t bounds = {
		.ratio = 0.2,
		.slack = 58,
		.n_hosts = HOSTS,
	};
	const double allowed =
		bounds.ratio * WINDOW_MS / REQUEST_MS + bounds.slack;
	sr_retry_budget_t budgets[HOSTS];
	unsigned in_window = 0;
	unsigned taken[3 * WINDOW_MS / REQUEST_MS] = { 0 };

	for (unsigned i = 0; i < HOSTS; i++)
		sr_retry_budget_init_part(&budgets[i], &bounds);
	for (unsigned i = 0; i < G_N_ELEMENTS(taken); i++) {
		sr_retry_budget_t *budget = &budgets[i % HOSTS];

		if (i * REQUEST_MS % RESTART_MS == 0)
			sr_retry_budget_init_part(
				&budgets[i * REQUEST_MS / RESTART_MS % HOSTS],
				&bounds);
		sr_retry_budget_earn(budget);
		taken[i] += sr_retry_budget_take(budget, 1) ? 1 : 0;
		taken[i] += sr_retry_budget_take(budget, 1) ? 1 : 0;
		in_window += taken[i];
		if (i >= WINDOW_MS / REQUEST_MS)
			in_window -= taken[i - WINDOW_MS / REQUEST_MS];
		assert_true(in_window <= allowed);
	}
}

/* Guards against a start that is so careful that a host never retries, or not
 * its first request. */
static void test_started_host_has_a_retry_and_earns_more(void **state)
{
	const sr_retry_budget_bounds_t bounds = {
		.ratio = 0.2,
		.slack = 58,
		.n_hosts = 9,
	};
	sr_retry_budget_t budget;
	unsigned taken = 0;

	sr_retry_budget_init_part(&budget, &bounds);
	assert_true(sr_retry_budget_take(&budget, 1));
	assert_false(sr_retry_budget_take(&budget, 1));
	for (unsigned i = 0; i < 100; i++)
		sr_retry_budget_earn(&budget);
	while (sr_retry_budget_take(&budget, 1))
		taken++;
	assert_in_range(taken, 4, (unsigned)(bounds.slack / bounds.n_hosts));
}

static void test_fair_share_is_max_min(void **state)
{
	sr_account_share_t *share = sr_account_share_new();
	sr_account_t *big = sr_account_share_get(share, "big");
	sr_account_t *small = sr_account_share_get(share, "small");
	sr_account_t *idle = sr_account_share_get(share, "idle");

	big->in_flight = 60;
	big->refused_at = SR_SEC;
	small->in_flight = 5;
	sr_account_share_receive(share, "small", "n2", 5, SR_SEC);
	/* "small" uses 10 and is allowed slightly more; the rest of the 100
	 * goes to "big". */
	assert_true(sr_account_share_compute(share, big, 100, SR_SEC) == 88);
	assert_true(sr_account_share_compute(share, small, 100, SR_SEC) == 50);
	small->weight = 3;
	assert_true(sr_account_share_compute(share, small, 100, SR_SEC) == 75);
	assert_int_equal(sr_account_in_flight(small, SR_SEC), 10);
	assert_int_equal(sr_account_in_flight(small, SR_MINUTE), 5);
	assert_int_equal(sr_account_in_flight(idle, SR_SEC), 0);
	sr_account_share_free(share);
}

static void test_low_priority_requests_are_not_starved(void **state)
{
	sr_admission_t admission = { 0 };
	unsigned n_bulk = 0;

	/* Lookups keep the limits 95% full while bulk requests always wait. */
	for (int i = 0; i < 1000; i++) {
		sr_admission_record(&admission, SR_PRIORITY_LOOKUP, 0.95);
		if (sr_admission_headroom(&admission, SR_PRIORITY_BULK, FALSE) <
		    0.96)
			continue;
		sr_admission_record(&admission, SR_PRIORITY_BULK, 0.95);
		n_bulk++;
	}
	assert_in_range(n_bulk, 50, 120);
	assert_true(sr_admission_headroom(&admission, SR_PRIORITY_LOOKUP,
					  TRUE) < 0.9);
}

static void test_retry_after_follows_the_backlog(void **state)
{
	sr_admission_t admission = { 0 };
	sr_usec_t first;
	sr_usec_t last = 0;

	first = sr_admission_retry_after(&admission, 0, 10, 10, 0.5);
	assert_in_range(first, SR_SEC, 2 * SR_SEC);
	for (int i = 0; i < 50; i++)
		last = sr_admission_retry_after(&admission, 0, 10, 10, 0.5);
	assert_true(last >= first + 4 * SR_SEC);
	/* After a minute the backlog has drained. */
	last = sr_admission_retry_after(&admission, SR_MINUTE, 10, 10, 0.5);
	assert_true(last <= first);
}

static const guint64 prompt[] = { 11, 22, 33, 44 };

static unsigned matched_blocks(const sr_prefix_index_t *index, sr_usec_t now,
			       guint32 upstream)
{
	return sr_prefix_index_match(index, now, upstream, prompt,
				     G_N_ELEMENTS(prompt));
}

static void test_index_follows_cache_events(void **state)
{
	sr_prefix_index_t *index = sr_prefix_index_new(100);
	guint32 holders[SR_PREFIX_HOLDERS_MAX];

	for (int i = 0; i < 3; i++)
		sr_prefix_index_apply_event(index, 7, (guint64)i + 1, prompt[i],
					    TRUE);
	assert_int_equal(matched_blocks(index, 0, 7), 3);
	assert_int_equal(matched_blocks(index, 0, 8), 0);
	assert_int_equal(sr_prefix_index_holders(index, 0, prompt, 4, holders),
			 1);
	assert_int_equal(holders[0], 7);
	sr_prefix_index_apply_event(index, 7, 4, prompt[1], FALSE);
	assert_int_equal(matched_blocks(index, 0, 7), 1);
	/* an event with a sequence number that was used before */
	sr_prefix_index_apply_event(index, 7, 4, prompt[1], TRUE);
	assert_int_equal(matched_blocks(index, 0, 7), 1);
	sr_prefix_index_remove_upstream(index, 7);
	assert_int_equal(matched_blocks(index, 0, 7), 0);
	sr_prefix_index_free(index);
}

static void test_index_discards_blocks_after_lost_events(void **state)
{
	sr_prefix_index_t *index = sr_prefix_index_new(1000);

	for (guint64 i = 0; i < 200; i++)
		sr_prefix_index_apply_event(index, 7, i + 1,
					    i < 4 ? prompt[i] : 1000 + i, TRUE);
	/* after 200 events 10 are lost, then 88 */
	sr_prefix_index_apply_event(index, 7, 211, 5000, TRUE);
	assert_int_equal(matched_blocks(index, 0, 7), 4);
	sr_prefix_index_apply_event(index, 7, 300, 5001, TRUE);
	assert_int_equal(matched_blocks(index, 0, 7), 0);
	/* Prompts that this host sends count without events for a while. */
	sr_prefix_index_add_sent(index, SR_SEC, 7, prompt, 4);
	assert_int_equal(matched_blocks(index, 2 * SR_SEC, 7), 4);
	assert_int_equal(matched_blocks(index, SR_HOUR, 7), 0);
	sr_prefix_index_free(index);
}

static void test_index_memory_is_bounded(void **state)
{
	sr_prefix_index_t *index = sr_prefix_index_new(64);

	for (guint64 i = 1; i < 10000; i++)
		sr_prefix_index_apply_event(index, 7, i, i, TRUE);
	assert_int_equal(sr_prefix_index_size(index), 64);
	sr_prefix_index_free(index);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_limit_follows_latency_within_bounds),
		cmocka_unit_test(test_idle_limit_does_not_grow),
		cmocka_unit_test(
			test_load_estimate_adds_own_and_remote_requests),
		cmocka_unit_test(test_ejection_ends_with_a_successful_probe),
		cmocka_unit_test(test_retry_budget_is_spent_in_an_outage),
		cmocka_unit_test(test_restarts_do_not_multiply_the_retries),
		cmocka_unit_test(test_started_host_has_a_retry_and_earns_more),
		cmocka_unit_test(test_fair_share_is_max_min),
		cmocka_unit_test(test_low_priority_requests_are_not_starved),
		cmocka_unit_test(test_retry_after_follows_the_backlog),
		cmocka_unit_test(test_index_follows_cache_events),
		cmocka_unit_test(test_index_discards_blocks_after_lost_events),
		cmocka_unit_test(test_index_memory_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
