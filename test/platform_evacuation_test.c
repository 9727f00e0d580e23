/* Evacuated failure domains and cold instances, at an entry host of the
 * platform. */
#include "platform_bed.h"

/** Time until an evacuated domain must get nothing. */
#define EVACUATION_US (5 * G_USEC_PER_SEC)

/** Requests that a cold instance bears in any second. */
#define COLD_MAX (9.5 * 1.5 + 5)

static bed_t *bed_with_two_domains(void)
{
	bed_t *bed = bed_new();

	bed->upstreams[1].failure_domain = "y";
	register_upstream(bed, 1);
	run_for(300);
	return bed;
}

/* Requests that reached an instance since a time. */
static unsigned count_since(const upstream_t *upstream, gint64 since)
{
	unsigned n = 0;

	for (guint i = 0; i < upstream->times->len; i++)
		n += g_array_index(upstream->times, gint64, i) >= since;
	return n;
}

/* Guards against EVAC of 2026-12-04: no source read the evacuations, and the
 * instances of the domain got their part of the requests. The evacuated domain
 * is the host's own, which is preferred otherwise. */
static void test_evacuated_domain_gets_nothing_until_its_end(void **state)
{
	bed_t *bed = bed_with_two_domains();
	gint64 acknowledged;
	gint64 ended;

	(void)state;
	send_requests(bed, 500);
	assert_true(bed->upstreams[0].times->len > 0);
	put_text(&bed->store, "evacuations/z", "{}");
	acknowledged = g_get_monotonic_time();
	send_requests(bed, 6000);
	assert_int_equal(
		count_since(&bed->upstreams[0], acknowledged + EVACUATION_US),
		0);
	assert_int_equal(bed->n_ok, bed->n_sent);
	remove_object(&bed->store, "evacuations/z");
	ended = g_get_monotonic_time();
	send_requests(bed, 2500);
	assert_true(count_since(&bed->upstreams[0], ended) > 0);
	assert_int_equal(bed->n_ok, bed->n_sent);
	bed_free(bed);
}

/* Guards against a request that waits for its deadline, or that is sent all the
 * same, where only the evacuated domain has room. */
static void test_request_without_another_domain_is_refused(void **state)
{
	bed_t *bed = bed_new();

	(void)state;
	put_text(&bed->store, "evacuations/z", "{}");
	run_for(1000);
	send_requests(bed, 300);
	assert_int_equal(bed->upstreams[0].n_requests, 0);
	assert_int_equal(bed->n_ok, 0);
	bed_free(bed);
}

/* Guards against FAILBACK of 2026-12-04: an instance that says that it is cold
 * got as many requests as any other. */
static void test_cold_instance_gets_no_more_than_it_bears(void **state)
{
	bed_t *bed = bed_with_two_domains();
	upstream_t *upstream = &bed->upstreams[0];
	gint64 cold_at;

	(void)state;
	send_requests(bed, 1500);
	assert_true(upstream->times->len > COLD_MAX);
	upstream->cold_ms = 3000;
	register_upstream(bed, 0);
	run_for(300);
	cold_at = g_get_monotonic_time();
	send_requests(bed, 2800);
	assert_true(count_since(upstream, cold_at) > 0);
	for (guint i = 0; i < upstream->times->len; i++) {
		gint64 from = g_array_index(upstream->times, gint64, i);

		if (from < cold_at)
			continue;
		assert_true(
			count_since(upstream, from) -
				count_since(upstream, from + G_USEC_PER_SEC) <=
			COLD_MAX);
	}
	assert_int_equal(bed->n_ok, bed->n_sent);
	send_requests(bed, 3000);
	assert_true(count_since(upstream, g_get_monotonic_time() -
						  G_USEC_PER_SEC) > COLD_MAX);
	bed_free(bed);
}

static void on_explained(GObject *source, GAsyncResult *result, gpointer user)
{
	*(GBytes **)user = soup_session_send_and_read_finish(
		SOUP_SESSION(source), result, NULL);
}

static char *explain(const bed_t *bed, const char *query)
{
	char *url = g_strdup_printf("http://%s/explain?%s",
				    bed->settings->metrics_address, query);
	SoupMessage *message = soup_message_new("GET", url);
	GBytes *body = NULL;
	char *text;

	soup_session_send_and_read_async(bed->session, message,
					 G_PRIORITY_DEFAULT, NULL, on_explained,
					 &body);
	while (!body)
		g_main_context_iteration(NULL, TRUE);
	text = g_strndup(g_bytes_get_data(body, NULL), g_bytes_get_size(body));
	g_bytes_unref(body);
	g_object_unref(message);
	g_free(url);
	return text;
}

/* Guards against an explanation that differs from what is done, or that sends
 * the request. */
static void test_explanation_names_what_excludes_an_instance(void **state)
{
	bed_t *bed = bed_with_two_domains();
	char *text;

	(void)state;
	text = explain(bed, "host=h.example&path=/x");
	assert_non_null(strstr(text, "route: book"));
	assert_non_null(strstr(text, "decision: sent"));
	assert_non_null(strstr(text, "i-0 z candidate"));
	g_free(text);
	put_text(&bed->store, "evacuations/z", "{}");
	run_for(1000);
	text = explain(bed, "host=h.example&path=/x");
	assert_non_null(strstr(text, "i-0 z evacuated"));
	assert_non_null(strstr(text, "i-1 y candidate"));
	assert_non_null(strstr(text, "decision: sent"));
	g_free(text);
	put_text(&bed->store, "evacuations/y", "{}");
	run_for(1000);
	text = explain(bed, "host=h.example&path=/x");
	assert_non_null(strstr(text, "decision: refused, not run"));
	g_free(text);
	text = explain(bed, "host=other.example&path=/x");
	assert_non_null(strstr(text, "no route"));
	g_free(text);
	assert_int_equal(bed->upstreams[0].n_requests, 0);
	assert_int_equal(bed->upstreams[1].n_requests, 0);
	bed_free(bed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_evacuated_domain_gets_nothing_until_its_end),
		cmocka_unit_test(
			test_request_without_another_domain_is_refused),
		cmocka_unit_test(test_cold_instance_gets_no_more_than_it_bears),
		cmocka_unit_test(
			test_explanation_names_what_excludes_an_instance),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
