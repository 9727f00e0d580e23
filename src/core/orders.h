#ifndef SR_CORE_ORDERS_H
#define SR_CORE_ORDERS_H

#include <glib.h>

#include "base/clock.h"
#include "core/config.h"
#include "core/store.h"

/**
 * sr_orders_t - orders each model engine to load its configured version
 *
 * One entry host at a time sends orders: the holder of a lease. The fencing
 * token of an order is the epoch of the lease followed by a serial number
 * within that epoch. The payload of the leased object is the generation of the
 * configuration that orders were last sent for. A holder with an older
 * configuration sends none, so that orders never return to an older generation.
 *
 * Orders are declarative: the state of an engine is read and compared with the
 * configuration, then read again after each order and at an interval. An
 * engine that checks fencing tokens rejects the orders of a former holder. For
 * other engines an order is sent only if the lease stays valid for the longest
 * delay of an order, and a new holder first waits for that time; the effect of
 * an order that was delayed for longer is corrected after the next read.
 */
typedef struct sr_orders sr_orders_t;

/** Longest delay between the decision to send an order and its effect. */
#define SR_ORDERS_DELAY_MAX (2 * SR_SEC)
/** Time between two reads of an engine that has the configured version. */
#define SR_ORDERS_REREAD_INTERVAL (10 * SR_SEC)

/** sr_orders_options_t - copied by sr_orders_new(), strings included. */
typedef struct {
	sr_store_t *store; /* borrowed */
	const char *key;   /* of the leased object */
	const char *owner; /* node and incarnation; unique over restarts */
	guint64 seed;
	sr_usec_t lease; /* its duration; more than twice SR_ORDERS_DELAY_MAX */
	/* read an engine's state; completes with sr_orders_report_state() */
	void (*read)(void *user, const sr_upstream_config_t *upstream);
	/* order an engine to load a version; completes with
	 * sr_orders_report_done(), or not at all if the order may still be in
	 * flight */
	void (*send)(void *user, const sr_upstream_config_t *upstream,
		     guint64 fence, const char *version);
	void *user;
} sr_orders_options_t;

/** sr_orders_new - copy the options; needs a configuration to send orders. */
sr_orders_t *sr_orders_new(const sr_orders_options_t *options);

/** sr_orders_free - the lease is not released, but expires. */
void sr_orders_free(sr_orders_t *orders);

/**
 * sr_orders_set_config - set the versions that engines should load
 *
 * Takes a reference. The generation must not decrease. Only upstreams of
 * services of kind SR_SERVICE_MODEL get orders.
 */
void sr_orders_set_config(sr_orders_t *orders, sr_config_t *config);

/** sr_orders_set_wanted - whether this node should hold the lease. */
void sr_orders_set_wanted(sr_orders_t *orders, gboolean wanted);

/** sr_orders_tick - send due reads and orders; run at least every 100 ms. */
void sr_orders_tick(sr_orders_t *orders, sr_usec_t now);

/**
 * sr_orders_report_state - report the version that an engine has loaded
 *
 * NULL if the read failed; it is then retried.
 */
void sr_orders_report_state(sr_orders_t *orders, sr_usec_t now,
			    const char *upstream, const char *version);

/**
 * sr_orders_report_done - report the end of an order, successful or not
 *
 * The engine's state is read next, to find the effect.
 */
void sr_orders_report_done(sr_orders_t *orders, sr_usec_t now,
			   const char *upstream, guint64 fence);

/** sr_orders_is_holder - whether this node holds the lease. */
gboolean sr_orders_is_holder(const sr_orders_t *orders, sr_usec_t now);

/** sr_orders_n_pending - number of engines without a confirmed version. */
unsigned sr_orders_n_pending(const sr_orders_t *orders);

/** sr_orders_release - release the lease so that another node can claim it. */
void sr_orders_release(sr_orders_t *orders, sr_usec_t now);

#endif
