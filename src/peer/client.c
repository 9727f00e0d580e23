#include <string.h>

#include "peer/forward.h"
#include "peer/peer_internal.h"

/* Time within which a connection must be established and authenticated. */
#define CONNECT_TIMEOUT (3 * SR_SEC)
/* Time after which a connection without calls is closed. */
#define IDLE_TIMEOUT SR_MINUTE

typedef struct outbound outbound_t;

/* A pending connect; outlives its outbound_t until GIO reports the
 * cancellation. */
typedef struct {
	outbound_t *outbound; /* NULL once it is freed */
	GCancellable *cancellable;
} connect_attempt_t;

/* A connection to another host, which all calls to that host share. */
struct outbound {
	sr_peer_t *peer;
	char *address;
	connect_attempt_t *attempt; /* NULL once it has completed */
	sr_stream_t *stream;
	gboolean authenticated; /* in both directions */
	guint8 session[SR_SESSION_SIZE];
	guint32 hello_xid;
	guint64 sequence;
	guint64 last_reply_sequence;
	sr_usec_t last_received;
	sr_list_t calls;   /* in order of their start */
	sr_timer_t *timer; /* connect timeout, later idle timeout */
};

typedef enum {
	CALL_FORWARD,
	CALL_FETCH,
} call_kind_t;

/* A call, from its start to the return of its callback. */
typedef struct {
	sr_list_t link;
	sr_peer_t *peer;
	outbound_t *outbound; /* NULL once it has failed */
	call_kind_t kind;
	guint32 xid;
	GByteArray *payload;
	gboolean sent;
	sr_err_t scheduled_err; /* of schedule_failure(), or SR_OK */
	sr_usec_t start_time;
	sr_timer_t *timer; /* timeout, or the scheduled failure */
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

/* A call that was sent ends with an unknown outcome, whatever unsent_err is. */
static void fail_call(rpc_call_t *call, sr_err_t unsent_err)
{
	sr_forward_result_t result = {
		.err = call->sent ? SR_ERR_OUTCOME_UNKNOWN : unsent_err,
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

/* Frees a connection, whose calls must have been removed. stream_closed: the
 * stream has reported its end and must not be freed again. */
static void free_outbound(outbound_t *outbound, gboolean stream_closed)
{
	if (outbound->attempt) {
		outbound->attempt->outbound = NULL;
		g_cancellable_cancel(outbound->attempt->cancellable);
	}
	if (!stream_closed)
		sr_stream_free(outbound->stream);
	sr_timer_cancel(outbound->timer);
	g_free(outbound->address);
	g_free(outbound);
}

static void on_scheduled_failure(void *user)
{
	rpc_call_t *call = user;

	call->timer = NULL;
	fail_call(call, call->scheduled_err);
}

/* Fails a call from a timer: its callback must not run inside the function that
 * starts the call. */
static void schedule_failure(rpc_call_t *call, sr_err_t err)
{
	sr_timer_cancel(call->timer);
	call->scheduled_err = err;
	call->timer = sr_timer_start(call->peer->options.clock, 0,
				     on_scheduled_failure, call);
}

/* Closes a connection and fails its calls from timers. */
static void fail_outbound(outbound_t *outbound, gboolean stream_closed)
{
	sr_peer_t *peer = outbound->peer;

	g_hash_table_remove(peer->outbound, outbound->address);
	sr_list_for_each_safe (pos, &outbound->calls) {
		rpc_call_t *call = sr_list_entry(pos, rpc_call_t, link);

		sr_list_remove(&call->link);
		sr_list_append(&peer->failed_calls, &call->link);
		call->outbound = NULL;
		schedule_failure(call, SR_ERR_HOME_UNREACHABLE);
	}
	free_outbound(outbound, stream_closed);
}

static void on_closed(void *user)
{
	fail_outbound(user, TRUE);
}

static void on_timeout(void *user)
{
	outbound_t *outbound = user;

	outbound->timer = NULL;
	fail_outbound(outbound, FALSE);
}

static void restart_timer(outbound_t *outbound, sr_usec_t timeout)
{
	sr_timer_cancel(outbound->timer);
	outbound->timer = sr_timer_start(outbound->peer->options.clock, timeout,
					 on_timeout, outbound);
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
		.session = outbound->authenticated ? outbound->session : NULL,
		.payload = payload->data,
		.payload_size = payload->len,
	};

	return sr_peer_write_message(outbound->peer, outbound->stream, &input);
}

/* Returns FALSE, with nothing sent, if the connection's send queue is full. */
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

	sr_peer_fill_nonce((guint8 *)hello.nonce);
	memcpy(outbound->session, hello.nonce, SR_RPC_NONCE_SIZE);
	sr_rpc_encode_or_abort(payload, (xdrproc_t)xdr_sr_rpc_hello, &hello);
	outbound->hello_xid = peer->next_xid++;
	write_call(outbound, outbound->hello_xid, SR_RPC_HELLO,
		   ++peer->hello_sequence, payload);
	g_byte_array_unref(payload);
}

static gboolean handle_hello(outbound_t *outbound,
			     const sr_rpc_header_t *header)
{
	sr_rpc_hello hello = { 0 };

	if (header->xid != outbound->hello_xid ||
	    !sr_rpc_decode(header, (xdrproc_t)xdr_sr_rpc_hello, &hello))
		return FALSE;
	memcpy(outbound->session + SR_RPC_NONCE_SIZE, hello.nonce,
	       SR_RPC_NONCE_SIZE);
	outbound->authenticated = TRUE;
	sr_timer_cancel(g_steal_pointer(&outbound->timer));
	sr_stream_set_record_max(outbound->stream, SR_RPC_MESSAGE_MAX);
	sr_list_for_each (pos, &outbound->calls) {
		rpc_call_t *call = sr_list_entry(pos, rpc_call_t, link);

		if (!call->scheduled_err && !send_call(call))
			schedule_failure(call, SR_ERR_OVERLOADED);
	}
	return TRUE;
}

static gboolean handle_forward_reply(rpc_call_t *call,
				     const sr_rpc_header_t *header)
{
	sr_rpc_forward_result wire = { 0 };
	sr_forward_result_t result;
	gboolean ok;

	if (!sr_rpc_decode(header, (xdrproc_t)xdr_sr_rpc_forward_result, &wire))
		return FALSE;
	ok = sr_forward_result_from_wire(&wire, &result);
	if (ok) {
		sr_list_remove(&call->link);
		call->forward_done(call->user, &result);
		g_bytes_unref(result.body);
		free_call(call);
	}
	xdr_free((xdrproc_t)xdr_sr_rpc_forward_result, &wire);
	return ok;
}

static gboolean handle_fetch_reply(rpc_call_t *call,
				   const sr_rpc_header_t *header)
{
	sr_rpc_fetch_result wire = { 0 };
	GBytes *value = NULL;

	if (!sr_rpc_decode(header, (xdrproc_t)xdr_sr_rpc_fetch_result, &wire))
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

static void start_idle_timer(outbound_t *outbound)
{
	if (sr_list_is_empty(&outbound->calls))
		restart_timer(outbound, IDLE_TIMEOUT);
}

/* Returns FALSE if the reply violates the protocol. A reply to a call that has
 * timed out or was cancelled is ignored. */
static gboolean handle_reply(outbound_t *outbound,
			     const sr_rpc_header_t *header)
{
	rpc_call_t *call;

	if (header->sequence <= outbound->last_reply_sequence) {
		outbound->peer->stats.replayed++;
		return FALSE;
	}
	outbound->last_reply_sequence = header->sequence;
	if (!outbound->authenticated)
		return handle_hello(outbound, header);
	call = find_call(outbound, header->xid);
	if (!call)
		return TRUE;
	return call->kind == CALL_FORWARD ? handle_forward_reply(call, header) :
					    handle_fetch_reply(call, header);
}

static void on_record(void *user, const guint8 *data, gsize size)
{
	outbound_t *outbound = user;
	sr_peer_t *peer = outbound->peer;
	sr_rpc_header_t header;
	int err = sr_rpc_verify_message(&peer->key, SR_MESSAGE_REPLY,
					peer->options.node, outbound->session,
					data, size, &header);

	peer->stats.bytes_in += size;
	outbound->last_received = sr_clock_now(peer->options.clock);
	if (err)
		sr_peer_count_rejected(peer, err);
	else if (!handle_reply(outbound, &header))
		err = SR_ERR_PROTOCOL;
	if (err)
		fail_outbound(outbound, FALSE);
	else
		start_idle_timer(outbound);
}

static void on_connect_finished(GObject *source, GAsyncResult *result,
				gpointer data)
{
	connect_attempt_t *attempt = data;
	outbound_t *outbound = attempt->outbound;
	GSocketConnection *connection = g_socket_client_connect_finish(
		G_SOCKET_CLIENT(source), result, NULL);
	sr_stream_options_t options = {
		.connection = connection,
		.record_max = SR_HELLO_MESSAGE_MAX,
		.queue_max = SR_STREAM_QUEUE_MAX,
		.record = on_record,
		.closed = on_closed,
		.user = outbound,
	};

	g_object_unref(attempt->cancellable);
	g_free(attempt);
	if (outbound) {
		outbound->attempt = NULL;
		if (connection) {
			outbound->stream = sr_stream_new(&options);
			send_hello(outbound);
		} else {
			fail_outbound(outbound, FALSE);
		}
	}
	g_clear_object(&connection);
}

static void connect_outbound(outbound_t *outbound, GSocketAddress *address)
{
	GSocketClient *client = g_socket_client_new();

	g_socket_client_set_enable_proxy(client, FALSE);
	outbound->attempt = g_new0(connect_attempt_t, 1);
	outbound->attempt->outbound = outbound;
	outbound->attempt->cancellable = g_cancellable_new();
	g_socket_client_connect_async(client, G_SOCKET_CONNECTABLE(address),
				      outbound->attempt->cancellable,
				      on_connect_finished, outbound->attempt);
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
	restart_timer(outbound, parsed ? CONNECT_TIMEOUT : 0);
	if (parsed)
		connect_outbound(outbound, parsed);
	g_clear_object(&parsed);
	return outbound;
}

/* A connection that has received nothing since a sent call was started is
 * considered dead and closed. */
static void on_call_timeout(void *user)
{
	rpc_call_t *call = user;
	outbound_t *outbound = call->outbound;
	gboolean dead =
		call->sent && outbound->last_received < call->start_time;

	call->timer = NULL;
	if (dead) {
		fail_outbound(outbound, FALSE);
		return;
	}
	fail_call(call, SR_ERR_HOME_UNREACHABLE);
	if (outbound->authenticated)
		start_idle_timer(outbound);
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
	call->start_time = sr_clock_now(peer->options.clock);
	call->user = user;
	sr_list_init(&call->link);
	return call;
}

static void start_call(rpc_call_t *call, gboolean encoded, sr_usec_t timeout)
{
	outbound_t *outbound = call->outbound;

	sr_list_append(&outbound->calls, &call->link);
	call->timer = sr_timer_start(outbound->peer->options.clock, timeout,
				     on_call_timeout, call);
	if (outbound->authenticated)
		sr_timer_cancel(g_steal_pointer(&outbound->timer));
	if (!encoded)
		schedule_failure(call, SR_ERR_TOO_LARGE);
	else if (outbound->authenticated && !send_call(call))
		schedule_failure(call, SR_ERR_OVERLOADED);
}

void sr_peer_forward(sr_peer_t *peer, const char *address,
		     const sr_forward_t *forward, sr_forward_fn done,
		     void *user)
{
	rpc_call_t *call = new_call(peer, address, CALL_FORWARD, user);

	call->forward_done = done;
	start_call(call, sr_forward_encode(call->payload, forward),
		   MAX(forward->time_left, 0) + SR_FORWARD_GRACE);
}

void sr_peer_fetch(sr_peer_t *peer, const char *address, const char *key,
		   sr_usec_t timeout, sr_fetch_fn done, void *user)
{
	rpc_call_t *call = new_call(peer, address, CALL_FETCH, user);
	sr_rpc_fetch wire = { .key = (char *)key };

	call->fetch_done = done;
	start_call(call,
		   sr_rpc_encode(call->payload, (xdrproc_t)xdr_sr_rpc_fetch,
				 &wire),
		   timeout);
}

/* Cancels the calls with this user pointer, or all if it is NULL. */
static void cancel_calls(sr_list_t *calls, void *user)
{
	sr_list_for_each_safe (pos, calls) {
		rpc_call_t *call = sr_list_entry(pos, rpc_call_t, link);

		if (!user || call->user == user)
			free_call(call);
	}
}

void sr_peer_cancel_calls(sr_peer_t *peer, void *user)
{
	GHashTableIter iter;
	gpointer value;

	cancel_calls(&peer->failed_calls, user);
	g_hash_table_iter_init(&iter, peer->outbound);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		outbound_t *outbound = value;

		cancel_calls(&outbound->calls, user);
		if (outbound->authenticated)
			start_idle_timer(outbound);
	}
}

void sr_client_start(sr_peer_t *peer)
{
	peer->outbound = g_hash_table_new(g_str_hash, g_str_equal);
	sr_list_init(&peer->failed_calls);
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
	cancel_calls(&peer->failed_calls, NULL);
	g_hash_table_unref(peer->outbound);
}
