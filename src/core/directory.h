#ifndef SR_CORE_DIRECTORY_H
#define SR_CORE_DIRECTORY_H

#include <glib.h>

#include "base/clock.h"
#include "core/store.h"

/**
 * sr_directory_t - the nodes (entry hosts) that are registered with the
 * platform
 *
 * Each node keeps an object "entry/DOMAIN/NODE/ADDRESS" without a value. A
 * node that knows no other live node lists these objects and has the gossip
 * contact the addresses. A cluster can thus form again after all hosts in its
 * settings have been replaced. Membership is decided by the gossip alone; an
 * entry is only an address to try.
 *
 * One node of each failure domain sweeps: it deletes the entries of nodes of
 * its domain that are no longer live.
 */
typedef struct sr_directory sr_directory_t;

/** SR_DIRECTORY_LIST_INTERVAL - time between two listings by a node that knows
 * no other live node. */
#define SR_DIRECTORY_LIST_INTERVAL (5 * SR_SEC)

/** SR_DIRECTORY_REFRESH_INTERVAL - time between two writes of this node's
 * entry, and between two sweeps. */
#define SR_DIRECTORY_REFRESH_INTERVAL (5 * SR_MINUTE)

/** sr_directory_options_t - options of sr_directory_new(). */
typedef struct {
	sr_store_t *store; /* borrowed */
	const char *node;
	const char *failure_domain;
	const char *address; /* IP:PORT of the peer RPC */
	/* The entry of another node was listed; address is valid during the
	 * call only. */
	void (*entry_found)(void *user, const char *address);
	/* Returns TRUE if a node of this failure domain is live. */
	gboolean (*is_live)(void *user, const char *node);
	void *user; /* passed to the callbacks */
} sr_directory_options_t;

/**
 * sr_directory_new - create a directory client
 *
 * Copies the strings of the options that it needs later. Makes no call to the
 * store before the first sr_directory_tick(). Free with sr_directory_free().
 */
sr_directory_t *sr_directory_new(const sr_directory_options_t *options);

/** sr_directory_free - cancel pending calls and free the directory; NULL is
 * allowed. Does not delete this node's entry. */
void sr_directory_free(sr_directory_t *directory);

/**
 * sr_directory_tick - run due writes, listings and sweeps; call at least every
 * second
 *
 * isolated is TRUE if no other live node is known, may_sweep if this node is
 * the one that sweeps its failure domain.
 */
void sr_directory_tick(sr_directory_t *directory, sr_usec_t now,
		       gboolean isolated, gboolean may_sweep);

/** sr_directory_leave - delete this node's entry for a planned stop. */
void sr_directory_leave(sr_directory_t *directory);

#endif
