#ifndef SR_EMULATOR_ORDERS_H
#define SR_EMULATOR_ORDERS_H

#include "server.h"

/**
 * sr_emu_orders_t - what an engine was told to load and to be, and by which
 * fencing number
 */
typedef struct sr_emu_orders sr_emu_orders_t;

/** version is loaded at the start; NULL for none. */
sr_emu_orders_t *sr_emu_orders_new(gboolean checks_fencing,
				   const char *version);
void sr_emu_orders_free(sr_emu_orders_t *orders);

/** sr_emu_orders_handle - answer GET and POST /orders. */
void sr_emu_orders_handle(sr_emu_orders_t *orders, sr_emu_exchange_t *exchange);

#endif
