#ifndef SR_FLEET_ROLLOUTS_H
#define SR_FLEET_ROLLOUTS_H

#include <glib.h>

#include "base/log.h"
#include "core/load_sum.h"
#include "core/version_trial.h"
#include "gateway/gateway.h"

/**
 * sr_rollouts_t - the orders to move services to new versions, as the entry
 * hosts carry them out together
 *
 * An order comes from the platform or, for a host that the platform doesn't
 * reach, from peers. Each host divides its own requests by the trial of the new
 * version. The outcomes of all hosts are summed up in the exchange of load.
 * What ends an order spreads as a rumour, and the holder of the duties writes
 * it to the platform; a roll-back needs neither.
 */
typedef struct sr_rollouts sr_rollouts_t;

/** sr_rollout_status_t - status of an order at the platform. */
typedef enum {
	SR_ROLLOUT_STATUS_NONE,
	SR_ROLLOUT_STATUS_IN_PROGRESS,
	SR_ROLLOUT_STATUS_COMPLETED,
	SR_ROLLOUT_STATUS_ROLLED_BACK,
} sr_rollout_status_t;

/** sr_rollout_order_t - an order and its status; strings are borrowed. */
typedef struct {
	const char *service;
	const char *target;	    /* version that is to get all requests */
	sr_usec_t duration;	    /* time limit, from the order on */
	sr_rollout_status_t status; /* for this target */
	guint64 revision;	    /* of the order's object */
} sr_rollout_order_t;

/** sr_rollouts_options_t - pointers are borrowed for the lifetime. */
typedef struct {
	const char *node;
	sr_version_exposure_t exposure;
	sr_clock_t *clock;
	sr_log_t *log;
	sr_gateway_t *gateway;
	guint64 seed; /* of the random choices */
	/* live entry hosts */
	unsigned (*host_count)(void *user);
	/* the load and the outcomes of the hosts that are known; is_known is
	 * FALSE if they are too few */
	const sr_load_sum_t *(*load_total)(void *user, gboolean *is_known);
	/* gossips a value; of two values of a key the higher version wins */
	void (*publish)(void *user, const char *key, guint64 version,
			const char *value);
	/* writes the status of an order if its object has the revision */
	void (*write_status)(void *user, const sr_rollout_order_t *order);
	void *user;
} sr_rollouts_options_t;

sr_rollouts_t *sr_rollouts_new(const sr_rollouts_options_t *options);
void sr_rollouts_free(sr_rollouts_t *rollouts);

/** sr_rollouts_set_order - apply an order that the platform has sent. */
void sr_rollouts_set_order(sr_rollouts_t *rollouts,
			   const sr_rollout_order_t *order);

/** sr_rollouts_remove_order - the platform no longer has a service's order. */
void sr_rollouts_remove_order(sr_rollouts_t *rollouts, const char *service);

/** sr_rollouts_receive - apply a rumour of another host; value need not be
 * NUL-terminated. A malformed one is ignored. */
void sr_rollouts_receive(sr_rollouts_t *rollouts, const char *key,
			 guint64 version, const guint8 *value, gsize size);

/** First word of a line of sr_rollouts_save(). */
#define SR_ROLLOUTS_SAVED_WORD "rollout"

/** sr_rollouts_save - append a line for each order, for hosts that start when
 * no other host is left that knows them. */
void sr_rollouts_save(const sr_rollouts_t *rollouts, GString *out);

/** sr_rollouts_restore - apply the words of a saved line; others are ignored.
 */
void sr_rollouts_restore(sr_rollouts_t *rollouts, char **words);

/** sr_rollouts_observe - an attempt at an instance has ended. */
void sr_rollouts_observe(sr_rollouts_t *rollouts,
			 const sr_observation_t *observation);

/** sr_rollouts_add_evidence - add this host's outcomes at services that are
 * being moved to a sum. */
void sr_rollouts_add_evidence(const sr_rollouts_t *rollouts,
			      sr_load_sum_t *sum);

/** sr_rollouts_tick - analyse the evidence; run about twice a second. */
void sr_rollouts_tick(sr_rollouts_t *rollouts);

/** sr_rollouts_perform - end orders and write their status; run by the holder
 * of the duties, some times a second. */
void sr_rollouts_perform(sr_rollouts_t *rollouts);

/** sr_rollouts_blocks_orders - whether the number of a service's instances must
 * stay: two versions of them are there. */
gboolean sr_rollouts_blocks_orders(const sr_rollouts_t *rollouts,
				   const char *service);

#endif
