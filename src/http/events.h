#ifndef SR_HTTP_EVENTS_H
#define SR_HTTP_EVENTS_H

#include <glib.h>

/**
 * sr_events_t - cuts an event stream into whole events, byte for byte
 *
 * Only whole events are handed out, so that a stream that breaks off inside
 * one can go on elsewhere without a torn event.
 */
typedef struct sr_events sr_events_t;

/** sr_event_t - one event with the empty line that ends it; borrowed. */
typedef struct {
	const guint8 *data;
	gsize size;
	gboolean has_id;
	guint64 id;
} sr_event_t;

/** Largest event, in bytes. */
#define SR_EVENT_MAX (1024 * 1024)

sr_events_t *sr_events_new(void);
void sr_events_free(sr_events_t *events);

/** sr_events_feed - FALSE if an event is larger than SR_EVENT_MAX. */
gboolean sr_events_feed(sr_events_t *events, const guint8 *data, gsize size);

/** sr_events_next - the next whole event, valid until the next call. */
gboolean sr_events_next(sr_events_t *events, sr_event_t *event);

/** sr_events_is_clean - does the stream end between two events? */
gboolean sr_events_is_clean(const sr_events_t *events);

/** sr_events_reset - forget what is left of a broken stream. */
void sr_events_reset(sr_events_t *events);

#endif
