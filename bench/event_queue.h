#ifndef SR_BENCH_EVENT_QUEUE_H
#define SR_BENCH_EVENT_QUEUE_H

#include "base/clock.h"

/**
 * event_queue_t - the manual clock of a bench: events in order of their time,
 * those of one time in the order in which they were added.
 */
typedef struct event_queue event_queue_t;

typedef void (*event_fn)(void *user, void *data);

event_queue_t *event_queue_new(void);
void event_queue_free(event_queue_t *queue);
sr_usec_t event_queue_now(const event_queue_t *queue);
void event_queue_add(event_queue_t *queue, sr_usec_t delay, event_fn fn,
		     void *user, void *data);

/** event_queue_run - run every event that is due by the given time. */
void event_queue_run(event_queue_t *queue, sr_usec_t until);

#endif
