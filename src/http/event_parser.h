#ifndef SR_HTTP_EVENT_PARSER_H
#define SR_HTTP_EVENT_PARSER_H

#include <glib.h>

/**
 * sr_event_parser_t - splits a stream of server-sent events into events
 *
 * Events are returned unchanged and only when complete, so that a stream that
 * breaks inside an event can be resumed elsewhere without a partial event. An
 * empty line that ends no event is returned with the event after it. Each byte
 * is read once, however the stream is split.
 */
typedef struct sr_event_parser sr_event_parser_t;

/** sr_event_t - one event with the empty line that ends it. */
typedef struct {
	const guint8 *data; /* borrowed; follows that of the last event */
	gsize size;	    /* bytes */
	gboolean has_id;    /* the event has a numeric id field */
	guint64 id;
} sr_event_t;

/** Maximum number of buffered bytes, hence of one event. */
#define SR_EVENT_BUFFER_MAX (1024 * 1024)

sr_event_parser_t *sr_event_parser_new(void);
void sr_event_parser_free(sr_event_parser_t *parser);

/** sr_event_parser_feed - add bytes; FALSE if more than SR_EVENT_BUFFER_MAX are
 * buffered. */
gboolean sr_event_parser_feed(sr_event_parser_t *parser, const guint8 *data,
			      gsize size);

/** sr_event_parser_next - get the next complete event, valid until the next
 * feed or reset; FALSE if there is none. */
gboolean sr_event_parser_next(sr_event_parser_t *parser, sr_event_t *event);

/** sr_event_parser_is_between_events - TRUE if no part of an event is buffered,
 * but for empty lines before it. */
gboolean sr_event_parser_is_between_events(const sr_event_parser_t *parser);

/** sr_event_parser_rest - the empty lines after the last event; borrowed. The
 * size is 0 inside an event. */
const guint8 *sr_event_parser_rest(const sr_event_parser_t *parser,
				   gsize *size);

/** sr_event_parser_reset - drop the rest of a broken stream. */
void sr_event_parser_reset(sr_event_parser_t *parser);

#endif
