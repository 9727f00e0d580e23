#ifndef SR_CORE_FLEET_PLAN_H
#define SR_CORE_FLEET_PLAN_H

#include <glib.h>

#include "base/clock.h"
#include "core/instances.h"
#include "core/route_table.h"

/**
 * sr_fleet_plan_t - decides how many instances of a service to order, in which
 * failure domains and of which kind
 *
 * Reclaimable instances are cheap, but a failure domain may lose all of them
 * at once. The plan orders enough of them to serve the load after the loss of
 * one domain, and a few regular (non-reclaimable) instances. Instances are
 * released in steps, while enough others serve, and only if the load is known.
 */
typedef struct sr_fleet_plan sr_fleet_plan_t;

/** sr_fleet_order_t - the desired number of instances of a kind in a domain;
 * strings are borrowed. */
typedef struct {
	const char *service;
	const char *failure_domain;
	gboolean reclaimable;
	unsigned desired;
} sr_fleet_order_t;

/** sr_fleet_plan_input_t - state of a service; all of it borrowed. */
typedef struct {
	const sr_gateway_service_t *service; /* with scaling */
	const sr_instances_t *instances;
	double work; /* load of prompts, in fully busy instances */
	/* FALSE if the load of too few entry hosts is known; no instances are
	 * released then */
	gboolean is_work_known;
} sr_fleet_plan_input_t;

/** sr_fleet_plan_new - the caller owns the result. */
sr_fleet_plan_t *sr_fleet_plan_new(void);

/** sr_fleet_plan_free - plan may be NULL. */
void sr_fleet_plan_free(sr_fleet_plan_t *plan);

/**
 * sr_fleet_plan_next - the next order to send, if one is due
 *
 * Returns FALSE if there is none. The order is pending until
 * sr_fleet_plan_order_done(). Its strings are valid until the plan or the
 * route table of the service changes.
 */
gboolean sr_fleet_plan_next(sr_fleet_plan_t *plan, sr_usec_t now,
			    const sr_fleet_plan_input_t *input,
			    sr_fleet_order_t *order);

/** sr_fleet_plan_order_done - complete a pending order; accepted is FALSE if
 * it was refused or failed. */
void sr_fleet_plan_order_done(sr_fleet_plan_t *plan, const char *service,
			      const char *failure_domain, gboolean reclaimable,
			      gboolean accepted);

/** sr_fleet_plan_reset_orders - discard the state of all orders, as another
 * host may have sent orders since; the load estimates stay. */
void sr_fleet_plan_reset_orders(sr_fleet_plan_t *plan);

#endif
