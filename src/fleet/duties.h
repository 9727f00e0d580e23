#ifndef SR_FLEET_DUTIES_H
#define SR_FLEET_DUTIES_H

#include <glib.h>

#include "core/fleet_plan.h"
#include "core/store.h"
#include "core/usage_reports.h"
#include "fleet/fleet.h"

/**
 * sr_duties_t - the duties that one entry host performs for all: reporting the
 * usage to the platform, ordering instances and ending roll-outs
 *
 * The host that holds the lease of an object of the platform performs them,
 * under the epoch of the lease. A host that has just started, or has lost the
 * lease, claims it only after a while, so that the duties don't return to a
 * host at once.
 */
typedef struct sr_duties sr_duties_t;

/** sr_duty_call_t - a call to the platform with a report or an order; valid
 * during the callback. */
typedef struct {
	guint64 epoch;
	const sr_usage_report_t *report; /* or NULL */
	const sr_fleet_order_t *order;	 /* or NULL */
} sr_duty_call_t;

/** sr_duties_options_t - pointers are borrowed for the object's lifetime. */
typedef struct {
	sr_store_t *store;
	sr_fleet_t *fleet_state;
	sr_gateway_t *gateway;
	const char *key;	/* of the leased object */
	sr_usec_t lease;	/* least time until duties return to a host */
	sr_usec_t usage_window; /* as in sr_fleet_options_t */
	sr_usec_t usage_due;	/* time limit for a report after its window */
	gboolean orders_instances;
	sr_clock_t *clock;
	sr_log_t *log;
	guint64 seed; /* of the lease's write ids */
	/* sends a call; its result goes to sr_duties_report_answered() or
	 * sr_duties_order_answered() */
	void (*call)(void *user, const sr_duty_call_t *call);
	void *user;
} sr_duties_options_t;

/** sr_duties_new - start to claim the lease; never NULL. */
sr_duties_t *sr_duties_new(const sr_duties_options_t *options);

/** sr_duties_free - end at once; the lease is not released. */
void sr_duties_free(sr_duties_t *duties);

/** sr_duties_report_answered - the platform has accepted the report of a
 * window, or has not; a report that it has not accepted is sent again. */
void sr_duties_report_answered(sr_duties_t *duties, guint64 window,
			       gboolean accepted);

/** sr_duties_order_answered - the platform has accepted an order, or has not.
 */
void sr_duties_order_answered(sr_duties_t *duties, const char *service,
			      const char *failure_domain, gboolean reclaimable,
			      gboolean accepted);

/** sr_duties_release - planned stop: release the lease, so that another host
 * can claim it at once. */
void sr_duties_release(sr_duties_t *duties);

#endif
