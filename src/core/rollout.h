#ifndef SR_CORE_ROLLOUT_H
#define SR_CORE_ROLLOUT_H

#include <glib.h>

#include "base/clock.h"
#include "core/evidence.h"
#include "core/store.h"

/**
 * sr_rollout_t - moves the traffic of a service from one version to another
 *
 * The new version's share doubles step by step so that it reaches its target
 * shortly before it is due, as long as every route has gathered evidence and
 * none looks suspect. Steps are taken by the holder of the lease on the
 * platform object "rollout/SERVICE/VERSION", whose conditional write is the
 * fence; the step's number only grows. Every node judges the version by
 * itself, at every step and through the soak, and takes it back without
 * asking anybody.
 */
typedef struct sr_rollout sr_rollout_t;

typedef enum {
	SR_ROLLOUT_MOVING,
	SR_ROLLOUT_SOAKING,  /* has its share; the old version stays ready */
	SR_ROLLOUT_FINISHED, /* the old version may go */
	SR_ROLLOUT_TAKEN_BACK,
} sr_rollout_state_t;

/** sr_rollout_step_t - what the platform keeps and the nodes spread. */
typedef struct {
	guint64 number;
	double share; /* of the new version */
	sr_rollout_state_t state;
} sr_rollout_step_t;

typedef struct {
	const char *service;
	const char *old_version;
	const char *new_version;
	double target;	 /* share, 0 to 1 */
	sr_usec_t start; /* when the move began */
	sr_usec_t due;	 /* when the target is to be reached */
	sr_usec_t soak;
	const char *const *routes; /* ended by NULL */
	sr_evidence_t *evidence;   /* borrowed */
	sr_store_t *store;	   /* borrowed */
	const char *owner;	   /* of the lease: node and incarnation */
	guint64 seed;
	/* the share to give; the rest is the old version's */
	void (*set_share)(void *user, const char *service, const char *version,
			  double share);
	/* the version is bad: recall it */
	void (*recall)(void *user, const char *service, const char *version,
		       const char *reason);
	/* a step was taken by this node: spread it */
	void (*stepped)(void *user, const sr_rollout_step_t *step);
	void *user;
} sr_rollout_options_t;

sr_rollout_t *sr_rollout_new(const sr_rollout_options_t *options);
void sr_rollout_free(sr_rollout_t *rollout);

/** sr_rollout_want - claim the lease, or leave steps to other nodes. */
void sr_rollout_want(sr_rollout_t *rollout, gboolean wanted);

/** sr_rollout_tick - judge, and take a step if one is due; every second. */
void sr_rollout_tick(sr_rollout_t *rollout, sr_usec_t now);

/** sr_rollout_heard - a step of another node; an old one changes nothing. */
void sr_rollout_heard(sr_rollout_t *rollout, const sr_rollout_step_t *step);

/** sr_rollout_taken_back - the version was recalled, here or elsewhere. */
void sr_rollout_taken_back(sr_rollout_t *rollout, const char *reason);

const sr_rollout_step_t *sr_rollout_step(const sr_rollout_t *rollout);

/** sr_rollout_reason - why it was taken back, for operators; "" if not. */
const char *sr_rollout_reason(const sr_rollout_t *rollout);

#endif
