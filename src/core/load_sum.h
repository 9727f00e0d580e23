#ifndef SR_CORE_LOAD_SUM_H
#define SR_CORE_LOAD_SUM_H

#include <glib.h>

#include "core/allowance.h"
#include "core/evidence.h"

/**
 * sr_load_sum_t - load of a group of entry hosts on the instances
 *
 * Holds the requests and prompt tokens that the hosts have in flight at each
 * instance, the engine work that their prompts cause at each service, what the
 * pools that they hold have granted, the outcomes at the versions of services
 * that are being moved, and the number of hosts that are included.
 * Sums of disjoint groups are added up, so that a host can know the load of all
 * without knowing the others one by one.
 *
 * A sum is sent in parts, each of which fits one datagram. Strings are copied.
 */
typedef struct sr_load_sum sr_load_sum_t;

/** sr_load_item_t - load at one instance. */
typedef struct {
	double in_flight;	      /* requests */
	double pending_prompt_tokens; /* of prompts without a first event */
} sr_load_item_t;

/** sr_load_sum_new - a sum of no hosts; the caller owns it. */
sr_load_sum_t *sr_load_sum_new(void);

/** sr_load_sum_free - sum may be NULL. */
void sr_load_sum_free(sr_load_sum_t *sum);

/** sr_load_sum_set_hosts - number of entry hosts included. */
void sr_load_sum_set_hosts(sr_load_sum_t *sum, unsigned n);
unsigned sr_load_sum_hosts(const sr_load_sum_t *sum);

/** sr_load_sum_add_item - add load at an instance. */
void sr_load_sum_add_item(sr_load_sum_t *sum, const char *instance,
			  const sr_load_item_t *item);

/** sr_load_sum_add_work - add engine work at a service, in busy instances. */
void sr_load_sum_add_work(sr_load_sum_t *sum, const char *service, double work);

/** sr_load_sum_add_use - add what a pool of an account has granted. */
void sr_load_sum_add_use(sr_load_sum_t *sum, const char *account, unsigned pool,
			 const sr_allowance_use_t *use);

/** sr_load_sum_foreach_use - call fn for each pool that has granted anything.
 */
void sr_load_sum_foreach_use(const sr_load_sum_t *sum,
			     void (*fn)(void *user, const char *account,
					unsigned pool,
					const sr_allowance_use_t *use),
			     void *user);

/** sr_load_sum_add_evidence - add counters of a series, see
 * sr_evidence_foreach_own(). */
void sr_load_sum_add_evidence(sr_load_sum_t *sum, const char *series,
			      const sr_evidence_counters_t *counters);

/** sr_load_sum_foreach_evidence - call fn for each series. */
void sr_load_sum_foreach_evidence(
	const sr_load_sum_t *sum,
	void (*fn)(void *user, const char *series,
		   const sr_evidence_counters_t *counters),
	void *user);

/** sr_load_sum_add - add another sum, its hosts included. */
void sr_load_sum_add(sr_load_sum_t *sum, const sr_load_sum_t *other);

/** sr_load_sum_item - load at an instance; zero if it isn't known. */
sr_load_item_t sr_load_sum_item(const sr_load_sum_t *sum, const char *instance);

/** sr_load_sum_work - engine work at a service, in busy instances. */
double sr_load_sum_work(const sr_load_sum_t *sum, const char *service);

/**
 * sr_load_sum_encode - the sum as texts of at most size_max bytes each
 *
 * Returns an array of char *, at least one; the caller unrefs it. At most
 * parts_max are made: instances with the least load are left out and counted
 * in *n_dropped.
 */
GPtrArray *sr_load_sum_encode(const sr_load_sum_t *sum, gsize size_max,
			      guint parts_max, unsigned *n_dropped);

/** sr_load_sum_decode - add the lines of one part to the sum; malformed lines
 * are skipped. */
void sr_load_sum_decode(sr_load_sum_t *sum, const char *text);

#endif
