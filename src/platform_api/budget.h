#ifndef SR_PLATFORM_API_BUDGET_H
#define SR_PLATFORM_API_BUDGET_H

#include <glib.h>

#include "base/clock.h"
#include "core/store.h"

/**
 * sr_budget_t - rate limiter and circuit breaker for calls to the platform
 *
 * A token bucket limits the rate. The less urgent a class is, the more tokens
 * it must leave in the bucket, so that an urgent call can be sent at once.
 *
 * After SR_BUDGET_TRIP_FAILURES consecutive failures the platform counts as
 * unavailable: calls are refused at once, and after a random delay
 * (exponential backoff with full jitter) a single call probes the platform.
 * When an outage ends, the bucket holds SR_BUDGET_RECOVERY_TOKENS, and its rate
 * and what is left to urgent calls increase to their full values over
 * SR_BUDGET_RAMP_DURATION.
 */
typedef struct {
	double rate;  /* tokens per second */
	double burst; /* capacity of the bucket, in tokens */
	double tokens;
	sr_usec_t refilled_at;
	unsigned failures; /* consecutive; throttled calls count */
	gboolean unavailable;
	gboolean probing;	/* a probe is in flight */
	sr_usec_t probe_at;	/* earliest time of the next probe */
	sr_usec_t paused_until; /* set by throttled calls */
	sr_usec_t ramp_start;	/* 0 outside a ramp */
	sr_usec_t backoff_max;
	GRand *random;
} sr_budget_t;

/** Consecutive failures after which the platform counts as unavailable. */
#define SR_BUDGET_TRIP_FAILURES 3

#define SR_BUDGET_RAMP_DURATION (10 * SR_SEC)

/** Tokens at the end of an outage: a host reads soon what it follows. */
#define SR_BUDGET_RECOVERY_TOKENS 3.0

/**
 * A backoff is drawn from 0 to SR_BUDGET_BACKOFF_MIN, doubled for each
 * consecutive failure, up to the largest backoff.
 */
#define SR_BUDGET_BACKOFF_MIN (100 * SR_MSEC)
#define SR_BUDGET_BACKOFF_MAX (5 * SR_SEC) /* default */

typedef enum {
	SR_BUDGET_SEND,	  /* a token was taken, or the call is a probe */
	SR_BUDGET_WAIT,	  /* try again after *wait */
	SR_BUDGET_REFUSE, /* the platform is unavailable for about *wait */
} sr_budget_decision_t;

/**
 * sr_budget_init - start with a full bucket
 *
 * rate is above 0, burst is at least 2. Release it with sr_budget_clear().
 */
void sr_budget_init(sr_budget_t *budget, double rate, double burst,
		    guint64 seed, sr_usec_t now);
void sr_budget_clear(sr_budget_t *budget);

/**
 * sr_budget_take - decide whether a call may be sent now
 *
 * wait is set unless the decision is SR_BUDGET_SEND. The outcome of a call
 * that is sent is reported by one of the sr_budget_record functions.
 *
 * A long poll, such as a watch, never probes an outage: its answer can be late
 * without a fault.
 */
sr_budget_decision_t sr_budget_take(sr_budget_t *budget, sr_usec_t now,
				    sr_store_class_t class, gboolean long_poll,
				    sr_usec_t *wait);

/** sr_budget_set_max_backoff - set the largest backoff. */
void sr_budget_set_max_backoff(sr_budget_t *budget, sr_usec_t max);

/** sr_budget_record_answer - the platform answered without a failure. */
void sr_budget_record_answer(sr_budget_t *budget, sr_usec_t now);

/** sr_budget_record_failure - a call was lost or the platform failed. */
void sr_budget_record_failure(sr_budget_t *budget, sr_usec_t now);

/**
 * sr_budget_record_throttle - the platform throttled a call
 *
 * Calls pause for retry_after, which is 0 if the platform gave none, plus a
 * backoff.
 */
void sr_budget_record_throttle(sr_budget_t *budget, sr_usec_t now,
			       sr_usec_t retry_after);

/**
 * sr_budget_record_inconclusive - a call ended without a sign of the
 * platform's state, e.g. because it was cancelled
 */
void sr_budget_record_inconclusive(sr_budget_t *budget);

#endif
