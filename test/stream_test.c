#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "caller_rig.h"

#define PROMPT "{\"prompt\": \"a\"}"

static const rig_request_t lookup = { .path = "/m", .body = PROMPT };

static void assert_whole(const rig_answer_t *answer, const char *body)
{
	char *expected = rig_expected(body);

	assert_int_equal(answer->status, 200);
	assert_int_equal(answer->end, SR_FETCH_COMPLETE);
	assert_string_equal(answer->body->str, expected);
	g_free(expected);
}

/* The answer ends in an error event of this kind and is cut off. */
static void assert_broken(const rig_answer_t *answer, const char *kind)
{
	char *field = g_strdup_printf("\"kind\":\"%s\"", kind);

	assert_int_equal(answer->end, SR_FETCH_BROKEN);
	assert_non_null(strstr(answer->body->str, "event: error\ndata: {"));
	assert_non_null(strstr(answer->body->str, field));
	assert_null(strstr(answer->body->str, "event: done"));
	g_free(field);
}

/* Both upstreams behave alike at first; the second one to be asked is whole. */
static void run_resume(rig_mode_t mode, unsigned at, const char *offset)
{
	rig_t *rig = rig_new();
	rig_answer_t *answer;
	int second;

	rig_set_mode(rig, 0, mode, at);
	rig_set_mode(rig, 1, mode, at);
	answer = rig_send(rig, &lookup);
	RIG_WAIT(rig->upstreams[0].n_requests || rig->upstreams[1].n_requests);
	second = rig->upstreams[0].n_requests ? 1 : 0;
	rig_set_mode(rig, second, RIG_STREAM, 0);
	RIG_WAIT(answer->ended);
	assert_whole(answer, PROMPT);
	assert_int_equal(rig->upstreams[second].n_requests, 1);
	assert_string_equal(rig->upstreams[second].last_offset, offset);
	assert_string_equal(rig->upstreams[0].last_id,
			    rig->upstreams[1].last_id);
	rig_answer_free(answer);
	rig_free(rig);
}

static void test_cut_stream_goes_on_at_another_upstream(void **state)
{
	run_resume(RIG_TRUNCATED, 3, "3");
	run_resume(RIG_TRUNCATED, 1, "1");
	run_resume(RIG_TRUNCATED, RIG_N_TOKENS, "8");
}

static void test_stream_cut_before_its_first_token_starts_again(void **state)
{
	run_resume(RIG_TRUNCATED, 0, "");
}

static void test_cancelled_stream_goes_on_at_another_upstream(void **state)
{
	run_resume(RIG_CANCELLED, 5, "5");
}

static void test_refused_and_failed_requests_are_retried(void **state)
{
	run_resume(RIG_NOT_RUN, 0, "");
	run_resume(RIG_FAIL, 0, "");
}

static unsigned n_tokens(const rig_answer_t *answer)
{
	unsigned n = 0;

	for (const char *p = answer->body->str; (p = strstr(p, "\"offset\""));
	     p++)
		n++;
	return n;
}

static void run_broken(rig_mode_t mode, unsigned at)
{
	rig_t *rig = rig_new();
	rig_answer_t *answer;

	rig_set_mode(rig, 0, mode, at);
	rig_set_mode(rig, 1, mode, at);
	answer = rig_send(rig, &lookup);
	RIG_WAIT(answer->ended);
	assert_broken(answer, "upstream-failed");
	/* Nothing from the fault on was passed to the caller. */
	if (mode != RIG_WRONG_TOTAL)
		assert_int_equal(n_tokens(answer), at);
	rig_answer_free(answer);
	rig_free(rig);
}

static void test_hole_or_wrong_total_marks_the_answer_broken(void **state)
{
	run_broken(RIG_SKIP_TOKEN, 4);
	run_broken(RIG_SKIP_TOKEN, RIG_N_TOKENS - 1);
	run_broken(RIG_WRONG_TOKEN, 2);
	run_broken(RIG_WRONG_TOTAL, 0);
}

static void
test_upstream_that_ignores_the_offset_breaks_the_answer(void **state)
{
	rig_t *rig = rig_new();
	rig_answer_t *answer;
	int second;

	rig_set_mode(rig, 0, RIG_TRUNCATED, 3);
	rig_set_mode(rig, 1, RIG_TRUNCATED, 3);
	answer = rig_send(rig, &lookup);
	RIG_WAIT(rig->upstreams[0].n_requests || rig->upstreams[1].n_requests);
	second = rig->upstreams[0].n_requests ? 1 : 0;
	rig_set_mode(rig, second, RIG_FROM_START, 0);
	RIG_WAIT(answer->ended);
	assert_broken(answer, "upstream-failed");
	rig_answer_free(answer);
	rig_free(rig);
}

static void
test_deadline_before_the_first_byte_is_answered_at_once(void **state)
{
	rig_t *rig = rig_new();
	rig_request_t request = lookup;
	rig_answer_t *answer;
	rig_upstream_t *upstream;

	request.name = "X-Deadline-Ms";
	request.value = "500";
	rig_set_mode(rig, 0, RIG_HOLD, 0);
	rig_set_mode(rig, 1, RIG_HOLD, 0);
	answer = rig_send(rig, &request);
	RIG_WAIT(rig->upstreams[0].held->len || rig->upstreams[1].held->len);
	upstream = &rig->upstreams[rig->upstreams[0].held->len ? 0 : 1];
	sr_clock_advance(rig->clock, 499 * SR_MSEC);
	rig_settle();
	assert_false(answer->ended);
	sr_clock_advance(rig->clock, SR_MSEC);
	RIG_WAIT(answer->ended && upstream->n_cancels);
	assert_int_equal(answer->status, 504);
	assert_non_null(strstr(answer->body->str, "\"executed\":\"unknown\""));
	assert_string_equal(upstream->cancelled + strlen("/requests/"),
			    upstream->last_id);
	rig_answer_free(answer);
	rig_free(rig);
}

static void test_caller_that_leaves_cancels_its_request(void **state)
{
	rig_t *rig = rig_new();
	rig_answer_t *answer;
	rig_upstream_t *upstream;

	rig_set_mode(rig, 0, RIG_HOLD, 0);
	rig_set_mode(rig, 1, RIG_HOLD, 0);
	answer = rig_send(rig, &lookup);
	RIG_WAIT(rig->upstreams[0].held->len || rig->upstreams[1].held->len);
	upstream = &rig->upstreams[rig->upstreams[0].held->len ? 0 : 1];
	rig_answer_free(answer);
	RIG_WAIT(upstream->n_cancels &&
		 !sr_caller_server_n_requests(rig->server));
	assert_string_equal(upstream->cancelled + strlen("/requests/"),
			    upstream->last_id);
	rig_free(rig);
}

#define N_PARALLEL 12

/* Answers come in the reverse order of the requests. */
static void test_answers_out_of_order_reach_their_own_requests(void **state)
{
	rig_t *rig = rig_new();
	rig_answer_t *answers[N_PARALLEL];
	char *bodies[N_PARALLEL];

	rig_set_mode(rig, 0, RIG_HOLD, 0);
	rig_set_mode(rig, 1, RIG_HOLD, 0);
	for (int i = 0; i < N_PARALLEL; i++) {
		rig_request_t request = lookup;

		bodies[i] = g_strdup_printf("{\"prompt\": \"%d\"}", i);
		request.body = bodies[i];
		answers[i] = rig_send(rig, &request);
	}
	RIG_WAIT(rig->upstreams[0].held->len + rig->upstreams[1].held->len ==
		 N_PARALLEL);
	for (int u = RIG_N_UPSTREAMS - 1; u >= 0; u--) {
		for (guint i = rig->upstreams[u].held->len; i > 0; i--)
			rig_release(&rig->upstreams[u], i - 1);
	}
	for (int i = 0; i < N_PARALLEL; i++) {
		RIG_WAIT(answers[i]->ended);
		assert_whole(answers[i], bodies[i]);
		rig_answer_free(answers[i]);
		g_free(bodies[i]);
	}
	rig_free(rig);
}

/* The upstream goes on after the deadline; the next request on the same
 * connection gets its own answer only. */
static void test_late_answer_reaches_nobody(void **state)
{
	rig_t *rig = rig_new();
	rig_answer_t *late;
	rig_answer_t *next;

	rig_set_mode(rig, 0, RIG_HOLD, 0);
	rig_set_mode(rig, 1, RIG_HOLD, 0);
	late = rig_send(rig, &lookup);
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
	assert_whole(next, "{}");
	rig_answer_free(late);
	rig_answer_free(next);
	rig_free(rig);
}

static double buffered(rig_t *rig)
{
	return sr_gauge_get(sr_metrics_gauge(
		rig->metrics, "sassafras_buffered_bytes", "", NULL));
}

/* The limit is 64 KiB, and one read more. */
static void test_slow_reader_pauses_the_upstream(void **state)
{
	rig_t *rig = rig_new();
	const rig_request_t request = { .method = "GET",
					.path = "/p/x",
					.pause_after = 4096 };
	rig_answer_t *answer;
	guint64 before;

	rig_set_mode(rig, 0, RIG_FLOOD, 0);
	rig_set_mode(rig, 1, RIG_FLOOD, 0);
	answer = rig_send(rig, &request);
	RIG_WAIT(answer->body->len >= 4096);
	do {
		before = rig->upstreams[0].flooded + rig->upstreams[1].flooded;
		rig_settle();
		assert_true(buffered(rig) <= 64 * 1024 + 16 * 1024);
	} while (rig->upstreams[0].flooded + rig->upstreams[1].flooded !=
		 before);
	assert_true(buffered(rig) >= 64 * 1024);
	answer->pause_after = 0;
	sr_fetch_resume(answer->fetch);
	RIG_WAIT(rig->upstreams[0].flooded + rig->upstreams[1].flooded >
		 before + 1024 * 1024);
	assert_true(buffered(rig) <= 64 * 1024 + 16 * 1024);
	/* A reader that stops for good is cut off at the deadline. */
	sr_clock_advance(rig->clock, SR_HOUR);
	RIG_WAIT(answer->ended);
	assert_int_equal(answer->end, SR_FETCH_BROKEN);
	rig_answer_free(answer);
	rig_free(rig);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cut_stream_goes_on_at_another_upstream),
		cmocka_unit_test(
			test_stream_cut_before_its_first_token_starts_again),
		cmocka_unit_test(
			test_cancelled_stream_goes_on_at_another_upstream),
		cmocka_unit_test(test_refused_and_failed_requests_are_retried),
		cmocka_unit_test(
			test_hole_or_wrong_total_marks_the_answer_broken),
		cmocka_unit_test(
			test_upstream_that_ignores_the_offset_breaks_the_answer),
		cmocka_unit_test(
			test_deadline_before_the_first_byte_is_answered_at_once),
		cmocka_unit_test(test_caller_that_leaves_cancels_its_request),
		cmocka_unit_test(
			test_answers_out_of_order_reach_their_own_requests),
		cmocka_unit_test(test_late_answer_reaches_nobody),
		cmocka_unit_test(test_slow_reader_pauses_the_upstream),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
