#ifndef SR_HTTP_CHANNEL_H
#define SR_HTTP_CHANNEL_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"

/**
 * sr_channel_t - a non-blocking TCP connection on the loop of its creator
 *
 * Bytes that the socket does not take at once wait in a bounded buffer. A
 * connection whose peer has fallen silent is reset by keep-alive probes and
 * by the limit on unacknowledged bytes. No callback runs from inside a call.
 */
typedef struct sr_channel sr_channel_t;

typedef enum {
	SR_CHANNEL_FINISHED, /* the peer closed in order */
	SR_CHANNEL_RESET,
	SR_CHANNEL_UNREACHABLE, /* it was never established */
} sr_channel_end_t;

typedef struct {
	/* established; not called for accepted connections */
	void (*connected)(void *user);
	void (*received)(void *user, const guint8 *data, gsize size);
	/* nothing more comes in; the channel may be freed here */
	void (*ended)(void *user, sr_channel_end_t how);
} sr_channel_events_t;

/** Bytes that may wait to be sent; a peer that leaves more is reset. */
#define SR_CHANNEL_BACKLOG (8 * 1024 * 1024)

/** sr_channel_accepted - takes over the socket. */
sr_channel_t *sr_channel_accepted(int fd, const sr_channel_events_t *events,
				  void *user);

/** sr_channel_connect - to IP:PORT; NULL if no socket is to be had. */
sr_channel_t *sr_channel_connect(const char *address,
				 const sr_channel_events_t *events, void *user);

/**
 * sr_channel_free - close; what was written is still delivered if possible
 *
 * Bytes that wait in the buffer are lost.
 */
void sr_channel_free(sr_channel_t *channel);

/**
 * sr_channel_shutdown - end our side once all that was written has left
 *
 * What comes in is still told, so that the peer can read our last bytes
 * before it sees the end; the owner frees the channel on ended().
 */
void sr_channel_shutdown(sr_channel_t *channel);

/** sr_channel_reset - free it with a reset, so that the peer sees a fault. */
void sr_channel_reset(sr_channel_t *channel);

/** sr_channel_set_events - hand the channel to another owner. */
void sr_channel_set_events(sr_channel_t *channel,
			   const sr_channel_events_t *events, void *user);

void sr_channel_write(sr_channel_t *channel, const void *data, gsize size);

/** sr_channel_pause - read no more until it is resumed. */
void sr_channel_pause(sr_channel_t *channel, gboolean paused);

gboolean sr_channel_is_connected(const sr_channel_t *channel);

/** sr_channel_is_flushed - has the socket taken all that was written? */
gboolean sr_channel_is_flushed(const sr_channel_t *channel);

/** sr_listen - a listening socket on IP:PORT, or a negative error. */
int sr_listen(const char *address);

/** sr_accept - the next connection of a listening socket, or -1. */
int sr_accept(int listener);

#endif
