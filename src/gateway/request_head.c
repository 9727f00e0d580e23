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

static gboolean is_own(const sr_dialect_t *dialect, const char *name)
{
	const char *const own[] = {
		dialect->deadline_ms,	  dialect->account,
		dialect->expect_instance, dialect->urgency,
		"Authorization",
	};

	for (gsize i = 0; i < G_N_ELEMENTS(own); i++) {
		if (own[i] && !g_ascii_strcasecmp(own[i], name))
			return TRUE;
	}
	return is_listed(dialect->reserved, name);
}

static gboolean is_passed_on(const sr_request_head_t *head, const char *name)
{
	const sr_dialect_t *dialect = head->dialect;

	if (is_own(dialect, name))
		return FALSE;
	if (head->resumes && !g_ascii_strcasecmp(name, dialect->last_event_id))
		return FALSE;
	return is_listed(dialect->carried, name) ||
	       !sr_headers_is_hop_by_hop(head->request->headers, name);
}

static void add_own_fields(GByteArray *out, const sr_request_head_t *head)
{
	const sr_dialect_t *dialect = head->dialect;

	if (dialect->deadline_ms)
		add_number(out, dialect->deadline_ms,
			   (guint64)MAX(head->time_left / SR_MSEC, 1));
	if (dialect->account && head->account)
		add_field(out, dialect->account, head->account);
	if (dialect->expect_instance)
		add_field(out, dialect->expect_instance, head->instance);
	if (dialect->urgency && head->urgency >= 0)
		add_number(out, dialect->urgency, (guint64)head->urgency);
	if (head->resumes && dialect->last_event_id)
		add_number(out, dialect->last_event_id, head->last_event);
}

GByteArray *sr_request_bytes(const sr_request_head_t *head)
{
	const sr_message_t *request = head->request;
	GByteArray *out = g_byte_array_sized_new(request->body->len + 1024);
	char *line = g_strdup_printf("%s %s HTTP/1.1\r\n", request->method,
				     request->target);

	g_byte_array_append(out, (guint8 *)line, (guint)strlen(line));
	g_free(line);
	for (unsigned i = 0; i < sr_headers_size(request->headers); i++) {
		sr_header_t field = sr_headers_at(request->headers, i);

		if (is_passed_on(head, field.name))
			add_field(out, field.name, field.value);
	}
	add_own_fields(out, head);
	if (request->body->len > 0 || request->is_chunked ||
	    sr_headers_get(request->headers, "Content-Length"))
		add_number(out, "Content-Length", request->body->len);
	g_byte_array_append(out, (const guint8 *)"\r\n", 2);
	g_byte_array_append(out, request->body->data, request->body->len);
	return out;
}
