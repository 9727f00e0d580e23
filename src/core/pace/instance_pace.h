#ifndef SR_CORE_PACE_INSTANCE_PACE_H
#define SR_CORE_PACE_INSTANCE_PACE_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_instance_pace_t - how many requests this host may send to an instance that
 * has just started, recovered or become cold
 *
 * While an instance is paced, only a few hosts of its failure domain send to
 * it. Each of them has a window of requests without an answer, which begins at
 * one, grows by one with each answer in time and is halved by a late one or a
 * rejection: the instance gets more as fast as it answers. If the platform
 * bounds the requests of a cold instance, the hosts also divide that bound by
 * token buckets, so that their sum keeps it whatever each of them finds.
 *
 * Embedded in the instance and zero-initialised, which is not paced.
 */

/** sr_pace_bound_t - requests that a cold instance bears in any second, from
 * all hosts together: rate * overage + slack. */
typedef struct {
	double rate; /* requests/s; 0 if the platform names no bound */
	double overage;
	double slack;
} sr_pace_bound_t;

typedef struct {
	gboolean is_paced;
	sr_pace_bound_t bound;
	sr_usec_t until;    /* paced at least as long */
	unsigned n_sharing; /* hosts that divide the bound; 0: not this one */
	double window;	    /* requests that may wait for an answer */
	double tokens;	    /* requests that this host may send, at... */
	sr_usec_t refilled_at;
} sr_instance_pace_t;

/**
 * sr_instance_pace_begin - begin to pace, or go on until a later time
 *
 * This host sends nothing until sr_instance_pace_set_sharing(). Returns TRUE if
 * the instance was not paced before.
 */
gboolean sr_instance_pace_begin(sr_instance_pace_t *pace,
				const sr_pace_bound_t *bound, sr_usec_t until,
				sr_usec_t now);

/** sr_instance_pace_max_hosts - hosts that may send to a paced instance. */
unsigned sr_instance_pace_max_hosts(const sr_pace_bound_t *bound);

/** sr_instance_pace_set_sharing - set the number of hosts that send to the
 * instance; 0 if this host is none of them. */
void sr_instance_pace_set_sharing(sr_instance_pace_t *pace, unsigned n,
				  sr_usec_t now);

/** sr_instance_pace_allows - whether a request may be sent while n_waiting of
 * this host have no answer. */
gboolean sr_instance_pace_allows(const sr_instance_pace_t *pace,
				 unsigned n_waiting, sr_usec_t now);

/** sr_instance_pace_sent - count a request. */
void sr_instance_pace_sent(sr_instance_pace_t *pace, sr_usec_t now);

/** sr_instance_pace_answered - a request had its first output. */
void sr_instance_pace_answered(sr_instance_pace_t *pace, gboolean in_time);

/** sr_instance_pace_rejected - the instance turned a request away. */
void sr_instance_pace_rejected(sr_instance_pace_t *pace);

/**
 * sr_instance_pace_update - end the pace if it is due
 *
 * It is when its time has passed and the window has grown to an even part of
 * the instance's slots. A host that doesn't send to it learns nothing, and ends
 * it a second after its time; so does one that has had nothing to send. Returns
 * TRUE if the pace has ended.
 */
gboolean sr_instance_pace_update(sr_instance_pace_t *pace, unsigned slots,
				 sr_usec_t now);

#endif
