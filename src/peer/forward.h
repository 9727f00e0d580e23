#ifndef SR_PEER_FORWARD_H
#define SR_PEER_FORWARD_H

#include "peer/codec.h"
#include "peer/peer.h"

/**
 * Conversion of forwarded requests and their results to and from XDR.
 *
 * The encode functions append to out; they return FALSE, with out unchanged,
 * if a field exceeds its limit. The from_wire functions fill a struct whose
 * strings are borrowed from wire; its body is a new reference, never NULL, that
 * the caller releases.
 */

/** sr_forward_encode - append a request. */
gboolean sr_forward_encode(GByteArray *out, const sr_forward_t *forward);

/** sr_forward_encode_result - append a result. */
gboolean sr_forward_encode_result(GByteArray *out,
				  const sr_forward_result_t *result);

/** sr_forward_from_wire - convert a decoded request. */
void sr_forward_from_wire(const sr_rpc_forward *wire, sr_forward_t *forward);

/**
 * sr_forward_result_from_wire - convert a decoded result
 *
 * Returns FALSE, with result unchanged, if err or executed is not a known
 * value.
 */
gboolean sr_forward_result_from_wire(const sr_rpc_forward_result *wire,
				     sr_forward_result_t *result);

#endif
