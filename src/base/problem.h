#ifndef SR_BASE_PROBLEM_H
#define SR_BASE_PROBLEM_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"

/** Media type of sr_problem_json(). */
#define SR_PROBLEM_MEDIA_TYPE "application/problem+json"

/** sr_problem_t - problem details of an error response (RFC 9457) */
typedef struct {
	sr_err_t err;
	const char *detail; /* the specific cause, or NULL */
	/* FALSE guarantees that the request did not run and will not */
	gboolean maybe_executed;
	sr_usec_t retry_after;	/* 0 for none */
	const char *request_id; /* or NULL */
} sr_problem_t;

/** sr_problem_json - the body of the response; caller frees. */
char *sr_problem_json(const sr_problem_t *problem);

/**
 * sr_problem_retry_seconds - retry_after in whole seconds, rounded up, as in
 * the Retry-After header; 0 for none
 */
unsigned sr_problem_retry_seconds(const sr_problem_t *problem);

#endif
