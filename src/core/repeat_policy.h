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
	SR_ATTEMPT_CUT, /* a stream ended early after events were forwarded */
} sr_attempt_outcome_t;

/** sr_next_t - what follows an attempt. */
typedef enum {
	SR_NEXT_PASS_ON,   /* forward the answer of the instance */
	SR_NEXT_TRY_AGAIN, /* retry, at another instance */
	SR_NEXT_REFUSE,	   /* final: the request has not run */
	SR_NEXT_FAIL,	   /* final: the request may have run */
	SR_NEXT_BREAK_OFF, /* close the connection within the stream */
} sr_next_t;

/** sr_repeat_facts_t - the request and the attempt that ended. */
typedef struct {
	sr_route_kind_t kind;
	gboolean resumable;
	sr_attempt_outcome_t outcome;
	gboolean may_have_run;	 /* in this or an earlier attempt */
	unsigned n_sent;	 /* attempts sent, including this one */
	unsigned n_unsent;	 /* attempts that could not be sent */
	unsigned max_attempts;	 /* limit on n_sent */
	sr_usec_t time_left;	 /* until the final answer is due */
	gboolean instance_ended; /* the instance is no longer registered */
	gboolean in_budget;	 /* the retry budget allows another retry */
} sr_repeat_facts_t;

/** Minimum time left for a retry; with less, no answer would be in time. */
#define SR_RETRY_MIN_TIME (20 * SR_MSEC)

/** Connection failures of a request after which it is not retried. */
#define SR_RETRY_UNSENT_MAX 4

/** sr_repeat_may_run_twice - whether running the request twice is safe. */
gboolean sr_repeat_may_run_twice(sr_route_kind_t kind, gboolean resumable);

/** sr_repeat_next - decide what follows the attempt. */
sr_next_t sr_repeat_next(const sr_repeat_facts_t *input);

#endif
