#ifndef SR_CORE_REPEAT_POLICY_H
#define SR_CORE_REPEAT_POLICY_H

#include <glib.h>

#include "base/clock.h"
#include "core/route_table.h"

/**
 * What follows when an attempt at an instance has ended: another attempt, or
 * which final answer, so that a request that may run once does, and that
 * "not run" is said only of what did not.
 */

typedef enum {
	SR_ATTEMPT_NOT_SENT, /* no byte of it left this host */
	SR_ATTEMPT_REJECTED, /* the instance says that it has not run it */
	SR_ATTEMPT_BROKEN,   /* sent, and no usable answer came */
	SR_ATTEMPT_FAILED,   /* it ran, and the answer is a failure */
	SR_ATTEMPT_ANSWERED,
	SR_ATTEMPT_CUT, /* a stream ended early after events were passed on */
} sr_attempt_outcome_t;

typedef enum {
	SR_NEXT_PASS_ON,   /* the instance's answer is the answer */
	SR_NEXT_TRY_AGAIN, /* at another instance */
	SR_NEXT_REFUSE,	   /* it has not run and never will */
	SR_NEXT_FAIL,	   /* it may have run */
	SR_NEXT_BREAK_OFF, /* end the connection inside the stream */
} sr_next_t;

typedef struct {
	sr_route_kind_t kind;
	gboolean resumable;
	sr_attempt_outcome_t outcome;
	gboolean may_have_run;	 /* because of an earlier attempt */
	unsigned n_sent;	 /* attempts that left this host, this too */
	unsigned n_unsent;	 /* attempts that did not */
	unsigned max_attempts;	 /* of those that left */
	sr_usec_t time_left;	 /* until the final answer is due */
	gboolean instance_ended; /* the instance is known to be gone */
	gboolean in_budget;	 /* the retry budget has room for one more */
} sr_repeat_facts_t;

/** Less time than this is no use to another instance. */
#define SR_REPEAT_MIN_TIME (20 * SR_MSEC)

/** Connections that may fail for one request before it is refused. */
#define SR_REPEAT_UNSENT_MAX 4

/** sr_repeat_may_run_twice - can a second run do harm? */
gboolean sr_repeat_may_run_twice(sr_route_kind_t kind, gboolean resumable);

sr_next_t sr_repeat_next(const sr_repeat_facts_t *facts);

#endif
