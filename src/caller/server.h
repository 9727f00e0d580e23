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
#include "upstream/client.h"

/**
 * sr_caller_t - the HTTP server that callers talk to
 *
 * It checks each request against the configuration in force, asks the
 * dispatcher where to send it, and carries the answer back. Idempotent
 * requests go to upstreams directly, all others through the postings.
 *
 * Memory is bounded: a request body is held up to request_bytes, an answer up
 * to 64 KiB beyond what the caller has taken, and all together up to
 * buffered_bytes; beyond that a request is refused. A caller that closes its
 * side of the connection is taken to have gone away.
 */
typedef struct sr_caller sr_caller_t;

typedef struct {
	sr_clock_t *clock;
	sr_log_t *log;
	sr_metrics_t *metrics;
	sr_trace_t *trace;
	sr_dispatch_t *dispatch;
	sr_upstream_client_t *upstream;
	guint64 seed; /* of request ids */
	gsize request_bytes;
	gsize buffered_bytes;
	unsigned max_requests;
	unsigned max_connections;
	sr_usec_t header_timeout;
	sr_usec_t body_timeout;
} sr_caller_options_t;

/** sr_caller_new - everything in options is borrowed and must outlive it. */
sr_caller_t *sr_caller_new(const sr_caller_options_t *options);

/** sr_caller_free - cuts off what still runs. */
void sr_caller_free(sr_caller_t *caller);

/** sr_caller_listen - listen on IP:PORT; port 0 takes a free one. */
sr_err_t sr_caller_listen(sr_caller_t *caller, const char *address,
			  char **detail);
guint16 sr_caller_port(const sr_caller_t *caller);

/** sr_caller_set_config - for new requests; NULL refuses them. */
void sr_caller_set_config(sr_caller_t *caller, sr_config_t *config);

/** sr_caller_set_postings - NULL refuses what is not idempotent. */
void sr_caller_set_postings(sr_caller_t *caller, sr_postings_t *postings);

/**
 * sr_caller_drain - ask callers to close their connections
 *
 * New requests are still served.
 */
void sr_caller_drain(sr_caller_t *caller);

/**
 * sr_caller_stop - accept no connection and no request from now on
 *
 * What runs is finished; idle(user) is called once nothing runs any more,
 * never from inside this call.
 */
void sr_caller_stop(sr_caller_t *caller, sr_timer_fn idle, void *user);

/** sr_caller_n_requests - requests whose answer is not yet written out. */
unsigned sr_caller_n_requests(const sr_caller_t *caller);

#endif
