#ifndef SR_PEER_CODEC_H
#define SR_PEER_CODEC_H

#include <glib.h>

#include "base/error.h"
#include "peer/auth.h"
#include "peer/gen/sr_peer.h"

/**
 * Encoding of ONC RPC messages between entry hosts (RFC 5531). The credential
 * of a call and the verifier of a reply have the private flavor
 * SR_RPC_FLAVOR; their body is an sr_rpc_credential, which holds the MAC. No
 * field of a message is returned before its MAC is verified.
 */

/** Authentication flavor of the credential and the verifier. */
#define SR_RPC_FLAVOR 0x5352

/** Largest message, in bytes: a body, and 64 KiB for all other fields. */
#define SR_RPC_MESSAGE_MAX (SR_RPC_BODY_MAX + 64 * 1024)

/** sr_rpc_header_t - sender, identity and payload of a verified message. */
typedef struct {
	guint32 xid;
	guint32 procedure; /* 0 in a reply */
	char sender[SR_RPC_NAME_MAX + 1];
	guint64 incarnation;
	guint64 sequence;
	const guint8 *payload; /* borrowed from the message */
	gsize payload_size;
} sr_rpc_header_t;

/**
 * sr_rpc_encode - append the XDR encoding of a value
 *
 * Returns FALSE, with out unchanged, if the value exceeds a limit of its type
 * or SR_RPC_MESSAGE_MAX.
 */
gboolean sr_rpc_encode(GByteArray *out, xdrproc_t proc, void *value);

/** sr_rpc_encode_or_abort - as sr_rpc_encode(), for a value within its type's
 * limits; a failure is a bug and aborts. */
void sr_rpc_encode_or_abort(GByteArray *out, xdrproc_t proc, void *value);

/**
 * sr_rpc_decode - decode a value that must fill the payload exactly
 *
 * value must be zeroed. After TRUE the caller frees its contents with
 * xdr_free(proc, value); after FALSE they are already freed.
 */
gboolean sr_rpc_decode(const sr_rpc_header_t *header, xdrproc_t proc,
		       void *value);

/**
 * sr_rpc_build_message - build the authenticated message for an input
 *
 * Returns the RPC header, the credential with the MAC, and the payload; owned
 * by the caller.
 */
GByteArray *sr_rpc_build_message(const sr_auth_key_t *key,
				 const sr_mac_input_t *input);

/**
 * sr_rpc_verify_message - parse a message and verify its MAC
 *
 * direction, receiver and session (NULL if there is none) are the expected
 * ones; the MAC covers them. Returns 0 and fills header, whose payload points
 * into data; SR_ERR_PROTOCOL if the message is malformed or exceeds
 * SR_RPC_MESSAGE_MAX; or SR_ERR_UNAUTHENTICATED if it belongs to another
 * cluster or its MAC does not match. Replays are not detected here.
 */
int sr_rpc_verify_message(const sr_auth_key_t *key,
			  sr_message_direction_t direction,
			  const char *receiver, const guint8 *session,
			  const guint8 *data, gsize size,
			  sr_rpc_header_t *header);

#endif
