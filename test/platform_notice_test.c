/* What instances say of themselves, at an entry host of the platform. */
#include "platform_bed.h"

/** Bound of the platform on the requests of an instance that names a limit: in
 * a window, a multiple of what the limit allows and a number on top. */
#define LIMIT_WINDOW_US (4 * G_USEC_PER_SEC)
#define LIMIT_FACTOR 1.5
#define LIMIT_SLACK 5

/** Time after the first naming from which the bound holds. */
#define LIMIT_SETTLE_US (3 * G_USEC_PER_SEC)

/** Time after which a leaving instance must get nothing. */
#define DRAIN_US (2 * G_USEC_PER_SEC)

/** Requests that an instance which has turned a host away may get from it
 * within the time that it named, and the time until that counts. */
#define BACK_OFF_REQUESTS 2
#define BACK_OFF_SETTLE_US (G_USEC_PER_SEC / 2)

static bed_t *bed_with_notice(const char *name, const char *value)
{
	bed_t *bed = bed_new();

	register_upstream(bed, 1);
	run_for(300);
	bed->upstreams[0].notice_name = name;
	bed->upstreams[0].notice_value = value;
	return bed;
}

static gint64 time_at(const upstream_t *upstream, guint i)
{
	return g_array_index(upstream->times, gint64, i);
}

/* Requests from a time on, for a while. */
static unsigned count_requests(const upstream_t *upstream, gint64 from,
			       gint64 duration)
{
	unsigned n = 0;

	for (guint i = 0; i < upstream->times->len; i++)
		n += time_at(upstream, i) >= from &&
		     time_at(upstream, i) < from + duration;
	return n;
}

/* Guards against LIMIT of 2026-12-04: an instance that names a limit got its
 * part of the requests, whatever the limit. */
static void test_limit_of_an_instance_is_kept(void **state)
{
	bed_t *bed = bed_with_notice("Server-Limit", "1");
	const upstream_t *upstream = &bed->upstreams[0];
	double allowed = LIMIT_FACTOR * 1 * 4 + LIMIT_SLACK;

	(void)state;
	send_requests(bed, 9000);
	assert_true(upstream->times->len > 0);
	for (guint i = 0; i < upstream->times->len; i++) {
		gint64 from = time_at(upstream, i);

		if (from >= time_at(upstream, 0) + LIMIT_SETTLE_US)
			assert_true(count_requests(upstream, from,
						   LIMIT_WINDOW_US) <= allowed);
	}
	assert_int_equal(bed->n_ok, bed->n_sent);
	bed_free(bed);
}

/* Guards against DRAIN by responses: an instance that says that it is leaving
 * got requests until the registry said so. */
static void test_leaving_instance_gets_no_request(void **state)
{
	bed_t *bed = bed_with_notice("Server-Leaving", "1");
	const upstream_t *upstream = &bed->upstreams[0];

	(void)state;
	send_requests(bed, 4000);
	assert_true(upstream->times->len > 0);
	assert_int_equal(count_requests(upstream,
					time_at(upstream, 0) + DRAIN_US,
					G_MAXINT32),
			 0);
	assert_int_equal(bed->n_ok, bed->n_sent);
	bed_free(bed);
}

/* Guards against BUDGET by responses: an instance that turned a host away for a
 * time got its part of the requests all the same. */
static void test_instance_is_spared_for_the_time_that_it_names(void **state)
{
	bed_t *bed = bed_with_notice("Retry-After", "3");
	upstream_t *upstream = &bed->upstreams[0];
	gint64 turned_away;
	unsigned n_after = 0;

	(void)state;
	upstream->turns_away = TRUE;
	send_requests(bed, 1000);
	assert_true(upstream->times->len > 0);
	turned_away = time_at(upstream, upstream->times->len - 1);
	upstream->turns_away = FALSE;
	upstream->notice_name = NULL;
	send_requests(bed, 4500);
	n_after = count_requests(upstream, turned_away + BACK_OFF_SETTLE_US,
				 3 * G_USEC_PER_SEC - BACK_OFF_SETTLE_US);
	assert_true(n_after <= BACK_OFF_REQUESTS);
	/* it takes part again afterwards */
	assert_true(time_at(upstream, upstream->times->len - 1) >
		    turned_away + 3 * G_USEC_PER_SEC);
	assert_int_equal(bed->n_ok, bed->n_sent);
	bed_free(bed);
}

/* Guards against BUDGET where all instances turn the host away: none of them is
 * a way out for the others' requests. */
static void test_all_instances_are_spared_for_their_time(void **state)
{
	bed_t *bed = bed_with_notice("Retry-After", "3");
	gint64 turned_away = 0;

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(bed->upstreams); i++) {
		bed->upstreams[i].turns_away = TRUE;
		bed->upstreams[i].notice_name = "Retry-After";
		bed->upstreams[i].notice_value = "3";
	}
	send_requests(bed, 500);
	for (unsigned i = 0; i < G_N_ELEMENTS(bed->upstreams); i++) {
		const upstream_t *upstream = &bed->upstreams[i];

		assert_true(upstream->times->len > 0);
		turned_away = MAX(turned_away, time_at(upstream, 0));
	}
	send_requests(bed, 2400);
	for (unsigned i = 0; i < G_N_ELEMENTS(bed->upstreams); i++)
		assert_true(count_requests(&bed->upstreams[i],
					   turned_away + BACK_OFF_SETTLE_US,
					   2 * G_USEC_PER_SEC) <=
			    BACK_OFF_REQUESTS);
	bed_free(bed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_limit_of_an_instance_is_kept),
		cmocka_unit_test(test_leaving_instance_gets_no_request),
		cmocka_unit_test(
			test_instance_is_spared_for_the_time_that_it_names),
		cmocka_unit_test(test_all_instances_are_spared_for_their_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
