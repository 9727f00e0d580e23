#include "upstream/sse.h"

#include <string.h>

struct sr_sse {
	GString *raw;	  /* the incomplete event, as received */
	gsize line_start; /* offset of the incomplete line in raw */
	GString *name;
	GString *data;
	gboolean has_data;
};

sr_sse_t *sr_sse_new(void)
{
	sr_sse_t *sse = g_new0(sr_sse_t, 1);

	sse->raw = g_string_new(NULL);
	sse->name = g_string_new(NULL);
	sse->data = g_string_new(NULL);
	return sse;
}

void sr_sse_free(sr_sse_t *sse)
{
	if (!sse)
		return;
	g_string_free(sse->raw, TRUE);
	g_string_free(sse->name, TRUE);
	g_string_free(sse->data, TRUE);
	g_free(sse);
}

void sr_sse_reset(sr_sse_t *sse)
{
	g_string_truncate(sse->raw, 0);
	g_string_truncate(sse->name, 0);
	g_string_truncate(sse->data, 0);
	sse->line_start = 0;
	sse->has_data = FALSE;
}

gboolean sr_sse_is_between_events(const sr_sse_t *sse)
{
	return sse->raw->len == 0;
}

/* Returns the value in "field: value" or "field:value"; NULL if no match. */
static const char *field_value(const char *line, const char *field)
{
	size_t length = strlen(field);

	if (strncmp(line, field, length) || line[length] != ':')
		return NULL;
	line += length + 1;
	return *line == ' ' ? line + 1 : line;
}

static void parse_line(sr_sse_t *sse, const char *line)
{
	const char *value = field_value(line, "data");

	if (value) {
		if (sse->has_data)
			g_string_append_c(sse->data, '\n');
		g_string_append(sse->data, value);
		sse->has_data = TRUE;
		return;
	}
	value = field_value(line, "event");
	if (value)
		g_string_assign(sse->name, value);
}

static sr_err_t dispatch_event(sr_sse_t *sse, sr_sse_fn fn, void *user)
{
	const sr_sse_event_t event = {
		.name = sse->name->len ? sse->name->str : "message",
		.data = sse->data->str,
		.raw = sse->raw->str,
		.raw_size = sse->raw->len,
	};
	sr_err_t err = SR_OK;

	if (sse->has_data)
		err = fn(user, &event);
	sr_sse_reset(sse);
	return err;
}

/* Parses the last line of raw, which ends in LF; if empty, the event ends. */
static sr_err_t end_line(sr_sse_t *sse, sr_sse_fn fn, void *user)
{
	gsize start = sse->line_start;
	gsize length = sse->raw->len - start - 1;
	char *line;

	if (length > 0 && sse->raw->str[start + length - 1] == '\r')
		length--;
	sse->line_start = sse->raw->len;
	if (length == 0)
		return dispatch_event(sse, fn, user);
	line = g_strndup(sse->raw->str + start, length);
	parse_line(sse, line);
	g_free(line);
	return SR_OK;
}

sr_err_t sr_sse_feed(sr_sse_t *sse, const guint8 *data, gsize size,
		     sr_sse_fn fn, void *user)
{
	const char *pos = (const char *)data;
	const char *end = pos + size;

	while (pos < end) {
		const char *newline = memchr(pos, '\n', (size_t)(end - pos));
		gsize length = (gsize)((newline ? newline + 1 : end) - pos);
		sr_err_t err;

		if (sse->raw->len + length > SR_SSE_EVENT_MAX)
			return SR_ERR_PROTOCOL;
		g_string_append_len(sse->raw, pos, (gssize)length);
		pos += length;
		if (!newline)
			break;
		err = end_line(sse, fn, user);
		if (err)
			return err;
	}
	return SR_OK;
}
