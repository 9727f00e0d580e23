#ifndef SR_HTTP_EVENTS_H
#define SR_HTTP_EVENTS_H

#include <glib.h>

/**
 * sr_events_t - splits a stream of server-sent events into events
 *
 * Events are returned unchanged and only when complete, so that a stream that
 * breaks inside an event can be resumed elsewhere without a partial event.
 */
typedef struct sr_events sr_events_t;

/** sr_event_t - one event with the empty line that ends it. */
typedef struct {
	const guint8 *data; /* borrowed from the parser */
	gsize size;	    /* bytes */
	gboolean has_id;    /* the event has a numeric id field */
	guint64 id;
} sr_event_t;

/** Maximum number of buffered bytes, hence of one event. */
#define SR_EVENT_BUFFER_MAX (1024 * 1024)

sr_events_t *sr_events_new(void);
void sr_events_free(sr_events_t *events);

/** sr_events_feed - add bytes; FALSE if more than SR_EVENT_BUFFER_MAX are
 * buffered. */
gboolean sr_events_feed(sr_events_t *events, const guint8 *data, gsize size);

/** sr_events_next - get the next complete event, valid until the next feed or
 * reset; FALSE if there is none. */
gboolean sr_events_next(sr_events_t *events, sr_event_t *event);

/** sr_events_is_clean - TRUE if no part of an event is buffered. */
gboolean sr_events_is_clean(const sr_events_t *events);

/** sr_events_reset - drop the rest of a broken stream. */
void sr_events_reset(sr_events_t *events);

#endif
