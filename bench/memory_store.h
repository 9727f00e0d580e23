#ifndef SR_BENCH_MEMORY_STORE_H
#define SR_BENCH_MEMORY_STORE_H

#include "core/store.h"
#include "event_queue.h"

/** memory_store_t - the platform's object API in memory, for the benches. */
typedef struct memory_store memory_store_t;

memory_store_t *memory_store_new(event_queue_t *events, sr_usec_t delay);

/** memory_store_free - the events must not run any more. */
void memory_store_free(memory_store_t *store);
sr_store_t *memory_store_calls(memory_store_t *store);

/** memory_store_set_down - every call ends in doubt, without an effect. */
void memory_store_set_down(memory_store_t *store, gboolean down);

#endif
