/*
 * Parses arbitrary bytes as RPC messages, none of which may pass the MAC check,
 * and as the payloads of authenticated messages.
 */
#include <stddef.h>
#include <stdint.h>

#include "peer/codec.h"
#include "peer/forward.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const sr_auth_key_t key = { .cluster = "test",
				   .secret = (const guint8 *)"0123456789abcdef",
				   .secret_size = 16 };

static void unpack_forward(const sr_rpc_header_t *header)
{
	sr_rpc_forward wire = { 0 };
	sr_forward_t forward;

	if (!sr_rpc_decode(header, (xdrproc_t)xdr_sr_rpc_forward, &wire))
		return;
	sr_forward_from_wire(&wire, &forward);
	g_bytes_unref(forward.body);
	xdr_free((xdrproc_t)xdr_sr_rpc_forward, &wire);
}

static void unpack_result(const sr_rpc_header_t *header)
{
	sr_rpc_forward_result wire = { 0 };
	sr_forward_result_t result;

	if (!sr_rpc_decode(header, (xdrproc_t)xdr_sr_rpc_forward_result, &wire))
		return;
	if (sr_forward_result_from_wire(&wire, &result))
		g_bytes_unref(result.body);
	xdr_free((xdrproc_t)xdr_sr_rpc_forward_result, &wire);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	sr_rpc_header_t header = { .payload = data, .payload_size = size };
	int err;

	unpack_forward(&header);
	unpack_result(&header);
	err = sr_rpc_verify_message(&key, SR_MESSAGE_CALL, "r", NULL, data,
				    size, &header);
	g_assert(err);
	err = sr_rpc_verify_message(&key, SR_MESSAGE_REPLY, "r", NULL, data,
				    size, &header);
	g_assert(err);
	return 0;
}
