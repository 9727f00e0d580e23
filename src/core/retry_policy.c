#include "core/retry_policy.h"

gboolean sr_retry_may_run_twice(sr_route_kind_t kind, gboolean resumable)
{
	switch (kind) {
	case SR_ROUTE_IDEMPOTENT:
		return TRUE;
	case SR_ROUTE_STREAM:
		return resumable;
	case SR_ROUTE_NON_IDEMPOTENT:
	case SR_ROUTE_N_KINDS:
		break;
	}
	return FALSE;
}

/* The attempt at an instance that was removed doesn't count. */
static gboolean has_attempts_left(const sr_retry_input_t *input)
{
	unsigned n_sent = input->n_sent;

	if (input->instance_removed && n_sent > 0)
		n_sent--;
	return n_sent < input->max_attempts;
}

static gboolean may_resend(const sr_retry_input_t *input)
{
	return input->time_left >= SR_RETRY_MIN_TIME && input->in_budget &&
	       has_attempts_left(input);
}

static sr_retry_action_t final_action(const sr_retry_input_t *input)
{
	return input->may_have_run ? SR_RETRY_ACTION_FAIL :
				     SR_RETRY_ACTION_REFUSE;
}

sr_retry_action_t sr_retry_next_action(const sr_retry_input_t *input)
{
	gboolean may_run_twice =
		sr_retry_may_run_twice(input->kind, input->resumable);

	switch (input->outcome) {
	case SR_ATTEMPT_ANSWERED:
		return SR_RETRY_ACTION_FORWARD;
	case SR_ATTEMPT_NOT_SENT:
		if (input->n_unsent < SR_RETRY_UNSENT_MAX &&
		    input->time_left >= SR_RETRY_MIN_TIME)
			return SR_RETRY_ACTION_RETRY;
		return final_action(input);
	case SR_ATTEMPT_REJECTED:
		return may_resend(input) ? SR_RETRY_ACTION_RETRY :
					   final_action(input);
	case SR_ATTEMPT_BROKEN:
		return may_run_twice && may_resend(input) ?
			       SR_RETRY_ACTION_RETRY :
			       SR_RETRY_ACTION_FAIL;
	case SR_ATTEMPT_FAILED:
		return may_run_twice && may_resend(input) ?
			       SR_RETRY_ACTION_RETRY :
			       SR_RETRY_ACTION_FORWARD;
	case SR_ATTEMPT_TRUNCATED:
		return may_run_twice && may_resend(input) ?
			       SR_RETRY_ACTION_RETRY :
			       SR_RETRY_ACTION_ABORT;
	}
	return SR_RETRY_ACTION_FAIL;
}
