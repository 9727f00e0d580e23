#ifndef SR_DAEMON_PROBES_H
#define SR_DAEMON_PROBES_H

#include <libsoup/soup.h>

#include "base/error.h"
#include "base/metrics.h"

/**
 * sr_probes_t - HTTP server of the administration address
 *
 * It serves /metrics, /healthz and /readyz. Other modules add their own paths
 * with sr_probes_server().
 */
typedef struct sr_probes sr_probes_t;

/**
 * sr_probes_new - create the server; it is not ready and does not listen yet
 *
 * The metrics are borrowed and must outlive the server. Free with
 * sr_probes_free().
 */
sr_probes_t *sr_probes_new(sr_metrics_t *metrics);

/** sr_probes_free - stop listening and free the server; NULL is allowed. */
void sr_probes_free(sr_probes_t *probes);

/**
 * sr_probes_listen - listen on an address IP:PORT
 *
 * Returns SR_ERR_INVALID if the address is malformed, or SR_ERR_IO if it can't
 * be listened on. On an error *detail describes it; the caller frees it.
 */
sr_err_t sr_probes_listen(sr_probes_t *probes, const char *address,
			  char **detail);

/** sr_probes_set_ready - set the status of /readyz: 200 if ready, else 503. The
 * reason is its body and is copied. */
void sr_probes_set_ready(sr_probes_t *probes, gboolean ready,
			 const char *reason);

/** sr_probes_server - the server, for adding handlers; borrowed. */
SoupServer *sr_probes_server(sr_probes_t *probes);

/** sr_probes_port - the port listened on; 0 before sr_probes_listen(). */
guint16 sr_probes_port(sr_probes_t *probes);

#endif
