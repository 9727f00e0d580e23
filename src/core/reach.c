#include "core/reach.h"

#include <string.h>

static gboolean set_state(sr_reach_t *reach, sr_usec_t now,
			  sr_reach_state_t state)
{
	if (reach->state == state)
		return FALSE;
	reach->state = state;
	reach->changed_at = now;
	return TRUE;
}

gboolean sr_reach_succeeded(sr_reach_t *reach, sr_usec_t now)
{
	memset(reach->failed, 0, sizeof(reach->failed));
	return set_state(reach, now, SR_REACH_REACHED);
}

/* The element of the instance, or the one that is unused or oldest. */
static sr_reach_failed_t *find_element(sr_reach_t *reach, guint32 instance)
{
	sr_reach_failed_t *found = &reach->failed[0];

	for (unsigned i = 0; i < SR_REACH_FAILURES; i++) {
		sr_reach_failed_t *failed = &reach->failed[i];

		if (failed->instance == instance)
			return failed;
		if (failed->at < found->at)
			found = failed;
	}
	return found;
}

static unsigned count_failed(const sr_reach_t *reach, sr_usec_t now)
{
	unsigned n = 0;

	for (unsigned i = 0; i < SR_REACH_FAILURES; i++)
		n += reach->failed[i].instance != 0 &&
		     now - reach->failed[i].at < SR_REACH_FAILURE_AGE_MAX;
	return n;
}

gboolean sr_reach_failed(sr_reach_t *reach, sr_usec_t now, guint32 instance,
			 sr_reach_failure_t how, unsigned n_present)
{
	*find_element(reach, instance) = (sr_reach_failed_t){
		.instance = instance, .how = how, .at = now
	};
	if (count_failed(reach, now) < MIN(SR_REACH_FAILURES, n_present))
		return FALSE;
	return set_state(reach, now, SR_REACH_LOST);
}

const char *sr_reach_failure_name(sr_reach_failure_t how)
{
	static const char *const names[] = {
		[SR_REACH_REFUSED] = "refused",
		[SR_REACH_TIMED_OUT] = "timed-out",
		[SR_REACH_SILENT] = "silent",
	};

	return names[how];
}
