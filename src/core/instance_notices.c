#include "core/instance_notices.h"

unsigned sr_instance_notices_hear(sr_instance_notices_t *notices,
				  const sr_notice_t *notice)
{
	unsigned changes = SR_NOTICE_UNCHANGED;

	if (notices->is_limited != notice->has_rate_limit ||
	    (notice->has_rate_limit &&
	     notices->rate_limit != notice->rate_limit))
		changes |= SR_NOTICE_LIMIT_CHANGED;
	notices->is_limited = notice->has_rate_limit;
	notices->rate_limit = notice->has_rate_limit ? notice->rate_limit : 0;
	return changes;
}
