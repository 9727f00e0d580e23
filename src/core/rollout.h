#ifndef SR_CORE_ROLLOUT_H
#define SR_CORE_ROLLOUT_H

#include <glib.h>

#include "base/clock.h"
#include "core/evidence.h"
#include "core/store.h"

/**
 * sr_rollout_t - shifts the traffic of a service from one version to another
 *
 * The share of the new version doubles with each step and reaches its target
 * shortly before the due time. A step waits, for a limited time, until every
 * route has served enough requests. No step is taken while the new version is
 * suspected of a fault on any route.
 *
 * Steps are taken by the holder of the lease on the platform object
 * "rollout/SERVICE/VERSION"; the conditional write of that object is the fence,
 * and step numbers only grow. Every node analyses the version on its own, until
 * the end of the soak, and rolls it back without coordination.
 */
typedef struct sr_rollout sr_rollout_t;

/** sr_rollout_state_t - phase of a rollout; the values are stored. */
typedef enum {
	SR_ROLLOUT_MOVING,   /* the share grows with each step */
	SR_ROLLOUT_SOAKING,  /* target reached; the old version stays ready */
	SR_ROLLOUT_FINISHED, /* the old version may be removed */
	SR_ROLLOUT_ROLLED_BACK,
} sr_rollout_state_t;

/** sr_rollout_step_t - stored on the platform and gossiped between nodes. */
typedef struct {
	guint64 number;
	double share; /* of the new version, 0 to 1 */
	sr_rollout_state_t state;
} sr_rollout_step_t;

/** sr_rollout_options_t - copied by sr_rollout_new(), strings included. */
typedef struct {
	const char *service;
	const char *old_version;
	const char *new_version;
	double target;		   /* share, 0 to 1 */
	sr_usec_t start;	   /* of the rollout */
	sr_usec_t due;		   /* when the target must be reached */
	sr_usec_t soak;		   /* duration of the soak */
	const char *const *routes; /* names, NULL-terminated; copied */
	sr_evidence_t *evidence;   /* borrowed */
	sr_store_t *store;	   /* borrowed */
	const char *owner; /* node and incarnation; unique over restarts */
	guint64 seed;
	/* set a version's share of the traffic; called for both versions */
	void (*set_share)(void *user, const char *service, const char *version,
			  double share);
	/* the version is faulty; the caller has to recall it */
	void (*recall)(void *user, const char *service, const char *version,
		       const char *reason);
	/* this node took a step; the caller has to publish it */
	void (*step_written)(void *user, const sr_rollout_step_t *step);
	void *user;
} sr_rollout_options_t;

/** sr_rollout_new - copy the options; sets no share before the first step. */
sr_rollout_t *sr_rollout_new(const sr_rollout_options_t *options);

/** sr_rollout_free - the lease is not released, but expires. */
void sr_rollout_free(sr_rollout_t *rollout);

/** sr_rollout_set_wanted - whether this node should hold the lease. */
void sr_rollout_set_wanted(sr_rollout_t *rollout, gboolean wanted);

/** sr_rollout_tick - analyse, and take a step if one is due; run every second.
 */
void sr_rollout_tick(sr_rollout_t *rollout, sr_usec_t now);

/** sr_rollout_receive - apply another node's step; old ones are ignored. */
void sr_rollout_receive(sr_rollout_t *rollout, const sr_rollout_step_t *step);

/** sr_rollout_roll_back - set the share of the new version to 0 for good; needs
 * no lease, so that any node can do it at once. */
void sr_rollout_roll_back(sr_rollout_t *rollout, const char *reason);

/** sr_rollout_step - the current step; borrowed. */
const sr_rollout_step_t *sr_rollout_step(const sr_rollout_t *rollout);

/** sr_rollout_reason - reason of the rollback, for operators; "" if none. */
const char *sr_rollout_reason(const sr_rollout_t *rollout);

#endif
