#include "core/watch_role.h"

/** Part of the tolerated age after which all other hosts watch themselves; the
 * first of them after half of it. They don't do so at once, since the successor
 * usually takes over. */
#define SPREAD 0.4

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
