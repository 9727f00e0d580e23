#ifndef SR_PEER_PEER_INTERNAL_H
#define SR_PEER_PEER_INTERNAL_H

#include <gio/gio.h>

#include "base/list.h"
#include "peer/codec.h"
#include "peer/peer.h"
#include "peer/stream.h"

/* Shared parts of sr_peer_t: datagrams (peer.c), incoming calls (server.c) and
 * outgoing calls (client.c). */

/* Largest message on a connection that is not yet authenticated, in bytes. */
#define SR_HELLO_MESSAGE_MAX 1024
/* Largest send queue of a connection, in bytes. */
#define SR_STREAM_QUEUE_MAX (8 * 1024 * 1024)

struct sr_peer {
	sr_peer_options_t options; /* the strings and the secret are copies */
	sr_auth_key_t key;
	char *address; /* IP:PORT that the sockets are bound to */
	guint64 datagram_sequence;
	guint64 hello_sequence;
	GSocket *udp;
	GSource *udp_source;
	sr_replay_filter_t *datagram_filter;
	sr_replay_filter_t *hello_filter;
	GSocketService *service;
	sr_list_t inbound; /* connections from other hosts */
	unsigned n_inbound;
	sr_list_t requests; /* not yet answered */
	unsigned n_requests;
	GHashTable *outbound; /* address to connection, one each */
	/* calls whose connection has failed, until their callback runs */
	sr_list_t failed_calls;
	guint32 next_xid;
	sr_peer_stats_t stats;
};

/** sr_peer_count_rejected - count a message that sr_rpc_verify_message()
 * rejected. */
void sr_peer_count_rejected(sr_peer_t *peer, int err);

/** sr_peer_write_message - build a message and queue it on a stream; FALSE if
 * the queue is full. */
gboolean sr_peer_write_message(sr_peer_t *peer, sr_stream_t *stream,
			       const sr_mac_input_t *input);

/** sr_peer_parse_address - new address, or NULL if text is not IP:PORT. */
GSocketAddress *sr_peer_parse_address(const char *text);

/** sr_peer_fill_nonce - fill a nonce with random bytes. */
void sr_peer_fill_nonce(guint8 nonce[SR_RPC_NONCE_SIZE]);

/** sr_server_start - accept connections of other hosts. */
void sr_server_start(sr_peer_t *peer);

/** sr_server_stop - accept no more connections, close the incoming ones and
 * free the requests without an answer. */
void sr_server_stop(sr_peer_t *peer);

/** sr_client_start - initialise the state of outgoing calls. */
void sr_client_start(sr_peer_t *peer);

/** sr_client_stop - free all outgoing connections and calls; no callbacks. */
void sr_client_stop(sr_peer_t *peer);

#endif
