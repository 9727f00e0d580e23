#ifndef SR_BASE_LOOP_WATCH_H
#define SR_BASE_LOOP_WATCH_H

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"

/**
 * sr_loop_watch_t - measures the turns of the default main context
 *
 * A turn is the time from the end of a poll to the next one: what is handled in
 * it delays all else. The histogram sassafras_loop_turn_seconds has each turn;
 * one of SR_LOOP_TURN_LONG or more is logged as "loop-turn-long" with its
 * duration in ms.
 */
typedef struct sr_loop_watch sr_loop_watch_t;

#define SR_LOOP_TURN_LONG (50 * SR_MSEC)

/** sr_loop_watch_new - start to measure; clock, log and metrics are borrowed.
 */
sr_loop_watch_t *sr_loop_watch_new(sr_clock_t *clock, sr_log_t *log,
				   sr_metrics_t *metrics);

/** sr_loop_watch_free - stop to measure; NULL is allowed. */
void sr_loop_watch_free(sr_loop_watch_t *watch);

#endif
