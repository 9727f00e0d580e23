#ifndef SR_EMULATOR_ORDERS_H
#define SR_EMULATOR_ORDERS_H

#include "server.h"

/**
 * sr_emu_orders_t - versions and role of an emulated engine, as set by orders,
 * and the fencing token of the last order
 */
typedef struct sr_emu_orders sr_emu_orders_t;

/**
 * sr_emu_orders_new - create the state of an engine
 *
 * version is loaded at start, NULL for none. With enforce_fencing an order
 * whose fencing token is lower than the last one is answered with 409.
 */
sr_emu_orders_t *sr_emu_orders_new(gboolean enforce_fencing,
				   const char *version);
void sr_emu_orders_free(sr_emu_orders_t *orders);

/** sr_emu_orders_handle - answer GET and POST /orders. */
void sr_emu_orders_handle(sr_emu_orders_t *orders, sr_emu_exchange_t *exchange);

#endif
