#ifndef SR_CORE_ALLOWANCE_H
#define SR_CORE_ALLOWANCE_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_allowance_t - rate limits of client accounts over all entry hosts
 *
 * Each host has a bucket for its share of an account's rate. A part of the
 * rate is shared evenly, the rest by what each host was asked for of late, so
 * that a sudden rise at all hosts together stays within the limit without a
 * message. What a host was asked for is a counter that only grows. A host
 * that is silent, or was not heard of for long, counts as asked for at least
 * as much as this one, so that parts of the fleet that are cut off from each
 * other stay within the limit together.
 */
typedef struct sr_allowance sr_allowance_t;

/**
 * With a pool, each host keeps a part of its share and the rest lies at one
 * host for each account, which is asked by those whose share is used up. It
 * gives out as much of the pool as it hears of the hosts, so that parts of
 * the fleet that are cut off from each other have no more than one pool.
 */

/** A host that was not heard of for this long counts as silent. */
#define SR_ALLOWANCE_SILENCE (3 * SR_SEC)

/** A host that was silent for this long is taken to be gone. */
#define SR_ALLOWANCE_FORGET (30 * SR_SEC)

sr_allowance_t *sr_allowance_new(void);
void sr_allowance_free(sr_allowance_t *allowance);

/** sr_allowance_set_hosts - how many entry hosts there are, this too. */
void sr_allowance_set_hosts(sr_allowance_t *allowance, unsigned n);

/** sr_allowance_tolerance_t - by how much the sum over all hosts may be above
 * a limit: (rate x window + burst) x (1 + overage) + slack in any window. */
typedef struct {
	sr_usec_t window;
	double overage;
	double slack;
} sr_allowance_tolerance_t;

/**
 * sr_allowance_set_tolerance - use a part of it, so that a host's share is
 * not too small for the requests that happen to come to it
 */
void sr_allowance_set_tolerance(sr_allowance_t *allowance,
				const sr_allowance_tolerance_t *tolerance);

/** sr_allowance_set_limit - rate 0 lifts it. */
void sr_allowance_set_limit(sr_allowance_t *allowance, sr_usec_t now,
			    const char *account, double rate_per_s,
			    double burst);

/**
 * sr_allowance_take - use up an amount
 *
 * Returns 0, or if this host's share is used up how long the account has to
 * wait until it is not.
 */
sr_usec_t sr_allowance_take(sr_allowance_t *allowance, sr_usec_t now,
			    const char *account, double amount);

/** sr_allowance_give_back - a request that was taken did not run. */
void sr_allowance_give_back(sr_allowance_t *allowance, const char *account,
			    double amount);

/** sr_allowance_use_pool - leave a part of every limit to its pool. */
void sr_allowance_use_pool(sr_allowance_t *allowance);

/** sr_allowance_set_pool_part - of the hosts this one hears of, 0 to 1. */
void sr_allowance_set_pool_part(sr_allowance_t *allowance, double part);

/** sr_allowance_start_pool - the pool of an account lies here from now on; it
 * begins empty, as what its last keeper gave out is not known. */
void sr_allowance_start_pool(sr_allowance_t *allowance, sr_usec_t now,
			     const char *account);

/** sr_allowance_take_pooled - like sr_allowance_take(), from the pool that
 * lies here. */
sr_usec_t sr_allowance_take_pooled(sr_allowance_t *allowance, sr_usec_t now,
				   const char *account, double amount);

/** sr_allowance_share - this host's part of the account's rate, 0 to 1. */
double sr_allowance_share(sr_allowance_t *allowance, sr_usec_t now,
			  const char *account);

/**
 * sr_allowance_foreach - what this host was asked for, by account, to be told
 *
 * To be called about once a second. Shares are made from what was told by
 * the call before, as the others have not heard of the latest one yet.
 */
void sr_allowance_foreach(sr_allowance_t *allowance, sr_usec_t now,
			  void (*fn)(void *user, const char *account,
				     double asked),
			  void *user);

/** sr_allowance_heard - another host's counter for an account. */
void sr_allowance_heard(sr_allowance_t *allowance, sr_usec_t now,
			const char *node, const char *account, double asked);

/** sr_allowance_left - another host has ended in order. */
void sr_allowance_left(sr_allowance_t *allowance, const char *node);

#endif
