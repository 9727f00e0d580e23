/* Whether a host reaches a service, from the connections that it tries. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/reach.h"

/* Guards against taking the end of one instance for a cut of the host. */
static void test_few_failed_instances_are_no_cut(void **state)
{
	sr_reach_t reach = { 0 };

	(void)state;
	for (sr_usec_t now = 1; now < 100; now++) {
		assert_false(
			sr_reach_failed(&reach, now, 1, SR_REACH_REFUSED, 9));
		assert_false(
			sr_reach_failed(&reach, now, 2, SR_REACH_REFUSED, 9));
	}
	assert_true(reach.state == SR_REACH_UNKNOWN);
}

static void test_several_in_a_row_are_a_cut(void **state)
{
	sr_reach_t reach = { 0 };

	(void)state;
	assert_true(sr_reach_succeeded(&reach, 1));
	sr_reach_failed(&reach, 2, 1, SR_REACH_REFUSED, 9);
	sr_reach_failed(&reach, 3, 2, SR_REACH_TIMED_OUT, 9);
	assert_true(sr_reach_failed(&reach, 4, 3, SR_REACH_REFUSED, 9));
	assert_true(reach.state == SR_REACH_LOST);
	assert_true(sr_reach_succeeded(&reach, 5));
	assert_true(reach.state == SR_REACH_REACHED);
}

static void test_success_in_between_starts_anew(void **state)
{
	sr_reach_t reach = { 0 };

	(void)state;
	sr_reach_failed(&reach, 2, 1, SR_REACH_REFUSED, 9);
	sr_reach_failed(&reach, 3, 2, SR_REACH_REFUSED, 9);
	sr_reach_succeeded(&reach, 4);
	assert_false(sr_reach_failed(&reach, 5, 3, SR_REACH_REFUSED, 9));
}

static void test_old_failures_do_not_count(void **state)
{
	sr_reach_t reach = { 0 };

	(void)state;
	sr_reach_failed(&reach, 1, 1, SR_REACH_REFUSED, 9);
	sr_reach_failed(&reach, 2, 2, SR_REACH_REFUSED, 9);
	assert_false(sr_reach_failed(&reach, 1 + SR_REACH_FAILURE_AGE_MAX, 3,
				     SR_REACH_REFUSED, 9));
}

static void test_all_of_a_small_service_are_enough(void **state)
{
	sr_reach_t reach = { 0 };

	(void)state;
	sr_reach_failed(&reach, 1, 1, SR_REACH_SILENT, 2);
	assert_true(sr_reach_failed(&reach, 2, 2, SR_REACH_SILENT, 2));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_few_failed_instances_are_no_cut),
		cmocka_unit_test(test_several_in_a_row_are_a_cut),
		cmocka_unit_test(test_success_in_between_starts_anew),
		cmocka_unit_test(test_old_failures_do_not_count),
		cmocka_unit_test(test_all_of_a_small_service_are_enough),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
