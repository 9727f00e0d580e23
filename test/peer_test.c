#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>
#include <gio/gio.h>

#include "peer/codec.h"
#include "peer/forward.h"
#include "peer/peer.h"

static const guint8 secret[] = "0123456789abcdef";

typedef struct {
	sr_peer_t *peer;
	unsigned datagrams;
	char last_datagram[64];
	unsigned forwards;
	sr_peer_request_t *pending[2]; /* answered by the test */
	gboolean defer_answers;
	gsize body_size;
	unsigned results;
	sr_err_t err;
	sr_forward_executed_t executed;
	unsigned status;
	char answer[64];
	unsigned fetches;
	gboolean found;
} node_t;

typedef struct {
	sr_clock_t *clock;
	node_t a; /* calls b */
	node_t b;
	node_t second_caller; /* receives results of calls that a sends */
} fixture_t;

static void on_datagram(void *user, const guint8 *data, gsize size)
{
	node_t *node = user;

	node->datagrams++;
	g_strlcpy(node->last_datagram, (const char *)data,
		  MIN(size + 1, sizeof(node->last_datagram)));
}

static void answer(sr_peer_request_t *request, const char *text)
{
	GBytes *body = g_bytes_new(text, strlen(text));
	sr_forward_result_t result = { .executed = SR_FORWARD_RUN,
				       .status = 201,
				       .body = body };

	sr_peer_answer(request, &result);
	g_bytes_unref(body);
}

static void on_forward(void *user, sr_peer_request_t *request,
		       const sr_forward_t *forward)
{
	node_t *node = user;

	node->body_size = g_bytes_get_size(forward->body);
	if (node->defer_answers)
		node->pending[node->forwards % 2] = request;
	else
		answer(request, forward->key);
	node->forwards++;
}

static GBytes *on_fetch(void *user, const char *key)
{
	return strcmp(key, "known") ? NULL : g_bytes_new("part", 4);
}

static sr_peer_t *new_peer(fixture_t *f, node_t *node, const char *name,
			   const char *key)
{
	char *problem;
	sr_peer_options_t options = {
		.clock = f->clock,
		.address = "127.0.0.1:0",
		.cluster = "test",
		.secret = (const guint8 *)key,
		.secret_size = strlen(key),
		.node = name,
		.incarnation = 1,
		.datagram = on_datagram,
		.forward = on_forward,
		.fetch = on_fetch,
		.user = node,
	};
	sr_peer_t *peer = sr_peer_new(&options, &problem);

	assert_non_null(peer);
	return peer;
}

static int setup(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->clock = sr_clock_new_real();
	f->a.peer = new_peer(f, &f->a, "a", (const char *)secret);
	f->b.peer = new_peer(f, &f->b, "b", (const char *)secret);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *f = *state;

	sr_peer_free(f->a.peer);
	sr_peer_free(f->b.peer);
	while (g_main_context_iteration(NULL, FALSE))
		;
	sr_clock_free(f->clock);
	g_free(f);
	return 0;
}

/* Runs the main loop until *value reaches want, for at most 5 s. */
static void wait_for(const unsigned *value, unsigned want)
{
	gint64 end = g_get_monotonic_time() + 5 * SR_SEC;

	while (*value < want && g_get_monotonic_time() < end) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(50);
	}
	assert_int_equal(*value, want);
}

/* Runs the main loop for 50 ms, so that messages in flight are handled. */
static void run_main_loop(void)
{
	gint64 end = g_get_monotonic_time() + 50 * SR_MSEC;

	while (g_get_monotonic_time() < end) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(50);
	}
}

static void on_result(void *user, const sr_forward_result_t *result)
{
	node_t *node = user;
	gsize size = 0;
	const char *body = "";

	if (result->body)
		body = g_bytes_get_data(result->body, &size);
	g_strlcpy(node->answer, size ? body : "",
		  MIN(size + 1, sizeof(node->answer)));
	node->err = result->err;
	node->executed = result->executed;
	node->status = result->status;
	node->results++;
}

static void on_value(void *user, GBytes *value)
{
	node_t *node = user;

	node->fetches++;
	node->found = value != NULL;
}

static void forward_from(fixture_t *f, node_t *caller, const char *address,
			 const char *key, gsize size, sr_usec_t time_left)
{
	GBytes *body = g_bytes_new_take(g_malloc0(size), size);
	sr_forward_t request = { .account = "acme",
				 .service = "pay",
				 .route = "post",
				 .method = "POST",
				 .path = "/pay",
				 .key = key,
				 .body = body,
				 .time_left = time_left };

	sr_peer_forward(f->a.peer, address, &request, on_result, caller);
	g_bytes_unref(body);
}

static void forward(fixture_t *f, const char *address, const char *key,
		    gsize size, sr_usec_t time_left)
{
	forward_from(f, &f->a, address, key, size, time_left);
}

static void test_datagram_delivered(void **state)
{
	fixture_t *f = *state;

	sr_peer_send_datagram(f->a.peer, sr_peer_address(f->b.peer),
			      (const guint8 *)"hello", 5);
	wait_for(&f->b.datagrams, 1);
	assert_string_equal(f->b.last_datagram, "hello");
}

/* Builds a gossip datagram of sender c with incarnation 2, authenticated for
 * the cluster with the secret `key`; the caller owns it. */
static GByteArray *build_datagram(fixture_t *f, const char *cluster,
				  const char *key, const char *receiver,
				  guint64 sequence)
{
	sr_auth_key_t auth = { .cluster = cluster,
			       .secret = (const guint8 *)key,
			       .secret_size = strlen(key) };
	sr_rpc_gossip gossip = { .datagram = { .datagram_val = "x",
					       .datagram_len = 1 } };
	GByteArray *payload = g_byte_array_new();
	GByteArray *out;
	sr_mac_input_t input = { .direction = SR_MESSAGE_CALL,
				 .procedure = SR_RPC_GOSSIP,
				 .sender = "c",
				 .receiver = receiver,
				 .incarnation = 2,
				 .sequence = sequence };

	assert_true(
		sr_rpc_encode(payload, (xdrproc_t)xdr_sr_rpc_gossip, &gossip));
	input.payload = payload->data;
	input.payload_size = payload->len;
	out = sr_rpc_build_message(&auth, &input);
	g_byte_array_unref(payload);
	return out;
}

static void send_datagram(fixture_t *f, const GByteArray *data)
{
	GSocket *socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
			     G_SOCKET_PROTOCOL_UDP, NULL);
	const char *colon = strchr(sr_peer_address(f->b.peer), ':');
	GSocketAddress *to = g_inet_socket_address_new_from_string(
		"127.0.0.1", (guint)g_ascii_strtoull(colon + 1, NULL, 10));

	g_socket_send_to(socket, to, (const char *)data->data, data->len, NULL,
			 NULL);
	g_object_unref(to);
	g_object_unref(socket);
	run_main_loop();
}

static void send_datagram_and_free(fixture_t *f, GByteArray *data)
{
	send_datagram(f, data);
	g_byte_array_unref(data);
}

static void test_invalid_datagrams_rejected(void **state)
{
	fixture_t *f = *state;
	const sr_peer_stats_t *stats = sr_peer_stats(f->b.peer);
	const char *to = sr_peer_address(f->b.peer);
	const char *key = (const char *)secret;
	GByteArray *valid = build_datagram(f, "test", key, to, 100);
	GByteArray *oversized = g_byte_array_new();

	send_datagram(f, valid);
	assert_int_equal(f->b.datagrams, 1);
	send_datagram(f, valid);
	assert_int_equal(stats->replayed, 1);
	send_datagram_and_free(
		f, build_datagram(f, "test", key, to, 100 - SR_REPLAY_WINDOW));
	assert_int_equal(stats->replayed, 2);
	send_datagram_and_free(f, build_datagram(f, "other", key, to, 101));
	send_datagram_and_free(
		f, build_datagram(f, "test", "fedcba9876543210", to, 102));
	send_datagram_and_free(
		f, build_datagram(f, "test", key, "127.0.0.1:1", 103));
	assert_int_equal(stats->unauthenticated, 3);
	g_byte_array_set_size(oversized, 4000);
	send_datagram_and_free(f, oversized);
	assert_int_equal(stats->malformed, 1);
	assert_int_equal(f->b.datagrams, 1);
	/* valid, but reordered */
	send_datagram_and_free(f, build_datagram(f, "test", key, to, 99));
	assert_int_equal(f->b.datagrams, 2);
	g_byte_array_unref(valid);
}

/* The window of a silent sender expires, so that a host that restarts with its
 * clock behind, and so with a lower incarnation, is not rejected for ever. */
static void test_lower_incarnation_accepted_after_expiry(void **state)
{
	sr_replay_filter_t *filter = sr_replay_filter_new();
	sr_usec_t later = SR_REPLAY_EXPIRY + 2;

	assert_true(sr_replay_filter_accept(filter, 1, "a", 9, 1));
	assert_false(sr_replay_filter_accept(filter, 1, "a", 9, 1));
	assert_false(sr_replay_filter_accept(filter, SR_SEC, "a", 8, 1));
	assert_true(
		sr_replay_filter_accept(filter, SR_REPLAY_EXPIRY, "b", 1, 1));
	assert_true(sr_replay_filter_accept(filter, later, "a", 8, 1));
	assert_false(sr_replay_filter_accept(filter, later, "a", 8, 1));
	assert_true(sr_replay_filter_accept(filter, later, "a", 9, 2));
	assert_false(sr_replay_filter_accept(filter, later, "a", 8, 2));
	sr_replay_filter_free(filter);
}

/* Flips each bit and cuts the message at each length. */
static void test_changed_or_truncated_message_rejected(void **state)
{
	fixture_t *f = *state;
	sr_auth_key_t auth = { .cluster = "test",
			       .secret = secret,
			       .secret_size = 16 };
	GByteArray *valid =
		build_datagram(f, "test", (const char *)secret, "r", 1);
	sr_rpc_header_t header;

	assert_int_equal(sr_rpc_verify_message(&auth, SR_MESSAGE_CALL, "r",
					       NULL, valid->data, valid->len,
					       &header),
			 0);
	assert_int_not_equal(sr_rpc_verify_message(&auth, SR_MESSAGE_REPLY, "r",
						   NULL, valid->data,
						   valid->len, &header),
			     0);
	for (guint bit = 0; bit < valid->len * 8; bit++) {
		valid->data[bit / 8] ^= 1 << bit % 8;
		assert_int_not_equal(
			sr_rpc_verify_message(&auth, SR_MESSAGE_CALL, "r", NULL,
					      valid->data, valid->len, &header),
			0);
		valid->data[bit / 8] ^= 1 << bit % 8;
	}
	for (guint size = 0; size < valid->len; size++)
		assert_int_not_equal(
			sr_rpc_verify_message(&auth, SR_MESSAGE_CALL, "r", NULL,
					      valid->data, size, &header),
			0);
	g_byte_array_unref(valid);
}

static void test_forward_round_trip(void **state)
{
	fixture_t *f = *state;

	forward(f, sr_peer_address(f->b.peer), "k1", SR_FORWARD_BODY_MAX,
		SR_SEC);
	assert_int_equal(f->a.results, 0);
	wait_for(&f->a.results, 1);
	assert_int_equal(f->a.err, SR_OK);
	assert_int_equal(f->a.executed, SR_FORWARD_RUN);
	assert_int_equal(f->a.status, 201);
	assert_string_equal(f->a.answer, "k1");
	assert_int_equal(f->b.body_size, SR_FORWARD_BODY_MAX);
	forward(f, sr_peer_address(f->b.peer), "k2", SR_FORWARD_BODY_MAX + 1,
		SR_SEC);
	wait_for(&f->a.results, 2);
	assert_int_equal(f->a.err, SR_ERR_TOO_LARGE);
	assert_int_equal(f->a.executed, SR_FORWARD_NOT_RUN);
	assert_int_equal(f->b.forwards, 1);
}

static void test_replies_match_their_calls(void **state)
{
	fixture_t *f = *state;

	f->b.defer_answers = TRUE;
	forward(f, sr_peer_address(f->b.peer), "first", 1, SR_SEC);
	wait_for(&f->b.forwards, 1);
	forward_from(f, &f->second_caller, sr_peer_address(f->b.peer), "second",
		     1, SR_SEC);
	wait_for(&f->b.forwards, 2);
	answer(f->b.pending[1], "to second");
	wait_for(&f->second_caller.results, 1);
	assert_string_equal(f->second_caller.answer, "to second");
	assert_int_equal(f->a.results, 0);
	answer(f->b.pending[0], "to first");
	wait_for(&f->a.results, 1);
	assert_string_equal(f->a.answer, "to first");
	assert_int_equal(f->second_caller.results, 1);
}

static void test_unreachable_peer_reports_not_run(void **state)
{
	fixture_t *f = *state;
	char *address = g_strdup(sr_peer_address(f->b.peer));

	sr_peer_free(f->b.peer);
	f->b.peer = NULL;
	forward(f, address, "k", 1, SR_SEC);
	wait_for(&f->a.results, 1);
	assert_int_equal(f->a.err, SR_ERR_HOME_UNREACHABLE);
	assert_int_equal(f->a.executed, SR_FORWARD_NOT_RUN);
	forward(f, "nonsense", "k", 1, SR_SEC);
	wait_for(&f->a.results, 2);
	assert_int_equal(f->a.executed, SR_FORWARD_NOT_RUN);
	g_free(address);
}

static void test_lost_answer_reports_unknown(void **state)
{
	fixture_t *f = *state;

	f->b.defer_answers = TRUE;
	forward(f, sr_peer_address(f->b.peer), "k", 1, 50 * SR_MSEC);
	wait_for(&f->b.forwards, 1);
	wait_for(&f->a.results, 1);
	assert_int_equal(f->a.err, SR_ERR_OUTCOME_UNKNOWN);
	assert_int_equal(f->a.executed, SR_FORWARD_UNKNOWN);
	answer(f->b.pending[0], "late");
	run_main_loop();
	assert_int_equal(f->a.results, 1);
	forward(f, sr_peer_address(f->b.peer), "k", 1, 5 * SR_SEC);
	wait_for(&f->b.forwards, 2);
	sr_peer_free(f->b.peer);
	f->b.peer = NULL;
	wait_for(&f->a.results, 2);
	assert_int_equal(f->a.executed, SR_FORWARD_UNKNOWN);
}

static void test_fetch(void **state)
{
	fixture_t *f = *state;
	const char *address = sr_peer_address(f->b.peer);

	sr_peer_fetch(f->a.peer, address, "known", SR_SEC, on_value, &f->a);
	wait_for(&f->a.fetches, 1);
	assert_true(f->a.found);
	sr_peer_fetch(f->a.peer, address, "other", SR_SEC, on_value, &f->a);
	wait_for(&f->a.fetches, 2);
	assert_false(f->a.found);
	sr_peer_fetch(f->a.peer, address, "known", SR_SEC, on_value, &f->a);
	sr_peer_cancel_calls(f->a.peer, &f->a);
	run_main_loop();
	assert_int_equal(f->a.fetches, 2);
}

static void test_wrong_secret_rejected(void **state)
{
	fixture_t *f = *state;
	node_t caller = { 0 };

	sr_peer_free(f->a.peer);
	f->a.peer = new_peer(f, &caller, "a", "fedcba9876543210");
	forward(f, sr_peer_address(f->b.peer), "k", 1, SR_SEC);
	wait_for(&f->a.results, 1);
	assert_int_equal(f->a.executed, SR_FORWARD_NOT_RUN);
	assert_int_equal(f->b.forwards, 0);
	assert_int_equal(sr_peer_stats(f->b.peer)->unauthenticated, 1);
}

/* A TCP connection to b on which the test writes its own records. */
typedef struct {
	GSocket *socket;
	guint8 session[SR_SESSION_SIZE];
} raw_connection_t;

static const sr_auth_key_t key = { .cluster = "test",
				   .secret = secret,
				   .secret_size = 16 };

static void raw_connect(raw_connection_t *connection, fixture_t *f)
{
	const char *colon = strchr(sr_peer_address(f->b.peer), ':');
	GSocketAddress *to = g_inet_socket_address_new_from_string(
		"127.0.0.1", (guint)g_ascii_strtoull(colon + 1, NULL, 10));

	memset(connection, 0, sizeof(*connection));
	connection->socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, NULL);
	assert_true(g_socket_connect(connection->socket, to, NULL, NULL));
	g_object_unref(to);
}

static GByteArray *build_record(fixture_t *f, sr_mac_input_t *input,
				xdrproc_t proc, void *value)
{
	GByteArray *payload = g_byte_array_new();
	GByteArray *message;
	guint32 mark;

	assert_true(sr_rpc_encode(payload, proc, value));
	input->direction = SR_MESSAGE_CALL;
	input->sender = "c";
	input->receiver = sr_peer_address(f->b.peer);
	input->incarnation = 1;
	input->payload = payload->data;
	input->payload_size = payload->len;
	message = sr_rpc_build_message(&key, input);
	mark = GUINT32_TO_BE(message->len | 0x80000000U);
	g_byte_array_prepend(message, (guint8 *)&mark, 4);
	g_byte_array_unref(payload);
	return message;
}

static GByteArray *hello_record(fixture_t *f, guint64 sequence)
{
	sr_rpc_hello hello = { .nonce = "123456789abcdef" };
	sr_mac_input_t input = { .xid = 7,
				 .procedure = SR_RPC_HELLO,
				 .sequence = sequence };

	return build_record(f, &input, (xdrproc_t)xdr_sr_rpc_hello, &hello);
}

static void raw_send(raw_connection_t *connection, const GByteArray *record)
{
	g_socket_send(connection->socket, (const char *)record->data,
		      record->len, NULL, NULL);
	run_main_loop();
}

static gboolean raw_is_closed(raw_connection_t *connection)
{
	char byte;

	g_socket_set_blocking(connection->socket, FALSE);
	return g_socket_receive(connection->socket, &byte, 1, NULL, NULL) == 0;
}

static void raw_authenticate(raw_connection_t *connection, fixture_t *f,
			     guint64 sequence)
{
	GByteArray *record = hello_record(f, sequence);
	guint8 reply[512];
	sr_rpc_header_t header;
	sr_rpc_hello hello = { 0 };
	gssize size;

	raw_send(connection, record);
	size = g_socket_receive(connection->socket, (char *)reply,
				sizeof(reply), NULL, NULL);
	assert_true(size > 4);
	memcpy(connection->session, "123456789abcdef", SR_RPC_NONCE_SIZE);
	assert_int_equal(sr_rpc_verify_message(&key, SR_MESSAGE_REPLY, "c",
					       connection->session, reply + 4,
					       (gsize)size - 4, &header),
			 0);
	assert_true(
		sr_rpc_decode(&header, (xdrproc_t)xdr_sr_rpc_hello, &hello));
	memcpy(connection->session + SR_RPC_NONCE_SIZE, hello.nonce,
	       SR_RPC_NONCE_SIZE);
	g_byte_array_unref(record);
}

static void raw_close(raw_connection_t *connection)
{
	g_socket_close(connection->socket, NULL);
	g_object_unref(connection->socket);
	run_main_loop();
}

static void test_replayed_records_rejected(void **state)
{
	fixture_t *f = *state;
	sr_rpc_fetch fetch = { .key = "known" };
	sr_mac_input_t input = { .xid = 8,
				 .procedure = SR_RPC_FETCH,
				 .sequence = 1 };
	const sr_peer_stats_t *stats = sr_peer_stats(f->b.peer);
	GByteArray *hello = hello_record(f, 1);
	GByteArray *call;
	raw_connection_t connection;

	raw_connect(&connection, f);
	raw_authenticate(&connection, f, 1);
	input.session = connection.session;
	call = build_record(f, &input, (xdrproc_t)xdr_sr_rpc_fetch, &fetch);
	raw_send(&connection, call);
	assert_int_equal(stats->calls_in, 1);
	raw_send(&connection, call); /* replayed on its connection */
	assert_int_equal(stats->calls_in, 1);
	assert_int_equal(stats->replayed, 1);
	raw_close(&connection);
	raw_connect(&connection, f);
	raw_send(&connection, hello); /* replayed on a new connection */
	assert_true(raw_is_closed(&connection));
	assert_int_equal(stats->replayed, 2);
	raw_close(&connection);
	raw_connect(&connection, f);
	raw_authenticate(&connection, f, 2);
	raw_send(&connection, call); /* of an earlier session */
	assert_int_equal(stats->calls_in, 1);
	assert_int_equal(stats->unauthenticated, 1);
	raw_close(&connection);
	g_byte_array_unref(hello);
	g_byte_array_unref(call);
}

/* The text "GET " is a record mark over the size limit. */
static void test_oversized_record_closes_connection(void **state)
{
	fixture_t *f = *state;
	GByteArray *http_request = g_byte_array_new();
	raw_connection_t connection;

	raw_connect(&connection, f);
	g_byte_array_append(http_request,
			    (const guint8 *)"GET / HTTP/1.1\r\n\r\n", 18);
	raw_send(&connection, http_request);
	assert_true(raw_is_closed(&connection));
	raw_close(&connection);
	forward(f, sr_peer_address(f->b.peer), "k", 1, SR_SEC);
	wait_for(&f->a.results, 1);
	assert_int_equal(f->a.err, SR_OK);
	g_byte_array_unref(http_request);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_datagram_delivered),
		TEST(test_invalid_datagrams_rejected),
		cmocka_unit_test(test_lower_incarnation_accepted_after_expiry),
		TEST(test_changed_or_truncated_message_rejected),
		TEST(test_forward_round_trip),
		TEST(test_replies_match_their_calls),
		TEST(test_unreachable_peer_reports_not_run),
		TEST(test_lost_answer_reports_unknown),
		TEST(test_fetch),
		TEST(test_wrong_secret_rejected),
		TEST(test_replayed_records_rejected),
		TEST(test_oversized_record_closes_connection),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
