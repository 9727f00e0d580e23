#ifndef SR_BASE_PROBLEM_H
#define SR_BASE_PROBLEM_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"

/** Media type of a problem. */
#define SR_PROBLEM_TYPE "application/problem+json"

/**
 * sr_problem_t - a refusal or failure as a caller sees it (RFC 9457)
 */
typedef struct {
	sr_err_t err;
	const char *detail; /* what exactly is wrong, or NULL */
	/* it may have run; FALSE promises that it did not and will not */
	gboolean maybe_executed;
	sr_usec_t retry_after;	/* 0 for none */
	const char *request_id; /* or NULL */
} sr_problem_t;

/** sr_problem_json - the body; caller frees. */
char *sr_problem_json(const sr_problem_t *problem);

/**
 * sr_problem_retry_seconds - value of Retry-After: whole seconds, rounded up
 *
 * 0 if the problem has none.
 */
unsigned sr_problem_retry_seconds(const sr_problem_t *problem);

#endif
