/* Roll-outs on an entry host of the platform. */
#include "platform_bed.h"

/** The order's time limit. */
#define ROLLOUT_S 9

/** Bounds of the platform: part of the requests in the time of an order that a
 * faulty version may get, and the number on top. */
#define EXPOSURE_SHARE 0.1
#define EXPOSURE_SLACK 50

static const char *status_of(bed_t *bed, const char *key, const char *member)
{
	json_object *object = NULL;
	json_object *status = NULL;
	json_object *value = NULL;

	if (json_object_object_get_ex(bed->store.objects, key, &object) &&
	    json_object_object_get_ex(object, "status", &status))
		json_object_object_get_ex(status, member, &value);
	return value ? json_object_get_string(value) : "";
}

static void order_rollout(bed_t *bed)
{
	char *spec = g_strdup_printf("{\"service\":\"desk\",\"target\":\"v2\","
				     "\"duration_s\":%d}",
				     ROLLOUT_S);

	put_text(&bed->store, "rollouts/desk", spec);
	register_upstream(bed, 1);
	g_free(spec);
}

/* Guards against EXPOSURE of 2026-12-04: a version that an order names got its
 * part of the instances, whatever its answers were. */
static void test_faulty_version_gets_a_small_share(void **state)
{
	bed_t *bed = bed_new();
	unsigned n_before;

	(void)state;
	bed->upstreams[1].fails = TRUE;
	send_requests(bed, 2000);
	n_before = bed->n_sent;
	order_rollout(bed);
	send_requests(bed, ROLLOUT_S * 1000);
	assert_true(bed->upstreams[1].n_requests <=
		    EXPOSURE_SHARE * (bed->n_sent - n_before) + EXPOSURE_SLACK);
	assert_string_equal(status_of(bed, "rollouts/desk", "state"),
			    "rolled_back");
	assert_string_equal(status_of(bed, "rollouts/desk", "target"), "v2");
	n_before = bed->upstreams[1].n_requests;
	send_requests(bed, 500);
	assert_int_equal(bed->upstreams[1].n_requests, n_before);
	bed_free(bed);
}

/* Guards against a good version that is never completed: it must have all
 * requests before the old instances are stopped, and by its time limit. */
static void test_good_version_is_completed_in_time(void **state)
{
	bed_t *bed = bed_new();
	unsigned n_old;

	(void)state;
	send_requests(bed, 2000);
	order_rollout(bed);
	send_requests(bed, ROLLOUT_S * 1000);
	assert_string_equal(status_of(bed, "rollouts/desk", "state"),
			    "completed");
	n_old = bed->upstreams[0].n_requests;
	send_requests(bed, 500);
	assert_int_equal(bed->upstreams[0].n_requests, n_old);
	assert_int_equal(bed->n_ok, bed->n_sent);
	bed_free(bed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_faulty_version_gets_a_small_share),
		cmocka_unit_test(test_good_version_is_completed_in_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
