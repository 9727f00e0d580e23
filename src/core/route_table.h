#ifndef SR_CORE_ROUTE_TABLE_H
#define SR_CORE_ROUTE_TABLE_H

#include <glib.h>

#include "base/clock.h"

/** sr_route_kind_t - whether a request on a route may be repeated. */
typedef enum {
	SR_ROUTE_IDEMPOTENT,	 /* may be executed more than once */
	SR_ROUTE_NON_IDEMPOTENT, /* must be executed at most once */
	SR_ROUTE_STREAM, /* event stream; at most once unless resumable */
	SR_ROUTE_N_KINDS,
} sr_route_kind_t;

/** sr_weighted_service_t - a service and its relative traffic weight. */
typedef struct {
	char *service;
	double weight;
} sr_weighted_service_t;

/** sr_gateway_route_t - the requests of one authority below one path. */
typedef struct {
	char *name;
	char *authority; /* host part of the URL, in lower case, no port */
	char *prefix;	 /* path prefix; starts and ends with "/" */
	sr_route_kind_t kind;
	gboolean resumable;	    /* another instance can continue a stream */
	gboolean is_public;	    /* requests need no API key */
	unsigned priority;	    /* 0 is the highest */
	unsigned max_attempts;	    /* instances tried for one request */
	sr_usec_t timeout;	    /* for the complete response */
	sr_usec_t latency_target;   /* latency of the first event or response */
	sr_usec_t event_gap_target; /* time between events; 0: none */
	GArray *services;	    /* sr_weighted_service_t */
} sr_gateway_route_t;

/** sr_gateway_account_t - a client account, its API keys and its allowance. */
typedef struct {
	char *name;
	GPtrArray *keys;       /* char *, API keys */
	gboolean has_priority; /* priority replaces that of the route */
	unsigned priority;
	gboolean counts_tokens; /* the allowance is in tokens, not requests */
	double default_tokens;	/* charged if a request states no number */
	double rate_per_s;	/* tokens or requests per second; 0: no limit */
	double burst;		/* tokens or requests */
} sr_gateway_account_t;

/** sr_scaling_t - limits and prices for ordering instances of a service. */
typedef struct {
	unsigned min;	     /* instances per failure domain */
	unsigned max;	     /* instances per failure domain */
	sr_usec_t boot_time; /* time until a new instance serves */
	/* price of reclaimable instances as a ratio to the usual price; 0 if
	 * they are not offered */
	double reclaimable_price_ratio;
	GHashTable *domain_prices; /* failure domain -> double *, per second */
} sr_scaling_t;

/** sr_warm_up_t - instances of a service that have become cold; all zero if the
 * platform names nothing. */
typedef struct {
	sr_usec_t duration; /* for which an instance is cold after its start */
	double rate;	    /* requests/s that a cold instance bears */
} sr_warm_up_t;

/** sr_gateway_service_t - a service that routes refer to. */
typedef struct {
	char *name;
	char *health_path;
	unsigned max_connections; /* to one instance, for all callers */
	gboolean is_engine;	  /* a model engine */
	unsigned slots;		  /* of an engine; concurrent requests */
	guint64 memory_tokens;	  /* of an engine; KV cache capacity */
	sr_scaling_t *scaling;	  /* NULL if instances are not ordered */
	sr_warm_up_t warm_up;
} sr_gateway_service_t;

/** sr_caller_limits_t - limits on the requests of callers. */
typedef struct {
	gsize max_header_bytes;
	gsize max_body_bytes;
	sr_usec_t header_timeout;
	sr_usec_t idle_timeout;
} sr_caller_limits_t;

/**
 * sr_route_table_t - routes by authority and path, their services, client
 * accounts, and limits on callers
 *
 * A table is filled, then sealed with sr_route_table_seal(). After that it is
 * immutable and reference counted. A request uses one table from start to
 * end, also after a newer table has replaced it. The table owns its routes,
 * accounts and services.
 */
typedef struct {
	guint64 version;
	GPtrArray *routes;	/* sr_gateway_route_t */
	GPtrArray *accounts;	/* sr_gateway_account_t */
	GPtrArray *services;	/* sr_gateway_service_t */
	gboolean requires_keys; /* routes that are not public need an API key */
	sr_caller_limits_t limits;
	GHashTable
		*by_authority; /* char * -> GPtrArray, longest prefix first */
	GHashTable *by_key;    /* char * -> sr_gateway_account_t */
	int references;
} sr_route_table_t;

/** Default limits on callers; sizes in bytes. */
#define SR_CALLER_DEFAULT_HEADER_BYTES (16 * 1024)
#define SR_CALLER_DEFAULT_BODY_BYTES (4 * 1024 * 1024)
#define SR_CALLER_DEFAULT_HEADER_TIMEOUT (10 * SR_SEC)
#define SR_CALLER_DEFAULT_IDLE_TIMEOUT (60 * SR_SEC)

/** sr_route_table_new - create an empty table with the default limits. */
sr_route_table_t *sr_route_table_new(guint64 version);

/**
 * Each function adds an empty element and returns it; the table owns it. The
 * caller sets its members before the table is sealed. The table takes ownership
 * of the strings.
 */
sr_gateway_route_t *sr_route_table_add_route(sr_route_table_t *table);
sr_gateway_account_t *sr_route_table_add_account(sr_route_table_t *table);
sr_gateway_service_t *sr_route_table_add_service(sr_route_table_t *table);

/** sr_scaling_new - create empty limits, to be owned by a service. */
sr_scaling_t *sr_scaling_new(void);

/** sr_gateway_route_add_service - add a service; its name is copied. */
void sr_gateway_route_add_service(sr_gateway_route_t *route,
				  const char *service, double weight);

/** sr_route_table_seal - build the indexes; ends all changes to the table. */
void sr_route_table_seal(sr_route_table_t *table);

/** sr_route_table_ref - take a reference; returns table. */
sr_route_table_t *sr_route_table_ref(sr_route_table_t *table);

/** sr_route_table_unref - drop a reference; table may be NULL. */
void sr_route_table_unref(sr_route_table_t *table);

/**
 * sr_route_table_find_route - find the route for an authority and a path
 *
 * Returns the route with the longest prefix that the path starts with, or NULL.
 * authority has no port; its case is ignored. path has no query string.
 */
const sr_gateway_route_t *
sr_route_table_find_route(const sr_route_table_t *table, const char *authority,
			  const char *path);

/** Lookups by API key or name; they return NULL if nothing matches. */
const sr_gateway_account_t *
sr_route_table_account_by_key(const sr_route_table_t *table, const char *key);
const sr_gateway_account_t *
sr_route_table_account(const sr_route_table_t *table, const char *name);
const sr_gateway_service_t *
sr_route_table_service(const sr_route_table_t *table, const char *name);

/**
 * sr_gateway_route_pick - choose a service with probability by weight
 *
 * fraction is a random number, at least 0 and below 1. Returns a name that the
 * route owns, or NULL if the route has no services.
 */
const char *sr_gateway_route_pick(const sr_gateway_route_t *route,
				  double fraction);

#endif
