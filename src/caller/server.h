#ifndef SR_CALLER_SERVER_H
#define SR_CALLER_SERVER_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "core/config.h"
#include "core/dispatch.h"
#include "daemon/postings.h"
#include "http/client.h"

/**
 * sr_caller_server_t - the HTTP server for callers
 *
 * It checks each request against the configuration in force, sends it to the
 * upstream that the dispatcher selects, and relays the answer. Idempotent
 * requests are sent to upstreams directly, all others through the postings.
 *
 * Memory is limited: a request body may have up to request_bytes, and reading
 * a relayed answer pauses while 64 KiB of it or more wait for the caller. A
 * request is refused if its body and all buffered bodies and answers together
 * exceed buffered_bytes. A caller that closes its side of the connection
 * counts as disconnected: an idempotent request is cancelled, a posting still
 * runs.
 */
typedef struct sr_caller_server sr_caller_server_t;

/** sr_caller_server_options_t - the objects are borrowed, the rest is copied.
 */
typedef struct {
	sr_clock_t *clock;
	sr_log_t *log;
	sr_metrics_t *metrics;
	sr_trace_t *trace;
	sr_dispatch_t *dispatch;
	sr_http_client_t *upstream;
	guint64 seed;	      /* of the random request ids */
	gsize request_bytes;  /* limit of one request body */
	gsize buffered_bytes; /* limit of all bodies and answers */
	unsigned max_requests;
	unsigned max_connections;
	sr_usec_t header_timeout; /* of idle connections too */
	sr_usec_t body_timeout;
} sr_caller_server_options_t;

/**
 * sr_caller_server_new - create a server that does not listen yet
 *
 * The objects in options must outlive it. Free with sr_caller_server_free().
 */
sr_caller_server_t *
sr_caller_server_new(const sr_caller_server_options_t *options);

/** sr_caller_server_free - abort the open requests and free the server; NULL is
 * allowed. */
void sr_caller_server_free(sr_caller_server_t *server);

/** sr_caller_server_listen - see sr_listener_open(). */
sr_err_t sr_caller_server_listen(sr_caller_server_t *server,
				 const char *address, char **detail);

/** sr_caller_server_port - port of the listening socket. */
guint16 sr_caller_server_port(const sr_caller_server_t *server);

/** sr_caller_server_set_config - set the configuration for new requests, which
 * are refused if it is NULL; takes a reference. */
void sr_caller_server_set_config(sr_caller_server_t *server,
				 sr_config_t *config);

/** sr_caller_server_set_postings - set the postings, which are borrowed;
 * non-idempotent requests are refused if it is NULL. */
void sr_caller_server_set_postings(sr_caller_server_t *server,
				   sr_postings_t *postings);

/**
 * sr_caller_server_drain - send "Connection: close" with each answer from now
 * on
 *
 * New requests are still served.
 */
void sr_caller_server_drain(sr_caller_server_t *server);

/**
 * sr_caller_server_stop - refuse new connections and requests from now on
 *
 * Requests in progress are completed. idle(user) is called when there are no
 * more requests, never from inside this call.
 */
void sr_caller_server_stop(sr_caller_server_t *server, sr_timer_fn idle,
			   void *user);

/** sr_caller_server_n_requests - requests whose answer is not fully written
 * yet. */
unsigned sr_caller_server_n_requests(const sr_caller_server_t *server);

#endif
