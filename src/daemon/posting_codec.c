#include "daemon/posting_codec.h"

#include <string.h>

#define REQUEST_TYPE "(sssssay)"
#define RESULT_TYPE "(say)"

/*
 * Takes ownership of a floating variant. The types used here, strings and
 * bytes, do not depend on the byte order.
 */
static GBytes *encode(GVariant *variant)
{
	GBytes *bytes;

	g_variant_ref_sink(variant);
	bytes = g_variant_get_data_as_bytes(variant);
	g_variant_unref(variant);
	return bytes;
}

/* Returns NULL unless bytes are a variant of this type in normal form. */
static GVariant *decode(GBytes *bytes, const char *type)
{
	GVariant *variant;

	if (!bytes)
		return NULL;
	variant = g_variant_new_from_bytes(G_VARIANT_TYPE(type), bytes, FALSE);
	g_variant_ref_sink(variant);
	if (g_variant_is_normal_form(variant))
		return variant;
	g_variant_unref(variant);
	return NULL;
}

static GVariant *body_variant(const guint8 *body, gsize size)
{
	return g_variant_new_fixed_array(G_VARIANT_TYPE_BYTE, body, size, 1);
}

/* Copies the bytes and releases the variant. */
static GBytes *take_body(GVariant *variant)
{
	gsize size;
	gconstpointer data = g_variant_get_fixed_array(variant, &size, 1);
	GBytes *body = g_bytes_new(data, size);

	g_variant_unref(variant);
	return body;
}

/* An empty string stands for NULL; frees it if so. */
static char *take_optional(char *text)
{
	if (*text)
		return text;
	g_free(text);
	return NULL;
}

GBytes *sr_stored_request_encode(const sr_stored_request_t *request)
{
	gsize size;
	const guint8 *body = g_bytes_get_data(request->body, &size);

	return encode(g_variant_new(
		"(sssss@ay)", request->service, request->route, request->method,
		request->path,
		request->content_type ? request->content_type : "",
		body_variant(body, size)));
}

sr_err_t sr_stored_request_decode(GBytes *bytes, sr_stored_request_t *request)
{
	GVariant *variant = decode(bytes, REQUEST_TYPE);
	GVariant *body;

	if (!variant)
		return SR_ERR_PROTOCOL;
	g_variant_get(variant, "(sssss@ay)", &request->service, &request->route,
		      &request->method, &request->path, &request->content_type,
		      &body);
	request->content_type = take_optional(request->content_type);
	request->body = take_body(body);
	g_variant_unref(variant);
	return SR_OK;
}

void sr_stored_request_clear(sr_stored_request_t *request)
{
	g_free(request->service);
	g_free(request->route);
	g_free(request->method);
	g_free(request->path);
	g_free(request->content_type);
	g_clear_pointer(&request->body, g_bytes_unref);
	memset(request, 0, sizeof(*request));
}

GBytes *sr_stored_result_encode(const char *content_type, const guint8 *body,
				gsize size)
{
	return encode(g_variant_new("(s@ay)", content_type ? content_type : "",
				    body_variant(body, size)));
}

sr_err_t sr_stored_result_decode(GBytes *bytes, sr_stored_result_t *result)
{
	GVariant *variant = decode(bytes, RESULT_TYPE);
	GVariant *body;

	if (!variant)
		return SR_ERR_PROTOCOL;
	g_variant_get(variant, "(s@ay)", &result->content_type, &body);
	result->content_type = take_optional(result->content_type);
	result->body = take_body(body);
	g_variant_unref(variant);
	return SR_OK;
}

void sr_stored_result_clear(sr_stored_result_t *result)
{
	g_free(result->content_type);
	g_clear_pointer(&result->body, g_bytes_unref);
	memset(result, 0, sizeof(*result));
}
