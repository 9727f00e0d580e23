#ifndef SR_FLEET_DUTIES_H
#define SR_FLEET_DUTIES_H

#include <glib.h>

#include "core/fleet_plan.h"
#include "core/store.h"
#include "core/usage_reports.h"
#include "fleet/beliefs.h"

/**
 * sr_duties_t - what one entry host does for all of them: report the usage
 * and order instances
 *
 * The holder of a leased object of the platform does it, under the lease's
 * epoch. A host that has just started, or has given the lease away, claims it
 * only after a while, so that the duties don't return to a host at once.
 */
typedef struct sr_duties sr_duties_t;

/** sr_duty_call_t - one call to the platform; borrowed by the callback. */
typedef struct {
	guint64 epoch;
	const sr_usage_report_t *report; /* or NULL */
	const sr_fleet_order_t *order;	 /* or NULL */
} sr_duty_call_t;

typedef struct {
	sr_store_t *store; /* borrowed */
	sr_beliefs_t *beliefs;
	sr_gateway_t *gateway;
	const char *key; /* of the leased object */
	sr_usec_t lease;
	sr_usec_t usage_window; /* 0: no usage is reported */
	sr_usec_t usage_due;
	gboolean orders_instances;
	sr_clock_t *clock;
	sr_log_t *log;
	guint64 seed;
	/* send it; ends in sr_duties_reported() or sr_duties_ordered() */
	void (*call)(void *user, const sr_duty_call_t *call);
	void *user;
} sr_duties_options_t;

sr_duties_t *sr_duties_new(const sr_duties_options_t *options);
void sr_duties_free(sr_duties_t *duties);

/** sr_duties_reported - the report of a window was taken, or was not. */
void sr_duties_reported(sr_duties_t *duties, guint64 window, gboolean taken);

/** sr_duties_ordered - an order was taken, or was not. */
void sr_duties_ordered(sr_duties_t *duties, const char *service,
		       const char *failure_domain, gboolean reclaimable,
		       gboolean taken);

/** sr_duties_release - planned stop: leave them to another host. */
void sr_duties_release(sr_duties_t *duties);

#endif
