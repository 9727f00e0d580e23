#ifndef SR_CORE_ALLOWANCE_H
#define SR_CORE_ALLOWANCE_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_allowance_t - distributed rate limiter for client accounts
 *
 * Each entry host runs a token bucket per account for its share of the
 * account's rate. A fixed fraction of the rate is divided evenly between the
 * hosts and the rest in proportion to their recent demand, so that a sudden
 * rise at all hosts together stays within the limit before any message is
 * exchanged.
 *
 * Hosts publish their demand as a monotonic counter. A host whose counter is
 * missing or stale is assumed to have at least the demand of this host, so
 * that the sides of a network partition stay within the limit together.
 *
 * With pools enabled, each host keeps only a fraction of its share, which falls
 * with the number of hosts: the share of one among many is smaller than a
 * request. The rest is divided between SR_ALLOWANCE_POOLS pools per account,
 * each held by one host; hosts whose share is used up request from them. A pool
 * grants its part of what the tolerance allows in a window at any time within
 * it. A
 * holder grants the fraction of its pool that corresponds to the fraction of
 * hosts it can reach, so that the sides of a partition have no more than one
 * pool between them.
 *
 * Rates, bursts and amounts are in the units that the limit of the account
 * counts (requests or tokens). Strings are copied.
 */
typedef struct sr_allowance sr_allowance_t;

/** Pools of an account, held by hosts of different failure domains. */
#define SR_ALLOWANCE_POOLS 2

/** Parts of a window, by which grants of pools are summed up. */
#define SR_ALLOWANCE_PARTS 4

/** sr_allowance_use_t - what a pool granted in the last window, by parts of it,
 * the latest first. */
typedef struct {
	double granted[SR_ALLOWANCE_PARTS];
} sr_allowance_use_t;

/** Age from which the counter of another host counts as stale. */
#define SR_ALLOWANCE_STALE_AFTER (3 * SR_SEC)

/** Age from which the counter of another host is dropped. */
#define SR_ALLOWANCE_EXPIRE_AFTER (30 * SR_SEC)

/** sr_allowance_new - create a limiter for one host, without a tolerance; the
 * caller owns it. */
sr_allowance_t *sr_allowance_new(void);

/** sr_allowance_free - allowance may be NULL. */
void sr_allowance_free(sr_allowance_t *allowance);

/** sr_allowance_set_host_count - number of entry hosts, this one included. */
void sr_allowance_set_host_count(sr_allowance_t *allowance, unsigned n);

/**
 * sr_allowance_tolerance_t - by how much all hosts together may exceed a limit
 *
 * In any window they may admit up to
 * (rate x window + burst) x (1 + overage) + slack.
 */
typedef struct {
	sr_usec_t window;
	double overage; /* ratio */
	double slack;	/* in units of the limit */
} sr_allowance_tolerance_t;

/**
 * sr_allowance_set_tolerance - set the tolerance for limits set from now on
 *
 * Part of the slack is added to the limits, so that the share of one host is
 * not too small for the requests that happen to reach it.
 */
void sr_allowance_set_tolerance(sr_allowance_t *allowance,
				const sr_allowance_tolerance_t *tolerance);

/** sr_allowance_set_limit - a rate of 0 removes the limit. */
void sr_allowance_set_limit(sr_allowance_t *allowance, sr_usec_t now,
			    const char *account, double rate_per_s,
			    double burst);

/**
 * sr_allowance_take - take an amount from this host's share
 *
 * The amount counts as demand even if it is refused. Returns 0 if it was
 * taken, or else the time until the share is available again.
 */
sr_usec_t sr_allowance_take(sr_allowance_t *allowance, sr_usec_t now,
			    const char *account, double amount);

/** sr_allowance_refund - return the amount of a request that did not run. */
void sr_allowance_refund(sr_allowance_t *allowance, const char *account,
			 double amount);

/**
 * sr_allowance_enable_pools - reserve a fraction of every limit for its pools
 *
 * The tolerance must have a window.
 *
 * Among many hosts a share may then be overdrawn only so far that all together
 * stay within the tolerance; a larger request needs a pool.
 */
void sr_allowance_enable_pools(sr_allowance_t *allowance);

/** sr_allowance_set_pool_fraction - fraction of the hosts that this host can
 * reach, itself included, from 0 to 1; 0 until set. */
void sr_allowance_set_pool_fraction(sr_allowance_t *allowance, double fraction);

/** sr_allowance_note_use - what a pool that another host holds has granted, as
 * last heard. */
void sr_allowance_note_use(sr_allowance_t *allowance, sr_usec_t now,
			   const char *account, unsigned pool,
			   const sr_allowance_use_t *use);

/** sr_allowance_note_answer - the holder of a pool has granted an amount to
 * this host, or refused a request (0): then it has granted all that its limit
 * allows. */
void sr_allowance_note_answer(sr_allowance_t *allowance, sr_usec_t now,
			      const char *account, unsigned pool,
			      double granted);

/**
 * sr_allowance_start_pool - make this host the holder of a pool of an account
 *
 * The pool starts as if it had granted all of the last window, most of it at
 * the times that were noted; see also sr_allowance_begin_restore().
 */
void sr_allowance_start_pool(sr_allowance_t *allowance, sr_usec_t now,
			     const char *account, unsigned pool);

/** sr_allowance_end_pool - another host holds the pool now. */
void sr_allowance_end_pool(sr_allowance_t *allowance, sr_usec_t now,
			   const char *account, unsigned pool);

/**
 * sr_allowance_take_from_pool - take an amount from a pool on this host
 *
 * Returns 0 if it was taken, or else the time until the pool is available
 * again; one second if the limit of the account or the fraction of the pool
 * has not been set.
 */
sr_usec_t sr_allowance_take_from_pool(sr_allowance_t *allowance, sr_usec_t now,
				      const char *account, unsigned pool,
				      double amount);

/** sr_allowance_foreach_use - call fn for each pool on this host that granted
 * anything in the last window. */
void sr_allowance_foreach_use(sr_allowance_t *allowance, sr_usec_t now,
			      void (*fn)(void *user, const char *account,
					 unsigned pool,
					 const sr_allowance_use_t *use),
			      void *user);

/** sr_allowance_begin_restore - for a host that has just started: pools that
 * start on it within the next seconds have granted nothing, unless
 * sr_allowance_restore_use() is called for their account. */
void sr_allowance_begin_restore(sr_allowance_t *allowance, sr_usec_t now);

/**
 * sr_allowance_restore_use - set what a pool of an account had granted
 *
 * use is age old. As long as this is called for one pool of an account only,
 * the others are taken to have granted as much: their holders may be gone.
 */
void sr_allowance_restore_use(sr_allowance_t *allowance, sr_usec_t now,
			      const char *account, unsigned pool, sr_usec_t age,
			      const sr_allowance_use_t *use);

/** sr_allowance_share - this host's fraction of the account's rate, from 0 to
 * 1, without the pools. */
double sr_allowance_share(sr_allowance_t *allowance, sr_usec_t now,
			  const char *account);

/**
 * sr_allowance_publish - call fn with this host's demand counter per account
 *
 * To be called about once a second; fn sends the counters to the other hosts.
 * Shares are computed from the demand published by the previous call, as the
 * latest may not have reached the other hosts yet.
 */
void sr_allowance_publish(sr_allowance_t *allowance, sr_usec_t now,
			  void (*fn)(void *user, const char *account,
				     double requested),
			  void *user);

/**
 * sr_allowance_receive - store the demand counter of another host
 *
 * requested is the amount requested at that host since it started; a decrease
 * means that the host has restarted.
 */
void sr_allowance_receive(sr_allowance_t *allowance, sr_usec_t now,
			  const char *host, const char *account,
			  double requested);

/** sr_allowance_remove_host - drop the counters of a host that has shut
 * down cleanly. */
void sr_allowance_remove_host(sr_allowance_t *allowance, const char *host);

#endif
