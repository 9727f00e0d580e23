#include "http/event_parser.h"

#include <string.h>

struct sr_event_parser {
	GByteArray *buffer;
	gsize consumed; /* bytes of the events that were returned */
};

sr_event_parser_t *sr_event_parser_new(void)
{
	sr_event_parser_t *parser = g_new0(sr_event_parser_t, 1);

	parser->buffer = g_byte_array_new();
	return parser;
}

void sr_event_parser_free(sr_event_parser_t *parser)
{
	if (!parser)
		return;
	g_byte_array_unref(parser->buffer);
	g_free(parser);
}

static void discard_consumed(sr_event_parser_t *parser)
{
	if (parser->consumed == 0)
		return;
	g_byte_array_remove_range(parser->buffer, 0, (guint)parser->consumed);
	parser->consumed = 0;
}

gboolean sr_event_parser_feed(sr_event_parser_t *parser, const guint8 *data,
			      gsize size)
{
	discard_consumed(parser);
	if (parser->buffer->len + size > SR_EVENT_BUFFER_MAX)
		return FALSE;
	g_byte_array_append(parser->buffer, data, (guint)size);
	return TRUE;
}

/* Finds the line that begins at start: its length without the line ending and
 * the start of the next line. FALSE if the line is incomplete. */
static gboolean read_line(const guint8 *data, gsize size, gsize start,
			  gsize *length, gsize *next)
{
	for (gsize i = start; i < size; i++) {
		if (data[i] == '\n') {
			*length = i - start;
			*next = i + 1;
			return TRUE;
		}
		if (data[i] != '\r')
			continue;
		if (i + 1 == size)
			return FALSE; /* a line feed may follow */
		*length = i - start;
		*next = data[i + 1] == '\n' ? i + 2 : i + 1;
		return TRUE;
	}
	return FALSE;
}

static void read_id(sr_event_t *event, const guint8 *line, gsize length)
{
	char text[24];
	char *end;

	if (length < 4 || memcmp(line, "id:", 3))
		return;
	line += 3;
	length -= 3;
	while (length > 0 && *line == ' ') {
		line++;
		length--;
	}
	if (length == 0 || length >= sizeof(text))
		return;
	memcpy(text, line, length);
	text[length] = '\0';
	event->id = g_ascii_strtoull(text, &end, 10);
	event->has_id = *end == '\0';
}

gboolean sr_event_parser_next(sr_event_parser_t *parser, sr_event_t *event)
{
	const guint8 *data = parser->buffer->data;
	gsize size = parser->buffer->len;
	gsize at = parser->consumed;
	gsize length;
	gsize next;

	memset(event, 0, sizeof(*event));
	while (read_line(data, size, at, &length, &next)) {
		if (length == 0) {
			event->data = data + parser->consumed;
			event->size = next - parser->consumed;
			parser->consumed = next;
			return TRUE;
		}
		read_id(event, data + at, length);
		at = next;
	}
	return FALSE;
}

gboolean sr_event_parser_is_between_events(const sr_event_parser_t *parser)
{
	return parser->buffer->len == parser->consumed;
}

void sr_event_parser_reset(sr_event_parser_t *parser)
{
	g_byte_array_set_size(parser->buffer, 0);
	parser->consumed = 0;
}
