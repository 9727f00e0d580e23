#include "core/repeat_policy.h"

gboolean sr_repeat_may_run_twice(sr_route_kind_t kind, gboolean resumable)
{
	switch (kind) {
	case SR_ROUTE_IDEMPOTENT:
		return TRUE;
	case SR_ROUTE_STREAM:
		return resumable;
	case SR_ROUTE_ONCE:
	case SR_ROUTE_N_KINDS:
		break;
	}
	return FALSE;
}

/* An instance that is gone does not count against the attempts. */
static gboolean has_attempts_left(const sr_repeat_facts_t *facts)
{
	unsigned sent = facts->n_sent;

	if (facts->instance_ended && sent > 0)
		sent--;
	return sent < facts->max_attempts;
}

static gboolean may_send_again(const sr_repeat_facts_t *facts)
{
	return facts->time_left >= SR_REPEAT_MIN_TIME && facts->in_budget &&
	       has_attempts_left(facts);
}

static sr_next_t give_up(const sr_repeat_facts_t *facts)
{
	return facts->may_have_run ? SR_NEXT_FAIL : SR_NEXT_REFUSE;
}

sr_next_t sr_repeat_next(const sr_repeat_facts_t *facts)
{
	gboolean twice = sr_repeat_may_run_twice(facts->kind, facts->resumable);

	switch (facts->outcome) {
	case SR_ATTEMPT_ANSWERED:
		return SR_NEXT_PASS_ON;
	case SR_ATTEMPT_NOT_SENT:
		if (facts->n_unsent < SR_REPEAT_UNSENT_MAX &&
		    facts->time_left >= SR_REPEAT_MIN_TIME)
			return SR_NEXT_TRY_AGAIN;
		return give_up(facts);
	case SR_ATTEMPT_REJECTED:
		return may_send_again(facts) ? SR_NEXT_TRY_AGAIN :
					       give_up(facts);
	case SR_ATTEMPT_BROKEN:
		return twice && may_send_again(facts) ? SR_NEXT_TRY_AGAIN :
							SR_NEXT_FAIL;
	case SR_ATTEMPT_FAILED:
		return twice && may_send_again(facts) ? SR_NEXT_TRY_AGAIN :
							SR_NEXT_PASS_ON;
	case SR_ATTEMPT_CUT:
		return twice && may_send_again(facts) ? SR_NEXT_TRY_AGAIN :
							SR_NEXT_BREAK_OFF;
	}
	return SR_NEXT_FAIL;
}
