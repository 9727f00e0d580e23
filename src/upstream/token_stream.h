#ifndef SR_UPSTREAM_TOKEN_STREAM_H
#define SR_UPSTREAM_TOKEN_STREAM_H

#include <glib.h>

#include "base/error.h"

/**
 * sr_token_stream_t - joins the token streams of several attempts into one
 * answer that holds each token once
 *
 * An event is passed on only when it is whole and carries the next offset. A
 * hole, a repeated offset or a total that does not match makes the answer
 * broken; nothing is passed on from there. Events of other names than
 * "message" and "done" concern one attempt and are left out.
 */
typedef struct sr_token_stream sr_token_stream_t;

sr_token_stream_t *sr_token_stream_new(void);
void sr_token_stream_free(sr_token_stream_t *stream);

/**
 * sr_token_stream_feed - take in bytes of the attempt under way
 *
 * Appends the events that may go to the caller to out. Returns
 * SR_ERR_PROTOCOL if the answer is broken; see sr_token_stream_detail().
 */
sr_err_t sr_token_stream_feed(sr_token_stream_t *stream, const guint8 *data,
			      gsize size, GString *out);

/** sr_token_stream_restart - another attempt follows at the next offset. */
void sr_token_stream_restart(sr_token_stream_t *stream);

/** sr_token_stream_tokens - tokens passed on, which is the next offset. */
guint64 sr_token_stream_tokens(const sr_token_stream_t *stream);

/** sr_token_stream_is_done - the closing event was passed on. */
gboolean sr_token_stream_is_done(const sr_token_stream_t *stream);

/** sr_token_stream_detail - why it is broken, or NULL. */
const char *sr_token_stream_detail(const sr_token_stream_t *stream);

#endif
