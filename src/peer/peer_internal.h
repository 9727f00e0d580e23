#ifndef SR_PEER_PEER_INTERNAL_H
#define SR_PEER_PEER_INTERNAL_H

#include <gio/gio.h>

#include "base/list.h"
#include "peer/codec.h"
#include "peer/peer.h"
#include "peer/stream.h"

/* Parts of sr_peer_t: datagrams (peer.c), calls in (server.c) and calls out
 * (client.c). */

/* Largest message before a connection is authenticated, in bytes. */
#define SR_HELLO_MAX 1024
/* Bytes that may wait to be sent on one connection. */
#define SR_STREAM_QUEUE_MAX (8 * 1024 * 1024)

struct sr_peer {
	sr_peer_options_t options; /* the strings are copies */
	sr_auth_key_t key;
	char *address;
	guint64 datagram_sequence;
	guint64 hello_sequence;
	GSocket *udp;
	GSource *udp_source;
	sr_replay_t *datagram_replay;
	sr_replay_t *hello_replay;
	GSocketService *service;
	sr_list_t inbound; /* connections */
	unsigned n_inbound;
	sr_list_t requests; /* not yet answered */
	unsigned n_requests;
	GHashTable *outbound; /* address to connection */
	sr_list_t failing;    /* connections whose calls are being failed */
	guint32 next_xid;
	sr_peer_stats_t stats;
};

/** sr_peer_count - count why a message was not taken. */
void sr_peer_count(sr_peer_t *peer, int err);

/** sr_peer_write - seal a message and send it on a stream. */
gboolean sr_peer_write(sr_peer_t *peer, sr_stream_t *stream,
		       const sr_mac_input_t *input);

/** sr_peer_parse_address - NULL if it is not IP:PORT. */
GSocketAddress *sr_peer_parse_address(const char *text);

/** sr_peer_nonce - fill with random bytes. */
void sr_peer_nonce(guint8 nonce[SR_RPC_NONCE_SIZE]);

/** Calls that come in. */
void sr_server_start(sr_peer_t *peer);
void sr_server_stop(sr_peer_t *peer);

/** Calls that go out. */
void sr_client_start(sr_peer_t *peer);
void sr_client_stop(sr_peer_t *peer);

#endif
