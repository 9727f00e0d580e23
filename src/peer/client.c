#include <string.h>

#include "peer/forward.h"
#include "peer/peer_internal.h"

/* How long a connection may take until it is authenticated. */
#define CONNECT_LIMIT (3 * SR_SEC)
/* A connection without calls is closed after this. */
#define IDLE_LIMIT SR_MINUTE

typedef struct outbound outbound_t;

/* Outlives its connection until GIO has given up on the connect. */
typedef struct {
	outbound_t *outbound; /* NULL once the connection is gone */
	GCancellable *cancellable;
} connecting_t;

struct outbound {
	sr_peer_t *peer;
	char *address;
	connecting_t *connecting;
	sr_stream_t *stream;
	gboolean ready; /* authenticated in both directions */
	guint8 session[SR_SESSION_SIZE];
	guint32 hello_xid;
	guint64 sequence;
	guint64 last_reply;
	sr_usec_t heard;
	sr_list_t calls; /* in the order of their start */
	sr_timer_t *timer;
};

typedef enum {
	CALL_FORWARD,
	CALL_FETCH,
} call_kind_t;

typedef struct {
	sr_list_t link;
	sr_peer_t *peer;
	outbound_t *outbound; /* NULL once the connection is gone */
	call_kind_t kind;
	guint32 xid;
	GByteArray *payload;
	gboolean sent;
	sr_err_t refused; /* why it will not be sent, or SR_OK */
	sr_usec_t started;
	sr_timer_t *timer;
	sr_forward_fn forward_done;
	sr_fetch_fn fetch_done;
	void *user;
} rpc_call_t;

static void free_call(rpc_call_t *call)
{
	sr_list_remove(&call->link);
	sr_timer_cancel(call->timer);
	g_byte_array_unref(call->payload);
	g_free(call);
}

static void fail_call(rpc_call_t *call, sr_err_t not_sent)
{
	sr_forward_result_t result = {
		.err = call->sent ? SR_ERR_OUTCOME_UNKNOWN : not_sent,
		.executed =
			call->sent ? SR_FORWARD_UNKNOWN : SR_FORWARD_NOT_RUN,
		.retry_after = SR_SEC,
	};

	sr_list_remove(&call->link);
	switch (call->kind) {
	case CALL_FORWARD:
		call->forward_done(call->user, &result);
		break;
	case CALL_FETCH:
		call->fetch_done(call->user, NULL);
		break;
	}
	free_call(call);
}

/* Frees the connection; the calls are left to the caller. */
static void free_outbound(outbound_t *outbound, gboolean stream_gone)
{
	if (outbound->connecting) {
		outbound->connecting->outbound = NULL;
		g_cancellable_cancel(outbound->connecting->cancellable);
	}
	if (!stream_gone)
		sr_stream_free(outbound->stream);
	sr_timer_cancel(outbound->timer);
	g_free(outbound->address);
	g_free(outbound);
}

static void on_refused(void *user)
{
	rpc_call_t *call = user;

	call->timer = NULL;
	fail_call(call, call->refused);
}

/* Answers the call from a timer, never from inside its start. */
static void refuse_call(rpc_call_t *call, sr_err_t err)
{
	sr_timer_cancel(call->timer);
	call->refused = err;
	call->timer =
		sr_timer_start(call->peer->options.clock, 0, on_refused, call);
}

static void fail_outbound(outbound_t *outbound, gboolean stream_gone)
{
	sr_peer_t *peer = outbound->peer;

	g_hash_table_remove(peer->outbound, outbound->address);
	sr_list_for_each_safe (pos, &outbound->calls) {
		rpc_call_t *call = sr_list_entry(pos, rpc_call_t, link);

		sr_list_remove(&call->link);
		sr_list_append(&peer->failing, &call->link);
		call->outbound = NULL;
		refuse_call(call, SR_ERR_HOME_UNREACHABLE);
	}
	free_outbound(outbound, stream_gone);
}

static void on_closed(void *user)
{
	fail_outbound(user, TRUE);
}

static void on_limit(void *user)
{
	outbound_t *outbound = user;

	outbound->timer = NULL;
	fail_outbound(outbound, FALSE);
}

static void restart_timer(outbound_t *outbound, sr_usec_t limit)
{
	sr_timer_cancel(outbound->timer);
	outbound->timer = sr_timer_start(outbound->peer->options.clock, limit,
					 on_limit, outbound);
}

static gboolean write_call(outbound_t *outbound, guint32 xid, guint32 procedure,
			   guint64 sequence, const GByteArray *payload)
{
	sr_mac_input_t input = {
		.direction = SR_MESSAGE_CALL,
		.xid = xid,
		.procedure = procedure,
		.sender = outbound->peer->options.node,
		.receiver = outbound->address,
		.incarnation = outbound->peer->options.incarnation,
		.sequence = sequence,
		.session = outbound->ready ? outbound->session : NULL,
		.payload = payload->data,
		.payload_size = payload->len,
	};

	return sr_peer_write(outbound->peer, outbound->stream, &input);
}

/* FALSE if too much is waiting on the connection; nothing was sent then. */
static gboolean send_call(rpc_call_t *call)
{
	outbound_t *outbound = call->outbound;
	guint32 procedure =
		call->kind == CALL_FORWARD ? SR_RPC_FORWARD : SR_RPC_FETCH;

	call->sent = write_call(outbound, call->xid, procedure,
				outbound->sequence + 1, call->payload);
	outbound->sequence += call->sent;
	outbound->peer->stats.calls_out += call->sent;
	return call->sent;
}

static void send_hello(outbound_t *outbound)
{
	sr_peer_t *peer = outbound->peer;
	GByteArray *payload = g_byte_array_new();
	sr_rpc_hello hello;

	sr_peer_nonce((guint8 *)hello.nonce);
	memcpy(outbound->session, hello.nonce, SR_RPC_NONCE_SIZE);
	sr_rpc_pack_fixed(payload, (xdrproc_t)xdr_sr_rpc_hello, &hello);
	outbound->hello_xid = peer->next_xid++;
	write_call(outbound, outbound->hello_xid, SR_RPC_HELLO,
		   ++peer->hello_sequence, payload);
	g_byte_array_unref(payload);
}

static gboolean take_hello(outbound_t *outbound, const sr_rpc_header_t *header)
{
	sr_rpc_hello hello = { 0 };

	if (header->xid != outbound->hello_xid ||
	    !sr_rpc_unpack(header, (xdrproc_t)xdr_sr_rpc_hello, &hello))
		return FALSE;
	memcpy(outbound->session + SR_RPC_NONCE_SIZE, hello.nonce,
	       SR_RPC_NONCE_SIZE);
	outbound->ready = TRUE;
	sr_timer_cancel(g_steal_pointer(&outbound->timer));
	sr_stream_set_record_max(outbound->stream, SR_RPC_MESSAGE_MAX);
	sr_list_for_each (pos, &outbound->calls) {
		rpc_call_t *call = sr_list_entry(pos, rpc_call_t, link);

		if (!call->refused && !send_call(call))
			refuse_call(call, SR_ERR_OVERLOADED);
	}
	return TRUE;
}

static gboolean take_forward(rpc_call_t *call, const sr_rpc_header_t *header)
{
	sr_rpc_forward_result wire = { 0 };
	sr_forward_result_t result;
	gboolean good;

	if (!sr_rpc_unpack(header, (xdrproc_t)xdr_sr_rpc_forward_result, &wire))
		return FALSE;
	good = sr_forward_view_result(&wire, &result);
	if (good) {
		sr_list_remove(&call->link);
		call->forward_done(call->user, &result);
		g_bytes_unref(result.body);
		free_call(call);
	}
	xdr_free((xdrproc_t)xdr_sr_rpc_forward_result, &wire);
	return good;
}

static gboolean take_fetch(rpc_call_t *call, const sr_rpc_header_t *header)
{
	sr_rpc_fetch_result wire = { 0 };
	GBytes *value = NULL;

	if (!sr_rpc_unpack(header, (xdrproc_t)xdr_sr_rpc_fetch_result, &wire))
		return FALSE;
	if (wire.found)
		value = g_bytes_new(wire.value.value_val, wire.value.value_len);
	sr_list_remove(&call->link);
	call->fetch_done(call->user, value);
	g_clear_pointer(&value, g_bytes_unref);
	free_call(call);
	xdr_free((xdrproc_t)xdr_sr_rpc_fetch_result, &wire);
	return TRUE;
}

static rpc_call_t *find_call(outbound_t *outbound, guint32 xid)
{
	sr_list_for_each (pos, &outbound->calls) {
		rpc_call_t *call = sr_list_entry(pos, rpc_call_t, link);

		if (call->xid == xid && call->sent)
			return call;
	}
	return NULL;
}

static void wait_if_idle(outbound_t *outbound)
{
	if (sr_list_is_empty(&outbound->calls))
		restart_timer(outbound, IDLE_LIMIT);
}

/* A reply to a call that was given up meanwhile is no fault. */
static gboolean take_reply(outbound_t *outbound, const sr_rpc_header_t *header)
{
	rpc_call_t *call;

	if (header->sequence <= outbound->last_reply) {
		outbound->peer->stats.replayed++;
		return FALSE;
	}
	outbound->last_reply = header->sequence;
	if (!outbound->ready)
		return take_hello(outbound, header);
	call = find_call(outbound, header->xid);
	if (!call)
		return TRUE;
	return call->kind == CALL_FORWARD ? take_forward(call, header) :
					    take_fetch(call, header);
}

static void on_record(void *user, const guint8 *data, gsize size)
{
	outbound_t *outbound = user;
	sr_peer_t *peer = outbound->peer;
	sr_rpc_header_t header;
	int err = sr_rpc_open(&peer->key, SR_MESSAGE_REPLY, peer->options.node,
			      outbound->session, data, size, &header);

	peer->stats.bytes_in += size;
	outbound->heard = sr_clock_now(peer->options.clock);
	if (err)
		sr_peer_count(peer, err);
	else if (!take_reply(outbound, &header))
		err = SR_ERR_PROTOCOL;
	if (err)
		fail_outbound(outbound, FALSE);
	else
		wait_if_idle(outbound);
}

static void on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	connecting_t *connecting = data;
	outbound_t *outbound = connecting->outbound;
	GSocketConnection *connection = g_socket_client_connect_finish(
		G_SOCKET_CLIENT(source), result, NULL);
	sr_stream_options_t options = {
		.connection = connection,
		.record_max = SR_HELLO_MAX,
		.queue_max = SR_STREAM_QUEUE_MAX,
		.record = on_record,
		.closed = on_closed,
		.user = outbound,
	};

	g_object_unref(connecting->cancellable);
	g_free(connecting);
	if (outbound) {
		outbound->connecting = NULL;
		if (connection) {
			outbound->stream = sr_stream_new(&options);
			send_hello(outbound);
		} else {
			fail_outbound(outbound, FALSE);
		}
	}
	g_clear_object(&connection);
}

static void start_connect(outbound_t *outbound, GSocketAddress *address)
{
	GSocketClient *client = g_socket_client_new();

	g_socket_client_set_enable_proxy(client, FALSE);
	outbound->connecting = g_new0(connecting_t, 1);
	outbound->connecting->outbound = outbound;
	outbound->connecting->cancellable = g_cancellable_new();
	g_socket_client_connect_async(client, G_SOCKET_CONNECTABLE(address),
				      outbound->connecting->cancellable,
				      on_connected, outbound->connecting);
	g_object_unref(client);
}

static outbound_t *get_outbound(sr_peer_t *peer, const char *address)
{
	outbound_t *outbound = g_hash_table_lookup(peer->outbound, address);
	GSocketAddress *parsed;

	if (outbound)
		return outbound;
	outbound = g_new0(outbound_t, 1);
	outbound->peer = peer;
	outbound->address = g_strdup(address);
	sr_list_init(&outbound->calls);
	g_hash_table_insert(peer->outbound, outbound->address, outbound);
	parsed = sr_peer_parse_address(address);
	restart_timer(outbound, parsed ? CONNECT_LIMIT : 0);
	if (parsed)
		start_connect(outbound, parsed);
	g_clear_object(&parsed);
	return outbound;
}

/* Without a sign of life since the call began, the connection is dead. */
static void on_call_timeout(void *user)
{
	rpc_call_t *call = user;
	outbound_t *outbound = call->outbound;
	gboolean dead = call->sent && outbound->heard < call->started;

	call->timer = NULL;
	if (dead) {
		fail_outbound(outbound, FALSE);
		return;
	}
	fail_call(call, SR_ERR_HOME_UNREACHABLE);
	if (outbound->ready)
		wait_if_idle(outbound);
}

static rpc_call_t *new_call(sr_peer_t *peer, const char *address,
			    call_kind_t kind, void *user)
{
	rpc_call_t *call = g_new0(rpc_call_t, 1);

	call->peer = peer;
	call->outbound = get_outbound(peer, address);
	call->kind = kind;
	call->xid = peer->next_xid++;
	call->payload = g_byte_array_new();
	call->started = sr_clock_now(peer->options.clock);
	call->user = user;
	sr_list_init(&call->link);
	return call;
}

static void start_call(rpc_call_t *call, gboolean packed, sr_usec_t limit)
{
	outbound_t *outbound = call->outbound;

	sr_list_append(&outbound->calls, &call->link);
	call->timer = sr_timer_start(outbound->peer->options.clock, limit,
				     on_call_timeout, call);
	if (outbound->ready)
		sr_timer_cancel(g_steal_pointer(&outbound->timer));
	if (!packed)
		refuse_call(call, SR_ERR_TOO_LARGE);
	else if (outbound->ready && !send_call(call))
		refuse_call(call, SR_ERR_OVERLOADED);
}

void sr_peer_forward(sr_peer_t *peer, const char *address,
		     const sr_forward_t *forward, sr_forward_fn done,
		     void *user)
{
	rpc_call_t *call = new_call(peer, address, CALL_FORWARD, user);

	call->forward_done = done;
	start_call(call, sr_forward_pack(call->payload, forward),
		   MAX(forward->time_left, 0) + SR_FORWARD_GRACE);
}

void sr_peer_fetch(sr_peer_t *peer, const char *address, const char *key,
		   sr_usec_t timeout, sr_fetch_fn done, void *user)
{
	rpc_call_t *call = new_call(peer, address, CALL_FETCH, user);
	sr_rpc_fetch wire = { .key = (char *)key };

	call->fetch_done = done;
	start_call(
		call,
		sr_rpc_pack(call->payload, (xdrproc_t)xdr_sr_rpc_fetch, &wire),
		timeout);
}

/* user NULL stands for all. */
static void cancel_calls(sr_list_t *calls, void *user)
{
	sr_list_for_each_safe (pos, calls) {
		rpc_call_t *call = sr_list_entry(pos, rpc_call_t, link);

		if (!user || call->user == user)
			free_call(call);
	}
}

void sr_peer_cancel_all(sr_peer_t *peer, void *user)
{
	GHashTableIter iter;
	gpointer value;

	cancel_calls(&peer->failing, user);
	g_hash_table_iter_init(&iter, peer->outbound);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		outbound_t *outbound = value;

		cancel_calls(&outbound->calls, user);
		if (outbound->ready)
			wait_if_idle(outbound);
	}
}

void sr_client_start(sr_peer_t *peer)
{
	peer->outbound = g_hash_table_new(g_str_hash, g_str_equal);
	sr_list_init(&peer->failing);
}

void sr_client_stop(sr_peer_t *peer)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peer->outbound);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		outbound_t *outbound = value;

		sr_list_for_each_safe (pos, &outbound->calls)
			free_call(sr_list_entry(pos, rpc_call_t, link));
		free_outbound(outbound, FALSE);
	}
	cancel_calls(&peer->failing, NULL);
	g_hash_table_unref(peer->outbound);
}
