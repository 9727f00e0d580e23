#ifndef SR_UPSTREAM_ENGINE_ORDERS_H
#define SR_UPSTREAM_ENGINE_ORDERS_H

#include "core/orders.h"
#include "upstream/query.h"

/**
 * sr_engine_orders_t - HTTP transport of orders to model engines
 *
 * sr_orders_t decides which orders to send. This type sends them with POST
 * /orders, reads the loaded versions with GET /orders, and reports the results
 * to sr_orders_t.
 */
typedef struct sr_engine_orders sr_engine_orders_t;

typedef struct {
	sr_queries_t *queries; /* borrowed */
	sr_clock_t *clock;     /* borrowed */
	sr_store_t *store;     /* borrowed */
	const char *key;       /* of the leased object; see core/orders.h */
	const char *owner;     /* node and incarnation; unique over restarts */
	guint64 seed;	       /* of the random number generator */
	sr_usec_t lease; /* its duration; more than twice SR_ORDERS_DELAY_MAX */
} sr_engine_orders_options_t;

/** sr_engine_orders_new - free the result with sr_engine_orders_free(). */
sr_engine_orders_t *
sr_engine_orders_new(const sr_engine_orders_options_t *options);

/**
 * sr_engine_orders_free - free the transport; NULL is allowed
 *
 * The queries must be freed before, since pending ones refer to it.
 */
void sr_engine_orders_free(sr_engine_orders_t *orders);

/** sr_engine_orders_core - the object that decides on orders; borrowed. */
sr_orders_t *sr_engine_orders_core(sr_engine_orders_t *orders);

#endif
