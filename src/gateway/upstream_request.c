#include <string.h>

#include "gateway/internal.h"

static void add_field(GByteArray *out, const char *name, const char *value)
{
	g_byte_array_append(out, (const guint8 *)name, (guint)strlen(name));
	g_byte_array_append(out, (const guint8 *)": ", 2);
	g_byte_array_append(out, (const guint8 *)value, (guint)strlen(value));
	g_byte_array_append(out, (const guint8 *)"\r\n", 2);
}

static void add_number(GByteArray *out, const char *name, guint64 value)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, value);
	add_field(out, name, text);
}

static gboolean is_listed(const char *const *names, const char *name)
{
	for (; names && *names; names++) {
		if (!g_ascii_strcasecmp(*names, name))
			return TRUE;
	}
	return FALSE;
}

/* Request headers of callers that are never forwarded to instances. */
static gboolean is_gateway_field(const sr_dialect_t *dialect, const char *name)
{
	const char *const names[] = {
		dialect->deadline_ms,	  dialect->account,
		dialect->expect_instance, dialect->urgency,
		SR_RELAY_ATTEMPTS,
	};

	for (gsize i = 0; i < G_N_ELEMENTS(names); i++) {
		if (names[i] && !g_ascii_strcasecmp(names[i], name))
			return TRUE;
	}
	return is_listed(dialect->reserved, name);
}

static gboolean is_forwarded(const sr_upstream_request_t *spec,
			     const char *name)
{
	const sr_dialect_t *dialect = spec->dialect;

	if (is_gateway_field(dialect, name))
		return FALSE;
	if (spec->relay_attempts == 0 &&
	    !g_ascii_strcasecmp(name, "Authorization"))
		return FALSE;
	if (spec->resumes && !g_ascii_strcasecmp(name, dialect->last_event_id))
		return FALSE;
	return is_listed(dialect->always_forwarded, name) ||
	       !sr_headers_is_hop_by_hop(spec->request->headers, name);
}

static void add_gateway_fields(GByteArray *out,
			       const sr_upstream_request_t *spec)
{
	const sr_dialect_t *dialect = spec->dialect;

	if (dialect->deadline_ms)
		add_number(out, dialect->deadline_ms,
			   (guint64)MAX(spec->time_left / SR_MSEC, 1));
	if (spec->relay_attempts > 0)
		add_number(out, SR_RELAY_ATTEMPTS, spec->relay_attempts);
	if (dialect->account && spec->account)
		add_field(out, dialect->account, spec->account);
	if (dialect->expect_instance && spec->instance)
		add_field(out, dialect->expect_instance, spec->instance);
	if (dialect->urgency && spec->urgency >= 0)
		add_number(out, dialect->urgency, (guint64)spec->urgency);
	if (spec->resumes && dialect->last_event_id)
		add_number(out, dialect->last_event_id, spec->last_event);
}

GByteArray *sr_upstream_request_serialize(const sr_upstream_request_t *spec)
{
	const sr_message_t *request = spec->request;
	GByteArray *out = g_byte_array_sized_new(request->body->len + 1024);
	char *line = g_strdup_printf("%s %s HTTP/1.1\r\n", request->method,
				     request->target);

	g_byte_array_append(out, (guint8 *)line, (guint)strlen(line));
	g_free(line);
	for (unsigned i = 0; i < sr_headers_size(request->headers); i++) {
		sr_header_t field = sr_headers_at(request->headers, i);

		if (is_forwarded(spec, field.name))
			add_field(out, field.name, field.value);
	}
	add_gateway_fields(out, spec);
	if (request->body->len > 0 || request->is_chunked ||
	    sr_headers_get(request->headers, "Content-Length"))
		add_number(out, "Content-Length", request->body->len);
	g_byte_array_append(out, (const guint8 *)"\r\n", 2);
	g_byte_array_append(out, request->body->data, request->body->len);
	return out;
}
