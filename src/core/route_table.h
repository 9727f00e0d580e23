#ifndef SR_CORE_ROUTE_TABLE_H
#define SR_CORE_ROUTE_TABLE_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_route_table_t - what the gateway serves: routes by authority and path,
 * the services behind them, client accounts and limits on callers
 *
 * A table is filled, sealed, and from then on immutable and shared by
 * reference. A request keeps the table that it began with.
 */

/** What may be repeated of a request on a route. */
typedef enum {
	SR_ROUTE_IDEMPOTENT,
	SR_ROUTE_ONCE,	 /* may run once at most */
	SR_ROUTE_STREAM, /* a stream of events; once, unless it is resumable */
	SR_ROUTE_N_KINDS,
} sr_route_kind_t;

typedef struct {
	char *service;
	double weight;
} sr_weighted_service_t;

typedef struct {
	char *name;
	char *authority; /* of the request, in lower case */
	char *prefix;	 /* begins and ends with a slash */
	sr_route_kind_t kind;
	gboolean resumable;    /* a stream may go on at another instance */
	gboolean is_public;    /* no key is asked for */
	unsigned priority;     /* 0 goes first */
	unsigned max_attempts; /* instances that one request is sent to */
	sr_usec_t timeout;     /* for the whole answer */
	sr_usec_t target;      /* for the answer, or a stream's first event */
	sr_usec_t gap_target;  /* between two events; 0 for none */
	GArray *services;      /* sr_weighted_service_t */
} sr_gateway_route_t;

typedef struct {
	char *name;
	GPtrArray *keys;       /* char * */
	gboolean has_priority; /* it replaces that of the route */
	unsigned priority;
	gboolean counts_tokens;	 /* the allowance is in tokens */
	double uncounted_tokens; /* of a request that states none */
	double rate_per_s;	 /* 0 for no limit */
	double burst;
} sr_gateway_account_t;

/** sr_scaling_t - how many instances of a service may be ordered. */
typedef struct {
	unsigned min; /* per failure domain */
	unsigned max;
	sr_usec_t boot;		   /* until a new instance serves */
	double reclaimable_price;  /* part of the usual one; 0: none offered */
	GHashTable *domain_prices; /* failure domain -> double *, per s */
} sr_scaling_t;

typedef struct {
	char *name;
	char *health_path;
	unsigned max_connections; /* of one instance, from all callers */
	gboolean is_engine;
	unsigned slots;	       /* of an engine */
	guint64 memory_tokens; /* of an engine */
	sr_scaling_t *scaling; /* NULL if its size is not ours to order */
} sr_gateway_service_t;

typedef struct {
	gsize header_bytes;
	gsize body_bytes;
	sr_usec_t header_timeout;
	sr_usec_t idle_timeout;
} sr_caller_limits_t;

typedef struct {
	guint64 version;
	GPtrArray *routes;   /* sr_gateway_route_t */
	GPtrArray *accounts; /* sr_gateway_account_t */
	GPtrArray *services; /* sr_gateway_service_t */
	gboolean asks_for_keys;
	sr_caller_limits_t limits;
	GHashTable
		*by_authority; /* char * -> GPtrArray, longest prefix first */
	GHashTable *by_key;    /* char * -> sr_gateway_account_t */
	int references;
} sr_route_table_t;

/** Limits on callers where a table states none. */
#define SR_CALLER_HEADER_BYTES (16 * 1024)
#define SR_CALLER_BODY_BYTES (4 * 1024 * 1024)
#define SR_CALLER_HEADER_TIMEOUT (10 * SR_SEC)
#define SR_CALLER_IDLE_TIMEOUT (60 * SR_SEC)

sr_route_table_t *sr_route_table_new(guint64 version);

/** Added empty; the caller fills in what is returned before sealing. */
sr_gateway_route_t *sr_route_table_add_route(sr_route_table_t *table);
sr_gateway_account_t *sr_route_table_add_account(sr_route_table_t *table);
sr_gateway_service_t *sr_route_table_add_service(sr_route_table_t *table);
sr_scaling_t *sr_scaling_new(void);

/** sr_gateway_route_add_service - service is copied. */
void sr_gateway_route_add_service(sr_gateway_route_t *route,
				  const char *service, double weight);

/** sr_route_table_seal - build the indices; the table is immutable then. */
void sr_route_table_seal(sr_route_table_t *table);

sr_route_table_t *sr_route_table_ref(sr_route_table_t *table);
void sr_route_table_unref(sr_route_table_t *table);

/**
 * sr_route_table_find - the route of an authority with the longest prefix
 * that begins the path; NULL if there is none
 */
const sr_gateway_route_t *sr_route_table_find(const sr_route_table_t *table,
					      const char *authority,
					      const char *path);

const sr_gateway_account_t *
sr_route_table_account_of_key(const sr_route_table_t *table, const char *key);
const sr_gateway_account_t *
sr_route_table_account(const sr_route_table_t *table, const char *name);
const sr_gateway_service_t *
sr_route_table_service(const sr_route_table_t *table, const char *name);

/** sr_gateway_route_pick - a service by weight; unit is random, 0 to 1. */
const char *sr_gateway_route_pick(const sr_gateway_route_t *route, double unit);

#endif
