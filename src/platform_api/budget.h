#ifndef SR_PLATFORM_API_BUDGET_H
#define SR_PLATFORM_API_BUDGET_H

#include <glib.h>

#include "base/clock.h"
#include "core/store.h"

/**
 * sr_budget_t - when the next platform call of a class may be sent
 *
 * A token bucket limits the rate. The less urgent a class is, the more tokens
 * it must leave in the bucket, so that urgent calls find room at once. After
 * SR_BUDGET_TRIP failures in a row the platform counts as out: calls are
 * refused at once, and after a random delay (exponential backoff with full
 * jitter) a single call probes it. When an outage ends, the bucket is empty
 * and its rate grows to the full rate over SR_BUDGET_RAMP.
 */
typedef struct {
	double rate;  /* tokens per second */
	double burst; /* size of the bucket */
	double tokens;
	sr_usec_t filled;
	unsigned failures; /* in a row */
	gboolean out;
	gboolean probing;
	sr_usec_t probe_at;   /* when out */
	sr_usec_t hold_until; /* the platform asked for a pause */
	sr_usec_t ramp_start; /* 0 outside a ramp */
	sr_usec_t backoff_max;
	GRand *random;
} sr_budget_t;

#define SR_BUDGET_TRIP 3
#define SR_BUDGET_RAMP (10 * SR_SEC)
#define SR_BUDGET_BACKOFF_MIN (100 * SR_MSEC)
#define SR_BUDGET_BACKOFF_MAX (5 * SR_SEC)

typedef enum {
	SR_BUDGET_GO,	  /* a token was taken; send the call */
	SR_BUDGET_WAIT,	  /* ask again after wait */
	SR_BUDGET_REFUSE, /* the platform is out; wait tells for how long */
} sr_budget_verdict_t;

void sr_budget_init(sr_budget_t *budget, double rate, double burst,
		    guint64 seed, sr_usec_t now);
void sr_budget_clear(sr_budget_t *budget);

/**
 * sr_budget_take - may a call go now?
 *
 * A call that waits on the platform (a watch) never probes an outage: its
 * answer can be late without a fault.
 */
sr_budget_verdict_t sr_budget_take(sr_budget_t *budget, sr_usec_t now,
				   sr_store_class_t class, gboolean waits,
				   sr_usec_t *wait);

/** sr_budget_set_backoff - the longest time between two probes. */
void sr_budget_set_backoff(sr_budget_t *budget, sr_usec_t max);

/** sr_budget_answered - the platform gave an answer that is no failure. */
void sr_budget_answered(sr_budget_t *budget, sr_usec_t now);

/** sr_budget_failed - a call was lost or the platform failed. */
void sr_budget_failed(sr_budget_t *budget, sr_usec_t now);

/** sr_budget_throttled - the platform asked for a pause; 0 if it named none. */
void sr_budget_throttled(sr_budget_t *budget, sr_usec_t now,
			 sr_usec_t retry_after);

/** sr_budget_abandoned - a call ended without telling about the platform. */
void sr_budget_abandoned(sr_budget_t *budget);

#endif
