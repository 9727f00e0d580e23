#ifndef SR_UPSTREAM_ENGINE_POLLER_H
#define SR_UPSTREAM_ENGINE_POLLER_H

#include "core/config.h"
#include "core/dispatch.h"
#include "upstream/query.h"

/**
 * sr_engine_poller_t - polls the model engines of one failure domain for their
 * load and cache events and reports these to the dispatcher
 *
 * The engines are polled one at a time, in turn.
 */
typedef struct sr_engine_poller sr_engine_poller_t;

/** Minimum time between two polls of the same engine. */
#define SR_ENGINE_POLL_INTERVAL SR_SEC
/**
 * Minimum time between polls of two engines, which limits the cost of polling.
 * With more engines than fit into one SR_ENGINE_POLL_INTERVAL at this spacing,
 * each engine is polled less often.
 */
#define SR_ENGINE_POLL_SPACING (150 * SR_MSEC)

typedef struct {
	sr_queries_t *queries;	    /* borrowed */
	sr_clock_t *clock;	    /* borrowed */
	sr_dispatch_t *dispatch;    /* borrowed */
	const char *failure_domain; /* whose engines are polled; copied */
} sr_engine_poller_options_t;

/**
 * sr_engine_poller_new - start polling; the poller has no engines before
 * sr_engine_poller_set_config()
 */
sr_engine_poller_t *
sr_engine_poller_new(const sr_engine_poller_options_t *options);

/**
 * sr_engine_poller_free - stop and free the poller; NULL is allowed
 *
 * The queries must be freed before, since pending ones refer to it.
 */
void sr_engine_poller_free(sr_engine_poller_t *poller);

/**
 * sr_engine_poller_set_config - set the engines to poll
 *
 * No reference to the configuration is kept.
 */
void sr_engine_poller_set_config(sr_engine_poller_t *poller,
				 sr_config_t *config);

#endif
