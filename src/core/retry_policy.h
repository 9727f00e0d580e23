#ifndef SR_CORE_RETRY_POLICY_H
#define SR_CORE_RETRY_POLICY_H

#include <glib.h>

#include "base/clock.h"
#include "core/route_table.h"

/**
 * Decides what follows an attempt of a gateway request at an instance: a retry,
 * or which final answer. A request that must not run twice is retried only if
 * it has not run, and is reported as not run only if no attempt may have run.
 */

/** sr_attempt_outcome_t - how an attempt at an instance ended. */
typedef enum {
	SR_ATTEMPT_NOT_SENT, /* no byte of the request was sent */
	SR_ATTEMPT_REJECTED, /* the instance did not run the request */
	SR_ATTEMPT_BROKEN,   /* sent, without a usable answer */
	SR_ATTEMPT_FAILED,   /* the request ran; the answer is an error */
	SR_ATTEMPT_ANSWERED,
	SR_ATTEMPT_TRUNCATED, /* a stream ended early after events were
				 forwarded */
} sr_attempt_outcome_t;

/** sr_retry_action_t - what follows an attempt. */
typedef enum {
	SR_RETRY_ACTION_FORWARD, /* forward the answer of the instance */
	SR_RETRY_ACTION_RETRY,	 /* retry, at another instance */
	SR_RETRY_ACTION_REFUSE,	 /* final: the request has not run */
	SR_RETRY_ACTION_FAIL,	 /* final: the request may have run */
	SR_RETRY_ACTION_ABORT,	 /* close the connection within the stream */
} sr_retry_action_t;

/** sr_retry_input_t - the request and the attempt that ended. */
typedef struct {
	sr_route_kind_t kind;
	gboolean resumable;
	sr_attempt_outcome_t outcome;
	gboolean may_have_run;	   /* in this or an earlier attempt */
	unsigned n_sent;	   /* attempts sent, including this one */
	unsigned n_unsent;	   /* attempts that could not be sent */
	unsigned max_attempts;	   /* limit on n_sent */
	sr_usec_t time_left;	   /* until the final answer is due */
	gboolean instance_removed; /* the instance is no longer registered */
	gboolean in_budget;	   /* the retry budget allows another retry */
} sr_retry_input_t;

/** Minimum time left for a retry; with less, no answer would be in time. */
#define SR_RETRY_MIN_TIME (20 * SR_MSEC)

/** Connection failures of a request after which it is not retried. */
#define SR_RETRY_UNSENT_MAX 4

/** sr_retry_may_run_twice - whether running the request twice is safe. */
gboolean sr_retry_may_run_twice(sr_route_kind_t kind, gboolean resumable);

/** sr_retry_next_action - decide what follows the attempt. */
sr_retry_action_t sr_retry_next_action(const sr_retry_input_t *input);

#endif
