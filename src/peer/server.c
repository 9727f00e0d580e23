#include <string.h>

#include "peer/forward.h"
#include "peer/peer_internal.h"

/* Connections that other hosts may hold open to this one. */
#define INBOUND_MAX 2048
/* Forwarded requests that may wait for their answer. */
#define REQUESTS_MAX 1024
/* How long a connection may take to authenticate itself. */
#define HELLO_LIMIT (5 * SR_SEC)
/* How long a connection may stay without a call. */
#define IDLE_LIMIT (2 * SR_MINUTE)

typedef struct {
	sr_list_t link;
	sr_peer_t *peer;
	sr_stream_t *stream;
	gboolean greeted;
	guint8 session[SR_SESSION_SIZE];
	char sender[SR_RPC_NAME_MAX + 1];
	guint64 incarnation;
	guint64 last_sequence; /* of calls on this connection */
	guint64 replies;
	sr_timer_t *timer;
} inbound_t;

struct sr_peer_request {
	sr_list_t link;
	sr_peer_t *peer;
	inbound_t *from; /* NULL once the connection is gone */
	guint32 xid;
};

static void drop_inbound(inbound_t *inbound)
{
	sr_list_for_each (pos, &inbound->peer->requests) {
		sr_peer_request_t *request =
			sr_list_entry(pos, sr_peer_request_t, link);

		if (request->from == inbound)
			request->from = NULL;
	}
	sr_list_remove(&inbound->link);
	inbound->peer->n_inbound--;
	sr_timer_cancel(inbound->timer);
	g_free(inbound);
}

static void close_inbound(inbound_t *inbound)
{
	sr_stream_free(inbound->stream);
	drop_inbound(inbound);
}

static void on_limit(void *user)
{
	inbound_t *inbound = user;

	inbound->timer = NULL;
	close_inbound(inbound);
}

static void restart_timer(inbound_t *inbound, sr_usec_t limit)
{
	sr_timer_cancel(inbound->timer);
	inbound->timer = sr_timer_start(inbound->peer->options.clock, limit,
					on_limit, inbound);
}

static void reply(inbound_t *inbound, guint32 xid, const GByteArray *payload)
{
	sr_mac_input_t input = {
		.direction = SR_MESSAGE_REPLY,
		.xid = xid,
		.sender = inbound->peer->options.node,
		.receiver = inbound->sender,
		.incarnation = inbound->peer->options.incarnation,
		.sequence = ++inbound->replies,
		.session = inbound->session,
		.payload = payload->data,
		.payload_size = payload->len,
	};

	sr_peer_write(inbound->peer, inbound->stream, &input);
}

/* The reply is under the caller's nonce alone; ours is in its payload. */
static gboolean take_hello(inbound_t *inbound, const sr_rpc_header_t *header)
{
	sr_peer_t *peer = inbound->peer;
	GByteArray *payload = g_byte_array_new();
	sr_rpc_hello hello = { 0 };

	if (!sr_replay_accept(peer->hello_replay,
			      sr_clock_now(peer->options.clock), header->sender,
			      header->incarnation, header->sequence)) {
		peer->stats.replayed++;
		g_byte_array_unref(payload);
		return FALSE;
	}
	if (header->procedure != SR_RPC_HELLO ||
	    !sr_rpc_unpack(header, (xdrproc_t)xdr_sr_rpc_hello, &hello)) {
		peer->stats.malformed++;
		g_byte_array_unref(payload);
		return FALSE;
	}
	g_strlcpy(inbound->sender, header->sender, sizeof(inbound->sender));
	inbound->incarnation = header->incarnation;
	memcpy(inbound->session, hello.nonce, SR_RPC_NONCE_SIZE);
	sr_peer_nonce((guint8 *)hello.nonce);
	sr_rpc_pack_fixed(payload, (xdrproc_t)xdr_sr_rpc_hello, &hello);
	reply(inbound, header->xid, payload);
	memcpy(inbound->session + SR_RPC_NONCE_SIZE, hello.nonce,
	       SR_RPC_NONCE_SIZE);
	inbound->greeted = TRUE;
	sr_stream_set_record_max(inbound->stream, SR_RPC_MESSAGE_MAX);
	g_byte_array_unref(payload);
	return TRUE;
}

static void refuse(sr_peer_request_t *request)
{
	sr_forward_result_t result = { .err = SR_ERR_OVERLOADED,
				       .executed = SR_FORWARD_NOT_RUN,
				       .retry_after = SR_SEC };

	request->peer->stats.refused++;
	sr_peer_answer(request, &result);
}

static gboolean take_forward(inbound_t *inbound, const sr_rpc_header_t *header)
{
	sr_peer_t *peer = inbound->peer;
	sr_rpc_forward wire = { 0 };
	sr_peer_request_t *request;
	sr_forward_t forward;

	if (!sr_rpc_unpack(header, (xdrproc_t)xdr_sr_rpc_forward, &wire))
		return FALSE;
	request = g_new0(sr_peer_request_t, 1);
	request->peer = peer;
	request->from = inbound;
	request->xid = header->xid;
	sr_list_append(&peer->requests, &request->link);
	peer->n_requests++;
	if (peer->n_requests > REQUESTS_MAX) {
		refuse(request);
	} else {
		sr_forward_view(&wire, &forward);
		peer->options.forward(peer->options.user, request, &forward);
		g_bytes_unref(forward.body);
	}
	xdr_free((xdrproc_t)xdr_sr_rpc_forward, &wire);
	return TRUE;
}

static gboolean take_fetch(inbound_t *inbound, const sr_rpc_header_t *header)
{
	sr_peer_t *peer = inbound->peer;
	GByteArray *payload;
	sr_rpc_fetch wire = { 0 };
	sr_rpc_fetch_result result = { 0 };
	GBytes *value;
	gsize size = 0;

	if (!sr_rpc_unpack(header, (xdrproc_t)xdr_sr_rpc_fetch, &wire))
		return FALSE;
	value = peer->options.fetch(peer->options.user, wire.key);
	if (value && g_bytes_get_size(value) <= SR_RPC_BODY_MAX) {
		result.found = TRUE;
		result.value.value_val = (char *)g_bytes_get_data(value, &size);
		result.value.value_len = (u_int)size;
	}
	payload = g_byte_array_new();
	sr_rpc_pack_fixed(payload, (xdrproc_t)xdr_sr_rpc_fetch_result, &result);
	reply(inbound, header->xid, payload);
	g_byte_array_unref(payload);
	g_clear_pointer(&value, g_bytes_unref);
	xdr_free((xdrproc_t)xdr_sr_rpc_fetch, &wire);
	return TRUE;
}

/* A call of an authenticated connection; FALSE ends the connection. */
static gboolean take_call(inbound_t *inbound, const sr_rpc_header_t *header)
{
	sr_peer_t *peer = inbound->peer;
	gboolean good = FALSE;

	if (header->sequence <= inbound->last_sequence ||
	    header->incarnation != inbound->incarnation ||
	    strcmp(header->sender, inbound->sender) != 0) {
		peer->stats.replayed++;
		return FALSE;
	}
	inbound->last_sequence = header->sequence;
	peer->stats.calls_in++;
	restart_timer(inbound, IDLE_LIMIT);
	switch (header->procedure) {
	case SR_RPC_FORWARD:
		good = take_forward(inbound, header);
		break;
	case SR_RPC_FETCH:
		good = take_fetch(inbound, header);
		break;
	default:
		break;
	}
	if (!good)
		peer->stats.malformed++;
	return good;
}

static void on_record(void *user, const guint8 *data, gsize size)
{
	inbound_t *inbound = user;
	sr_peer_t *peer = inbound->peer;
	sr_rpc_header_t header;
	gboolean good = FALSE;
	int err = sr_rpc_open(&peer->key, SR_MESSAGE_CALL, peer->address,
			      inbound->greeted ? inbound->session : NULL, data,
			      size, &header);

	peer->stats.bytes_in += size;
	if (err)
		sr_peer_count(peer, err);
	else if (inbound->greeted)
		good = take_call(inbound, &header);
	else
		good = take_hello(inbound, &header);
	if (!good)
		close_inbound(inbound);
}

static void on_closed(void *user)
{
	drop_inbound(user);
}

static gboolean on_incoming(GSocketService *service,
			    GSocketConnection *connection, GObject *source,
			    gpointer data)
{
	sr_peer_t *peer = data;
	inbound_t *inbound;
	sr_stream_options_t options = {
		.connection = connection,
		.record_max = SR_HELLO_MAX,
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
	restart_timer(inbound, HELLO_LIMIT);
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
	sr_forward_result_t broken = {
		.err = SR_ERR_TOO_LARGE,
		.executed = result->executed,
		.detail = "the answer exceeds what can be forwarded",
	};

	if (request->from) {
		if (!sr_forward_pack_result(payload, result))
			sr_forward_pack_result(payload, &broken);
		reply(request->from, request->xid, payload);
	}
	g_byte_array_unref(payload);
	sr_list_remove(&request->link);
	request->peer->n_requests--;
	g_free(request);
}
