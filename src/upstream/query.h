#ifndef SR_UPSTREAM_QUERY_H
#define SR_UPSTREAM_QUERY_H

#include <json-c/json.h>

#include "base/clock.h"
#include "http/client.h"

/**
 * sr_queries_t - short requests to upstreams whose response is a JSON object:
 * load, cache events and orders
 *
 * The size of a response and the duration of a query are limited.
 */
typedef struct sr_queries sr_queries_t;

/** Maximum size of a response body, in bytes. */
#define SR_QUERY_RESPONSE_MAX (256 * 1024)
/** Time after which a query ends without a response. */
#define SR_QUERY_TIMEOUT (2 * SR_SEC)

/**
 * sr_query_fn - called once at the end of a query
 *
 * status is the HTTP status, or 0 if there was no complete response of at most
 * SR_QUERY_RESPONSE_MAX bytes before the timeout. response is the parsed body,
 * borrowed; it is NULL if status is 0 or the body is not a JSON object.
 */
typedef void (*sr_query_fn)(void *user, unsigned status, json_object *response);

/** sr_query_options_t - a request; sr_query() copies what it keeps. */
typedef struct {
	const char *address; /* IP:PORT */
	const char *method;
	const char *path;  /* with the query string */
	json_object *body; /* or NULL; sent as JSON text */
	sr_query_fn done;  /* never called before sr_query() returns */
	void *user;
} sr_query_options_t;

/** sr_queries_new - borrows client and clock. */
sr_queries_t *sr_queries_new(sr_http_client_t *client, sr_clock_t *clock);

/** sr_queries_free - end each pending query with status 0; NULL is allowed. */
void sr_queries_free(sr_queries_t *queries);

/** sr_query - start a query; it is sent as an idempotent request. */
void sr_query(sr_queries_t *queries, const sr_query_options_t *options);

#endif
