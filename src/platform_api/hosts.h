#ifndef SR_PLATFORM_API_HOSTS_H
#define SR_PLATFORM_API_HOSTS_H

#include "platform_api/client.h"
#include "platform_api/decode.h"

/**
 * sr_hosts_t - poller of the platform's host list and its reclaim notices
 *
 * The list is polled and lags behind; notices are received by a long poll and
 * take precedence: a host that a notice announced as leaving stays leaving
 * until it is gone from the list. While the platform does not answer, the
 * last list stays valid.
 */
typedef struct sr_hosts sr_hosts_t;

typedef struct {
	sr_platform_t *platform; /* borrowed */
	sr_clock_t *clock;	 /* borrowed */
	guint64 seed;		 /* for jitter */
	sr_usec_t interval; /* of list polls; 0 for SR_HOSTS_POLL_INTERVAL */
	/* called once for each leaving host, with the time until it is
	 * reclaimed, or 0 if the list announced it before a notice */
	void (*host_leaving)(void *user, const char *host, sr_usec_t time_left);
	/* a host was added to the list or removed from it */
	void (*host_presence_changed)(void *user, const sr_host_t *host,
				      gboolean present);
	void *user;
} sr_hosts_options_t;

#define SR_HOSTS_POLL_INTERVAL (5 * SR_SEC)

/** Timeout of the long poll for notices. */
#define SR_HOSTS_NOTICE_TIMEOUT (30 * SR_SEC)

/** sr_hosts_new - new inactive poller; see sr_hosts_set_active(). */
sr_hosts_t *sr_hosts_new(const sr_hosts_options_t *options);
void sr_hosts_free(sr_hosts_t *hosts);

/**
 * sr_hosts_set_active - start or stop polling the platform
 *
 * With many nodes, only a few in each failure domain are active; the others
 * receive leaving hosts by gossip.
 */
void sr_hosts_set_active(sr_hosts_t *hosts, gboolean active);

/**
 * sr_hosts_is_leaving - whether a host is leaving, by a notice or the list
 *
 * It ends when the host is removed from the list, or, if it was never listed,
 * after some polls.
 */
gboolean sr_hosts_is_leaving(const sr_hosts_t *hosts, const char *name);

#endif
