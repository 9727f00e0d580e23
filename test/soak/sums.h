#ifndef SR_TEST_SOAK_SUMS_H
#define SR_TEST_SOAK_SUMS_H

#include <glib.h>

/**
 * What all hosts together owe, summed up at the instances over windows that
 * slide: the platform's rules QUOTA, BUDGET and LIMIT.
 */

typedef enum {
	SOAK_SUM_ACCOUNT, /* tokens of an account that run */
	SOAK_SUM_RETRIES, /* arrivals beyond the first of each request */
	SOAK_SUM_LIMIT,	  /* arrivals at an instance that names a limit */
	SOAK_N_SUMS,
} soak_sum_kind_t;

/** Limit of the account in tokens per second, which is its burst too. */
#define SOAK_ACCOUNT_RATE 50000

typedef struct soak_sums soak_sums_t;

/** soak_sums_new - limit_per_s: of the instance that names it. */
soak_sums_t *soak_sums_new(unsigned limit_per_s);
void soak_sums_free(soak_sums_t *sums);

/** soak_sums_add - an arrival, in the order of times; amount in tokens or
 * requests. */
void soak_sums_add(soak_sums_t *sums, soak_sum_kind_t kind, gint64 at_ms,
		   double amount);

/** soak_sums_add_request - a caller's request for the service whose retries are
 * summed up. */
void soak_sums_add_request(soak_sums_t *sums, gint64 at_ms);

/** soak_sums_worst - largest part of what is allowed that a window has got;
 * above 1 the rule is broken. */
double soak_sums_worst(const soak_sums_t *sums, soak_sum_kind_t kind);

const char *soak_sums_rule(soak_sum_kind_t kind);

#endif
