#ifndef SR_CORE_WATCH_ROLE_H
#define SR_CORE_WATCH_ROLE_H

#include <glib.h>

#include "base/clock.h"

/**
 * Which entry hosts watch the platform's store themselves.
 *
 * In a large failure domain the first delegate watches and notifies the others
 * of its domain, which fetch the changes from it. Its notices also have the age
 * of its state. Once that is too old, the second delegate watches and sends
 * notices, and a little later the others watch, each for itself.
 */

/** In a domain with fewer hosts each one watches: watches that end often enough
 * to bound the age of notices would cost as many calls. */
#define SR_WATCH_ROLE_FOLLOWED_MIN 4

/** Hosts of a domain that send notices: the first delegate and its
 * successor. */
#define SR_WATCH_ROLE_WATCHERS 2

/** sr_watch_role_input_t - what the decision depends on. */
typedef struct {
	unsigned rank;	       /* in the order of the domain's delegates */
	unsigned domain_hosts; /* live hosts of the domain, this one included */
	sr_usec_t age;	   /* of the latest state of the store that a notice was
			    * about; G_MAXINT64 if there is none */
	sr_usec_t age_max; /* tolerated */
	double jitter;	   /* of this host, 0 to 1 */
} sr_watch_role_input_t;

/** sr_watch_role_t - what a host does. */
typedef enum {
	SR_WATCH_ROLE_FOLLOW, /* fetch changes from a watcher */
	SR_WATCH_ROLE_WATCH,  /* watch, and notify the others */
	SR_WATCH_ROLE_ALONE,  /* watch for itself until notices are recent */
} sr_watch_role_t;

sr_watch_role_t sr_watch_role(const sr_watch_role_input_t *input);

/** sr_watch_fetches_t - a follower's fetches from watchers; zero-initialised.
 */
typedef struct {
	unsigned n_failed; /* in a row */
} sr_watch_fetches_t;

/**
 * sr_watch_fetches_ended - a fetch has brought the changes, or nothing
 *
 * Returns whether a follower that got nothing polls the store now; otherwise it
 * asks a watcher again.
 */
gboolean sr_watch_fetches_ended(sr_watch_fetches_t *fetches,
				gboolean is_answered);

#endif
