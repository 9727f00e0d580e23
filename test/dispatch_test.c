#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "config_builder.h"
#include "core/dispatch.h"

/* A service "chat" with two upstreams, and the options of a call to it. */
typedef struct {
	sr_config_t *config;
	sr_service_config_t *service;
	sr_dispatch_t *dispatch;
	sr_call_options_t call;
} fixture_t;

static void fixture_start(fixture_t *f)
{
	const sr_dispatch_options_t options = { .failure_domain = "a",
						.seed = 1 };

	f->config = config_builder_new(1);
	f->service =
		config_builder_service(f->config, "chat", SR_SERVICE_MODEL);
	config_builder_version(f->service, "v1", 1, 0);
	config_builder_upstream(f->config, "u1", "chat", "v1", "a", 4);
	config_builder_upstream(f->config, "u2", "chat", "v1", "b", 4);
	memset(&f->call, 0, sizeof(f->call));
	f->call.service = f->service;
	f->call.route = config_builder_route(f->service, "ask",
					     SR_PRIORITY_LOOKUP, 10 * SR_SEC);
	f->call.account = config_builder_account(f->config, "acme", 1);
	f->call.deadline = 10 * SR_SEC;
	f->call.idempotent = TRUE;
	f->call.max_tokens = 10;
	f->dispatch = sr_dispatch_new(&options);
	sr_dispatch_set_config(f->dispatch, 0, f->config);
}

static void fixture_stop(fixture_t *f)
{
	sr_dispatch_free(f->dispatch);
	config_builder_free(f->config);
}

static void test_calls_are_spread_over_upstreams(void **state)
{
	fixture_t f;
	sr_decision_t first;
	sr_decision_t second;
	sr_call_t *calls[2];

	fixture_start(&f);
	calls[0] = sr_dispatch_begin(f.dispatch, 0, &f.call, &first);
	calls[1] = sr_dispatch_begin(f.dispatch, 0, &f.call, &second);
	assert_int_equal(first.kind, SR_DECISION_SEND);
	assert_int_equal(second.kind, SR_DECISION_SEND);
	assert_string_not_equal(first.u.send.name, second.u.send.name);
	sr_dispatch_finish(f.dispatch, 0, calls[0]);
	sr_dispatch_finish(f.dispatch, 0, calls[1]);
	fixture_stop(&f);
}

static void test_leaving_and_absent_upstreams_get_no_calls(void **state)
{
	fixture_t f;
	sr_decision_t decision;
	sr_call_t *call;

	fixture_start(&f);
	sr_dispatch_set_leaving(f.dispatch, "u1");
	for (int i = 0; i < 8; i++) {
		call = sr_dispatch_begin(f.dispatch, 0, &f.call, &decision);
		assert_non_null(call);
		assert_string_equal(decision.u.send.name, "u2");
		sr_dispatch_finish(f.dispatch, 0, call);
	}
	sr_dispatch_set_present(f.dispatch, "u2", FALSE);
	call = sr_dispatch_begin(f.dispatch, 0, &f.call, &decision);
	assert_null(call);
	assert_int_equal(decision.u.refuse.err, SR_ERR_NO_UPSTREAM);
	assert_true(decision.u.refuse.retry_after > 0);
	fixture_stop(&f);
}

static void append_state(void *user, const sr_upstream_view_t *view)
{
	g_string_append_printf(user, "%s=%s/%u ", view->target->name,
			       view->state, view->in_flight);
}

static void test_foreach_upstream_reports_state_and_load(void **state)
{
	GString *states = g_string_new(NULL);
	fixture_t f;
	sr_decision_t decision;
	sr_call_t *call;

	fixture_start(&f);
	sr_dispatch_set_leaving(f.dispatch, "u1");
	call = sr_dispatch_begin(f.dispatch, 0, &f.call, &decision);
	assert_non_null(call);
	sr_dispatch_foreach_upstream(f.dispatch, 0, append_state, states);
	assert_string_equal(states->str, "u1=leaving/0 u2=ready/1 ");
	sr_dispatch_finish(f.dispatch, 0, call);
	g_string_free(states, TRUE);
	fixture_stop(&f);
}

static void test_recalled_version_gets_no_retry(void **state)
{
	fixture_t f;
	sr_decision_t decision;
	sr_call_t *call;

	fixture_start(&f);
	call = sr_dispatch_begin(f.dispatch, 0, &f.call, &decision);
	sr_dispatch_recall(f.dispatch, "chat", "v1");
	assert_false(sr_dispatch_attempt_ended(
		f.dispatch, 0, call, SR_ATTEMPT_FAILED, 0, &decision));
	assert_int_equal(decision.u.refuse.err, SR_ERR_UPSTREAM_FAILED);
	sr_dispatch_finish(f.dispatch, 0, call);
	sr_dispatch_set_share(f.dispatch, "chat", "v1", 1);
	sr_dispatch_set_config(f.dispatch, 0, f.config);
	assert_null(sr_dispatch_begin(f.dispatch, 0, &f.call, &decision));
	fixture_stop(&f);
}

static void test_only_safe_attempts_are_retried(void **state)
{
	fixture_t f;
	sr_decision_t decision;
	sr_call_t *call;

	fixture_start(&f);
	f.call.idempotent = FALSE;
	call = sr_dispatch_begin(f.dispatch, 0, &f.call, &decision);
	assert_true(sr_dispatch_attempt_ended(
		f.dispatch, 0, call, SR_ATTEMPT_NOT_STARTED, 0, &decision));
	assert_false(sr_dispatch_attempt_ended(
		f.dispatch, 0, call, SR_ATTEMPT_BROKEN, 0, &decision));
	assert_int_equal(decision.u.refuse.err, SR_ERR_OUTCOME_UNKNOWN);
	sr_dispatch_finish(f.dispatch, 0, call);
	fixture_stop(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_calls_are_spread_over_upstreams),
		cmocka_unit_test(
			test_leaving_and_absent_upstreams_get_no_calls),
		cmocka_unit_test(test_foreach_upstream_reports_state_and_load),
		cmocka_unit_test(test_recalled_version_gets_no_retry),
		cmocka_unit_test(test_only_safe_attempts_are_retried),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
