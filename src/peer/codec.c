#include "peer/codec.h"

#include <rpc/rpc_msg.h>
#include <string.h>

/* Upper bound of the size of a message without its payload, in bytes. */
#define HEADER_MAX (2 * MAX_AUTH_BYTES + 64)

G_STATIC_ASSERT(SR_MAC_SIZE == SR_RPC_MAC_SIZE);
G_STATIC_ASSERT(SR_SESSION_SIZE == 2 * SR_RPC_NONCE_SIZE);

gboolean sr_rpc_encode(GByteArray *out, xdrproc_t proc, void *value)
{
	gsize size = xdr_sizeof(proc, value);
	guint offset = out->len;
	gboolean ok;
	XDR xdr;

	if (!size || size > SR_RPC_MESSAGE_MAX)
		return FALSE;
	g_byte_array_set_size(out, (guint)(offset + size));
	xdrmem_create(&xdr, (char *)out->data + offset, (u_int)size,
		      XDR_ENCODE);
	ok = proc(&xdr, value);
	xdr_destroy(&xdr);
	if (!ok)
		g_byte_array_set_size(out, offset);
	return ok;
}

void sr_rpc_encode_or_abort(GByteArray *out, xdrproc_t proc, void *value)
{
	gboolean ok = sr_rpc_encode(out, proc, value);

	g_assert(ok);
}

gboolean sr_rpc_decode(const sr_rpc_header_t *header, xdrproc_t proc,
		       void *value)
{
	gboolean ok;
	XDR xdr;

	xdrmem_create(&xdr, (char *)header->payload,
		      (u_int)header->payload_size, XDR_DECODE);
	ok = proc(&xdr, value) && xdr_getpos(&xdr) == header->payload_size;
	xdr_destroy(&xdr);
	if (!ok)
		xdr_free(proc, value);
	return ok;
}

static GByteArray *encode_credential(const sr_auth_key_t *key,
				     const sr_mac_input_t *input)
{
	GByteArray *bytes = g_byte_array_new();
	sr_rpc_credential credential = {
		.cluster = (char *)key->cluster,
		.sender = (char *)input->sender,
		.incarnation = input->incarnation,
		.sequence = input->sequence,
	};

	sr_mac_compute(key, input, (guint8 *)credential.mac);
	sr_rpc_encode_or_abort(bytes, (xdrproc_t)xdr_sr_rpc_credential,
			       &credential);
	return bytes;
}

/* Encodes and decodes nothing: the payload follows the RPC header. */
static bool_t xdr_no_results(XDR *xdr, ...)
{
	return TRUE;
}

static void fill_call(struct rpc_msg *message, const sr_mac_input_t *input,
		      const struct opaque_auth *auth)
{
	message->rm_direction = CALL;
	message->rm_call.cb_rpcvers = RPC_MSG_VERSION;
	message->rm_call.cb_prog = SR_RPC_PROGRAM;
	message->rm_call.cb_vers = SR_RPC_VERSION;
	message->rm_call.cb_proc = input->procedure;
	message->rm_call.cb_cred = *auth;
}

static void fill_reply(struct rpc_msg *message, const struct opaque_auth *auth)
{
	message->rm_direction = REPLY;
	message->rm_reply.rp_stat = MSG_ACCEPTED;
	message->acpted_rply.ar_verf = *auth;
	message->acpted_rply.ar_stat = SUCCESS;
	message->acpted_rply.ar_results.proc = xdr_no_results;
}

GByteArray *sr_rpc_build_message(const sr_auth_key_t *key,
				 const sr_mac_input_t *input)
{
	GByteArray *credential = encode_credential(key, input);
	GByteArray *out = g_byte_array_sized_new(
		(guint)(HEADER_MAX + input->payload_size));
	struct opaque_auth auth = {
		.oa_flavor = SR_RPC_FLAVOR,
		.oa_base = (caddr_t)credential->data,
		.oa_length = credential->len,
	};
	struct rpc_msg message = { .rm_xid = input->xid };
	gboolean ok;
	XDR xdr;

	g_byte_array_set_size(out, HEADER_MAX);
	xdrmem_create(&xdr, (char *)out->data, HEADER_MAX, XDR_ENCODE);
	if (input->direction == SR_MESSAGE_CALL) {
		fill_call(&message, input, &auth);
		ok = xdr_callmsg(&xdr, &message);
	} else {
		fill_reply(&message, &auth);
		ok = xdr_replymsg(&xdr, &message);
	}
	g_assert(ok);
	g_byte_array_set_size(out, xdr_getpos(&xdr));
	xdr_destroy(&xdr);
	g_byte_array_append(out, input->payload, (guint)input->payload_size);
	g_byte_array_unref(credential);
	return out;
}

/* Decodes the RPC header of a call or an accepted reply. auth receives the
 * credential of a call or the verifier of a reply; verifier is scratch space
 * for the verifier of a call, which must be empty. */
static gboolean decode_rpc_header(sr_message_direction_t direction, XDR *xdr,
				  struct rpc_msg *message,
				  struct opaque_auth *auth, char *verifier)
{
	if (direction == SR_MESSAGE_CALL) {
		message->rm_call.cb_cred.oa_base = auth->oa_base;
		message->rm_call.cb_verf.oa_base = verifier;
		if (!xdr_callmsg(xdr, message) ||
		    message->rm_call.cb_verf.oa_flavor != AUTH_NONE ||
		    message->rm_call.cb_verf.oa_length ||
		    message->rm_call.cb_prog != SR_RPC_PROGRAM ||
		    message->rm_call.cb_vers != SR_RPC_VERSION)
			return FALSE;
		*auth = message->rm_call.cb_cred;
	} else {
		message->acpted_rply.ar_verf.oa_base = auth->oa_base;
		message->acpted_rply.ar_results.proc = xdr_no_results;
		if (!xdr_replymsg(xdr, message) ||
		    message->rm_reply.rp_stat != MSG_ACCEPTED ||
		    message->acpted_rply.ar_stat != SUCCESS)
			return FALSE;
		*auth = message->acpted_rply.ar_verf;
	}
	return auth->oa_flavor == SR_RPC_FLAVOR && auth->oa_length > 0;
}

/* Rejects any encoding but the canonical one: the MAC does not cover the XDR
 * padding. */
static gboolean decode_credential(const struct opaque_auth *auth,
				  sr_rpc_credential *credential)
{
	sr_rpc_header_t header = { .payload = (const guint8 *)auth->oa_base,
				   .payload_size = auth->oa_length };
	GByteArray *canonical;
	gboolean equal;

	if (!sr_rpc_decode(&header, (xdrproc_t)xdr_sr_rpc_credential,
			   credential))
		return FALSE;
	canonical = g_byte_array_new();
	sr_rpc_encode_or_abort(canonical, (xdrproc_t)xdr_sr_rpc_credential,
			       credential);
	equal = canonical->len == auth->oa_length &&
		!memcmp(canonical->data, auth->oa_base, canonical->len);
	g_byte_array_unref(canonical);
	if (!equal)
		xdr_free((xdrproc_t)xdr_sr_rpc_credential, credential);
	return equal;
}

static int verify_credential(const sr_auth_key_t *key,
			     const sr_mac_input_t *expected,
			     const sr_rpc_credential *credential)
{
	guint8 mac[SR_MAC_SIZE];

	if (strcmp(credential->cluster, key->cluster) != 0)
		return SR_ERR_UNAUTHENTICATED;
	sr_mac_compute(key, expected, mac);
	if (!sr_mac_equal(mac, (const guint8 *)credential->mac))
		return SR_ERR_UNAUTHENTICATED;
	return 0;
}

static void copy_header(sr_rpc_header_t *header, const sr_mac_input_t *input)
{
	header->xid = input->xid;
	header->procedure = input->procedure;
	g_strlcpy(header->sender, input->sender, sizeof(header->sender));
	header->incarnation = input->incarnation;
	header->sequence = input->sequence;
	header->payload = input->payload;
	header->payload_size = input->payload_size;
}

int sr_rpc_verify_message(const sr_auth_key_t *key,
			  sr_message_direction_t direction,
			  const char *receiver, const guint8 *session,
			  const guint8 *data, gsize size,
			  sr_rpc_header_t *header)
{
	char credential_buffer[MAX_AUTH_BYTES];
	char verifier_buffer[MAX_AUTH_BYTES];
	struct opaque_auth auth = { .oa_base = credential_buffer };
	struct rpc_msg message = { 0 };
	sr_rpc_credential credential = { 0 };
	sr_mac_input_t input = { .direction = direction,
				 .receiver = receiver,
				 .session = session };
	gboolean ok;
	int err;
	XDR xdr;

	if (size > SR_RPC_MESSAGE_MAX)
		return SR_ERR_PROTOCOL;
	xdrmem_create(&xdr, (char *)data, (u_int)size, XDR_DECODE);
	ok = decode_rpc_header(direction, &xdr, &message, &auth,
			       verifier_buffer);
	input.payload = data + xdr_getpos(&xdr);
	input.payload_size = size - xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	if (!ok || !decode_credential(&auth, &credential))
		return SR_ERR_PROTOCOL;
	input.xid = message.rm_xid;
	if (direction == SR_MESSAGE_CALL)
		input.procedure = (guint32)message.rm_call.cb_proc;
	input.sender = credential.sender;
	input.incarnation = credential.incarnation;
	input.sequence = credential.sequence;
	err = verify_credential(key, &input, &credential);
	if (!err)
		copy_header(header, &input);
	xdr_free((xdrproc_t)xdr_sr_rpc_credential, &credential);
	return err;
}
