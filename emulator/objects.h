#ifndef SR_EMULATOR_OBJECTS_H
#define SR_EMULATOR_OBJECTS_H

#include <glib.h>

#include "base/clock.h"
#include "server.h"

/**
 * sr_emu_objects_t - the platform's object API
 *
 * Versions, conditional writes, ordered lists, watches by long poll, and
 * limits on the reads and writes of a second; a watch counts as a read.
 */
typedef struct sr_emu_objects sr_emu_objects_t;

typedef struct {
	double reads_per_s; /* 0 for no limit */
	double writes_per_s;
	sr_clock_t *clock;
} sr_emu_objects_options_t;

sr_emu_objects_t *sr_emu_objects_new(const sr_emu_objects_options_t *options);
void sr_emu_objects_free(sr_emu_objects_t *objects);

/** sr_emu_objects_set_server - where waiting watches are woken. */
void sr_emu_objects_set_server(sr_emu_objects_t *objects,
			       sr_emu_server_t *server);

/** sr_emu_objects_handle - answer a request below /objects. */
void sr_emu_objects_handle(sr_emu_objects_t *objects,
			   sr_emu_exchange_t *exchange);

/** sr_emu_objects_count - the calls so far, as a JSON object, owned. */
struct json_object *sr_emu_objects_count(const sr_emu_objects_t *objects);

#endif
