#ifndef SR_HTTP_CHANNEL_H
#define SR_HTTP_CHANNEL_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"

/**
 * sr_channel_t - a non-blocking TCP connection on the default main context
 *
 * Bytes that the socket does not take at once are kept in a bounded buffer. An
 * owner that passes on what another connection sends stops reading there while
 * the channel is congested.
 * Keep-alive probes and a timeout of unacknowledged bytes reset a connection
 * whose peer is unreachable. Callbacks run only from the main loop, never from
 * inside a call.
 */
typedef struct sr_channel sr_channel_t;

typedef enum {
	SR_CHANNEL_CLOSED_BY_PEER, /* the peer has closed its sending side */
	SR_CHANNEL_FAILED,	   /* the connection failed */
	SR_CHANNEL_CONNECT_FAILED, /* it could not be established */
} sr_channel_end_reason_t;

typedef struct {
	/* the connection is established; not called for accepted ones; may be
	 * NULL */
	void (*connected)(void *user);
	void (*received)(void *user, const guint8 *data, gsize size);
	/* the channel is not congested any more; may be NULL */
	void (*drained)(void *user);
	/* no more input follows; the channel may be freed here */
	void (*ended)(void *user, sr_channel_end_reason_t how);
} sr_channel_events_t;

/** Maximum number of bytes that wait to be sent; beyond it the channel fails
 * with SR_CHANNEL_FAILED. */
#define SR_CHANNEL_SEND_BUFFER_MAX (8 * 1024 * 1024)

/** A channel is congested from the time when more bytes than the high watermark
 * wait to be sent until no more than the low watermark do. */
#define SR_CHANNEL_HIGH_WATERMARK (256 * 1024)
#define SR_CHANNEL_LOW_WATERMARK (64 * 1024)

/** sr_channel_new_from_fd - wrap an accepted socket and take ownership of it.
 */
sr_channel_t *sr_channel_new_from_fd(int fd, const sr_channel_events_t *events,
				     void *user);

/** sr_channel_connect - connect to IP:PORT; NULL if the address is malformed or
 * the attempt fails at once. */
sr_channel_t *sr_channel_connect(const char *address,
				 const sr_channel_events_t *events, void *user);

/**
 * sr_channel_free - close the connection and free the channel
 *
 * Bytes that the socket has taken are still delivered if possible; those in
 * the send buffer are lost.
 */
void sr_channel_free(sr_channel_t *channel);

/**
 * sr_channel_shutdown - close the sending side once the send buffer is empty
 *
 * Input is still reported, so that the peer can read the last bytes before the
 * connection closes; the owner frees the channel on ended().
 */
void sr_channel_shutdown(sr_channel_t *channel);

/** sr_channel_reset - free the channel with a TCP reset, so that the peer gets
 * an error. */
void sr_channel_reset(sr_channel_t *channel);

/** sr_channel_keep_silent - don't reset the connection while its peer is
 * unreachable; the owner has a timeout. */
void sr_channel_keep_silent(sr_channel_t *channel);

/** sr_channel_set_events - replace the callbacks, for a change of owner. */
void sr_channel_set_events(sr_channel_t *channel,
			   const sr_channel_events_t *events, void *user);

/** sr_channel_write - send or buffer a copy of the data; a failure is reported
 * by ended(). */
void sr_channel_write(sr_channel_t *channel, const void *data, gsize size);

/** sr_channel_set_paused - TRUE stops reading, FALSE resumes it. A connection
 * that is reset meanwhile ends at once, with its unread bytes. */
void sr_channel_set_paused(sr_channel_t *channel, gboolean paused);

gboolean sr_channel_is_connected(const sr_channel_t *channel);

/** sr_channel_is_congested - TRUE until drained() is called. */
gboolean sr_channel_is_congested(const sr_channel_t *channel);

/** sr_channel_unsent - number of bytes that wait to be sent. */
gsize sr_channel_unsent(const sr_channel_t *channel);

/** sr_channel_is_flushed - TRUE if the send buffer is empty. */
gboolean sr_channel_is_flushed(const sr_channel_t *channel);

/** sr_listen - open a listening socket on IP:PORT; returns its descriptor,
 * SR_ERR_INVALID for a malformed address, or SR_ERR_IO. */
int sr_listen(const char *address);

/** sr_accept - next connection of a listening socket, or -1 with errno set. */
int sr_accept(int listener);

#endif
