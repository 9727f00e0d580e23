#ifndef SR_CORE_ACCOUNT_SHARE_H
#define SR_CORE_ACCOUNT_SHARE_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_account_share_t - fair shares of a service's capacity for its client
 * accounts, without a coordinator
 *
 * Each entry host counts its own requests in flight and receives the counts of
 * the others. Capacity is divided by weighted max-min fairness: what an account
 * does not use is divided among those that need more. The count of another
 * host expires after a few seconds, so that each side of a network partition
 * divides the capacity among the requests that it knows of.
 *
 * One object serves one service and owns its accounts, which live as long as
 * it does. Capacity and shares are numbers of requests in flight.
 */
typedef struct sr_account_share sr_account_share_t;

/** sr_account_t - a client account of one service. */
typedef struct {
	char *name;
	double weight;	      /* 1 unless set */
	unsigned limit;	      /* in flight on all entry hosts; 0 for none */
	unsigned in_flight;   /* on this host */
	sr_usec_t refused_at; /* time of the last refusal; 0 for never */
	GHashTable *peers;    /* host name -> its count; private */
} sr_account_t;

/** sr_account_share_new - the caller owns the result. */
sr_account_share_t *sr_account_share_new(void);

/** sr_account_share_free - share may be NULL. */
void sr_account_share_free(sr_account_share_t *share);

/** sr_account_share_get - find or add an account; owned by share. */
sr_account_t *sr_account_share_get(sr_account_share_t *share, const char *name);

/** sr_account_share_receive - store the number of requests that another host
 * has in flight for an account. */
void sr_account_share_receive(sr_account_share_t *share, const char *name,
			      const char *host, unsigned in_flight,
			      sr_usec_t now);

/** sr_account_in_flight - requests in flight on this host and, by their
 * latest counts, on the others. */
unsigned sr_account_in_flight(const sr_account_t *account, sr_usec_t now);

/** sr_account_share_compute - an account's fair share of the capacity, given
 * that it needs at least that much. */
double sr_account_share_compute(sr_account_share_t *share,
				const sr_account_t *account, double capacity,
				sr_usec_t now);

/** sr_account_share_foreach - call fn for each account. */
void sr_account_share_foreach(sr_account_share_t *share,
			      void (*fn)(void *user,
					 const sr_account_t *account),
			      void *user);

#endif
