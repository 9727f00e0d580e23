#ifndef SR_CALLER_CONNECTION_H
#define SR_CALLER_CONNECTION_H

#include <gio/gio.h>
#include <libsoup/soup.h>

#include "base/clock.h"
#include "base/error.h"

/**
 * sr_listener_t - accepts callers' connections and hands them to a server
 *
 * It bounds their number and closes one that stays without a complete request
 * header for too long, whether idle or slow.
 */
typedef struct sr_listener sr_listener_t;

/** sr_connection_t - one caller's connection; freed when it is closed. */
typedef struct sr_connection sr_connection_t;

typedef struct {
	sr_clock_t *clock;
	SoupServer *server;
	unsigned max_connections;
	sr_usec_t header_timeout;
} sr_listener_options_t;

sr_listener_t *sr_listener_new(const sr_listener_options_t *options);

/** sr_listener_free - forgets the connections, which the server closes. */
void sr_listener_free(sr_listener_t *listener);

/**
 * sr_listener_open - listen on IP:PORT; port 0 takes a free one
 *
 * Returns SR_ERR_INVALID for a malformed address and SR_ERR_IO if it cannot
 * be bound; detail (caller frees) then says why.
 */
sr_err_t sr_listener_open(sr_listener_t *listener, const char *address,
			  char **detail);

/** sr_listener_port - the port that is listened on. */
guint16 sr_listener_port(const sr_listener_t *listener);

/** sr_listener_stop - accept nothing more; open connections stay. */
void sr_listener_stop(sr_listener_t *listener);

unsigned sr_listener_n_connections(const sr_listener_t *listener);

/** sr_connection_of - the connection that a message came in on. */
sr_connection_t *sr_connection_of(SoupServerMessage *message);

/** sr_connection_set_busy - TRUE from request header to end of answer. */
void sr_connection_set_busy(sr_connection_t *connection, gboolean busy);

/**
 * sr_connection_watch - call fn(user) once when the caller closes its side
 *
 * Returns a source that the caller of this function destroys and releases.
 */
GSource *sr_connection_watch(sr_connection_t *connection, sr_timer_fn fn,
			     void *user);

/** sr_connection_shut - end both directions after what is sent already. */
void sr_connection_shut(sr_connection_t *connection);

#endif
