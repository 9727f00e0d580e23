#include "http/event_parser.h"

#include <string.h>

struct sr_event_parser {
	GByteArray *buffer;
	gsize consumed;	    /* bytes of the events that were returned */
	gsize line;	    /* start of the line that is being read */
	gsize scanned;	    /* end of its bytes without a line ending */
	gboolean has_field; /* the event has a line that is not empty */
	sr_event_t event;   /* being read; without data and size */
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
	parser->line -= parser->consumed;
	parser->scanned -= parser->consumed;
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

/* Returns the length of the next line without its ending, or -1 if it is
 * incomplete; on success *start is its start. */
static gssize read_line(sr_event_parser_t *parser, gsize *start)
{
	const guint8 *data = parser->buffer->data;
	gsize size = parser->buffer->len;
	gsize i = parser->scanned;

	while (i < size && data[i] != '\n' && data[i] != '\r')
		i++;
	parser->scanned = i;
	if (i == size || (data[i] == '\r' && i + 1 == size))
		return -1; /* a line feed may follow a carriage return */
	*start = parser->line;
	parser->line = data[i] == '\r' && data[i + 1] == '\n' ? i + 2 : i + 1;
	parser->scanned = parser->line;
	return (gssize)(i - *start);
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
	gssize length;
	gsize start;

	while ((length = read_line(parser, &start)) >= 0) {
		if (length > 0) {
			parser->has_field = TRUE;
			read_id(&parser->event, parser->buffer->data + start,
				(gsize)length);
			continue;
		}
		if (!parser->has_field)
			continue;
		*event = parser->event;
		event->data = parser->buffer->data + parser->consumed;
		event->size = parser->line - parser->consumed;
		parser->consumed = parser->line;
		parser->has_field = FALSE;
		memset(&parser->event, 0, sizeof(parser->event));
		return TRUE;
	}
	return FALSE;
}

gboolean sr_event_parser_is_between_events(const sr_event_parser_t *parser)
{
	return !parser->has_field && parser->line == parser->buffer->len;
}

const guint8 *sr_event_parser_rest(const sr_event_parser_t *parser, gsize *size)
{
	*size = sr_event_parser_is_between_events(parser) ?
			parser->buffer->len - parser->consumed :
			0;
	return parser->buffer->data + parser->consumed;
}

void sr_event_parser_reset(sr_event_parser_t *parser)
{
	g_byte_array_set_size(parser->buffer, 0);
	parser->consumed = 0;
	parser->line = 0;
	parser->scanned = 0;
	parser->has_field = FALSE;
	memset(&parser->event, 0, sizeof(parser->event));
}
