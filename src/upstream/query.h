#ifndef SR_UPSTREAM_QUERY_H
#define SR_UPSTREAM_QUERY_H

#include <json-c/json.h>

#include "base/clock.h"
#include "upstream/client.h"

/**
 * sr_queries_t - short calls to upstreams that answer with one JSON object:
 * load, cache events, orders
 *
 * Calls, answers and waiting times are bounded.
 */
typedef struct sr_queries sr_queries_t;

/** Largest answer that is read, in bytes. */
#define SR_QUERY_ANSWER_MAX (256 * 1024)
#define SR_QUERY_TIMEOUT (2 * SR_SEC)

/**
 * sr_query_fn - the end of a call
 *
 * status is 0 and answer NULL if no whole answer came in time; answer is NULL
 * too if it is not a JSON object. It is borrowed.
 */
typedef void (*sr_query_fn)(void *user, unsigned status, json_object *answer);

typedef struct {
	const char *address; /* IP:PORT */
	const char *method;
	const char *path;
	json_object *body; /* borrowed; or NULL */
	sr_query_fn done;  /* never called from inside sr_query() */
	void *user;
} sr_query_options_t;

sr_queries_t *sr_queries_new(sr_upstream_client_t *client, sr_clock_t *clock);

/** sr_queries_free - ends what is under way as without an answer. */
void sr_queries_free(sr_queries_t *queries);

void sr_query(sr_queries_t *queries, const sr_query_options_t *options);

#endif
