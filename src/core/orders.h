#ifndef SR_CORE_ORDERS_H
#define SR_CORE_ORDERS_H

#include <glib.h>

#include "base/clock.h"
#include "core/config.h"
#include "core/store.h"

/**
 * sr_orders_t - has each model engine load the version that the configuration
 * names for it
 *
 * One entry host at a time gives orders, the holder of a leased object. The
 * fencing number of an order is the lease's epoch followed by the number of
 * the order in that epoch. The payload is the
 * generation that orders were last given for: a holder whose configuration
 * is older gives none, so that orders never go back to an older generation.
 *
 * Orders are declarative: the state of an engine is read, compared with what
 * it should be, and read again after an order, and from time to time. An
 * engine that checks fencing numbers refuses an old holder's order itself.
 * For one that does not, an order is sent only while the lease holds for
 * longer than an order may be on its way, and a new holder first waits that
 * time; an order that was delayed beyond it is undone by the next reading.
 */
typedef struct sr_orders sr_orders_t;

/** Longest time between the decision to send an order and its effect. */
#define SR_ORDERS_FLIGHT (2 * SR_SEC)
/** Time between two readings of an engine whose state is right. */
#define SR_ORDERS_REREAD (10 * SR_SEC)

typedef struct {
	sr_store_t *store; /* borrowed */
	const char *key;   /* of the leased object */
	const char *owner; /* node and incarnation */
	guint64 seed;
	sr_usec_t lease; /* duration; longer than twice the flight time */
	/* read an engine's state; ends in sr_orders_state() */
	void (*read)(void *user, const sr_upstream_config_t *upstream);
	/* order it to load a version; ends in sr_orders_sent() */
	void (*send)(void *user, const sr_upstream_config_t *upstream,
		     guint64 fence, const char *version);
	void *user;
} sr_orders_options_t;

sr_orders_t *sr_orders_new(const sr_orders_options_t *options);
void sr_orders_free(sr_orders_t *orders);

/** sr_orders_set_config - engines of other services are left alone. */
void sr_orders_set_config(sr_orders_t *orders, sr_config_t *config);

/** sr_orders_want - whether this node should hold the lease. */
void sr_orders_want(sr_orders_t *orders, gboolean wanted);

/** sr_orders_tick - run what is due; call at least every 100 ms. */
void sr_orders_tick(sr_orders_t *orders, sr_usec_t now);

/** sr_orders_state - the version an engine has loaded; NULL: no answer. */
void sr_orders_state(sr_orders_t *orders, sr_usec_t now, const char *upstream,
		     const char *version);

/** sr_orders_sent - an order ended; its effect is read, not assumed. */
void sr_orders_sent(sr_orders_t *orders, sr_usec_t now, const char *upstream,
		    guint64 fence);

/** sr_orders_is_holder - whether this node gives the orders. */
gboolean sr_orders_is_holder(const sr_orders_t *orders, sr_usec_t now);

/** sr_orders_n_pending - engines whose state is not known to be right. */
unsigned sr_orders_n_pending(const sr_orders_t *orders);

/** sr_orders_release - let another node take over at once. */
void sr_orders_release(sr_orders_t *orders, sr_usec_t now);

#endif
