#ifndef SR_UPSTREAM_ENGINE_ORDERS_H
#define SR_UPSTREAM_ENGINE_ORDERS_H

#include "core/orders.h"
#include "upstream/query.h"

/**
 * sr_engine_orders_t - carries the orders that sr_orders_t decides on to the
 * model engines, and their states back
 */
typedef struct sr_engine_orders sr_engine_orders_t;

typedef struct {
	sr_queries_t *queries; /* borrowed */
	sr_clock_t *clock;     /* borrowed */
	sr_store_t *store;     /* borrowed */
	const char *key;       /* of the leased object */
	const char *owner;     /* node and incarnation */
	guint64 seed;
	sr_usec_t lease;
} sr_engine_orders_options_t;

sr_engine_orders_t *
sr_engine_orders_new(const sr_engine_orders_options_t *options);

/** sr_engine_orders_free - the queries must have been freed before. */
void sr_engine_orders_free(sr_engine_orders_t *orders);

/** sr_engine_orders_core - what decides; borrowed. */
sr_orders_t *sr_engine_orders_core(sr_engine_orders_t *orders);

#endif
