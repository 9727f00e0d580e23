#ifndef SR_CORE_REACH_H
#define SR_CORE_REACH_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_reach_t - whether this host reaches the instances of a service
 *
 * The evidence is whether new connections are established: connections from
 * before a cut may live on. An instance that can't be connected to may be at
 * fault itself; if several fail in a row and none is reached in between, the
 * path of this host is taken to be down, until an instance is reached again.
 *
 * Zero-initialised; without I/O.
 */

/** Instances that must fail in a row, or all if there are fewer. */
#define SR_REACH_FAILURES 3

/** Age at which a failure no longer counts. */
#define SR_REACH_FAILURE_AGE_MAX (5 * SR_SEC)

typedef enum {
	SR_REACH_UNKNOWN, /* no connection has been tried yet */
	SR_REACH_REACHED,
	SR_REACH_LOST,
} sr_reach_state_t;

/** sr_reach_failure_t - how an instance could not be reached. */
typedef enum {
	SR_REACH_REFUSED,   /* the connection was refused or reset */
	SR_REACH_TIMED_OUT, /* no reply to the connection attempt */
	SR_REACH_SILENT,    /* an open connection timed out */
} sr_reach_failure_t;

typedef struct {
	guint32 instance; /* id; 0 for an unused element */
	sr_reach_failure_t how;
	sr_usec_t at;
} sr_reach_failed_t;

typedef struct {
	sr_reach_state_t state;
	sr_usec_t changed_at;
	/* the latest failure of each instance since one was reached */
	sr_reach_failed_t failed[SR_REACH_FAILURES];
} sr_reach_t;

/** sr_reach_succeeded - a new connection was established; returns TRUE if the
 * state changed. */
gboolean sr_reach_succeeded(sr_reach_t *reach, sr_usec_t now);

/** sr_reach_failed - an instance could not be reached; n_present is the number
 * of instances that the service has. Returns TRUE if the state changed. */
gboolean sr_reach_failed(sr_reach_t *reach, sr_usec_t now, guint32 instance,
			 sr_reach_failure_t how, unsigned n_present);

/** sr_reach_failure_name - for the log; a static string. */
const char *sr_reach_failure_name(sr_reach_failure_t how);

#endif
