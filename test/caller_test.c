#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "caller/connection.h"
#include "caller_rig.h"

/* Bytes of "[", below the body limit of the rig. */
#define NESTED_SIZE 200000

static void test_refusals_state_kind_and_execution(void **state)
{
	static const struct {
		rig_request_t request;
		unsigned status;
		const char *kind;
	} cases[] = {
		{ { .path = "/m", .token = "wrong" }, 401, "unauthenticated" },
		{ { .path = "/m", .token = "u" }, 403, "forbidden" },
		{ { .path = "/x" }, 404, "not-found" },
		{ { .path = "/m", .method = "GET" }, 404, "not-found" },
		{ { .path = "/m", .body = "[1" }, 400, "invalid" },
		{ { .path = "/m", .name = "X-Deadline-Ms", .value = "0" },
		  400,
		  "invalid" },
		{ { .path = "/m", .name = "X-Priority", .value = "high" },
		  400,
		  "invalid" },
		{ { .path = "/p/w" }, 400, "invalid" },
		{ { .path = "/p/w", .name = "Idempotency-Key", .value = "a b" },
		  400,
		  "invalid" },
		{ { .path = "/p/w", .name = "Idempotency-Key", .value = "k" },
		  503,
		  "platform" },
		/* Paths that an upstream may resolve to another route. */
		{ { .path = "/p/x/../w" }, 400, "invalid" },
		{ { .path = "/p/x/%2e%2E/w" }, 400, "invalid" },
		{ { .path = "/p//w" }, 400, "invalid" },
		{ { .path = "/p/x%2f..%2fw" }, 400, "invalid" },
	};
	rig_t *rig = rig_new();

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		rig_answer_t *answer = rig_send(rig, &cases[i].request);
		char *kind = g_strdup_printf("\"kind\":\"%s\"", cases[i].kind);

		RIG_WAIT(answer->ended);
		assert_int_equal(answer->status, cases[i].status);
		assert_non_null(strstr(answer->body->str, kind));
		assert_non_null(strstr(answer->body->str, "\"remedy\":\""));
		assert_non_null(
			strstr(answer->body->str, "\"executed\":\"not-run\""));
		assert_true((answer->status == 503) ==
			    (answer->retry_after != NULL));
		rig_answer_free(answer);
		g_free(kind);
	}
	assert_int_equal(rig->upstreams[0].n_requests, 0);
	assert_int_equal(rig->upstreams[1].n_requests, 0);
	rig_free(rig);
}

static void test_oversized_and_nested_bodies_are_refused(void **state)
{
	rig_t *rig = rig_new();
	gsize size = 300 * 1024;
	char *body = g_malloc(size);
	rig_answer_t *answer;

	memset(body, '[', size);
	answer = rig_send(
		rig,
		&(rig_request_t){ .path = "/m", .body = body, .size = size });
	RIG_WAIT(answer->ended);
	assert_int_equal(answer->status, 413);
	rig_answer_free(answer);
	answer = rig_send(rig, &(rig_request_t){ .path = "/m",
						 .body = body,
						 .size = NESTED_SIZE });
	RIG_WAIT(answer->ended);
	assert_int_equal(answer->status, 400);
	rig_answer_free(answer);
	g_free(body);
	rig_free(rig);
}

static void test_priority_can_only_be_lowered(void **state)
{
	static const char *const cases[][2] = { { "lookup", "1" },
						{ "comparison", "1" },
						{ "bulk", "2" } };
	rig_t *rig = rig_new();

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		rig_answer_t *answer =
			rig_send(rig, &(rig_request_t){ .path = "/m",
							.name = "X-Priority",
							.value = cases[i][0] });
		char *seen;

		RIG_WAIT(answer->ended);
		seen = rig->upstreams[0].last_priority;
		if (!seen || !*seen)
			seen = rig->upstreams[1].last_priority;
		assert_string_equal(seen, cases[i][1]);
		rig_set_string(&rig->upstreams[0].last_priority, "");
		rig_set_string(&rig->upstreams[1].last_priority, "");
		rig_answer_free(answer);
	}
	rig_free(rig);
}

static rig_answer_t *get_plain(rig_t *rig, const char *method, rig_mode_t mode,
			       unsigned at)
{
	rig_answer_t *answer;

	rig_set_mode(rig, 0, mode, at);
	rig_set_mode(rig, 1, mode, at);
	answer = rig_send(
		rig, &(rig_request_t){ .method = method, .path = "/p/x?q=1" });
	RIG_WAIT(answer->ended);
	return answer;
}

/* Attempts at the plain service that ended with "ok". */
static double ok_attempts(rig_t *rig)
{
	return (double)sr_counter_get(
		sr_metrics_counter(rig->metrics, "sassafras_attempts_total", "",
				   "service=\"p\",version=\"v\",end=\"ok\""));
}

static void test_plain_answers_pass_through_whole(void **state)
{
	rig_t *rig = rig_new();
	rig_answer_t *answer = get_plain(rig, "GET", RIG_PLAIN, 0);

	assert_int_equal(answer->end, SR_FETCH_COMPLETE);
	assert_string_equal(answer->body->str, "whole answer");
	rig_answer_free(answer);
	answer = get_plain(rig, "GET", RIG_EMPTY, 0);
	assert_int_equal(answer->end, SR_FETCH_COMPLETE);
	assert_int_equal(answer->status, 200);
	rig_answer_free(answer);
	answer = get_plain(rig, "HEAD", RIG_PLAIN, 0);
	assert_int_equal(answer->end, SR_FETCH_COMPLETE);
	assert_int_equal(answer->status, 200);
	rig_answer_free(answer);
	answer = get_plain(rig, "GET", RIG_LONG, 0);
	assert_int_equal(answer->end, SR_FETCH_COMPLETE);
	assert_int_equal(answer->body->len, RIG_LONG_SIZE);
	rig_answer_free(answer);
	/* Each attempt counts as "ok", none as a disconnected caller. */
	assert_true(ok_attempts(rig) == 4);
	rig_free(rig);
}

static void
test_truncated_plain_answer_is_truncated_for_the_caller(void **state)
{
	rig_t *rig = rig_new();
	rig_answer_t *answer = get_plain(rig, "GET", RIG_PLAIN_TRUNCATED, 5);

	assert_int_equal(answer->end, SR_FETCH_BROKEN);
	assert_true(answer->body->len <= strlen("whole"));
	rig_answer_free(answer);
	rig_free(rig);
}

static void test_failure_of_every_upstream_is_a_problem(void **state)
{
	rig_t *rig = rig_new();
	rig_answer_t *answer = get_plain(rig, "GET", RIG_FAIL, 0);

	assert_int_equal(answer->status, 502);
	assert_non_null(strstr(answer->body->str, "\"executed\":\"unknown\""));
	rig_answer_free(answer);
	answer = get_plain(rig, "GET", RIG_NOT_RUN, 0);
	assert_int_equal(answer->status, 503);
	assert_non_null(strstr(answer->body->str, "\"executed\":\"not-run\""));
	assert_non_null(answer->retry_after);
	rig_answer_free(answer);
	rig_free(rig);
}

/* A client connection without an HTTP library. */

typedef struct {
	GSocketConnection *stream;
	GSocket *socket;
	GString *in;	 /* received */
	gboolean closed; /* by the server */
} raw_connection_t;

static raw_connection_t *raw_open(guint16 port)
{
	raw_connection_t *raw = g_new0(raw_connection_t, 1);
	GSocketClient *client = g_socket_client_new();
	GSocketAddress *address =
		g_inet_socket_address_new_from_string("127.0.0.1", port);

	raw->stream = g_socket_client_connect(
		client, G_SOCKET_CONNECTABLE(address), NULL, NULL);
	assert_non_null(raw->stream);
	raw->socket = g_socket_connection_get_socket(raw->stream);
	g_socket_set_blocking(raw->socket, FALSE);
	raw->in = g_string_new(NULL);
	g_object_unref(address);
	g_object_unref(client);
	return raw;
}

static void raw_free(raw_connection_t *raw)
{
	g_io_stream_close(G_IO_STREAM(raw->stream), NULL, NULL);
	g_object_unref(raw->stream);
	g_string_free(raw->in, TRUE);
	g_free(raw);
}

static void raw_send(raw_connection_t *raw, const char *text)
{
	g_socket_send(raw->socket, text, strlen(text), NULL, NULL);
}

/* Reads what is available; returns TRUE if the server has closed the
 * connection. */
static gboolean raw_poll(raw_connection_t *raw)
{
	char buffer[4096];
	GError *error = NULL;
	gssize size = 1;

	while (!raw->closed && size > 0) {
		size = g_socket_receive(raw->socket, buffer, sizeof(buffer),
					NULL, &error);
		if (size > 0)
			g_string_append_len(raw->in, buffer, size);
	}
	if (size == 0 || (error && !g_error_matches(error, G_IO_ERROR,
						    G_IO_ERROR_WOULD_BLOCK)))
		raw->closed = TRUE;
	g_clear_error(&error);
	return raw->closed;
}

/* The raw socket is not a source of the main loop, so it is polled. */
static gboolean on_raw_poll_timer(gpointer data)
{
	raw_poll(data);
	return G_SOURCE_CONTINUE;
}

/* Runs the loop until condition, polling raw every 5 ms. */
#define RAW_WAIT(raw, condition)                                        \
	do {                                                            \
		guint tick_ = g_timeout_add(5, on_raw_poll_timer, raw); \
		RIG_WAIT(condition);                                    \
		g_source_remove(tick_);                                 \
	} while (0)

/* The caller adds further fields and the empty line. */
#define REQUEST_HEAD(method, path) \
	method " " path " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer t\r\n"

/* Checks that a request is answered and that the count of buffered bytes falls
 * back to 0. */
static void assert_still_serving(rig_t *rig)
{
	rig_answer_t *answer = get_plain(rig, "GET", RIG_PLAIN, 0);

	assert_string_equal(answer->body->str, "whole answer");
	rig_answer_free(answer);
	RIG_WAIT(!sr_caller_server_n_requests(rig->server));
	assert_true(sr_gauge_get(sr_metrics_gauge(rig->metrics,
						  "sassafras_buffered_bytes",
						  "", NULL)) == 0);
}

static void test_connection_is_kept_for_further_requests(void **state)
{
	rig_t *rig = rig_new();
	raw_connection_t *raw = raw_open(sr_caller_server_port(rig->server));

	rig_set_mode(rig, 0, RIG_PLAIN, 0);
	rig_set_mode(rig, 1, RIG_PLAIN, 0);
	for (int i = 0; i < 3; i++) {
		g_string_truncate(raw->in, 0);
		raw_send(raw, REQUEST_HEAD("GET", "/p/x") "\r\n");
		RAW_WAIT(raw, strstr(raw->in->str, "whole answer"));
	}
	rig_settle();
	assert_false(raw_poll(raw));
	raw_free(raw);
	rig_free(rig);
}

#define N_CONNECTIONS 50

/*
 * Guards against slow refusals under load: with one accept per main loop
 * iteration, a connection waits for one iteration per connection ahead of it.
 */
static void test_few_iterations_accept_many_connections(void **state)
{
	rig_t *rig = rig_new();
	raw_connection_t *raws[N_CONNECTIONS];
	SoupServer *server = soup_server_new(NULL, NULL);
	const sr_listener_options_t options = {
		.clock = rig->clock,
		.server = server,
		.max_connections = N_CONNECTIONS - 1,
		.header_timeout = SR_SEC,
	};
	sr_listener_t *listener = sr_listener_new(&options);
	char *detail = NULL;

	assert_int_equal(sr_listener_open(listener, "127.0.0.1:0", &detail),
			 SR_OK);
	for (int i = 0; i < N_CONNECTIONS; i++)
		raws[i] = raw_open(sr_listener_port(listener));
	for (int i = 0; i < 3; i++)
		g_main_context_iteration(NULL, FALSE);
	assert_int_equal(sr_listener_n_connections(listener),
			 N_CONNECTIONS - 1);
	RAW_WAIT(raws[N_CONNECTIONS - 1], raws[N_CONNECTIONS - 1]->closed);
	for (int i = 0; i < N_CONNECTIONS; i++)
		raw_free(raws[i]);
	sr_listener_free(listener);
	soup_server_disconnect(server);
	g_object_unref(server);
	rig_free(rig);
}

static void test_slow_and_idle_connections_are_closed(void **state)
{
	static const struct {
		const char *sent;
		sr_usec_t limit;
	} cases[] = {
		{ "", 60 * SR_SEC },
		{ "GET /p/x HT", 60 * SR_SEC },
		{ REQUEST_HEAD("POST", "/m") "Content-Length: 9\r\n\r\n{",
		  30 * SR_SEC },
	};
	rig_t *rig = rig_new();

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		raw_connection_t *raw =
			raw_open(sr_caller_server_port(rig->server));

		raw_send(raw, cases[i].sent);
		rig_settle();
		sr_clock_advance(rig->clock, cases[i].limit - SR_MSEC);
		rig_settle();
		assert_false(raw_poll(raw));
		sr_clock_advance(rig->clock, SR_MSEC);
		RAW_WAIT(raw, raw->closed);
		raw_free(raw);
	}
	assert_still_serving(rig);
	rig_free(rig);
}

static void test_malformed_requests_do_not_affect_others(void **state)
{
	static const char *const cases[] = {
		"\x16\x03\x01\x02\x00garbage\r\n\r\n",
		"GET\r\n\r\nGET\r\n\r\n",
		"GET /p/x HTTP/1.0\r\nAuthorization: Bearer t\r\n\r\n",
		REQUEST_HEAD("POST", "/m") "Content-Length: -5\r\n\r\nabc",
		REQUEST_HEAD("POST",
			     "/m") "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		REQUEST_HEAD("GET", "/p/x") "\r\n\x01\x02garbage\r\n\r\n",
		REQUEST_HEAD("CONNECT", "h:1") "\r\n",
		REQUEST_HEAD("OPTIONS", "*") "\r\n",
		REQUEST_HEAD("GET", "http://other:99/p/x") "\r\n",
	};
	rig_t *rig = rig_new();

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		raw_connection_t *raw =
			raw_open(sr_caller_server_port(rig->server));

		raw_send(raw, cases[i]);
		rig_settle();
		raw_free(raw);
		assert_still_serving(rig);
	}
	rig_free(rig);
}

static void test_oversized_header_is_bounded(void **state)
{
	rig_t *rig = rig_new();
	raw_connection_t *raw = raw_open(sr_caller_server_port(rig->server));
	char *block = g_strnfill(4096, 'a');

	raw_send(raw, "GET /p/x HTTP/1.1\r\nX-Long: ");
	for (int i = 0; i < 20000 && !raw_poll(raw); i++) {
		raw_send(raw, block);
		g_main_context_iteration(NULL, FALSE);
	}
	RAW_WAIT(raw, raw->closed);
	g_free(block);
	raw_free(raw);
	assert_still_serving(rig);
	rig_free(rig);
}

static void test_endless_chunked_body_closes_the_connection(void **state)
{
	rig_t *rig = rig_new();
	raw_connection_t *raw = raw_open(sr_caller_server_port(rig->server));
	char *block = g_strnfill(4096, 'a');
	char *chunk = g_strdup_printf("1000\r\n%s\r\n", block);
	double peak = 0; /* bytes buffered */

	raw_send(raw, REQUEST_HEAD("POST", "/m") "Transfer-Encoding: chunked"
						 "\r\n\r\n");
	for (int i = 0; i < 100000 && !raw_poll(raw); i++) {
		sr_gauge_t *buffered = sr_metrics_gauge(
			rig->metrics, "sassafras_buffered_bytes", "", NULL);

		/* A partial send would break the chunk coding, so wait. */
		if (g_socket_condition_check(raw->socket, G_IO_OUT) &&
		    g_socket_send(raw->socket, chunk, strlen(chunk), NULL,
				  NULL) != (gssize)strlen(chunk))
			break;
		while (g_main_context_iteration(NULL, FALSE))
			peak = MAX(peak, sr_gauge_get(buffered));
	}
	RAW_WAIT(raw, raw->closed);
	assert_true(peak > 200 * 1024 && peak <= 256 * 1024);
	g_free(block);
	g_free(chunk);
	raw_free(raw);
	assert_still_serving(rig);
	rig_free(rig);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refusals_state_kind_and_execution),
		cmocka_unit_test(test_oversized_and_nested_bodies_are_refused),
		cmocka_unit_test(test_priority_can_only_be_lowered),
		cmocka_unit_test(test_plain_answers_pass_through_whole),
		cmocka_unit_test(
			test_truncated_plain_answer_is_truncated_for_the_caller),
		cmocka_unit_test(test_failure_of_every_upstream_is_a_problem),
		cmocka_unit_test(test_connection_is_kept_for_further_requests),
		cmocka_unit_test(test_few_iterations_accept_many_connections),
		cmocka_unit_test(test_slow_and_idle_connections_are_closed),
		cmocka_unit_test(test_malformed_requests_do_not_affect_others),
		cmocka_unit_test(test_oversized_header_is_bounded),
		cmocka_unit_test(
			test_endless_chunked_body_closes_the_connection),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
