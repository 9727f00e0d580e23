#ifndef SR_PEER_CODEC_H
#define SR_PEER_CODEC_H

#include <glib.h>

#include "base/error.h"
#include "peer/auth.h"
#include "peer/gen/sr_peer.h"

/**
 * Encoding of ONC RPC messages between entry hosts. A call carries the
 * credential, a reply the verifier, of a flavor of the project's own; its
 * body is an sr_rpc_credential. Nothing of a message is used before its MAC
 * was checked.
 */

/** Flavor of the credential and the verifier. */
#define SR_RPC_FLAVOR 0x5352

/** Largest message, in bytes: a body and all other fields. */
#define SR_RPC_MESSAGE_MAX (SR_RPC_BODY_MAX + 64 * 1024)

/** sr_rpc_header_t - what a checked message says about itself. */
typedef struct {
	guint32 xid;
	guint32 procedure; /* 0 in a reply */
	char sender[SR_RPC_NAME_MAX + 1];
	guint64 incarnation;
	guint64 sequence;
	const guint8 *payload; /* inside the message */
	gsize payload_size;
} sr_rpc_header_t;

/**
 * sr_rpc_pack - append the XDR form of a value
 *
 * Returns FALSE if the value exceeds a limit of its type.
 */
gboolean sr_rpc_pack(GByteArray *out, xdrproc_t proc, void *value);

/** sr_rpc_pack_fixed - sr_rpc_pack for a value that is known to fit. */
void sr_rpc_pack_fixed(GByteArray *out, xdrproc_t proc, void *value);

/**
 * sr_rpc_unpack - read a value that must fill the payload exactly
 *
 * value must be zeroed; after TRUE it is freed by xdr_free(proc, value).
 */
gboolean sr_rpc_unpack(const sr_rpc_header_t *header, xdrproc_t proc,
		       void *value);

/** sr_rpc_seal - the whole message for an input; owned by the caller. */
GByteArray *sr_rpc_seal(const sr_auth_key_t *key, const sr_mac_input_t *input);

/**
 * sr_rpc_open - check a message of a direction that was sent to receiver
 *
 * Returns SR_ERR_PROTOCOL if it is malformed, SR_ERR_UNAUTHENTICATED if it is
 * of another cluster or its MAC is wrong.
 */
int sr_rpc_open(const sr_auth_key_t *key, sr_direction_t direction,
		const char *receiver, const guint8 *session, const guint8 *data,
		gsize size, sr_rpc_header_t *header);

#endif
