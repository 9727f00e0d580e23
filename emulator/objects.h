#ifndef SR_EMULATOR_OBJECTS_H
#define SR_EMULATOR_OBJECTS_H

#include <glib.h>

#include "base/clock.h"
#include "server.h"

/**
 * sr_emu_objects_t - object API of the emulated platform
 *
 * Provides versions, conditional writes, ordered lists, watches by long poll
 * and rate limits. A list or watch counts against the limit of reads.
 */
typedef struct sr_emu_objects sr_emu_objects_t;

typedef struct {
	double reads_per_s;  /* 0 for no limit */
	double writes_per_s; /* likewise */
	sr_clock_t *clock;
} sr_emu_objects_options_t;

sr_emu_objects_t *sr_emu_objects_new(const sr_emu_objects_options_t *options);
void sr_emu_objects_free(sr_emu_objects_t *objects);

/**
 * sr_emu_objects_set_server - set the server whose watches are checked again
 * after a write; borrowed
 */
void sr_emu_objects_set_server(sr_emu_objects_t *objects,
			       sr_emu_server_t *server);

/** sr_emu_objects_handle - answer a request below /objects. */
void sr_emu_objects_handle(sr_emu_objects_t *objects,
			   sr_emu_exchange_t *exchange);

/** sr_emu_objects_stats - counters of the calls; the caller owns them. */
struct json_object *sr_emu_objects_stats(const sr_emu_objects_t *objects);

#endif
