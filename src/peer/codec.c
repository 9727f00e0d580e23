#include "peer/codec.h"

#include <rpc/rpc_msg.h>
#include <string.h>

/* Upper bound of a message's size without the payload, in bytes. */
#define HEADER_MAX (2 * MAX_AUTH_BYTES + 64)

G_STATIC_ASSERT(SR_MAC_SIZE == SR_RPC_MAC_SIZE);
G_STATIC_ASSERT(SR_SESSION_SIZE == 2 * SR_RPC_NONCE_SIZE);

gboolean sr_rpc_pack(GByteArray *out, xdrproc_t proc, void *value)
{
	gsize size = xdr_sizeof(proc, value);
	guint at = out->len;
	gboolean good;
	XDR xdr;

	if (!size || size > SR_RPC_MESSAGE_MAX)
		return FALSE;
	g_byte_array_set_size(out, (guint)(at + size));
	xdrmem_create(&xdr, (char *)out->data + at, (u_int)size, XDR_ENCODE);
	good = proc(&xdr, value);
	xdr_destroy(&xdr);
	if (!good)
		g_byte_array_set_size(out, at);
	return good;
}

void sr_rpc_pack_fixed(GByteArray *out, xdrproc_t proc, void *value)
{
	gboolean good = sr_rpc_pack(out, proc, value);

	g_assert(good);
}

gboolean sr_rpc_unpack(const sr_rpc_header_t *header, xdrproc_t proc,
		       void *value)
{
	gboolean good;
	XDR xdr;

	xdrmem_create(&xdr, (char *)header->payload,
		      (u_int)header->payload_size, XDR_DECODE);
	good = proc(&xdr, value) && xdr_getpos(&xdr) == header->payload_size;
	xdr_destroy(&xdr);
	if (!good)
		xdr_free(proc, value);
	return good;
}

static GByteArray *credential_bytes(const sr_auth_key_t *key,
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
	sr_rpc_pack_fixed(bytes, (xdrproc_t)xdr_sr_rpc_credential, &credential);
	return bytes;
}

static bool_t no_results(XDR *xdr, ...)
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
	message->acpted_rply.ar_results.proc = no_results;
}

GByteArray *sr_rpc_seal(const sr_auth_key_t *key, const sr_mac_input_t *input)
{
	GByteArray *credential = credential_bytes(key, input);
	GByteArray *out = g_byte_array_sized_new(
		(guint)(HEADER_MAX + input->payload_size));
	struct opaque_auth auth = {
		.oa_flavor = SR_RPC_FLAVOR,
		.oa_base = (caddr_t)credential->data,
		.oa_length = credential->len,
	};
	struct rpc_msg message = { .rm_xid = input->xid };
	gboolean good;
	XDR xdr;

	g_byte_array_set_size(out, HEADER_MAX);
	xdrmem_create(&xdr, (char *)out->data, HEADER_MAX, XDR_ENCODE);
	if (input->direction == SR_MESSAGE_CALL) {
		fill_call(&message, input, &auth);
		good = xdr_callmsg(&xdr, &message);
	} else {
		fill_reply(&message, &auth);
		good = xdr_replymsg(&xdr, &message);
	}
	g_assert(good);
	g_byte_array_set_size(out, xdr_getpos(&xdr));
	xdr_destroy(&xdr);
	g_byte_array_append(out, input->payload, (guint)input->payload_size);
	g_byte_array_unref(credential);
	return out;
}

/* Reads the RPC header; the credential's bytes end up in auth. */
static gboolean read_header(sr_direction_t direction, XDR *xdr,
			    struct rpc_msg *message, struct opaque_auth *auth,
			    char *verifier)
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
		message->acpted_rply.ar_results.proc = no_results;
		if (!xdr_replymsg(xdr, message) ||
		    message->rm_reply.rp_stat != MSG_ACCEPTED ||
		    message->acpted_rply.ar_stat != SUCCESS)
			return FALSE;
		*auth = message->acpted_rply.ar_verf;
	}
	return auth->oa_flavor == SR_RPC_FLAVOR && auth->oa_length > 0;
}

/* Only the canonical form is taken: the MAC does not cover padding. */
static gboolean read_credential(const struct opaque_auth *auth,
				sr_rpc_credential *credential)
{
	sr_rpc_header_t header = { .payload = (const guint8 *)auth->oa_base,
				   .payload_size = auth->oa_length };
	GByteArray *again;
	gboolean same;

	if (!sr_rpc_unpack(&header, (xdrproc_t)xdr_sr_rpc_credential,
			   credential))
		return FALSE;
	again = g_byte_array_new();
	sr_rpc_pack_fixed(again, (xdrproc_t)xdr_sr_rpc_credential, credential);
	same = again->len == auth->oa_length &&
	       !memcmp(again->data, auth->oa_base, again->len);
	g_byte_array_unref(again);
	if (!same)
		xdr_free((xdrproc_t)xdr_sr_rpc_credential, credential);
	return same;
}

static int check_credential(const sr_auth_key_t *key,
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

int sr_rpc_open(const sr_auth_key_t *key, sr_direction_t direction,
		const char *receiver, const guint8 *session, const guint8 *data,
		gsize size, sr_rpc_header_t *header)
{
	char credential_space[MAX_AUTH_BYTES];
	char verifier_space[MAX_AUTH_BYTES];
	struct opaque_auth auth = { .oa_base = credential_space };
	struct rpc_msg message = { 0 };
	sr_rpc_credential credential = { 0 };
	sr_mac_input_t input = { .direction = direction,
				 .receiver = receiver,
				 .session = session };
	gboolean good;
	int err;
	XDR xdr;

	if (size > SR_RPC_MESSAGE_MAX)
		return SR_ERR_PROTOCOL;
	xdrmem_create(&xdr, (char *)data, (u_int)size, XDR_DECODE);
	good = read_header(direction, &xdr, &message, &auth, verifier_space);
	input.payload = data + xdr_getpos(&xdr);
	input.payload_size = size - xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	if (!good || !read_credential(&auth, &credential))
		return SR_ERR_PROTOCOL;
	input.xid = message.rm_xid;
	if (direction == SR_MESSAGE_CALL)
		input.procedure = (guint32)message.rm_call.cb_proc;
	input.sender = credential.sender;
	input.incarnation = credential.incarnation;
	input.sequence = credential.sequence;
	err = check_credential(key, &input, &credential);
	if (!err)
		copy_header(header, &input);
	xdr_free((xdrproc_t)xdr_sr_rpc_credential, &credential);
	return err;
}
