#ifndef SR_CORE_DIRECTORY_H
#define SR_CORE_DIRECTORY_H

#include <glib.h>

#include "base/clock.h"
#include "core/store.h"

/**
 * sr_directory_t - the entry hosts that the platform knows of
 *
 * Each node keeps an object "entry/DOMAIN/NODE/ADDRESS" without a value. A
 * node that knows no other one lists them and has gossip contact the
 * addresses, so that a cluster whose hosts have all been replaced since its
 * settings were written still finds together. Gossip alone decides who is a
 * member; an entry is only an address to try.
 *
 * One node of each failure domain removes the entries of nodes that are gone.
 */
typedef struct sr_directory sr_directory_t;

/** Time between two listings of a node that knows no other one. */
#define SR_DIRECTORY_ALONE (5 * SR_SEC)
/** Time between two writes of the own entry, and two sweeps. */
#define SR_DIRECTORY_INTERVAL (5 * SR_MINUTE)

typedef struct {
	sr_store_t *store; /* borrowed */
	const char *node;
	const char *failure_domain;
	const char *address; /* IP:PORT of the peer RPC */
	/* an entry host may be reached there */
	void (*found)(void *user, const char *address);
	/* whether a node of this failure domain is live */
	gboolean (*is_live)(void *user, const char *node);
	void *user;
} sr_directory_options_t;

sr_directory_t *sr_directory_new(const sr_directory_options_t *options);
void sr_directory_free(sr_directory_t *directory);

/**
 * sr_directory_tick - run what is due; call at least every second
 *
 * alone says that no other live node is known; sweeps that this node removes
 * the entries of its failure domain whose nodes are gone.
 */
void sr_directory_tick(sr_directory_t *directory, sr_usec_t now, gboolean alone,
		       gboolean sweeps);

/** sr_directory_leave - remove the own entry, in a planned stop. */
void sr_directory_leave(sr_directory_t *directory);

#endif
