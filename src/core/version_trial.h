#ifndef SR_CORE_VERSION_TRIAL_H
#define SR_CORE_VERSION_TRIAL_H

#include <glib.h>

#include "base/clock.h"
#include "core/evidence.h"

/**
 * sr_version_trial_t - the move of a service to a new version, on one entry
 * host of a gateway
 *
 * The order has a time limit. Until shortly before it the new version gets a
 * small part of the requests, as evidence; then half of them, then all, so that
 * the requests at old instances end before these are stopped. A larger part is
 * given only while the evidence of enough hosts is recent, sufficient and
 * without suspicion; otherwise the part is the smallest one.
 *
 * Each host counts what it sends, so that the sum over hosts keeps the bound on
 * the requests that a faulty version may get. Every host analyses the evidence
 * for itself and rolls the version back without coordination.
 */
typedef struct sr_version_trial sr_version_trial_t;

/** sr_version_trial_phase_t - the values are gossiped. */
typedef enum {
	SR_VERSION_TRIAL_MOVING,
	SR_VERSION_TRIAL_COMPLETED,
	SR_VERSION_TRIAL_ROLLED_BACK, /* for good */
} sr_version_trial_phase_t;

/** sr_version_exposure_t - bound on the requests of a faulty version, over all
 * hosts and the time of the order. */
typedef struct {
	double share; /* part of the service's requests */
	double slack; /* requests on top */
} sr_version_exposure_t;

/** sr_version_trial_options_t - strings are copied. */
typedef struct {
	const char *service;
	const char *target; /* the new version */
	sr_usec_t started_at;
	sr_usec_t now;
	sr_usec_t duration; /* from started_at to the time limit */
	sr_version_exposure_t exposure;
	unsigned n_hosts; /* that divide the slack */
	double jitter;	  /* random, 0 to 1 */
} sr_version_trial_options_t;

/** sr_version_route_evidence_t - counters of a route over all known hosts. */
typedef struct {
	const char *route;
	sr_evidence_counters_t old_version;
	sr_evidence_counters_t new_version;
} sr_version_route_evidence_t;

sr_version_trial_t *
sr_version_trial_new(const sr_version_trial_options_t *options);

/** sr_version_trial_free - trial may be NULL. */
void sr_version_trial_free(sr_version_trial_t *trial);

const char *sr_version_trial_target(const sr_version_trial_t *trial);
sr_version_trial_phase_t
sr_version_trial_phase(const sr_version_trial_t *trial);

/** sr_version_trial_reason - of the roll-back, for operators; "" if none. */
const char *sr_version_trial_reason(const sr_version_trial_t *trial);

/** sr_version_trial_started_earlier - the order is known to have begun earlier;
 * its slack counts as used if that was long before. */
void sr_version_trial_started_earlier(sr_version_trial_t *trial,
				      sr_usec_t started_at);

/** sr_version_trial_complete - all hosts use the new version from now on, also
 * after a roll-back: the old instances are stopped. */
void sr_version_trial_complete(sr_version_trial_t *trial);

/** sr_version_trial_roll_back - the new version gets no request any more. */
void sr_version_trial_roll_back(sr_version_trial_t *trial, const char *reason);

/** sr_version_trial_set_response_time - average time of a whole response, from
 * which the time to move all requests before the time limit follows. */
void sr_version_trial_set_response_time(sr_version_trial_t *trial,
					sr_usec_t time);

/** sr_version_trial_share - part of the requests for the new version, 0 to 1.
 */
double sr_version_trial_share(const sr_version_trial_t *trial, sr_usec_t now);

/**
 * sr_version_trial_picks_new - whether a request goes to the new version
 *
 * first is TRUE for the first attempt of a request, which earns the new version
 * its part. What is sent has to be counted by sr_version_trial_sent().
 */
gboolean sr_version_trial_picks_new(sr_version_trial_t *trial, sr_usec_t now,
				    gboolean first);

/** sr_version_trial_sent - a request was sent to an instance of a version. */
void sr_version_trial_sent(sr_version_trial_t *trial, const char *version);

/**
 * sr_version_trial_max_instances - instances that a small part is sent to
 *
 * They are so few that each comes near the load of the old ones, as some faults
 * show under load only. 0 for no limit.
 */
unsigned sr_version_trial_max_instances(const sr_version_trial_t *trial,
					sr_usec_t now, unsigned n_instances);

/**
 * sr_version_trial_evaluate - analyse the evidence; run about twice a second
 *
 * routes is an array of sr_version_route_evidence_t. is_known is FALSE if the
 * evidence of too few hosts is included. May roll the version back.
 */
void sr_version_trial_evaluate(sr_version_trial_t *trial, sr_usec_t now,
			       const GArray *routes, gboolean is_known);

/** sr_version_trial_decision_t - what the holder of the duties has to do. */
typedef enum {
	SR_VERSION_TRIAL_WAIT,
	SR_VERSION_TRIAL_FINISH,  /* complete it: all requests have moved */
	SR_VERSION_TRIAL_GIVE_UP, /* roll it back: it is not proved in time */
} sr_version_trial_decision_t;

/** sr_version_trial_is_full - whether this host gives the new version all of
 * its requests and the order hasn't ended. */
gboolean sr_version_trial_is_full(const sr_version_trial_t *trial,
				  sr_usec_t now);

/** sr_version_trial_fleet_t - what the holder of the duties knows of the hosts
 * that it can reach. */
typedef struct {
	gboolean all_are_full; /* see sr_version_trial_is_full() */
	double old_in_flight;  /* unfinished requests at old instances; negative
				* if they are not known */
} sr_version_trial_fleet_t;

sr_version_trial_decision_t
sr_version_trial_decide(const sr_version_trial_t *trial, sr_usec_t now,
			const sr_version_trial_fleet_t *fleet);

#endif
