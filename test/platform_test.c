#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>
#include <libsoup/soup.h>

#include "platform_api/budget.h"
#include "platform_api/client.h"
#include "platform_api/hosts.h"

typedef enum {
	ANSWER_NORMAL,
	ANSWER_NONE,	 /* the request takes effect; no answer is sent */
	ANSWER_CLOSE,	 /* it takes effect; the connection is closed */
	ANSWER_THROTTLE, /* 503 with Retry-After; no effect */
	ANSWER_ERROR,	 /* it takes effect; 500 */
} answer_t;

typedef struct {
	SoupServer *server;
	sr_clock_t *clock;
	sr_platform_t *platform;
	answer_t answer;
	guint64 version; /* of the only object; 0 if it doesn't exist */
	unsigned requests;
	unsigned writes;
	unsigned replies;
	sr_store_reply_t last;
	char *value;
	GString *order;	   /* last characters of the request paths */
	const char *hosts; /* answer to GET /hosts */
	GHashTable *ports; /* of the client's connections that were used */
} fixture_t;

static gboolean write_object(fixture_t *f, SoupServerMessage *message)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);
	const char *match = soup_message_headers_get_one(headers, "If-Match");
	char *etag = g_strdup_printf("\"%" G_GUINT64_FORMAT "\"", f->version);
	gboolean success = match ? !strcmp(match, etag) : !f->version;

	g_free(etag);
	f->version += success;
	f->writes += success;
	return success;
}

static void serve_object(fixture_t *f, SoupServerMessage *message)
{
	const char *method = soup_server_message_get_method(message);
	char *etag;
	gboolean success = TRUE;

	if (!strcmp(method, "PUT"))
		success = write_object(f, message);
	soup_server_message_set_status(message, success ? 200 : 412, NULL);
	etag = g_strdup_printf("\"%" G_GUINT64_FORMAT "\"", f->version);
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message), "ETag",
		etag);
	g_free(etag);
	if (!strcmp(method, "GET"))
		soup_server_message_set_response(
			message, "text/plain", SOUP_MEMORY_STATIC, "value", 5);
}

static void on_request(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	fixture_t *f = data;

	f->requests++;
	g_hash_table_add(f->ports,
			 GINT_TO_POINTER(g_inet_socket_address_get_port(
				 G_INET_SOCKET_ADDRESS(
					 soup_server_message_get_remote_address(
						 message)))));
	g_string_append_c(f->order, path[strlen(path) - 1]);
	if (f->answer == ANSWER_THROTTLE) {
		soup_server_message_set_status(message, 503, NULL);
		soup_message_headers_replace(
			soup_server_message_get_response_headers(message),
			"Retry-After", "1");
		return;
	}
	if (!strcmp(path, "/hosts")) {
		soup_server_message_set_status(message, 200, NULL);
		soup_server_message_set_response(message, "application/json",
						 SOUP_MEMORY_COPY, f->hosts,
						 strlen(f->hosts));
		return;
	}
	serve_object(f, message);
	if (f->answer == ANSWER_NONE)
		soup_server_message_pause(message);
	if (f->answer == ANSWER_ERROR)
		soup_server_message_set_status(message, 500, NULL);
	if (f->answer == ANSWER_CLOSE)
		g_socket_close(soup_server_message_get_socket(message), NULL);
}

static void on_reply(void *user, const sr_store_reply_t *reply)
{
	fixture_t *f = user;

	f->replies++;
	f->last = *reply;
	g_clear_pointer(&f->value, g_free);
	if (reply->value)
		f->value = g_strndup(g_bytes_get_data(reply->value, NULL),
				     g_bytes_get_size(reply->value));
	f->last.value = NULL;
}

static void start_client(fixture_t *f, unsigned max_in_flight)
{
	GSList *uris = soup_server_get_uris(f->server);
	char *address =
		g_strdup_printf("127.0.0.1:%d", g_uri_get_port(uris->data));
	sr_platform_options_t options = { .address = address,
					  .clock = f->clock,
					  .max_in_flight = max_in_flight,
					  .seed = 1 };

	f->platform = sr_platform_new(&options);
	g_free(address);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
}

static int setup(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(f->server, NULL, on_request, f, NULL);
	assert_true(soup_server_listen_local(
		f->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
	f->clock = sr_clock_new_manual(SR_SEC);
	f->order = g_string_new(NULL);
	f->ports = g_hash_table_new(NULL, NULL);
	start_client(f, 0);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *f = *state;

	sr_platform_free(f->platform);
	soup_server_disconnect(f->server);
	g_object_unref(f->server);
	while (g_main_context_iteration(NULL, FALSE))
		;
	sr_clock_free(f->clock);
	g_string_free(f->order, TRUE);
	g_hash_table_unref(f->ports);
	g_free(f->value);
	g_free(f);
	return 0;
}

static void submit(fixture_t *f, sr_store_op_t op, guint64 if_version)
{
	GBytes *value = g_bytes_new_static("new", 3);
	sr_store_call_t call = { .op = op,
				 .class = SR_STORE_CONFIG,
				 .key = "a/b",
				 .if_version = if_version,
				 .done = on_reply,
				 .user = f };

	if (op == SR_STORE_CREATE || op == SR_STORE_UPDATE)
		call.value = value;
	sr_store_submit(sr_platform_store(f->platform), &call);
	g_bytes_unref(value);
	sr_clock_advance(f->clock, 0);
}

/* Runs socket I/O for 50 ms of real time; the manual clock stands still. */
static void run_main_loop(fixture_t *f)
{
	gint64 end = g_get_monotonic_time() + 50 * SR_MSEC;

	while (g_get_monotonic_time() < end) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(100);
	}
	sr_clock_advance(f->clock, 0);
}

static void submit_and_wait(fixture_t *f, sr_store_op_t op, guint64 if_version)
{
	submit(f, op, if_version);
	run_main_loop(f);
}

static void test_http_statuses_map_to_store_statuses(void **state)
{
	fixture_t *f = *state;

	submit_and_wait(f, SR_STORE_CREATE, 0);
	assert_int_equal(f->last.status, SR_STORE_OK);
	assert_int_equal(f->last.version, 1);
	submit_and_wait(f, SR_STORE_CREATE, 0);
	assert_int_equal(f->last.status, SR_STORE_CONFLICT);
	submit_and_wait(f, SR_STORE_UPDATE, 1);
	assert_int_equal(f->last.status, SR_STORE_OK);
	submit_and_wait(f, SR_STORE_GET, 0);
	assert_int_equal(f->last.status, SR_STORE_OK);
	assert_int_equal(f->last.version, 2);
	assert_string_equal(f->value, "value");
	f->answer = ANSWER_THROTTLE;
	submit_and_wait(f, SR_STORE_UPDATE, 2);
	assert_int_equal(f->last.status, SR_STORE_NOT_DONE);
	assert_int_equal(f->last.retry_after, SR_SEC);
	assert_int_equal(f->writes, 2);
	assert_int_equal(f->replies, 5);
}

static void test_lost_write_is_unknown_and_not_sent_again(void **state)
{
	fixture_t *f = *state;

	submit_and_wait(f, SR_STORE_GET, 0); /* leaves a connection to reuse */
	f->answer = ANSWER_CLOSE;
	submit_and_wait(f, SR_STORE_CREATE, 0);
	assert_int_equal(f->replies, 2);
	assert_int_equal(f->last.status, SR_STORE_UNKNOWN);
	assert_int_equal(f->requests, 2);
	f->answer = ANSWER_ERROR;
	submit_and_wait(f, SR_STORE_UPDATE, 1);
	assert_int_equal(f->last.status, SR_STORE_UNKNOWN);
	assert_int_equal(f->writes, 2);
}

static void test_unanswered_call_times_out(void **state)
{
	fixture_t *f = *state;

	f->answer = ANSWER_NONE;
	submit_and_wait(f, SR_STORE_CREATE, 0);
	sr_clock_advance(f->clock, SR_PLATFORM_DEFAULT_TIMEOUT - 1);
	assert_int_equal(f->replies, 0);
	sr_clock_advance(f->clock, 1);
	assert_int_equal(f->replies, 1);
	assert_int_equal(f->last.status, SR_STORE_UNKNOWN);
	run_main_loop(f);
	assert_int_equal(f->replies, 1);
}

/* Guards against calls that time out one after the other on kept connections
 * which have all gone silent at once. */
static void test_kept_connections_are_left_after_a_lost_call(void **state)
{
	fixture_t *f = *state;

	submit(f, SR_STORE_GET, 0);
	submit(f, SR_STORE_GET, 0);
	submit_and_wait(f, SR_STORE_GET, 0);
	assert_int_equal(f->replies, 3);
	assert_int_equal(g_hash_table_size(f->ports), 3);
	f->answer = ANSWER_NONE;
	submit_and_wait(f, SR_STORE_GET, 0);
	sr_clock_advance(f->clock, SR_PLATFORM_DEFAULT_TIMEOUT);
	assert_int_equal(f->replies, 4);
	f->answer = ANSWER_NORMAL;
	submit_and_wait(f, SR_STORE_GET, 0);
	submit_and_wait(f, SR_STORE_GET, 0);
	assert_int_equal(f->replies, 6);
	/* one more, which is none of those before */
	assert_int_equal(g_hash_table_size(f->ports), 4);
}

static void test_calls_to_unreachable_platform_are_refused(void **state)
{
	fixture_t *f = *state;
	unsigned replies;

	soup_server_disconnect(f->server);
	for (int i = 0; i < SR_BUDGET_TRIP_FAILURES; i++) {
		submit_and_wait(f, SR_STORE_CREATE, 0);
		assert_int_equal(f->last.status, SR_STORE_NOT_DONE);
	}
	assert_true(sr_platform_is_unavailable(f->platform));
	replies = f->replies;
	submit(f, SR_STORE_CREATE, 0);
	assert_int_equal(f->replies, replies + 1);
	assert_int_equal(f->last.status, SR_STORE_NOT_DONE);
	assert_true(f->last.retry_after > 0);
	assert_int_equal(f->requests, 0);
}

static void test_urgent_class_is_sent_first(void **state)
{
	fixture_t *f = *state;
	static const char *keys[] = { "4", "3", "0", "1", "2" };

	sr_platform_free(f->platform);
	start_client(f, 1);
	for (int i = 0; i < 5; i++) {
		sr_store_call_t call = {
			.op = SR_STORE_GET,
			.class = (sr_store_class_t)(keys[i][0] - '0'),
			.key = keys[i],
			.done = on_reply,
			.user = f
		};

		sr_store_submit(sr_platform_store(f->platform), &call);
	}
	sr_clock_advance(f->clock, 0);
	assert_int_equal(f->replies, 0);
	run_main_loop(f);
	assert_int_equal(f->replies, 5);
	assert_string_equal(f->order->str, "01234");
}

static void test_cancelled_call_gets_no_reply(void **state)
{
	fixture_t *f = *state;

	submit(f, SR_STORE_GET, 0);
	sr_store_cancel_all(sr_platform_store(f->platform), f);
	run_main_loop(f);
	assert_int_equal(f->replies, 0);
}

/* Returns how many calls of a class may be sent at one time. */
static unsigned take_all(sr_budget_t *budget, sr_usec_t now,
			 sr_store_class_t class)
{
	sr_usec_t wait;
	unsigned n = 0;

	while (sr_budget_take(budget, now, class, FALSE, &wait) ==
	       SR_BUDGET_SEND)
		n++;
	return n;
}

static void test_budget_reserves_tokens_for_urgent_calls(void **state)
{
	sr_budget_t budget;

	sr_budget_init(&budget, 10, 100, 1, 0);
	assert_int_equal(take_all(&budget, 0, SR_STORE_STATUS), 70);
	assert_int_equal(take_all(&budget, 0, SR_STORE_JOURNAL), 30);
	assert_int_equal(take_all(&budget, SR_SEC, SR_STORE_JOURNAL), 10);
	sr_budget_clear(&budget);
}

/* 200 nodes that recover from the same outage must not send more calls within
 * any 100 ms than at their full rate, and far fewer at first. */
static void test_recovery_limits_simultaneous_calls(void **state)
{
	unsigned calls[60] = { 0 };

	for (unsigned node = 0; node < 200; node++) {
		sr_budget_t budget;
		sr_usec_t wait;

		sr_budget_init(&budget, 10, 50, node, 0);
		for (sr_usec_t t = 0; t < 30 * SR_SEC; t += 100 * SR_MSEC)
			if (sr_budget_take(&budget, t, SR_STORE_LEASE, FALSE,
					   &wait) == SR_BUDGET_SEND)
				sr_budget_record_failure(&budget, t);
		for (int i = 0; i < 60; i++) {
			sr_usec_t t = 30 * SR_SEC + i * 100 * SR_MSEC;

			while (sr_budget_take(&budget, t, SR_STORE_LEASE, FALSE,
					      &wait) == SR_BUDGET_SEND) {
				calls[i]++;
				sr_budget_record_answer(&budget, t);
			}
		}
		sr_budget_clear(&budget);
	}
	/* At the full rate 200 nodes send 200 calls in 100 ms. */
	for (int i = 0; i < 60; i++)
		assert_true(calls[i] <= 200);
	assert_true(calls[0] <= 40);
}

/** Kinds of objects that a host follows. */
#define FEEDS 3

/** A host counts as in touch 3 s after the end of an outage. Of these, up to
 * 1.5 s pass until a call that was sent before has failed, and 0.6 s until the
 * next one. */
#define FEEDS_READ_TIME (900 * SR_MSEC)

/* Guards against a configuration that is late after an outage: the reads of it
 * waited for seconds until the bucket had filled. */
static void test_feeds_are_read_soon_after_an_outage(void **state)
{
	sr_usec_t end = 10 * SR_SEC;
	sr_usec_t wait;
	sr_budget_t budget;
	unsigned n = 0;

	(void)state;
	/* of a store that takes 400 writes a second */
	sr_budget_init(&budget, 20, SR_PLATFORM_DEFAULT_BURST, 1, 0);
	for (unsigned i = 0; i < SR_BUDGET_TRIP_FAILURES; i++)
		sr_budget_record_failure(&budget, SR_SEC);
	assert_int_equal(
		sr_budget_take(&budget, end, SR_STORE_CONFIG, FALSE, &wait),
		SR_BUDGET_SEND);
	sr_budget_record_answer(&budget, end);
	for (sr_usec_t t = 0; t <= FEEDS_READ_TIME; t += 10 * SR_MSEC)
		n += take_all(&budget, end + t, SR_STORE_CONFIG);
	assert_true(n >= FEEDS);
	sr_budget_clear(&budget);
}

static void advance_two_polls(fixture_t *f)
{
	for (sr_usec_t t = 0; t < 2 * SR_HOSTS_POLL_INTERVAL; t += SR_SEC) {
		sr_clock_advance(f->clock, SR_SEC);
		run_main_loop(f);
	}
}

/* The callbacks share one number, as the decimal digits of three counters:
 * leaving hosts + 100 * added hosts + 10000 * removed hosts. */
static void count_leaving(void *user, const char *host, sr_usec_t time_left)
{
	++*(unsigned *)user;
}

static void count_present(void *user, const sr_host_t *host, gboolean present)
{
	*(unsigned *)user += present ? 100 : 10000;
}

static void test_host_changes_are_reported_once(void **state)
{
	fixture_t *f = *state;
	unsigned events = 0;
	sr_hosts_options_t options = { .platform = f->platform,
				       .clock = f->clock,
				       .host_leaving = count_leaving,
				       .host_presence_changed = count_present,
				       .user = &events };
	sr_hosts_t *hosts = sr_hosts_new(&options);

	f->hosts = "{\"hosts\":[{\"name\":\"h\",\"failure_domain\":\"d\","
		   "\"class\":\"c\",\"reclaimable\":true,"
		   "\"price_per_hour\":1,\"state\":\"leaving\"}]}";
	sr_hosts_set_active(hosts, TRUE);
	advance_two_polls(f);
	assert_int_equal(events, 101);
	assert_true(sr_hosts_is_leaving(hosts, "h"));
	f->hosts = "{\"hosts\":[]}";
	advance_two_polls(f);
	assert_int_equal(events, 10101);
	sr_hosts_free(hosts);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_http_statuses_map_to_store_statuses, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_lost_write_is_unknown_and_not_sent_again, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_unanswered_call_times_out,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_kept_connections_are_left_after_a_lost_call, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_calls_to_unreachable_platform_are_refused, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_urgent_class_is_sent_first,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_cancelled_call_gets_no_reply, setup, teardown),
		cmocka_unit_test(test_budget_reserves_tokens_for_urgent_calls),
		cmocka_unit_test(test_recovery_limits_simultaneous_calls),
		cmocka_unit_test(test_feeds_are_read_soon_after_an_outage),
		cmocka_unit_test_setup_teardown(
			test_host_changes_are_reported_once, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
