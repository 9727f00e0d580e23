#ifndef SR_UPSTREAM_TOKEN_STREAM_H
#define SR_UPSTREAM_TOKEN_STREAM_H

#include <glib.h>

#include "base/error.h"

/**
 * sr_token_stream_t - joins the token streams of several attempts into one
 * response that contains each token once
 *
 * Only complete events are forwarded. Each "message" event must have the next
 * token offset, and the total in the "done" event must match the number of
 * tokens. A missing or repeated offset or a wrong total makes the response
 * invalid, and nothing more is forwarded. Events with other names concern a
 * single attempt and are dropped.
 */
typedef struct sr_token_stream sr_token_stream_t;

/** sr_token_stream_new - free the result with sr_token_stream_free(). */
sr_token_stream_t *sr_token_stream_new(void);

/** sr_token_stream_free - NULL is allowed. */
void sr_token_stream_free(sr_token_stream_t *stream);

/**
 * sr_token_stream_feed - parse the next bytes of the current attempt
 *
 * Appends to out the events that are forwarded to the caller, including those
 * before an error. Returns SR_ERR_PROTOCOL if the response is invalid, now or
 * since an earlier call; see sr_token_stream_detail().
 */
sr_err_t sr_token_stream_feed(sr_token_stream_t *stream, const guint8 *data,
			      gsize size, GString *out);

/**
 * sr_token_stream_restart - start the next attempt, which continues at the
 * next offset; discards an incomplete event
 */
void sr_token_stream_restart(sr_token_stream_t *stream);

/** sr_token_stream_tokens - number of tokens forwarded; the next offset. */
guint64 sr_token_stream_tokens(const sr_token_stream_t *stream);

/** sr_token_stream_is_done - whether the "done" event was forwarded. */
gboolean sr_token_stream_is_done(const sr_token_stream_t *stream);

/** sr_token_stream_detail - why the response is invalid, or NULL; borrowed. */
const char *sr_token_stream_detail(const sr_token_stream_t *stream);

#endif
