#ifndef SR_UPSTREAM_FEED_H
#define SR_UPSTREAM_FEED_H

#include "core/config.h"
#include "core/dispatch.h"
#include "upstream/query.h"

/**
 * sr_feed_t - asks the model engines of one failure domain for their load and
 * cache events and passes them on to the dispatcher
 */
typedef struct sr_feed sr_feed_t;

/** Least time between two questions to one engine. */
#define SR_FEED_INTERVAL SR_SEC
/** Least time between questions to two engines; it bounds what asking costs.
 * Many engines are asked in turn, each the more rarely. */
#define SR_FEED_SPACING (150 * SR_MSEC)

typedef struct {
	sr_queries_t *queries;	 /* borrowed */
	sr_clock_t *clock;	 /* borrowed */
	sr_dispatch_t *dispatch; /* borrowed */
	const char *failure_domain;
} sr_feed_options_t;

sr_feed_t *sr_feed_new(const sr_feed_options_t *options);

/** sr_feed_free - the queries must have been freed before. */
void sr_feed_free(sr_feed_t *feed);

/** sr_feed_set_config - which engines there are. */
void sr_feed_set_config(sr_feed_t *feed, sr_config_t *config);

#endif
