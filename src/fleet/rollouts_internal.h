#ifndef SR_FLEET_ROLLOUTS_INTERNAL_H
#define SR_FLEET_ROLLOUTS_INTERNAL_H

#include <string.h>

#include "fleet/rollouts.h"

/** Shared by the source files of sr_rollouts_t only. */

/** rollout_t - the latest order of a service. */
typedef struct {
	char *service;
	char *target;
	sr_usec_t duration;
	gint64 start_unix_ms; /* earliest that a host has known of the order */
	guint64 revision;     /* of its object; 0 before the platform sent it */
	sr_rollout_status_t stored;
	sr_version_trial_t *trial;
	double share;	    /* as logged last */
	sr_usec_t write_at; /* no status is written before */
} rollout_t;

struct sr_rollouts {
	sr_rollouts_options_t options;
	sr_evidence_t *evidence; /* of this host */
	GHashTable *orders;	 /* service -> rollout_t */
	GRand *random;
};

static inline sr_usec_t sr_rollouts_now(const sr_rollouts_t *rollouts)
{
	return sr_clock_now(rollouts->options.clock);
}

/** sr_rollouts_find - the latest order of the service if it has this target,
 * else NULL; borrowed. */
static inline rollout_t *sr_rollouts_find(const sr_rollouts_t *rollouts,
					  const char *service,
					  const char *target)
{
	rollout_t *rollout = g_hash_table_lookup(rollouts->orders, service);

	return rollout && !strcmp(rollout->target, target) ? rollout : NULL;
}

/* rollout_evidence.c: outcomes by version and route, summed over hosts */

/** sr_rollouts_new_evidence - counters of this host's attempts; the caller
 * frees them. */
sr_evidence_t *sr_rollouts_new_evidence(sr_rollouts_t *rollouts);

/** sr_rollouts_analyse - let the trial of an order analyse the latest evidence
 * of all hosts that are known; may roll it back. */
void sr_rollouts_analyse(const sr_rollouts_t *rollouts, rollout_t *rollout);

/** sr_rollouts_fleet_state - what the known hosts do with an order. */
sr_version_trial_fleet_t sr_rollouts_fleet_state(const sr_rollouts_t *rollouts,
						 const rollout_t *rollout);

#endif
