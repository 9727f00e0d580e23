#ifndef SR_BENCH_MEMORY_STORE_H
#define SR_BENCH_MEMORY_STORE_H

#include "core/store.h"
#include "event_queue.h"

/**
 * memory_store_t - in-memory object API on simulated time
 *
 * DELETE and LIST are answered with SR_STORE_NOT_DONE. WATCH is answered at
 * once, like GET.
 */
typedef struct memory_store memory_store_t;

/** memory_store_new - every call is answered after the delay (us) */
memory_store_t *memory_store_new(event_queue_t *events, sr_usec_t delay);

/** memory_store_free - events of the store must no longer run */
void memory_store_free(memory_store_t *store);

/** memory_store_interface - owned by the store */
sr_store_t *memory_store_interface(memory_store_t *store);

/**
 * memory_store_set_down - simulate an outage
 *
 * While down, calls have no effect and are answered with SR_STORE_UNKNOWN.
 */
void memory_store_set_down(memory_store_t *store, gboolean down);

#endif
