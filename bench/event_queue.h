#ifndef SR_BENCH_EVENT_QUEUE_H
#define SR_BENCH_EVENT_QUEUE_H

#include "base/clock.h"

/**
 * event_queue_t - simulated clock and scheduler of a bench
 *
 * Events run in order of their due time, those with the same time in the order
 * in which they were added. The clock starts at 0.
 */
typedef struct event_queue event_queue_t;

/** event_fn - handler of an event, with the pointers of event_queue_add() */
typedef void (*event_fn)(void *user, void *data);

event_queue_t *event_queue_new(void);

/** event_queue_free - drop pending events; their data pointers are not freed */
void event_queue_free(event_queue_t *queue);

/** event_queue_now - simulated time in microseconds */
sr_usec_t event_queue_now(const event_queue_t *queue);

/** event_queue_add - schedule an event; a negative delay counts as 0 */
void event_queue_add(event_queue_t *queue, sr_usec_t delay, event_fn fn,
		     void *user, void *data);

/** event_queue_run - run all events due by a time; advances the clock to it */
void event_queue_run(event_queue_t *queue, sr_usec_t until);

#endif
