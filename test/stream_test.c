#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "caller_rig.h"

#define PROMPT "{\"prompt\": \"a\"}"

static const rig_request_t model_request = { .path = "/m", .body = PROMPT };

static void assert_complete(const rig_answer_t *response, const char *body)
{
	char *expected = rig_expected(body);

	assert_int_equal(response->status, 200);
	assert_int_equal(response->end, SR_FETCH_COMPLETE);
	assert_string_equal(response->body->str, expected);
	g_free(expected);
}

/* The response ends in an error event of this kind, without a done event. */
static void assert_broken(const rig_answer_t *response, const char *kind)
{
	char *field = g_strdup_printf("\"kind\":\"%s\"", kind);

	assert_int_equal(response->end, SR_FETCH_BROKEN);
	assert_non_null(strstr(response->body->str, "event: error\ndata: {"));
	assert_non_null(strstr(response->body->str, field));
	assert_null(strstr(response->body->str, "event: done"));
	g_free(field);
}

/*
 * The first attempt fails as given by mode and at, on either upstream; the
 * attempt at the other upstream succeeds. `offset` is the X-Resume-Offset
 * expected there, "" for none.
 */
static void run_resume(rig_mode_t mode, unsigned at, const char *offset)
{
	rig_t *rig = rig_new();
	rig_answer_t *response;
	int second;

	rig_set_mode(rig, 0, mode, at);
	rig_set_mode(rig, 1, mode, at);
	response = rig_send(rig, &model_request);
	RIG_WAIT(rig->upstreams[0].n_requests || rig->upstreams[1].n_requests);
	second = rig->upstreams[0].n_requests ? 1 : 0;
	rig_set_mode(rig, second, RIG_STREAM, 0);
	RIG_WAIT(response->ended);
	assert_complete(response, PROMPT);
	assert_int_equal(rig->upstreams[second].n_requests, 1);
	assert_string_equal(rig->upstreams[second].last_offset, offset);
	assert_string_equal(rig->upstreams[0].last_id,
			    rig->upstreams[1].last_id);
	rig_answer_free(response);
	rig_free(rig);
}

static void test_truncated_stream_resumes_at_another_upstream(void **state)
{
	run_resume(RIG_TRUNCATED, 3, "3");
	run_resume(RIG_TRUNCATED, 1, "1");
	run_resume(RIG_TRUNCATED, RIG_N_TOKENS, "8");
}

static void test_stream_cut_before_first_token_restarts(void **state)
{
	run_resume(RIG_TRUNCATED, 0, "");
}

static void test_cancelled_stream_resumes_at_another_upstream(void **state)
{
	run_resume(RIG_CANCELLED, 5, "5");
}

static void test_refused_and_failed_requests_are_retried(void **state)
{
	run_resume(RIG_NOT_RUN, 0, "");
	run_resume(RIG_FAIL, 0, "");
}

static unsigned n_tokens(const rig_answer_t *response)
{
	unsigned n = 0;

	for (const char *p = response->body->str; (p = strstr(p, "\"offset\""));
	     p++)
		n++;
	return n;
}

static void run_broken(rig_mode_t mode, unsigned at)
{
	rig_t *rig = rig_new();
	rig_answer_t *response;

	rig_set_mode(rig, 0, mode, at);
	rig_set_mode(rig, 1, mode, at);
	response = rig_send(rig, &model_request);
	RIG_WAIT(response->ended);
	assert_broken(response, "upstream-failed");
	/* the caller received only the tokens before the fault */
	if (mode != RIG_WRONG_TOTAL)
		assert_int_equal(n_tokens(response), at);
	rig_answer_free(response);
	rig_free(rig);
}

static void test_token_gap_or_wrong_total_breaks_the_response(void **state)
{
	run_broken(RIG_SKIP_TOKEN, 4);
	run_broken(RIG_SKIP_TOKEN, RIG_N_TOKENS - 1);
	run_broken(RIG_WRONG_TOKEN, 2);
	run_broken(RIG_WRONG_TOTAL, 0);
}

static void test_upstream_ignoring_the_offset_breaks_the_response(void **state)
{
	rig_t *rig = rig_new();
	rig_answer_t *response;
	int second;

	rig_set_mode(rig, 0, RIG_TRUNCATED, 3);
	rig_set_mode(rig, 1, RIG_TRUNCATED, 3);
	response = rig_send(rig, &model_request);
	RIG_WAIT(rig->upstreams[0].n_requests || rig->upstreams[1].n_requests);
	second = rig->upstreams[0].n_requests ? 1 : 0;
	rig_set_mode(rig, second, RIG_FROM_START, 0);
	RIG_WAIT(response->ended);
	assert_broken(response, "upstream-failed");
	rig_answer_free(response);
	rig_free(rig);
}

static void test_deadline_before_first_byte_ends_the_request(void **state)
{
	rig_t *rig = rig_new();
	rig_request_t request = model_request;
	rig_answer_t *response;
	rig_upstream_t *upstream;

	request.name = "X-Deadline-Ms";
	request.value = "500";
	rig_set_mode(rig, 0, RIG_HOLD, 0);
	rig_set_mode(rig, 1, RIG_HOLD, 0);
	response = rig_send(rig, &request);
	RIG_WAIT(rig->upstreams[0].held->len || rig->upstreams[1].held->len);
	upstream = &rig->upstreams[rig->upstreams[0].held->len ? 0 : 1];
	sr_clock_advance(rig->clock, 499 * SR_MSEC);
	rig_settle();
	assert_false(response->ended);
	sr_clock_advance(rig->clock, SR_MSEC);
	RIG_WAIT(response->ended && upstream->n_cancels);
	assert_int_equal(response->status, 504);
	assert_non_null(
		strstr(response->body->str, "\"executed\":\"unknown\""));
	assert_string_equal(upstream->cancelled + strlen("/requests/"),
			    upstream->last_id);
	rig_answer_free(response);
	rig_free(rig);
}

static void test_disconnected_caller_cancels_its_request(void **state)
{
	rig_t *rig = rig_new();
	rig_answer_t *response;
	rig_upstream_t *upstream;

	rig_set_mode(rig, 0, RIG_HOLD, 0);
	rig_set_mode(rig, 1, RIG_HOLD, 0);
	response = rig_send(rig, &model_request);
	RIG_WAIT(rig->upstreams[0].held->len || rig->upstreams[1].held->len);
	upstream = &rig->upstreams[rig->upstreams[0].held->len ? 0 : 1];
	rig_answer_free(response);
	RIG_WAIT(upstream->n_cancels &&
		 !sr_caller_server_n_requests(rig->server));
	assert_string_equal(upstream->cancelled + strlen("/requests/"),
			    upstream->last_id);
	rig_free(rig);
}

#define N_PARALLEL 12 /* concurrent requests */

/* The responses are sent in the reverse order of the requests. */
static void test_out_of_order_responses_reach_their_requests(void **state)
{
	rig_t *rig = rig_new();
	rig_answer_t *responses[N_PARALLEL];
	char *bodies[N_PARALLEL];

	rig_set_mode(rig, 0, RIG_HOLD, 0);
	rig_set_mode(rig, 1, RIG_HOLD, 0);
	for (int i = 0; i < N_PARALLEL; i++) {
		rig_request_t request = model_request;

		bodies[i] = g_strdup_printf("{\"prompt\": \"%d\"}", i);
		request.body = bodies[i];
		responses[i] = rig_send(rig, &request);
	}
	RIG_WAIT(rig->upstreams[0].held->len + rig->upstreams[1].held->len ==
		 N_PARALLEL);
	for (int u = RIG_N_UPSTREAMS - 1; u >= 0; u--) {
		for (guint i = rig->upstreams[u].held->len; i > 0; i--)
			rig_release(&rig->upstreams[u], i - 1);
	}
	for (int i = 0; i < N_PARALLEL; i++) {
		RIG_WAIT(responses[i]->ended);
		assert_complete(responses[i], bodies[i]);
		rig_answer_free(responses[i]);
		g_free(bodies[i]);
	}
	rig_free(rig);
}

/*
 * An upstream that responds after the deadline must not affect the next request
 * on the same connection.
 */
static void test_late_response_is_discarded(void **state)
{
	rig_t *rig = rig_new();
	rig_answer_t *late;
	rig_answer_t *next;

	rig_set_mode(rig, 0, RIG_HOLD, 0);
	rig_set_mode(rig, 1, RIG_HOLD, 0);
	late = rig_send(rig, &model_request);
	RIG_WAIT(rig->upstreams[0].held->len || rig->upstreams[1].held->len);
	sr_clock_advance(rig->clock, 60 * SR_SEC);
	RIG_WAIT(late->ended);
	assert_int_equal(late->status, 504);
	for (int u = 0; u < RIG_N_UPSTREAMS; u++) {
		if (rig->upstreams[u].held->len)
			rig_release(&rig->upstreams[u], 0);
		rig_set_mode(rig, u, RIG_STREAM, 0);
	}
	next = rig_send(rig, &(rig_request_t){ .path = "/m", .body = "{}" });
	RIG_WAIT(next->ended);
	assert_complete(next, "{}");
	rig_answer_free(late);
	rig_answer_free(next);
	rig_free(rig);
}

static double buffered_bytes(rig_t *rig)
{
	return sr_gauge_get(sr_metrics_gauge(
		rig->metrics, "sassafras_buffered_bytes", "", NULL));
}

/* Up to 64 KiB are buffered, plus one read of 16 KiB. */
static void test_slow_reader_pauses_the_upstream(void **state)
{
	rig_t *rig = rig_new();
	const rig_request_t request = { .method = "GET",
					.path = "/p/x",
					.pause_after = 4096 };
	rig_answer_t *response;
	guint64 before;

	rig_set_mode(rig, 0, RIG_FLOOD, 0);
	rig_set_mode(rig, 1, RIG_FLOOD, 0);
	response = rig_send(rig, &request);
	RIG_WAIT(response->body->len >= 4096);
	do {
		before = rig->upstreams[0].flooded + rig->upstreams[1].flooded;
		rig_settle();
		assert_true(buffered_bytes(rig) <= 64 * 1024 + 16 * 1024);
	} while (rig->upstreams[0].flooded + rig->upstreams[1].flooded !=
		 before);
	assert_true(buffered_bytes(rig) >= 64 * 1024);
	response->pause_after = 0;
	sr_fetch_resume(response->fetch);
	RIG_WAIT(rig->upstreams[0].flooded + rig->upstreams[1].flooded >
		 before + 1024 * 1024);
	assert_true(buffered_bytes(rig) <= 64 * 1024 + 16 * 1024);
	/* a reader that never resumes is disconnected at the deadline */
	sr_clock_advance(rig->clock, SR_HOUR);
	RIG_WAIT(response->ended);
	assert_int_equal(response->end, SR_FETCH_BROKEN);
	rig_answer_free(response);
	rig_free(rig);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_truncated_stream_resumes_at_another_upstream),
		cmocka_unit_test(test_stream_cut_before_first_token_restarts),
		cmocka_unit_test(
			test_cancelled_stream_resumes_at_another_upstream),
		cmocka_unit_test(test_refused_and_failed_requests_are_retried),
		cmocka_unit_test(
			test_token_gap_or_wrong_total_breaks_the_response),
		cmocka_unit_test(
			test_upstream_ignoring_the_offset_breaks_the_response),
		cmocka_unit_test(
			test_deadline_before_first_byte_ends_the_request),
		cmocka_unit_test(test_disconnected_caller_cancels_its_request),
		cmocka_unit_test(
			test_out_of_order_responses_reach_their_requests),
		cmocka_unit_test(test_late_response_is_discarded),
		cmocka_unit_test(test_slow_reader_pauses_the_upstream),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
