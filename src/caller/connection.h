#ifndef SR_CALLER_CONNECTION_H
#define SR_CALLER_CONNECTION_H

#include <gio/gio.h>
#include <libsoup/soup.h>

#include "base/clock.h"
#include "base/error.h"

/**
 * sr_listener_t - accepts connections of callers for a SoupServer
 *
 * It limits their number, and closes a connection that has no request in
 * progress and receives no complete request header within header_timeout,
 * whether it is idle or slow.
 */
typedef struct sr_listener sr_listener_t;

/** sr_connection_t - connection of a caller; freed with its stream. */
typedef struct sr_connection sr_connection_t;

/** sr_listener_options_t - the clock and the server are borrowed. */
typedef struct {
	sr_clock_t *clock;
	SoupServer *server;
	unsigned max_connections; /* further ones are closed at once */
	sr_usec_t header_timeout;
} sr_listener_options_t;

/** sr_listener_new - create a listener that is not open yet; free with
 * sr_listener_free(). */
sr_listener_t *sr_listener_new(const sr_listener_options_t *options);

/**
 * sr_listener_free - stop and free the listener; NULL is allowed
 *
 * Open connections are left to the server, which closes them.
 */
void sr_listener_free(sr_listener_t *listener);

/**
 * sr_listener_open - listen on IP:PORT; port 0 selects a free one
 *
 * Returns SR_ERR_INVALID for a malformed address and SR_ERR_IO if listening
 * fails, and sets detail to the reason; free it with g_free().
 */
sr_err_t sr_listener_open(sr_listener_t *listener, const char *address,
			  char **detail);

/** sr_listener_port - port of the listening socket. */
guint16 sr_listener_port(const sr_listener_t *listener);

/** sr_listener_stop - close the listening socket, not the connections. */
void sr_listener_stop(sr_listener_t *listener);

/** sr_listener_n_connections - number of open connections. */
unsigned sr_listener_n_connections(const sr_listener_t *listener);

/** sr_connection_from_message - connection of a message of the server. */
sr_connection_t *sr_connection_from_message(SoupServerMessage *message);

/**
 * sr_connection_set_busy - mark a request as in progress
 *
 * Set to TRUE at the request header and to FALSE at the end of the answer,
 * which starts header_timeout.
 */
void sr_connection_set_busy(sr_connection_t *connection, gboolean busy);

/**
 * sr_connection_watch_close - call fn(user) once when the caller closes its
 * side
 *
 * Returns a source; destroy and unreference it when done.
 */
GSource *sr_connection_watch_close(sr_connection_t *connection, sr_timer_fn fn,
				   void *user);

/**
 * sr_connection_shutdown - shut down the socket in both directions
 *
 * Data written before is still sent.
 */
void sr_connection_shutdown(sr_connection_t *connection);

#endif
