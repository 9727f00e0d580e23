#ifndef SR_PEER_STREAM_H
#define SR_PEER_STREAM_H

#include <gio/gio.h>

/**
 * sr_stream_t - messages over one TCP connection, with ONC RPC's record
 * marking
 *
 * Callbacks come from the main loop, never from inside a call of this module.
 */
typedef struct sr_stream sr_stream_t;

typedef struct {
	GSocketConnection *connection; /* a reference is taken */
	gsize record_max;	       /* larger ones end the connection */
	gsize queue_max;	       /* bytes that may wait to be sent */
	void (*record)(void *user, const guint8 *data, gsize size);
	/* the connection ended; called once, the stream is then gone */
	void (*closed)(void *user);
	void *user;
} sr_stream_options_t;

sr_stream_t *sr_stream_new(const sr_stream_options_t *options);

void sr_stream_set_record_max(sr_stream_t *stream, gsize record_max);

/** sr_stream_send - FALSE if too much is waiting; nothing is sent then. */
gboolean sr_stream_send(sr_stream_t *stream, const GByteArray *record);

/** sr_stream_free - close without calling closed; NULL is allowed. */
void sr_stream_free(sr_stream_t *stream);

#endif
