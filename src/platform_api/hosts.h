#ifndef SR_PLATFORM_API_HOSTS_H
#define SR_PLATFORM_API_HOSTS_H

#include "platform_api/client.h"
#include "platform_api/decode.h"

/**
 * sr_hosts_t - follows the platform's host list and its reclaim notices
 *
 * The list is polled and lags; notices come from a long poll and go first: a
 * host that was announced as leaving stays so until the list drops it. While
 * the platform does not answer, the last known list stays valid.
 */
typedef struct sr_hosts sr_hosts_t;

typedef struct {
	sr_platform_t *platform;
	sr_clock_t *clock;
	guint64 seed;	    /* of the jitter */
	sr_usec_t interval; /* of the list; 0 for SR_HOSTS_INTERVAL */
	/* once for each host; in is 0 if only the list says so */
	void (*leaving)(void *user, const char *host, sr_usec_t in);
	/* a host appeared in the list, or is gone from it */
	void (*present)(void *user, const sr_host_t *host, gboolean present);
	void *user;
} sr_hosts_options_t;

#define SR_HOSTS_INTERVAL (5 * SR_SEC)
#define SR_HOSTS_NOTICE_WAIT (30 * SR_SEC)

/** sr_hosts_new - starts idle; see sr_hosts_set_active(). */
sr_hosts_t *sr_hosts_new(const sr_hosts_options_t *options);
void sr_hosts_free(sr_hosts_t *hosts);

/**
 * sr_hosts_set_active - start or stop asking the platform
 *
 * At many nodes only a few of a failure domain are active; the others learn
 * of leaving hosts by gossip.
 */
void sr_hosts_set_active(sr_hosts_t *hosts, gboolean active);

/** sr_hosts_is_leaving - TRUE if it was announced and is still listed. */
gboolean sr_hosts_is_leaving(const sr_hosts_t *hosts, const char *name);

#endif
