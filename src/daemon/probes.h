#ifndef SR_DAEMON_PROBES_H
#define SR_DAEMON_PROBES_H

#include <libsoup/soup.h>

#include "base/error.h"
#include "base/metrics.h"

/**
 * sr_probes_t - the HTTP server of the administration address
 *
 * It answers /metrics, /healthz and /readyz itself; other packages add their
 * own paths to its server.
 */
typedef struct sr_probes sr_probes_t;

sr_probes_t *sr_probes_new(sr_metrics_t *metrics);
void sr_probes_free(sr_probes_t *probes);

/** sr_probes_listen - listen on IP:PORT; detail is freed by the caller. */
sr_err_t sr_probes_listen(sr_probes_t *probes, const char *address,
			  char **detail);

/** sr_probes_set_ready - what /readyz says: 200, or 503 with the reason. */
void sr_probes_set_ready(sr_probes_t *probes, gboolean ready,
			 const char *reason);

/** sr_probes_server - borrowed, to add handlers to. */
SoupServer *sr_probes_server(sr_probes_t *probes);

/** sr_probes_port - the port that is listened on. */
guint16 sr_probes_port(sr_probes_t *probes);

#endif
