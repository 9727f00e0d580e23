#ifndef SR_GATEWAY_GATEWAY_H
#define SR_GATEWAY_GATEWAY_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/metrics.h"
#include "core/allowance.h"
#include "core/instances.h"
#include "core/route_table.h"
#include "gateway/dialect.h"

/**
 * sr_gateway_t - passes callers' requests on to upstream instances
 *
 * It serves a table of routes in front of instances that have registered
 * themselves. Both are put in by whoever knows them; the gateway talks to
 * callers and instances only.
 */
typedef struct sr_gateway sr_gateway_t;

/** The answer of an account's pool: 0, or how long it has to wait. */
typedef void (*sr_pool_answer_fn)(void *user, sr_usec_t wait);

typedef struct {
	const char *node;
	const char *failure_domain;
	const char *caller_address;  /* IP:PORT, as every address here */
	const char *ready_address;   /* may be the caller address */
	const char *metrics_address; /* "" for none */
	unsigned max_connections;    /* of callers; 0 for the default */
	gsize buffered_bytes;	     /* of all bodies held; 0: the default */
	sr_usec_t stop_accepting;    /* after the begin of a planned stop */
	sr_usec_t stop_limit;	     /* from its begin to the end, at most */
	double retry_ratio; /* retries for each request; 0: the default */
	double retry_slack; /* retries of all hosts beside; 0: default */
	sr_allowance_tolerance_t allowance; /* zeroes for none */
	const sr_dialect_t *dialect;	    /* borrowed */
	sr_clock_t *clock;		    /* borrowed */
	sr_log_t *log;			    /* borrowed; may be NULL */
	sr_metrics_t *metrics;		    /* borrowed */
	guint64 seed;
	/* a request of the account began to run */
	void (*began)(void *user, const char *account);
	/* ask the pool of an account for an amount; done is called once, maybe
	 * from inside this call. NULL if there are no pools */
	void (*ask_pool)(void *user, const char *account, double amount,
			 sr_pool_answer_fn done, void *done_user);
	/* drop the questions of a done_user */
	void (*cancel_ask)(void *user, void *done_user);
	/* a planned stop is over */
	void (*stopped)(void *user);
	void *user;
} sr_gateway_options_t;

sr_gateway_t *sr_gateway_new(const sr_gateway_options_t *options);
void sr_gateway_free(sr_gateway_t *gateway);

/** sr_gateway_start - listen; detail (freed by the caller) says what failed. */
sr_err_t sr_gateway_start(sr_gateway_t *gateway, char **detail);

/**
 * sr_gateway_set_table - put a table in force for the requests from now on
 *
 * One whose version is not higher than that in force changes nothing; the
 * result tells. A reference is taken.
 */
gboolean sr_gateway_set_table(sr_gateway_t *gateway, sr_route_table_t *table);

/** sr_gateway_table - in force, or NULL; borrowed. */
const sr_route_table_t *sr_gateway_table(const sr_gateway_t *gateway);

/** sr_gateway_instances - to be kept up to date by the caller. */
sr_instances_t *sr_gateway_instances(sr_gateway_t *gateway);

/** sr_gateway_instance_ended - it is known to be gone; drop what waits for
 * it on idle connections. */
void sr_gateway_instance_ended(sr_gateway_t *gateway, const char *name);

sr_allowance_t *sr_gateway_allowance(sr_gateway_t *gateway);

/** sr_gateway_foreach_work - by service, the time that its engines needed
 * for the prompts sent from here, in s; it only grows. */
void sr_gateway_foreach_work(sr_gateway_t *gateway,
			     void (*fn)(void *user, const char *service,
					double work_s),
			     void *user);

/** sr_gateway_set_hosts - how many entry hosts share the retry budget. */
void sr_gateway_set_hosts(sr_gateway_t *gateway, unsigned n);

/** sr_gateway_set_ready - whether the balancer should send connections;
 * before a table is known the answer is no in any case. */
void sr_gateway_set_ready(sr_gateway_t *gateway, gboolean ready);

/**
 * sr_gateway_stop - planned stop: answer not ready, serve what comes, accept
 * no more connections after a while, and end when all is answered
 */
void sr_gateway_stop(sr_gateway_t *gateway);

#endif
