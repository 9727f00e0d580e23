#include "peer/peer.h"

#include <string.h>
#include <sys/random.h>

#include "peer/peer_internal.h"

/* Datagrams read per wake-up, so that other event sources are not starved. */
#define DATAGRAM_BATCH_MAX 64
/* Size of the receive buffer in bytes: a datagram of SR_PEER_DATAGRAM_MAX with
 * its RPC header fits. */
#define PACKET_SIZE_MAX 2048
/* Attempts to find a port that is free for both TCP and UDP, if port 0 was
 * configured. */
#define PORT_ATTEMPTS_MAX 16

GSocketAddress *sr_peer_parse_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	GSocketAddress *address = NULL;
	guint64 port = 0;
	char *host;

	if (!colon ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL))
		return NULL;
	host = g_strndup(text, (gsize)(colon - text));
	address = g_inet_socket_address_new_from_string(host, (guint)port);
	g_free(host);
	return address;
}

void sr_peer_fill_nonce(guint8 nonce[SR_RPC_NONCE_SIZE])
{
	int failed = getentropy(nonce, SR_RPC_NONCE_SIZE);

	g_assert(!failed);
}

void sr_peer_count_rejected(sr_peer_t *peer, int err)
{
	if (err == SR_ERR_UNAUTHENTICATED)
		peer->stats.unauthenticated++;
	else
		peer->stats.malformed++;
}

gboolean sr_peer_write_message(sr_peer_t *peer, sr_stream_t *stream,
			       const sr_mac_input_t *input)
{
	GByteArray *message = sr_rpc_build_message(&peer->key, input);
	gboolean ok = sr_stream_send(stream, message);

	if (ok)
		peer->stats.bytes_out += message->len;
	else
		peer->stats.refused++;
	g_byte_array_unref(message);
	return ok;
}

static void handle_packet(sr_peer_t *peer, const guint8 *data, gsize size)
{
	sr_rpc_header_t header;
	sr_rpc_gossip gossip = { 0 };
	int err =
		sr_rpc_verify_message(&peer->key, SR_MESSAGE_CALL,
				      peer->address, NULL, data, size, &header);

	if (!err && header.procedure != SR_RPC_GOSSIP)
		err = SR_ERR_PROTOCOL;
	if (err) {
		sr_peer_count_rejected(peer, err);
		return;
	}
	if (!sr_replay_filter_accept(
		    peer->datagram_filter, sr_clock_now(peer->options.clock),
		    header.sender, header.incarnation, header.sequence)) {
		peer->stats.replayed++;
		return;
	}
	if (!sr_rpc_decode(&header, (xdrproc_t)xdr_sr_rpc_gossip, &gossip)) {
		peer->stats.malformed++;
		return;
	}
	peer->stats.datagrams_in++;
	peer->options.datagram(peer->options.user,
			       (const guint8 *)gossip.datagram.datagram_val,
			       gossip.datagram.datagram_len);
	xdr_free((xdrproc_t)xdr_sr_rpc_gossip, &gossip);
}

static gboolean on_packet(GSocket *socket, GIOCondition condition,
			  gpointer data)
{
	sr_peer_t *peer = data;
	guint8 packet[PACKET_SIZE_MAX];

	for (int i = 0; i < DATAGRAM_BATCH_MAX; i++) {
		gssize size = g_socket_receive(socket, (char *)packet,
					       sizeof(packet), NULL, NULL);

		if (size < 0)
			break;
		peer->stats.bytes_in += (guint64)size;
		handle_packet(peer, packet, (gsize)size);
	}
	return G_SOURCE_CONTINUE;
}

void sr_peer_send_datagram(sr_peer_t *peer, const char *address,
			   const guint8 *data, gsize size)
{
	GSocketAddress *destination = sr_peer_parse_address(address);
	GByteArray *payload = g_byte_array_new();
	sr_rpc_gossip gossip = {
		.datagram = { .datagram_val = (char *)data,
			      .datagram_len = (u_int)size },
	};
	sr_mac_input_t input = {
		.direction = SR_MESSAGE_CALL,
		.xid = peer->next_xid++,
		.procedure = SR_RPC_GOSSIP,
		.sender = peer->options.node,
		.receiver = address,
		.incarnation = peer->options.incarnation,
		.sequence = ++peer->datagram_sequence,
	};

	if (destination &&
	    sr_rpc_encode(payload, (xdrproc_t)xdr_sr_rpc_gossip, &gossip)) {
		GByteArray *packet;

		input.payload = payload->data;
		input.payload_size = payload->len;
		packet = sr_rpc_build_message(&peer->key, &input);
		g_socket_send_to(peer->udp, destination, (char *)packet->data,
				 packet->len, NULL, NULL);
		peer->stats.datagrams_out++;
		peer->stats.bytes_out += packet->len;
		g_byte_array_unref(packet);
	}
	g_byte_array_unref(payload);
	g_clear_object(&destination);
}

static GSocketAddress *with_port(GSocketAddress *address, guint16 port)
{
	return g_inet_socket_address_new(
		g_inet_socket_address_get_address(
			G_INET_SOCKET_ADDRESS(address)),
		port);
}

static gboolean listen_tcp(sr_peer_t *peer, GSocketAddress *address,
			   GSocketAddress **bound, GError **error)
{
	peer->service = g_socket_service_new();
	return g_socket_listener_add_address(
		G_SOCKET_LISTENER(peer->service), address, G_SOCKET_TYPE_STREAM,
		G_SOCKET_PROTOCOL_TCP, NULL, bound, error);
}

static gboolean listen_udp(sr_peer_t *peer, GSocketAddress *address,
			   GError **error)
{
	peer->udp = g_socket_new(g_socket_address_get_family(address),
				 G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP,
				 error);
	if (!peer->udp || !g_socket_bind(peer->udp, address, FALSE, error))
		return FALSE;
	g_socket_set_blocking(peer->udp, FALSE);
	return TRUE;
}

static void close_sockets(sr_peer_t *peer)
{
	if (peer->service)
		g_socket_listener_close(G_SOCKET_LISTENER(peer->service));
	g_clear_object(&peer->service);
	g_clear_object(&peer->udp);
}

/* Binds TCP and UDP to the same port number. */
static gboolean bind_both(sr_peer_t *peer, GSocketAddress *address,
			  GError **error)
{
	GSocketAddress *bound = NULL;
	GInetSocketAddress *inet;
	gboolean ok;
	char *host;

	if (!listen_tcp(peer, address, &bound, error))
		return FALSE;
	inet = G_INET_SOCKET_ADDRESS(bound);
	ok = listen_udp(peer, bound, error);
	host = g_inet_address_to_string(
		g_inet_socket_address_get_address(inet));
	g_free(peer->address);
	peer->address = g_strdup_printf("%s:%u", host,
					g_inet_socket_address_get_port(inet));
	g_free(host);
	g_object_unref(bound);
	return ok;
}

static gboolean start_listening(sr_peer_t *peer, char **detail)
{
	GSocketAddress *address = sr_peer_parse_address(peer->options.address);
	GError *error = NULL;
	gboolean ok = FALSE;
	guint16 port;

	if (!address) {
		*detail = g_strdup_printf(
			"the peer address \"%s\" is invalid: give IP:PORT",
			peer->options.address);
		return FALSE;
	}
	port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address));
	for (int i = 0; !ok && i < (port ? 1 : PORT_ATTEMPTS_MAX); i++) {
		GSocketAddress *candidate = with_port(address, port);

		g_clear_error(&error);
		close_sockets(peer);
		ok = bind_both(peer, candidate, &error);
		g_object_unref(candidate);
	}
	if (!ok)
		*detail =
			g_strdup_printf("cannot listen on %s: %s",
					peer->options.address, error->message);
	g_clear_error(&error);
	g_object_unref(address);
	return ok;
}

static void copy_options(sr_peer_t *peer, const sr_peer_options_t *options)
{
	peer->options = *options;
	peer->options.address = g_strdup(options->address);
	peer->options.cluster = g_strdup(options->cluster);
	peer->options.node = g_strdup(options->node);
	peer->options.secret = g_memdup2(options->secret, options->secret_size);
	peer->key = (sr_auth_key_t){ .cluster = peer->options.cluster,
				     .secret = peer->options.secret,
				     .secret_size = options->secret_size };
}

sr_peer_t *sr_peer_new(const sr_peer_options_t *options, char **detail)
{
	sr_peer_t *peer;

	*detail = NULL;
	if (options->secret_size < SR_PEER_SECRET_MIN ||
	    strlen(options->cluster) > SR_RPC_CLUSTER_MAX ||
	    strlen(options->node) > SR_RPC_NAME_MAX) {
		*detail = g_strdup_printf(
			"the cluster secret needs at least %d bytes, the "
			"cluster id may have at most %d and the node name at "
			"most %d",
			SR_PEER_SECRET_MIN, SR_RPC_CLUSTER_MAX,
			SR_RPC_NAME_MAX);
		return NULL;
	}
	peer = g_new0(sr_peer_t, 1);
	copy_options(peer, options);
	peer->datagram_filter = sr_replay_filter_new();
	peer->hello_filter = sr_replay_filter_new();
	sr_client_start(peer);
	sr_list_init(&peer->inbound);
	sr_list_init(&peer->requests);
	if (!start_listening(peer, detail)) {
		sr_peer_free(peer);
		return NULL;
	}
	sr_server_start(peer);
	peer->udp_source = g_socket_create_source(peer->udp, G_IO_IN, NULL);
	g_source_set_callback(peer->udp_source, G_SOURCE_FUNC(on_packet), peer,
			      NULL);
	g_source_attach(peer->udp_source, NULL);
	return peer;
}

void sr_peer_free(sr_peer_t *peer)
{
	if (!peer)
		return;
	if (peer->udp_source) {
		g_source_destroy(peer->udp_source);
		g_source_unref(peer->udp_source);
	}
	sr_server_stop(peer);
	sr_client_stop(peer);
	close_sockets(peer);
	sr_replay_filter_free(peer->datagram_filter);
	sr_replay_filter_free(peer->hello_filter);
	g_free((char *)peer->options.address);
	g_free((char *)peer->options.cluster);
	g_free((char *)peer->options.node);
	g_free((guint8 *)peer->options.secret);
	g_free(peer->address);
	g_free(peer);
}

const char *sr_peer_address(const sr_peer_t *peer)
{
	return peer->address;
}

const sr_peer_stats_t *sr_peer_stats(const sr_peer_t *peer)
{
	return &peer->stats;
}
