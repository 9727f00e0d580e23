#ifndef SR_UPSTREAM_SSE_H
#define SR_UPSTREAM_SSE_H

#include <glib.h>

#include "base/error.h"

/**
 * sr_sse_t - incremental parser for server-sent events
 *
 * Lines end in LF or CRLF. Fields other than event and data are ignored, as
 * are events without a data field.
 */
typedef struct sr_sse sr_sse_t;

/** Maximum size of an event as received, in bytes. */
#define SR_SSE_EVENT_MAX 65536

/** sr_sse_event_t - a complete event; valid only during the callback. */
typedef struct {
	const char *name; /* "message" if there is no event field */
	const char *data; /* data fields, joined by line feeds */
	const char *raw;  /* as received, including the empty line at its end */
	gsize raw_size;	  /* in bytes */
} sr_sse_event_t;

/**
 * sr_sse_fn - called for each complete event; returns SR_OK, or an error that
 * stops sr_sse_feed()
 */
typedef sr_err_t (*sr_sse_fn)(void *user, const sr_sse_event_t *event);

/** sr_sse_new - free the result with sr_sse_free(). */
sr_sse_t *sr_sse_new(void);

/** sr_sse_free - NULL is allowed. */
void sr_sse_free(sr_sse_t *sse);

/**
 * sr_sse_feed - parse the next bytes and call fn for each completed event
 *
 * Returns SR_ERR_PROTOCOL if an event exceeds SR_SSE_EVENT_MAX, or the error
 * that fn returned. The bytes after the error are not parsed.
 */
sr_err_t sr_sse_feed(sr_sse_t *sse, const guint8 *data, gsize size,
		     sr_sse_fn fn, void *user);

/** sr_sse_reset - discard an incomplete event. */
void sr_sse_reset(sr_sse_t *sse);

/** sr_sse_is_between_events - whether no incomplete event is buffered. */
gboolean sr_sse_is_between_events(const sr_sse_t *sse);

#endif
