#ifndef SR_PEER_STREAM_H
#define SR_PEER_STREAM_H

#include <gio/gio.h>

/**
 * sr_stream_t - records over one TCP connection, with the record marking of
 * ONC RPC (RFC 5531, section 11)
 *
 * Callbacks run from the main loop, never from inside a function of this
 * module. record may call sr_stream_free().
 */
typedef struct sr_stream sr_stream_t;

/** sr_stream_options_t - configuration of a stream. */
typedef struct {
	GSocketConnection *connection; /* a reference is taken */
	gsize record_max; /* bytes; a larger record closes the connection */
	gsize queue_max;  /* bytes queued behind the write in progress */
	/* a whole record was received; data is valid during the call */
	void (*record)(void *user, const guint8 *data, gsize size);
	/* the connection was closed by the other end or by an error; called
	 * at most once, and the stream is invalid afterwards */
	void (*closed)(void *user);
	void *user;
} sr_stream_options_t;

/** sr_stream_new - start reading from a connection; never NULL. */
sr_stream_t *sr_stream_new(const sr_stream_options_t *options);

/** sr_stream_set_record_max - change record_max, in bytes. */
void sr_stream_set_record_max(sr_stream_t *stream, gsize record_max);

/**
 * sr_stream_send - queue a record; its contents are copied
 *
 * Returns FALSE, with nothing queued, if the queue would exceed queue_max.
 */
gboolean sr_stream_send(sr_stream_t *stream, const GByteArray *record);

/** sr_stream_free - close the connection without a call of closed; NULL is
 * allowed. */
void sr_stream_free(sr_stream_t *stream);

#endif
