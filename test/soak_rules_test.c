/* The judges of the soak, by records that break their rules and records that
 * don't. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "soak/rules.h"
#include "soak/sums.h"

static const soak_bounds_t bounds = { .contact_ms = 3000,
				      .apply_ms = 2000,
				      .outer_ms = 5000,
				      .rollback_slack_ms = 250 };

/** Versions 1 and 2 are acknowledged at 1 s and at 10 s; the second one removes
 * the route. */
typedef struct {
	soak_rules_t *rules;
	soak_subject_t *route;
} record_t;

static record_t record_new(void)
{
	record_t record = { soak_rules_new(&bounds, 1),
			    soak_subject_new("route") };

	soak_subject_set(record.route,
			 soak_rules_acknowledge(record.rules, 1000), TRUE);
	soak_subject_set(record.route,
			 soak_rules_acknowledge(record.rules, 10000), FALSE);
	return record;
}

static void record_free(record_t *record)
{
	soak_subject_free(record->route);
	soak_rules_free(record->rules);
}

static void judge(record_t *record, gint64 sent_ms, soak_outcome_t outcome)
{
	const soak_request_t request = { .subject = record->route,
					 .sent_ms = sent_ms,
					 .ended_ms = sent_ms + 10,
					 .outcome = outcome };

	soak_rules_judge(record->rules, &request);
}

/* Guards against a soak that passes whatever hosts do. */
static void test_removed_route_that_is_served_is_late(void **state)
{
	record_t record = record_new();

	(void)state;
	judge(&record, 11900, SOAK_OUTCOME_SERVED);
	assert_int_equal(record.rules->n_late, 0);
	judge(&record, 12100, SOAK_OUTCOME_SERVED);
	assert_int_equal(record.rules->n_late, 1);
	judge(&record, 12100, SOAK_OUTCOME_DENIED);
	assert_int_equal(record.rules->n_late, 1);
	record_free(&record);
}

/* Guards against a soak that blames hosts which the platform excuses. */
static void test_disrupted_hosts_are_excused(void **state)
{
	record_t record = record_new();
	soak_calm_t *host = &soak_rules_host(record.rules, 0)->calm;

	(void)state;
	soak_calm_begin(host);
	judge(&record, 12100, SOAK_OUTCOME_SERVED);
	soak_calm_end(host, 12200);
	judge(&record, 15100, SOAK_OUTCOME_SERVED);
	assert_int_equal(record.rules->n_late, 0);
	judge(&record, 15300, SOAK_OUTCOME_SERVED);
	assert_int_equal(record.rules->n_late, 1);
	record_free(&record);
}

/* The same for the store: while it turns hosts away the bound is longer, while
 * it is away there is none. */
static void test_disrupted_store_stretches_the_bound(void **state)
{
	record_t record = record_new();

	(void)state;
	soak_calm_begin(&record.rules->store_calm);
	judge(&record, 16900, SOAK_OUTCOME_SERVED);
	assert_int_equal(record.rules->n_late, 0);
	judge(&record, 17100, SOAK_OUTCOME_SERVED);
	assert_int_equal(record.rules->n_late, 1);
	soak_calm_begin(&record.rules->store_answering);
	judge(&record, 17200, SOAK_OUTCOME_SERVED);
	assert_int_equal(record.rules->n_late, 1);
	record_free(&record);
}

/* Guards against hosts that go back to an older configuration, also ones that
 * are excused from being late. */
static void test_host_that_goes_back_is_seen(void **state)
{
	record_t record = record_new();
	soak_subject_t *added = soak_subject_new("added");

	(void)state;
	soak_calm_begin(&soak_rules_host(record.rules, 0)->calm);
	soak_subject_set(added, 2, TRUE);
	judge(&(record_t){ record.rules, added }, 10500, SOAK_OUTCOME_SERVED);
	judge(&record, 10600, SOAK_OUTCOME_SERVED);
	assert_int_equal(record.rules->n_regressed, 0);
	judge(&record, 11000, SOAK_OUTCOME_SERVED);
	assert_int_equal(record.rules->n_regressed, 1);
	soak_subject_free(added);
	record_free(&record);
}

/* Guards against sums of a window that miss what lies in two halves of it. */
static void test_sums_of_sliding_windows(void **state)
{
	soak_sums_t *sums = soak_sums_new(5);

	(void)state;
	for (int i = 0; i < 35; i++)
		soak_sums_add(sums, SOAK_SUM_LIMIT, 10000 + i * 100, 1);
	assert_true(soak_sums_worst(sums, SOAK_SUM_LIMIT) == 1);
	soak_sums_add(sums, SOAK_SUM_LIMIT, 13900, 1);
	assert_true(soak_sums_worst(sums, SOAK_SUM_LIMIT) > 1);
	soak_sums_add(sums, SOAK_SUM_ACCOUNT, 10000, 600000);
	soak_sums_add(sums, SOAK_SUM_ACCOUNT, 17000, 100000);
	assert_true(soak_sums_worst(sums, SOAK_SUM_ACCOUNT) > 1);
	for (int i = 0; i < 58; i++)
		soak_sums_add(sums, SOAK_SUM_RETRIES, 10000 + i, 1);
	assert_true(soak_sums_worst(sums, SOAK_SUM_RETRIES) == 1);
	soak_sums_add_request(sums, 10000);
	assert_true(soak_sums_worst(sums, SOAK_SUM_RETRIES) < 1);
	soak_sums_free(sums);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_removed_route_that_is_served_is_late),
		cmocka_unit_test(test_disrupted_hosts_are_excused),
		cmocka_unit_test(test_disrupted_store_stretches_the_bound),
		cmocka_unit_test(test_host_that_goes_back_is_seen),
		cmocka_unit_test(test_sums_of_sliding_windows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
