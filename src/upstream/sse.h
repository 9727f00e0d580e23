#ifndef SR_UPSTREAM_SSE_H
#define SR_UPSTREAM_SSE_H

#include <glib.h>

#include "base/error.h"

/**
 * sr_sse_t - splits a byte stream into server-sent events
 *
 * Lines end in LF or CRLF. Only the fields event and data are looked at, and
 * an event holds at most SR_SSE_EVENT_MAX bytes.
 */
typedef struct sr_sse sr_sse_t;

#define SR_SSE_EVENT_MAX 65536

/** sr_sse_event_t - valid during the callback only. */
typedef struct {
	const char *name; /* "message" if the event names none */
	const char *data;
	const char *raw; /* as received, with the empty line that ends it */
	gsize raw_size;
} sr_sse_event_t;

/** sr_sse_fn - returns SR_OK to go on; anything else ends sr_sse_feed(). */
typedef sr_err_t (*sr_sse_fn)(void *user, const sr_sse_event_t *event);

sr_sse_t *sr_sse_new(void);
void sr_sse_free(sr_sse_t *sse);

/**
 * sr_sse_feed - take in bytes; fn is called for each event that is whole
 *
 * Returns SR_ERR_PROTOCOL for an event that is too large, or what fn
 * returned.
 */
sr_err_t sr_sse_feed(sr_sse_t *sse, const guint8 *data, gsize size,
		     sr_sse_fn fn, void *user);

/** sr_sse_reset - drop an event that is not whole. */
void sr_sse_reset(sr_sse_t *sse);

/** sr_sse_is_between_events - no part of an event is waiting. */
gboolean sr_sse_is_between_events(const sr_sse_t *sse);

#endif
