#include "core/watch_role.h"

/** Part of the tolerated age after which all other hosts watch themselves; the
 * first of them after half of it. They don't do so at once, since the successor
 * usually takes over. */
#define SPREAD 0.4

/** Fetches in a row without a value after which the store is polled: a watcher
 * that reads a large change may not answer in time, and its next notice comes
 * soon. */
#define FAILED_FETCHES_MAX 2

sr_watch_role_t sr_watch_role(const sr_watch_role_input_t *input)
{
	double late = 1 + SPREAD * (1 + input->jitter) / 2;

	if (input->rank == 0 ||
	    input->domain_hosts < SR_WATCH_ROLE_FOLLOWED_MIN)
		return SR_WATCH_ROLE_WATCH;
	if (input->age <= input->age_max)
		return SR_WATCH_ROLE_FOLLOW;
	if (input->rank < SR_WATCH_ROLE_WATCHERS)
		return SR_WATCH_ROLE_WATCH;
	return (double)input->age > late * (double)input->age_max ?
		       SR_WATCH_ROLE_ALONE :
		       SR_WATCH_ROLE_FOLLOW;
}

gboolean sr_watch_fetches_ended(sr_watch_fetches_t *fetches,
				gboolean is_answered)
{
	fetches->n_failed = is_answered ? 0 : fetches->n_failed + 1;
	if (fetches->n_failed < FAILED_FETCHES_MAX)
		return FALSE;
	fetches->n_failed = 0;
	return TRUE;
}
