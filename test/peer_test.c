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
	char last[64];
	unsigned forwards;
	sr_peer_request_t *held[2]; /* answered by the test */
	gboolean hold;
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
	node_t a;
	node_t b;
	node_t other; /* a second caller on a */
} fixture_t;

static void on_datagram(void *user, const guint8 *data, gsize size)
{
	node_t *node = user;

	node->datagrams++;
	g_strlcpy(node->last, (const char *)data,
		  MIN(size + 1, sizeof(node->last)));
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
	if (node->hold)
		node->held[node->forwards % 2] = request;
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

/* Runs the loop until *value reaches want, at most some seconds. */
static void wait_for(const unsigned *value, unsigned want)
{
	gint64 end = g_get_monotonic_time() + 5 * SR_SEC;

	while (*value < want && g_get_monotonic_time() < end) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(50);
	}
	assert_int_equal(*value, want);
}

static void settle(void)
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

static void forward_for(fixture_t *f, node_t *caller, const char *address,
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
	forward_for(f, &f->a, address, key, size, time_left);
}

static void test_datagram_arrives(void **state)
{
	fixture_t *f = *state;

	sr_peer_send(f->a.peer, sr_peer_address(f->b.peer),
		     (const guint8 *)"hello", 5);
	wait_for(&f->b.datagrams, 1);
	assert_string_equal(f->b.last, "hello");
}

/* A sealed datagram for b, as anyone with these keys could send it. */
static GByteArray *packet(fixture_t *f, const char *cluster, const char *key,
			  const char *receiver, guint64 sequence)
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
		sr_rpc_pack(payload, (xdrproc_t)xdr_sr_rpc_gossip, &gossip));
	input.payload = payload->data;
	input.payload_size = payload->len;
	out = sr_rpc_seal(&auth, &input);
	g_byte_array_unref(payload);
	return out;
}

static void send_raw(fixture_t *f, const GByteArray *data)
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
	settle();
}

static void send_and_free(fixture_t *f, GByteArray *data)
{
	send_raw(f, data);
	g_byte_array_unref(data);
}

static void test_strange_datagrams_change_nothing(void **state)
{
	fixture_t *f = *state;
	const sr_peer_stats_t *stats = sr_peer_stats(f->b.peer);
	const char *to = sr_peer_address(f->b.peer);
	const char *key = (const char *)secret;
	GByteArray *good = packet(f, "test", key, to, 100);
	GByteArray *big = g_byte_array_new();

	send_raw(f, good);
	assert_int_equal(f->b.datagrams, 1);
	send_raw(f, good);
	assert_int_equal(stats->replayed, 1);
	send_and_free(f, packet(f, "test", key, to, 100 - SR_REPLAY_WINDOW));
	assert_int_equal(stats->replayed, 2);
	send_and_free(f, packet(f, "other", key, to, 101));
	send_and_free(f, packet(f, "test", "fedcba9876543210", to, 102));
	send_and_free(f, packet(f, "test", key, "127.0.0.1:1", 103));
	assert_int_equal(stats->unauthenticated, 3);
	g_byte_array_set_size(big, 4000);
	send_and_free(f, big);
	assert_int_equal(stats->malformed, 1);
	assert_int_equal(f->b.datagrams, 1);
	send_and_free(f, packet(f, "test", key, to, 99)); /* overtaken */
	assert_int_equal(f->b.datagrams, 2);
	g_byte_array_unref(good);
}

static void test_clock_behind_is_heard_after_a_while(void **state)
{
	sr_replay_t *replay = sr_replay_new();
	sr_usec_t later = SR_REPLAY_KEEP + 2;

	assert_true(sr_replay_accept(replay, 1, "a", 9, 1));
	assert_false(sr_replay_accept(replay, 1, "a", 9, 1));
	assert_false(sr_replay_accept(replay, SR_SEC, "a", 8, 1));
	assert_true(sr_replay_accept(replay, SR_REPLAY_KEEP, "b", 1, 1));
	assert_true(sr_replay_accept(replay, later, "a", 8, 1));
	assert_false(sr_replay_accept(replay, later, "a", 8, 1));
	assert_true(sr_replay_accept(replay, later, "a", 9, 2));
	assert_false(sr_replay_accept(replay, later, "a", 8, 2));
	sr_replay_free(replay);
}

static void test_every_flipped_bit_is_noticed(void **state)
{
	fixture_t *f = *state;
	sr_auth_key_t auth = { .cluster = "test",
			       .secret = secret,
			       .secret_size = 16 };
	GByteArray *good = packet(f, "test", (const char *)secret, "r", 1);
	sr_rpc_header_t header;

	assert_int_equal(sr_rpc_open(&auth, SR_MESSAGE_CALL, "r", NULL,
				     good->data, good->len, &header),
			 0);
	assert_int_not_equal(sr_rpc_open(&auth, SR_MESSAGE_REPLY, "r", NULL,
					 good->data, good->len, &header),
			     0);
	for (guint bit = 0; bit < good->len * 8; bit++) {
		good->data[bit / 8] ^= 1 << bit % 8;
		assert_int_not_equal(sr_rpc_open(&auth, SR_MESSAGE_CALL, "r",
						 NULL, good->data, good->len,
						 &header),
				     0);
		good->data[bit / 8] ^= 1 << bit % 8;
	}
	for (guint size = 0; size < good->len; size++)
		assert_int_not_equal(sr_rpc_open(&auth, SR_MESSAGE_CALL, "r",
						 NULL, good->data, size,
						 &header),
				     0);
	g_byte_array_unref(good);
}

static void test_forward_comes_back(void **state)
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

static void test_answers_reach_their_own_call(void **state)
{
	fixture_t *f = *state;

	f->b.hold = TRUE;
	forward(f, sr_peer_address(f->b.peer), "first", 1, SR_SEC);
	wait_for(&f->b.forwards, 1);
	forward_for(f, &f->other, sr_peer_address(f->b.peer), "second", 1,
		    SR_SEC);
	wait_for(&f->b.forwards, 2);
	answer(f->b.held[1], "to second");
	wait_for(&f->other.results, 1);
	assert_string_equal(f->other.answer, "to second");
	assert_int_equal(f->a.results, 0);
	answer(f->b.held[0], "to first");
	wait_for(&f->a.results, 1);
	assert_string_equal(f->a.answer, "to first");
	assert_int_equal(f->other.results, 1);
}

static void test_unreachable_owner_is_not_run(void **state)
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

static void test_lost_answer_is_unknown(void **state)
{
	fixture_t *f = *state;

	f->b.hold = TRUE;
	forward(f, sr_peer_address(f->b.peer), "k", 1, 50 * SR_MSEC);
	wait_for(&f->b.forwards, 1);
	wait_for(&f->a.results, 1);
	assert_int_equal(f->a.err, SR_ERR_OUTCOME_UNKNOWN);
	assert_int_equal(f->a.executed, SR_FORWARD_UNKNOWN);
	answer(f->b.held[0], "late");
	settle();
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
	sr_peer_cancel_all(f->a.peer, &f->a);
	settle();
	assert_int_equal(f->a.fetches, 2);
}

static void test_wrong_secret_cannot_call(void **state)
{
	fixture_t *f = *state;
	node_t stranger = { 0 };

	sr_peer_free(f->a.peer);
	f->a.peer = new_peer(f, &stranger, "a", "fedcba9876543210");
	forward(f, sr_peer_address(f->b.peer), "k", 1, SR_SEC);
	wait_for(&f->a.results, 1);
	assert_int_equal(f->a.executed, SR_FORWARD_NOT_RUN);
	assert_int_equal(f->b.forwards, 0);
	assert_int_equal(sr_peer_stats(f->b.peer)->unauthenticated, 1);
}

/* One end of a connection to b, driven by hand. */
typedef struct {
	GSocket *socket;
	guint8 session[SR_SESSION_SIZE];
} wire_t;

static const sr_auth_key_t key = { .cluster = "test",
				   .secret = secret,
				   .secret_size = 16 };

static void wire_open(wire_t *wire, fixture_t *f)
{
	const char *colon = strchr(sr_peer_address(f->b.peer), ':');
	GSocketAddress *to = g_inet_socket_address_new_from_string(
		"127.0.0.1", (guint)g_ascii_strtoull(colon + 1, NULL, 10));

	memset(wire, 0, sizeof(*wire));
	wire->socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				    G_SOCKET_PROTOCOL_TCP, NULL);
	assert_true(g_socket_connect(wire->socket, to, NULL, NULL));
	g_object_unref(to);
}

static GByteArray *wire_record(fixture_t *f, sr_mac_input_t *input,
			       xdrproc_t proc, void *value)
{
	GByteArray *payload = g_byte_array_new();
	GByteArray *message;
	guint32 marker;

	assert_true(sr_rpc_pack(payload, proc, value));
	input->direction = SR_MESSAGE_CALL;
	input->sender = "c";
	input->receiver = sr_peer_address(f->b.peer);
	input->incarnation = 1;
	input->payload = payload->data;
	input->payload_size = payload->len;
	message = sr_rpc_seal(&key, input);
	marker = GUINT32_TO_BE(message->len | 0x80000000U);
	g_byte_array_prepend(message, (guint8 *)&marker, 4);
	g_byte_array_unref(payload);
	return message;
}

static GByteArray *hello_record(fixture_t *f, guint64 sequence)
{
	sr_rpc_hello hello = { .nonce = "123456789abcdef" };
	sr_mac_input_t input = { .xid = 7,
				 .procedure = SR_RPC_HELLO,
				 .sequence = sequence };

	return wire_record(f, &input, (xdrproc_t)xdr_sr_rpc_hello, &hello);
}

static void wire_send(wire_t *wire, const GByteArray *record)
{
	g_socket_send(wire->socket, (const char *)record->data, record->len,
		      NULL, NULL);
	settle();
}

static gboolean wire_is_closed(wire_t *wire)
{
	char byte;

	g_socket_set_blocking(wire->socket, FALSE);
	return g_socket_receive(wire->socket, &byte, 1, NULL, NULL) == 0;
}

static void wire_greet(wire_t *wire, fixture_t *f, guint64 sequence)
{
	GByteArray *record = hello_record(f, sequence);
	guint8 reply[512];
	sr_rpc_header_t header;
	sr_rpc_hello hello = { 0 };
	gssize size;

	wire_send(wire, record);
	size = g_socket_receive(wire->socket, (char *)reply, sizeof(reply),
				NULL, NULL);
	assert_true(size > 4);
	memcpy(wire->session, "123456789abcdef", SR_RPC_NONCE_SIZE);
	assert_int_equal(sr_rpc_open(&key, SR_MESSAGE_REPLY, "c", wire->session,
				     reply + 4, (gsize)size - 4, &header),
			 0);
	assert_true(
		sr_rpc_unpack(&header, (xdrproc_t)xdr_sr_rpc_hello, &hello));
	memcpy(wire->session + SR_RPC_NONCE_SIZE, hello.nonce,
	       SR_RPC_NONCE_SIZE);
	g_byte_array_unref(record);
}

static void wire_close(wire_t *wire)
{
	g_socket_close(wire->socket, NULL);
	g_object_unref(wire->socket);
	settle();
}

static void test_replayed_connection_runs_nothing(void **state)
{
	fixture_t *f = *state;
	sr_rpc_fetch fetch = { .key = "known" };
	sr_mac_input_t input = { .xid = 8,
				 .procedure = SR_RPC_FETCH,
				 .sequence = 1 };
	const sr_peer_stats_t *stats = sr_peer_stats(f->b.peer);
	GByteArray *hello = hello_record(f, 1);
	GByteArray *call;
	wire_t wire;

	wire_open(&wire, f);
	wire_greet(&wire, f, 1);
	input.session = wire.session;
	call = wire_record(f, &input, (xdrproc_t)xdr_sr_rpc_fetch, &fetch);
	wire_send(&wire, call);
	assert_int_equal(stats->calls_in, 1);
	wire_send(&wire, call); /* the same again */
	assert_int_equal(stats->calls_in, 1);
	assert_int_equal(stats->replayed, 1);
	wire_close(&wire);
	wire_open(&wire, f);
	wire_send(&wire, hello); /* the whole connection again */
	assert_true(wire_is_closed(&wire));
	assert_int_equal(stats->replayed, 2);
	wire_close(&wire);
	wire_open(&wire, f);
	wire_greet(&wire, f, 2); /* a good connection, an old call */
	wire_send(&wire, call);
	assert_int_equal(stats->calls_in, 1);
	assert_int_equal(stats->unauthenticated, 1);
	wire_close(&wire);
	g_byte_array_unref(hello);
	g_byte_array_unref(call);
}

static void test_garbage_ends_the_connection(void **state)
{
	fixture_t *f = *state;
	GByteArray *garbage = g_byte_array_new();
	wire_t wire;

	wire_open(&wire, f);
	g_byte_array_append(garbage, (const guint8 *)"GET / HTTP/1.1\r\n\r\n",
			    18);
	wire_send(&wire, garbage);
	assert_true(wire_is_closed(&wire));
	wire_close(&wire);
	forward(f, sr_peer_address(f->b.peer), "k", 1, SR_SEC);
	wait_for(&f->a.results, 1);
	assert_int_equal(f->a.err, SR_OK);
	g_byte_array_unref(garbage);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_datagram_arrives),
		TEST(test_strange_datagrams_change_nothing),
		cmocka_unit_test(test_clock_behind_is_heard_after_a_while),
		TEST(test_every_flipped_bit_is_noticed),
		TEST(test_forward_comes_back),
		TEST(test_answers_reach_their_own_call),
		TEST(test_unreachable_owner_is_not_run),
		TEST(test_lost_answer_is_unknown),
		TEST(test_fetch),
		TEST(test_wrong_secret_cannot_call),
		TEST(test_replayed_connection_runs_nothing),
		TEST(test_garbage_ends_the_connection),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
