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

/* The attempt at an instance that was removed doesn't count. */
static gboolean has_attempts_left(const sr_repeat_facts_t *input)
{
	unsigned n_sent = input->n_sent;

	if (input->instance_ended && n_sent > 0)
		n_sent--;
	return n_sent < input->max_attempts;
}

static gboolean may_resend(const sr_repeat_facts_t *input)
{
	return input->time_left >= SR_RETRY_MIN_TIME && input->in_budget &&
	       has_attempts_left(input);
}

static sr_next_t final_action(const sr_repeat_facts_t *input)
{
	return input->may_have_run ? SR_NEXT_FAIL : SR_NEXT_REFUSE;
}

sr_next_t sr_repeat_next(const sr_repeat_facts_t *input)
{
	gboolean may_run_twice =
		sr_repeat_may_run_twice(input->kind, input->resumable);

	switch (input->outcome) {
	case SR_ATTEMPT_ANSWERED:
		return SR_NEXT_PASS_ON;
	case SR_ATTEMPT_NOT_SENT:
		if (input->n_unsent < SR_RETRY_UNSENT_MAX &&
		    input->time_left >= SR_RETRY_MIN_TIME)
			return SR_NEXT_TRY_AGAIN;
		return final_action(input);
	case SR_ATTEMPT_REJECTED:
		return may_resend(input) ? SR_NEXT_TRY_AGAIN :
					   final_action(input);
	case SR_ATTEMPT_BROKEN:
		return may_run_twice && may_resend(input) ? SR_NEXT_TRY_AGAIN :
							    SR_NEXT_FAIL;
	case SR_ATTEMPT_FAILED:
		return may_run_twice && may_resend(input) ? SR_NEXT_TRY_AGAIN :
							    SR_NEXT_PASS_ON;
	case SR_ATTEMPT_CUT:
		return may_run_twice && may_resend(input) ? SR_NEXT_TRY_AGAIN :
							    SR_NEXT_BREAK_OFF;
	}
	return SR_NEXT_FAIL;
}
