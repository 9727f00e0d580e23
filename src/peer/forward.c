#include "peer/forward.h"

static char *empty_if_null(const char *text)
{
	return text ? (char *)text : "";
}

static const char *null_if_empty(const char *text)
{
	return text[0] ? text : NULL;
}

static u_int to_ms(sr_usec_t time)
{
	return (u_int)CLAMP(time / SR_MSEC, 0, (sr_usec_t)G_MAXINT32);
}

gboolean sr_forward_encode(GByteArray *out, const sr_forward_t *forward)
{
	gsize size = 0;
	sr_rpc_forward wire = {
		.account = empty_if_null(forward->account),
		.service = empty_if_null(forward->service),
		.route = empty_if_null(forward->route),
		.method = empty_if_null(forward->method),
		.path = empty_if_null(forward->path),
		.content_type = empty_if_null(forward->content_type),
		.key = empty_if_null(forward->key),
		.request_id = empty_if_null(forward->request_id),
		.traceparent = empty_if_null(forward->traceparent),
		.deadline_ms = to_ms(forward->time_left),
		.is_async = forward->async,
		.hops = forward->hops,
	};

	if (forward->body)
		wire.body.body_val =
			(char *)g_bytes_get_data(forward->body, &size);
	wire.body.body_len = (u_int)size;
	return size <= SR_RPC_BODY_MAX &&
	       sr_rpc_encode(out, (xdrproc_t)xdr_sr_rpc_forward, &wire);
}

gboolean sr_forward_encode_result(GByteArray *out,
				  const sr_forward_result_t *result)
{
	gsize size = 0;
	sr_rpc_forward_result wire = {
		.err = result->err,
		.executed = result->executed,
		.detail = empty_if_null(result->detail),
		.status = result->status,
		.content_type = empty_if_null(result->content_type),
		.retry_after_ms = to_ms(result->retry_after),
	};

	if (result->body)
		wire.body.body_val =
			(char *)g_bytes_get_data(result->body, &size);
	wire.body.body_len = (u_int)size;
	return size <= SR_RPC_BODY_MAX &&
	       sr_rpc_encode(out, (xdrproc_t)xdr_sr_rpc_forward_result, &wire);
}

void sr_forward_from_wire(const sr_rpc_forward *wire, sr_forward_t *forward)
{
	*forward = (sr_forward_t){
		.account = wire->account,
		.service = wire->service,
		.route = wire->route,
		.method = wire->method,
		.path = wire->path,
		.content_type = null_if_empty(wire->content_type),
		.key = wire->key,
		.request_id = null_if_empty(wire->request_id),
		.traceparent = null_if_empty(wire->traceparent),
		.time_left = (sr_usec_t)wire->deadline_ms * SR_MSEC,
		.async = wire->is_async != 0,
		.hops = wire->hops,
	};
	forward->body = g_bytes_new(wire->body.body_val, wire->body.body_len);
}

gboolean sr_forward_result_from_wire(const sr_rpc_forward_result *wire,
				     sr_forward_result_t *result)
{
	if (wire->err > SR_OK || wire->err < SR_ERR_CANCELLED ||
	    wire->executed < 0 || wire->executed >= SR_FORWARD_N_EXECUTED)
		return FALSE;
	*result = (sr_forward_result_t){
		.err = (sr_err_t)wire->err,
		.executed = (sr_forward_executed_t)wire->executed,
		.detail = null_if_empty(wire->detail),
		.status = wire->status,
		.content_type = null_if_empty(wire->content_type),
		.retry_after = (sr_usec_t)wire->retry_after_ms * SR_MSEC,
	};
	result->body = g_bytes_new(wire->body.body_val, wire->body.body_len);
	return TRUE;
}
