/* The probe of an ejected instance that ends without a response. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "gateway_rig.h"

/** A little more than the first ejection lasts, in ms. */
#define EJECTION_MS 2100

typedef struct {
	rig_t *rig;
	caller_t *caller;
} fixture_t;

/* Responds to all requests but those of paths that end in "hang". */
static void serve(fake_connection_t *connection, const sr_message_t *request)
{
	if (!g_str_has_suffix(request->target, "hang"))
		rig_respond(connection, request, 200, "", "hello");
}

static fixture_t fixture_new(void)
{
	fixture_t fixture = { .rig = rig_new(serve) };

	fixture.caller = caller_new(fixture.rig->caller_address);
	return fixture;
}

static void fixture_free(fixture_t *fixture)
{
	caller_free(fixture->caller);
	rig_free(fixture->rig);
}

/* Guards against an instance that stays out for good: the probe after its
 * ejection got no response before its caller left, or before the deadline. */
static void check_lost_probe(const char *left_ms)
{
	fixture_t fixture = fixture_new();
	rig_t *rig = fixture.rig;
	caller_t *leaver = caller_new(rig->caller_address);
	char *probe = g_strdup_printf(
		"POST /once/hang HTTP/1.1\r\nHost: h.example\r\nX-Request: p\r\n"
		"X-Left-Ms: %s\r\nAuthorization: Bearer secret\r\n"
		"Content-Length: 0\r\n\r\n",
		left_ms);
	unsigned n_before;

	rig_refuse_connections(&rig->instances[0]);
	for (unsigned i = 0; i < 12; i++) {
		g_string_truncate(fixture.caller->received, 0);
		caller_request(fixture.caller, "POST", "/safe/ok", "q", "", "");
		assert_true(caller_wait_for(fixture.caller, "hello", 1000));
	}
	while (!rig_open_instance(&rig->instances[0]))
		rig_run_for(10);
	rig_run_for(EJECTION_MS);
	n_before = rig->instances[0].n_requests;
	caller_send(leaver, probe);
	rig_run_for(300);
	assert_int_equal(rig->instances[0].n_requests, n_before + 1);
	caller_free(leaver);
	/* an ejection that follows lasts twice as long */
	rig_run_for(2 * EJECTION_MS);
	for (unsigned i = 0; i < 4; i++) {
		g_string_truncate(fixture.caller->received, 0);
		caller_request(fixture.caller, "POST", "/safe/ok", "q", "", "");
		assert_true(caller_wait_for(fixture.caller, "hello", 1000));
	}
	assert_true(rig->instances[0].n_requests > n_before + 1);
	g_free(probe);
	fixture_free(&fixture);
}

static void test_lost_probe_is_tried_again(void **state)
{
	(void)state;
	check_lost_probe("1500"); /* the caller leaves before it */
	check_lost_probe("100");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lost_probe_is_tried_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
