#include <string.h>

#include "peer/forward.h"
#include "peer/peer_internal.h"

/* Largest number of open connections from other hosts. */
#define INBOUND_MAX 2048
/* Largest number of forwarded requests without an answer. */
#define REQUESTS_MAX 1024
/* Time from the accept of a connection to its first call, which includes its
 * authentication. */
#define FIRST_CALL_TIMEOUT (5 * SR_SEC)
/* Time after its last call at which a connection is closed, also if a request
 * is still without an answer. */
#define IDLE_TIMEOUT (2 * SR_MINUTE)

/* SR_RPC_BODY_MAX, in bytes, as a string for messages. */
#define BODY_MAX_TEXT G_STRINGIFY(SR_RPC_BODY_MAX)

/* A connection from another host. */
typedef struct {
	sr_list_t link;
	sr_peer_t *peer;
	sr_stream_t *stream;
	gboolean authenticated; /* the hello was accepted */
	guint8 session[SR_SESSION_SIZE];
	char sender[SR_RPC_NAME_MAX + 1];
	guint64 incarnation;
	guint64 last_sequence; /* of calls on this connection */
	guint64 reply_sequence;
	sr_timer_t *timer;
} inbound_t;

struct sr_peer_request {
	sr_list_t link;
	sr_peer_t *peer;
	inbound_t *inbound; /* NULL once the connection is gone */
	guint32 xid;
};

/* Frees a connection whose stream is closed. Its requests stay until they are
 * answered; their answers are dropped. */
static void free_inbound(inbound_t *inbound)
{
	sr_list_for_each (pos, &inbound->peer->requests) {
		sr_peer_request_t *request =
			sr_list_entry(pos, sr_peer_request_t, link);

		if (request->inbound == inbound)
			request->inbound = NULL;
	}
	sr_list_remove(&inbound->link);
	inbound->peer->n_inbound--;
	sr_timer_cancel(inbound->timer);
	g_free(inbound);
}

static void close_inbound(inbound_t *inbound)
{
	sr_stream_free(inbound->stream);
	free_inbound(inbound);
}

static void on_timeout(void *user)
{
	inbound_t *inbound = user;

	inbound->timer = NULL;
	close_inbound(inbound);
}

static void restart_timer(inbound_t *inbound, sr_usec_t timeout)
{
	sr_timer_cancel(inbound->timer);
	inbound->timer = sr_timer_start(inbound->peer->options.clock, timeout,
					on_timeout, inbound);
}

static void send_reply(inbound_t *inbound, guint32 xid,
		       const GByteArray *payload)
{
	sr_mac_input_t input = {
		.direction = SR_MESSAGE_REPLY,
		.xid = xid,
		.sender = inbound->peer->options.node,
		.receiver = inbound->sender,
		.incarnation = inbound->peer->options.incarnation,
		.sequence = ++inbound->reply_sequence,
		.session = inbound->session,
		.payload = payload->data,
		.payload_size = payload->len,
	};

	sr_peer_write_message(inbound->peer, inbound->stream, &input);
}

/* The reply's MAC covers the nonce of the connecting host only, which learns
 * the nonce of this host from the payload. */
static gboolean handle_hello(inbound_t *inbound, const sr_rpc_header_t *header)
{
	sr_peer_t *peer = inbound->peer;
	GByteArray *payload = g_byte_array_new();
	sr_rpc_hello hello = { 0 };

	if (!sr_replay_filter_accept(
		    peer->hello_filter, sr_clock_now(peer->options.clock),
		    header->sender, header->incarnation, header->sequence)) {
		peer->stats.replayed++;
		g_byte_array_unref(payload);
		return FALSE;
	}
	if (header->procedure != SR_RPC_HELLO ||
	    !sr_rpc_decode(header, (xdrproc_t)xdr_sr_rpc_hello, &hello)) {
		peer->stats.malformed++;
		g_byte_array_unref(payload);
		return FALSE;
	}
	g_strlcpy(inbound->sender, header->sender, sizeof(inbound->sender));
	inbound->incarnation = header->incarnation;
	memcpy(inbound->session, hello.nonce, SR_RPC_NONCE_SIZE);
	sr_peer_fill_nonce((guint8 *)hello.nonce);
	sr_rpc_encode_or_abort(payload, (xdrproc_t)xdr_sr_rpc_hello, &hello);
	send_reply(inbound, header->xid, payload);
	memcpy(inbound->session + SR_RPC_NONCE_SIZE, hello.nonce,
	       SR_RPC_NONCE_SIZE);
	inbound->authenticated = TRUE;
	sr_stream_set_record_max(inbound->stream, SR_RPC_MESSAGE_MAX);
	g_byte_array_unref(payload);
	return TRUE;
}

static void refuse_request(sr_peer_request_t *request)
{
	sr_forward_result_t result = { .err = SR_ERR_OVERLOADED,
				       .executed = SR_FORWARD_NOT_RUN,
				       .retry_after = SR_SEC };

	request->peer->stats.refused++;
	sr_peer_answer(request, &result);
}

static gboolean handle_forward(inbound_t *inbound,
			       const sr_rpc_header_t *header)
{
	sr_peer_t *peer = inbound->peer;
	sr_rpc_forward wire = { 0 };
	sr_peer_request_t *request;
	sr_forward_t forward;

	if (!sr_rpc_decode(header, (xdrproc_t)xdr_sr_rpc_forward, &wire))
		return FALSE;
	request = g_new0(sr_peer_request_t, 1);
	request->peer = peer;
	request->inbound = inbound;
	request->xid = header->xid;
	sr_list_append(&peer->requests, &request->link);
	peer->n_requests++;
	if (peer->n_requests > REQUESTS_MAX) {
		refuse_request(request);
	} else {
		sr_forward_from_wire(&wire, &forward);
		peer->options.forward(peer->options.user, request, &forward);
		g_bytes_unref(forward.body);
	}
	xdr_free((xdrproc_t)xdr_sr_rpc_forward, &wire);
	return TRUE;
}

static gboolean handle_fetch(inbound_t *inbound, const sr_rpc_header_t *header)
{
	sr_peer_t *peer = inbound->peer;
	GByteArray *payload;
	sr_rpc_fetch wire = { 0 };
	sr_rpc_fetch_result result = { 0 };
	GBytes *value;
	gsize size = 0;

	if (!sr_rpc_decode(header, (xdrproc_t)xdr_sr_rpc_fetch, &wire))
		return FALSE;
	value = peer->options.fetch(peer->options.user, wire.key);
	if (value && g_bytes_get_size(value) <= SR_RPC_BODY_MAX) {
		result.found = TRUE;
		result.value.value_val = (char *)g_bytes_get_data(value, &size);
		result.value.value_len = (u_int)size;
	}
	payload = g_byte_array_new();
	sr_rpc_encode_or_abort(payload, (xdrproc_t)xdr_sr_rpc_fetch_result,
			       &result);
	send_reply(inbound, header->xid, payload);
	g_byte_array_unref(payload);
	g_clear_pointer(&value, g_bytes_unref);
	xdr_free((xdrproc_t)xdr_sr_rpc_fetch, &wire);
	return TRUE;
}

/* Handles a call on an authenticated connection. Returns FALSE if the
 * connection must be closed. */
static gboolean handle_call(inbound_t *inbound, const sr_rpc_header_t *header)
{
	sr_peer_t *peer = inbound->peer;
	gboolean ok = FALSE;

	if (header->sequence <= inbound->last_sequence ||
	    header->incarnation != inbound->incarnation ||
	    strcmp(header->sender, inbound->sender) != 0) {
		peer->stats.replayed++;
		return FALSE;
	}
	inbound->last_sequence = header->sequence;
	peer->stats.calls_in++;
	restart_timer(inbound, IDLE_TIMEOUT);
	switch (header->procedure) {
	case SR_RPC_FORWARD:
		ok = handle_forward(inbound, header);
		break;
	case SR_RPC_FETCH:
		ok = handle_fetch(inbound, header);
		break;
	default:
		break;
	}
	if (!ok)
		peer->stats.malformed++;
	return ok;
}

static void on_record(void *user, const guint8 *data, gsize size)
{
	inbound_t *inbound = user;
	sr_peer_t *peer = inbound->peer;
	sr_rpc_header_t header;
	gboolean ok = FALSE;
	int err = sr_rpc_verify_message(
		&peer->key, SR_MESSAGE_CALL, peer->address,
		inbound->authenticated ? inbound->session : NULL, data, size,
		&header);

	peer->stats.bytes_in += size;
	if (err)
		sr_peer_count_rejected(peer, err);
	else if (inbound->authenticated)
		ok = handle_call(inbound, &header);
	else
		ok = handle_hello(inbound, &header);
	if (!ok)
		close_inbound(inbound);
}

static void on_closed(void *user)
{
	free_inbound(user);
}

static gboolean on_incoming(GSocketService *service,
			    GSocketConnection *connection, GObject *source,
			    gpointer data)
{
	sr_peer_t *peer = data;
	inbound_t *inbound;
	sr_stream_options_t options = {
		.connection = connection,
		.record_max = SR_HELLO_MESSAGE_MAX,
		.queue_max = SR_STREAM_QUEUE_MAX,
		.record = on_record,
		.closed = on_closed,
	};

	if (peer->n_inbound >= INBOUND_MAX) {
		peer->stats.refused++;
		return TRUE;
	}
	inbound = g_new0(inbound_t, 1);
	inbound->peer = peer;
	options.user = inbound;
	inbound->stream = sr_stream_new(&options);
	sr_list_append(&peer->inbound, &inbound->link);
	peer->n_inbound++;
	restart_timer(inbound, FIRST_CALL_TIMEOUT);
	return TRUE;
}

void sr_server_start(sr_peer_t *peer)
{
	g_signal_connect(peer->service, "incoming", G_CALLBACK(on_incoming),
			 peer);
	g_socket_service_start(peer->service);
}

void sr_server_stop(sr_peer_t *peer)
{
	if (peer->service) {
		g_signal_handlers_disconnect_by_data(peer->service, peer);
		g_socket_service_stop(peer->service);
	}
	sr_list_for_each_safe (pos, &peer->inbound)
		close_inbound(sr_list_entry(pos, inbound_t, link));
	sr_list_for_each_safe (pos, &peer->requests)
		g_free(sr_list_entry(pos, sr_peer_request_t, link));
}

void sr_peer_answer(sr_peer_request_t *request,
		    const sr_forward_result_t *result)
{
	GByteArray *payload = g_byte_array_new();
	sr_forward_result_t too_large = {
		.err = SR_ERR_TOO_LARGE,
		.executed = result->executed,
		.detail = "the answer exceeds a limit for forwarding between "
			  "entry hosts",
	};

	if (request->inbound) {
		if (!sr_forward_encode_result(payload, result))
			sr_forward_encode_result(payload, &too_large);
		send_reply(request->inbound, request->xid, payload);
	}
	g_byte_array_unref(payload);
	sr_list_remove(&request->link);
	request->peer->n_requests--;
	g_free(request);
}
