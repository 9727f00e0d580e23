#ifndef SR_CORE_ACCOUNT_SHARE_H
#define SR_CORE_ACCOUNT_SHARE_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_account_share_t - fair shares of a service's capacity for its client
 * accounts, without a coordinator
 *
 * Each entry host knows its own requests in flight and hears of those at the
 * others. Capacity is shared by weighted max-min fairness: what an account
 * doesn't use falls to those that want more. What was heard from a node
 * expires, so that a part that is cut off shares out what it can see.
 *
 * One object serves one service. Accounts live as long as it does.
 */
typedef struct sr_account_share sr_account_share_t;

typedef struct {
	char *name;
	double weight;
	unsigned limit;	      /* in flight across the entry hosts; 0 for none */
	unsigned in_flight;   /* here */
	sr_usec_t refused_at; /* when it last wanted more; 0 for never */
	GHashTable *elsewhere; /* node -> what was heard */
} sr_account_t;

sr_account_share_t *sr_account_share_new(void);
void sr_account_share_free(sr_account_share_t *share);

/** sr_account_share_get - find or add; the result stays valid. */
sr_account_t *sr_account_share_get(sr_account_share_t *share, const char *name);

/** sr_account_share_heard - another node runs this many for the account. */
void sr_account_share_heard(sr_account_share_t *share, const char *name,
			    const char *node, unsigned in_flight,
			    sr_usec_t now);

/** sr_account_in_flight - here and, as far as heard, elsewhere. */
unsigned sr_account_in_flight(const sr_account_t *account, sr_usec_t now);

/** sr_account_share_fair - requests in flight that are the account's own. */
double sr_account_share_fair(sr_account_share_t *share,
			     const sr_account_t *account, double capacity,
			     sr_usec_t now);

void sr_account_share_foreach(sr_account_share_t *share,
			      void (*fn)(void *user,
					 const sr_account_t *account),
			      void *user);

#endif
