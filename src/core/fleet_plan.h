#ifndef SR_CORE_FLEET_PLAN_H
#define SR_CORE_FLEET_PLAN_H

#include <glib.h>

#include "base/clock.h"
#include "core/instances.h"
#include "core/route_table.h"

/**
 * sr_fleet_plan_t - how many instances of a service to order, where, and of
 * which kind
 *
 * Reclaimable instances are cheap and leave a failure domain all at once, so
 * that there are enough of them to bear the loss of one domain, and a few
 * others beside. The usual ones are given back only when those that replace
 * them are seen to serve.
 */
typedef struct sr_fleet_plan sr_fleet_plan_t;

/** sr_fleet_order_t - a number of instances; strings are borrowed. */
typedef struct {
	const char *service;
	const char *failure_domain;
	gboolean reclaimable;
	unsigned desired;
} sr_fleet_order_t;

/** What the plan is made from. */
typedef struct {
	const sr_gateway_service_t *service; /* with scaling */
	const sr_instances_t *instances;
	double work; /* of engines, in busy instances */
} sr_fleet_facts_t;

sr_fleet_plan_t *sr_fleet_plan_new(void);
void sr_fleet_plan_free(sr_fleet_plan_t *plan);

/**
 * sr_fleet_plan_next - the next order to give, if one is due
 *
 * It counts as given until sr_fleet_plan_answered(). Strings are valid until
 * the plan or the table of the facts changes.
 */
gboolean sr_fleet_plan_next(sr_fleet_plan_t *plan, sr_usec_t now,
			    const sr_fleet_facts_t *facts,
			    sr_fleet_order_t *order);

/** sr_fleet_plan_answered - the order was taken, or there were none. */
void sr_fleet_plan_answered(sr_fleet_plan_t *plan, const char *service,
			    const char *failure_domain, gboolean reclaimable,
			    gboolean taken);

/** sr_fleet_plan_forget - another host may have ordered meanwhile. */
void sr_fleet_plan_forget(sr_fleet_plan_t *plan);

#endif
