#ifndef SR_PEER_FORWARD_H
#define SR_PEER_FORWARD_H

#include "peer/codec.h"
#include "peer/peer.h"

/**
 * Conversion of forwarded requests and their results to and from the wire.
 *
 * The pack functions append to out and return FALSE if a field exceeds its
 * limit. The view functions fill a struct that borrows from wire; a body is
 * a new reference, released by the caller.
 */
gboolean sr_forward_pack(GByteArray *out, const sr_forward_t *forward);
gboolean sr_forward_pack_result(GByteArray *out,
				const sr_forward_result_t *result);
void sr_forward_view(const sr_rpc_forward *wire, sr_forward_t *forward);

/** Returns FALSE if a number is not of its enumeration. */
gboolean sr_forward_view_result(const sr_rpc_forward_result *wire,
				sr_forward_result_t *result);

#endif
